/* A local copy of a table of the platform's store.
 *
 * Rows arrive from the store or, while the store rejects this entry, from
 * peers. The store assigns each row a version that only increases, so the
 * greater version wins regardless of source and order of arrival. Removed rows
 * leave tombstones for a while, so that an older copy from a peer does not
 * restore them. */
#ifndef GW_STORE_ROWS_H
#define GW_STORE_ROWS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
    char *key;
    char *value; /* NULL if removed */
    uint64_t version;
    bool removed;
    int64_t removed_us; /* when this entry learned of the removal */
    /* The last change that is sent to peers (GwRowIsUpdate): its version, its
     * time, and its value if `value` has changed since; else NULL. */
    uint64_t update_version;
    char *update_value;
    int64_t update_us;
} GwStoreRow;

GwStoreRow *GwStoreRow_Create(const char *key, const char *value,
                              uint64_t version, bool removed);
void GwStoreRow_Free(GwStoreRow *row);

/* One page of rows, as read from the store or a peer. */
typedef struct {
    GPtrArray *rows; /* GwStoreRow, owned */
    uint64_t version;
    bool more; /* further pages follow after the last key */
} GwRowSet;

GwRowSet *GwRowSet_Create(void);
void GwRowSet_Free(GwRowSet *set);
/* Returns the key after which the next page starts. NULL if the set is NULL or
 * has no rows. */
const char *GwRowSet_LastKey(const GwRowSet *set);

/* The copy of one table. */
typedef struct GwRowCache_s GwRowCache;

/* Called for each row that is added, changed or removed (`row->removed`). */
typedef void (*GwRowChanged)(void *ctx, const GwStoreRow *row);

/* Returns whether a change must be sent to peers: the new value differs from
 * what the old value, `age_us` ago, predicts. A warming server counts down in
 * its row; without this filter each step would be sent to every entry. */
typedef bool (*GwRowIsUpdate)(void *ctx, const char *key, const char *old,
                              int64_t age_us, const char *value);

GwRowCache *GwRowCache_Create(GwRowChanged changed, void *ctx);
void GwRowCache_SetIsUpdate(GwRowCache *cache, GwRowIsUpdate is_update);
void GwRowCache_Free(GwRowCache *cache);
/* The store version up to which the copy has all updates. */
uint64_t GwRowCache_Version(const GwRowCache *cache);
/* Applies rows from a peer, which include all updates up to the set's
 * version. */
void GwRowCache_Apply(GwRowCache *cache, int64_t now_us, const GwRowSet *set);
/* Applies changes from the store. The version increases only with an update,
 * because peers request every version that they lack. */
void GwRowCache_ApplyChanges(GwRowCache *cache, int64_t now_us,
                             const GwRowSet *set);
/* Applies a snapshot of the whole table. Rows that the snapshot lacks are
 * removed, immediately or after the grace period. */
void GwRowCache_ApplyFull(GwRowCache *cache, int64_t now_us,
                          const GwRowSet *set);
/* Removes rows whose grace period is over, and expired tombstones. */
void GwRowCache_Expire(GwRowCache *cache, int64_t now_us);
/* Delays removals that arrive before `until_us` by `grace_us`: after an outage
 * of the store, rows of live servers expire and are written again. */
void GwRowCache_SetGrace(GwRowCache *cache, int64_t until_us,
                         int64_t grace_us);
/* Returns whether the copy has all removals above the version. If not, a peer
 * at that version needs the whole table (GwRowCache_After with version 0, and
 * GwRowCache_ApplyFull). */
bool GwRowCache_HasRemovalsAfter(const GwRowCache *cache, uint64_t version);
/* Hash of the live rows and the versions of their last updates. Copies with
 * equal rows have equal digests, even if their versions differ. */
uint64_t GwRowCache_Digest(const GwRowCache *cache);
/* Total length in bytes of the values of rows updated after a version. */
uint64_t GwRowCache_BytesAfter(const GwRowCache *cache, uint64_t version);
/* Copies the rows updated after a version, tombstones included, sorted by
 * version; for peers. */
GwRowSet *GwRowCache_After(const GwRowCache *cache, uint64_t version);

#endif
