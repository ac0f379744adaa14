/* Client blocks at the target size: 670,000 blocks, 86 sites. Prints bytes per
 * block, build time, bytes of a delta, and the cost of an indexed look-up and
 * of a binary search without index. Only the ratio of the two compares between
 * machines. */
#include "blocks/blocks.h"
#include "common/rng.h"

#include <glib.h>
#include <stdio.h>
#include <time.h>

#define BLOCKS  670000u
#define SITES   86u
#define LOOKUPS 4000000u

static double
wall_seconds(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static double
cpu_seconds(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

/* Makes distinct random blocks of /16 to /24 in the unicast address space,
 * most of them /24, as in routing tables. */
static GwBlock *
make_blocks(void)
{
    GwRng rng = GwRng_Make(670);
    GwBlock *blocks = g_new(GwBlock, BLOCKS);
    GHashTable *seen =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);

    for (uint32_t i = 0; i < BLOCKS;) {
        uint32_t draw = GwRng_Below(&rng, 10);
        uint8_t length = (uint8_t)(draw < 6 ? 24 : 16 + draw);
        uint64_t start =
            (uint64_t)(0x01000000 + GwRng_Below(&rng, 0xdf000000u)) << 32;
        start &= UINT64_MAX << (64 - length);
        uint64_t *key = g_new(uint64_t, 1);
        *key = start >> 32 | length;
        if (!g_hash_table_add(seen, key)) {
            continue;
        }
        blocks[i++] = (GwBlock){.length = length,
                                .site = (uint16_t)GwRng_Below(&rng, SITES),
                                .bits = start};
    }
    g_hash_table_destroy(seen);
    return blocks;
}

typedef uint16_t (*FindFn)(const GwBlockMap *, GwAddress);

static double
time_lookups(const GwBlockMap *map, FindFn find, uint64_t *sum)
{
    GwRng rng = GwRng_Make(1);
    double start = cpu_seconds();

    for (uint32_t i = 0; i < LOOKUPS; i++) {
        GwAddress a = {.bits = GwRng_Next(&rng)};
        *sum += find(map, a);
    }
    return cpu_seconds() - start;
}

int
main(void)
{
    GwBlock *blocks = make_blocks();
    GwBlockSet *set = GwBlockSet_Create();
    size_t len = 0;
    size_t delta_len = 0;
    uint64_t sum[2] = {0};

    uint8_t *snapshot = GwBlocks_EncodeSnapshot(1, blocks, BLOCKS, &len);
    double start = wall_seconds();
    GwResult count = GwBlockSet_ApplySnapshot(set, snapshot, len);
    double read_s = wall_seconds() - start;
    start = wall_seconds();
    GwBlockMap *map = GwBlockMap_Build(set);
    double build_s = wall_seconds() - start;
    uint8_t *delta = GwBlocks_EncodeDelta(1, 2, blocks, 100, &delta_len);
    start = wall_seconds();
    GwResult changed = GwBlockSet_ApplyDelta(set, delta, delta_len);
    double delta_s = wall_seconds() - start;

    double indexed_s = time_lookups(map, GwBlockMap_Find, &sum[0]);
    double plain_s = time_lookups(map, GwBlockMap_FindUnindexed, &sum[1]);
    if (count != BLOCKS || changed != 100 || sum[0] != sum[1]) {
        fprintf(stderr,
                "blocks: wrong counts, or the two searches disagree\n");
        return 1;
    }
    printf("blocks=%u sites=%u ranges=%u\n", BLOCKS, SITES,
           GwBlockMap_RangeCount(map));
    printf("map_bytes=%zu per_block=%.1f snapshot_bytes=%zu\n",
           GwBlockMap_Bytes(map), (double)GwBlockMap_Bytes(map) / BLOCKS, len);
    printf("read_ms=%.0f build_ms=%.0f delta_100_bytes=%zu delta_ms=%.0f\n",
           read_s * 1e3, build_s * 1e3, delta_len, delta_s * 1e3);
    printf("lookup_ns=%.0f plain_ns=%.0f ratio=%.2f per_core_s=%.0f\n",
           indexed_s * 1e9 / LOOKUPS, plain_s * 1e9 / LOOKUPS,
           indexed_s / plain_s, LOOKUPS / indexed_s);
    printf("share_of_core_at_370_s=%.6f%%\n", indexed_s / LOOKUPS * 370 * 100);
    g_free(delta);
    g_free(snapshot);
    GwBlockMap_Free(map);
    GwBlockSet_Free(set);
    g_free(blocks);
    return 0;
}
