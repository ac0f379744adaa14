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

#define BUSY 12 /* more than are checked at once */

static void
connect_and_wait(Ctx *c, int number)
{
    c->caller = EdgeHost_Connect(c->h);
    g_snprintf(c->id, sizeof(c->id), "c%d", number);
    EdgeHost_SendRequest(c->caller, "/again/", c->id);
    cr_assert(EdgeHost_RunUntil(c->h, was_received, c), "%s", c->id);
}

/* Guards against: a new caller waits although connections are idle, because
 * requests on connections that were idle before them take long. */
Test(edge_full, an_idle_connection_is_found_behind_busy_ones, .timeout = 60)
{
    Ctx c = {.h = EdgeHost_Create()};
    int callers[CONNECTIONS_MAX];

    EdgeHost_AddServer(c.h, "a", 2 * CONNECTIONS_MAX);
    for (int i = 0; i < CONNECTIONS_MAX; i++) {
        if (i < BUSY) {
            connect_and_wait(&c, i);
        }
        else {
            connect_and_ask(&c, i);
        }
        callers[i] = c.caller;
    }
    connect_and_ask(&c, CONNECTIONS_MAX);
    close(c.caller);
    for (int i = 0; i < CONNECTIONS_MAX; i++) {
        c.caller = callers[i];
        cr_expect_eq(is_closed(&c), i == BUSY, "%d", i);
        close(callers[i]);
    }
    EdgeHost_Free(c.h);
}

static bool
are_full(void *ctx)
{
    const Ctx *c = ctx;

    return GwCallers_AreFull(c->h->edge, GwEdge_Now());
}

/* Guards against: accepting stays paused until a caller disconnects, though
 * requests end, and readiness hides it. */
Test(edge_full, accepting_resumes_when_requests_end, .timeout = 60)
{
    Ctx c = {.h = EdgeHost_Create()};
    int callers[CONNECTIONS_MAX];

    EdgeHost_AddServer(c.h, "a", 2 * CONNECTIONS_MAX);
    for (int i = 0; i < CONNECTIONS_MAX; i++) {
        connect_and_wait(&c, i);
        callers[i] = c.caller;
    }
    c.caller = EdgeHost_Connect(c.h);
    EdgeHost_SendRequest(c.caller, "/again/", "new");
    cr_expect(EdgeHost_RunUntil(c.h, are_full, &c));
    EdgeHost_Answer(&c.h->servers[0], "c7");
    g_strlcpy(c.id, "new", sizeof(c.id));
    cr_expect(EdgeHost_RunUntil(c.h, was_received, &c));
    cr_expect_not(are_full(&c));
    for (int i = 0; i < CONNECTIONS_MAX; i++) {
        close(callers[i]);
    }
    close(c.caller);
    EdgeHost_Free(c.h);
}

#define DIRECTORY_MAX 15 /* an eighth of the descriptors */

/* Guards against: idle connections to the directory use up the descriptors of
 * callers and servers. */
Test(edge_full, connections_to_the_directory_are_bounded, .timeout = 60)
{
    Ctx c = {.h = EdgeHost_Create()};
    int idle[3 * DIRECTORY_MAX];
    int open = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(idle); i++) {
        idle[i] = EdgeHost_ConnectToDirectory(c.h);
        EdgeHost_RunOnce(c.h);
    }
    c.caller = EdgeHost_ConnectToDirectory(c.h);
    EdgeHost_SendText(c.caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    cr_expect(EdgeHost_RunUntil(c.h, has_answer, &c));
    close(c.caller);
    for (size_t i = 0; i < G_N_ELEMENTS(idle); i++) {
        c.caller = idle[i];
        open += !is_closed(&c);
        close(idle[i]);
    }
    cr_expect_eq(open, DIRECTORY_MAX - 1, "%d", open);
    EdgeHost_Free(c.h);
}

#define PAGES    40
#define QUIET_MS 500 /* longer than the kernel delays an acknowledgement */

static void
set_idle_limit(EdgeHost *h, uint32_t idle_ms)
{
    for (guint i = 0; i < h->edge->controls->len; i++) {
        GwHttpListener_SetLimits(h->edge->controls->pdata[i], DIRECTORY_MAX,
                                 idle_ms);
    }
}

static void
close_idle_clients(EdgeHost *h)
{
    set_idle_limit(h, 1);
    g_usleep(5000); /* more than that idle time */
    GwControl_CloseIdle(h->edge);
    set_idle_limit(h, 60000);
    for (int i = 0; i < 50; i++) {
        EdgeHost_RunOnce(h);
        g_usleep(200);
    }
}

/* Guards against: a client that still reads a page of the entry is closed as
 * idle, or never because it once did. */
Test(edge_full, a_client_that_reads_its_page_is_not_closed, .timeout = 60)
{
    Ctx c = {.h = EdgeHost_Create()};
    int small = 4096;

    c.caller = EdgeHost_ConnectToDirectory(c.h);
    (void)setsockopt(c.caller, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    for (int i = 0; i < PAGES; i++) {
        EdgeHost_SendText(c.caller,
                          "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
        EdgeHost_RunOnce(c.h);
    }
    close_idle_clients(c.h);
    for (int quiet = 0; quiet < QUIET_MS; quiet++) {
        if (EdgeHost_Read(c.caller)[0] != '\0') {
            quiet = 0;
        }
        EdgeHost_RunOnce(c.h);
        g_usleep(1000);
    }
    cr_expect_not(is_closed(&c));
    close_idle_clients(c.h);
    close_idle_clients(c.h);
    cr_expect(is_closed(&c));
    close(c.caller);
    EdgeHost_Free(c.h);
}
