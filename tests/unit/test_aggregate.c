/* Choice of aggregators as computed by each of many entries. No sockets:
 * peers are added to the tables directly. */
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

/* Two entries of each failure domain have a large link. */
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
        .next_ms = 60000, /* stays live even on a slow test machine */
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
find_peer(View *view, uint32_t i)
{
    char address[32];

    g_snprintf(address, sizeof(address), "10.0.0.%u:1", i);
    return g_hash_table_lookup(view->peers.by_address, address);
}

/* Number of peers that are sent loads of this scope. */
static uint32_t
count_scope(View *view, GwLoadScope scope)
{
    GHashTableIter iter;
    gpointer value;
    uint32_t count = 0;

    g_hash_table_iter_init(&iter, view->peers.by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        count += GwPeers_LoadScopeFor(&view->peers, value) == scope;
    }
    return count;
}

/* Each of 66 entries decides for itself, and all agree: one entry with a
 * large link aggregates each failure domain, and all others of the domain
 * send their loads to that entry only. */
Test(aggregate, all_agree_on_one_large_aggregator_per_domain)
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
            cr_expect_eq(count_scope(view, GW_LOADS_DOMAIN), DOMAINS - 1);
            cr_expect_eq(count_scope(view, GW_LOADS_OWN), 0);
            continue;
        }
        cr_expect_eq(count_scope(view, GW_LOADS_OWN), 1);
        cr_expect_eq(count_scope(view, GW_LOADS_NONE), ENTRIES - 2);
        for (uint32_t k = 0; k < ENTRIES; k++) {
            if (k != i &&
                GwPeers_LoadScopeFor(&view->peers, find_peer(view, k)) ==
                    GW_LOADS_OWN) {
                cr_expect(views[k]->peers.is_aggregator,
                          "%u sends loads to %u", i, k);
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

/* The aggregator loses power. Entries do not see each other's loads until
 * they report to another one, which must be within 0.7 s, before the first
 * one counts as dead. */
Test(aggregate, lost_aggregator_is_replaced_soon)
{
    View *view = create_view(0);
    GwPeerEntry *first = NULL;

    GwPeers_ChooseAggregators(&view->peers, GwEdge_Now());
    for (uint32_t i = 1; i < ENTRIES; i++) {
        GwPeerEntry *peer = find_peer(view, i);
        if (GwPeers_LoadScopeFor(&view->peers, peer) == GW_LOADS_OWN) {
            first = peer;
        }
    }
    cr_assert_not_null(first);
    first->next_ms = GW_SUM_PERIOD_MIN_MS;
    first->last_report_us -= 700000;
    GwPeers_ChooseAggregators(&view->peers, GwEdge_Now());
    cr_expect_eq(GwPeers_LoadScopeFor(&view->peers, first), GW_LOADS_NONE);
    cr_expect_eq(count_scope(view, GW_LOADS_OWN), 1, "another aggregator");
    cr_expect(GwPeerEntry_IsLive(first, GwEdge_Now()), "still counts as live");
    free_view(view);
}

/* Counts of one server by region of the senders. */
typedef struct {
    uint32_t r0;
    uint32_t r1;
} Received;

static void
note_count(void *ctx, const char *region, uint32_t server, uint32_t count)
{
    Received *received = ctx;

    cr_expect_eq(server, 7);
    *(strcmp(region, "r0") == 0 ? &received->r0 : &received->r1) = count;
}

static Received
copy_sum(View *view, const GwPeerEntry *peer, const GwSumSource *source)
{
    Received received = {0};
    GwSumCopy *copy = GwSumCopy_Create(note_count, &received);
    GwSumAck none = {0};

    cr_expect(GwSumCopy_Apply(
        copy, GwSumSource_WriteChange(source, &none, peer->region, peer->loads,
                                      view->peers.message)));
    GwSumCopy_Free(copy);
    return received;
}

/* The sum for an entry holds the loads of all others by region, without the
 * entry's own loads; expired loads do not count. */
Test(aggregate, sum_excludes_the_receivers_own_loads)
{
    uint32_t self = 0;
    View *view = create_view(0);

    while (GwPeers_ChooseAggregators(&view->peers, GwEdge_Now()),
           !view->peers.is_aggregator || domain_of(self)[1] != '0') {
        free_view(view);
        view = create_view(++self);
    }
    GwPeerEntry *same_domain = find_peer(view, (self + DOMAINS) % ENTRIES);
    GwPeerEntry *other = find_peer(view, (self + 2 * DOMAINS) % ENTRIES);
    GwPeerEntry *remote = find_peer(view, (self + 2) % ENTRIES);
    GwPeerEntry *expired = find_peer(view, (self + 3 * DOMAINS) % ENTRIES);
    const GwPeerLoad load = {7, 1};

    GwPeers_NoteLoads(&view->peers, same_domain, &load, 1);
    GwPeers_NoteLoads(&view->peers, other, &load, 1);
    GwPeers_NoteLoads(&view->peers, remote, &load, 1);
    GwPeers_NoteLoads(&view->peers, expired, &load, 1);
    same_domain->loads_received_us += 60000000;
    other->loads_received_us += 60000000;
    remote->loads_received_us += 60000000;
    expired->loads_received_us -= 3000000;
    cr_expect_eq(GwPeers_LoadScopeFor(&view->peers, same_domain),
                 GW_LOADS_ALL);
    cr_expect_eq(GwPeers_LoadScopeFor(&view->peers, expired), GW_LOADS_NONE);
    Received received =
        copy_sum(view, same_domain, GwPeers_AllSource(&view->peers));
    cr_expect_eq(received.r0, 1, "of the other entry, without its own loads");
    cr_expect_eq(received.r1, 1, "of the remote entry");
    remote->loads = NULL; /* nothing to subtract */
    received = copy_sum(view, remote, GwPeers_DomainSource(&view->peers));
    cr_expect_eq(received.r0, 2, "of this domain: same_domain and other");
    cr_expect_eq(received.r1, 0);
    free_view(view);
}

/* With two active aggregators, an entry accepts the sum only from the one
 * that it reports to, and starts with a new copy when that changes. */
Test(aggregate, sums_are_accepted_from_one_aggregator)
{
    View *view = create_view(0);
    View *first = NULL;
    GwPeerEntry *aggregator = NULL;
    GwPeerEntry *another = find_peer(view, DOMAINS);
    const GwPeerLoad load = {7, 3};

    GwPeers_ChooseAggregators(&view->peers, GwEdge_Now());
    for (uint32_t i = DOMAINS; i < ENTRIES; i += DOMAINS) {
        if (GwPeers_LoadScopeFor(&view->peers, find_peer(view, i)) ==
            GW_LOADS_OWN) {
            aggregator = find_peer(view, i);
            first = create_view(i);
        }
    }
    cr_assert_not_null(aggregator);
    GwPeers_ChooseAggregators(&first->peers, GwEdge_Now());
    GwPeers_NoteLoads(&first->peers, find_peer(first, 2 * DOMAINS), &load, 1);
    Gw__Peer__SumChange *change = GwSumSource_WriteChange(
        GwPeers_AllSource(&first->peers), &aggregator->ack, "r0", NULL,
        first->peers.message);
    if (another == aggregator) {
        another = find_peer(view, 2 * DOMAINS);
    }
    GwPeers_ApplyAllSum(&view->peers, another, change);
    cr_expect_null(another->copy);
    GwPeers_ApplyAllSum(&view->peers, aggregator, change);
    cr_assert_not_null(aggregator->copy);
    cr_expect_eq(GwSumCopy_Ack(aggregator->copy).cells, 1);
    aggregator->is_aggregator = false;
    another->is_aggregator = true;
    GwPeers_ApplyAllSum(&view->peers, another, change);
    cr_expect_null(aggregator->copy, "the old copy is dropped");
    cr_assert_not_null(another->copy);
    free_view(first);
    free_view(view);
}

/* When all entries start together, the report periods must grow before the
 * next sweep; otherwise each entry reports to each at the rate for two
 * entries. */
Test(aggregate, periods_grow_as_peers_become_live)
{
    View *view = create_view(0);
    uint32_t joined = 0;

    view->peers.period_scale = 1;
    while (view->peers.period_scale < 2 && joined < ENTRIES) {
        GwPeers_NoteLive(&view->peers);
        joined++;
    }
    cr_expect_leq(joined, 8);
    free_view(view);
}
