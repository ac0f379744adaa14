/* A small site in one process: the store, backend servers and callers, on one
 * event loop, for entries that run as processes of their own. What the parts
 * see is written down, and judged at the end. */
#ifndef STANDINS_SITE_SITE_H
#define STANDINS_SITE_SITE_H

#include "common/rng.h"
#include "edge/adapter.h"
#include "http/conn.h"

#include <stdio.h>

/* A request that has crashed so many servers reaches servers no more than
 * SITE_CRASH_SENDS_MAX times, once entries had SITE_CONTACT_US to tell each
 * other. */
#define SITE_CRASHES_MAX     3
#define SITE_CRASH_SENDS_MAX 3
#define SITE_CONTACT_US      3000000

/* A server that names a limit gets no more in SITE_LIMIT_SPAN_US than half as
 * much again and SITE_LIMIT_SLACK, later than SITE_CONTACT_US after it first
 * did. */
#define SITE_LIMIT_OVER    1.5
#define SITE_LIMIT_SLACK   5
#define SITE_LIMIT_SPAN_US 4000000

/* ---- Journal: what callers sent and got, and what servers ran ------------ */

typedef struct SiteJournal_s SiteJournal;
typedef struct SiteRequest_s SiteRequest; /* one, by its id */

typedef enum {
    SITE_REQUEST_OPEN = 0,
    SITE_REQUEST_ANSWERED,
    SITE_REQUEST_REFUSED, /* "it did not run" */
    SITE_REQUEST_UNKNOWN, /* it may have run */
    SITE_REQUEST_CLOSED,  /* the connection ended with no answer */
    SITE_REQUEST_BEHIND   /* an answer before its own closed the connection */
} SiteOutcome;

typedef struct {
    const char *id;
    bool once;         /* may not run twice */
    const char *entry; /* address */
    uint32_t life;     /* of the connection, see SiteJournal_Life */
    bool first;        /* on its connection */
} SiteSending;

typedef struct {
    SiteOutcome outcome;
    bool wrong;    /* the answer to another request */
    bool comeback; /* a refusal that says when to come back */
    bool closing;  /* says that the connection ends */
} SiteEnd;

typedef struct {
    uint64_t sent;
    uint64_t answered;
    uint64_t not_run;
    uint64_t unknown;
    uint64_t lost;           /* connection ended with no answer: the sum of */
    uint64_t cut_in_stop;    /* sent after its entry's SIGTERM; ran, or the
                              entry had it for a while */
    uint64_t cut_early;      /* under way at SIGTERM, and grace not over */
    uint64_t cut_sound;      /* its entry had got no signal */
    uint64_t cut_at_grace;   /* under way at SIGTERM, and grace over */
    uint64_t killed;         /* its entry was killed */
    uint64_t crossed;        /* did not run: sent just when the entry closed */
    uint64_t behind;         /* did not run: sent together with one before it,
                              whose answer closed the connection */
    uint64_t no_outcome;     /* open when the site ended */
    uint64_t wrong;          /* an answer to another request */
    uint64_t doubled;        /* at most once, and ran more often */
    uint64_t false_refusals; /* "not run", and it had or did later */
    uint64_t bare_refusals;  /* in a stop, without a time to come back, or
                                the connection stayed open */
    bool calm;               /* the end of the faults was told */
    uint64_t calm_sent;      /* since then */
    uint64_t calm_answered;
    uint64_t late;        /* reached a server after its drain */
    uint64_t crash_sends; /* of the request that was sent most often: those
                             that reached a server though it had crashed
                             SITE_CRASHES_MAX, and not lately */
    uint64_t crashes;     /* of servers, by all requests */
    uint64_t above_limit; /* the most that a server got above its limit */
    bool misled;          /* by an event that was not understood */
    GArray *latencies_us; /* of answered ones: int64_t, sorted */
} SiteVerdict;

SiteJournal *SiteJournal_Create(void);
/* An entry's process is about to start; it is known by its callers' address.
 */
void SiteJournal_Started(SiteJournal *j, const char *entry);
/* A signal is being sent to it. */
void SiteJournal_Signalled(SiteJournal *j, const char *entry, int signum);
/* Which process of the entry a connection that is made now is with. */
uint32_t SiteJournal_Life(SiteJournal *j, const char *entry);
SiteRequest *SiteJournal_Sent(SiteJournal *j, const SiteSending *sending);
const char *SiteRequest_Id(const SiteRequest *req);
void SiteJournal_Ended(SiteRequest *req, const SiteEnd *end);
/* Bytes came to a caller that had asked nothing, or that are no answer. */
void SiteJournal_Stray(SiteJournal *j);
void SiteJournal_Ran(SiteJournal *j, const char *id);
/* Whether requests for the target crash the servers that run them. */
bool Site_Crashes(const char *target);
/* A request for such a target has reached a server, and has crashed it. */
void SiteJournal_CrashReached(SiteJournal *j, const char *target);
void SiteJournal_Crashed(SiteJournal *j, const char *target);
/* What is sent from now on, once faults are over, is counted on its own. */
void SiteJournal_Calm(SiteJournal *j);
/* Judges all; a line goes to `log` for each request that was cut or broke a
 * promise. */
SiteVerdict SiteJournal_Conclude(const SiteJournal *j, uint32_t grace_ms,
                                 FILE *log);
/* Prints it, with a line for each promise that was broken; true when none was.
 * Some are judged only where events were played and entries signalled by the
 * site. */
bool SiteVerdict_Tell(const SiteVerdict *v, bool played);

/* ---- The store ----------------------------------------------------------- */

typedef struct SiteStore_s SiteStore;

typedef enum {
    SITE_STORE_UP = 0,
    SITE_STORE_BUSY,  /* 503 to every call */
    SITE_STORE_SILENT /* takes calls, answers nothing */
} SiteStoreMode;

SiteStore *SiteStore_Create(uv_loop_t *loop, const char *address,
                            const GwAdapter *adapter);
void SiteStore_Put(SiteStore *s, const char *table, const char *key,
                   const char *value);
void SiteStore_Remove(SiteStore *s, const char *table, const char *key);
void SiteStore_SetMode(SiteStore *s, SiteStoreMode mode);
/* Drops the history: the next feeds are told to read all again. */
void SiteStore_Compact(SiteStore *s);
void SiteStore_Sweep(SiteStore *s);

/* ---- Backend servers ----------------------------------------------------- */

typedef struct SiteServer_s SiteServer;

typedef struct {
    uv_loop_t *loop;
    const GwAdapter *adapter;
    char id[32];
    char address[32];
    uint32_t slots;
    uint32_t work_ms;   /* of a cold run; a warm one takes 0.3 of it */
    uint32_t spread_ms; /* more, at most, of a cold run */
    /* Shares of requests, in permille, with each fault. */
    uint32_t lose_answer; /* runs, and resets the connection */
    uint32_t stray;       /* answers twice */
    uint32_t refuse;      /* says that it did not run */
    uint32_t restart_ms;  /* after a crash */
    /* It is back after a crash, as a new process. */
    void (*restarted)(void *owner, uint32_t number);
    void *owner;
    uint32_t number;
    SiteJournal *journal; /* shared by all servers; NULL: none is kept */
    GwRng *rng;
} SiteServerParams;

SiteServer *SiteServer_Create(const SiteServerParams *params);
uint32_t SiteServer_Served(const SiteServer *s);
void SiteServer_SetFaults(SiteServer *s, uint32_t permille);
/* As after a restart: every object is cold again. */
void SiteServer_Forget(SiteServer *s);
/* Requests that reach it some time after this call are counted as late; with
 * 0 none are. */
void SiteServer_MarkDrained(SiteServer *s, int64_t now_us);
uint32_t SiteServer_Late(const SiteServer *s);
/* Names that many requests a second as its limit from now on; 0 names none. */
void SiteServer_SetLimit(SiteServer *s, double per_s);
/* How many more it got than its limit allows, in the worst span. */
uint32_t SiteServer_AboveLimit(const SiteServer *s);

/* ---- Callers ------------------------------------------------------------- */

typedef struct {
    uv_loop_t *loop;
    const GwAdapter *adapter;
    GPtrArray *directories; /* addresses */
    const char *region;
    const char *domain;
    SiteJournal *journal;
    GwRng *rng;
    uint32_t number;
    uint32_t objects; /* that requests are about */
    uint32_t left_ms; /* that it says it will wait */
    uint32_t depth;   /* requests that it sends at once on its connection */
    uint32_t rest_ms; /* at most, between some of its requests; 0: none */
    bool crashes; /* sends one request again and again, each time to an entry
                     that it looks up anew; it crashes the servers that run it */
    bool keeps;   /* uses one entry, whatever the directory says, until
                         nobody listens there */
} SiteCallerParams;

typedef struct SiteCaller_s SiteCaller;

SiteCaller *SiteCaller_Create(const SiteCallerParams *params);
void SiteCaller_Stop(SiteCaller *c); /* begins no further request */
bool SiteCaller_IsIdle(const SiteCaller *c);

/* ---- Commands ------------------------------------------------------------ */

/* Takes the words of one line; the last is NULL. */
typedef void (*SiteCommandFn)(void *owner, char **words);

/* Reads lines from a named pipe for as long as the loop runs. */
bool SiteCommands_Open(uv_loop_t *loop, const char *path, SiteCommandFn run,
                       void *owner);

#endif
