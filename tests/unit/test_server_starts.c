/* What a server has stated is kept by start, not by row. */
#include "unit/steering_cases.h"

#include <criterion/criterion.h>

#define S       1000000
#define BORN_MS 1 /* of FakeSteering_PutServer */
/* Until an entry may own a share of a limit. */
#define OWN_SHARE_US (3 * S)

typedef struct {
    const char *what;
    GwAttemptEnd end;
} Statement;

static const Statement statements[] = {
    {"it leaves",
     {.outcome = GW_ATTEMPT_ANSWERED, .status = 200, .leaving = true}},
    {"it wants rest",
     {.outcome = GW_ATTEMPT_REFUSED, .status = 503, .rest_us = 60 * S}},
    {"its limit is 0",
     {.outcome = GW_ATTEMPT_ANSWERED,
      .status = 200,
      .limit = GW_LIMIT_STATED}},
};

static void
put_row(FakeSteering *f, uint64_t born_ms)
{
    GwServerInfo info = FakeSteering_Info("a", "s", "r1", "d1", 4);

    info.born_ms = born_ms;
    GwRouter_PutServer(f->router, f->now_us, &info, f->actions);
    FakeSteering_RunActions(f);
}

/* Guards against: a server gets requests against what it has stated because
 * its row was written again, before or after the answer that stated it. */
Test(server_starts, statements_outlive_rows)
{
    static const struct {
        const char *what;
        bool expired;
        uint64_t born_ms[2];
        bool is_used;
    } cases[] = {
        {"the same row", false, {BORN_MS, BORN_MS}, false},
        {"expired, written again", true, {BORN_MS, BORN_MS}, false},
        {"an earlier start's row between",
         false,
         {BORN_MS - 1, BORN_MS},
         false},
        {"a newer start", false, {BORN_MS + 1, BORN_MS + 1}, true},
        {"expired, a newer start", true, {BORN_MS + 1, BORN_MS + 1}, true},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(statements); i++) {
        for (size_t k = 0; k < 2 * G_N_ELEMENTS(cases); k++) {
            size_t at = k / 2;
            bool is_before = k % 2 == 0;
            FakeSteering *f = Steering_Start(1);
            FakeSteering_PutServer(f, "a", "r1", "d1", 4);
            FakeSteering_Advance(f, OWN_SHARE_US);
            FakeRequest *req = FakeSteering_Arrive(f, "/once/", NULL, 3000);
            if (is_before) {
                FakeSteering_EndAttemptSo(f, req, &statements[i].end);
            }
            if (cases[at].expired) {
                GwRouter_DropServer(f->router, f->now_us, "a", f->actions);
                FakeSteering_RunActions(f);
            }
            put_row(f, cases[at].born_ms[0]);
            put_row(f, cases[at].born_ms[1]);
            if (!is_before) {
                FakeSteering_EndAttemptSo(f, req, &statements[i].end);
            }
            FakeRequest *next = FakeSteering_Arrive(f, "/once/", NULL, 500);
            cr_expect_eq(next->server != NULL, cases[at].is_used, "%s, %s, %s",
                         statements[i].what, cases[at].what,
                         is_before ? "stated before" : "stated after");
            Steering_Finish(f);
        }
    }
}
