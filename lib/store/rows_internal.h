/* State of a copy, shared by the files that change it and that read it. */
#ifndef GW_STORE_ROWS_INTERNAL_H
#define GW_STORE_ROWS_INTERNAL_H

#include "store/rows.h"

/* A row that is absent from the store since `version` and is removed here at
 * `due_us`, unless the store has the row again by then. */
typedef struct {
    int64_t due_us;
    GwStoreVersion version;
} GwPendingRemoval;

/* A removed row that a restored store has again. It is restored at `due_us`,
 * unless the store has removed it by then. */
typedef struct {
    int64_t due_us;
    GwStoreRow *row; /* owned */
} GwPendingReturn;

struct GwRowCache_s {
    GHashTable *rows;     /* key -> GwStoreRow */
    GHashTable *removals; /* key -> GwPendingRemoval */
    GHashTable *returns;  /* key -> GwPendingReturn */
    GwStoreVersion version;
    /* All removals above `removals_since` are known, but for those between
     * `unread_from` and `unread_to`: a whole table was read then, and rows that
     * had been added and removed in between have no tombstones. */
    GwStoreVersion removals_since;
    GwStoreVersion unread_from;
    GwStoreVersion unread_to;
    GwStoreVersion copied; /* first version that was read of this era */
    int64_t grace_until_us;
    int64_t era_grace_us;
    uint32_t expected_era; /* newest one known of the store */
    GwRowChanged changed;
    GwRowIsUpdate is_update; /* NULL: all changes are updates */
    GwRowOrder order;        /* NULL: no row has an order of its own */
    void *ctx;
};

#endif
