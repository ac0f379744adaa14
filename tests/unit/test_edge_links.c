/* Reuse of connections to backend servers. */
#include "edge/server_links_internal.h"
#include "fakes/edge_host.h"
#include "router/router_internal.h"

#include <criterion/criterion.h>
#include <unistd.h>

typedef struct {
    EdgeHost *h;
    const char *awaited;
} Ctx;

static bool
was_received(void *ctx)
{
    Ctx *c = ctx;

    return EdgeHost_CountRequests(&c->h->servers[0], c->awaited) > 0;
}

/* An answer frees a slot for a waiting request, which must reuse the answer's
 * connection. Guards against taking that connection for one with unread bytes
 * while its answer is still being parsed: it was closed, and each new
 * connection cost a round trip. */
Test(edge_links, a_waiting_request_reuses_the_freed_connection)
{
    EdgeHost *h = EdgeHost_Create();
    Ctx ctx = {.h = h};
    int caller = EdgeHost_Connect(h);
    const uint32_t sent = 1 + GW_SLOTS_AHEAD;
    char id[8];

    EdgeHost_AddServer(h, "a", 1);
    for (uint32_t i = 0; i < 3 * sent; i++) {
        g_snprintf(id, sizeof(id), "r%u", i);
        EdgeHost_SendRequest(caller, "/again/", id);
    }
    for (uint32_t i = 0; i < 3 * sent; i++) {
        g_snprintf(id, sizeof(id), "r%u", i);
        ctx.awaited = id;
        cr_assert(EdgeHost_RunUntil(h, was_received, &ctx), "%s", id);
        EdgeHost_Answer(&h->servers[0], id);
    }
    cr_expect_eq(h->edge->counts.connects, sent, "%lu",
                 (unsigned long)h->edge->counts.connects);
    close(caller);
    EdgeHost_Free(h);
}

static bool
is_probed(void *ctx)
{
    Ctx *c = ctx;

    (void)EdgeHost_CountRequests(&c->h->servers[0], "");
    return c->h->servers[0].conn_count > 0;
}

/* Guards against: a server that is to be probed leaves the registry before the
 * host runs the action, and the probe ends at memory that is freed. */
Test(edge_links, a_server_that_is_gone_is_not_probed)
{
    EdgeHost *h = EdgeHost_Create();
    Ctx ctx = {.h = h};
    GwEdge *edge = h->edge;

    EdgeHost_AddServer(h, "a", 1);
    GwServer_Probe(g_hash_table_lookup(edge->router->servers, "a"),
                   edge->actions);
    GwRouter_DropServer(edge->router, GwEdge_Now(), "a", edge->actions);
    GwEdge_RunActions(edge);
    GwRouter_Tick(edge->router, GwEdge_Now(), edge->actions);
    for (int i = 0; i < 50 && !is_probed(&ctx); i++) {
        EdgeHost_RunOnce(h);
    }
    cr_expect_eq(h->servers[0].conn_count, 0);
    cr_expect_eq(g_queue_get_length(&edge->pools), 0);
    EdgeHost_Free(h);
}

/* Longer than the entry's TCP_USER_TIMEOUT, after which its kernel sends
 * nothing again. */
#define AFTER_CUT_MS 1500

static bool
has_idle_connection(void *ctx)
{
    Ctx *c = ctx;
    GwServerPool *pool = g_queue_peek_head(&c->h->edge->pools);

    return pool != NULL && !g_queue_is_empty(&pool->idle);
}

static bool
is_written(void *ctx)
{
    Ctx *c = ctx;

    return c->h->edge->counts.reuses > 0;
}

static bool
is_given_up(void *ctx)
{
    Ctx *c = ctx;

    return c->h->edge->counts.undelivered > 0;
}

/* Guards against: the kernel delivers a request after a cut that its caller
 * gave up, or got a 504 for. */
Test(edge_links, an_abandoned_request_is_not_delivered_after_a_cut)
{
    static const struct {
        const char *name;
        const char *path;
        uint32_t left_ms;
        bool leaves; /* the caller */
    } cases[] = {
        {"the caller leaves", "/again/", 10000, true},
        {"the caller of a non-idempotent request leaves", "/once/", 10000,
         true},
        {"the time is over", "/again/", 100, false},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        EdgeHost *h = EdgeHost_Create();
        EdgeHostServer *s = &h->servers[0];
        Ctx ctx = {.h = h, .awaited = "first"};
        int caller = EdgeHost_Connect(h);

        EdgeHost_AddServer(h, "a", 1);
        EdgeHost_SendRequest(caller, "/again/", "first");
        cr_assert(EdgeHost_RunUntil(h, was_received, &ctx));
        EdgeHost_Answer(s, "first");
        cr_assert(EdgeHost_RunUntil(h, has_idle_connection, &ctx));
        EdgeHost_SetCut(s, true);
        EdgeHost_SendRequestFor(caller, cases[i].path, "late",
                                cases[i].left_ms);
        cr_assert(EdgeHost_RunUntil(h, is_written, &ctx), "%s", cases[i].name);
        if (cases[i].leaves) {
            close(caller);
        }
        cr_assert(EdgeHost_RunUntil(h, is_given_up, &ctx), "%s",
                  cases[i].name);
        EdgeHost_SetCut(s, false);
        g_usleep(AFTER_CUT_MS * 1000);
        cr_expect_eq(EdgeHost_CountRequests(s, "late"), 0, "%s",
                     cases[i].name);
        if (!cases[i].leaves) {
            close(caller);
        }
        EdgeHost_Free(h);
    }
}
