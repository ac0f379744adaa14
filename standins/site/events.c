/* Events that a script sends as lines. */
#include "platform/platform.h"
#include "standins/site/simulation.h"

#include <errno.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MANY_FAULTS 50 /* permille */

/* Restarts the time that entries have to learn of a drain: they cannot while
 * the store is unavailable or lacks it, or an entry is paused. */
static void
update_drain_marks(Site *site)
{
    bool known = site->store_mode == SITE_STORE_UP && !site->lacks_writes &&
                 g_hash_table_size(site->paused) == 0;
    int64_t now_us = Site_NowUs();

    for (int i = 0; i < SITE_SERVERS; i++) {
        SiteServer_MarkDrained(site->servers[i],
                               site->draining[i] && known ? now_us : 0);
    }
}

/* Starts or ends the drain of a server. After a drain the server is a new
 * process without cached objects. */
static void
set_draining(Site *site, const char *number, bool draining)
{
    long i = strtol(number, NULL, 10);

    if (i < 0 || i >= SITE_SERVERS || site->draining[i] == draining) {
        return;
    }
    site->draining[i] = draining;
    if (!draining) {
        site->birth[i]++;
        SiteServer_ClearCache(site->servers[i]);
    }
    SiteServer_SetLeaving(site->servers[i], draining);
    Site_PutServer(site, (int)i, draining ? "draining" : "ready");
    update_drain_marks(site);
}

static void
run_drain(Site *site, char **words)
{
    set_draining(site, words[1], true);
}

static void
run_ready(Site *site, char **words)
{
    set_draining(site, words[1], false);
}

static void
run_signal(Site *site, char **words)
{
    static const struct {
        const char *name;
        int number;
    } signals[] = {{"TERM", SIGTERM},
                   {"KILL", SIGKILL},
                   {"STOP", SIGSTOP},
                   {"CONT", SIGCONT},
                   {"HUP", SIGHUP}};
    pid_t pid = (pid_t)strtol(words[3], NULL, 10);

    for (size_t i = 0; i < G_N_ELEMENTS(signals); i++) {
        int number = signals[i].number;
        if (strcmp(signals[i].name, words[1]) != 0 || pid <= 1) {
            continue;
        }
        SiteJournal_Signalled(site->journal, words[2], number);
        if (kill(pid, number) != 0) {
            (void)printf("event signal to %s: %s\n", words[2],
                         strerror(errno));
        }
        if (number == SIGSTOP) {
            (void)g_hash_table_add(site->paused, g_strdup(words[2]));
        }
        else if (number == SIGCONT || number == SIGKILL) {
            (void)g_hash_table_remove(site->paused, words[2]);
        }
        update_drain_marks(site);
    }
}

static void
run_start(Site *site, char **words)
{
    SiteJournal_Started(site->journal, words[1]);
}

static void
run_store(Site *site, char **words)
{
    site->store_mode = SiteStore_ParseMode(words[1]);
    SiteStore_SetMode(site->store, site->store_mode);
    SiteJournal_Disturbed(site->journal);
    update_drain_marks(site);
}

static void
run_links(Site *site, char **words)
{
    const char *service = words[4]; /* NULL: all */
    bool is_cut = strcmp(words[1], "up") != 0;
    SiteProxy *proxies[SITE_SERVERS];
    int count = 0;

    for (int i = 0; i < SITE_SERVERS; i++) {
        if (service == NULL || strcmp(service, Site_ServiceOf(i)) == 0) {
            proxies[count++] = site->proxies[i];
        }
    }
    if (count == 0 ||
        !SiteProxies_SetLinks(proxies, count, words[1], words[2])) {
        site->has_invalid_event = true;
    }
    SiteJournal_LinksChanged(site->journal, words[3], is_cut);
}

static void
run_compact(Site *site, char **words)
{
    (void)words;
    SiteStore_Compact(site->store);
}

/* Restores the store from a copy. What the operator and the servers wrote since
 * is lost until `rewrite`. */
static void
run_restore(Site *site, char **words)
{
    SiteStore_Restore(site->store, (uint32_t)strtoul(words[1], NULL, 10));
    SiteJournal_Disturbed(site->journal);
    site->lacks_writes = true;
    update_drain_marks(site);
    if (site->revoked) {
        SiteOrganisations_RevocationLost(site->organisations);
    }
}

static void
run_skip(Site *site, char **words)
{
    SiteStore_SkipVersions(site->store, strtoul(words[1], NULL, 10));
}

/* The operator and the servers write what they last wrote. */
static void
run_rewrite(Site *site, char **words)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    (void)words;
    Site_PutConfig(site, NULL, NULL);
    for (int i = 0; i < SITE_SERVERS; i++) {
        Site_PutServer(site, i, site->draining[i] ? "draining" : "ready");
    }
    g_hash_table_iter_init(&iter, site->evacuated);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        SiteStore_Put(site->store, Platform_Adapter.operator_table, key,
                      value);
    }
    if (site->revoked) {
        SiteOrganisations_Revoked(site->organisations);
    }
    site->lacks_writes = false;
    update_drain_marks(site);
}

static void
set_evacuated(Site *site, const char *domain, const char *value)
{
    char *key = g_strdup_printf("evacuate/%s", domain);

    SiteStore_Put(site->store, Platform_Adapter.operator_table, key, value);
    g_hash_table_replace(site->evacuated, key, g_strdup(value));
}

static void
run_evacuate(Site *site, char **words)
{
    set_evacuated(site, words[1], "{}");
}

static void
run_return(Site *site, char **words)
{
    set_evacuated(site, words[1], NULL);
}

/* Writes a new configuration version with another idle timeout. */
static void
run_config(Site *site, char **words)
{
    char *version = g_strdup_printf("\"version\":%u", ++site->version);
    char *idle = g_strdup_printf("\"idle_timeout\":\"%sms\"", words[1]);

    Site_PutConfig(site, "\"version\":[0-9]+", version);
    Site_PutConfig(site, "\"idle_timeout\":\"[^\"]*\"", idle);
    g_free(version);
    g_free(idle);
}

static void
update_servers_fail(Site *site)
{
    SiteJournal_ServersFail(site->journal,
                            MAX(site->failing, site->endless) >= MANY_FAULTS);
}

bool
Site_SetEndless(Site *site, const char *text)
{
    static const SiteEndlessFault none;
    SiteEndlessFault fault;

    if (!SiteEndlessFault_Parse(text, &fault)) {
        return false;
    }
    for (uint32_t i = 0; i < SITE_SERVERS; i++) {
        SiteServer_SetEndless(site->servers[i],
                              i < fault.servers ? &fault : &none);
    }
    site->endless = fault.permille;
    SiteJournal_Endless(site->journal, fault.permille > 0 ? text : NULL);
    update_servers_fail(site);
    return true;
}

static void
run_endless(Site *site, char **words)
{
    if (!Site_SetEndless(site, words[1])) {
        site->has_invalid_event = true;
    }
}

static void
run_reading(Site *site, char **words)
{
    if (!SiteReading_Parse(words[1], &site->args.reading)) {
        site->has_invalid_event = true;
        return;
    }
    for (guint i = 0; i < site->callers->len; i++) {
        SiteCaller_SetReading(site->callers->pdata[i], site->args.reading);
    }
}

static void
run_faults(Site *site, char **words)
{
    uint32_t permille = (uint32_t)strtoul(words[1], NULL, 10);

    site->failing = permille;
    update_servers_fail(site);
    for (int i = 0; i < SITE_SERVERS; i++) {
        SiteServer_SetFaults(site->servers[i], permille);
    }
}

static void
run_long_runs(Site *site, char **words)
{
    uint32_t permille = (uint32_t)strtoul(words[1], NULL, 10);
    uint32_t factor = (uint32_t)strtoul(words[2], NULL, 10);

    for (int i = 0; i < SITE_SERVERS; i++) {
        SiteServer_SetLongRuns(site->servers[i], permille, factor);
    }
}

static void
run_revoke(Site *site, char **words)
{
    (void)words;
    Site_RevokeKey(site);
}

static void
run_calm(Site *site, char **words)
{
    (void)words;
    SiteJournal_FaultsEnded(site->journal);
}

static void
run_foreign(Site *site, char **words)
{
    Site_PutForeignRows(site, strcmp(words[1], "rows") == 0);
}

static void
run_end(Site *site, char **words)
{
    (void)words;
    site->args.seconds = (int)((Site_NowUs() - site->start_us) / 1000000);
}

static const struct {
    const char *name;
    guint words;
    void (*run)(Site *site, char **words);
} events[] = {
    {"signal", 4, run_signal}, /* NAME ADDRESS PID */
    {"start", 2, run_start},   /* ADDRESS; before the process starts */
    {"store", 2, run_store},   /* see SiteStore_ParseMode */
    {"compact", 1, run_compact},
    {"foreign", 2, run_foreign}, /* "rows" or "none" */
    {"restore", 2, run_restore}, /* AGE MS */
    {"rewrite", 1, run_rewrite},
    {"skip", 2, run_skip},   /* VERSIONS */
    {"links", 4, run_links}, /* STATE SOURCE ADDRESS [SERVICE] */
    {"links", 5, run_links},
    {"drain", 2, run_drain}, /* NUMBER */
    {"ready", 2, run_ready},
    {"evacuate", 2, run_evacuate}, /* DOMAIN */
    {"return", 2, run_return},
    {"config", 2, run_config},       /* IDLE MS */
    {"faults", 2, run_faults},       /* PERMILLE */
    {"long-runs", 3, run_long_runs}, /* PERMILLE FACTOR */
    {"endless", 2, run_endless},     /* see SiteEndlessFault_Parse */
    {"reading", 2, run_reading},     /* see SiteReading_Parse */
    {"revoke", 1, run_revoke},
    {"calm", 1, run_calm}, /* faults are over: requests are answered */
    {"end", 1, run_end},
};

void
Site_RunEvent(void *owner, char **words)
{
    Site *site = owner;
    char *line = g_strjoinv(" ", words);
    bool known = false;

    for (size_t i = 0; i < G_N_ELEMENTS(events); i++) {
        if (strcmp(events[i].name, words[0]) == 0 &&
            events[i].words == g_strv_length(words)) {
            (void)printf("event at_ms=%" PRId64 " %s\n",
                         (Site_NowUs() - site->start_us) / 1000, line);
            events[i].run(site, words);
            known = true;
        }
    }
    if (!known) {
        (void)printf("unknown event: %s\n", line);
        site->has_invalid_event = true;
    }
    (void)fflush(stdout);
    g_free(line);
}
