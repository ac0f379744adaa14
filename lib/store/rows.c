#include "store/rows_internal.h"

#include "store/row_merge.h"

#include <assert.h>
#include <string.h>

#ifndef GW_MUTANT
#define GW_MUTANT 0 /* tests/mutants.sh disables one safeguard at a time */
#endif

/* Must be longer than a peer's copy can lag behind, or the peer's older copy
 * restores the row. */
#define TOMBSTONE_LIFE_US 120000000
/* A row that a restored store has again and that nobody renews lapses there
 * within this time. */
#define RETURN_LAPSE_US 20000000

GwStoreRow *
GwStoreRow_Create(const char *key, const char *value, GwStoreVersion version,
                  bool removed)
{
    GwStoreRow *row = g_new0(GwStoreRow, 1);

    row->key = g_strdup(key);
    row->value = g_strdup(value);
    row->version = version;
    row->removed = removed;
    return row;
}

void
GwStoreRow_Free(GwStoreRow *row)
{
    if (row != NULL) {
        g_free(row->key);
        g_free(row->value);
        g_free(row->last_value);
        g_free(row->update_value);
        g_free(row);
    }
}

GwRowSet *
GwRowSet_Create(void)
{
    GwRowSet *set = g_new0(GwRowSet, 1);

    set->rows =
        g_ptr_array_new_with_free_func((GDestroyNotify)GwStoreRow_Free);
    return set;
}

void
GwRowSet_Free(GwRowSet *set)
{
    if (set != NULL) {
        g_ptr_array_free(set->rows, TRUE);
        g_free(set);
    }
}

void
GwRowSet_SetEra(GwRowSet *set, uint32_t era)
{
    set->version.era = era;
    for (guint i = 0; i < set->rows->len; i++) {
        ((GwStoreRow *)set->rows->pdata[i])->version.era = era;
    }
}

const char *
GwRowSet_LastKey(const GwRowSet *set)
{
    if (set == NULL || set->rows->len == 0) {
        return NULL;
    }
    return ((GwStoreRow *)set->rows->pdata[set->rows->len - 1])->key;
}

static void
free_return(gpointer item)
{
    GwPendingReturn *back = item;

    GwStoreRow_Free(back->row);
    g_free(back);
}

GwRowCache *
GwRowCache_Create(GwRowChanged changed, void *ctx)
{
    GwRowCache *cache = g_new0(GwRowCache, 1);

    cache->rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                        (GDestroyNotify)GwStoreRow_Free);
    cache->removals =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    cache->returns =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_return);
    cache->changed = changed;
    cache->ctx = ctx;
    return cache;
}

void
GwRowCache_Free(GwRowCache *cache)
{
    if (cache != NULL) {
        g_hash_table_destroy(cache->rows);
        g_hash_table_destroy(cache->removals);
        g_hash_table_destroy(cache->returns);
        g_free(cache);
    }
}

void
GwRowCache_SetIsUpdate(GwRowCache *cache, GwRowIsUpdate is_update)
{
    cache->is_update = is_update;
}

void
GwRowCache_SetOrder(GwRowCache *cache, GwRowOrder order)
{
    cache->order = order;
}

void
GwRowCache_SetEraGrace(GwRowCache *cache, int64_t grace_us)
{
    cache->era_grace_us = grace_us;
}

static void
schedule_removal(GwRowCache *cache, const char *key, int64_t due_us,
                 GwStoreVersion version)
{
    GwPendingRemoval removal = {due_us, version};

    if (!g_hash_table_contains(cache->removals, key)) {
        g_hash_table_insert(cache->removals, g_strdup(key),
                            g_memdup2(&removal, sizeof(removal)));
    }
}

static GwStoreRow *
find_live_row(const GwRowCache *cache, const char *key)
{
    GwStoreRow *row = g_hash_table_lookup(cache->rows, key);

    return row != NULL && !row->removed ? row : NULL;
}

/* The value that peers have received. */
static const char *
value_of_update(const GwStoreRow *row)
{
    return row->update_value != NULL ? row->update_value : row->value;
}

static bool
is_update_for_peers(const GwRowCache *cache, int64_t now_us,
                    const GwStoreRow *old, const GwStoreRow *row)
{
    if (old == NULL || old->removed || row->removed) {
        return true;
    }
    if (strcmp(value_of_update(old), row->value) == 0) {
        return false;
    }
    return cache->is_update == NULL ||
           cache->is_update(cache->ctx, row->key, value_of_update(old),
                            now_us - old->update_us, row->value);
}

/* Copies a row. The copy keeps the last update of `kept`, or is an update
 * itself if `kept` is NULL. */
static GwStoreRow *
copy_row(int64_t now_us, const GwStoreRow *row, const GwStoreRow *kept)
{
    GwStoreRow *copy =
        GwStoreRow_Create(row->key, row->value, row->version, row->removed);

    copy->removed_us = now_us;
    if (kept == NULL || GwStoreVersion_IsNone(kept->update_version)) {
        copy->update_version = row->version;
        copy->update_us = now_us;
        return copy;
    }
    copy->update_version = kept->update_version;
    copy->update_us = kept->update_us;
    copy->update_value = g_strdup(value_of_update(kept));
    return copy;
}

/* Replaces the held row, if any. Returns whether that is an update, which peers
 * must receive. */
static bool
replace_row(GwRowCache *cache, int64_t now_us, const GwStoreRow *row,
            bool is_ahead)
{
    GwStoreRow *old = g_hash_table_lookup(cache->rows, row->key);
    bool is_update = is_update_for_peers(cache, now_us, old, row);
    /* Peers have received the pending removal, so the return is an update. */
    bool is_restored = g_hash_table_remove(cache->removals, row->key);
    bool was_removed = old != NULL && old->removed;
    GwStoreRow *copy =
        copy_row(now_us, row, is_update || is_restored ? NULL : old);

    copy->is_ahead = is_ahead;
    if (row->removed && old != NULL) {
        copy->last_value =
            g_strdup(was_removed ? old->last_value : old->value);
    }
    (void)g_hash_table_remove(cache->returns, row->key);
    g_hash_table_replace(cache->rows, copy->key, copy);
    if (is_update && !(row->removed && was_removed)) {
        cache->changed(cache->ctx, copy);
    }
    return is_update || is_restored;
}

/* Sets the value and the version of a row to the newer ones of two rows. */
static bool
replace_ahead(GwRowCache *cache, int64_t now_us, const char *key,
              const char *value, GwStoreVersion version)
{
    GwStoreRow *row = GwStoreRow_Create(key, value, version, false);
    bool is_update = replace_row(cache, now_us, row, true);

    GwStoreRow_Free(row);
    return is_update;
}

/* Keeps a removed row that the store has again for later. If the row has an
 * order of its own, that shows that it was not written again, so it is expected
 * to lapse; else it returns after the grace period. */
static void
hold_back(GwRowCache *cache, int64_t now_us, const GwStoreRow *held,
          const GwStoreRow *row)
{
    const GwPendingReturn *known =
        g_hash_table_lookup(cache->returns, row->key);
    bool has_order = cache->order != NULL && held->last_value != NULL &&
                     cache->order(cache->ctx, row->key, row->value,
                                  held->last_value) != GW_ORDER_NONE;
    int64_t wait_us = has_order ? RETURN_LAPSE_US : cache->era_grace_us;
    GwPendingReturn *back = g_new0(GwPendingReturn, 1);

    back->due_us = known != NULL ? known->due_us : now_us + wait_us;
    back->row = copy_row(now_us, row, NULL);
    g_hash_table_replace(cache->returns, g_strdup(row->key), back);
}

/* Returns whether the row is an update, which peers must receive. */
static bool
apply_row(GwRowCache *cache, int64_t now_us, const GwStoreRow *row)
{
    GwStoreRow *old = g_hash_table_lookup(cache->rows, row->key);
    GwStoreVersion known_since =
        GwStoreVersion_Max(cache->removals_since, cache->unread_to);

    /* The copy has every row that was live at that version, so an older row
     * that is unknown here was removed, and its tombstone has expired or was
     * never seen. No later message would remove that row again. */
    if (old == NULL && !GwStoreVersion_IsNewer(row->version, known_since)) {
        return false;
    }
    GwRowMerge merge =
        GwStoreRow_Merge(old, row, cache->copied, cache->order, cache->ctx);
    assert(old != NULL || merge == GW_MERGE_TAKE);
    switch (merge) {
    case GW_MERGE_IGNORE:
        return false;
    case GW_MERGE_RENUMBER:
        return replace_ahead(cache, now_us, row->key, old->value,
                             row->version);
    case GW_MERGE_AMEND:
        return replace_ahead(cache, now_us, row->key, row->value,
                             old->version);
    case GW_MERGE_HOLD_BACK:
        hold_back(cache, now_us, old, row);
        return true;
    case GW_MERGE_TAKE:
        break;
    }
    if (row->removed && now_us < cache->grace_until_us && old != NULL &&
        !old->removed) {
        schedule_removal(cache, row->key, cache->grace_until_us, row->version);
        return true;
    }
    return replace_row(cache, now_us, row, false);
}

static bool
apply_rows(GwRowCache *cache, int64_t now_us, const GwRowSet *set)
{
    bool has_update = false;

    for (guint i = 0; i < set->rows->len; i++) {
        has_update |= apply_row(cache, now_us, set->rows->pdata[i]);
    }
    return has_update;
}

void
GwRowCache_ExpectEra(GwRowCache *cache, int64_t now_us, uint32_t era)
{
    GHashTableIter iter;
    gpointer value;

    if (era <= cache->expected_era) {
        return;
    }
    cache->expected_era = era;
    if (GwStoreVersion_IsNone(cache->version)) {
        return; /* nothing is held that the store could lack */
    }
#if GW_MUTANT == 124 /* breaks: what a restored store lacks stays */
    return;
#endif
    GwRowCache_SetGrace(cache, now_us + cache->era_grace_us);
    g_hash_table_iter_init(&iter, cache->removals);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwPendingRemoval *removal = value;
        removal->due_us = MAX(removal->due_us, cache->grace_until_us);
    }
}

static void
begin_era(GwRowCache *cache, int64_t now_us, const GwRowSet *set)
{
    GwRowCache_ExpectEra(cache, now_us, set->version.era);
    if (set->version.era > cache->version.era) {
        cache->copied = set->version;
    }
}

void
GwRowCache_Apply(GwRowCache *cache, int64_t now_us, const GwRowSet *set)
{
    begin_era(cache, now_us, set);
    (void)apply_rows(cache, now_us, set);
    cache->version = GwStoreVersion_Max(cache->version, set->version);
}

void
GwRowCache_ApplyChanges(GwRowCache *cache, int64_t now_us, const GwRowSet *set)
{
    if (apply_rows(cache, now_us, set)) {
        cache->version = GwStoreVersion_Max(cache->version, set->version);
    }
}

static void
remove_row(GwRowCache *cache, int64_t now_us, const char *key,
           GwStoreVersion version)
{
    GwStoreRow tombstone = {
        .key = (char *)key, .version = version, .removed = true};
    const GwStoreRow *old = g_hash_table_lookup(cache->rows, key);

    if (GwStoreVersion_IsNewer(version, old->version)) {
        (void)replace_row(cache, now_us, &tombstone, false);
    }
}

/* Rows that were held back and that a snapshot lacks are removed once more:
 * peers hold them back as well. */
static void
remove_absent_returns(GwRowCache *cache, int64_t now_us, const GwRowSet *set,
                      GHashTable *present)
{
    GList *keys = g_hash_table_get_keys(cache->returns);

    for (GList *at = keys; at != NULL; at = at->next) {
        if (!g_hash_table_contains(present, at->data)) {
            char *key = g_strdup(at->data);
            remove_row(cache, now_us, key, set->version);
            g_free(key);
        }
    }
    g_list_free(keys);
}

/* Schedules the removal of the rows that a snapshot lacks. */
static void
remove_absent(GwRowCache *cache, int64_t now_us, const GwRowSet *set)
{
    GHashTable *present = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    gpointer value;
    int64_t due_us = MAX(now_us, cache->grace_until_us);

    for (guint i = 0; i < set->rows->len; i++) {
        g_hash_table_add(present, ((GwStoreRow *)set->rows->pdata[i])->key);
    }
    g_hash_table_iter_init(&iter, cache->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwStoreRow *row = value;
        if (!row->removed && !g_hash_table_contains(present, row->key) &&
            GwStoreVersion_IsNewer(set->version, row->version)) {
            schedule_removal(cache, row->key, due_us, set->version);
        }
    }
    remove_absent_returns(cache, now_us, set, present);
    g_hash_table_destroy(present);
}

/* Rows that were added and removed between two versions have no tombstones. */
static void
note_unread_removals(GwRowCache *cache, GwStoreVersion from, GwStoreVersion to)
{
    if (GwStoreVersion_IsNewer(to, from)) {
        cache->removals_since =
            GwStoreVersion_Max(cache->removals_since, cache->unread_to);
        cache->unread_from = from;
        cache->unread_to = to;
    }
}

void
GwRowCache_ApplyFull(GwRowCache *cache, int64_t now_us, const GwRowSet *set)
{
    GwStoreVersion before = cache->version;

    begin_era(cache, now_us, set);
    remove_absent(cache, now_us, set);
    (void)apply_rows(cache, now_us, set);
    cache->version = GwStoreVersion_Max(cache->version, set->version);
    GwRowCache_Expire(cache, now_us);
    note_unread_removals(cache, before, set->version);
}

void
GwRowCache_ForgetVersions(GwRowCache *cache)
{
    const GwStoreVersion none = {0};
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, cache->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwStoreRow *row = value;
        row->version = none;
        row->update_version = none;
    }
    g_hash_table_remove_all(cache->removals);
    g_hash_table_remove_all(cache->returns);
    cache->version = none;
    cache->removals_since = none;
    cache->unread_from = none;
    cache->unread_to = none;
    cache->copied = none;
    cache->expected_era = 0;
}

static void
drop_expired_tombstones(GwRowCache *cache, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, cache->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwStoreRow *row = value;
        if (row->removed && now_us - row->removed_us > TOMBSTONE_LIFE_US) {
            cache->removals_since =
                GwStoreVersion_Max(cache->removals_since, row->version);
            g_hash_table_iter_remove(&iter);
        }
    }
}

typedef struct {
    char *key;
    GwStoreVersion version;
} DueRemoval;

static GArray *
collect_due_removals(const GwRowCache *cache, int64_t now_us)
{
    GArray *due = g_array_new(FALSE, FALSE, sizeof(DueRemoval));
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    g_hash_table_iter_init(&iter, cache->removals);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const GwPendingRemoval *removal = value;
        if (removal->due_us <= now_us) {
            DueRemoval item = {g_strdup(key), removal->version};
            g_array_append_val(due, item);
        }
    }
    return due;
}

static void
remove_due(GwRowCache *cache, int64_t now_us)
{
    GArray *due = collect_due_removals(cache, now_us);

    for (guint i = 0; i < due->len; i++) {
        DueRemoval *item = &g_array_index(due, DueRemoval, i);
        (void)g_hash_table_remove(cache->removals, item->key);
        if (find_live_row(cache, item->key) != NULL) {
            remove_row(cache, now_us, item->key, item->version);
        }
        g_free(item->key);
    }
    g_array_free(due, TRUE);
}

static void
restore_due(GwRowCache *cache, int64_t now_us)
{
    GPtrArray *due =
        g_ptr_array_new_with_free_func((GDestroyNotify)GwStoreRow_Free);
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, cache->returns);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwPendingReturn *back = value;
        if (back->due_us <= now_us) {
            g_ptr_array_add(due, back->row);
            back->row = NULL;
            g_hash_table_iter_remove(&iter);
        }
    }
    for (guint i = 0; i < due->len; i++) {
        (void)replace_row(cache, now_us, due->pdata[i], false);
    }
    g_ptr_array_free(due, TRUE);
}

void
GwRowCache_Expire(GwRowCache *cache, int64_t now_us)
{
    remove_due(cache, now_us);
    restore_due(cache, now_us);
    drop_expired_tombstones(cache, now_us);
}

void
GwRowCache_SetGrace(GwRowCache *cache, int64_t until_us)
{
    cache->grace_until_us = until_us;
}
