// The steering core under random events: arrivals, attempt results of every
// kind, disconnecting callers, servers that are added, drain, are removed or
// become cold, new configurations, and time. The fake host records each
// violated invariant.
#include <glib.h>

extern "C" {
#include "common/rng.h"
#include "fakes/steering.h"
}

#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

namespace {

constexpr int64_t kMs = 1000;

struct World {
    FakeSteering *f;
    uint64_t version = 1;
    uint32_t attempts = 2;
    int servers = 0;
};

FakeRequest *
openRequest(World &w, uint32_t pick)
{
    std::vector<FakeRequest *> open;
    for (guint i = 0; i < w.f->requests->len; i++) {
        auto *req = static_cast<FakeRequest *>(w.f->requests->pdata[i]);
        if (req->handle != nullptr) {
            open.push_back(req);
        }
    }
    return open.empty() ? nullptr : open[pick % open.size()];
}

std::string
serverName(World &w, uint32_t pick)
{
    return "s" + std::to_string(pick % static_cast<uint32_t>(w.servers));
}

void
endRequest(World &w, uint32_t arg)
{
    static const struct {
        GwAttemptOutcome outcome;
        uint16_t status;
    } ends[] = {
        {GW_ATTEMPT_ANSWERED, 200}, {GW_ATTEMPT_ANSWERED, 200},
        {GW_ATTEMPT_ANSWERED, 500}, {GW_ATTEMPT_REFUSED, 503},
        {GW_ATTEMPT_REFUSED, 421},  {GW_ATTEMPT_UNSENT, 0},
        {GW_ATTEMPT_LOST, 0},       {GW_ATTEMPT_ANSWERED, 504},
    };
    FakeRequest *req = openRequest(w, arg);
    if (req != nullptr) {
        const auto &end = ends[(arg >> 8) % G_N_ELEMENTS(ends)];
        FakeSteering_EndAttempt(w.f, req, end.outcome, end.status);
    }
}

void
addServer(World &w, uint32_t arg)
{
    static const char *const places[][2] = {
        {"r1", "d1"}, {"r1", "d2"}, {"r2", "d3"}};
    const auto &place = places[arg % 3];
    std::string name = "s" + std::to_string(w.servers++);
    FakeSteering_PutServer(w.f, name.c_str(), place[0], place[1], 1 + arg % 3);
}

void
repeatReport(World &w, const std::string &name)
{
    for (guint i = 0; i < w.f->servers->len; i++) {
        auto *s = static_cast<FakeServer *>(w.f->servers->pdata[i]);
        if (name == s->id && s->listed) {
            FakeSteering_PutServer(w.f, name.c_str(), w.f->params.region,
                                   w.f->params.domain, 2);
        }
    }
}

void
step(World &w, uint32_t kind, uint32_t arg)
{
    const char *path = arg % 2 == 0 ? "/once/" : "/again/";
    std::string key = std::to_string(arg % 5);

    switch (kind) {
    case 0:
    case 1:
    case 2:
    case 3:
        (void)FakeSteering_Arrive(
            w.f, path, arg % 7 == 0 ? nullptr : key.c_str(), 200 + arg % 3000);
        break;
    case 4:
    case 5:
    case 6:
        endRequest(w, arg);
        break;
    case 7:
        if (FakeRequest *req = openRequest(w, arg)) {
            FakeSteering_Disconnect(w.f, req);
        }
        break;
    case 8:
        addServer(w, arg);
        break;
    case 9:
        FakeSteering_DrainServer(w.f, serverName(w, arg).c_str());
        break;
    case 10:
        FakeSteering_RemoveServer(w.f, serverName(w, arg).c_str());
        break;
    case 11:
        if (arg % 4 == 0) { // an older version, received late
            FakeSteering_Configure(w.f, w.version / 2, 9);
            RC_ASSERT(GwRouter_Routing(w.f->router)->version == w.version);
            break;
        }
        FakeSteering_Configure(w.f, ++w.version, 1 + arg % 3);
        w.attempts = std::max(w.attempts, 1 + arg % 3);
        break;
    case 13: // an older report of a server that may be draining
        repeatReport(w, serverName(w, arg));
        break;
    case 14: // graceful stop of the entry, once
        if (arg % 4 == 0 && w.f->end_us == 0) {
            FakeSteering_Stop(w.f, (arg % 3000) * kMs);
        }
        break;
    case 12:
        GwRouter_SetEvacuated(w.f->router, w.f->now_us,
                              arg % 2 == 0 ? "d1" : "d2", arg % 3 == 0);
        break;
    default:
        FakeSteering_Advance(w.f, (1 + arg % 200) * kMs);
        break;
    }
}

// Every request has ended; none was sent to more servers than its route
// allows.
void
checkEnds(World &w)
{
    FakeSteering_Advance(w.f, 10000 * kMs);
    RC_ASSERT(GwRouter_OpenCount(w.f->router) == 0u);
    for (guint i = 0; i < w.f->requests->len; i++) {
        auto *req = static_cast<FakeRequest *>(w.f->requests->pdata[i]);
        RC_ASSERT(req->over);
        RC_ASSERT(req->servers <= w.attempts);
    }
}

void
checkInvariants()
{
    auto steps = *rc::gen::scale(
        4.0, rc::gen::container<std::vector<std::pair<uint32_t, uint32_t>>>(
                 rc::gen::pair(
                     rc::gen::resize(100, rc::gen::inRange(0u, 18u)),
                     rc::gen::resize(100, rc::gen::inRange(0u, 1u << 20)))));
    World w;
    w.f = FakeSteering_Create("r1", "d1");
    FakeSteering_Configure(w.f, 1, 2);
    addServer(w, 0);
    addServer(w, 1);
    addServer(w, 2);
    for (const auto &one : steps) {
        step(w, one.first, one.second);
    }
    checkEnds(w);
    RC_ASSERT(std::string(w.f->broken->str) == "");
    FakeSteering_Free(w.f);
}

// Every server fails every attempt. All entries together may retry a fifth of
// the first attempts plus 60 in a window of 10 s; this entry is one of three.
void
checkRetryBudget()
{
    auto seed = *rc::gen::arbitrary<uint64_t>();
    GwRng rng = GwRng_Make(seed);
    World w;
    w.f = FakeSteering_Create("r1", "d1");
    FakeSteering_Configure(w.f, 1, 9);
    for (uint32_t i = 0; i < 9; i++) {
        addServer(w, 1);
    }
    uint32_t count = 50 + GwRng_Below(&rng, 300);
    for (uint32_t i = 0; i < count; i++) {
        FakeRequest *req = FakeSteering_Arrive(w.f, "/again/", nullptr, 3000);
        for (int j = 0; j < 9; j++) {
            FakeSteering_EndAttempt(w.f, req,
                                    GwRng_Below(&rng, 2) == 0
                                        ? GW_ATTEMPT_LOST
                                        : GW_ATTEMPT_REFUSED,
                                    503);
        }
        FakeSteering_Advance(w.f, 20 * kMs);
    }
    RC_ASSERT(w.f->repeats <= 0.2 * w.f->firsts + 60.0 / 3);
    FakeSteering_Free(w.f);
}

// Every server refuses every attempt, and the retry budget suffices: each
// request is sent to as many servers as its route allows and no more.
void
checkAttempts()
{
    uint32_t most = *rc::gen::inRange(1u, 4u);
    bool reached = false;
    World w;
    w.f = FakeSteering_Create("r1", "d1");
    FakeSteering_Configure(w.f, 1, most);
    w.f->params.retry_ratio = 1.0;
    GwRouter_SetBounds(w.f->router, &w.f->params);
    for (uint32_t i = 0; i < 9; i++) {
        addServer(w, 1);
    }
    for (uint32_t i = 0; i < 60; i++) {
        for (int j = 0; j < 4; j++) { // earn the budget of the retries
            FakeSteering_EndAttempt(
                w.f, FakeSteering_Arrive(w.f, "/again/", nullptr, 3000),
                GW_ATTEMPT_ANSWERED, 200);
        }
        FakeRequest *req = FakeSteering_Arrive(
            w.f, i % 2 == 0 ? "/again/" : "/once/", nullptr, 3000);
        for (int j = 0; j < 9 && !req->over; j++) {
            FakeSteering_EndAttempt(w.f, req, GW_ATTEMPT_REFUSED, 503);
        }
        FakeSteering_Advance(w.f, 200 * kMs); // the servers are ejected
        RC_ASSERT(req->servers <= most);
        reached = reached || req->servers == most;
    }
    RC_ASSERT(reached);
    FakeSteering_Free(w.f);
}

// Whatever the load, and whatever a cold server refuses or breaks: in any
// second it receives no more than its rate, from this entry alone.
void
checkColdServer()
{
    auto seed = *rc::gen::arbitrary<uint64_t>();
    GwRng rng = GwRng_Make(seed);
    World w;
    w.f = FakeSteering_Create("r1", "d1");
    FakeSteering_Configure(w.f, 1, 3);
    addServer(w, 0);
    FakeSteering_Advance(w.f, 3000 * kMs);
    FakeSteering_SetCold(w.f, "s0", 60000);
    for (int i = 0; i < 600; i++) {
        (void)FakeSteering_Arrive(
            w.f, GwRng_Below(&rng, 2) == 0 ? "/once/" : "/again/", nullptr,
            3000);
        endRequest(w, static_cast<uint32_t>(GwRng_Next(&rng) & 0xfffff));
        FakeSteering_Advance(w.f, (1 + GwRng_Below(&rng, 20)) * kMs);
    }
    auto *server = static_cast<FakeServer *>(w.f->servers->pdata[0]);
    const GArray *at = server->arrivals;
    for (guint first = 0, last = 0; last < at->len; last++) {
        int64_t until = g_array_index(at, int64_t, last);
        while (g_array_index(at, int64_t, first) <= until - FAKE_US_PER_S) {
            first++;
        }
        RC_ASSERT(last - first + 1 <= 5.0 * 1.5 + 5.0);
    }
    FakeSteering_Free(w.f);
}

} // namespace

int
main()
{
    bool ok =
        rc::check("invariants hold under random events", checkInvariants);
    ok = rc::check("retries stay within their budget", checkRetryBudget) && ok;
    ok =
        rc::check("a request is sent to no more servers than its route allows",
                  checkAttempts) &&
        ok;
    ok = rc::check("a cold server receives no more than its rate",
                   checkColdServer) &&
         ok;
    return ok ? 0 : 1;
}
