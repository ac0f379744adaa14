// Runs every pair of faults at the same time under load; no guarantee may be
// violated. One fixed seed per pair, ten with GW_LONG. Prints one line per
// run.
#include <glib.h>

extern "C" {
#include "fakes/scenario.h"
}

#include "part.hpp"

#include <cstdio>
#include <cstdlib>
#include <string>

namespace {

FakeScenario
scenarioOf(FakeFault a, FakeFault b, uint64_t seed)
{
    FakeScenario s = {};
    s.seed = seed * 2654435761u + 40503u * a + 977u * b;
    s.faults[0] = a;
    s.faults[1] = b;
    // Either fault may start first, by 20 ms to 2 s.
    const int64_t gaps[] = {2 * FAKE_SEC, 20 * FAKE_MS, 500 * FAKE_MS};
    const uint64_t draw = seed + 5 * a + 3 * b;
    const int first = draw % 2 == 0 ? 1 : 0;
    s.begin_us[first] = 3 * FAKE_SEC;
    s.begin_us[1 - first] = 3 * FAKE_SEC + gaps[draw % 3];
    s.last_us[first] = 8 * FAKE_SEC;
    s.last_us[1 - first] = 6 * FAKE_SEC;
    s.calls_per_s = 60;
    return s;
}

} // namespace

int
main(int argc, char **argv)
{
    const char *wanted = std::getenv("GW_PAIR");
    uint64_t seeds = std::getenv("GW_LONG") != nullptr ? 10 : 1;
    Part part;
    uint32_t runs = 0;
    uint32_t violated = 0;

    if (argc > 1) {
        seeds = std::strtoull(argv[1], nullptr, 10);
    }
    for (int a = 0; a < FAKE_FAULT_COUNT; a++) {
        for (int b = a; b < FAKE_FAULT_COUNT; b++) {
            std::string title = std::string(FakeFault_Name(FakeFault(a))) +
                                "+" + FakeFault_Name(FakeFault(b));
            if (!part.takesNext()) {
                continue;
            }
            if (wanted != nullptr && title.find(wanted) == std::string::npos) {
                continue;
            }
            for (uint64_t seed = 1; seed <= seeds; seed++) {
                FakeScenario s = scenarioOf(FakeFault(a), FakeFault(b), seed);
                FakeScenarioReport v = FakeScenario_Run(&s);
                uint32_t count = FakeScenarioReport_Violations(&v);
                runs++;
                violated += count > 0 ? 1 : 0;
                std::string line = title + "#" + std::to_string(seed);
                if (count > 0) {
                    line = "VIOLATION " + line;
                }
                FakeScenarioReport_Print(&v, line.c_str());
            }
        }
    }
    std::printf("pairs: %u runs, %u with a violated guarantee\n", runs,
                violated);
    return violated == 0 ? 0 : 1;
}
