/* Monitoring output of the entry: counters and gauges, a short status, and a
 * dump of the whole state. */
#include "common/json.h"
#include "edge/edge_internal.h"
#include "edge/open_requests.h"
#include "edge/shortages.h"

#include <json-c/json.h>

static void
write_gauge(GString *out, const char *name, double value)
{
    g_string_append_printf(out, "# TYPE %s gauge\n%s %.15g\n", name, name,
                           value);
}

static void
write_counter(GString *out, const char *name, uint64_t value)
{
    g_string_append_printf(out, "# TYPE %s counter\n%s %" PRIu64 "\n", name,
                           name, value);
}

static void
write_service(void *ctx, const GwServiceView *view)
{
    GString *out = ctx;
    char *name = g_strescape(view->name, NULL);

    g_string_append_printf(
        out,
        "gw_service_servers{service=\"%s\"} %u\n"
        "gw_service_ejected{service=\"%s\"} %u\n"
        "gw_service_limited{service=\"%s\"} %u\n"
        "gw_service_resting{service=\"%s\"} %u\n"
        "gw_service_waiting{service=\"%s\"} %u\n"
        "gw_service_in_flight{service=\"%s\"} %u\n"
        "gw_service_peers_in_flight{service=\"%s\"} %u\n"
        "gw_service_retries_left{service=\"%s\"} %.2f\n"
        "gw_service_answer_age_ms{service=\"%s\"} %" PRId64 "\n"
        "gw_service_reached{service=\"%s\"} %d\n",
        name, view->servers, name, view->ejected, name, view->limited, name,
        view->resting, name, view->waiting, name, view->in_flight, name,
        view->peers_in_flight, name, view->retries_left, name,
        view->answer_age_ms, name, view->is_reached);
    g_free(name);
}

static void
write_table(GString *out, const char *table, const GwFeed *feed,
            GwStoreVersion seen)
{
    g_string_append_printf(
        out,
        "gw_table_version{table=\"%s\"} %" PRIu64 "\n"
        "gw_table_version_seen{table=\"%s\"} %" PRIu64 "\n"
        "gw_table_era{table=\"%s\"} %u\n"
        "gw_table_pending_rows{table=\"%s\"} %u\n"
        "gw_table_unanswered_ms{table=\"%s\"} %" PRId64 "\n"
        "gw_table_news_age_ms{table=\"%s\"} %" PRId64 "\n"
        "gw_table_read_here{table=\"%s\"} %d\n"
        "gw_table_store_was_away{table=\"%s\"} %d\n",
        table, GwFeed_Version(feed).number, table,
        GwStoreVersion_Max(seen, GwFeed_Version(feed)).number, table,
        GwFeed_Era(feed), table, GwFeed_PendingRows(feed), table,
        GwFeed_UnansweredMs(feed), table, GwFeed_AgeMs(feed), table,
        GwFeed_IsHealthy(feed), table, GwFeed_HadOutage(feed));
}

static void
count_suspect(void *ctx, const GwSuspect *suspect, GwSuspectState state,
              int64_t until_us)
{
    uint32_t *counts = ctx;

    (void)suspect;
    (void)until_us;
    counts[state]++;
}

static void
write_suspect_counts(GwEdge *edge, GString *out)
{
    uint32_t counts[GW_SUSPECT_QUARANTINED + 1] = {0};

    GwQuarantine_Each(GwRouter_Quarantine(edge->router), GwEdge_Now(),
                      count_suspect, counts);
    for (int i = GW_SUSPECT_WATCHED; i <= GW_SUSPECT_QUARANTINED; i++) {
        g_string_append_printf(out, "gw_suspects{state=\"%s\"} %u\n",
                               GwSuspectState_Name((GwSuspectState)i),
                               counts[i]);
    }
}

static void
write_service_shedding(void *ctx, const GwSheddingView *view)
{
    GString *out = ctx;
    char *name = g_strescape(view->service, NULL);

    for (uint32_t l = 0; l < GW_SHORTAGE_LEVELS; l++) {
        if (view->shed[l] > 0) {
            g_string_append_printf(
                out,
                "gw_shed_total{service=\"%s\",level=\"%u\"} %" PRIu64 "\n",
                name, l, view->shed[l]);
        }
    }
    g_free(name);
}

/* Only with overload control. */
static void
write_shedding(const GwEdge *edge, GString *out)
{
    GwReturnsView returns = GwRouter_Returns(edge->router);

    if (GwRouter_Shortage(edge->router) == NULL) {
        return;
    }
    GwRouter_EachShedding(edge->router, write_service_shedding, out);
    g_string_append_printf(
        out,
        "gw_returns_total{outcome=\"answered\"} %" PRIu64 "\n"
        "gw_returns_total{outcome=\"refused\"} %" PRIu64 "\n",
        returns.answered, returns.refused);
}

void
GwStatus_WriteMetrics(GwEdge *edge, GString *out)
{
    const GwRouting *routing = GwRouter_Routing(edge->router);
    const GwPeersView peers = GwPeers_View(edge->peers);
    const GwTurnsView turns = GwTurns_View(edge->turns);

    GwMeters_Write(edge->meters, out);
    write_counter(out, "gw_requests_total", edge->counts.arrived);
    write_counter(out, "gw_requests_dropped_total", edge->counts.dropped);
    for (int i = 0; i < GW_CLOSE_COUNT; i++) {
        g_string_append_printf(
            out, "gw_callers_closed_total{reason=\"%s\"} %" PRIu64 "\n",
            GwCallerClose_Name((GwCallerClose)i),
            edge->counts.callers_closed[i]);
    }
    write_counter(out, "gw_callers_cut_total", edge->counts.callers_cut);
    write_counter(out, "gw_actions_dropped_total", edge->counts.stale_actions);
    write_counter(out, "gw_connects_total", edge->counts.connects);
    for (int i = GW_ATTEMPT_ANSWERED; i <= GW_ATTEMPT_LOST; i++) {
        g_string_append_printf(
            out, "gw_passed_on_total{outcome=\"%s\"} %" PRIu64 "\n",
            GwAttemptOutcome_Name((GwAttemptOutcome)i),
            edge->counts.passed_on[i]);
    }
    write_counter(out, "gw_taken_over_total", edge->counts.taken_over);
    for (int i = GW_LINK_REFUSED; i < GW_LINK_END_COUNT; i++) {
        g_string_append_printf(
            out, "gw_server_links_failed_total{how=\"%s\"} %" PRIu64 "\n",
            GwLinkEnd_Name((GwLinkEnd)i), edge->counts.links_failed[i]);
    }
    write_counter(out, "gw_reuses_total", edge->counts.reuses);
    write_counter(out, "gw_attempts_undelivered_total",
                  edge->counts.undelivered);
    write_counter(out, "gw_store_calls_total", edge->counts.store_calls);
    write_counter(out, "gw_reports_total", edge->counts.reports);
    write_counter(out, "gw_row_bytes_out_total", edge->counts.row_bytes_out);
    GwControlCost_Write(&edge->cost, out);
    write_counter(out, "gw_log_dropped_total", GwLog_DroppedCount());
    write_counter(out, "gw_loop_busy_ms_total",
                  (uint64_t)turns.busy_us / 1000);
    write_counter(out, "gw_loop_turns_long_total", turns.count_long);
    write_counter(out, "gw_server_looks_total",
                  GwRouter_EvaluationCount(edge->router));
    write_gauge(out, "gw_loop_turn_max_ms", (double)turns.max_us / 1000);
    write_gauge(out, "gw_ready", GwEdge_IsReady(edge));
    write_gauge(out, "gw_config_version",
                routing != NULL ? (double)routing->version : 0);
    write_gauge(out, "gw_open_requests", GwRouter_OpenCount(edge->router));
    GwOpenRequests_WriteMetrics(edge, out);
    write_gauge(out, "gw_caller_connections",
                g_queue_get_length(&edge->callers));
    write_gauge(out, "gw_accept_paused_ms",
                edge->accept_paused_us == 0
                    ? 0
                    : (double)(GwEdge_Now() - edge->accept_paused_us) / 1000);
    write_gauge(out, "gw_body_bytes", (double)edge->bodies.held);
    write_gauge(out, "gw_answer_bytes", (double)edge->bodies.responses);
    write_gauge(out, "gw_answer_bytes_max",
                (double)edge->bodies.responses_peak);
    write_gauge(out, "gw_answer_bytes_limit",
                (double)edge->bodies.responses_max);
    write_gauge(out, "gw_answer_bytes_reserved", (double)edge->room.reserved);
    write_gauge(out, "gw_room_waiters",
                g_queue_get_length(&edge->room_waiters));
    write_counter(out, "gw_refused_for_room_total",
                  edge->counts.refused_for_room);
    write_counter(out, "gw_answers_over_bound_total", edge->excess.count);
    write_gauge(out, "gw_server_rows_invalid",
                g_hash_table_size(edge->invalid_servers));
    write_gauge(out, "gw_peers_live", peers.live);
    write_gauge(out, "gw_peer_loads_age_ms", (double)peers.loads_age_ms);
    write_suspect_counts(edge, out);
    write_gauge(out, "gw_proof_age_ms", (double)GwEdge_ProofAgeMs(edge));
    write_gauge(out, "gw_keys_accepted", GwEdge_HasProof(edge));
    GwQuotas_WriteMetrics(edge, out);
    write_table(out, "operator", edge->operator_feed, peers.operator_version);
    write_table(out, "servers", edge->server_feed, peers.server_version);
    GwRouter_EachService(edge->router, GwEdge_Now(), write_service, out);
    GwShortages_WriteMetrics(edge->router, GwEdge_Now(), out);
    write_shedding(edge, out);
}

void
GwStatus_WriteDump(GwEdge *edge, GString *out)
{
    GwRouter_Dump(edge->router, GwEdge_Now(), out);
}

static void
add_suspect(void *ctx, const GwSuspect *suspect, GwSuspectState state,
            int64_t until_us)
{
    struct json_object *item = json_object_new_object();
    struct json_object *servers = json_object_new_array();
    char text[GW_FINGERPRINT_TEXT_SIZE];

    GwFingerprint_Format(&suspect->fingerprint, text);
    GwJson_SetText(item, "fingerprint", text);
    GwJson_SetText(item, "state", GwSuspectState_Name(state));
    GwJson_SetU64(item, "crashes", suspect->server_count);
    GwJson_SetU64(item, "age_ms", suspect->age_ms);
    GwJson_SetU64(item, "held_ms",
                  (uint64_t)MAX(until_us - GwEdge_Now(), 0) / 1000);
    for (uint32_t i = 0; i < suspect->server_count; i++) {
        char start[GW_FINGERPRINT_TEXT_SIZE];
        g_snprintf(start, sizeof(start), "%016" PRIx64, suspect->servers[i]);
        json_object_array_add(servers, json_object_new_string(start));
    }
    json_object_object_add(item, "servers", servers);
    json_object_array_add(ctx, item);
}

void
GwStatus_WriteSuspects(GwEdge *edge, GString *out)
{
    struct json_object *all = json_object_new_array();

    GwQuarantine_Each(GwRouter_Quarantine(edge->router), GwEdge_Now(),
                      add_suspect, all);
    g_string_append(
        out, json_object_to_json_string_ext(all, JSON_C_TO_STRING_PLAIN));
    json_object_put(all);
}

static const char *
state_name(const GwEdge *edge)
{
    if (edge->is_stopping) {
        return "leaving";
    }
    return GwEdge_IsReady(edge) ? "ready" : "not-ready";
}

void
GwStatus_Write(GwEdge *edge, GString *out)
{
    const GwRouterParams *own = &edge->settings->router;
    const GwRouting *routing = GwRouter_Routing(edge->router);
    const GwFeed *servers = edge->server_feed;
    const GwPeersView peers = GwPeers_View(edge->peers);
    struct json_object *root = json_object_new_object();
    uint32_t unreached[GW_UNREACHED_MAX];

    GwJson_SetText(root, "name", own->name);
    GwJson_SetText(root, "region", own->region);
    GwJson_SetText(root, "failure_domain", own->domain);
    GwJson_SetText(root, "state", state_name(edge));
    GwJson_SetU64(root, "config_version",
                  routing != NULL ? routing->version : 0);
    GwJson_SetU64(root, "store_era", GwFeed_Era(edge->operator_feed));
    GwJson_SetU64(root, "open_calls", GwRouter_OpenCount(edge->router));
    GwJson_SetU64(root, "servers", GwRouter_ServerCount(edge->router));
    GwJson_SetU64(root, "live", peers.live + 1);
    GwJson_SetU64(root, "news_ms_ago", (uint64_t)GwFeed_AgeMs(servers));
    GwJson_SetU64(root, "loads_ms_ago", (uint64_t)peers.loads_age_ms);
    GwJson_SetBool(root, "reads_store", GwFeed_IsHealthy(servers));
    GwJson_SetU64(
        root, "unreached_services",
        GwRouter_UnreachedServices(edge->router, unreached, GW_UNREACHED_MAX));
    GwJson_SetBool(root, "store_was_away", GwFeed_HadOutage(servers));
    json_object_object_add(root, "shortages",
                           GwShortages_Json(edge->router, GwEdge_Now()));
    json_object_object_add(root, "members", GwPeers_Members(edge->peers));
    g_string_append(
        out, json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
    json_object_put(root);
}
