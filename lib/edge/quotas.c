/* Connects the quotas of organisations to the configuration, the table of
 * peers and the network. */
#include "common/json.h"
#include "edge/peers_internal.h"

#include "wire/peer.pb-c.h"

#include <json-c/json.h>
#include <string.h>

/* Up to this many entries of a region have one owner; in larger regions each
 * failure domain has its own. */
#define REGION_OWNER_MAX 80
/* A new entry doesn't know all others. After this time it does, even if it
 * could not read their rows. */
#define SETTLE_US 3000000
/* Maximum number of organisations with metrics of their own; those with the
 * most requests are shown, the rest is counted together. */
#define METRICS_MAX  256
#define OTHERS       "(other)"
#define DATAGRAM_MAX 128

typedef Gw__Peer__Quota Message;

static void
on_limited(void *ctx, const char *name, bool is_limited)
{
    (void)ctx;
    GwLog_Event(is_limited ? GW_LOG_ORG_LIMITED : GW_LOG_ORG_UNLIMITED,
                "organisation=\"%s\"", name);
}

void
GwQuotas_Init(GwEdge *edge)
{
    GwQuotaParams params = {
        .own_id = GwQuota_Hash(edge->settings->peer_address),
        .process = edge->peers->process_id,
        .seed = edge->settings->router.seed,
        .bounds = edge->settings->quota,
    };

    edge->quota = GwQuota_Create(&params, GwEdge_Now());
    GwQuota_SetCallback(edge->quota, on_limited, edge);
    GwRouter_SetQuota(edge->router, edge->quota);
}

void
GwQuotas_ApplyRouting(GwEdge *edge)
{
    const GwRouting *routing = GwRouter_Routing(edge->router);
    uint32_t count = routing->organisation_count;
    GwQuotaLimit *limits = g_new0(GwQuotaLimit, count);

    for (uint32_t i = 0; i < count; i++) {
        const GwOrganisation *org = &routing->organisations[i];
        limits[i] = (GwQuotaLimit){.name = org->name,
                                   .rate_per_s = org->rate_per_s,
                                   .burst = org->burst};
    }
    GwQuota_SetLimits(edge->quota, GwEdge_Now(), limits, count);
    g_free(limits);
}

/* ---- Members ------------------------------------------------------------- */

typedef struct {
    GwEntryRank rank;
    const char *region;
    const char *domain;
    GwQuotaMember member;
} Candidate;

static gint
compare_candidates(gconstpointer a, gconstpointer b)
{
    const Candidate *one = a;
    const Candidate *other = b;

    return GwEntryRank_IsBefore(&one->rank, &other->rank) ? -1 : 1;
}

static void
add_candidate(GArray *out, GwEntryRank rank, const char *region,
              const char *domain, const char *peer_address)
{
    Candidate c = {.rank = rank,
                   .region = region,
                   .domain = domain,
                   .member = {.id = GwQuota_Hash(peer_address)}};

    g_array_append_val(out, c);
}

/* Number of candidates by region. */
static GHashTable *
count_by_region(const GArray *candidates)
{
    GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);

    for (guint i = 0; i < candidates->len; i++) {
        const char *region = g_array_index(candidates, Candidate, i).region;
        guint count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, region));
        g_hash_table_insert(counts, (gpointer)region,
                            GUINT_TO_POINTER(count + 1));
    }
    return counts;
}

static uint64_t
group_of(GHashTable *counts, const char *region, const char *domain)
{
    guint count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, region));

    return GwQuota_Hash(count <= REGION_OWNER_MAX ? region : domain);
}

/* The serving entries by rank. */
static GArray *
list_candidates(const GwPeers *peers)
{
    const GwEdgeSettings *own = peers->edge->settings;
    GArray *out = g_array_new(FALSE, FALSE, sizeof(Candidate));
    GwPeerScan scan = GwPeers_Scan(peers, NULL, NULL);
    const GwPeerEntry *peer;

    if (GwEdge_IsReady(peers->edge)) {
        add_candidate(out, GwPeers_OwnRank(peers), own->router.region,
                      own->router.domain, own->peer_address);
    }
    while ((peer = GwPeerScan_Next(&scan)) != NULL) {
        add_candidate(out, GwPeerEntry_Rank(peer), peer->region, peer->domain,
                      peer->peer_address);
    }
    g_array_sort(out, compare_candidates);
    return out;
}

/* The most entries that any live peer knows, or this one. */
static uint32_t
count_entries(const GwPeers *peers)
{
    uint32_t count = g_hash_table_size(peers->by_address);
    GwPeerScan scan = GwPeers_Scan(peers, NULL, NULL);
    const GwPeerEntry *peer;

    while ((peer = GwPeerScan_Next(&scan)) != NULL) {
        count = MAX(count, peer->knows);
    }
    return count + 1;
}

/* The peers that messages may be sent to. Peers are removed only right before
 * this is called again. */
static void
index_peers(GwPeers *peers)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_remove_all(peers->by_quota_id);
    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwPeerEntry *peer = value;
        g_hash_table_insert(peers->by_quota_id, &peer->quota_id, peer);
    }
}

void
GwPeers_UpdateQuotaView(GwPeers *peers, int64_t now_us)
{
    GwEdge *edge = peers->edge;
    const GwRouterParams *own = &edge->settings->router;
    const GwRouting *routing = GwRouter_Routing(edge->router);

    if (routing == NULL || !routing->requires_keys) {
        return;
    }
    index_peers(peers);
    GArray *candidates = list_candidates(peers);
    GHashTable *counts = count_by_region(candidates);
    GwQuotaMember *members = g_new0(GwQuotaMember, candidates->len);

    for (guint i = 0; i < candidates->len; i++) {
        const Candidate *c = &g_array_index(candidates, Candidate, i);
        members[i] = c->member;
        members[i].group = group_of(counts, c->region, c->domain);
    }
    GwQuotaView view = {
        .own_group = group_of(counts, own->region, own->domain),
        .members = members,
        .member_count = candidates->len,
        .entries = count_entries(peers),
        .is_settled = peers->step == GW_JOIN_DONE ||
                      now_us - edge->started_us > SETTLE_US,
    };
    GwQuota_SetView(edge->quota, now_us, &view);
    g_free(members);
    g_hash_table_destroy(counts);
    g_array_free(candidates, TRUE);
}

/* ---- Messages ------------------------------------------------------------ */

static void
send_message(GwPeers *peers, const GwQuotaMessage *msg)
{
    const GwPeerEntry *peer =
        g_hash_table_lookup(peers->by_quota_id, &msg->peer);
    uint8_t bytes[DATAGRAM_MAX] = {GW_QUOTA_DATAGRAM};
    Message out = GW__PEER__QUOTA__INIT;

    if (peer == NULL) {
        return; /* gone meanwhile */
    }
    out.kind = msg->kind;
    out.process = msg->process;
    out.organisation = msg->organisation;
    out.id = msg->id;
    out.count = msg->count;
    out.wait_ms = msg->wait_ms;
    out.again_ms = msg->again_ms;
    out.entries = msg->entries;
    out.ends = msg->ends;
    out.is_partial = msg->is_partial;
    size_t len = 1 + gw__peer__quota__get_packed_size(&out);
    g_assert(len <= sizeof(bytes));
    (void)gw__peer__quota__pack(&out, bytes + 1);
    uv_buf_t buf = uv_buf_init((char *)bytes, (unsigned int)len);
    (void)uv_udp_try_send(&peers->udp, &buf, 1,
                          (const struct sockaddr *)&peer->to);
    peers->edge->cost
        .bytes[GW_CONTROL_QUOTAS][GwPeerEntry_Distance(peers, peer)] += len;
}

void
GwQuotas_SendMessages(GwEdge *edge)
{
    GwQuotaMessage msg;

    while (edge->quota != NULL && GwQuota_NextMessage(edge->quota, &msg)) {
        send_message(edge->peers, &msg);
    }
}

void
GwPeers_ReceiveQuota(GwPeers *peers, const char *from, const uint8_t *bytes,
                     size_t len)
{
    GwEdge *edge = peers->edge;
    Message *in = gw__peer__quota__unpack(NULL, len, bytes);
    const GwPeerEntry *peer = g_hash_table_lookup(peers->by_address, from);

    if (in == NULL) {
        return;
    }
    GwQuotaMessage msg = {
        .kind = (GwQuotaMessageKind)in->kind,
        .peer = GwQuota_Hash(from),
        .process = in->process,
        .organisation = in->organisation,
        .id = in->id,
        .count = in->count,
        .wait_ms = in->wait_ms,
        .again_ms = in->again_ms,
        .entries = in->entries,
        .ends = in->ends,
        .is_partial = in->is_partial,
    };
    gw__peer__quota__free_unpacked(in, NULL);
    /* A message of a process that has ended must not count for its
     * successor. */
    if (peer != NULL && peer->has_reported &&
        peer->process_id == msg.process &&
        GwQuota_Receive(edge->quota, GwEdge_Now(), &msg)) {
        GwRouter_RetryTokens(edge->router, GwEdge_Now(), edge->actions);
    }
    GwEdge_RunActions(edge);
}

void
GwQuotas_Tick(GwEdge *edge, int64_t now_us)
{
    if (GwQuota_Tick(edge->quota, now_us)) {
        GwRouter_RetryTokens(edge->router, now_us, edge->actions);
    }
    GwEdge_RunActions(edge);
}

/* ---- For operators ------------------------------------------------------- */

static void
collect(void *ctx, const GwQuotaUse *use)
{
    g_array_append_vals(ctx, use, 1);
}

static uint64_t
requests_of(const GwQuotaUse *use)
{
    return use->granted + use->denied + use->unknown;
}

static gint
compare_uses(gconstpointer a, gconstpointer b)
{
    uint64_t one = requests_of(a);
    uint64_t other = requests_of(b);

    return (one < other) - (one > other);
}

/* By number of requests, the largest first. */
static GArray *
list_uses(GwEdge *edge)
{
    GArray *uses = g_array_new(FALSE, FALSE, sizeof(GwQuotaUse));

    GwQuota_Each(edge->quota, GwEdge_Now(), collect, uses);
    g_array_sort(uses, compare_uses);
    return uses;
}

static void
write_use(GString *out, const GwQuotaUse *use)
{
    static const char metric[] = "gw_organisation_requests_total";
    char *name = g_strescape(use->name, NULL);

    g_string_append_printf(
        out,
        "%s{organisation=\"%s\",quota=\"granted\"} %" PRIu64 "\n"
        "%s{organisation=\"%s\",quota=\"denied\"} %" PRIu64 "\n"
        "%s{organisation=\"%s\",quota=\"unknown\"} %" PRIu64 "\n",
        metric, name, use->granted, metric, name, use->denied, metric, name,
        use->unknown);
    g_free(name);
}

void
GwQuotas_WriteMetrics(GwEdge *edge, GString *out)
{
    GArray *uses = list_uses(edge);
    GwQuotaUse others = {.name = OTHERS};
    uint32_t limited = 0;

    for (guint i = 0; i < uses->len; i++) {
        const GwQuotaUse *use = &g_array_index(uses, GwQuotaUse, i);
        limited += use->is_limited;
        if (i < METRICS_MAX) {
            write_use(out, use);
            continue;
        }
        others.granted += use->granted;
        others.denied += use->denied;
        others.unknown += use->unknown;
    }
    if (uses->len > METRICS_MAX) {
        write_use(out, &others);
    }
    g_string_append_printf(out, "gw_organisations_limited %u\n", limited);
    g_array_free(uses, TRUE);
}

void
GwQuotas_WritePage(GwEdge *edge, GString *out)
{
    struct json_object *all = json_object_new_array();
    GArray *uses = list_uses(edge);

    for (guint i = 0; i < uses->len; i++) {
        const GwQuotaUse *use = &g_array_index(uses, GwQuotaUse, i);
        struct json_object *item = json_object_new_object();
        GwJson_SetText(item, "organisation", use->name);
        json_object_object_add(item, "per_second",
                               json_object_new_double(use->rate_per_s));
        json_object_object_add(item, "burst",
                               json_object_new_double(use->burst));
        json_object_object_add(item, "share",
                               json_object_new_double(use->share));
        json_object_object_add(item, "tokens",
                               json_object_new_double(use->tokens));
        GwJson_SetBool(item, "limited", use->is_limited);
        GwJson_SetU64(item, "granted", use->granted);
        GwJson_SetU64(item, "denied", use->denied);
        GwJson_SetU64(item, "unknown", use->unknown);
        json_object_array_add(all, item);
    }
    g_string_append(
        out, json_object_to_json_string_ext(all, JSON_C_TO_STRING_PLAIN));
    json_object_put(all);
    g_array_free(uses, TRUE);
}
