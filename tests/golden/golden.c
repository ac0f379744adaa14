/* Prints a fixed session of whole nodes on virtual time, one line per event:
 * milliseconds, node, event. tests/golden/NAME.txt holds the expected output;
 * `make golden` regenerates these files.
 * usage: golden NAME | golden --list */
#include "common/log_events.h"
#include "fakes/cluster_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define WARM_UP_US  (8 * FAKE_SEC)
#define DEADLINE_US (2 * FAKE_SEC)

/* ---- lines ------------------------------------------------------------- */

static void
begin_line(const FakeCluster *c, const char *who)
{
    printf("%6" PRId64 ".%03" PRId64 "  %-8s ", c->now_us / 1000,
           c->now_us % 1000, who);
}

static void
print_remark(const FakeCluster *c, const char *text)
{
    begin_line(c, "--");
    printf("%s\n", text);
}

/* Key of the call with a host's handle; 0 if unknown. */
static uint64_t
key_of(const FakeCluster *c, uint64_t handle)
{
    const FakeHostCall *host = g_hash_table_lookup(c->hosts, &handle);
    return host == NULL ? 0 : host->key;
}

static void
print_table(const GwTableRequest *request)
{
    printf("writes");
    for (uint32_t i = 0; i < request->row_count; i++) {
        printf(" %s (was %" PRIu64 ")", request->rows[i].key,
               request->rows[i].version);
    }
}

static const char *
name_of(const FakeCluster *c, GwNodeId id)
{
    for (uint32_t i = 0; i < c->params.node_count; i++) {
        if (c->nodes[i].params.id.node == id.node) {
            return c->nodes[i].params.name;
        }
    }
    return "nobody";
}

static void
print_action(const FakeCluster *c, const GwAction *a)
{
    switch (a->kind) {
    case GW_ACTION_DISPATCH:
        printf("call %" PRIu64 ": attempt %u at %s",
               key_of(c, a->u.dispatch.call), a->u.dispatch.attempt,
               a->u.dispatch.address);
        break;
    case GW_ACTION_RELAY:
        printf("call %" PRIu64 ": attempt %u through %s%s",
               key_of(c, a->u.relay.call), a->u.relay.attempt,
               name_of(c, a->u.relay.to),
               a->u.relay.to_owner ? ", the ticket's owner" : "");
        break;
    case GW_ACTION_CANCEL:
        printf("call %" PRIu64 ": abandons attempt %u",
               key_of(c, a->u.cancel.call), a->u.cancel.attempt);
        break;
    case GW_ACTION_FINISH:
        printf("call %" PRIu64 ": %s, %s", key_of(c, a->u.finish.call),
               GwOutcome_Name(a->u.finish.outcome),
               GwReason_Name(a->u.finish.reason));
        break;
    case GW_ACTION_TABLE:
        print_table(a->u.table);
        break;
    case GW_ACTION_LOG:
        printf("logs %s %s", GwLogEvent_Name(a->u.log.event), a->u.log.text);
        break;
    default:
        printf("has stopped");
        break;
    }
}

/* Prints an action. Gossip, loans and table reads are omitted for brevity. */
static void
print_visible_action(FakeCluster *c, uint32_t node, const GwAction *action)
{
    bool hidden = action->kind == GW_ACTION_SEND ||
                  action->kind == GW_ACTION_PUBLISH ||
                  (action->kind == GW_ACTION_TABLE &&
                   action->u.table->op != GW_TABLE_TXN);
    if (!hidden) {
        begin_line(c, c->nodes[node].params.name);
        print_action(c, action);
        putchar('\n');
    }
}

static void
print_version_changes(FakeCluster *c)
{
    uint64_t *known = c->watch_ctx;
    for (uint32_t i = 0; i < c->params.node_count; i++) {
        if (c->nodes[i].node != NULL &&
            known[i] != c->nodes[i].config_version) {
            known[i] = c->nodes[i].config_version;
            begin_line(c, c->nodes[i].params.name);
            printf("version %" PRIu64 " in force\n", known[i]);
        }
    }
}

/* ---- sessions ---------------------------------------------------------- */

static void
run_for(FakeCluster *c, int64_t us)
{
    FakeCluster_Run(c, c->now_us + us);
}

static void
call(FakeCluster *c, uint32_t node, uint64_t key, const GwTicket *ticket)
{
    char text[64];
    g_snprintf(text, sizeof(text), "call %" PRIu64 " sent to entry-%u%s", key,
               node, ticket != NULL ? ", with its ticket" : "");
    print_remark(c, text);
    FakeCluster_Call(c, node, "s0", ticket == NULL, ticket, key,
                     c->now_us + DEADLINE_US);
}

/* The call runs once. A resend to another entry gets the stored answer from
 * the owner; after the owner crashed, no entry may run the call again. */
static void
resend_after_crash(FakeCluster *c, const char *config)
{
    GwTicket ticket;
    FakeCluster_Mint(c, 0, &ticket);
    call(c, 0, 1, &ticket);
    run_for(c, FAKE_SEC);
    print_remark(c, "the caller lost the answer and resends");
    call(c, 1, 1, &ticket);
    run_for(c, FAKE_SEC);
    print_remark(c, "entry-0 crashes");
    FakeCluster_Crash(c, 0);
    call(c, 1, 1, &ticket);
    run_for(c, 6 * FAKE_SEC);
    call(c, 2, 1, &ticket);
    run_for(c, 20 * FAKE_SEC);
    print_remark(c, "entry-0 starts again");
    FakeCluster_Start(c, 0);
    run_for(c, 5 * FAKE_SEC);
    call(c, 0, 1, &ticket);
    run_for(c, FAKE_SEC);
}

/* A stopping entry completes its calls, hands over its seats and accepts no
 * new calls. */
static void
stop_gracefully(FakeCluster *c, const char *config)
{
    GwTicket tickets[2];
    FakeCluster_Mint(c, 2, &tickets[0]);
    FakeCluster_Mint(c, 2, &tickets[1]);
    call(c, 2, 1, &tickets[0]);
    run_for(c, 5 * FAKE_MS);
    print_remark(c, "entry-2 is told to leave");
    FakeCluster_Stop(c, 2);
    call(c, 2, 2, &tickets[1]);
    run_for(c, 10 * FAKE_SEC);
    call(c, 0, 2, &tickets[1]);
    call(c, 0, 3, NULL);
    run_for(c, 10 * FAKE_SEC);
}

static char *
drained_config(const char *config)
{
    static const char place[] = "{\"service\":\"s0\",\"region\":\"r0\",";
    const char *at = strstr(config, place);
    GString *text = g_string_new_len(config, at - config);
    g_string_append(text, place);
    g_string_append(text, "\"drain\":true,");
    g_string_append(text, at + strlen(place));
    return g_string_free(text, FALSE);
}

/* Entries 0 and 2 are in r0, entry 1 in r1. Calls shift as grants arrive. */
static void
drain_place(FakeCluster *c, const char *config)
{
    char *text = drained_config(config);
    call(c, 0, 1, NULL);
    run_for(c, 5 * FAKE_MS);
    print_remark(c, "an operator drains place s0 of r0");
    FakeCluster_Change(c, text, 2);
    run_for(c, 200 * FAKE_MS);
    call(c, 0, 2, NULL);
    run_for(c, 3 * FAKE_SEC);
    call(c, 0, 3, NULL);
    call(c, 2, 4, NULL);
    run_for(c, FAKE_SEC);
    print_remark(c, "the drain is taken back");
    FakeCluster_Change(c, config, 0);
    run_for(c, 3 * FAKE_SEC);
    call(c, 0, 5, NULL);
    run_for(c, FAKE_SEC);
    g_free(text);
}

/* The change is in the table and at one entry. Peers propagate it, also to
 * an entry that starts while the store is unavailable and can't hold seats
 * yet. */
static void
store_unavailable(FakeCluster *c, const char *config)
{
    char *text = drained_config(config);
    print_remark(c, "the change is accepted, and the store goes away");
    FakeCluster_Change(c, text, 0);
    c->store = FAKE_STORE_UNAVAILABLE;
    run_for(c, FAKE_SEC);
    print_remark(c, "entry-2 crashes and starts again");
    FakeCluster_Crash(c, 2);
    FakeCluster_Start(c, 2);
    run_for(c, 3 * FAKE_SEC);
    call(c, 2, 1, NULL);
    call(c, 1, 2, NULL);
    run_for(c, 3 * FAKE_SEC);
    print_remark(c, "the store is back");
    c->store = FAKE_STORE_OK;
    run_for(c, 15 * FAKE_SEC);
    call(c, 2, 3, NULL);
    run_for(c, FAKE_SEC);
    g_free(text);
}

typedef struct {
    const char *name;
    uint32_t regions;
    void (*run)(FakeCluster *c, const char *config);
} Session;

static const Session sessions[] = {
    {"booking", 1, resend_after_crash},
    {"leave", 1, stop_gracefully},
    {"drain-place", 2, drain_place},
    {"store-away", 2, store_unavailable},
};

static void
print_session(const Session *session)
{
    char *config = FakeConfig_Text(session->regions, 1, 2, 2, 4, 4);
    const FakeClusterParams params = {.seed = 20261202,
                                      .node_count = 3,
                                      .region_count = session->regions,
                                      .domains_per_region = 2,
                                      .config_text = config,
                                      .domain_delay_us = 1500,
                                      .region_delay_us = 55000,
                                      .service_time_us = 40000,
                                      .shed_over_percent = 100};
    FakeCluster *c = FakeCluster_Create(&params);
    uint64_t known[3] = {1, 1, 1};
    FakeCluster_Run(c, c->now_us + WARM_UP_US);
    c->see = print_visible_action;
    c->watch = print_version_changes;
    c->watch_ctx = known;
    session->run(c, config);
    const FakeCallsReport j = FakeCluster_CheckCalls(c);
    printf("doubled=%u false_refusals=%u wrong_answers=%u unfinished=%u\n",
           j.doubled, j.false_refusals, j.wrong_answers, j.unfinished);
    FakeCluster_Free(c);
    g_free(config);
}

int
main(int argc, char **argv)
{
    const char *name = argc > 1 ? argv[1] : "";
    for (size_t i = 0; i < G_N_ELEMENTS(sessions); i++) {
        if (strcmp(name, "--list") == 0) {
            puts(sessions[i].name);
        }
        else if (strcmp(name, sessions[i].name) == 0) {
            print_session(&sessions[i]);
            return 0;
        }
    }
    return strcmp(name, "--list") == 0 ? 0 : 2;
}
