/* The owner of a group: token buckets filled by the parts that the entries of
 * the group ceded. */
#include "quota/quota_internal.h"

#include <math.h>

/* Part of what a quota may be exceeded by that the buckets may hold beyond the
 * burst. The rest covers parts that are ceded to two owners for a moment, and
 * entries that know of too few others. */
#define SLACK_SHARE 0.25
/* A new owner does not know what the previous one handed out. Its buckets
 * begin with this part of what a quota may be exceeded by, once in a window at
 * most. */
#define START_SHARE 0.30
/* At most this part of a bucket is granted at once, beyond one token. */
#define GRANT_SHARE 0.25
/* An owner lends what it has above this part of its bucket; a bucket of a few
 * tokens lends one. */
#define LEND_KEEPS_SHARE 0.5
#define SMALL_BUCKET     2.0
/* Denied requests count for this long when the wait is estimated. */
#define BACKLOG_TAU_US 500000.0
/* Requests wait if a token is expected within WAIT_SHORT_MS, or may be
 * borrowed for the few of them. */
#define WAIT_SHORT_MS 250
#define BORROWERS_MAX 3.0
#define WAIT_MIN_MS   20.0
#define WAIT_MAX_MS   5000.0
/* An entry whose configuration lacks the organisation has it soon. */
#define UNKNOWN_LIMIT_MS 50

void
GwQuotaOwner_Init(GwQuotaOwner *owner, int64_t now_us)
{
    owner->ceded =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    owner->buckets =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    owner->credit_at_us = now_us;
}

void
GwQuotaOwner_Clear(GwQuotaOwner *owner)
{
    g_hash_table_destroy(owner->ceded);
    g_hash_table_destroy(owner->buckets);
}

static uint32_t
entries_of(const GwQuota *q)
{
    return MAX(MAX(q->entries, q->told_entries), 1);
}

double
GwQuotaOwner_Part(const GwQuota *q)
{
    double part = (double)g_hash_table_size(q->owner.ceded) / entries_of(q);

    return q->is_settled ? MIN(part, 1.0) : 0;
}

/* No CEDE counts for longer than GW_QUOTA_CEDED_US, so after a pause of the
 * process no more than that is credited. */
static void
update_credit(GwQuota *q, int64_t now_us)
{
    GwQuotaOwner *owner = &q->owner;
    int64_t span_us = now_us - owner->credit_at_us;

    span_us = MIN(span_us, GW_QUOTA_CEDED_US);
    owner->credit += (double)span_us / 1e6 * GwQuotaOwner_Part(q);
    owner->credit_at_us = now_us;
}

/* Without parts of others, what the buckets hold may have been handed out by
 * another owner too. */
static void
reset_if_abandoned(GwQuota *q)
{
    guint ceded = g_hash_table_size(q->owner.ceded);

    if (ceded == 0 || (ceded == 1 && q->members->len > 1)) {
        g_hash_table_remove_all(q->owner.buckets);
        q->owner.credit = 0;
        q->owner.gives_start = false;
    }
}

/* Called when the first other entry cedes its parts. */
static void
begin_buckets(GwQuota *q, int64_t now_us)
{
    GwQuotaOwner *owner = &q->owner;
    int64_t window_us = (int64_t)q->params.bounds.window_ms * 1000;

    if (owner->begun_us == 0 || now_us - owner->begun_us > window_us) {
        owner->begun_us = now_us;
        owner->gives_start = true;
    }
}

void
GwQuotaOwner_Cede(GwQuota *q, int64_t now_us, uint64_t id, bool ends)
{
    GHashTable *ceded = q->owner.ceded;
    int64_t *until_us = g_hash_table_lookup(ceded, &id);

    update_credit(q, now_us);
    if (ends) {
        (void)g_hash_table_remove(ceded, &id);
        reset_if_abandoned(q);
        return;
    }
    if (until_us == NULL) {
        int64_t *key = g_new(int64_t, 1);
        *key = (int64_t)id;
        until_us = g_new(int64_t, 1);
        g_hash_table_insert(ceded, key, until_us);
    }
    *until_us = now_us + GW_QUOTA_CEDED_US;
    if (!q->owner.gives_start && g_hash_table_size(ceded) == 2) {
        begin_buckets(q, now_us);
    }
}

static gboolean
is_over(gpointer id, gpointer until_us, gpointer now_us)
{
    (void)id;
    return *(int64_t *)until_us <= *(int64_t *)now_us;
}

void
GwQuotaOwner_Sweep(GwQuota *q, int64_t now_us)
{
    update_credit(q, now_us);
#if GW_MUTANT == 96 /* breaks: a part stays ceded after its time */
    now_us = 0;
#endif
    if (g_hash_table_foreach_remove(q->owner.ceded, is_over, &now_us) > 0) {
        reset_if_abandoned(q);
    }
}

/* ---- Buckets ------------------------------------------------------------- */

/* By how many requests the quota may be exceeded in a window. */
static double
excess_of(const GwQuota *q, const GwQuotaShare *limit)
{
    const GwQuotaBounds *b = &q->params.bounds;
    double allowed = limit->rate_per_s * b->window_ms / 1000 + limit->burst;

    return b->overrun * allowed + b->slack;
}

/* Most tokens that the bucket may hold. A group can always hold one token,
 * or it could never serve a small organisation. */
static double
capacity_of(const GwQuota *q, const GwQuotaShare *limit)
{
    double stock = limit->burst + SLACK_SHARE * excess_of(q, limit);
    double capacity = stock * GwQuotaOwner_Part(q);
    bool is_group = g_hash_table_size(q->owner.ceded) * 2 >= q->members->len;

    return is_group ? MAX(capacity, 1.0) : capacity;
}

/* Returns the bucket, refilled. */
static GwQuotaBucket *
find_bucket(GwQuota *q, int64_t now_us, const GwQuotaShare *limit)
{
    GwQuotaBucket *bucket =
        g_hash_table_lookup(q->owner.buckets, &limit->hash);

    update_credit(q, now_us);
    if (bucket == NULL) {
        int64_t *key = g_new(int64_t, 1);
        *key = (int64_t)limit->hash;
        bucket = g_new0(GwQuotaBucket, 1);
        if (q->owner.gives_start) {
            bucket->tokens =
                START_SHARE * excess_of(q, limit) * GwQuotaOwner_Part(q);
        }
        g_hash_table_insert(q->owner.buckets, key, bucket);
    }
    bucket->tokens += limit->rate_per_s * (q->owner.credit - bucket->credit);
#if GW_MUTANT != 95 /* breaks: unused tokens add up without bound */
    bucket->tokens = MIN(bucket->tokens, capacity_of(q, limit));
#endif
    bucket->credit = q->owner.credit;
    return bucket;
}

double
GwQuotaOwner_Tokens(GwQuota *q, int64_t now_us, uint64_t hash)
{
    const GwQuotaShare *limit = GwQuota_FindShare(q, hash);

    return limit != NULL && g_hash_table_size(q->owner.ceded) > 0
               ? find_bucket(q, now_us, limit)->tokens
               : 0;
}

/* Asks the owner of another group for as many tokens as fit. */
static void
borrow_tokens(GwQuota *q, int64_t now_us, GwQuotaBucket *bucket,
              const GwQuotaShare *limit)
{
    bool is_due = bucket->borrow_id == 0 ||
                  now_us - bucket->borrowed_us > GW_QUOTA_BORROW_MS * 1000;

    if (q->owners->len == 0 || !is_due) {
        return;
    }
    double room = capacity_of(q, limit) - bucket->tokens;
    GwQuotaMessage *msg = GwQuota_AddMessage(
        q, GW_QUOTA_BORROW,
        g_array_index(q->owners, uint64_t, bucket->lender++ % q->owners->len));
    msg->organisation = limit->hash;
    msg->count = (uint32_t)MAX(floor(room), 1);
    msg->id = ++q->next_id;
    bucket->borrow_id = msg->id;
    bucket->borrowed_us = now_us;
}

/* Time until a token is expected, behind the requests denied lately. */
static uint32_t
wait_ms(const GwQuota *q, int64_t now_us, GwQuotaBucket *bucket,
        const GwQuotaShare *limit)
{
    double per_s = limit->rate_per_s * GwQuotaOwner_Part(q);

    bucket->backlog *=
        exp(-(double)(now_us - bucket->backlog_at_us) / BACKLOG_TAU_US);
    bucket->backlog_at_us = now_us;
    double missing = MAX(1 - bucket->tokens, 0) + bucket->backlog;
    bucket->backlog += 1;
    return (uint32_t)CLAMP(missing * 1000 / MAX(per_s, 1e-9), WAIT_MIN_MS,
                           WAIT_MAX_MS);
}

/* Returns when to ask again, or 0 if too many requests are ahead. */
static uint32_t
again_ms(const GwQuotaBucket *bucket, uint32_t expected_ms)
{
    if (expected_ms <= WAIT_SHORT_MS) {
        return MIN(expected_ms, GW_QUOTA_BORROW_MS);
    }
    return bucket->backlog <= BORROWERS_MAX ? GW_QUOTA_BORROW_MS : 0;
}

void
GwQuotaOwner_Grant(GwQuota *q, int64_t now_us, uint64_t hash, uint32_t count,
                   GwQuotaMessage *grant)
{
    const GwQuotaShare *limit = GwQuota_FindShare(q, hash);

    grant->is_partial =
        g_hash_table_size(q->owner.ceded) * 2 < q->members->len ||
        !q->is_settled;
    if (limit == NULL) {
        grant->wait_ms = UNKNOWN_LIMIT_MS;
        grant->again_ms = UNKNOWN_LIMIT_MS;
        return;
    }
    if (limit->rate_per_s <= 0) {
        grant->count = count;
        return;
    }
    GwQuotaBucket *bucket = find_bucket(q, now_us, limit);
    if (bucket->tokens < 1) {
        borrow_tokens(q, now_us, bucket, limit);
        grant->wait_ms = wait_ms(q, now_us, bucket, limit);
        grant->again_ms = again_ms(bucket, grant->wait_ms);
        return;
    }
    double most = MAX(1, floor(bucket->tokens * GRANT_SHARE));
    grant->count = (uint32_t)MIN(count, most);
#if GW_MUTANT != 94 /* breaks: a token is granted more than once */
    bucket->tokens -= grant->count;
#endif
}

/* ---- Between owners ------------------------------------------------------ */

void
GwQuotaOwner_Lend(GwQuota *q, int64_t now_us, const GwQuotaMessage *borrow)
{
    const GwQuotaShare *limit = GwQuota_FindShare(q, borrow->organisation);
    GwQuotaMessage *msg = GwQuota_AddMessage(q, GW_QUOTA_LEND, borrow->peer);

    msg->organisation = borrow->organisation;
    msg->id = borrow->id;
    if (limit == NULL || g_hash_table_size(q->owner.ceded) == 0) {
        return;
    }
    GwQuotaBucket *bucket = find_bucket(q, now_us, limit);
    double capacity = capacity_of(q, limit);
    double spare = capacity <= SMALL_BUCKET
                       ? MIN(bucket->tokens, 1)
                       : bucket->tokens - LEND_KEEPS_SHARE * capacity;
    msg->count = (uint32_t)CLAMP(floor(spare), 0, borrow->count);
#if GW_MUTANT != 97 /* breaks: a lent token is used by two owners */
    bucket->tokens -= msg->count;
#endif
}

bool
GwQuotaOwner_AddLent(GwQuota *q, int64_t now_us, const GwQuotaMessage *lent)
{
    const GwQuotaShare *limit = GwQuota_FindShare(q, lent->organisation);
    GwQuotaBucket *bucket =
        g_hash_table_lookup(q->owner.buckets, &lent->organisation);

    if (limit == NULL || bucket == NULL || bucket->borrow_id != lent->id) {
        return false;
    }
    bucket->borrow_id = 0;
    bucket = find_bucket(q, now_us, limit);
    bucket->tokens = MIN(bucket->tokens + lent->count, capacity_of(q, limit));
    return lent->count > 0;
}
