#include "common/record.h"

#include <string.h>

const char *
GsEnd_Name(GsEnd end)
{
    static const char *const names[] = {"none", "not-sent", "answered",
                                        "not-run", "unknown"};
    return names[end];
}

/* How often each key was executed, over all journals. */
static GHashTable *
count_runs(const GPtrArray *runs)
{
    GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);
    for (uint32_t i = 0; i < runs->len; i++) {
        GsRun *r = runs->pdata[i];
        gpointer n = g_hash_table_lookup(counts, r->key);
        g_hash_table_replace(counts, r->key,
                             GUINT_TO_POINTER(GPOINTER_TO_UINT(n) + 1));
    }
    return counts;
}

static uint64_t
count_doubled(GHashTable *counts)
{
    GHashTableIter it;
    gpointer n = NULL;
    uint64_t doubled = 0;
    g_hash_table_iter_init(&it, counts);
    while (g_hash_table_iter_next(&it, NULL, &n)) {
        doubled += GPOINTER_TO_UINT(n) > 1;
    }
    return doubled;
}

/* `runs` is how often this request's key was executed. A request that never
 * left and yet ran is as false as a refusal. */
static void
judge_one(GsVerdict *v, const GsRecord *r, uint32_t runs)
{
    v->sent += r->end != GS_END_NOT_SENT;
    switch (r->end) {
    case GS_END_NONE:
        v->no_outcome++;
        break;
    case GS_END_NOT_SENT:
        v->not_sent++;
        v->false_refusals += runs > 0;
        break;
    case GS_END_ANSWERED: {
        bool once = r->operation->idempotent || runs == 1;
        v->answered++;
        v->wrong_answers += !r->answer_whole || !once;
        break;
    }
    case GS_END_NOT_RUN:
        v->not_run++;
        v->false_refusals += runs > 0;
        break;
    case GS_END_UNKNOWN:
        v->unknown++;
        break;
    }
}

/* Counts outcomes and the three faults that may never be. */
GsVerdict
GsVerdict_Judge(const GPtrArray *records, const GPtrArray *runs)
{
    GsVerdict v = {0};
    GHashTable *counts = count_runs(runs);
    v.doubled = count_doubled(counts);
    for (uint32_t i = 0; i < records->len; i++) {
        const GsRecord *r = records->pdata[i];
        gpointer n = g_hash_table_lookup(counts, r->key);
        judge_one(&v, r, GPOINTER_TO_UINT(n));
    }
    g_hash_table_destroy(counts);
    return v;
}

/* True when nothing was doubled, falsely refused, wrongly answered or left
 * without an outcome. */
bool
GsVerdict_Good(const GsVerdict *v)
{
    return v->doubled == 0 && v->false_refusals == 0 &&
           v->wrong_answers == 0 && v->no_outcome == 0;
}

/* The closing line; its form is fixed, since scripts read it. */
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

/* Latency in us that `percent` of the answered requests of an operation
 * stayed within (nearest rank); -1 without any. */
int64_t
GsRecord_Percentile(const GPtrArray *records, const GsOperation *operation,
                    uint32_t percent)
{
    GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
    for (uint32_t i = 0; i < records->len; i++) {
        const GsRecord *r = records->pdata[i];
        if (r->operation == operation && r->end == GS_END_ANSWERED) {
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
