/* What the journal of the simulated site counts. */
#include "standins/site/site.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <string.h>

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

/* Guards against: requests of callers that do not read count as cut off, or
 * hide a request that ran twice. */
Test(site_journal, abandoned_requests_are_not_cut_but_may_run_once_only)
{
    static const struct {
        SiteOutcome outcome;
        int runs;
        uint64_t lost;
        uint64_t abandoned;
        uint64_t doubled;
    } cases[] = {
        {SITE_REQUEST_CLOSED, 1, 1, 0, 0},
        {SITE_REQUEST_ABANDONED, 0, 0, 1, 0},
        {SITE_REQUEST_ABANDONED, 1, 0, 1, 0},
        {SITE_REQUEST_ABANDONED, 2, 0, 1, 1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        clock_us = 1;
        SiteJournal *j = SiteJournal_Create(now_us);
        SiteRequestInfo sending = {.id = "r1", .once = true, .entry = "e1"};
        SiteResult end = {.outcome = cases[i].outcome};

        SiteJournal_Started(j, "e1");
        SiteRequest *req = SiteJournal_Sent(j, &sending);
        for (int k = 0; k < cases[i].runs; k++) {
            SiteJournal_Ran(j, "r1");
        }
        SiteJournal_Ended(req, &end);
        SiteVerdict verdict = SiteJournal_Conclude(j, 1000, stdout);
        cr_expect_eq(verdict.lost, cases[i].lost, "case %zu", i);
        cr_expect_eq(verdict.abandoned, cases[i].abandoned, "case %zu", i);
        cr_expect_eq(verdict.doubled, cases[i].doubled, "case %zu", i);
        g_array_free(verdict.latencies_us, TRUE);
        SiteJournal_Free(j);
    }
}

/* Guards against: a request that reaches a server long after its outcome goes
 * unnoticed. */
Test(site_journal, requests_must_not_reach_servers_after_their_outcome)
{
    static const struct {
        const char *name;
        SiteOutcome outcome; /* SITE_REQUEST_OPEN: none yet */
        int64_t later_us;
        uint64_t not_cancelled;
    } cases[] = {
        {"in progress", SITE_REQUEST_OPEN, 10 * SITE_CANCEL_US, 0},
        {"crossed its outcome", SITE_REQUEST_UNKNOWN, SITE_CANCEL_US, 0},
        {"after a failure", SITE_REQUEST_UNKNOWN, SITE_CANCEL_US + 1, 1},
        {"after a close", SITE_REQUEST_CLOSED, SITE_CANCEL_US + 1, 1},
        {"after its answer", SITE_REQUEST_ANSWERED, SITE_CANCEL_US + 1, 1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        clock_us = 1;
        SiteJournal *j = SiteJournal_Create(now_us);
        SiteRequestInfo sending = {.id = "r1", .entry = "e1"};
        SiteResult end = {.outcome = cases[i].outcome};

        SiteJournal_Started(j, "e1");
        SiteRequest *req = SiteJournal_Sent(j, &sending);
        if (end.outcome != SITE_REQUEST_OPEN) {
            SiteJournal_Ended(req, &end);
        }
        clock_us += cases[i].later_us;
        SiteJournal_Reached(j, "r1");
        SiteVerdict verdict = SiteJournal_Conclude(j, 1000, stdout);
        cr_expect_eq(verdict.not_cancelled, cases[i].not_cancelled, "%s",
                     cases[i].name);
        g_array_free(verdict.latencies_us, TRUE);
        SiteJournal_Free(j);
    }
}

/* Guards against: a request that got bytes without end instead of its answer
 * counts as one that the fault must not harm, or one behind whose answer they
 * came does not. */
Test(site_journal, requests_beside_endless_answers_are_counted)
{
    static const struct {
        const char *fault; /* in force when the request is sent */
        bool is_struck;
        bool is_answered; /* before the bytes without end */
        SiteOutcome outcome;
        const char *line;
    } cases[] = {
        {"a", false, false, SITE_REQUEST_ANSWERED, "a: 0, 1 of 1 others"},
        {"a", false, false, SITE_REQUEST_REFUSED, "a: 0, 0 of 1 others"},
        {"a", true, true, SITE_REQUEST_UNKNOWN, "a: 1, 0 of 1 others"},
        {"a", true, false, SITE_REQUEST_UNKNOWN, "a: 1, 0 of 0 others"},
        {"a", false, false, SITE_REQUEST_ABANDONED, "a: 0, 0 of 0 others"},
        {NULL, false, false, SITE_REQUEST_ANSWERED, ""},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char text[256] = "";
        FILE *log = fmemopen(text, sizeof(text), "w");
        SiteRequestInfo sending = {.id = "r1", .entry = "e1"};
        SiteResult end = {.outcome = cases[i].outcome};
        SiteJournal *j = SiteJournal_Create(now_us);

        SiteJournal_Started(j, "e1");
        SiteJournal_Endless(j, cases[i].fault);
        SiteRequest *req = SiteJournal_Sent(j, &sending);
        if (cases[i].is_struck) {
            SiteJournal_Struck(j, "r1", cases[i].is_answered);
        }
        SiteJournal_Ended(req, &end);
        SiteVerdict verdict = SiteJournal_Conclude(j, 1000, log);
        (void)fclose(log);
        cr_expect(strstr(text, cases[i].line) != NULL, "case %zu: %s", i,
                  text);
        cr_expect_eq(strstr(text, "endless") == NULL, cases[i].fault == NULL);
        g_array_free(verdict.latencies_us, TRUE);
        SiteJournal_Free(j);
    }
}
