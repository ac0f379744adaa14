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

/* Whether fewer than nine of ten requests are answered once no fault is left.
 */
static bool
has_not_recovered(const SiteVerdict *v)
{
    return v->calm &&
           (v->calm_sent == 0 || v->calm_answered * 10 < v->calm_sent * 9);
}

/* One line for each promise that was not kept. */
static bool
all_kept(const SiteVerdict *v, bool played)
{
    const struct {
        const char *promise;
        uint64_t broken;
        bool played; /* judged where the entries are signalled from here */
    } promises[] = {
        {"at-most-once", v->doubled, false},
        {"true-refusals", v->false_refusals, false},
        {"own-answers", v->wrong, false},
        {"drains", v->late, false},
        {"server-limits", v->above_limit, false},
        {"crash-budget",
         v->crash_sends > SITE_CRASH_SENDS_MAX ? v->crash_sends : 0, false},
        {"service", v->answered == 0, false},
        {"events", v->misled, false},
        {"stops", v->cut_in_stop + v->cut_early, true},
        {"no-cuts", v->cut_sound, true},
        {"pipelines", v->behind, true},
        {"refusals-in-stops", v->bare_refusals, true},
        {"outcomes", v->no_outcome, true},
        {"recovery", has_not_recovered(v), true},
    };
    bool kept = true;

    for (size_t i = 0; i < G_N_ELEMENTS(promises); i++) {
        bool judged = !promises[i].played || played;
        if (judged && promises[i].broken > 0) {
            (void)printf("broken: %s %lu\n", promises[i].promise,
                         (unsigned long)promises[i].broken);
            kept = false;
        }
    }
    return kept;
}

static void
tell_stops(const SiteVerdict *v)
{
    (void)printf("stops: %lu cut that came in a stop, %lu before the grace "
                 "was over, %lu by a sound entry, %lu bare refusals, %lu "
                 "without an outcome, %lu behind an answer that closed; %lu "
                 "cut at the end of the grace, %lu by a kill, %lu crossed a "
                 "close\n",
                 (unsigned long)v->cut_in_stop, (unsigned long)v->cut_early,
                 (unsigned long)v->cut_sound, (unsigned long)v->bare_refusals,
                 (unsigned long)v->no_outcome, (unsigned long)v->behind,
                 (unsigned long)v->cut_at_grace, (unsigned long)v->killed,
                 (unsigned long)v->crossed);
}

bool
SiteVerdict_Tell(const SiteVerdict *v, bool played)
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
        (void)printf("crashes: %lu servers crashed by requests, %lu sends of "
                     "one after its third crash\n",
                     (unsigned long)v->crashes, (unsigned long)v->crash_sends);
    }
    if (played) {
        tell_stops(v);
    }
    if (v->calm) {
        (void)printf("calm: %lu of %lu answered\n",
                     (unsigned long)v->calm_answered,
                     (unsigned long)v->calm_sent);
    }
    return all_kept(v, played);
}
