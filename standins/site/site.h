/* Simulated site in one process and one event loop: store, backend servers
 * and callers for entries that run as separate processes. A journal records
 * all requests and is evaluated at the end. */
#ifndef STANDINS_SITE_SITE_H
#define STANDINS_SITE_SITE_H

#include "common/rng.h"
#include "edge/adapter.h"
#include "http/conn.h"
#include "standins/site/endless.h"
#include "standins/site/proxy.h"

#include <stdio.h>

/* Entries get SITE_EXCHANGE_US to exchange state after a request has crashed
 * SITE_CRASHES_MAX servers. From then on the request may reach servers at most
 * SITE_CRASH_SENDS_MAX times. */
#define SITE_CRASHES_MAX     3
#define SITE_CRASH_SENDS_MAX 3
#define SITE_EXCHANGE_US     3000000

/* SITE_EXCHANGE_US after a server first announces a rate limit, it may receive
 * at most SITE_LIMIT_OVER times the limit, plus SITE_LIMIT_SLACK requests, in
 * any SITE_LIMIT_SPAN_US. */
#define SITE_LIMIT_OVER    1.5
#define SITE_LIMIT_SLACK   5
#define SITE_LIMIT_SPAN_US 4000000

/* From SITE_EXCHANGE_US after the links of an entry to the servers are cut, it
 * must have requests answered at least SITE_CUT_SHARE times as often as the
 * entries with links, but for SITE_CUT_SLACK of them; while an entry with
 * links runs that was not told to end. */
#define SITE_CUT_SHARE 0.95
#define SITE_CUT_SLACK 2

/* A request must not reach a server later than this after its caller had its
 * outcome. */
#define SITE_CANCEL_US 250000

typedef int64_t (*SiteClock)(void);

/* The monotonic clock, in us. */
int64_t Site_NowUs(void);

/* ---- Journal: requests and answers of callers, runs of servers ----------- */

typedef struct SiteJournal_s SiteJournal;
typedef struct SiteRequest_s SiteRequest; /* identified by its id */

typedef enum {
    SITE_REQUEST_OPEN = 0,
    SITE_REQUEST_ANSWERED,
    SITE_REQUEST_REFUSED,      /* not run */
    SITE_REQUEST_UNKNOWN,      /* may have run */
    SITE_REQUEST_CLOSED,       /* connection closed without an answer */
    SITE_REQUEST_UNAUTHORIZED, /* 401: must not run */
    SITE_REQUEST_PIPELINED,    /* sent behind a request whose answer closed */
    SITE_REQUEST_ABANDONED     /* the caller did not read the answer */
} SiteOutcome;

typedef struct {
    const char *id;
    bool once;         /* must run at most once */
    const char *entry; /* address */
    uint32_t process;  /* see SiteJournal_CurrentProcess */
    bool first;        /* first request on its connection */
} SiteRequestInfo;

typedef struct {
    SiteOutcome outcome;
    bool wrong;            /* the answer belongs to another request */
    bool for_organisation; /* refused for its key or its quota */
    bool has_retry_after;  /* a refusal with Retry-After */
    bool is_closing;       /* the answer announces the end of the connection */
    bool is_broken_off;    /* 502: it ran, and the entry has no answer */
} SiteResult;

typedef struct {
    uint64_t sent;
    uint64_t answered;
    uint64_t not_run;
    uint64_t unauthorized;
    uint64_t unknown;
    /* Of these, sent after SIGTERM to the entry, ran, and broken off by the
     * entry at the end of its stop. */
    uint64_t broken_off;
    /* Connections closed without an answer: the sum of the next eight. */
    uint64_t lost;
    /* Sent after SIGTERM to the entry; ran, or the entry held the request for
     * a while. */
    uint64_t cut_in_stop;
    uint64_t cut_early;       /* in flight at SIGTERM, within the grace */
    uint64_t cut_unsignalled; /* the entry had received no signal */
    uint64_t cut_at_grace;    /* in flight at SIGTERM, after the grace */
    uint64_t killed;          /* the entry was killed */
    /* The entry lost its links to servers while the request ran. */
    uint64_t cut_without_links;
    /* Not run: sent while the entry closed the connection. */
    uint64_t crossed;
    /* Not run: pipelined after a request whose answer closed the connection.
     */
    uint64_t behind;
    uint64_t abandoned;      /* answers that callers did not read */
    uint64_t no_outcome;     /* still open at the end */
    uint64_t wrong;          /* answers to another request */
    uint64_t doubled;        /* at-most-once requests that ran more often */
    uint64_t false_refusals; /* refused as not run, but run before or later */
    /* Refusals during a graceful stop without Retry-After or without closing
     * the connection. */
    uint64_t incomplete_refusals;
    bool faults_ended;      /* the end of all faults was announced */
    uint64_t recovery_sent; /* since then */
    uint64_t recovery_answered;
    uint64_t late;        /* requests that reached a server after its drain */
    uint64_t misdirected; /* requests for servers that no valid row names */
    /* Requests that reached a server SITE_CANCEL_US after their outcome. */
    uint64_t not_cancelled;
    /* The most that any one request reached servers after it had crashed
     * SITE_CRASHES_MAX of them and SITE_EXCHANGE_US had passed. */
    uint64_t crash_sends;
    uint64_t crashes; /* server crashes caused by requests */
    /* Requests above the limit: the worst span of each server, summed. */
    uint64_t above_limit;
    bool has_invalid_event;
    /* Requests sent to entries without links to servers, and to the others
     * meanwhile; undisturbed entries only. */
    uint64_t cut_sent;
    uint64_t cut_answered;
    uint64_t linked_sent;
    uint64_t linked_answered;
    GArray *latencies_us; /* of answered requests: int64_t, sorted */
} SiteVerdict;

SiteJournal *SiteJournal_Create(SiteClock now_us);
void SiteJournal_Free(SiteJournal *j);
/* Records that a process of an entry is about to start. Entries are identified
 * by their call address. */
void SiteJournal_Started(SiteJournal *j, const char *entry);
/* Records that a signal is being sent to the current process of an entry. */
void SiteJournal_Signalled(SiteJournal *j, const char *entry, int signum);
/* Records that the links of an entry to all servers are cut, or up again. */
void SiteJournal_LinksChanged(SiteJournal *j, const char *entry, bool is_cut);
/* Records whether servers fail many requests at random. */
void SiteJournal_ServersFail(SiteJournal *j, bool do_fail);
/* Records a fault that affects all entries. */
void SiteJournal_Disturbed(SiteJournal *j);
/* Returns the number of the entry's current process, for a new connection. */
uint32_t SiteJournal_CurrentProcess(SiteJournal *j, const char *entry);
SiteRequest *SiteJournal_Sent(SiteJournal *j, const SiteRequestInfo *sending);
const char *SiteRequest_Id(const SiteRequest *req);
void SiteJournal_Ended(SiteRequest *req, const SiteResult *end);
/* Counts data that a caller received without a pending request, or that is
 * not a valid answer. */
void SiteJournal_Stray(SiteJournal *j);
/* Records that a request reached a server, and that it runs. */
void SiteJournal_Reached(SiteJournal *j, const char *id);
void SiteJournal_Ran(SiteJournal *j, const char *id);
/* Returns true when requests for the target crash the servers that run
 * them. */
bool Site_Crashes(const char *target);
/* Record that a request for such a target reached a server, and that it
 * crashed the server. */
void SiteJournal_CrashReached(SiteJournal *j, const char *target);
void SiteJournal_Crashed(SiteJournal *j, const char *target);
/* Announces that servers begin to send bytes without end, or end to (NULL).
 * SiteJournal_Conclude logs, by announcement, how many of the requests were
 * answered that got no such bytes instead of their answer. `fault` is
 * copied. */
void SiteJournal_Endless(SiteJournal *j, const char *fault);
/* Records that a server sends bytes without end, behind the answer or instead
 * of it. */
/* A server discarded the answer to the request. */
void SiteJournal_AnswerLost(SiteJournal *j, const char *id);
void SiteJournal_Struck(SiteJournal *j, const char *id, bool is_answered);
/* Announces the end of all faults; later requests are also counted
 * separately. */
void SiteJournal_FaultsEnded(SiteJournal *j);
/* Evaluates all requests. Writes a line to `log` for each request that was cut
 * off or violated a guarantee. */
SiteVerdict SiteJournal_Conclude(const SiteJournal *j, uint32_t grace_ms,
                                 FILE *log);
/* Prints the verdict and a line for each violated guarantee. Returns true when
 * there is none. Some guarantees are checked only if `played`, that is, if the
 * site ran the events and sent the signals itself. */
bool SiteVerdict_Print(const SiteVerdict *v, bool played);

/* Organisations and their keys; see organisations.h. */
typedef struct SiteOrganisations_s SiteOrganisations;

/* ---- The store ----------------------------------------------------------- */

typedef struct SiteStore_s SiteStore;

typedef enum {
    SITE_STORE_UP = 0,
    SITE_STORE_BUSY,        /* 503 to every call */
    SITE_STORE_SILENT,      /* accepts calls, never answers */
    SITE_STORE_WITHOUT_HELD /* 503 to reads of the quarantined requests */
} SiteStoreMode;

/* Returns the mode called "up", "busy", "silent" or "without-held"; up for any
 * other name. */
SiteStoreMode SiteStore_ParseMode(const char *name);

SiteStore *SiteStore_Create(uv_loop_t *loop, const char *address,
                            const GwAdapter *adapter);
void SiteStore_Put(SiteStore *s, const char *table, const char *key,
                   const char *value);
void SiteStore_Remove(SiteStore *s, const char *table, const char *key);
void SiteStore_SetMode(SiteStore *s, SiteStoreMode mode);
/* Drops the history: older feeds are answered with 410 and must read the
 * whole table again. */
void SiteStore_Compact(SiteStore *s);
/* Restores the state of `age_ms` ago, as a new era: what was written since is
 * lost, and its versions are given out again. */
void SiteStore_Restore(SiteStore *s, uint32_t age_ms);
/* Raises the version, as writes to other tables do. */
void SiteStore_SkipVersions(SiteStore *s, uint64_t count);
void SiteStore_Sweep(SiteStore *s);

/* ---- Answers ------------------------------------------------------------- */

/* Size of the answer to a request whose target ends with /large: that of the
 * largest downloads of deployment G. */
#define SITE_LARGE_BYTES (540u << 10)

bool Site_IsLarge(const char *target);
/* Returns the body of the answer to a request. Free with g_free. */
char *Site_MakeBody(const char *id, bool is_large);

/* ---- Backend servers ----------------------------------------------------- */

typedef struct SiteServer_s SiteServer;

typedef struct {
    uv_loop_t *loop;
    const GwAdapter *adapter;
    char id[32];
    char address[32];
    uint32_t slots;
    uint32_t work_ms; /* duration of a cold run; a warm run takes 0.3 of it */
    uint32_t spread_ms; /* maximum random addition to work_ms */
    /* Shares of requests, in permille, with each fault. */
    uint32_t lose_answer; /* run, then the connection is reset */
    uint32_t stray;       /* answered twice */
    uint32_t refuse;      /* refused as not run */
    uint32_t restart_ms;  /* delay after a crash */
    /* Called when the server crashes, and when it has restarted. */
    void (*crashed)(void *owner, uint32_t number);
    void (*restarted)(void *owner, uint32_t number);
    void *owner;
    uint32_t number;
    SiteJournal *journal;             /* shared by all servers; NULL: none */
    SiteOrganisations *organisations; /* NULL: callers have no keys */
    GwRng *rng;
} SiteServerParams;

SiteServer *SiteServer_Create(const SiteServerParams *params);
uint32_t SiteServer_Served(const SiteServer *s);
void SiteServer_SetFaults(SiteServer *s, uint32_t permille);
/* That many runs of 1000 take `factor` times as long. */
void SiteServer_SetLongRuns(SiteServer *s, uint32_t permille, uint32_t factor);
/* From now on, a share of the answers is replaced by bytes without end. */
void SiteServer_SetEndless(SiteServer *s, const SiteEndlessFault *fault);
/* Makes every object cold, as a restart does. */
void SiteServer_ClearCache(SiteServer *s);
/* Marks the server as drained since `now_us`; requests that arrive more than
 * 2.5 s later count as late. 0 clears the mark. */
void SiteServer_MarkDrained(SiteServer *s, int64_t now_us);
/* While set, all answers say that the server leaves. */
void SiteServer_SetLeaving(SiteServer *s, bool is_leaving);
/* Requests that expected another server. */
uint32_t SiteServer_Misdirected(const SiteServer *s);
uint32_t SiteServer_LateRequests(const SiteServer *s);
/* Sets the rate limit that the server announces, in requests per second; 0:
 * none. */
void SiteServer_SetLimit(SiteServer *s, double per_s);
/* Returns the largest excess of requests over the limit in any
 * SITE_LIMIT_SPAN_US. */
uint32_t SiteServer_AboveLimit(const SiteServer *s);

/* ---- Callers ------------------------------------------------------------- */

typedef struct {
    uv_loop_t *loop;
    const GwAdapter *adapter;
    GPtrArray *directories; /* addresses */
    const char *region;
    const char *domain;
    SiteJournal *journal;
    SiteOrganisations *organisations; /* NULL: callers have no keys */
    GwRng *rng;
    uint32_t number;
    uint32_t objects; /* number of object keys */
    uint32_t left_ms; /* time limit sent with each request */
    uint32_t depth;   /* requests pipelined on the connection */
    uint32_t rest_ms; /* maximum of long pauses; 0: none */
    /* Repeats a request that crashes servers, each time on a new connection to
     * an entry of the directory. */
    bool crashes;
    /* Keeps its entry, regardless of the directory, until a connection to it
     * fails. */
    bool keeps_entry;
    /* Requests large answers, and reads them as SiteCaller_SetReading says. */
    bool is_large;
} SiteCallerParams;

/* How callers of large answers read. */
typedef enum {
    SITE_READING_USUAL = 0,
    SITE_READING_SLOW,
    /* Callers send requests, read nothing and close after some seconds. */
    SITE_READING_NONE,
    SITE_READING_MIXED /* half of the callers slowly, the others nothing */
} SiteReading;

/* Reads "usual", "slow", "none" or "mixed". Returns false for other words. */
bool SiteReading_Parse(const char *word, SiteReading *out);

typedef struct SiteCaller_s SiteCaller;

SiteCaller *SiteCaller_Create(const SiteCallerParams *params);
/* Takes effect on the next request; no effect on callers that don't request
 * large answers. */
void SiteCaller_SetReading(SiteCaller *c, SiteReading reading);
void SiteCaller_Stop(SiteCaller *c); /* starts no further request */
bool SiteCaller_IsIdle(const SiteCaller *c);

/* ---- Commands ------------------------------------------------------------ */

/* Runs one command, given as a NULL-terminated list of words. */
typedef void (*SiteCommandFn)(void *owner, char **words);

/* Reads command lines from a named pipe while the loop runs. Returns false
 * when the pipe cannot be opened. */
bool SiteCommands_Open(uv_loop_t *loop, const char *path, SiteCommandFn run,
                       void *owner);

#endif
