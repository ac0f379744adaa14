/* Simulated cluster on virtual time: nodes with the real decision code, a
 * seeded message queue, and simulated backend servers, table and instance
 * list. A seed reproduces a run exactly. */
#ifndef FAKES_CLUSTER_H
#define FAKES_CLUSTER_H

#include "common/heap.h"
#include "common/rng.h"
#include "godwitridge.h"

#include <glib.h>

#define FAKE_MS           1000LL
#define FAKE_SEC          1000000LL
#define FAKE_REGIONS_MAX  8
#define FAKE_SERVICES_MAX 4
#define FAKE_EVENT_KINDS  (GW_EVENT_GRACEFUL_STOP + 1)
#define FAKE_MSG_KINDS    (GW_MSG_SEAT_TAKEN + 1)

typedef struct {
    uint64_t seed;
    uint32_t node_count;   /* distributed over the regions, round robin */
    uint32_t region_count; /* named r0, r1, ... */
    uint32_t domains_per_region;
    const char *config_text; /* version 1, in the table from the start */
    int64_t domain_delay_us; /* one way */
    int64_t region_delay_us;
    uint32_t loss_permille; /* of control messages */
    uint32_t duplicate_permille;
    int64_t service_time_us; /* median; drawn from 0.5 to 1.5 times this, and
                              * 4 times as long for 1 in 50 */
    /* Service time of a call by its key instead of a random one; or NULL.
     * A server above its slots then slows down in proportion. */
    int64_t (*work_us)(uint64_t key);
    /* A server refuses calls above slots * this / 100. */
    uint32_t shed_over_percent;
    int64_t list_lag_us;
    bool count_bytes; /* encode each message and sum the sizes */
    bool count_cpu;   /* CPU time of GwNode_Step, by kind of event */
    uint32_t policy;
    void (*tune)(GwNodeParams *params); /* may override parameters */
} FakeClusterParams;

typedef enum {
    FAKE_STORE_OK = 0,
    FAKE_STORE_UNAVAILABLE = 1,   /* no effect, no reply */
    FAKE_STORE_LOSES_REPLIES = 2, /* writes take effect, no reply */
    FAKE_STORE_SLOW = 3,          /* replies after 900 ms */
    FAKE_STORE_RANDOM = 4,        /* one of the above at random per request */
} FakeStoreMode;

typedef struct {
    uint64_t id;
    uint32_t region;
    char address[GW_ADDR_MAX];
    uint32_t slots;
    uint32_t in_flight;
    uint32_t most_in_flight;
    uint32_t runs;
    bool down;            /* connections are refused */
    bool silent;          /* accepts and runs calls, never answers */
    bool resets;          /* runs calls, then resets the connection */
    bool reports_no_load; /* reports a load of 0 */
    bool no_reports;      /* no load in answers or at the health endpoint */
    bool draining;
    int64_t draining_since_us;
    int64_t last_start_us; /* start of the last call */
    int64_t busy_until_us; /* end of the last call */
    uint32_t slow_factor;  /* 0 and 1: normal speed */
} FakeBackend;

typedef struct {
    GwNode *node; /* NULL if crashed or not started */
    GwNodeParams params;
    uint32_t region;
    uint32_t domain;
    uint32_t epoch; /* incremented by each start; voids older events */
    int64_t paused_until_us;
    bool stopped; /* stopped gracefully */
    bool leaving;
    bool is_missing_from_list; /* missing from the list though running */
    uint64_t messages_sent;
    uint64_t bytes_sent;
    int64_t config_at_us; /* when the last version was applied */
    uint64_t config_version;
    uint64_t version_decreases; /* times the version decreased */
} FakeNode;

/* Runs of one key over all backend servers. */
typedef struct {
    uint64_t key;
    uint32_t count;
    int64_t first_us;
    uint32_t sending; /* index of the caller's send that ran first */
} FakeRuns;

/* State and outcome of one logical call of a caller. */
typedef struct {
    uint64_t key;
    uint32_t node;
    bool idempotent;
    bool done;
    GwOutcome outcome;
    GwReason reason;
    GwTicket ticket;
    int64_t sent_us;
    int64_t ended_us;
    bool wrong_answer;
    bool not_sent; /* the entry was down, so the connection failed */
    uint32_t service;
    uint64_t handle; /* at the entry */
    bool is_disconnected;
} FakeCallerCall;

typedef struct {
    uint32_t sent;
    uint32_t answered;
    uint32_t not_run;
    uint32_t unknown;
    uint32_t unfinished; /* no outcome though the entry still runs */
    uint32_t doubled;
    uint32_t false_refusals;
    uint32_t wrong_answers;
    uint32_t over_slots; /* servers with more calls in flight than slots */
    uint32_t cut_off;
    uint32_t late_ms; /* latest start of a call after a drain began */
} FakeCallsReport;

/* Cost of the run so far, over all nodes. */
typedef struct {
    uint64_t step_ns[FAKE_EVENT_KINDS]; /* with count_cpu */
    uint64_t steps[FAKE_EVENT_KINDS];
    uint64_t message_bytes[FAKE_MSG_KINDS]; /* with count_bytes */
    uint64_t messages[FAKE_MSG_KINDS];
    uint64_t table_bytes; /* rows read and written, encoded as JSON */
    uint64_t list_bytes;  /* lists read, encoded as JSON */
    uint64_t list_reads;
} FakeCosts;

typedef struct FakeCluster_s FakeCluster;
struct FakeCluster_s {
    FakeClusterParams params;
    GwRng rng;
    int64_t now_us;
    FakeNode *nodes;
    GwHeap queue;
    GHashTable *by_address; /* -> index + 1, as by_id */
    GHashTable *by_id;
    FakeCosts costs;
    GHashTable *rows;  /* key -> GwRow, owned */
    GHashTable *hosts; /* host call handle -> FakeHostCall, owned */
    GPtrArray *backends;
    GHashTable *runs; /* key -> FakeRuns, of non-idempotent calls */
    GPtrArray *calls; /* FakeCallerCall, owned */
    FakeStoreMode store;
    uint64_t table_reads;
    uint64_t table_writes;
    uint64_t next_handle;
    bool cut[FAKE_REGIONS_MAX][FAKE_REGIONS_MAX];
    /* 1 + index of the node that is isolated from all others; 0: none. */
    uint32_t isolated;
    /* Calls shifted from one region to another, [service][from][to]: now and
     * at most. */
    uint32_t shifted[FAKE_SERVICES_MAX][FAKE_REGIONS_MAX][FAKE_REGIONS_MAX];
    uint32_t most_shifted[FAKE_SERVICES_MAX][FAKE_REGIONS_MAX]
                         [FAKE_REGIONS_MAX];
    uint32_t cut_off; /* calls still open at the end of a graceful stop */
    void (*watch)(FakeCluster *c); /* called after each step */
    void *watch_ctx;
    /* Called with each action before it is executed. */
    void (*see)(FakeCluster *c, uint32_t node, const GwAction *action);
};

FakeCluster *FakeCluster_Create(const FakeClusterParams *params);
void FakeCluster_Free(FakeCluster *c);
void FakeCluster_Run(FakeCluster *c, int64_t until_us);

void FakeCluster_Start(FakeCluster *c, uint32_t node);
void FakeCluster_Crash(FakeCluster *c, uint32_t node);
void FakeCluster_Pause(FakeCluster *c, uint32_t node, int64_t for_us);
void FakeCluster_Stop(FakeCluster *c, uint32_t node);
void FakeCluster_CutRegions(FakeCluster *c, uint32_t a, uint32_t b, bool cut);
/* Writes the next configuration version, as an accepted change of an operator,
 * and offers it to `node` as its admin server does; GW_NONE: to no node.
 * Returns the version. */
uint64_t FakeCluster_Change(FakeCluster *c, const char *text, uint32_t node);

FakeBackend *FakeCluster_Backend(FakeCluster *c, uint32_t i);
/* Sends a call now. A ticket of an earlier call makes this a resend; `key` 0
 * creates a new key. Returns the index in c->calls. */
uint32_t FakeCluster_Call(FakeCluster *c, uint32_t node, const char *service,
                          bool idempotent, const GwTicket *ticket,
                          uint64_t key, int64_t deadline_us);
/* The caller closes its connection; the entry must still emit one FINISH. */
void FakeCluster_Disconnect(FakeCluster *c, uint32_t index);
FakeCallerCall *FakeCluster_CallAt(FakeCluster *c, uint32_t i);
GwResult FakeCluster_Mint(FakeCluster *c, uint32_t node, GwTicket *out);
FakeCallsReport FakeCluster_CheckCalls(const FakeCluster *c);

/* Size of one service, over all regions. */
typedef struct {
    uint32_t backends;
    uint32_t slots;
    uint32_t drain_place; /* 1 + region whose place drains; 0: none */
} FakeServiceSize;

char *FakeConfig_Sized(uint32_t regions, uint32_t services,
                       const FakeServiceSize *sizes, uint32_t cap,
                       uint32_t seats);
/* Parameters of a configuration document: `backends` servers of `slots` each
 * per region and service; shifts between all regions with `cap` unless 0. */
typedef struct {
    uint32_t regions;
    uint32_t services;
    uint32_t backends;
    uint32_t slots;
    uint32_t cap;
    uint32_t seats;
    const FakeServiceSize *sizes; /* replaces backends and slots; or NULL */
    uint32_t region;              /* in which the flags below change s0 */
    bool drain_place;
    bool without_service; /* omits s0, so that s1 gets its index */
    bool without_place;
    bool without_backend; /* omits the first server of the place */
    bool lowered_slots;   /* every server has one slot less */
    uint32_t percent;     /* of traffic from `region` to the next one */
} FakeConfigSpec;

char *FakeConfig_Build(const FakeConfigSpec *spec);
char *FakeConfig_Text(uint32_t regions, uint32_t services, uint32_t backends,
                      uint32_t slots, uint32_t cap, uint32_t seats);

#endif
