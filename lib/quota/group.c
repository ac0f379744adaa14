/* The owner of this entry's group, as far as this entry knows, and the parts
 * that it cedes to the owner. */
#include "quota/quota_internal.h"

/* An entry cedes its parts this often, so that a lost message does not end
 * them. */
#define CEDE_PERIOD_US 100000
#define CEDE_FIRST_US  40000 /* until the owner has answered */
/* An owner that does not answer for this long, or has not answered once since
 * it was chosen, is avoided for a while. */
#define SILENT_US     350000
#define UNANSWERED_US 120000
#define AVOID_US      3000000
/* An entry for which that many owners in a row are silent is probably cut off.
 * It keeps its parts for this long before it tries again. */
#define ISOLATED_US       2000000
#define SILENT_OWNERS_MAX 6
#define RANKED_CANDIDATES 2
#define GOLDEN_RATIO      0.6180339887

bool
GwQuota_IsOwner(const GwQuota *q)
{
    return q->owner_id == q->params.own_id;
}

static bool
is_avoided(const GwQuota *q, uint64_t id, int64_t now_us)
{
    const int64_t *until_us = g_hash_table_lookup(q->silent, &id);

    return until_us != NULL && now_us < *until_us;
}

static void
avoid(GwQuota *q, uint64_t id, int64_t now_us)
{
    uint64_t *key = g_new(uint64_t, 1);
    int64_t *until_us = g_new(int64_t, 1);

    *key = id;
    *until_us = now_us + AVOID_US;
    g_hash_table_replace(q->silent, key, until_us);
}

static bool
is_own(const GwQuota *q, uint64_t id)
{
    return id == q->params.own_id;
}

/* The candidates are tried in the same order by all entries of the group: the
 * two of the highest rank, then others spread over the list, since entries of
 * similar rank may fail together. */
static uint64_t
candidate(const GwQuota *q, guint i)
{
    guint count = q->members->len;
    guint at = i < RANKED_CANDIDATES ? i : (guint)(i * GOLDEN_RATIO * count);

    return g_array_index(q->members, GwQuotaMember, at % count).id;
}

static uint64_t
choose_owner(const GwQuota *q, int64_t now_us)
{
    if (now_us < q->isolated_until_us) {
        return q->params.own_id;
    }
    for (guint i = 0; i < q->members->len; i++) {
        uint64_t id = candidate(q, i);
        if (is_own(q, id) || !is_avoided(q, id, now_us)) {
            return id;
        }
    }
    return q->params.own_id;
}

static void
cede(GwQuota *q, int64_t now_us, bool ends)
{
    if (GwQuota_IsOwner(q)) {
        GwQuotaOwner_Cede(q, now_us, q->owner_id, ends);
    }
    else {
        GwQuotaMessage *msg =
            GwQuota_AddMessage(q, GW_QUOTA_CEDE, q->owner_id);
        msg->entries = q->entries;
        msg->ends = ends;
    }
    q->ceded_us = now_us;
}

/* Withdraws the parts from the previous owner. Its answer is not awaited: if
 * it is cut off, the parts end there by themselves. */
static void
update_owner(GwQuota *q, int64_t now_us)
{
    uint64_t id = choose_owner(q, now_us);

    if (id == q->owner_id) {
        return;
    }
    if (q->owner_id != 0) {
        cede(q, now_us, true);
    }
    q->owner_id = id;
    q->owner_since_us = now_us;
    q->owner_heard_us = 0;
    /* Nothing tells when the parts ended at an owner that is silent. */
    q->ceded_us = is_own(q, id) && now_us < q->isolated_until_us
                      ? now_us + GW_QUOTA_CEDED_US
                      : 0;
}

void
GwQuota_SetView(GwQuota *q, int64_t now_us, const GwQuotaView *view)
{
    GHashTable *groups = g_hash_table_new(g_int64_hash, g_int64_equal);

    g_array_set_size(q->members, 0);
    g_array_set_size(q->owners, 0);
    for (uint32_t i = 0; i < view->member_count; i++) {
        const GwQuotaMember *m = &view->members[i];
        if (m->group == view->own_group) {
            g_array_append_val(q->members, *m);
        }
        else if (g_hash_table_add(groups, (gpointer)&m->group)) {
            g_array_append_val(q->owners, m->id); /* the first by rank */
        }
    }
    g_hash_table_destroy(groups);
    q->entries = view->entries;
    q->is_settled = view->is_settled;
    update_owner(q, now_us);
}

static uint32_t
count_avoided(GwQuota *q, int64_t now_us)
{
    GHashTableIter iter;
    gpointer until_us;
    uint32_t count = 0;

    g_hash_table_iter_init(&iter, q->silent);
    while (g_hash_table_iter_next(&iter, NULL, &until_us)) {
        if (*(int64_t *)until_us <= now_us) {
            g_hash_table_iter_remove(&iter);
        }
        else {
            count++;
        }
    }
    return count;
}

static void
check_silence(GwQuota *q, int64_t now_us)
{
    int64_t heard_us = MAX(q->owner_heard_us, q->owner_since_us);
    int64_t limit_us = q->owner_heard_us != 0 ? SILENT_US : UNANSWERED_US;

    if (q->owner_id != 0 && !GwQuota_IsOwner(q) &&
        now_us - heard_us > limit_us) {
        avoid(q, q->owner_id, now_us);
        if (count_avoided(q, now_us) >= SILENT_OWNERS_MAX) {
            q->isolated_until_us = now_us + ISOLATED_US;
            g_hash_table_remove_all(q->silent);
        }
    }
}

static bool
is_cede_due(const GwQuota *q, int64_t now_us)
{
    int64_t period_us =
        q->owner_heard_us != 0 ? CEDE_PERIOD_US : CEDE_FIRST_US;

    return q->owner_id != 0 && g_hash_table_size(q->shares) > 0 &&
           now_us - q->ceded_us >= period_us;
}

void
GwQuota_UpdateOwner(GwQuota *q, int64_t now_us)
{
    check_silence(q, now_us);
    update_owner(q, now_us);
    if (is_cede_due(q, now_us)) {
        cede(q, now_us, false);
    }
}
