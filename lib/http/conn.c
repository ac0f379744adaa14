#include "http/conn.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#define GW_CONN_BACKLOG   511
#define GW_READ_BUF_BYTES 65536
/* Behind the last byte, for the other side's close. */
#define GW_LINGER_MS 400
/* For what was written to leave: a caller on a busy link takes its time, one
 * that reads nothing must not keep the connection for good. */
#define GW_DRAIN_MS 10000
/* How often it is looked whether what was written has arrived. */
#define GW_SETTLE_MS 20

struct GwConn_s {
    uv_tcp_t tcp;
    uv_connect_t connect;
    GwConnParams params;
    GwHttpParser *parser;
    uint64_t bytes_out;
    int64_t heard_us;
    int64_t wrote_us;
    int64_t finish_us;       /* when the owner ended it */
    uint32_t idle_ms;        /* before that */
    int64_t settle_until_us; /* what was written may arrive until then */
    uint32_t writes;         /* under way */
    uint32_t user_timeout_ms;
    bool connecting;
    bool reading;
    bool finishing; /* close when nothing is left to write */
    bool watching;  /* finishing, and requests that still come are told */
    bool closing;
    bool feeding; /* inside the parser: it must outlive the call */
    bool doomed;  /* free when the parser returns and the handle is closed */
    bool handle_closed;
    uv_timer_t linger; /* bounds the wait for the other side's close */
    bool has_linger;
};

typedef struct {
    uv_write_t req;
    uv_buf_t buf;
    GwConn *conn;
} Write;

/* One buffer serves all connections: libuv hands it out and takes it back
 * within one callback. */
static char read_buf[GW_READ_BUF_BYTES];

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
    (void)handle;
    (void)size;
    *buf = uv_buf_init(read_buf, sizeof(read_buf));
}

static int64_t
now_us(void)
{
    return (int64_t)(uv_hrtime() / 1000);
}

static void
free_if_over(GwConn *c)
{
    if (!c->handle_closed || c->feeding || c->writes > 0) {
        return;
    }
    GwHttpParser_Free(c->parser);
    g_free(c);
}

static void
on_closed(uv_handle_t *handle)
{
    GwConn *c = handle->data;

    c->handle_closed = true;
    free_if_over(c);
}

static void
on_timer_closed(uv_handle_t *handle)
{
    GwConn *c = handle->data;

    c->has_linger = false;
    uv_close((uv_handle_t *)&c->tcp, on_closed);
}

static uint32_t
ms_between(int64_t from_us, int64_t to_us)
{
    return (uint32_t)(MAX(to_us - from_us, 0) / 1000);
}

static void
note_dropped(GwConn *c, const GwHttpMessage *msg)
{
    GwConnDropped dropped = {
        .msg = msg,
        .closing_ms = ms_between(c->finish_us, now_us()),
        .idle_ms = c->idle_ms,
    };

    if (c->params.ops->dropped != NULL) {
        c->params.ops->dropped(c->params.host, &dropped);
    }
}

/* Tells of a request of which only a part was read, and of no more. */
static void
stop_watching(GwConn *c)
{
    if (c->watching && GwHttpParser_IsInside(c->parser)) {
        note_dropped(c, GwHttpParser_Begun(c->parser));
    }
    c->watching = false;
}

static void
close_handle(GwConn *c)
{
    if (c->closing) {
        return;
    }
    stop_watching(c);
    c->closing = true;
    if (c->has_linger) {
        uv_close((uv_handle_t *)&c->linger, on_timer_closed);
        return;
    }
    uv_close((uv_handle_t *)&c->tcp, on_closed);
}

static void
end(GwConn *c, GwConnEnd how)
{
    if (c->closing) {
        return;
    }
    close_handle(c);
    if (c->params.ops->ended != NULL && c->params.owner != NULL) {
        c->params.ops->ended(c->params.owner, how);
    }
}

/* Nothing after ambiguous bytes can be trusted, but the other side may still
 * be told what was wrong: the owner writes and closes. */
static void
bad(GwConn *c)
{
    if (c->finishing) {
        stop_watching(c);
        return;
    }
    if (c->closing) {
        return;
    }
    GwConn_Pause(c, true);
    c->params.ops->ended(c->params.owner, GW_CONN_BAD);
}

static void
on_message(void *owner, GwHttpMessage *msg)
{
    GwConn *c = owner;

    if (c->closing || c->finishing) {
        if (c->watching) {
            note_dropped(c, msg);
        }
        GwHttpMessage_Free(msg);
        return;
    }
    c->params.ops->message(c->params.owner, msg);
}

static bool
on_to_head(void *owner)
{
    GwConn *c = owner;

    return !c->closing && c->params.ops->to_head != NULL &&
           c->params.ops->to_head(c->params.owner);
}

/* libuv takes a hang-up behind a short read for an orderly end without asking
 * the socket, and a reset looks like one then: an answer without a length
 * that was cut off by a reset would be taken for whole. So the socket is
 * asked: only a read of zero bytes is an end in order. */
static bool
has_ended_in_order(const GwConn *c)
{
    char byte;
    int fd;

    return uv_fileno((const uv_handle_t *)&c->tcp, &fd) == 0 &&
           recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
    GwConn *c = stream->data;
    GwHttpError error = GW_HTTP_OK;

    if (len == 0 || c->closing) {
        return;
    }
    c->heard_us = now_us();
    if (len == UV_EOF && !has_ended_in_order(c)) {
        len = UV_ECONNRESET;
    }
    if (c->finishing && len < 0) {
        close_handle(c);
        return;
    }
    if (c->finishing && !c->watching) {
        return;
    }
    c->feeding = true;
    if (len > 0) {
        error = GwHttpParser_Feed(c->parser, buf->base, (size_t)len);
    }
    else if (len == UV_EOF) {
        error = GwHttpParser_End(c->parser);
    }
    c->feeding = false;
    if (error != GW_HTTP_OK && len > 0) {
        bad(c);
    }
    else if (len < 0) {
        end(c, len == UV_EOF && error == GW_HTTP_OK ? GW_CONN_ENDED
                                                    : GW_CONN_FAILED);
    }
    free_if_over(c);
}

/* Probes every second, three of them: libuv sets the first one only and
 * leaves minutes between the others. */
static void
set_keepalive(GwConn *c)
{
    int every_s = 1;
    int count = 3;
    int fd;

    (void)uv_tcp_keepalive(&c->tcp, 1, 1);
    if (uv_fileno((uv_handle_t *)&c->tcp, &fd) == 0) {
        (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &every_s,
                         sizeof(every_s));
        (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
    }
}

static void
set_options(GwConn *c)
{
    int fd;

    (void)uv_tcp_nodelay(&c->tcp, 1);
    if (c->params.keepalive) {
        set_keepalive(c);
    }
    if (c->user_timeout_ms > 0 &&
        uv_fileno((uv_handle_t *)&c->tcp, &fd) == 0) {
        unsigned int ms = c->user_timeout_ms;
        (void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
    }
}

static GwConn *
create(const GwConnParams *params)
{
    GwConn *c = g_new0(GwConn, 1);
    GwHttpParserParams parser = {
        .requests = params->requests,
        .head_max = params->head_max,
        .body_max = params->body_max,
        .budget = params->budget,
        .message = on_message,
        .to_head = on_to_head,
        .owner = c,
    };

    c->params = *params;
    c->user_timeout_ms = params->user_timeout_ms;
    c->parser = GwHttpParser_Create(&parser);
    (void)uv_tcp_init(params->loop, &c->tcp);
    c->tcp.data = c;
    c->heard_us = now_us();
    return c;
}

GwConn *
GwConn_Accept(const GwConnParams *params, uv_stream_t *listener)
{
    GwConn *c = create(params);

    if (uv_accept(listener, (uv_stream_t *)&c->tcp) != 0) {
        close_handle(c);
        return NULL;
    }
    set_options(c);
    c->reading = true;
    (void)uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
    return c;
}

static void
on_connect(uv_connect_t *req, int status)
{
    GwConn *c = req->data;

    c->connecting = false;
    if (c->closing) {
        return;
    }
    if (status != 0) {
        end(c, GW_CONN_FAILED);
        return;
    }
    c->heard_us = now_us();
    c->reading = true;
    (void)uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
    c->params.ops->connected(c->params.owner);
}

bool
GwConn_ParseAddress(const char *text, struct sockaddr_in *out)
{
    const char *colon = strrchr(text, ':');
    char host[INET_ADDRSTRLEN];

    if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
        return false;
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    char *rest;
    long port = strtol(colon + 1, &rest, 10);
    return rest != colon + 1 && *rest == '\0' && port > 0 && port <= 65535 &&
           uv_ip4_addr(host, (int)port, out) == 0;
}

GwConn *
GwConn_Connect(const GwConnParams *params, const char *address)
{
    struct sockaddr_in to;

    if (!GwConn_ParseAddress(address, &to)) {
        return NULL;
    }
    GwConn *c = create(params);
    c->connect.data = c;
    c->connecting = true;
    int rc = uv_tcp_connect(&c->connect, &c->tcp, (const struct sockaddr *)&to,
                            on_connect);
    if (rc != 0) {
        close_handle(c);
        return NULL;
    }
    set_options(c);
    return c;
}

static void
on_written(uv_write_t *req, int status)
{
    Write *w = (Write *)req;
    GwConn *c = w->conn;

    c->writes--;
    g_free(w->buf.base);
    g_free(w);
    if (!c->closing && status != 0) {
        end(c, GW_CONN_FAILED);
    }
    free_if_over(c);
}

/* Tries to hand the bytes to the kernel at once, which saves a wake-up and a
 * copy for nearly all messages; the rest is copied and queued. */
void
GwConn_Write(GwConn *c, const GString *text)
{
    size_t sent = 0;

    if (c->closing || text->len == 0) {
        return;
    }
    c->bytes_out += text->len;
    c->wrote_us = now_us();
    if (c->writes == 0 && !c->connecting) {
        uv_buf_t whole = uv_buf_init(text->str, (unsigned int)text->len);
        int rc = uv_try_write((uv_stream_t *)&c->tcp, &whole, 1);
        sent = rc > 0 ? (size_t)rc : 0;
    }
    if (sent == text->len) {
        return;
    }
    Write *w = g_new0(Write, 1);
    size_t rest = text->len - sent;
    w->conn = c;
    w->buf =
        uv_buf_init(g_memdup2(text->str + sent, rest), (unsigned int)rest);
    c->writes++;
    if (uv_write(&w->req, (uv_stream_t *)&c->tcp, &w->buf, 1, on_written) !=
        0) {
        c->writes--;
        g_free(w->buf.base);
        g_free(w);
    }
}

void
GwConn_WriteGet(GwConn *c, const char *target, const char *host)
{
    GString *out = g_string_new(NULL);

    g_string_printf(out, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, host);
    GwConn_Write(c, out);
    g_string_free(out, TRUE);
}

/* Closes when the other side is silent. One that still sends a body has not
 * looked for its answer yet, and a reset would destroy it. */
static void
on_linger(uv_timer_t *timer)
{
    GwConn *c = timer->data;
    int64_t at_us = now_us();
    bool silent =
        ms_between(c->heard_us, at_us) >= GW_LINGER_MS && !GwConn_HasUnread(c);

    if (silent || ms_between(c->finish_us, at_us) >= GW_DRAIN_MS) {
        close_handle(c);
        return;
    }
    (void)uv_timer_start(timer, on_linger, GW_LINGER_MS, 0);
}

/* A close with unread bytes resets the connection, which may destroy an
 * answer on its way; so the write side is shut first, and what still comes
 * is read and dropped until the other side closes or falls silent. */
static void
on_drained(uv_shutdown_t *req, int status)
{
    GwConn *c = req->data;

    g_free(req);
    c->writes--;
    if (status != 0) {
        close_handle(c);
    }
    else if (!c->closing) {
        (void)uv_timer_start(&c->linger, on_linger, GW_LINGER_MS, 0);
    }
    free_if_over(c);
}

/* From here on requests are not answered; they are told to `dropped`, up to the
 * first with a body, which is not held. What was refused half read is not
 * another request. */
static void
watch(GwConn *c)
{
    c->finish_us = now_us();
    c->idle_ms = ms_between(MAX(c->heard_us, c->wrote_us), c->finish_us);
    c->watching = c->params.requests && !GwHttpParser_IsInside(c->parser) &&
                  GwHttpParser_Error(c->parser) == GW_HTTP_OK;
    GwHttpParser_SetLimits(c->parser, c->params.head_max, 0);
}

void
GwConn_FinishAndClose(GwConn *c)
{
    if (c->closing || c->finishing) {
        return;
    }
    c->finishing = true;
    c->params.owner = NULL;
    watch(c);
    GwConn_Pause(c, false);
    (void)uv_timer_init(c->params.loop, &c->linger);
    c->linger.data = c;
    c->has_linger = true;
    (void)uv_timer_start(&c->linger, on_linger, GW_DRAIN_MS, 0);
    uv_shutdown_t *req = g_new0(uv_shutdown_t, 1);
    req->data = c;
    c->writes++;
    if (uv_shutdown(req, (uv_stream_t *)&c->tcp, on_drained) != 0) {
        c->writes--;
        g_free(req);
        close_handle(c);
    }
}

static void
on_settle(uv_timer_t *timer)
{
    GwConn *c = timer->data;

    if (GwConn_HasArrived(c) || now_us() >= c->settle_until_us) {
        close_handle(c);
    }
}

/* A request may cross the close. Read and dropped, it would leave its caller
 * without an answer and without the right to send it again; unread, it is
 * reset by the kernel, whether it comes before or after the close, and the
 * caller knows that it did not run. The reset could destroy an answer that has
 * not arrived, so that is waited for. */
void
GwConn_CloseUnread(GwConn *c, uint32_t wait_ms)
{
    if (c->closing || c->finishing) {
        return;
    }
    c->params.owner = NULL;
    if (GwConn_HasArrived(c)) {
        close_handle(c);
        return;
    }
    c->finishing = true;
    c->settle_until_us = now_us() + (int64_t)wait_ms * 1000;
    GwConn_Pause(c, true);
    (void)uv_timer_init(c->params.loop, &c->linger);
    c->linger.data = c;
    c->has_linger = true;
    (void)uv_timer_start(&c->linger, on_settle, GW_SETTLE_MS, GW_SETTLE_MS);
}

void
GwConn_Close(GwConn *c)
{
    c->params.owner = NULL;
    close_handle(c);
}

void
GwConn_CloseAt(GwConn **at)
{
    if (*at != NULL) {
        GwConn_Close(*at);
        *at = NULL;
    }
}

GwHttpError
GwConn_Error(const GwConn *c)
{
    return GwHttpParser_Error(c->parser);
}

bool
GwConn_IsInside(const GwConn *c)
{
    return GwHttpParser_IsInside(c->parser);
}

bool
GwConn_IsInHead(const GwConn *c)
{
    return GwHttpParser_IsInHead(c->parser);
}

uint64_t
GwConn_BytesOut(const GwConn *c)
{
    return c->bytes_out;
}

int64_t
GwConn_LastHeard(const GwConn *c)
{
    return c->heard_us;
}

void
GwConn_SetLimits(GwConn *c, uint64_t head_max, uint64_t body_max)
{
    c->params.head_max = head_max;
    GwHttpParser_SetLimits(c->parser, head_max, body_max);
}

void
GwConn_Pause(GwConn *c, bool paused)
{
    if (c->closing || c->reading != paused) {
        return;
    }
    c->reading = !paused;
    if (paused) {
        (void)uv_read_stop((uv_stream_t *)&c->tcp);
    }
    else {
        (void)uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
    }
}

bool
GwConn_HasArrived(const GwConn *c)
{
    int unacked = 0;
    int fd;

    if (c->writes > 0) {
        return false;
    }
    return uv_fileno((const uv_handle_t *)&c->tcp, &fd) != 0 ||
           ioctl(fd, SIOCOUTQ, &unacked) != 0 || unacked == 0;
}

bool
GwConn_HasUnread(const GwConn *c)
{
    char byte;
    int fd;

    if (c->feeding || c->closing) {
        return true; /* what came with the last answer is not parsed yet */
    }
    if (uv_fileno((const uv_handle_t *)&c->tcp, &fd) != 0) {
        return true;
    }
    return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
           (errno != EAGAIN && errno != EWOULDBLOCK);
}

/* A stream that is not read tells no end, and a peek shows only what comes
 * first; the state of the connection shows it. */
bool
GwConn_HasLeftUnread(const GwConn *c)
{
    struct tcp_info info;
    socklen_t len = sizeof(info);
    int fd;

    if (c->reading || c->connecting || c->closing ||
        uv_fileno((const uv_handle_t *)&c->tcp, &fd) != 0 ||
        getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0) {
        return false;
    }
    return info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE;
}

uv_tcp_t *
GwConn_Listen(uv_loop_t *loop, const char *address,
              uv_connection_cb on_connection, void *data)
{
    struct sockaddr_in at;

    if (!GwConn_ParseAddress(address, &at)) {
        return NULL;
    }
    uv_tcp_t *tcp = g_new0(uv_tcp_t, 1);
    (void)uv_tcp_init(loop, tcp);
    tcp->data = data;
    if (uv_tcp_bind(tcp, (const struct sockaddr *)&at, 0) != 0 ||
        uv_listen((uv_stream_t *)tcp, GW_CONN_BACKLOG, on_connection) != 0) {
        uv_close((uv_handle_t *)tcp, (uv_close_cb)g_free);
        return NULL;
    }
    return tcp;
}
