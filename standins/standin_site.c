/* The store, backend servers and callers of a small site, for entries that
 * run beside it; a script starts and stops those. Ends with one line of what
 * was seen, and fails when a promise was not kept.
 *
 * Events are named on the command line by the second: --drain 3 takes the
 * first server of each service away, --config 4 puts a newer version,
 * --store-busy 5 turns the store off for two seconds, --compact 8 drops its
 * history. */
#include "platform/platform.h"
#include "standins/site/site.h"

#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVERS 6
#define TICK_MS 50

typedef struct {
    char *store;
    char *directories;
    char *config;
    char *server;
    int port;
    int seconds;
    int callers;
    int seed;
    int faults; /* permille */
    int drain_s;
    int config_s;
    int store_busy_s;
    int compact_s;
} Arguments;

typedef struct {
    Arguments args;
    uv_loop_t loop;
    uv_timer_t tick;
    GwRng rng;
    SiteStore *store;
    char *config;
    char *server_text;
    GHashTable *runs;
    SiteServer *servers[SERVERS];
    GPtrArray *callers;
    GPtrArray *directories;
    SiteReport report;
    int64_t start_us;
    bool drained;
    bool reconfigured;
    bool compacted;
    bool store_back;
} Site;

static bool
parse(int argc, const char **argv, Arguments *a)
{
    struct poptOption options[] = {
        {"store", 0, POPT_ARG_STRING, &a->store, 0, "store's address", "A"},
        {"directories", 0, POPT_ARG_STRING, &a->directories, 0,
         "addresses of directories, by commas", "A,..."},
        {"config", 0, POPT_ARG_STRING, &a->config, 0, "configuration", "F"},
        {"server", 0, POPT_ARG_STRING, &a->server, 0,
         "a server's entry, with @NAMES@", "F"},
        {"port", 0, POPT_ARG_INT, &a->port, 0, "first server's port", "N"},
        {"seconds", 0, POPT_ARG_INT, &a->seconds, 0, "length", "N"},
        {"callers", 0, POPT_ARG_INT, &a->callers, 0, "callers", "N"},
        {"seed", 0, POPT_ARG_INT, &a->seed, 0, "seed", "N"},
        {"faults", 0, POPT_ARG_INT, &a->faults, 0,
         "permille of requests that meet a faulty server", "N"},
        {"drain", 0, POPT_ARG_INT, &a->drain_s, 0, "second", "S"},
        {"new-config", 0, POPT_ARG_INT, &a->config_s, 0, "second", "S"},
        {"store-busy", 0, POPT_ARG_INT, &a->store_busy_s, 0, "second", "S"},
        {"compact", 0, POPT_ARG_INT, &a->compact_s, 0, "second", "S"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext ctx = poptGetContext("standin_site", argc, argv, options, 0);
    bool ok = poptGetNextOpt(ctx) == -1 && a->store != NULL &&
              a->directories != NULL && a->config != NULL &&
              a->server != NULL && a->port > 0;

    if (!ok) {
        poptPrintUsage(ctx, stderr, 0);
    }
    poptFreeContext(ctx);
    return ok;
}

static char *
replaced(char *text, const char *name, const char *value)
{
    char **parts = g_strsplit(text, name, -1);
    char *joined = g_strjoinv(value, parts);

    g_strfreev(parts);
    g_free(text);
    return joined;
}

static const char *
service_of(int i)
{
    return i % 2 == 0 ? "slots" : "ledger";
}

static void
put_server(Site *site, int i, const char *state)
{
    char *text = g_strdup(site->server_text);
    char *key = g_strdup_printf("server-%d", i);
    char *address = g_strdup_printf("127.0.0.1:%d", site->args.port + i);

    text = replaced(text, "@ADDRESS@", address);
    text = replaced(text, "@BORN@", "1");
    text = replaced(text, "@SERVICE@", service_of(i));
    text = replaced(text, "@DOMAIN@", i < SERVERS / 2 ? "d1" : "d2");
    text = replaced(text, "@SLOTS@", "3");
    text = replaced(text, "@STATE@", state);
    text = replaced(text, "@SEQ@", "1");
    SiteStore_Put(site->store, Platform_Adapter.server_table, key, text);
    g_free(address);
    g_free(key);
    g_free(text);
}

static bool
start_servers(Site *site)
{
    for (int i = 0; i < SERVERS; i++) {
        SiteServerParams params = {
            .loop = &site->loop,
            .adapter = &Platform_Adapter,
            .slots = 3,
            .work_ms = 40,
            .lose_answer = (uint32_t)site->args.faults,
            .stray = (uint32_t)site->args.faults,
            .refuse = (uint32_t)site->args.faults,
            .runs = site->runs,
            .rng = &site->rng,
        };
        g_snprintf(params.id, sizeof(params.id), "server-%d", i);
        g_snprintf(params.address, sizeof(params.address), "127.0.0.1:%d",
                   site->args.port + i);
        site->servers[i] = SiteServer_Create(&params);
        if (site->servers[i] == NULL) {
            return false;
        }
        put_server(site, i, "ready");
    }
    return true;
}

static void
start_callers(Site *site)
{
    for (int i = 0; i < site->args.callers; i++) {
        SiteCallerParams params = {
            .loop = &site->loop,
            .adapter = &Platform_Adapter,
            .directories = site->directories,
            .region = "r1",
            .domain = i % 2 == 0 ? "d1" : "d2",
            .runs = site->runs,
            .rng = &site->rng,
            .report = &site->report,
            .number = (uint32_t)i,
        };
        g_ptr_array_add(site->callers, SiteCaller_Create(&params));
    }
}

static bool
is_due(const Site *site, int second)
{
    int64_t now_us = (int64_t)(uv_hrtime() / 1000);

    return second > 0 && now_us - site->start_us >= (int64_t)second * 1000000;
}

static void
play_events(Site *site)
{
    int64_t now_us = (int64_t)(uv_hrtime() / 1000);

    if (!site->drained && is_due(site, site->args.drain_s)) {
        site->drained = true;
        for (int i = 0; i < 2; i++) {
            put_server(site, i, "draining");
            SiteServer_MarkDrained(site->servers[i], now_us);
        }
    }
    if (!site->reconfigured && is_due(site, site->args.config_s)) {
        site->reconfigured = true;
        site->config =
            replaced(site->config, "\"version\":3", "\"version\":9");
        SiteStore_Put(site->store, Platform_Adapter.operator_table, "config",
                      site->config);
    }
    if (!site->compacted && is_due(site, site->args.compact_s)) {
        site->compacted = true;
        SiteStore_Compact(site->store);
    }
    if (is_due(site, site->args.store_busy_s)) {
        bool over = is_due(site, site->args.store_busy_s + 2);
        SiteStore_SetMode(site->store, over ? SITE_STORE_UP : SITE_STORE_BUSY);
    }
}

static void
on_tick(uv_timer_t *timer)
{
    Site *site = timer->data;
    bool idle = true;

    play_events(site);
    SiteStore_Sweep(site->store);
    for (guint i = 0; i < site->callers->len; i++) {
        SiteCaller *c = site->callers->pdata[i];
        if (is_due(site, site->args.seconds)) {
            SiteCaller_Stop(c);
        }
        idle = idle && SiteCaller_IsIdle(c);
    }
    if (idle || is_due(site, site->args.seconds + 10)) {
        uv_stop(&site->loop);
    }
}

static int
compare(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

static double
quantile_ms(const GArray *sorted, double q)
{
    if (sorted->len == 0) {
        return 0;
    }
    guint at = (guint)(q * (sorted->len - 1));
    return (double)g_array_index(sorted, int64_t, at) / 1000.0;
}

static int
conclude(Site *site)
{
    SiteReport *r = &site->report;
    uint32_t late = 0;

    for (int i = 0; i < SERVERS; i++) {
        late += SiteServer_Late(site->servers[i]);
    }
    qsort(r->latencies_us->data, r->latencies_us->len, sizeof(int64_t),
          compare);
    (void)printf("site: %lu sent, %lu answered, %lu not run, %lu unknown, "
                 "%lu cut; %lu doubled, %lu false refusals, %lu wrong "
                 "answers, %u after a drain; p50 %.1f ms, p99 %.1f ms\n",
                 (unsigned long)r->sent, (unsigned long)r->answered,
                 (unsigned long)r->not_run, (unsigned long)r->unknown,
                 (unsigned long)r->lost, (unsigned long)r->doubled,
                 (unsigned long)r->false_refusals, (unsigned long)r->wrong,
                 late, quantile_ms(r->latencies_us, 0.5),
                 quantile_ms(r->latencies_us, 0.99));
    bool kept = r->doubled + r->false_refusals + r->wrong + late == 0 &&
                r->answered > 0;
    return kept ? EXIT_SUCCESS : EXIT_FAILURE;
}

static bool
start(Site *site)
{
    char **list = g_strsplit(site->args.directories, ",", -1);

    (void)uv_loop_init(&site->loop);
    site->rng = GwRng_Make((uint64_t)site->args.seed);
    site->start_us = (int64_t)(uv_hrtime() / 1000);
    site->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    site->callers = g_ptr_array_new();
    site->report.latencies_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
    site->directories = g_ptr_array_new_with_free_func(g_free);
    for (char **at = list; *at != NULL; at++) {
        g_ptr_array_add(site->directories, g_strdup(*at));
    }
    g_strfreev(list);
    site->store =
        SiteStore_Create(&site->loop, site->args.store, &Platform_Adapter);
    if (site->store == NULL ||
        !g_file_get_contents(site->args.config, &site->config, NULL, NULL) ||
        !g_file_get_contents(site->args.server, &site->server_text, NULL,
                             NULL)) {
        return false;
    }
    SiteStore_Put(site->store, Platform_Adapter.operator_table, "config",
                  site->config);
    return start_servers(site);
}

int
main(int argc, const char **argv)
{
    static Site site = {.args = {.seconds = 10, .callers = 20, .seed = 1}};

    if (!parse(argc, argv, &site.args)) {
        return 2;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    if (!start(&site)) {
        (void)fprintf(stderr, "standin_site: can't start\n");
        return 1;
    }
    start_callers(&site);
    (void)uv_timer_init(&site.loop, &site.tick);
    site.tick.data = &site;
    (void)uv_timer_start(&site.tick, on_tick, 0, TICK_MS);
    (void)uv_run(&site.loop, UV_RUN_DEFAULT);
    return conclude(&site);
}
