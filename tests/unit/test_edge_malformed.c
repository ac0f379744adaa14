/* Bytes of backend servers and of other entries that are no answer, or that
 * come before one without end. */
#include "fakes/edge_host.h"
#include "platform/platform.h"

#include <criterion/criterion.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PEER_PROCESS 0x1234567890abcdefULL

typedef struct {
    EdgeHost *h;
    int fd;
    EdgeHostServer *server;
    char answer[1024];
} Ctx;

static bool
has_arrived(void *ctx)
{
    Ctx *c = ctx;

    return EdgeHost_CountRequests(c->server, "r1") > 0;
}

static bool
is_answered(void *ctx)
{
    Ctx *c = ctx;

    g_strlcat(c->answer, EdgeHost_Read(c->fd), sizeof(c->answer));
    return strstr(c->answer, "\r\n\r\n") != NULL;
}

static bool
is_closed_by_entry(void *ctx)
{
    Ctx *c = ctx;
    char byte;

    return recv(c->server->conns[0].fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK) ==
           0;
}

typedef enum { BY_A_SERVER = 0, BY_A_PEER, SENDER_COUNT } Sender;

static Ctx
start(Sender sender)
{
    Ctx c = {.h = EdgeHost_Create()};

    EdgeHost_AddServer(c.h, "a", 4);
    c.server = &c.h->servers[0];
    if (sender == BY_A_PEER) {
        EdgeHost_Crash(c.server);
        c.server = EdgeHost_AddPeer(c.h, "e2", PEER_PROCESS);
    }
    c.fd = EdgeHost_Connect(c.h);
    EdgeHost_SendRequestFor(c.fd, "/once/", "r1", 8000);
    cr_assert(EdgeHost_RunUntil(c.h, has_arrived, &c));
    return c;
}

static void
finish(Ctx *c)
{
    close(c->fd);
    EdgeHost_Free(c->h);
}

/* Sends the text that often, each time read by the entry. */
static void
send_often(Ctx *c, const char *text, int count)
{
    for (int i = 0; i < count; i++) {
        (void)send(c->server->conns[0].fd, text, strlen(text), MSG_NOSIGNAL);
        EdgeHost_RunOnce(c->h);
    }
}

static char *
answer_with(const char *status, const char *id)
{
    return g_strdup_printf("HTTP/1.1 %s\r\n%s: %s\r\n%s: 1\r\n"
                           "gw-relay-outcome: answered; reached\r\n"
                           "Content-Length: 0\r\n\r\n",
                           status, Platform_Adapter.request_id, id,
                           Platform_Adapter.seal);
}

/* Guards against: interim responses, messages of other requests or empty
 * lines, in a row without end, hold an attempt and its connection until the
 * caller's time is over. */
Test(edge_malformed, what_precedes_an_answer_is_bounded, .timeout = 60)
{
    static const char interim[] = "HTTP/1.1 103 Early Hints\r\n\r\n";
    char *link = g_strnfill(60000, 'x');
    char *wide =
        g_strdup_printf("HTTP/1.1 103 Early Hints\r\nLink: %s\r\n\r\n", link);
    char *lines = g_strnfill(1024, '\n');
    char *stray = answer_with("200 OK", "r0");
    const struct {
        const char *name;
        const char *text;
        int count;
        bool is_for_peer; /* also sent by another entry */
        const char *answers;
    } cases[] = {
        {"some interim responses", interim, 3, true, "HTTP/1.1 200"},
        {"many interim responses", interim, 40, true, "HTTP/1.1 502"},
        {"large interim responses", wide, 8, true, "HTTP/1.1 502"},
        {"some empty lines", "\r\n\r\n", 1, true, "HTTP/1.1 200"},
        {"many empty lines", lines, 16, true, "HTTP/1.1 502"},
        {"one answer to another request", stray, 1, false, "HTTP/1.1 200"},
        {"many answers to another request", stray, 40, false, "HTTP/1.1 502"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases) * SENDER_COUNT; i++) {
        size_t k = i / SENDER_COUNT;
        Sender sender = (Sender)(i % SENDER_COUNT);
        if (sender == BY_A_PEER && !cases[k].is_for_peer) {
            continue;
        }
        Ctx c = start(sender);
        char *answer = answer_with("200 OK", "r1");
        send_often(&c, cases[k].text, cases[k].count);
        send_often(&c, answer, 1);
        cr_assert(EdgeHost_RunUntil(c.h, is_answered, &c), "%s by %d",
                  cases[k].name, sender);
        cr_expect(g_str_has_prefix(c.answer, cases[k].answers), "%s by %d: %s",
                  cases[k].name, sender, c.answer);
        cr_expect_eq(EdgeHost_CountRequests(c.server, "r1"), 1);
        g_free(answer);
        finish(&c);
    }
    g_free(stray);
    g_free(lines);
    g_free(wide);
    g_free(link);
}

/* Guards against: bytes whose status is no valid one reach the caller as the
 * answer, or are dropped as an interim response while the caller waits. */
Test(edge_malformed, an_invalid_status_ends_the_attempt, .timeout = 60)
{
    static const struct {
        const char *status;
        const char *answers;
    } cases[] = {
        {"000 x", "HTTP/1.1 502"}, {"001 x", "HTTP/1.1 502"},
        {"99 x", "HTTP/1.1 502"},  {"101 Switching", "HTTP/1.1 502"},
        {"600 x", "HTTP/1.1 502"}, {"700 x", "HTTP/1.1 502"},
        {"999 x", "HTTP/1.1 502"}, {"200 OK", "HTTP/1.1 200"},
        {"599 x", "HTTP/1.1 599"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases) * SENDER_COUNT; i++) {
        size_t k = i / SENDER_COUNT;
        Sender sender = (Sender)(i % SENDER_COUNT);
        Ctx c = start(sender);
        char *answer = answer_with(cases[k].status, "r1");
        send_often(&c, answer, 1);
        cr_assert(EdgeHost_RunUntil(c.h, is_answered, &c), "%s by %d",
                  cases[k].status, sender);
        cr_expect(g_str_has_prefix(c.answer, cases[k].answers), "%s by %d: %s",
                  cases[k].status, sender, c.answer);
        if (strcmp(cases[k].answers, "HTTP/1.1 502") == 0) {
            cr_expect(EdgeHost_RunUntil(c.h, is_closed_by_entry, &c), "%s",
                      cases[k].status);
        }
        cr_expect_eq(EdgeHost_CountRequests(c.server, "r1"), 1);
        g_free(answer);
        finish(&c);
    }
}

/* Guards against: a message without an id counts as the refusal or the answer
 * of a request that runs, which is then sent again. */
Test(edge_malformed, a_message_without_an_id_belongs_to_no_request,
     .timeout = 60)
{
    char *not_run =
        g_strdup_printf("503 Busy\r\n%s: 1", Platform_Adapter.not_run);
    char *sealed = g_strdup_printf("200 OK\r\n%s: 1", Platform_Adapter.seal);
    char *leaving =
        g_strdup_printf("500 Error\r\n%s: 1\r\n%s: 0",
                        Platform_Adapter.leaving, Platform_Adapter.limit);
    const char *const heads[] = {
        not_run,     "421 Misdirected", "503 Busy",       "429 Too Many",
        "500 Error", "404 Not Found",   "204 No Content", sealed,
        leaving};

    for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
        Ctx c = start(BY_A_SERVER);
        EdgeHost_AddServer(c.h, "b", 4);
        char *text = g_strdup_printf(
            "HTTP/1.1 %s\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n",
            heads[i]);
        char *answer = answer_with("200 OK", "r1");
        send_often(&c, text, 1);
        for (int turn = 0; turn < 50; turn++) {
            EdgeHost_RunOnce(c.h);
        }
        cr_expect_not(is_answered(&c), "%s: %s", heads[i], c.answer);
        cr_expect_eq(EdgeHost_CountRequests(&c.h->servers[1], "r1"), 0, "%s",
                     heads[i]);
        send_often(&c, answer, 1);
        cr_assert(EdgeHost_RunUntil(c.h, is_answered, &c), "%s", heads[i]);
        cr_expect(g_str_has_prefix(c.answer, "HTTP/1.1 200"), "%s: %s",
                  heads[i], c.answer);
        cr_expect(EdgeHost_RunUntil(c.h, is_closed_by_entry, &c), "%s",
                  heads[i]);
        g_free(answer);
        g_free(text);
        finish(&c);
    }
    g_free(leaving);
    g_free(sealed);
    g_free(not_run);
}
