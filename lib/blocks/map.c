/* The look-up table: address ranges in order, and an index by their upper
 * bits.
 *
 * Nested blocks are flattened into ranges that do not overlap, each with one
 * site. An address is found among the few ranges that share its upper
 * INDEX_BITS bits. Weighed against a multi-bit trie: that is faster by a few
 * cache misses, but a look-up here costs tens of nanoseconds, hundreds of times
 * below what the caller's HTTP request costs, and the flat table is built in
 * one pass and checked by eye. bench/blocks.c measures both this and a plain
 * binary search. */
#include "blocks/blocks_internal.h"

#include <assert.h>
#include <glib.h>

#define INDEX_BITS  16
#define INDEX_COUNT (1u << INDEX_BITS)
#define DEPTH_MAX   66 /* nested prefixes of one address: 0 to 64, and none */

/* Ranges of one family. Range i reaches from starts[i] to starts[i + 1]. */
typedef struct {
    uint32_t count;
    uint64_t *starts;
    uint16_t *sites;
    uint32_t *first; /* INDEX_COUNT + 1: last range starting at or below */
} RangeTable;

struct GwBlockMap_s {
    uint64_t version;
    RangeTable v4;
    RangeTable v6;
};

typedef struct {
    uint64_t last;
    uint16_t site;
} Open;

typedef struct {
    RangeTable *table;
    uint32_t depth;
    Open open[DEPTH_MAX];
} Builder;

/* Begins a range, unless it only goes on with the site before it. A range that
 * would be empty is overwritten. */
static void
begin_range(RangeTable *table, uint64_t start, uint16_t site)
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

/* Closes open blocks that end before `start`. */
static void
close_before(Builder *b, uint64_t start)
{
    while (b->depth > 0 && b->open[b->depth - 1].last < start) {
        uint64_t next = b->open[b->depth - 1].last + 1;
        b->depth--;
        uint16_t outer =
            b->depth > 0 ? b->open[b->depth - 1].site : GW_SITE_NONE;
        begin_range(b->table, next, outer);
    }
}

static void
add_block(Builder *b, const GwBlock *block)
{
    close_before(b, block->bits);
    begin_range(b->table, block->bits, block->site);
    assert(b->depth < DEPTH_MAX);
    b->open[b->depth++] =
        (Open){.last = GwBlock_Last(block), .site = block->site};
}

/* Closes what is still open. A block that ends at the last address of all has
 * nothing after it. */
static void
close_all(Builder *b)
{
    while (b->depth > 0) {
        uint64_t last = b->open[b->depth - 1].last;
        b->depth--;
        if (last != UINT64_MAX) {
            uint16_t outer =
                b->depth > 0 ? b->open[b->depth - 1].site : GW_SITE_NONE;
            begin_range(b->table, last + 1, outer);
        }
    }
}

static void
build_index(RangeTable *table)
{
    uint32_t range = 0;

    table->first = g_new(uint32_t, INDEX_COUNT + 1);
    for (uint32_t i = 0; i < INDEX_COUNT; i++) {
        uint64_t start = (uint64_t)i << (64 - INDEX_BITS);
        while (range + 1 < table->count && table->starts[range + 1] <= start) {
            range++;
        }
        table->first[i] = range;
    }
    table->first[INDEX_COUNT] = table->count - 1;
}

static void
build_family(const GwBlockSet *set, bool v6, RangeTable *table)
{
    Builder b = {.table = table};

    /* Each block begins one range and ends in at most one more. */
    table->starts = g_new(uint64_t, 2 * (size_t)set->count + 1);
    table->sites = g_new(uint16_t, 2 * (size_t)set->count + 1);
    begin_range(table, 0, GW_SITE_NONE);
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

/* Builds the table in one pass over the ordered set. */
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
    g_free(table->first);
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
        uint32_t middle = low + (high - low + 1) / 2;
        if (table->starts[middle] <= bits) {
            low = middle;
        }
        else {
            high = middle - 1;
        }
    }
    return low;
}

uint16_t
GwBlockMap_Find(const GwBlockMap *map, GwAddress address)
{
    const RangeTable *table = address.v6 ? &map->v6 : &map->v4;
    uint32_t i = (uint32_t)(address.bits >> (64 - INDEX_BITS));
    uint32_t at = last_at_or_below(table, table->first[i], table->first[i + 1],
                                   address.bits);
    return table->sites[at];
}

uint16_t
GwBlockMap_FindPlain(const GwBlockMap *map, GwAddress address)
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

/* Memory of the map, index included. */
size_t
GwBlockMap_Bytes(const GwBlockMap *map)
{
    return sizeof(*map) + table_bytes(&map->v4) + table_bytes(&map->v6);
}

uint32_t
GwBlockMap_Ranges(const GwBlockMap *map)
{
    return map->v4.count + map->v6.count;
}

uint64_t
GwBlockMap_Version(const GwBlockMap *map)
{
    return map->version;
}
