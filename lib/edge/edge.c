#include "edge/quarantine_rows.h"
#include "edge/relay.h"

#include <signal.h>
#include <string.h>

/* The log is flushed every half second: each write has a cost, and a killed
 * process loses its unwritten lines. */
#define LOG_FLUSH_SWEEPS 2
/* Interval between CONTROL_COST log lines. */
#define COST_PERIOD_US 10000000
/* A timer may fire early by up to the resolution of its clock. */
#define TIMER_EARLY_US 2000
#define HOP_TEXT_SIZE  64
/* Time for the last answers to arrive at an exit without a graceful stop. */
#define CLOSE_WAIT_US 500000
/* Shortest time between reports to all peers of unreached services. */
#define REACH_PERIOD_US 1000000

int64_t
GwEdge_Now(void)
{
    return (int64_t)(uv_hrtime() / 1000);
}

bool
GwEdge_HasTables(const GwEdge *edge)
{
    return GwRouter_Routing(edge->router) != NULL &&
           GwFeed_IsLoaded(edge->server_feed);
}

bool
GwEdge_IsReady(const GwEdge *edge)
{
    return GwStopSignal_At() == 0 && GwEdge_HasTables(edge) &&
           GwQuarantineRows_IsLoaded(edge->quarantine_rows) &&
           !GwCallers_AreFull(edge, GwEdge_Now());
}

const char *
GwEdge_RegionOf(const GwEdge *edge, const char *domain)
{
    return g_hash_table_lookup(edge->settings->regions, domain);
}

/* ---- Actions ------------------------------------------------------------- */

/* Logs the reason for an answer made by the entry itself. */
static void
log_reply(const GwExchange *x, const char *id, uint16_t status,
          GwReplyReason why, const GwRequestSummary *request_summary,
          const char *hop)
{
    char more[160] = "";

    if (why == GW_REPLY_QUARANTINED) {
        char text[GW_FINGERPRINT_TEXT_SIZE];
        GwFingerprint_Format(&x->fingerprint, text);
        g_snprintf(more, sizeof(more), " fingerprint=%s", text);
    }
    else if (why == GW_REPLY_SHED) {
        g_snprintf(more, sizeof(more),
                   " best=%s level=%u threshold=%u total_ms=%" PRId64,
                   request_summary->best, request_summary->level,
                   request_summary->threshold, request_summary->total_age_ms);
    }
    else if (request_summary->best[0] != '\0') {
        g_snprintf(more, sizeof(more), " best=%s best_busy=%u/%u",
                   request_summary->best, request_summary->best_busy,
                   request_summary->best_slots);
    }
    GwLog_Event(GW_LOG_REQUEST_REPLIED,
                "request=%.40s status=%u why=%s route=%s server=%s "
                "attempts=%u waited_ms=%u took_ms=%u expected_ms=%u config="
                "%" PRIu64 " news_ms=%" PRId64 "%s%s",
                id, status, GwReplyReason_Name(why), request_summary->route,
                request_summary->server, request_summary->attempts,
                request_summary->waited_ms, request_summary->took_ms,
                request_summary->expected_ms, request_summary->version,
                GwFeed_AgeMs(x->edge->server_feed), more, hop);
}

/* How the request came from another entry or went to one; "" for most. */
static void
write_hop(const GwExchange *x, const GwRequestSummary *request_summary,
          char out[HOP_TEXT_SIZE])
{
    out[0] = '\0';
    if (request_summary->peer[0] != '\0') {
        g_snprintf(out, HOP_TEXT_SIZE, " by=%s", request_summary->peer);
    }
    else if (x->is_passed_on) {
        g_strlcpy(out, " for=member", HOP_TEXT_SIZE);
    }
}

/* Logs one line per request: its id, the versions and ages of the data used to
 * route it, and the outcome. The line of an answered request is short, because
 * these lines are most of the log's volume. */
void
GwEdge_LogRequestEnd(const GwExchange *x, GwRequestEnd end, uint16_t status,
                     GwReplyReason why,
                     const GwRequestSummary *request_summary)
{
    const char *id = GwHttpMessage_Get(x->msg, x->edge->adapter->request_id);
    const char *route =
        request_summary->route[0] != '\0' ? request_summary->route : "(none)";
    char hop[HOP_TEXT_SIZE];

    id = id != NULL ? id : "";
    write_hop(x, request_summary, hop);
    GwMeters_Add(x->edge->meters, route, end, why, request_summary->took_ms);
    switch (end) {
    case GW_END_ANSWERED:
    case GW_END_FAILED:
        GwLog_Event(
            GW_LOG_REQUEST_ANSWERED,
            "request=%.40s status=%u route=%s server=%s attempts=%u "
            "waited_ms=%u took_ms=%u warm=%d far=%d config=%" PRIu64 "%s",
            id, status, request_summary->route, request_summary->server,
            request_summary->attempts, request_summary->waited_ms,
            request_summary->took_ms, request_summary->warm,
            request_summary->far, request_summary->version, hop);
        break;
    case GW_END_DISCONNECTED:
    case GW_END_INTERRUPTED:
        GwLog_Event(end == GW_END_DISCONNECTED ? GW_LOG_REQUEST_LEFT
                                               : GW_LOG_REQUEST_CUT,
                    "request=%.40s route=%s server=%s attempts=%u "
                    "waited_ms=%u took_ms=%u config=%" PRIu64,
                    id, request_summary->route, request_summary->server,
                    request_summary->attempts, request_summary->waited_ms,
                    request_summary->took_ms, request_summary->version);
        break;
    case GW_END_NOT_RUN:
    case GW_END_UNKNOWN:
    case GW_END_NO_ROUTE:
    case GW_END_UNAUTHORIZED:
    case GW_END_OVER_QUOTA:
    case GW_END_COUNT:
        log_reply(x, id, status, why, request_summary, hop);
        break;
    }
}

static void
on_suspect(void *ctx, const GwSuspect *suspect, GwSuspectState old,
           GwSuspectState state)
{
    GwLogEvent event = state == GW_SUSPECT_QUARANTINED ? GW_LOG_REQUEST_HELD
                       : state == GW_SUSPECT_WATCHED   ? GW_LOG_REQUEST_SUSPECT
                                                     : GW_LOG_REQUEST_CLEARED;
    char text[GW_FINGERPRINT_TEXT_SIZE];
    GwEdge *edge = ctx;

    if ((state == GW_SUSPECT_QUARANTINED || old == GW_SUSPECT_QUARANTINED) &&
        GwPeers_IsWriterOf(edge->peers, suspect->fingerprint.lo)) {
        GwQuarantineRows_Write(edge->quarantine_rows, suspect);
    }
    GwFingerprint_Format(&suspect->fingerprint, text);
    GwLog_Event(event, "fingerprint=%s crashes=%u was=%s age_ms=%u", text,
                suspect->server_count, GwSuspectState_Name(old),
                suspect->age_ms);
}

static void
on_limit(void *ctx, const GwServer *s, double per_s)
{
    (void)ctx;
    if (per_s < 0) {
        GwLog_Event(GW_LOG_SERVER_UNLIMITED, "server=%s", GwServer_Id(s));
    }
    else {
        GwLog_Event(GW_LOG_SERVER_LIMIT, "server=%s per_s=%.3f",
                    GwServer_Id(s), per_s);
    }
}

static void
on_reach_change(void *ctx, const GwReachChange *change)
{
    GwEdge *edge = ctx;

    if (change->is_reached) {
        GwLog_Event(GW_LOG_SERVICE_REACHED, "service=%s unreached_ms=%u",
                    change->service, change->failing_ms);
    }
    else {
        GwLog_Event(GW_LOG_SERVICE_UNREACHED,
                    "service=%s failing_ms=%u refused=%u reset=%u timeout=%u",
                    change->service, change->failing_ms,
                    change->failed[GW_LINK_REFUSED],
                    change->failed[GW_LINK_RESET],
                    change->failed[GW_LINK_TIMEOUT]);
    }
    edge->has_reach_news = true;
}

/* libuv runs timers before it polls sockets. After a long turn an answer or
 * the end of a connection that arrived before the deadline may still be
 * unread, so deadlines are evaluated only after a poll. This also guarantees
 * that sockets are read even if the next deadline is always due by the time
 * that one is handled. */
static void
on_deadline(uv_timer_t *timer)
{
    GwEdge *edge = timer->data;

    if (GwTurns_PolledUntil(edge->turns) + TIMER_EARLY_US < edge->armed_us) {
        (void)uv_timer_start(timer, on_deadline, GW_AFTER_POLL_MS, 0);
        return;
    }
    edge->armed_us = INT64_MAX;
    GwEdge_CheckStopSignal(edge);
    GwEdge_ApplyProof(edge);
    GwRouter_Tick(edge->router, GwEdge_Now(), edge->actions);
    GwEdge_RunActions(edge);
}

void
GwEdge_ArmDeadline(GwEdge *edge)
{
    int64_t at_us = GwRouter_NextDeadline(edge->router);

    /* Waking up early is harmless, so a timer that fires before the new
     * deadline is kept. */
    if (at_us >= edge->armed_us) {
        return;
    }
    int64_t wait_ms = (at_us - GwEdge_Now() + 999) / 1000;
    edge->armed_us = at_us;
    uv_update_time(&edge->loop);
    (void)uv_timer_start(&edge->deadline, on_deadline,
                         (uint64_t)MAX(wait_ms, 0), 0);
}

/* Peers learn at once what this entry doesn't reach, or reaches again. If that
 * changes more often, their next regular reports say so. */
void
GwEdge_TellReach(GwEdge *edge)
{
    int64_t now_us = GwEdge_Now();

    if (edge->has_reach_news) {
        edge->has_reach_news = false;
        if (now_us - edge->reach_told_us >= REACH_PERIOD_US) {
            edge->reach_told_us = now_us;
            GwPeers_Announce(edge->peers);
        }
    }
}

/* ---- Signals and periodic work ------------------------------------------- */

static void
on_hangup(uv_signal_t *handle, int signum)
{
    (void)signum;
    GwEdge_Reload(handle->data, true);
}

static void
log_control_cost(GwEdge *edge, int64_t now_us)
{
    GString *line = g_string_new(NULL);

    GwControlCost_WriteLine(&edge->cost, &edge->cost_logged, line);
    GwLog_Event(GW_LOG_CONTROL_COST, "span_ms=%" PRId64 " calls=%" PRIu64 "%s",
                (now_us - edge->cost_logged_us) / 1000,
                edge->counts.store_calls - edge->store_calls_logged,
                line->str);
    g_string_free(line, TRUE);
    edge->cost_logged = edge->cost;
    edge->store_calls_logged = edge->counts.store_calls;
    edge->cost_logged_us = now_us;
}

static void
on_sweep(uv_timer_t *timer)
{
    GwEdge *edge = timer->data;
    int64_t now_us = GwEdge_Now();

    GwEdge_CheckStopSignal(edge);
    GwCallers_Sweep(edge, now_us);
    GwControl_CloseIdle(edge);
    GwServerLink_Sweep(edge, now_us);
    GwRelay_Sweep(edge, now_us);
    GwFeed_Sweep(edge->operator_feed);
    GwFeed_Sweep(edge->server_feed);
    GwPeers_Sweep(edge->peers, now_us);
    GwQuarantineRows_Sweep(edge->quarantine_rows, now_us);
    GwEdge_SweepProof(edge);
    GwEdge_Reload(edge, false);
    if (edge->is_stopping) {
        GwEdge_ContinueStop(edge, now_us);
    }
    GwEdge_RunActions(edge);
    if (now_us - edge->cost_logged_us >= COST_PERIOD_US) {
        log_control_cost(edge, now_us);
    }
    if (++edge->sweeps % LOG_FLUSH_SWEEPS == 0) {
        GwLog_Flush();
    }
}

/* ---- Start and shutdown -------------------------------------------------- */

/* Logs a long turn. A line is logged only after a turn of more than
 * GW_TURN_LONG_US, which bounds the rate of these lines. */
static void
on_long_turn(void *ctx, int64_t turn_us)
{
    const GwEdge *edge = ctx;

    GwLog_Event(GW_LOG_LOOP_LATE, "turn_ms=%" PRId64 " open=%u callers=%u",
                turn_us / 1000, GwRouter_OpenCount(edge->router),
                g_queue_get_length((GQueue *)&edge->callers));
}

static void
start_timers(GwEdge *edge)
{
    (void)uv_timer_init(&edge->loop, &edge->deadline);
    edge->deadline.data = edge;
    (void)uv_timer_init(&edge->loop, &edge->sweep);
    edge->sweep.data = edge;
    (void)uv_timer_start(&edge->sweep, on_sweep, 0, GW_SWEEP_MS);
    GwEdge_InitStop(edge);
    (void)uv_signal_init(&edge->loop, &edge->hangup);
    edge->hangup.data = edge;
    (void)uv_signal_start(&edge->hangup, on_hangup, SIGHUP);
}

static bool
open_listeners(GwEdge *edge, GError **error)
{
    const char *address = edge->settings->call_address;

    edge->call_listener =
        GwConn_Listen(&edge->loop, address, GwCallers_OnConnection, edge);
    if (edge->call_listener == NULL) {
        g_set_error(error, GW_ERROR, GW_RESULT_IO, "can't listen at %s",
                    address);
        return false;
    }
    return GwControl_Listen(edge, error) && GwRelay_Listen(edge, error);
}

GwEdge *
GwEdge_Create(GwEdgeSettings *settings, const char *path,
              const GwAdapter *adapter, GError **error)
{
    GwEdge *edge = g_new0(GwEdge, 1);
    GError *why = NULL;

    edge->settings = settings;
    edge->settings_path = g_strdup(path);
    GwEdge_RecordSettingsTime(edge);
    edge->adapter = adapter;
    (void)uv_loop_init(&edge->loop);
    edge->turns = GwTurns_Create(&edge->loop, on_long_turn, edge);
    GwAnswerBounds_Init(&edge->bodies, settings->memory_mb);
    GwAnswerRoom_Init(&edge->room, &edge->bodies);
    edge->started_us = GwEdge_Now();
    edge->cost_logged_us = edge->started_us;
    edge->armed_us = INT64_MAX;
    edge->close_by_us = INT64_MAX;
    edge->controls =
        g_ptr_array_new_with_free_func((GDestroyNotify)GwHttpListener_Free);
    edge->meters = GwMeters_Create();
    edge->shortage_log = GwShortageLog_Create();
    edge->actions = g_array_new(FALSE, FALSE, sizeof(GwRouterAction));
    edge->ended_exchanges = g_ptr_array_new_with_free_func(GwExchange_Free);
    edge->ended_callers = g_ptr_array_new_with_free_func(g_free);
    edge->invalid_servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    edge->router = GwRouter_Create(&settings->router, GwEdge_Now());
    edge->quarantine_rows = GwQuarantineRows_Create(edge);
    GwQuarantine_SetCallback(GwRouter_Quarantine(edge->router), on_suspect,
                             edge);
    GwRouter_SetLimitCallback(edge->router, on_limit, edge);
    GwRouter_SetReachCallback(edge->router, on_reach_change, edge);
    edge->operator_feed =
        GwFeed_Create(edge, &(GwFeedParams){
                                .table = adapter->operator_table,
                                .changed = GwRouterRows_OnOperatorRow,
                                .order = GwRouterRows_OrderOperatorRow,
                            });
    edge->server_feed =
        GwFeed_Create(edge, &(GwFeedParams){
                                .table = adapter->server_table,
                                .changed = GwRouterRows_OnServerRow,
                                .is_update = GwRouterRows_IsChange,
                                .order = GwRouterRows_OrderServerRow,
                            });
    GwFeed_FollowOther(edge->server_feed);
    edge->peers = GwPeers_Create(edge, &why);
    GwQuotas_Init(edge);
    start_timers(edge);
    if (why != NULL || !open_listeners(edge, &why)) {
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
close_all(GwEdge *edge)
{
    uv_handle_t *const own[] = {
        (uv_handle_t *)&edge->deadline,   (uv_handle_t *)&edge->sweep,
        (uv_handle_t *)&edge->hangup,     (uv_handle_t *)&edge->after_accept,
        (uv_handle_t *)&edge->stop_timer,
    };

    edge->is_running_actions = true; /* prevents further actions */
    if (!edge->is_stopping) {
        edge->close_by_us = GwEdge_Now() + CLOSE_WAIT_US;
    }
    GwCallers_CloseAll(edge);
    GwControl_CloseAll(edge);
    GwServerLink_CloseAll(edge);
    GwRelay_CloseAll(edge);
    GwFeed_Close(edge->operator_feed);
    GwFeed_Close(edge->server_feed);
    GwQuarantineRows_Close(edge->quarantine_rows);
    GwPeers_Close(edge->peers);
    GwTurns_Close(edge->turns);
    if (edge->relay_listener != NULL) {
        uv_close((uv_handle_t *)edge->relay_listener, (uv_close_cb)g_free);
    }
    if (edge->call_listener != NULL) {
        uv_close((uv_handle_t *)edge->call_listener, (uv_close_cb)g_free);
    }
    GwStopSignal_Close(&edge->stop_signal);
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
    GwQuota_Free(edge->quota);
    GwPeers_Free(edge->peers);
    GwQuarantineRows_Free(edge->quarantine_rows);
    GwRouter_Free(edge->router);
    g_hash_table_destroy(edge->invalid_servers);
    g_array_free(edge->actions, TRUE);
    g_ptr_array_free(edge->ended_exchanges, TRUE);
    g_ptr_array_free(edge->ended_callers, TRUE);
    g_ptr_array_free(edge->controls, TRUE);
    GwMeters_Free(edge->meters);
    GwAnswerRoom_Clear(&edge->room);
    GwShortageLog_Free(edge->shortage_log);
    GwEdgeSettings_Free(edge->settings);
    g_free(edge->settings_path);
    g_free(edge);
}
