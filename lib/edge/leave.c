/* A stop of the entry, from its signal to the end of its loop. What may still
 * be sent to servers meanwhile is lib/router/stop.c's to say. */
#include "edge/edge_internal.h"

/* New connections are taken for this part of the grace: callers use the entry
 * until their directory's answer is too old. */
#define LISTEN_SHARE 0.5
/* It ends after this part of its grace at the latest. The rest is for a busy
 * processor, and for answers on their way out. */
#define END_SHARE 0.9
/* Before it ends the loop looks so often at its sockets: once to accept, and
 * once to read what has been accepted. A process that stood still until then
 * has refused nothing yet. */
#define END_LOOKS 2

/* The last lines go out now: closing takes its time, and the process may be
 * killed meanwhile. */
static void
end_run(GwEdge *edge)
{
    GwLog_Event(GW_LOG_STOP_DONE, "open=%u after_ms=%" PRId64,
                GwRouter_OpenCount(edge->router),
                (GwEdge_Now() - edge->leaving_us) / 1000);
    GwLog_Flush();
    uv_stop(&edge->loop);
}

/* A connection that waits to be accepted is reset with its listener, and its
 * caller has already sent a request: the listener is closed only right after
 * the loop has accepted all that had come. */
static void
on_listened(uv_check_t *check)
{
    GwEdge *edge = check->data;

    (void)uv_check_stop(check);
    uv_close((uv_handle_t *)edge->call_listener, (uv_close_cb)g_free);
    edge->call_listener = NULL;
}

static void
stop_listening(GwEdge *edge, int64_t now_us)
{
    if (edge->call_listener == NULL ||
        uv_is_active((const uv_handle_t *)&edge->listened)) {
        return;
    }
    GwLog_Event(GW_LOG_STOP_LISTENING, "open=%u after_ms=%" PRId64,
                GwRouter_OpenCount(edge->router),
                (now_us - edge->leaving_us) / 1000);
    (void)uv_check_start(&edge->listened, on_listened);
}

/* What waits for a slot or for a connection to its server has not left, so its
 * caller can still be told that it did not run. */
static void
on_leave_end(uv_timer_t *timer)
{
    GwEdge *edge = timer->data;
    int64_t now_us = GwEdge_Now();

    stop_listening(edge, now_us);
    GwServerLink_GiveUpConnecting(edge);
    GwRouter_Stop(edge->router, now_us, now_us, edge->actions);
    GwEdge_Carry(edge);
    if (edge->end_looks < END_LOOKS) {
        edge->end_looks++;
        (void)uv_timer_start(timer, on_leave_end, GW_LOOK_FIRST_MS, 0);
        return;
    }
    end_run(edge);
}

void
GwEdge_NoticeStop(GwEdge *edge)
{
    int64_t told_us = GwStopSignal_At();

    if (edge->leaving || told_us == 0) {
        return;
    }
    int64_t now_us = GwEdge_Now();
    double grace_us = edge->settings->grace_ms * 1000.0;
    int64_t end_us = told_us + (int64_t)(grace_us * END_SHARE);
    edge->listen_until_us = told_us + (int64_t)(grace_us * LISTEN_SHARE);
    edge->leaving = true;
    edge->leaving_us = told_us;
    GwLog_Event(GW_LOG_STOP_BEGIN, "open=%u noticed_ms=%" PRId64,
                GwRouter_OpenCount(edge->router),
                (now_us - edge->leaving_us) / 1000);
    uv_update_time(&edge->loop);
    (void)uv_timer_start(&edge->leave_end, on_leave_end,
                         (uint64_t)MAX(end_us - now_us, 0) / 1000, 0);
    GwRouter_Stop(edge->router, now_us, end_us, edge->actions);
    GwCallers_Resume(edge);
    GwPeers_Announce(edge->peers);
}

static void
on_told_to_stop(void *owner)
{
    GwEdge *edge = owner;

    GwEdge_NoticeStop(edge);
    GwEdge_Carry(edge);
}

/* Ends early where nobody is connected. Not in the sweep that stops listening:
 * those who wait at the listener have yet to be accepted and heard. */
void
GwEdge_GoOnLeaving(GwEdge *edge, int64_t now_us)
{
    if (now_us < edge->listen_until_us) {
        return;
    }
    if (edge->call_listener != NULL) {
        stop_listening(edge, now_us);
        return;
    }
    GwCallers_CloseIdle(edge);
    if (g_queue_is_empty(&edge->callers)) {
        end_run(edge);
    }
}

void
GwEdge_AwaitStop(GwEdge *edge)
{
    (void)uv_timer_init(&edge->loop, &edge->leave_end);
    edge->leave_end.data = edge;
    (void)uv_check_init(&edge->loop, &edge->listened);
    edge->listened.data = edge;
    GwStopSignal_Start(&edge->stop_signal, &edge->loop, on_told_to_stop, edge);
}
