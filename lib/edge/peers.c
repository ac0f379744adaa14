/* Other entries: reports by datagram, rows by HTTP on the same port number.
 *
 * A report is whole and repeated, so a lost one costs a period and nothing
 * else. Entries learn of each other from the store, from seeds, and from the
 * answer that a new entry gets. */
#include "edge/edge_internal.h"

#include "wire/peer.pb-c.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

/* Peers that use the same backend servers need each other's load soon; those
 * of other regions hardly do, and bytes between regions are priced. */
#define REPORT_NEAR_MS 100
#define REPORT_FAR_MS  500
/* Without a report for so long a peer is in no directory answer, and what it
 * had in flight is forgotten. Four lost far reports in a row. */
#define SILENT_US 2000000
/* A silent peer still gets reports for so long: a cut may heal. */
#define FORGET_US        90000000
#define REPORT_MAX_BYTES 8192
/* A placement is told in this many reports, since one may be lost. */
#define PLACEMENT_AGE_US 350000
#define PLACEMENTS_MAX   128
/* Of the places that a new entry of the region is told, a part a report. */
#define BACKLOG_MAX     2000
#define BACKLOG_PART    100
#define KNOWN_MAX       64
#define ENTRY_TABLE     "entries"
#define JOIN_TIMEOUT_US 1500000
#define JOIN_RETRY_US   700000
#define ROWS_BODY_MAX   (8u << 20)

typedef struct {
    char *name; /* "" until the first report: a seed */
    char *region;
    char *domain;
    char *peer_address;
    char *call_address;
    struct sockaddr_in to;
    uint64_t start;
    uint64_t seq;
    bool serves;
    bool heard; /* at least once */
    int64_t heard_us;
    int64_t told_us;
    int64_t added_us;
    uint64_t operator_version;
    uint64_t server_version;
    GArray *backlog;        /* GwPlacement still to be told to it; or NULL */
    uint64_t backlog_start; /* of the process that it was made for */
} Peer;

typedef enum {
    JOIN_WRITE = 1, /* this entry's row */
    JOIN_READ,      /* those of all */
    JOIN_DONE
} JoinStep;

struct GwPeers_s {
    GwEdge *edge;
    uv_udp_t udp;
    uv_timer_t timer;
    GHashTable *by_address; /* peer_address -> Peer */
    uint64_t start;
    uint64_t seq;
    GwConn *join;
    JoinStep step;
    int64_t join_at_us;
    GArray *loads;
    GArray *placements;
};

static const GwConnOps join_ops;

static void
drop_backlog(Peer *peer)
{
    if (peer->backlog != NULL) {
        g_array_free(peer->backlog, TRUE);
        peer->backlog = NULL;
    }
}

static void
free_peer(gpointer item)
{
    Peer *peer = item;

    g_free(peer->name);
    g_free(peer->region);
    g_free(peer->domain);
    g_free(peer->peer_address);
    g_free(peer->call_address);
    drop_backlog(peer);
    g_free(peer);
}

static Peer *
add_peer(GwPeers *peers, const char *address)
{
    const char *own = peers->edge->settings->peer_address;
    Peer *peer = g_hash_table_lookup(peers->by_address, address);
    struct sockaddr_in to;

    if (peer != NULL || strcmp(address, own) == 0 ||
        !GwConn_ParseAddress(address, &to)) {
        return peer;
    }
    peer = g_new0(Peer, 1);
    peer->name = g_strdup("");
    peer->region = g_strdup("");
    peer->domain = g_strdup("");
    peer->call_address = g_strdup("");
    peer->peer_address = g_strdup(address);
    peer->to = to;
    peer->added_us = GwEdge_Now();
    g_hash_table_insert(peers->by_address, peer->peer_address, peer);
    return peer;
}

static bool
is_live(const Peer *peer, int64_t now_us)
{
    return peer->heard && now_us - peer->heard_us < SILENT_US;
}

/* ---- Reports out --------------------------------------------------------- */

static void
fill_known(GwPeers *peers, Gw__Peer__Report *report)
{
    GHashTableIter iter;
    gpointer value;

    report->known = g_new0(char *, KNOWN_MAX);
    g_hash_table_iter_init(&iter, peers->by_address);
    while (report->n_known < KNOWN_MAX &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        const Peer *peer = value;
        if (is_live(peer, GwEdge_Now())) {
            report->known[report->n_known++] = peer->peer_address;
        }
    }
}

static uint32_t
live_count(const GwPeers *peers)
{
    GHashTableIter iter;
    gpointer value;
    uint32_t count = 0;

    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        count += is_live(value, GwEdge_Now());
    }
    return count;
}

/* Moves a part of what a new peer is still to be told into `out`. */
static uint32_t
take_backlog(Peer *peer, GArray *out)
{
    if (peer->backlog == NULL) {
        return 0;
    }
    guint count = MIN(peer->backlog->len, BACKLOG_PART);
    g_array_append_vals(out, peer->backlog->data, count);
    g_array_remove_range(peer->backlog, 0, count);
    if (peer->backlog->len == 0) {
        drop_backlog(peer);
    }
    return count;
}

/* Entries of the region learn where objects went; `objects` and `servers`
 * have room for PLACEMENTS_MAX. */
static void
fill_placements(GwPeers *peers, Peer *peer, Gw__Peer__Report *report,
                uint64_t *objects, uint32_t *servers)
{
    g_array_set_size(peers->placements, 0);
    report->placed_warm = take_backlog(peer, peers->placements);
    GwRouter_OwnPlacements(peers->edge->router, GwEdge_Now(), PLACEMENT_AGE_US,
                           peers->placements);
    guint count = MIN(peers->placements->len, PLACEMENTS_MAX);
    for (guint i = 0; i < count; i++) {
        const GwPlacement *p =
            &g_array_index(peers->placements, GwPlacement, i);
        objects[i] = p->object;
        servers[i] = p->server;
    }
    report->placed_objects = objects;
    report->placed_servers = servers;
    report->n_placed_objects = count;
    report->n_placed_servers = count;
}

static bool
is_near(const GwPeers *peers, const Peer *peer)
{
    return peer->heard &&
           strcmp(peer->region, peers->edge->settings->router.region) == 0;
}

static void
tell(GwPeers *peers, Peer *peer, bool with_known)
{
    GwEdge *edge = peers->edge;
    const GwEdgeSettings *s = edge->settings;
    Gw__Peer__Report report = GW__PEER__REPORT__INIT;
    uint32_t servers[256];
    uint32_t counts[256];
    uint64_t placed_objects[PLACEMENTS_MAX];
    uint32_t placed_servers[PLACEMENTS_MAX];
    uint8_t bytes[REPORT_MAX_BYTES];

    report.name = (char *)s->router.name;
    report.region = (char *)s->router.region;
    report.domain = (char *)s->router.domain;
    report.peer_address = (char *)s->peer_address;
    report.call_address = (char *)s->call_address;
    report.start = peers->start;
    report.seq = ++peers->seq;
    report.serves = GwEdge_IsReady(edge);
    report.operator_version = GwFeed_Version(edge->operator_feed);
    report.server_version = GwFeed_Version(edge->server_feed);
    report.is_new = live_count(peers) < 2;
    g_array_set_size(peers->loads, 0);
    GwRouter_OwnLoads(edge->router, peers->loads);
    for (guint i = 0; i < MIN(peers->loads->len, 256); i++) {
        servers[i] = g_array_index(peers->loads, GwPeerLoad, i).server;
        counts[i] = g_array_index(peers->loads, GwPeerLoad, i).in_flight;
        report.n_load_servers = report.n_load_counts = i + 1;
    }
    report.load_servers = servers;
    report.load_counts = counts;
    if (is_near(peers, peer)) {
        fill_placements(peers, peer, &report, placed_objects, placed_servers);
    }
    if (with_known) {
        fill_known(peers, &report);
    }
    if (gw__peer__report__get_packed_size(&report) <= sizeof(bytes)) {
        size_t len = gw__peer__report__pack(&report, bytes);
        uv_buf_t buf = uv_buf_init((char *)bytes, (unsigned int)len);
        (void)uv_udp_try_send(&peers->udp, &buf, 1,
                              (const struct sockaddr *)&peer->to);
    }
    g_free(report.known);
    peer->told_us = GwEdge_Now();
}

void
GwPeers_Announce(GwPeers *peers)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        tell(peers, value, false);
    }
}

static void
on_timer(uv_timer_t *timer)
{
    GwPeers *peers = timer->data;
    int64_t now_us = GwEdge_Now();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Peer *peer = value;
        bool near = is_live(peer, now_us) && is_near(peers, peer);
        int64_t period_ms = near ? REPORT_NEAR_MS : REPORT_FAR_MS;
        if (now_us - peer->told_us >= period_ms * 1000 - 5000) {
            tell(peers, peer, false);
        }
    }
}

/* ---- Reports in ---------------------------------------------------------- */

static void
replace_text(char **at, const char *text)
{
    if (strcmp(*at, text) != 0) {
        g_free(*at);
        *at = g_strdup(text);
    }
}

static bool
is_newer(const Peer *peer, const Gw__Peer__Report *report)
{
    return !peer->heard || report->start > peer->start ||
           (report->start == peer->start && report->seq > peer->seq);
}

static void
tell_router(GwPeers *peers, const Gw__Peer__Report *report)
{
    GwPeerLoad loads[256];
    size_t count = MIN(report->n_load_servers, report->n_load_counts);
    GwPeerInfo info = {
        .name = report->name,
        .region = report->region,
        .serves = report->serves,
        .load_count = (uint32_t)MIN(count, G_N_ELEMENTS(loads)),
        .loads = loads,
    };

    for (uint32_t i = 0; i < info.load_count; i++) {
        loads[i] =
            (GwPeerLoad){report->load_servers[i], report->load_counts[i]};
    }
    GwRouter_PutPeer(peers->edge->router, GwEdge_Now(), &info);
    size_t placed = MIN(report->n_placed_objects, report->n_placed_servers);
    for (size_t i = 0; i < placed; i++) {
        GwPlacement placement = {.object = report->placed_objects[i],
                                 .server = report->placed_servers[i],
                                 .warm = i < report->placed_warm};
        GwRouter_PutPlacement(peers->edge->router, GwEdge_Now(), &placement);
    }
}

static void
take(GwPeers *peers, const Gw__Peer__Report *report)
{
    GwEdge *edge = peers->edge;
    Peer *peer = add_peer(peers, report->peer_address);

    if (peer == NULL || !is_newer(peer, report)) {
        return;
    }
    bool was_live = is_live(peer, GwEdge_Now());
    if (!was_live) {
        GwLog_Event(GW_LOG_MEMBER_UP, "member=%s domain=%s", report->name,
                    report->domain);
    }
    replace_text(&peer->name, report->name);
    replace_text(&peer->region, report->region);
    replace_text(&peer->domain, report->domain);
    replace_text(&peer->call_address, report->call_address);
    peer->start = report->start;
    peer->seq = report->seq;
    peer->serves = report->serves;
    peer->heard = true;
    peer->heard_us = GwEdge_Now();
    peer->operator_version = report->operator_version;
    peer->server_version = report->server_version;
    tell_router(peers, report);
    for (size_t i = 0; i < report->n_known; i++) {
        (void)add_peer(peers, report->known[i]);
    }
    if (report->is_new && is_near(peers, peer) &&
        peer->backlog_start != peer->start) {
        drop_backlog(peer);
        peer->backlog_start = peer->start;
        peer->backlog = g_array_new(FALSE, FALSE, sizeof(GwPlacement));
        GwRouter_WarmPlacements(edge->router, BACKLOG_MAX, peer->backlog);
    }
    if (report->is_new || !was_live) {
        tell(peers, peer, report->is_new);
    }
    GwFeed_AskPeer(edge->operator_feed, peer->peer_address,
                   peer->operator_version);
    GwFeed_AskPeer(edge->server_feed, peer->peer_address,
                   peer->server_version);
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

    (void)flags;
    if (len <= 0 || from == NULL) {
        return;
    }
    Gw__Peer__Report *report = gw__peer__report__unpack(
        NULL, (size_t)len, (const uint8_t *)buf->base);
    if (report != NULL) {
        take(peers, report);
        gw__peer__report__free_unpacked(report, NULL);
        GwEdge_Carry(peers->edge);
    }
}

/* ---- Joining through the store ------------------------------------------- */

static void
retry_join(GwPeers *peers)
{
    if (peers->join != NULL) {
        GwConn_Close(peers->join);
        peers->join = NULL;
    }
    peers->join_at_us = GwEdge_Now() + JOIN_RETRY_US;
}

static void
ask_join(GwPeers *peers)
{
    GwEdge *edge = peers->edge;
    const GwAdapter *a = edge->adapter;
    GString *out = g_string_new(NULL);

    if (peers->step == JOIN_WRITE) {
        char *body = a->write_body(ENTRY_TABLE, edge->settings->router.name,
                                   edge->settings->peer_address);
        g_string_printf(out,
                        "POST %s HTTP/1.1\r\nHost: %s\r\n"
                        "Content-Type: application/json\r\n"
                        "Content-Length: %zu\r\n\r\n%s",
                        a->write_target, edge->settings->store_address,
                        strlen(body), body);
        g_free(body);
    }
    else {
        char *target = a->read_target(ENTRY_TABLE, NULL);
        g_string_printf(out, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target,
                        edge->settings->store_address);
        g_free(target);
    }
    edge->counts.store_calls++;
    GwConn_Write(peers->join, out);
    g_string_free(out, TRUE);
}

static void
on_join_connected(void *owner)
{
    ask_join(owner);
}

static void
take_entries(GwPeers *peers, const GwRowSet *set)
{
    for (guint i = 0; i < set->rows->len; i++) {
        const GwStoreRow *row = set->rows->pdata[i];
        Peer *peer = row->removed ? NULL : add_peer(peers, row->value);
        if (peer != NULL) {
            tell(peers, peer, false);
        }
    }
}

static void
on_join_message(void *owner, GwHttpMessage *msg)
{
    GwPeers *peers = owner;
    GwRowSet *set = NULL;
    bool ok = msg->status == 200;

    if (ok && peers->step == JOIN_READ) {
        set = peers->edge->adapter->read_rows(msg->body->str, msg->body->len,
                                              NULL);
        ok = set != NULL;
    }
    GwHttpMessage_Free(msg);
    if (!ok) {
        retry_join(peers);
    }
    else if (set == NULL) {
        peers->step = JOIN_READ;
        ask_join(peers);
    }
    else {
        peers->step = JOIN_DONE;
        take_entries(peers, set);
        GwConn_Close(peers->join);
        peers->join = NULL;
    }
    GwRowSet_Free(set);
}

static void
on_join_ended(void *owner, GwConnEnd end)
{
    GwPeers *peers = owner;

    if (end != GW_CONN_BAD) {
        peers->join = NULL;
    }
    retry_join(peers);
}

static const GwConnOps join_ops = {
    .connected = on_join_connected,
    .message = on_join_message,
    .ended = on_join_ended,
};

static void
sweep_join(GwPeers *peers, int64_t now_us)
{
    GwConnParams params = {
        .loop = &peers->edge->loop,
        .ops = &join_ops,
        .owner = peers,
        .head_max = 64 << 10,
        .body_max = ROWS_BODY_MAX,
    };

    if (peers->step == JOIN_DONE || now_us < peers->join_at_us) {
        return;
    }
    if (peers->join != NULL) {
        retry_join(peers);
        return;
    }
    peers->join_at_us = now_us + JOIN_TIMEOUT_US;
    peers->join =
        GwConn_Connect(&params, peers->edge->settings->store_address);
}

/* ---- Time, and what others ask ------------------------------------------- */

static gboolean
is_forgotten(gpointer key, gpointer value, gpointer now)
{
    const Peer *peer = value;
    int64_t since = peer->heard ? peer->heard_us : peer->added_us;

    (void)key;
    return *(int64_t *)now - since > FORGET_US;
}

void
GwPeers_Sweep(GwPeers *peers, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Peer *peer = value;
        if (peer->heard && !is_live(peer, now_us) && peer->serves) {
            peer->serves = false;
            GwRouter_DropPeer(peers->edge->router, now_us, peer->name);
            GwLog_Event(GW_LOG_MEMBER_DEAD, "member=%s silent_ms=%" PRId64,
                        peer->name, (now_us - peer->heard_us) / 1000);
        }
    }
    g_hash_table_foreach_remove(peers->by_address, is_forgotten, &now_us);
    sweep_join(peers, now_us);
}

static void
collect(const GwPeers *peers, const char *region, const char *domain,
        GPtrArray *out)
{
    const GwEdge *edge = peers->edge;
    const GwRouterParams *own = &edge->settings->router;
    GHashTableIter iter;
    gpointer value;

    if (GwEdge_IsReady(edge) &&
        (region == NULL || strcmp(region, own->region) == 0) &&
        (domain == NULL || strcmp(domain, own->domain) == 0)) {
        g_ptr_array_add(out, (char *)edge->settings->call_address);
    }
    g_hash_table_iter_init(&iter, peers->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Peer *peer = value;
        if (peer->serves && is_live(peer, GwEdge_Now()) &&
            (region == NULL || strcmp(region, peer->region) == 0) &&
            (domain == NULL || strcmp(domain, peer->domain) == 0)) {
            g_ptr_array_add(out, peer->call_address);
        }
    }
}

/* Entries of the caller's failure domain, if two are there, so that it
 * survives the loss of one; else those of its region; else all. */
GPtrArray *
GwPeers_Directory(const GwPeers *peers, const char *region, const char *domain)
{
    GPtrArray *out = g_ptr_array_new();

    collect(peers, region, domain, out);
    if (out->len < 2) {
        g_ptr_array_set_size(out, 0);
        collect(peers, region, NULL, out);
    }
    if (out->len < 2) {
        g_ptr_array_set_size(out, 0);
        collect(peers, NULL, NULL, out);
    }
    if (out->len > KNOWN_MAX) {
        g_ptr_array_set_size(out, KNOWN_MAX);
    }
    return out;
}

GwPeers *
GwPeers_Create(GwEdge *edge, GError **error)
{
    GwPeers *peers = g_new0(GwPeers, 1);
    struct sockaddr_in at;

    peers->edge = edge;
    peers->by_address =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
    peers->loads = g_array_new(FALSE, FALSE, sizeof(GwPeerLoad));
    peers->placements = g_array_new(FALSE, FALSE, sizeof(GwPlacement));
    peers->start = (uint64_t)g_get_real_time();
    peers->step = JOIN_WRITE;
    (void)uv_udp_init(&edge->loop, &peers->udp);
    peers->udp.data = peers;
    (void)uv_timer_init(&edge->loop, &peers->timer);
    peers->timer.data = peers;
    if (!GwConn_ParseAddress(edge->settings->peer_address, &at) ||
        uv_udp_bind(&peers->udp, (const struct sockaddr *)&at, 0) != 0 ||
        uv_udp_recv_start(&peers->udp, on_alloc, on_datagram) != 0) {
        g_set_error(error, GW_ERROR, GW_RESULT_IO, "peer_address %s",
                    edge->settings->peer_address);
        return peers;
    }
    for (guint i = 0; i < edge->settings->seeds->len; i++) {
        (void)add_peer(peers, edge->settings->seeds->pdata[i]);
    }
    (void)uv_timer_start(&peers->timer, on_timer, REPORT_NEAR_MS,
                         REPORT_NEAR_MS);
    return peers;
}

void
GwPeers_Close(GwPeers *peers)
{
    if (peers->join != NULL) {
        GwConn_Close(peers->join);
        peers->join = NULL;
    }
    uv_close((uv_handle_t *)&peers->udp, NULL);
    uv_close((uv_handle_t *)&peers->timer, NULL);
}

void
GwPeers_Free(GwPeers *peers)
{
    if (peers == NULL) {
        return;
    }
    g_hash_table_destroy(peers->by_address);
    g_array_free(peers->loads, TRUE);
    g_array_free(peers->placements, TRUE);
    g_free(peers);
}
