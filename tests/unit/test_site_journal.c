/* What the journal of the simulated site counts. */
#include "standins/site/site.h"

#include <criterion/criterion.h>
#include <signal.h>

static int64_t clock_us;

static int64_t
now_us(void)
{
    return clock_us;
}

static void
send_refused(SiteJournal *j, const char *id, const char *entry)
{
    SiteRequestInfo sending = {
        .id = id,
        .entry = entry,
        .process = SiteJournal_CurrentProcess(j, entry),
    };
    SiteResult end = {.outcome = SITE_REQUEST_REFUSED};

    SiteJournal_Ended(SiteJournal_Sent(j, &sending), &end);
}

/* Guards against: an entry without links is blamed for refusals while no
 * other entry takes requests, or while it stops itself. */
Test(site_journal, entries_without_links_count_while_another_one_serves)
{
    static const struct {
        const char *name;
        const char *entry; /* that is signalled */
        int signals[2];
        bool is_started; /* again, after the signals */
        bool counts;
    } cases[] = {
        {"no signal", "e2", {0}, false, true},
        {"a reload", "e2", {SIGHUP}, false, true},
        {"the other stops", "e2", {SIGTERM}, false, false},
        {"the other is killed", "e2", {SIGKILL}, false, false},
        {"the other is paused", "e2", {SIGSTOP}, false, false},
        {"the other goes on", "e2", {SIGSTOP, SIGCONT}, false, true},
        {"the other is replaced", "e2", {SIGTERM}, true, true},
        {"it stops itself", "e1", {SIGTERM}, false, false},
        {"it was replaced", "e1", {SIGKILL}, true, true},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        clock_us = 1;
        SiteJournal *j = SiteJournal_Create(now_us);
        SiteJournal_Started(j, "e1");
        SiteJournal_Started(j, "e2");
        for (int k = 0; k < 2 && cases[i].signals[k] != 0; k++) {
            SiteJournal_Signalled(j, cases[i].entry, cases[i].signals[k]);
        }
        if (cases[i].is_started) {
            SiteJournal_Started(j, cases[i].entry);
        }
        SiteJournal_LinksChanged(j, "e1", true);
        clock_us += SITE_EXCHANGE_US;
        send_refused(j, "r1", "e1");

        SiteVerdict verdict = SiteJournal_Conclude(j, 1000, stdout);
        cr_expect_eq(verdict.cut_sent, cases[i].counts, "%s: %lu",
                     cases[i].name, (unsigned long)verdict.cut_sent);
        g_array_free(verdict.latencies_us, TRUE);
        SiteJournal_Free(j);
    }
}
