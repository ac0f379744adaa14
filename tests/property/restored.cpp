// Changes are in force in time, and nothing that was in force goes back, when
// the store is restored from a copy, alone and beside each other fault, at 4 to
// 195 entries. GW_LONG=1 runs ten times as many seeds; GW_FOLLOW=NAME runs the
// second fault with that name.
#include "follow_runs.hpp"

namespace {

// Guards against: after the store was restored from a copy, entries take its
// versions for older ones and miss what is written then, or take what the copy
// brings back.
bool
restoredStoresAreFollowed(uint32_t times)
{
    const Size *sizes[] = {&kFew, &kSmall, &kLarge, &kMany};
    bool ok = true;

    for (const Size *size : sizes) {
        for (int a = 0; a < FOLLOW_FAULT_COUNT; a++) {
            auto fault = static_cast<FollowFault>(a);
            Total total;
            if (!isChosen(fault)) {
                continue;
            }
            for (uint64_t seed = 1; seed <= size->seeds * times; seed++) {
                play(*size, fault, FOLLOW_RESTORE, seed, total);
            }
            ok = print(*size, fault, FOLLOW_RESTORE, total) && ok;
        }
    }
    return ok;
}

} // namespace

int
main()
{
    uint32_t times = std::getenv("GW_LONG") != nullptr ? 10 : 1;

    return restoredStoresAreFollowed(times) ? 0 : 1;
}
