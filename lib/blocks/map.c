/* The look-up table: sorted address ranges and an index by their upper bits.
 *
 * Nested blocks are flattened into disjoint ranges with one site each. A
 * look-up does a binary search among the few ranges that share the upper
 * INDEX_BITS bits of the address. A multi-bit trie would save a few cache
 * misses, but a look-up here takes tens of nanoseconds, hundreds of times less
 * than the caller's HTTP request, and the flat table is built in one pass and
 * is easy to verify. bench/blocks.c compares it with a binary search over all
 * ranges. */
#include "blocks/blocks_internal.h"

#include <assert.h>
#include <glib.h>

#define INDEX_BITS  16
#define INDEX_COUNT (1u << INDEX_BITS)
#define DEPTH_MAX   66 /* nested prefixes of lengths 0 to 64, and a spare */

/* Ranges of one address family. Range i covers starts[i] up to, but not
 * including, starts[i + 1]. */
typedef struct {
    uint32_t count;
    uint64_t *starts;
    uint16_t *sites;
    /* For each value of the upper bits, the last range that starts at or below
     * its first address; then the last range of all. INDEX_COUNT + 1
     * entries. */
    uint32_t *index;
} RangeTable;

struct GwBlockMap_s {
    uint64_t version;
    RangeTable v4;
    RangeTable v6;
};

typedef struct {
    uint64_t last;
    uint16_t site;
} OpenBlock;

typedef struct {
    RangeTable *table;
    uint32_t depth;
    OpenBlock open[DEPTH_MAX];
} Builder;

/* Starts a range, or extends the previous range when it has the same site. An
 * empty previous range is overwritten. */
static void
start_range(RangeTable *table, uint64_t start, uint16_t site)
{
    if (table->count > 0 && table->starts[table->count - 1] == start) {
        table->count--;
    }
    if (table->count > 0 && table->sites[table->count - 1] == site) {
        return;
    }
    table->starts[table->count] = start;
    table->sites[table->count] = site;
    table->count++;
}

/* Closes the open blocks that end before `start`. */
static void
close_before(Builder *b, uint64_t start)
{
    while (b->depth > 0 && b->open[b->depth - 1].last < start) {
        uint64_t next = b->open[b->depth - 1].last + 1;
        b->depth--;
        uint16_t outer =
            b->depth > 0 ? b->open[b->depth - 1].site : GW_SITE_NONE;
        start_range(b->table, next, outer);
    }
}

static void
add_block(Builder *b, const GwBlock *block)
{
    close_before(b, block->bits);
    start_range(b->table, block->bits, block->site);
    assert(b->depth < DEPTH_MAX);
    b->open[b->depth++] =
        (OpenBlock){.last = GwBlock_Last(block), .site = block->site};
}

/* Closes all open blocks. No range follows a block that ends at the last
 * address of the family. */
static void
close_all(Builder *b)
{
    while (b->depth > 0) {
        uint64_t last = b->open[b->depth - 1].last;
        b->depth--;
        if (last != UINT64_MAX) {
            uint16_t outer =
                b->depth > 0 ? b->open[b->depth - 1].site : GW_SITE_NONE;
            start_range(b->table, last + 1, outer);
        }
    }
}

static void
build_index(RangeTable *table)
{
    uint32_t range = 0;

    table->index = g_new(uint32_t, INDEX_COUNT + 1);
    for (uint32_t i = 0; i < INDEX_COUNT; i++) {
        uint64_t start = (uint64_t)i << (64 - INDEX_BITS);
        while (range + 1 < table->count && table->starts[range + 1] <= start) {
            range++;
        }
        table->index[i] = range;
    }
    table->index[INDEX_COUNT] = table->count - 1;
}

static void
build_family(const GwBlockSet *set, bool v6, RangeTable *table)
{
    Builder b = {.table = table};

    /* Each block starts one range, and at most one more follows its end. */
    table->starts = g_new(uint64_t, 2 * (size_t)set->count + 1);
    table->sites = g_new(uint16_t, 2 * (size_t)set->count + 1);
    start_range(table, 0, GW_SITE_NONE);
    for (uint32_t i = 0; i < set->count; i++) {
        if (set->blocks[i].v6 == v6) {
            add_block(&b, &set->blocks[i]);
        }
    }
    close_all(&b);
    table->starts = g_renew(uint64_t, table->starts, table->count);
    table->sites = g_renew(uint16_t, table->sites, table->count);
    build_index(table);
}

GwBlockMap *
GwBlockMap_Build(const GwBlockSet *set)
{
    GwBlockMap *map = g_new0(GwBlockMap, 1);
    map->version = set->version;
    build_family(set, false, &map->v4);
    build_family(set, true, &map->v6);
    return map;
}

static void
free_table(RangeTable *table)
{
    g_free(table->starts);
    g_free(table->sites);
    g_free(table->index);
}

void
GwBlockMap_Free(GwBlockMap *map)
{
    if (map == NULL) {
        return;
    }
    free_table(&map->v4);
    free_table(&map->v6);
    g_free(map);
}

/* The last range in [low, high] that starts at or below the address. */
static uint32_t
last_at_or_below(const RangeTable *table, uint32_t low, uint32_t high,
                 uint64_t bits)
{
    while (low < high) {
        uint32_t mid = low + (high - low + 1) / 2;
        if (table->starts[mid] <= bits) {
            low = mid;
        }
        else {
            high = mid - 1;
        }
    }
    return low;
}

uint16_t
GwBlockMap_Find(const GwBlockMap *map, GwAddress address)
{
    const RangeTable *table = address.v6 ? &map->v6 : &map->v4;
    uint32_t i = (uint32_t)(address.bits >> (64 - INDEX_BITS));
    uint32_t at = last_at_or_below(table, table->index[i], table->index[i + 1],
                                   address.bits);
    return table->sites[at];
}

uint16_t
GwBlockMap_FindUnindexed(const GwBlockMap *map, GwAddress address)
{
    const RangeTable *table = address.v6 ? &map->v6 : &map->v4;
    uint32_t at = last_at_or_below(table, 0, table->count - 1, address.bits);
    return table->sites[at];
}

static size_t
table_bytes(const RangeTable *table)
{
    return table->count * (sizeof(uint64_t) + sizeof(uint16_t)) +
           (INDEX_COUNT + 1) * sizeof(uint32_t);
}

size_t
GwBlockMap_Bytes(const GwBlockMap *map)
{
    return sizeof(*map) + table_bytes(&map->v4) + table_bytes(&map->v6);
}

uint32_t
GwBlockMap_RangeCount(const GwBlockMap *map)
{
    return map->v4.count + map->v6.count;
}

uint64_t
GwBlockMap_Version(const GwBlockMap *map)
{
    return map->version;
}
