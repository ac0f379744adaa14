/* The heap behind timers and queues, the latency quantile that triggers
 * hedges, and the retry budget. */
#include <glib.h>

extern "C" {
#include "common/heap.h"
#include "entry/estimate.h"
}

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <vector>

namespace {

struct Item {
    uint32_t place = GW_HEAP_ABSENT;
    int64_t key = 0;
};

/* The top has the least key after any pushes, moves and removals; popping
 * returns every remaining item once, in order. */
void
heapIsOrdered(const std::vector<std::pair<uint8_t, int16_t>> &steps)
{
    GwHeap heap{};
    std::vector<Item> items(16);

    for (const auto &one : steps) {
        Item &item = items[one.first % 16];
        bool in = item.place != GW_HEAP_ABSENT;
        if (!in) {
            item.key = one.second;
            GwHeap_Push(&heap, item.key, &item, &item.place);
        }
        else if (one.first < 128) {
            item.key = one.second;
            GwHeap_SetKey(&heap, &item.place, item.key);
        }
        else {
            GwHeap_Remove(&heap, &item.place);
            RC_ASSERT(item.place == GW_HEAP_ABSENT);
        }
        int64_t least = INT64_MAX;
        uint32_t count = 0;
        for (const Item &i : items) {
            least = i.place != GW_HEAP_ABSENT ? std::min(least, i.key) : least;
            count += i.place != GW_HEAP_ABSENT;
        }
        RC_ASSERT(heap.count == count);
        RC_ASSERT(GwHeap_TopKey(&heap) == least);
    }
    int64_t last = INT64_MIN;
    uint32_t left = heap.count;
    while (GwHeap_Top(&heap) != nullptr) {
        auto *top = static_cast<Item *>(GwHeap_Top(&heap));
        RC_ASSERT(top->key >= last);
        last = top->key;
        GwHeap_Remove(&heap, &top->place);
        left--;
    }
    RC_ASSERT(left == 0u);
    GwHeap_Free(&heap);
}

/* For uniformly distributed samples the estimate converges to the quantile:
 * the share of the later half of the samples below it is within 10 points of
 * the percentile. */
void
quantileConverges(uint32_t percentile, uint32_t spread_ms,
                  const std::vector<uint32_t> &draws)
{
    GwLatency latency{};
    uint32_t below = 0;
    uint32_t counted = 0;

    for (size_t i = 0; i < draws.size(); i++) {
        int64_t sample = 1000 + draws[i] % (spread_ms * 1000);
        if (i >= draws.size() / 2) {
            below += sample <= latency.quantile_us;
            counted++;
        }
        GwLatency_Add(&latency, sample, percentile);
        RC_ASSERT(latency.mean_us > 0);
        RC_ASSERT(latency.deviation_us >= 0);
    }
    uint32_t share = below * 100 / counted;
    RC_ASSERT(share + 10 >= percentile);
    RC_ASSERT(share <= percentile + 10);
}

/* Retries never exceed a full budget plus the credit of successes. */
void
budgetIsNotExceeded(uint32_t percent, const std::vector<bool> &steps)
{
    GwRetryBudget budget;
    uint64_t paid = 0;
    uint64_t drawn = 0;

    GwRetryBudget_Init(&budget, percent);
    uint64_t full = budget.tokens_x100;
    for (bool success : steps) {
        if (success) {
            GwRetryBudget_Credit(&budget);
            paid += percent;
        }
        else if (GwRetryBudget_TryDraw(&budget)) {
            drawn += 100;
        }
        RC_ASSERT(budget.tokens_x100 <= full);
        RC_ASSERT(drawn <= full + paid);
    }
}

} // namespace

int
main()
{
    bool ok = rc::check("heap is ordered", [] {
        heapIsOrdered(
            *rc::gen::arbitrary<std::vector<std::pair<uint8_t, int16_t>>>());
    });
    ok &= rc::check("quantile converges", [] {
        uint32_t percentile = *rc::gen::inRange(50u, 96u);
        uint32_t spread_ms = *rc::gen::inRange(2u, 400u);
        auto draws = *rc::gen::container<std::vector<uint32_t>>(
            4000, rc::gen::resize(100, rc::gen::inRange(0u, 1u << 30)));
        quantileConverges(percentile, spread_ms, draws);
    });
    ok &= rc::check("budget is not exceeded", [] {
        uint32_t percent = *rc::gen::inRange(0u, 101u);
        budgetIsNotExceeded(percent, *rc::gen::arbitrary<std::vector<bool>>());
    });
    return ok ? 0 : 1;
}
