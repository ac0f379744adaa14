#include "common/log_events.h"

/* The symbol of an event, as log lines carry it beside the number. */
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

/* The level an event is logged at; unnumbered ones are errors. */
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
