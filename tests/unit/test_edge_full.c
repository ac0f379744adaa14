/* An entry at its limit of connections from callers. */
#include "fakes/edge_host.h"

#include <criterion/criterion.h>
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTIONS_MAX 40 /* a third of the descriptors of EdgeHost_Create */

typedef struct {
    EdgeHost *h;
    int caller;
    bool answered;
    char id[8];
} Ctx;

static bool
was_received(void *ctx)
{
    Ctx *c = ctx;

    return EdgeHost_CountRequests(&c->h->servers[0], c->id) > 0;
}

static bool
has_answer(void *ctx)
{
    Ctx *c = ctx;

    c->answered = c->answered || EdgeHost_Read(c->caller)[0] != '\0';
    return c->answered;
}

static bool
is_closed(void *ctx)
{
    const Ctx *c = ctx;
    char byte;
    ssize_t len = recv(c->caller, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

    return len == 0 || (len < 0 && errno == ECONNRESET);
}

static void
connect_and_ask(Ctx *c, int number)
{
    c->caller = EdgeHost_Connect(c->h);
    g_snprintf(c->id, sizeof(c->id), "c%d", number);
    EdgeHost_SendRequest(c->caller, "/again/", c->id);
    cr_assert(EdgeHost_RunUntil(c->h, was_received, c), "%s", c->id);
    EdgeHost_Answer(&c->h->servers[0], c->id);
    c->answered = false;
    cr_assert(EdgeHost_RunUntil(c->h, has_answer, c), "%s", c->id);
}

/* Callers keep idle connections open. Guards against a new caller beyond the
 * limit waiting until one of them disconnects, for up to the configured idle
 * time-out: the entry closes the longest-idle connection instead, which has no
 * request in progress. */
Test(edge_full, the_longest_idle_connection_is_closed_for_a_new_caller,
     .timeout = 60)
{
    Ctx c = {.h = EdgeHost_Create()};
    int callers[CONNECTIONS_MAX];

    EdgeHost_AddServer(c.h, "a", 4);
    for (int i = 0; i < CONNECTIONS_MAX; i++) {
        connect_and_ask(&c, i);
        callers[i] = c.caller;
    }
    connect_and_ask(&c, CONNECTIONS_MAX);
    close(c.caller);
    c.caller = callers[0];
    cr_expect(EdgeHost_RunUntil(c.h, is_closed, &c));
    for (int i = 1; i < CONNECTIONS_MAX; i++) {
        c.caller = callers[i];
        cr_expect_not(is_closed(&c), "%d", i);
    }
    for (int i = 0; i < CONNECTIONS_MAX; i++) {
        close(callers[i]);
    }
    EdgeHost_Free(c.h);
}
