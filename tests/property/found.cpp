// Runs that once broke a promise, or were thought to, as fixed cases. Each
// begins by telling what its caller saw, in which order, and why.
#include "c_api.hpp"

extern "C" {
#include "fakes/scenario.h"
}

#include <cstdio>

namespace {

struct Found {
    const char *request_summary;
    FakeScenario scenario;
};

constexpr int64_t MS = FAKE_MS;
constexpr int64_t SEC = FAKE_SEC;

// The seed that pairs.cpp makes of a pair and a number.
constexpr uint64_t
seedOf(FakeFault a, FakeFault b, uint64_t number)
{
    return number * 2654435761u + 40503u * a + 977u * b;
}

constexpr FakeScenario
scenario(FakeFault a, FakeFault b, uint64_t number, int64_t begin_a,
         int64_t begin_b)
{
    return FakeScenario{
        seedOf(a, b, number),
        {a, b},
        {begin_a, begin_b},
        {begin_a <= begin_b ? 8 * SEC : 6 * SEC,
         begin_a <= begin_b ? 6 * SEC : 8 * SEC},
        60,
    };
}

const Found found[] = {
    // A caller resends a dose of a minute ago, whose record has gone; in
    // between the operator took the service out. The entry refused it by the
    // missing service before it looked at the ticket, and said "not run" of
    // a dose that was issued. An old ticket is now unknown there too.
    {"old ticket of a removed service",
     scenario(FAKE_FAULT_NONE, FAKE_FAULT_NO_SERVICE, 1, 3 * SEC, 5 * SEC)},
    // The first two refusals of a ticket end together at its owner, one of
    // them far from its caller, who sends again and is answered meanwhile. The
    // late refusal is no lie: the caller has a later sending's answer. The
    // check took it for one.
    {"a refusal overtaken by the next sending",
     scenario(FAKE_FAULT_REGION_BACKENDS, FAKE_FAULT_NO_PLACE, 3,
              3 * SEC + 500 * MS, 3 * SEC)},
    // A resend reaches the owner while the refusal of the first is on its
    // way back through a far entry; it runs and is answered. See above.
    {"a refusal on its way while the resend runs",
     scenario(FAKE_FAULT_CRASH, FAKE_FAULT_REGION_BACKENDS, 3, 3 * SEC,
              5 * SEC)},
    // An operator's change is accepted, and 20 ms later the table goes away
    // for long. The entry that had it accepted dropped the document because
    // it came in its own name; nobody else had it. All went on with the old
    // one until the table was back. It takes its own document now.
    {"the table goes away right after a change",
     scenario(FAKE_FAULT_STORE_AWAY, FAKE_FAULT_NO_BACKEND, 1,
              3 * SEC + 20 * MS, 3 * SEC)},
    {"the same, for longer than a hold-off",
     scenario(FAKE_FAULT_CHANGES, FAKE_FAULT_STORE_LONG, 1, 3 * SEC,
              3 * SEC + 20 * MS)},
    // A server drains; the operator takes its service out and puts it back.
    // The entries had forgotten the server with the service, and sent it new
    // work 8 s after its drain began. They remember it now.
    {"a draining server's service comes back",
     scenario(FAKE_FAULT_DRAIN, FAKE_FAULT_NO_SERVICE, 1, 3 * SEC, 5 * SEC)},
    // A service is taken out and 20 ms later an entry is paused, before it
    // heard. It wakes 6 s later and, until it hears, starts calls at servers
    // that were closed long ago. A woken entry now waits for the table's or
    // its peers' word.
    {"a pause over a change", scenario(FAKE_FAULT_PAUSE, FAKE_FAULT_NO_SERVICE,
                                       1, 3 * SEC + 20 * MS, 3 * SEC)},
    // The reports stop for long, and a server says only in its answers that
    // it drains. Without a reading to say that it is open again, what was seen
    // must not lapse with its ten seconds: new work would come each time.
    {"a drain without reports",
     FakeScenario{seedOf(FAKE_FAULT_REPORTS_STOP, FAKE_FAULT_DRAIN, 1),
                  {FAKE_FAULT_REPORTS_STOP, FAKE_FAULT_DRAIN},
                  {2 * SEC, 3 * SEC},
                  {20 * SEC, 20 * SEC},
                  60}},
    // One server drains while it is silent: nothing of it can be read, so
    // new work came until it spoke again, 6 s later. Allowed: the check now
    // counts from the first sign that anybody could have seen.
    {"a silent server drains",
     scenario(FAKE_FAULT_SILENT, FAKE_FAULT_DRAIN, 7, 3 * SEC, 5 * SEC)},
};

} // namespace

int
main()
{
    uint32_t broken = 0;

    for (const Found &one : found) {
        FakeVerdict v = FakeScenario_Run(&one.scenario);
        broken += FakeVerdict_Violations(&v) > 0 ? 1 : 0;
        FakeVerdict_Print(&v, one.request_summary);
    }
    std::printf("found: %u broken\n", broken);
    return broken == 0 ? 0 : 1;
}
