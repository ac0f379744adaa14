/* State of a follower, shared by the files that decide when it calls and which
 * answers count. */
#ifndef GW_STORE_FOLLOWER_INTERNAL_H
#define GW_STORE_FOLLOWER_INTERNAL_H

#include "store/follower.h"

/* A call in progress. */
typedef struct {
    uint32_t id; /* 0: the slot is free */
    GwStoreCallKind kind;
    int64_t asked_us; /* its first page */
    int64_t heard_us; /* when it was sent, or bytes of the answer came */
    GwStoreVersion after;
    uint32_t era;       /* that its answer must belong to */
    GwRowSet *pages;    /* rows of the pages so far */
    bool is_superseded; /* a later call was answered, or a new era began */
} GwFollowerCall;

struct GwFollower_s {
    GwRowCache *cache;
    GwStoreVersion version; /* version after which the next call reads */
    GwStoreCallKind phase;  /* kind of the next call */
    uint32_t era;           /* newest known; 0: the store names none */
    uint32_t refuted_era;   /* peers' copies from it on are wrong; 0: none */
    uint32_t contradictions;
    GwReadReason reads;
    bool is_known;
    bool has_answered; /* since it began to read */
    bool follows_other;
    GwFollowerCall calls[GW_FOLLOWER_CALLS_MAX];
    uint32_t last_id;
    int64_t due_us; /* next call */
    int64_t answered_us;
    int64_t created_us;
    GwProof proof;
    GwPeerProof answer; /* the last complete one */
    uint32_t failures;  /* calls refused or unanswered since the last answer */
    bool is_refused;    /* a call failed since the last answer */
    uint32_t bound_ms;
};

/* Time between two calls. */
int64_t GwFollower_PeriodUs(const GwFollower *f);

/* follower_era.c */
/* A copy of that era came from elsewhere, or the store is known to be in it:
 * the table is read from its beginning, and calls in progress end. */
void GwFollower_BeginEra(GwFollower *f, int64_t now_us, uint32_t era);
/* Whether that era, or an earlier one, turned out not to exist. */
bool GwFollower_IsRefuted(const GwFollower *f, uint32_t era);
/* Whether an answer of that era is one to the call. */
bool GwFollower_AcceptEra(GwFollower *f, int64_t now_us, GwFollowerCall *call,
                          uint32_t era);

#endif
