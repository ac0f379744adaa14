/* Runs one entry in this process with concurrent callers, configuration
 * changes and readers of dump and metrics, then a graceful stop with calls in
 * flight. Every call must end with an outcome, the stop may cut off none, and
 * no non-idempotent call may run twice. */
#include "common/client.h"
#include "common/http.h"
#include "fakes/platform.h"
#include "runtime/runtime_internal.h"

#include <stdio.h>
#include <string.h>

enum {
    CALLERS = 8,
    CALLS = 120, /* per caller, before the stop */
    CHANGES = 8, /* configuration changes */
    SERVICE_US = 1000
};

typedef struct {
    FakePlatform *platform;
    FakeBackends backends;
    FakeEntry entry;
    pthread_mutex_t lock; /* guards the journal */
    GHashTable *journal;  /* body of a non-idempotent call -> number of runs */
    atomic_uint made;     /* calls started */
    atomic_bool stop;     /* callers start no new calls */
    atomic_bool quiet;    /* changes and readers stop */
    atomic_uint answered;
    atomic_uint not_run;
    atomic_uint unknown;
    atomic_uint cut; /* incomplete reply, or an invalid outcome */
    atomic_uint not_sent;
    atomic_uint false_refusals;
} Fixture;

static uint32_t
runs_of(Fixture *f, const char *key)
{
    pthread_mutex_lock(&f->lock);
    uint32_t runs = GPOINTER_TO_UINT(g_hash_table_lookup(f->journal, key));
    pthread_mutex_unlock(&f->lock);
    return runs;
}

static int
on_request(struct mg_connection *conn, void *ctx)
{
    Fixture *f = ctx;
    char *key = GsHttp_ReadBody(conn);
    if (key != NULL && key[0] != '\0') {
        pthread_mutex_lock(&f->lock);
        gpointer runs = g_hash_table_lookup(f->journal, key);
        g_hash_table_replace(f->journal, g_strdup(key),
                             GUINT_TO_POINTER(GPOINTER_TO_UINT(runs) + 1));
        pthread_mutex_unlock(&f->lock);
    }
    g_usleep(SERVICE_US);
    int status = GsHttp_Reply(conn, 200, "GW-Load: 1\r\n", key);
    g_free(key);
    return status;
}

/* Writes a configuration of two servers; `slots` is of the first. */
static void
set_config(Fixture *f, uint32_t slots)
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
        f->backends.addresses[0], slots, f->backends.addresses[1]);
    FakePlatform_SetConfig(f->platform, text);
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
    if (GsClient_Send(client, &request, &reply) == GS_SEND_COMPLETE &&
        strstr(reply.body->str, mark) != NULL) {
        const char *at = strstr(reply.body->str, mark) + strlen(mark);
        g_strlcpy(out, at, MIN(strcspn(at, "\"") + 1, GW_TICKET_TEXT_MAX));
    }
    GsReply_Clear(&reply);
}

/* Counts the outcome of a call. */
static void
count_outcome(Fixture *f, GsSendResult sent, const GsReply *reply,
              const char *key)
{
    if (sent == GS_SEND_NOTHING_SENT) {
        atomic_fetch_add(&f->not_sent, 1);
    }
    else if (sent != GS_SEND_COMPLETE) {
        atomic_fetch_add(&f->cut, 1);
    }
    else if (strcmp(reply->outcome, "answered") == 0) {
        atomic_fetch_add(&f->answered, 1);
    }
    else if (strcmp(reply->outcome, "unknown") == 0) {
        atomic_fetch_add(&f->unknown, 1);
    }
    else if (strcmp(reply->outcome, "not-run") == 0) {
        atomic_fetch_add(&f->not_run, 1);
        if (key != NULL && runs_of(f, key) > 0) {
            atomic_fetch_add(&f->false_refusals, 1);
        }
    }
    else {
        atomic_fetch_add(&f->cut, 1);
    }
}

static void
call_once(Fixture *f, GsClient *client, uint32_t number)
{
    bool is_post = number % 2 == 0;
    char key[32];
    char ticket[GW_TICKET_TEXT_MAX] = "";
    GsReply reply;

    g_snprintf(key, sizeof(key), "k%u", number);
    if (is_post) {
        take_ticket(client, f->entry.call_address, ticket);
    }
    GsRequest request = {
        .method = is_post ? "POST" : "GET",
        .address = f->entry.call_address,
        .path = "/v1/call/s/x",
        .ticket = ticket[0] != '\0' ? ticket : NULL,
        .body = is_post ? key : NULL,
        .deadline_ms = 4000,
        .timeout_ms = 90000,
    };
    GsSendResult sent = GsClient_Send(client, &request, &reply);
    count_outcome(f, sent, &reply, is_post ? key : NULL);
    GsReply_Clear(&reply);
}

/* Waits until a call is answered: the entry has a configuration and seats. */
static void
wait_until_ready(Fixture *f)
{
    GsClient client;
    bool ready = false;
    GsClient_Init(&client);
    while (!ready) {
        GsReply reply;
        GsRequest request = {
            .method = "GET",
            .address = f->entry.call_address,
            .path = "/v1/call/s/x",
            .deadline_ms = 1000,
            .timeout_ms = 60000,
        };
        ready = GsClient_Send(&client, &request, &reply) == GS_SEND_COMPLETE &&
                strcmp(reply.outcome, "answered") == 0;
        GsReply_Clear(&reply);
        g_usleep(10000);
    }
    GsClient_Clear(&client);
}

static void *
run_caller(void *arg)
{
    Fixture *f = arg;
    GsClient client;
    GsClient_Init(&client);
    while (!atomic_load(&f->stop)) {
        call_once(f, &client, atomic_fetch_add(&f->made, 1));
    }
    GsClient_Clear(&client);
    return NULL;
}

static void *
run_changes(void *arg)
{
    Fixture *f = arg;
    for (uint32_t i = 0; i < CHANGES && !atomic_load(&f->quiet); i++) {
        g_usleep(100000);
        set_config(f, 2 + i % 2);
    }
    return NULL;
}

static void *
run_readers(void *arg)
{
    Fixture *f = arg;
    GwAdminHost host = Report_AdminHost(f->entry.rt);
    while (!atomic_load(&f->quiet)) {
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
count_doubled(Fixture *f)
{
    uint32_t doubled = 0;
    GHashTableIter iter;
    gpointer runs;
    g_hash_table_iter_init(&iter, f->journal);
    while (g_hash_table_iter_next(&iter, NULL, &runs)) {
        doubled += GPOINTER_TO_UINT(runs) > 1;
    }
    return doubled;
}

/* Stops the entry gracefully while callers are active; each caller completes
 * its current call and starts no other. */
static void
run_all(Fixture *f)
{
    pthread_t callers[CALLERS];
    pthread_t changes;
    pthread_t readers;

    for (uint32_t i = 0; i < CALLERS; i++) {
        pthread_create(&callers[i], NULL, run_caller, f);
    }
    pthread_create(&changes, NULL, run_changes, f);
    pthread_create(&readers, NULL, run_readers, f);
    while (atomic_load(&f->made) < CALLERS * CALLS) {
        g_usleep(1000);
    }
    atomic_store(&f->stop, true);
    GwRuntime_BeginStop(f->entry.rt);
    for (uint32_t i = 0; i < CALLERS; i++) {
        pthread_join(callers[i], NULL);
    }
    while (!GwRuntime_IsStopped(f->entry.rt)) {
        g_usleep(1000);
    }
    atomic_store(&f->quiet, true);
    pthread_join(changes, NULL);
    pthread_join(readers, NULL);
}

int
main(void)
{
    Fixture f = {.lock = PTHREAD_MUTEX_INITIALIZER};

    f.journal = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    f.platform = FakePlatform_Start();
    FakeBackends_Start(&f.backends, 2, on_request, &f);
    set_config(&f, 3);
    FakeEntry_Start(&f.entry, f.platform, "e0", "r0", "");
    wait_until_ready(&f);
    run_all(&f);
    FakeEntry_Stop(&f.entry);
    FakeBackends_Stop(&f.backends);
    FakePlatform_Stop(f.platform);
    uint32_t doubled = count_doubled(&f);
    uint32_t ended = f.answered + f.not_run + f.unknown;
    printf("%u calls: %u answered, %u not run, %u unknown, %u not sent, "
           "%u cut off, %u doubled, %u false refusals\n",
           f.made, f.answered, f.not_run, f.unknown, f.not_sent, f.cut,
           doubled, f.false_refusals);
    g_hash_table_destroy(f.journal);
    return ended + f.not_sent == f.made && f.cut == 0 && doubled == 0 &&
                   f.false_refusals == 0 && f.answered > 0
               ? 0
               : 1;
}
