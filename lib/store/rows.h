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

/* One table's copy. */
typedef struct GwRowCache_s GwRowCache;

/* Called for each row that is new or changed; `row->removed` for a dropped
 * one. */
typedef void (*GwRowChanged)(void *ctx, const GwStoreRow *row);

GwRowCache *GwRowCache_Create(GwRowChanged changed, void *ctx);
void GwRowCache_Free(GwRowCache *cache);
uint64_t GwRowCache_Version(const GwRowCache *cache);
/* Takes changes. */
void GwRowCache_Apply(GwRowCache *cache, int64_t now_us, const GwRowSet *set);
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
/* Bytes of the values of rows above a version. */
uint64_t GwRowCache_BytesAfter(const GwRowCache *cache, uint64_t version);
/* Rows above a version, marks included, in order; for peers. */
GwRowSet *GwRowCache_After(const GwRowCache *cache, uint64_t version);

#endif
