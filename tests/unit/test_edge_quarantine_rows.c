/* Writes of quarantined requests to the store. */
#include "edge/quarantine_rows.h"
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
