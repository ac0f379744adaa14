#include "common/answer.h"
#include "common/caller.h"
#include "common/clock.h"
#include "common/http.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

/* A caller may use a new ticket only after a not-run outcome; after a closed
 * connection or an unknown outcome, a second ticket would be a second booking.
 * Two entries (one server, two ports) follow a script, one letter per call:
 * Answer, Not run, Leaving, Unknown, Drop without an answer. */

typedef struct {
    pthread_mutex_t lock;
    const char *script; /* remaining steps */
    uint32_t minted;
    GHashTable *tickets; /* tickets received in calls */
    char addresses[2][GS_ADDRESS_MAX];
} Entries;

static int
give_entries(Entries *e, struct mg_connection *conn)
{
    char body[512];
    int port = mg_get_request_info(conn)->server_port;
    pthread_mutex_lock(&e->lock);
    snprintf(body, sizeof(body),
             "{\"ttl_ms\": 2000, \"entries\": [{\"local\": true, "
             "\"address\": \"127.0.0.1:%d\"}], \"tickets\": [\"t-%u\"]}",
             port, e->minted++);
    pthread_mutex_unlock(&e->lock);
    return GsHttp_Reply(conn, 200, "", body);
}

static char
next_step(Entries *e, struct mg_connection *conn)
{
    const char *ticket = mg_get_header(conn, "GW-Ticket");
    pthread_mutex_lock(&e->lock);
    char step = *e->script != '\0' ? *e->script++ : 'U';
    if (ticket != NULL) {
        g_hash_table_add(e->tickets, g_strdup(ticket));
    }
    pthread_mutex_unlock(&e->lock);
    return step;
}

static int
handle(struct mg_connection *conn, void *data)
{
    Entries *e = data;
    if (strncmp(mg_get_request_info(conn)->local_uri, "/v1/entries", 11) ==
        0) {
        return give_entries(e, conn);
    }
    g_free(GsHttp_ReadBody(conn));
    switch (next_step(e, conn)) {
    case 'A': {
        char *body = GsAnswer_Make("lh-1", mg_get_header(conn, "GW-Key"), 8);
        GsHttp_Reply(conn, 200, "GW-Outcome: answered\r\n", body);
        g_free(body);
        return 200;
    }
    case 'N':
        return GsHttp_Reply(
            conn, 503, "GW-Outcome: not-run\r\nGW-Reason: shed\r\n", "{}");
    case 'L':
        return GsHttp_Reply(
            conn, 503, "GW-Outcome: not-run\r\nGW-Reason: leaving\r\n", "{}");
    case 'D':
        return GsHttp_Drop(conn);
    default:
        return GsHttp_Reply(conn, 504, "GW-Outcome: unknown\r\n", "{}");
    }
}

typedef struct {
    const char *script;
    const char *op;
    bool first_is_dead; /* the first address refuses connections */
    GsOutcome expected;
    uint32_t tickets; /* number of distinct tickets used in calls */
} Case;

static const Case cases[] = {
    {"A", "booking", false, GS_OUTCOME_ANSWERED, 1},
    {"NNA", "booking", false, GS_OUTCOME_ANSWERED, 3},
    {"LA", "booking", false, GS_OUTCOME_ANSWERED, 2},
    {"U", "booking", false, GS_OUTCOME_UNKNOWN, 1},
    {"UA", "booking", false, GS_OUTCOME_UNKNOWN, 1},
    {"DU", "booking", false, GS_OUTCOME_UNKNOWN, 1},
    {"DDA", "booking", false, GS_OUTCOME_ANSWERED, 1},
    {"DDNA", "booking", false, GS_OUTCOME_ANSWERED, 2},
    {"A", "booking", true, GS_OUTCOME_ANSWERED, 1},
    {"DDU", "booking", true, GS_OUTCOME_UNKNOWN, 1},
    {"UA", "look-up", false, GS_OUTCOME_ANSWERED, 0},
    {"DDNA", "look-up", false, GS_OUTCOME_ANSWERED, 0},
};

static void
run_case(Entries *e, const Case *c)
{
    GsClient client;
    GPtrArray *addresses = g_ptr_array_new();
    const GsOperation *op = GsOperation_Find("lich-hen", c->op);
    g_ptr_array_add(addresses,
                    c->first_is_dead ? "127.0.0.1:1" : e->addresses[0]);
    g_ptr_array_add(addresses, e->addresses[1]);
    e->script = c->script;
    e->tickets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GsClient_Init(&client);
    GsCaller caller = {.client = &client,
                       .directory =
                           GsDirectory_Create(op->service, addresses, 2),
                       .deadline_us = 20000000};
    GsRecord r = {.key = "k-1", .operation = op, .due_us = GsClock_Now()};
    GsCaller_Run(&caller, &r);
    cr_assert_eq(r.outcome, c->expected, "%s %s: %s", c->op, c->script,
                 GsOutcome_Name(r.outcome));
    cr_assert_eq(g_hash_table_size(e->tickets), c->tickets, "%s %s", c->op,
                 c->script);
    cr_assert(r.outcome != GS_OUTCOME_ANSWERED || r.answer_whole);
    GsDirectory_Free(caller.directory);
    GsClient_Clear(&client);
    g_hash_table_destroy(e->tickets);
    g_ptr_array_free(addresses, TRUE);
}

Test(standin_caller, new_ticket_only_after_a_not_run_outcome)
{
    Entries e = {.lock = PTHREAD_MUTEX_INITIALIZER};
    GsHttpOptions http = {.ports = "127.0.0.1:0,127.0.0.1:0",
                          .threads = 16,
                          .handler = handle,
                          .data = &e};
    struct mg_server_port ports[2] = {0};
    struct mg_context *ctx = GsHttp_Start(&http);
    cr_assert_not_null(ctx);
    cr_assert_eq(mg_get_server_ports(ctx, 2, ports), 2);
    for (int i = 0; i < 2; i++) {
        snprintf(e.addresses[i], GS_ADDRESS_MAX, "127.0.0.1:%d",
                 ports[i].port);
    }
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        run_case(&e, &cases[i]);
    }
    mg_stop(ctx);
}
