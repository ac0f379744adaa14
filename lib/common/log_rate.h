/* How many lines of one event are written a second.
 *
 * Under a flood of one event its lines say little more than their number, but
 * each costs processor time and pushes others out of the ring. Those above the
 * rate are counted, and the next one that is written says how many were. */
#ifndef GW_COMMON_LOG_RATE_H
#define GW_COMMON_LOG_RATE_H

#include <stdbool.h>
#include <stdint.h>

#define GW_LOG_RATE_PER_S 200
#define GW_LOG_RATE_BURST 400

typedef struct {
    double tokens;
    int64_t at_us; /* 0: no line yet */
    uint64_t suppressed;
} GwLogRate;

/* Whether a line may be written now. `*suppressed` is then the number of those
 * before it that were not, and is forgotten. */
bool GwLogRate_Take(GwLogRate *rate, int64_t now_us, uint64_t *suppressed);

#endif
