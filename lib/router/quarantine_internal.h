/* What the parts of the quarantine share. */
#ifndef GW_ROUTER_QUARANTINE_INTERNAL_H
#define GW_ROUTER_QUARANTINE_INTERNAL_H

#include "router/quarantine.h"

#ifndef GW_MUTANT
#define GW_MUTANT 0 /* tests/mutants.sh breaks one safeguard at a time */
#endif

typedef struct {
    GwSuspect s;
    int64_t first_us; /* of the first crash */
    int64_t at_us;    /* of the last crash, or of being cleared */
    int64_t changed_us;
    int64_t ripe_us;      /* of the crash that made them enough to hold it */
    bool told;            /* to other entries */
    GwSuspectState state; /* as noted last */
    uint64_t judged;      /* version as of which it was judged */
    bool is_cause;
} GwSuspectRecord;

typedef struct {
    GwFingerprint fingerprint;
    uint64_t server;
    int64_t at_us;
} GwBreak;

struct GwQuarantine_s {
    GHashTable *records; /* GwFingerprint -> GwSuspectRecord */
    GArray *breaks;      /* GwBreak */
    uint64_t version;    /* rises with each change of a record */
    uint64_t sum;
    uint64_t sum_version; /* as of which `sum` holds */
    int64_t changed_us;
    GwQuarantineNote note;
    void *ctx;
};

GwSuspectRecord *GwQuarantine_Find(const GwQuarantine *q,
                                   const GwFingerprint *f);
/* Makes it, and room for it, where it isn't known. */
GwSuspectRecord *GwQuarantine_FindOrAdd(GwQuarantine *q, int64_t now_us,
                                        const GwFingerprint *f);
/* The record says something new. */
void GwSuspectRecord_Change(GwQuarantine *q, int64_t now_us,
                            GwSuspectRecord *rec);
/* How long it is kept after its last crash. */
int64_t GwSuspectRecord_LifeUs(const GwSuspectRecord *rec);
GwSuspect GwSuspectRecord_View(const GwSuspectRecord *rec, int64_t now_us);
GwSuspectState GwSuspectRecord_State(const GwQuarantine *q, int64_t now_us,
                                     GwSuspectRecord *rec);
int64_t GwSuspectRecord_HeldUntil(const GwQuarantine *q, int64_t now_us,
                                  GwSuspectRecord *rec);
bool GwSuspect_IsFull(const GwSuspect *s);
/* Keeps the servers in order and, of too many, the first: so all entries keep
 * the same ones. Returns whether it has been added. */
bool GwSuspect_AddServer(GwSuspect *s, uint64_t server);

#endif
