/* Rows that an entry sends to its peers. */
#include "edge/feed_internal.h"
#include "edge/peers_internal.h"
#include "fakes/edge_entry.h"

#include <criterion/criterion.h>

static void
apply(GwFeed *feed, GwStoreVersion version)
{
    GwRowSet *set = GwRowSet_Create();
    GwPeerProof proof = {.version = version, .as_of_us = 1};

    g_ptr_array_add(set->rows,
                    GwStoreRow_Create("server-1", "{}", version, false));
    set->version = version;
    GwFollower_OnPeerRows(feed->follower, GwEdge_BootNow(), set, true, &proof);
    GwRowSet_Free(set);
}

/* Guards against: an entry that starts after a restore of the store gets none of
 * the rows that have not changed since before. */
Test(edge_feed_peers, a_peer_gets_rows_of_all_eras)
{
    static const struct {
        GwStoreVersion after;
        guint rows;
    } cases[] = {
        {{0, 0}, 1}, /* it has nothing */
        {{1, 9}, 0}, /* it has what was there before the restore */
        {{2, 5}, 0},
        {{0, 5}, 0}, /* an entry without eras, as new as this one */
    };
    EdgeEntry entry = EdgeEntry_Start();
    GwFeed *feed = entry.edge->server_feed;

    apply(feed, (GwStoreVersion){1, 9});
    apply(feed, (GwStoreVersion){2, 5});
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwRowsRequest request = {.after = cases[i].after};
        uint16_t status = 0;
        g_strlcpy(request.table, feed->table, sizeof(request.table));
        GByteArray *bytes = GwFeed_AnswerPeer(feed, &request, &status);
        cr_assert_eq(status, 200, "case %zu", i);
        GwRowSet *set = GwRowSet_Unpack((const char *)bytes->data, bytes->len);
        cr_assert_not_null(set);
        cr_expect_eq(set->rows->len, cases[i].rows, "case %zu", i);
        GwRowSet_Free(set);
        g_byte_array_free(bytes, TRUE);
    }
    EdgeEntry_Stop(&entry);
}

/* Guards against: an entry does not ask for a configuration that a restored
 * store has lost and a peer has kept; or it asks for one that it refuses again
 * and again. */
Test(edge_feed_peers, a_newer_configuration_of_a_peer_is_read_a_few_times)
{
    EdgeEntry entry = EdgeEntry_Start();
    GwPeers *peers = entry.edge->peers;
    GwFeed *feed = entry.edge->operator_feed;
    uint64_t own = GwRouter_Routing(entry.edge->router)->version;
    struct {
        uint64_t config_version; /* of the peer */
        uint32_t attempts;
        uint32_t reads;
    } steps[] = {{own, 5, 0}, {own + 1, 5, 3}, {own + 2, 1, 1}};
    GwPeerEntry peer = {
        .peer_address = "127.0.0.1:1",
        .operator_version = GwFeed_Version(feed),
        .server_version = GwFeed_Version(entry.edge->server_feed),
    };

    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        uint32_t reads = 0;
        peer.config_version = steps[i].config_version;
        for (uint32_t k = 0; k < steps[i].attempts; k++) {
            peers->config_fetch_us = 0;
            GwPeers_FetchRowsFrom(peers, &peer);
            reads += feed->peer != NULL;
            GwConn_CloseAndClear(&feed->peer);
        }
        cr_expect_eq(reads, steps[i].reads, "step %zu", i);
    }
    EdgeEntry_Stop(&entry);
}
