/* Follows one table of the platform's store: decides when the store is called
 * and with which question, and applies the answers to the local copy. Makes no
 * calls itself and has no clock, so that tests run it on virtual time. */
#ifndef GW_STORE_FOLLOWER_H
#define GW_STORE_FOLLOWER_H

#include "store/rows.h"

typedef struct GwFollower_s GwFollower;

typedef enum {
    GW_CALL_READ = 1, /* a page of the whole table */
    GW_CALL_FEED = 2  /* the changes after a version */
} GwStoreCallKind;

typedef struct {
    GwStoreCallKind kind;
    const char *from_key; /* READ: last key of the page before; or NULL */
    uint64_t after;       /* FEED */
    uint32_t wait_ms;     /* FEED: the store may wait so long for a change */
} GwStoreCall;

GwFollower *GwFollower_Create(GwRowChanged changed, void *ctx, int64_t now_us);
void GwFollower_Free(GwFollower *f);
GwRowCache *GwFollower_Cache(const GwFollower *f);
/* Sets how often the store is polled. 0, the default: by long polls. */
void GwFollower_SetPeriod(GwFollower *f, uint32_t period_ms);
/* Begins or ends to call the store. Returns whether that is a change; the
 * calling function must drop the call in progress when it ends. */
bool GwFollower_SetReads(GwFollower *f, int64_t now_us, bool reads);
bool GwFollower_Reads(const GwFollower *f);
/* Whether the table was read once, from the store or a peer. */
bool GwFollower_IsKnown(const GwFollower *f);
/* Whether this entry reads the table and the store answers. */
bool GwFollower_IsHealthy(const GwFollower *f);

/* Returns whether a call is due; it is then in progress. */
bool GwFollower_NextCall(GwFollower *f, int64_t now_us, GwStoreCall *call);
/* The call was written to a connection, `boot_us` by the clock of proofs. */
void GwFollower_OnSent(GwFollower *f, int64_t now_us, int64_t boot_us);
/* The call was answered with rows, which are consumed. Returns whether the
 * copy is complete, or the next page is due. */
bool GwFollower_OnRows(GwFollower *f, int64_t now_us, GwRowSet *set);
/* The store no longer has the history after the version. */
void GwFollower_OnGone(GwFollower *f, int64_t now_us);
/* The call or its connection failed. */
void GwFollower_OnFailure(GwFollower *f, int64_t now_us);
/* Whether the call in progress is unanswered for too long. */
bool GwFollower_IsOverdue(const GwFollower *f, int64_t now_us);
/* How long the call in progress is unanswered; 0: there is none. */
int64_t GwFollower_UnansweredUs(const GwFollower *f, int64_t now_us);
/* Time of the last answer of the store, and whether calls failed since. */
int64_t GwFollower_AnsweredUs(const GwFollower *f);
bool GwFollower_HasFailed(const GwFollower *f);
/* Time of the question of the last complete answer (GwFollower_OnSent). */
int64_t GwFollower_AskedUs(const GwFollower *f);

/* A peer sent its copy, whole or what this entry lacked. */
void GwFollower_OnPeerRows(GwFollower *f, int64_t now_us, const GwRowSet *set,
                           bool is_full);
/* Time of the last answer about the table, from the store or a peer. */
int64_t GwFollower_UpdatedUs(const GwFollower *f);

#endif
