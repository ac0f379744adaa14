/* Internal header of lib/blocks. */
#ifndef GW_BLOCKS_BLOCKS_INTERNAL_H
#define GW_BLOCKS_BLOCKS_INTERNAL_H

#include "blocks/blocks.h"

/* Blocks are sorted by GwBlock_Compare and have distinct prefixes, so that an
 * enclosing block precedes the blocks nested in it. */
struct GwBlockSet_s {
    uint64_t version;
    uint32_t count;
    GwBlock *blocks;
};

/* Orders by address family (IPv4 first), bits, then prefix length. */
int GwBlock_Compare(const GwBlock *a, const GwBlock *b);
/* The last address of the block, as GwAddress.bits. */
uint64_t GwBlock_Last(const GwBlock *block);

#endif
