/* Bounded buffer of log lines that are written without blocking.
 *
 * A reader of standard output that stops reading must not block the process:
 * lines are buffered and written in pieces that the descriptor accepts without
 * blocking. A line that does not fit is dropped and counted; a line with the
 * number of dropped lines precedes the next line that fits. */
#ifndef GW_COMMON_LOG_RING_H
#define GW_COMMON_LOG_RING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
    GString *bytes; /* whole lines, oldest first */
    gsize bytes_max;
    uint64_t dropped; /* lines since the last added one */
    uint64_t dropped_total;
} GwLogRing;

void GwLogRing_Init(GwLogRing *ring, gsize bytes_max);
void GwLogRing_Clear(GwLogRing *ring);
/* Appends a line, which must end with a newline, or drops it when full. */
void GwLogRing_Add(GwLogRing *ring, const char *line);
/* Writes as many bytes as `fd` accepts without blocking. */
void GwLogRing_Flush(GwLogRing *ring, int fd);

#endif
