/* Background work: table requests, polling of the instance list and of the
 * health of this region's backend servers. */
#include "runtime/runtime_internal.h"

#include <curl/curl.h>
#include <json-c/json.h>
#include <string.h>

#define HEALTH_TIMEOUT_MS      500
#define HEALTH_BODY_MAX        4096
#define SLEEP_STEP_MS          20
#define FREE_RETIRED_PERIOD_US 1000000LL

typedef struct {
    GwTableRequest *request;
    int64_t queued_us;
} TableJob;

void
Pollers_OnTable(GwRuntime *rt, GwTableRequest *request)
{
    TableJob *job = g_new0(TableJob, 1);
    job->request = request;
    job->queued_us = GwNet_NowUs();
    GwCounter_Add(&rt->metrics.table_requests, 1);
    GwWorkers_Push(rt->table_pool, job);
}

static void
free_request(GwTableRequest *request)
{
    for (uint32_t i = 0; i < request->row_count; i++) {
        g_free(request->rows[i].value);
    }
    g_free(request);
}

/* Sends a table request and reports the reply. A request that was queued for 3
 * platform time-outs, or is still queued at shutdown, is reported as lost
 * without being sent: the node has made newer requests, and the queue stays
 * short. */
void
Pollers_RunTable(void *job, void *arg)
{
    GwRuntime *rt = arg;
    TableJob *table_job = job;
    GwTableReply reply = {
        .token = table_job->request->token,
        .status = GW_TABLE_LOST,
    };
    int64_t limit_us = (int64_t)rt->settings->platform_timeout_ms * 3000;

    if (!atomic_load(&rt->closing) &&
        GwNet_NowUs() - table_job->queued_us < limit_us) {
        GwTableClient_Do(rt->table, table_job->request, &reply);
    }
    if (reply.status == GW_TABLE_LOST) {
        GwCounter_Add(&rt->metrics.table_lost, 1);
    }
    GwEvent event = {.kind = GW_EVENT_TABLE, .u.table = &reply};
    Runtime_Step(rt, &event);
    GwTableReply_Clear(&reply);
    free_request(table_job->request);
    g_free(table_job);
}

/* Sleeps in steps of SLEEP_STEP_MS, to notice a stop soon. */
static void
sleep_until(GwRuntime *rt, int64_t until_us)
{
    while (!atomic_load(&rt->closing) && GwNet_NowUs() < until_us) {
        g_usleep(SLEEP_STEP_MS * 1000);
    }
}

/* Frees retired snapshots every FREE_RETIRED_PERIOD_US, independently of the
 * list's period: up to five a second are retired, each with a copy of every
 * look-up. */
static void
free_retired_until(GwRuntime *rt, int64_t until_us)
{
    int64_t now_us = GwNet_NowUs();

    do {
        Snapshot_FreeRetired(rt);
        sleep_until(rt, MIN(until_us, now_us + FREE_RETIRED_PERIOD_US));
        now_us = GwNet_NowUs();
    } while (!atomic_load(&rt->closing) && now_us < until_us);
}

void *
Pollers_ListThread(void *arg)
{
    GwRuntime *rt = arg;

    while (!atomic_load(&rt->closing)) {
        GwInstanceList list = {0};
        int64_t start_us = GwNet_NowUs();
        if (!GwResult_IsError(GwInstanceListClient_Read(rt->list, &list))) {
            GwEvent event = {.kind = GW_EVENT_INSTANCE_LIST, .u.list = &list};
            Runtime_Step(rt, &event);
        }
        int64_t period_us =
            GwInstanceList_PeriodUs(rt->settings->list_poll_ms, list.count);
        GwInstanceList_Clear(&list);
        free_retired_until(rt, start_us + period_us);
    }
    return NULL;
}

typedef struct {
    CURL *easy;
    uint64_t backend;
    bool reachable;
    GString *body;
} HealthRequest;

static size_t
append_body(char *bytes, size_t size, size_t count, void *arg)
{
    GString *body = arg;
    size_t len = size * count;
    if (body->len + len > HEALTH_BODY_MAX) {
        return 0;
    }
    g_string_append_len(body, bytes, (gssize)len);
    return len;
}

static void
start_health_request(CURLM *multi, const PolledBackend *backend,
                     HealthRequest *health_request)
{
    char url[GW_ADDR_MAX + 32];
    g_snprintf(url, sizeof(url), "http://%s/health", backend->address);
    health_request->backend = backend->id;
    health_request->body = g_string_new(NULL);
    health_request->easy = curl_easy_init();
    curl_easy_setopt(health_request->easy, CURLOPT_URL, url);
    curl_easy_setopt(health_request->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(health_request->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(health_request->easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(health_request->easy, CURLOPT_TIMEOUT_MS,
                     (long)HEALTH_TIMEOUT_MS);
    curl_easy_setopt(health_request->easy, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(health_request->easy, CURLOPT_WRITEDATA,
                     health_request->body);
    curl_easy_setopt(health_request->easy, CURLOPT_PRIVATE, health_request);
    curl_multi_add_handle(multi, health_request->easy);
}

static void
run_health_requests(CURLM *multi)
{
    int running = 1;
    int messages_left = 0;
    CURLMsg *msg;

    while (running > 0) {
        if (curl_multi_perform(multi, &running) != CURLM_OK) {
            break;
        }
        if (running > 0) {
            curl_multi_poll(multi, NULL, 0, SLEEP_STEP_MS, NULL);
        }
    }
    while ((msg = curl_multi_info_read(multi, &messages_left)) != NULL) {
        HealthRequest *health_request = NULL;
        long status = 0;
        curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &health_request);
        curl_easy_getinfo(msg->easy_handle, CURLINFO_RESPONSE_CODE, &status);
        health_request->reachable =
            msg->data.result == CURLE_OK && status == 200;
    }
}

static void
parse_health(const HealthRequest *health_request, GwHealthEvent *health)
{
    json_object *root = json_tokener_parse(health_request->body->str);
    json_object *value = NULL;

    if (json_object_is_type(root, json_type_object)) {
        if (json_object_object_get_ex(root, "draining", &value)) {
            health->draining = json_object_get_boolean(value) != 0;
        }
        if (json_object_object_get_ex(root, "load", &value) &&
            json_object_is_type(value, json_type_int) &&
            json_object_get_int64(value) >= 0) {
            health->has_load = true;
            health->reported_load = (uint32_t)json_object_get_int64(value);
        }
    }
    json_object_put(root);
}

static void
finish_health_request(GwRuntime *rt, CURLM *multi,
                      HealthRequest *health_request)
{
    GwEvent event = {
        .kind = GW_EVENT_HEALTH,
        .u.health =
            {
                .backend = health_request->backend,
                .reachable = health_request->reachable,
            },
    };
    if (health_request->reachable) {
        parse_health(health_request, &event.u.health);
    }
    Runtime_Step(rt, &event);
    curl_multi_remove_handle(multi, health_request->easy);
    curl_easy_cleanup(health_request->easy);
    g_string_free(health_request->body, TRUE);
}

static PolledBackend *
copy_polled_backends(GwRuntime *rt, uint32_t *count, uint32_t *region_entries)
{
    PolledBackend *backends = NULL;
    const Snapshot *snapshot = Snapshot_ReadLock(rt);
    *count = snapshot != NULL ? snapshot->backend_count : 0;
    *region_entries = snapshot != NULL ? snapshot->region_entries : 0;
    if (*count > 0) {
        backends = g_memdup2(snapshot->backends, *count * sizeof(*backends));
    }
    Snapshot_ReadUnlock();
    return backends;
}

/* Trims nothing before a configuration is active. */
static void
trim_pool(GwRuntime *rt, const PolledBackend *backends, uint32_t count,
          uint32_t region_entries)
{
    if (region_entries == 0) {
        return;
    }
    GwDispatchServer *servers = g_new0(GwDispatchServer, count);
    for (uint32_t i = 0; i < count; i++) {
        uint32_t share =
            backends[i].connections / IDLE_MAX_DIVISOR / region_entries;
        servers[i] = (GwDispatchServer){
            .address = backends[i].address,
            .idle_max = MAX(share, 1),
        };
    }
    GwDispatcher_Trim(rt->dispatcher, servers, count, GwNet_NowUs());
    g_free(servers);
}

/* Polls all servers in parallel: a server that does not answer must not delay
 * the polls of the others. */
void *
Pollers_HealthThread(void *arg)
{
    GwRuntime *rt = arg;
    CURLM *multi = curl_multi_init();

    Snapshot_RegisterThread();
    while (!atomic_load(&rt->closing)) {
        uint32_t count;
        uint32_t region_entries;
        int64_t next_us =
            GwNet_NowUs() + (int64_t)rt->settings->health_poll_ms * 1000;
        PolledBackend *backends =
            copy_polled_backends(rt, &count, &region_entries);
        trim_pool(rt, backends, count, region_entries);
        HealthRequest *health_requests = g_new0(HealthRequest, count);
        for (uint32_t i = 0; i < count; i++) {
            start_health_request(multi, &backends[i], &health_requests[i]);
        }
        run_health_requests(multi);
        for (uint32_t i = 0; i < count; i++) {
            finish_health_request(rt, multi, &health_requests[i]);
        }
        g_free(health_requests);
        g_free(backends);
        sleep_until(rt, next_us);
    }
    Snapshot_UnregisterThread();
    curl_multi_cleanup(multi);
    return NULL;
}
