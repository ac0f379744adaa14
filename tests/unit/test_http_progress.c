#include "http/progress.h"

#include <criterion/criterion.h>
#include <glib.h>

typedef struct {
    uint64_t acked;
    uint64_t unacked;
    int64_t at_s;
} Step;

/* Guards against: a steady reader counts as stalled because its queue stays
 * as long as it is; one that reads next to nothing counts as a reader. */
Test(http_progress, only_acknowledged_bytes_are_progress)
{
    static const struct {
        const char *what;
        Step steps[6];
        int64_t stalled_s; /* at the last step */
    } cases[] = {
        {"nothing was sent", {{0, 0, 1}, {0, 0, 90}}, 0},
        {"all is acknowledged", {{0, 500, 1}, {500, 0, 90}}, 0},
        {"the queue does not shrink",
         {{0, 90000, 1}, {5000, 90000, 20}, {10000, 90000, 40}},
         0},
        {"nothing is read",
         {{0, 90000, 1}, {0, 95000, 20}, {0, 99999, 40}},
         39},
        {"a byte now and then",
         {{0, 90000, 1}, {1, 89999, 10}, {2, 89998, 20}, {3, 89997, 40}},
         39},
        {"it stopped",
         {{0, 90000, 1}, {8000, 82000, 20}, {8000, 82000, 50}},
         30},
        {"a short answer, then the next",
         {{0, 300, 1}, {300, 300, 20}, {600, 300, 40}},
         0},
        {"a long pause of this process",
         {{0, 90000, 1}, {40000, 50000, 90}},
         0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwSendProgress p = {0};
        int64_t at_us = 0;
        for (size_t k = 0; k < 6 && cases[i].steps[k].at_s > 0; k++) {
            const Step *step = &cases[i].steps[k];
            at_us = step->at_s * 1000000;
            GwSendProgress_Note(&p, step->acked, step->unacked, at_us);
        }
        cr_expect_eq(GwSendProgress_StalledUs(&p, at_us),
                     cases[i].stalled_s * 1000000, "%s", cases[i].what);
    }
}
