// Changes of the operators' and the servers' rows are in force in time at
// every entry in touch, under each fault and each two faults, at 12 to 650
// entries. GW_LONG=1 runs ten times as many seeds, and 650 entries;
// GW_FOLLOW=NAME runs the faults with that name.
#include "follow_runs.hpp"

namespace {

// Guards against: a configuration or a drain that was acknowledged is not in
// force in time at an entry in touch, or an older one comes back.
bool
changesAreInForceInTime(const Size &size, uint32_t times)
{
    bool ok = true;

    for (int a = 0; a < FOLLOW_RESTORE; a++) {
        for (int b = a; b < FOLLOW_RESTORE; b++) {
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
