/* Rows of the platform's store as this entry knows them.
 *
 * The copy is fed by the store and, while the store turns this entry away, by
 * peers. Every row carries the store's version of it, which only rises, so
 * whatever comes later or from elsewhere, the greater version wins. Dropped
 * rows are remembered for a while, so that a peer's older copy does not bring
 * them back. */
#ifndef GW_STORE_ROWS_H
#define GW_STORE_ROWS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
    char *key;
    char *value; /* NUL-terminated; NULL when removed */
    uint64_t version;
    bool removed;
    int64_t removed_us; /* when it became known here */
    /* The last change that was news to entries (GwRowIsNews), and the value
     * that it brought, where a later one said no more; else NULL. */
    uint64_t news_version;
    char *news_value;
    int64_t news_us;
} GwStoreRow;

GwStoreRow *GwStoreRow_Create(const char *key, const char *value,
                              uint64_t version, bool removed);
void GwStoreRow_Free(GwStoreRow *row);

/* An answer of the store about rows. */
typedef struct {
    GPtrArray *rows; /* GwStoreRow, owned */
    uint64_t version;
    bool more; /* a further page follows the last key */
} GwRowSet;

GwRowSet *GwRowSet_Create(void);
void GwRowSet_Free(GwRowSet *set);
/* Where the next page begins: behind this key. NULL for a set without rows,
 * and for no set. */
const char *GwRowSet_LastKey(const GwRowSet *set);

/* One table's copy. */
typedef struct GwRowCache_s GwRowCache;

/* Called for each row that is new or changed; `row->removed` for a dropped
 * one. */
typedef void (*GwRowChanged)(void *ctx, const GwStoreRow *row);

/* Whether a changed value says more than what is to be expected of the row
 * `age_us` after it had the old one. A warming server counts down in its row,
 * and every entry would be told of each step. */
typedef bool (*GwRowIsNews)(void *ctx, const char *key, const char *old,
                            int64_t age_us, const char *value);

GwRowCache *GwRowCache_Create(GwRowChanged changed, void *ctx);
void GwRowCache_SetIsNews(GwRowCache *cache, GwRowIsNews is_news);
void GwRowCache_Free(GwRowCache *cache);
/* All news up to this version of the store are known. */
uint64_t GwRowCache_Version(const GwRowCache *cache);
/* Takes all that is news up to the set's version, as a peer tells it. */
void GwRowCache_Apply(GwRowCache *cache, int64_t now_us, const GwRowSet *set);
/* Takes changes as the store tells them. The version rises only with news:
 * peers that lack a version ask for it. */
void GwRowCache_ApplyChanges(GwRowCache *cache, int64_t now_us,
                             const GwRowSet *set);
/* Takes a full reading, of all pages: rows that it lacks are gone, at once or
 * after the grace. */
void GwRowCache_ApplyFull(GwRowCache *cache, int64_t now_us,
                          const GwRowSet *set);
/* Drops what has been missing for its grace, and old marks. */
void GwRowCache_Tick(GwRowCache *cache, int64_t now_us);
/* Removals that come within `grace_us` count only after it; for the time
 * after the store was away, when rows lapse and come back. */
void GwRowCache_SetGrace(GwRowCache *cache, int64_t until_us,
                         int64_t grace_us);
/* Whether all removals above the version are known here; else who asks for
 * what is newer has to take the whole table (After 0, ApplyFull). */
bool GwRowCache_KnowsAllAfter(const GwRowCache *cache, uint64_t version);
/* The same for the same live rows with the same news, whatever the version. */
uint64_t GwRowCache_Digest(const GwRowCache *cache);
/* Bytes of the values of rows with news above a version. */
uint64_t GwRowCache_BytesAfter(const GwRowCache *cache, uint64_t version);
/* Rows with news above a version, marks included, in order; for peers. */
GwRowSet *GwRowCache_After(const GwRowCache *cache, uint64_t version);

#endif
