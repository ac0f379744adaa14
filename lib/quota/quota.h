/* Quotas of organisations: request rates that hold for all entries together.
 *
 * Each entry owns an equal part of the rate and of the burst of each quota.
 * The entries of a group, a region or a failure domain, cede their parts to
 * one of them, the group's owner, for a fraction of a second at a time. The
 * owner holds one token bucket per organisation and hands out its tokens. An
 * owner that runs out borrows tokens from owners of other groups, which then
 * no longer have them.
 *
 * A token is thus created by one entry at a time and used once, whatever
 * messages are lost and whatever the entries believe about each other: if two
 * entries of a group consider themselves its owner, each has the parts of
 * those that ceded theirs to it. A lost message loses tokens, it never creates
 * any. An entry that is cut off has its own part only.
 *
 * A GwQuota does no I/O and reads no clock. The host passes on the messages
 * (GwQuota_NextMessage, GwQuota_Receive) and calls GwQuota_Tick every
 * GW_QUOTA_TICK_MS. */
#ifndef GW_QUOTA_QUOTA_H
#define GW_QUOTA_QUOTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define GW_QUOTA_TICK_MS 50

typedef struct GwQuota_s GwQuota;

/* In any window, an organisation may use rate x window + burst, that again
 * times `overrun`, and `slack` requests more. */
typedef struct {
    uint32_t window_ms;
    double overrun;
    double slack;
} GwQuotaBounds;

typedef struct {
    uint64_t own_id;  /* of this entry */
    uint64_t process; /* random, names this process */
    uint64_t seed;
    GwQuotaBounds bounds;
} GwQuotaParams;

/* Identifies an entry by its address, or an organisation by its name. */
uint64_t GwQuota_Hash(const char *name);
GwQuota *GwQuota_Create(const GwQuotaParams *params, int64_t now_us);
void GwQuota_Free(GwQuota *q);
void GwQuota_SetBounds(GwQuota *q, const GwQuotaBounds *bounds);

/* ---- State of the system ------------------------------------------------- */

/* The quota of an organisation. */
typedef struct {
    const char *name;
    double rate_per_s; /* 0: unlimited */
    double burst;
} GwQuotaLimit;

/* Replaces all quotas. Tokens above a lowered quota are dropped. */
void GwQuota_SetLimits(GwQuota *q, int64_t now_us, const GwQuotaLimit *limits,
                       uint32_t count);

typedef struct {
    uint64_t id;
    uint64_t group;
} GwQuotaMember;

/* The entries, as this one knows them. */
typedef struct {
    uint64_t own_group;
    const GwQuotaMember *members; /* serving, by rank; this entry included */
    uint32_t member_count;
    uint32_t entries; /* upper bound of all entries alive, serving or not */
    bool is_settled;  /* false: `entries` may still be too small */
} GwQuotaView;

void GwQuota_SetView(GwQuota *q, int64_t now_us, const GwQuotaView *view);

/* ---- Requests ------------------------------------------------------------ */

typedef enum {
    GW_QUOTA_GRANTED = 1,
    GW_QUOTA_WAIT,   /* ask again at `retry_us`, or when told to */
    GW_QUOTA_DENIED, /* over the quota */
    GW_QUOTA_UNKNOWN /* no owner answers, or too few entries back it */
} GwQuotaState;

typedef struct {
    GwQuotaState state;
    int64_t retry_us;        /* WAIT */
    uint32_t retry_after_ms; /* DENIED, UNKNOWN */
} GwQuotaResult;

/* Takes a token for a request that arrived at `arrived_us`. */
GwQuotaResult GwQuota_Take(GwQuota *q, int64_t now_us, const char *name,
                           int64_t arrived_us);
/* Gives back the token of a request that was not sent to any server. */
void GwQuota_Return(GwQuota *q, int64_t now_us, const char *name);

/* ---- Messages ------------------------------------------------------------ */

/* The values are sent on the wire. */
typedef enum {
    GW_QUOTA_CEDE = 1, /* the sender's parts belong to the receiver for now */
    GW_QUOTA_CEDED,    /* answer to CEDE */
    GW_QUOTA_ASK,      /* for tokens */
    GW_QUOTA_GRANT,    /* answer to ASK; `count` may be 0 */
    GW_QUOTA_BORROW,   /* between owners, for tokens */
    GW_QUOTA_LEND      /* answer to BORROW; `count` may be 0 */
} GwQuotaMessageKind;

typedef struct {
    GwQuotaMessageKind kind;
    uint64_t peer;         /* receiver, or sender of a received message */
    uint64_t process;      /* of the sender */
    uint64_t organisation; /* hash of its name */
    uint32_t id;           /* of the ASK or BORROW, returned in the answer */
    uint32_t count;        /* tokens */
    uint32_t wait_ms;      /* GRANT 0: until a token is expected */
    uint32_t again_ms;     /* GRANT 0: ask again then; 0: don't */
    uint32_t entries;      /* CEDE: GwQuotaView.entries of the sender */
    bool ends;             /* CEDE: the parts are withdrawn */
    bool is_partial;       /* GRANT 0: few entries ceded their parts */
} GwQuotaMessage;

/* Removes the next message to send. False if there is none. */
bool GwQuota_NextMessage(GwQuota *q, GwQuotaMessage *msg);
/* Returns whether requests that wait for tokens should ask again now. */
bool GwQuota_Receive(GwQuota *q, int64_t now_us, const GwQuotaMessage *msg);
/* Returns the same as GwQuota_Receive. */
bool GwQuota_Tick(GwQuota *q, int64_t now_us);

/* ---- For operators ------------------------------------------------------- */

typedef struct {
    const char *name;
    double rate_per_s;
    double burst;
    bool is_limited;  /* requests were denied in the last seconds */
    double tokens;    /* at this entry, as owner or granted */
    double share;     /* part of the quota that this entry owns now */
    uint64_t granted; /* requests */
    uint64_t denied;  /* requests over the quota */
    uint64_t unknown; /* requests without an answer about the quota */
} GwQuotaUse;

void GwQuota_Each(GwQuota *q, int64_t now_us,
                  void (*visit)(void *ctx, const GwQuotaUse *use), void *ctx);
/* Called when an organisation begins or ceases to be limited here. */
typedef void (*GwQuotaCallback)(void *ctx, const char *name, bool is_limited);

void GwQuota_SetCallback(GwQuota *q, GwQuotaCallback callback, void *ctx);

#endif
