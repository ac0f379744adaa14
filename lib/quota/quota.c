#include "quota/quota_internal.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* An ASK is repeated after this time without an answer. */
#define ASK_TIMEOUT_US 60000
/* A request waits at most this long for a token that is expected, and for an
 * answer. */
#define PATIENCE_US       400000
#define UNANSWERED_MAX_US 900000
/* Granted tokens are used within this time, or lost. Tokens for the requests
 * expected in PREFETCH_S are asked for in advance, up to PREFETCH_MAX. */
#define GRANT_LIFE_US 300000
#define PREFETCH_S    0.25
#define PREFETCH_MAX  32
#define DEMAND_TAU_US 1000000.0
/* After a denial, further requests are denied without asking for this long at
 * most. */
#define BLOCK_MAX_MS 100
/* An organisation is limited as long as a request was denied within this
 * time. */
#define LIMITED_US 5000000
/* Counts of entries that others stated are used for this long. */
#define TOLD_LIFE_US 3000000
/* Retry delays, randomized so that callers don't return together. */
#define RETRY_MIN_MS     50
#define UNKNOWN_RETRY_MS 200

uint64_t
GwQuota_Hash(const char *name)
{
    return XXH3_64bits(name, strlen(name));
}

static void
free_share(gpointer item)
{
    GwQuotaShare *share = item;

    g_free(share->name);
    g_free(share);
}

GwQuota *
GwQuota_Create(const GwQuotaParams *params, int64_t now_us)
{
    GwQuota *q = g_new0(GwQuota, 1);

    q->params = *params;
    q->rng = GwRng_Make(params->seed);
    q->shares =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_share);
    q->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    q->members = g_array_new(FALSE, FALSE, sizeof(GwQuotaMember));
    q->owners = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    q->silent =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    g_queue_init(&q->messages);
    GwQuotaOwner_Init(&q->owner, now_us);
    return q;
}

void
GwQuota_Free(GwQuota *q)
{
    if (q == NULL) {
        return;
    }
    g_queue_clear_full(&q->messages, g_free);
    GwQuotaOwner_Clear(&q->owner);
    g_hash_table_destroy(q->silent);
    g_array_free(q->owners, TRUE);
    g_array_free(q->members, TRUE);
    g_hash_table_destroy(q->by_name);
    g_hash_table_destroy(q->shares);
    g_free(q);
}

void
GwQuota_SetBounds(GwQuota *q, const GwQuotaBounds *bounds)
{
    q->params.bounds = *bounds;
}

void
GwQuota_SetCallback(GwQuota *q, GwQuotaCallback callback, void *ctx)
{
    q->callback = callback;
    q->callback_ctx = ctx;
}

GwQuotaShare *
GwQuota_FindShare(const GwQuota *q, uint64_t hash)
{
    return g_hash_table_lookup(q->shares, &hash);
}

GwQuotaMessage *
GwQuota_AddMessage(GwQuota *q, GwQuotaMessageKind kind, uint64_t peer)
{
    GwQuotaMessage *msg = g_new0(GwQuotaMessage, 1);

    msg->kind = kind;
    msg->peer = peer;
    msg->process = q->params.process;
    g_queue_push_tail(&q->messages, msg);
    return msg;
}

bool
GwQuota_NextMessage(GwQuota *q, GwQuotaMessage *msg)
{
    GwQuotaMessage *first = g_queue_pop_head(&q->messages);

    if (first == NULL) {
        return false;
    }
    *msg = *first;
    g_free(first);
    return true;
}

/* ---- State of the system ------------------------------------------------- */

static gboolean
is_removed(gpointer hash, gpointer share, gpointer kept)
{
    (void)hash;
    return !g_hash_table_contains(kept, share);
}

void
GwQuota_SetLimits(GwQuota *q, int64_t now_us, const GwQuotaLimit *limits,
                  uint32_t count)
{
    GHashTable *kept = g_hash_table_new(NULL, NULL);

    g_hash_table_remove_all(q->by_name);
    for (uint32_t i = 0; i < count; i++) {
        uint64_t hash = GwQuota_Hash(limits[i].name);
        GwQuotaShare *share = GwQuota_FindShare(q, hash);
        if (share == NULL) {
            share = g_new0(GwQuotaShare, 1);
            share->hash = hash;
            share->name = g_strdup(limits[i].name);
            share->demand_at_us = now_us;
            g_hash_table_insert(q->shares, &share->hash, share);
        }
        share->rate_per_s = limits[i].rate_per_s;
        share->burst = limits[i].burst;
        g_hash_table_add(kept, share);
        g_hash_table_insert(q->by_name, share->name, share);
    }
    g_hash_table_foreach_remove(q->shares, is_removed, kept);
    g_hash_table_destroy(kept);
}

/* ---- Requests ------------------------------------------------------------ */

static void
note_demand(GwQuotaShare *share, int64_t now_us)
{
    share->demand *=
        exp(-(double)(now_us - share->demand_at_us) / DEMAND_TAU_US);
    share->demand_at_us = now_us;
    share->demand += 1;
}

static void
ask(GwQuota *q, int64_t now_us, GwQuotaShare *share)
{
    GwQuotaMessage *msg = GwQuota_AddMessage(q, GW_QUOTA_ASK, q->owner_id);
    double per_s = share->demand * 1e6 / DEMAND_TAU_US;
    uint32_t ahead = (uint32_t)MIN(per_s * PREFETCH_S, PREFETCH_MAX);

    msg->organisation = share->hash;
    msg->id = ++q->next_id;
    msg->count = 1 + share->waiting + ahead;
    share->last_ask_id =
        share->ask_id != 0 ? share->ask_id : share->last_ask_id;
    share->ask_id = msg->id;
    share->asked_us = now_us;
    share->waiting = 0;
}

static void
note_grant(int64_t now_us, GwQuotaShare *share, const GwQuotaMessage *grant)
{
    if (grant->count > 0) {
        if (now_us >= share->tokens_until_us) {
            share->tokens = 0;
        }
        share->tokens += grant->count;
        share->tokens_until_us = now_us + GRANT_LIFE_US;
        return;
    }
    share->wait_ms = grant->wait_ms;
    share->again_ms = grant->again_ms;
    share->is_partial = grant->is_partial;
    share->blocked_until_us =
        now_us + (int64_t)MIN(grant->wait_ms, BLOCK_MAX_MS) * 1000;
}

static GwQuotaResult
deny(GwQuota *q, int64_t now_us, GwQuotaShare *share)
{
    uint32_t ms = MAX(share->wait_ms, RETRY_MIN_MS);

    if (share->is_partial) {
        share->unknown++;
        return (GwQuotaResult){.state = GW_QUOTA_UNKNOWN,
                               .retry_after_ms =
                                   UNKNOWN_RETRY_MS +
                                   GwRng_Below(&q->rng, UNKNOWN_RETRY_MS)};
    }
    share->denied++;
    share->denied_us = now_us;
    if (!share->is_limited && q->callback != NULL) {
        q->callback(q->callback_ctx, share->name, true);
    }
    share->is_limited = true;
    return (GwQuotaResult){.state = GW_QUOTA_DENIED,
                           .retry_after_ms = ms + GwRng_Below(&q->rng, ms)};
}

/* After a GRANT of 0: waits if a token is expected soon, or denies. */
static GwQuotaResult
wait_or_deny(GwQuota *q, int64_t now_us, GwQuotaShare *share,
             int64_t arrived_us)
{
    int64_t again_us = share->blocked_until_us;

    if (share->again_ms > 0 && again_us - arrived_us <= PATIENCE_US) {
        return (GwQuotaResult){.state = GW_QUOTA_WAIT, .retry_us = again_us};
    }
    return deny(q, now_us, share);
}

static bool
take_granted(GwQuotaShare *share, int64_t now_us)
{
    if (now_us >= share->tokens_until_us || share->tokens < 1) {
        return false;
    }
    share->tokens -= 1;
    return true;
}

/* The owner is this entry. */
static void
ask_self(GwQuota *q, int64_t now_us, GwQuotaShare *share)
{
    GwQuotaMessage grant = {0};

    GwQuotaOwner_Grant(q, now_us, share->hash, 1, &grant);
    note_grant(now_us, share, &grant);
}

GwQuotaResult
GwQuota_Take(GwQuota *q, int64_t now_us, const char *name, int64_t arrived_us)
{
    GwQuotaShare *share = g_hash_table_lookup(q->by_name, name);
    GwQuotaResult granted = {.state = GW_QUOTA_GRANTED};

    if (share == NULL) {
        return granted; /* no quota */
    }
    if (now_us == arrived_us) {
        note_demand(share, now_us);
    }
    if (share->rate_per_s <= 0 || take_granted(share, now_us)) {
        share->granted++;
        return granted;
    }
    if (now_us < share->blocked_until_us) {
        return wait_or_deny(q, now_us, share, arrived_us);
    }
    if (GwQuota_IsOwner(q)) {
        ask_self(q, now_us, share);
        if (take_granted(share, now_us)) {
            share->granted++;
            return granted;
        }
        return wait_or_deny(q, now_us, share, arrived_us);
    }
    if (q->owner_id == 0 || now_us - arrived_us > UNANSWERED_MAX_US) {
        share->is_partial = true;
        return deny(q, now_us, share);
    }
    if (share->ask_id == 0) {
        ask(q, now_us, share);
    }
    else if (now_us == arrived_us) {
        share->waiting++;
    }
    return (GwQuotaResult){.state = GW_QUOTA_WAIT,
                           .retry_us = now_us + ASK_TIMEOUT_US};
}

void
GwQuota_Return(GwQuota *q, int64_t now_us, const char *name)
{
    GwQuotaShare *share = g_hash_table_lookup(q->by_name, name);

    if (share != NULL && share->rate_per_s > 0 &&
        now_us < share->tokens_until_us) {
        share->tokens += 1;
    }
}

/* ---- Messages and time --------------------------------------------------- */

static void
on_cede(GwQuota *q, int64_t now_us, const GwQuotaMessage *msg)
{
    GwQuotaOwner_Cede(q, now_us, msg->peer, msg->ends);
    if (msg->entries >= q->told_entries ||
        now_us - q->told_us > TOLD_LIFE_US) {
        q->told_entries = msg->entries;
        q->told_us = now_us;
    }
    if (!msg->ends) {
        (void)GwQuota_AddMessage(q, GW_QUOTA_CEDED, msg->peer);
    }
}

static void
on_ask(GwQuota *q, int64_t now_us, const GwQuotaMessage *msg)
{
    GwQuotaMessage *grant = GwQuota_AddMessage(q, GW_QUOTA_GRANT, msg->peer);

    grant->organisation = msg->organisation;
    grant->id = msg->id;
    GwQuotaOwner_Grant(q, now_us, msg->organisation, msg->count, grant);
}

/* The answer to an earlier ASK, or a second copy of one, grants nothing. */
static bool
on_grant(GwQuota *q, int64_t now_us, const GwQuotaMessage *msg)
{
    GwQuotaShare *share = GwQuota_FindShare(q, msg->organisation);

    if (share == NULL || msg->id == 0) {
        return false;
    }
    if (msg->id == share->last_ask_id && msg->count > 0) {
        share->last_ask_id = 0; /* late, but the owner counts the tokens */
    }
    else if (msg->id == share->ask_id) {
        share->ask_id = 0;
    }
    else {
        return false;
    }
    note_grant(now_us, share, msg);
    return true;
}

bool
GwQuota_Receive(GwQuota *q, int64_t now_us, const GwQuotaMessage *msg)
{
    if (msg->peer == q->owner_id) {
        q->owner_heard_us = now_us;
    }
    switch (msg->kind) {
    case GW_QUOTA_CEDE:
        on_cede(q, now_us, msg);
        break;
    case GW_QUOTA_CEDED:
        break;
    case GW_QUOTA_ASK:
        on_ask(q, now_us, msg);
        break;
    case GW_QUOTA_GRANT:
        return on_grant(q, now_us, msg);
    case GW_QUOTA_BORROW:
        GwQuotaOwner_Lend(q, now_us, msg);
        break;
    case GW_QUOTA_LEND:
        return GwQuotaOwner_AddLent(q, now_us, msg);
    }
    return false;
}

/* Forgets unanswered questions. Returns whether there were any, or a time of
 * blocking is over. */
static bool
sweep_shares(GwQuota *q, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    bool changed = false;

    g_hash_table_iter_init(&iter, q->shares);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwQuotaShare *share = value;
        if (share->ask_id != 0 && now_us - share->asked_us >= ASK_TIMEOUT_US) {
            share->last_ask_id = share->ask_id;
            share->ask_id = 0;
            changed = true;
        }
        if (share->is_limited && now_us - share->denied_us > LIMITED_US) {
            share->is_limited = false;
            if (q->callback != NULL) {
                q->callback(q->callback_ctx, share->name, false);
            }
        }
    }
    return changed;
}

bool
GwQuota_Tick(GwQuota *q, int64_t now_us)
{
    GwQuota_UpdateOwner(q, now_us);
    GwQuotaOwner_Sweep(q, now_us);
    return sweep_shares(q, now_us);
}

/* ---- For operators ------------------------------------------------------- */

void
GwQuota_Each(GwQuota *q, int64_t now_us,
             void (*visit)(void *ctx, const GwQuotaUse *use), void *ctx)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, q->shares);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwQuotaShare *share = value;
        GwQuotaUse use = {
            .name = share->name,
            .rate_per_s = share->rate_per_s,
            .burst = share->burst,
            .is_limited = share->is_limited,
            .share = GwQuotaOwner_Part(q),
            .granted = share->granted,
            .denied = share->denied,
            .unknown = share->unknown,
        };
        if (now_us < share->tokens_until_us) {
            use.tokens = share->tokens;
        }
        use.tokens += GwQuotaOwner_Tokens(q, now_us, share->hash);
        visit(ctx, &use);
    }
}
