/* Dump, metrics and status of the process for operators. */
#include "runtime/runtime_internal.h"

#include <string.h>
#include <xxhash.h>

static uint32_t
table_size(GwRuntime *rt, GHashTable *table)
{
    pthread_mutex_lock(&rt->call_lock);
    uint32_t size = g_hash_table_size(table);
    pthread_mutex_unlock(&rt->call_lock);
    return size;
}

static uint32_t
count_kept_answers(GwRuntime *rt)
{
    pthread_mutex_lock(&rt->call_lock);
    uint32_t count = GwAnswers_Count(rt->answers);
    pthread_mutex_unlock(&rt->call_lock);
    return count;
}

char *
GwRuntime_Dump(GwRuntime *rt)
{
    GwNetStats net;
    GwDispatchStats dispatch;

    pthread_mutex_lock(&rt->node_lock);
    char *node = GwNode_Dump(rt->node, GwNet_NowUs());
    pthread_mutex_unlock(&rt->node_lock);
    GwNet_Stats(rt->net, &net);
    GwDispatcher_Stats(rt->dispatcher, &dispatch);
    char *text = g_strdup_printf(
        "{\"runtime\": {\"open_calls\": %u, \"relays\": %u, "
        "\"kept_answers\": %u, \"links\": %u, \"connections_opened\": "
        "%" G_GUINT64_FORMAT ", \"connections_reused\": %" G_GUINT64_FORMAT
        ", \"resends_stopped\": %" G_GUINT64_FORMAT "}, \"node\": %s}",
        table_size(rt, rt->open), table_size(rt, rt->relays),
        count_kept_answers(rt), net.links, dispatch.opened, dispatch.reused,
        dispatch.resends_stopped, node);
    g_free(node);
    return text;
}

static char *
dump(void *ctx)
{
    return GwRuntime_Dump(ctx);
}

typedef struct {
    const char *name;
    const char *help;
    uint64_t value;
} MetricLine;

static void
append_counters(GString *out, const MetricLine *lines, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        GwMetrics_Counter(out, lines[i].name, lines[i].help, lines[i].value);
    }
}

static void
append_calls(GString *out, const RuntimeMetrics *m)
{
    const MetricLine lines[] = {
        {"gw_calls_answered_total", "Calls that ended answered.",
         GwCounter_Get(&m->answered)},
        {"gw_calls_not_run_total", "Calls that ended not-run.",
         GwCounter_Get(&m->not_run)},
        {"gw_calls_unknown_total", "Calls that ended unknown.",
         GwCounter_Get(&m->unknown)},
        {"gw_attempts_total", "Attempts at backend servers.",
         GwCounter_Get(&m->attempts)},
        {"gw_relays_out_total", "Calls relayed to peers.",
         GwCounter_Get(&m->relays_out)},
        {"gw_relays_in_total", "Calls relayed by peers.",
         GwCounter_Get(&m->relays_in)},
        {"gw_lookups_total", "Look-ups answered.", GwCounter_Get(&m->lookups)},
        {"gw_table_requests_total", "Requests to the platform's table.",
         GwCounter_Get(&m->table_requests)},
        {"gw_table_lost_total", "Table requests without an answer.",
         GwCounter_Get(&m->table_lost)},
        {"gw_answers_missing_total",
         "Resends whose answer was no longer kept.",
         GwCounter_Get(&m->answers_missing)},
        {"gw_callers_refused_total",
         "Calls refused unread: too few caller threads.",
         GwCounter_Get(&m->callers_refused)},
        {"gw_calls_overdue_total",
         "Calls ended as unknown after the node did not finish them.",
         GwCounter_Get(&m->overdue)},
    };
    append_counters(out, lines, G_N_ELEMENTS(lines));
}

static void
append_net(GString *out, GwRuntime *rt)
{
    GwNetStats net;
    GwDispatchStats dispatch;
    GwNet_Stats(rt->net, &net);
    GwDispatcher_Stats(rt->dispatcher, &dispatch);
    const MetricLine lines[] = {
        {"gw_frames_in_total", "Frames from peers.", net.frames_in},
        {"gw_frames_out_total", "Frames to peers.", net.frames_out},
        {"gw_peer_bytes_in_total", "Bytes from peers.", net.bytes_in},
        {"gw_peer_bytes_out_total", "Bytes to peers.", net.bytes_out},
        {"gw_frames_dropped_total",
         "Frames dropped: queue full or no connection.", net.dropped},
        {"gw_links_silent_total",
         "Peer connections closed after an unanswered ping.",
         net.closed_silent},
        {"gw_links_refused_total",
         "Peer connections that failed the handshake.", net.refused},
        {"gw_connections_opened_total", "Connections to backend servers.",
         dispatch.opened},
        {"gw_connections_reused_total", "Attempts on pooled connections.",
         dispatch.reused},
        {"gw_resends_stopped_total",
         "Automatic resends by libcurl that were prevented.",
         dispatch.resends_stopped},
    };
    append_counters(out, lines, G_N_ELEMENTS(lines));
    GwMetrics_Gauge(out, "gw_connections_idle",
                    "Idle connections to backend servers.", dispatch.idle);
    GwMetrics_Gauge(out, "gw_links", "Connections to and from peers.",
                    net.links);
}

static char *
metrics(void *ctx)
{
    GwRuntime *rt = ctx;
    const RuntimeMetrics *m = &rt->metrics;
    GString *out = g_string_new(NULL);

    append_calls(out, m);
    append_net(out, rt);
    GwMetrics_Gauge(out, "gw_open_calls", "Open calls in this process.",
                    table_size(rt, rt->open));
    GwMetrics_Gauge(out, "gw_caller_connections",
                    "Connections of callers, each occupying a thread.",
                    atomic_load(&rt->caller_connections));
    GwMetrics_Summary(out, "gw_step_us", "Time of one step of the node.",
                      &m->step_us);
    GwMetrics_Summary(out, "gw_call_us", "Time of a call at this entry.",
                      &m->call_us);
    GwMetrics_Summary(out, "gw_attempt_us", "Time of one attempt.",
                      &m->attempt_us);
    return g_string_free(out, FALSE);
}

static char *
config_text(void *ctx, uint64_t *version)
{
    GwRuntime *rt = ctx;
    char *text = NULL;

    Snapshot_RegisterThread();
    const Snapshot *snapshot = Snapshot_ReadLock(rt);
    *version = 0;
    if (snapshot != NULL && snapshot->text != NULL) {
        gsize len;
        const char *bytes = g_bytes_get_data(snapshot->text, &len);
        text = g_strndup(bytes, len);
        *version = snapshot->config_version;
    }
    Snapshot_ReadUnlock();
    Snapshot_UnregisterThread();
    return text;
}

static void
publish_config(void *ctx, uint64_t version, const char *text, uint32_t len)
{
    GwRuntime *rt = ctx;
    GwMessage *msg = GwMessage_Create(GW_MSG_CONFIG_DOC, rt->params.id);
    msg->u.doc = (GwConfigDoc){
        .version = version,
        .checksum = XXH64(text, len, 0),
        .text_len = len,
        .text = g_strndup(text, len),
    };
    GwEvent event = {.kind = GW_EVENT_MESSAGE, .u.message = msg};
    Runtime_Step(rt, &event);
    GwMessage_Free(msg);
}

static char *
status(void *ctx)
{
    GwRuntime *rt = ctx;
    uint64_t version;
    GwTicket none;

    g_free(config_text(rt, &version));
    pthread_mutex_lock(&rt->node_lock);
    GwResult r = GwNode_MintTickets(rt->node, GwNet_NowUs(), 0, &none);
    pthread_mutex_unlock(&rt->node_lock);
    const char *state = atomic_load(&rt->leaving) ? "leaving"
                        : GwResult_IsError(r)     ? "not-ready"
                                                  : "ready";
    return g_strdup_printf(
        "{\"name\": \"%s\", \"region\": \"%s\", \"failure_domain\": \"%s\", "
        "\"start\": %" G_GUINT64_FORMAT ", \"state\": \"%s\", "
        "\"config_version\": %" G_GUINT64_FORMAT ", \"open_calls\": %u}",
        rt->params.name, rt->params.region, rt->params.domain,
        rt->params.id.start, state, version, table_size(rt, rt->open));
}

/* The look-up answer that callers get, without tickets. */
static char *
entries(void *ctx, const char *service)
{
    GwRuntime *rt = ctx;
    char *text = NULL;

    Snapshot_RegisterThread();
    const Snapshot *snapshot = Snapshot_ReadLock(rt);
    const ServiceView *view =
        snapshot != NULL ? Snapshot_Service(snapshot, service) : NULL;
    if (view != NULL) {
        text = g_strconcat(view->entries[view->redirect_draws], "}", NULL);
    }
    Snapshot_ReadUnlock();
    Snapshot_UnregisterThread();
    return text;
}

GwAdminHost
Report_AdminHost(GwRuntime *rt)
{
    return (GwAdminHost){
        .ctx = rt,
        .dump = dump,
        .metrics = metrics,
        .token = rt->admin_token,
        .table = rt->table,
        .objects = rt->objects,
        .snapshot_every = rt->settings->snapshot_every,
        .config_text = config_text,
        .publish_config = publish_config,
        .status = status,
        .entries = entries,
    };
}
