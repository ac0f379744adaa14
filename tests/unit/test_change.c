/* One change against a table that loses replies.
 *
 * The write is sent; its reply gets lost, or the write is delayed and takes
 * effect later, or another operator's change comes first. The outcome
 * reported (accepted, refused or pending) must still hold after every late
 * write has arrived. */
#include "config/change.h"
#include "config/sync.h"
#include "fakes/change_table.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

static char *
make_step(void *ctx, const char *text, GError **error)
{
    int step = 0;
    (void)error;
    sscanf(text, "{\"warmup_step\": %d", &step);
    return g_strdup_printf("{\"warmup_step\": %d, \"regions\": "
                           "[{\"name\": \"ogre\", \"seats\": 1}]}",
                           step + *(const int *)ctx);
}

static GwChangeRequest
edit(const char *id, int *step)
{
    GwChangeRequest ask = {.operator_name = "liga",
                           .summary = "step",
                           .content = (uint64_t)*step,
                           .kind = GW_CHANGE_EDIT,
                           .make = make_step,
                           .ctx = step};
    g_strlcpy(ask.request_id, id, sizeof(ask.request_id));
    return ask;
}

/* Runs a change; each letter is the fate of one request: . done, b lost
 * before effect, a lost after effect, l late, * all from here on lost. L
 * delivers a late write first, x applies another change in between. */
static GwChangeResult
run(ChangeTable *t, GwChange *c, const char *script)
{
    static int others = 0;
    GwTableRequest request;
    while (GwChange_Next(c, &request)) {
        for (; *script == 'L' || *script == 'x'; script++) {
            if (*script == 'L') {
                ChangeTable_Deliver(t, 0);
                continue;
            }
            int one = 1;
            char id[20];
            g_snprintf(id, sizeof(id), "other-%d", others++);
            GwChangeRequest ask = edit(id, &one);
            run(t, GwChange_Create(&ask), "");
        }
        ChangeFate fate = *script == 'b' || *script == '*' ? FATE_LOST_BEFORE
                          : *script == 'a'                 ? FATE_LOST_AFTER
                          : *script == 'l'                 ? FATE_DELAYED
                                                           : FATE_DONE;
        script += *script != '\0' && *script != '*';
        GwTableReply reply;
        ChangeTable_Execute(t, &request, fate, &reply);
        GwChange_Reply(c, &reply);
        ChangeTable_ClearReply(&reply);
        GwChange_ClearRequest(&request);
    }
    GwChangeResult result = *GwChange_Result(c);
    result.document = NULL;
    GwChange_Free(c);
    return result;
}

static ChangeTable *
table_at_one(void)
{
    ChangeTable *t = ChangeTable_Create();
    GwChangeRequest ask = {.request_id = "first",
                           .kind = GW_CHANGE_DOCUMENT,
                           .document =
                               "{\"warmup_step\": 1, \"regions\": "
                               "[{\"name\": \"ogre\", \"seats\": 1}]}"};
    cr_assert_eq(run(t, GwChange_Create(&ask), "").outcome,
                 GW_CHANGE_ACCEPTED);
    return t;
}

/* Returns how many log entries carry the request id. */
static int
logged(const ChangeTable *t, const char *id)
{
    int count = 0;
    char key[GW_ROW_KEY_MAX];
    char want[100];
    const char *entry = "";
    g_snprintf(want, sizeof(want), "\"request_id\":\"%s\"", id);
    for (uint32_t v = 1; entry != NULL; v++) {
        g_snprintf(key, sizeof(key), GW_KEY_LOG_PREFIX "%020u", v);
        entry = ChangeTable_Get(t, key);
        count += entry != NULL && strstr(entry, want) != NULL;
    }
    return count;
}

/* clang-format off */
static const struct {
    const char *script;
    bool has_base; /* version 1 */
    GwChangeOutcome outcome;
    GwResultCode code;
    uint64_t version;
    const char *then;          /* script of the later query of the operation */
    GwChangeOutcome then_outcome;
} cases[] = {
    {"....", false, GW_CHANGE_ACCEPTED, GW_RESULT_OK, 2, "", GW_CHANGE_ACCEPTED},
    {"bbbb", false, GW_CHANGE_ACCEPTED, GW_RESULT_OK, 2, "", GW_CHANGE_ACCEPTED},
    {"...b", false, GW_CHANGE_ACCEPTED, GW_RESULT_OK, 2, "", GW_CHANGE_ACCEPTED},
    {"...a", false, GW_CHANGE_ACCEPTED, GW_RESULT_OK, 2, "", GW_CHANGE_ACCEPTED},
    {"...l", false, GW_CHANGE_ACCEPTED, GW_RESULT_OK, 2, "", GW_CHANGE_ACCEPTED},
    {"...l.L", false, GW_CHANGE_ACCEPTED, GW_RESULT_OK, 2, "", GW_CHANGE_ACCEPTED},
    {"...x", false, GW_CHANGE_ACCEPTED, GW_RESULT_OK, 3, "", GW_CHANGE_ACCEPTED},
    {"...x", true, GW_CHANGE_REFUSED, GW_RESULT_CONFLICT, 1, "", GW_CHANGE_REFUSED},
    {"x", true, GW_CHANGE_REFUSED, GW_RESULT_CONFLICT, 2, "", GW_CHANGE_REFUSED},
    {"...l.x", true, GW_CHANGE_REFUSED, GW_RESULT_CONFLICT, 1, "", GW_CHANGE_REFUSED},
    {"...l.Lx", false, GW_CHANGE_ACCEPTED, GW_RESULT_OK, 2, "", GW_CHANGE_ACCEPTED},
    {"x....a", true, GW_CHANGE_REFUSED, GW_RESULT_CONFLICT, 2, "", GW_CHANGE_REFUSED},
    {"*", false, GW_CHANGE_PENDING, GW_RESULT_PENDING, 0, "*", GW_CHANGE_PENDING},
    {"*", false, GW_CHANGE_PENDING, GW_RESULT_PENDING, 0, "", GW_CHANGE_REFUSED},
    {"...l*", false, GW_CHANGE_PENDING, GW_RESULT_PENDING, 1, "L", GW_CHANGE_ACCEPTED},
    {"...l*", false, GW_CHANGE_PENDING, GW_RESULT_PENDING, 1, ".", GW_CHANGE_REFUSED},
    {"...l*", false, GW_CHANGE_PENDING, GW_RESULT_PENDING, 1, ".L", GW_CHANGE_ACCEPTED},
    {"...l*", false, GW_CHANGE_PENDING, GW_RESULT_PENDING, 1, ".l.L", GW_CHANGE_ACCEPTED},
    {"...a*", false, GW_CHANGE_PENDING, GW_RESULT_PENDING, 1, "", GW_CHANGE_ACCEPTED},
};
/* clang-format on */

Test(change, reported_outcomes_stay_true)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        ChangeTable *t = table_at_one();
        int step = 10;
        GwChangeRequest ask = edit("mine", &step);
        ask.has_base = cases[i].has_base;
        ask.base_version = 1;
        GwChangeResult got = run(t, GwChange_Create(&ask), cases[i].script);
        cr_expect_eq(got.outcome, cases[i].outcome, "%zu %s", i, got.message);
        cr_expect_eq(got.code, cases[i].code, "%zu %s", i, got.message);
        cr_expect_eq(got.version, cases[i].version, "%zu %s", i, got.message);
        GwChangeResult then =
            run(t, GwChange_CreateResolve("mine"), cases[i].then);
        cr_expect_eq(then.outcome, cases[i].then_outcome, "%zu %s", i,
                     then.message);
        while (ChangeTable_Deliver(t, 0)) {
        }
        if (then.outcome != GW_CHANGE_PENDING) {
            cr_expect_eq(logged(t, "mine"), then.outcome == GW_CHANGE_ACCEPTED,
                         "%zu", i);
        }
        ChangeTable_Free(t);
    }
}

Test(change, one_request_id_applies_once)
{
    ChangeTable *t = table_at_one();
    int step = 10;
    int other = 11;
    GwChangeRequest ask = edit("mine", &step);
    run(t, GwChange_Create(&ask), "");
    run(t, GwChange_Create(&ask), "x");
    GwChangeResult again = run(t, GwChange_Create(&ask), "");
    cr_expect_eq(again.outcome, GW_CHANGE_ACCEPTED);
    cr_expect_eq(again.version, 2);
    ask = edit("mine", &other);
    GwChangeResult reuse = run(t, GwChange_Create(&ask), "");
    cr_expect_eq(reuse.outcome, GW_CHANGE_REFUSED);
    cr_expect_eq(reuse.code, GW_RESULT_DUPLICATE);
    cr_expect_eq(logged(t, "mine"), 1);
    ChangeTable_Free(t);
}

Test(change, a_refusal_is_repeated_with_its_reason)
{
    ChangeTable *t = table_at_one();
    int step = 70000;
    GwChangeRequest ask = edit("mine", &step);
    for (int i = 0; i < 2; i++) {
        GwChangeResult got = run(t, GwChange_Create(&ask), "");
        cr_expect_eq(got.outcome, GW_CHANGE_REFUSED);
        cr_expect_eq(got.code, GW_RESULT_OUT_OF_BOUNDS);
        cr_expect_not_null(strstr(got.message, "70001 is above 65536"));
    }
    ChangeTable_Free(t);
}

Test(change, an_older_document_comes_back_as_a_new_version)
{
    ChangeTable *t = table_at_one();
    int step = 10;
    GwChangeRequest ask = edit("mine", &step);
    run(t, GwChange_Create(&ask), "");
    GwChangeRequest back = {.request_id = "back",
                            .kind = GW_CHANGE_ROLLBACK,
                            .rollback_version = 1};
    cr_expect_eq(run(t, GwChange_Create(&back), "").version, 3);
    cr_expect_str_eq(
        ChangeTable_Get(t, GW_KEY_DOC_PREFIX "00000000000000000003"),
        ChangeTable_Get(t, GW_KEY_DOC_PREFIX "00000000000000000001"));
    back.rollback_version = 9;
    g_strlcpy(back.request_id, "far", sizeof(back.request_id));
    GwChangeResult far = run(t, GwChange_Create(&back), "");
    cr_expect_eq(far.code, GW_RESULT_NOT_FOUND);
    ChangeTable_Free(t);
}

Test(change, a_bad_request_id_or_document_needs_no_table)
{
    GwChangeRequest ask = {
        .request_id = "a/b", .kind = GW_CHANGE_DOCUMENT, .document = "{}"};
    GwChange *c = GwChange_Create(&ask);
    GwTableRequest request;
    cr_expect_not(GwChange_Next(c, &request));
    cr_expect_eq(GwChange_Result(c)->code, GW_RESULT_INVALID);
    GwChange_Free(c);
    g_strlcpy(ask.request_id, "ab", sizeof(ask.request_id));
    c = GwChange_Create(&ask);
    cr_expect_not(GwChange_Next(c, &request));
    cr_expect_str_eq(GwChange_Result(c)->message,
                     "regions: missing, must be given");
    GwChange_Free(c);
}
