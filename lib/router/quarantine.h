/* Requests that crash the backend servers that run them.
 *
 * A server that crashes takes all requests with it that it ran, so one crash
 * says little about any of them. A request is held, that is refused without
 * being sent, once GW_QUARANTINE_CRASHES different starts of servers have
 * crashed under it, not all at the same moment, unless other requests explain
 * those crashes as well or better. A run that ends well clears it. Requests are
 * told apart by fingerprint, so it doesn't matter by which attempt or entry they
 * come.
 *
 * Whether a server has crashed is known a moment after its connections end:
 *
 *     GwQuarantine_NoteBreak(q, now_us, &fingerprint, server);
 *     ...the server's address refuses connections...
 *     GwQuarantine_NoteCrash(q, now_us, server);
 *
 * Entries tell each other their records. Records merge to the same state in
 * whatever order and however often they come. */
#ifndef GW_ROUTER_QUARANTINE_H
#define GW_ROUTER_QUARANTINE_H

#include "common/fingerprint.h"

typedef struct GwQuarantine_s GwQuarantine;

/* Crashes of different servers before a request is held; one more where it
 * shares each of them with an equally suspect one. */
#define GW_QUARANTINE_CRASHES 3
/* Of the first hold, from the last crash. Each crash after a hold doubles the
 * next one. */
#define GW_QUARANTINE_HOLD_US 600000000LL
/* Servers kept of one record. */
#define GW_SUSPECT_SERVERS_MAX 8

/* What is known of one request. */
typedef struct {
    GwFingerprint fingerprint;
    /* Rises each time that it is cleared; a record of a lower generation is
     * out of date. */
    uint32_t generation;
    uint32_t age_ms;  /* since the last crash, or since it was cleared */
    uint32_t span_ms; /* from the first crash to the last */
    uint32_t server_count;
    /* Starts of servers (hash of id and start time) that crashed under it,
     * in ascending order. */
    uint64_t servers[GW_SUSPECT_SERVERS_MAX];
} GwSuspect;

typedef enum {
    GW_SUSPECT_NONE = 0, /* unknown, or cleared */
    GW_SUSPECT_WATCHED,
    GW_SUSPECT_HELD
} GwSuspectState;

const char *GwSuspectState_Name(GwSuspectState state);

/* Called when the state of a request that others are told of has changed. */
typedef void (*GwQuarantineNote)(void *ctx, const GwSuspect *suspect,
                                 GwSuspectState old, GwSuspectState state);

GwQuarantine *GwQuarantine_Create(void);
void GwQuarantine_Free(GwQuarantine *q);
void GwQuarantine_SetNote(GwQuarantine *q, GwQuarantineNote note, void *ctx);

/* Nothing is known of any request. */
bool GwQuarantine_IsEmpty(const GwQuarantine *q);

/* ---- What this entry saw ------------------------------------------------- */

/* The server has closed the connection of the request without an answer. */
void GwQuarantine_NoteBreak(GwQuarantine *q, int64_t now_us,
                            const GwFingerprint *f, uint64_t server);
/* That start of a server has crashed: all whose connections it broke lately
 * are suspects. */
void GwQuarantine_NoteCrash(GwQuarantine *q, int64_t now_us, uint64_t server);
/* It is alive, so the breaks had other reasons. */
void GwQuarantine_NoteAlive(GwQuarantine *q, uint64_t server);
/* A run of the request has ended well. */
void GwQuarantine_NoteSuccess(GwQuarantine *q, int64_t now_us,
                              const GwFingerprint *f);
/* An operator lets it go. Returns whether there was a suspicion. */
bool GwQuarantine_Release(GwQuarantine *q, int64_t now_us,
                          const GwFingerprint *f);
/* What time does; to be called every now and then while it isn't empty. */
void GwQuarantine_Tick(GwQuarantine *q, int64_t now_us);

/* ---- What is decided by it ----------------------------------------------- */

/* Until when the request is held; 0: it is not. */
int64_t GwQuarantine_HeldUntil(GwQuarantine *q, int64_t now_us,
                               const GwFingerprint *f);
/* Servers known to have crashed under it. */
uint32_t GwQuarantine_Crashes(const GwQuarantine *q, const GwFingerprint *f);

/* ---- Other entries ------------------------------------------------------- */

/* Takes over what another entry knows. */
void GwQuarantine_Merge(GwQuarantine *q, int64_t now_us,
                        const GwSuspect *from);
/* Of all that others are told; the same at entries that know the same. 0 where
 * that is nothing. */
uint64_t GwQuarantine_Sum(GwQuarantine *q);
/* When a record that others are told has changed last; 0: never. */
int64_t GwQuarantine_ChangedUs(const GwQuarantine *q);
/* Records that have changed since, at most `most`. Returns how many. */
uint32_t GwQuarantine_News(const GwQuarantine *q, int64_t now_us,
                           int64_t since_us, GwSuspect *out, uint32_t most);
/* At most `most` records from the place `*from` on, which is moved behind them
 * and wraps around. Returns how many. */
uint32_t GwQuarantine_Page(const GwQuarantine *q, int64_t now_us,
                           uint32_t *from, GwSuspect *out, uint32_t most);

/* Calls `visit` with each request under suspicion. */
void GwQuarantine_Each(GwQuarantine *q, int64_t now_us,
                       void (*visit)(void *ctx, const GwSuspect *suspect,
                                     GwSuspectState state, int64_t until_us),
                       void *ctx);

#endif
