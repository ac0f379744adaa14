/* Model of one backend server. Deterministic: the time is an argument and the
 * random generator is seeded by the program. Not thread-safe; the program
 * holds a lock around each call. */
#ifndef GS_BACKEND_H
#define GS_BACKEND_H

#include "common/rng.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define GS_NAME_MAX 64
#define GS_KEY_MAX  160

typedef enum {
    GS_ADMIT_RUN = 0,
    GS_ADMIT_REFUSE, /* explicit refusal; nothing is executed */
    GS_ADMIT_DROP,   /* connection closed; nothing is executed */
    GS_ADMIT_SILENT  /* no answer; executed if silent_runs is set */
} GsAdmit;

typedef struct {
    char name[GS_NAME_MAX];
    char service[GS_NAME_MAX];
    char address[GS_NAME_MAX];
    uint32_t port;
    uint32_t slots;
    uint32_t connection_limit; /* further connections are closed unread */
    uint32_t shed_percent;     /* of slots; requests above it are refused */
    int64_t service_us;        /* median service time */
    double sigma;              /* of the lognormal distribution */
    int64_t cold_until_us;
    uint32_t cold_factor;
    /* Set by POST /control. */
    bool drain;
    bool reports_no_load;
    bool shed;
    bool silent;
    bool silent_runs;
    bool down;
    uint32_t slow_ms;
    uint32_t reset_share_percent;
    /* Random generator and statistics. */
    GwRng rng;
    uint32_t connections;
    uint32_t max_connections;
    uint64_t connections_refused;
    uint32_t in_flight;
    uint32_t max_in_flight;
    uint64_t runs;
    uint64_t refused;
    uint64_t stopped; /* runs stopped at their deadline */
    uint64_t cancelled;
    int64_t drain_at_us;
    int64_t drain_idle_at_us;    /* when in_flight reached 0 */
    int64_t drain_last_offer_us; /* last request received while draining */
} GsBackend;

GsAdmit GsBackend_Begin(GsBackend *b, int64_t now_us);
bool GsBackend_Connect(GsBackend *b);
void GsBackend_Disconnect(GsBackend *b);
void GsBackend_End(GsBackend *b, int64_t now_us);
void GsBackend_Drain(GsBackend *b, bool drain, int64_t now_us);
int64_t GsBackend_ServiceTime(GsBackend *b, int64_t now_us);
uint32_t GsBackend_ReportedLoad(const GsBackend *b);

/* Journal record of one execution of a non-idempotent request. */
typedef struct {
    char backend[GS_NAME_MAX];
    char service[GS_NAME_MAX];
    char op[GS_NAME_MAX];
    char key[GS_KEY_MAX];
    char request_id[GS_KEY_MAX];
    int64_t start_us;
    int64_t end_us; /* 0: still running */
} GsRun;

char *GsRun_Format(const GsRun *run);
bool GsRun_Parse(const char *line, GsRun *out);

#endif
