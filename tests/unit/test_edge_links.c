/* Connections to backend servers. */
#include "fakes/edge_host.h"

#include <criterion/criterion.h>
#include <unistd.h>

typedef struct {
    EdgeHost *h;
    const char *awaited;
} Ctx;

static bool
has_come(void *ctx)
{
    Ctx *c = ctx;

    return EdgeHost_Got(&c->h->servers[0], c->awaited) > 0;
}

/* An answer makes room for a request that waits, and its connection is free: the
 * request goes on it. It was taken for one with bytes unread, as its answer was
 * still being parsed, and closed; a new one cost a round trip each time. */
Test(edge_links, what_has_waited_goes_on_the_connection_that_is_free)
{
    EdgeHost *h = EdgeHost_Create();
    Ctx ctx = {.h = h};
    int caller = EdgeHost_Call(h);
    const uint32_t sent = 1 + GW_SLOTS_AHEAD;
    char id[8];

    EdgeHost_AddServer(h, "a", 1);
    for (uint32_t i = 0; i < 3 * sent; i++) {
        g_snprintf(id, sizeof(id), "r%u", i);
        EdgeHost_Ask(caller, "/again/", id);
    }
    for (uint32_t i = 0; i < 3 * sent; i++) {
        g_snprintf(id, sizeof(id), "r%u", i);
        ctx.awaited = id;
        cr_assert(EdgeHost_Until(h, has_come, &ctx), "%s", id);
        EdgeHost_Answer(&h->servers[0], id);
    }
    cr_expect_eq(h->edge->counts.connects, sent, "%lu",
                 (unsigned long)h->edge->counts.connects);
    close(caller);
    EdgeHost_Free(h);
}
