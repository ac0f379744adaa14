/* Requests that wait for others on their connection. */
#include "fakes/edge_host.h"
#include "platform/platform.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LEFT_MS 5000
#define HELD_MS 700

typedef struct {
    EdgeHost *h;
    const char *awaited;
} Ctx;

static bool
was_received(void *ctx)
{
    const Ctx *c = ctx;

    return EdgeHost_CountRequests(&c->h->servers[0], c->awaited) > 0;
}

/* The time that the server was given for that request. */
static long
time_left_of(const EdgeHostServer *s, const char *id)
{
    char *start = g_strdup_printf("/%s HTTP/1.1\r\n", id);
    long ms = -1;

    for (uint32_t i = 0; i < s->conn_count && ms < 0; i++) {
        const char *at = strstr(s->conns[i].seen->str, start);
        at = at != NULL ? strstr(at, Platform_Adapter.time_left) : NULL;
        ms = at != NULL ? strtol(strchr(at, ':') + 1, NULL, 10) : -1;
    }
    g_free(start);
    return ms;
}

/* Guards against: a server is given the whole time that the caller stated for
 * a request that has waited behind another on its connection. */
Test(edge_pipeline, time_spent_waiting_counts_towards_the_deadline)
{
    Ctx c = {.h = EdgeHost_Create(), .awaited = "r1"};
    EdgeHostServer *s = &c.h->servers[0];

    EdgeHost_AddServer(c.h, "a", 2);
    int caller = EdgeHost_Connect(c.h);
    EdgeHost_SendRequestFor(caller, "/once/", "r1", LEFT_MS);
    EdgeHost_SendRequestFor(caller, "/once/", "r2", LEFT_MS);
    cr_assert(EdgeHost_RunUntil(c.h, was_received, &c));
    for (int i = 0; i < 10; i++) {
        EdgeHost_RunOnce(c.h);
        g_usleep(HELD_MS * 100);
    }
    EdgeHost_Answer(s, "r1");
    c.awaited = "r2";
    cr_assert(EdgeHost_RunUntil(c.h, was_received, &c));
    cr_expect_leq(time_left_of(s, "r2"), LEFT_MS - HELD_MS, "%ld",
                  time_left_of(s, "r2"));
    cr_expect_gt(time_left_of(s, "r2"), 0);
    close(caller);
    EdgeHost_Free(c.h);
}
