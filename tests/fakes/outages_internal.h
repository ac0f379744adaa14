/* What the parts of the outages share. */
#ifndef GW_TESTS_FAKES_OUTAGES_INTERNAL_H
#define GW_TESTS_FAKES_OUTAGES_INTERNAL_H

#include "fakes/outages.h"

#include "common/heap.h"
#include "common/rng.h"
#include "edge/gossip.h"
#include "router/router_internal.h"

#include <string.h>

#define IDLE_SHARE    0.1 /* of what other servers get */
#define LIMITS_MAX    128
#define SUSPECTS_MAX  64 /* of one datagram */
#define START_US      1000000
#define NEAR_US       1000
#define FAR_US        20000
#define REGIONS       3
#define SLOTS         6
#define WORK_MIN_US   40000
#define WORK_SPREAD   120000
#define RESTART_US    2500000
#define DARK_US       2000000
#define SILENT_US     300000 /* until a connection attempt is given up */
#define USER_TIMEOUT  1200000
#define ROW_LAG_US    150000
#define LAPSE_US      4500000 /* until the registry drops a dead server */
#define REPORT_US     50000
#define REPORTS_PER_S 40
#define LOSS_PERMILLE 20
/* Requests that come again and again. */
#define POPULAR 12
/* Of those that get half of all traffic, where params.hot. */
#define HOT            2
#define CRASHER_US     250000
#define CONTACT_US     (OUTAGE_CONTACT_MS * 1000LL)
#define ENTRY_FAULT_US 700000

typedef struct OutageWorld_s World;
typedef struct Attempt_s Attempt;

typedef struct {
    uint32_t number;
    char id[16];
    uint32_t region;
    char domain[16];
    uint64_t born;
    bool listening;
    bool dark;
    bool draining;
    bool says_nothing; /* of its drain */
    GQueue running;    /* Attempt */
    bool is_limited;
    int64_t limit_us; /* since when it names one */
    GArray *arrivals; /* int64_t us, that count */
    int64_t *told_us; /* each entry, by an answer that it passed on */
    uint32_t got;     /* while limited, once entries had time */
    uint32_t got_after;
} Server;

typedef struct {
    World *world;
    uint32_t number;
    uint32_t region;
    GwRouter *router;
    GArray *actions;
    GwGossipPeer *peers;
    GwGossipPeer *limit_peers;
    uint32_t from;
    uint32_t next_peer;
    int64_t spread_us;
    int64_t limits_spread_us;
    bool *hurry;
    GHashTable *handles; /* GwServer that the core has not given up */
    bool armed;
    uint32_t life;
    int64_t frozen_until_us;
    int64_t cut_until_us;
    int64_t touch_us; /* the last fault that it had */
} Entry;

typedef struct {
    GwFingerprint fingerprint;
    char path[32];
    char key[16];
    bool crashes;
    uint32_t crash_count;
    int64_t third_us;
    uint32_t sends_after;
} Content;

typedef struct {
    World *world;
    Content *content;
    Entry *entry;
    uint32_t life; /* of the entry */
    GwRequest *request;
    Attempt *attempt;
    bool own_content;
    uint32_t tries;
    bool over;
} Call;

struct Attempt_s {
    Call *call;
    Server *server;
    GwServer *handle;
    uint64_t born;
    bool dropped;
    bool ended;
    GwAttemptEnd end;
};

typedef struct {
    Entry *from;
    Entry *to;
    uint64_t limits_sum;
    uint32_t limit_count;
    GwLimit limits[LIMITS_MAX];
    uint32_t to_life;
    uint64_t sum;
    uint32_t count;
    GwSuspect suspects[SUSPECTS_MAX];
} Datagram;

typedef struct {
    Entry *entry;
    uint32_t life;
    Server *server;
    GwServer *handle;
    uint64_t born;
} Probe;

typedef enum {
    EV_ARRIVE = 1,
    EV_CRASHER,
    EV_COMEBACK,
    EV_TICK,
    EV_REACH,
    EV_RAN,
    EV_ANSWER,
    EV_CRASH,
    EV_BACK,
    EV_ROW,
    EV_LAPSE,
    EV_REPORT,
    EV_DATAGRAM,
    EV_PROBED,
    EV_OUTAGE,
    EV_ENTRY_FAULT,
    EV_LIMIT,
    EV_LIMIT_OVER
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
    GPtrArray *contents;
    GwRouting *routing;
    uint32_t outage_step;
    uint64_t lost_permille;
    uint64_t spoilt_permille;
    uint64_t next_content;
    bool crashes_told;
    bool limits_over;
    OutageReport report;
};

/* outages.c */
void Outages_At(World *w, int64_t when_us, EventKind kind, void *subject);
uint32_t Outages_Below(World *w, uint32_t n);
bool Outages_Chance(World *w, uint64_t permille);
int64_t Outages_WayUs(const Entry *entry, const Server *s);

/* outages_entries.c */
bool OutageEntry_IsFrozen(const Entry *e);
bool OutageEntry_IsInTouch(const Entry *e);
void OutageEntry_PutServer(Entry *e, const Server *s, bool draining);
void OutageEntry_Start(World *w, Entry *e);
void OutageEntry_Stop(Entry *e);
GwRouting *Outages_MakeRouting(void);

/* outages_callers.c */
Entry *Outages_AnyEntry(World *w);
void OutageCall_Arrive(Call *call);
Content *Outages_NewContent(World *w, bool crashes, bool once);
void Outages_NewCall(World *w);
void Outages_CallCrasher(World *w, Content *content);
void OutageCall_End(Call *call, const GwRouterAction *act);

/* outages_servers.c */
void OutageAttempt_AnswerAt(World *w, Attempt *a, int64_t when_us,
                            GwAttemptEnd end);
GwAttemptEnd OutageAttempt_Broken(const Attempt *a);
void OutageServer_Crash(World *w, Server *s, int64_t restart_us);
void OutageServer_GoDark(World *w, Server *s);
void OutageServer_ComeBack(World *w, Server *s);
void OutageServer_TellRow(World *w, const Server *s);
void OutageServer_Lapse(World *w, const Server *s);
void OutageAttempt_Reach(World *w, Attempt *a);
void OutageAttempt_Crash(World *w, Attempt *a);
void OutageAttempt_Ran(World *w, Attempt *a);
void Outages_LimitSome(World *w);
void Outages_EndLimits(World *w);
void Outages_SumUpLimits(World *w);

/* outages_host.c */
void OutageCall_Drop(Call *call);
void OutageEntry_Carry(Entry *e);
void OutageAttempt_Answer(World *w, Attempt *a);
void OutageProbe_End(World *w, Probe *p);
void OutageDatagram_Take(World *w, Datagram *d);
void Outages_Report(World *w);

/* outages_faults.c */
void Outages_PlayOutage(World *w);
void Outages_PlayEntryFault(World *w);

#endif
