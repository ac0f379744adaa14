/* Who adds up loads, seen by each of many entries for itself. No sockets: the
 * peers are put into the tables by hand. */
#include "edge/peers_internal.h"

#include <criterion/criterion.h>
#include <string.h>

#define ENTRIES 66
#define DOMAINS 6

typedef struct {
    GwEdge edge;
    GwEdgeSettings settings;
    GwPeers peers;
} View;

static const char *
domain_of(uint32_t i)
{
    static const char *const names[] = {"d0", "d1", "d2", "d3", "d4", "d5"};

    return names[i % DOMAINS];
}

static const char *
region_of(uint32_t i)
{
    static const char *const names[] = {"r0", "r1", "r2"};

    return names[i % DOMAINS / 2];
}

/* Two of each failure domain are large. */
static uint32_t
link_of(uint32_t i)
{
    return i / DOMAINS >= 9 ? 200000 : 10000;
}

static void
free_peer(gpointer item)
{
    GwPeerEntry *peer = item;

    g_free(peer->name);
    g_free(peer->region);
    g_free(peer->domain);
    g_free(peer->peer_address);
    if (peer->loads != NULL) {
        g_array_free(peer->loads, TRUE);
    }
    GwSumCopy_Free(peer->copy);
    g_free(peer);
}

static void
free_view(View *view)
{
    g_hash_table_destroy(view->peers.by_address);
    g_array_free(view->peers.loads, TRUE);
    GwPeers_FreeSums(&view->peers);
    GwRouter_Free(view->edge.router);
    g_free(view);
}

static GwPeerEntry *
add_peer(View *view, uint32_t i)
{
    GwPeerEntry *peer = g_new0(GwPeerEntry, 1);

    *peer = (GwPeerEntry){
        .name = g_strdup_printf("e%u", i),
        .region = g_strdup(region_of(i)),
        .domain = g_strdup(domain_of(i)),
        .peer_address = g_strdup_printf("10.0.0.%u:1", i),
        .link_kbps = link_of(i),
        .cpu_milli = 100,
        .serves = true,
        .has_reported = true,
        .last_report_us = GwEdge_Now(),
        .next_ms = 60000, /* however slow the machine of this test is */
    };
    g_hash_table_insert(view->peers.by_address, peer->peer_address, peer);
    return peer;
}

static View *
create_view(uint32_t own)
{
    View *view = g_new0(View, 1);
    GwRouterParams *params = &view->settings.router;

    g_snprintf(params->name, sizeof(params->name), "e%u", own);
    g_strlcpy(params->region, region_of(own), sizeof(params->region));
    g_strlcpy(params->domain, domain_of(own), sizeof(params->domain));
    view->settings.link_kbps = link_of(own);
    view->settings.cpu_milli = 100;
    view->edge.settings = &view->settings;
    view->edge.router = GwRouter_Create(params, GwEdge_Now());
    view->peers.edge = &view->edge;
    view->peers.by_address =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
    view->peers.loads = g_array_new(FALSE, FALSE, sizeof(GwPeerLoad));
    GwPeers_CreateSums(&view->peers, own + 1);
    view->peers.period_scale = 3;
    for (uint32_t i = 0; i < ENTRIES; i++) {
        if (i != own) {
            (void)add_peer(view, i);
        }
    }
    return view;
}

static GwPeerEntry *
peer_named(View *view, uint32_t i)
{
    char address[32];

    g_snprintf(address, sizeof(address), "10.0.0.%u:1", i);
    return g_hash_table_lookup(view->peers.by_address, address);
}

/* To how many peers it tells which loads. */
static uint32_t
count_told(View *view, GwLoadScope told)
{
    GHashTableIter iter;
    gpointer value;
    uint32_t count = 0;

    g_hash_table_iter_init(&iter, view->peers.by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        count += GwPeers_LoadScopeFor(&view->peers, value) == told;
    }
    return count;
}

/* Each of 66 entries decides for itself, and they agree: one in each failure
 * domain adds up, a large one; all others of it tell that one and nobody else. */
Test(aggregate, all_agree_on_one_large_entry_a_domain)
{
    View *views[ENTRIES];
    uint32_t by_domain[DOMAINS] = {0};

    for (uint32_t i = 0; i < ENTRIES; i++) {
        views[i] = create_view(i);
        GwPeers_ChooseAggregators(&views[i]->peers, GwEdge_Now());
        if (views[i]->peers.is_aggregator) {
            by_domain[i % DOMAINS]++;
            cr_expect_eq(link_of(i), 200000, "entry %u", i);
        }
    }
    for (uint32_t i = 0; i < ENTRIES; i++) {
        View *view = views[i];
        if (view->peers.is_aggregator) {
            cr_expect_eq(count_told(view, GW_LOADS_DOMAIN), DOMAINS - 1);
            cr_expect_eq(count_told(view, GW_LOADS_OWN), 0);
            continue;
        }
        cr_expect_eq(count_told(view, GW_LOADS_OWN), 1);
        cr_expect_eq(count_told(view, GW_LOADS_NONE), ENTRIES - 2);
        for (uint32_t k = 0; k < ENTRIES; k++) {
            if (k != i &&
                GwPeers_LoadScopeFor(&view->peers, peer_named(view, k)) ==
                    GW_LOADS_OWN) {
                cr_expect(views[k]->peers.is_aggregator, "%u tells %u", i, k);
            }
        }
    }
    for (uint32_t d = 0; d < DOMAINS; d++) {
        cr_expect_eq(by_domain[d], 1, "domain %u", d);
    }
    for (uint32_t i = 0; i < ENTRIES; i++) {
        free_view(views[i]);
    }
}

/* The one that adds up loses power. The others are blind to each other's load
 * until they tell another one: within 0.7 s, not when it counts as dead. */
Test(aggregate, another_takes_over_soon)
{
    View *view = create_view(0);
    GwPeerEntry *first = NULL;

    GwPeers_ChooseAggregators(&view->peers, GwEdge_Now());
    for (uint32_t i = 1; i < ENTRIES; i++) {
        GwPeerEntry *peer = peer_named(view, i);
        if (GwPeers_LoadScopeFor(&view->peers, peer) == GW_LOADS_OWN) {
            first = peer;
        }
    }
    cr_assert_not_null(first);
    first->next_ms = GW_SUM_PERIOD_MIN_MS;
    first->last_report_us -= 700000;
    GwPeers_ChooseAggregators(&view->peers, GwEdge_Now());
    cr_expect_eq(GwPeers_LoadScopeFor(&view->peers, first), GW_LOADS_NONE);
    cr_expect_eq(count_told(view, GW_LOADS_OWN), 1, "another one");
    cr_expect(GwPeerEntry_IsLive(first, GwEdge_Now()),
              "it counts as live yet");
    free_view(view);
}

/* Counts by region of senders, of one server. */
typedef struct {
    uint32_t r0;
    uint32_t r1;
} Got;

static void
note_count(void *ctx, const char *region, uint32_t server, uint32_t count)
{
    Got *got = ctx;

    cr_expect_eq(server, 7);
    *(strcmp(region, "r0") == 0 ? &got->r0 : &got->r1) = count;
}

static Got
told_to(View *view, const GwPeerEntry *peer, const GwSumSource *source)
{
    Got got = {0};
    GwSumCopy *copy = GwSumCopy_Create(note_count, &got);
    GwSumAck none = {0};

    cr_expect(GwSumCopy_Apply(
        copy, GwSumSource_WriteChange(source, &none, peer->region, peer->loads,
                                      view->peers.message)));
    GwSumCopy_Free(copy);
    return got;
}

/* The sum for one entry holds what all others told, by region, and not what
 * that entry told; what was told long ago does not count. */
Test(aggregate, the_sum_is_of_all_others)
{
    uint32_t self = 0;
    View *view = create_view(0);

    while (GwPeers_ChooseAggregators(&view->peers, GwEdge_Now()),
           !view->peers.is_aggregator || domain_of(self)[1] != '0') {
        free_view(view);
        view = create_view(++self);
    }
    GwPeerEntry *near = peer_named(view, (self + DOMAINS) % ENTRIES);
    GwPeerEntry *other = peer_named(view, (self + 2 * DOMAINS) % ENTRIES);
    GwPeerEntry *far = peer_named(view, (self + 2) % ENTRIES);
    GwPeerEntry *old = peer_named(view, (self + 3 * DOMAINS) % ENTRIES);
    const GwPeerLoad load = {7, 1};

    GwPeers_NoteLoads(&view->peers, near, &load, 1);
    GwPeers_NoteLoads(&view->peers, other, &load, 1);
    GwPeers_NoteLoads(&view->peers, far, &load, 1);
    GwPeers_NoteLoads(&view->peers, old, &load, 1);
    near->loads_received_us += 60000000;
    other->loads_received_us += 60000000;
    far->loads_received_us += 60000000;
    old->loads_received_us -= 3000000;
    cr_expect_eq(GwPeers_LoadScopeFor(&view->peers, near), GW_LOADS_ALL);
    cr_expect_eq(GwPeers_LoadScopeFor(&view->peers, old), GW_LOADS_NONE);
    Got got = told_to(view, near, GwPeers_AllSource(&view->peers));
    cr_expect_eq(got.r0, 1, "the other's, without its own");
    cr_expect_eq(got.r1, 1, "of the far one");
    far->loads = NULL; /* told to others of its region, it is not taken off */
    got = told_to(view, far, GwPeers_DomainSource(&view->peers));
    cr_expect_eq(got.r0, 2, "of this domain: near and other");
    cr_expect_eq(got.r1, 0);
    free_view(view);
}

/* An entry that is told changes of a sum by two who both add up listens to the
 * one that it tells its own loads, and starts anew when that is another. */
Test(aggregate, sums_come_from_one)
{
    View *view = create_view(0);
    View *first = NULL;
    GwPeerEntry *teller = NULL;
    GwPeerEntry *another = peer_named(view, DOMAINS);
    const GwPeerLoad load = {7, 3};

    GwPeers_ChooseAggregators(&view->peers, GwEdge_Now());
    for (uint32_t i = DOMAINS; i < ENTRIES; i += DOMAINS) {
        if (GwPeers_LoadScopeFor(&view->peers, peer_named(view, i)) ==
            GW_LOADS_OWN) {
            teller = peer_named(view, i);
            first = create_view(i);
        }
    }
    cr_assert_not_null(teller);
    GwPeers_ChooseAggregators(&first->peers, GwEdge_Now());
    GwPeers_NoteLoads(&first->peers, peer_named(first, 2 * DOMAINS), &load, 1);
    Gw__Peer__SumChange *change =
        GwSumSource_WriteChange(GwPeers_AllSource(&first->peers), &teller->ack,
                                "r0", NULL, first->peers.message);
    if (another == teller) {
        another = peer_named(view, 2 * DOMAINS);
    }
    GwPeers_ApplyAllSum(&view->peers, another, change);
    cr_expect_null(another->copy);
    GwPeers_ApplyAllSum(&view->peers, teller, change);
    cr_assert_not_null(teller->copy);
    cr_expect_eq(GwSumCopy_Ack(teller->copy).cells, 1);
    teller->is_aggregator = false;
    another->is_aggregator = true;
    GwPeers_ApplyAllSum(&view->peers, another, change);
    cr_expect_null(teller->copy, "what it told is forgotten");
    cr_assert_not_null(another->copy);
    free_view(first);
    free_view(view);
}

/* All start at once: until the next sweep each told each as if they were two. */
Test(aggregate, reports_are_stretched_as_peers_come_up)
{
    View *view = create_view(0);
    uint32_t ups = 0;

    view->peers.period_scale = 1;
    while (view->peers.period_scale < 2 && ups < ENTRIES) {
        GwPeers_NoteLive(&view->peers);
        ups++;
    }
    cr_expect_leq(ups, 8);
    free_view(view);
}
