/* The set of blocks and its binary formats.
 *
 * All numbers are big-endian. A snapshot:
 *     "GWB1" version:8 count:4 { block }* xxh64:8
 * A delta:
 *     "GWD1" base:8 version:8 count:4 { block }* xxh64:8
 * A block, 12 bytes: flags:1 (bit 0: IPv6) length:1 site:2 bits:8. The
 * checksum covers all bytes before it. Blocks are sorted and have distinct
 * prefixes; the reader checks this and never sorts received blocks. */
#include "blocks/blocks_internal.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define BLOCK_BYTES     12
#define CHECKSUM_BYTES  8
#define SNAPSHOT_HEADER 16
#define DELTA_HEADER    24

/* ---- text --------------------------------------------------------------- */

GwResult
GwAddress_Parse(const char *text, GwAddress *out)
{
    struct in_addr v4;
    struct in6_addr v6;

    if (inet_pton(AF_INET, text, &v4) == 1) {
        *out = (GwAddress){.bits = (uint64_t)ntohl(v4.s_addr) << 32};
        return 0;
    }
    if (inet_pton(AF_INET6, text, &v6) == 1) {
        uint64_t upper = 0;
        memcpy(&upper, v6.s6_addr, sizeof(upper));
        *out = (GwAddress){.v6 = true, .bits = GUINT64_FROM_BE(upper)};
        return 0;
    }
    return GW_ERR(PARSE);
}

static uint64_t
prefix_mask(uint8_t length)
{
    return length == 0 ? 0 : UINT64_MAX << (64 - length);
}

/* Address bits below the prefix are an error, because they usually mean that
 * the prefix length is wrong. */
GwResult
GwBlock_Parse(const char *text, uint16_t site, GwBlock *out)
{
    char address[64];
    const char *slash = strchr(text, '/');
    GwAddress a = {0};

    if (slash == NULL || (size_t)(slash - text) >= sizeof(address)) {
        return GW_ERR(PARSE);
    }
    memcpy(address, text, (size_t)(slash - text));
    address[slash - text] = '\0';
    if (GwResult_IsError(GwAddress_Parse(address, &a))) {
        return GW_ERR(PARSE);
    }
    char *end = NULL;
    unsigned long length = strtoul(slash + 1, &end, 10);
    struct in6_addr v6;
    if (a.v6 && inet_pton(AF_INET6, address, &v6) == 1) {
        uint64_t lower = 0;
        memcpy(&lower, v6.s6_addr + 8, sizeof(lower));
        if (lower != 0) {
            return GW_ERR(PARSE);
        }
    }
    if (end == slash + 1 || *end != '\0' || length > (a.v6 ? 64 : 32) ||
        (a.bits & ~prefix_mask((uint8_t)length)) != 0) {
        return GW_ERR(PARSE);
    }
    *out = (GwBlock){
        .v6 = a.v6, .length = (uint8_t)length, .site = site, .bits = a.bits};
    return 0;
}

/* ---- set ---------------------------------------------------------------- */

int
GwBlock_Compare(const GwBlock *a, const GwBlock *b)
{
    if (a->v6 != b->v6) {
        return a->v6 ? 1 : -1;
    }
    if (a->bits != b->bits) {
        return a->bits < b->bits ? -1 : 1;
    }
    return (int)a->length - (int)b->length;
}

uint64_t
GwBlock_Last(const GwBlock *block)
{
    return block->bits | ~prefix_mask(block->length);
}

GwBlockSet *
GwBlockSet_Create(void)
{
    return g_new0(GwBlockSet, 1);
}

void
GwBlockSet_Free(GwBlockSet *set)
{
    if (set != NULL) {
        g_free(set->blocks);
        g_free(set);
    }
}

uint64_t
GwBlockSet_Version(const GwBlockSet *set)
{
    return set->version;
}

uint32_t
GwBlockSet_Count(const GwBlockSet *set)
{
    return set->count;
}

/* ---- decoding ----------------------------------------------------------- */

static uint64_t
read_be(const uint8_t *at, int bytes)
{
    uint64_t value = 0;
    for (int i = 0; i < bytes; i++) {
        value = value << 8 | at[i];
    }
    return value;
}

/* Checks length, magic and checksum. Returns the block count or
 * GW_ERR(CORRUPT). */
static GwResult
check_frame(const uint8_t *bytes, size_t len, const char *magic,
            size_t header_len)
{
    if (len < header_len + CHECKSUM_BYTES || memcmp(bytes, magic, 4) != 0) {
        return GW_ERR(CORRUPT);
    }
    uint64_t count = read_be(bytes + header_len - 4, 4);
    if (count > GW_BLOCKS_MAX ||
        len != header_len + count * BLOCK_BYTES + CHECKSUM_BYTES) {
        return GW_ERR(CORRUPT);
    }
    uint64_t sum = read_be(bytes + len - CHECKSUM_BYTES, CHECKSUM_BYTES);
    if (sum != XXH64(bytes, len - CHECKSUM_BYTES, 0)) {
        return GW_ERR(CORRUPT);
    }
    return (GwResult)count;
}

static bool
read_block(const uint8_t *at, bool may_remove, GwBlock *out)
{
    out->v6 = at[0] == 1;
    out->length = at[1];
    out->site = (uint16_t)read_be(at + 2, 2);
    out->bits = read_be(at + 4, 8);

    bool is_removal = may_remove && out->site == GW_SITE_NONE;
    return at[0] <= 1 && out->length <= (out->v6 ? 64 : 32) &&
           (out->site < GW_SITES_MAX || is_removal) &&
           (out->bits & ~prefix_mask(out->length)) == 0;
}

/* Decodes and validates all blocks. Returns NULL when a block is invalid or
 * out of order; as the checksum has already matched, that is a fault of the
 * writer. */
static GwBlock *
read_blocks(const uint8_t *at, uint32_t count, bool may_remove)
{
    GwBlock *blocks = g_new(GwBlock, (size_t)count + 1);

    for (uint32_t i = 0; i < count; i++, at += BLOCK_BYTES) {
        bool is_valid =
            read_block(at, may_remove, &blocks[i]) &&
            (i == 0 || GwBlock_Compare(&blocks[i - 1], &blocks[i]) < 0);
        if (!is_valid) {
            g_free(blocks);
            return NULL;
        }
    }
    return blocks;
}

GwResult
GwBlockSet_ApplySnapshot(GwBlockSet *set, const uint8_t *bytes, size_t len)
{
    GwResult count = check_frame(bytes, len, "GWB1", SNAPSHOT_HEADER);
    if (GwResult_IsError(count)) {
        return count;
    }
    uint64_t version = read_be(bytes + 4, 8);
    if (version <= set->version) {
        return GW_ERR(STALE);
    }
    GwBlock *blocks =
        read_blocks(bytes + SNAPSHOT_HEADER, (uint32_t)count, false);
    if (blocks == NULL) {
        return GW_ERR(CORRUPT);
    }
    g_free(set->blocks);
    set->blocks = blocks;
    set->count = (uint32_t)count;
    set->version = version;
    return count;
}

/* Merges the sorted changes into the set. A change replaces the block with the
 * same prefix, or removes it when the site is GW_SITE_NONE. */
static void
merge_changes(GwBlockSet *set, const GwBlock *changes, uint32_t change_count)
{
    GwBlock *merged = g_new(GwBlock, (size_t)set->count + change_count + 1);
    uint32_t count = 0;
    uint32_t i = 0;
    uint32_t j = 0;

    while (i < set->count || j < change_count) {
        int order = i == set->count ? 1
                    : j == change_count
                        ? -1
                        : GwBlock_Compare(&set->blocks[i], &changes[j]);
        if (order < 0) {
            merged[count++] = set->blocks[i++];
            continue;
        }
        if (changes[j].site != GW_SITE_NONE) {
            merged[count++] = changes[j];
        }
        j++;
        i += order == 0;
    }
    g_free(set->blocks);
    set->blocks = merged;
    set->count = count;
}

GwResult
GwBlockSet_ApplyDelta(GwBlockSet *set, const uint8_t *bytes, size_t len)
{
    GwResult count = check_frame(bytes, len, "GWD1", DELTA_HEADER);
    if (GwResult_IsError(count)) {
        return count;
    }
    uint64_t base = read_be(bytes + 4, 8);
    uint64_t version = read_be(bytes + 12, 8);
    if (version <= set->version) {
        return GW_ERR(STALE);
    }
    if (base != set->version || version <= base) {
        return GW_ERR(CONFLICT);
    }
    GwBlock *changes =
        read_blocks(bytes + DELTA_HEADER, (uint32_t)count, true);
    if (changes == NULL) {
        return GW_ERR(CORRUPT);
    }
    merge_changes(set, changes, (uint32_t)count);
    set->version = version;
    g_free(changes);
    return count;
}

/* ---- encoding ----------------------------------------------------------- */

static void
write_be(GByteArray *out, uint64_t value, int bytes)
{
    for (int i = bytes - 1; i >= 0; i--) {
        guint8 byte = (guint8)(value >> (8 * i));
        g_byte_array_append(out, &byte, 1);
    }
}

static int
compare_blocks(const void *a, const void *b)
{
    return GwBlock_Compare(a, b);
}

static uint8_t *
finish_frame(GByteArray *out, const GwBlock *blocks, uint32_t count,
             size_t *len)
{
    GwBlock *ordered = g_new(GwBlock, (size_t)count + 1);

    if (count > 0) {
        memcpy(ordered, blocks, sizeof(*blocks) * count);
        qsort(ordered, count, sizeof(*ordered), compare_blocks);
    }
    write_be(out, count, 4);
    for (uint32_t i = 0; i < count; i++) {
        write_be(out, ordered[i].v6 ? 1 : 0, 1);
        write_be(out, ordered[i].length, 1);
        write_be(out, ordered[i].site, 2);
        write_be(out, ordered[i].bits, 8);
    }
    g_free(ordered);
    write_be(out, XXH64(out->data, out->len, 0), CHECKSUM_BYTES);
    *len = out->len;
    return g_byte_array_free(out, FALSE);
}

uint8_t *
GwBlocks_EncodeSnapshot(uint64_t version, const GwBlock *blocks,
                        uint32_t count, size_t *len)
{
    GByteArray *out = g_byte_array_new();
    g_byte_array_append(out, (const guint8 *)"GWB1", 4);
    write_be(out, version, 8);
    return finish_frame(out, blocks, count, len);
}

uint8_t *
GwBlocks_EncodeDelta(uint64_t base, uint64_t version, const GwBlock *blocks,
                     uint32_t count, size_t *len)
{
    GByteArray *out = g_byte_array_new();
    g_byte_array_append(out, (const guint8 *)"GWD1", 4);
    write_be(out, base, 8);
    write_be(out, version, 8);
    return finish_frame(out, blocks, count, len);
}
