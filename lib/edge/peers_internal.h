/* What the parts of the exchange between entries share. */
#ifndef GW_EDGE_PEERS_INTERNAL_H
#define GW_EDGE_PEERS_INTERNAL_H

#include "edge/edge_internal.h"
#include "edge/news.h"

/* Addresses in an answer of the directory, and told to a new entry. */
#define GW_KNOWN_MAX 64

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
    uint32_t told; /* reports sent to it */
    bool hurry;    /* the next report goes with the next tick */
    int64_t added_us;
    uint64_t operator_version;
    uint64_t server_version;
    uint32_t link_kbps; /* of its instance; 0: it has not said */
    uint32_t cpu_milli;
    uint32_t news_bytes;    /* of operators' rows that it has and we lack */
    GArray *backlog;        /* GwPlacement still to be told to it; or NULL */
    uint64_t backlog_start; /* of the process that it was made for */
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
    uint32_t live;  /* peers that are heard */
    /* News that another of the failure domain is left to fetch, since then,
     * and who has it. */
    bool behind;
    int64_t behind_since_us;
    char teller[32];
    GwConn *join;
    GwJoinStep step;
    int64_t join_at_us;
    GArray *loads;      /* reused */
    GArray *placements; /* reused */
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
bool GwPeers_ListenReports(GwPeers *peers);

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
