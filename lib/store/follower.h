/* Follows one table of the platform's store: decides when the store is called
 * and with which question, and applies the answers to the local copy. Makes no
 * calls itself and has no clock, so that tests run it on virtual time. All
 * times must come from a clock that goes on while a machine is suspended.
 *
 * Every call is one that the store answers at once: a call that the store holds
 * until there is news can't be told from one that it never answers. A call
 * that stays unanswered delays the next one only by the back-off after a
 * failure: several calls may be in progress, each on its own connection.
 *
 * Answers name the era of the store. A new era means that the store was
 * restored from a copy: the table is read again from its beginning, and answers
 * of earlier eras, which may still arrive, are dropped. */
#ifndef GW_STORE_FOLLOWER_H
#define GW_STORE_FOLLOWER_H

#include "store/proof.h"
#include "store/reader.h"
#include "store/rows.h"

typedef struct GwFollower_s GwFollower;

/* Maximum calls in progress. */
#define GW_FOLLOWER_CALLS_MAX 4

typedef enum {
    GW_CALL_READ = 1, /* a page of the whole table */
    GW_CALL_FEED = 2  /* the changes after a version */
} GwStoreCallKind;

typedef struct {
    uint32_t id; /* of the call in progress; never 0 */
    GwStoreCallKind kind;
    const char *from_key; /* READ: last key of the page before; or NULL */
    uint64_t after;       /* FEED: number of a version */
} GwStoreCall;

/* `bound_ms`: a change must be in force within this time. */
GwFollower *GwFollower_Create(GwRowChanged changed, void *ctx, int64_t now_us,
                              uint32_t bound_ms);
void GwFollower_Free(GwFollower *f);
GwRowCache *GwFollower_Cache(const GwFollower *f);
void GwFollower_SetBound(GwFollower *f, uint32_t bound_ms);
/* Once the table is known, it is read only when the answer about another table
 * shows that the store has changed (GwFollower_OnOther). */
void GwFollower_FollowOther(GwFollower *f);
/* Begins or ends to call the store, and why. Returns whether it begins or ends;
 * the calling function must drop all calls in progress when it ends. */
bool GwFollower_SetReads(GwFollower *f, int64_t now_us, GwReadReason reason);
bool GwFollower_Reads(const GwFollower *f);
/* Whether the table was read once, from the store or a peer. */
bool GwFollower_IsKnown(const GwFollower *f);
/* Whether this entry reads the table and the store answers. */
bool GwFollower_IsHealthy(const GwFollower *f, int64_t now_us);

/* Returns whether a call is due; it is then in progress. */
bool GwFollower_NextCall(GwFollower *f, int64_t now_us, GwStoreCall *call);
/* Newest era known of the store; 0: none. */
uint32_t GwFollower_Era(const GwFollower *f);
/* An answer of the store, about any table, named its era; 0: it named none. To
 * be called before the answer is handled otherwise. */
void GwFollower_NoteEra(GwFollower *f, int64_t now_us, uint32_t era);
/* A peer has rows of that era. What they lack stays for a while from now on,
 * though they have not arrived yet. */
void GwFollower_ExpectEra(GwFollower *f, int64_t now_us, uint32_t era);
/* The call was answered with rows, which are consumed; their era is 0 if the
 * answer named none. Returns true, and the question for the next page, if the
 * call goes on. */
bool GwFollower_OnRows(GwFollower *f, int64_t now_us, uint32_t id,
                       GwRowSet *set, GwStoreCall *next);
/* The last complete answer: the version that the store had, and when it was
 * asked. */
const GwPeerProof *GwFollower_LastAnswer(const GwFollower *f);
/* The store answered about another table. All tables share one version counter:
 * if this copy has that version, nothing in this table has changed. */
void GwFollower_OnOther(GwFollower *f, int64_t now_us,
                        const GwPeerProof *answer);
/* The store does not have the history after the call's version. */
void GwFollower_OnGone(GwFollower *f, int64_t now_us, uint32_t id);
/* The call was refused, or its connection ended. */
void GwFollower_OnFailure(GwFollower *f, int64_t now_us, uint32_t id);
/* A part of the answer came: the call is not unanswered. */
void GwFollower_OnBytes(GwFollower *f, int64_t now_us, uint32_t id);
/* Returns a call that is no longer in progress because it is unanswered for
 * too long, or because a later one was answered; 0: there is none. The calling
 * function must drop it. */
uint32_t GwFollower_NextOverdue(GwFollower *f, int64_t now_us);
/* How long the oldest call in progress is unanswered; 0: there is none. */
int64_t GwFollower_UnansweredUs(const GwFollower *f, int64_t now_us);
/* Time of the last answer of the store. */
int64_t GwFollower_AnsweredUs(const GwFollower *f);
/* Whether calls failed, or were not answered for long, since then. */
bool GwFollower_IsAway(const GwFollower *f, int64_t now_us);

/* A peer sent its copy, whole or what this entry lacked, and proved how new it
 * is. */
void GwFollower_OnPeerRows(GwFollower *f, int64_t now_us, const GwRowSet *set,
                           bool is_full, const GwPeerProof *proof);
/* Proof that the copy has all changes that were acknowledged up to a time: the
 * question of a complete answer, or what a peer proved. */
const GwProof *GwFollower_Proof(const GwFollower *f);
/* A peer proved how new its copy is. That holds for this copy too, unless it is
 * older. */
void GwFollower_NoteProof(GwFollower *f, const GwPeerProof *proof);
/* Age of the proof, or without one the time since the start. */
int64_t GwFollower_AgeUs(const GwFollower *f, int64_t now_us);

#endif
