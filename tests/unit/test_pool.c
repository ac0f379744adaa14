/* How many connections to one backend server lie idle.
 *
 * Each booking that finds no fresh connection opens a new one and leaves it
 * behind. Three entries once held 61 connections at one server of 3 slots; a
 * server at its limit closes new connections unread, and callers of every
 * entry then see "unknown". */
#include "fakes/raw_server.h"
#include "runtime/dispatch.h"
#include "runtime/net_internal.h"

#include <criterion/criterion.h>

#define OK "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

/* Leaves `count` connections behind, each made new. */
static void
run_apart(GwDispatcher *d, const char *address, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        GwDispatchAsk ask = {
            .address = address,
            .method = "GET",
            .target = "/x",
            .request_id = "1-1-1-1",
            .idempotent = true,
            .new_connection = true,
            .deadline_us = GwNet_NowUs() + 10000000,
            .give_up_us = GwNet_NowUs() + 10000000,
        };
        GwAbort *abort = GwAbort_Create();
        GwDispatchEnd end;
        GwDispatch_Run(d, &ask, abort, &end);
        cr_expect_eq(end.outcome, GW_OUTCOME_ANSWERED);
        GwAnswer_Unref(end.answer);
        GwAbort_Unref(abort);
    }
}

static uint64_t
idle(GwDispatcher *d)
{
    GwDispatchStats stats;
    GwDispatcher_Stats(d, &stats);
    return stats.idle;
}

typedef struct {
    const char *what;
    bool listed;       /* the configuration names the server */
    uint32_t idle_max; /* then */
    uint32_t apart;    /* connections opened afterwards */
    uint64_t left;
} Case;

static const Case cases[] = {
    {"below the bound", true, 3, 2, 2},
    {"above the bound", true, 2, 4, 2},
    {"a server that left the configuration", false, 0, 2, 0},
};

Test(pool, idle_connections_are_bounded, .timeout = 30)
{
    static const RawStep plan[RAW_CONNECTIONS_MAX][RAW_STEPS_MAX] = {
        {{RAW_ANSWER, OK}},
        {{RAW_ANSWER, OK}},
        {{RAW_ANSWER, OK}},
        {{RAW_ANSWER, OK}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const Case *c = &cases[i];
        RawServer *server = RawServer_Start(plan);
        GwDispatcher *d = GwDispatcher_Create();
        GwDispatchServer listed = {
            .address = c->listed ? RawServer_Address(server) : "127.0.0.1:1",
            .idle_max = c->idle_max,
        };
        GwDispatcher_Trim(d, &listed, 1, GwNet_NowUs());
        run_apart(d, RawServer_Address(server), c->apart);
        cr_expect_eq(RawServer_Connections(server), c->apart, "%s", c->what);
        cr_expect_eq(idle(d), c->left, "%s: %u", c->what, (unsigned)idle(d));
        GwDispatcher_Free(d);
        RawServer_Stop(server);
    }
}

/* A busy moment passes: what it left idle is closed, and so is what was
 * open to a server that an operator takes out. */
Test(pool, idle_connections_end, .timeout = 30)
{
    static const RawStep plan[RAW_CONNECTIONS_MAX][RAW_STEPS_MAX] = {
        {{RAW_ANSWER, OK}},
        {{RAW_ANSWER, OK}},
    };
    RawServer *server = RawServer_Start(plan);
    GwDispatcher *d = GwDispatcher_Create();
    GwDispatchServer listed = {RawServer_Address(server), 4};

    GwDispatcher_Trim(d, &listed, 1, GwNet_NowUs());
    run_apart(d, listed.address, 1);
    int64_t now_us = GwNet_NowUs();
    GwDispatcher_Trim(d, &listed, 1, now_us);
    cr_expect_eq(idle(d), 1);
    GwDispatcher_Trim(d, &listed, 1, now_us + GW_IDLE_US);
    cr_expect_eq(idle(d), 0);
    run_apart(d, listed.address, 1);
    cr_expect_eq(idle(d), 1);
    GwDispatcher_Trim(d, NULL, 0, GwNet_NowUs());
    cr_expect_eq(idle(d), 0);
    GwDispatcher_Free(d);
    RawServer_Stop(server);
}
