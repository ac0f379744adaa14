/* Client blocks: look-ups, deltas, and rejection of invalid input. */
#include "blocks/blocks.h"
#include "common/rng.h"

#include <criterion/criterion.h>
#include <glib.h>

static GwBlockSet *
create_set(const GwBlock *blocks, uint32_t count)
{
    size_t len = 0;
    uint8_t *bytes = GwBlocks_EncodeSnapshot(1, blocks, count, &len);
    GwBlockSet *set = GwBlockSet_Create();
    cr_assert_eq(GwBlockSet_ApplySnapshot(set, bytes, len), count);
    g_free(bytes);
    return set;
}

static GwBlock
block(const char *text, uint16_t site)
{
    GwBlock b;
    cr_assert_eq(GwBlock_Parse(text, site, &b), 0, "%s", text);
    return b;
}

Test(blocks, the_longest_prefix_wins)
{
    const GwBlock blocks[] = {
        block("10.0.0.0/8", 1),         block("10.1.0.0/16", 2),
        block("10.1.2.0/24", 3),        block("10.1.255.0/24", 4),
        block("255.255.255.255/32", 5), block("2001:db8::/32", 6),
        block("2001:db8:1::/48", 7),
    };
    const struct {
        const char *address;
        uint16_t site;
    } cases[] = {
        {"9.255.255.255", GW_SITE_NONE},
        {"10.0.0.0", 1},
        {"10.1.1.255", 2},
        {"10.1.2.0", 3},
        {"10.1.3.0", 2},
        {"10.1.255.255", 4},
        {"10.2.0.0", 1},
        {"11.0.0.0", GW_SITE_NONE},
        {"255.255.255.255", 5},
        {"2001:db8::1", 6},
        {"2001:db8:1::1", 7},
        {"2001:db9::", GW_SITE_NONE},
    };
    GwBlockSet *set = create_set(blocks, G_N_ELEMENTS(blocks));
    GwBlockMap *map = GwBlockMap_Build(set);

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwAddress address;
        cr_assert_eq(GwAddress_Parse(cases[i].address, &address), 0);
        cr_expect_eq(GwBlockMap_Find(map, address), cases[i].site, "%s",
                     cases[i].address);
    }
    GwBlockMap_Free(map);
    GwBlockSet_Free(set);
}

/* Reference implementation: a linear scan over all blocks. */
static uint16_t
find_by_scan(const GwBlock *blocks, uint32_t count, GwAddress address)
{
    uint16_t site = GW_SITE_NONE;
    int best = -1;

    for (uint32_t i = 0; i < count; i++) {
        uint64_t mask =
            blocks[i].length == 0 ? 0 : UINT64_MAX << (64 - blocks[i].length);
        if (blocks[i].v6 == address.v6 &&
            (address.bits & mask) == blocks[i].bits &&
            blocks[i].length > best) {
            best = blocks[i].length;
            site = blocks[i].site;
        }
    }
    return site;
}

static uint32_t
random_blocks(GwRng *rng, GwBlock *blocks, uint32_t wanted)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < wanted; i++) {
        uint8_t length = (uint8_t)GwRng_Below(rng, 33);
        uint64_t mask = length == 0 ? 0 : UINT64_MAX << (64 - length);
        GwBlock b = {.length = length,
                     .site = (uint16_t)GwRng_Below(rng, 86),
                     .bits = ((uint64_t)GwRng_Below(rng, 64) << 58 |
                              (uint64_t)GwRng_Below(rng, 4) << 32) &
                             mask};
        bool is_duplicate = false;
        for (uint32_t j = 0; j < count; j++) {
            is_duplicate |=
                blocks[j].bits == b.bits && blocks[j].length == b.length;
        }
        if (!is_duplicate) {
            blocks[count++] = b;
        }
    }
    return count;
}

Test(blocks, map_agrees_with_a_linear_scan)
{
    GwRng rng = GwRng_Make(86);

    for (int round = 0; round < 200; round++) {
        GwBlock blocks[64];
        uint32_t count = random_blocks(&rng, blocks, 64);
        GwBlockSet *set = create_set(blocks, count);
        GwBlockMap *map = GwBlockMap_Build(set);
        for (int i = 0; i < 200; i++) {
            GwAddress a = {.bits = (uint64_t)GwRng_Below(&rng, 64) << 58 |
                                   (uint64_t)GwRng_Below(&rng, 8) << 32};
            uint16_t expected = find_by_scan(blocks, count, a);
            cr_assert_eq(GwBlockMap_Find(map, a), expected);
            cr_assert_eq(GwBlockMap_FindUnindexed(map, a), expected);
        }
        GwBlockMap_Free(map);
        GwBlockSet_Free(set);
    }
}

Test(blocks, a_delta_changes_adds_and_removes)
{
    const GwBlock first[] = {block("10.0.0.0/8", 1), block("11.0.0.0/8", 2)};
    const GwBlock change[] = {block("10.0.0.0/8", 9),
                              block("11.0.0.0/8", GW_SITE_NONE),
                              block("12.0.0.0/8", 3)};
    GwBlockSet *set = create_set(first, 2);
    size_t len = 0;
    uint8_t *delta = GwBlocks_EncodeDelta(1, 2, change, 3, &len);

    cr_assert_eq(GwBlockSet_ApplyDelta(set, delta, len), 3);
    cr_assert_eq(GwBlockSet_Count(set), 2);
    cr_assert_eq(GwBlockSet_Version(set), 2);
    cr_expect_eq(GwBlockSet_ApplyDelta(set, delta, len), GW_ERR(STALE));
    g_free(delta);
    delta = GwBlocks_EncodeDelta(7, 8, change, 3, &len);
    cr_expect_eq(GwBlockSet_ApplyDelta(set, delta, len), GW_ERR(CONFLICT));
    g_free(delta);
    GwBlockSet_Free(set);
}

/* A snapshot that was truncated or corrupted in transit must be rejected and
 * the current set kept: a wrong one would send callers to the wrong sites. */
Test(blocks, a_damaged_snapshot_is_rejected)
{
    const GwBlock blocks[] = {block("10.0.0.0/8", 1), block("11.0.0.0/8", 2)};
    size_t len = 0;
    uint8_t *bytes = GwBlocks_EncodeSnapshot(2, blocks, 2, &len);
    GwBlockSet *set = create_set(blocks, 1);

    for (size_t cut = 0; cut < len; cut++) {
        cr_assert(GwResult_IsError(GwBlockSet_ApplySnapshot(set, bytes, cut)));
    }
    for (size_t at = 0; at < len; at++) {
        bytes[at] ^= 0x10;
        cr_assert(GwResult_IsError(GwBlockSet_ApplySnapshot(set, bytes, len)));
        bytes[at] ^= 0x10;
    }
    cr_assert_eq(GwBlockSet_Version(set), 1);
    cr_assert_eq(GwBlockSet_ApplySnapshot(set, bytes, len), 2);
    g_free(bytes);
    GwBlockSet_Free(set);
}

Test(blocks, invalid_texts_are_rejected)
{
    const char *const cases[] = {
        "",      "10.0.0.0",  "10.0.0.0/33", "10.0.0.1/8", "x/8",     "::1/64",
        "::/65", "10.0.0.0/", "10.0.0.0/8x", "/8",         "10.0.0/8"};
    GwBlock b;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cr_expect(GwResult_IsError(GwBlock_Parse(cases[i], 1, &b)), "%s",
                  cases[i]);
    }
}
