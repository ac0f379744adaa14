/* The look-up answer: its order, how it balances callers, and a graceful
 * stop. */
#include "fakes/cluster.h"

#include <criterion/criterion.h>
#include <string.h>

#define NODES 6

static FakeCluster *
start_cluster(char **text)
{
    *text = FakeConfig_Text(2, 1, 4, 3, 6, 12);
    FakeClusterParams params = {.seed = 11,
                                .node_count = NODES,
                                .region_count = 2,
                                .domains_per_region = 2,
                                .config_text = *text,
                                .domain_delay_us = 1500,
                                .region_delay_us = 20000,
                                .service_time_us = 40000};
    FakeCluster *c = FakeCluster_Create(&params);
    FakeCluster_Run(c, c->now_us + 8 * FAKE_SEC);
    return c;
}

static void
finish(FakeCluster *c, char *text)
{
    FakeCluster_Free(c);
    g_free(text);
}

static GwLookup
look_up(FakeCluster *c, uint32_t node, uint32_t draw)
{
    GwLookup lookup;
    cr_assert_gt(GwNode_Lookup(c->nodes[node].node, "s0", draw, &lookup), 0);
    return lookup;
}

Test(lookup, lists_own_region_first_and_no_entry_twice)
{
    char *text = NULL;
    FakeCluster *c = start_cluster(&text);
    GwLookup lookup = look_up(c, 2, 0);

    cr_assert_eq(lookup.count, NODES);
    cr_assert_str_eq(lookup.entries[0].name, "entry-2");
    for (uint32_t i = 0; i < lookup.count; i++) {
        cr_expect_eq(lookup.entries[i].local_region, i < 3, "%u", i);
        for (uint32_t j = 0; j < i; j++) {
            cr_expect_str_neq(lookup.entries[i].name, lookup.entries[j].name);
        }
    }
    finish(c, text);
}

/* Runs callers of one service. Each uses the first entry of a look-up for two
 * seconds, as a client with a cache does. Sets at[] to the entry of each. */
static void
run_callers(FakeCluster *c, uint32_t *at, uint32_t callers, int seconds)
{
    for (int step = 0; step < seconds * 50; step++) {
        FakeCluster_Run(c, c->now_us + 20 * FAKE_MS);
        for (uint32_t k = 0; k < callers; k++) {
            if ((uint32_t)step % 100 == k % 100) {
                GwLookup lookup = look_up(c, at[k], k % GW_LOOKUP_DRAWS);
                at[k] =
                    (uint32_t)strtoul(lookup.entries[0].name + 6, NULL, 10);
            }
            if ((uint32_t)step % 4 == k % 4) {
                FakeCluster_Call(c, at[k], "s0", true, NULL, 0,
                                 c->now_us + 2 * FAKE_SEC);
            }
        }
    }
}

/* Guards against an idle entry: two of a region's three entries serve all
 * callers, as after the third was replaced, which holds a third of the seats.
 * Within ten seconds the look-ups must spread the callers over all three
 * entries, and move none to the other region. */
Test(lookup, moves_callers_to_a_replaced_entry)
{
    char *text = NULL;
    FakeCluster *c = start_cluster(&text);
    uint32_t at[12];
    uint32_t count[NODES] = {0};

    for (uint32_t k = 0; k < 12; k++) {
        at[k] = k % 2 == 0 ? 0 : 2;
    }
    run_callers(c, at, 12, 10);
    for (uint32_t k = 0; k < 12; k++) {
        count[at[k]]++;
    }
    cr_expect_geq(count[4], 2, "entry-4 has %u callers", count[4]);
    cr_expect_leq(count[4], 6, "entry-4 has %u callers", count[4]);
    cr_expect_eq(count[1] + count[3] + count[5], 0, "left the region");
    finish(c, text);
}

Test(lookup, omits_a_stopping_entry)
{
    char *text = NULL;
    FakeCluster *c = start_cluster(&text);

    FakeCluster_Stop(c, 2);
    GwLookup lookup = look_up(c, 2, 0);
    cr_expect_eq(lookup.count, NODES - 1);
    cr_expect_not(lookup.is_self_first);
    FakeCluster_Run(c, c->now_us + FAKE_SEC);
    for (uint32_t i = 0; i < NODES; i++) {
        GwLookup other = look_up(c, i == 2 ? 0 : i, 0);
        for (uint32_t k = 0; k < other.count; k++) {
            cr_expect_str_neq(other.entries[k].name, "entry-2");
        }
    }
    finish(c, text);
}
