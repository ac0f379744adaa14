/* Shared declarations of the quarantine. */
#ifndef GW_ROUTER_QUARANTINE_INTERNAL_H
#define GW_ROUTER_QUARANTINE_INTERNAL_H

#include "router/quarantine.h"

#ifndef GW_MUTANT
#define GW_MUTANT 0 /* tests/mutants.sh disables one safeguard at a time */
#endif

typedef struct {
    GwSuspect s;
    int64_t first_us; /* of the first crash */
    int64_t at_us;    /* of the last crash, or of the clearance */
    int64_t changed_us;
    int64_t threshold_us;       /* when the threshold was reached; 0: not */
    bool is_shared;             /* shared with other entries */
    GwSuspectState state;       /* as last passed to q->callback */
    uint64_t evaluated_version; /* q->version for which is_cause is valid */
    bool is_cause;
} GwSuspectRecord;

typedef struct {
    GwFingerprint fingerprint;
    uint64_t server;
    int64_t at_us;
} GwLostConnection;

typedef struct {
    uint64_t server;
    int64_t at_us;
} GwServerCrash;

struct GwQuarantine_s {
    GHashTable *records;      /* GwFingerprint -> GwSuspectRecord */
    GArray *lost_connections; /* GwLostConnection */
    GHashTable *crashes;      /* server -> GwServerCrash */
    uint64_t version;         /* incremented with each change of a record */
    uint64_t sum;
    uint64_t sum_version; /* `version` for which `sum` is valid */
    int64_t changed_us;
    GwQuarantineCallback callback;
    void *ctx;
};

GwSuspectRecord *GwQuarantine_Find(const GwQuarantine *q,
                                   const GwFingerprint *f);
/* Creates the record if needed; evicts another one if the table is full. */
GwSuspectRecord *GwQuarantine_FindOrAdd(GwQuarantine *q, int64_t now_us,
                                        const GwFingerprint *f);
/* Must be called after each change of the record. */
void GwSuspectRecord_Change(GwQuarantine *q, int64_t now_us,
                            GwSuspectRecord *rec);
/* Notes when the server process crashed, by its first report. */
void GwQuarantine_NoteCrashTime(GwQuarantine *q, uint64_t server,
                                int64_t at_us);
/* Lifetime after the last crash. */
int64_t GwSuspectRecord_LifeUs(const GwSuspectRecord *rec);
GwSuspect GwSuspectRecord_View(const GwSuspectRecord *rec, int64_t now_us);
GwSuspectState GwSuspectRecord_State(const GwQuarantine *q, int64_t now_us,
                                     GwSuspectRecord *rec);
int64_t GwSuspectRecord_QuarantinedUntil(const GwQuarantine *q, int64_t now_us,
                                         GwSuspectRecord *rec);
bool GwSuspect_IsFull(const GwSuspect *s);
/* Keeps the servers sorted and drops the largest of too many, so that all
 * entries keep the same ones. Returns whether the server was added. */
bool GwSuspect_AddServer(GwSuspect *s, uint64_t server);

#endif
