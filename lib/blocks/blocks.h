/* Client blocks: from a client's address to the site that should serve it.
 *
 * A block is an address prefix, IPv4 or IPv6 up to /64, with a site. The
 * longest prefix that holds the address decides. A GwBlockMap is immutable:
 * it is built from a GwBlockSet, published, and replaced as a whole, so that
 * look-ups take no lock. Snapshots and deltas are checked byte for byte; a
 * truncated or corrupt one changes nothing.
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

/* An address: IPv4 in the upper 32 bits of `bits`, or the upper 64 bits of
 * an IPv6 address. Longer IPv6 prefixes than /64 name single networks and
 * are not steered by. */
typedef struct {
    bool v6;
    uint64_t bits;
} GwAddress;

typedef struct {
    bool v6;
    uint8_t length; /* prefix length: 0 to 32, or 0 to 64 */
    uint16_t site;
    uint64_t bits; /* zero below the prefix */
} GwBlock;

/* GW_ERR(PARSE) when the text is no address or block. */
GwResult GwAddress_Parse(const char *text, GwAddress *out);
GwResult GwBlock_Parse(const char *text, uint16_t site, GwBlock *out);

/* ---- the set, which changes ---- */

typedef struct GwBlockSet_s GwBlockSet;

GwBlockSet *GwBlockSet_Create(void);
void GwBlockSet_Free(GwBlockSet *set);
uint64_t GwBlockSet_Version(const GwBlockSet *set);
uint32_t GwBlockSet_Count(const GwBlockSet *set);

/* Replaces the set. GW_ERR(CORRUPT) for a wrong length, checksum, order or
 * field; GW_ERR(STALE) for a version not above the present one. */
GwResult GwBlockSet_ApplySnapshot(GwBlockSet *set, const uint8_t *bytes,
                                  size_t len);
/* Changes the set. GW_ERR(CONFLICT) when the delta is not based on the
 * present version; else as above. */
GwResult GwBlockSet_ApplyDelta(GwBlockSet *set, const uint8_t *bytes,
                               size_t len);

/* Encoders, for tools and tests. Blocks need not be ordered. A delta block
 * with site GW_SITE_NONE is removed. The result is freed with g_free. */
uint8_t *GwBlocks_EncodeSnapshot(uint64_t version, const GwBlock *blocks,
                                 uint32_t count, size_t *len);
uint8_t *GwBlocks_EncodeDelta(uint64_t base, uint64_t version,
                              const GwBlock *blocks, uint32_t count,
                              size_t *len);

/* ---- the map, which does not ---- */

typedef struct GwBlockMap_s GwBlockMap;

GwBlockMap *GwBlockMap_Build(const GwBlockSet *set);
void GwBlockMap_Free(GwBlockMap *map);
/* The site of the longest block that holds the address, else
 * GW_SITE_NONE. */
uint16_t GwBlockMap_Find(const GwBlockMap *map, GwAddress address);
/* The same by plain binary search over all ranges: the baseline that
 * bench/blocks.c measures against. */
uint16_t GwBlockMap_FindPlain(const GwBlockMap *map, GwAddress address);
size_t GwBlockMap_Bytes(const GwBlockMap *map);
uint32_t GwBlockMap_Ranges(const GwBlockMap *map);
uint64_t GwBlockMap_Version(const GwBlockMap *map);

#endif
