/* Private to lib/config: state of the synchronisation of the configuration. */
#ifndef GW_CONFIG_SYNC_INTERNAL_H
#define GW_CONFIG_SYNC_INTERNAL_H

#include "common/log_events.h"
#include "common/rng.h"
#include "config/sync.h"

#ifndef GW_MUTANT
#define GW_MUTANT 0
#endif

#define GW_SYNC_PEERS            4
#define GW_SYNC_START_SPREAD_US  250000LL  /* first poll, at random */
#define GW_SYNC_PEER_TIMEOUT_US  1000000LL /* of a request to a peer */
#define GW_SYNC_TABLE_TIMEOUT_US 3000000LL /* of a request to the table */
#define GW_SYNC_SETTLE_US        1000000LL /* wait before peers alone suffice */
/* How long an entry may serve with a configuration older than the highest
 * known version. */
#define GW_SYNC_BEHIND_MAX_US 10000000LL
/* The poll period is at least GW_SYNC_POLL_PER_ENTRY_US times the number of
 * live entries; this lower bound is at most GW_SYNC_POLL_SHARED_MAX_US. */
#define GW_SYNC_POLL_PER_ENTRY_US  15000LL
#define GW_SYNC_POLL_SHARED_MAX_US 10000000LL
/* A peer is ignored after this many requests without result, unless a
 * heartbeat arrived within GW_SYNC_PEER_FRESH_US. */
#define GW_SYNC_PEER_REQUESTS_MAX 3
#define GW_SYNC_PEER_FRESH_US     5000000LL
/* Bound on the doublings of the poll period while the table is unavailable. */
#define GW_SYNC_BACKOFF_MAX 3

/* A peer that has announced a version above this node's. */
typedef struct {
    GwNodeId id;
    char address[GW_ADDR_MAX];
    uint64_t version;
    int64_t heard_us;
    int64_t requested_us; /* 0: never */
    uint32_t request_count;
} GwSyncPeer;

typedef struct {
    uint64_t version;
    uint64_t checksum;
    const char *text;
    uint32_t len;
    const char *source;
} GwSyncDoc;

struct GwSync_s {
    GwNodeParams params;
    GwRng rng;
    GwConfig *config;
    int64_t first_peer_us; /* when the first heartbeat arrived; 0: never */
    bool head_read;        /* the table has answered since the start */
    uint64_t head_version;
    uint64_t head_checksum;
    uint64_t refused_version; /* its document in the table was invalid */
    /* Time since which a higher version is known; 0: none is. */
    int64_t behind_since_us;
    bool has_served; /* has been ready since the start */
    int64_t next_poll_us;
    int64_t next_doc_us;
    uint32_t table_failures;
    uint32_t entries; /* live entries, as counted by membership */
    uint64_t next_token;
    struct {
        uint64_t token;       /* 0: none in flight */
        uint64_t doc_version; /* of the document requested; 0: the head */
        int64_t sent_us;
    } table;
    struct {
        bool active;
        GwNodeId id;
        int64_t sent_us;
    } peer_request;
    GwSyncPeer peers[GW_SYNC_PEERS];
};

/* sync.c */
uint64_t GwSync_Version(const GwSync *s);
uint64_t GwSync_WantedVersion(const GwSync *s, int64_t now_us);
void GwSync_UpdateBehind(GwSync *s, int64_t now_us);
bool GwSync_Adopt(GwSync *s, int64_t now_us, const GwSyncDoc *doc,
                  GwActions *out);

/* fetch.c */
void GwSync_GetHead(GwSync *s, int64_t now_us, GwActions *out);
void GwSync_Fetch(GwSync *s, int64_t now_us, GwActions *out);
void GwSync_TableFailed(GwSync *s, int64_t now_us, GwActions *out);

#endif
