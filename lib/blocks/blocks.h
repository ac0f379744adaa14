/* Client blocks: map a client's address to the site that should serve it.
 *
 * A block assigns a site to an address prefix, IPv4 or IPv6 up to /64. The
 * longest matching prefix wins. A GwBlockMap is immutable: it is built from a
 * GwBlockSet, published, and replaced as a whole, so that look-ups take no
 * lock. Snapshots and deltas are validated completely before they are applied;
 * truncated or corrupt input leaves the set unchanged.
 *
 *     GwBlockSet *set = GwBlockSet_Create();
 *     GwBlockSet_ApplySnapshot(set, bytes, len);
 *     GwBlockMap *map = GwBlockMap_Build(set);
 *     uint16_t site = GwBlockMap_Find(map, address);
 */
#ifndef GW_BLOCKS_BLOCKS_H
#define GW_BLOCKS_BLOCKS_H

#include "godwitridge_errors.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define GW_SITE_NONE  UINT16_MAX
#define GW_SITES_MAX  1024
#define GW_BLOCKS_MAX 4000000u

/* An IPv4 address in the upper 32 bits of `bits`, or the upper 64 bits of an
 * IPv6 address. IPv6 prefixes longer than /64 lie within one network and are
 * not used for steering. */
typedef struct {
    bool v6;
    uint64_t bits;
} GwAddress;

typedef struct {
    bool v6;
    uint8_t length; /* prefix length: 0 to 32, or 0 to 64 */
    uint16_t site;
    uint64_t bits; /* the bits below the prefix are zero */
} GwBlock;

/* Parse an address, or a block as "address/length". GW_ERR(PARSE) for other
 * text. */
GwResult GwAddress_Parse(const char *text, GwAddress *out);
GwResult GwBlock_Parse(const char *text, uint16_t site, GwBlock *out);

/* ---- GwBlockSet: the mutable, ordered set of blocks ---- */

typedef struct GwBlockSet_s GwBlockSet;

GwBlockSet *GwBlockSet_Create(void);
void GwBlockSet_Free(GwBlockSet *set);
uint64_t GwBlockSet_Version(const GwBlockSet *set);
uint32_t GwBlockSet_Count(const GwBlockSet *set);

/* Replaces the set and returns the number of blocks. GW_ERR(CORRUPT) for a
 * wrong length, checksum, order or field; GW_ERR(STALE) for a version that is
 * not above the current one. */
GwResult GwBlockSet_ApplySnapshot(GwBlockSet *set, const uint8_t *bytes,
                                  size_t len);
/* Adds, replaces and removes blocks and returns the number of changes.
 * GW_ERR(CONFLICT) when the delta is not based on the current version; other
 * errors as for a snapshot. */
GwResult GwBlockSet_ApplyDelta(GwBlockSet *set, const uint8_t *bytes,
                               size_t len);

/* Encoders for tools and tests. Blocks may be in any order. In a delta, site
 * GW_SITE_NONE removes the block. Free the result with g_free. */
uint8_t *GwBlocks_EncodeSnapshot(uint64_t version, const GwBlock *blocks,
                                 uint32_t count, size_t *len);
uint8_t *GwBlocks_EncodeDelta(uint64_t base, uint64_t version,
                              const GwBlock *blocks, uint32_t count,
                              size_t *len);

/* ---- GwBlockMap: the immutable look-up table ---- */

typedef struct GwBlockMap_s GwBlockMap;

GwBlockMap *GwBlockMap_Build(const GwBlockSet *set);
void GwBlockMap_Free(GwBlockMap *map);
/* The site of the longest matching block; GW_SITE_NONE when none matches. */
uint16_t GwBlockMap_Find(const GwBlockMap *map, GwAddress address);
/* Same result by binary search over all ranges, without the index. The
 * baseline of bench/blocks.c. */
uint16_t GwBlockMap_FindUnindexed(const GwBlockMap *map, GwAddress address);
/* Memory of the map in bytes, index included. */
size_t GwBlockMap_Bytes(const GwBlockMap *map);
uint32_t GwBlockMap_RangeCount(const GwBlockMap *map);
uint64_t GwBlockMap_Version(const GwBlockMap *map);

#endif
