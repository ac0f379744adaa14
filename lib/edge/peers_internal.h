/* What the parts of the exchange between entries share. */
#ifndef GW_EDGE_PEERS_INTERNAL_H
#define GW_EDGE_PEERS_INTERNAL_H

#include "edge/edge_internal.h"
#include "edge/load_sum.h"
#include "edge/news.h"
#include "edge/rumor.h"
#include "edge/sum_change.h"

/* Addresses in an answer of the directory, and told to a new entry. */
#define GW_KNOWN_MAX 64
/* Of one report. */
#define GW_REPORT_MAX_BYTES 16384

/* Whose loads a report tells; numbers as on the wire. */
typedef enum {
    GW_LOADS_NONE = 0,
    GW_LOADS_OWN = 1,
    GW_LOADS_DOMAIN = 2, /* the sum of the sender's failure domain */
    GW_LOADS_ALL = 3     /* the sum of all but the receiver */
} GwLoadsTold;

typedef enum {
    GW_RUMORS_SUSPECTS = 0,
    GW_RUMORS_LIMITS,
    GW_RUMORS_COUNT
} GwRumorKind;

/* Another entry, as this one knows it. */
typedef struct {
    char *name; /* "" until the first report: a seed */
    char *region;
    char *domain;
    char *peer_address;
    char *call_address;
    struct sockaddr_in to;
    uint64_t start;      /* names the process; random */
    uint64_t last_start; /* of the process before it */
    uint64_t seq;
    bool serves;
    bool reads;    /* the store, and it answers */
    bool saw_away; /* the store was away until lately, it says */
    bool heard;    /* at least once */
    int64_t heard_us;
    uint32_t next_ms; /* its next report comes within */
    int64_t told_us;
    uint32_t told;       /* reports sent to it */
    uint32_t told_bytes; /* of the last one */
    bool hurry;          /* the next report goes with the next tick */
    int64_t added_us;
    uint64_t operator_version;
    uint64_t server_version;
    uint32_t link_kbps; /* of its instance; 0: it has not said */
    uint32_t cpu_milli;
    uint32_t news_bytes; /* of operators' rows that it has and we lack */
    bool is_first;       /* of its failure domain: it adds up loads */
    GArray *loads;    /* GwPeerLoad that it told, its own or a sum; or NULL */
    int64_t loads_us; /* when; 0: it tells none now */
    GwSumCopy *copy;  /* of the sum that it tells; or NULL */
    GwSumAck ack;     /* what it has of the sum that it is told */
    GArray *backlog;  /* GwPlacement still to be told to it; or NULL */
    uint64_t backlog_start; /* of the process that it was made for */
    GwRumorPeer rumors[GW_RUMORS_COUNT];
} GwPeerEntry;

typedef enum {
    GW_JOIN_WRITE = 1, /* this entry's row */
    GW_JOIN_READ,      /* those of all */
    GW_JOIN_DONE
} GwJoinStep;

struct GwPeers_s {
    GwEdge *edge;
    uv_udp_t udp;
    uv_timer_t timer;
    GHashTable *by_address; /* peer_address -> GwPeerEntry */
    uint64_t start;
    uint64_t seq;
    double stretch; /* of all periods, so that reports stay few */
    uint32_t ups;   /* peers that are heard since the periods were set */
    double stretch_unheard; /* the same for peers that may not be there */
    uint32_t asked_known;   /* peers that were asked for addresses, since */
    int64_t asked_known_us;
    int64_t informed_us; /* a peer had the tables; 0: none was heard of yet */
    bool reads_well;     /* as it was told to all */
    int64_t reads_well_us;
    uint32_t live; /* peers that are heard */
    /* News that another of the failure domain is left to fetch, since then,
     * and who has it. */
    bool behind;
    int64_t behind_since_us;
    char teller[32];
    GwConn *join;
    GwJoinStep step;
    char *join_after; /* the last row read; NULL: none yet */
    int64_t join_at_us;
    bool by_sums;    /* loads are told by way of who adds them up, */
    bool aggregates; /* and in this failure domain this entry does */
    GwLoadSum *sum;  /* reused */
    /* What this entry has added up: of all that told it, and of its failure
     * domain; and when. */
    GwSumSource *all_source;
    GwSumSource *domain_source;
    int64_t all_us;
    int64_t domain_us;
    GwSumMessage *message; /* reused */
    char sums_from[32];    /* who adds up for this entry: its address */
    int64_t sums_heard_us;
    GArray *relayed_domain; /* GwPlacement to pass on, by where from */
    GArray *relayed_region;
    GArray *loads;                      /* reused */
    GArray *placements;                 /* reused */
    int64_t spread_us[GW_RUMORS_COUNT]; /* news was passed on until then */
    uint32_t suspects_from; /* where the next page of them begins */
};

/* The peers that serve and are live, of one region or failure domain, or of
 * all (NULL). No peer may be added or removed meanwhile. */
typedef struct {
    GHashTableIter iter;
    const char *region;
    const char *domain;
    int64_t now_us;
} GwPeerScan;

/* peers.c */
GwPeerScan GwPeers_Scan(const GwPeers *peers, const char *region,
                        const char *domain);
GwPeerEntry *GwPeerScan_Next(GwPeerScan *scan); /* NULL: no more */
GwPeerEntry *GwPeers_Add(GwPeers *peers, const char *address);
bool GwPeerEntry_IsLive(const GwPeerEntry *peer, int64_t now_us);
void GwPeerEntry_DropBacklog(GwPeerEntry *peer);

/* reports.c */
/* `with_known`: tells the addresses of others too. */
void GwPeers_Tell(GwPeers *peers, GwPeerEntry *peer, bool with_known);
void GwPeers_TellDue(GwPeers *peers, int64_t now_us);
/* Sets how much reports are stretched for the peers that are there now. */
void GwPeers_SetPeriods(GwPeers *peers, int64_t now_us);
/* A peer is heard that was not: when all start at once they are many long
 * before the next sweep. */
void GwPeers_NoteUp(GwPeers *peers);
/* Those that were told nothing yet are told in their turn, not all at once. */
void GwPeers_SpreadUntold(GwPeers *peers);

/* reports_in.c */
bool GwPeers_ListenReports(GwPeers *peers);

/* aggregate.c */
/* Decides by whom loads are added up, for the peers that are there now. */
void GwPeers_ChooseAggregators(GwPeers *peers, int64_t now_us);
/* Whose loads the peer is to be told. */
GwLoadsTold GwPeers_LoadsFor(const GwPeers *peers, const GwPeerEntry *peer);
/* Whether this entry counts what the peer tells of loads. */
bool GwPeers_TellsLoads(const GwPeers *peers, const GwPeerEntry *peer);
void GwPeers_CreateSums(GwPeers *peers, uint32_t epoch);
void GwPeers_FreeSums(GwPeers *peers);
/* What this entry's failure domain has in flight, or all that told it. */
const GwSumSource *GwPeers_DomainSource(GwPeers *peers);
const GwSumSource *GwPeers_AllSource(GwPeers *peers);
/* The peer told a change of the sum of its failure domain, or of all. */
void GwPeers_TakeDomainSum(GwPeers *peers, GwPeerEntry *peer,
                           const Gw__Peer__SumChange *change);
void GwPeers_TakeAllSum(GwPeers *peers, GwPeerEntry *peer,
                        const Gw__Peer__SumChange *change);
/* The peer told what it, or its failure domain, has in flight. */
void GwPeers_NoteLoads(GwPeers *peers, GwPeerEntry *peer,
                       const GwPeerLoad *loads, uint32_t count);

/* places.c */
bool GwPeers_IsNear(const GwPeers *peers, const GwPeerEntry *peer);
GwWay GwPeerEntry_Way(const GwPeers *peers, const GwPeerEntry *peer);
/* What the next report tells the peer, in place of `out`: GwPlacement. Returns
 * how many of them, the first, are known to be warm. */
uint32_t GwPeers_PlacementsFor(GwPeers *peers, GwPeerEntry *peer,
                               GwLoadsTold told, uint32_t period_ms,
                               GArray *out);
/* The peer told a new placement; who adds up loads passes it on. */
void GwPeers_RelayPlacement(GwPeers *peers, const GwPeerEntry *from,
                            const GwPlacement *placement);
/* A new entry of the region is told once where objects are warm. */
void GwPeers_MakeBacklog(GwPeers *peers, GwPeerEntry *peer);

/* spread.c */
/* Has a few peers told at once of what has changed since the last call. */
void GwPeers_Spread(GwPeers *peers, GwRumorKind kind, int64_t now_us,
                    int64_t changed_us);

/* suspects.c */
/* Of one report. */
#define GW_SUSPECTS_MAX 64
typedef struct {
    GwSuspect known[GW_SUSPECTS_MAX];
    Gw__Peer__Suspect told[GW_SUSPECTS_MAX];
    Gw__Peer__Suspect *list[GW_SUSPECTS_MAX];
} GwSuspectArrays;

/* Puts into the report what the peer is to be told; it points into `arrays`. */
void GwPeers_FillSuspects(GwPeers *peers, GwPeerEntry *peer,
                          Gw__Peer__Report *report, GwSuspectArrays *arrays);
void GwPeers_TakeSuspects(GwPeers *peers, GwPeerEntry *peer,
                          const Gw__Peer__Report *report);
/* Sees to it that news of suspects reaches every entry soon. */
void GwPeers_SpreadSuspects(GwPeers *peers, int64_t now_us);

/* limits.c */
#define GW_LIMITS_MAX 256
typedef struct {
    GwLimit known[GW_LIMITS_MAX];
    Gw__Peer__Limit told[GW_LIMITS_MAX];
    Gw__Peer__Limit *list[GW_LIMITS_MAX];
} GwLimitArrays;

void GwPeers_FillLimits(GwPeers *peers, GwPeerEntry *peer,
                        Gw__Peer__Report *report, GwLimitArrays *arrays);
void GwPeers_TakeLimits(GwPeers *peers, GwPeerEntry *peer,
                        const Gw__Peer__Report *report);
void GwPeers_SpreadLimits(GwPeers *peers, int64_t now_us);

/* fetch.c */
/* The peer has told its versions. */
void GwPeers_AskForRows(GwPeers *peers, const GwPeerEntry *peer);
/* Fetches rows that have been waited for long enough. */
void GwPeers_AskDue(GwPeers *peers);

/* readers.c */
/* This entry, and a peer, in the order of GwNews_IsBefore. */
GwNewsEntry GwPeers_Own(const GwPeers *peers);
GwNewsEntry GwPeerEntry_AsNews(const GwPeerEntry *peer);
/* Decides whether this entry reads the store. */
void GwPeers_ChooseReader(GwPeers *peers, int64_t now_us);

/* join.c */
void GwPeers_SweepJoin(GwPeers *peers, int64_t now_us);

#endif
