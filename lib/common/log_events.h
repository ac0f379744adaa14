/* Numbered log events. docs/EVENTS.md lists them for operators; a test checks
 * that it matches this table. Numbers are grouped by subject and are never
 * reused. X(symbol, number, level, meaning) */
#ifndef GW_COMMON_LOG_EVENTS_H
#define GW_COMMON_LOG_EVENTS_H

#include <stdint.h>

/* clang-format off */
#define GW_LOG_EVENT_TABLE(X) \
    /* 100: the process */ \
    X(START, 100, INFO, "the process started") \
    X(STOP_BEGIN, 101, INFO, "a graceful stop began") \
    X(STOP_DONE, 102, INFO, "the graceful stop is complete") \
    X(SETTINGS_BAD, 103, ERROR, "the settings were rejected") \
    X(SETTINGS_AGAIN, 104, INFO, "the settings are reloaded") \
    X(STOP_LISTENING, 105, INFO, "a stopping process closed its listener") \
    X(LOOP_LATE, 106, WARN, "an event loop iteration took too long") \
    X(CONTROL_COST, 107, INFO, "control traffic with other entries, by kind") \
    /* 200: configuration */ \
    X(CONFIG_IN_FORCE, 200, INFO, "a configuration version took effect") \
    X(CONFIG_REFUSED, 201, ERROR, "a configuration document was rejected") \
    X(ROWS_TAKEN, 202, INFO, "operator rows arrived by a separate read") \
    /* 300: membership */ \
    X(MEMBER_UP, 300, INFO, "a member is alive") \
    X(MEMBER_SUSPECT, 301, WARN, "a member is suspected") \
    X(MEMBER_DEAD, 302, WARN, "a member is declared dead") \
    X(MEMBER_LEAVING, 303, INFO, "a member is leaving") \
    /* 400: seats */ \
    X(SEAT_CLAIMED, 400, INFO, "a seat was claimed") \
    X(SEAT_LOST, 401, WARN, "a seat was lost to another holder") \
    X(SEAT_FENCED, 402, WARN, "paused too long: held units are fenced off") \
    X(SEAT_RECLAIM, 403, WARN, "the seat of an absent holder is reclaimed") \
    X(SEAT_GIVEN, 404, INFO, "a seat was handed to a peer") \
    /* 500: steering */ \
    X(BACKEND_EJECTED, 500, WARN, "a backend server is ejected") \
    X(BACKEND_BACK, 501, INFO, "an ejected backend server is used again") \
    X(BACKEND_DRAINING, 502, INFO, "a backend server is draining") \
    X(BACKEND_GONE, 503, INFO, "a backend server was unregistered") \
    X(EVACUATION, 504, INFO, "a failure domain is evacuated or restored") \
    X(REQUEST_SUSPECT, 505, WARN, "servers crashed while running a request") \
    X(REQUEST_HELD, 506, ERROR, "a server-crashing request is quarantined") \
    X(REQUEST_CLEARED, 507, INFO, "a request is no longer suspected") \
    X(SERVER_LIMIT, 508, WARN, "a backend server announced a rate limit") \
    X(SERVER_UNLIMITED, 509, INFO, "a backend server lifted its rate limit") \
    X(ORG_LIMITED, 510, WARN, "an organisation is over its quota") \
    X(ORG_UNLIMITED, 511, INFO, "an organisation is within its quota again") \
    X(BACKEND_LEAVING, 512, INFO, "a backend server's answer says it leaves") \
    X(BACKEND_RESTS, 513, INFO, "a backend server asks for rest") \
    X(SERVICE_UNREACHED, 514, WARN, "no connection to a service is set up") \
    X(SERVICE_REACHED, 515, INFO, "connections to a service are set up again") \
    X(SHORTAGE_BEGINS, 516, WARN, "a service's slots are short in a region") \
    X(SHORTAGE_ENDS, 517, INFO, "a service's slots are enough again") \
    X(BACKEND_INVALID, 518, WARN, "a row names no backend server") \
    /* 600: calls */ \
    X(CALL_UNKNOWN, 600, WARN, "a call ended with an unknown outcome") \
    X(REQUEST_REPLIED, 601, INFO, "the entry itself answered a request") \
    X(REQUEST_ANSWERED, 602, INFO, "a backend server answered a request") \
    X(REQUEST_LEFT, 603, INFO, "a caller disconnected before its answer") \
    X(ATTEMPT_FAILED, 604, WARN, "an attempt ended without an answer") \
    X(REQUEST_CUT, 605, WARN, "the entry stopped before a request's answer") \
    X(REQUEST_DROPPED, 606, INFO, "a request after a close was not answered") \
    X(PASS_ON_FAILED, 607, WARN, "another entry did not answer a request") \
    X(PASS_ON_DENIED, 608, WARN, "a request was not meant for this entry") \
    X(ANSWER_EXCESS, 609, WARN, "a server's answer exceeded its bounds") \
    X(ATTEMPT_UNDELIVERED, 610, WARN, "a request was abandoned in transit") \
    X(CALLER_CLOSED, 611, INFO, "the entry closed a caller's connection") \
    X(CALLER_CUT, 612, WARN, "answers to a caller were discarded unread") \
    X(REQUEST_OPEN, 613, INFO, "a request was open at the end of a stop") \
    /* 700: platform */ \
    X(STORE_AWAY, 700, WARN, "the platform's table is unavailable") \
    X(STORE_BACK, 701, INFO, "the platform's table is available again") \
    X(PROOF_LOST, 702, WARN, "keys are refused: revocations may be missing") \
    X(PROOF_BACK, 703, INFO, "keys are accepted: the configuration is fresh") \
    X(STORE_READS, 704, INFO, "this entry begins or ends to read the store") \
    X(ROWS_OLDER, 705, WARN, "a read was older than the rows held") \
    X(STORE_ERA, 706, WARN, "the store was restored from a copy") \
    X(ROWS_SETTLED, 707, INFO, "rows that a restore put in doubt are settled") \
    /* 800: administration */ \
    X(ADMIN_ACCEPTED, 800, INFO, "a change was accepted") \
    X(ADMIN_REFUSED, 801, INFO, "a change was refused") \
    X(ADMIN_PENDING, 802, WARN, "the outcome of a change is not known yet") \
    X(ADMIN_DENIED, 803, WARN, "a request without the token was denied") \
    X(SNAPSHOT_FAILED, 804, WARN, "a snapshot could not be written")
/* clang-format on */

typedef enum {
#define GW_LOG_ENUM(sym, num, level, meaning) GW_LOG_##sym = (num),
    GW_LOG_EVENT_TABLE(GW_LOG_ENUM)
#undef GW_LOG_ENUM
} GwLogEvent;

typedef enum {
    GW_LEVEL_ERROR = 0,
    GW_LEVEL_WARN = 1,
    GW_LEVEL_INFO = 2
} GwLogLevel;

const char *GwLogEvent_Name(uint32_t event);
GwLogLevel GwLogEvent_Level(uint32_t event);

#endif
