/* Names of outcomes and reasons, and hashes of names. */
#include "common/names.h"
#include "godwitridge.h"

#include <string.h>
#include <xxhash.h>

/* The value of the GW-Outcome header. */
const char *
GwOutcome_Name(GwOutcome outcome)
{
    switch (outcome) {
    case GW_OUTCOME_ANSWERED:
        return "answered";
    case GW_OUTCOME_NOT_RUN:
        return "not-run";
    case GW_OUTCOME_UNKNOWN:
        return "unknown";
    }
    return "unknown";
}

/* The value of the GW-Reason header. */
const char *
GwReason_Name(GwReason reason)
{
    switch (reason) {
#define GW_REASON_CASE(sym, num, name)                                        \
    case GW_REASON_##sym:                                                     \
        return name;
        GW_REASON_TABLE(GW_REASON_CASE)
#undef GW_REASON_CASE
    }
    return "unnumbered";
}

/* XXH64 with seed 0. Processes of all versions must compute the same value. */
uint64_t
GwName_Hash64(const char *name)
{
    return XXH64(name, strlen(name), 0);
}

uint32_t
GwName_Hash32(const char *name)
{
    return (uint32_t)GwName_Hash64(name);
}
