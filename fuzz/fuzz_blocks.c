/* Snapshots, deltas and texts of client blocks: each input is accepted whole
 * or rejected, and look-ups with and without index agree on the result. */
#include "blocks/blocks.h"

#include <glib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
check_lookups(const GwBlockSet *set)
{
    GwBlockMap *map = GwBlockMap_Build(set);

    for (uint64_t i = 0; i < 16; i++) {
        GwAddress a = {.v6 = i % 2 == 1, .bits = i * 0x1111111111111111ULL};
        g_assert(GwBlockMap_Find(map, a) == GwBlockMap_FindUnindexed(map, a));
    }
    GwBlockMap_Free(map);
}

static void
parse_text(const uint8_t *data, size_t size)
{
    char text[64] = {0};
    GwBlock block;

    memcpy(text, data, MIN(size, sizeof(text) - 1));
    if (!GwResult_IsError(GwBlock_Parse(text, 1, &block))) {
        g_assert(block.length <= (block.v6 ? 64 : 32));
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    GwBlockSet *set = GwBlockSet_Create();

    if (!GwResult_IsError(GwBlockSet_ApplySnapshot(set, data, size))) {
        check_lookups(set);
    }
    GwBlockSet_ApplyDelta(set, data, size);
    parse_text(data, size);
    GwBlockSet_Free(set);
    return 0;
}
