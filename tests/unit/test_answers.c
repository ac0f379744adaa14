/* Interpretation of backend servers' responses. */
#include "edge/edge_internal.h"
#include "platform/platform.h"

#include <criterion/criterion.h>

static GwAttemptEnd
end_with(const char *first, const char *second)
{
    GwHttpMessage *msg = GwHttpMessage_Create();
    const char *name = Platform_Adapter.limit;

    msg->status = 200;
    GwHttpMessage_Add(msg, Platform_Adapter.seal, "x");
    if (first != NULL) {
        GwHttpMessage_Add(msg, name, first);
    }
    if (second != NULL) {
        GwHttpMessage_Add(msg, name, second);
    }
    GwAttemptEnd end = GwAnswer_End(&Platform_Adapter, msg, 0);
    GwHttpMessage_Free(msg);
    return end;
}

/* Guards against malformed limits, which would stop a healthy server or
 * lift the limit of an overloaded one. */
Test(answers, lowest_valid_limit_is_read)
{
    static const struct {
        const char *first;
        const char *second;
        GwLimitStatement word;
        double per_s;
    } cases[] = {
        {NULL, NULL, GW_LIMIT_NONE, 0},
        {"5.7", NULL, GW_LIMIT_STATED, 5.7},
        {"0", NULL, GW_LIMIT_STATED, 0},
        {"1e3", NULL, GW_LIMIT_STATED, 1000},
        {"1e308", NULL, GW_LIMIT_STATED, 1e308},
        {"1e309", NULL, GW_LIMIT_UNKNOWN, 0},
        {"-1", NULL, GW_LIMIT_UNKNOWN, 0},
        {"nan", NULL, GW_LIMIT_UNKNOWN, 0},
        {"inf", NULL, GW_LIMIT_UNKNOWN, 0},
        {"", NULL, GW_LIMIT_UNKNOWN, 0},
        {"five", NULL, GW_LIMIT_UNKNOWN, 0},
        {"5,7", NULL, GW_LIMIT_UNKNOWN, 0},
        {"5.7/s", NULL, GW_LIMIT_UNKNOWN, 0},
        {"9", "5.7", GW_LIMIT_STATED, 5.7},
        {"5.7", "x", GW_LIMIT_STATED, 5.7},
        {"x", "5.7", GW_LIMIT_STATED, 5.7},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwAttemptEnd end = end_with(cases[i].first, cases[i].second);
        cr_expect_eq(end.limit, cases[i].word, "case %zu", i);
        cr_expect(end.limit != GW_LIMIT_STATED ||
                      end.limit_per_s == cases[i].per_s,
                  "case %zu: %g", i, end.limit_per_s);
    }
}
