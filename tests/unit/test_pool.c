/* Bounds on the idle connections to one backend server.
 *
 * Each non-idempotent call without a recently used connection opens a new one
 * and leaves it idle. Unbounded, three entries held 61 connections to a server
 * of 3 slots; a server at its limit closes new connections unread, and callers
 * of every entry get "unknown". */
#include "fakes/raw_server.h"
#include "runtime/dispatch.h"
#include "runtime/net_internal.h"

#include <criterion/criterion.h>

#define OK "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

/* Runs `count` attempts, each on a new connection. */
static void
run_on_new_connections(GwDispatcher *d, const char *address, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        GwDispatchRequest request = {
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
        GwDispatchResult result;
        GwDispatch_Run(d, &request, abort, &result);
        cr_expect_eq(result.outcome, GW_OUTCOME_ANSWERED);
        GwAnswer_Unref(result.answer);
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
    const char *name;
    bool listed;       /* the server is in the configuration */
    uint32_t idle_max; /* of a listed server */
    uint32_t attempts; /* attempts on new connections */
    uint64_t idle_after;
} Case;

static const Case cases[] = {
    {"below the bound", true, 3, 2, 2},
    {"above the bound", true, 2, 4, 2},
    {"a server removed from the configuration", false, 0, 2, 0},
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
        run_on_new_connections(d, RawServer_Address(server), c->attempts);
        cr_expect_eq(RawServer_Connections(server), c->attempts, "%s",
                     c->name);
        cr_expect_eq(idle(d), c->idle_after, "%s: %u", c->name,
                     (unsigned)idle(d));
        GwDispatcher_Free(d);
        RawServer_Stop(server);
    }
}

/* Trim closes connections that are idle for too long, and those to a server
 * that was removed from the configuration. */
Test(pool, trim_closes_idle_connections, .timeout = 30)
{
    static const RawStep plan[RAW_CONNECTIONS_MAX][RAW_STEPS_MAX] = {
        {{RAW_ANSWER, OK}},
        {{RAW_ANSWER, OK}},
    };
    RawServer *server = RawServer_Start(plan);
    GwDispatcher *d = GwDispatcher_Create();
    GwDispatchServer listed = {RawServer_Address(server), 4};

    GwDispatcher_Trim(d, &listed, 1, GwNet_NowUs());
    run_on_new_connections(d, listed.address, 1);
    int64_t now_us = GwNet_NowUs();
    GwDispatcher_Trim(d, &listed, 1, now_us);
    cr_expect_eq(idle(d), 1);
    GwDispatcher_Trim(d, &listed, 1, now_us + GW_IDLE_TIMEOUT_US);
    cr_expect_eq(idle(d), 0);
    run_on_new_connections(d, listed.address, 1);
    cr_expect_eq(idle(d), 1);
    GwDispatcher_Trim(d, NULL, 0, GwNet_NowUs());
    cr_expect_eq(idle(d), 0);
    GwDispatcher_Free(d);
    RawServer_Stop(server);
}
