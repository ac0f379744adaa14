/* Closing of connections: at once, gracefully after a last message, or without
 * reading further. */
#include "common/socket.h"
#include "http/conn_internal.h"

/* Time without received bytes after which a graceful close stops waiting for
 * the peer's close. */
#define GW_LINGER_MS 400
/* A graceful close is given up if the peer makes no progress with the last
 * bytes for this time, or still sends this long after it has them all. */
#define GW_FINISH_STALL_MS 10000
/* Interval of checks whether all sent bytes are acknowledged. */
#define GW_ACK_CHECK_MS 20

void
GwConn_FreeIfUnused(GwConn *c)
{
    if (!c->is_handle_closed || c->is_parsing || c->writes > 0) {
        return;
    }
    GwHttpParser_Free(c->parser);
    g_free(c);
}

static void
on_closed(uv_handle_t *handle)
{
    GwConn *c = handle->data;

    c->is_handle_closed = true;
    GwConn_FreeIfUnused(c);
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

void
GwConn_ReportDropped(GwConn *c, const GwHttpMessage *msg)
{
    GwConnDropped dropped = {
        .msg = msg,
        .closing_ms = ms_between(c->finish_us, GwConn_NowUs()),
        .idle_ms = c->idle_ms,
    };

    if (c->params.ops->dropped != NULL) {
        c->params.ops->dropped(c->params.host, &dropped);
    }
}

void
GwConn_StopReporting(GwConn *c)
{
    if (c->reports_dropped && GwHttpParser_IsInMessage(c->parser)) {
        GwConn_ReportDropped(c, GwHttpParser_Incomplete(c->parser));
    }
    c->reports_dropped = false;
}

void
GwConn_SetDiscard(const GwConn *c, bool discards)
{
    int fd;

    if (uv_fileno((const uv_handle_t *)&c->tcp, &fd) == 0) {
        GwSocket_SetDiscard(fd, discards);
    }
}

void
GwConn_CloseHandle(GwConn *c)
{
    if (c->is_closing) {
        return;
    }
    GwConn_StopReporting(c);
#if GW_MUTANT != 149 /* breaks: idle connections are reset */
    if (c->is_outgoing && GwConn_IsAllAcked(c)) {
        GwConn_SetDiscard(c, false);
    }
#endif
    c->is_closing = true;
    if (c->has_linger) {
        uv_close((uv_handle_t *)&c->linger, on_timer_closed);
        return;
    }
    uv_close((uv_handle_t *)&c->tcp, on_closed);
}

/* The kernel goes on sending what it has taken when the connection is closed
 * or the process ends, so it gets all that it takes. */
static void
hand_to_kernel(const GwConn *c)
{
#if GW_MUTANT != 160 /* breaks: last answers end with the process */
    if (c->params.unsent_max_bytes > 0) {
        GwConn_SetUnsentMax(c, 0);
    }
#endif
}

/* Gives up a connection that is closing. The kernel still delivers what it
 * has, unless an unread request makes it reset the connection. */
static void
cut(GwConn *c)
{
    size_t unacked = GwConn_UnackedBytes(c);
    GwConnCut what = {
        .closing_ms = ms_between(c->finish_us, GwConn_NowUs()),
        .queued_bytes = GwConn_QueuedBytes(c),
        .unacked_bytes = unacked,
        .acked_bytes = c->bytes_out - unacked,
    };

    bool is_discarded =
        what.queued_bytes > 0 || (unacked > 0 && GwConn_HasUnread(c));

    if (is_discarded && c->params.ops->cut != NULL) {
        c->params.ops->cut(c->params.host, &what);
    }
    GwConn_CloseHandle(c);
}

static bool
is_past_close_by(const GwConn *c, int64_t now_us)
{
#if GW_MUTANT == 155 /* breaks: a slow reader keeps an ending process */
    return false;
#endif
    return c->params.close_by_us != NULL && now_us >= *c->params.close_by_us;
}

/* Whether the peer received all bytes; if not, ends the close of a peer that
 * makes no progress. */
static bool
is_delivered(GwConn *c, uint32_t stall_ms, int64_t now_us)
{
    size_t unacked = GwConn_UnackedBytes(c);

    if (unacked == 0 && c->writes == 0) {
        return true;
    }
    GwSendProgress_Note(&c->closing, c->bytes_out - unacked, unacked, now_us);
    if (GwSendProgress_StalledUs(&c->closing, now_us) >=
            (int64_t)stall_ms * 1000 ||
        is_past_close_by(c, now_us)) {
        cut(c);
    }
    return false;
}

static void
check_again(GwConn *c, uv_timer_cb check, uint32_t wait_ms, int64_t now_us)
{
    int64_t by_us =
        c->params.close_by_us != NULL ? *c->params.close_by_us : INT64_MAX;
    int64_t left_ms = MAX(by_us - now_us, 0) / 1000 + 1;

    (void)uv_timer_start(&c->linger, check,
                         (uint64_t)MIN(left_ms, (int64_t)wait_ms), 0);
}

/* Closes when the peer sends nothing more. A peer that still sends a body has
 * not read the response yet, which a reset would discard. */
static void
on_linger(uv_timer_t *timer)
{
    GwConn *c = timer->data;
    int64_t now_us = GwConn_NowUs();

    if (is_delivered(c, GW_FINISH_STALL_MS, now_us)) {
        bool is_silent = ms_between(c->received_us, now_us) >= GW_LINGER_MS &&
                         !GwConn_HasUnread(c);
        if (c->delivered_us == 0) {
            c->delivered_us = now_us;
        }
        uint32_t waited_ms = ms_between(c->delivered_us, now_us);
        if ((is_silent && waited_ms >= GW_LINGER_MS) ||
            waited_ms >= GW_FINISH_STALL_MS || is_past_close_by(c, now_us)) {
            GwConn_CloseHandle(c);
        }
    }
    if (!c->is_closing) {
        check_again(c, on_linger, GW_LINGER_MS, now_us);
    }
}

/* Called after all bytes are sent and the write side is shut down. Closing a
 * socket with unread bytes resets the connection, which may discard a response
 * in flight, so received bytes are read and dropped until the peer closes or
 * stops sending. */
static void
on_shutdown_done(uv_shutdown_t *req, int status)
{
    GwConn *c = req->data;

    g_free(req);
    c->writes--;
    if (status != 0) {
        GwConn_CloseHandle(c);
    }
    else if (!c->is_closing) {
        c->delivered_us = 0;
        check_again(c, on_linger, GW_LINGER_MS, GwConn_NowUs());
    }
    GwConn_FreeIfUnused(c);
}

/* Starts reporting requests, which get no response any more, to `dropped`, up
 * to the first with a body: bodies are no longer stored. The rest of a request
 * that was rejected before its end is not reported. */
static void
start_reporting(GwConn *c)
{
    c->finish_us = GwConn_NowUs();
    c->idle_ms = ms_between(MAX(c->received_us, c->sent_us), c->finish_us);
    c->reports_dropped = c->params.requests &&
                         !GwHttpParser_IsInMessage(c->parser) &&
                         GwHttpParser_Error(c->parser) == GW_HTTP_OK;
    GwHttpParser_SetLimits(c->parser, c->params.head_max, 0);
}

void
GwConn_FinishAndClose(GwConn *c)
{
    if (c->is_closing || c->is_finishing) {
        return;
    }
    c->is_finishing = true;
    c->params.owner = NULL;
    hand_to_kernel(c);
    start_reporting(c);
    GwConn_Pause(c, false);
    (void)uv_timer_init(c->params.loop, &c->linger);
    c->linger.data = c;
    c->has_linger = true;
    check_again(c, on_linger, GW_LINGER_MS, GwConn_NowUs());
    uv_shutdown_t *req = g_new0(uv_shutdown_t, 1);
    req->data = c;
    c->writes++;
    if (uv_shutdown(req, (uv_stream_t *)&c->tcp, on_shutdown_done) != 0) {
        c->writes--;
        g_free(req);
        GwConn_CloseHandle(c);
    }
}

static void
on_ack_check(uv_timer_t *timer)
{
    GwConn *c = timer->data;
    int64_t now_us = GwConn_NowUs();

    if (is_delivered(c, c->stall_ms, now_us)) {
        GwConn_CloseHandle(c);
    }
    if (!c->is_closing) {
        check_again(c, on_ack_check, GW_ACK_CHECK_MS, now_us);
    }
}

/* A request may be in flight during the close. If it were read and dropped,
 * the caller would get no response and could not safely retry. Left unread,
 * the request causes a reset by the kernel, whether it arrives before or after
 * the close, so the caller knows that it did not run. Because the reset could
 * discard a response in flight, the close waits for acknowledgement of all
 * sent bytes. */
void
GwConn_CloseUnread(GwConn *c, uint32_t stall_ms)
{
    if (c->is_closing || c->is_finishing) {
        return;
    }
    c->params.owner = NULL;
    if (GwConn_IsAllAcked(c)) {
        GwConn_CloseHandle(c);
        return;
    }
    c->is_finishing = true;
    c->finish_us = GwConn_NowUs();
    c->stall_ms = stall_ms;
    hand_to_kernel(c);
    GwConn_Pause(c, true);
    (void)uv_timer_init(c->params.loop, &c->linger);
    c->linger.data = c;
    c->has_linger = true;
    check_again(c, on_ack_check, GW_ACK_CHECK_MS, c->finish_us);
}

void
GwConn_Close(GwConn *c)
{
    c->params.owner = NULL;
    GwConn_CloseHandle(c);
}

void
GwConn_CloseAndClear(GwConn **at)
{
    if (*at != NULL) {
        GwConn_Close(*at);
        *at = NULL;
    }
}
