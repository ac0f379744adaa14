#include "common/log_events.h"

/* The symbolic name that log lines give beside the number; "UNNUMBERED" for a
 * number that is not in the table. */
const char *
GwLogEvent_Name(uint32_t event)
{
    switch (event) {
#define GW_LOG_CASE(sym, num, level, meaning)                                 \
    case num:                                                                 \
        return #sym;
        GW_LOG_EVENT_TABLE(GW_LOG_CASE)
#undef GW_LOG_CASE
    default:
        return "UNNUMBERED";
    }
}

/* The level of the event; GW_LEVEL_ERROR for a number that is not in the
 * table. */
GwLogLevel
GwLogEvent_Level(uint32_t event)
{
    switch (event) {
#define GW_LOG_CASE(sym, num, level, meaning)                                 \
    case num:                                                                 \
        return GW_LEVEL_##level;
        GW_LOG_EVENT_TABLE(GW_LOG_CASE)
#undef GW_LOG_CASE
    default:
        return GW_LEVEL_ERROR;
    }
}
