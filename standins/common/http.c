#include "common/http.h"

#include "common/clock.h"

#include <arpa/inet.h>
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SOCKETS_MAX 4096

/* Delays the first request of a connection by accept_cost_us, which models
 * the cost of connection setup. */
static int
delay_connection(const struct mg_connection *conn, void **data)
{
    const GsHttpOptions *o =
        mg_get_user_data(mg_get_context((struct mg_connection *)conn));
    *data = NULL;
    if (o->accept_cost_us > 0) {
        GsClock_Sleep(o->accept_cost_us);
    }
    return 0;
}

/* Uses connection_close, since CivetWeb has already cleared the user data of
 * the connection when it calls connection_closed. */
static void
on_close(const struct mg_connection *conn)
{
    const GsHttpOptions *o =
        mg_get_user_data(mg_get_context((struct mg_connection *)conn));
    void *data = mg_get_user_connection_data(conn);
    if (o->closed != NULL && data != NULL) {
        o->closed(o->data, data);
    }
}

/* Suppresses CivetWeb's log: it reports each connection closed by a peer,
 * which the stand-ins do on purpose. */
static int
suppress_log(const struct mg_connection *conn, const char *message)
{
    (void)conn;
    return message != NULL;
}

/* Starts a server that passes every request to one handler. Each open
 * connection occupies a worker thread, so `threads` bounds the number of open
 * connections. `options` must outlive the server. Returns NULL when a port
 * cannot be bound. */
struct mg_context *
GsHttp_Start(const GsHttpOptions *options)
{
    char threads[16];
    snprintf(threads, sizeof(threads), "%u", options->threads);
    const char *settings[] = {"listening_ports",
                              options->ports,
                              "num_threads",
                              threads,
                              "enable_keep_alive",
                              "yes",
                              "keep_alive_timeout_ms",
                              "60000",
                              "request_timeout_ms",
                              "60000",
                              "tcp_nodelay",
                              "1",
                              "connection_queue",
                              "256",
                              NULL};
    struct mg_callbacks callbacks = {.init_connection = delay_connection,
                                     .connection_close = on_close,
                                     .log_message = suppress_log};
    mg_init_library(0);
    struct mg_context *ctx = mg_start(&callbacks, (void *)options, settings);
    if (ctx != NULL) {
        mg_set_request_handler(ctx, "**", options->handler, options->data);
    }
    return ctx;
}

/* Reads the request body, NUL-terminated. Returns NULL when the body is larger
 * than GS_BODY_MAX or truncated. Free with g_free. */
char *
GsHttp_ReadBody(struct mg_connection *conn)
{
    GString *body = g_string_new(NULL);
    char chunk[4096];
    int n = 0;
    while ((n = mg_read(conn, chunk, sizeof(chunk))) > 0) {
        g_string_append_len(body, chunk, n);
        if (body->len > GS_BODY_MAX) {
            break;
        }
    }
    long long want = mg_get_request_info(conn)->content_length;
    bool whole = want < 0 || (long long)body->len == want;
    if (n < 0 || body->len > GS_BODY_MAX || !whole) {
        g_string_free(body, TRUE);
        return NULL;
    }
    return g_string_free(body, FALSE);
}

/* Reads the request body as JSON. Returns NULL when it is not valid JSON.
 * Release with json_object_put. */
struct json_object *
GsHttp_ReadJson(struct mg_connection *conn)
{
    char *text = GsHttp_ReadBody(conn);
    struct json_object *o = text != NULL ? json_tokener_parse(text) : NULL;
    g_free(text);
    return o;
}

/* Sends headers and body in one write. `headers` is "" or complete lines, each
 * with CRLF. Returns the status, as a CivetWeb handler must. */
int
GsHttp_Reply(struct mg_connection *conn, int status, const char *headers,
             const char *body)
{
    GString *out = g_string_new(NULL);
    g_string_printf(out,
                    "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
                    "Connection: keep-alive\r\nContent-Length: %zu\r\n%s\r\n",
                    status, status < 400 ? "OK" : "Refused", strlen(body),
                    headers);
    g_string_append(out, body);
    mg_write(conn, out->str, out->len);
    g_string_free(out, TRUE);
    return status;
}

/* Sends a JSON object and releases it. */
int
GsHttp_ReplyJson(struct mg_connection *conn, int status,
                 struct json_object *body)
{
    GsHttp_Reply(conn, status, "",
                 json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN));
    json_object_put(body);
    return status;
}

/* Closes the connection without an answer. Returns 499 for the handler. */
int
GsHttp_Drop(struct mg_connection *conn)
{
    mg_disable_connection_keep_alive(conn);
    return 499;
}

/* Finds the socket of a connection by its pair of ports, since CivetWeb does
 * not expose the descriptor. The pair is unique because the peer is on this
 * machine. Returns -1 when there is no such socket. */
static int
find_socket(const struct mg_request_info *ri)
{
    long limit = sysconf(_SC_OPEN_MAX);
    for (int fd = 3; fd < limit && fd < SOCKETS_MAX; fd++) {
        struct sockaddr_in own = {0};
        struct sockaddr_in peer = {0};
        socklen_t own_len = sizeof(own);
        socklen_t peer_len = sizeof(peer);
        if (getsockname(fd, (struct sockaddr *)&own, &own_len) == 0 &&
            ntohs(own.sin_port) == ri->server_port &&
            getpeername(fd, (struct sockaddr *)&peer, &peer_len) == 0 &&
            ntohs(peer.sin_port) == ri->remote_port) {
            return fd;
        }
    }
    return -1;
}

/* Waits for `us` microseconds. Returns true early when the peer closes the
 * connection, which cancels the request. `fd` caches the socket of the
 * connection over its requests; 0 at first. */
bool
GsHttp_WaitClosed(struct mg_connection *conn, int64_t us, int *fd)
{
    const struct mg_request_info *ri = mg_get_request_info(conn);
    if (*fd == 0) {
        *fd = find_socket(ri);
    }
    if (*fd < 0) {
        GsClock_Sleep(us);
        return false;
    }
    struct pollfd p = {.fd = *fd, .events = POLLRDHUP};
    struct timespec wait = {.tv_sec = us / 1000000,
                            .tv_nsec = us % 1000000 * 1000};
    return ppoll(&p, 1, &wait, NULL) > 0;
}

/* Decodes a query parameter. Returns false when it is absent or longer than
 * `out`. */
bool
GsHttp_Query(struct mg_connection *conn, const char *name, char *out,
             size_t cap)
{
    const char *q = mg_get_request_info(conn)->query_string;
    return q != NULL && mg_get_var(q, strlen(q), name, out, cap) >= 0;
}

static void
stop_signals(sigset_t *set)
{
    sigemptyset(set);
    sigaddset(set, SIGINT);
    sigaddset(set, SIGTERM);
}

/* Blocks SIGINT and SIGTERM and ignores SIGPIPE. Must be called before any
 * thread starts: threads inherit the mask, and a signal delivered to a worker
 * would end the process without clean-up. */
void
GsHttp_BlockSignals(void)
{
    sigset_t set;
    stop_signals(&set);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
}

/* Blocks until SIGINT or SIGTERM. */
void
GsHttp_WaitForStop(void)
{
    sigset_t set;
    int got = 0;
    stop_signals(&set);
    sigwait(&set, &got);
}

/* Returns a string member, or `fallback`. Owned by `o`. */
const char *
GsJson_Text(struct json_object *o, const char *name, const char *fallback)
{
    struct json_object *v = NULL;
    return json_object_object_get_ex(o, name, &v) && v != NULL
               ? json_object_get_string(v)
               : fallback;
}

/* Returns an integer or boolean member, or `fallback`. */
int64_t
GsJson_Int(struct json_object *o, const char *name, int64_t fallback)
{
    struct json_object *v = NULL;
    return json_object_object_get_ex(o, name, &v) && v != NULL
               ? json_object_get_int64(v)
               : fallback;
}
