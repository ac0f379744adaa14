/* Uploads to servers that read slowly. */
#include "fakes/edge_host.h"
#include "platform/platform.h"

#include <criterion/criterion.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BODY_BYTES (8u << 20) /* exceeds the sockets' buffers */
#define PAUSE_MS   2500

typedef struct {
    EdgeHost *h;
    int caller;
    int server; /* -1: not connected */
    size_t to_send;
    size_t received; /* by the server */
    GString *got;    /* by the caller */
} Ctx;

static void
send_body(Ctx *c)
{
    static char zeros[65536];
    ssize_t sent = send(c->caller, zeros, MIN(c->to_send, sizeof(zeros)),
                        MSG_DONTWAIT | MSG_NOSIGNAL);

    c->to_send -= sent > 0 ? (size_t)sent : 0;
}

static bool
is_sent_to_server(void *ctx)
{
    Ctx *c = ctx;

    send_body(c);
    if (c->server < 0) {
        c->server = accept(c->h->servers[0].listener, NULL, NULL);
    }
    return c->server >= 0 && c->to_send == 0;
}

static bool
has_whole_upload(void *ctx)
{
    static char bytes[65536];
    Ctx *c = ctx;
    ssize_t len = recv(c->server, bytes, sizeof(bytes), MSG_DONTWAIT);

    c->received += len > 0 ? (size_t)len : 0;
    return c->received > BODY_BYTES;
}

static bool
is_answered(void *ctx)
{
    Ctx *c = ctx;

    g_string_append(c->got, EdgeHost_Read(c->caller));
    return c->got->len > 0;
}

/* Guards against: a server that stops reading an upload for a moment loses
 * its connection, as if its machine had failed, and the caller gets 502. */
Test(edge_uploads, a_server_may_pause_while_it_reads, .timeout = 60)
{
    Ctx c = {.h = EdgeHost_Create(),
             .server = -1,
             .to_send = BODY_BYTES,
             .got = g_string_new(NULL)};
    char *head = g_strdup_printf(
        "POST /once/up HTTP/1.1\r\nHost: h\r\n%s: up\r\n%s: 30000\r\n"
        "Content-Length: %u\r\n\r\n",
        Platform_Adapter.request_id, Platform_Adapter.time_left, BODY_BYTES);
    char *answer =
        g_strdup_printf("HTTP/1.1 200 OK\r\n%s: up\r\n%s: 1\r\n"
                        "Content-Length: 0\r\n\r\n",
                        Platform_Adapter.request_id, Platform_Adapter.seal);

    EdgeHost_AddServer(c.h, "a", 2);
    c.caller = EdgeHost_Connect(c.h);
    EdgeHost_SendText(c.caller, head);
    cr_assert(EdgeHost_RunUntil(c.h, is_sent_to_server, &c));
    for (int i = 0; i < PAUSE_MS; i++) {
        EdgeHost_RunOnce(c.h);
        g_usleep(1000);
    }
    cr_assert(EdgeHost_RunUntil(c.h, has_whole_upload, &c), "%zu", c.received);
    (void)send(c.server, answer, strlen(answer), MSG_NOSIGNAL);
    cr_expect(EdgeHost_RunUntil(c.h, is_answered, &c));
    cr_expect(g_str_has_prefix(c.got->str, "HTTP/1.1 200 "), "%s", c.got->str);
    close(c.caller);
    close(c.server);
    g_free(head);
    g_free(answer);
    g_string_free(c.got, TRUE);
    EdgeHost_Free(c.h);
}
