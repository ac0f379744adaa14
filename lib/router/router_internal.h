/* Shared declarations of the steering core. */
#ifndef GW_ROUTER_INTERNAL_H
#define GW_ROUTER_INTERNAL_H

#include "common/heap.h"
#include "common/rng.h"
#include "router/router.h"
#include "router/shedding.h"

#ifndef GW_MUTANT
#define GW_MUTANT 0 /* tests/mutants.sh disables one safeguard at a time */
#endif

/* ---- Estimates ----------------------------------------------------------- */

/* Initial estimates of the time to an answer, as shares of the route's latency
 * objective: a server that has the object cached needs about 0.3 of the time
 * of a cold one. */
#define GW_COLD_SHARE 1.0
#define GW_WARM_SHARE 0.36
/* Weight of a new sample in a moving average. */
#define GW_MEAN_WEIGHT 0.1
/* Round trip times assumed before the first connection to a region. */
#define GW_LOCAL_RTT_US  3000
#define GW_REMOTE_RTT_US 100000
/* A server that fails (GW_ATTEMPT_LOST or unreachable) is ejected for this
 * long at first; each further failure in a row doubles the time. */
#define GW_EJECT_US           400000
#define GW_EJECT_MAX_US       4000000
#define GW_KEY_PLACEMENTS_MAX 4 /* placements of one object */

/* A token bucket. */
typedef struct {
    double tokens;
    double max;
    int64_t at_us; /* last refill; 0: never */
} GwBucket;

/* Tokens in the bucket at `now_us`, refilled at `per_s`; changes nothing. */
double GwBucket_At(const GwBucket *b, int64_t now_us, double per_s);
void GwBucket_Fill(GwBucket *b, int64_t now_us, double per_s);

/* Whether connections to the servers of a service can be set up; reach.c. */
typedef struct {
    int64_t
        failing_since_us;   /* first failure after the last success; 0: none */
    int64_t unreached_us;   /* start of the current outage; 0: none */
    int64_t reached_us;     /* end of the last outage; 0: never */
    uint32_t good_connects; /* in a row, in an outage */
    int64_t confirmed_us;   /* start of the last round of probes */
    uint32_t confirms;      /* probes of that round */
    uint32_t failed[GW_LINK_END_COUNT]; /* since failing_since_us */
} GwReach;

typedef struct {
    char *name;
    GPtrArray *servers; /* GwServer, borrowed */
    GPtrArray *waiting; /* GwRequest, in the order of dispatch */
    GwBucket retries;
    GPtrArray *reserved_servers; /* GwServer with reservations */
    bool panic; /* too many servers are ejected: ejection is ignored */
    int64_t panic_at_us; /* when `panic` was last computed */
    bool needs_dispatch; /* set when callers disconnect */
    int64_t pass_due_us; /* earliest next evaluation of all waiting requests */
    double pass_evaluations; /* evaluations per request in that pass */
    GwServer *freed_server; /* has got capacity since the last pass; or NULL */
    int64_t stale_limit_due_us; /* next search for a stale limit */
    double work_us;             /* mean time that a request occupies a slot */
    int64_t answered_us;        /* last answer of any server; 0: none yet */
    double cold_per_s; /* maximum requests per second to a cold server */
    GwReach reach;
    uint32_t connections_max; /* to one server, of all entries; 0: any */
    GwShedding shedding;
} GwServiceState;

typedef struct {
    char *name;
    double warm_us;        /* mean run time where the object is cached */
    double cold_us;        /* mean run time at other servers */
    double longest_run_us; /* longest run, decaying; 0: no run has ended yet */
    double owed;           /* admissions under a shortage; shed.c */
    uint32_t open;         /* requests that refer to this state */
    int64_t caller_time_max_us; /* longest time callers allow, decaying */
    int64_t *credit; /* smooth weighted round robin: one counter per part */
    uint32_t credit_count;
} GwRouteState;

/* Network path to a region. */
typedef struct {
    char *region;
    double rtt_us;
    bool measured; /* false: rtt_us is the assumed value */
} GwPath;

/* A server's request rate limit, which holds for all entries together. */
typedef struct {
    double per_s;         /* < 0: the server states no limit */
    int64_t at_us;        /* start of validity of this limit */
    int64_t confirmed_us; /* last answer that confirmed the limit */
    int64_t answered_us;  /* last answer of any kind */
    int64_t changed_us;   /* when this entry learned it; 0: never limited */
    double share_per_s;   /* this entry's share, requests per second */
    int64_t share_at_us;  /* when the share was last computed */
    GwBucket tokens;
} GwServerLimit;

/* What a server has stated since one of its starts; see starts.c. */
typedef struct {
    char *id;
    uint64_t born_ms;
    uint32_t refs;       /* one of r->starts, one of each GwServer */
    uint64_t row_number; /* of its last row; all rows are counted */
    bool is_leaving;
    int64_t rest_until_us; /* it asked this entry for rest until then */
    bool is_on_trial;      /* no good answer since the rest */
    int64_t cold_until_us;
    GwServerLimit limit;
} GwServerStart;

struct GwServer_s {
    GwServerStart *start;
    char *id;
    char *address;
    char *domain;
    GwPath *path; /* to the server's region */
    GwServiceState *service;
    uint64_t born_ms;
    uint64_t hash;
    uint32_t slots;
    bool listed; /* still in the registry */
    bool same_domain;
    bool same_region;
    uint32_t refs;      /* attempts in progress */
    uint32_t in_flight; /* requests of this entry */
    uint32_t peers_in_flight;
    uint32_t peers_remote; /* part of them from other regions */
    uint32_t reservations; /* reserved slots, in the current pass */
    uint32_t objects;      /* objects with a placement here */
    double utilization;    /* moving average of slots in use over slots */
    int64_t utilization_at_us;
    double slowdown;           /* run time relative to other servers */
    uint32_t failures;         /* in a row */
    int64_t connect_failed_us; /* 0: the last connection was set up */
    bool connect_timed_out;    /* the last connection that failed */
    /* Last connection, or the registration; 0: the last connection failed. */
    int64_t connected_us;
    int64_t answered_us;
    int64_t eject_until_us;
    GwBucket cold_tokens;
    bool owns_rate;     /* this entry owned the cold rate at the last check */
    bool probed;        /* a probe connection is in progress */
    bool probes_again;  /* it does not show whether the server is alive */
    int64_t load_at_us; /* last load report */
    uint32_t load_running;
    uint32_t load_waiting;
    void *user;
};

/* A placement: a server that has the object cached. */
typedef struct {
    GwServer *server;
    int64_t started_us; /* start of the first run there */
    bool ran;           /* that run has ended */
} GwKeyPlacement;

typedef struct {
    uint64_t hash;
    int64_t used_us;
    GwKeyPlacement placements[GW_KEY_PLACEMENTS_MAX];
} GwKey;

typedef struct {
    char *name;
    char *region;
    char *domain;
    uint64_t hash; /* of the name */
    bool serves;
    GArray *loads; /* GwPeerLoad */
    uint32_t unreached_count;
    uint32_t unreached[GW_UNREACHED_MAX]; /* services, GwService_Hash */
    uint32_t passed_on;     /* requests of this entry in progress there */
    int64_t avoid_until_us; /* it could not be connected to */
} GwPeer;

/* The share of requests sent to other regions, and its limit. */
typedef struct {
    double sent;                /* requests sent, decaying */
    double remote;              /* part of them to other regions */
    double demand;              /* requests placed or refused, decaying */
    double remote_demand;       /* part that preferred another region */
    double allowed_share;       /* share allowed now */
    int64_t at_us;              /* last update of the decaying values */
    int64_t unlimited_until_us; /* no limit before this */
    int64_t start_until_us;     /* end of the start phase; 0: not begun */
    double first_work_us;       /* slot time of the first requests, all cold */
    uint32_t first_count;
    bool has_forecast;
} GwCrossRegion;

struct GwRequest_s {
    void *user;
    bool is_ended; /* in r->ended_requests, to be freed */
    GwRouting *routing;
    const GwRoute *route;
    GwRouteState *state;
    GwServiceState *service;
    /* Access of the caller, by the configuration `access_routing`, in which
     * its key was last looked up. */
    bool has_credential;
    GwKeyDigest credential;
    GwRouting *access_routing;
    const GwOrganisation *organisation; /* NULL: anonymous */
    uint32_t priority;                  /* 0 is the highest */
    bool has_token;                     /* of the organisation's quota */
    bool awaits_token;                  /* not placed yet */
    uint32_t retry_after_ms;            /* if refused for the quota */
    GwKey *key;                         /* or NULL */
    /* Level by which it was admitted; lower is better. */
    uint32_t level;
    uint32_t threshold;   /* first level not admitted in full, when shed */
    int64_t total_age_ms; /* of the total demand, when shed */
    bool is_measured;     /* counted in the demand of this entry */
    bool is_returning;    /* its caller was refused before */
    int64_t arrived_us;
    int64_t objective_end_us;   /* end of the latency objective */
    int64_t useless_after_us;   /* an answer after this is of no use */
    int64_t give_up_us;         /* the caller or the route waits no longer */
    int64_t server_deadline_us; /* end of the time limit sent to servers */
    uint32_t deadline;          /* index in r->deadlines */
    uint32_t attempts;          /* without those that reached no server */
    GwServer *server;           /* of the attempt in progress, or NULL */
    int64_t sent_us;
    int64_t expected_us; /* expected total time, as of the last evaluation */
    double slot_wait_us; /* wait for a free slot, as of the same evaluation */
    bool sent_warm;
    bool sent_remote;
    bool sent_to_free_slot;      /* the run time includes no queueing */
    const GwServer *refused_for; /* the best server, when refused */
    bool has_fingerprint;
    GwFingerprint fingerprint;
    bool is_suspect;         /* a server may have crashed while running it */
    GwServer *probed_server; /* the request waits for its probe; or NULL */
    bool is_waiting;
    bool is_late;                /* is waiting and will miss its objective */
    int64_t last_useful_slot_us; /* a slot after this is too late */
    GwServer *awaited_server; /* its next slot is reserved; NULL: evaluate */
    bool awaits_placement;    /* awaited_server is a placement */
    bool may_have_run; /* an attempt ended without proof that it did not run */
    uint32_t sends;    /* all attempts, also those that reached no server */
    char last_server[48];
    bool is_passed_on; /* another entry passed it on to this one */
    char peer[64];     /* entry of the attempt in progress; "": none */
    char last_peer[48];
    uint32_t hops; /* times passed on since an attempt reached a server */
    uint64_t tried_peers[3]; /* of these hops, hashes of names */
    uint32_t peer_retry_after_ms;
    uint32_t arrivals; /* ended attempts that reached a server */
    uint32_t unsent;   /* attempts that reached no server */
    uint32_t tried_count;
    GwServer *tried[8]; /* for comparison only, never dereferenced */
};

struct GwRouter_s {
    GwRouterParams params;
    GwRng rng;
    GwRouting *routing;
    int64_t proven_until_us; /* GwRouter_SetProvenUntil */
    bool awaits_quarantine;  /* GwRouter_SetQuarantineKnown */
    GHashTable *services;    /* name -> GwServiceState */
    GHashTable *routes;      /* name -> GwRouteState */
    GHashTable *servers;     /* id -> GwServer */
    GHashTable *by_hash;     /* 32-bit hash -> GwServer */
    GHashTable *keys;        /* hash -> GwKey */
    GHashTable *peers;       /* name -> GwPeer */
    GHashTable
        *region_loads; /* region -> (server hash -> requests in flight) */
    GHashTable *evacuated;
    GHashTable *starts;        /* server id -> GwServerStart, the latest */
    uint64_t row_count;        /* rows that created a GwServer */
    GHashTable *paths;         /* region -> GwPath */
    double remote_rtt_us;      /* mean round trip to other regions */
    GHashTable *open;          /* set of GwRequest */
    GwQuota *quota;            /* or NULL */
    GPtrArray *awaiting_token; /* GwRequest, waiting for a token */
    GPtrArray *awaiting_probe; /* GwRequest, waiting for a probe */
    /* Freed by GwRouter_FreeRemoved. */
    GPtrArray *removed_servers; /* GwServer */
    GPtrArray *ended_requests;  /* GwRequest */
    GArray *placements; /* GwPlacement made by this entry, oldest first */
    GwHeap deadlines;
    GwCrossRegion cross_region;
    GwQuarantine *quarantine;
    GwShortage *shortage;      /* NULL without overload control */
    uint64_t returns_answered; /* requests of callers refused before */
    uint64_t returns_refused;
    GwDemandMeter *demand;       /* likewise */
    GArray *unconfirmed_crashes; /* crashes.c */
    uint32_t entries; /* that may be alive; 0: not set by the host */
    /* Slots of servers that accept requests; valid if `is_capacity_known`. */
    bool is_capacity_known;
    bool has_lost_capacity; /* local slots were lost since the last check */
    uint32_t local_slots;
    uint32_t all_slots;
    uint32_t regions;
    int64_t limits_changed_us; /* last change of any limit; 0: never */
    GwLimitCallback limit_callback;
    void *limit_callback_ctx;
    uint32_t unreached_count; /* services */
    int64_t reach_due_us;     /* next probes; INT64_MAX: none */
    GwReachCallback reach_callback;
    void *reach_callback_ctx;
    int64_t started_us;
    int64_t end_us;       /* end of a graceful stop; INT64_MAX: not stopping */
    uint64_t evaluations; /* server evaluations since the start */
};

/* servers.c */
GwServiceState *GwRouter_FindOrAddService(GwRouter *r, const char *name);
/* Number of slots in use or about to be used: the requests in flight, where a
 * request sent across regions counts as the part of its time that it spends in
 * a slot. */
double GwServer_SlotsInUse(const GwRouter *r, const GwServer *s);
double GwServer_Load(const GwRouter *r, const GwServer *s, int64_t now_us);
bool GwServer_IsCold(const GwServer *s, int64_t now_us);
void GwServer_Unref(GwRouter *r, GwServer *s, GArray *actions);
void GwRouter_Learn(GwRouter *r, int64_t now_us, GwRequest *req,
                    const GwAttemptEnd *end, GArray *actions);
/* Mean of used slots over slots in the last seconds; above 1 when requests
 * queue at the server. */
double GwServer_Utilization(const GwRouter *r, const GwServer *s,
                            int64_t now_us);
void GwServer_UpdateUtilization(const GwRouter *r, GwServer *s,
                                int64_t now_us);

/* Time until the server may get one more request of this entry, by the limit
 * and the rest that it has stated. */
double GwServer_SendWaitUs(const GwServer *s, int64_t now_us);
/* Requests that wait for the server's next slot choose again. */
void GwServer_DropReservations(GwServer *s);

/* starts.c */
GHashTable *GwServerStarts_Create(void);
/* Returns the state of that start, to be released by GwServerStart_Unref. */
GwServerStart *GwServerStart_Ref(GwRouter *r, const char *id,
                                 uint64_t born_ms);
void GwServerStart_Unref(GwServerStart *start);
/* The server has stated something by which it may get no request now: those
 * that wait for it choose again. */
void GwRouter_NoteStated(GwRouter *r, const GwServer *s);
/* The server leaves, as its row or an answer says: it gets no more requests. */
void GwRouter_LearnLeaving(GwRouter *r, int64_t now_us, const GwServer *s);

/* rest.c */
/* The server refused a request and wants none for `rest_us`. */
void GwRouter_LearnRest(GwRouter *r, int64_t now_us, GwServer *s,
                        int64_t rest_us);
bool GwServer_IsResting(const GwServer *s, int64_t now_us);
double GwServer_RestWaitUs(const GwServer *s, int64_t now_us);
/* Whether the server may get a request beside those of this entry that it
 * has. */
bool GwServer_HasTrialSlot(const GwServer *s);
/* The server has answered a request. */
void GwServer_EndTrial(GwServer *s, int64_t now_us);

/* rate_owners.c */
bool GwRouter_HasColdToken(GwRouter *r, GwServer *s, int64_t now_us);
bool GwServer_IsLimited(const GwServer *s);
/* Returns whether this entry holds a share of the server's limit. */
bool GwRouter_HasLimitShare(GwRouter *r, GwServer *s, int64_t now_us);
/* Time until this entry's share allows one more request, after those that
 * already wait for the server. */
double GwServer_LimitWaitUs(const GwServer *s, int64_t now_us);
void GwServer_SpendLimit(GwServer *s, int64_t now_us);
/* Returns a limited server that has sent no answer for long although this
 * entry's share allows a request: that request would show whether the limit
 * is still in force. NULL if there is no such server or the last search was a
 * moment ago. */
GwServer *GwRouter_FindStaleLimited(GwRouter *r, int64_t now_us,
                                    GwServiceState *service);
void GwRouter_LearnLimit(GwRouter *r, int64_t now_us, GwServer *s,
                         const GwAttemptEnd *end);

/* peers.c */
/* Applies the known load sums to a new server. */
void GwRouter_AddRegionLoads(GwRouter *r, int64_t now_us, GwServer *s);

/* keys.c */
uint64_t GwHash_Text(const char *text, uint64_t seed);
GwKey *GwRouter_FindOrAddKey(GwRouter *r, int64_t now_us, const GwRoute *route,
                             const GwServiceState *service, const char *text);
uint64_t GwKey_Hash(const GwRoute *route, const GwServiceState *service,
                    const char *text);
/* NULL if there was no request for the object lately. */
GwKey *GwRouter_FindKey(const GwRouter *r, const GwRoute *route,
                        const GwServiceState *service, const char *text);
GwKeyPlacement *GwKey_FindPlacement(GwKey *key, const GwServer *s);
/* Records that a request for the object is sent to the server. */
void GwRouter_AddPlacement(GwRouter *r, GwKey *key, GwServer *s,
                           int64_t now_us);
void GwKey_EndRun(GwKey *key, GwServer *s, bool ran);
void GwKey_RemovePlacement(GwKey *key, const GwServer *s);
void GwRouter_RemovePlacements(GwRouter *r, const GwServer *s);

/* reach.c */
/* Asks the host to connect to the server, without a request. */
void GwServer_Probe(GwServer *s, GArray *actions);
/* A connection to the server was set up at `at_us`. */
void GwRouter_NoteConnected(GwRouter *r, int64_t now_us, GwServer *s,
                            int64_t at_us);
void GwRouter_NoteConnectFailed(GwRouter *r, int64_t now_us, GwServer *s,
                                GwLinkEnd how, GArray *actions);
/* An open connection to the server acknowledges nothing any more. */
void GwRouter_NoteSilence(GwRouter *r, int64_t now_us, GwServer *s,
                          GArray *actions);
/* Sends due probes to servers of unreached services. */
void GwRouter_TickReach(GwRouter *r, int64_t now_us, GArray *actions);
bool GwService_IsUnreached(const GwServiceState *service);
/* Whether a request is sent from here again, after an outage. */
bool GwRouter_TakesBack(GwRouter *r, int64_t now_us,
                        const GwServiceState *service);
/* Whether the server has answered since connections began to fail. */
bool GwServer_StillAnswers(const GwServer *s);
/* Whether the service is reached, or this server has registered or accepted a
 * connection since it is not, or refuses connections, which takes no time. */
bool GwServer_MayConnect(const GwServer *s);

/* pass_on.c */
/* Passes the request on to another entry. Returns false if there is none that
 * may take it. */
bool GwRequest_PassOn(GwRouter *r, int64_t now_us, GwRequest *req,
                      GArray *actions);
void GwRequest_ReleasePeer(GwRouter *r, GwRequest *req);
/* Whether another entry that serves reports that it reaches the service. */
bool GwRouter_IsReachedByPeer(const GwRouter *r,
                              const GwServiceState *service);

/* cross_region.c */
typedef enum {
    GW_REGIONS_ALL = 0,
    GW_REGIONS_LOCAL, /* local servers only: share at upper bound */
    GW_REGIONS_REMOTE /* remote servers only: share at lower bound */
} GwRegionRule;

GwRegionRule GwRouter_RegionRule(GwRouter *r, int64_t now_us);
/* Count a request that was sent or refused, and whether its best server or the
 * server that it was sent to is in another region. */
void GwRouter_NoteRegionSent(GwRouter *r, int64_t now_us, const GwRequest *req,
                             bool preferred_remote, bool remote);
void GwRouter_NoteRegionRefused(GwRouter *r, int64_t now_us,
                                bool preferred_remote);
/* Must be called when servers are added, removed or evacuated. */
void GwRouter_NoteServersChanged(GwRouter *r);
/* Must be called before a server is removed or leaves. */
void GwRouter_NoteSlotsGone(GwRouter *r, int64_t now_us, const GwServer *s);
/* Returns whether this is the start phase, in which no server is warm. */
bool GwRouter_IsStartPhase(const GwRouter *r, int64_t now_us);

/* stop.c */
/* Whether a graceful stop has reached its end: no request may begin to wait
 * for anything. */
bool GwRouter_HasEnded(const GwRouter *r, int64_t now_us);
/* Returns the last time at which a run at the server that is expected to take
 * `run_us` may start and still end before the entry does; INT64_MAX when the
 * entry is not stopping. */
int64_t GwRouter_LastSlotUs(const GwRouter *r, const GwRequest *req,
                            const GwServer *s, double run_us);
/* Returns the end of the time that a server is given for the request. */
int64_t GwRouter_ServerUntil(const GwRouter *r, int64_t now_us,
                             const GwRequest *req);

/* access.c */
/* Returns why the arrival is refused, or GW_REPLY_NONE. `route`: as matched,
 * or NULL. */
GwReplyReason GwRouter_CheckArrival(const GwRouter *r, int64_t now_us,
                                    const GwArrival *arrival,
                                    const GwRoute *route);
/* Sets the caller's access of a new request. */
void GwRequest_SetAccess(GwRouter *r, GwRequest *req, const char *credential);
/* Looks the key up again if the configuration has changed. Returns why the
 * request may not be sent, or GW_REPLY_NONE. */
GwReplyReason GwRequest_CheckAccess(GwRouter *r, int64_t now_us,
                                    GwRequest *req);
/* Whether the homes of route and organisation allow the region. */
bool GwRequest_AllowsRegion(const GwRequest *req, const char *region);
/* Whether homes restrict the regions of the request's servers. */
bool GwRequest_IsRegionBound(const GwRequest *req);

/* admission.c */
/* Places the request if its organisation's quota allows it; else it waits for
 * a token or is refused. */
void GwRequest_Admit(GwRouter *r, int64_t now_us, GwRequest *req,
                     GArray *actions);
void GwRequest_CancelTokenWait(GwRouter *r, GwRequest *req);
void GwRequest_ReturnToken(GwRouter *r, int64_t now_us, const GwRequest *req);

/* crashes.c */
GArray *GwCrashes_Create(void);
/* A connection to the server was set up at `connected_us`: servers that refused
 * connections before have crashed, if it shows that this entry has links to
 * them. */
void GwRouter_ConfirmCrashes(GwRouter *r, int64_t now_us, const GwServer *s,
                             int64_t connected_us);
/* Records that the server closed the connection of an attempt, and asks the
 * host to probe whether the server is alive. */
void GwRouter_NoteConnectionLost(GwRouter *r, int64_t now_us, GwRequest *req,
                                 const GwFingerprint *fingerprint,
                                 GArray *actions);
/* Makes the request wait for the probe of `s`, after which it is queued again.
 * Returns false if the result is known already or no probe is in progress. */
bool GwRequest_AwaitProbe(GwRouter *r, int64_t now_us, GwRequest *req,
                          GwServer *s);
/* Ends the wait for a probe without queueing the request. */
void GwRequest_CancelProbeWait(GwRouter *r, GwRequest *req);
/* Queues the request again before the probe has ended; the server is then
 * assumed to have crashed. */
void GwRequest_EndProbeWait(GwRouter *r, GwRequest *req);
/* Returns the end of the request's quarantine; 0: not quarantined. */
int64_t GwRequest_QuarantinedUntil(GwRouter *r, int64_t now_us,
                                   GwRequest *req);

/* attempts.c */
/* Ends the attempt in progress at a server. `ran`: with success. */
void GwRequest_ReleaseServer(GwRouter *r, int64_t now_us, GwRequest *req,
                             bool ran, GArray *actions);
/* Continues or ends the request after an attempt, which is counted already. */
/* `s`: the server of the attempt; NULL: another entry. */
void GwRequest_EndAttempt(GwRouter *r, int64_t now_us, GwRequest *req,
                          GwServer *s, const GwAttemptEnd *end,
                          GArray *actions);

/* requests.c */
/* Frees a request whose last action has been appended. */
void GwRequest_Finish(GwRouter *r, GwRequest *req);
/* Abandons the current attempt, if any, and frees its slot. */
void GwRequest_Cancel(GwRouter *r, int64_t now_us, GwRequest *req,
                      GArray *actions);
/* Whether an attempt is in progress or ended without an answer. */
/* A GDestroyNotify. */
void GwRequest_Free(gpointer item);
bool GwRequest_MayHaveRun(const GwRequest *req);
/* Status of an answer to a request that did not run, or timed out. */
uint16_t GwReplyReason_Status(GwReplyReason why);
/* Appends an action for the request; the caller fills in the other fields. */
GwRouterAction *GwRouter_AddAction(GArray *actions, GwRouterActionKind kind,
                                   GwRequest *req);
/* Ends the request with a status of this entry. 503 guarantees that the
 * request has not run and won't: a request with an attempt that may have run
 * gets 502, or 504 on timeout. */
void GwRequest_Refuse(GwRouter *r, int64_t now_us, GwRequest *req,
                      GwReplyReason why, GArray *actions);
/* Sets the time of the next timer event of the request. */
void GwRequest_SetDeadline(GwRouter *r, GwRequest *req, int64_t at_us);
/* Sends the request, keeps it waiting, or refuses it. */
void GwRequest_Place(GwRouter *r, int64_t now_us, GwRequest *req,
                     GArray *actions);
void GwRouter_EarnRetry(GwRouter *r, GwServiceState *service);
/* Upper bound of the number of live entries. Limits that hold for all entries
 * together are divided by this. */
uint32_t GwRouter_EntriesMax(const GwRouter *r);
/* Randomized retry delay for a caller that is refused for a reason other than
 * lack of capacity. */
uint32_t GwRouter_RetryAfterMs(GwRouter *r);
/* Frees removed servers that no pending action refers to; called at the start
 * of each public function that appends actions. */
void GwRouter_FreeRemoved(GwRouter *r, const GArray *actions);

/* waiting.c */
/* Adds the request to its service's queue, ordered by priority, then
 * arrival. */
void GwRequest_Enqueue(GwRouter *r, GwRequest *req);
void GwRequest_Dequeue(GwRequest *req);
/* Reserves the server's next slot for a waiting request; requests after it in
 * this pass see one slot less. */
void GwServer_Reserve(GwServer *s);
/* Dispatches waiting requests of the service whose outcome may have
 * changed. */
void GwRouter_DispatchWaiting(GwRouter *r, int64_t now_us,
                              GwServiceState *service, GArray *actions);

#endif
