// Runs of many entries that follow the store, and their lines of output; shared
// by the properties of tables that are followed.
#ifndef TESTS_PROPERTY_FOLLOW_RUNS_HPP
#define TESTS_PROPERTY_FOLLOW_RUNS_HPP

#include <glib.h>

extern "C" {
#include "fakes/follow_fleet.h"
}

#include <cstdio>
#include <cstdlib>
#include <cstring>

struct Size {
    uint32_t entries;
    uint32_t boundMs;
    uint32_t contactMs;
    uint32_t seeds;
};

constexpr Size kFew = {4, 2500, 3000, 4};
constexpr Size kSmall = {12, 2500, 3000, 4};
constexpr Size kLarge = {70, 4000, 4000, 1};
constexpr Size kMany = {195, 4000, 4000, 1};
constexpr Size kTarget = {650, 4000, 4000, 1};

struct Total {
    uint64_t checks = 0;
    uint64_t late = 0;
    uint64_t drains = 0;
    uint64_t reverts = 0;
    uint64_t returned = 0;
    int64_t worstMs = 0;
    double calls = 0;
    uint32_t runs = 0;
    uint64_t seed = 0; // first that broke
};

inline bool
isChosen(FollowFault fault)
{
    const char *name = std::getenv("GW_FOLLOW");

    return name == nullptr || std::strcmp(name, FollowFault_Name(fault)) == 0;
}

inline void
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
    total.returned += report.returned;
    total.worstMs =
        report.worst_ms > total.worstMs ? report.worst_ms : total.worstMs;
    total.calls += report.calls_per_s;
    total.runs++;
    bool broken = report.late_configs + report.late_drains + report.reverts +
                      report.returned >
                  0;
    if (broken && total.seed == 0) {
        total.seed = seed;
    }
}

inline bool
print(const Size &size, FollowFault fault, FollowFault second, const Total &t)
{
    bool kept = t.late + t.drains + t.reverts + t.returned == 0;

    std::printf("%-4s %3u entries, %-13s %-13s: %llu late, %llu drains, %llu "
                "back, %llu returned of %llu; worst %lld ms; %.1f calls/s; "
                "first seed %llu\n",
                kept ? "ok" : "FAIL", size.entries, FollowFault_Name(fault),
                FollowFault_Name(second),
                static_cast<unsigned long long>(t.late),
                static_cast<unsigned long long>(t.drains),
                static_cast<unsigned long long>(t.reverts),
                static_cast<unsigned long long>(t.returned),
                static_cast<unsigned long long>(t.checks),
                static_cast<long long>(t.worstMs), t.calls / t.runs,
                static_cast<unsigned long long>(t.seed));
    return kept;
}

#endif
