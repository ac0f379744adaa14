#include "common/socket.h"
#include "http/conn_internal.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>

#define GW_CONN_BACKLOG   511
#define GW_READ_BUF_BYTES 65536
/* While more bytes than this are queued, no further request is read. */
#define GW_WRITE_QUEUE_MAX_BYTES (256u << 10)

/* Shared by all connections: libuv uses the buffer only until the read
 * callback returns. */
static char read_buf[GW_READ_BUF_BYTES];

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
    (void)handle;
    (void)size;
    *buf = uv_buf_init(read_buf, sizeof(read_buf));
}

int64_t
GwConn_NowUs(void)
{
    return (int64_t)(uv_hrtime() / 1000);
}

GwConnEnd
GwConn_EndOfError(int error)
{
    switch (error) {
    case UV_ECONNREFUSED:
        return GW_CONN_REFUSED;
    case UV_ETIMEDOUT:
        return GW_CONN_TIMED_OUT;
    default:
        return GW_CONN_FAILED;
    }
}

void
GwConn_End(GwConn *c, GwConnEnd how)
{
    if (c->is_closing) {
        return;
    }
    GwConn_CloseHandle(c);
    if (c->params.ops->ended != NULL && c->params.owner != NULL) {
        c->params.ops->ended(c->params.owner, how);
    }
}

/* Handles malformed input: further bytes can't be trusted, so reading stops,
 * but the owner may still send an error response before closing. */
static void
reject_input(GwConn *c)
{
    if (c->is_finishing) {
        GwConn_StopReporting(c);
        return;
    }
    if (c->is_closing) {
        return;
    }
    GwConn_Pause(c, true);
    c->params.ops->ended(c->params.owner, GW_CONN_MALFORMED);
}

static void
on_abort_timer(uv_timer_t *timer)
{
    GwConn *c = timer->data;

    if (!c->is_closing) {
        c->params.ops->ended(c->params.owner, GW_CONN_MALFORMED);
    }
}

/* The memory is free already. The owner is told by the loop, because this
 * call comes from within the read of another connection. */
static void
on_aborted(void *owner)
{
    GwConn *c = owner;

    if (c->is_closing || c->is_finishing || c->has_linger) {
        return;
    }
    GwConn_Pause(c, true);
    (void)uv_timer_init(c->params.loop, &c->linger);
    c->linger.data = c;
    c->has_linger = true;
    (void)uv_timer_start(&c->linger, on_abort_timer, 0, 0);
}

static void
on_message(void *owner, GwHttpMessage *msg)
{
    GwConn *c = owner;

    if (c->is_closing || c->is_finishing) {
        if (c->reports_dropped) {
            GwConn_ReportDropped(c, msg);
        }
        GwHttpMessage_Free(msg);
        return;
    }
    c->params.ops->message(c->params.owner, msg);
}

static bool
is_next_head_response(void *owner)
{
    GwConn *c = owner;

    return !c->is_closing && c->params.ops->is_head_response != NULL &&
           c->params.ops->is_head_response(c->params.owner);
}

/* Checks the socket itself, where only a read of zero bytes is an orderly end.
 * libuv reports a hang-up after a short read as UV_EOF without reading the
 * socket, also after a reset; a response without a length that was truncated
 * by a reset would be treated as complete. */
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

    if (len == 0 || c->is_closing) {
        return;
    }
    c->received_us = GwConn_NowUs();
    if (len == UV_EOF && !has_ended_in_order(c)) {
        len = UV_ECONNRESET;
    }
    if (c->is_finishing && len < 0) {
        GwConn_CloseHandle(c);
        return;
    }
    if (c->is_finishing && !c->reports_dropped) {
        return;
    }
    c->is_parsing = true;
    if (len > 0) {
        c->bytes_in += (uint64_t)len;
        c->reads++;
        error = GwHttpParser_Feed(c->parser, buf->base, (size_t)len);
    }
    else if (len == UV_EOF) {
        error = GwHttpParser_End(c->parser);
    }
    c->is_parsing = false;
    if (error != GW_HTTP_OK && len > 0) {
        reject_input(c);
    }
    else if (len < 0) {
        GwConn_End(c, len == UV_EOF && error == GW_HTTP_OK
                          ? GW_CONN_ENDED
                          : GwConn_EndOfError((int)len));
    }
    else if (c->params.ops->read != NULL && !c->is_closing &&
             !c->is_finishing) {
        c->params.ops->read(c->params.owner);
    }
    GwConn_FreeIfUnused(c);
}

/* Sends a probe every second and fails after three. libuv sets only the delay
 * of the first probe; the default interval of the others is minutes. */
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

void
GwConn_SetUnsentMax(const GwConn *c, uint32_t bytes)
{
    int fd;

    if (uv_fileno((const uv_handle_t *)&c->tcp, &fd) == 0) {
        (void)setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &bytes,
                         sizeof(bytes));
    }
}

static void
set_user_timeout(const GwConn *c)
{
    unsigned int ms = c->user_timeout_ms;
    int fd;

    if (uv_fileno((const uv_handle_t *)&c->tcp, &fd) == 0) {
        (void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
    }
}

static void
set_options(GwConn *c)
{
    (void)uv_tcp_nodelay(&c->tcp, 1);
    if (c->params.keepalive) {
        set_keepalive(c);
    }
    if (c->params.unsent_max_bytes > 0) {
        GwConn_SetUnsentMax(c, c->params.unsent_max_bytes);
    }
    if (c->user_timeout_ms > 0) {
        set_user_timeout(c);
    }
}

void
GwConn_SetUserTimeout(GwConn *c, uint32_t ms)
{
    if (c->user_timeout_ms != ms && !c->is_closing) {
        c->user_timeout_ms = ms;
        set_user_timeout(c);
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
        .is_head_response = is_next_head_response,
        .aborted = on_aborted,
        .owner = c,
    };

    c->params = *params;
    c->user_timeout_ms = params->user_timeout_ms;
    c->parser = GwHttpParser_Create(&parser);
    (void)uv_tcp_init(params->loop, &c->tcp);
    c->tcp.data = c;
    c->received_us = GwConn_NowUs();
    return c;
}

GwConn *
GwConn_Accept(const GwConnParams *params, uv_stream_t *listener)
{
    GwConn *c = create(params);

    if (uv_accept(listener, (uv_stream_t *)&c->tcp) != 0) {
        GwConn_CloseHandle(c);
        return NULL;
    }
    set_options(c);
    c->is_reading = true;
    (void)uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
    return c;
}

static void
on_connect(uv_connect_t *req, int status)
{
    GwConn *c = req->data;

    c->is_connecting = false;
    if (c->is_closing) {
        return;
    }
    if (status != 0) {
        GwConn_End(c, GwConn_EndOfError(status));
        return;
    }
    c->received_us = GwConn_NowUs();
    c->is_reading = true;
    (void)uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
    c->params.ops->connected(c->params.owner);
}

static bool
bind_source(GwConn *c)
{
    struct sockaddr_in from;

    return c->params.source == NULL ||
           (uv_ip4_addr(c->params.source, 0, &from) == 0 &&
            uv_tcp_bind(&c->tcp, (const struct sockaddr *)&from, 0) == 0);
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
    c->is_connecting = true;
    if (!bind_source(c) ||
        uv_tcp_connect(&c->connect, &c->tcp, (const struct sockaddr *)&to,
                       on_connect) != 0) {
        GwConn_CloseHandle(c);
        return NULL;
    }
    set_options(c);
    c->is_outgoing = true;
#if GW_MUTANT != 148 /* breaks: the kernel delivers an abandoned request */
    GwConn_SetDiscard(c, true);
#endif
    return c;
}

/* Returns whether reading must wait for the write queue to drain. Without this
 * limit, responses to a caller that keeps sending requests but reads nothing
 * would fill the memory. Connections that read responses are exempt: a server
 * may respond before it has read the whole request. */
static bool
is_write_queue_full(const GwConn *c)
{
    return c->params.requests && !c->is_finishing &&
           uv_stream_get_write_queue_size((const uv_stream_t *)&c->tcp) >
               GW_WRITE_QUEUE_MAX_BYTES;
}

void
GwConn_UpdateReading(GwConn *c)
{
    bool reads = !c->is_paused && !is_write_queue_full(c);

    if (c->is_closing || c->is_connecting || c->is_reading == reads) {
        return;
    }
    c->is_reading = reads;
    if (reads) {
        (void)uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
    }
    else {
        (void)uv_read_stop((uv_stream_t *)&c->tcp);
    }
}

GwHttpError
GwConn_Error(const GwConn *c)
{
    return GwHttpParser_Error(c->parser);
}

bool
GwConn_IsInMessage(const GwConn *c)
{
    return GwHttpParser_IsInMessage(c->parser);
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

uint64_t
GwConn_BytesIn(const GwConn *c)
{
    return c->bytes_in;
}

uint64_t
GwConn_ReadCount(const GwConn *c)
{
    return c->reads;
}

int64_t
GwConn_LastReceivedUs(const GwConn *c)
{
    return c->received_us;
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
    c->is_paused = paused;
    GwConn_UpdateReading(c);
}

size_t
GwConn_UnackedBytes(const GwConn *c)
{
    size_t queued = GwConn_QueuedBytes(c);
    int fd;

    return uv_fileno((const uv_handle_t *)&c->tcp, &fd) == 0
               ? queued + GwSocket_UnackedBytes(fd)
               : queued;
}

bool
GwConn_IsAllAcked(const GwConn *c)
{
    return c->writes == 0 && GwConn_UnackedBytes(c) == 0;
}

bool
GwConn_HasUnread(const GwConn *c)
{
    char byte;
    int fd;

    if (c->is_parsing || c->is_closing) {
        return true; /* the current read is not parsed to its end */
    }
    if (uv_fileno((const uv_handle_t *)&c->tcp, &fd) != 0) {
        return true;
    }
    return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
           (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool
GwConn_IsPaused(const GwConn *c)
{
    return !c->is_reading;
}

bool
GwConn_HasEnded(const GwConn *c)
{
    struct pollfd fds = {.events = POLLRDHUP};
    char byte;

    if (c->is_closing ||
        uv_fileno((const uv_handle_t *)&c->tcp, &fds.fd) != 0) {
        return true;
    }
    ssize_t len = recv(fds.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (len <= 0) {
        return len == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }
    return poll(&fds, 1, 0) > 0;
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
