/* Private to lib/config: the state of the spread of the configuration. */
#ifndef GW_CONFIG_SYNC_INTERNAL_H
#define GW_CONFIG_SYNC_INTERNAL_H

#include "common/log_events.h"
#include "common/rng.h"
#include "config/sync.h"

#ifndef GW_MUTANT
#define GW_MUTANT 0
#endif

#define GW_SYNC_PEERS         4
#define GW_SYNC_START_US      250000LL
#define GW_SYNC_ASK_US        1000000LL  /* a peer's answer is given up */
#define GW_SYNC_TABLE_US      3000000LL  /* the table's answer is given up */
#define GW_SYNC_SETTLE_US     1000000LL  /* peers' word alone is waited for */
#define GW_SYNC_BEHIND_US     10000000LL /* serving on an older version */
#define GW_SYNC_ENTRY_US      15000LL    /* longer poll for each live entry */
#define GW_SYNC_SHARED_MAX_US 10000000LL /* at most */
#define GW_SYNC_TRIES         3 /* asks without use, then a silent peer is out */
#define GW_SYNC_FRESH_US      5000000LL
/* Polls of an absent table slow down by doubling, at most this often. */
#define GW_SYNC_BACKOFF_MAX 3

/* A peer that named a version above ours. */
typedef struct {
    GwNodeId id;
    char address[GW_ADDR_MAX];
    uint64_t version;
    int64_t heard_us;
    int64_t asked_us; /* 0 never */
    uint32_t tries;
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
    int64_t peer_us; /* when the first peer was heard; 0 never */
    bool head_read;  /* the table answered since the start */
    uint64_t head_version;
    uint64_t head_checksum;
    uint64_t refused_version; /* the table's document of it can't be used */
    int64_t behind_us;        /* since when a higher version is known; 0 not */
    bool served;              /* was ready once */
    int64_t next_poll_us;
    int64_t next_doc_us;
    uint32_t table_fails;
    uint32_t entries; /* live ones, as membership counts */
    uint64_t next_token;
    struct {
        uint64_t token; /* 0: none in flight */
        uint64_t doc;   /* version of the document asked for; 0: the head */
        int64_t sent_us;
    } table;
    struct {
        bool active;
        GwNodeId id;
        int64_t sent_us;
    } ask;
    GwSyncPeer peers[GW_SYNC_PEERS];
};

/* sync.c */
uint64_t GwSync_Have(const GwSync *s);
uint64_t GwSync_Wanted(const GwSync *s, int64_t now_us);
void GwSync_NoteBehind(GwSync *s, int64_t now_us);
bool GwSync_Adopt(GwSync *s, int64_t now_us, const GwSyncDoc *doc,
                  GwActions *out);

/* fetch.c */
void GwSync_GetHead(GwSync *s, int64_t now_us, GwActions *out);
void GwSync_Fetch(GwSync *s, int64_t now_us, GwActions *out);
void GwSync_TableAway(GwSync *s, int64_t now_us, GwActions *out);

#endif
