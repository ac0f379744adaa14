#include "common/record.h"

#include <string.h>

const char *
GsOutcome_Name(GsOutcome outcome)
{
    static const char *const names[] = {"none", "not-sent", "answered",
                                        "not-run", "unknown"};
    return names[outcome];
}

/* Journal entries of one key. */
typedef struct {
    uint32_t count;
    int64_t first_us; /* start of the first run */
} KeyRuns;

static GHashTable *
runs_by_key(const GPtrArray *runs)
{
    GHashTable *by_key =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    for (uint32_t i = 0; i < runs->len; i++) {
        GsRun *r = runs->pdata[i];
        KeyRuns *k = g_hash_table_lookup(by_key, r->key);
        if (k == NULL) {
            k = g_new0(KeyRuns, 1);
            k->first_us = r->start_us;
            g_hash_table_insert(by_key, r->key, k);
        }
        k->first_us = MIN(k->first_us, r->start_us);
        k->count++;
    }
    return by_key;
}

static uint64_t
count_doubled(GHashTable *by_key)
{
    GHashTableIter it;
    gpointer k = NULL;
    uint64_t doubled = 0;
    g_hash_table_iter_init(&it, by_key);
    while (g_hash_table_iter_next(&it, NULL, &k)) {
        doubled += ((const KeyRuns *)k)->count > 1;
    }
    return doubled;
}

/* A not-run outcome is false when the request was already executing when the
 * caller received it, even if a later attempt has another outcome: the caller
 * may act on any refusal. As the final outcome it is false if the request was
 * executed at any time. */
static bool
is_false_refusal(const GsRecord *r, const KeyRuns *runs)
{
    if (runs == NULL) {
        return false;
    }
    return r->outcome == GS_OUTCOME_NOT_RUN ||
           r->outcome == GS_OUTCOME_NOT_SENT ||
           (r->refused_at_us > 0 && runs->first_us <= r->refused_at_us);
}

static void
count_record(GsVerdict *v, const GsRecord *r, const KeyRuns *runs)
{
    v->false_refusals += is_false_refusal(r, runs);
    v->unstated += r->unstated;
    v->sent += r->outcome != GS_OUTCOME_NOT_SENT;
    switch (r->outcome) {
    case GS_OUTCOME_NONE:
        v->no_outcome++;
        break;
    case GS_OUTCOME_NOT_SENT:
        v->not_sent++;
        break;
    case GS_OUTCOME_ANSWERED: {
        bool once =
            r->operation->idempotent || (runs != NULL && runs->count == 1);
        v->answered++;
        v->wrong_answers += !r->answer_whole || !once;
        break;
    }
    case GS_OUTCOME_NOT_RUN:
        v->not_run++;
        break;
    case GS_OUTCOME_UNKNOWN:
        v->unknown++;
        v->unknown_ran += runs != NULL;
        break;
    }
}

/* Counts the outcomes and the three violations: keys executed more than once,
 * false refusals and wrong answers. */
GsVerdict
GsVerdict_Compute(const GPtrArray *records, const GPtrArray *runs)
{
    GsVerdict v = {0};
    GHashTable *by_key = runs_by_key(runs);
    v.doubled = count_doubled(by_key);
    for (uint32_t i = 0; i < records->len; i++) {
        const GsRecord *r = records->pdata[i];
        count_record(&v, r, g_hash_table_lookup(by_key, r->key));
    }
    g_hash_table_destroy(by_key);
    return v;
}

/* Returns true when no key was executed twice, no refusal was false, no answer
 * was wrong, and every request and every reply had an outcome. */
bool
GsVerdict_IsClean(const GsVerdict *v)
{
    return v->doubled == 0 && v->false_refusals == 0 &&
           v->wrong_answers == 0 && v->no_outcome == 0 && v->unstated == 0;
}

/* Prints the summary line. Scripts parse it, so its format is fixed. */
void
GsVerdict_PrintLine(const GsVerdict *v, FILE *out)
{
    fprintf(out,
            "demo: %llu sent, %llu answered, %llu not run, %llu unknown; "
            "%llu doubled, %llu false refusals, %llu wrong answers\n",
            (unsigned long long)v->sent, (unsigned long long)v->answered,
            (unsigned long long)v->not_run, (unsigned long long)v->unknown,
            (unsigned long long)v->doubled,
            (unsigned long long)v->false_refusals,
            (unsigned long long)v->wrong_answers);
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;
    return (x > y) - (x < y);
}

/* Returns a latency percentile of the answered requests of an operation in
 * microseconds (nearest rank), or -1 when there are none. */
int64_t
GsRecord_Percentile(const GPtrArray *records, const GsOperation *operation,
                    uint32_t percent)
{
    GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
    for (uint32_t i = 0; i < records->len; i++) {
        const GsRecord *r = records->pdata[i];
        if (r->operation == operation && r->outcome == GS_OUTCOME_ANSWERED) {
            g_array_append_val(times, r->latency_us);
        }
    }
    g_array_sort(times, compare_times);
    int64_t found = -1;
    if (times->len > 0) {
        uint64_t rank = ((uint64_t)times->len * percent + 99) / 100;
        found = g_array_index(times, int64_t, rank > 0 ? rank - 1 : 0);
    }
    g_array_free(times, TRUE);
    return found;
}
