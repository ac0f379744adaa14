/* Requests in flight of other entries at backend servers, as they report
 * them. */
#include "router/router_internal.h"

#include <string.h>

/* The count saturates at zero: a report that is subtracted may have been
 * applied before the server was added, and is then not in its count. */
static void
adjust_count(uint32_t *count, uint32_t by, bool add)
{
    *count = add ? *count + by : *count > by ? *count - by : 0;
}

static void
adjust_load(GwRouter *r, int64_t now_us, GwServer *s, const char *region,
            uint32_t by, bool add)
{
    GwServer_UpdateUtilization(r, s, now_us);
    adjust_count(&s->peers_in_flight, by, add);
    if (strcmp(region, s->path->region) != 0) {
        adjust_count(&s->peers_remote, by, add);
    }
}

static void
adjust_loads(GwRouter *r, int64_t now_us, const GwPeer *peer, bool add)
{
    for (guint i = 0; i < peer->loads->len; i++) {
        const GwPeerLoad *load = &g_array_index(peer->loads, GwPeerLoad, i);
        GwServer *s =
            g_hash_table_lookup(r->by_hash, GUINT_TO_POINTER(load->server));
        if (s != NULL) {
            adjust_load(r, now_us, s, peer->region, load->in_flight, add);
        }
    }
}

static GwPeer *
find_or_add_peer(GHashTable *peers, const GwPeerInfo *info)
{
    GwPeer *peer = g_hash_table_lookup(peers, info->name);

    if (peer == NULL) {
        peer = g_new0(GwPeer, 1);
        peer->name = g_strdup(info->name);
        peer->region = g_strdup(info->region);
        peer->domain = g_strdup(info->domain != NULL ? info->domain : "");
        peer->hash = GwHash_Text(info->name, 0);
        peer->loads = g_array_new(FALSE, FALSE, sizeof(GwPeerLoad));
        g_hash_table_insert(peers, peer->name, peer);
    }
    return peer;
}

static void
set_loads(GwRouter *r, int64_t now_us, GwPeer *peer, uint32_t count,
          const GwPeerLoad *loads)
{
    adjust_loads(r, now_us, peer, false);
    g_array_set_size(peer->loads, 0);
    if (count > 0) {
        g_array_append_vals(peer->loads, loads, count);
    }
    adjust_loads(r, now_us, peer, true);
}

void
GwRouter_PutPeer(GwRouter *r, int64_t now_us, const GwPeerInfo *info)
{
    GwPeer *peer = find_or_add_peer(r->peers, info);

    peer->serves = info->serves;
    peer->unreached_count = MIN(info->unreached_count, GW_UNREACHED_MAX);
    if (peer->unreached_count > 0) {
        memcpy(peer->unreached, info->unreached,
               peer->unreached_count * sizeof(*peer->unreached));
    }
    set_loads(r, now_us, peer, info->load_count, info->loads);
}

/* Only changes of sums are sent, so the sum of an unknown server is kept until
 * the server is added (GwRouter_AddRegionLoads). */
void
GwRouter_SetRegionLoad(GwRouter *r, int64_t now_us, const char *region,
                       uint32_t server, uint32_t count)
{
    gpointer key = GUINT_TO_POINTER(server);
    GHashTable *counts = g_hash_table_lookup(r->region_loads, region);
    GwServer *s = g_hash_table_lookup(r->by_hash, key);

    if (counts == NULL) {
        counts = g_hash_table_new(g_direct_hash, g_direct_equal);
        g_hash_table_insert(r->region_loads, g_strdup(region), counts);
    }
    uint32_t old = GPOINTER_TO_UINT(g_hash_table_lookup(counts, key));
    if (s != NULL) {
        adjust_load(r, now_us, s, region, old, false);
        adjust_load(r, now_us, s, region, count, true);
    }
    if (count > 0) {
        g_hash_table_insert(counts, key, GUINT_TO_POINTER(count));
    }
    else {
        g_hash_table_remove(counts, key);
    }
}

void
GwRouter_AddRegionLoads(GwRouter *r, int64_t now_us, GwServer *s)
{
    GHashTableIter iter;
    gpointer region;
    gpointer counts;

    g_hash_table_iter_init(&iter, r->region_loads);
    while (g_hash_table_iter_next(&iter, &region, &counts)) {
        gpointer count =
            g_hash_table_lookup(counts, GUINT_TO_POINTER(GwServer_Hash(s)));
        adjust_load(r, now_us, s, region, GPOINTER_TO_UINT(count), true);
    }
}

void
GwRouter_DropRegionLoads(GwRouter *r, int64_t now_us)
{
    GHashTableIter iter;
    gpointer region;
    gpointer counts;

    g_hash_table_iter_init(&iter, r->region_loads);
    while (g_hash_table_iter_next(&iter, &region, &counts)) {
        GHashTableIter at;
        gpointer key;
        gpointer count;
        g_hash_table_iter_init(&at, counts);
        while (g_hash_table_iter_next(&at, &key, &count)) {
            GwServer *s = g_hash_table_lookup(r->by_hash, key);
            if (s != NULL) {
                adjust_load(r, now_us, s, region, GPOINTER_TO_UINT(count),
                            false);
            }
        }
    }
    g_hash_table_remove_all(r->region_loads);
}

void
GwRouter_DropPeer(GwRouter *r, int64_t now_us, const char *name)
{
    GwPeer *peer = g_hash_table_lookup(r->peers, name);

    if (peer != NULL) {
        adjust_loads(r, now_us, peer, false);
        g_hash_table_remove(r->peers, name);
    }
}

void
GwRouter_OwnLoads(const GwRouter *r, GArray *out)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, r->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwServer *s = value;
        if (s->in_flight > 0) {
            GwPeerLoad load = {GwServer_Hash(s), s->in_flight};
            g_array_append_val(out, load);
        }
    }
}
