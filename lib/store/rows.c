#include "store/rows.h"

#include <string.h>
#include <xxhash.h>

/* A dropped row is remembered for so long: longer than a peer may lag. */
#define MARK_LIFE_US 120000000

/* A row that is absent as of `version`, and counts as gone from `at_us`. */
typedef struct {
    int64_t at_us;
    uint64_t version;
} Missing;

struct GwRowCache_s {
    GHashTable *rows;    /* key -> GwStoreRow */
    GHashTable *missing; /* key -> Missing: gone, unless it comes back */
    uint64_t version;
    uint64_t marks_since; /* removals above it are all known here */
    int64_t grace_until_us;
    int64_t grace_us;
    GwRowChanged changed;
    GwRowIsNews is_news; /* NULL: every change is */
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
        g_free(row->news_value);
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
    cache->missing =
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
        g_hash_table_destroy(cache->missing);
        g_free(cache);
    }
}

void
GwRowCache_SetIsNews(GwRowCache *cache, GwRowIsNews is_news)
{
    cache->is_news = is_news;
}

uint64_t
GwRowCache_Version(const GwRowCache *cache)
{
    return cache->version;
}

static void
set_missing(GwRowCache *cache, const char *key, int64_t at_us,
            uint64_t version)
{
    Missing missing = {at_us, version};

    if (!g_hash_table_contains(cache->missing, key)) {
        g_hash_table_insert(cache->missing, g_strdup(key),
                            g_memdup2(&missing, sizeof(missing)));
    }
}

/* Whether the row is held and live. */
static GwStoreRow *
live_row(const GwRowCache *cache, const char *key)
{
    GwStoreRow *row = g_hash_table_lookup(cache->rows, key);

    return row != NULL && !row->removed ? row : NULL;
}

static const char *
news_of(const GwStoreRow *row)
{
    return row->news_value != NULL ? row->news_value : row->value;
}

static bool
is_news(const GwRowCache *cache, int64_t now_us, const GwStoreRow *old,
        const GwStoreRow *row)
{
    if (old == NULL || old->removed || row->removed) {
        return true;
    }
    if (strcmp(news_of(old), row->value) == 0) {
        return false;
    }
    return cache->is_news == NULL ||
           cache->is_news(cache->ctx, row->key, news_of(old),
                          now_us - old->news_us, row->value);
}

/* A copy that keeps the news of the row before it; NULL: it is news itself. */
static GwStoreRow *
copy_row(int64_t now_us, const GwStoreRow *row, const GwStoreRow *kept)
{
    GwStoreRow *copy =
        GwStoreRow_Create(row->key, row->value, row->version, row->removed);

    copy->removed_us = now_us;
    if (kept == NULL) {
        copy->news_version = row->version;
        copy->news_us = now_us;
        return copy;
    }
    copy->news_version = kept->news_version;
    copy->news_us = kept->news_us;
    copy->news_value = g_strdup(news_of(kept));
    return copy;
}

/* Whether the row brought news. */
static bool
put(GwRowCache *cache, int64_t now_us, const GwStoreRow *row)
{
    GwStoreRow *old = g_hash_table_lookup(cache->rows, row->key);

    if (old != NULL && old->version >= row->version) {
        return false;
    }
    /* All that lived at `marks_since` was read: an older row that is not known
     * here has gone, and this copy of it is late. Nothing would ever remove
     * it again. */
    if (old == NULL && row->version <= cache->marks_since) {
        return false;
    }
    if (row->removed && now_us < cache->grace_until_us && old != NULL &&
        !old->removed) {
        set_missing(cache, row->key, now_us + cache->grace_us, row->version);
        return true;
    }
    bool news = is_news(cache, now_us, old, row);
    /* Peers were told that it is gone. */
    bool is_back = g_hash_table_remove(cache->missing, row->key);
    GwStoreRow *copy = copy_row(now_us, row, news || is_back ? NULL : old);
    g_hash_table_replace(cache->rows, copy->key, copy);
    if (news) {
        cache->changed(cache->ctx, copy);
    }
    return news || is_back;
}

static bool
put_all(GwRowCache *cache, int64_t now_us, const GwRowSet *set)
{
    bool news = false;

    for (guint i = 0; i < set->rows->len; i++) {
        news |= put(cache, now_us, set->rows->pdata[i]);
    }
    return news;
}

void
GwRowCache_Apply(GwRowCache *cache, int64_t now_us, const GwRowSet *set)
{
    (void)put_all(cache, now_us, set);
    cache->version = MAX(cache->version, set->version);
}

void
GwRowCache_ApplyChanges(GwRowCache *cache, int64_t now_us, const GwRowSet *set)
{
    if (put_all(cache, now_us, set)) {
        cache->version = MAX(cache->version, set->version);
    }
}

static void
drop(GwRowCache *cache, int64_t now_us, const char *key, uint64_t version)
{
    GwStoreRow gone = {
        .key = (char *)key, .version = version, .removed = true};

    cache->grace_until_us = 0;
    (void)put(cache, now_us, &gone);
}

void
GwRowCache_ApplyFull(GwRowCache *cache, int64_t now_us, const GwRowSet *set)
{
    GHashTable *present = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    gpointer value;
    int64_t gone_us =
        now_us < cache->grace_until_us ? now_us + cache->grace_us : now_us;

    for (guint i = 0; i < set->rows->len; i++) {
        g_hash_table_add(present, ((GwStoreRow *)set->rows->pdata[i])->key);
    }
    g_hash_table_iter_init(&iter, cache->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwStoreRow *row = value;
        if (!row->removed && !g_hash_table_contains(present, row->key) &&
            row->version < set->version) {
            set_missing(cache, row->key, gone_us, set->version);
        }
    }
    g_hash_table_destroy(present);
    GwRowCache_Apply(cache, now_us, set);
    GwRowCache_Tick(cache, now_us);
    /* Rows that came and went meanwhile left no mark here. */
    cache->marks_since = MAX(cache->marks_since, set->version);
}

bool
GwRowCache_KnowsAllAfter(const GwRowCache *cache, uint64_t version)
{
    return version >= cache->marks_since;
}

/* Forgets marks of rows that went long ago. */
static void
drop_old_marks(GwRowCache *cache, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, cache->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwStoreRow *row = value;
        if (row->removed && now_us - row->removed_us > MARK_LIFE_US) {
            cache->marks_since = MAX(cache->marks_since, row->version);
            g_hash_table_iter_remove(&iter);
        }
    }
}

typedef struct {
    char *key;
    uint64_t version;
} Due;

static GArray *
collect_due(const GwRowCache *cache, int64_t now_us)
{
    GArray *due = g_array_new(FALSE, FALSE, sizeof(Due));
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    g_hash_table_iter_init(&iter, cache->missing);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const Missing *missing = value;
        if (missing->at_us <= now_us) {
            Due one = {g_strdup(key), missing->version};
            g_array_append_val(due, one);
        }
    }
    return due;
}

void
GwRowCache_Tick(GwRowCache *cache, int64_t now_us)
{
    GArray *due = collect_due(cache, now_us);

    for (guint i = 0; i < due->len; i++) {
        Due *one = &g_array_index(due, Due, i);
        (void)g_hash_table_remove(cache->missing, one->key);
        if (live_row(cache, one->key) != NULL) {
            drop(cache, now_us, one->key, one->version);
        }
        g_free(one->key);
    }
    g_array_free(due, TRUE);
    drop_old_marks(cache, now_us);
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
            !g_hash_table_contains(cache->missing, row->key)) {
            digest ^= XXH64(row->key, strlen(row->key), row->news_version);
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
        if (row->news_version > version && !row->removed) {
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
        const Missing *missing = g_hash_table_lookup(cache->missing, row->key);
        if (missing != NULL && missing->version > version) {
            /* Peers judge for themselves how long it may still come back. */
            g_ptr_array_add(
                set->rows,
                GwStoreRow_Create(row->key, NULL, missing->version, true));
        }
        else if (row->news_version > version) {
            g_ptr_array_add(set->rows,
                            GwStoreRow_Create(row->key, row->value,
                                              row->version, row->removed));
        }
    }
    g_ptr_array_sort(set->rows, compare_versions);
    set->version = cache->version;
    return set;
}
