/* The steering core of one entry: which backend server runs a request, when,
 * and what the caller is told when none does.
 *
 * A GwRouter does no I/O and reads no clock. The host feeds it what happened,
 * with the time, and carries out the actions that it appends:
 *
 *     GwRouter_Arrive(router, now_us, &arrival, &actions);
 *     for (guint i = 0; i < actions->len; i++) { ...carry out... }
 *
 * Three outcomes are kept apart for each attempt (GwAttemptOutcome): an
 * answer, a proof that it did not run, and neither. A request that is not
 * idempotent is sent again only after a proof, and a caller is told "not run"
 * (503) only when every attempt of the request ended with one. */
#ifndef GW_ROUTER_ROUTER_H
#define GW_ROUTER_ROUTER_H

#include "route/route.h"
#include "router/quarantine.h"

/* Requests that a server is sent beyond its free slots, so that one is there
 * when a slot becomes free: not a round trip later, and not when the next
 * report tells of it. Worth 0.004 and 0.010 of a day (docs/MEASURES.md). */
#define GW_SLOTS_AHEAD 1

typedef struct GwRouter_s GwRouter;
typedef struct GwRequest_s GwRequest;
typedef struct GwServer_s GwServer;

/* Bounds that operators promise their callers and servers. */
typedef struct {
    char name[64]; /* of this entry */
    char region[64];
    char domain[64]; /* failure domain */
    uint64_t seed;
    /* Retries: each service gets at most ratio x first attempts + extra in a
     * window, from all entries together. */
    double retry_ratio;
    uint32_t retry_extra;
    uint32_t retry_window_ms;
    uint32_t entries_max; /* entries that could be alive at once */
} GwRouterParams;

GwRouter *GwRouter_Create(const GwRouterParams *params, int64_t now_us);
void GwRouter_Free(GwRouter *r);
/* Takes over the bounds of `params`; names stay. */
void GwRouter_SetBounds(GwRouter *r, const GwRouterParams *params);

/* ---- What the entry believes -------------------------------------------- */

/* Keeps a reference. The version in force never falls: an older one is
 * ignored. Returns whether it was taken. */
bool GwRouter_SetRouting(GwRouter *r, GwRouting *routing);
const GwRouting *GwRouter_Routing(const GwRouter *r);

/* What the registry says of a backend server. */
typedef struct {
    const char *id;
    uint64_t born_ms; /* a later start under the same id is another server */
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
/* The servers of a failure domain take nothing while it is evacuated. */
void GwRouter_SetEvacuated(GwRouter *r, int64_t now_us, const char *domain,
                           bool evacuated);
/* Calls `visit` with each id; for a host that compares with a full list. */
void GwRouter_EachServer(GwRouter *r, void (*visit)(void *ctx, const char *id),
                         void *ctx);

/* Requests in flight of one peer at one server. */
typedef struct {
    uint32_t server; /* GwServer_Hash */
    uint32_t in_flight;
} GwPeerLoad;

typedef struct {
    const char *name;
    const char *region;
    bool serves; /* ready and not leaving */
    uint32_t load_count;
    const GwPeerLoad *loads;
} GwPeerInfo;

void GwRouter_PutPeer(GwRouter *r, int64_t now_us, const GwPeerInfo *info);
/* Many entries of that region have so much in flight at the server together, as
 * another entry has added up. */
void GwRouter_SetSum(GwRouter *r, int64_t now_us, const char *region,
                     uint32_t server, uint32_t count);
/* No sum is known any more, of any region. */
void GwRouter_DropSums(GwRouter *r, int64_t now_us);
void GwRouter_DropPeer(GwRouter *r, int64_t now_us, const char *name);
/* This entry's own requests in flight, as it tells its peers: GwPeerLoad. */
void GwRouter_OwnLoads(const GwRouter *r, GArray *out);

/* An object that lately got a place at a server: entries of a region tell each
 * other, so that they send its requests to the same one. */
typedef struct {
    uint64_t object;
    uint32_t server; /* GwServer_Hash */
    bool warm;       /* it has run there; else its first run has just begun */
    int64_t at_us;
} GwPlacement;

void GwRouter_PutPlacement(GwRouter *r, int64_t now_us,
                           const GwPlacement *placement);
/* All that are warm, the last used first, at most `most`: for an entry that
 * has just started and would else make all places anew. */
void GwRouter_WarmPlacements(const GwRouter *r, uint32_t most, GArray *out);
/* Those of this entry that are younger than `age_us`: GwPlacement. What is
 * older than `life_us` is forgotten. */
void GwRouter_OwnPlacements(GwRouter *r, int64_t now_us, int64_t age_us,
                            int64_t life_us, GArray *out);

/* The requests a second that a server takes from all entries together, as it
 * named them `age_ms` ago. */
typedef struct {
    uint32_t server; /* GwServer_Hash */
    double per_s;    /* < 0: it names none any more */
    uint32_t age_ms;
} GwLimit;

/* Called when a limit begins, changes or ends. */
typedef void (*GwLimitNote)(void *ctx, const GwServer *s, double per_s);

void GwRouter_SetLimitNote(GwRouter *r, GwLimitNote note, void *ctx);
/* Another entry says so; the younger word counts. */
void GwRouter_PutLimit(GwRouter *r, int64_t now_us, const GwLimit *limit);
/* Those that changed here since, at most `most`. Returns how many. */
uint32_t GwRouter_Limits(const GwRouter *r, int64_t now_us, int64_t since_us,
                         GwLimit *out, uint32_t most);
/* Of all that are in force; the same at entries that know the same, 0 for
 * none. */
uint64_t GwRouter_LimitsSum(const GwRouter *r);
/* When one has changed last; 0: never. */
int64_t GwRouter_LimitsChangedUs(const GwRouter *r);

/* ---- The life of a request ---------------------------------------------- */

typedef struct {
    void *user; /* the host's */
    const char *host;
    const char *path;
    const char *key; /* names the object that the request is about; or NULL */
    int64_t left_us; /* how long the caller waits; < 0: it did not say */
    const GwFingerprint *fingerprint; /* NULL: GwRouter_WantsFingerprints
                                         said that it isn't needed */
} GwArrival;

typedef enum {
    GW_ATTEMPT_ANSWERED = 1, /* the whole answer of that server */
    GW_ATTEMPT_REFUSED = 2,  /* it says that it did not run the request */
    GW_ATTEMPT_UNSENT = 3,   /* not a byte has left */
    GW_ATTEMPT_BROKEN = 4    /* sent, and no whole answer: may have run */
} GwAttemptOutcome;

/* What an answer says of the requests a second that its server takes. */
typedef enum {
    GW_LIMIT_UNSAID = 0, /* no answer, or not to be read */
    GW_LIMIT_NONE,       /* as many as come */
    GW_LIMIT_NAMED
} GwLimitWord;

typedef struct {
    GwAttemptOutcome outcome;
    uint16_t status;   /* ANSWERED, REFUSED */
    bool other_server; /* REFUSED: another one has this address now */
    bool has_load;
    uint32_t running; /* of the load report */
    uint32_t waiting;
    uint32_t cold_ms;   /* > 0: the server says that it is cold */
    int64_t connect_us; /* time of a connection made for this; 0: reused */
    GwLimitWord limit;
    double limit_per_s; /* where NAMED */
    bool closed;        /* BROKEN: the server closed or reset the connection */
    /* Of the request; where `closed`, or GwRouter_WantsFingerprints says so. */
    const GwFingerprint *fingerprint;
} GwAttemptEnd;

/* What a new connection to a server has met (GW_DO_PROBE). */
typedef enum {
    GW_PROBE_ALIVE = 1,
    GW_PROBE_REFUSED, /* nothing listens there: the process has ended */
    GW_PROBE_SILENT   /* neither, in time */
} GwProbeResult;

/* What decided about a request, for the line that the host logs. */
typedef struct {
    char route[48];
    char server[48];      /* of the last attempt; "" when there was none */
    uint64_t version;     /* of the configuration that admitted it */
    uint32_t attempts;    /* sends, also those that met no server */
    uint32_t waited_ms;   /* before the last send, or in all */
    uint32_t took_ms;     /* from its arrival */
    uint32_t expected_ms; /* that it would take, as of the last look */
    bool warm;            /* the last server had a place of its object */
    bool far;             /* the last server is in another region */
    /* Of one that was refused for lack of room: the best server, and what it
     * had to do as this entry knew; else "". */
    char best[48];
    uint32_t best_busy;
    uint32_t best_slots;
} GwRequestStory;

/* Requests that crashed servers; see quarantine.h. */
GwQuarantine *GwRouter_Quarantine(GwRouter *r);
/* Some request is under suspicion, so arrivals are told apart. */
bool GwRouter_WantsFingerprints(const GwRouter *r);
void GwRouter_Probed(GwRouter *r, int64_t now_us, GwServer *s,
                     GwProbeResult result, GArray *actions);
/* Starts a request. It may be over when this returns (REPLY). */
void GwRouter_Arrive(GwRouter *r, int64_t now_us, const GwArrival *arrival,
                     GArray *actions);
void GwRouter_Ended(GwRouter *r, int64_t now_us, GwRequest *req,
                    const GwAttemptEnd *end, GArray *actions);
/* The caller left, and the host has abandoned the attempt. A caller may take
 * several requests along, so the room that they leave is given to others only
 * by Settle, when all are gone: else one of them could get it. */
void GwRouter_Gone(GwRouter *r, int64_t now_us, GwRequest *req,
                   GArray *actions);
/* How far it has come; for the log. */
GwRequestStory GwRequest_Story(const GwRequest *req, int64_t now_us);
void GwRouter_Settle(GwRouter *r, int64_t now_us, GArray *actions);
/* This entry stops: what it has begun by then has to be over at `end_us`, when
 * it closes the connections of its callers. Called once more at the end, it
 * refuses what still waits. */
void GwRouter_Stop(GwRouter *r, int64_t now_us, int64_t end_us,
                   GArray *actions);
/* What time does; to be called at GwRouter_NextDeadline. */
void GwRouter_Tick(GwRouter *r, int64_t now_us, GArray *actions);
int64_t GwRouter_NextDeadline(const GwRouter *r); /* INT64_MAX: none */
uint32_t GwRouter_OpenCount(const GwRouter *r);
/* Servers looked at to place requests, since the start, and what judging a
 * request takes besides as so many looks: most of the core's work. */
uint64_t GwRouter_Looks(const GwRouter *r);

typedef enum {
    GW_DO_ACCEPT = 1,   /* `request` is the handle of this arrival */
    GW_DO_SEND,         /* one attempt at `server` */
    GW_DO_CANCEL,       /* abandon the attempt; its connection is closed */
    GW_DO_ANSWER,       /* pass on the last attempt's answer; over */
    GW_DO_REPLY,        /* answer with `status` of our own; over */
    GW_DO_PROBE,        /* connect to `server`, then GwRouter_Probed */
    GW_DO_FORGET,       /* `server` is gone: drop what is kept for it */
    GW_DO_NOTE_EJECTED, /* for the log: `server` is passed over for left_ms */
    GW_DO_NOTE_BACK     /* for the log: `server` answers well again */
} GwDoKind;

typedef enum {
    GW_WHY_NONE = 0,
    GW_WHY_NO_CONFIG,
    GW_WHY_NO_ROUTE,
    GW_WHY_NO_SERVER,   /* no backend server may take it */
    GW_WHY_NO_ROOM,     /* it would come too late */
    GW_WHY_NO_RETRY,    /* not run, and no attempt is left */
    GW_WHY_TIMEOUT,     /* sent, and the time is over */
    GW_WHY_TIME_UNSENT, /* never sent, and the time is over */
    GW_WHY_BROKEN,      /* it may have run */
    GW_WHY_LEAVING,     /* the entry stops, and takes nothing new */
    GW_WHY_QUARANTINED, /* it crashes the servers that run it */
    GW_WHY_COUNT
} GwWhy;

const char *GwWhy_Name(GwWhy why);

typedef struct {
    GwDoKind kind;
    void *user;
    GwRequest *request;
    GwServer *server;
    uint32_t left_ms;        /* SEND: what is left of the caller's time */
    bool idempotent;         /* SEND */
    uint16_t status;         /* REPLY */
    uint32_t retry_after_ms; /* REPLY: 0 for none */
    GwWhy why;               /* REPLY */
    GwRequestStory story;    /* ANSWER, REPLY */
} GwDo;

/* So many entries may be alive, this one included, whether they were heard of
 * or not; they share the extra of retries. */
void GwRouter_SetEntries(GwRouter *r, uint32_t count);
/* Idle connections that this entry may keep open to the server, so that those
 * of all entries leave half of its connections to requests. */
uint32_t GwRouter_IdleConnectionsMax(const GwRouter *r, const GwServer *s);
const char *GwServer_Id(const GwServer *s);
const char *GwServer_Address(const GwServer *s);
uint32_t GwServer_Hash(const GwServer *s);
bool GwServer_IsFar(const GwServer *s); /* in another region */
/* How a service stands, for those who look from outside. */
typedef struct {
    const char *name;
    uint32_t servers; /* listed */
    uint32_t ejected;
    uint32_t limited;         /* name a limit */
    uint32_t waiting;         /* requests */
    uint32_t in_flight;       /* of this entry */
    uint32_t peers_in_flight; /* as they last reported */
    double retries_left;
} GwServiceView;

void GwRouter_EachService(const GwRouter *r, int64_t now_us,
                          void (*visit)(void *ctx, const GwServiceView *view),
                          void *ctx);
/* A place for the host to keep its connections to the server. */
void **GwServer_User(GwServer *s);

/* One line of state for dumps: appended to `out` as JSON. */
void GwRouter_Dump(const GwRouter *r, int64_t now_us, GString *out);

#endif
