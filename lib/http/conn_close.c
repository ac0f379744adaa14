/* How connections end: at once, behind a last message, or without reading any
 * further. */
#include "http/conn_internal.h"

/* Behind the last byte, for the other side's close. */
#define GW_LINGER_MS 400
/* For what was written to leave: a caller on a busy link takes its time, one
 * that reads nothing must not keep the connection for good. */
#define GW_DRAIN_MS 10000
/* How often it is looked whether what was written has arrived. */
#define GW_SETTLE_MS 20

void
GwConn_FreeIfOver(GwConn *c)
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
    GwConn_FreeIfOver(c);
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
GwConn_NoteDropped(GwConn *c, const GwHttpMessage *msg)
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

/* Tells of a request of which only a part was read, and of no more. */
void
GwConn_StopWatching(GwConn *c)
{
    if (c->watching && GwHttpParser_IsInside(c->parser)) {
        GwConn_NoteDropped(c, GwHttpParser_Begun(c->parser));
    }
    c->watching = false;
}

void
GwConn_CloseHandle(GwConn *c)
{
    if (c->closing) {
        return;
    }
    GwConn_StopWatching(c);
    c->closing = true;
    if (c->has_linger) {
        uv_close((uv_handle_t *)&c->linger, on_timer_closed);
        return;
    }
    uv_close((uv_handle_t *)&c->tcp, on_closed);
}

/* Closes when the other side is silent. One that still sends a body has not
 * looked for its answer yet, and a reset would destroy it. */
static void
on_linger(uv_timer_t *timer)
{
    GwConn *c = timer->data;
    int64_t at_us = GwConn_NowUs();
    bool silent =
        ms_between(c->heard_us, at_us) >= GW_LINGER_MS && !GwConn_HasUnread(c);

    if (silent || ms_between(c->finish_us, at_us) >= GW_DRAIN_MS) {
        GwConn_CloseHandle(c);
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
        GwConn_CloseHandle(c);
    }
    else if (!c->closing) {
        (void)uv_timer_start(&c->linger, on_linger, GW_LINGER_MS, 0);
    }
    GwConn_FreeIfOver(c);
}

/* From here on requests are not answered; they are told to `dropped`, up to the
 * first with a body, which is not held. What was refused half read is not
 * another request. */
static void
watch(GwConn *c)
{
    c->finish_us = GwConn_NowUs();
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
        GwConn_CloseHandle(c);
    }
}

static void
on_settle(uv_timer_t *timer)
{
    GwConn *c = timer->data;

    if (GwConn_HasArrived(c) || GwConn_NowUs() >= c->settle_until_us) {
        GwConn_CloseHandle(c);
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
        GwConn_CloseHandle(c);
        return;
    }
    c->finishing = true;
    c->settle_until_us = GwConn_NowUs() + (int64_t)wait_ms * 1000;
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
    GwConn_CloseHandle(c);
}

void
GwConn_CloseAt(GwConn **at)
{
    if (*at != NULL) {
        GwConn_Close(*at);
        *at = NULL;
    }
}
