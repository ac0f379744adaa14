/* Reuse of connections to backend servers. */
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
