/* A local copy of a table of the platform's store.
 *
 * Rows arrive from the store or, while the store rejects this entry, from
 * peers. Within an era of the store the greater version wins regardless of
 * source and order of arrival. Removed rows leave tombstones for a while, so
 * that an older copy from a peer does not restore them.
 *
 * A new era begins when the store is restored from a copy, which lacks the last
 * changes (store/version.h). What is held stays in force until it is known to
 * be wrong: values with an order of their own do not go back
 * (store/row_merge.h), rows that the store lacks are removed after a grace
 * period, and rows that were removed come back only when they are written
 * again. */
#ifndef GW_STORE_ROWS_H
#define GW_STORE_ROWS_H

#include "store/version.h"

#include <glib.h>

typedef struct {
    char *key;
    char *value; /* NULL if removed */
    GwStoreVersion version;
    bool removed;
    int64_t removed_us; /* when this entry learned of the removal */
    char *last_value;   /* of a removed row: its value before; or NULL */
    bool is_ahead; /* the value is newer than that of the store's `version` */
    /* The last change that is sent to peers (GwRowIsUpdate): its version, its
     * time, and its value if `value` has changed since; else NULL. */
    GwStoreVersion update_version;
    char *update_value;
    int64_t update_us;
} GwStoreRow;

GwStoreRow *GwStoreRow_Create(const char *key, const char *value,
                              GwStoreVersion version, bool removed);
void GwStoreRow_Free(GwStoreRow *row);

/* One page of rows, as read from the store or a peer. */
typedef struct {
    GPtrArray *rows; /* GwStoreRow, owned */
    GwStoreVersion version;
    bool more; /* further pages follow after the last key */
} GwRowSet;

GwRowSet *GwRowSet_Create(void);
void GwRowSet_Free(GwRowSet *set);
/* Sets the era of all versions in the set. */
void GwRowSet_SetEra(GwRowSet *set, uint32_t era);
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

typedef enum {
    GW_ORDER_NONE = 0, /* the values have no order of their own */
    GW_ORDER_OLDER,
    GW_ORDER_SAME,
    GW_ORDER_NEWER
} GwValueOrder;

/* How a value of the row compares with another one by their content. */
typedef GwValueOrder (*GwRowOrder)(void *ctx, const char *key,
                                   const char *value, const char *than);

GwRowCache *GwRowCache_Create(GwRowChanged changed, void *ctx);
void GwRowCache_SetIsUpdate(GwRowCache *cache, GwRowIsUpdate is_update);
void GwRowCache_SetOrder(GwRowCache *cache, GwRowOrder order);
/* Sets the grace period for rows that a restored store lacks. */
void GwRowCache_SetEraGrace(GwRowCache *cache, int64_t grace_us);
void GwRowCache_Free(GwRowCache *cache);
/* The store version up to which the copy has all updates. */
GwStoreVersion GwRowCache_Version(const GwRowCache *cache);
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
/* Removes rows whose grace period is over, and expired tombstones, and restores
 * rows that were held back for long enough. */
void GwRowCache_Expire(GwRowCache *cache, int64_t now_us);
/* Sets all versions to 0, which any answer of the store replaces, and keeps the
 * values: the era of the copy turned out to be wrong. */
void GwRowCache_ForgetVersions(GwRowCache *cache);
/* Number of rows that the store lacks or has brought back, and that wait for the
 * end of their grace period. */
uint32_t GwRowCache_PendingCount(const GwRowCache *cache);
/* Delays removals until then: after an outage of the store, rows of live
 * servers are missing until they are written again. */
void GwRowCache_SetGrace(GwRowCache *cache, int64_t until_us);
/* The store was restored: begins the grace period of that era, once. */
void GwRowCache_ExpectEra(GwRowCache *cache, int64_t now_us, uint32_t era);
/* Returns whether the copy has all removals above the version. If not, a peer
 * at that version needs the whole table (GwRowCache_After with version 0, and
 * GwRowCache_ApplyFull). */
bool GwRowCache_HasRemovalsAfter(const GwRowCache *cache,
                                 GwStoreVersion version);
/* Hash of the live rows and the versions of their last updates. Copies with
 * equal rows have equal digests, even if their versions differ. */
uint64_t GwRowCache_Digest(const GwRowCache *cache);
/* Total length in bytes of the values of rows updated after a version. */
uint64_t GwRowCache_BytesAfter(const GwRowCache *cache,
                               GwStoreVersion version);
/* Copies the rows updated after a version, tombstones included, sorted by
 * version; for peers. */
GwRowSet *GwRowCache_After(const GwRowCache *cache, GwStoreVersion version);

#endif
