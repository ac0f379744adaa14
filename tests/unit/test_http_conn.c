/* Connections over the loopback interface, both ends on one loop. */
#include "http/conn.h"

#include <criterion/criterion.h>
#include <string.h>
#include <sys/socket.h>

typedef struct {
    uv_loop_t loop;
    uv_tcp_t *listener;
    char address[32];
    GwConn *conn;
    const char *bytes; /* what the other side sends */
    bool resets;       /* and then resets; else closes in order */
    int messages;
    int ends;
    GwConnEnd end;
} Pair;

static void
on_peer_closed(uv_handle_t *handle)
{
    g_free(handle);
}

/* Sends the bytes with plain socket calls, then ends the connection. */
static void
on_accept(uv_stream_t *listener, int status)
{
    Pair *pair = listener->data;
    uv_tcp_t *peer = g_new0(uv_tcp_t, 1);
    int fd;

    cr_assert_eq(status, 0);
    (void)uv_tcp_init(&pair->loop, peer);
    cr_assert_eq(uv_accept(listener, (uv_stream_t *)peer), 0);
    cr_assert_eq(uv_fileno((uv_handle_t *)peer, &fd), 0);
    cr_assert_eq(send(fd, pair->bytes, strlen(pair->bytes), 0),
                 (ssize_t)strlen(pair->bytes));
    if (pair->resets) {
        struct linger now = {.l_onoff = 1};
        (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
    uv_close((uv_handle_t *)peer, on_peer_closed);
}

static void
on_connected(void *owner)
{
    (void)owner;
}

static void
on_message(void *owner, GwHttpMessage *msg)
{
    ((Pair *)owner)->messages++;
    GwHttpMessage_Free(msg);
}

static void
on_ended(void *owner, GwConnEnd end)
{
    Pair *pair = owner;

    pair->ends++;
    pair->end = end;
    if (end == GW_CONN_BAD) {
        GwConn_Close(pair->conn);
    }
    uv_close((uv_handle_t *)pair->listener, on_peer_closed);
}

static const GwConnOps ops = {
    .connected = on_connected, .message = on_message, .ended = on_ended};

static void
run(Pair *pair)
{
    struct sockaddr_in at;
    int len = sizeof(at);

    (void)uv_loop_init(&pair->loop);
    pair->listener =
        GwConn_Listen(&pair->loop, "127.0.0.1:1", on_accept, pair);
    if (pair->listener == NULL) { /* port 1 is not ours: any other */
        pair->listener = g_new0(uv_tcp_t, 1);
        (void)uv_tcp_init(&pair->loop, pair->listener);
        pair->listener->data = pair;
        (void)uv_ip4_addr("127.0.0.1", 0, &at);
        cr_assert_eq(uv_tcp_bind(pair->listener, (struct sockaddr *)&at, 0),
                     0);
        cr_assert_eq(uv_listen((uv_stream_t *)pair->listener, 4, on_accept),
                     0);
    }
    (void)uv_tcp_getsockname(pair->listener, (struct sockaddr *)&at, &len);
    g_snprintf(pair->address, sizeof(pair->address), "127.0.0.1:%u",
               ntohs(at.sin_port));
    GwConnParams params = {.loop = &pair->loop,
                           .ops = &ops,
                           .owner = pair,
                           .head_max = 4096,
                           .body_max = 4096};
    pair->conn = GwConn_Connect(&params, pair->address);
    cr_assert_not_null(pair->conn);
    (void)uv_run(&pair->loop, UV_RUN_DEFAULT);
    (void)uv_loop_close(&pair->loop);
}

/* A backend server crashes while it sends an answer that has no length. The
 * caller must not see a whole answer: only an end in order completes one.
 * libuv reports a reset behind a short read as such an end. */
Test(http_conn, only_an_end_in_order_completes_an_answer)
{
    static const struct {
        const char *what;
        const char *bytes;
        bool resets;
        int messages;
        GwConnEnd end;
    } cases[] = {
        {"no length, closed", "HTTP/1.1 200 OK\r\n\r\nabc", false, 1,
         GW_CONN_ENDED},
        {"no length, reset", "HTTP/1.1 200 OK\r\n\r\nabc", true, 0,
         GW_CONN_FAILED},
        {"sized, cut", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
         false, 0, GW_CONN_FAILED},
        {"garbage", "?!\r\n\r\n", false, 0, GW_CONN_BAD},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Pair pair = {.bytes = cases[i].bytes, .resets = cases[i].resets};
        run(&pair);
        cr_expect_eq(pair.messages, cases[i].messages, "%s", cases[i].what);
        cr_expect_eq(pair.ends, 1, "%s", cases[i].what);
        cr_expect_eq(pair.end, cases[i].end, "%s", cases[i].what);
    }
}

Test(http_conn, addresses_are_an_ip_and_a_port)
{
    static const struct {
        const char *text;
        bool good;
    } cases[] = {
        {"127.0.0.1:80", true},
        {"127.0.0.1", false},
        {"127.0.0.1:", false},
        {"127.0.0.1:0", false},
        {"127.0.0.1:70000", false},
        {"host:80", false},
        {":80", false},
        {"127.0.0.1:8x", false},
        {"1.2.3.4.5.6.7.8.9.10.11:80", false},
    };
    struct sockaddr_in out;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cr_expect_eq(GwConn_ParseAddress(cases[i].text, &out), cases[i].good,
                     "%s", cases[i].text);
    }
}
