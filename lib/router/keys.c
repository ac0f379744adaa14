/* Objects and their placements: the servers that have them cached.
 *
 * A server that recently handled an object runs the next request for it in a
 * third of the time, so placements determine capacity. The entry records the
 * servers to which it sent each object's requests; entries that don't know
 * each other's placements agree by the hash in choose.c. */
#include "router/router_internal.h"

#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

/* Objects without a request for this long are removed when the table is full.
 * Longer than any request may take, since requests point into the table. */
#define KEY_LIFE_US 300000000
#define KEYS_MAX    200000

uint64_t
GwHash_Text(const char *text, uint64_t seed)
{
    return XXH3_64bits_withSeed(text, strlen(text), seed);
}

static void
clear(GwKeyPlacement *at)
{
    if (at->server != NULL) {
        at->server->objects--;
    }
    *at = (GwKeyPlacement){0};
}

static gboolean
is_old(gpointer hash, gpointer value, gpointer limit)
{
    (void)hash;
    GwKey *key = value;

    if (key->used_us >= *(int64_t *)limit) {
        return FALSE;
    }
    for (int i = 0; i < GW_KEY_PLACEMENTS_MAX; i++) {
        clear(&key->placements[i]);
    }
    return TRUE;
}

static GwKey *
find_or_add_key(GwRouter *r, int64_t now_us, uint64_t hash)
{
    GwKey *key = g_hash_table_lookup(r->keys, &hash);

    if (key == NULL) {
        if (g_hash_table_size(r->keys) >= KEYS_MAX) {
            int64_t limit = now_us - KEY_LIFE_US;
            g_hash_table_foreach_remove(r->keys, is_old, &limit);
            if (g_hash_table_size(r->keys) >= KEYS_MAX) {
                return NULL;
            }
        }
        key = g_new0(GwKey, 1);
        key->hash = hash;
        g_hash_table_insert(r->keys, &key->hash, key);
    }
    key->used_us = now_us;
    return key;
}

/* The key includes the route, since a server caches an object per route: a
 * request of one route doesn't speed up a request of another route for the
 * same object. The key includes the service, so that a route that moves to
 * another service or is split has placements in each service. */
uint64_t
GwKey_Hash(const GwRoute *route, const GwServiceState *service,
           const char *text)
{
    uint64_t seed = GwHash_Text(service->name, GwHash_Text(route->name, 0));

    return GwHash_Text(text, seed);
}

GwKey *
GwRouter_FindKey(const GwRouter *r, const GwRoute *route,
                 const GwServiceState *service, const char *text)
{
    uint64_t hash = GwKey_Hash(route, service, text);

    return g_hash_table_lookup(r->keys, &hash);
}

GwKey *
GwRouter_FindOrAddKey(GwRouter *r, int64_t now_us, const GwRoute *route,
                      const GwServiceState *service, const char *text)
{
    return find_or_add_key(r, now_us, GwKey_Hash(route, service, text));
}

GwKeyPlacement *
GwKey_FindPlacement(GwKey *key, const GwServer *s)
{
    for (int i = 0; i < GW_KEY_PLACEMENTS_MAX; i++) {
        if (key->placements[i].server == s) {
            return &key->placements[i];
        }
    }
    return NULL;
}

/* Adds a placement; replaces the oldest one if all are in use. */
static void
add_placement(GwKey *key, GwServer *s, int64_t now_us)
{
    GwKeyPlacement *at = &key->placements[0];

    for (int i = 0; i < GW_KEY_PLACEMENTS_MAX; i++) {
        if (key->placements[i].server == NULL) {
            at = &key->placements[i];
            break;
        }
        if (key->placements[i].started_us < at->started_us) {
            at = &key->placements[i];
        }
    }
    clear(at);
    *at = (GwKeyPlacement){.server = s, .started_us = now_us};
    s->objects++;
}

void
GwRouter_AddPlacement(GwRouter *r, GwKey *key, GwServer *s, int64_t now_us)
{
    if (GwKey_FindPlacement(key, s) == NULL) {
        GwPlacement placement = {
            .object = key->hash, .server = GwServer_Hash(s), .at_us = now_us};
        add_placement(key, s, now_us);
        g_array_append_val(r->placements, placement);
    }
}

void
GwRouter_PutPlacement(GwRouter *r, int64_t now_us,
                      const GwPlacement *placement)
{
    GwServer *s =
        g_hash_table_lookup(r->by_hash, GUINT_TO_POINTER(placement->server));
    GwKey *key =
        s != NULL ? find_or_add_key(r, now_us, placement->object) : NULL;

    if (key == NULL) {
        return;
    }
    if (GwKey_FindPlacement(key, s) == NULL) {
        add_placement(key, s, now_us);
    }
    if (placement->warm) {
        GwKey_FindPlacement(key, s)->ran = true;
    }
}

static gint
compare_used(gconstpointer a, gconstpointer b)
{
    int64_t ua = ((const GwPlacement *)a)->at_us;
    int64_t ub = ((const GwPlacement *)b)->at_us;

    return (ua < ub) - (ua > ub);
}

void
GwRouter_WarmPlacements(const GwRouter *r, uint32_t most, GArray *out)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, r->keys);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwKey *key = value;
        for (int i = 0; i < GW_KEY_PLACEMENTS_MAX; i++) {
            if (key->placements[i].server != NULL && key->placements[i].ran) {
                GwPlacement placement = {
                    .object = key->hash,
                    .server = GwServer_Hash(key->placements[i].server),
                    .warm = true,
                    .at_us = key->used_us};
                g_array_append_val(out, placement);
            }
        }
    }
    g_array_sort(out, compare_used);
    if (out->len > most) {
        g_array_set_size(out, most);
    }
}

/* Index of the first own placement younger than `age_us`. */
static guint
first_younger(const GwRouter *r, int64_t now_us, int64_t age_us)
{
    guint at = 0;

    while (at < r->placements->len &&
           now_us - g_array_index(r->placements, GwPlacement, at).at_us >
               age_us) {
        at++;
    }
    return at;
}

void
GwRouter_OwnPlacements(GwRouter *r, int64_t now_us, int64_t age_us,
                       int64_t life_us, GArray *out)
{
    g_array_remove_range(r->placements, 0, first_younger(r, now_us, life_us));
    guint first = first_younger(r, now_us, age_us);
    for (guint i = first; i < r->placements->len; i++) {
        g_array_append_val(out, g_array_index(r->placements, GwPlacement, i));
    }
}

void
GwKey_EndRun(GwKey *key, GwServer *s, bool ran)
{
    GwKeyPlacement *at = GwKey_FindPlacement(key, s);

    if (at == NULL) {
        return;
    }
    if (ran) {
        at->ran = true;
    }
    else if (!at->ran) {
        clear(at);
    }
}

void
GwKey_RemovePlacement(GwKey *key, const GwServer *s)
{
    GwKeyPlacement *at = GwKey_FindPlacement(key, s);

    if (at != NULL) {
        clear(at);
    }
}

void
GwRouter_RemovePlacements(GwRouter *r, const GwServer *s)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, r->keys);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwKey_RemovePlacement(value, s);
    }
}
