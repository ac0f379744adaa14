#include "edge/edge_internal.h"

#include <signal.h>
#include <string.h>

/* A leaving entry still takes new connections for this part of its grace:
 * callers use it until their directory's answer is too old. */
#define LISTEN_SHARE 0.5
/* Bodies may take a third of the memory: buffers are up to twice as large as
 * what they hold. */
#define BODIES_SHARE ((1 << 20) / 3)
/* After this part of its grace it waits for no request any more. */
#define LEAVE_SHARE 0.85

int64_t
GwEdge_Now(void)
{
    return (int64_t)(uv_hrtime() / 1000);
}

bool
GwEdge_IsReady(const GwEdge *edge)
{
    return !edge->leaving && GwRouter_Routing(edge->router) != NULL &&
           GwFeed_IsKnown(edge->server_feed);
}

const char *
GwEdge_RegionOf(const GwEdge *edge, const char *domain)
{
    return g_hash_table_lookup(edge->settings->regions, domain);
}

/* ---- Actions ------------------------------------------------------------- */

static void
count_reply(GwEdge *edge, uint16_t status)
{
    switch (status) {
    case 404:
        edge->counts.replied[0]++;
        break;
    case 502:
        edge->counts.replied[1]++;
        break;
    case 503:
        edge->counts.replied[2]++;
        break;
    default:
        edge->counts.replied[3]++;
        break;
    }
}

/* One line for each request: its id, what decided about it, and its end. */
void
GwEdge_LogRequest(const GwExchange *x, uint32_t event, uint16_t status,
                  GwWhy why, const GwRequestStory *story)
{
    const char *id = GwHttpMessage_Get(x->msg, x->edge->adapter->request_id);

    GwLog_Event(event,
                "request=%.40s status=%u why=%s route=%s server=%s "
                "attempts=%u waited_ms=%u took_ms=%u warm=%d config=%" PRIu64,
                id != NULL ? id : "", status, GwWhy_Name(why), story->route,
                story->server, story->attempts, story->waited_ms,
                story->took_ms, story->warm, story->version);
}

static void
carry_one(GwEdge *edge, const GwDo *act)
{
    GwExchange *x = act->user;

    switch (act->kind) {
    case GW_DO_ACCEPT:
        x->request = act->request;
        break;
    case GW_DO_SEND:
        /* By the version that admitted it, not by the one it arrived under. */
        x->idempotent = act->idempotent;
        GwServerLink_Send(x, act->server, act->left_ms);
        break;
    case GW_DO_CANCEL:
        GwServerLink_Cancel(x);
        break;
    case GW_DO_ANSWER:
        GwEdge_LogRequest(x, GW_LOG_REQUEST_ANSWERED, act->status, GW_WHY_NONE,
                          &act->story);
        GwExchange_PassOn(x);
        break;
    case GW_DO_REPLY:
        count_reply(edge, act->status);
        GwEdge_LogRequest(x, GW_LOG_REQUEST_REPLIED, act->status, act->why,
                          &act->story);
        GwExchange_Reply(x, act->status, act->retry_after_ms);
        break;
    case GW_DO_FORGET:
        GwServerLink_Forget(edge, act->server);
        break;
    }
}

static void
on_deadline(uv_timer_t *timer)
{
    GwEdge *edge = timer->data;

    edge->armed_us = INT64_MAX;
    GwRouter_Tick(edge->router, GwEdge_Now(), edge->actions);
    GwEdge_Carry(edge);
}

static void
arm(GwEdge *edge)
{
    int64_t at_us = GwRouter_NextDeadline(edge->router);

    /* An early wake-up does no harm, so a timer that fires before the new
     * deadline is left as it is. */
    if (at_us >= edge->armed_us) {
        return;
    }
    int64_t wait_ms = (at_us - GwEdge_Now() + 999) / 1000;
    edge->armed_us = at_us;
    uv_update_time(&edge->loop);
    (void)uv_timer_start(&edge->deadline, on_deadline,
                         (uint64_t)MAX(wait_ms, 0), 0);
}

void
GwEdge_Carry(GwEdge *edge)
{
    if (edge->carrying) {
        return;
    }
    edge->carrying = true;
    while (edge->actions->len > 0 || !g_queue_is_empty(&edge->dirty)) {
        for (guint i = 0; i < edge->actions->len; i++) {
            /* Carrying out may append, which may move the array. */
            GwDo act = g_array_index(edge->actions, GwDo, i);
            carry_one(edge, &act);
        }
        g_array_set_size(edge->actions, 0);
        GwCaller *caller = g_queue_pop_head(&edge->dirty);
        if (caller != NULL) {
            GwCaller_Flush(caller);
        }
    }
    edge->carrying = false;
    arm(edge);
}

/* ---- Leaving ------------------------------------------------------------- */

static void
begin_leaving(GwEdge *edge)
{
    if (edge->leaving) {
        return;
    }
    edge->leaving = true;
    edge->leaving_us = GwEdge_Now();
    GwLog_Event(GW_LOG_STOP_BEGIN, "open=%u",
                GwRouter_OpenCount(edge->router));
    GwPeers_Announce(edge->peers);
}

static void
go_on_leaving(GwEdge *edge, int64_t now_us)
{
    int64_t gone_ms = (now_us - edge->leaving_us) / 1000;
    double grace = edge->settings->grace_ms;

    if ((double)gone_ms < grace * LISTEN_SHARE) {
        return;
    }
    if (edge->call_listener != NULL) {
        uv_close((uv_handle_t *)edge->call_listener, (uv_close_cb)g_free);
        edge->call_listener = NULL;
    }
    GwCallers_CloseIdle(edge);
    if (g_queue_is_empty(&edge->callers) ||
        (double)gone_ms > grace * LEAVE_SHARE) {
        GwLog_Event(GW_LOG_STOP_DONE, "open=%u after_ms=%" PRId64,
                    GwRouter_OpenCount(edge->router), gone_ms);
        uv_stop(&edge->loop);
    }
}

static void
on_term(uv_signal_t *handle, int signum)
{
    (void)signum;
    begin_leaving(handle->data);
}

static void
on_hangup(uv_signal_t *handle, int signum)
{
    (void)signum;
    GwEdge_Reload(handle->data, true);
}

static void
on_sweep(uv_timer_t *timer)
{
    GwEdge *edge = timer->data;
    int64_t now_us = GwEdge_Now();

    GwCallers_Sweep(edge, now_us);
    GwServerLink_Sweep(edge, now_us);
    GwFeed_Sweep(edge->operator_feed, now_us);
    GwFeed_Sweep(edge->server_feed, now_us);
    GwPeers_Sweep(edge->peers, now_us);
    GwEdge_Reload(edge, false);
    if (edge->leaving) {
        go_on_leaving(edge, now_us);
    }
    GwEdge_Carry(edge);
    GwLog_Flush();
}

/* ---- Start and end ------------------------------------------------------- */

static void
start_timers(GwEdge *edge)
{
    (void)uv_timer_init(&edge->loop, &edge->deadline);
    edge->deadline.data = edge;
    (void)uv_timer_init(&edge->loop, &edge->sweep);
    edge->sweep.data = edge;
    (void)uv_timer_start(&edge->sweep, on_sweep, 0, GW_SWEEP_MS);
    (void)uv_signal_init(&edge->loop, &edge->term);
    edge->term.data = edge;
    (void)uv_signal_start(&edge->term, on_term, SIGTERM);
    (void)uv_signal_init(&edge->loop, &edge->interrupt);
    edge->interrupt.data = edge;
    (void)uv_signal_start(&edge->interrupt, on_term, SIGINT);
    (void)uv_signal_init(&edge->loop, &edge->hangup);
    edge->hangup.data = edge;
    (void)uv_signal_start(&edge->hangup, on_hangup, SIGHUP);
}

static bool
listen_all(GwEdge *edge, GError **error)
{
    const char *address = edge->settings->call_address;

    edge->call_listener =
        GwConn_Listen(&edge->loop, address, GwCallers_OnConnection, edge);
    if (edge->call_listener == NULL) {
        g_set_error(error, GW_ERROR, GW_RESULT_IO, "can't listen at %s",
                    address);
        return false;
    }
    return GwControl_Listen(edge, error);
}

GwEdge *
GwEdge_Create(GwEdgeSettings *settings, const char *path,
              const GwAdapter *adapter, GError **error)
{
    GwEdge *edge = g_new0(GwEdge, 1);
    GError *why = NULL;

    edge->settings = settings;
    edge->settings_path = g_strdup(path);
    GwEdge_NoteSettings(edge);
    edge->adapter = adapter;
    (void)uv_loop_init(&edge->loop);
    edge->bodies.max = (uint64_t)settings->memory_mb * BODIES_SHARE;
    edge->started_us = GwEdge_Now();
    edge->armed_us = INT64_MAX;
    edge->listeners = g_ptr_array_new();
    edge->actions = g_array_new(FALSE, FALSE, sizeof(GwDo));
    edge->router = GwRouter_Create(&settings->router, GwEdge_Now());
    edge->operator_feed =
        GwFeed_Create(edge, adapter->operator_table, GwBeliefs_OnOperatorRow);
    edge->server_feed =
        GwFeed_Create(edge, adapter->server_table, GwBeliefs_OnServerRow);
    edge->peers = GwPeers_Create(edge, &why);
    start_timers(edge);
    if (why != NULL || !listen_all(edge, &why)) {
        g_propagate_error(error, why);
        GwEdge_Free(edge);
        return NULL;
    }
    return edge;
}

void
GwEdge_Run(GwEdge *edge)
{
    GwLog_Event(GW_LOG_START, "name=%s domain=%s call=%s",
                edge->settings->router.name, edge->settings->router.domain,
                edge->settings->call_address);
    (void)uv_run(&edge->loop, UV_RUN_DEFAULT);
}

static void
close_listener(gpointer item, gpointer ctx)
{
    (void)ctx;
    uv_close(item, (uv_close_cb)g_free);
}

static void
close_all(GwEdge *edge)
{
    uv_handle_t *const own[] = {
        (uv_handle_t *)&edge->deadline, (uv_handle_t *)&edge->sweep,
        (uv_handle_t *)&edge->term,     (uv_handle_t *)&edge->interrupt,
        (uv_handle_t *)&edge->hangup,
    };

    edge->carrying = true; /* nothing is begun any more */
    GwCallers_CloseAll(edge);
    GwControl_CloseAll(edge);
    GwServerLink_CloseAll(edge);
    GwFeed_Close(edge->operator_feed);
    GwFeed_Close(edge->server_feed);
    GwPeers_Close(edge->peers);
    if (edge->call_listener != NULL) {
        uv_close((uv_handle_t *)edge->call_listener, (uv_close_cb)g_free);
    }
    g_ptr_array_foreach(edge->listeners, close_listener, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(own); i++) {
        uv_close(own[i], NULL);
    }
    (void)uv_run(&edge->loop, UV_RUN_DEFAULT);
    (void)uv_loop_close(&edge->loop);
}

void
GwEdge_Free(GwEdge *edge)
{
    close_all(edge);
    GwFeed_Free(edge->operator_feed);
    GwFeed_Free(edge->server_feed);
    GwPeers_Free(edge->peers);
    GwRouter_Free(edge->router);
    g_array_free(edge->actions, TRUE);
    g_ptr_array_free(edge->listeners, TRUE);
    GwEdgeSettings_Free(edge->settings);
    g_free(edge->settings_path);
    g_free(edge);
}
