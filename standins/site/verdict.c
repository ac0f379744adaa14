#include "standins/site/site.h"

static double
quantile_ms(const GArray *sorted, double q)
{
    if (sorted->len == 0) {
        return 0;
    }
    guint at = (guint)(q * (sorted->len - 1));
    return (double)g_array_index(sorted, int64_t, at) / 1000.0;
}

/* Returns true when fewer than 90 % of the requests sent after the end of all
 * faults were answered. */
static bool
has_not_recovered(const SiteVerdict *v)
{
    return v->faults_ended &&
           (v->recovery_sent == 0 ||
            v->recovery_answered * 10 < v->recovery_sent * 9);
}

/* Returns the number of requests that entries without links to servers left
 * unanswered beyond what SITE_CUT_SHARE allows. */
static uint64_t
unserved_without_links(const SiteVerdict *v)
{
    if (v->cut_sent == 0 || v->linked_sent == 0) {
        return 0;
    }
    double share = (double)v->linked_answered / (double)v->linked_sent;
    double owed = SITE_CUT_SHARE * share * (double)v->cut_sent;
    double missing = owed - (double)v->cut_answered - SITE_CUT_SLACK;
    return missing > 0 ? (uint64_t)missing + 1 : 0;
}

/* Prints a line for each violated guarantee. Returns true when there is
 * none. */
static bool
print_violations(const SiteVerdict *v, bool played)
{
    const struct {
        const char *name;
        uint64_t violations;
        bool played; /* checked only if the site sends the signals */
    } guarantees[] = {
        {"at-most-once", v->doubled, false},
        {"true-refusals", v->false_refusals, false},
        {"own-answers", v->wrong, false},
        {"drains", v->late, false},
        {"cancels", v->not_cancelled, false},
        {"rows", v->misdirected, false},
        {"server-limits", v->above_limit, false},
        {"crash-budget",
         v->crash_sends > SITE_CRASH_SENDS_MAX ? v->crash_sends : 0, false},
        {"service", v->answered == 0, false},
        {"events", v->has_invalid_event, false},
        {"links", unserved_without_links(v), true},
        {"stops", v->cut_in_stop + v->cut_early + v->broken_off, true},
        {"no-cuts", v->cut_unsignalled, true},
        {"pipelines", v->behind, true},
        {"refusals-in-stops", v->incomplete_refusals, true},
        {"outcomes", v->no_outcome, true},
        {"recovery", has_not_recovered(v), true},
    };
    bool is_clean = true;

    for (size_t i = 0; i < G_N_ELEMENTS(guarantees); i++) {
        bool is_checked = !guarantees[i].played || played;
        if (is_checked && guarantees[i].violations > 0) {
            (void)printf("broken: %s %lu\n", guarantees[i].name,
                         (unsigned long)guarantees[i].violations);
            is_clean = false;
        }
    }
    return is_clean;
}

static void
print_stops(const SiteVerdict *v)
{
    (void)printf(
        "stops: %lu cut that were sent during a stop, %lu such ones "
        "broken off at its end, %lu before the "
        "end of the grace period, %lu by an entry without a signal, "
        "%lu incomplete refusals, %lu without an outcome, %lu behind "
        "an answer that closed; %lu cut at the end of the grace "
        "period, %lu by a kill, %lu crossed a close\n",
        (unsigned long)v->cut_in_stop, (unsigned long)v->broken_off,
        (unsigned long)v->cut_early, (unsigned long)v->cut_unsignalled,
        (unsigned long)v->incomplete_refusals, (unsigned long)v->no_outcome,
        (unsigned long)v->behind, (unsigned long)v->cut_at_grace,
        (unsigned long)v->killed, (unsigned long)v->crossed);
}

bool
SiteVerdict_Print(const SiteVerdict *v, bool played)
{
    (void)printf("site: %lu sent, %lu answered, %lu not run, %lu unknown, "
                 "%lu cut; %lu doubled, %lu false refusals, %lu wrong "
                 "answers, %lu after a drain; p50 %.1f ms, p99 %.1f ms\n",
                 (unsigned long)v->sent, (unsigned long)v->answered,
                 (unsigned long)v->not_run, (unsigned long)v->unknown,
                 (unsigned long)v->lost, (unsigned long)v->doubled,
                 (unsigned long)v->false_refusals, (unsigned long)v->wrong,
                 (unsigned long)v->late, quantile_ms(v->latencies_us, 0.5),
                 quantile_ms(v->latencies_us, 0.99));
    if (v->crashes > 0) {
        (void)printf("crashes: %lu servers crashed by requests, at most %lu "
                     "sends of a request after its third crash\n",
                     (unsigned long)v->crashes, (unsigned long)v->crash_sends);
    }
    if (v->abandoned > 0) {
        (void)printf("unread: %lu requests of callers that do not read\n",
                     (unsigned long)v->abandoned);
    }
    if (played) {
        print_stops(v);
    }
    if (v->cut_sent > 0) {
        (void)printf(
            "links: %lu of %lu answered by entries without links to "
            "servers, %lu of %lu by the others meanwhile\n",
            (unsigned long)v->cut_answered, (unsigned long)v->cut_sent,
            (unsigned long)v->linked_answered, (unsigned long)v->linked_sent);
    }
    if (v->faults_ended) {
        (void)printf("calm: %lu of %lu answered\n",
                     (unsigned long)v->recovery_answered,
                     (unsigned long)v->recovery_sent);
    }
    return print_violations(v, played);
}
