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
