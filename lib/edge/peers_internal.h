/* State and functions shared by the modules that exchange reports between
 * entries. */
#ifndef GW_EDGE_PEERS_INTERNAL_H
#define GW_EDGE_PEERS_INTERNAL_H

#include "edge/edge_internal.h"
#include "edge/load_sum.h"
#include "edge/news.h"
#include "edge/rumor.h"
#include "edge/sum_change.h"

/* Maximum addresses in a directory answer, and in the bootstrap state sent
 * to a new entry. */
#define GW_KNOWN_MAX 64
/* Of one report. */
#define GW_REPORT_MAX_BYTES 16384

/* Which loads a report carries. The values are sent on the wire. */
typedef enum {
    GW_LOADS_NONE = 0,
    GW_LOADS_OWN = 1,
    GW_LOADS_DOMAIN = 2, /* sum over the sender's failure domain */
    GW_LOADS_ALL = 3     /* sum over all entries except the receiver */
} GwLoadsTold;

typedef enum {
    GW_RUMORS_SUSPECTS = 0,
    GW_RUMORS_LIMITS,
    GW_RUMORS_COUNT
} GwRumorKind;

/* Another entry: its last reported state and the state of the exchange with
 * it. */
typedef struct {
    char *name; /* "" for a seed, until its first report */
    char *region;
    char *domain;
    char *peer_address;
    char *call_address;
    struct sockaddr_in to;
    uint64_t start;      /* random process ID */
    uint64_t last_start; /* process ID before the last restart */
    uint64_t seq;
    bool serves;
    bool reads;    /* reads the store successfully */
    bool saw_away; /* reports a recent store outage */
    bool heard;    /* has sent at least one report */
    int64_t heard_us;
    uint32_t next_ms; /* time until its next report, as announced */
    int64_t told_us;
    uint32_t told;       /* reports sent to the peer */
    uint32_t told_bytes; /* size of the last report sent */
    bool hurry;          /* send the next report at the next tick */
    int64_t added_us;
    uint64_t operator_version;
    uint64_t server_version;
    uint32_t link_kbps; /* link of its instance; 0: unknown */
    uint32_t cpu_milli;
    uint32_t news_bytes; /* size of the operator rows that only the peer has */
    bool is_first;       /* aggregates the loads of its failure domain */
    GArray *loads;       /* GwPeerLoad received, own or summed; or NULL */
    int64_t loads_us;    /* time of receipt; 0: sends no loads now */
    GwSumCopy *copy;     /* copy of the sum it sends; or NULL */
    GwSumAck ack;        /* its acknowledgement of the sum sent to it */
    GArray *backlog;     /* GwPlacement not sent to it yet; or NULL */
    uint64_t backlog_start; /* process ID for which the backlog was built */
    GwRumorPeer rumors[GW_RUMORS_COUNT];
} GwPeerEntry;

typedef enum {
    GW_JOIN_WRITE = 1, /* write this entry's row */
    GW_JOIN_READ,      /* read the rows of all entries */
    GW_JOIN_DONE
} GwJoinStep;

struct GwPeers_s {
    GwEdge *edge;
    uv_udp_t udp;
    uv_timer_t timer;
    GHashTable *by_address; /* peer_address -> GwPeerEntry */
    uint64_t start;
    uint64_t seq;
    double stretch; /* factor on all periods; bounds the report rate */
    uint32_t ups;   /* peers that became live since the periods were set */
    double stretch_unheard; /* the same, for peers that never reported */
    uint32_t asked_known; /* requests for addresses since bootstrap_since_us */
    int64_t asked_known_us;
    int64_t
        informed_us; /* first report of a peer that has the tables; 0: none */
    bool reads_well; /* as last announced to all peers */
    int64_t reads_well_us;
    uint32_t live; /* number of live peers */
    /* Since lacks_rows_since_us this entry waits for another entry of the
     * failure domain to fetch rows that `provider` (an address) has. */
    bool behind;
    int64_t behind_since_us;
    char teller[32];
    GwConn *join;
    GwJoinStep step;
    char *join_after; /* key of the last row read; NULL: none yet */
    int64_t join_at_us;
    bool by_sums;    /* loads are exchanged through aggregators */
    bool aggregates; /* this entry aggregates its failure domain */
    GwLoadSum *sum;  /* reused */
    /* Sums built by an aggregator: over all entries that report to it and
     * over its failure domain, with the times of the last update. */
    GwSumSource *all_source;
    GwSumSource *domain_source;
    int64_t all_us;
    int64_t domain_us;
    GwSumMessage *message; /* reused */
    char sums_from[32];    /* address of this entry's aggregator */
    int64_t sums_heard_us;
    GArray *relayed_domain; /* GwPlacement to relay, by origin */
    GArray *relayed_region;
    GArray *loads;      /* reused */
    GArray *placements; /* reused */
    int64_t
        spread_us[GW_RUMORS_COUNT]; /* changes up to this time were gossiped */
    uint32_t suspects_from;         /* start of the next page of suspects */
};

/* Iterates over the live, serving peers of a region or failure domain
 * (NULL: any). No peer may be added or removed during the scan. */
typedef struct {
    GHashTableIter iter;
    const char *region;
    const char *domain;
    int64_t now_us;
} GwPeerScan;

/* peers.c */
GwPeerScan GwPeers_Scan(const GwPeers *peers, const char *region,
                        const char *domain);
GwPeerEntry *GwPeerScan_Next(GwPeerScan *scan); /* NULL at the end */
GwPeerEntry *GwPeers_Add(GwPeers *peers, const char *address);
bool GwPeerEntry_IsLive(const GwPeerEntry *peer, int64_t now_us);
void GwPeerEntry_DropBacklog(GwPeerEntry *peer);

/* reports.c */
/* Sends a report now. `with_known`: includes the addresses of other peers. */
void GwPeers_Tell(GwPeers *peers, GwPeerEntry *peer, bool with_known);
void GwPeers_TellDue(GwPeers *peers, int64_t now_us);
/* Recomputes the factors on the report periods from the current peers. */
void GwPeers_SetPeriods(GwPeers *peers, int64_t now_us);
/* A peer became live. Recomputes the periods after several such peers: when
 * all entries start at once, many appear long before the next sweep. */
void GwPeers_NoteUp(GwPeers *peers);
/* Spreads the first reports to new peers over one period, rather than
 * sending all at once. */
void GwPeers_SpreadUntold(GwPeers *peers);

/* reports_in.c */
bool GwPeers_ListenReports(GwPeers *peers);

/* aggregate.c */
/* Chooses the aggregators among the current peers. */
void GwPeers_ChooseAggregators(GwPeers *peers, int64_t now_us);
/* Which loads the next report to the peer carries. */
GwLoadsTold GwPeers_LoadsFor(const GwPeers *peers, const GwPeerEntry *peer);
/* Whether this entry counts the loads that the peer reports. */
bool GwPeers_TellsLoads(const GwPeers *peers, const GwPeerEntry *peer);
void GwPeers_CreateSums(GwPeers *peers, uint32_t epoch);
void GwPeers_FreeSums(GwPeers *peers);
/* The requests in flight of this entry's failure domain, or of all entries
 * that report to it; rebuilt when out of date. */
const GwSumSource *GwPeers_DomainSource(GwPeers *peers);
const GwSumSource *GwPeers_AllSource(GwPeers *peers);
/* The peer sent a change of the sum over its failure domain, or over all
 * entries. */
void GwPeers_TakeDomainSum(GwPeers *peers, GwPeerEntry *peer,
                           const Gw__Peer__SumChange *change);
void GwPeers_TakeAllSum(GwPeers *peers, GwPeerEntry *peer,
                        const Gw__Peer__SumChange *change);
/* Stores the requests in flight of the peer or of its failure domain. */
void GwPeers_NoteLoads(GwPeers *peers, GwPeerEntry *peer,
                       const GwPeerLoad *loads, uint32_t count);

/* places.c */
bool GwPeers_IsNear(const GwPeers *peers, const GwPeerEntry *peer);
GwWay GwPeerEntry_Way(const GwPeers *peers, const GwPeerEntry *peer);
/* Replaces `out` with the GwPlacement of the next report to the peer.
 * Returns how many of them, from the front, are known to be warm. */
uint32_t GwPeers_PlacementsFor(GwPeers *peers, GwPeerEntry *peer,
                               GwLoadsTold told, uint32_t period_ms,
                               GArray *out);
/* The peer sent a new placement. An aggregator relays it. */
void GwPeers_RelayPlacement(GwPeers *peers, const GwPeerEntry *from,
                            const GwPlacement *placement);
/* Queues the warm placements for a new entry of the region, once per
 * process. */
void GwPeers_MakeBacklog(GwPeers *peers, GwPeerEntry *peer);

/* spread.c */
/* Sends what changed since the last call to a few random peers at the next
 * tick. */
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

/* Adds the suspects for the peer to the report, which points into `arrays`. */
void GwPeers_FillSuspects(GwPeers *peers, GwPeerEntry *peer,
                          Gw__Peer__Report *report, GwSuspectArrays *arrays);
void GwPeers_TakeSuspects(GwPeers *peers, GwPeerEntry *peer,
                          const Gw__Peer__Report *report);
/* Gossips changed suspects. */
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
/* The peer reported its table versions. Fetches rows from it if this entry
 * lacks them, or leaves that to another entry of the failure domain for
 * now. */
void GwPeers_AskForRows(GwPeers *peers, const GwPeerEntry *peer);
/* Fetches missing rows once the wait for the parent entry is over. */
void GwPeers_AskDue(GwPeers *peers);

/* readers.c */
/* Rank of this entry and of a peer, for GwEntryRank_IsBefore. */
GwNewsEntry GwPeers_Own(const GwPeers *peers);
GwNewsEntry GwPeerEntry_AsNews(const GwPeerEntry *peer);
/* Decides whether this entry reads the store. */
void GwPeers_ChooseReader(GwPeers *peers, int64_t now_us);

/* join.c */
void GwPeers_SweepJoin(GwPeers *peers, int64_t now_us);

#endif
