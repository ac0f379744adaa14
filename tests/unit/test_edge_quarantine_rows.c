/* Writes of quarantined requests to the store. */
#include "edge/quarantine_rows.h"
#include "edge/peers_internal.h"
#include "fakes/edge_entry.h"
#include "http/listener.h"

#include <criterion/criterion.h>
#include <string.h>

/* Iterations of the loop in which the answer to a write arrives. */
#define ANSWER_ITERATIONS 50

/* The store: has no rows, and counts writes of quarantined requests. */
typedef struct {
    GwHttpListener *listener;
    uint32_t writes;
    uint32_t awaited;
} Store;

static void
on_request(void *owner, GwClient *client, GwHttpMessage *msg)
{
    Store *store = owner;
    GwHttpResponse out = {.status = 200, .body = "{\"ver\":1,\"rows\":[]}"};

    store->writes += strcmp(msg->method, "POST") == 0 &&
                     strstr(msg->body->str, "held") != NULL;
    GwClient_Respond(client, &out);
    GwHttpMessage_Free(msg);
}

static bool
are_written(void *ctx)
{
    const Store *store = ctx;

    return store->writes == store->awaited;
}

/* Guards against: a row is written only after the time limit of the call
 * before it, although that call was answered; entries that end meanwhile take
 * the row with them. */
Test(edge_quarantine_rows, row_does_not_wait_for_an_answered_call)
{
    static const GwHttpListenerOps ops = {.asked = on_request};
    EdgeEntry entry = EdgeEntry_Start();
    GwQuarantineRows *rows = entry.edge->quarantine_rows;
    Store store = {.awaited = 0};
    GwSuspect suspect = {.server_count = 1};

    store.listener = GwHttpListener_Create(
        &entry.edge->loop, entry.edge->settings->store_address, &ops, &store);
    cr_assert_not_null(store.listener);
    for (store.awaited = 1; store.awaited <= 3; store.awaited++) {
        suspect.fingerprint.lo = store.awaited;
        GwQuarantineRows_Write(rows, &suspect);
        GwQuarantineRows_Sweep(rows, GwEdge_Now());
        bool is_written = EdgeEntry_RunUntil(&entry, are_written, &store);
        cr_assert(is_written, "write %u", store.awaited);
        /* After the first call, which reads the rows and is repeated until
         * this store listens, the only sweeps are those of the test. */
        (void)uv_timer_stop(&entry.edge->sweep);
        for (int i = 0; i < ANSWER_ITERATIONS; i++) {
            EdgeEntry_RunOnce(&entry);
            g_usleep(1000);
        }
    }
    GwHttpListener_Free(store.listener);
    EdgeEntry_Stop(&entry);
}

/* Guards against: an entry takes requests because of a peer that knows other
 * quarantined requests, or that doesn't know them yet itself; or it waits for
 * the store although a peer has told it all of them. */
Test(edge_quarantine_rows, a_serving_peer_with_the_same_rows_is_enough)
{
    static const struct {
        bool serves;
        uint64_t sum;
        bool tells; /* the only request */
        bool is_loaded;
    } cases[] = {
        {false, 0, false, false},
        {true, 0, false, true},
        {true, 1, false, false},
        {true, 1, true, false}, /* and others, in later reports */
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        EdgeEntry entry = EdgeEntry_Start();
        GwQuarantineRows *loaded = entry.edge->quarantine_rows;
        Gw__Peer__Suspect suspect = GW__PEER__SUSPECT__INIT;
        Gw__Peer__Suspect *list[] = {&suspect};
        Gw__Peer__Report report = GW__PEER__REPORT__INIT;
        uint64_t servers[] = {7};
        GwPeerEntry peer = {.serves = true};

        entry.edge->quarantine_rows = GwQuarantineRows_Create(entry.edge);
        suspect.servers = servers;
        suspect.n_servers = G_N_ELEMENTS(servers);
        report.serves = cases[i].serves;
        report.suspects_sum = cases[i].sum;
        report.suspects = list;
        report.n_suspects = cases[i].tells ? 1 : 0;
        GwPeers_ApplySuspects(entry.edge->peers, &peer, &report);
        cr_expect_eq(GwQuarantineRows_IsLoaded(entry.edge->quarantine_rows),
                     cases[i].is_loaded, "case %zu", i);
        if (cases[i].tells) {
            report.suspects_sum =
                GwQuarantine_Checksum(GwRouter_Quarantine(entry.edge->router));
            GwPeers_ApplySuspects(entry.edge->peers, &peer, &report);
            cr_expect(GwQuarantineRows_IsLoaded(entry.edge->quarantine_rows),
                      "case %zu", i);
        }
        GwQuarantineRows_Free(loaded);
        EdgeEntry_Stop(&entry);
    }
}

/* The store's answers name that era from now on. */
static void
set_era(GwEdge *edge, const char *era)
{
    GwHttpMessage *msg = GwHttpMessage_Create();

    msg->status = 503;
    GwHttpMessage_Add(msg, edge->adapter->store_era, era);
    (void)GwEdge_NoteStoreAnswer(edge, NULL, msg);
    GwHttpMessage_Free(msg);
}

/* Guards against: a quarantine that the copy of a restored store lacks ends
 * with the last entry that knows it. */
Test(edge_quarantine_rows,
     rows_written_lately_are_written_again_after_a_restore)
{
    static const GwHttpListenerOps ops = {.asked = on_request};
    EdgeEntry entry = EdgeEntry_Start();
    GwQuarantineRows *rows = entry.edge->quarantine_rows;
    Store store = {.awaited = 1};
    GwSuspect suspect = {.fingerprint = {1, 2},
                         .server_count = GW_QUARANTINE_CRASHES,
                         .span_ms = 60000,
                         .servers = {7, 8, 9}};

    store.listener = GwHttpListener_Create(
        &entry.edge->loop, entry.edge->settings->store_address, &ops, &store);
    cr_assert_not_null(store.listener);
    set_era(entry.edge, "1");
    GwQuarantine_Merge(GwRouter_Quarantine(entry.edge->router), GwEdge_Now(),
                       &suspect);
    GwQuarantine_Tick(GwRouter_Quarantine(entry.edge->router), GwEdge_Now());
    GwQuarantineRows_Sweep(rows, GwEdge_Now());
    cr_assert(EdgeEntry_RunUntil(&entry, are_written, &store));
    for (int i = 0; i < ANSWER_ITERATIONS; i++) {
        EdgeEntry_RunOnce(&entry);
        g_usleep(1000);
    }
    set_era(entry.edge, "2");
    store.awaited = 2;
    cr_expect(EdgeEntry_RunUntil(&entry, are_written, &store));
    GwHttpListener_Free(store.listener);
    EdgeEntry_Stop(&entry);
}
