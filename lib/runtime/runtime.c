/* Start and stop of the runtime, and execution of the node's actions. */
#include "runtime/runtime_internal.h"

#include "member/member.h"

#include <curl/curl.h>
#include <string.h>
#include <sys/random.h>

#define KEY_LEN_MIN 16

/* Executes an action of the node. Pointers whose ownership moves are set to
 * NULL, so that freeing the list skips them. */
static void
execute_action(GwRuntime *rt, GwAction *action)
{
    size_t len;

    switch (action->kind) {
    case GW_ACTION_SEND: {
        GwEnvelope envelope = {
            .kind = GW_ENVELOPE_CONTROL,
            .u.control = action->u.send.message,
        };
        uint8_t *frame = GwCodec_Frame(&envelope, &len);
        GwNet_SendControl(rt->net, action->u.send.address, frame, len);
        break;
    }
    case GW_ACTION_DISPATCH:
        Call_OnDispatch(rt, &action->u.dispatch);
        break;
    case GW_ACTION_RELAY:
        Relay_OnAction(rt, &action->u.relay);
        break;
    case GW_ACTION_CANCEL:
        Call_OnCancel(rt, action->u.cancel.call, action->u.cancel.attempt);
        break;
    case GW_ACTION_FINISH:
        Call_OnFinish(rt, &action->u.finish);
        break;
    case GW_ACTION_TABLE:
        Pollers_OnTable(rt, action->u.table);
        action->u.table = NULL;
        break;
    case GW_ACTION_PUBLISH: /* Runtime_Step published it under node_lock */
        break;
    case GW_ACTION_LOG:
        GwLog_Event(action->u.log.event, "%s", action->u.log.text);
        break;
    case GW_ACTION_STOPPED:
        atomic_store(&rt->stopped, true);
        break;
    }
}

static bool
has_publish_action(const GwActions *actions)
{
    for (uint32_t i = 0; i < actions->count; i++) {
        if (actions->items[i].kind == GW_ACTION_PUBLISH) {
            return true;
        }
    }
    return false;
}

/* Passes an event to the node and executes the resulting actions. Any thread,
 * with no lock held. The clock is read under node_lock so that the time of
 * the node never decreases. */
void
Runtime_Step(GwRuntime *rt, const GwEvent *event)
{
    GwActions actions = {0};

    pthread_mutex_lock(&rt->node_lock);
    int64_t begin_us = GwNet_NowUs();
    GwNode_Step(rt->node, begin_us, event, &actions);
    if (has_publish_action(&actions)) {
        Snapshot_Publish(rt);
    }
    int64_t end_us = GwNet_NowUs();
    pthread_mutex_unlock(&rt->node_lock);
    GwHistogram_Add(&rt->metrics.step_us, (uint64_t)(end_us - begin_us));
    for (uint32_t i = 0; i < actions.count; i++) {
        execute_action(rt, &actions.items[i]);
    }
    GwActions_Free(&actions);
}

static void
on_tick(void *arg)
{
    GwRuntime *rt = arg;
    GwEvent event = {.kind = GW_EVENT_TICK};

    Runtime_Step(rt, &event);
    if (++rt->ticks % RELAY_SWEEP_TICKS == 0) {
        int64_t now_us = GwNet_NowUs();
        Relay_Sweep(rt, now_us);
        pthread_mutex_lock(&rt->call_lock);
        GwAnswers_Expire(rt->answers, now_us);
        pthread_mutex_unlock(&rt->call_lock);
    }
}

static void
on_control(void *arg, const GwMessage *message)
{
    GwRuntime *rt = arg;
    GwEvent event = {.kind = GW_EVENT_MESSAGE, .u.message = message};
    Runtime_Step(rt, &event);
}

/* Reads the first line of a secret file; at least `min` characters. `setting`
 * is the key of the setting, used in errors. */
static char *
read_secret(const char *path, const char *setting, size_t min, GError **error)
{
    char *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, error)) {
        g_prefix_error(error, "%s: ", setting);
        return NULL;
    }
    text[strcspn(text, "\r\n")] = '\0';
    if (strlen(text) < min) {
        g_set_error(error, GW_ERROR, GW_RESULT_OUT_OF_BOUNDS,
                    "%s: %s holds fewer than %u characters", setting, path,
                    (unsigned)min);
        g_free(text);
        return NULL;
    }
    return text;
}

/* The start id is the wall-clock time in microseconds, so that it grows from
 * start to start. */
static void
set_identity(GwRuntime *rt)
{
    GwNodeParams *params = &rt->params;
    params->id.node = GwName_Hash64(params->name);
    params->id.start = (uint64_t)g_get_real_time();
    if (params->seed == 0 &&
        getrandom(&params->seed, sizeof(params->seed), 0) < 0) {
        params->seed = params->id.start;
    }
}

static bool
create_net(GwRuntime *rt, const char *key, GError **error)
{
    const GwSettings *settings = rt->settings;
    GwNetParams params = {
        .id = rt->params.id,
        .region = GwName_Hash32(rt->params.region),
        .domain = GwName_Hash32(rt->params.domain),
        .key = (const uint8_t *)key,
        .key_len = strlen(key),
        .delay_count = settings->delay_count,
    };
    GwNetHost host = {
        .ctx = rt,
        .tick = on_tick,
        .control = on_control,
        .call = Relay_OnCall,
        .reply = Relay_OnReply,
        .cancel = Relay_OnPeerCancel,
        .call_lost = Relay_OnLost,
    };
    g_strlcpy(params.listen_address, rt->params.peer_address, GW_ADDR_MAX);
    for (uint32_t i = 0; i < settings->delay_count; i++) {
        const char *region = settings->delays[i].region;
        params.delays[i] = (GwNetDelay){
            .region = region[0] != '\0' ? GwName_Hash32(region) : 0,
            .one_way_us = settings->delays[i].one_way_us,
        };
    }
    rt->net = GwNet_Create(&params, &host, error);
    return rt->net != NULL;
}

static void
create_tables(GwRuntime *rt)
{
    pthread_mutex_init(&rt->node_lock, NULL);
    pthread_mutex_init(&rt->call_lock, NULL);
    pthread_mutex_init(&rt->retired_lock, NULL);
    rt->retired = g_ptr_array_new();
    rt->open = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                     (GDestroyNotify)Call_Unref);
    rt->relays = g_hash_table_new(g_int64_hash, g_int64_equal);
    rt->relayed_in =
        g_hash_table_new_full(RelayKey_Hash, RelayKey_Equal, g_free, g_free);
    rt->answers = GwAnswers_Create(KEPT_ANSWERS_MAX_BYTES);
    rt->dispatcher = GwDispatcher_Create();
    rt->node = GwNode_Create(&rt->params);
}

static void
create_clients(GwRuntime *rt)
{
    const GwSettings *s = rt->settings;
    rt->table = GwTableClient_Create(s->platform_url, s->platform_timeout_ms);
    rt->objects =
        GwObjectClient_Create(s->platform_url, s->platform_timeout_ms);
    rt->list =
        GwInstanceListClient_Create(s->platform_url, s->platform_timeout_ms);
    rt->hedge_pool = GwWorkers_Create(Call_RunHedge, rt, HEDGE_THREADS);
    rt->relay_pool = GwWorkers_Create(Relay_Serve, rt, s->relay_threads);
    rt->table_pool = GwWorkers_Create(Pollers_RunTable, rt, TABLE_THREADS);
}

static bool
start_threads(GwRuntime *rt, GError **error)
{
    GwAdminHost host = Report_AdminHost(rt);

    GwNet_Start(rt->net);
    pthread_create(&rt->list_thread, NULL, Pollers_ListThread, rt);
    pthread_create(&rt->health_thread, NULL, Pollers_HealthThread, rt);
    rt->threads_running = true;
    if (!Caller_Start(rt, error)) {
        return false;
    }
    rt->admin = GwAdmin_Start(&host, rt->settings->admin_address, error);
    return rt->admin != NULL;
}

GwRuntime *
GwRuntime_Start(const GwSettings *settings, GError **error)
{
    GwRuntime *rt = g_new0(GwRuntime, 1);
    char *key = read_secret(settings->cluster_key_file, "cluster_key_file",
                            KEY_LEN_MIN, error);

    curl_global_init(CURL_GLOBAL_DEFAULT);
    rt->settings = settings;
    rt->params = settings->node;
    set_identity(rt);
    create_tables(rt);
    bool is_ok = key != NULL;
    if (is_ok) {
        rt->admin_token = read_secret(settings->admin_token_file,
                                      "admin_token_file", 1, error);
        is_ok = rt->admin_token != NULL && create_net(rt, key, error);
    }
    g_free(key);
    if (is_ok) {
        create_clients(rt);
        is_ok = start_threads(rt, error);
    }
    if (!is_ok) {
        GwRuntime_Free(rt);
        return NULL;
    }
    GwLog_Event(GW_LOG_START, "instance=%s region=%s start=%" G_GUINT64_FORMAT,
                rt->params.name, rt->params.region, rt->params.id.start);
    return rt;
}

void
GwRuntime_BeginStop(GwRuntime *rt)
{
    GwEvent event = {.kind = GW_EVENT_GRACEFUL_STOP};

    if (atomic_exchange(&rt->leaving, true)) {
        return;
    }
    GwLog_Event(GW_LOG_STOP_BEGIN, "instance=%s", rt->params.name);
    Runtime_Step(rt, &event);
}

bool
GwRuntime_IsStopped(GwRuntime *rt)
{
    return atomic_load(&rt->stopped);
}

/* Ends running calls first, while the tick still runs, then the threads that
 * may step the node, then the worker pools they use. */
static void
stop_threads(GwRuntime *rt)
{
    if (rt->admin != NULL) {
        GwAdmin_Stop(rt->admin);
    }
    if (rt->http != NULL) {
        mg_stop(rt->http);
    }
    atomic_store(&rt->closing, true);
    while (atomic_load(&rt->relays_active) > 0) {
        g_usleep(1000);
    }
    GwNet_Stop(rt->net);
    if (rt->threads_running) {
        pthread_join(rt->list_thread, NULL);
        pthread_join(rt->health_thread, NULL);
    }
    GwWorkers_Free(rt->hedge_pool);
    GwWorkers_Free(rt->relay_pool);
    GwWorkers_Free(rt->table_pool);
}

void
GwRuntime_Free(GwRuntime *rt)
{
    if (rt == NULL) {
        return;
    }
    stop_threads(rt);
    GwNet_Free(rt->net);
    GwDispatcher_Free(rt->dispatcher);
    GwTableClient_Free(rt->table);
    GwObjectClient_Free(rt->objects);
    GwInstanceListClient_Free(rt->list);
    GwNode_Free(rt->node);
    Snapshot_FreeRetired(rt);
    g_ptr_array_free(rt->retired, TRUE);
    Snapshot_Free(rt->snapshot);
    g_hash_table_destroy(rt->open);
    g_hash_table_destroy(rt->relays);
    g_hash_table_destroy(rt->relayed_in);
    GwAnswers_Free(rt->answers);
    g_free(rt->admin_token);
    g_free(rt);
}
