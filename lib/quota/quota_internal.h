/* State shared by the two sides of a quota: quota.c takes tokens for
 * requests, owner.c holds the buckets of a group. */
#ifndef GW_QUOTA_INTERNAL_H
#define GW_QUOTA_INTERNAL_H

#include "common/rng.h"
#include "quota/quota.h"

#ifndef GW_MUTANT
#define GW_MUTANT 0 /* tests/mutants.sh disables one safeguard at a time */
#endif

/* An entry's parts are ceded for this long, counted from the receipt. */
#define GW_QUOTA_CEDED_US 400000
/* After a BORROW, tokens may have arrived from another region. */
#define GW_QUOTA_BORROW_MS 120

/* One organisation's quota, and this entry's requests under it. */
typedef struct {
    uint64_t hash;
    char *name;
    double rate_per_s;
    double burst;
    /* Granted tokens that are not used yet. */
    double tokens;
    int64_t tokens_until_us;
    /* The ASK in progress; 0: none. */
    uint32_t ask_id;
    uint32_t last_ask_id; /* before that, unanswered; 0: none */
    int64_t asked_us;
    /* After a GRANT of 0. */
    int64_t blocked_until_us;
    uint32_t wait_ms;
    uint32_t again_ms;
    bool is_partial;
    /* Requests that wait for the ASK, and recent requests, decaying. */
    uint32_t waiting;
    double demand;
    int64_t demand_at_us;
    bool is_limited;
    int64_t denied_us;
    uint64_t granted;
    uint64_t denied;
    uint64_t unknown;
} GwQuotaShare;

/* A bucket of the group that this entry owns. */
typedef struct {
    double tokens;
    double credit;  /* value of GwQuotaOwner.credit at the last refill */
    double backlog; /* denied requests, decaying */
    int64_t backlog_at_us;
    uint32_t borrow_id; /* BORROW in progress; 0: none */
    int64_t borrowed_us;
    uint32_t lender; /* index of the next group to borrow from */
} GwQuotaBucket;

/* The parts that entries of the group ceded to this entry. */
typedef struct {
    GHashTable *ceded; /* id -> int64_t, end */
    /* Integral over time of the ceded part of all quotas, in seconds. */
    double credit;
    int64_t credit_at_us;
    int64_t begun_us;    /* last time that new buckets got tokens at once */
    bool gives_start;    /* new buckets get some tokens at once */
    GHashTable *buckets; /* hash of the organisation -> GwQuotaBucket */
} GwQuotaOwner;

struct GwQuota_s {
    GwQuotaParams params;
    GwRng rng;
    GHashTable *shares;  /* hash -> GwQuotaShare */
    GHashTable *by_name; /* name -> GwQuotaShare, borrowed */
    GQueue messages;     /* GwQuotaMessage */
    GArray *members;     /* GwQuotaMember of the own group, by rank */
    GArray *owners;      /* uint64_t, ids of the owners of other groups */
    uint32_t entries;
    uint32_t told_entries; /* largest count that a CEDE stated */
    int64_t told_us;
    bool is_settled;
    uint64_t owner_id; /* of this entry's group; 0: none */
    int64_t owner_since_us;
    int64_t owner_heard_us;
    int64_t ceded_us;   /* last CEDE sent */
    GHashTable *silent; /* id -> int64_t, end of the time it is avoided */
    int64_t isolated_until_us;
    uint32_t next_id;
    GwQuotaOwner owner;
    GwQuotaCallback callback;
    void *callback_ctx;
};

GwQuotaShare *GwQuota_FindShare(const GwQuota *q, uint64_t hash);
/* Appends a message; the calling function fills in the other fields. */
GwQuotaMessage *GwQuota_AddMessage(GwQuota *q, GwQuotaMessageKind kind,
                                   uint64_t peer);

/* group.c */
bool GwQuota_IsOwner(const GwQuota *q);
/* Chooses the owner again if it is silent, and cedes this entry's parts to it
 * in time. */
void GwQuota_UpdateOwner(GwQuota *q, int64_t now_us);

/* owner.c */
void GwQuotaOwner_Init(GwQuotaOwner *owner, int64_t now_us);
void GwQuotaOwner_Clear(GwQuotaOwner *owner);
/* The entry `id` ceded its parts, or withdraws them. */
void GwQuotaOwner_Cede(GwQuota *q, int64_t now_us, uint64_t id, bool ends);
/* Drops parts whose time is over. */
void GwQuotaOwner_Sweep(GwQuota *q, int64_t now_us);
/* Fills a GRANT for up to `count` tokens. */
void GwQuotaOwner_Grant(GwQuota *q, int64_t now_us, uint64_t hash,
                        uint32_t count, GwQuotaMessage *grant);
void GwQuotaOwner_Lend(GwQuota *q, int64_t now_us,
                       const GwQuotaMessage *borrow);
/* Adds borrowed tokens. Returns whether there are any. */
bool GwQuotaOwner_AddLent(GwQuota *q, int64_t now_us,
                          const GwQuotaMessage *lent);
/* Part of all quotas that this entry owns now. */
double GwQuotaOwner_Part(const GwQuota *q);
double GwQuotaOwner_Tokens(GwQuota *q, int64_t now_us, uint64_t hash);

#endif
