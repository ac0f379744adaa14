#include "store/proof.h"

/* Older proofs are of no use, and 32 bits of ms wrap after 49 days. */
#define AGE_MAX_MS 60000u

#ifndef GW_MUTANT
#define GW_MUTANT 0 /* tests/mutants.sh disables one safeguard at a time */
#endif

void
GwProof_Note(GwProof *proof, int64_t as_of_us)
{
    if (as_of_us > proof->as_of_us) {
        proof->as_of_us = as_of_us;
    }
}

void
GwClockEcho_Note(GwClockEcho *echo, uint64_t process, uint32_t clock_ms,
                 int64_t now_us)
{
    *echo = (GwClockEcho){
        .process = process, .clock_ms = clock_ms, .received_us = now_us};
}

static uint32_t
clamp_ms(int64_t us)
{
    int64_t ms = us / 1000;

    return ms > AGE_MAX_MS ? AGE_MAX_MS : (uint32_t)ms;
}

uint32_t
GwProof_WireAge(const GwProof *proof, int64_t now_us)
{
    /* Rounded up, and one more, as 0 means that there is none. */
    return proof->as_of_us != 0 ? clamp_ms(now_us - proof->as_of_us) + 2 : 0;
}

GwClockReport
GwClockEcho_Report(const GwClockEcho *echo, int64_t now_us)
{
    GwClockReport report = {.clock_ms = (uint32_t)(now_us / 1000)};

    if (echo->process != 0) {
        report.echo_process = (uint32_t)echo->process;
        report.echo_clock_ms = echo->clock_ms;
        report.echo_held_ms = clamp_ms(now_us - echo->received_us);
    }
    return report;
}

bool
GwProof_FromPeer(const GwClockReport *report, uint32_t wire_age,
                 uint64_t own_process, int64_t now_us, int64_t *as_of_us)
{
    /* Time since this process sent the echoed clock value. */
    uint32_t elapsed_ms = (uint32_t)(now_us / 1000) - report->echo_clock_ms;

    if (wire_age == 0 || wire_age > AGE_MAX_MS ||
        report->echo_process != (uint32_t)own_process ||
        elapsed_ms > AGE_MAX_MS || report->echo_held_ms > elapsed_ms) {
        return false;
    }
    uint32_t age_ms = elapsed_ms - report->echo_held_ms + wire_age - 1;
#if GW_MUTANT == 92 /* breaks: a message counts as fresh when it is read */
    age_ms = wire_age - 1;
#endif
    /* The clock value was rounded down to a whole ms when it was sent. */
    *as_of_us = now_us / 1000 * 1000 - (int64_t)age_ms * 1000;
    return true;
}
