/* Table-driven tests of the steering rules, with fake seats and members. */
#include "steer_fake.hpp"

#include <cstdio>

namespace {

int failures = 0;

void
expect(bool ok, const char *name, const char *what)
{
    if (!ok) {
        failures++;
        printf("FAIL %s: %s\n", name, what);
    }
}

/* An entry that holds all seats of its region, with its clock and actions. */
struct Entry {
    TestConfig config;
    std::array<uint64_t, SEATS> holder;
    GwSeats_s seats;
    GwMembers_s members;
    GwSteer *steer;
    GwActions out{};
    int64_t now_us = 1000000000;
    std::array<uint32_t, GW_MAX_SERVICES> queued{};

    Entry(const TestConfig &c, const char *region = "here",
          uint32_t policy = GW_POLICY_SLOTS)
        : config(c)
    {
        config.fill();
        holder.fill(1);
        seats.node = 1;
        seats.holder = &holder;
        GwNodeParams p = fake_params(1, 1, region);
        p.policy = policy;
        members.all = {fake_member(1, 1, region), fake_member(2, 1, region),
                       fake_member(3, 1, "here"), fake_member(4, 1, "there")};
        steer = GwSteer_Create(&p);
        GwSteer_Configure(steer, now_us, &config.config);
        tick(0);
    }
    Entry(const Entry &) = delete;
    ~Entry()
    {
        GwSteer_Free(steer);
        GwActions_Free(&out);
    }

    void
    tick(int64_t by_us)
    {
        now_us += by_us;
        GwSteer_Tick(steer, now_us, &members, &seats, queued.data(), &out);
    }

    GwPick
    pick(const GwPickRequest &ask)
    {
        GwPick got{};
        GwSteer_Pick(steer, now_us, &ask, &members, &seats, &got);
        return got;
    }

    GwPick
    pick()
    {
        GwPickRequest ask{};
        ask.deadline_us = now_us + GW_MS(1000);
        return pick(ask);
    }

    void
    done(uint32_t use, GwOutcome outcome, GwReason reason)
    {
        GwAttemptEvent ev{};
        ev.outcome = outcome;
        ev.reason = reason;
        GwSteer_Done(steer, now_us, use, &ev, now_us);
    }

    void
    receive(GwMessage *msg)
    {
        GwSteer_Receive(steer, now_us, msg, &members, &seats, queued.data(),
                        &out);
        GwMessage_Free(msg);
    }

    /* The last sent message of a kind, or NULL. */
    const GwMessage *
    sent(GwMessageKind kind) const
    {
        for (uint32_t i = out.count; i-- > 0;) {
            if (out.items[i].kind == GW_ACTION_SEND &&
                out.items[i].u.send.message->kind == kind) {
                return out.items[i].u.send.message;
            }
        }
        return nullptr;
    }
};

GwMessage *
ask_message(GwNodeId from, GwUnitKind kind, uint32_t count)
{
    GwMessage *msg = GwMessage_Create(GW_MSG_LOAN_ASK, from);

    msg->u.ask.seq = 7;
    msg->u.ask.service = GwName_Hash64("svc");
    msg->u.ask.from_region = GwName_Hash32("here");
    msg->u.ask.count = count;
    msg->u.ask.kind = kind;
    return msg;
}

void
refusals()
{
    struct {
        const char *name;
        uint32_t slots, shift_cap;
        bool drain;
        uint32_t servers;
        bool holds_seats, relayed;
        uint64_t grant;
        GwPickKind kind;
        GwReason reason;
    } cases[] = {
        {"a free slot", 3, 0, false, 2, true, false, 0, GW_PICK_BACKEND,
         GW_REASON_NONE},
        {"no place", 3, 0, false, 0, true, false, 0, GW_PICK_REFUSE,
         GW_REASON_NO_PLACE},
        {"no place, a shift", 3, 4, false, 0, true, false, 0, GW_PICK_WAIT,
         GW_REASON_NONE},
        {"draining", 3, 0, true, 2, true, false, 0, GW_PICK_REFUSE,
         GW_REASON_DRAINING},
        {"draining, a shift", 3, 4, true, 2, true, false, 0, GW_PICK_WAIT,
         GW_REASON_NONE},
        {"draining, relayed", 3, 4, true, 2, true, true, 0, GW_PICK_REFUSE,
         GW_REASON_DRAINING},
        {"unknown grant", 3, 4, false, 2, true, true, 99, GW_PICK_REFUSE,
         GW_REASON_NO_GRANT},
        {"no slots", 0, 0, false, 2, true, false, 0, GW_PICK_REFUSE,
         GW_REASON_NO_SLOT},
        {"no seats", 3, 0, false, 2, false, false, 0, GW_PICK_WAIT,
         GW_REASON_NONE},
    };

    for (const auto &c : cases) {
        Entry e(TestConfig(c.slots, c.shift_cap, 0, c.drain, c.servers));
        GwPickRequest ask{};
        ask.deadline_us = e.now_us + GW_MS(1000);
        ask.relayed = c.relayed;
        ask.grant = c.grant;
        if (!c.holds_seats) {
            e.holder.fill(NO_NODE);
            e.seats.epoch++;
        }
        GwPick got = e.pick(ask);
        expect(got.kind == c.kind, c.name, "kind");
        expect(got.reason == c.reason, c.name, "reason");
        expect(c.kind != GW_PICK_REFUSE || got.retry_after_ms > 0, c.name,
               "retry hint");
    }
}

/* A server fails repeatedly and is ejected. If more than half of the place
 * fails at once, the remaining servers would be overloaded, so all stay
 * candidates. */
void
ejection()
{
    struct {
        const char *name;
        uint32_t failing, failures_each;
        bool is_skipped;
    } cases[] = {
        {"four failures", 1, 4, false},
        {"five failures", 1, 5, true},
        {"half of the place", 2, 5, true},
        {"more than half: panic", 3, 5, false},
    };

    for (const auto &c : cases) {
        Entry e(TestConfig(3, 0, 0, false, 4));
        for (uint32_t i = 0; i < c.failing * c.failures_each; i++) {
            GwHealthEvent h{};
            h.backend = 1000 + i % c.failing;
            GwSteer_ApplyHealth(e.steer, e.now_us, &h);
        }
        bool seen = false;
        for (uint32_t i = 0; i < 12; i++) {
            GwPick got = e.pick();
            seen = seen || (got.kind == GW_PICK_BACKEND &&
                            got.backend < 1000 + c.failing);
        }
        expect(seen != c.is_skipped, c.name, "candidates");
    }
}

void
draining()
{
    const char *name = "draining server";
    Entry e(TestConfig(3, 0, 0, false, 2));
    GwPiggyback piggyback{};

    GwSteer_ApplyDrainHint(e.steer, e.now_us, 1000, 5000);
    GwSteer_FillHeartbeat(e.steer, e.now_us, GwNodeId{1, 1}, &e.seats,
                          e.queued.data(), &piggyback);
    expect(piggyback.drain_count == 0, name, "a peer's hint is not forwarded");
    for (uint32_t i = 0; i < 3; i++) {
        expect(e.pick().backend == 1001, name, "no new calls");
    }
    expect(e.pick().kind == GW_PICK_WAIT, name, "waits for the other");
    e.tick(GW_MS(2001)); /* drain_hint_ttl_ms bounds the hint */
    expect(e.pick().backend == 1000, name, "the hint has expired");
    GwHealthEvent h{};
    h.backend = 1001;
    h.reachable = true;
    h.draining = true;
    GwSteer_ApplyHealth(e.steer, e.now_us, &h);
    GwSteer_FillHeartbeat(e.steer, e.now_us, GwNodeId{1, 1}, &e.seats,
                          e.queued.data(), &piggyback);
    expect(piggyback.drain_count == 1 && piggyback.drains[0].backend == 1001,
           name, "an own observation is forwarded");
}

void
avoided_server()
{
    const char *name = "avoid_backend";
    Entry e(TestConfig(2, 0, 0, false, 2));
    GwPickRequest ask{};

    ask.deadline_us = e.now_us + GW_MS(1000);
    ask.avoid_backend = 1000;
    expect(e.pick(ask).backend == 1001, name, "the other first");
    expect(e.pick(ask).backend == 1001, name, "the other first");
    expect(e.pick(ask).backend == 1000, name, "the same when full");
}

/* A server that answers slowly, or whose late load report shows it idle,
 * must not attract the calls: the entry's own measurements outrank the
 * report. */
void
choice()
{
    struct {
        const char *name;
        int64_t latency_ms[2];
        int32_t report[2]; /* -1 none */
        int64_t age_ms;
        uint64_t better;
    } cases[] = {
        {"slower", {50, 10}, {0, 0}, 0, 1001},
        {"fuller by report", {10, 10}, {2, 0}, 0, 1001},
        {"slow but reports idle", {90, 10}, {0, 2}, 0, 1001},
        {"an unknown load is not idle", {10, 10}, {-1, 0}, 0, 1001},
        {"a late report is not idle", {10, 10}, {3, 1}, 3000, 1001},
    };

    for (const auto &c : cases) {
        Entry e(TestConfig(3, 0, 0, false, 2));
        for (uint32_t i = 0; i < 2; i++) {
            GwBackendState *b = GwSteer_FindBackend(e.steer, 1000 + i);
            GwBackend_RecordSuccess(b, e.now_us, GW_MS(c.latency_ms[i]));
            if (c.report[i] >= 0) {
                GwBackend_RecordLoad(b, e.now_us, (uint32_t)c.report[i]);
            }
        }
        e.tick(GW_MS(c.age_ms));
        expect(e.pick().backend == c.better, c.name, "choice");
    }
}

void
policies()
{
    for (uint32_t policy : {GW_POLICY_TWO_CHOICES, GW_POLICY_SUBSET}) {
        Entry e(TestConfig(2, 0, 0, false, 3), "here", policy);
        uint32_t started = 0;
        while (e.pick().kind == GW_PICK_BACKEND && started < 100) {
            started++;
        }
        expect(started == 6, "policies", "own in flight bounded by slots");
        expect(GwSteer_InFlight(e.steer, 0) == 6, "policies", "in flight");
    }
}

/* Shifted calls reach cold caches. Requests arrive twenty times a second;
 * the granted units grow by at most warmup_step (4) a second, plus one. */
void
warm_up()
{
    Entry e(TestConfig(40, 60, 0, false, 2), "there");
    uint32_t granted = 0;

    for (int64_t ms = 0; ms <= 3000; ms += 50) {
        e.receive(ask_message(GwNodeId{3, 1}, GW_UNIT_SHIFT, 32));
        granted += e.sent(GW_MSG_LOAN_GIVE)->u.give.unit_count;
        expect(granted <= 1 + 4 * ms / 1000, "warm-up", "growth");
        GwActions_Clear(&e.out);
        e.tick(GW_MS(50));
    }
    expect(granted >= 8, "warm-up", "grows");
    e.receive(ask_message(GwNodeId{4, 1}, GW_UNIT_SHIFT, 32));
    expect(e.sent(GW_MSG_LOAN_GIVE) == nullptr, "warm-up",
           "only entries of the source region get grants");
}

/* A source sends one call twice on a grant of one unit, late in the grant's
 * term. The first copy runs; the second is refused as not run. The grant
 * expires while the first runs: its unit may be granted again only after
 * that call has ended, or two calls would run under a cap of one. */
void
grants()
{
    const char *name = "grants";
    Entry e(TestConfig(3, 1, 0, false, 2), "there");
    GwPickRequest ask{};

    e.receive(ask_message(GwNodeId{3, 1}, GW_UNIT_SHIFT, 4));
    expect(e.sent(GW_MSG_LOAN_GIVE)->u.give.unit_count == 1, name, "cap");
    ask.relayed = true;
    ask.grant = e.sent(GW_MSG_LOAN_GIVE)->u.give.loan;
    ask.relay_from = GwNodeId{2, 1};
    e.tick(GW_MS(3000));
    ask.deadline_us = e.now_us + GW_MS(2500);
    expect(e.pick(ask).reason == GW_REASON_NO_GRANT, name, "another peer");
    ask.relay_from = GwNodeId{3, 1};
    GwPick first = e.pick(ask);
    expect(first.kind == GW_PICK_BACKEND, name, "admitted");
    expect(e.pick(ask).reason == GW_REASON_NO_GRANT, name, "all units in use");
    e.tick(GW_MS(1400));
    expect(e.pick(ask).reason == GW_REASON_NO_GRANT, name, "expired");
    e.receive(ask_message(GwNodeId{3, 1}, GW_UNIT_SHIFT, 4));
    expect(e.sent(GW_MSG_LOAN_GIVE)->u.give.unit_count == 0, name,
           "still counted as granted");
    e.done(first.use, GW_OUTCOME_ANSWERED, GW_REASON_NONE);
    e.tick(GW_MS(500));
    e.receive(ask_message(GwNodeId{3, 1}, GW_UNIT_SHIFT, 4));
    expect(e.sent(GW_MSG_LOAN_GIVE)->u.give.unit_count == 1, name,
           "can be granted again");
}

/* A LOAN_GIVE is late or duplicated, so no request waits for it. Its units
 * are returned, unless the loan is held already. */
void
late_and_duplicate_gives()
{
    const char *name = "late gives";
    Entry e(TestConfig(3, 0, 0, false, 2));

    e.holder.fill(2);
    e.seats.epoch++;
    e.queued[0] = 2;
    e.tick(GW_MS(10));
    const GwMessage *ask = e.sent(GW_MSG_LOAN_ASK);
    expect(ask != nullptr, name, "asks for slots");
    if (ask == nullptr) {
        return;
    }
    GwMessage *give = GwMessage_Create(GW_MSG_LOAN_GIVE, GwNodeId{2, 1});
    give->u.give.seq = ask->u.ask.seq;
    give->u.give.loan = 55;
    give->u.give.service = ask->u.ask.service;
    give->u.give.term_ms = 4000;
    give->u.give.kind = GW_UNIT_SLOT;
    give->u.give.unit_count = 1;
    give->u.give.units[0] = GwUnit{GW_UNIT_SLOT, 1000, 1};
    GwActions_Clear(&e.out);
    e.receive(GwMessage_Copy(give));
    e.receive(GwMessage_Copy(give));
    expect(e.sent(GW_MSG_LOAN_RETURN) == nullptr, name,
           "a duplicate is ignored");
    GwPickRequest pick{};
    pick.deadline_us = e.now_us + GW_MS(3800);
    expect(e.pick(pick).kind == GW_PICK_WAIT, name, "outlives the loan");
    expect(e.pick().backend == 1000, name, "runs on the loan");
    expect(e.pick().kind == GW_PICK_WAIT, name, "one unit, one call");
    give->u.give.loan = 56;
    e.receive(give);
    const GwMessage *back = e.sent(GW_MSG_LOAN_RETURN);
    expect(back != nullptr && back->u.giveback.loan == 56, name,
           "a late one is returned");
    e.seats.fenced = true;
    e.seats.epoch++;
    expect(e.pick().kind == GW_PICK_WAIT, name, "fenced");
}

/* Calls wait beside idle borrowed units, because the loan ends before their
 * deadlines. The loan is returned at once, and other units are requested. */
void
short_loans()
{
    const char *name = "short loans";
    Entry e(TestConfig(3, 0, 0, false, 2));
    GwPickRequest pick{};

    e.holder.fill(2);
    e.seats.epoch++;
    e.queued[0] = 1;
    e.tick(GW_MS(10));
    const GwMessage *ask = e.sent(GW_MSG_LOAN_ASK);
    expect(ask != nullptr, name, "asks for slots");
    if (ask == nullptr) {
        return;
    }
    GwMessage *give = GwMessage_Create(GW_MSG_LOAN_GIVE, GwNodeId{2, 1});
    give->u.give.seq = ask->u.ask.seq;
    give->u.give.loan = 55;
    give->u.give.service = GwName_Hash64("svc");
    give->u.give.term_ms = 4000;
    give->u.give.kind = GW_UNIT_SLOT;
    give->u.give.unit_count = 1;
    give->u.give.units[0] = GwUnit{GW_UNIT_SLOT, 1000, 1};
    GwActions_Clear(&e.out);
    e.receive(give);
    pick.deadline_us = e.now_us + GW_MS(3800);
    expect(e.pick(pick).kind == GW_PICK_WAIT, name, "outlives the loan");
    e.tick(GW_MS(40));
    expect(e.sent(GW_MSG_LOAN_RETURN) != nullptr, name, "is returned");
    e.tick(GW_MS(10));
    expect(e.sent(GW_MSG_LOAN_ASK) != nullptr, name, "asks again");
}

void
loan_returns()
{
    struct {
        const char *name;
        GwNodeId from;
        uint64_t loan_off;
        uint32_t index_off, count_off;
        bool freed;
    } cases[] = {
        {"exact return", {2, 1}, 0, 0, 0, true},
        {"another loan", {2, 1}, 1, 0, 0, false},
        {"other units", {2, 1}, 0, 1, 0, false},
        {"fewer units", {2, 1}, 0, 0, 1, false},
        {"not the borrower", {3, 1}, 0, 0, 0, false},
        {"an earlier start of it", {2, 0}, 0, 0, 0, false},
    };

    for (const auto &c : cases) {
        Entry e(TestConfig(3, 0, 0, false, 2));
        e.receive(ask_message(GwNodeId{2, 1}, GW_UNIT_SLOT, 32));
        const GwLoanGive give = e.sent(GW_MSG_LOAN_GIVE)->u.give;
        expect(give.unit_count == 6, c.name, "lends all that is idle");
        expect(e.pick().kind == GW_PICK_WAIT, c.name, "has none left");
        GwMessage *back = GwMessage_Create(GW_MSG_LOAN_RETURN, c.from);
        back->u.giveback.loan = give.loan + c.loan_off;
        back->u.giveback.unit_count = give.unit_count - c.count_off;
        memcpy(back->u.giveback.units, give.units, sizeof(give.units));
        back->u.giveback.units[0].index += c.index_off;
        e.receive(back);
        expect((e.pick().kind == GW_PICK_BACKEND) == c.freed, c.name, "freed");
        expect(!GwSteer_ReturnAll(e.steer, e.now_us, &e.members, &e.out),
               c.name, "a loan is still out");
        e.tick(GW_MS(4301));
        expect(e.pick().kind == GW_PICK_BACKEND, c.name,
               "freed at its expiry");
    }
}

/* Configuration versions. A running call continues while its server's slot
 * count is lowered; the unit above the count accepts no new call. A unit
 * that moved to a seat of this entry from another's is not used until the
 * old holder has certainly stopped using it. */
void
config_versions()
{
    const char *name = "versions";
    Entry e(TestConfig(2, 0, 0, false, 1));
    TestConfig lower(1, 0, 0, false, 1);

    GwPick first = e.pick();
    GwPick second = e.pick();
    lower.fill();
    GwSteer_Configure(e.steer, e.now_us, &lower.config);
    expect(GwSteer_InFlight(e.steer, 0) == 2, name, "calls run on");
    e.done(first.use, GW_OUTCOME_ANSWERED, GW_REASON_NONE);
    e.done(second.use, GW_OUTCOME_ANSWERED, GW_REASON_NONE);
    expect(e.pick().kind == GW_PICK_BACKEND, name, "below the cap");
    expect(e.pick().kind == GW_PICK_WAIT, name, "above the cap");

    Entry moved(TestConfig(1, 0, 0, false, 1));
    TestConfig fewer(1, 0, 0, false, 1);
    moved.holder.fill(2);
    moved.holder[0] = 1; /* 1000 % 6 is seat 4; of 5 seats it is seat 0 */
    moved.seats.epoch++;
    moved.tick(0);
    expect(moved.pick().kind == GW_PICK_WAIT, name, "another's seat");
    fewer.regions[0].seats = 5;
    fewer.fill();
    GwSteer_Configure(moved.steer, moved.now_us, &fewer.config);
    expect(moved.pick().kind == GW_PICK_WAIT, name, "within the block");
    moved.tick(GW_MS(4300 + 2500 + 5000));
    expect(moved.pick().kind == GW_PICK_BACKEND, name, "after the block");
}

} // namespace

int
main()
{
    refusals();
    ejection();
    draining();
    avoided_server();
    choice();
    policies();
    warm_up();
    grants();
    late_and_duplicate_gives();
    short_loans();
    loan_returns();
    config_versions();
    printf("%d failures\n", failures);
    return failures == 0 ? 0 : 1;
}
