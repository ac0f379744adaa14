/* Detection of outages of the store, and the timing of calls after them. */
#include "store/follower.h"
#include "store/outage.h"

#include <criterion/criterion.h>
#include <stddef.h>

/* Polls of an entry that lost its connection or was frozen for seconds fail
 * although the store is available. Guards against such an entry announcing an
 * outage: all entries delay removals by 2 s, and a server receives requests
 * more than 2.5 s after it stopped. */
Test(store_outage, a_disconnected_entry_is_no_outage)
{
    static const struct {
        const char *what;
        GwStoreHealth health;
        bool is_outage;
    } cases[] = {
        {"nothing failed", {.failed = false}, false},
        {"all polls failed", {.failed = true}, true},
        {"only this entry was disconnected",
         {.failed = true, .healthy_peers = 2},
         false},
        {"a peer was disconnected, this entry polls",
         {.failed = true, .polls_succeed = true},
         false},
        {"a peer was disconnected, other peers poll",
         {.failed = true, .healthy_peers = 1},
         false},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        cr_expect_eq(GwStoreHealth_HadOutage(&cases[i].health),
                     cases[i].is_outage, "%s", cases[i].what);
    }
}

/* Guaranteed to operators: 3 s after the end of an outage, every change that is
 * 2.5 s old is in force. */
#define RECOVERY_MAX_MS 3000
#define BOUND_MS        2500
#define TICK_MS         50

static void
ignore_row(void *ctx, const GwStoreRow *row)
{
    (void)ctx;
    (void)row;
}

/* A store that answers within a tick, but not calls from `outage_at_ms` on, for
 * `for_ms`. Returns the time in ms from the end of the outage until the entry
 * sends the next call, the first that is answered. */
static uint32_t
recovery_ms(uint32_t outage_at_ms, uint32_t for_ms)
{
    uint32_t outage_end_ms = outage_at_ms + for_ms;
    GwFollower *f = GwFollower_Create(ignore_row, NULL, 0, BOUND_MS);
    uint32_t now_ms = 0;
    GwStoreCall call;

    (void)GwFollower_SetReads(f, 0, true);
    for (;; now_ms += TICK_MS) {
        int64_t now_us = (int64_t)now_ms * 1000;
        while (GwFollower_NextOverdue(f, now_us) != 0) {
        }
        if (!GwFollower_NextCall(f, now_us, &call)) {
            continue;
        }
        if (now_ms >= outage_end_ms) {
            break;
        }
        if (now_ms < outage_at_ms) {
            GwRowSet *set = GwRowSet_Create();
            set->version.number = 1;
            (void)GwFollower_OnRows(f, now_us, call.id, set, &call);
        }
    }
    GwFollower_Free(f);
    return now_ms - outage_end_ms;
}

/* Guards against: all entries miss a change after an outage because each waits
 * for a call that is never answered. */
Test(store_outage, a_call_that_is_never_answered_is_noticed_in_time)
{
    for (uint32_t outage_at_ms = 1; outage_at_ms < 3500; outage_at_ms += 50) {
        for (uint32_t for_ms = 50; for_ms < 15000; for_ms += 50) {
            cr_expect_leq(recovery_ms(outage_at_ms, for_ms), RECOVERY_MAX_MS,
                          "outage at %u ms for %u ms: recovery took %u ms",
                          outage_at_ms, for_ms,
                          recovery_ms(outage_at_ms, for_ms));
        }
    }
}
