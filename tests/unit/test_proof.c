/* Proofs of freshness that entries pass on to each other. */
#include "common/rng.h"
#include "store/proof.h"

#include <criterion/criterion.h>

#define MS 1000
#define S  1000000

/* Guards against: a message that was delayed, by the network or in the queue
 * of a paused receiver, makes a proof look younger than it is. */
Test(proof, a_passed_proof_is_never_younger_than_it_is)
{
    /* Clocks of two entries, which differ. */
    const int64_t skew_us = 7777777;
    GwRng rng = GwRng_Make(20261203);

    for (int i = 0; i < 10000; i++) {
        /* Times of the first entry. */
        int64_t start_us = 100 * (int64_t)S + GwRng_Below(&rng, S);
        int64_t there_us = start_us + GwRng_Below(&rng, 3 * S);
        int64_t proof_us = there_us - GwRng_Below(&rng, 6 * S);
        int64_t back_us = there_us + GwRng_Below(&rng, 3 * S);
        int64_t read_us = back_us + GwRng_Below(&rng, 10 * S);
        GwClockEcho no_echo = {0};
        GwClockReport sent = GwClockEcho_Report(&no_echo, start_us);
        GwProof proof = {.as_of_us = proof_us + skew_us};
        GwClockEcho echo = {0};
        GwClockEcho_Note(&echo, 42, sent.clock_ms, there_us + skew_us);
        GwClockReport reply = GwClockEcho_Report(&echo, back_us + skew_us);
        uint32_t age = GwProof_WireAge(&proof, back_us + skew_us);
        int64_t as_of_us = 0;
        cr_assert(GwProof_FromPeer(&reply, age, 42, read_us, &as_of_us));
        cr_assert_leq(as_of_us, proof_us, "seed case %d", i);
        cr_assert_geq(as_of_us, proof_us - (there_us - start_us) - 4 * MS,
                      "seed case %d", i);
    }
}

/* Guards against: a proof is taken from a message that says nothing about this
 * process. */
Test(proof, a_message_without_an_echo_of_this_process_proves_nothing)
{
    static const struct {
        GwClockReport report;
        uint32_t age;
        bool is_proof;
    } cases[] = {
        {{.echo_process = 42, .echo_clock_ms = 9000}, 11, true},
        {{.echo_process = 41, .echo_clock_ms = 9000}, 11, false},
        {{.echo_process = 42, .echo_clock_ms = 9000}, 0, false},
        {{.echo_process = 42, .echo_clock_ms = 10001}, 11, false},
        {{.echo_process = 42, .echo_clock_ms = 9000, .echo_held_ms = 1001},
         11,
         false},
        {{.echo_process = 42, .echo_clock_ms = 9000}, UINT32_MAX, false},
        {{0}, 0, false},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        int64_t as_of_us = 0;
        cr_expect_eq(GwProof_FromPeer(&cases[i].report, cases[i].age, 42,
                                      10 * (int64_t)S, &as_of_us),
                     cases[i].is_proof, "case %zu", i);
    }
}

/* Guards against: the clock value in a message wraps, and a proof is lost or
 * looks younger. */
Test(proof, the_clock_of_a_message_may_wrap)
{
    int64_t wrap_us = ((int64_t)UINT32_MAX + 1) * MS;
    GwClockReport sent =
        GwClockEcho_Report(&(GwClockEcho){0}, wrap_us - 50 * MS);
    GwClockEcho echo = {0};
    GwProof proof = {.as_of_us = 4 * (int64_t)S};
    int64_t as_of_us = 0;

    GwClockEcho_Note(&echo, 42, sent.clock_ms, 5 * (int64_t)S);
    GwClockReport reply = GwClockEcho_Report(&echo, 5 * (int64_t)S);
    uint32_t age = GwProof_WireAge(&proof, 5 * (int64_t)S);
    cr_assert(GwProof_FromPeer(&reply, age, 42, wrap_us + 50 * MS, &as_of_us));
    cr_expect_leq(as_of_us, wrap_us - 1050 * MS);
    cr_expect_geq(as_of_us, wrap_us - 1053 * MS);
}
