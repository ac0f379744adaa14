#include "store/row_merge.h"

#include <string.h>

#ifndef GW_MUTANT
#define GW_MUTANT 0 /* tests/mutants.sh disables one safeguard at a time */
#endif

static GwValueOrder
compare_values(GwRowOrder order, void *ctx, const char *key, const char *value,
               const char *than)
{
#if GW_MUTANT == 122 /* breaks: what has an order of its own keeps to it */
    return GW_ORDER_NONE;
#endif
    if (order == NULL || than == NULL) {
        return GW_ORDER_NONE;
    }
    return order(ctx, key, value, than);
}

static GwRowMerge
merge_with_tombstone(const GwStoreRow *held, const GwStoreRow *received,
                     GwStoreVersion copied, GwRowOrder order, void *ctx)
{
    if (!GwStoreVersion_IsNewer(received->version, held->version)) {
        return GW_MERGE_IGNORE;
    }
#if GW_MUTANT == 123 /* breaks: a copy brings back no row that was removed */
    return GW_MERGE_TAKE;
#endif
    if (received->version.era == held->version.era ||
        GwStoreVersion_IsNewer(received->version, copied) ||
        compare_values(order, ctx, received->key, received->value,
                       held->last_value) == GW_ORDER_NEWER) {
        return GW_MERGE_TAKE;
    }
    return GW_MERGE_HOLD_BACK;
}

static GwRowMerge
merge_values(const GwStoreRow *held, const GwStoreRow *received,
             GwRowOrder order, void *ctx)
{
    int newer = GwStoreVersion_Compare(received->version, held->version);
    bool is_same_era = received->version.era == held->version.era;

    if (newer != 0 && is_same_era && !held->is_ahead) {
        return newer > 0 ? GW_MERGE_TAKE : GW_MERGE_IGNORE;
    }
    if (newer == 0 && strcmp(received->value, held->value) == 0) {
        return GW_MERGE_IGNORE;
    }
    switch (compare_values(order, ctx, received->key, received->value,
                           held->value)) {
    case GW_ORDER_OLDER:
        return newer > 0 ? GW_MERGE_RENUMBER : GW_MERGE_IGNORE;
    case GW_ORDER_NEWER:
        return newer > 0 ? GW_MERGE_TAKE : GW_MERGE_AMEND;
    case GW_ORDER_NONE:
    case GW_ORDER_SAME:
        break;
    }
    return newer > 0 ? GW_MERGE_TAKE : GW_MERGE_IGNORE;
}

GwRowMerge
GwStoreRow_Merge(const GwStoreRow *held, const GwStoreRow *received,
                 GwStoreVersion copied, GwRowOrder order, void *ctx)
{
    if (held == NULL) {
        return GW_MERGE_TAKE;
    }
    if (received->removed) {
        return GwStoreVersion_IsNewer(received->version, held->version)
                   ? GW_MERGE_TAKE
                   : GW_MERGE_IGNORE;
    }
    if (held->removed) {
        return merge_with_tombstone(held, received, copied, order, ctx);
    }
    return merge_values(held, received, order, ctx);
}
