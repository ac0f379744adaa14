/* Counts how often requests that crash servers reach servers. */
#include "standins/site/journal_internal.h"

#include <string.h>

bool
Site_Crashes(const char *target)
{
    return g_str_has_suffix(target, "/crash");
}

static SiteCrasher *
crasher_of(SiteJournal *j, const char *target)
{
    SiteCrasher *c = g_hash_table_lookup(j->crashers, target);

    if (c == NULL) {
        c = g_new0(SiteCrasher, 1);
        g_hash_table_insert(j->crashers, g_strdup(target), c);
    }
    return c;
}

void
SiteJournal_Crashed(SiteJournal *j, const char *target)
{
    SiteCrasher *c = crasher_of(j, target);

    if (++c->crashes == SITE_CRASHES_MAX) {
        c->last_allowed_us = j->now_us() + SITE_EXCHANGE_US;
    }
}

void
SiteJournal_CrashReached(SiteJournal *j, const char *target)
{
    SiteCrasher *c = crasher_of(j, target);

    if (c->last_allowed_us != 0 && j->now_us() > c->last_allowed_us) {
        c->sends_after++;
    }
}

void
SiteJournal_ConcludeCrashes(const SiteJournal *j, FILE *log,
                            SiteVerdict *verdict)
{
    GHashTableIter iter;
    gpointer target;
    gpointer value;

    g_hash_table_iter_init(&iter, j->crashers);
    while (g_hash_table_iter_next(&iter, &target, &value)) {
        const SiteCrasher *c = value;
        verdict->crashes += c->crashes;
        verdict->crash_sends = MAX(verdict->crash_sends, c->sends_after);
        (void)fprintf(log,
                      "crasher %s: %u servers, %u sends after the third\n",
                      (const char *)target, c->crashes, c->sends_after);
    }
}
