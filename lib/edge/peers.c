/* Table of the other entries: liveness, and the directory for callers. */
#include "common/json.h"
#include "edge/peers_internal.h"
#include "edge/relay.h"

#include <json-c/json.h>

#include <arpa/inet.h>
#include <string.h>

/* The shortest period of reports. */
#define TICK_MS GW_SUM_PERIOD_MIN_MS
/* A peer is dead once three and a half of its periods passed without a
 * report, but not sooner than DEAD_MIN_US, as links lose single
 * datagrams. A dead peer is left out of the directory, and its requests in
 * flight no longer count. */
#define DEAD_MIN_US  2000000
#define DEAD_PERIODS 3.5
/* A dead peer still gets reports for this long, in case a network partition
 * heals. */
#define REMOVE_US 90000000

void
GwPeerEntry_DropBacklog(GwPeerEntry *peer)
{
    if (peer->backlog != NULL) {
        g_array_free(peer->backlog, TRUE);
        peer->backlog = NULL;
    }
}

static void
free_peer(gpointer item)
{
    GwPeerEntry *peer = item;

    g_free(peer->name);
    g_free(peer->region);
    g_free(peer->domain);
    g_free(peer->peer_address);
    g_free(peer->call_address);
    GwPeerEntry_DropBacklog(peer);
    GwSumCopy_Free(peer->copy);
    if (peer->loads != NULL) {
        g_array_free(peer->loads, TRUE);
    }
    if (peer->demand != NULL) {
        g_array_free(peer->demand, TRUE);
    }
    g_free(peer);
}

/* Returns the peer with this address, creating it if needed; NULL for this
 * entry's own or an invalid address. */
GwPeerEntry *
GwPeers_Add(GwPeers *peers, const char *address)
{
    const char *own = peers->edge->settings->peer_address;
    GwPeerEntry *peer = g_hash_table_lookup(peers->by_address, address);
    struct sockaddr_in to;

    if (peer != NULL || strcmp(address, own) == 0 ||
        !GwConn_ParseAddress(address, &to)) {
        return peer;
    }
    peer = g_new0(GwPeerEntry, 1);
    peer->name = g_strdup("");
    peer->region = g_strdup("");
    peer->domain = g_strdup("");
    peer->call_address = g_strdup("");
    peer->peer_address = g_strdup(address);
    peer->to = to;
    peer->created_us = GwEdge_Now();
    peer->quota_id = GwQuota_Hash(address);
    g_hash_table_insert(peers->by_address, peer->peer_address, peer);
    return peer;
}

bool
GwPeerEntry_IsLive(const GwPeerEntry *peer, int64_t now_us)
{
    int64_t limit_us = (int64_t)(DEAD_PERIODS * peer->next_ms * 1000);

    return peer->has_reported &&
           now_us - peer->last_report_us < MAX(limit_us, DEAD_MIN_US);
}

GwDistance
GwPeerEntry_Distance(const GwPeers *peers, const GwPeerEntry *peer)
{
    const GwRouterParams *own = &peers->edge->settings->router;

    if (strcmp(peer->region, own->region) != 0) {
        return GW_DISTANCE_REMOTE;
    }
    return strcmp(peer->domain, own->domain) == 0 ? GW_DISTANCE_DOMAIN
                                                  : GW_DISTANCE_REGION;
}

GwDistance
GwPeers_DistanceTo(const GwPeers *peers, const char *address)
{
    const GwPeerEntry *peer = g_hash_table_lookup(peers->by_address, address);

    return peer != NULL ? GwPeerEntry_Distance(peers, peer)
                        : GW_DISTANCE_REMOTE;
}

GwPeerScan
GwPeers_Scan(const GwPeers *peers, const char *region, const char *domain)
{
    GwPeerScan scan = {
        .region = region, .domain = domain, .now_us = GwEdge_Now()};

    g_hash_table_iter_init(&scan.iter, peers->by_address);
    return scan;
}

static bool
matches(const char *wanted, const char *name)
{
    return wanted == NULL || strcmp(wanted, name) == 0;
}

GwPeerEntry *
GwPeerScan_Next(GwPeerScan *scan)
{
    gpointer value;

    while (g_hash_table_iter_next(&scan->iter, NULL, &value)) {
        GwPeerEntry *peer = value;
        if (peer->serves && matches(scan->region, peer->region) &&
            matches(scan->domain, peer->domain) &&
            GwPeerEntry_IsLive(peer, scan->now_us)) {
            return peer;
        }
    }
    return NULL;
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer now)
{
    const GwPeerEntry *peer = value;
    int64_t since =
        peer->has_reported ? peer->last_report_us : peer->created_us;

    (void)key;
    return *(int64_t *)now - since > REMOVE_US;
}

void
GwPeers_Sweep(GwPeers *peers, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwPeerEntry *peer = value;
        if (peer->has_reported && !GwPeerEntry_IsLive(peer, now_us) &&
            peer->serves) {
            peer->serves = false;
            GwRouter_DropPeer(peers->edge->router, now_us, peer->name);
            GwLog_Event(GW_LOG_MEMBER_DEAD, "member=%s silent_ms=%" PRId64,
                        peer->name, (now_us - peer->last_report_us) / 1000);
        }
    }
    g_hash_table_remove_all(peers->by_quota_id);
    g_hash_table_foreach_remove(peers->by_address, is_expired, &now_us);
    GwPeers_SetPeriods(peers, now_us);
    GwRouter_SetEntries(peers->edge->router,
                        g_hash_table_size(peers->by_address) + 1);
    GwPeers_ChooseAggregators(peers, now_us);
    GwPeers_UpdateQuotaView(peers, now_us);
    GwPeers_ChooseReader(peers, now_us);
    GwPeers_SweepJoin(peers, now_us);
}

/* ---- Requests passed on to peers ----------------------------------------- */

uint64_t
GwPeers_ProcessId(const GwPeers *peers)
{
    return peers->process_id;
}

bool
GwPeers_RelayAddress(const char *peer_address, char out[32])
{
    struct sockaddr_in at;
    const char *colon = strrchr(peer_address, ':');

    if (!GwConn_ParseAddress(peer_address, &at) ||
        ntohs(at.sin_port) == UINT16_MAX) {
        return false;
    }
    g_snprintf(out, 32, "%.*s:%u", (int)(colon - peer_address), peer_address,
               ntohs(at.sin_port) + 1);
    return true;
}

bool
GwPeers_FindRelay(const GwPeers *peers, const char *name, GwRelayTarget *out)
{
    GwPeerScan scan = GwPeers_Scan(peers, NULL, NULL);
    const GwPeerEntry *peer;

    while ((peer = GwPeerScan_Next(&scan)) != NULL) {
        if (strcmp(peer->name, name) == 0) {
            out->process_id = peer->process_id;
            return GwPeers_RelayAddress(peer->peer_address, out->address);
        }
    }
    return false;
}

/* ---- Directory ----------------------------------------------------------- */

/* Which entries a directory answer may name. */
typedef struct {
    const char *region; /* NULL: any */
    const char *domain; /* NULL: any */
    bool able; /* only entries that accept keys and connect to all services */
} DirectoryScope;

static bool
is_able(const GwEdge *edge)
{
    uint32_t unreached;

    return GwEdge_HasProof(edge) &&
           GwRouter_UnreachedServices(edge->router, &unreached, 1) == 0;
}

static void
collect_addresses(const GwPeers *peers, const DirectoryScope *scope,
                  GPtrArray *out)
{
    const GwEdge *edge = peers->edge;
    const GwRouterParams *own = &edge->settings->router;
    GwPeerScan scan = GwPeers_Scan(peers, scope->region, scope->domain);
    GwPeerEntry *peer;

    if (GwEdge_IsReady(edge) && (!scope->able || is_able(edge)) &&
        matches(scope->region, own->region) &&
        matches(scope->domain, own->domain)) {
        g_ptr_array_add(out, (char *)edge->settings->call_address);
    }
    while ((peer = GwPeerScan_Next(&scan)) != NULL) {
        if (!scope->able || (!peer->lacks_proof && !peer->lacks_servers)) {
            g_ptr_array_add(out, peer->call_address);
        }
    }
}

/* Lists the entries of the caller's failure domain if there are at least
 * two, so that the caller survives the loss of one; else those of its
 * region; else all. Entries that refuse all keys, or that can't connect to the
 * servers of a service, are named only if there are no others. */
GPtrArray *
GwPeers_Directory(const GwPeers *peers, const char *region, const char *domain)
{
    const DirectoryScope scopes[] = {
        {.region = region, .domain = domain, .able = true},
        {.region = region, .able = true},
        {.able = true},
        {.region = region, .domain = domain},
        {.region = region},
        {.region = NULL},
    };
    GPtrArray *out = g_ptr_array_new();

    for (size_t i = 0; i < G_N_ELEMENTS(scopes) && out->len < 2; i++) {
        GPtrArray *found = g_ptr_array_new();
        collect_addresses(peers, &scopes[i], found);
        if (found->len > out->len) {
            g_ptr_array_free(out, TRUE);
            out = found;
        }
        else {
            g_ptr_array_free(found, TRUE);
        }
        if (scopes[i].able && scopes[i].region == NULL && out->len > 0) {
            break;
        }
    }
    if (out->len > GW_KNOWN_ADDRESSES_MAX) {
        g_ptr_array_set_size(out, GW_KNOWN_ADDRESSES_MAX);
    }
    return out;
}

GwPeersView
GwPeers_View(const GwPeers *peers)
{
    GwPeersView view = {0};
    int64_t now_us = GwEdge_Now();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwPeerEntry *peer = value;
        if (!GwPeerEntry_IsLive(peer, now_us)) {
            continue;
        }
        view.live++;
        view.operator_version =
            GwStoreVersion_Max(view.operator_version, peer->operator_version);
        view.server_version =
            GwStoreVersion_Max(view.server_version, peer->server_version);
        if (GwPeers_CountsLoadsOf(peers, peer)) {
            view.loads_age_ms =
                MAX(view.loads_age_ms, (now_us - peer->last_report_us) / 1000);
        }
    }
    if (peers->uses_sums && !peers->is_aggregator) {
        view.loads_age_ms = (now_us - peers->sums_received_us) / 1000;
    }
    return view;
}

static struct json_object *
member_json(const GwPeerEntry *peer, int64_t now_us)
{
    struct json_object *item = json_object_new_object();
    bool live = GwPeerEntry_IsLive(peer, now_us);

    GwJson_SetText(item, "name", peer->name);
    GwJson_SetText(item, "failure_domain", peer->domain);
    GwJson_SetText(item, "call_address", peer->call_address);
    GwJson_SetText(item, "state",
                   !live          ? "dead"
                   : peer->serves ? "alive"
                                  : "not-serving");
    GwJson_SetU64(item, "heard_ms_ago",
                  (uint64_t)(now_us - peer->last_report_us) / 1000);
    GwJson_SetU64(item, "store_era", peer->operator_version.era);
    GwJson_SetU64(item, "operator_row", peer->operator_version.number);
    GwJson_SetU64(item, "server_row", peer->server_version.number);
    GwJson_SetBool(item, "reads_store", peer->reads_store);
    GwJson_SetBool(item, "lacks_servers", peer->lacks_servers);
    return item;
}

struct json_object *
GwPeers_Members(const GwPeers *peers)
{
    struct json_object *all = json_object_new_array();
    int64_t now_us = GwEdge_Now();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwPeerEntry *peer = value;
        if (peer->has_reported) {
            json_object_array_add(all, member_json(peer, now_us));
        }
    }
    return all;
}

void
GwPeers_Announce(GwPeers *peers)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwPeers_SendReport(peers, value, false);
    }
}

/* Rows whose grace period is over must not wait for the next sweep. */
static void
settle_pending_rows(GwEdge *edge)
{
    if (GwFeed_PendingRows(edge->operator_feed) > 0 ||
        GwFeed_PendingRows(edge->server_feed) > 0) {
        GwFeed_Sweep(edge->operator_feed);
        GwFeed_Sweep(edge->server_feed);
        GwEdge_RunActions(edge);
    }
}

static void
on_timer(uv_timer_t *timer)
{
    GwPeers *peers = timer->data;
    int64_t now_us = GwEdge_Now();

    GwFeed_Tick(peers->edge->operator_feed);
    GwFeed_Tick(peers->edge->server_feed);
    GwPeers_GossipSuspects(peers, now_us);
    GwPeers_GossipLimits(peers, now_us);
    GwPeers_UpdateDemand(peers, now_us);
    (void)GwShortageLog_Update(peers->edge->shortage_log, peers->edge->router,
                               now_us);
    GwPeers_SendDueReports(peers, now_us);
    GwPeers_FetchDueRows(peers);
    GwQuotas_Tick(peers->edge, now_us);
    if (!GwEdge_IsReady(peers->edge)) {
        GwPeers_ChooseReader(peers, now_us);
    }
    settle_pending_rows(peers->edge);
}

GwPeers *
GwPeers_Create(GwEdge *edge, GError **error)
{
    GwPeers *peers = g_new0(GwPeers, 1);

    peers->edge = edge;
    peers->by_address =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
    peers->by_quota_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    peers->loads = g_array_new(FALSE, FALSE, sizeof(GwPeerLoad));
    peers->placements = g_array_new(FALSE, FALSE, sizeof(GwPlacement));
    peers->demand = g_array_new(FALSE, FALSE, sizeof(GwDemand));
    peers->domain_relays = g_array_new(FALSE, FALSE, sizeof(GwPlacement));
    peers->region_relays = g_array_new(FALSE, FALSE, sizeof(GwPlacement));
    peers->period_scale = 1;
    peers->unseen_period_scale = 1;
    /* A random process ID: a start time could repeat after a clock was set
     * back. */
    (void)uv_random(NULL, NULL, &peers->process_id, sizeof(peers->process_id),
                    0, NULL);
    GwPeers_CreateSums(peers, (uint32_t)peers->process_id);
    peers->step = GW_JOIN_WRITE;
    (void)uv_udp_init(&edge->loop, &peers->udp);
    peers->udp.data = peers;
    (void)uv_timer_init(&edge->loop, &peers->timer);
    peers->timer.data = peers;
    if (!GwPeers_ListenReports(peers)) {
        g_set_error(error, GW_ERROR, GW_RESULT_IO, "peer_address %s",
                    edge->settings->peer_address);
        return peers;
    }
    for (guint i = 0; i < edge->settings->seeds->len; i++) {
        (void)GwPeers_Add(peers, edge->settings->seeds->pdata[i]);
    }
    G_STATIC_ASSERT(TICK_MS == GW_QUOTA_TICK_MS);
    (void)uv_timer_start(&peers->timer, on_timer, 0, TICK_MS);
    return peers;
}

void
GwPeers_Close(GwPeers *peers)
{
    GwConn_CloseAndClear(&peers->join);
    uv_close((uv_handle_t *)&peers->udp, NULL);
    uv_close((uv_handle_t *)&peers->timer, NULL);
}

void
GwPeers_Free(GwPeers *peers)
{
    if (peers == NULL) {
        return;
    }
    g_hash_table_destroy(peers->by_quota_id);
    g_hash_table_destroy(peers->by_address);
    g_array_free(peers->loads, TRUE);
    g_array_free(peers->placements, TRUE);
    g_array_free(peers->demand, TRUE);
    g_array_free(peers->domain_relays, TRUE);
    g_array_free(peers->region_relays, TRUE);
    GwPeers_FreeSums(peers);
    g_free(peers->join_after);
    g_free(peers);
}
