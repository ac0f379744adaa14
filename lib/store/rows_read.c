/* What a copy has for peers. */
#include "store/rows_internal.h"

#include <string.h>
#include <xxhash.h>

/* Position of the era in the seed of a digest, above the numbers in use. */
#define ERA_SHIFT 40

GwStoreVersion
GwRowCache_Version(const GwRowCache *cache)
{
    return cache->version;
}

uint32_t
GwRowCache_PendingCount(const GwRowCache *cache)
{
    return g_hash_table_size(cache->removals) +
           g_hash_table_size(cache->returns);
}

bool
GwRowCache_HasRemovalsAfter(const GwRowCache *cache, GwStoreVersion version)
{
    return GwStoreVersion_Compare(version, cache->unread_to) >= 0 ||
           (GwStoreVersion_Compare(version, cache->removals_since) >= 0 &&
            GwStoreVersion_Compare(version, cache->unread_from) <= 0);
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
        uint64_t seed = row->update_version.number ^
                        (uint64_t)row->update_version.era << ERA_SHIFT;
        if (!row->removed &&
            !g_hash_table_contains(cache->removals, row->key)) {
            digest ^= XXH64(row->key, strlen(row->key), seed);
        }
    }
    return digest;
}

uint64_t
GwRowCache_BytesAfter(const GwRowCache *cache, GwStoreVersion version)
{
    GHashTableIter iter;
    gpointer value;
    uint64_t bytes = 0;

    if (!GwStoreVersion_IsNewer(cache->version, version)) {
        return 0;
    }
    g_hash_table_iter_init(&iter, cache->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwStoreRow *row = value;
        if (GwStoreVersion_IsNewer(row->update_version, version) &&
            !row->removed) {
            bytes += strlen(row->value);
        }
    }
    return bytes;
}

static gint
compare_rows(gconstpointer a, gconstpointer b)
{
    return GwStoreVersion_Compare((*(GwStoreRow *const *)a)->version,
                                  (*(GwStoreRow *const *)b)->version);
}

/* Rows that wait for the end of a grace period are sent as the store has them:
 * each peer applies a grace period of its own. */
static GwStoreRow *
copy_for_peer(const GwRowCache *cache, const GwStoreRow *row,
              GwStoreVersion version)
{
    const GwPendingRemoval *removal =
        g_hash_table_lookup(cache->removals, row->key);
    const GwPendingReturn *back =
        g_hash_table_lookup(cache->returns, row->key);

    if (removal != NULL && GwStoreVersion_IsNewer(removal->version, version)) {
        return GwStoreRow_Create(row->key, NULL, removal->version, true);
    }
    if (back != NULL && GwStoreVersion_IsNewer(back->row->version, version)) {
        return GwStoreRow_Create(row->key, back->row->value,
                                 back->row->version, false);
    }
    if (GwStoreVersion_IsNewer(row->update_version, version)) {
        return GwStoreRow_Create(row->key, row->value, row->version,
                                 row->removed);
    }
    return NULL;
}

GwRowSet *
GwRowCache_After(const GwRowCache *cache, GwStoreVersion version)
{
    GwRowSet *set = GwRowSet_Create();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, cache->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwStoreRow *copy = copy_for_peer(cache, value, version);
        if (copy != NULL) {
            g_ptr_array_add(set->rows, copy);
        }
    }
    g_ptr_array_sort(set->rows, compare_rows);
    set->version = cache->version;
    return set;
}
