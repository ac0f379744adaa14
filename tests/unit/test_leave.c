#include "fakes/cluster.h"

#include <criterion/criterion.h>

#define CALLS 40

/* An entry with more calls than slots gets SIGTERM. Running calls end with
 * their answers. Guards against keeping waiting calls until their deadlines,
 * half a minute later: they are refused at once, so that their callers go
 * elsewhere and the stop takes no longer than the running calls and the
 * directory answers that name the entry. */
Test(leave, waiting_calls_are_refused_at_once_and_running_ones_answered)
{
    char *text = FakeConfig_Text(1, 1, 2, 3, 0, 12);
    FakeClusterParams params = {.seed = 5,
                                .node_count = 1,
                                .region_count = 1,
                                .domains_per_region = 1,
                                .config_text = text,
                                .service_time_us = 400000};
    FakeCluster *c = FakeCluster_Create(&params);
    uint32_t answered = 0;
    uint32_t refused = 0;

    FakeCluster_Run(c, c->now_us + 8 * FAKE_SEC);
    for (uint32_t i = 0; i < CALLS; i++) {
        FakeCluster_Call(c, 0, "s0", false, NULL, 0, c->now_us + 9 * FAKE_SEC);
    }
    FakeCluster_Run(c, c->now_us + 50 * FAKE_MS);
    int64_t left_us = c->now_us;
    FakeCluster_Stop(c, 0);
    for (uint32_t i = 0; i < CALLS; i++) {
        const FakeCallerCall *call = FakeCluster_CallAt(c, i);
        if (call->done) {
            cr_expect_eq(call->outcome, GW_OUTCOME_NOT_RUN);
            cr_expect_eq(call->reason, GW_REASON_LEAVING);
            cr_expect_eq(call->ended_us, left_us);
            refused++;
        }
    }
    FakeCluster_Run(c, left_us + 9 * FAKE_SEC);
    for (uint32_t i = 0; i < CALLS; i++) {
        const FakeCallerCall *call = FakeCluster_CallAt(c, i);
        answered += call->done && call->outcome == GW_OUTCOME_ANSWERED;
    }
    cr_expect_eq(answered, 6, "two servers with three slots each");
    cr_expect_eq(refused, CALLS - 6);
    cr_expect_eq(c->cut_off, 0);
    FakeCluster_Free(c);
    g_free(text);
}
