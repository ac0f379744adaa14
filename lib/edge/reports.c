/* Sends reports to other entries, one datagram each.
 *
 * Each report is complete and the next one repeats it, so the loss of a report
 * delays its content by one period and has no other effect. Entries that share
 * backend servers need each other's loads and placements soon; all other
 * entries only need the sender's liveness. While entries are few, each entry
 * reports to all others. With more entries, loads go through aggregators
 * (aggregate.c), and the periods of all other reports grow with the number of
 * entries, which bounds the reports that an entry sends per second. Bytes
 * between failure domains are paid for, so names and addresses are sent only
 * in some reports. */
#include "edge/peers_internal.h"

#include "wire/peer.pb-c.h"

#include <string.h>

/* Report periods by distance: same failure domain, same region, other
 * region. */
#define DOMAIN_PERIOD_MS 50
#define REGION_PERIOD_MS 100
#define REMOTE_PERIOD_MS 250
/* Maximum reports that an entry sends per second; 12 entries need 72. With
 * aggregated loads, all reports except those to and from aggregators carry
 * liveness only. */
#define REPORTS_PER_S  80.0
#define LIVENESS_PER_S 40.0
/* Periods of an aggregator's reports to the aggregators of other failure
 * domains, in the region and in other regions, where bytes are paid for. */
#define SUM_REGION_MS GW_SUM_PERIOD_MIN_MS
#define SUM_REMOTE_MS 500
/* Periods are recomputed after this many new live peers. */
#define NEW_LIVE_MAX 8
/* An entry without live peers requests addresses from this many per
 * interval. */
#define ADDRESS_REQUESTS_MAX 3
#define ADDRESS_REQUESTS_US  1000000
/* Periods of the proofs in reports, as shares of the time within which changes
 * must be in force. */
#define PROOF_SHARE        0.05
#define PROOF_REMOTE_SHARE 0.2
/* One report out of this many carries name and addresses. */
#define IDENTITY_EVERY 8
#define PLACEMENTS_MAX 400
#define LOADS_MAX      GW_SUM_LOADS_MAX

typedef Gw__Peer__Report Report;

static uint32_t
base_period_ms(const GwPeers *peers, const GwPeerEntry *peer)
{
    switch (GwPeerEntry_Distance(peers, peer)) {
    case GW_DISTANCE_DOMAIN:
        return DOMAIN_PERIOD_MS;
    case GW_DISTANCE_REGION:
        return REGION_PERIOD_MS;
    default:
        return REMOTE_PERIOD_MS;
    }
}

/* Reports with loads are sent at short periods; all others only carry
 * liveness. */
static uint32_t
period_ms(const GwPeers *peers, const GwPeerEntry *peer)
{
    double scale =
        peer->has_reported ? peers->period_scale : peers->unseen_period_scale;
    uint32_t scaled_ms = (uint32_t)(base_period_ms(peers, peer) * scale);

    switch (GwPeers_LoadScopeFor(peers, peer)) {
    case GW_LOADS_OWN:
        return peers->uses_sums ? GW_SUM_PERIOD_MIN_MS : scaled_ms;
    case GW_LOADS_ALL:
        return GwLoadSum_PeriodMs(peer->sent_bytes, peer->link_kbps);
    case GW_LOADS_DOMAIN:
        return GwPeers_IsInRegion(peers, peer) ? SUM_REGION_MS : SUM_REMOTE_MS;
    case GW_LOADS_NONE:
        break;
    }
    return scaled_ms;
}

void
GwPeers_SetPeriods(GwPeers *peers, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    double per_s = 0;
    double unseen_per_s = 0;
    double max_per_s = peers->uses_sums ? LIVENESS_PER_S : REPORTS_PER_S;

    peers->live = 0;
    peers->new_live = 0;
    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwPeerEntry *peer = value;
        if (GwPeerEntry_IsLive(peer, now_us)) {
            peers->live++;
            per_s += 1000.0 / base_period_ms(peers, peer);
        }
        else if (!peer->has_reported) {
            unseen_per_s += 1000.0 / base_period_ms(peers, peer);
        }
    }
    peers->period_scale = MAX(1.0, per_s / max_per_s);
    peers->unseen_period_scale =
        MAX(1.0, (per_s + unseen_per_s) / LIVENESS_PER_S);
}

void
GwPeers_NoteLive(GwPeers *peers)
{
    if (++peers->new_live >= NEW_LIVE_MAX) {
        GwPeers_SetPeriods(peers, GwEdge_Now());
    }
}

void
GwPeers_StaggerFirstReports(GwPeers *peers)
{
    int64_t now_us = GwEdge_Now();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwPeerEntry *peer = value;
        if (peer->sent_us == 0) {
            int64_t period_us = (int64_t)period_ms(peers, peer) * 1000;
            peer->sent_us =
                now_us - g_str_hash(peer->peer_address) % period_us;
        }
    }
}

typedef struct {
    uint32_t count;
    uint32_t servers[LOADS_MAX];
    uint32_t counts[LOADS_MAX];
} LoadArrays;

/* Arrays that a report points into until it is packed. */
typedef struct {
    LoadArrays loads;
    uint64_t placed_objects[PLACEMENTS_MAX];
    uint32_t placed_servers[PLACEMENTS_MAX];
    char *known[GW_KNOWN_ADDRESSES_MAX];
    GwSuspectArrays suspects;
    GwLimitArrays limits;
    GwDemandArrays demand;
    uint32_t unreached[GW_UNREACHED_MAX];
} Arrays;

static void
fill_identity(const GwPeers *peers, Report *report)
{
    const GwEdgeSettings *s = peers->edge->settings;

    report->name = (char *)s->router.name;
    report->region = (char *)s->router.region;
    report->domain = (char *)s->router.domain;
    report->call_address = (char *)s->call_address;
    report->link_kbps = s->link_kbps;
    report->cpu_milli = s->cpu_milli;
}

static void
fill_own_loads(GwPeers *peers, Report *report, LoadArrays *to)
{
    g_array_set_size(peers->loads, 0);
    GwRouter_OwnLoads(peers->edge->router, peers->loads);
    to->count = MIN(peers->loads->len, LOADS_MAX);
    for (uint32_t i = 0; i < to->count; i++) {
        const GwPeerLoad *load = &g_array_index(peers->loads, GwPeerLoad, i);
        to->servers[i] = load->server;
        to->counts[i] = load->in_flight;
    }
    report->load_servers = to->servers;
    report->load_counts = to->counts;
    report->n_load_servers = to->count;
    report->n_load_counts = to->count;
}

static void
fill_loads(GwPeers *peers, const GwPeerEntry *peer, Report *report,
           Arrays *arrays)
{
    switch ((GwLoadScope)report->loads_of) {
    case GW_LOADS_NONE:
        break;
    case GW_LOADS_OWN:
        fill_own_loads(peers, report, &arrays->loads);
        break;
    case GW_LOADS_DOMAIN:
        report->sum =
            GwSumSource_WriteChange(GwPeers_DomainSource(peers), &peer->ack,
                                    NULL, NULL, peers->message);
        break;
    case GW_LOADS_ALL:
        report->sum =
            GwSumSource_WriteChange(GwPeers_AllSource(peers), &peer->ack,
                                    peer->region, peer->loads, peers->message);
        break;
    }
}

static void
fill_ack(const GwPeerEntry *peer, Report *report)
{
    if (peer->copy != NULL) {
        GwSumAck ack = GwSumCopy_Ack(peer->copy);
        report->sum_epoch = ack.epoch;
        report->sum_seq = ack.seq;
        report->sum_cells = ack.cells;
    }
}

/* Both versions are told in the newer era: a table of an earlier one counts as
 * not read yet. */
static void
fill_versions(const GwEdge *edge, Report *report)
{
    GwStoreVersion operator_version = GwFeed_Version(edge->operator_feed);
    GwStoreVersion server_version = GwFeed_Version(edge->server_feed);

    report->store_era = MAX(operator_version.era, server_version.era);
    if (operator_version.era == report->store_era) {
        report->operator_version = operator_version.number;
    }
    if (server_version.era == report->store_era) {
        report->server_version = server_version.number;
    }
}

/* Whether the next report to the peer carries proofs. They cost bytes, so not
 * every report does. */
static bool
is_proof_due(const GwPeers *peers, const GwPeerEntry *peer, int64_t now_us)
{
    const GwEdgeSettings *own = peers->edge->settings;
    double share =
        GwPeers_IsInRegion(peers, peer) ? PROOF_SHARE : PROOF_REMOTE_SHARE;
    double period_us = share * GwEdgeSettings_ChangeBoundMs(own) * 1000;

    return (double)(now_us - peer->proof_sent_us) >= period_us;
}

/* Adds the proofs that the reported versions are the newest. */
static void
fill_proofs(const GwPeers *peers, GwPeerEntry *peer, Report *report)
{
    const GwEdge *edge = peers->edge;
    const GwRouting *routing = GwRouter_Routing(edge->router);
    int64_t now_us = GwEdge_BootNow();

    report->lacks_proof = !GwEdge_HasProof(edge);
    if (!is_proof_due(peers, peer, now_us)) {
        return;
    }
    peer->proof_sent_us = now_us;
    GwClockReport clocks = GwClockEcho_Report(&peer->echo, now_us);
    report->clock_ms = clocks.clock_ms;
    report->echo_process = clocks.echo_process;
    report->echo_clock_ms = clocks.echo_clock_ms;
    report->echo_held_ms = clocks.echo_held_ms;
    if (report->operator_version != 0) {
        report->proof_age_ms =
            GwProof_WireAge(GwFeed_Proof(edge->operator_feed), now_us);
    }
    if (report->server_version != 0) {
        report->server_proof_age_ms =
            GwProof_WireAge(GwFeed_Proof(edge->server_feed), now_us);
    }
    if (routing != NULL) {
        report->config_version = routing->version;
    }
}

/* Adds the placements that are newer than the report before the last one to
 * this peer. Only peers of the region get placements. */
static void
fill_placements(GwPeers *peers, GwPeerEntry *peer, Report *report,
                Arrays *arrays)
{
    report->placed_warm =
        GwPeers_PlacementsFor(peers, peer, (GwLoadScope)report->loads_of,
                              report->next_ms, peers->placements);
    guint count = MIN(peers->placements->len, PLACEMENTS_MAX);
    for (guint i = 0; i < count; i++) {
        const GwPlacement *p =
            &g_array_index(peers->placements, GwPlacement, i);
        arrays->placed_objects[i] = p->object;
        arrays->placed_servers[i] = p->server;
    }
    report->placed_objects = arrays->placed_objects;
    report->placed_servers = arrays->placed_servers;
    report->n_placed_objects = count;
    report->n_placed_servers = count;
}

static void
fill_known_addresses(GwPeers *peers, Report *report, Arrays *arrays)
{
    GHashTableIter iter;
    gpointer value;

    report->known = arrays->known;
    g_hash_table_iter_init(&iter, peers->by_address);
    while (report->n_known < GW_KNOWN_ADDRESSES_MAX &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwPeerEntry *peer = value;
        if (GwPeerEntry_IsLive(peer, GwEdge_Now())) {
            report->known[report->n_known++] = peer->peer_address;
        }
    }
}

static size_t
loads_size(const Report *report)
{
    size_t size = report->sum != NULL
                      ? gw__peer__sum_change__get_packed_size(report->sum)
                      : 0;

    for (size_t i = 0; i < report->n_load_counts; i++) {
        size += sizeof(uint32_t) + 1 + (report->load_counts[i] > 127);
    }
    return size;
}

static void
count_cost(const GwPeers *peers, const GwPeerEntry *peer, const Report *report,
           size_t len)
{
    GwControlCost *cost = &peers->edge->cost;
    GwDistance distance = GwPeerEntry_Distance(peers, peer);
    size_t loads = loads_size(report);
    size_t placements =
        report->n_placed_objects * (sizeof(uint64_t) + sizeof(uint32_t));

    size_t suspects = 0;
    for (size_t i = 0; i < report->n_suspects; i++) {
        suspects +=
            gw__peer__suspect__get_packed_size(report->suspects[i]) + 2;
    }
    size_t demand = 0;
    for (size_t i = 0; i < report->n_demand; i++) {
        demand += gw__peer__demand__get_packed_size(report->demand[i]) + 3;
    }
    GwControlKind kind =
        report->loads_of == GW_LOADS_ALL ? GW_CONTROL_SUMS : GW_CONTROL_LOADS;
    cost->bytes[kind][distance] += loads;
    cost->bytes[GW_CONTROL_PLACEMENTS][distance] += placements;
    cost->bytes[GW_CONTROL_SUSPECTS][distance] += suspects;
    cost->bytes[GW_CONTROL_DEMAND][distance] += demand;
    cost->bytes[GW_CONTROL_LIVENESS][distance] +=
        len - loads - placements - suspects - demand;
}

/* Whether to request addresses from the peer. Only a few requests are sent per
 * interval, as each peer answers with all addresses that it knows. */
static bool
needs_addresses(GwPeers *peers)
{
    int64_t now_us = GwEdge_Now();

    if (peers->live >= 2) {
        return false;
    }
    if (now_us - peers->address_requests_us > ADDRESS_REQUESTS_US) {
        peers->address_requests_us = now_us;
        peers->address_requests = 0;
    }
    return peers->address_requests++ < ADDRESS_REQUESTS_MAX;
}

/* Drops first what is sent again soon: the placements, which are sent twice,
 * then the demand, which is due again at once, then the loads and their sum. A
 * receiver that gets no sum for long requests it again, in parts. Without
 * `loads_of` a receiver could not tell whose demand it gets. */
size_t
GwPeers_ShrinkReport(GwPeerEntry *peer, Report *report)
{
    size_t len = gw__peer__report__get_packed_size(report);

    if (len > GW_REPORT_MAX_BYTES) {
        report->n_placed_objects = 0;
        report->n_placed_servers = 0;
        report->placed_warm = 0;
        len = gw__peer__report__get_packed_size(report);
    }
    if (len > GW_REPORT_MAX_BYTES) {
        GwPeers_DropDemand(peer, report);
        len = gw__peer__report__get_packed_size(report);
    }
    if (len > GW_REPORT_MAX_BYTES) {
        report->sum = NULL;
        report->n_load_servers = 0;
        report->n_load_counts = 0;
        report->loads_of = GW_LOADS_NONE;
        len = gw__peer__report__get_packed_size(report);
    }
    return len;
}

void
GwPeers_SendReport(GwPeers *peers, GwPeerEntry *peer, bool with_known)
{
    GwEdge *edge = peers->edge;
    Report report = GW__PEER__REPORT__INIT;
    Arrays arrays;
    uint8_t bytes[GW_REPORT_MAX_BYTES];

    report.start = peers->process_id;
    report.seq = ++peers->seq;
    report.serves = GwEdge_IsReady(edge);
    report.reads = GwFeed_IsHealthy(edge->operator_feed) &&
                   GwFeed_IsHealthy(edge->server_feed);
    report.store_was_away = GwFeed_HadOutage(edge->server_feed);
    report.next_ms = period_ms(peers, peer);
    report.loads_of = GwPeers_LoadScopeFor(peers, peer);
    fill_versions(edge, &report);
    report.news_bytes = (uint32_t)MIN(
        GwFeed_BytesAfter(edge->operator_feed, peer->operator_version),
        UINT32_MAX);
    report.is_new = peers->live < 2;
    report.asks_known = needs_addresses(peers);
    report.knows = g_hash_table_size(peers->by_address);
    if (!peer->has_reported || with_known || report.is_new ||
        peer->sent_count++ % IDENTITY_EVERY == 0) {
        fill_identity(peers, &report);
    }
    report.unreached = arrays.unreached;
    report.n_unreached = GwRouter_UnreachedServices(
        edge->router, arrays.unreached, GW_UNREACHED_MAX);
    fill_loads(peers, peer, &report, &arrays);
    fill_ack(peer, &report);
    fill_proofs(peers, peer, &report);
    fill_placements(peers, peer, &report, &arrays);
    GwPeers_FillSuspects(peers, peer, &report, &arrays.suspects);
    GwPeers_FillLimits(peers, peer, &report, &arrays.limits);
    GwPeers_FillDemand(peers, peer, &report, &arrays.demand);
    if (with_known) {
        fill_known_addresses(peers, &report, &arrays);
    }
    size_t len = GwPeers_ShrinkReport(peer, &report);
    if (len <= sizeof(bytes)) {
        (void)gw__peer__report__pack(&report, bytes);
        uv_buf_t buf = uv_buf_init((char *)bytes, (unsigned int)len);
        edge->counts.reports++;
        count_cost(peers, peer, &report, len);
        peer->sent_bytes = (uint32_t)len;
        (void)uv_udp_try_send(&peers->udp, &buf, 1,
                              (const struct sockaddr *)&peer->to);
    }
    peer->sent_us = GwEdge_Now();
    peer->is_urgent = false;
}

void
GwPeers_SendDueReports(GwPeers *peers, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwPeerEntry *peer = value;
        int64_t due_us =
            peer->sent_us + (int64_t)period_ms(peers, peer) * 1000;
        if (now_us >= due_us - 5000 || peer->is_urgent) {
            GwPeers_SendReport(peers, peer, false);
        }
    }
}

void
GwPeers_ExpediteDomain(GwPeers *peers)
{
    const char *own = peers->edge->settings->router.domain;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwPeerEntry *peer = value;
        peer->is_urgent = peer->is_urgent || strcmp(peer->domain, own) == 0;
    }
}

void
GwPeers_ExpediteRegion(GwPeers *peers)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwPeerEntry *peer = value;
        if (GwPeers_IsInRegion(peers, peer)) {
            peer->is_urgent = true;
        }
    }
}
