/* Rows that an entry sends to its peers. */
#include "edge/feed_internal.h"
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
