// Changes of the operators' and the servers' rows are in force in time at
// every entry in touch, under each fault and each two faults, at 12 to 650
// entries. GW_LONG=1 runs ten times as many seeds, and 650 entries;
// GW_FOLLOW=NAME runs the faults with that name.
#include <glib.h>

extern "C" {
#include "fakes/follow_fleet.h"
}

#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace {

struct Size {
    uint32_t entries;
    uint32_t boundMs;
    uint32_t contactMs;
    uint32_t seeds;
};

constexpr Size kSmall = {12, 2500, 3000, 4};
constexpr Size kLarge = {70, 4000, 4000, 1};
constexpr Size kTarget = {650, 4000, 4000, 1};

struct Total {
    uint64_t checks = 0;
    uint64_t late = 0;
    uint64_t drains = 0;
    uint64_t reverts = 0;
    int64_t worstMs = 0;
    double calls = 0;
    uint32_t runs = 0;
    uint64_t seed = 0; // first that broke
};

bool
isChosen(FollowFault fault)
{
    const char *name = std::getenv("GW_FOLLOW");

    return name == nullptr || std::strcmp(name, FollowFault_Name(fault)) == 0;
}

void
play(const Size &size, FollowFault fault, FollowFault second, uint64_t seed,
     Total &total)
{
    FollowFleetParams params = {};

    params.entries = size.entries;
    params.bound_ms = size.boundMs;
    params.contact_ms = size.contactMs;
    params.fault = fault;
    params.second = second;
    params.seconds = 40;
    params.seed = seed;
    FollowFleetReport report = FollowFleet_Run(&params);
    total.checks += report.checks;
    total.late += report.late_configs;
    total.drains += report.late_drains;
    total.reverts += report.reverts;
    total.worstMs =
        report.worst_ms > total.worstMs ? report.worst_ms : total.worstMs;
    total.calls += report.calls_per_s;
    total.runs++;
    bool broken =
        report.late_configs + report.late_drains + report.reverts > 0;
    if (broken && total.seed == 0) {
        total.seed = seed;
    }
}

bool
print(const Size &size, FollowFault fault, FollowFault second, const Total &t)
{
    bool kept = t.late + t.drains + t.reverts == 0;

    std::printf("%-4s %3u entries, %-13s %-13s: %llu late, %llu drains, %llu "
                "back of %llu; worst %lld ms; %.1f calls/s; first seed %llu\n",
                kept ? "ok" : "FAIL", size.entries, FollowFault_Name(fault),
                FollowFault_Name(second),
                static_cast<unsigned long long>(t.late),
                static_cast<unsigned long long>(t.drains),
                static_cast<unsigned long long>(t.reverts),
                static_cast<unsigned long long>(t.checks),
                static_cast<long long>(t.worstMs), t.calls / t.runs,
                static_cast<unsigned long long>(t.seed));
    return kept;
}

// Guards against: a configuration or a drain that was acknowledged is not in
// force in time at an entry in touch, or an older one comes back.
bool
changesAreInForceInTime(const Size &size, uint32_t times)
{
    bool ok = true;

    for (int a = 0; a < FOLLOW_FAULT_COUNT; a++) {
        for (int b = a; b < FOLLOW_FAULT_COUNT; b++) {
            auto fault = static_cast<FollowFault>(a);
            auto second = static_cast<FollowFault>(b);
            if (!isChosen(fault) && !isChosen(second)) {
                continue;
            }
            Total total;
            for (uint64_t seed = 1; seed <= size.seeds * times; seed++) {
                play(size, fault, second, seed, total);
            }
            ok = print(size, fault, second, total) && ok;
        }
    }
    return ok;
}

// Guards against: an entry whose call was lost in an outage of the store calls
// again too late after it, and one that could read the store waits for a
// reader whose calls are never answered.
bool
seedsThatBrokeAreKept()
{
    const struct {
        const Size &size;
        FollowFault fault;
        FollowFault second;
        uint64_t seed;
    } cases[] = {
        {kSmall, FOLLOW_STORE_SILENT, FOLLOW_STORE_SILENT, 6},
        {kSmall, FOLLOW_STORE_SILENT, FOLLOW_STORE_REFUSES, 22},
        {kSmall, FOLLOW_STORE_SILENT, FOLLOW_STORE_SLOW, 8},
        {kSmall, FOLLOW_STORE_SILENT, FOLLOW_RESTART, 6},
        {kSmall, FOLLOW_SOME_REFUSED, FOLLOW_STORE_SILENT, 25},
        {kLarge, FOLLOW_STORE_SILENT, FOLLOW_STORE_SILENT, 4},
        {kLarge, FOLLOW_STORE_SILENT, FOLLOW_PAUSE, 10},
        {kSmall, FOLLOW_CALM, FOLLOW_SOME_SILENT, 3},
        {kLarge, FOLLOW_SOME_SILENT, FOLLOW_STORE_SILENT, 3},
        {kSmall, FOLLOW_CALM, FOLLOW_STORE_SLOW, 13},
        {kLarge, FOLLOW_SOME_SILENT, FOLLOW_PAUSE, 3},
        {kTarget, FOLLOW_SOME_SILENT, FOLLOW_SOME_REFUSED, 1},
    };
    bool ok = true;

    for (const auto &c : cases) {
        Total total;
        play(c.size, c.fault, c.second, c.seed, total);
        ok = print(c.size, c.fault, c.second, total) && ok;
    }
    return ok;
}

} // namespace

int
main()
{
    bool isLong = std::getenv("GW_LONG") != nullptr;
    uint32_t times = isLong ? 10 : 1;
    bool ok = seedsThatBrokeAreKept();

    ok = changesAreInForceInTime(kSmall, times) && ok;
    ok = changesAreInForceInTime(kLarge, times) && ok;
    ok = (!isLong || changesAreInForceInTime(kTarget, 1)) && ok;
    return ok ? 0 : 1;
}
