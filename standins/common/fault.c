#include "common/fault.h"

#include <string.h>

/* Maps a fault name of POST /control/faults. Returns false when unknown. */
bool
GsFault_Parse(const char *name, GsFaultMode *out)
{
    static const char *const names[] = {"none",   "down", "slow",
                                        "refuse", "lost", "stale"};
    for (uint32_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        if (strcmp(names[i], name) == 0) {
            *out = (GsFaultMode)i;
            return true;
        }
    }
    return false;
}

/* Returns the fault to apply to a request; `chance_percent` is drawn from 0
 * to 99. */
GsFaultMode
GsFault_Now(const GsFault *f, int64_t now_us, uint32_t chance_percent)
{
    if (now_us >= f->until_us || chance_percent >= f->share_percent) {
        return GS_FAULT_NONE;
    }
    return f->mode;
}

/* Consumes one operation. Returns false when the budget of the current second
 * is exhausted. */
bool
GsBudget_Take(GsBudget *b, int64_t now_us)
{
    int64_t second = now_us / 1000000;
    if (second != b->second) {
        b->second = second;
        b->used = 0;
    }
    if (b->per_second != 0 && b->used >= b->per_second) {
        return false;
    }
    b->used++;
    return true;
}
