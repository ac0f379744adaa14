/* Internals of the outage simulation. */
#ifndef GW_TESTS_FAKES_OUTAGES_INTERNAL_H
#define GW_TESTS_FAKES_OUTAGES_INTERNAL_H

#include "fakes/outages.h"

#include "common/heap.h"
#include "common/rng.h"
#include "edge/gossip.h"
#include "router/router_internal.h"

#include <string.h>

/* A server without requests for this long is idle. */
#define IDLE_AFTER_US 300000
/* A server is idle below this share of the average requests of the others. */
#define IDLE_SHARE          0.1
#define LIMITS_MAX          128
#define SUSPECTS_MAX        64 /* per datagram */
#define START_US            1000000
#define SAME_REGION_US      1000
#define CROSS_REGION_US     20000
#define REGIONS             3
#define SLOTS               6
#define WORK_MIN_US         40000
#define WORK_SPREAD_US      120000
#define RESTART_US          2500000
#define POWER_LOSS_US       2000000
#define CONNECT_TIMEOUT_US  300000
#define TCP_USER_TIMEOUT_US 1200000
#define REGISTRY_LAG_US     150000
/* Time until the registry drops a stopped server. */
#define REGISTRY_EXPIRY_US 4500000
#define REPORT_US          50000
#define REPORTS_PER_S      40
#define LOSS_PERMILLE      20
/* Number of requests that recur. */
#define POPULAR 12
/* Number of these that get 60 % of all traffic with params.hot. */
#define HOT             2
#define CRASHER_US      250000
#define CONTACT_US      (OUTAGE_GOSSIP_MS * 1000LL)
#define ENTRY_FAULT_US  700000
#define REPEAT_REACH_US 500000

typedef struct OutageWorld_s World;
typedef struct Attempt_s Attempt;

/* What a server has said to one entry, as its rules are judged. */
typedef struct {
    uint32_t incarnation; /* of the entry, plus one */
    int64_t leaving_us;   /* it passed on an answer that says so; 0: none */
    int64_t rest_us;      /* the first refusal of the current rest; 0: none */
    int64_t rest_until_us;
    uint32_t in_rest;
} OutageStatement;

typedef struct {
    uint32_t index;
    char id[16];
    uint32_t region;
    char domain[16];
    uint64_t born_ms;
    bool listening;
    bool is_powered_off;
    bool draining;
    bool drains_silently; /* does not announce its drain */
    bool is_leaving;      /* says so in its answers */
    int64_t sheds_until_us;
    int64_t rest_us; /* that it asks for while it sheds */
    int64_t idle_since_us;
    OutageStatement *statements; /* by entry */
    GQueue running;              /* Attempt */
    bool is_limited;
    int64_t limit_us;        /* since when a limit is stated; 0: never */
    GArray *arrivals;        /* int64_t us, from entries that know the limit */
    int64_t *limit_known_us; /* by entry: first answer with the limit */
    /* Requests later than OUTAGE_GOSSIP_MS after the limit was stated. */
    uint32_t limited_requests;
    uint32_t requests_after_limit;
} Server;

/* Kept connections of an entry to a server. */
typedef struct {
    uint32_t idle;
    int64_t used_us;
} OutageLink;

typedef struct {
    World *world;
    uint32_t index;
    uint32_t region;
    OutageLink *links; /* by server */
    int64_t links_cut_until_us;
    uint32_t told_unreached; /* services, as last told to others */
    int64_t told_us;
    int64_t unreached_us; /* when a service was last unreached */
    GwRouter *router;
    GArray *actions;
    GwGossipPeer *peers;
    GwGossipPeer *limit_peers;
    uint32_t from;
    uint32_t next_peer;
    int64_t suspects_marked_us;
    int64_t limits_marked_us;
    bool *must_send;
    GHashTable *handles; /* GwServer in use by the core */
    bool is_tick_scheduled;
    uint32_t incarnation;
    int64_t frozen_until_us;
    int64_t cut_until_us;
    int64_t last_fault_us; /* end of the last fault */
} Entry;

typedef struct {
    GwFingerprint fingerprint;
    char path[32];
    char key[16];
    bool crashes;
    uint32_t crash_count;
    int64_t third_crash_us;
    uint32_t sends_after;
    uint32_t runs; /* begun */
} Content;

/* Whether a first try counts for the comparison of entries with and without
 * links to servers. */
typedef enum {
    OUTAGE_LINKS_IGNORED = 0,
    OUTAGE_LINKS_CUT,
    OUTAGE_LINKS_UP /* while other entries are cut */
} OutageLinks;

typedef struct Hop_s Hop;

typedef struct {
    World *world;
    Content *content;
    OutageLinks links; /* at its first try */
    Hop *hop;          /* in progress at another entry; or NULL */
    Hop *inner_of;     /* arrived from another entry; or NULL */
    uint32_t runs;     /* of the content, when it arrived */
    Entry *entry;
    uint32_t incarnation; /* of the entry */
    GwRequest *request;
    Attempt *attempt;
    bool own_content;
    int64_t arrived_us;
    uint32_t tries;
    bool over;
} Call;

struct Attempt_s {
    Call *call;
    Server *server;
    GwServer *handle;
    uint64_t born_ms;
    int64_t connect_us; /* of a new connection */
    bool dropped;
    bool ended;
    GwAttemptEnd end;
};

/* A request that one entry passes on to another. */
struct Hop_s {
    Call *outer;
    Call *inner; /* NULL until it arrives */
    Entry *to;
    uint32_t incarnation; /* of the entry that passes it on */
    int64_t left_us;
    int64_t objective_left_us;
    bool is_dropped;
    bool has_ended;
    GwPassedOnEnd end;
};

/* Which services an entry doesn't reach. */
typedef struct {
    Entry *from;
    Entry *to;
    uint32_t count;
    uint32_t unreached[GW_UNREACHED_MAX];
} ReachReport;

typedef struct {
    Entry *from;
    Entry *to;
    uint64_t limits_checksum;
    uint32_t limit_count;
    GwLimit limits[LIMITS_MAX];
    uint32_t to_incarnation;
    uint64_t checksum;
    uint32_t count;
    GwSuspect suspects[SUSPECTS_MAX];
} Datagram;

typedef struct {
    Entry *entry;
    uint32_t incarnation;
    Server *server;
    GwServer *handle;
    uint64_t born_ms;
} Probe;

typedef enum {
    EV_ARRIVE = 1,
    EV_CRASHER,
    EV_RETRY,
    EV_TICK,
    EV_WRITE,
    EV_DELIVER,
    EV_RUN_END,
    EV_ANSWER,
    EV_CRASH,
    EV_RESTART,
    EV_REGISTRY_ROW,
    EV_REGISTRY_EXPIRY,
    EV_REPORT,
    EV_DATAGRAM,
    EV_PROBE_END,
    EV_OUTAGE,
    EV_ENTRY_FAULT,
    EV_LIMIT,
    EV_LIMIT_END,
    EV_HOP,
    EV_HOP_END,
    EV_REACH
} EventKind;

typedef struct {
    EventKind kind;
    uint32_t place;
    void *subject;
} Event;

struct OutageWorld_s {
    const OutageParams *p;
    GwRng rng;
    int64_t now_us;
    GwHeap events;
    Entry *entries;
    Server *servers;
    Content *crashers;
    Content popular[POPULAR];
    GPtrArray *calls;
    GPtrArray *attempts;
    GPtrArray *hops;
    int64_t links_cut_us;
    int64_t links_cut_until_us;
    GPtrArray *contents;
    GwRouting *routing;
    uint32_t outage_step;
    uint64_t lost_answer_permille;
    uint64_t invalid_answer_permille;
    uint64_t next_content;
    bool is_quarantine_noted;
    bool have_limits_ended;
    OutageReport report;
};

/* outages.c */
void Outages_Schedule(World *w, int64_t when_us, EventKind kind,
                      void *subject);
uint32_t Outages_RandomBelow(World *w, uint32_t n);
bool Outages_Chance(World *w, uint64_t permille);
int64_t Outages_DelayUs(const Entry *entry, const Server *s);

/* outages_entries.c */
bool OutageEntry_IsFrozen(const Entry *e);
bool OutageEntry_IsReachable(const Entry *e);
void OutageEntry_PutServer(Entry *e, const Server *s, bool draining);
void OutageEntry_Start(World *w, Entry *e);
void OutageEntry_Stop(Entry *e);
GwRouting *Outages_CreateRouting(void);

/* outages_callers.c */
Entry *Outages_RandomEntry(World *w);
void OutageCall_Arrive(Call *call);
Content *Outages_NewContent(World *w, bool crashes, bool once);
void Outages_NewCall(World *w);
void Outages_CallCrasher(World *w, Content *content);
void OutageCall_End(Call *call, const GwRouterAction *act);

/* outages_servers.c */
void OutageAttempt_AnswerAt(World *w, Attempt *a, int64_t when_us,
                            GwAttemptEnd end);
GwAttemptEnd OutageAttempt_ConnectionLost(const Attempt *a);
void OutageServer_Crash(World *w, Server *s, int64_t restart_us);
void OutageServer_LosePower(World *w, Server *s);
void OutageServer_Restart(World *w, Server *s);
void OutageServer_SendRow(World *w, const Server *s);
void OutageServer_Expire(World *w, const Server *s);
void OutageAttempt_Deliver(World *w, Attempt *a);
void OutageAttempt_Crash(World *w, Attempt *a);
void OutageAttempt_EndRun(World *w, Attempt *a);
void Outages_StartLimits(World *w);
void Outages_EndLimits(World *w);
void Outages_SummarizeLimits(World *w);

/* outages_backpressure.c */
void Outages_InjectBackpressure(World *w, uint32_t step);
bool OutageServer_IsShedding(const Server *s, int64_t now_us);
void OutageServer_ForgetStatements(const World *w, Server *s);
void OutageEntry_ForgetStatements(World *w, const Entry *e);
void OutageAttempt_Connect(World *w, Attempt *a);
void OutageAttempt_Write(World *w, Attempt *a);
void OutageServer_CheckStatements(World *w, const Attempt *a);
void OutageServer_Shed(World *w, Attempt *a);
void OutageServer_NoteAnswer(World *w, const Attempt *a);
void Outages_CheckRefusal(World *w, const Call *call, GwReplyReason why);

/* outages_host.c */
void OutageCall_Drop(Call *call);
void OutageEntry_RunActions(Entry *e);
void OutageAttempt_Answer(World *w, Attempt *a);
void OutageProbe_End(World *w, Probe *p);
void OutageDatagram_Receive(World *w, Datagram *d);
void Outages_Report(World *w);

/* outages_links.c */
OutageLinks OutageEntry_Links(const Entry *e);
void OutageAttempt_UseLink(World *w, Attempt *a, bool reuses_connection);
void OutageAttempt_ReturnLink(World *w, const Attempt *a);
GwProbeResult OutageProbe_CutResult(const Probe *p);
int64_t OutageProbe_DelayUs(World *w, const Entry *e);
void Outages_CutLinks(World *w, uint32_t step);
void OutageEntry_TellReach(World *w, Entry *e);
void OutageEntry_PutPeer(Entry *e, const Entry *peer,
                         const ReachReport *report);
void OutageReach_Receive(ReachReport *report);

/* outages_hops.c */
void OutageCall_PassOn(Call *call, const GwRouterAction *act);
void OutageHop_Arrive(World *w, Hop *hop);
void OutageHop_EndInner(Call *inner, const GwRouterAction *act);
void OutageHop_End(World *w, Hop *hop);
void OutageHop_Drop(Hop *hop);
void OutageEntry_LoseHops(World *w, const Entry *e);

/* outages_faults.c */
void Outages_InjectOutage(World *w);
void Outages_InjectEntryFault(World *w);

#endif
