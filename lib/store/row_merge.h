/* Decides between the row that a copy holds and one that it receives.
 *
 * Within an era of the store the greater version wins. Across eras the version
 * says little: a restored store shows older values at newer versions. Values
 * that have an order of their own (the version of a configuration, the start
 * and the heartbeats of a server) are then merged by that order. */
#ifndef GW_STORE_ROW_MERGE_H
#define GW_STORE_ROW_MERGE_H

#include "store/rows.h"

typedef enum {
    GW_MERGE_IGNORE = 1, /* the held row stays */
    GW_MERGE_TAKE,       /* the received row replaces it */
    GW_MERGE_RENUMBER,   /* the held value stays, at the received version */
    GW_MERGE_AMEND,      /* the received value is taken, at the held version */
    GW_MERGE_HOLD_BACK   /* the row was removed, and may be back only because
                          * the store shows an older state */
} GwRowMerge;

/* `held`: NULL if there is none. `copied`: what a restored store has up to this
 * version may be its copy's; newer rows were written since. */
GwRowMerge GwStoreRow_Merge(const GwStoreRow *held, const GwStoreRow *received,
                            GwStoreVersion copied, GwRowOrder order,
                            void *ctx);

#endif
