/* Reports between entries, one datagram each.
 *
 * A report is whole and repeated, so a lost one costs a period and nothing
 * else. Entries that share backend servers need each other's load and places
 * soon; those of other regions only need to know that the others are there.
 * Bytes between failure domains are paid for, so names and addresses go along
 * only now and then, and all periods grow with the number of entries: what
 * one entry sends a second is bounded. */
#include "edge/introduce.h"
#include "edge/peers_internal.h"

#include "wire/peer.pb-c.h"

#include <arpa/inet.h>
#include <string.h>

/* Periods: with entries of the failure domain, of the region, and of others. */
#define SAME_DOMAIN_MS 100
#define SAME_REGION_MS 200
#define FAR_MS         500
/* Reports that an entry sends a second at most; 12 entries need 33. */
#define REPORTS_PER_S 40.0
/* Every so many reports tell names and addresses. */
#define IDENTITY_EVERY 8
/* A placement is told in two reports, since one may be lost; and no longer
 * than this. */
#define PLACEMENT_LIFE_US 30000000
#define PLACEMENTS_MAX    128
#define LOADS_MAX         256
/* Of the places that a new entry of the region is told, a part a report. */
#define BACKLOG_MAX      2000
#define BACKLOG_PART     100
#define REPORT_MAX_BYTES 8192
#define ADDRESS_MAX      32

typedef Gw__Peer__Report Report;

static bool
is_near(const GwPeers *peers, const GwPeerEntry *peer)
{
    return peer->heard &&
           strcmp(peer->region, peers->edge->settings->router.region) == 0;
}

static uint32_t
base_period_ms(const GwPeers *peers, const GwPeerEntry *peer)
{
    if (!is_near(peers, peer)) {
        return FAR_MS;
    }
    bool same =
        strcmp(peer->domain, peers->edge->settings->router.domain) == 0;
    return same ? SAME_DOMAIN_MS : SAME_REGION_MS;
}

static uint32_t
period_ms(const GwPeers *peers, const GwPeerEntry *peer)
{
    return (uint32_t)(base_period_ms(peers, peer) * peers->stretch);
}

void
GwPeers_SetPeriods(GwPeers *peers, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    double per_s = 0;

    peers->live = 0;
    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwPeerEntry *peer = value;
        if (GwPeerEntry_IsLive(peer, now_us)) {
            peers->live++;
            per_s += 1000.0 / base_period_ms(peers, peer);
        }
    }
    peers->stretch = MAX(1.0, per_s / REPORTS_PER_S);
}

/* ---- Out ----------------------------------------------------------------- */

/* Arrays that a report points into while it is packed. */
typedef struct {
    uint32_t load_servers[LOADS_MAX];
    uint32_t load_counts[LOADS_MAX];
    uint64_t placed_objects[PLACEMENTS_MAX];
    uint32_t placed_servers[PLACEMENTS_MAX];
    char *known[GW_KNOWN_MAX];
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
fill_loads(GwPeers *peers, Report *report, Arrays *arrays)
{
    g_array_set_size(peers->loads, 0);
    GwRouter_OwnLoads(peers->edge->router, peers->loads);
    guint count = MIN(peers->loads->len, LOADS_MAX);
    for (guint i = 0; i < count; i++) {
        const GwPeerLoad *load = &g_array_index(peers->loads, GwPeerLoad, i);
        arrays->load_servers[i] = load->server;
        arrays->load_counts[i] = load->in_flight;
    }
    report->load_servers = arrays->load_servers;
    report->load_counts = arrays->load_counts;
    report->n_load_servers = count;
    report->n_load_counts = count;
}

/* Moves a part of what a new peer is still to be told into `out`. */
static uint32_t
take_backlog(GwPeerEntry *peer, GArray *out)
{
    if (peer->backlog == NULL) {
        return 0;
    }
    guint count = MIN(peer->backlog->len, BACKLOG_PART);
    g_array_append_vals(out, peer->backlog->data, count);
    g_array_remove_range(peer->backlog, 0, count);
    if (peer->backlog->len == 0) {
        GwPeerEntry_DropBacklog(peer);
    }
    return count;
}

/* Entries of the region learn where objects went: all that is newer than the
 * report before the last one to this peer. */
static void
fill_placements(GwPeers *peers, GwPeerEntry *peer, Report *report,
                Arrays *arrays)
{
    int64_t now_us = GwEdge_Now();
    int64_t age_us =
        now_us - peer->told_us + (int64_t)period_ms(peers, peer) * 1000;

    g_array_set_size(peers->placements, 0);
    report->placed_warm = take_backlog(peer, peers->placements);
    GwRouter_OwnPlacements(peers->edge->router, now_us,
                           MIN(age_us, PLACEMENT_LIFE_US), PLACEMENT_LIFE_US,
                           peers->placements);
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
fill_known(GwPeers *peers, Report *report, Arrays *arrays)
{
    GHashTableIter iter;
    gpointer value;

    report->known = arrays->known;
    g_hash_table_iter_init(&iter, peers->by_address);
    while (report->n_known < GW_KNOWN_MAX &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwPeerEntry *peer = value;
        if (GwPeerEntry_IsLive(peer, GwEdge_Now())) {
            report->known[report->n_known++] = peer->peer_address;
        }
    }
}

void
GwPeers_Tell(GwPeers *peers, GwPeerEntry *peer, bool with_known)
{
    GwEdge *edge = peers->edge;
    Report report = GW__PEER__REPORT__INIT;
    Arrays arrays;
    uint8_t bytes[REPORT_MAX_BYTES];

    report.start = peers->start;
    report.seq = ++peers->seq;
    report.serves = GwEdge_IsReady(edge);
    report.reads = GwFeed_IsHealthy(edge->operator_feed) &&
                   GwFeed_IsHealthy(edge->server_feed);
    report.store_was_away = GwFeed_WasAway(edge->server_feed, GwEdge_Now());
    report.next_ms = period_ms(peers, peer);
    report.operator_version = GwFeed_Version(edge->operator_feed);
    report.server_version = GwFeed_Version(edge->server_feed);
    report.news_bytes = (uint32_t)MIN(
        GwFeed_BytesAfter(edge->operator_feed, peer->operator_version),
        UINT32_MAX);
    report.is_new = peers->live < 2;
    report.knows = g_hash_table_size(peers->by_address);
    if (!peer->heard || with_known || report.is_new ||
        peer->told++ % IDENTITY_EVERY == 0) {
        fill_identity(peers, &report);
    }
    fill_loads(peers, &report, &arrays);
    if (is_near(peers, peer)) {
        fill_placements(peers, peer, &report, &arrays);
    }
    if (with_known) {
        fill_known(peers, &report, &arrays);
    }
    if (gw__peer__report__get_packed_size(&report) <= sizeof(bytes)) {
        size_t len = gw__peer__report__pack(&report, bytes);
        uv_buf_t buf = uv_buf_init((char *)bytes, (unsigned int)len);
        edge->counts.reports++;
        edge->counts.report_bytes += len;
        (void)uv_udp_try_send(&peers->udp, &buf, 1,
                              (const struct sockaddr *)&peer->to);
    }
    peer->told_us = GwEdge_Now();
    peer->hurry = false;
}

void
GwPeers_TellDue(GwPeers *peers, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwPeerEntry *peer = value;
        int64_t due_us =
            peer->told_us + (int64_t)period_ms(peers, peer) * 1000;
        if (now_us >= due_us - 5000 || peer->hurry) {
            GwPeers_Tell(peers, peer, false);
        }
    }
}

void
GwPeers_HurryDomain(GwPeers *peers)
{
    const char *own = peers->edge->settings->router.domain;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwPeerEntry *peer = value;
        peer->hurry = peer->hurry || strcmp(peer->domain, own) == 0;
    }
}

void
GwPeers_Hurry(GwPeers *peers)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwPeerEntry *peer = value;
        if (is_near(peers, peer)) {
            peer->hurry = true;
        }
    }
}

/* ---- In ------------------------------------------------------------------ */

static void
replace_text(char **at, const char *text)
{
    if (strcmp(*at, text) != 0) {
        g_free(*at);
        *at = g_strdup(text);
    }
}

/* Datagrams overtake each other; those of a process that has ended since may
 * still come. */
static bool
is_newer(const GwPeerEntry *peer, const Report *report)
{
    if (!peer->heard) {
        return true;
    }
    if (report->start == peer->start) {
        return report->seq > peer->seq;
    }
    return report->start != peer->last_start;
}

static bool
has_identity(const Report *report)
{
    return report->name[0] != '\0';
}

static void
take_identity(GwPeerEntry *peer, const Report *report)
{
    replace_text(&peer->name, report->name);
    replace_text(&peer->region, report->region);
    replace_text(&peer->domain, report->domain);
    replace_text(&peer->call_address, report->call_address);
    peer->link_kbps = report->link_kbps;
    peer->cpu_milli = report->cpu_milli;
}

static void
tell_router(GwPeers *peers, const GwPeerEntry *peer, const Report *report)
{
    GwPeerLoad loads[LOADS_MAX];
    size_t count = MIN(report->n_load_servers, report->n_load_counts);
    size_t placed = MIN(report->n_placed_objects, report->n_placed_servers);
    GwPeerInfo info = {
        .name = peer->name,
        .region = peer->region,
        .serves = report->serves,
        .load_count = (uint32_t)MIN(count, LOADS_MAX),
        .loads = loads,
    };

    for (uint32_t i = 0; i < info.load_count; i++) {
        loads[i] =
            (GwPeerLoad){report->load_servers[i], report->load_counts[i]};
    }
    GwRouter_PutPeer(peers->edge->router, GwEdge_Now(), &info);
    for (size_t i = 0; i < placed; i++) {
        GwPlacement placement = {.object = report->placed_objects[i],
                                 .server = report->placed_servers[i],
                                 .warm = i < report->placed_warm};
        GwRouter_PutPlacement(peers->edge->router, GwEdge_Now(), &placement);
    }
}

static bool
is_introducer(const GwPeers *peers, const GwPeerEntry *newcomer)
{
    const GwRouterParams *own = &peers->edge->settings->router;
    GPtrArray *others = g_ptr_array_new();
    GwPeerScan scan = GwPeers_Scan(peers, own->region, NULL);
    const GwPeerEntry *peer;

    while ((peer = GwPeerScan_Next(&scan)) != NULL) {
        if (peer != newcomer) {
            g_ptr_array_add(others, peer->name);
        }
    }
    bool is_one = GwIntroduce_TellsPlaces(own->name, newcomer->name, others);
    g_ptr_array_free(others, TRUE);
    return is_one;
}

/* A new entry of the region is told once where objects are warm. */
static void
make_backlog(GwPeers *peers, GwPeerEntry *peer)
{
    if (!is_near(peers, peer) || peer->backlog_start == peer->start ||
        !is_introducer(peers, peer)) {
        return;
    }
    GwPeerEntry_DropBacklog(peer);
    peer->backlog_start = peer->start;
    peer->backlog = g_array_new(FALSE, FALSE, sizeof(GwPlacement));
    GwRouter_WarmPlacements(peers->edge->router, BACKLOG_MAX, peer->backlog);
}

static void
note(GwPeerEntry *peer, const Report *report)
{
    if (report->start != peer->start) {
        peer->last_start = peer->start;
        peer->start = report->start;
    }
    peer->seq = report->seq;
    peer->serves = report->serves;
    peer->reads = report->reads;
    peer->saw_away = report->store_was_away;
    peer->next_ms = report->next_ms;
    peer->heard = true;
    peer->heard_us = GwEdge_Now();
    peer->operator_version = report->operator_version;
    peer->server_version = report->server_version;
    peer->news_bytes = report->news_bytes;
}

static void
take(GwPeers *peers, const char *from, const Report *report)
{
    GwEdge *edge = peers->edge;
    GwPeerEntry *peer = GwPeers_Add(peers, from);

    if (peer == NULL || !is_newer(peer, report) ||
        (peer->start != report->start && !has_identity(report))) {
        return;
    }
    bool was_live = GwPeerEntry_IsLive(peer, GwEdge_Now());
    if (has_identity(report)) {
        take_identity(peer, report);
    }
    if (!was_live) {
        GwLog_Event(GW_LOG_MEMBER_UP, "member=%s domain=%s", peer->name,
                    peer->domain);
    }
    note(peer, report);
    tell_router(peers, peer, report);
    for (size_t i = 0; i < report->n_known; i++) {
        (void)GwPeers_Add(peers, report->known[i]);
    }
    GwFeed_NotePeer(edge->server_feed, GwEdge_Now(), report->store_was_away);
    if (report->is_new) {
        make_backlog(peers, peer);
    }
    if (report->is_new || !was_live) {
        GwPeers_Tell(
            peers, peer,
            report->is_new &&
                GwIntroduce_TellsAddresses(
                    g_hash_table_size(peers->by_address), report->knows));
    }
    GwPeers_AskForRows(peers, peer);
}

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
    static char bytes[REPORT_MAX_BYTES];

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
    const struct sockaddr_in *in = (const struct sockaddr_in *)from;
    (void)uv_ip4_name(in, ip, sizeof(ip));
    g_snprintf(address, sizeof(address), "%s:%u", ip, ntohs(in->sin_port));
    Report *report = gw__peer__report__unpack(NULL, (size_t)len,
                                              (const uint8_t *)buf->base);
    if (report != NULL) {
        take(peers, address, report);
        gw__peer__report__free_unpacked(report, NULL);
        GwEdge_Carry(peers->edge);
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
