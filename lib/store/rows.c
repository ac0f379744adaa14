#include "store/rows.h"

#include <string.h>
#include <xxhash.h>

/* Must be longer than a peer's copy can lag behind, or the peer's older copy
 * restores the row. */
#define TOMBSTONE_LIFE_US 120000000

/* A row that is absent from the store since `version` and is removed here at
 * `due_us`, unless the store has the row again by then. */
typedef struct {
    int64_t due_us;
    uint64_t version;
} PendingRemoval;

struct GwRowCache_s {
    GHashTable *rows;     /* key -> GwStoreRow */
    GHashTable *removals; /* key -> PendingRemoval */
    uint64_t version;
    uint64_t tombstones_since; /* all removals above this version are known */
    int64_t grace_until_us;
    int64_t grace_us;
    GwRowChanged changed;
    GwRowIsUpdate is_update; /* NULL: all changes are updates */
    void *ctx;
};

GwStoreRow *
GwStoreRow_Create(const char *key, const char *value, uint64_t version,
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

const char *
GwRowSet_LastKey(const GwRowSet *set)
{
    if (set == NULL || set->rows->len == 0) {
        return NULL;
    }
    return ((GwStoreRow *)set->rows->pdata[set->rows->len - 1])->key;
}

GwRowCache *
GwRowCache_Create(GwRowChanged changed, void *ctx)
{
    GwRowCache *cache = g_new0(GwRowCache, 1);

    cache->rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                        (GDestroyNotify)GwStoreRow_Free);
    cache->removals =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
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
        g_free(cache);
    }
}

void
GwRowCache_SetIsUpdate(GwRowCache *cache, GwRowIsUpdate is_update)
{
    cache->is_update = is_update;
}

uint64_t
GwRowCache_Version(const GwRowCache *cache)
{
    return cache->version;
}

static void
schedule_removal(GwRowCache *cache, const char *key, int64_t due_us,
                 uint64_t version)
{
    PendingRemoval removal = {due_us, version};

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
    if (kept == NULL) {
        copy->update_version = row->version;
        copy->update_us = now_us;
        return copy;
    }
    copy->update_version = kept->update_version;
    copy->update_us = kept->update_us;
    copy->update_value = g_strdup(value_of_update(kept));
    return copy;
}

/* Returns whether the row is an update, which peers must receive. */
static bool
apply_row(GwRowCache *cache, int64_t now_us, const GwStoreRow *row)
{
    GwStoreRow *old = g_hash_table_lookup(cache->rows, row->key);

    if (old != NULL && old->version >= row->version) {
        return false;
    }
    /* The copy has every row that was live at `tombstones_since`, so an older
     * row that is unknown here was removed, and its tombstone has expired or
     * was never seen. No later message would remove that row again. */
    if (old == NULL && row->version <= cache->tombstones_since) {
        return false;
    }
    if (row->removed && now_us < cache->grace_until_us && old != NULL &&
        !old->removed) {
        schedule_removal(cache, row->key, now_us + cache->grace_us,
                         row->version);
        return true;
    }
    bool is_update = is_update_for_peers(cache, now_us, old, row);
    /* Peers have received the pending removal, so the return is an update. */
    bool is_restored = g_hash_table_remove(cache->removals, row->key);
    GwStoreRow *copy =
        copy_row(now_us, row, is_update || is_restored ? NULL : old);
    g_hash_table_replace(cache->rows, copy->key, copy);
    if (is_update) {
        cache->changed(cache->ctx, copy);
    }
    return is_update || is_restored;
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
GwRowCache_Apply(GwRowCache *cache, int64_t now_us, const GwRowSet *set)
{
    (void)apply_rows(cache, now_us, set);
    cache->version = MAX(cache->version, set->version);
}

void
GwRowCache_ApplyChanges(GwRowCache *cache, int64_t now_us, const GwRowSet *set)
{
    if (apply_rows(cache, now_us, set)) {
        cache->version = MAX(cache->version, set->version);
    }
}

static void
remove_row(GwRowCache *cache, int64_t now_us, const char *key,
           uint64_t version)
{
    GwStoreRow tombstone = {
        .key = (char *)key, .version = version, .removed = true};

    cache->grace_until_us = 0;
    (void)apply_row(cache, now_us, &tombstone);
}

void
GwRowCache_ApplyFull(GwRowCache *cache, int64_t now_us, const GwRowSet *set)
{
    GHashTable *present = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    gpointer value;
    int64_t due_us =
        now_us < cache->grace_until_us ? now_us + cache->grace_us : now_us;

    for (guint i = 0; i < set->rows->len; i++) {
        g_hash_table_add(present, ((GwStoreRow *)set->rows->pdata[i])->key);
    }
    g_hash_table_iter_init(&iter, cache->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwStoreRow *row = value;
        if (!row->removed && !g_hash_table_contains(present, row->key) &&
            row->version < set->version) {
            schedule_removal(cache, row->key, due_us, set->version);
        }
    }
    g_hash_table_destroy(present);
    GwRowCache_Apply(cache, now_us, set);
    GwRowCache_Expire(cache, now_us);
    /* Rows that were added and removed in the meantime have no tombstone. */
    cache->tombstones_since = MAX(cache->tombstones_since, set->version);
}

bool
GwRowCache_HasRemovalsAfter(const GwRowCache *cache, uint64_t version)
{
    return version >= cache->tombstones_since;
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
            cache->tombstones_since =
                MAX(cache->tombstones_since, row->version);
            g_hash_table_iter_remove(&iter);
        }
    }
}

typedef struct {
    char *key;
    uint64_t version;
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
        const PendingRemoval *removal = value;
        if (removal->due_us <= now_us) {
            DueRemoval item = {g_strdup(key), removal->version};
            g_array_append_val(due, item);
        }
    }
    return due;
}

void
GwRowCache_Expire(GwRowCache *cache, int64_t now_us)
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
    drop_expired_tombstones(cache, now_us);
}

void
GwRowCache_SetGrace(GwRowCache *cache, int64_t until_us, int64_t grace_us)
{
    cache->grace_until_us = until_us;
    cache->grace_us = grace_us;
}

uint64_t
GwRowCache_Digest(const GwRowCache *cache)
{
    GHashTableIter iter;
    gpointer value;
    uint64_t digest = 0;

    g_hash_table_iter_init(&iter, cache->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwStoreRow *row = value;
        if (!row->removed &&
            !g_hash_table_contains(cache->removals, row->key)) {
            digest ^= XXH64(row->key, strlen(row->key), row->update_version);
        }
    }
    return digest;
}

uint64_t
GwRowCache_BytesAfter(const GwRowCache *cache, uint64_t version)
{
    GHashTableIter iter;
    gpointer value;
    uint64_t bytes = 0;

    if (version >= cache->version) {
        return 0;
    }
    g_hash_table_iter_init(&iter, cache->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwStoreRow *row = value;
        if (row->update_version > version && !row->removed) {
            bytes += strlen(row->value);
        }
    }
    return bytes;
}

static gint
compare_versions(gconstpointer a, gconstpointer b)
{
    uint64_t va = (*(GwStoreRow *const *)a)->version;
    uint64_t vb = (*(GwStoreRow *const *)b)->version;

    return (va > vb) - (va < vb);
}

GwRowSet *
GwRowCache_After(const GwRowCache *cache, uint64_t version)
{
    GwRowSet *set = GwRowSet_Create();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, cache->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwStoreRow *row = value;
        const PendingRemoval *removal =
            g_hash_table_lookup(cache->removals, row->key);
        if (removal != NULL && removal->version > version) {
            /* Each peer applies a grace period of its own. */
            g_ptr_array_add(
                set->rows,
                GwStoreRow_Create(row->key, NULL, removal->version, true));
        }
        else if (row->update_version > version) {
            g_ptr_array_add(set->rows,
                            GwStoreRow_Create(row->key, row->value,
                                              row->version, row->removed));
        }
    }
    g_ptr_array_sort(set->rows, compare_versions);
    set->version = cache->version;
    return set;
}
