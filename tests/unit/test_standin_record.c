#include "common/answer.h"
#include "common/record.h"

#include <criterion/criterion.h>
#include <string.h>

/* Comparison of the outcomes of callers with the journals of the backend
 * servers: each kind of contradiction is counted, and nothing else. */

typedef struct {
    const char *name;
    const char *op;
    GsOutcome outcome;
    bool whole;
    uint32_t runs;
    uint64_t doubled;
    uint64_t false_refusals;
    uint64_t wrong;
    uint64_t sent;
    bool good;
} Case;

static const Case cases[] = {
    {"answered once", "booking", GS_OUTCOME_ANSWERED, true, 1, 0, 0, 0, 1,
     true},
    {"never ran", "booking", GS_OUTCOME_ANSWERED, true, 0, 0, 0, 1, 1, false},
    {"ran twice", "booking", GS_OUTCOME_ANSWERED, true, 2, 1, 0, 1, 1, false},
    {"truncated", "booking", GS_OUTCOME_ANSWERED, false, 1, 0, 0, 1, 1, false},
    {"look-up", "look-up", GS_OUTCOME_ANSWERED, true, 0, 0, 0, 0, 1, true},
    {"bad look-up", "look-up", GS_OUTCOME_ANSWERED, false, 0, 0, 0, 1, 1,
     false},
    {"refused", "booking", GS_OUTCOME_NOT_RUN, false, 0, 0, 0, 0, 1, true},
    {"refused, ran", "booking", GS_OUTCOME_NOT_RUN, false, 1, 0, 1, 0, 1,
     false},
    {"refused, twice", "booking", GS_OUTCOME_NOT_RUN, false, 2, 1, 1, 0, 1,
     false},
    {"unknown", "booking", GS_OUTCOME_UNKNOWN, false, 0, 0, 0, 0, 1, true},
    {"unknown, ran", "booking", GS_OUTCOME_UNKNOWN, false, 1, 0, 0, 0, 1,
     true},
    {"unknown, twice", "booking", GS_OUTCOME_UNKNOWN, false, 2, 1, 0, 0, 1,
     false},
    {"not sent", "booking", GS_OUTCOME_NOT_SENT, false, 0, 0, 0, 0, 0, true},
    {"not sent, ran", "booking", GS_OUTCOME_NOT_SENT, false, 1, 0, 1, 0, 0,
     false},
    {"no outcome", "booking", GS_OUTCOME_NONE, false, 0, 0, 0, 0, 1, false},
};

static GsVerdict
compute_case(const Case *c)
{
    GsRecord record = {.key = "k",
                       .operation = GsOperation_Find("lich-hen", c->op),
                       .outcome = c->outcome,
                       .answer_whole = c->whole};
    GsRun run = {.key = "k"};
    GPtrArray *records = g_ptr_array_new();
    GPtrArray *runs = g_ptr_array_new();
    g_ptr_array_add(records, &record);
    for (uint32_t i = 0; i < c->runs; i++) {
        g_ptr_array_add(runs, &run);
    }
    GsVerdict v = GsVerdict_Compute(records, runs);
    g_ptr_array_free(records, TRUE);
    g_ptr_array_free(runs, TRUE);
    return v;
}

Test(standin_record, counts_each_contradiction)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        const Case *c = &cases[i];
        GsVerdict v = compute_case(c);
        cr_assert_eq(v.doubled, c->doubled, "%s", c->name);
        cr_assert_eq(v.false_refusals, c->false_refusals, "%s", c->name);
        cr_assert_eq(v.wrong_answers, c->wrong, "%s", c->name);
        cr_assert_eq(v.sent, c->sent, "%s", c->name);
        cr_assert_eq(v.unknown_ran,
                     c->outcome == GS_OUTCOME_UNKNOWN && c->runs > 0, "%s",
                     c->name);
        cr_assert_eq(GsVerdict_IsClean(&v), c->good, "%s", c->name);
    }
}

/* A refusal followed by an answered retry is false only if the run started
 * before the refusal was received: the caller could have given up then and
 * reported that nothing was booked. */
Test(standin_record, refusal_is_false_if_the_run_started_before)
{
    static const struct {
        int64_t refused_at_us;
        int64_t start_us;
        uint64_t expected;
    } times[] = {{0, 10, 0}, {5, 10, 0}, {10, 10, 1}, {15, 10, 1}};
    for (size_t i = 0; i < sizeof(times) / sizeof(times[0]); i++) {
        GsRecord record = {.key = "k",
                           .operation =
                               GsOperation_Find("lich-hen", "booking"),
                           .outcome = GS_OUTCOME_ANSWERED,
                           .answer_whole = true,
                           .refused_at_us = times[i].refused_at_us};
        GsRun run = {.key = "k", .start_us = times[i].start_us};
        GPtrArray *records = g_ptr_array_new();
        GPtrArray *runs = g_ptr_array_new();
        g_ptr_array_add(records, &record);
        g_ptr_array_add(runs, &run);
        GsVerdict v = GsVerdict_Compute(records, runs);
        cr_assert_eq(v.false_refusals, times[i].expected, "case %zu", i);
        g_ptr_array_free(records, TRUE);
        g_ptr_array_free(runs, TRUE);
    }
}

Test(standin_record, summary_line_has_a_fixed_format)
{
    char text[256] = "";
    GsVerdict v = {.sent = 9, .answered = 6, .not_run = 2, .unknown = 1};
    FILE *f = fmemopen(text, sizeof(text), "w");
    GsVerdict_PrintLine(&v, f);
    fclose(f);
    cr_assert_str_eq(text, "demo: 9 sent, 6 answered, 2 not run, 1 unknown; "
                           "0 doubled, 0 false refusals, 0 wrong answers\n");
}

Test(standin_record, percentiles_use_the_nearest_rank)
{
    const GsOperation *o = GsOperation_Find("lich-hen", "look-up");
    GsRecord r[100];
    GPtrArray *records = g_ptr_array_new();
    for (int i = 0; i < 100; i++) {
        r[i] = (GsRecord){.operation = o,
                          .outcome = GS_OUTCOME_ANSWERED,
                          .latency_us = 100 - i};
        g_ptr_array_add(records, &r[i]);
    }
    cr_assert_eq(GsRecord_Percentile(records, o, 50), 50);
    cr_assert_eq(GsRecord_Percentile(records, o, 99), 99);
    cr_assert_eq(GsRecord_Percentile(records, NULL, 99), -1);
    g_ptr_array_free(records, TRUE);
}

Test(standin_record, answer_check_detects_wrong_key_and_truncation)
{
    char *text = GsAnswer_Make("lh-1", "key-7", 32);
    cr_assert(GsAnswer_Check(text, "key-7"));
    cr_assert_not(GsAnswer_Check(text, "key-8"));
    char *pad = strstr(text, "xxxx");
    memmove(pad, pad + 1, strlen(pad));
    cr_assert_not(GsAnswer_Check(text, "key-7"), "one byte missing");
    text[strlen(text) - 3] = '\0';
    cr_assert_not(GsAnswer_Check(text, "key-7"), "truncated");
    cr_assert_not(GsAnswer_Check("", "key-7"));
    cr_assert_not(GsAnswer_Check(NULL, "key-7"));
    g_free(text);
}

Test(standin_record, journal_lines_survive_a_round_trip)
{
    GsRun run = {.backend = "lh-1",
                 .service = "lich-hen",
                 .op = "booking",
                 .key = "k1",
                 .request_id = "t-1",
                 .start_us = 5,
                 .end_us = 9};
    GsRun back;
    char *line = GsRun_Format(&run);
    cr_assert(GsRun_Parse(line, &back));
    cr_assert_str_eq(back.backend, run.backend);
    cr_assert_str_eq(back.key, run.key);
    cr_assert_str_eq(back.request_id, run.request_id);
    cr_assert_eq(back.start_us, 5);
    cr_assert_eq(back.end_us, 9);
    cr_assert_not(GsRun_Parse("{\"backend\": \"lh", &back));
    g_free(line);
}
