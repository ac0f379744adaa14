/* When a table of the store is read, and what proves that its copy is new. */
#include "store/follower.h"

#include <criterion/criterion.h>

#define MS       1000
#define S        1000000
#define BOUND_MS 2500
/* The version of that number in a store without eras. */
#define AT(n) ((GwStoreVersion){.number = (n)})

static void
ignore_row(void *ctx, const GwStoreRow *row)
{
    (void)ctx;
    (void)row;
}

static GwRowSet *
rows(uint64_t version, const char *key, bool more)
{
    GwRowSet *set = GwRowSet_Create();

    if (key != NULL) {
        g_ptr_array_add(set->rows,
                        GwStoreRow_Create(key, "value", AT(version), false));
    }
    set->version = AT(version);
    set->more = more;
    return set;
}

static GwFollower *
create(int64_t now_us)
{
    GwFollower *f = GwFollower_Create(ignore_row, NULL, now_us, BOUND_MS);

    (void)GwFollower_SetReads(f, now_us, true);
    return f;
}

/* Creates one that has the table at `version`, read at `now_us`. */
static GwFollower *
create_known(int64_t now_us, uint64_t version)
{
    GwFollower *f = create(now_us);
    GwStoreCall call;

    cr_assert(GwFollower_NextCall(f, now_us, &call));
    (void)GwFollower_OnRows(f, now_us, call.id, rows(version, "a", false),
                            &call);
    return f;
}

/* Guards against: a peer's proof is taken for a copy that is older than the
 * peer's. */
Test(follower, a_proof_holds_for_a_copy_that_is_as_new)
{
    static const struct {
        uint64_t version; /* of the peer's copy; this one has 10 */
        int64_t as_of_us;
        bool holds;
    } cases[] = {
        {9, 5 * S, true}, {10, 5 * S, true},  {11, 5 * S, false},
        {10, 0, false},   {10, S / 2, false},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwFollower *f = create_known(1 * S, 10);
        GwPeerProof proof = {.version = AT(cases[i].version),
                             .as_of_us = cases[i].as_of_us};
        GwFollower_NoteProof(f, &proof);
        cr_expect_eq(GwFollower_Proof(f)->as_of_us,
                     cases[i].holds ? cases[i].as_of_us : 1 * S, "case %zu",
                     i);
        GwFollower_Free(f);
    }
}

/* Guards against: rows of a peer that has restarted with an older copy are
 * proven by what it said before. */
Test(follower, rows_that_are_older_than_their_proof_prove_nothing)
{
    static const uint64_t versions[] = {9, 12, 20};
    GwPeerProof proof = {.version = AT(12), .as_of_us = 5 * S};

    for (size_t i = 0; i < G_N_ELEMENTS(versions); i++) {
        GwFollower *f = create_known(1 * S, 8);
        GwRowSet *set = rows(versions[i], "b", false);
        GwFollower_OnPeerRows(f, 6 * S, set, false, &proof);
        cr_expect_eq(GwFollower_Proof(f)->as_of_us,
                     versions[i] >= 12 ? 5 * S : 1 * S, "case %zu", i);
        GwRowSet_Free(set);
        GwFollower_Free(f);
    }
}

/* Guards against: a store that answers from an older state proves that the
 * copy is the newest, so that the entry asks nobody else. */
Test(follower, an_answer_that_is_older_than_the_copy_proves_nothing)
{
    static const uint64_t versions[] = {8, 10, 12};

    for (size_t i = 0; i < G_N_ELEMENTS(versions); i++) {
        GwFollower *f = create_known(1 * S, 10);
        GwStoreCall call;
        cr_assert(GwFollower_NextCall(f, 2 * S, &call));
        (void)GwFollower_OnRows(f, 2 * S, call.id,
                                rows(versions[i], "b", false), &call);
        cr_expect_eq(GwFollower_Proof(f)->as_of_us,
                     versions[i] >= 10 ? 2 * S : 1 * S, "case %zu", i);
        cr_expect_geq(GwRowCache_Version(GwFollower_Cache(f)).number, 10);
        GwFollower_Free(f);
    }
}

/* Guards against: an entry waits for a call that is never answered. */
Test(follower, an_unanswered_call_does_not_hold_up_the_next)
{
    GwFollower *f = create_known(0, 1);
    GwStoreCall call;
    uint32_t lost_id = 0;
    int64_t last_us = 0;
    uint32_t sent = 0;

    for (int64_t now_us = 0; now_us < 20 * S; now_us += 50 * MS) {
        while (GwFollower_NextOverdue(f, now_us) != 0) {
        }
        if (!GwFollower_NextCall(f, now_us, &call)) {
            continue;
        }
        cr_expect_leq(now_us - last_us, 1050 * MS, "after %d ms",
                      (int)(now_us / MS));
        lost_id = lost_id == 0 ? call.id : lost_id;
        last_us = now_us;
        sent++;
    }
    cr_expect_geq(sent, 19);
    cr_expect_not(GwFollower_IsHealthy(f, 20 * S));
    cr_expect(GwFollower_IsAway(f, 20 * S));
    (void)GwFollower_OnRows(f, 20 * S, call.id, rows(2, NULL, false), &call);
    cr_expect(GwFollower_IsHealthy(f, 20 * S));
    cr_expect_not(GwFollower_IsAway(f, 20 * S));
    GwFollower_Free(f);
}

/* Guards against: the answer to an earlier call counts after a later one. */
Test(follower, an_answer_drops_the_earlier_calls)
{
    GwFollower *f = create_known(0, 1);
    GwStoreCall first;
    GwStoreCall second;
    GwStoreCall next;

    cr_assert(GwFollower_NextCall(f, 1 * S, &first));
    cr_assert(GwFollower_NextCall(f, 2 * S, &second));
    (void)GwFollower_OnRows(f, 2 * S, second.id, rows(5, "b", false), &next);
    cr_expect_eq(GwFollower_UnansweredUs(f, 2 * S), 0);
    cr_expect_eq(GwFollower_NextOverdue(f, 2 * S), first.id);
    cr_expect_eq(GwFollower_NextOverdue(f, 2 * S), 0);
    (void)GwFollower_OnRows(f, 3 * S, first.id, rows(4, "c", false), &next);
    cr_expect_eq(GwRowCache_Version(GwFollower_Cache(f)).number, 5);
    cr_expect_eq(GwFollower_Proof(f)->as_of_us, 2 * S);
    GwFollower_Free(f);
}

/* Guards against: a table of several pages counts as complete after one, or as
 * newer than its first page. */
Test(follower, a_table_is_known_after_its_last_page)
{
    GwFollower *f = create(1 * S);
    GwStoreCall call;

    cr_assert(GwFollower_NextCall(f, 1 * S, &call));
    cr_expect_eq(call.kind, GW_CALL_READ);
    cr_expect_null(call.from_key);
    cr_assert(GwFollower_OnRows(f, 2 * S, call.id, rows(7, "a", true), &call));
    cr_expect_str_eq(call.from_key, "a");
    cr_expect_not(GwFollower_IsKnown(f));
    cr_expect_eq(GwFollower_Proof(f)->as_of_us, 0);
    cr_assert_not(
        GwFollower_OnRows(f, 3 * S, call.id, rows(9, "b", false), &call));
    cr_expect(GwFollower_IsKnown(f));
    cr_expect_eq(GwFollower_Proof(f)->as_of_us, 1 * S);
    cr_assert(GwFollower_NextCall(f, 4 * S, &call));
    cr_expect_eq(call.kind, GW_CALL_FEED);
    cr_expect_eq(call.after, 7);
    GwFollower_Free(f);
}

/* Guards against: a long answer on a narrow link is asked for again and
 * again. */
Test(follower, an_answer_that_arrives_slowly_is_not_unanswered)
{
    GwFollower *f = create(0);
    GwStoreCall call;
    GwStoreCall other;

    cr_assert(GwFollower_NextCall(f, 0, &call));
    for (int64_t now_us = 0; now_us < 9 * S; now_us += 100 * MS) {
        GwFollower_OnBytes(f, now_us, call.id);
        cr_expect_not(GwFollower_NextCall(f, now_us, &other));
        cr_expect_eq(GwFollower_NextOverdue(f, now_us), 0);
    }
    GwFollower_Free(f);
}

/* Guards against: after its history was dropped the store is asked for changes
 * again. */
Test(follower, a_dropped_history_is_followed_by_a_full_read)
{
    GwFollower *f = create_known(0, 1);
    GwStoreCall call;

    cr_assert(GwFollower_NextCall(f, 1 * S, &call));
    GwFollower_OnGone(f, 1 * S, call.id);
    cr_assert(GwFollower_NextCall(f, 1 * S, &call));
    cr_expect_eq(call.kind, GW_CALL_READ);
    GwFollower_Free(f);
}

/* Guards against: a table that waits for news about another one is not read
 * when the store has changed, or is read although it has not. */
Test(follower, a_table_is_read_when_another_shows_that_the_store_changed)
{
    static const struct {
        uint64_t version; /* of the store; the copy has 10 */
        bool is_read;
    } cases[] = {{9, false}, {10, false}, {11, true}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwFollower *f = create(0);
        GwStoreCall call;
        GwPeerProof answer = {.version = AT(cases[i].version),
                              .as_of_us = 9 * S};
        GwFollower_FollowOther(f);
        cr_assert(GwFollower_NextCall(f, 0, &call));
        (void)GwFollower_OnRows(f, 0, call.id, rows(10, "a", false), &call);
        cr_expect_not(GwFollower_NextCall(f, 9 * S, &call));
        GwFollower_OnOther(f, 9 * S, &answer);
        cr_expect_eq(GwFollower_NextCall(f, 9 * S, &call), cases[i].is_read,
                     "case %zu", i);
        cr_expect_eq(GwFollower_Proof(f)->as_of_us,
                     cases[i].is_read ? 0 : 9 * S, "case %zu", i);
        GwFollower_Free(f);
    }
}

/* ---- Eras ----------------------------------------------------------------- */

static GwRowSet *
rows_of_era(uint32_t era, uint64_t version, bool more)
{
    GwRowSet *set = rows(version, "a", more);

    GwRowSet_SetEra(set, era);
    return set;
}

/* Creates one that has the table at version 10 of era 3. */
static GwFollower *
create_in_era(GwReadReason reason)
{
    GwFollower *f = GwFollower_Create(ignore_row, NULL, 0, BOUND_MS);
    GwStoreCall call;

    (void)GwFollower_SetReads(f, 0, reason);
    cr_assert(GwFollower_NextCall(f, 0, &call));
    (void)GwFollower_OnRows(f, 0, call.id, rows_of_era(3, 10, false), &call);
    return f;
}

/* Guards against: changes that a restored store names after a version of its
 * earlier history are taken for all that there are, or prove that the copy is
 * new. */
Test(follower, a_feed_of_another_era_is_followed_by_a_full_read)
{
    static const struct {
        uint32_t era; /* 0: the answer names none */
        uint64_t version;
        bool is_used;
    } cases[] = {
        {3, 12, true},  {0, 12, true},  {4, 5, false},
        {4, 12, false}, {6, 12, false},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwFollower *f = create_in_era(GW_READS_FIRST);
        GwStoreCall call;
        cr_assert(GwFollower_NextCall(f, 2 * S, &call));
        cr_expect_eq(call.kind, GW_CALL_FEED);
        cr_expect_eq(call.after, 10);
        (void)GwFollower_OnRows(
            f, 2 * S, call.id,
            rows_of_era(cases[i].era, cases[i].version, false), &call);
        cr_expect_eq(GwFollower_Proof(f)->as_of_us,
                     cases[i].is_used ? 2 * S : 0, "case %zu", i);
        cr_expect_eq(GwFollower_NextCall(f, 2 * S, &call), !cases[i].is_used,
                     "read again at once, case %zu", i);
        cr_expect(cases[i].is_used || call.kind == GW_CALL_READ, "case %zu",
                  i);
        GwFollower_Free(f);
    }
}

/* Guards against: rows of several entries' regions are read from the store at
 * once after each restore, though the first reader is about to have them. */
Test(follower, only_first_readers_read_a_new_era_at_once)
{
    static const struct {
        GwReadReason reason;
        bool at_once;
    } cases[] = {
        {GW_READS_FIRST, true},
        {GW_READS_START, true},
        {GW_READS_STALE, false},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwFollower *f = create_in_era(cases[i].reason);
        GwStoreCall call;
        GwFollower_NoteEra(f, 2 * S, 4);
        cr_expect_eq(GwFollower_NextCall(f, 2 * S, &call), cases[i].at_once,
                     "case %zu", i);
        if (!cases[i].at_once) {
            cr_assert(GwFollower_NextCall(f, 3 * S, &call));
        }
        cr_expect_eq(call.kind, GW_CALL_READ, "case %zu", i);
        GwFollower_Free(f);
    }
}

/* Guards against: an answer that was late or of another history counts, or the
 * pages of two histories are put together. */
Test(follower, answers_of_earlier_eras_are_dropped)
{
    GwFollower *f = create_in_era(GW_READS_FIRST);
    GwStoreCall late;
    GwStoreCall call;
    GwStoreCall next;

    cr_assert(GwFollower_NextCall(f, 1 * S, &late));
    GwFollower_NoteEra(f, 2 * S, 5);
    cr_assert(GwFollower_NextCall(f, 2 * S, &call));
    cr_expect_eq(call.kind, GW_CALL_READ);
    (void)GwFollower_OnRows(f, 2 * S, late.id, rows_of_era(3, 90, false),
                            &next);
    cr_expect_eq(GwRowCache_Version(GwFollower_Cache(f)).number, 10);
    cr_expect_eq(GwFollower_Proof(f)->as_of_us, 0);

    cr_assert(
        GwFollower_OnRows(f, 2 * S, call.id, rows_of_era(5, 4, true), &call),
        "another page");
    cr_assert_not(
        GwFollower_OnRows(f, 2 * S, call.id, rows_of_era(6, 4, false), &next),
        "the read ends");
    cr_expect_eq(GwRowCache_Version(GwFollower_Cache(f)).era, 3);
    cr_assert(GwFollower_NextCall(f, 2 * S, &call));
    cr_expect_eq(call.kind, GW_CALL_READ);
    cr_expect_null(call.from_key);
    (void)GwFollower_OnRows(f, 3 * S, call.id, rows_of_era(6, 2, false),
                            &next);
    cr_expect_eq(GwRowCache_Version(GwFollower_Cache(f)).era, 6);
    cr_expect_eq(GwRowCache_Version(GwFollower_Cache(f)).number, 2);
    cr_expect_eq(GwFollower_Proof(f)->as_of_us, 2 * S);
    GwFollower_Free(f);
}

/* Guards against: one answer with a wrong era, which never comes again, takes
 * the rows of the live store away for good, or one answer with a smaller era
 * takes away those of the newest one. */
Test(follower, an_era_that_the_store_denies_is_given_up)
{
    GwFollower *f = create_in_era(GW_READS_FIRST);
    GwPeerProof proof = {.version = {90, 1}, .as_of_us = 9 * S};
    GwRowSet *wrong = rows_of_era(90, 50, false);
    GwStoreCall call;
    GwStoreCall next;
    uint64_t version = 20;

    GwFollower_NoteEra(f, 1 * S, 90);
    for (int64_t now_us = 2 * S; version < 24; now_us += 1 * S) {
        cr_assert(GwFollower_NextCall(f, now_us, &call));
        (void)GwFollower_OnRows(f, now_us, call.id,
                                rows_of_era(3, version++, false), &next);
    }
    cr_expect_eq(GwFollower_Era(f), 3);
    cr_expect_eq(GwRowCache_Version(GwFollower_Cache(f)).number, 23);
    GwFollower_OnPeerRows(f, 9 * S, wrong, false, &proof);
    cr_expect_eq(GwRowCache_Version(GwFollower_Cache(f)).era, 3,
                 "a peer still has the wrong era");
    cr_assert(GwFollower_NextCall(f, 9 * S, &call));
    (void)GwFollower_OnRows(f, 9 * S, call.id, rows_of_era(2, 99, false),
                            &next);
    cr_expect_eq(GwRowCache_Version(GwFollower_Cache(f)).number, 23,
                 "one answer of an earlier era");
    GwRowSet_Free(wrong);
    GwFollower_Free(f);
}

/* Guards against: an entry that does not read the store stays in its old era,
 * or reads everything again when it begins to. */
Test(follower, rows_of_a_peer_bring_the_new_era)
{
    GwFollower *f = create_in_era(GW_READS_FIRST);
    GwPeerProof proof = {.version = {4, 7}, .as_of_us = 2 * S};
    GwPeerProof late = {.version = {3, 10}, .as_of_us = 5 * S};
    GwRowSet *set = rows_of_era(4, 7, false);
    GwStoreCall call;

    (void)GwFollower_SetReads(f, 1 * S, GW_READS_NOT);
    GwFollower_OnPeerRows(f, 3 * S, set, false, &proof);
    cr_expect_eq(GwFollower_Era(f), 4);
    cr_expect_eq(GwFollower_Proof(f)->as_of_us, 2 * S);
    GwFollower_NoteProof(f, &late);
    cr_expect_eq(GwFollower_Proof(f)->as_of_us, 2 * S,
                 "a proof of the earlier era proves nothing");
    (void)GwFollower_SetReads(f, 6 * S, GW_READS_STALE);
    cr_assert(GwFollower_NextCall(f, 6 * S, &call));
    cr_expect_eq(call.kind, GW_CALL_FEED);
    cr_expect_eq(call.after, 7);
    GwRowSet_Free(set);
    GwFollower_Free(f);
}

/* Guards against: at each start the tables are read twice, since the answer
 * about one table names the first era that the other one hears of. */
Test(follower, the_first_era_ends_no_read)
{
    GwFollower *f = create(0);
    GwStoreCall call;
    GwStoreCall next;

    cr_assert(GwFollower_NextCall(f, 0, &call));
    GwFollower_NoteEra(f, 1 * MS, 7);
    cr_expect_eq(GwFollower_NextOverdue(f, 1 * MS), 0);
    cr_expect_not(GwFollower_NextCall(f, 1 * MS, &next));
    (void)GwFollower_OnRows(f, 2 * MS, call.id, rows_of_era(7, 4, false),
                            &next);
    cr_expect(GwFollower_IsKnown(f));
    cr_expect_eq(GwFollower_Era(f), 7);
    cr_assert(GwFollower_NextCall(f, 2 * S, &call));
    cr_expect_eq(call.kind, GW_CALL_FEED);
    GwFollower_Free(f);
}
