#include "store/away.h"

#include <criterion/criterion.h>
#include <stddef.h>

/* An entry is cut off for seconds, or frozen, and comes back. Its polls had
 * failed; the store had not. It said that the store was away, all entries held
 * removals back for 2 s, and a server got a request 2.57 s after it left. */
Test(store_away, one_entry_that_was_cut_off_is_no_outage)
{
    static const struct {
        const char *what;
        GwStoreSight sight;
        bool away;
    } cases[] = {
        {"nothing failed", {.failed = false}, false},
        {"all failed", {.failed = true}, true},
        {"cut off alone", {.failed = true, .peers_reading_well = 2}, false},
        {"a peer was cut off, this entry reads",
         {.failed = true, .reads_well = true},
         false},
        {"a peer was cut off, others read",
         {.failed = true, .peers_reading_well = 1},
         false},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        cr_expect_eq(GwStoreSight_WasAway(&cases[i].sight), cases[i].away,
                     "%s", cases[i].what);
    }
}

/* What operators are promised of a change, from when the store is back: it is
 * in force 2.5 s after it was made, and 3 s after the store's return entries are
 * taken to be well. */
#define BLIND_MAX_MS 5500

/* The store is silent from then on, for so long: when does an entry that polls
 * hear of it again? Polls that came in the silence are never answered. */
static uint32_t
blind_ms(uint32_t silent_ms, uint32_t for_ms)
{
    uint32_t back_ms = silent_ms + for_ms;
    uint32_t retry_ms = GW_POLL_RETRY_MIN_MS;
    uint32_t asked_ms = GwStorePoll_WaitMs(false) + GW_POLL_ANSWER_MS;

    for (;;) {
        asked_ms += retry_ms;
        retry_ms = retry_ms * 2 < GW_POLL_RETRY_MAX_MS ? retry_ms * 2
                                                       : GW_POLL_RETRY_MAX_MS;
        if (asked_ms >= back_ms) {
            return asked_ms - back_ms;
        }
        asked_ms += GwStorePoll_WaitMs(true) + GW_POLL_ANSWER_MS;
    }
}

/* Guards against: after a silence of the store a change is missed by all
 * entries, as each waits for a poll that is never answered. */
Test(store_away, a_poll_that_is_never_answered_is_noticed_in_time)
{
    for (uint32_t silent_ms = 1; silent_ms < 3500; silent_ms += 50) {
        for (uint32_t for_ms = 50; for_ms < 15000; for_ms += 50) {
            cr_expect_leq(blind_ms(silent_ms, for_ms), BLIND_MAX_MS,
                          "silent from %u ms for %u ms: blind for %u ms",
                          silent_ms, for_ms, blind_ms(silent_ms, for_ms));
        }
    }
}
