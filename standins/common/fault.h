/* Fault injection of the platform stand-in. Deterministic: the time and the
 * random draw are arguments. */
#ifndef GS_FAULT_H
#define GS_FAULT_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
    GS_FAULT_NONE = 0,
    GS_FAULT_DOWN,   /* connection closed, not executed */
    GS_FAULT_SLOW,   /* answered after slow_ms */
    GS_FAULT_REFUSE, /* 503, not executed */
    GS_FAULT_LOST,   /* executed, then the connection is closed */
    GS_FAULT_STALE   /* reads return the state at the start of the fault */
} GsFaultMode;

typedef struct {
    GsFaultMode mode;
    int64_t until_us;
    uint32_t slow_ms;
    uint32_t share_percent;
} GsFault;

bool GsFault_Parse(const char *name, GsFaultMode *out);
GsFaultMode GsFault_Now(const GsFault *f, int64_t now_us,
                        uint32_t chance_percent);

/* Limit of operations per second, counted in whole seconds. */
typedef struct {
    uint32_t per_second; /* 0: no limit */
    uint32_t used;
    int64_t second;
} GsBudget;

bool GsBudget_Take(GsBudget *b, int64_t now_us);

#endif
