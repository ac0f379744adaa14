#include "common/log.h"

#include "common/log_rate.h"
#include "common/log_ring.h"

#include <glib.h>
#include <log4c.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LOG_LINE_MAX 1024
#define EVENTS_MAX   1000 /* event numbers are smaller */
/* Holds the lines of some seconds at 100 requests per second. */
#define LOG_RING_BYTES (256u << 10)

static log4c_category_t *category;
/* Serialises writes: log4c's appenders take no lock, and lines of concurrent
 * threads would be interleaved. */
static pthread_mutex_t line_mutex = PTHREAD_MUTEX_INITIALIZER;

/* Prefixes the line that GwLog_Event formatted with its time. */
static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
    static char line[LOG_LINE_MAX + 32];
    int64_t ms = (int64_t)event->evt_timestamp.tv_sec * 1000 +
                 event->evt_timestamp.tv_usec / 1000;
    g_snprintf(line, sizeof(line), "time_ms=%" G_GINT64_FORMAT " %s\n", ms,
               event->evt_msg);
    return line;
}

static const log4c_layout_type_t line_layout = {
    .name = "gw-line",
    .format = format_line,
};

static int
append_stderr(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    return fputs(event->evt_rendered_msg, stderr) < 0 ? -1 : 0;
}

static const log4c_appender_type_t stderr_appender = {
    .name = "gw-stderr",
    .append = append_stderr,
};

static GwLogRing ring;

static int
append_ring(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    (void)appender;
    GwLogRing_Add(&ring, event->evt_rendered_msg);
    return 0;
}

static const log4c_appender_type_t ring_appender = {
    .name = "gw-ring",
    .append = append_ring,
};

static int
priority_of(const char *level)
{
    if (strcmp(level, "error") == 0) {
        return LOG4C_PRIORITY_ERROR;
    }
    if (strcmp(level, "warn") == 0) {
        return LOG4C_PRIORITY_WARN;
    }
    return LOG4C_PRIORITY_INFO;
}

static int
start_log4c(const char *level, const log4c_appender_type_t *type)
{
    if (log4c_init() != 0) {
        return -1;
    }
    log4c_layout_t *layout = log4c_layout_get("gw-line");
    log4c_layout_set_type(layout, &line_layout);
    log4c_appender_t *appender = log4c_appender_get(type->name);
    log4c_appender_set_type(appender, type);
    log4c_appender_set_layout(appender, layout);
    log4c_category_t *c = log4c_category_get("godwitridge");
    log4c_category_set_appender(c, appender);
    log4c_category_set_additivity(c, 0);
    log4c_category_set_priority(c, priority_of(level));
    category = c;
    return 0;
}

int
GwLog_Start(const char *level)
{
    return start_log4c(level, &stderr_appender);
}

int
GwLog_StartBuffered(const char *level)
{
    GwLogRing_Init(&ring, LOG_RING_BYTES);
    return start_log4c(level, &ring_appender);
}

void
GwLog_Flush(void)
{
    if (ring.bytes != NULL) {
        GwLogRing_Flush(&ring, STDOUT_FILENO);
    }
}

uint64_t
GwLog_DroppedCount(void)
{
    return ring.dropped_total;
}

/* All threads that log must have exited. */
void
GwLog_Stop(void)
{
    GwLog_Flush();
    if (ring.bytes != NULL) {
        GwLogRing_Clear(&ring);
    }
    category = NULL;
    log4c_fini();
}

static int
priority_of_event(uint32_t event)
{
    switch (GwLogEvent_Level(event)) {
    case GW_LEVEL_ERROR:
        return LOG4C_PRIORITY_ERROR;
    case GW_LEVEL_WARN:
        return LOG4C_PRIORITY_WARN;
    case GW_LEVEL_INFO:
        return LOG4C_PRIORITY_INFO;
    }
    return LOG4C_PRIORITY_INFO;
}

/* Applies the rate limit of the event. When lines were suppressed since the
 * last one, logs their number first. Requires line_mutex. */
static bool
is_within_rate(uint32_t event)
{
    static GwLogRate rates[EVENTS_MAX];
    uint64_t suppressed;

    if (event >= EVENTS_MAX) {
        return true;
    }
    if (!GwLogRate_Take(&rates[event], g_get_monotonic_time(), &suppressed)) {
        return false;
    }
    if (suppressed > 0) {
        log4c_category_log(category, LOG4C_PRIORITY_WARN,
                           "event=%u name=%s suppressed=%" G_GUINT64_FORMAT,
                           event, GwLogEvent_Name(event), suppressed);
    }
    return true;
}

/* Values come from callers, servers and the store; one with a line break would
 * look like a line of its own. */
static void
replace_control_bytes(char *line)
{
    for (char *at = line; *at != '\0'; at++) {
        if (g_ascii_iscntrl(*at)) {
            *at = '?';
        }
    }
}

/* Does nothing before GwLog_Start, so that tests and tools log nothing.
 * Returns before formatting when the event's level is disabled. */
void
GwLog_Event(uint32_t event, const char *format, ...)
{
    char line[LOG_LINE_MAX];
    va_list args;

    if (category == NULL || !log4c_category_is_priority_enabled(
                                category, priority_of_event(event))) {
        return;
    }
    int len = g_snprintf(line, sizeof(line), "event=%u name=%s ", event,
                         GwLogEvent_Name(event));
    va_start(args, format);
    g_vsnprintf(line + len, sizeof(line) - (gulong)len, format, args);
    va_end(args);
    replace_control_bytes(line);
    pthread_mutex_lock(&line_mutex);
    if (is_within_rate(event)) {
        log4c_category_log(category, priority_of_event(event), "%s", line);
    }
    pthread_mutex_unlock(&line_mutex);
}
