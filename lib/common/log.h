/* Event log of the process, on log4c: one line per event. */
#ifndef GW_COMMON_LOG_H
#define GW_COMMON_LOG_H

#include "common/log_events.h"

/* Starts logging to standard error. `level` is "error", "warn" or "info", the
 * lowest level that is written. Returns 0, or -1 when log4c fails. */
int GwLog_Start(const char *level);
/* As GwLog_Start, but buffers lines until GwLog_Flush writes them to standard
 * output without blocking (common/log_ring.h). For a process that must not
 * wait for the reader of its log. */
int GwLog_StartBuffered(const char *level);
void GwLog_Flush(void);
/* Number of lines dropped since the start because the buffer was full. */
uint64_t GwLog_DroppedCount(void);
void GwLog_Stop(void);
/* Writes a line such as `event=200 name=CONFIG_IN_FORCE ` followed by the
 * formatted key=value text. */
void GwLog_Event(uint32_t event, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif
