/* Connections over the loopback interface, both ends on one event loop. */
#include "http/conn.h"

#include <criterion/criterion.h>
#include <string.h>
#include <sys/socket.h>

typedef struct {
    uv_loop_t loop;
    uv_tcp_t *listener;
    char address[32];
    GwConn *conn;
    const char *bytes; /* sent by the peer */
    bool resets;       /* the peer resets after sending; else closes */
    int messages;
    int ends;
    GwConnEnd end;
    struct SlowReader_s *slow;
} Pair;

static void
on_peer_closed(uv_handle_t *handle)
{
    g_free(handle);
}

/* Sends the peer's bytes by a socket call, then closes or resets. */
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
    if (end == GW_CONN_MALFORMED) {
        GwConn_Close(pair->conn);
    }
    uv_close((uv_handle_t *)pair->listener, on_peer_closed);
}

static const GwConnOps ops = {
    .connected = on_connected, .message = on_message, .ended = on_ended};

/* Listens on a free port. */
static void
start_listener(Pair *pair, uv_connection_cb on_connection)
{
    struct sockaddr_in at;
    int len = sizeof(at);

    (void)uv_loop_init(&pair->loop);
    pair->listener = g_new0(uv_tcp_t, 1);
    (void)uv_tcp_init(&pair->loop, pair->listener);
    pair->listener->data = pair;
    (void)uv_ip4_addr("127.0.0.1", 0, &at);
    cr_assert_eq(uv_tcp_bind(pair->listener, (struct sockaddr *)&at, 0), 0);
    cr_assert_eq(uv_listen((uv_stream_t *)pair->listener, 4, on_connection),
                 0);
    (void)uv_tcp_getsockname(pair->listener, (struct sockaddr *)&at, &len);
    g_snprintf(pair->address, sizeof(pair->address), "127.0.0.1:%u",
               ntohs(at.sin_port));
}

static void
run(Pair *pair)
{
    start_listener(pair, on_accept);
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

/* Guards against a truncated response passing for complete: a server that
 * crashes while it sends a response without a length resets the connection,
 * and libuv reports a reset after a short read as an orderly end. */
Test(http_conn, only_an_orderly_close_completes_a_response)
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
        {"sized, truncated", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
         false, 0, GW_CONN_FAILED},
        {"garbage", "?!\r\n\r\n", false, 0, GW_CONN_MALFORMED},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Pair pair = {.bytes = cases[i].bytes, .resets = cases[i].resets};
        run(&pair);
        cr_expect_eq(pair.messages, cases[i].messages, "%s", cases[i].what);
        cr_expect_eq(pair.ends, 1, "%s", cases[i].what);
        cr_expect_eq(pair.end, cases[i].end, "%s", cases[i].what);
    }
}

#define LONG_RESPONSE   (32u << 20) /* exceeds both socket buffers */
#define READER_DELAY_MS 700         /* exceeds the wait for the peer's close */
#define READER_STEP_MS  24          /* for each 64 KB: 12 s in total */

/* The peer of a connection, which starts to read late, or reads steadily. */
typedef struct SlowReader_s {
    uv_tcp_t tcp;
    uv_timer_t timer;
    Pair *pair;
    bool is_steady;
    uint64_t bytes;
    bool ended_in_order;
} SlowReader;

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
    static char buffer[65536];

    (void)handle;
    (void)size;
    *buf = uv_buf_init(buffer, sizeof(buffer));
}

static void
on_slow_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
    SlowReader *reader = stream->data;

    (void)buf;
    if (len >= 0) {
        reader->bytes += (uint64_t)len;
        if (reader->is_steady) {
            (void)uv_read_stop(stream);
        }
        return;
    }
    reader->ended_in_order = len == UV_EOF;
    uv_close((uv_handle_t *)&reader->tcp, NULL);
    uv_close((uv_handle_t *)&reader->timer, NULL);
    uv_close((uv_handle_t *)reader->pair->listener, on_peer_closed);
}

static void
on_read_delay(uv_timer_t *timer)
{
    SlowReader *reader = timer->data;

    (void)uv_read_start((uv_stream_t *)&reader->tcp, on_alloc, on_slow_read);
}

static void
on_slow_accept(uv_stream_t *listener, int status)
{
    Pair *pair = listener->data;
    SlowReader *reader = pair->slow;

    cr_assert_eq(status, 0);
    reader->pair = pair;
    (void)uv_tcp_init(&pair->loop, &reader->tcp);
    reader->tcp.data = reader;
    cr_assert_eq(uv_accept(listener, (uv_stream_t *)&reader->tcp), 0);
    (void)uv_timer_init(&pair->loop, &reader->timer);
    reader->timer.data = reader;
    (void)uv_timer_start(&reader->timer, on_read_delay, READER_DELAY_MS,
                         reader->is_steady ? READER_STEP_MS : 0);
}

static void
on_connected_to_slow(void *owner)
{
    Pair *pair = owner;
    GString *response = g_string_sized_new(LONG_RESPONSE);

    g_string_set_size(response, LONG_RESPONSE);
    memset(response->str, 'x', LONG_RESPONSE);
    GwConn_Write(pair->conn, response);
    GwConn_FinishAndClose(pair->conn);
    g_string_free(response, TRUE);
}

static void
expect_whole_response(bool is_steady)
{
    static const GwConnOps slow_ops = {.connected = on_connected_to_slow,
                                       .message = on_message,
                                       .ended = on_ended};
    SlowReader reader = {.is_steady = is_steady};
    Pair pair = {.slow = &reader};

    start_listener(&pair, on_slow_accept);
    GwConnParams params = {.loop = &pair.loop,
                           .ops = &slow_ops,
                           .owner = &pair,
                           .head_max = 4096,
                           .body_max = 4096};
    pair.conn = GwConn_Connect(&params, pair.address);
    cr_assert_not_null(pair.conn);
    (void)uv_run(&pair.loop, UV_RUN_DEFAULT);
    (void)uv_loop_close(&pair.loop);
    cr_expect_eq(reader.bytes, LONG_RESPONSE, "%lu",
                 (unsigned long)reader.bytes);
    cr_expect(reader.ended_in_order);
}

/* Guards against truncating a long last response to a caller on a congested
 * link: the wait for the peer's close must start after the last byte is sent,
 * not with the close. */
Test(http_conn, a_graceful_close_sends_the_whole_response)
{
    expect_whole_response(false);
}

/* Guards against: a last response is cut after 10 s although its caller reads
 * it without a pause. */
Test(http_conn, a_graceful_close_lasts_as_long_as_the_peer_reads)
{
    expect_whole_response(true);
}

Test(http_conn, only_ipv4_addresses_with_a_port_are_valid)
{
    static const struct {
        const char *text;
        bool is_valid;
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
        cr_expect_eq(GwConn_ParseAddress(cases[i].text, &out),
                     cases[i].is_valid, "%s", cases[i].text);
    }
}
