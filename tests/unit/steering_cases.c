#include "unit/steering_cases.h"

#include <criterion/criterion.h>

FakeSteering *
Steering_Start(uint32_t attempts_max)
{
    FakeSteering *f = FakeSteering_Create("r1", "d1");

    FakeSteering_Configure(f, 1, attempts_max);
    return f;
}

void
Steering_Finish(FakeSteering *f)
{
    cr_expect_str_eq(f->broken->str, "");
    FakeSteering_Free(f);
}

FakeRequest *
Steering_FillAhead(FakeSteering *f, const char *path, const char *key)
{
    FakeRequest *req = FakeSteering_Arrive(f, path, key, 3000);

    for (int i = 0; i < GW_SLOTS_AHEAD; i++) {
        FakeRequest *ahead = FakeSteering_Arrive(f, path, key, 3000);
        cr_assert_eq(ahead->server, req->server);
    }
    return req;
}

void
Steering_Warm(FakeSteering *f, const char *path, const char *key)
{
    FakeRequest *req = FakeSteering_Arrive(f, path, key, 3000);

    cr_assert_not_null(req->server);
    FakeSteering_Advance(f, 300000);
    FakeSteering_EndAttempt(f, req, GW_ATTEMPT_ANSWERED, 200);
    cr_assert(req->over);
}
