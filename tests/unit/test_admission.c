/* Requests that need a token of their organisation's quota. */
#include "fakes/steering.h"

#include <criterion/criterion.h>

#define LEFT_MS 2000
#define OWN     1
#define OTHER   2
#define THIRD   3
#define MS      1000

typedef struct {
    FakeSteering *f;
    GwQuota *quota;
    bool is_owner_heard;
} Setup;

static Setup
start(double rate_per_s, double burst, uint64_t owner)
{
    GwQuotaParams params = {
        .own_id = OWN,
        .process = 1,
        .bounds = {.window_ms = 5000, .overrun = 0.1, .slack = 20}};
    GwQuotaLimit limits[] = {
        {.name = "o0", .rate_per_s = rate_per_s, .burst = burst},
        {.name = "o1"},
    };
    GwQuotaMember members[] = {{.id = owner}, {.id = OWN}, {.id = THIRD}};
    GwQuotaView view = {.members = members,
                        .member_count = owner == OWN ? 1 : 3,
                        .entries = 1,
                        .is_settled = true};
    GwRouting *routing = FakeSteering_Routing(1, 3);
    Setup s = {.f = FakeSteering_Create("r1", "d1")};

    s.quota = GwQuota_Create(&params, s.f->now_us);
    GwQuota_SetLimits(s.quota, s.f->now_us, limits, 2);
    GwQuota_SetView(s.quota, s.f->now_us, &view);
    GwRouter_SetQuota(s.f->router, s.quota);
    FakeSteering_AddOrganisations(routing, 2);
    cr_assert(GwRouter_SetRouting(s.f->router, routing));
    GwRouting_Unref(routing);
    FakeSteering_PutServer(s.f, "s1", "r1", "d1", 64);
    s.f->credential = "key0";
    return s;
}

static void
stop(Setup *s)
{
    FakeSteering_Free(s->f);
    GwQuota_Free(s->quota);
}

static void
advance(Setup *s, int64_t us)
{
    int64_t end_us = s->f->now_us + us;

    while (s->f->now_us < end_us) {
        GwQuotaMessage ceded = {.kind = GW_QUOTA_CEDED, .peer = OTHER};
        FakeSteering_Advance(s->f, GW_QUOTA_TICK_MS * MS);
        if (s->is_owner_heard) {
            (void)GwQuota_Receive(s->quota, s->f->now_us, &ceded);
        }
        if (GwQuota_Tick(s->quota, s->f->now_us)) {
            GwRouter_RetryTokens(s->f->router, s->f->now_us, s->f->actions);
            FakeSteering_RunActions(s->f);
        }
    }
}

/* Guards against: an organisation runs more than its quota allows, or one
 * without a quota is limited. */
Test(admission, requests_above_the_quota_are_denied)
{
    static const struct {
        const char *credential;
        uint32_t arrivals;
        uint32_t sent_min;
        uint32_t sent_max;
    } cases[] = {
        /* Rate and burst are 10, in 11 s, and a window may have more. */
        {"key0", 200, 100, (10 * 11 + 10) * 11 / 10 + 20},
        {"key1", 200, 200, 200},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Setup s = start(10, 10, OWN);
        GPtrArray *all = s.f->requests;
        uint32_t sent = 0;
        uint32_t denied = 0;
        advance(&s, 3000 * MS);
        s.f->credential = cases[i].credential;
        for (uint32_t k = 0; k < cases[i].arrivals; k++) {
            (void)FakeSteering_Arrive(s.f, "/once/x", NULL, LEFT_MS);
            advance(&s, 50 * MS);
            for (guint j = 0; j < all->len; j++) {
                FakeSteering_EndAttempt(s.f, all->pdata[j],
                                        GW_ATTEMPT_ANSWERED, 200);
            }
        }
        advance(&s, 1000 * MS);
        for (guint j = 0; j < all->len; j++) {
            const FakeRequest *req = all->pdata[j];
            sent += req->sends;
            denied += req->status == 429;
            cr_expect(req->status != 429 || req->retry_after_ms > 0);
        }
        cr_expect_geq(sent, cases[i].sent_min, "case %zu: %u", i, sent);
        cr_expect_leq(sent, cases[i].sent_max, "case %zu: %u", i, sent);
        cr_expect_eq(sent + denied, cases[i].arrivals, "case %zu", i);
        stop(&s);
    }
}

/* Guards against: a request that another entry passed on, with a token of its
 * own, uses a second one. */
Test(admission, a_request_that_was_passed_on_needs_no_token)
{
    Setup s = start(1, 1, OWN);

    s.f->arrivals_are_passed_on = true;
    for (int i = 0; i < 40; i++) {
        const FakeRequest *req =
            FakeSteering_Arrive(s.f, "/once/x", NULL, LEFT_MS);
        cr_expect_not_null(req->server, "request %d", i);
    }
    stop(&s);
}

static GwQuotaMessage
next_of_kind(Setup *s, GwQuotaMessageKind kind)
{
    GwQuotaMessage msg = {0};

    while (GwQuota_NextMessage(s->quota, &msg) && msg.kind != kind) {
    }
    cr_assert_eq(msg.kind, kind);
    return msg;
}

static void
answer(Setup *s, const GwQuotaMessage *asked, uint32_t count)
{
    GwQuotaMessage grant = {
        .kind = GW_QUOTA_GRANT,
        .peer = OTHER,
        .organisation = asked->organisation,
        .id = asked->id,
        .count = count,
        .wait_ms = 5000,
    };

    if (GwQuota_Receive(s->quota, s->f->now_us, &grant)) {
        GwRouter_RetryTokens(s->f->router, s->f->now_us, s->f->actions);
        FakeSteering_RunActions(s->f);
    }
}

/* Guards against: a request is sent before its token came, or a second copy of
 * a grant admits another one. */
Test(admission, a_request_waits_for_the_answer_of_the_owner)
{
    Setup s = start(1000, 10, OTHER);

    FakeRequest *one = FakeSteering_Arrive(s.f, "/once/a", NULL, LEFT_MS);
    GwQuotaMessage asked = next_of_kind(&s, GW_QUOTA_ASK);
    cr_expect_eq(one->sends, 0);
    cr_expect_eq(one->status, 0);
    answer(&s, &asked, 1);
    cr_expect_eq(one->sends, 1);
    FakeRequest *two = FakeSteering_Arrive(s.f, "/once/b", NULL, LEFT_MS);
    answer(&s, &asked, 1);
    cr_expect_eq(two->sends, 0);
    asked = next_of_kind(&s, GW_QUOTA_ASK);
    answer(&s, &asked, 0);
    cr_expect_eq(two->status, 429);
    stop(&s);
}

/* Guards against: a request that waited behind another on its connection is
 * refused before the owner of its quota was asked. */
Test(admission, time_in_a_pipeline_is_no_wait_for_the_owner)
{
    Setup s = start(1000, 10, OTHER);

    s.f->arrivals_waited_us = 1400 * MS;
    FakeRequest *req = FakeSteering_Arrive(s.f, "/once/a", NULL, LEFT_MS);
    GwQuotaMessage asked = next_of_kind(&s, GW_QUOTA_ASK);
    cr_expect_eq(req->status, 0);
    answer(&s, &asked, 1);
    cr_expect_eq(req->sends, 1);
    stop(&s);
}

/* Guards against: requests hang, or run without a token, while no owner
 * answers. */
Test(admission, without_an_answer_requests_are_refused_as_not_run)
{
    Setup s = start(0.1, 0, OTHER);

    FakeRequest *req = FakeSteering_Arrive(s.f, "/once/a", NULL, LEFT_MS);
    advance(&s, 1500 * MS);
    cr_expect_eq(req->sends, 0);
    cr_expect_eq(req->status, 503);
    cr_expect_gt(req->retry_after_ms, 0);
    stop(&s);
}

/* Guards against: a caller that leaves while its request waits for a token
 * leaves the request behind. */
Test(admission, a_waiting_request_ends_with_its_caller)
{
    Setup s = start(1000, 10, OTHER);

    FakeRequest *req = FakeSteering_Arrive(s.f, "/once/a", NULL, LEFT_MS);
    GwQuotaMessage asked = next_of_kind(&s, GW_QUOTA_ASK);
    FakeSteering_Disconnect(s.f, req);
    answer(&s, &asked, 1);
    cr_expect_eq(req->sends, 0);
    cr_expect_eq(GwRouter_OpenCount(s.f->router), 0);
    stop(&s);
}

/* Guards against: a request that waits for a token when a stop ends is cut
 * off. */
Test(admission, a_waiting_request_is_refused_at_the_end_of_a_stop)
{
    Setup s = start(1000, 10, OTHER);
    int64_t end_us = s.f->now_us + 100 * MS;

    FakeRequest *req = FakeSteering_Arrive(s.f, "/once/a", NULL, LEFT_MS);
    GwRouter_Stop(s.f->router, s.f->now_us, end_us, s.f->actions);
    FakeSteering_RunActions(s.f);
    cr_expect_eq(req->status, 0);
    GwRouter_Stop(s.f->router, end_us, end_us, s.f->actions);
    FakeSteering_RunActions(s.f);
    cr_expect_eq(req->status, 503);
    cr_expect_gt(req->retry_after_ms, 0);
    stop(&s);
}

/* Guards against: parts that were ceded to another entry are used here as
 * well, or those of others after they ended. */
Test(admission, an_entry_without_ceded_parts_grants_nothing)
{
    Setup s = start(1000, 10, OTHER);
    GwQuotaMessage ask = {.kind = GW_QUOTA_ASK,
                          .peer = OTHER,
                          .organisation = GwQuota_Hash("o0"),
                          .id = 7,
                          .count = 1};
    GwQuotaMessage cede = {.kind = GW_QUOTA_CEDE, .peer = OTHER, .entries = 1};
    static const struct {
        bool cedes;
        uint32_t wait_ms;
        uint32_t count;
    } steps[] = {{false, 1000, 0}, {true, 300, 1}, {false, 1000, 0}};

    s.is_owner_heard = true;
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        if (steps[i].cedes) {
            (void)GwQuota_Receive(s.quota, s.f->now_us, &cede);
        }
        advance(&s, steps[i].wait_ms * MS);
        (void)GwQuota_Receive(s.quota, s.f->now_us, &ask);
        cr_expect_eq(next_of_kind(&s, GW_QUOTA_GRANT).count, steps[i].count,
                     "step %zu", i);
    }
    stop(&s);
}

/* Guards against: a request begins to wait for a token after the end of a
 * stop, and the process exits before it is answered. */
Test(admission, nothing_waits_for_a_token_after_the_end_of_a_stop)
{
    static const struct {
        int64_t arrives_after_ms; /* the end */
        uint16_t status;          /* right after its arrival */
    } cases[] = {{-100, 0}, {0, 503}, {50, 503}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Setup s = start(1000, 10, OTHER);
        int64_t end_us = s.f->now_us + 1000 * MS;
        GwRouter_Stop(s.f->router, s.f->now_us, end_us, s.f->actions);
        FakeSteering_RunActions(s.f);
        FakeSteering_Advance(s.f, (1000 + cases[i].arrives_after_ms) * MS);
        FakeRequest *req =
            FakeSteering_Arrive(s.f, "/again/a", NULL, 10 * LEFT_MS);
        cr_expect_eq(req->status, cases[i].status, "case %zu", i);
        stop(&s);
    }
}
