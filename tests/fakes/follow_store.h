/* The platform's store on virtual time, as entries see it that follow its
 * tables: rows with one version counter, calls that are refused, answered late
 * or never, a history that is dropped, and eras that begin when the store is
 * restored from a copy. */
#ifndef GW_TESTS_FAKES_FOLLOW_STORE_H
#define GW_TESTS_FAKES_FOLLOW_STORE_H

#include "store/follower.h"

typedef enum {
    FOLLOW_OPERATOR = 0,
    FOLLOW_SERVERS,
    FOLLOW_TABLE_COUNT
} FollowTable;

/* How the store treats a caller. */
typedef enum {
    STORE_ANSWERS = 0,
    STORE_SILENT, /* takes calls and never answers, also when it is back */
    STORE_REFUSES,
    STORE_IS_SLOW,
    STORE_IS_STALE /* answers from a state that is a second old */
} StoreMode;

typedef enum {
    CALL_LOST = 0, /* never answered */
    CALL_REFUSED,
    CALL_GONE, /* the history after the version was dropped */
    CALL_ROWS
} CallOutcome;

typedef struct {
    int64_t at_us; /* when the caller learns of the outcome */
    uint32_t caller;
    uint32_t process; /* of the caller, to drop answers to an earlier one */
    FollowTable table;
    uint32_t call;
    CallOutcome outcome;
    uint32_t era;   /* that the answer names; 0: none */
    GwRowSet *rows; /* CALL_ROWS: owned by the receiver */
} CallAnswer;

typedef struct FollowStore_s FollowStore;

FollowStore *FollowStore_Create(uint32_t callers, uint32_t reads_per_s);
void FollowStore_Free(FollowStore *s);
/* Writes a row (NULL: removes it); returns its version. */
uint64_t FollowStore_Put(FollowStore *s, int64_t now_us, FollowTable table,
                         const char *key, const char *value);
void FollowStore_SetMode(FollowStore *s, uint32_t caller, StoreMode mode,
                         int64_t until_us);
StoreMode FollowStore_Mode(const FollowStore *s, uint32_t caller,
                           int64_t now_us);
/* Drops the history up to now. */
void FollowStore_DropHistory(FollowStore *s);
/* Restores a copy that has the writes up to `copied_us`: the later ones are
 * lost, their versions are given out again, and a new era begins. */
void FollowStore_Restore(FollowStore *s, int64_t copied_us);
/* Raises the version, as writes to other tables do. */
void FollowStore_SkipVersions(FollowStore *s, uint64_t count);
/* A call reaches the store at `now_us`; `way_us` is the time back to the
 * caller, who is named by the first fields of `to`. */
void FollowStore_Call(FollowStore *s, int64_t now_us, int64_t way_us,
                      const GwStoreCall *call, const CallAnswer *to);
/* Returns whether an answer has arrived by `now_us`. */
bool FollowStore_NextAnswer(FollowStore *s, int64_t now_us, CallAnswer *out);
/* Keeps an answer for later: the caller does not read now. */
void FollowStore_Defer(FollowStore *s, const CallAnswer *answer);
uint64_t FollowStore_CallCount(const FollowStore *s);

#endif
