/* State shared by the files of the fleet that follows the store. */
#ifndef GW_TESTS_FAKES_FOLLOW_INTERNAL_H
#define GW_TESTS_FAKES_FOLLOW_INTERNAL_H

#include "common/rng.h"
#include "fakes/follow_fleet.h"
#include "fakes/follow_store.h"

#define MS          1000
#define S           1000000
#define STEP_US     (10 * MS)
#define TICK_US     (50 * MS)
#define SWEEP_TICKS 5
#define REGIONS     3
#define SERVERS     200
#define RING        1024 /* steps that a message may be under way */
#define SUMS_ABOVE  15   /* with more entries, domains have aggregators */
#define CONFIG_KEY  "config"

/* What an entry knows of another one. */
typedef struct {
    uint32_t process; /* 0: no report yet */
    bool serves;
    uint32_t next_ms;
    int64_t reported_us;
    int64_t sent_us; /* last report to it */
    bool is_urgent;
    int64_t proof_sent_us; /* last report to it with proofs */
    GwClockEcho echo;
    GwStoreVersion versions[FOLLOW_TABLE_COUNT];
    uint64_t config; /* in force there */
    GwPeerProof proofs[FOLLOW_TABLE_COUNT];
} FollowPeer;

typedef struct {
    bool is_active;
    bool is_full;
    bool is_lost; /* the provider does not answer */
    uint32_t provider;
    uint32_t provider_process;
    int64_t done_us;
    GwPeerProof proof;
} FollowFetch;

typedef struct FollowRun_s FollowRun;

/* What an entry believes of a server. */
typedef enum {
    FOLLOW_UNKNOWN = 0,
    FOLLOW_READY, /* gets requests */
    FOLLOW_LEFT   /* draining, or gone */
} FollowServerState;

typedef struct {
    FollowRun *run;
    uint32_t index;
    uint32_t region;
    uint32_t domain; /* over all regions */
    uint32_t process;
    int64_t skew_us; /* of its clock */
    GwFollower *followers[FOLLOW_TABLE_COUNT];
    bool is_connected[FOLLOW_TABLE_COUNT]; /* and the connection is idle */
    FollowFetch fetches[FOLLOW_TABLE_COUNT];
    FollowPeer *peers;
    int64_t started_us;
    int64_t tables_seen_us;
    int64_t tick_us; /* next tick */
    uint32_t ticks;
    int64_t awaits_rows_us; /* since then; 0: does not wait */
    uint32_t awaited;
    int64_t paused_until_us;
    int64_t slow_until_us;
    int64_t cut_until_us;
    int64_t disturbed_us; /* last time that it was not in touch */
    uint64_t config;      /* in force */
    FollowServerState servers[SERVERS];
} FollowEntry;

typedef struct {
    uint32_t from;
    uint32_t to;
    uint32_t process; /* of the sender */
    bool serves;
    uint32_t next_ms;
    bool has_proofs;
    GwClockReport clocks;
    uint32_t ages[FOLLOW_TABLE_COUNT]; /* of the proofs, as on the wire */
    GwStoreVersion versions[FOLLOW_TABLE_COUNT];
    uint64_t config;
} FollowReport;

typedef enum {
    FOLLOW_CONFIG = 0,
    FOLLOW_DRAIN,
    FOLLOW_REMOVAL /* of a server that leaves without a word */
} FollowChangeKind;

/* A change and when the store acknowledged it. */
typedef struct {
    int64_t acked_us; /* INT64_MAX: lost, and not written again yet */
    FollowChangeKind kind;
    uint64_t config; /* version */
    uint32_t server;
} FollowChange;

/* What the operator or a server writes again, or a row that lapses, after the
 * store was restored. */
typedef struct {
    int64_t at_us;
    guint change;
} FollowRewrite;

struct FollowRun_s {
    FollowFleetParams params;
    FollowFleetReport report;
    GwRng rng;
    int64_t now_us;
    FollowStore *store;
    FollowEntry *entries;
    uint32_t domains;
    uint32_t processes;
    GArray *network[RING]; /* FollowReport, by step of arrival */
    GArray *changes;       /* FollowChange */
    uint32_t burst;        /* changes left that follow at once */
    int64_t next_change_us;
    int64_t next_fault_us;
    int64_t store_disturbed_us;
    GArray *rewrites;    /* FollowRewrite */
    int64_t restore_us;  /* when the store is restored; 0: it is not */
    uint32_t restores;   /* left that follow */
    int64_t restored_us; /* last time; 0: never */
    uint64_t newest_config;
    uint64_t server_seq;   /* of the last row that a server wrote */
    uint32_t one_way_from; /* domains */
    uint32_t one_way_to;
    int64_t one_way_until_us;
};

uint32_t FollowRun_Below(FollowRun *run, uint32_t most);
/* The entry's clock. */
int64_t FollowEntry_Clock(const FollowRun *run, const FollowEntry *e);
/* One-way delay between two entries, and to the store. */
int64_t FollowRun_WayUs(const FollowEntry *from, const FollowEntry *to);
int64_t FollowRun_StoreWayUs(const FollowEntry *e);
/* Whether a message gets from one to the other now. */
bool FollowRun_IsReached(const FollowRun *run, const FollowEntry *from,
                         const FollowEntry *to);
/* Starts the entry, again if it runs. */
void FollowEntry_Start(FollowRun *run, FollowEntry *e);
void FollowEntry_Stop(FollowEntry *e);
/* Runs what is due at the entry. */
void FollowEntry_Step(FollowRun *run, FollowEntry *e);
void FollowEntry_OnAnswer(FollowRun *run, FollowEntry *e, CallAnswer *answer);

/* Version of the entry's copy of a table. */
GwStoreVersion FollowEntry_Version(const FollowEntry *e, int table);
/* Whether it has both tables. */
bool FollowEntry_IsLoaded(const FollowEntry *e);
/* Fetches what the entry lacks from a peer, if that is due. */
void FollowEntry_FetchFrom(FollowRun *run, FollowEntry *e, uint32_t provider);

/* follow_reports.c */
void FollowEntry_SendDueReports(FollowRun *run, FollowEntry *e);
void FollowEntry_OnReport(FollowRun *run, FollowEntry *e,
                          const FollowReport *report);

/* follow_faults.c */
/* Makes changes and faults that are due. */
void FollowRun_Disturb(FollowRun *run);
/* Counts what breaks a rule at the entry. */
void FollowRun_Check(FollowRun *run, FollowEntry *e);

#endif
