/* Private to the package of client blocks. */
#ifndef GW_BLOCKS_BLOCKS_INTERNAL_H
#define GW_BLOCKS_BLOCKS_INTERNAL_H

#include "blocks/blocks.h"

/* Ordered by family, bits, then length, without two of one prefix: an outer
 * block comes before those inside it. */
struct GwBlockSet_s {
    uint64_t version;
    uint32_t count;
    GwBlock *blocks;
};

int GwBlock_Compare(const GwBlock *a, const GwBlock *b);
/* Last address of the block's range. */
uint64_t GwBlock_Last(const GwBlock *block);

#endif
