/* Quarantine of requests that crash the backend servers that run them.
 *
 * A crash ends all requests that the server was running, so one crash is weak
 * evidence against any of them. A request is quarantined, that is, refused
 * without being sent, once GW_QUARANTINE_CRASHES server processes have crashed
 * while running it, not all at the same moment, unless other requests explain
 * those crashes as well or better. A successful run clears the request. All
 * entries identify a request by its fingerprint, which is the same for each
 * attempt.
 *
 * A server's crash is confirmed shortly after its connections end:
 *
 *     GwQuarantine_NoteConnectionLost(q, now_us, &fingerprint, server);
 *     ...the server's address refuses connections...
 *     GwQuarantine_NoteCrash(q, now_us, server);
 *
 * Entries exchange their records. Merging is commutative and idempotent. */
#ifndef GW_ROUTER_QUARANTINE_H
#define GW_ROUTER_QUARANTINE_H

#include "common/fingerprint.h"

typedef struct GwQuarantine_s GwQuarantine;

/* Crashes of different server processes before a request is quarantined; one
 * more if an equally suspect request ran at each of the crashes. */
#define GW_QUARANTINE_CRASHES 3
/* Length of the first quarantine, from the last crash. Each crash after a
 * quarantine doubles the next one. */
#define GW_QUARANTINE_FIRST_US 600000000LL
/* Maximum of servers in a record. */
#define GW_SUSPECT_SERVERS_MAX 8

/* The record of one request. */
typedef struct {
    GwFingerprint fingerprint;
    /* Incremented each time that the request is cleared; a record of a lower
     * generation is outdated. */
    uint32_t generation;
    uint32_t age_ms;  /* since the last crash or the clearance */
    uint32_t span_ms; /* from the first crash to the last */
    uint32_t server_count;
    /* Server processes (hash of id and start time) that crashed while running
     * the request, in ascending order. */
    uint64_t servers[GW_SUSPECT_SERVERS_MAX];
} GwSuspect;

typedef enum {
    GW_SUSPECT_NONE = 0, /* unknown, or cleared */
    GW_SUSPECT_WATCHED,
    GW_SUSPECT_QUARANTINED
} GwSuspectState;

const char *GwSuspectState_Name(GwSuspectState state);

/* Called when the state of a request whose record is shared has changed. */
typedef void (*GwQuarantineCallback)(void *ctx, const GwSuspect *suspect,
                                     GwSuspectState old, GwSuspectState state);

GwQuarantine *GwQuarantine_Create(void);
void GwQuarantine_Free(GwQuarantine *q);
void GwQuarantine_SetCallback(GwQuarantine *q, GwQuarantineCallback callback,
                              void *ctx);

/* Returns whether there are no records and no lost connections. */
bool GwQuarantine_IsEmpty(const GwQuarantine *q);

/* ---- Events of this entry ------------------------------------------------ */

/* The server closed the connection of the request without an answer. */
void GwQuarantine_NoteConnectionLost(GwQuarantine *q, int64_t now_us,
                                     const GwFingerprint *f, uint64_t server);
/* Whether a request lost its connection to the server, and a crash is neither
 * noted nor ruled out. */
bool GwQuarantine_HasLostConnection(const GwQuarantine *q, uint64_t server);
/* Whether the server process is known, here or from other entries, to have
 * crashed. */
bool GwQuarantine_HasCrashed(const GwQuarantine *q, uint64_t server);
/* The server process crashed: all requests whose connections it recently
 * closed become suspects. */
void GwQuarantine_NoteCrash(GwQuarantine *q, int64_t now_us, uint64_t server);
/* The server is alive: its lost connections had other reasons. */
void GwQuarantine_NoteAlive(GwQuarantine *q, uint64_t server);
/* A run of the request has succeeded. */
void GwQuarantine_NoteSuccess(GwQuarantine *q, int64_t now_us,
                              const GwFingerprint *f);
/* Clears the request on behalf of an operator. Returns whether it was a
 * suspect. */
bool GwQuarantine_Release(GwQuarantine *q, int64_t now_us,
                          const GwFingerprint *f);
/* Expires records; to be called regularly while not empty. */
void GwQuarantine_Tick(GwQuarantine *q, int64_t now_us);

/* ---- State of a request -------------------------------------------------- */

/* Returns the end of the quarantine; 0: not quarantined. */
int64_t GwQuarantine_UntilUs(GwQuarantine *q, int64_t now_us,
                             const GwFingerprint *f);
/* Returns the number of known crashes of servers that ran the request. */
uint32_t GwQuarantine_Crashes(const GwQuarantine *q, const GwFingerprint *f);

/* ---- Exchange between entries -------------------------------------------- */

/* Merges a record of another entry. */
void GwQuarantine_Merge(GwQuarantine *q, int64_t now_us,
                        const GwSuspect *from);
/* Checksum of the shared records; equal at entries with equal records, 0
 * without records. */
uint64_t GwQuarantine_Checksum(GwQuarantine *q);
/* Time of the last change of a shared record; 0: never. */
int64_t GwQuarantine_ChangedUs(const GwQuarantine *q);
/* Copies records that changed since `since_us`, at most `most`. Returns their
 * number. */
uint32_t GwQuarantine_Changes(const GwQuarantine *q, int64_t now_us,
                              int64_t since_us, GwSuspect *out, uint32_t most);
/* Copies at most `most` records from index `*from` on, and advances the index,
 * which wraps around. Returns their number. */
uint32_t GwQuarantine_Page(const GwQuarantine *q, int64_t now_us,
                           uint32_t *from, GwSuspect *out, uint32_t most);

/* Calls `visit` with each suspect. */
void GwQuarantine_Each(GwQuarantine *q, int64_t now_us,
                       void (*visit)(void *ctx, const GwSuspect *suspect,
                                     GwSuspectState state, int64_t until_us),
                       void *ctx);

#endif
