/* Servers that send without end, and callers that do not read, against one
 * entry over real sockets. */
#include "edge/callers_internal.h"
#include "edge/server_links_internal.h"
#include "fakes/edge_host.h"
#include "platform/platform.h"
#include "router/router_internal.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define RESPONSES_MAX (2u << 20)

typedef struct {
    EdgeHost *h;
    const char *awaited;
    int caller;
    GString *got; /* by the caller */
    size_t wanted;
} Ctx;

static EdgeHostServer *
find_receiver(Ctx *c)
{
    for (uint32_t i = 0; i < c->h->server_count; i++) {
        if (EdgeHost_CountRequests(&c->h->servers[i], c->awaited) > 0) {
            return &c->h->servers[i];
        }
    }
    return NULL;
}

static bool
was_received(void *ctx)
{
    return find_receiver(ctx) != NULL;
}

static bool
has_got(void *ctx)
{
    Ctx *c = ctx;
    char text[65536];
    ssize_t len = recv(c->caller, text, sizeof(text), MSG_DONTWAIT);

    if (len > 0) {
        g_string_append_len(c->got, text, len);
    }
    return c->got->len >= c->wanted;
}

static Ctx
start(const char *path)
{
    Ctx c = {.h = EdgeHost_Create(), .awaited = "r1"};

    c.got = g_string_new(NULL);
    c.h->edge->bodies.responses_max = RESPONSES_MAX;
    EdgeHost_AddServer(c.h, "a", 2);
    c.caller = EdgeHost_Connect(c.h);
    EdgeHost_SendRequest(c.caller, path, "r1");
    cr_assert(EdgeHost_RunUntil(c.h, was_received, &c));
    return c;
}

static void
stop(Ctx *c)
{
    GwEdge *edge = c->h->edge;

    close(c->caller);
    for (int i = 0;
         i < 200 && (edge->callers.head != NULL || edge->bodies.responses > 0);
         i++) {
        EdgeHost_RunOnce(c->h);
        g_usleep(200);
    }
    cr_expect_eq(edge->bodies.responses, 0);
    cr_expect(g_queue_is_empty(&edge->bodies.receiving));
    cr_expect(g_queue_is_empty(&edge->receiving));
    EdgeHost_Free(c->h);
    g_string_free(c->got, TRUE);
}

static char *
answer_head(const char *fields)
{
    return g_strdup_printf("HTTP/1.1 200 OK\r\n%s: r1\r\n%s: 1\r\n%s",
                           Platform_Adapter.request_id, Platform_Adapter.seal,
                           fields);
}

/* Sends the bytes again and again, until the entry closes the connection.
 * Returns false if it has not done so after `turns` turns of its loop. */
static bool
send_until_closed(Ctx *c, int fd, const GString *text, int turns)
{
    for (int i = 0; i < turns; i++) {
        ssize_t sent =
            send(fd, text->str, text->len, MSG_DONTWAIT | MSG_NOSIGNAL);
        cr_assert_leq(c->h->edge->bodies.responses, RESPONSES_MAX);
        if (sent < 0 && errno != EAGAIN) {
            return true;
        }
        EdgeHost_RunOnce(c->h);
    }
    return false;
}

/* Guards against: a server that sends without end fills the memory, its
 * request is sent a second time although it may have run, or the server gets
 * the next requests as if it had answered. */
Test(edge_bounds, an_answer_without_end_is_aborted)
{
    static const struct {
        const char *what;
        const char *fields; /* after the answer's first lines */
        const char *piece;  /* repeated; filled up if it is one byte */
        const char *status; /* that the caller gets */
        uint64_t excess;
    } cases[] = {
        {"chunks", "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n",
         "HTTP/1.1 502 ", 1},
        {"up to the end of the connection", "\r\n", "x", "HTTP/1.1 502 ", 1},
        {"a length above the bound", "Content-Length: 99999999999\r\n\r\n",
         "x", "HTTP/1.1 502 ", 1},
        {"a head", "A: ", "x", "HTTP/1.1 502 ", 1},
        {"many fields", "", "A: b\r\n", "HTTP/1.1 502 ", 1},
        {"no HTTP", "\001\r\n", "x", "HTTP/1.1 502 ", 0},
        {"text behind the answer", "Content-Length: 0\r\n\r\n", "x",
         "HTTP/1.1 200 ", 0},
        {"another answer behind it",
         "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n"
         "Transfer-Encoding: chunked\r\n\r\n",
         "4\r\nabcd\r\n", "HTTP/1.1 200 ", 0},
        {"another head behind it",
         "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nA:", "x",
         "HTTP/1.1 200 ", 0},
        {"blank lines behind it", "Content-Length: 0\r\n\r\n", "\r\n",
         "HTTP/1.1 200 ", 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Ctx c = start("/once/");
        GwEdge *edge = c.h->edge;
        EdgeHostServer *s = &c.h->servers[0];
        GString *many = g_string_new(NULL);
        char *head = answer_head(cases[i].fields);
        const char *what = cases[i].what;

        while (many->len < 16384) {
            g_string_append(many, cases[i].piece);
        }
        cr_assert_gt(send(s->conns[0].fd, head, strlen(head), MSG_NOSIGNAL),
                     0);
        /* Less than what the memory for answers takes. */
        int turns = cases[i].status[9] == '2' ? 50 : 20000;
        cr_expect(send_until_closed(&c, s->conns[0].fd, many, turns), "%s",
                  what);
        c.wanted = strlen(cases[i].status);
        cr_expect(EdgeHost_RunUntil(c.h, has_got, &c), "%s", what);
        cr_expect(g_str_has_prefix(c.got->str, cases[i].status), "%s: %s",
                  what, c.got->str);
        cr_expect_eq(EdgeHost_CountRequests(s, "r1"), 1, "%s", what);
        cr_expect_eq(edge->excess.count, cases[i].excess, "%s", what);
        const GwServer *server =
            g_hash_table_lookup(edge->router->servers, "a");
        cr_expect_eq(server->failures,
                     strstr(cases[i].status, "502") != NULL ? 1 : 0, "%s",
                     what);
        g_free(head);
        g_string_free(many, TRUE);
        stop(&c);
    }
}

/* Sends the bytes, as far as the entry reads them. */
static void
send_bytes(Ctx *c, int fd, size_t len)
{
    char piece[8192];

    memset(piece, 'x', sizeof(piece));
    for (int turns = 0; len > 0 && turns < 100000; turns++) {
        ssize_t sent = send(fd, piece, MIN(len, sizeof(piece)),
                            MSG_DONTWAIT | MSG_NOSIGNAL);
        len -= sent > 0 ? (size_t)sent : 0;
        EdgeHost_RunOnce(c->h);
    }
}

/* Guards against: an answer is lost because another one without end has taken
 * the memory; the aborted request is never answered, or runs again. */
Test(edge_bounds, an_answer_takes_the_room_of_a_larger_incomplete_one)
{
    Ctx c = start("/once/");
    GwEdge *edge = c.h->edge;
    EdgeHostServer *s = &c.h->servers[0];
    int first = c.caller;
    int second = EdgeHost_Connect(c.h);
    char *head = answer_head("\r\n");

    EdgeHost_SendRequest(second, "/once/", "r2");
    c.awaited = "r2";
    cr_assert(EdgeHost_RunUntil(c.h, was_received, &c));
    cr_assert_eq(s->conn_count, 2);
    cr_assert_gt(send(s->conns[0].fd, head, strlen(head), 0), 0);
    send_bytes(&c, s->conns[0].fd, 1200 << 10);
    g_free(head);
    head = g_strdup_printf("HTTP/1.1 200 OK\r\n%s: r2\r\n%s: 1\r\n"
                           "Content-Length: 600000\r\n\r\n",
                           Platform_Adapter.request_id, Platform_Adapter.seal);
    cr_assert_gt(send(s->conns[1].fd, head, strlen(head), 0), 0);
    send_bytes(&c, s->conns[1].fd, 600000);
    c.wanted = strlen("HTTP/1.1 502 ");
    cr_expect(EdgeHost_RunUntil(c.h, has_got, &c));
    cr_expect(g_str_has_prefix(c.got->str, "HTTP/1.1 502 "), "%s", c.got->str);
    g_string_truncate(c.got, 0);
    c.caller = second;
    c.wanted = 600000 + 20;
    cr_expect(EdgeHost_RunUntil(c.h, has_got, &c));
    cr_expect(g_str_has_prefix(c.got->str, "HTTP/1.1 200 "));
    cr_expect_eq(edge->excess.count, 1);
    cr_expect_eq(EdgeHost_CountRequests(s, "r1"), 1);
    close(first);
    g_free(head);
    stop(&c);
}

/* Guards against: one byte each 0.2 s holds a slot and its caller up to the
 * deadline, and the server gets more requests; or an answer that pauses is
 * given up. */
Test(edge_bounds, an_answer_that_trickles_is_aborted)
{
    static const struct {
        const char *what;
        int reads;
        int64_t began_ms_ago;
        bool aborted;
    } cases[] = {
        {"many bytes one by one", 10, 2500, true},
        {"not for long yet", 10, 1000, false},
        {"a pause after the head", 3, 30000, false},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Ctx c = start("/once/");
        GwEdge *edge = c.h->edge;
        int fd = c.h->servers[0].conns[0].fd;

        for (int k = 0; k < cases[i].reads; k++) {
            uint64_t before = edge->receiving.head != NULL ? 1 : 0;
            cr_assert_eq(send(fd, "HTTP/1.1 200 OK\r\n" + k, 1, 0), 1);
            for (int n = 0; n < 20 || (before == 0 && n < 2000 &&
                                       edge->receiving.head == NULL);
                 n++) {
                EdgeHost_RunOnce(c.h);
                g_usleep(100);
            }
        }
        cr_assert_not_null(edge->receiving.head, "%s", cases[i].what);
        GwServerLink *link = edge->receiving.head->data;
        link->meter.began_us -= cases[i].began_ms_ago * 1000;
        GwServerLink_Sweep(edge, GwEdge_Now());
        GwEdge_RunActions(edge);
        cr_expect_eq(edge->excess.count, cases[i].aborted ? 1 : 0, "%s",
                     cases[i].what);
        c.wanted = strlen("HTTP/1.1 502 ");
        cr_expect(!cases[i].aborted || EdgeHost_RunUntil(c.h, has_got, &c));
        cr_expect_eq(g_str_has_prefix(c.got->str, "HTTP/1.1 502 "),
                     cases[i].aborted, "%s: %s", cases[i].what, c.got->str);
        stop(&c);
    }
}

/* Sends a whole answer with a body of `len` bytes. */
static void
send_answer(Ctx *c, int fd, size_t len)
{
    char *fields = g_strdup_printf("Content-Length: %zu\r\n\r\n", len);
    char *head = answer_head(fields);
    GString *all = g_string_new(head);

    for (size_t i = 0; i < len; i++) {
        g_string_append_c(all, (char)('a' + i % 23));
    }
    for (size_t sent = 0, turns = 0; sent < all->len && turns < 100000;
         turns++) {
        ssize_t n = send(fd, all->str + sent, all->len - sent,
                         MSG_DONTWAIT | MSG_NOSIGNAL);
        sent += n > 0 ? (size_t)n : 0;
        EdgeHost_RunOnce(c->h);
    }
    for (int i = 0; i < 50; i++) {
        EdgeHost_RunOnce(c->h);
        g_usleep(100);
    }
    g_string_free(all, TRUE);
    g_free(head);
    g_free(fields);
}

/* Guards against: bytes that wait for a slow caller are counted nowhere, are
 * damaged or dropped, or stay counted for good. */
Test(edge_bounds, an_answer_to_a_slow_caller_is_counted_until_written)
{
    static const size_t sizes[] = {0, 400, 16384, 16385, 1200000};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        Ctx c = start("/once/");
        GwEdge *edge = c.h->edge;
        bool is_queued = sizes[i] > 1000000;
        int small = 32768;
        const char *end = NULL;

        GwCaller *caller = edge->callers.head->data;
        int fd;
        cr_assert_eq(uv_fileno((uv_handle_t *)caller->conn, &fd), 0);
        (void)setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &small, sizeof(small));
        (void)setsockopt(c.caller, SOL_SOCKET, SO_RCVBUF, &small,
                         sizeof(small));
        send_answer(&c, c.h->servers[0].conns[0].fd, sizes[i]);
        cr_expect_eq(edge->bodies.responses, is_queued ? sizes[i] : 0,
                     "%zu: %lu", sizes[i],
                     (unsigned long)edge->bodies.responses);
        GString *metrics = g_string_new(NULL);
        GwStatus_WriteMetrics(edge, metrics);
        cr_expect_eq(strstr(metrics->str, "\ngw_answer_bytes 1200000\n") !=
                         NULL,
                     is_queued, "%zu", sizes[i]);
        cr_expect_not_null(strstr(metrics->str, "\ngw_answer_bytes_max "));
        cr_expect_not_null(
            strstr(metrics->str, "\ngw_answers_over_bound_total 0\n"));
        g_string_free(metrics, TRUE);
        cr_expect_eq(GwConn_IsPaused(caller->conn), is_queued, "%zu",
                     sizes[i]);
        c.wanted = sizes[i] + 20;
        cr_expect(EdgeHost_RunUntil(c.h, has_got, &c), "%zu", sizes[i]);
        c.wanted = (size_t)-1;
        for (int k = 0; k < 100; k++) {
            (void)has_got(&c);
            EdgeHost_RunOnce(c.h);
        }
        end = strstr(c.got->str, "\r\n\r\n");
        cr_assert_not_null(end);
        cr_assert_eq(strlen(end + 4), sizes[i]);
        for (size_t k = 0; k < sizes[i]; k++) {
            cr_assert_eq(end[4 + k], (char)('a' + k % 23), "%zu", k);
        }
        cr_expect_eq(edge->bodies.responses, 0, "%zu", sizes[i]);
        stop(&c);
    }
}

/* Guards against callers that never read and keep the memory for answers from
 * all others; and against closing slow callers while there is room. */
Test(edge_bounds, callers_that_read_nothing_are_closed_if_memory_is_short)
{
    static const struct {
        const char *what;
        uint64_t max;
        int64_t stalled_ms;
        bool closed;
    } cases[] = {
        {"short, and long unread", RESPONSES_MAX, 11000, true},
        {"short, read lately", RESPONSES_MAX, 5000, false},
        {"enough memory", 4 * RESPONSES_MAX, 11000, false},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Ctx c = start("/once/");
        GwEdge *edge = c.h->edge;
        GwCaller *caller = edge->callers.head->data;
        int small = 32768;
        int fd;

        cr_assert_eq(uv_fileno((uv_handle_t *)caller->conn, &fd), 0);
        (void)setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &small, sizeof(small));
        (void)setsockopt(c.caller, SOL_SOCKET, SO_RCVBUF, &small,
                         sizeof(small));
        send_answer(&c, c.h->servers[0].conns[0].fd, 1200000);
        edge->bodies.responses_max = cases[i].max;
        GwCallers_Sweep(edge, GwEdge_Now());
        cr_assert_gt(caller->reading.since_us, 0, "%s", cases[i].what);
        caller->reading.since_us -= cases[i].stalled_ms * 1000;
        GwCallers_Sweep(edge, GwEdge_Now());
        cr_expect_eq(g_queue_is_empty(&edge->callers), cases[i].closed, "%s",
                     cases[i].what);
        stop(&c);
    }
}

/* Until both socket buffers are full. */
static void
settle(Ctx *c)
{
    for (int i = 0; i < 100; i++) {
        EdgeHost_RunOnce(c->h);
        g_usleep(1000);
    }
}

/* Guards against: a caller that reads all the time counts as one that reads
 * nothing, because further answers keep its queue at the same length. */
Test(edge_bounds, callers_that_read_steadily_are_not_stalled)
{
    static const struct {
        const char *what;
        size_t read;
        bool closed;
    } cases[] = {
        {"it reads", 200000, false},
        {"it does not", 0, true},
    };

    (void)signal(SIGPIPE, SIG_IGN); /* as the program does */
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Ctx c = start("/once/");
        GwEdge *edge = c.h->edge;
        GwCaller *caller = edge->callers.head->data;
        int small = 32768;
        int fd;

        cr_assert_eq(uv_fileno((uv_handle_t *)caller->conn, &fd), 0);
        (void)setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &small, sizeof(small));
        (void)setsockopt(c.caller, SOL_SOCKET, SO_RCVBUF, &small,
                         sizeof(small));
        send_answer(&c, c.h->servers[0].conns[0].fd, 1200000);
        settle(&c);
        GwCallers_Sweep(edge, GwEdge_Now());
        c.wanted = c.got->len + cases[i].read;
        cr_assert(cases[i].read == 0 || EdgeHost_RunUntil(c.h, has_got, &c));
        GString *more = g_string_new(NULL);
        g_string_set_size(more, 400000);
        memset(more->str, 'x', more->len);
        GwConn_WriteOwned(caller->conn, more);
        caller->reading.since_us -= 11000000;
        GwCallers_Sweep(edge, GwEdge_Now());
        cr_expect_eq(g_queue_is_empty(&edge->callers), cases[i].closed, "%s",
                     cases[i].what);
        stop(&c);
    }
}
