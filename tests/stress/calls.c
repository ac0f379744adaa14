/* One daemon in this process under all its threads at once: callers, changes
 * of the configuration, readers of dump and metrics, then a graceful stop
 * with calls in flight. Every call must end with an outcome, none may be cut
 * off by the stop, and no booking may run twice. */
#include "common/client.h"
#include "common/http.h"
#include "fakes/platform.h"
#include "runtime/runtime_internal.h"

#include <stdio.h>
#include <string.h>

enum {
    CALLERS = 8,
    CALLS = 120, /* a caller, before the stop */
    CHANGES = 8, /* of the configuration */
    SERVICE_US = 1000
};

typedef struct {
    FakePlatform *platform;
    FakeBackends backends;
    FakeEntry entry;
    pthread_mutex_t lock; /* guards the journal */
    GHashTable *journal;  /* body of a booking to its runs */
    atomic_uint made;     /* calls so far */
    atomic_bool stop;     /* no new calls */
    atomic_bool quiet;    /* no new changes and readings */
    atomic_uint answered;
    atomic_uint not_run;
    atomic_uint unknown;
    atomic_uint cut; /* no whole reply, or none of the three outcomes */
    atomic_uint not_sent;
    atomic_uint false_refusals;
} World;

static uint32_t
runs_of(World *w, const char *key)
{
    pthread_mutex_lock(&w->lock);
    uint32_t runs = GPOINTER_TO_UINT(g_hash_table_lookup(w->journal, key));
    pthread_mutex_unlock(&w->lock);
    return runs;
}

static int
on_request(struct mg_connection *conn, void *ctx)
{
    World *w = ctx;
    char *key = GsHttp_ReadBody(conn);
    if (key != NULL && key[0] != '\0') {
        pthread_mutex_lock(&w->lock);
        gpointer runs = g_hash_table_lookup(w->journal, key);
        g_hash_table_replace(w->journal, g_strdup(key),
                             GUINT_TO_POINTER(GPOINTER_TO_UINT(runs) + 1));
        pthread_mutex_unlock(&w->lock);
    }
    g_usleep(SERVICE_US);
    int status = GsHttp_Reply(conn, 200, "GW-Load: 1\r\n", key);
    g_free(key);
    return status;
}

/* Two servers; each change moves the slots of the first. */
static void
set_config(World *w, uint32_t slots)
{
    char *text = g_strdup_printf(
        "{\"warmup_step\": 20, \"regions\": [{\"name\": \"r0\", \"seats\": 2}]"
        ", \"services\": [{\"name\": \"s\", \"deadline_max_ms\": 60000, "
        "\"hedge_percentile\": 90, \"operations\": [{\"method\": \"GET\", "
        "\"path\": \"/*\", \"idempotent\": true}]}], \"places\": ["
        "{\"service\": \"s\", \"region\": \"r0\", \"backends\": ["
        "{\"name\": \"a\", \"address\": \"%s\", \"slots\": %u, "
        "\"connections\": 330}, {\"name\": \"b\", \"address\": \"%s\", "
        "\"slots\": 3, \"connections\": 330}]}], \"shifts\": [], "
        "\"links\": []}",
        w->backends.addresses[0], slots, w->backends.addresses[1]);
    FakePlatform_SetConfig(w->platform, text);
    g_free(text);
}

static void
take_ticket(GsClient *client, const char *address, char *out)
{
    GsRequest request = {
        .method = "GET",
        .address = address,
        .path = "/v1/entries/s?tickets=1",
        .timeout_ms = 60000,
    };
    GsReply reply;
    const char *mark = "\"tickets\":[\"";
    out[0] = '\0';
    if (GsClient_Send(client, &request, &reply) == GS_SEND_WHOLE &&
        strstr(reply.body->str, mark) != NULL) {
        const char *at = strstr(reply.body->str, mark) + strlen(mark);
        g_strlcpy(out, at, MIN(strcspn(at, "\"") + 1, GW_TICKET_TEXT_MAX));
    }
    GsReply_Clear(&reply);
}

/* Judges the end of one call. */
static void
judge(World *w, GsSend sent, const GsReply *reply, const char *key)
{
    if (sent == GS_SEND_NOTHING_SENT) {
        atomic_fetch_add(&w->not_sent, 1);
    }
    else if (sent != GS_SEND_WHOLE) {
        atomic_fetch_add(&w->cut, 1);
    }
    else if (strcmp(reply->outcome, "answered") == 0) {
        atomic_fetch_add(&w->answered, 1);
    }
    else if (strcmp(reply->outcome, "unknown") == 0) {
        atomic_fetch_add(&w->unknown, 1);
    }
    else if (strcmp(reply->outcome, "not-run") == 0) {
        atomic_fetch_add(&w->not_run, 1);
        if (key != NULL && runs_of(w, key) > 0) {
            atomic_fetch_add(&w->false_refusals, 1);
        }
    }
    else {
        atomic_fetch_add(&w->cut, 1);
    }
}

static void
call_once(World *w, GsClient *client, uint32_t number)
{
    bool books = number % 2 == 0;
    char key[32];
    char ticket[GW_TICKET_TEXT_MAX] = "";
    GsReply reply;

    g_snprintf(key, sizeof(key), "k%u", number);
    if (books) {
        take_ticket(client, w->entry.call_address, ticket);
    }
    GsRequest request = {
        .method = books ? "POST" : "GET",
        .address = w->entry.call_address,
        .path = "/v1/call/s/x",
        .ticket = ticket[0] != '\0' ? ticket : NULL,
        .body = books ? key : NULL,
        .deadline_ms = 4000,
        .timeout_ms = 90000,
    };
    GsSend sent = GsClient_Send(client, &request, &reply);
    judge(w, sent, &reply, books ? key : NULL);
    GsReply_Clear(&reply);
}

/* Until one call is answered: the entry has a configuration and seats. */
static void
await_ready(World *w)
{
    GsClient client;
    bool ready = false;
    GsClient_Init(&client);
    while (!ready) {
        GsReply reply;
        GsRequest request = {
            .method = "GET",
            .address = w->entry.call_address,
            .path = "/v1/call/s/x",
            .deadline_ms = 1000,
            .timeout_ms = 60000,
        };
        ready = GsClient_Send(&client, &request, &reply) == GS_SEND_WHOLE &&
                strcmp(reply.outcome, "answered") == 0;
        GsReply_Clear(&reply);
        g_usleep(10000);
    }
    GsClient_Clear(&client);
}

static void *
run_caller(void *arg)
{
    World *w = arg;
    GsClient client;
    GsClient_Init(&client);
    while (!atomic_load(&w->stop)) {
        call_once(w, &client, atomic_fetch_add(&w->made, 1));
    }
    GsClient_Clear(&client);
    return NULL;
}

static void *
run_changes(void *arg)
{
    World *w = arg;
    for (uint32_t i = 0; i < CHANGES && !atomic_load(&w->quiet); i++) {
        g_usleep(100000);
        set_config(w, 2 + i % 2);
    }
    return NULL;
}

static void *
run_readers(void *arg)
{
    World *w = arg;
    GwAdminHost host = Report_AdminHost(w->entry.rt);
    while (!atomic_load(&w->quiet)) {
        uint64_t version;
        g_free(host.dump(host.ctx));
        g_free(host.metrics(host.ctx));
        g_free(host.status(host.ctx));
        g_free(host.config_text(host.ctx, &version));
        g_usleep(2000);
    }
    return NULL;
}

static uint32_t
count_doubled(World *w)
{
    uint32_t doubled = 0;
    GHashTableIter iter;
    gpointer runs;
    g_hash_table_iter_init(&iter, w->journal);
    while (g_hash_table_iter_next(&iter, NULL, &runs)) {
        doubled += GPOINTER_TO_UINT(runs) > 1;
    }
    return doubled;
}

/* The stop is ordered while the callers are at work; each ends the call it
 * is in and makes no other. */
static void
run_all(World *w)
{
    pthread_t callers[CALLERS];
    pthread_t changes;
    pthread_t readers;

    for (uint32_t i = 0; i < CALLERS; i++) {
        pthread_create(&callers[i], NULL, run_caller, w);
    }
    pthread_create(&changes, NULL, run_changes, w);
    pthread_create(&readers, NULL, run_readers, w);
    while (atomic_load(&w->made) < CALLERS * CALLS) {
        g_usleep(1000);
    }
    atomic_store(&w->stop, true);
    GwRuntime_BeginStop(w->entry.rt);
    for (uint32_t i = 0; i < CALLERS; i++) {
        pthread_join(callers[i], NULL);
    }
    while (!GwRuntime_IsStopped(w->entry.rt)) {
        g_usleep(1000);
    }
    atomic_store(&w->quiet, true);
    pthread_join(changes, NULL);
    pthread_join(readers, NULL);
}

int
main(void)
{
    World w = {.lock = PTHREAD_MUTEX_INITIALIZER};

    w.journal = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    w.platform = FakePlatform_Start();
    FakeBackends_Start(&w.backends, 2, on_request, &w);
    set_config(&w, 3);
    FakeEntry_Start(&w.entry, w.platform, "e0", "r0", "");
    await_ready(&w);
    run_all(&w);
    FakeEntry_Stop(&w.entry);
    FakeBackends_Stop(&w.backends);
    FakePlatform_Stop(w.platform);
    uint32_t doubled = count_doubled(&w);
    uint32_t ended = w.answered + w.not_run + w.unknown;
    printf("%u calls: %u answered, %u not run, %u unknown, %u not sent, "
           "%u cut off, %u doubled, %u false refusals\n",
           w.made, w.answered, w.not_run, w.unknown, w.not_sent, w.cut,
           doubled, w.false_refusals);
    g_hash_table_destroy(w.journal);
    return ended + w.not_sent == w.made && w.cut == 0 && doubled == 0 &&
                   w.false_refusals == 0 && w.answered > 0
               ? 0
               : 1;
}
