/* Receives reports of other entries: applies the sender's state, loads and
 * placements, and answers new entries. */
#include "edge/bootstrap.h"
#include "edge/peers_internal.h"

#include "wire/peer.pb-c.h"

#include <arpa/inet.h>
#include <string.h>

#define LOADS_MAX   GW_SUM_LOADS_MAX
#define ADDRESS_MAX 32

typedef Gw__Peer__Report Report;

static void
set_text(char **at, const char *text)
{
    if (strcmp(*at, text) != 0) {
        g_free(*at);
        *at = g_strdup(text);
    }
}

/* Rejects reordered datagrams, and datagrams that a process sent before it
 * restarted. */
static bool
is_newer(const GwPeerEntry *peer, const Report *report)
{
    if (!peer->has_reported) {
        return true;
    }
    if (report->start == peer->process_id) {
        return report->seq > peer->seq;
    }
    return report->start != peer->last_process_id;
}

static bool
has_identity(const Report *report)
{
    return report->name[0] != '\0';
}

static void
apply_identity(GwPeerEntry *peer, const Report *report)
{
    set_text(&peer->name, report->name);
    set_text(&peer->region, report->region);
    set_text(&peer->domain, report->domain);
    set_text(&peer->call_address, report->call_address);
    peer->link_kbps = report->link_kbps;
    peer->cpu_milli = report->cpu_milli;
}

static uint32_t
read_loads(const uint32_t *servers, size_t n_servers, const uint32_t *counts,
           size_t n_counts, GwPeerLoad *out)
{
    size_t count = MIN(MIN(n_servers, n_counts), LOADS_MAX);

    for (size_t i = 0; i < count; i++) {
        out[i] = (GwPeerLoad){servers[i], counts[i]};
    }
    return (uint32_t)count;
}

static void
store_loads(GwPeers *peers, GwPeerEntry *peer, const Report *report)
{
    GwPeerLoad loads[LOADS_MAX];

    switch (report->loads_of) {
    case GW_LOADS_OWN:
        GwPeers_NoteLoads(
            peers, peer, loads,
            read_loads(report->load_servers, report->n_load_servers,
                       report->load_counts, report->n_load_counts, loads));
        break;
    case GW_LOADS_DOMAIN:
        if (report->sum != NULL) {
            GwPeers_ApplyDomainSum(peers, peer, report->sum);
        }
        break;
    case GW_LOADS_ALL:
        peer->loads_received_us = 0;
        if (report->sum != NULL) {
            GwPeers_ApplyAllSum(peers, peer, report->sum);
        }
        break;
    default:
        peer->loads_received_us = 0;
        break;
    }
}

/* With aggregated loads, only an aggregator counts the loads in a peer's
 * report: other entries receive the same requests within the sum over all
 * entries and would count them twice. */
static void
apply_loads(GwPeers *peers, GwPeerEntry *peer, const Report *report)
{
    GwPeerInfo info = {
        .name = peer->name,
        .region = peer->region,
        .domain = peer->domain,
        .serves = report->serves,
        .unreached_count = (uint32_t)report->n_unreached,
        .unreached = report->unreached,
    };

    store_loads(peers, peer, report);
    if (peer->loads_received_us != 0 &&
        (!peers->uses_sums || peers->is_aggregator)) {
        info.loads = (const GwPeerLoad *)peer->loads->data;
        info.load_count = peer->loads->len;
    }
    GwRouter_PutPeer(peers->edge->router, GwEdge_Now(), &info);
}

/* Returns the peer's proof about a table, if the report has one, and notes it
 * for this entry's copy. */
static GwPeerProof
apply_proof(const GwPeers *peers, GwFeed *feed, const GwClockReport *clocks,
            uint32_t wire_age, GwStoreVersion version)
{
    GwPeerProof proof = {.version = version};

    if (GwProof_FromPeer(clocks, wire_age, peers->process_id, GwEdge_BootNow(),
                         &proof.as_of_us)) {
        GwFeed_NoteProof(feed, &proof);
    }
    return proof;
}

static void
apply_proofs(GwPeers *peers, GwPeerEntry *peer, const Report *report)
{
    GwEdge *edge = peers->edge;
    GwClockReport clocks = {
        .clock_ms = report->clock_ms,
        .echo_process = report->echo_process,
        .echo_clock_ms = report->echo_clock_ms,
        .echo_held_ms = report->echo_held_ms,
    };

    peer->lacks_proof = report->lacks_proof;
    if (report->clock_ms == 0) {
        return; /* this report has none */
    }
    GwClockEcho_Note(&peer->echo, report->start, report->clock_ms,
                     GwEdge_BootNow());
    peer->config_version = report->config_version;
    peer->operator_proof =
        apply_proof(peers, edge->operator_feed, &clocks, report->proof_age_ms,
                    peer->operator_version);
    peer->server_proof =
        apply_proof(peers, edge->server_feed, &clocks,
                    report->server_proof_age_ms, peer->server_version);
}

static void
apply_placements(GwPeers *peers, const GwPeerEntry *peer, const Report *report)
{
    size_t placed = MIN(report->n_placed_objects, report->n_placed_servers);

    for (size_t i = 0; i < placed; i++) {
        GwPlacement placement = {.object = report->placed_objects[i],
                                 .server = report->placed_servers[i],
                                 .warm = i < report->placed_warm};
        GwRouter_PutPlacement(peers->edge->router, GwEdge_Now(), &placement);
        if (!placement.warm) {
            GwPeers_RelayPlacement(peers, peer, &placement);
        }
    }
}

static void
store_state(GwPeerEntry *peer, const Report *report)
{
    if (report->start != peer->process_id) {
        peer->last_process_id = peer->process_id;
        peer->process_id = report->start;
        memset(peer->gossip, 0, sizeof(peer->gossip));
        peer->operator_proof = (GwPeerProof){0};
        peer->server_proof = (GwPeerProof){0};
        peer->demand_of = GW_LOADS_NONE;
    }
    peer->seq = report->seq;
    peer->serves = report->serves;
    peer->lacks_servers = report->n_unreached > 0;
    peer->reads_store = report->reads;
    peer->saw_outage = report->store_was_away;
    peer->next_ms = report->next_ms;
    peer->knows = report->knows;
    peer->has_reported = true;
    peer->last_report_us = GwEdge_Now();
    peer->operator_version =
        (GwStoreVersion){report->store_era, report->operator_version};
    peer->server_version =
        (GwStoreVersion){report->store_era, report->server_version};
    peer->missing_bytes = report->news_bytes;
    peer->ack = (GwSumAck){.epoch = report->sum_epoch,
                           .seq = report->sum_seq,
                           .cells = report->sum_cells};
}

/* Whether to answer a new or restarted peer at once. Peers of other regions
 * wait for the next periodic report, unless this entry aggregates loads:
 * when hundreds of entries start together, every entry would answer all
 * others. */
static bool
answers_at_once(const GwPeers *peers, const GwPeerEntry *peer, bool was_live,
                const Report *report)
{
    if (was_live && !report->is_new) {
        return false;
    }
    return GwPeers_IsInRegion(peers, peer) || !peers->uses_sums ||
           peers->is_aggregator;
}

static void
handle_report(GwPeers *peers, const char *from, const Report *report)
{
    GwEdge *edge = peers->edge;
    GwPeerEntry *peer = GwPeers_Add(peers, from);

    if (peer == NULL || !is_newer(peer, report) ||
        (peer->process_id != report->start && !has_identity(report))) {
        return;
    }
    bool was_live = GwPeerEntry_IsLive(peer, GwEdge_Now());
    if (has_identity(report)) {
        apply_identity(peer, report);
    }
    if (!was_live) {
        GwPeers_NoteLive(peers);
        GwLog_Event(GW_LOG_MEMBER_UP, "member=%s domain=%s", peer->name,
                    peer->domain);
    }
    store_state(peer, report);
    apply_loads(peers, peer, report);
    apply_placements(peers, peer, report);
    apply_proofs(peers, peer, report);
    GwPeers_ApplySuspects(peers, peer, report);
    GwPeers_ApplyLimits(peers, peer, report);
    GwPeers_ApplyDemand(peers, peer, report);
    for (size_t i = 0; i < report->n_known; i++) {
        (void)GwPeers_Add(peers, report->known[i]);
    }
    GwFeed_NotePeerReport(edge->server_feed, report->store_was_away);
    GwFeed_ExpectEra(edge->operator_feed, report->store_era);
    GwFeed_ExpectEra(edge->server_feed, report->store_era);
    if (report->is_new) {
        GwPeers_MakeBacklog(peers, peer);
    }
    if (report->asks_known || answers_at_once(peers, peer, was_live, report)) {
        GwPeers_SendReport(
            peers, peer,
            report->asks_known &&
                GwBootstrap_SendsAddresses(
                    g_hash_table_size(peers->by_address), report->knows));
    }
    if (peers->tables_seen_us == 0 && report->server_version > 0 &&
        report->operator_version > 0) {
        peers->tables_seen_us = GwEdge_Now();
    }
    GwPeers_FetchRowsFrom(peers, peer);
}

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
    static char bytes[GW_REPORT_MAX_BYTES];

    (void)handle;
    (void)size;
    *buf = uv_buf_init(bytes, sizeof(bytes));
}

static void
on_datagram(uv_udp_t *udp, ssize_t len, const uv_buf_t *buf,
            const struct sockaddr *from, unsigned flags)
{
    GwPeers *peers = udp->data;
    char ip[INET_ADDRSTRLEN];
    char address[ADDRESS_MAX];

    (void)flags;
    if (len <= 0 || from == NULL || from->sa_family != AF_INET) {
        return;
    }
    const struct sockaddr_in *sender = (const struct sockaddr_in *)from;
    (void)uv_ip4_name(sender, ip, sizeof(ip));
    g_snprintf(address, sizeof(address), "%s:%u", ip, ntohs(sender->sin_port));
    if (buf->base[0] == GW_QUOTA_DATAGRAM) {
        GwPeers_ReceiveQuota(peers, address, (const uint8_t *)buf->base + 1,
                             (size_t)len - 1);
        return;
    }
    Report *report = gw__peer__report__unpack(NULL, (size_t)len,
                                              (const uint8_t *)buf->base);
    if (report != NULL) {
        handle_report(peers, address, report);
        gw__peer__report__free_unpacked(report, NULL);
        GwEdge_RunActions(peers->edge);
    }
}

bool
GwPeers_ListenReports(GwPeers *peers)
{
    struct sockaddr_in at;

    return GwConn_ParseAddress(peers->edge->settings->peer_address, &at) &&
           uv_udp_bind(&peers->udp, (const struct sockaddr *)&at, 0) == 0 &&
           uv_udp_recv_start(&peers->udp, on_alloc, on_datagram) == 0;
}
