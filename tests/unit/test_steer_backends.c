/* State of one backend server: load reports, ejection, drains. */
#include "steer/steer_internal.h"

#include <criterion/criterion.h>

Test(steer_backends, stale_reports_count_as_unknown_never_idle)
{
    struct {
        const char *name;
        bool has_load;
        uint32_t load, in_flight;
        int64_t age_us;
        uint64_t expected;
    } cases[] = {
        {"fresh", true, 1, 0, 0, 1},
        {"own count outranks a lower report", true, 0, 3, 0, 3},
        {"no report: half the slots", false, 0, 0, 0, 2},
        {"a stale idle report is unknown", true, 0, 0, GW_LOAD_FRESH_US + 1,
         2},
        {"a stale full report stays full", true, 4, 0, GW_LOAD_FRESH_US + 1,
         4},
        {"at the age limit", true, 0, 0, GW_LOAD_FRESH_US, 0},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        GwBackendState b = {.slot_count = 4,
                            .in_flight = cases[i].in_flight,
                            .has_load = cases[i].has_load,
                            .load = cases[i].load};
        cr_expect_eq(GwBackend_EstimateLoad(&b, cases[i].age_us),
                     cases[i].expected, "%s", cases[i].name);
    }
}

Test(steer_backends, ejection_backs_off_and_ends_in_slow_start)
{
    GwBackendState b = {.slot_count = 4};
    GwRng rng = GwRng_Make(1);
    int64_t now_us = 1;
    int64_t last_us = 0;

    for (uint32_t round = 0; round < 8; round++) {
        while (!GwBackend_IsEjected(&b, now_us)) {
            GwBackend_RecordFailure(&b, now_us, &rng);
        }
        int64_t span_us = b.ejected_until_us - now_us;
        cr_expect(span_us <= GW_EJECT_MAX_US * 5 / 4);
        cr_expect(span_us >= last_us || last_us >= GW_EJECT_MAX_US);
        last_us = span_us;
        now_us = b.ejected_until_us;
        cr_expect(GwBackend_Tick(&b, now_us));
        cr_expect_eq(GwBackend_SlowStartWeight(&b, now_us), GW_WEIGHT_MIN);
    }
    GwBackend_RecordSuccess(&b, now_us, 1000);
    cr_expect_eq(b.failures, 0);
    cr_expect_eq(GwBackend_SlowStartWeight(&b, now_us + GW_SLOW_START_US),
                 GW_WEIGHT_FULL);
}

Test(steer_backends, attempt_ends_update_the_state)
{
    struct {
        const char *name;
        GwAttemptEvent end;
        uint32_t failures;
        bool is_available;
    } cases[] = {
        {"answered", {.outcome = GW_OUTCOME_ANSWERED}, 0, true},
        {"no connection",
         {.outcome = GW_OUTCOME_NOT_RUN, .reason = GW_REASON_CONNECT},
         1,
         true},
        {"silent",
         {.outcome = GW_OUTCOME_UNKNOWN, .reason = GW_REASON_SILENT},
         1,
         true},
        {"shed",
         {.outcome = GW_OUTCOME_NOT_RUN,
          .reason = GW_REASON_SHED,
          .retry_after_ms = 50},
         0,
         false},
        {"the answer reports draining",
         {.outcome = GW_OUTCOME_ANSWERED, .draining = true},
         0,
         false},
        {"the caller disconnected",
         {.outcome = GW_OUTCOME_UNKNOWN, .reason = GW_REASON_CALLER_GONE},
         0,
         true},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        GwBackendState b = {.slot_count = 4};
        GwRng rng = GwRng_Make(1);
        GwBackend_RecordEnd(&b, 1000, 500, &cases[i].end, GW_MS(2000), &rng);
        cr_expect_eq(b.failures, cases[i].failures, "%s", cases[i].name);
        cr_expect_eq(GwBackend_IsAvailable(&b, 1000), cases[i].is_available,
                     "%s", cases[i].name);
        /* An observed drain does not expire by itself; the other states do. */
        cr_expect_eq(GwBackend_IsAvailable(&b, 1000 + GW_MS(2000)),
                     !cases[i].end.draining, "%s", cases[i].name);
    }
}

/* A server reports in an answer that it is draining, while its health
 * endpoint lags and reports it as open. New calls must not reach a server
 * that is shutting down, so a health report ends the drain only if it is
 * later than the observation's time. */
Test(steer_backends, only_a_later_health_report_ends_an_observed_drain)
{
    const struct {
        int64_t open_at_ms; /* 0: the endpoint never reported it open */
        int64_t now_ms;
        bool is_available;
    } cases[] = {{0, 1999, false},    {0, 2001, false},   {0, 900000, false},
                 {1999, 2500, false}, {2000, 2001, true}, {2500, 2600, true},
                 {2500, 900000, true}};

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        GwBackendState b = {.slot_count = 4};
        GwBackend_RecordDrain(&b, GW_MS(2000));
        b.reported_open_us = GW_MS(cases[i].open_at_ms);
        cr_expect_eq(GwBackend_IsAvailable(&b, GW_MS(cases[i].now_ms)),
                     cases[i].is_available, "case %zu", i);
    }
}
