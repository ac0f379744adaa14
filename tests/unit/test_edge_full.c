/* An entry that has as many callers as it may. */
#include "fakes/edge_host.h"

#include <criterion/criterion.h>
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#define MOST 40 /* a third of the descriptors of EdgeHost_Create */

typedef struct {
    EdgeHost *h;
    int caller;
    bool answered;
    char id[8];
} Ctx;

static bool
has_come(void *ctx)
{
    Ctx *c = ctx;

    return EdgeHost_Got(&c->h->servers[0], c->id) > 0;
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
be_served(Ctx *c, int number)
{
    c->caller = EdgeHost_Call(c->h);
    g_snprintf(c->id, sizeof(c->id), "c%d", number);
    EdgeHost_Ask(c->caller, "/again/", c->id);
    cr_assert(EdgeHost_Until(c->h, has_come, c), "%s", c->id);
    EdgeHost_Answer(&c->h->servers[0], c->id);
    c->answered = false;
    cr_assert(EdgeHost_Until(c->h, has_answer, c), "%s", c->id);
}

/* Callers keep their connections and ask nothing. One who comes beyond the
 * number that the entry takes waited until one of these left, for as long as
 * its configuration lets them be idle. The one that was idle longest makes room
 * instead; it had nothing under way. */
Test(edge_full, who_was_idle_longest_makes_room, .timeout = 60)
{
    Ctx c = {.h = EdgeHost_Create()};
    int callers[MOST];

    EdgeHost_AddServer(c.h, "a", 4);
    for (int i = 0; i < MOST; i++) {
        be_served(&c, i);
        callers[i] = c.caller;
    }
    be_served(&c, MOST);
    close(c.caller);
    c.caller = callers[0];
    cr_expect(EdgeHost_Until(c.h, is_closed, &c));
    for (int i = 1; i < MOST; i++) {
        c.caller = callers[i];
        cr_expect_not(is_closed(&c), "%d", i);
    }
    for (int i = 0; i < MOST; i++) {
        close(callers[i]);
    }
    EdgeHost_Free(c.h);
}
