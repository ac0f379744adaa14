/* Log lines kept until their reader takes them.
 *
 * A reader of standard output that stops reading must not stop the process:
 * lines go into a ring of bounded size and are written by pieces that the
 * descriptor takes without blocking. A line that finds no room is dropped and
 * counted; the next line that finds room tells how many were. */
#ifndef GW_COMMON_LOG_RING_H
#define GW_COMMON_LOG_RING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
    GString *bytes; /* whole lines, oldest first */
    gsize bytes_max;
    uint64_t dropped; /* since the last line that had room */
    uint64_t dropped_total;
} GwLogRing;

void GwLogRing_Init(GwLogRing *ring, gsize bytes_max);
void GwLogRing_Clear(GwLogRing *ring);
/* Appends a line, which ends with a newline. */
void GwLogRing_Add(GwLogRing *ring, const char *line);
/* Writes what `fd` takes without blocking. */
void GwLogRing_Flush(GwLogRing *ring, int fd);

#endif
