/* Token bucket that limits the rate of log lines of one event.
 *
 * Under a flood of one event each further line adds little information, but
 * costs processor time and fills the log ring, which then drops lines of other
 * events. Lines above the rate are counted instead of written, and their
 * number is logged before the next line that passes. */
#ifndef GW_COMMON_LOG_RATE_H
#define GW_COMMON_LOG_RATE_H

#include <stdbool.h>
#include <stdint.h>

#define GW_LOG_RATE_PER_S 200 /* lines per second */
#define GW_LOG_RATE_BURST 400 /* lines */

typedef struct {
    double tokens;
    int64_t refilled_us; /* time of the last refill; 0: none yet */
    uint64_t suppressed; /* lines since the last written one */
} GwLogRate;

/* Takes a token and returns true when a line may be written now; `*suppressed`
 * is then the number of lines suppressed since the last written one, and the
 * count restarts at 0. Otherwise counts the line as suppressed. */
bool GwLogRate_Take(GwLogRate *rate, int64_t now_us, uint64_t *suppressed);

#endif
