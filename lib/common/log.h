/* Log of the process: one line an event, on log4c. */
#ifndef GW_COMMON_LOG_H
#define GW_COMMON_LOG_H

#include "common/log_events.h"

/* level: "error", "warn" or "info". Returns 0, or -1 when log4c fails. */
int GwLog_Start(const char *level);
/* The same, but lines are kept until GwLog_Flush writes them to standard
 * output; it never blocks (common/log_ring.h). For a process that must not
 * wait for the reader of its log. */
int GwLog_StartBuffered(const char *level);
void GwLog_Flush(void);
/* Lines that found no room since the start. */
uint64_t GwLog_Dropped(void);
void GwLog_Stop(void);
/* Writes `event=200 name=CONFIG_IN_FORCE ` and the key=value text. */
void GwLog_Event(uint32_t event, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif
