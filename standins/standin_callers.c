/* Load generator: open-loop arrivals, run by a pool of caller threads.
 * usage: standin_callers --mix SERVICE:KIND=WEIGHT,... REGION=ADDR,ADDR...
 *        standin_callers --direct ADDR --mix SERVICE:look-up=1
 *        standin_callers --request METHOD --at ADDR --path PATH [--body TEXT]
 * The last form sends one request and prints the answer, for scripts. */
#include "common/caller.h"
#include "common/clock.h"
#include "common/http.h"
#include "common/report.h"

#include <curl/curl.h>
#include <math.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOMES_MAX     16
#define MIX_MAX       16
#define IDLE_LIMIT_US 15000000

typedef struct {
    const GsOperation *operation;
    uint32_t weight;
} MixPart;

typedef struct {
    char name[GS_NAME_MAX];
    GPtrArray *addresses; /* entries of the region first, then all others */
    uint32_t local_count;
    GsDirectory *directories[MIX_MAX]; /* by index of the mix */
    GsClient client;
} Home;

typedef struct {
    char *mix;
    char *direct;
    char *journals;
    char *report;
    char *request;
    char *at;
    char *path;
    char *body;
    double rate;
    int duration_s;
    int deadline_ms;
    int delay_us;
    int threads;
    int seed;
} Options;

typedef struct {
    const Options *options;
    uint32_t home_count;
    Home homes[HOMES_MAX];
    uint32_t mix_count;
    uint32_t weight_sum;
    MixPart mix[MIX_MAX];
    int64_t start_us;
    pthread_mutex_t lock; /* guards all below: the stream of arrivals */
    GwRng rng;
    uint64_t seq;
    int64_t next_us;
    GPtrArray *records;
} Load;

/* Set by SIGTERM: stops the arrivals; the report follows as usual. */
static volatile sig_atomic_t is_stop_requested;

static void
on_term(int number)
{
    is_stop_requested = 1;
}

/* Parses "service:kind=weight,...". Returns false when a part is malformed. */
static bool
parse_mix(Load *l, const char *text)
{
    gchar **parts = g_strsplit(text, ",", 0);
    bool good = true;
    for (uint32_t i = 0; parts[i] != NULL && good; i++) {
        char *colon = strchr(parts[i], ':');
        char *equals = strchr(parts[i], '=');
        good = colon != NULL && equals != NULL && l->mix_count < MIX_MAX;
        if (good) {
            *colon = '\0';
            *equals = '\0';
            MixPart *p = &l->mix[l->mix_count++];
            p->operation = GsOperation_Find(parts[i], colon + 1);
            p->weight = (uint32_t)strtoul(equals + 1, NULL, 10);
            l->weight_sum += p->weight;
            good = p->operation != NULL;
        }
    }
    g_strfreev(parts);
    return good && l->weight_sum > 0;
}

/* Parses "region=address,address". Returns false when malformed. */
static bool
parse_home(Load *l, const char *text)
{
    const char *equals = strchr(text, '=');
    if (equals == NULL || l->home_count == HOMES_MAX) {
        return false;
    }
    Home *h = &l->homes[l->home_count++];
    g_strlcpy(h->name, text, MIN((size_t)(equals - text) + 1, GS_NAME_MAX));
    h->addresses = g_ptr_array_new_with_free_func(g_free);
    gchar **list = g_strsplit(equals + 1, ",", 0);
    for (uint32_t i = 0; list[i] != NULL; i++) {
        g_ptr_array_add(h->addresses, g_strdup(list[i]));
    }
    g_strfreev(list);
    h->local_count = h->addresses->len;
    return h->local_count > 0;
}

/* Appends the entries of other regions, which callers use when no entry of
 * their own region is reachable. */
static void
add_other_homes(Load *l)
{
    for (uint32_t i = 0; i < l->home_count; i++) {
        for (uint32_t k = 1; k < l->home_count; k++) {
            const Home *o = &l->homes[(i + k) % l->home_count];
            for (uint32_t j = 0; j < o->local_count; j++) {
                g_ptr_array_add(l->homes[i].addresses,
                                g_strdup(o->addresses->pdata[j]));
            }
        }
    }
}

static void
open_homes(Load *l)
{
    add_other_homes(l);
    for (uint32_t i = 0; i < l->home_count; i++) {
        Home *h = &l->homes[i];
        GsClient_Init(&h->client);
        for (uint32_t k = 0; k < l->mix_count && h->local_count > 0; k++) {
            h->directories[k] = GsDirectory_Create(
                l->mix[k].operation->service, h->addresses, h->local_count);
        }
    }
}

static double
uniform(GwRng *rng)
{
    return ((double)(GwRng_Next(rng) >> 11) + 1.0) / 9007199254740994.0;
}

static uint32_t
draw_mix(Load *l)
{
    uint32_t n = GwRng_Below(&l->rng, l->weight_sum);
    uint32_t i = 0;
    while (n >= l->mix[i].weight) {
        n -= l->mix[i].weight;
        i++;
    }
    return i;
}

/* Returns the next arrival, or NULL at the end of the load. Operation, home
 * and gap depend only on the seed, not on the calling thread. */
static GsRecord *
next_arrival(Load *l, uint32_t *mix)
{
    GsRecord *r = NULL;
    pthread_mutex_lock(&l->lock);
    int64_t end_us = l->start_us + (int64_t)l->options->duration_s * 1000000;
    if (l->next_us < end_us && !is_stop_requested) {
        r = g_new0(GsRecord, 1);
        *mix = draw_mix(l);
        r->operation = l->mix[*mix].operation;
        r->home = GwRng_Below(&l->rng, l->home_count);
        r->due_us = l->next_us;
        snprintf(r->key, sizeof(r->key), "k%x-%llx-%llu",
                 (unsigned)l->options->seed, (unsigned long long)l->start_us,
                 (unsigned long long)l->seq++);
        double gap_s = -log(uniform(&l->rng)) / l->options->rate;
        l->next_us += (int64_t)(gap_s * 1e6);
        g_ptr_array_add(l->records, r);
    }
    pthread_mutex_unlock(&l->lock);
    return r;
}

static void *
run_caller(void *data)
{
    Load *l = data;
    GsRecord *r = NULL;
    uint32_t mix = 0;
    while ((r = next_arrival(l, &mix)) != NULL) {
        Home *h = &l->homes[r->home];
        GsCaller c = {.client = &h->client,
                      .directory = h->directories[mix],
                      .direct = l->options->direct,
                      .deadline_us = (int64_t)l->options->deadline_ms * 1000,
                      .delay_us = l->options->delay_us};
        GsClock_Sleep(r->due_us - GsClock_Now());
        GsCaller_Run(&c, r);
    }
    return NULL;
}

static void
run_threads(Load *l)
{
    uint32_t count = (uint32_t)l->options->threads;
    pthread_t *threads = g_new0(pthread_t, count);
    uint32_t started = 0;
    l->start_us = GsClock_Now();
    l->next_us = l->start_us;
    while (started < count &&
           pthread_create(&threads[started], NULL, run_caller, l) == 0) {
        started++;
    }
    for (uint32_t i = 0; i < started; i++) {
        pthread_join(threads[i], NULL);
    }
    g_free(threads);
}

/* Fetches the journals, evaluates them and prints the report. Returns the exit
 * code. */
static int
evaluate(Load *l)
{
    const Options *o = l->options;
    GPtrArray *runs = g_ptr_array_new_with_free_func(g_free);
    GsClient *client = &l->homes[0].client;
    struct json_object *stats = NULL;
    bool whole = true;
    if (o->journals != NULL) {
        whole = GsReport_WaitIdle(client, o->journals, IDLE_LIMIT_US);
        whole = GsReport_FetchRuns(client, o->journals, runs) && whole;
        stats = GsReport_FetchStats(client, o->journals);
    }
    GsVerdict v = GsVerdict_Compute(l->records, runs);
    GsReport_Print(l->records, stats, &v, stdout);
    if (!whole) {
        printf("the journals are incomplete: the evaluation is partial\n");
    }
    if (o->report != NULL &&
        !GsReport_Write(o->report, l->records, stats, &v)) {
        fprintf(stderr, "standin_callers: cannot write %s\n", o->report);
        whole = false;
    }
    GsVerdict_PrintLine(&v, stdout);
    json_object_put(stats);
    g_ptr_array_free(runs, TRUE);
    return whole && GsVerdict_IsClean(&v) ? 0 : 1;
}

static void
close_load(Load *l)
{
    for (uint32_t i = 0; i < l->home_count; i++) {
        for (uint32_t k = 0; k < l->mix_count; k++) {
            GsDirectory_Free(l->homes[i].directories[k]);
        }
        GsClient_Clear(&l->homes[i].client);
        if (l->homes[i].addresses != NULL) {
            g_ptr_array_free(l->homes[i].addresses, TRUE);
        }
    }
    g_ptr_array_free(l->records, TRUE);
}

static int
run_load(const Options *o, const char **homes)
{
    Load l = {.options = o,
              .lock = PTHREAD_MUTEX_INITIALIZER,
              .rng = GwRng_Make((uint64_t)o->seed),
              .records = g_ptr_array_new_with_free_func(g_free)};
    bool good = o->mix != NULL && parse_mix(&l, o->mix);
    for (uint32_t i = 0; good && homes != NULL && homes[i] != NULL; i++) {
        good = parse_home(&l, homes[i]);
    }
    if (good && o->direct != NULL && l.home_count == 0) {
        l.homes[l.home_count++].addresses =
            g_ptr_array_new_with_free_func(g_free);
    }
    if (!good || l.home_count == 0) {
        fprintf(stderr,
                "standin_callers: invalid or missing mix or regions\n");
        return 2;
    }
    open_homes(&l);
    run_threads(&l);
    int rc = evaluate(&l);
    close_load(&l);
    return rc;
}

/* Sends one request and prints the body of the answer. Returns 0 for a status
 * below 400, 1 for any other status, 3 without an answer. */
static int
run_request(const Options *o)
{
    GsClient client;
    GsReply reply;
    GsRequest q = {.method = o->request,
                   .address = o->at != NULL ? o->at : "",
                   .path = o->path != NULL ? o->path : "/",
                   .body = o->body,
                   .timeout_ms = o->deadline_ms};
    GsClient_Init(&client);
    GsSendResult sent = GsClient_Send(&client, &q, &reply);
    if (sent == GS_SEND_COMPLETE) {
        printf("%s\n", reply.body->str);
    }
    int rc = sent != GS_SEND_COMPLETE ? 3 : reply.status >= 400;
    GsReply_Clear(&reply);
    GsClient_Clear(&client);
    return rc;
}

/* Frees the strings, which popt allocates. */
static void
free_options(Options *o)
{
    free(o->mix);
    free(o->direct);
    free(o->journals);
    free(o->report);
    free(o->request);
    free(o->at);
    free(o->path);
    free(o->body);
}

int
main(int argc, const char **argv)
{
    Options o = {.rate = 50.0,
                 .duration_s = 10,
                 .deadline_ms = 5000,
                 .delay_us = 1000,
                 .threads = 200,
                 .seed = 1};
    struct poptOption options[] = {
        {"mix", 0, POPT_ARG_STRING, &o.mix, 0, "service:kind=weight,...",
         NULL},
        {"direct", 0, POPT_ARG_STRING, &o.direct, 0,
         "address of a backend server", "IP:PORT"},
        {"journals", 0, POPT_ARG_STRING, &o.journals, 0,
         "control addresses of the backend processes", "ADDR,..."},
        {"report", 0, POPT_ARG_STRING, &o.report, 0, "JSON report", "FILE"},
        {"rate", 0, POPT_ARG_DOUBLE, &o.rate, 0, "arrivals per second", NULL},
        {"duration", 0, POPT_ARG_INT, &o.duration_s, 0, "seconds", NULL},
        {"deadline-ms", 0, POPT_ARG_INT, &o.deadline_ms, 0,
         "deadline of a request", NULL},
        {"delay-us", 0, POPT_ARG_INT, &o.delay_us, 0,
         "one-way delay to entries", NULL},
        {"threads", 0, POPT_ARG_INT, &o.threads, 0,
         "maximum concurrent requests", NULL},
        {"seed", 0, POPT_ARG_INT, &o.seed, 0, "seed of the arrivals", NULL},
        {"request", 0, POPT_ARG_STRING, &o.request, 0, "send one request",
         "METHOD"},
        {"at", 0, POPT_ARG_STRING, &o.at, 0, "address to send to", "IP:PORT"},
        {"path", 0, POPT_ARG_STRING, &o.path, 0, "path with query", NULL},
        {"body", 0, POPT_ARG_STRING, &o.body, 0, "body of the request", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext pc = poptGetContext(NULL, argc, argv, options, 0);
    if (poptGetNextOpt(pc) < -1) {
        poptPrintUsage(pc, stderr, 0);
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    signal(SIGTERM, on_term);
    curl_global_init(CURL_GLOBAL_ALL);
    int rc =
        o.request != NULL ? run_request(&o) : run_load(&o, poptGetArgs(pc));
    free_options(&o);
    poptFreeContext(pc);
    curl_global_cleanup();
    return rc;
}
