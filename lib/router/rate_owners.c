/* Request rates that hold for all entries together: of cold servers, and of
 * servers that state a limit.
 *
 * No entry knows how many requests the others send, so a server's rate is
 * divided among a few rate owners: the first, by a hash, of the serving
 * entries of the server's region, or of all entries if no entry serves in that
 * region. Each entry computes the same owners. A cold server has one owner; a
 * limit is shared by as many owners as can each keep a request ready without
 * exceeding the limit by more than allowed. */
#include "router/router_internal.h"

#include <math.h>
#include <string.h>

/* After its start an entry knows no peers yet and would consider itself the
 * owner of every server's rate. */
#define OWN_AFTER_START_US 2000000
/* With many entries, peers of other regions become known later. */
#define OWN_REMOTE_AFTER_START_US 20000000
/* Part of a cold server's rate that is used, as a margin for the time in
 * which entries disagree on the owner. */
#define COLD_RATE_SHARE 0.9
#define COLD_RATE_BURST 2.0
/* Owners of a limit: the requests that they keep ready add to the limit, which
 * may be exceeded by half and 5 requests in 4 s. */
#define LIMIT_SHARE      0.95
#define OWNERS_PER_LIMIT 2.0
#define OWNERS_MIN       1.0
/* Without a minimum, a server with limit 0 would never get a request again,
 * and so could never state a higher limit. */
#define LIMIT_SHARE_MIN_PER_S 0.2
/* Time for which an owner may save up unused tokens. */
#define LIMIT_BURST_S     0.25
#define LIMIT_WAIT_MAX_US 3.6e9
/* Interval at which the owners are recomputed. */
#define RANK_LIFE_US 100000
/* Answers of one server may be reordered: a limit rises, or ends, only when no
 * answer has stated the lower one for this long. */
#define LIMIT_HOLD_US 500000
/* After this long without an answer, an owner sends the server a request. */
#define STALE_LIMIT_US          2000000
#define STALE_LIMIT_INTERVAL_US 100000
/* A limit above this can't be reached and is treated as this. */
#define LIMIT_MAX 1e6

static uint64_t
owner_hash(const GwServer *s, const char *entry)
{
    return GwHash_Text(entry, s->hash);
}

/* The rank of this entry among the possible rate owners of a server. */
typedef struct {
    bool may_own;
    uint32_t before; /* entries that rank before this one */
    uint32_t count;  /* all entries, including this one */
} OwnerRank;

static OwnerRank
compute_rank(GwRouter *r, const GwServer *s, int64_t now_us)
{
    OwnerRank rank = {.may_own = true, .count = 1};
    uint64_t own = owner_hash(s, r->params.name);
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, r->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwPeer *peer = value;
        bool in_region = strcmp(peer->region, s->path->region) == 0;
        if (peer->serves && in_region && !s->same_region) {
            return (OwnerRank){.may_own = false};
        }
        if (peer->serves && in_region == s->same_region) {
            rank.count++;
            rank.before += owner_hash(s, peer->name) > own;
        }
    }
    rank.may_own = now_us >= r->started_us + OWN_AFTER_START_US &&
                   (s->same_region ||
                    now_us >= r->started_us + OWN_REMOTE_AFTER_START_US);
    return rank;
}

/* ---- Cold servers -------------------------------------------------------- */

/* Returns whether this entry owns the cold server's rate and has a token. A
 * new owner starts without tokens: the previous owner may just have spent its
 * tokens. */
bool
GwRouter_HasColdToken(GwRouter *r, GwServer *s, int64_t now_us)
{
    double per_s = s->service->cold_per_s * COLD_RATE_SHARE;
    OwnerRank rank = compute_rank(r, s, now_us);

    if (!rank.may_own || rank.before > 0) {
        s->owns_rate = false;
        return false;
    }
    if (!s->owns_rate) {
        s->owns_rate = true;
        s->cold_tokens = (GwBucket){.max = COLD_RATE_BURST, .at_us = now_us};
    }
    GwBucket_Fill(&s->cold_tokens, now_us, per_s);
#if GW_MUTANT == 73 /* breaks: a cold server has no rate limit */
    return true;
#endif
    return s->cold_tokens.tokens >= 1.0;
}

/* ---- Limits -------------------------------------------------------------- */

bool
GwServer_IsLimited(const GwServer *s)
{
    return s->start->limit.per_s >= 0;
}

static void
set_share(GwServer *s, int64_t now_us, double share)
{
    bool is_continued = s->start->limit.share_per_s > 0 && share > 0;

    GwBucket_Fill(&s->start->limit.tokens, now_us,
                  s->start->limit.share_per_s);
    if (!is_continued) {
        s->start->limit.tokens.tokens = 0;
    }
    s->start->limit.tokens.max = MAX(1.0, share * LIMIT_BURST_S);
    s->start->limit.share_per_s = share;
}

static double
compute_share(GwRouter *r, const GwServer *s, int64_t now_us)
{
    OwnerRank rank = compute_rank(r, s, now_us);
    double most = OWNERS_MIN + OWNERS_PER_LIMIT * s->start->limit.per_s;
    uint32_t owners = (uint32_t)MIN(most, rank.count);

#if GW_MUTANT == 84 /* breaks: each entry uses the whole limit */
    return s->start->limit.per_s;
#endif
    if (!rank.may_own || rank.before >= owners) {
        return 0;
    }
    return MAX(s->start->limit.per_s * LIMIT_SHARE, LIMIT_SHARE_MIN_PER_S) /
           owners;
}

bool
GwRouter_HasLimitShare(GwRouter *r, GwServer *s, int64_t now_us)
{
    if (now_us - s->start->limit.share_at_us >= RANK_LIFE_US) {
        double share = compute_share(r, s, now_us);
        s->start->limit.share_at_us = now_us;
        if (share != s->start->limit.share_per_s) {
            set_share(s, now_us, share);
        }
    }
    return s->start->limit.share_per_s > 0;
}

double
GwServer_LimitWaitUs(const GwServer *s, int64_t now_us)
{
    if (!GwServer_IsLimited(s)) {
        return 0;
    }
    double missing = 1.0 + s->reservations -
                     GwBucket_At(&s->start->limit.tokens, now_us,
                                 s->start->limit.share_per_s);
    if (missing <= 0) {
        return 0;
    }
    return MIN(missing * 1e6 / MAX(s->start->limit.share_per_s, 1e-9),
               LIMIT_WAIT_MAX_US);
}

void
GwServer_SpendLimit(GwServer *s, int64_t now_us)
{
    GwBucket_Fill(&s->start->limit.tokens, now_us,
                  s->start->limit.share_per_s);
    s->start->limit.tokens.tokens -= 1.0;
}

GwServer *
GwRouter_FindStaleLimited(GwRouter *r, int64_t now_us, GwServiceState *service)
{
    if (r->limits_changed_us == 0 || now_us < service->stale_limit_due_us) {
        return NULL;
    }
    service->stale_limit_due_us = now_us + STALE_LIMIT_INTERVAL_US;
    r->evaluations += service->servers->len;
    for (guint i = 0; i < service->servers->len; i++) {
        GwServer *s = service->servers->pdata[i];
        if (GwServer_IsLimited(s) &&
            now_us - s->start->limit.answered_us > STALE_LIMIT_US &&
            GwRouter_HasLimitShare(r, s, now_us) &&
            GwServer_SendWaitUs(s, now_us) <= 0) {
            return s;
        }
    }
    return NULL;
}

/* Sets the limit, valid since `at_us`. */
static void
set_limit(GwRouter *r, int64_t now_us, GwServer *s, double per_s,
          int64_t at_us)
{
    s->start->limit.per_s = per_s;
    s->start->limit.at_us = at_us;
    s->start->limit.confirmed_us = at_us;
    s->start->limit.changed_us = now_us;
    s->start->limit.share_at_us = 0;
    r->limits_changed_us = now_us;
    if (r->limit_callback != NULL) {
        r->limit_callback(r->limit_callback_ctx, s, per_s);
    }
}

void
GwRouter_LearnLimit(GwRouter *r, int64_t now_us, GwServer *s,
                    const GwAttemptEnd *end)
{
    double per_s =
        end->limit == GW_LIMIT_STATED ? MIN(end->limit_per_s, LIMIT_MAX) : -1;
    bool is_lower = per_s >= 0 &&
                    (!GwServer_IsLimited(s) || per_s < s->start->limit.per_s);

    if (end->limit != GW_LIMIT_UNKNOWN) {
        s->start->limit.answered_us = now_us;
    }
    if (end->limit == GW_LIMIT_UNKNOWN || per_s == s->start->limit.per_s) {
        s->start->limit.confirmed_us = now_us;
    }
#if GW_MUTANT == 85 /* breaks: a limit never ends */
    else if (per_s < 0) {
        return;
    }
#endif
    else if (is_lower ||
             now_us - s->start->limit.confirmed_us > LIMIT_HOLD_US) {
        set_limit(r, now_us, s, per_s, now_us);
    }
}

/* ---- Limits from other entries ------------------------------------------- */

void
GwRouter_PutLimit(GwRouter *r, int64_t now_us, const GwLimit *limit)
{
    GwServer *s =
        g_hash_table_lookup(r->by_hash, GUINT_TO_POINTER(limit->server));
    int64_t at_us = now_us - (int64_t)limit->age_ms * 1000;
    double per_s = limit->per_s >= 0 ? MIN(limit->per_s, LIMIT_MAX) : -1;

    if (s == NULL || isnan(limit->per_s)) {
        return;
    }
    if (per_s == s->start->limit.per_s) {
        s->start->limit.at_us = MIN(s->start->limit.at_us, at_us);
    }
    else if (at_us > s->start->limit.at_us) {
        set_limit(r, now_us, s, per_s, at_us);
    }
}

uint32_t
GwRouter_Limits(const GwRouter *r, int64_t now_us, int64_t since_us,
                GwLimit *out, uint32_t most)
{
    uint32_t count = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, r->servers);
    while (count < most && g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwServer *s = value;
        if (s->start->limit.changed_us != 0 &&
            s->start->limit.changed_us >= since_us) {
            out[count++] = (GwLimit){
                .server = GwServer_Hash(s),
                .per_s = s->start->limit.per_s,
                .age_ms =
                    (uint32_t)(MAX(now_us - s->start->limit.at_us, 0) / 1000),
            };
        }
    }
    return count;
}

uint64_t
GwRouter_LimitsChecksum(const GwRouter *r)
{
    uint64_t sum = 0;
    GHashTableIter iter;
    gpointer value;

    if (r->limits_changed_us == 0) {
        return 0;
    }
    g_hash_table_iter_init(&iter, r->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwServer *s = value;
        if (GwServer_IsLimited(s)) {
            sum +=
                GwRng_Mix(s->hash ^ (uint64_t)(s->start->limit.per_s * 1000));
        }
    }
    return sum;
}

int64_t
GwRouter_LimitsChangedUs(const GwRouter *r)
{
    return r->limits_changed_us;
}

void
GwRouter_SetLimitCallback(GwRouter *r, GwLimitCallback callback, void *ctx)
{
    r->limit_callback = callback;
    r->limit_callback_ctx = ctx;
}
