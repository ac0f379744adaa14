#include "store/reader.h"

#ifndef GW_MUTANT
#define GW_MUTANT 0 /* tests/mutants.sh disables one safeguard at a time */
#endif

/* Ages of the proof, as shares of the bound, at which the second entry of a
 * region reads the store itself, the step to each further one, and the most.
 * An earlier entry's proof reaches the later ones before they call. */
#define STALE_SHARE      0.5
#define STALE_STEP_SHARE 0.01
#define STALE_SHARE_MAX  0.6

GwReadReason
GwReaderView_Reason(const GwReaderView *view)
{
    double share = STALE_SHARE + STALE_STEP_SHARE * view->rank;

    if (view->rank == 0) {
        return GW_READS_FIRST;
    }
    if (share > STALE_SHARE_MAX) {
        share = STALE_SHARE_MAX;
    }
#if GW_MUTANT == 102 /* breaks: an entry without a recent proof reads */
    return GW_READS_NOT;
#endif
    return (double)view->age_us > share * view->bound_ms * 1000
               ? GW_READS_STALE
               : GW_READS_NOT;
}

const char *
GwReadReason_Name(GwReadReason reason)
{
    static const char *const names[] = {
        [GW_READS_NOT] = "none",
        [GW_READS_START] = "start",
        [GW_READS_FIRST] = "first",
        [GW_READS_STALE] = "stale",
    };

    return names[reason];
}
