// Regression cases: runs that violated a guarantee, or that a check reported
// wrongly. A comment describes the sequence of events and the cause.
#include "c_api.hpp"

extern "C" {
#include "fakes/scenario.h"
}

#include <cstdio>

namespace {

struct Regression {
    const char *name;
    FakeScenario scenario;
};

constexpr int64_t MS = FAKE_MS;
constexpr int64_t SEC = FAKE_SEC;

// The seed that pairs.cpp derives from a pair and a number.
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

const Regression regressions[] = {
    // A caller resends a call one minute later, when its record has expired;
    // meanwhile the operator removed the service. The entry checked the
    // service before the ticket and replied "not run" to a call that had run.
    // An expired ticket must be "unknown" here as well.
    {"old ticket of a removed service",
     scenario(FAKE_FAULT_NONE, FAKE_FAULT_NO_SERVICE, 1, 3 * SEC, 5 * SEC)},
    // The owner refuses two sends of a ticket at the same time, one of them in
    // another region than its caller, which resends and is answered meanwhile.
    // The delayed refusal is allowed, since the caller has the answer of a
    // later send. The check counted it as a false refusal.
    {"a refusal overtaken by the next send",
     scenario(FAKE_FAULT_REGION_BACKENDS, FAKE_FAULT_NO_PLACE, 3,
              3 * SEC + 500 * MS, 3 * SEC)},
    // A resend reaches the owner while the refusal of the first send is in
    // transit through an entry in another region; the resend runs and is
    // answered. See above.
    {"a refusal in transit while the resend runs",
     scenario(FAKE_FAULT_CRASH, FAKE_FAULT_REGION_BACKENDS, 3, 3 * SEC,
              5 * SEC)},
    // An operator's change is accepted, and 20 ms later the table becomes
    // unavailable for long. The entry that accepted the change dropped the
    // document because it carried its own name as origin, and no other entry
    // had a copy: all entries kept the old version until the table returned.
    // An entry must apply its own document.
    {"the table fails right after a change",
     scenario(FAKE_FAULT_STORE_AWAY, FAKE_FAULT_NO_BACKEND, 1,
              3 * SEC + 20 * MS, 3 * SEC)},
    {"the same, for longer than a hold-off",
     scenario(FAKE_FAULT_CHANGES, FAKE_FAULT_STORE_LONG, 1, 3 * SEC,
              3 * SEC + 20 * MS)},
    // A server drains; the operator removes its service and adds it again.
    // The entries dropped the state of the server with the service, and sent
    // new calls 8 s after the drain began. The state must be kept.
    {"a draining server's service comes back",
     scenario(FAKE_FAULT_DRAIN, FAKE_FAULT_NO_SERVICE, 1, 3 * SEC, 5 * SEC)},
    // A service is removed, and 20 ms later an entry is paused before it
    // received the change. It resumes 6 s later and started calls at servers
    // closed long before. A resumed entry must wait until the table or a peer
    // confirms its version.
    {"a pause during a change",
     scenario(FAKE_FAULT_PAUSE, FAKE_FAULT_NO_SERVICE, 1, 3 * SEC + 20 * MS,
              3 * SEC)},
    // Health reports stop for long, and a server announces its drain only in
    // its answers. Without a report that the server is open again, the drain
    // state must not expire after ten seconds, or new calls are sent each
    // time.
    {"a drain without reports",
     FakeScenario{seedOf(FAKE_FAULT_REPORTS_STOP, FAKE_FAULT_DRAIN, 1),
                  {FAKE_FAULT_REPORTS_STOP, FAKE_FAULT_DRAIN},
                  {2 * SEC, 3 * SEC},
                  {20 * SEC, 20 * SEC},
                  60}},
    // A server drains while silent: the drain is invisible, so new calls were
    // sent until the server answered again, 6 s later. This is allowed: the
    // check counts from the first visible sign.
    {"a silent server drains",
     scenario(FAKE_FAULT_SILENT, FAKE_FAULT_DRAIN, 7, 3 * SEC, 5 * SEC)},
};

} // namespace

int
main()
{
    uint32_t violated = 0;

    for (const Regression &item : regressions) {
        FakeScenarioReport v = FakeScenario_Run(&item.scenario);
        violated += FakeScenarioReport_Violations(&v) > 0 ? 1 : 0;
        FakeScenarioReport_Print(&v, item.name);
    }
    std::printf("found: %u with a violated guarantee\n", violated);
    return violated == 0 ? 0 : 1;
}
