/* Graceful stop of the entry, from the signal to the end of the loop.
 * lib/router/stop.c decides which requests may still be sent to servers. */
#include "edge/open_requests.h"
#include "edge/relay.h"

/* Part of the grace period in which new connections are accepted: callers use
 * the entry until the answer that they have from the directory expires. */
#define LISTEN_PART 0.5
/* The loop ends after this part of the grace period at the latest. The rest is
 * a reserve for a busy processor and for the delivery of the last answers. */
#define END_PART 0.9
/* Connections that are closing are given up after this part of the grace
 * period, so that the process ends within it. */
#define CLOSE_PART 0.97
/* Number of polls before the loop ends: one to accept connections and one to
 * read their requests, which still have to be refused if the process was
 * stalled until then. */
#define END_POLLS 2

/* Flushes the log here: closing takes time, and the process may be killed
 * meanwhile. */
static void
end_loop(GwEdge *edge)
{
    uint32_t counts[GW_WAIT_COUNT];

    GwLog_Event(GW_LOG_STOP_DONE, "open=%u after_ms=%" PRId64,
                GwOpenRequests_Count(edge, counts),
                (GwEdge_Now() - edge->stop_signal_us) / 1000);
    GwLog_Flush();
    uv_stop(&edge->loop);
}

/* Closes the listener right after the loop has accepted all pending
 * connections: closing it resets those still pending, whose callers may
 * already have sent a request. */
static void
on_accepted_pending(uv_check_t *check)
{
    GwEdge *edge = check->data;

    (void)uv_check_stop(check);
    uv_close((uv_handle_t *)edge->call_listener, (uv_close_cb)g_free);
    edge->call_listener = NULL;
    uv_close((uv_handle_t *)edge->relay_listener, (uv_close_cb)g_free);
    edge->relay_listener = NULL;
}

static void
stop_listening(GwEdge *edge, int64_t now_us)
{
    if (edge->call_listener == NULL ||
        uv_is_active((const uv_handle_t *)&edge->after_accept)) {
        return;
    }
    GwLog_Event(GW_LOG_STOP_LISTENING, "open=%u after_ms=%" PRId64,
                GwRouter_OpenCount(edge->router),
                (now_us - edge->stop_signal_us) / 1000);
    (void)uv_check_start(&edge->after_accept, on_accepted_pending);
}

/* Refuses the requests that wait for a slot or for a connection to their
 * server: no byte of them was sent, so they are known not to have run. Requests
 * that are still in progress after the last polls are answered as well: their
 * server may be silent, or send without end. */
static void
on_grace_end(uv_timer_t *timer)
{
    GwEdge *edge = timer->data;
    int64_t now_us = GwEdge_Now();

    stop_listening(edge, now_us);
    GwServerLink_AbortConnecting(edge);
    GwRelay_AbortConnecting(edge);
    GwRouter_Stop(edge->router, now_us, now_us, edge->actions);
    GwEdge_RunActions(edge);
    if (edge->end_polls < END_POLLS) {
        edge->end_polls++;
        (void)uv_timer_start(timer, on_grace_end, GW_AFTER_POLL_MS, 0);
        return;
    }
    GwOpenRequests_Log(edge);
#if GW_MUTANT != 159 /* breaks: requests in progress end without an answer */
    GwOpenRequests_EndAll(edge);
#endif
    end_loop(edge);
}

void
GwEdge_CheckStopSignal(GwEdge *edge)
{
    int64_t signalled_us = GwStopSignal_At();

    if (edge->is_stopping || signalled_us == 0) {
        return;
    }
    int64_t now_us = GwEdge_Now();
    double grace_us = edge->settings->grace_ms * 1000.0;
    int64_t end_us = signalled_us + (int64_t)(grace_us * END_PART);
    edge->accept_until_us = signalled_us + (int64_t)(grace_us * LISTEN_PART);
    edge->close_by_us = signalled_us + (int64_t)(grace_us * CLOSE_PART);
    edge->is_stopping = true;
    edge->stop_signal_us = signalled_us;
    GwLog_Event(GW_LOG_STOP_BEGIN, "open=%u noticed_ms=%" PRId64,
                GwRouter_OpenCount(edge->router),
                (now_us - edge->stop_signal_us) / 1000);
    uv_update_time(&edge->loop);
    (void)uv_timer_start(&edge->stop_timer, on_grace_end,
                         (uint64_t)MAX(end_us - now_us, 0) / 1000, 0);
    GwRouter_Stop(edge->router, now_us, end_us, edge->actions);
    edge->is_room_freed = true; /* refuses those that wait for room */
    GwCallers_Resume(edge);
    GwPeers_Announce(edge->peers);
}

static void
on_stop_signal(void *owner)
{
    GwEdge *edge = owner;

    GwEdge_CheckStopSignal(edge);
    GwEdge_RunActions(edge);
}

/* Advances the stop, and ends the loop early once no caller is connected.
 * Never ends in the sweep that stops listening: pending connections have to be
 * accepted and read first. */
void
GwEdge_ContinueStop(GwEdge *edge, int64_t now_us)
{
    if (now_us < edge->accept_until_us) {
        return;
    }
    if (edge->call_listener != NULL) {
        stop_listening(edge, now_us);
        return;
    }
    GwCallers_CloseIdle(edge);
    if (g_queue_is_empty(&edge->callers)) {
        end_loop(edge);
    }
}

void
GwEdge_InitStop(GwEdge *edge)
{
    (void)uv_timer_init(&edge->loop, &edge->stop_timer);
    edge->stop_timer.data = edge;
    (void)uv_check_init(&edge->loop, &edge->after_accept);
    edge->after_accept.data = edge;
    GwStopSignal_Start(&edge->stop_signal, &edge->loop, on_stop_signal, edge);
}
