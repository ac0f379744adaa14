/* State and functions shared by the modules that exchange reports between
 * entries. */
#ifndef GW_EDGE_PEERS_INTERNAL_H
#define GW_EDGE_PEERS_INTERNAL_H

#include "edge/edge_internal.h"
#include "edge/load_sum.h"
#include "edge/fetch_tree.h"
#include "edge/gossip.h"
#include "edge/sum_change.h"
#include "store/reader.h"

/* Maximum addresses in a directory answer, and in the bootstrap state sent
 * to a new entry. */
#define GW_KNOWN_ADDRESSES_MAX 64
/* Maximum size of a report. */
#define GW_REPORT_MAX_BYTES 16384

/* First byte of a datagram about quotas. No report begins with it, and entries
 * of earlier builds drop the datagram. */
#define GW_QUOTA_DATAGRAM 0

/* Which loads a report carries. The values are sent on the wire. */
typedef enum {
    GW_LOADS_NONE = 0,
    GW_LOADS_OWN = 1,
    GW_LOADS_DOMAIN = 2, /* sum over the sender's failure domain */
    GW_LOADS_ALL = 3     /* sum over all entries except the receiver */
} GwLoadScope;

typedef enum {
    GW_GOSSIP_SUSPECTS = 0,
    GW_GOSSIP_LIMITS,
    GW_GOSSIP_KIND_COUNT
} GwGossipKind;

/* Another entry: its last reported state and the state of the exchange with
 * it. */
typedef struct {
    char *name; /* "" for a seed, until its first report */
    char *region;
    char *domain;
    char *peer_address;
    char *call_address;
    struct sockaddr_in to;
    uint64_t process_id;      /* random process ID */
    uint64_t last_process_id; /* process ID before the last restart */
    uint64_t seq;
    bool serves;
    bool reads_store;           /* reads the store successfully */
    bool saw_outage;            /* reports a recent store outage */
    bool has_reported;          /* has sent at least one report */
    bool lacks_proof;           /* refuses requests that need a key */
    bool lacks_servers;         /* can't connect to some service */
    uint32_t knows;             /* addresses of entries that it has */
    uint64_t quota_id;          /* GwQuotaMember.id */
    GwClockEcho echo;           /* its clock, to be returned to it */
    int64_t proof_sent_us;      /* last report to it with proofs */
    GwPeerProof operator_proof; /* the last that it sent */
    GwPeerProof server_proof;
    int64_t last_report_us;
    uint32_t next_ms;    /* time to its next report, as it announced */
    int64_t sent_us;     /* last report, or start of the first period */
    uint32_t sent_count; /* reports sent to the peer */
    uint32_t sent_bytes; /* size of the last report sent */
    bool is_urgent;      /* send the next report at the next tick */
    int64_t created_us;
    GwStoreVersion operator_version;
    GwStoreVersion server_version;
    uint64_t config_version; /* in force there */
    uint32_t link_kbps;      /* link of its instance; 0: unknown */
    uint32_t cpu_milli;
    uint32_t missing_bytes; /* of operator rows that only the peer has */
    bool is_aggregator;     /* aggregates the loads of its failure domain */
    GArray *loads;          /* GwPeerLoad received, own or summed; or NULL */
    int64_t loads_received_us; /* time of receipt; 0: sends no loads now */
    GwSumCopy *copy;           /* copy of the sum it sends; or NULL */
    GwSumAck ack;              /* its acknowledgement of the sum sent to it */
    GArray *backlog;           /* GwPlacement not sent to it yet; or NULL */
    uint64_t backlog_process_id; /* process it was built for */
    GwGossipPeer gossip[GW_GOSSIP_KIND_COUNT];
    GArray *demand;          /* GwDemand received; or NULL */
    GwLoadScope demand_of;   /* whose it is; GW_LOADS_NONE: counts no more */
    int64_t demand_as_of_us; /* time that it describes */
    int64_t demand_sent_us;  /* last report to it with demand */
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
    GHashTable *by_address;  /* peer_address -> GwPeerEntry */
    GHashTable *by_quota_id; /* quota_id -> GwPeerEntry, borrowed */
    uint64_t process_id;
    uint64_t seq;
    double period_scale; /* factor on all periods; bounds the report rate */
    uint32_t new_live; /* peers that became live since the periods were set */
    double unseen_period_scale; /* factor for peers that never reported */
    uint32_t address_requests;  /* sent since address_requests_us */
    int64_t address_requests_us;
    int64_t tables_seen_us;   /* first report of a peer with tables; 0: none */
    GwReadReason read_reason; /* as last logged */
    bool announced_reading;   /* as last announced to all peers */
    int64_t announced_us;
    /* The last reads of a newer configuration (fetch_newer_config). */
    uint64_t config_wanted;
    uint32_t config_fetches;
    int64_t config_fetch_us;
    int64_t row_written_us; /* this entry's row in the store; 0: never */
    uint32_t join_era;      /* of the last answer to a call of join.c */
    uint32_t live;          /* number of live peers */
    /* Since awaits_rows_since_us this entry waits for another entry of the
     * failure domain to fetch rows that `provider` (an address) has. */
    bool awaits_rows;
    int64_t awaits_rows_since_us;
    char provider[32];
    GwConn *join;
    GwJoinStep step;
    char *join_after; /* key of the last row read; NULL: none yet */
    int64_t next_join_us;
    bool uses_sums;     /* loads are exchanged through aggregators */
    bool is_aggregator; /* this entry aggregates its failure domain */
    GwLoadSum *sum;     /* reused */
    /* Sums built by an aggregator: over all entries that report to it and
     * over its failure domain, with the times of the last update. */
    GwSumSource *all_source;
    GwSumSource *domain_source;
    int64_t all_updated_us;
    int64_t domain_updated_us;
    GwSumMessage *message; /* reused */
    char aggregator[32];   /* address of this entry's aggregator */
    int64_t sums_received_us;
    /* GwPlacement to relay: received from this failure domain, and from other
     * failure domains of the region. */
    GArray *domain_relays;
    GArray *region_relays;
    GArray *loads;           /* reused */
    GArray *placements;      /* reused */
    GArray *demand;          /* GwDemand, reused */
    int64_t demand_total_us; /* last total computed by this entry */
    int64_t demand_tick_us;  /* the loop ran; 0: not yet */
    int64_t demand_from_us;  /* demand in reports is ignored until then */
    /* Changes up to this time were gossiped. */
    int64_t gossiped_us[GW_GOSSIP_KIND_COUNT];
    uint32_t suspects_cursor; /* start of the next page of suspects */
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
void GwPeers_SendReport(GwPeers *peers, GwPeerEntry *peer, bool with_known);
/* Makes a report fit into a datagram. Returns its packed size, which is still
 * too large if that is not possible. */
size_t GwPeers_ShrinkReport(GwPeerEntry *peer, Gw__Peer__Report *report);
void GwPeers_SendDueReports(GwPeers *peers, int64_t now_us);
/* Recomputes the factors on the report periods from the current peers. */
void GwPeers_SetPeriods(GwPeers *peers, int64_t now_us);
/* A peer became live. Recomputes the periods after several such peers: when
 * all entries start at once, many appear long before the next sweep. */
void GwPeers_NoteLive(GwPeers *peers);
/* Spreads the first reports to new peers over one period, rather than
 * sending all at once. */
void GwPeers_StaggerFirstReports(GwPeers *peers);

/* reports_in.c */
bool GwPeers_ListenReports(GwPeers *peers);

/* aggregate.c */
/* Chooses the aggregators among the current peers. */
void GwPeers_ChooseAggregators(GwPeers *peers, int64_t now_us);
/* Returns the loads that the next report to the peer carries. */
GwLoadScope GwPeers_LoadScopeFor(const GwPeers *peers,
                                 const GwPeerEntry *peer);
/* Whether this entry counts the loads that the peer reports. */
bool GwPeers_CountsLoadsOf(const GwPeers *peers, const GwPeerEntry *peer);
void GwPeers_CreateSums(GwPeers *peers, uint32_t epoch);
void GwPeers_FreeSums(GwPeers *peers);
/* The requests in flight of this entry's failure domain, or of all entries
 * that report to it; rebuilt when out of date. */
const GwSumSource *GwPeers_DomainSource(GwPeers *peers);
const GwSumSource *GwPeers_AllSource(GwPeers *peers);
/* The peer sent a change of the sum over its failure domain, or over all
 * entries. */
void GwPeers_ApplyDomainSum(GwPeers *peers, GwPeerEntry *peer,
                            const Gw__Peer__SumChange *change);
void GwPeers_ApplyAllSum(GwPeers *peers, GwPeerEntry *peer,
                         const Gw__Peer__SumChange *change);
/* Stores the requests in flight of the peer or of its failure domain. */
void GwPeers_NoteLoads(GwPeers *peers, GwPeerEntry *peer,
                       const GwPeerLoad *loads, uint32_t count);

/* placements.c */
bool GwPeers_IsInRegion(const GwPeers *peers, const GwPeerEntry *peer);
GwDistance GwPeerEntry_Distance(const GwPeers *peers, const GwPeerEntry *peer);
/* Replaces `out` with the GwPlacement of the next report to the peer.
 * Returns how many of them, from the front, are known to be warm. */
uint32_t GwPeers_PlacementsFor(GwPeers *peers, GwPeerEntry *peer,
                               GwLoadScope scope, uint32_t period_ms,
                               GArray *out);
/* The peer sent a new placement. An aggregator relays it. */
void GwPeers_RelayPlacement(GwPeers *peers, const GwPeerEntry *from,
                            const GwPlacement *placement);
/* Queues the warm placements for a new entry of the region, once per
 * process. */
void GwPeers_MakeBacklog(GwPeers *peers, GwPeerEntry *peer);

/* gossip_peers.c */
/* Sends the changes since the last call to a few random peers at the next
 * tick. */
void GwPeers_GossipChanges(GwPeers *peers, GwGossipKind kind, int64_t now_us,
                           int64_t changed_us);

/* suspects.c */
/* Maximum suspects in a report. */
#define GW_SUSPECTS_MAX 64
typedef struct {
    GwSuspect known[GW_SUSPECTS_MAX];
    Gw__Peer__Suspect messages[GW_SUSPECTS_MAX];
    Gw__Peer__Suspect *list[GW_SUSPECTS_MAX];
} GwSuspectArrays;

/* Adds the suspects for the peer to the report, which points into `arrays`. */
void GwPeers_FillSuspects(GwPeers *peers, GwPeerEntry *peer,
                          Gw__Peer__Report *report, GwSuspectArrays *arrays);
void GwPeers_ApplySuspects(GwPeers *peers, GwPeerEntry *peer,
                           const Gw__Peer__Report *report);
/* Gossips changed suspects. */
void GwPeers_GossipSuspects(GwPeers *peers, int64_t now_us);

/* limits.c */
/* Maximum limits in a report. */
#define GW_LIMITS_MAX 256
typedef struct {
    GwLimit known[GW_LIMITS_MAX];
    Gw__Peer__Limit messages[GW_LIMITS_MAX];
    Gw__Peer__Limit *list[GW_LIMITS_MAX];
} GwLimitArrays;

void GwPeers_FillLimits(GwPeers *peers, GwPeerEntry *peer,
                        Gw__Peer__Report *report, GwLimitArrays *arrays);
void GwPeers_ApplyLimits(GwPeers *peers, GwPeerEntry *peer,
                         const Gw__Peer__Report *report);
void GwPeers_GossipLimits(GwPeers *peers, int64_t now_us);

/* demand.c */
/* Maximum services and regions in a report. */
#define GW_DEMANDS_MAX 128
typedef struct {
    uint32_t work[GW_DEMANDS_MAX][GW_SHORTAGE_LEVELS];
    Gw__Peer__Demand messages[GW_DEMANDS_MAX];
    Gw__Peer__Demand *list[GW_DEMANDS_MAX];
} GwDemandArrays;

/* Adds the demand that `loads_of` names to a report, if one is due. */
void GwPeers_FillDemand(GwPeers *peers, GwPeerEntry *peer,
                        Gw__Peer__Report *report, GwDemandArrays *arrays);
/* Takes the demand out of a report; it is due again at once. */
void GwPeers_DropDemand(GwPeerEntry *peer, Gw__Peer__Report *report);
void GwPeers_ApplyDemand(GwPeers *peers, GwPeerEntry *peer,
                         const Gw__Peer__Report *report);
/* Adds up the demand of all entries, unless an aggregator does. */
void GwPeers_UpdateDemand(GwPeers *peers, int64_t now_us);

/* fetch.c */
/* The peer reported its table versions. Fetches rows from it if this entry
 * lacks them, or leaves that to another entry of the failure domain for
 * now. */
void GwPeers_FetchRowsFrom(GwPeers *peers, const GwPeerEntry *peer);
/* Fetches missing rows once the wait for the parent entry is over. */
void GwPeers_FetchDueRows(GwPeers *peers);

/* readers.c */
/* Rank of this entry and of a peer, for GwEntryRank_IsBefore. */
GwEntryRank GwPeers_OwnRank(const GwPeers *peers);
GwEntryRank GwPeerEntry_Rank(const GwPeerEntry *peer);
/* Decides whether this entry reads the store. */
void GwPeers_ChooseReader(GwPeers *peers, int64_t now_us);

/* quotas.c */
/* Tells the quotas which entries serve. */
void GwPeers_UpdateQuotaView(GwPeers *peers, int64_t now_us);
/* Handles a datagram about quotas, without its first byte. */
void GwPeers_ReceiveQuota(GwPeers *peers, const char *from,
                          const uint8_t *bytes, size_t len);

/* join.c */
void GwPeers_SweepJoin(GwPeers *peers, int64_t now_us);

#endif
