/* What the parts of the steering core share. */
#ifndef GW_ROUTER_INTERNAL_H
#define GW_ROUTER_INTERNAL_H

#include "common/heap.h"
#include "common/rng.h"
#include "router/router.h"

#ifndef GW_MUTANT
#define GW_MUTANT 0 /* tests/mutants.sh breaks one safeguard at a time */
#endif

/* ---- Estimates ----------------------------------------------------------- */

/* Shares of a route's objective that an answer is taken to need until there
 * are measurements: a server that holds the object warm needs about 0.3 of
 * the time of a cold one (docs/MEASURES.md, warmth). */
#define GW_COLD_SHARE 1.0
#define GW_WARM_SHARE 0.36
/* Weight of a new measurement in a mean. */
#define GW_MEAN_WEIGHT 0.1
/* Round trips assumed until a connection was made there. */
#define GW_NEAR_RTT_US 3000
#define GW_FAR_RTT_US  100000
/* A server that answers `BROKEN`, or can't be reached, is passed over for
 * this long at first, doubled for each further failure in a row. */
#define GW_EJECT_US     400000
#define GW_EJECT_MAX_US 4000000
#define GW_KEY_SERVERS  4 /* places of one object */

typedef struct {
    double tokens;
    double max;
    int64_t at_us;
} GwBucket;

/* The tokens that Fill would leave there. */
double GwBucket_At(const GwBucket *b, int64_t now_us, double per_s);
void GwBucket_Fill(GwBucket *b, int64_t now_us, double per_s);

typedef struct {
    char *name;
    GPtrArray *servers; /* GwServer, borrowed */
    GPtrArray *waiting; /* GwRequest in the order in which they are served */
    GwBucket retries;
    GPtrArray *claimed;     /* GwServer with claims, in one pass of placing */
    bool panic;             /* most of the servers are ejected, */
    int64_t panic_at_us;    /* as of then */
    bool has_room;          /* requests left; others may be placed */
    int64_t pass_due_us;    /* all that wait are not judged anew before */
    double pass_looks;      /* at servers, of the last such pass for each */
    GwServer *freed;        /* has room since the last pass; or NULL */
    int64_t unheard_due_us; /* limits that nobody asks for are looked for */
    double work_us;         /* mean time a request takes a slot */
    double cold_per_s;
    uint32_t connections_max; /* of one server, from all entries; 0: any */
} GwServiceState;

typedef struct {
    char *name;
    double warm_us;
    double cold_us;
    double longest_us;   /* that a run took, which fades; 0: none was seen */
    uint32_t open;       /* requests that point here */
    int64_t left_max_us; /* what callers give a request at first */
    int64_t *credit;     /* smooth weighted round robin: one for each part */
    uint32_t credit_count;
} GwRouteState;

/* The way to a region. */
typedef struct {
    char *region;
    double rtt_us;
    bool measured; /* else it is what is assumed of such a way */
} GwPath;

/* The requests a second that a server takes from all entries together. */
typedef struct {
    double per_s;       /* < 0: it names none */
    int64_t at_us;      /* since then */
    int64_t seen_us;    /* an answer said so last */
    int64_t heard_us;   /* last answer of any kind; with its limit, or none */
    int64_t changed_us; /* it became known here; 0: it never named one */
    double share;       /* of this entry, a second */
    int64_t ranked_us;  /* as of then */
    GwBucket tokens;
} GwServerLimit;

struct GwServer_s {
    char *id;
    char *address;
    char *domain;
    GwPath *path; /* to its region */
    GwServiceState *service;
    uint64_t born_ms;
    uint64_t hash;
    uint32_t slots;
    bool listed; /* in the registry */
    bool draining;
    bool same_domain;
    bool same_region;
    uint32_t refs;      /* attempts under way */
    uint32_t in_flight; /* of this entry */
    uint32_t peers_in_flight;
    uint32_t peers_far; /* of them from other regions than its own */
    uint32_t claims;    /* requests that wait for it, in one pass of placing */
    uint32_t objects;   /* that have a place here */
    double busy;        /* mean of its slots in use, decaying */
    int64_t busy_at_us;
    double slow; /* its time over that of others, for the same work */
    uint32_t failures;
    int64_t eject_until_us;
    int64_t cold_until_us;
    GwBucket cold_tokens;
    GwServerLimit limit;
    bool feeds;  /* this entry fed it at the last look */
    bool probed; /* the host connects to it, to see whether it is alive */
    int64_t load_at_us;
    uint32_t load_running;
    uint32_t load_waiting;
    void *user;
};

/* A place of an object: a server that remembers it. */
typedef struct {
    GwServer *server;
    int64_t started_us; /* of the first run there */
    bool ran;           /* that run has ended */
} GwKeyServer;

typedef struct {
    uint64_t hash;
    int64_t used_us;
    GwKeyServer at[GW_KEY_SERVERS];
} GwKey;

typedef struct {
    char *name;
    char *region;
    bool serves;
    GArray *loads; /* GwPeerLoad */
} GwPeer;

/* How much of the traffic runs in other regions, and how much may. */
typedef struct {
    double sent;   /* requests, decaying */
    double far;    /* of them to other regions */
    double asked;  /* requests that were placed or refused, decaying */
    double wanted; /* of them whose best server was in another region */
    double level;  /* the share that is allowed now */
    int64_t at_us;
    int64_t free_until_us;  /* no limit until then: servers were lost */
    int64_t start_until_us; /* 0: no request was sent yet */
    double first_work_us;   /* slot time of the first requests, all cold */
    uint32_t first_count;
    bool has_level;
} GwDrift;

struct GwRequest_s {
    void *user;
    GwRouting *routing;
    const GwRoute *route;
    GwRouteState *state;
    GwServiceState *service;
    GwKey *key; /* or NULL */
    int64_t arrived_us;
    int64_t aim_us;     /* an answer after this is late */
    int64_t late_us;    /* it waits for no answer after this */
    int64_t give_up_us; /* the caller or the route waits no longer */
    int64_t budget_us;  /* what servers are told: end of the time */
    uint32_t deadline;  /* place in the heap */
    uint32_t attempts;
    GwServer *server; /* of the attempt under way, or NULL */
    int64_t sent_us;
    int64_t expected_us; /* its time, as of the last look for a server */
    double room_us;      /* until a slot is free, as of the same look */
    bool sent_warm;
    bool sent_far;
    bool sent_alone; /* a slot was free then: its time is the work's */
    const GwServer *refused_for; /* the best one; set as the request ends */
    bool has_fingerprint;
    GwFingerprint fingerprint;
    bool is_suspect; /* a server crashed under it: kept apart from others */
    GwServer *waits_probe; /* broke it, and may have crashed; or NULL */
    bool waits;
    bool late;            /* waits, though its answer will be late */
    int64_t too_late_us;  /* with a slot as of then its answer is of no use */
    GwServer *waits_for;  /* it had no room; NULL: to be judged */
    bool waits_for_place; /* and is a place of its object */
    bool may_have_run;    /* an attempt ended without proof of the contrary */
    uint32_t sends;       /* all, also those that met no server */
    char last_server[48];
    uint32_t arrivals; /* attempts that a server saw */
    uint32_t unsent;
    uint32_t tried_count;
    GwServer *tried[8]; /* compared only, never followed */
};

struct GwRouter_s {
    GwRouterParams params;
    GwRng rng;
    GwRouting *routing;
    GHashTable *services; /* name -> GwServiceState */
    GHashTable *routes;   /* name -> GwRouteState */
    GHashTable *servers;  /* id -> GwServer */
    GHashTable *by_hash;  /* 32-bit hash -> GwServer */
    GHashTable *keys;     /* hash -> GwKey */
    GHashTable *peers;    /* name -> GwPeer */
    GHashTable *sums;     /* region -> (server -> what many have there) */
    GHashTable *evacuated;
    GHashTable *paths;   /* region -> GwPath */
    double far_rtt_us;   /* mean to other regions */
    GHashTable *open;    /* GwRequest set */
    GPtrArray *awaiting; /* GwRequest, word of a server that broke them */
    GPtrArray *freed;    /* GwServer, until the next step */
    GArray *placements;  /* GwPlacement of this entry, oldest first */
    GwHeap deadlines;
    GwDrift drift;
    GwQuarantine *quarantine;
    uint32_t entries; /* that may be alive; 0: the host has not said */
    /* Of servers that may take work, as far as `room_known`: */
    bool room_known;
    bool room_lost; /* the region has fewer since the last look */
    uint32_t near_slots;
    uint32_t all_slots;
    uint32_t regions;
    int64_t limits_us; /* one has changed last; 0: never */
    GwLimitNote note_limit;
    void *note_limit_ctx;
    int64_t started_us;
    int64_t end_us; /* of a stop; INT64_MAX: none was begun */
    uint64_t looks; /* at servers, to place requests */
};

/* servers.c */
GwServiceState *GwRouter_ServiceOf(GwRouter *r, const char *name);
/* Requests at the server, on their way there, and waiting here for it. */
/* Requests in flight, those between regions by their time in a slot. */
double GwServer_InSlots(const GwRouter *r, const GwServer *s);
double GwServer_Occupied(const GwRouter *r, const GwServer *s, int64_t now_us);
bool GwServer_IsCold(const GwServer *s, int64_t now_us);
void GwServer_Unref(GwRouter *r, GwServer *s, GArray *actions);
void GwRouter_Learn(GwRouter *r, int64_t now_us, GwRequest *req,
                    const GwAttemptEnd *end, GArray *actions);
/* The mean of its slots in use over the last seconds, 0 to 1 and above. */
double GwServer_Busy(const GwRouter *r, const GwServer *s, int64_t now_us);
void GwServer_NoteBusy(const GwRouter *r, GwServer *s, int64_t now_us);

/* feeding.c */
bool GwRouter_FeedsCold(GwRouter *r, GwServer *s, int64_t now_us);
bool GwServer_IsLimited(const GwServer *s);
/* Whether this entry has a share of the server's limit. */
bool GwRouter_FeedsLimited(GwRouter *r, GwServer *s, int64_t now_us);
/* Until its share allows one more, behind those that wait for the server. */
double GwServer_LimitWaitUs(const GwServer *s, int64_t now_us);
void GwServer_SpendLimit(GwServer *s, int64_t now_us);
/* A limited server of which this entry has heard nothing for long, though its
 * share allows a request: that one would tell whether the limit still stands.
 * NULL: none, or it was looked for a moment ago. */
GwServer *GwRouter_UnheardLimited(GwRouter *r, int64_t now_us,
                                  GwServiceState *service);
void GwRouter_LearnLimit(GwRouter *r, int64_t now_us, GwServer *s,
                         const GwAttemptEnd *end);

/* peers.c */
/* Adds to a new server what sums have told of it. */
void GwRouter_AddSums(GwRouter *r, int64_t now_us, GwServer *s);

/* keys.c */
uint64_t GwHash_Text(const char *text, uint64_t seed);
GwKey *GwRouter_KeyOf(GwRouter *r, int64_t now_us, const GwRoute *route,
                      const GwServiceState *service, const char *text);
GwKeyServer *GwKey_At(GwKey *key, const GwServer *s);
/* A request for the object goes to the server. */
void GwRouter_UseKey(GwRouter *r, GwKey *key, GwServer *s, int64_t now_us);
void GwKey_Ended(GwKey *key, GwServer *s, bool ran);
void GwKey_Forget(GwKey *key, const GwServer *s);
void GwRouter_ForgetInKeys(GwRouter *r, const GwServer *s);

/* choose.c */
typedef struct {
    GwServer *server;     /* NULL: none may take it */
    bool ready;           /* a slot is free there now */
    bool in_time;         /* its answer would be */
    bool wants_far;       /* the best server is in another region */
    bool is_place;        /* it is a place of the object */
    double est_us;        /* until its answer */
    double wait_us;       /* of it, until a slot is free */
    int64_t last_slot_us; /* a later one would be cut by a stop */
} GwChoice;

GwChoice GwRouter_Choose(GwRouter *r, int64_t now_us, GwRequest *req);
/* One more may be sent there now, beside what waits for it. */
bool GwServer_HasRoom(const GwRouter *r, const GwServer *s, int64_t now_us);

/* drift.c */
typedef enum {
    GW_DRIFT_ANY = 0,
    GW_DRIFT_NEAR, /* no more may leave the region for now */
    GW_DRIFT_FAR   /* fewer must not leave it for now */
} GwDriftSide;

GwDriftSide GwRouter_DriftSide(GwRouter *r, int64_t now_us);
/* A request was sent (to another region or not), or refused. */
void GwRouter_DriftSent(GwRouter *r, int64_t now_us, const GwRequest *req,
                        bool wanted_far, bool far);
void GwRouter_DriftRefused(GwRouter *r, int64_t now_us, bool wanted_far);
/* Servers came or went. */
void GwRouter_DriftServers(GwRouter *r);
/* The first seconds of traffic, when no server is warm. */
bool GwRouter_DriftStarts(const GwRouter *r, int64_t now_us);

/* stop.c */
/* The last time at which it may get a slot at the server, where its run is
 * expected to take `run_us`, and still be over before the entry ends; INT64_MAX
 * where no stop was begun. */
int64_t GwRouter_LastSlotUs(const GwRouter *r, const GwRequest *req,
                            const GwServer *s, double run_us);
/* The end of the time that servers are given for it. */
int64_t GwRouter_ServerUntil(const GwRouter *r, int64_t now_us,
                             const GwRequest *req);

/* crashes.c */
/* An attempt was broken off by its server: asks the host whether that one is
 * alive. */
void GwRouter_NoteBreak(GwRouter *r, int64_t now_us, GwRequest *req,
                        const GwFingerprint *fingerprint, GArray *actions);
/* Puts it back among those that wait once the fate of the server that broke it
 * is known. Returns false where it is known already, or nobody asks. */
bool GwRequest_AwaitProbe(GwRouter *r, int64_t now_us, GwRequest *req,
                          GwServer *s);
/* It waits for that no longer, and for nothing else. */
void GwRequest_StopAwaiting(GwRouter *r, GwRequest *req);
/* It goes on without it: with no word of the server, that one is taken to have
 * crashed. */
void GwRequest_EndAwaiting(GwRouter *r, GwRequest *req);
/* Until when it must not be sent; 0: it may be. */
int64_t GwRequest_HeldUntil(GwRouter *r, int64_t now_us, GwRequest *req);

/* requests.c */
/* Appends an action of that request, to be filled in. */
GwDo *GwRouter_AddDo(GArray *actions, GwDoKind kind, GwRequest *req);
/* When time is to be looked at for it. */
void GwRequest_SetDeadline(GwRouter *r, GwRequest *req, int64_t at_us);
/* Sends the request, keeps it waiting, or refuses it. */
void GwRequest_Place(GwRouter *r, int64_t now_us, GwRequest *req,
                     GArray *actions);
void GwRouter_EarnRetry(GwRouter *r, GwServiceState *service);
/* Entries that could be alive: what is bounded for all together is divided by
 * this. */
uint32_t GwRouter_EntriesMax(const GwRouter *r);
/* When a caller may come back that was refused though room is not what lacks;
 * spread. */
uint32_t GwRouter_ComebackMs(GwRouter *r);
/* Frees the servers that nothing names any more; each step begins with it. */
void GwRouter_FreeFreed(GwRouter *r, const GArray *actions);

/* waiting.c */
/* Puts it where it is served in its turn: by priority, then arrival. */
void GwRequest_Wait(GwRequest *req);
void GwRequest_StopWaiting(GwRequest *req);
/* For one that waits: in this pass, those behind it find a slot less there. */
void GwServer_Claim(GwServer *s);
/* Places what waits for the service, as far as that may have changed. */
void GwRouter_Pump(GwRouter *r, int64_t now_us, GwServiceState *service,
                   GArray *actions);

#endif
