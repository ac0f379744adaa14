/* Model of a backend server: admission, connection limit, drain, service
 * times and reported load. */
#include "common/backend.h"

#include <criterion/criterion.h>
#include <string.h>

static GsBackend
make_backend(void)
{
    return (GsBackend){.slots = 2,
                       .shed_percent = 150,
                       .service_us = 1000,
                       .cold_factor = 1,
                       .rng = GwRng_Make(7)};
}

Test(standin_backend, refuses_requests_above_the_shed_threshold)
{
    GsBackend b = make_backend();
    for (int i = 0; i < 3; i++) {
        cr_assert_eq(GsBackend_Begin(&b, 1), GS_ADMIT_RUN);
    }
    cr_assert_eq(GsBackend_Begin(&b, 1), GS_ADMIT_REFUSE);
    cr_assert_eq(b.max_in_flight, 3);
    GsBackend_End(&b, 2);
    cr_assert_eq(GsBackend_Begin(&b, 3), GS_ADMIT_RUN);
    cr_assert_eq(b.runs, 4);
    cr_assert_eq(b.refused, 1);
}

typedef struct {
    const char *name;
    bool drain, shed, silent, silent_runs, down;
    GsAdmit expected;
    uint32_t in_flight;
} FlagCase;

static const FlagCase flag_cases[] = {
    {"plain", false, false, false, false, false, GS_ADMIT_RUN, 1},
    {"drain", true, false, false, false, false, GS_ADMIT_REFUSE, 0},
    {"shed", false, true, false, false, false, GS_ADMIT_REFUSE, 0},
    {"silent", false, false, true, false, false, GS_ADMIT_SILENT, 0},
    {"silent, runs", false, false, true, true, false, GS_ADMIT_SILENT, 1},
    {"down", true, true, true, true, true, GS_ADMIT_DROP, 0},
};

Test(standin_backend, control_flags_select_the_admission)
{
    for (size_t i = 0; i < sizeof(flag_cases) / sizeof(flag_cases[0]); i++) {
        const FlagCase *c = &flag_cases[i];
        GsBackend b = make_backend();
        b.shed = c->shed;
        b.silent = c->silent;
        b.silent_runs = c->silent_runs;
        b.down = c->down;
        GsBackend_Drain(&b, c->drain, 1);
        cr_assert_eq(GsBackend_Begin(&b, 2), c->expected, "%s", c->name);
        cr_assert_eq(b.in_flight, c->in_flight, "%s", c->name);
    }
}

Test(standin_backend, closes_connections_above_the_limit)
{
    GsBackend b = make_backend();
    b.connection_limit = 2;
    cr_assert(GsBackend_Connect(&b));
    cr_assert(GsBackend_Connect(&b));
    cr_assert_not(GsBackend_Connect(&b));
    GsBackend_Disconnect(&b);
    cr_assert(GsBackend_Connect(&b));
    cr_assert_eq(b.max_connections, 2);
    cr_assert_eq(b.connections_refused, 1);
}

Test(standin_backend, drain_is_idle_after_the_last_request)
{
    GsBackend b = make_backend();
    GsBackend_Begin(&b, 1);
    GsBackend_Drain(&b, true, 10);
    cr_assert_eq(b.drain_idle_at_us, 0);
    cr_assert_eq(GsBackend_Begin(&b, 15), GS_ADMIT_REFUSE);
    GsBackend_End(&b, 20);
    cr_assert_eq(b.drain_idle_at_us, 20);
    cr_assert_eq(b.drain_last_offer_us, 15);
}

Test(standin_backend, service_times_depend_on_seed_and_cold_start)
{
    GsBackend a = make_backend();
    GsBackend b = make_backend();
    a.sigma = b.sigma = 0.3;
    int64_t first_us = GsBackend_ServiceTime(&a, 5);
    cr_assert_eq(first_us, GsBackend_ServiceTime(&b, 5));
    GsBackend cold = make_backend();
    cold.cold_until_us = 10;
    cold.cold_factor = 4;
    cr_assert_eq(GsBackend_ServiceTime(&cold, 9), 4000);
    cr_assert_eq(GsBackend_ServiceTime(&cold, 10), 1000);
    cold.slow_ms = 2;
    cr_assert_eq(GsBackend_ServiceTime(&cold, 10), 3000);
}

Test(standin_backend, reports_no_load_when_told_to)
{
    GsBackend b = make_backend();
    GsBackend_Begin(&b, 1);
    cr_assert_eq(GsBackend_ReportedLoad(&b), 1);
    b.reports_no_load = true;
    cr_assert_eq(GsBackend_ReportedLoad(&b), 0);
}
