/* The steering core of one entry: decides which backend server runs a request
 * and when, and the status that the caller receives if no server runs it.
 *
 * A GwRouter does no I/O and reads no clock. The host reports events with
 * their time, and carries out the actions that are appended:
 *
 *     GwRouter_Arrive(router, now_us, &arrival, &actions);
 *     for (guint i = 0; i < actions->len; i++) { ...carry out... }
 *
 * An attempt has one of three outcomes (GwAttemptOutcome): an answer, proof
 * that the request did not run, or neither. A request that is not idempotent
 * is sent again only after such proof, and a caller receives "not run" (503)
 * only when every attempt of the request ended with proof. */
#ifndef GW_ROUTER_ROUTER_H
#define GW_ROUTER_ROUTER_H

#include "quota/quota.h"
#include "route/route.h"
#include "router/quarantine.h"
#include "shortage/shortage.h"

/* Requests sent to a server beyond its free slots, so that the next request is
 * already there when a slot becomes free, without waiting for a round trip or
 * for the next load report. */
#define GW_SLOTS_AHEAD 1

typedef struct GwRouter_s GwRouter;
typedef struct GwRequest_s GwRequest;
typedef struct GwServer_s GwServer;

/* Identity of the entry, and limits set by operators. */
typedef struct {
    char name[64]; /* of this entry */
    char region[64];
    char domain[64]; /* failure domain */
    uint64_t seed;
    /* Retry budget: from all entries together, each service receives at most
     * ratio x first attempts + extra in a window. */
    double retry_ratio;
    uint32_t retry_extra;
    uint32_t retry_window_ms;
    uint32_t entries_max; /* upper bound of the entries alive at once */
    /* Refuses the requests worth least when capacity is short everywhere. */
    bool overload_control;
} GwRouterParams;

GwRouter *GwRouter_Create(const GwRouterParams *params, int64_t now_us);
void GwRouter_Free(GwRouter *r);
/* Applies the limits of `params`; name, region, domain and seed stay. */
void GwRouter_SetBounds(GwRouter *r, const GwRouterParams *params);

/* ---- State of the system ------------------------------------------------- */

/* Sets the routing configuration and takes a reference. A version that is not
 * newer than the current one is ignored. Returns whether it was set. */
bool GwRouter_SetRouting(GwRouter *r, GwRouting *routing);
const GwRouting *GwRouter_Routing(const GwRouter *r);
/* Sets until when the configuration is proven to be the newest, as far as
 * revoked keys are concerned. After that, requests that need a key are refused
 * until it is set again. INT64_MAX, the default: no proof is needed. */
void GwRouter_SetProvenUntil(GwRouter *r, int64_t until_us);

/* The measure of shortage and the demand of this entry, which the host
 * exchanges with other entries; NULL without overload control. */
GwShortage *GwRouter_Shortage(GwRouter *r);
GwDemandMeter *GwRouter_DemandMeter(GwRouter *r);
/* Sets the quotas of organisations, owned by the host; NULL, the default:
 * there are none. */
void GwRouter_SetQuota(GwRouter *r, GwQuota *quota);
/* Continues with requests that wait for tokens, after GwQuota_Receive or
 * GwQuota_Tick returned true. */
void GwRouter_RetryTokens(GwRouter *r, int64_t now_us, GArray *actions);

/* Properties of a backend server, from the registry. */
typedef struct {
    const char *id;
    uint64_t born_ms; /* start time; a later start is a new server */
    const char *service;
    const char *address;
    const char *domain;
    const char *region;
    uint32_t slots;
    bool draining;
    uint32_t warmup_left_ms;
} GwServerInfo;

void GwRouter_PutServer(GwRouter *r, int64_t now_us, const GwServerInfo *info,
                        GArray *actions);
void GwRouter_DropServer(GwRouter *r, int64_t now_us, const char *id,
                         GArray *actions);
uint32_t GwRouter_ServerCount(const GwRouter *r);
/* While a failure domain is evacuated, its servers receive no requests. */
void GwRouter_SetEvacuated(GwRouter *r, int64_t now_us, const char *domain,
                           bool evacuated);
/* Calls `visit` with each server id, so that a host can compare them with a
 * full list. */
void GwRouter_EachServer(GwRouter *r, void (*visit)(void *ctx, const char *id),
                         void *ctx);

/* Requests that one peer has in flight at one server. */
typedef struct {
    uint32_t server; /* GwServer_Hash */
    uint32_t in_flight;
} GwPeerLoad;

/* Names a service in messages between entries. */
uint32_t GwService_Hash(const char *name);

/* Unreached services that an entry reports at most. */
#define GW_UNREACHED_MAX 16

typedef struct {
    const char *name;
    const char *region;
    const char *domain; /* NULL: unknown */
    bool serves;        /* ready and not stopping */
    uint32_t load_count;
    const GwPeerLoad *loads;
    /* Services whose servers the peer can't connect to. */
    uint32_t unreached_count;
    const uint32_t *unreached; /* GwService_Hash */
} GwPeerInfo;

void GwRouter_PutPeer(GwRouter *r, int64_t now_us, const GwPeerInfo *info);
/* Sets the requests in flight at the server from the entries of a region that
 * are reported as a sum instead of one by one. */
void GwRouter_SetRegionLoad(GwRouter *r, int64_t now_us, const char *region,
                            uint32_t server, uint32_t count);
/* Clears the sums of all regions. */
void GwRouter_DropRegionLoads(GwRouter *r, int64_t now_us);
void GwRouter_DropPeer(GwRouter *r, int64_t now_us, const char *name);
/* Appends this entry's own requests in flight, to be sent to peers:
 * GwPeerLoad. */
void GwRouter_OwnLoads(const GwRouter *r, GArray *out);

/* A new placement: a server that has, or will soon have, the object cached.
 * Entries of a region exchange placements so that they send an object's
 * requests to the same server. */
typedef struct {
    uint64_t object;
    uint32_t server; /* GwServer_Hash */
    bool warm; /* a run there has ended; else the first run has just begun */
    int64_t at_us; /* creation; from GwRouter_WarmPlacements, last use */
} GwPlacement;

void GwRouter_PutPlacement(GwRouter *r, int64_t now_us,
                           const GwPlacement *placement);
/* Appends the warm placements, last used first, at most `most`: bootstrap
 * state for a joining entry, which otherwise knows no placements. */
void GwRouter_WarmPlacements(const GwRouter *r, uint32_t most, GArray *out);
/* Appends the placements made by this entry in the last `age_us`
 * (GwPlacement), and drops those older than `life_us`. */
void GwRouter_OwnPlacements(GwRouter *r, int64_t now_us, int64_t age_us,
                            int64_t life_us, GArray *out);

/* The requests per second that a server accepts from all entries together, as
 * stated `age_ms` ago. */
typedef struct {
    uint32_t server; /* GwServer_Hash */
    double per_s;    /* < 0: no limit any more */
    uint32_t age_ms;
} GwLimit;

/* Called when a limit begins, changes or ends. */
typedef void (*GwLimitCallback)(void *ctx, const GwServer *s, double per_s);

void GwRouter_SetLimitCallback(GwRouter *r, GwLimitCallback callback,
                               void *ctx);
/* Merges a limit received from another entry; the most recent one wins. */
void GwRouter_PutLimit(GwRouter *r, int64_t now_us, const GwLimit *limit);
/* Copies the limits that changed here since `since_us`, at most `most`.
 * Returns their number. */
uint32_t GwRouter_Limits(const GwRouter *r, int64_t now_us, int64_t since_us,
                         GwLimit *out, uint32_t most);
/* Checksum of the limits in force; equal at entries with equal limits, 0
 * without limits. */
uint64_t GwRouter_LimitsChecksum(const GwRouter *r);
/* Time of the last change of any limit; 0: never. */
int64_t GwRouter_LimitsChangedUs(const GwRouter *r);

/* ---- Links to servers ---------------------------------------------------- */

/* How the connection of an attempt failed. */
typedef enum {
    GW_LINK_OK = 0,
    GW_LINK_REFUSED, /* no listener at the address */
    GW_LINK_RESET,   /* reset or closed by the server, or no route to it */
    GW_LINK_TIMEOUT, /* not established, or not acknowledged, in time */
    GW_LINK_END_COUNT
} GwLinkEnd;

const char *GwLinkEnd_Name(GwLinkEnd end);

/* This entry can't connect to the servers of a service any more, or can
 * again. */
typedef struct {
    const char *service;
    bool is_reached;
    uint32_t failing_ms;    /* since the first connection failed */
    const uint32_t *failed; /* connections since then, by GwLinkEnd */
} GwReachChange;

typedef void (*GwReachCallback)(void *ctx, const GwReachChange *change);

void GwRouter_SetReachCallback(GwRouter *r, GwReachCallback callback,
                               void *ctx);
/* Copies the services that this entry can't connect to (GwService_Hash), at
 * most `most`, for the reports to peers. Returns their number. */
uint32_t GwRouter_UnreachedServices(const GwRouter *r, uint32_t *out,
                                    uint32_t most);

/* ---- Requests ------------------------------------------------------------ */

typedef struct {
    void *user; /* for the host */
    const char *host;
    const char *path;
    const char *key; /* names the object that the request is about; or NULL */
    /* The caller's key; NULL if there is none, or more than one. */
    const char *credential;
    int64_t left_us;   /* time that the caller waits; < 0: not stated */
    int64_t waited_us; /* of this time, spent before this call */
    /* NULL unless GwRouter_WantsFingerprints. */
    const GwFingerprint *fingerprint;
    /* Another entry passed the request on: it is sent to one server at most,
     * and needs no quota. */
    bool is_passed_on;
    int64_t objective_left_us; /* if passed on: time to the objective */
} GwArrival;

typedef enum {
    GW_ATTEMPT_ANSWERED = 1, /* the whole answer of that server */
    GW_ATTEMPT_REFUSED = 2,  /* did not run, as the server states */
    GW_ATTEMPT_UNSENT = 3,   /* no byte was sent */
    GW_ATTEMPT_LOST = 4      /* sent, no whole answer: may have run */
} GwAttemptOutcome;

/* Whether an answer states a limit on the server's requests per second. */
typedef enum {
    GW_LIMIT_UNKNOWN = 0, /* no answer, or not readable */
    GW_LIMIT_NONE,        /* no limit */
    GW_LIMIT_STATED
} GwLimitStatement;

typedef struct {
    GwAttemptOutcome outcome;
    uint16_t status;   /* ANSWERED, REFUSED */
    bool other_server; /* REFUSED: another server uses this address now */
    bool has_load;
    uint32_t running; /* from the load report */
    uint32_t waiting;
    uint32_t cold_ms;   /* > 0: the server states that it is cold */
    bool leaving;       /* the server states that it leaves */
    int64_t rest_us;    /* > 0: the server wants no request for this long */
    bool withheld;      /* UNSENT: GwRouter_MaySend did not allow it */
    bool no_connection; /* UNSENT: only an open connection was to be used */
    int64_t connect_us; /* time to set up a new connection; 0: reused */
    GwLimitStatement limit;
    double limit_per_s; /* if GW_LIMIT_STATED */
    bool closed;        /* LOST: the server closed or reset the connection */
    GwLinkEnd link;     /* UNSENT, LOST: how the connection failed */
    /* Of the request; set if `closed` or GwRouter_WantsFingerprints. */
    const GwFingerprint *fingerprint;
} GwAttemptEnd;

/* End of an attempt at another entry (GW_ROUTER_PASS_ON). */
typedef struct {
    GwAttemptEnd attempt;
    bool has_reached;        /* the request may have reached a server */
    bool has_no_capacity;    /* not run: no server would have room in time */
    uint32_t retry_after_ms; /* that the entry states; 0: none */
    const char *server;      /* id of the server; NULL: unknown */
} GwPassedOnEnd;

/* Result of a probe connection to a server (GW_ROUTER_PROBE). */
typedef enum {
    GW_PROBE_ALIVE = 1,
    GW_PROBE_REFUSED, /* no listener at the address: the process has exited */
    GW_PROBE_TIMEOUT  /* no result before the timeout */
} GwProbeResult;

/* How a request was handled, for the access log. */
typedef struct {
    char route[48];
    char server[48];      /* of the last attempt; "" if there was none */
    uint64_t version;     /* of the configuration that admitted the request */
    char peer[48];        /* entry that it was passed on to; "": none */
    uint32_t attempts;    /* attempts, also those that reached no server */
    bool has_reached;     /* an attempt reached a server */
    uint32_t waited_ms;   /* until the last attempt, else until now */
    uint32_t took_ms;     /* since arrival */
    uint32_t expected_ms; /* total time expected at the last evaluation */
    bool warm;            /* the last server was a placement of the object */
    bool far;             /* the last server is in another region */
    /* If refused for lack of capacity: the best server, its requests in flight
     * as known to this entry, and its slots; else "". */
    char best[48];
    uint32_t best_busy;
    uint32_t best_slots;
    /* If shed: its level, the first level not admitted in full, and the age of
     * the total demand by which that was decided. */
    uint32_t level;
    uint32_t threshold;
    int64_t total_age_ms;
} GwRequestSummary;

/* Requests that crashed servers; see quarantine.h. */
GwQuarantine *GwRouter_Quarantine(GwRouter *r);
/* Sets whether the requests quarantined before the start are known; true, the
 * default. Until they are, all arrivals are refused. */
void GwRouter_SetQuarantineKnown(GwRouter *r, bool is_known);
/* Returns whether any request is a suspect, so that arrivals need
 * fingerprints. */
bool GwRouter_WantsFingerprints(const GwRouter *r);
void GwRouter_ProbeEnded(GwRouter *r, int64_t now_us, GwServer *s,
                         GwProbeResult result, GArray *actions);
/* Starts a request. The request may end during the call (GW_ROUTER_REPLY). */
void GwRouter_Arrive(GwRouter *r, int64_t now_us, const GwArrival *arrival,
                     GArray *actions);
/* Whether the request may still be sent: its caller's key is valid, and proven
 * to be, and the server has not asked for rest since it was chosen. To be
 * called right before the first byte is sent; if it returns false, the attempt
 * must end as GW_ATTEMPT_UNSENT, withheld. */
bool GwRouter_MaySend(GwRouter *r, int64_t now_us, GwRequest *req);
/* Name of the entry that the request is passed on to. */
const char *GwRequest_Peer(const GwRequest *req);
/* Ends an attempt that was passed on to another entry. */
void GwRouter_PassedOnEnded(GwRouter *r, int64_t now_us, GwRequest *req,
                            const GwPassedOnEnd *end, GArray *actions);
/* Name of the caller's organisation, or NULL; valid until the next call of
 * the router. */
const char *GwRequest_Organisation(const GwRequest *req);
void GwRouter_AttemptEnded(GwRouter *r, int64_t now_us, GwRequest *req,
                           const GwAttemptEnd *end, GArray *actions);
/* Whether the request has ended. An action of such a request other than its
 * end, GW_ROUTER_ANSWER or GW_ROUTER_REPLY, must be dropped. */
bool GwRequest_IsEnded(const GwRequest *req);
/* The caller disconnected and the host abandoned the attempt. The freed
 * capacity is assigned only by GwRouter_DispatchPending, which the host calls
 * after it has reported all requests of the connection: otherwise another
 * request of the disconnected caller could get the slot. */
void GwRouter_CallerDisconnected(GwRouter *r, int64_t now_us, GwRequest *req,
                                 GArray *actions);
/* What an open request waits for. */
typedef enum {
    GW_REQUEST_AWAITS_TOKEN = 1, /* of its organisation's quota */
    GW_REQUEST_AWAITS_PROBE,     /* whether a server is alive */
    GW_REQUEST_AWAITS_SLOT,
    GW_REQUEST_AWAITS_SERVER, /* its attempt is in progress */
    GW_REQUEST_AWAITS_PEER    /* the same, at another entry */
} GwRequestAwaits;

GwRequestAwaits GwRequest_Awaits(const GwRequest *req);
/* Returns the state so far of a request, for the log. */
GwRequestSummary GwRequest_Summarize(const GwRequest *req, int64_t now_us);
void GwRouter_DispatchPending(GwRouter *r, int64_t now_us, GArray *actions);
/* Retry delay of a caller that is refused during a stop: it may retry at
 * another entry at once. */
#define GW_STOP_RETRY_AFTER_MS 20

/* Begins a graceful stop: attempts that start from now on must end by
 * `end_us`, when the entry closes the connections of its callers. A second
 * call at the end refuses the requests that still wait. */
void GwRouter_Stop(GwRouter *r, int64_t now_us, int64_t end_us,
                   GArray *actions);
/* Ends all requests at the end of the stop: those that were sent with 502, the
 * others as not run. Requests that arrive later are refused. */
void GwRouter_EndAll(GwRouter *r, int64_t now_us, GArray *actions);
/* Handles timeouts and due evaluations; to be called at
 * GwRouter_NextDeadline. */
void GwRouter_Tick(GwRouter *r, int64_t now_us, GArray *actions);
int64_t GwRouter_NextDeadline(const GwRouter *r); /* INT64_MAX: none */
uint32_t GwRouter_OpenCount(const GwRouter *r);
/* Number of server evaluations since the start, a measure of the core's work;
 * the fixed work per request counts as several evaluations. */
uint64_t GwRouter_EvaluationCount(const GwRouter *r);

typedef enum {
    GW_ROUTER_ACCEPT = 1, /* `request` is the handle of this arrival */
    GW_ROUTER_SEND,       /* one attempt at `server` */
    GW_ROUTER_PASS_ON,    /* one attempt at the entry GwRequest_Peer */
    GW_ROUTER_CANCEL,     /* abandon the attempt and close its connection */
    GW_ROUTER_ANSWER, /* pass on the last attempt's answer; ends the request */
    GW_ROUTER_REPLY, /* answer with `status` of this entry; ends the request */
    GW_ROUTER_PROBE, /* connect to `server`, then call GwRouter_ProbeEnded */
    GW_ROUTER_DROP_SERVER,  /* drop the host's state of the removed `server` */
    GW_ROUTER_LOG_EJECTED,  /* log that `server` is ejected for left_ms */
    GW_ROUTER_LOG_LEAVING,  /* log that `server` states that it leaves */
    GW_ROUTER_LOG_RESTING,  /* log that `server` wants rest for left_ms */
    GW_ROUTER_LOG_RECOVERED /* log that `server` runs without errors again */
} GwRouterActionKind;

typedef enum {
    GW_REPLY_NONE = 0,
    GW_REPLY_NO_CONFIG,
    GW_REPLY_NO_ROUTE,
    GW_REPLY_UNAUTHORIZED,   /* no organisation holds the caller's key */
    GW_REPLY_UNPROVEN,       /* the key may have been revoked meanwhile */
    GW_REPLY_OVER_QUOTA,     /* the organisation's quota is used up */
    GW_REPLY_QUOTA_UNKNOWN,  /* nobody answers for the organisation's quota */
    GW_REPLY_NO_SERVER,      /* no backend server is eligible */
    GW_REPLY_CUT_OFF,        /* no server is reached, nor an entry that is */
    GW_REPLY_NO_CAPACITY,    /* no slot would be free in time */
    GW_REPLY_NO_RETRY,       /* not run, and no attempt is left */
    GW_REPLY_TIMEOUT,        /* sent, then timed out */
    GW_REPLY_TIMEOUT_UNSENT, /* timed out before it was sent */
    GW_REPLY_MAY_HAVE_RUN,   /* an attempt may have run */
    GW_REPLY_LEAVING,     /* the entry is stopping and accepts nothing new */
    GW_REPLY_QUARANTINED, /* the request crashes the servers that run it */
    GW_REPLY_QUARANTINE_UNKNOWN, /* it may be quarantined elsewhere */
    GW_REPLY_NO_ANSWER_ROOM,     /* no memory for its answer in time */
    GW_REPLY_SHED, /* slots are short at all entries; see lib/shortage */
    GW_REPLY_COUNT
} GwReplyReason;

const char *GwReplyReason_Name(GwReplyReason why);

typedef struct {
    GwRouterActionKind kind;
    void *user;
    GwRequest *request;
    GwServer *server;
    uint32_t left_ms; /* SEND, PASS_ON: remaining time of the caller */
    int32_t objective_left_ms; /* PASS_ON: time to the objective */
    bool idempotent;           /* SEND, PASS_ON */
    bool reuses_connection;    /* SEND: on an open connection, or not at all */
    uint16_t status;           /* REPLY */
    uint32_t retry_after_ms;   /* REPLY: 0 for none */
    GwReplyReason why;         /* REPLY */
    GwRequestSummary request_summary; /* ANSWER, REPLY */
} GwRouterAction;

/* Sets the number of entries that may be alive, this one included, reachable
 * or not; they share the fixed part of the retry budget. */
void GwRouter_SetEntries(GwRouter *r, uint32_t count);
/* Maximum of idle connections of this entry to the server, such that the idle
 * connections of all entries use at most half of the server's connections. */
uint32_t GwRouter_IdleConnectionsMax(const GwRouter *r, const GwServer *s);
const char *GwServer_Id(const GwServer *s);
const char *GwServer_Address(const GwServer *s);
uint32_t GwServer_Hash(const GwServer *s);
bool GwServer_IsRemote(const GwServer *s); /* in another region */
bool GwServer_IsListed(const GwServer *s); /* still in the registry */
/* State of a service, for metrics. */
typedef struct {
    const char *name;
    uint32_t servers; /* in the registry */
    uint32_t ejected;
    uint32_t limited;         /* with a rate limit */
    uint32_t resting;         /* asked this entry for rest */
    uint32_t waiting;         /* requests */
    uint32_t in_flight;       /* requests of this entry */
    uint32_t peers_in_flight; /* as last reported */
    double retries_left;
    int64_t answer_age_ms; /* since the last answer of any server; -1: none */
    bool is_reached;       /* connections to its servers can be set up */
} GwServiceView;

void GwRouter_EachService(const GwRouter *r, int64_t now_us,
                          void (*visit)(void *ctx, const GwServiceView *view),
                          void *ctx);
/* Demand for a service in a region, and whether its slots are short. A name
 * that this entry doesn't know is given as its hash, in hex. */
typedef struct {
    const char *service;
    const char *region;
    const GwShortageView *view;
} GwNamedShortage;

/* Visits each service and region of the total; none without overload
 * control. */
void GwRouter_EachShortage(const GwRouter *r, int64_t now_us,
                           void (*visit)(void *ctx,
                                         const GwNamedShortage *named),
                           void *ctx);

/* Load shedding of a service, for metrics. */
typedef struct {
    const char *service;
    const uint64_t *shed; /* requests since the start, by level */
} GwSheddingView;

/* Visits all services; none without overload control. */
void GwRouter_EachShedding(const GwRouter *r,
                           void (*visit)(void *ctx,
                                         const GwSheddingView *view),
                           void *ctx);
/* Requests of callers that were refused before and came back. */
typedef struct {
    uint64_t answered; /* by a server */
    uint64_t refused;  /* or not answered in time */
} GwReturnsView;

GwReturnsView GwRouter_Returns(const GwRouter *r);
/* Pointer for the host's connections to the server. */
void **GwServer_User(GwServer *s);

/* Appends what would be done with this request now, as one line of JSON; sends
 * and changes nothing. Quotas and the quarantine are left out. */
void GwRouter_Preview(GwRouter *r, int64_t now_us, const GwArrival *arrival,
                      GString *out);
/* Appends the state to `out` as one line of JSON. */
void GwRouter_Dump(const GwRouter *r, int64_t now_us, GString *out);

#endif
