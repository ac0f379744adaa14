/* Simulates the store, backend servers and callers of a small site for entries
 * that a script starts and stops. Prints a summary at the end and exits with
 * an error when a guarantee was violated.
 *
 * Options schedule events by the second: --drain 3 drains the first server of
 * each service, --new-config 4 writes a newer configuration, --store-busy 5
 * makes the store unavailable for two seconds, --compact 8 drops its history.
 * Further events are read as lines from the named pipe of --commands, so that
 * a script can run any sequence; see `events` in site/events.c. The simulator
 * then sends the signals to the entries itself, so that the journal knows
 * which requests were sent after a signal. */
#include "platform/platform.h"
#include "standins/site/simulation.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define PRIVATE_PORTS 20 /* offset from the port of a server's proxy */
#define LIMITED       2 /* servers that announce a limit: one of each service */
#define TICK_MS       50
/* Time after the end for callers to receive pending answers. */
#define END_S         15
#define FIRST_VERSION 3 /* of the given file */
#define LATER_VERSION 9 /* of --new-config */

static void
on_crashed(void *owner, uint32_t number)
{
    (void)SiteProxy_SetListening(((Site *)owner)->proxies[number], false);
}

/* Registers the restarted server with a new birth time, by which entries
 * detect the restart. */
static void
on_restarted(void *owner, uint32_t number)
{
    Site *site = owner;

    g_assert_true(SiteProxy_SetListening(site->proxies[number], true));
    site->birth[number]++;
    Site_PutServer(site, (int)number, "ready");
}

static bool
start_servers(Site *site)
{
    for (int i = 0; i < SITE_SERVERS; i++) {
        SiteServerParams params = {
            .loop = &site->loop,
            .adapter = &Platform_Adapter,
            .slots = (uint32_t)site->args.slots,
            .work_ms = (uint32_t)site->args.work_ms,
            .spread_ms = (uint32_t)site->args.spread_ms,
            .lose_answer = (uint32_t)site->args.faults,
            .stray = (uint32_t)site->args.faults,
            .refuse = (uint32_t)MAX(site->args.refuse, site->args.faults),
            .restart_ms = (uint32_t)site->args.restart_ms,
            .crashed = on_crashed,
            .restarted = on_restarted,
            .owner = site,
            .number = (uint32_t)i,
            .journal = site->journal,
            .organisations = site->organisations,
            .rng = &site->rng,
        };
        g_snprintf(params.id, sizeof(params.id), "server-%d", i);
        g_snprintf(params.address, sizeof(params.address), "127.0.0.1:%d",
                   site->args.port + PRIVATE_PORTS + i);
        site->servers[i] = SiteServer_Create(&params);
        site->proxies[i] =
            SiteProxy_Create(&site->loop, site->args.port + i, params.address);
        if (site->servers[i] == NULL || site->proxies[i] == NULL) {
            return false;
        }
        Site_PutServer(site, i, "ready");
    }
    return true;
}

static void
start_callers(Site *site)
{
    int large_from = site->args.callers + site->args.crashers;

    for (int i = 0; i < large_from + site->args.large_callers; i++) {
        SiteCallerParams params = {
            .loop = &site->loop,
            .adapter = &Platform_Adapter,
            .directories = site->directories,
            .region = "r1",
            .domain = i % 2 == 0 ? "d1" : "d2",
            .journal = site->journal,
            .organisations = site->organisations,
            .rng = &site->rng,
            .number = (uint32_t)i,
            .objects = (uint32_t)site->args.objects,
            .left_ms = (uint32_t)site->args.left_ms,
            .depth =
                i % 4 == 1 && i < large_from ? (uint32_t)site->args.depth : 1,
            .rest_ms = (uint32_t)site->args.rest_ms,
            .crashes = i >= site->args.callers && i < large_from,
            .is_large = i >= large_from,
            .keeps_entry = site->args.keep && i % 4 != 0,
        };
        SiteCaller *caller = SiteCaller_Create(&params);
        SiteCaller_SetReading(caller, site->args.reading);
        g_ptr_array_add(site->callers, caller);
    }
}

static bool
is_due(const Site *site, int second)
{
    int64_t now_us = Site_NowUs();

    return second > 0 && now_us - site->start_us >= (int64_t)second * 1000000;
}

/* ---- Scheduled events ---------------------------------------------------- */

static void
run_scheduled_events(Site *site)
{
    int64_t now_us = Site_NowUs();

    if (!site->drained && is_due(site, site->args.drain_s)) {
        site->drained = true;
        for (int i = 0; i < 2; i++) {
            Site_PutServer(site, i, "draining");
            SiteServer_SetLeaving(site->servers[i], true);
            SiteServer_MarkDrained(site->servers[i], now_us);
        }
    }
    if (!site->reconfigured && is_due(site, site->args.config_s)) {
        site->reconfigured = true;
        site->version = LATER_VERSION;
        Site_PutConfig(site, "\"version\":3", "\"version\":9");
    }
    if (!site->limited && is_due(site, site->args.limit_s)) {
        site->limited = true;
        for (int i = 0; i < LIMITED; i++) {
            SiteServer_SetLimit(site->servers[i], site->args.limit);
        }
    }
    if (is_due(site, site->args.revoke_s)) {
        Site_RevokeKey(site);
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

    run_scheduled_events(site);
    SiteStore_Sweep(site->store);
    for (guint i = 0; i < site->callers->len; i++) {
        SiteCaller *c = site->callers->pdata[i];
        if (is_due(site, site->args.seconds)) {
            SiteCaller_Stop(c);
        }
        idle = idle && SiteCaller_IsIdle(c);
    }
    if (idle || is_due(site, site->args.seconds + END_S)) {
        uv_stop(&site->loop);
    }
}

static int
conclude(Site *site)
{
    SiteVerdict v = SiteJournal_Conclude(
        site->journal, (uint32_t)site->args.grace_ms, stdout);

    v.has_invalid_event = site->has_invalid_event;
    for (int i = 0; i < SITE_SERVERS; i++) {
        v.late += SiteServer_LateRequests(site->servers[i]);
        v.misdirected += SiteServer_Misdirected(site->servers[i]);
        v.above_limit += SiteServer_AboveLimit(site->servers[i]);
    }
    bool kept = SiteVerdict_Print(&v, site->args.commands != NULL);
    if (site->organisations != NULL) {
        kept = SiteOrganisations_Print(site->organisations) && kept;
    }
    g_array_free(v.latencies_us, TRUE);
    return kept ? EXIT_SUCCESS : EXIT_FAILURE;
}

static bool
start(Site *site)
{
    char **list = g_strsplit(site->args.directories, ",", -1);

    (void)uv_loop_init(&site->loop);
    site->rng = GwRng_Make((uint64_t)site->args.seed);
    site->start_us = Site_NowUs();
    site->journal = SiteJournal_Create(Site_NowUs);
    site->paused =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    site->evacuated =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    site->version = FIRST_VERSION;
    site->callers = g_ptr_array_new();
    site->directories = g_ptr_array_new_with_free_func(g_free);
    for (char **at = list; *at != NULL; at++) {
        g_ptr_array_add(site->directories, g_strdup(*at));
    }
    g_strfreev(list);
    if (site->args.commands != NULL &&
        !SiteCommands_Open(&site->loop, site->args.commands, Site_RunEvent,
                           site)) {
        return false;
    }
    site->store =
        SiteStore_Create(&site->loop, site->args.store, &Platform_Adapter);
    if (site->store == NULL ||
        !g_file_get_contents(site->args.config, &site->config, NULL, NULL) ||
        !g_file_get_contents(site->args.server, &site->server_text, NULL,
                             NULL) ||
        !Site_AddOrganisations(site)) {
        return false;
    }
    SiteStore_Put(site->store, Platform_Adapter.operator_table, "config",
                  site->config);
    return start_servers(site) && (site->args.endless == NULL ||
                                   Site_SetEndless(site, site->args.endless));
}

int
main(int argc, const char **argv)
{
    static Site site;

    if (!SiteOptions_Read(&site.args, argc, argv)) {
        return 2;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    if (!start(&site)) {
        (void)fprintf(stderr, "standin_site: cannot open the store, a server, "
                              "a file or the pipe\n");
        return 1;
    }
    start_callers(&site);
    (void)uv_timer_init(&site.loop, &site.tick);
    site.tick.data = &site;
    (void)uv_timer_start(&site.tick, on_tick, 0, TICK_MS);
    (void)uv_run(&site.loop, UV_RUN_DEFAULT);
    return conclude(&site);
}
