#include "common/directory.h"

#include "common/clock.h"
#include "common/http.h"

#include <stdio.h>
#include <string.h>

#define TICKETS_PER_LOOKUP 4
#define TICKET_TTL_US      20000000
#define AVOID_US           2000000
#define LOOKUP_TIMEOUT_MS  1000

typedef struct {
    GsTarget target;
    int64_t until_us;
} CachedTicket;

struct GsDirectory_s {
    pthread_mutex_t lock; /* guards all below */
    char service[GS_ADDRESS_MAX];
    uint32_t known_count;
    uint32_t local_count;
    char (*known)[GS_ADDRESS_MAX];
    int64_t *avoid_until_us;
    uint32_t next_known;
    uint32_t entry_count;
    uint32_t next_entry;
    char entries[GS_ENTRIES_MAX][GS_ADDRESS_MAX];
    int64_t fresh_until_us;
    GQueue *tickets; /* of CachedTicket, oldest first */
};

GsDirectory *
GsDirectory_Create(const char *service, GPtrArray *addresses, uint32_t local)
{
    GsDirectory *d = g_new0(GsDirectory, 1);
    pthread_mutex_init(&d->lock, NULL);
    g_strlcpy(d->service, service, sizeof(d->service));
    d->known_count = addresses->len;
    d->local_count = local;
    d->known = g_malloc0_n(addresses->len + 1, GS_ADDRESS_MAX);
    d->avoid_until_us = g_new0(int64_t, addresses->len + 1);
    for (uint32_t i = 0; i < addresses->len; i++) {
        g_strlcpy(d->known[i], addresses->pdata[i], GS_ADDRESS_MAX);
    }
    d->tickets = g_queue_new();
    return d;
}

void
GsDirectory_Free(GsDirectory *d)
{
    if (d != NULL) {
        g_queue_free_full(d->tickets, g_free);
        g_free(d->known);
        g_free(d->avoid_until_us);
        pthread_mutex_destroy(&d->lock);
        g_free(d);
    }
}

/* Takes a cached ticket or entry. Returns false when a look-up is needed. The
 * caller holds the lock. */
static bool
take_cached(GsDirectory *d, bool want_ticket, int64_t now_us, GsTarget *out)
{
    while (want_ticket && !g_queue_is_empty(d->tickets)) {
        CachedTicket *k = g_queue_pop_head(d->tickets);
        bool good = now_us < k->until_us;
        *out = k->target;
        g_free(k);
        if (good) {
            return true;
        }
    }
    if (want_ticket || now_us >= d->fresh_until_us || d->entry_count == 0) {
        return false;
    }
    uint32_t i = d->next_entry++ % d->entry_count;
    *out = (GsTarget){0};
    g_strlcpy(out->address, d->entries[i], GS_ADDRESS_MAX);
    return true;
}

static bool
is_avoided(const GsDirectory *d, const char *address, int64_t now_us)
{
    for (uint32_t i = 0; i < d->known_count; i++) {
        if (strcmp(d->known[i], address) == 0) {
            return now_us < d->avoid_until_us[i];
        }
    }
    return false;
}

/* Adds the entries of an answer that are in the caller's region (`local`) or
 * outside of it. */
static void
cache_entries(GsDirectory *d, struct json_object *list, bool local,
              int64_t now_us)
{
    size_t count = json_object_is_type(list, json_type_array)
                       ? json_object_array_length(list)
                       : 0;
    for (size_t i = 0; i < count && d->entry_count < GS_ENTRIES_MAX; i++) {
        struct json_object *e = json_object_array_get_idx(list, i);
        const char *address = GsJson_Text(e, "address", "");
        bool use = (GsJson_Int(e, "local", 0) != 0) == local;
        if (use && !is_avoided(d, address, now_us)) {
            g_strlcpy(d->entries[d->entry_count++], address, GS_ADDRESS_MAX);
        }
    }
}

/* Stores a look-up answer of entry `provider`. The caller holds the lock. */
static void
cache_answer(GsDirectory *d, const char *provider, const char *body,
             int64_t now_us)
{
    struct json_object *o = json_tokener_parse(body);
    struct json_object *list = NULL;
    json_object_object_get_ex(o, "entries", &list);
    d->entry_count = 0;
    cache_entries(d, list, true, now_us);
    if (d->entry_count == 0) {
        cache_entries(d, list, false, now_us);
    }
    d->fresh_until_us = now_us + GsJson_Int(o, "ttl_ms", 0) * 1000;
    struct json_object *tickets = NULL;
    json_object_object_get_ex(o, "tickets", &tickets);
    size_t count = json_object_is_type(tickets, json_type_array)
                       ? json_object_array_length(tickets)
                       : 0;
    for (size_t i = 0; i < count; i++) {
        CachedTicket *k = g_new0(CachedTicket, 1);
        const char *text =
            json_object_get_string(json_object_array_get_idx(tickets, i));
        g_strlcpy(k->target.address, provider, GS_ADDRESS_MAX);
        g_strlcpy(k->target.ticket, text, GS_TICKET_MAX);
        k->until_us = now_us + TICKET_TTL_US;
        g_queue_push_tail(d->tickets, k);
    }
    json_object_put(o);
}

/* Selects the address to query in this round, local addresses first. Returns
 * false when the address is to be avoided. */
static bool
pick_address(GsDirectory *d, uint32_t round, char *out)
{
    int64_t now_us = GsClock_Now();
    pthread_mutex_lock(&d->lock);
    uint32_t turn = d->next_known++;
    uint32_t i = round < d->local_count ? turn % d->local_count
                                        : round % d->known_count;
    bool use = !is_avoided(d, d->known[i], now_us);
    g_strlcpy(out, d->known[i], GS_ADDRESS_MAX);
    pthread_mutex_unlock(&d->lock);
    return use;
}

/* Queries one entry. Returns true when a complete look-up answer was
 * stored. */
static bool
query_entry(GsDirectory *d, GsClient *client, const char *address,
            bool want_ticket)
{
    char path[160];
    GsReply reply;
    snprintf(path, sizeof(path), "/v1/entries/%s?tickets=%d", d->service,
             want_ticket ? TICKETS_PER_LOOKUP : 0);
    GsRequest q = {.method = "GET",
                   .address = address,
                   .path = path,
                   .timeout_ms = LOOKUP_TIMEOUT_MS};
    GsSendResult sent = GsClient_Send(client, &q, &reply);
    bool good = sent == GS_SEND_COMPLETE && reply.status == 200;
    if (good) {
        pthread_mutex_lock(&d->lock);
        cache_answer(d, address, reply.body->str, GsClock_Now());
        pthread_mutex_unlock(&d->lock);
    }
    GsReply_Clear(&reply);
    return good;
}

/* Gets an entry to send to, with an unused ticket of that entry if
 * `want_ticket`. Returns false when no known entry provides one. */
bool
GsDirectory_Take(GsDirectory *d, GsClient *client, bool want_ticket,
                 GsTarget *out)
{
    uint32_t rounds = d->local_count + d->known_count;
    for (uint32_t round = 0; round <= rounds; round++) {
        char address[GS_ADDRESS_MAX];
        pthread_mutex_lock(&d->lock);
        bool got = take_cached(d, want_ticket, GsClock_Now(), out);
        pthread_mutex_unlock(&d->lock);
        if (got || round == rounds) {
            return got;
        }
        if (pick_address(d, round, address) &&
            !query_entry(d, client, address, want_ticket)) {
            GsDirectory_Avoid(d, address);
        }
    }
    return false;
}

/* Excludes an entry for AVOID_US and drops its tickets. */
void
GsDirectory_Avoid(GsDirectory *d, const char *address)
{
    pthread_mutex_lock(&d->lock);
    for (uint32_t i = 0; i < d->known_count; i++) {
        if (strcmp(d->known[i], address) == 0) {
            d->avoid_until_us[i] = GsClock_Now() + AVOID_US;
        }
    }
    uint32_t kept = 0;
    for (uint32_t i = 0; i < d->entry_count; i++) {
        if (strcmp(d->entries[i], address) != 0) {
            memmove(d->entries[kept++], d->entries[i], GS_ADDRESS_MAX);
        }
    }
    d->entry_count = kept;
    GList *l = d->tickets->head;
    while (l != NULL) {
        GList *next = l->next;
        CachedTicket *k = l->data;
        if (strcmp(k->target.address, address) == 0) {
            g_queue_delete_link(d->tickets, l);
            g_free(k);
        }
        l = next;
    }
    pthread_mutex_unlock(&d->lock);
}
