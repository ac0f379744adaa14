/* The copy of the store's rows: the greater version wins in any order of
 * arrival, and a row that expired during an outage of the store may be written
 * again within the grace period. */
#include "store/rows.h"

#include <criterion/criterion.h>
#include <string.h>

/* The version of that number in a store without eras. */
#define AT(n) ((GwStoreVersion){.number = (n)})

typedef struct {
    GString *log; /* a word per change: +key=value or -key */
} ChangeLog;

static void
on_change(void *ctx, const GwStoreRow *row)
{
    ChangeLog *changes = ctx;

    if (row->removed) {
        g_string_append_printf(changes->log, "-%s ", row->key);
    }
    else {
        g_string_append_printf(changes->log, "+%s=%s ", row->key, row->value);
    }
}

/* Parses words: "a1=x" sets row a to x at version 1, "a2-" removes row a at
 * version 2. */
static GwRowSet *
parse_set(const char *text, uint64_t version)
{
    GwRowSet *set = GwRowSet_Create();
    char **words = g_strsplit(text, " ", -1);

    set->version = AT(version);
    for (char **w = words; *w != NULL && **w != '\0'; w++) {
        char key[2] = {(*w)[0], '\0'};
        uint64_t ver = (uint64_t)((*w)[1] - '0');
        bool removed = (*w)[2] == '-';
        g_ptr_array_add(
            set->rows,
            GwStoreRow_Create(key, removed ? NULL : *w + 3, AT(ver), removed));
    }
    g_strfreev(words);
    return set;
}

typedef enum { APPLY, SNAPSHOT, WAIT, GRACE } Step;

#define SEC 1000000

Test(store_rows, the_greater_version_wins)
{
    static const struct {
        const char *what;
        struct {
            Step step;
            const char *rows;
            uint64_t version;
        } steps[5];
        const char *log;
    } cases[] = {
        {"changes in order",
         {{APPLY, "a1=x b2=y", 2}, {APPLY, "a3=z", 3}, {APPLY, "b4-", 4}},
         "+a=x +b=y +a=z -b "},
        {"an older copy from a peer changes nothing",
         {{APPLY, "a3=z", 3}, {APPLY, "a1=x", 1}},
         "+a=z "},
        {"a peer's older copy does not restore a removed row",
         {{APPLY, "a1=x", 1}, {APPLY, "a2-", 2}, {APPLY, "a1=x", 1}},
         "+a=x -a "},
        {"a peer's late answer restores nothing after a snapshot",
         {{SNAPSHOT, "b2=y", 5}, {APPLY, "a1=x b2=y", 2}},
         "+b=y "},
        {"a removed row can be added again",
         {{APPLY, "a1=x", 1}, {APPLY, "a2-", 2}, {APPLY, "a3=x", 3}},
         "+a=x -a +a=x "},
        {"an equal value is no change",
         {{APPLY, "a1=x", 1}, {APPLY, "a2=x", 2}},
         "+a=x "},
        {"missing from a snapshot: removed",
         {{APPLY, "a1=x b1=y", 1}, {SNAPSHOT, "a1=x", 5}},
         "+a=x +b=y -b "},
        {"missing after an outage: kept during the grace period",
         {{APPLY, "a1=x b1=y", 1}, {GRACE, "", 0}, {SNAPSHOT, "a1=x", 5}},
         "+a=x +b=y "},
        {"missing after an outage: removed after the grace period",
         {{APPLY, "a1=x b1=y", 1},
          {GRACE, "", 0},
          {SNAPSHOT, "a1=x", 5},
          {WAIT, "", 3 * SEC}},
         "+a=x +b=y -b "},
        {"missing, but added within the grace period",
         {{APPLY, "a1=x", 1},
          {GRACE, "", 0},
          {SNAPSHOT, "", 5},
          {APPLY, "a6=x", 6},
          {WAIT, "", 3 * SEC}},
         "+a=x "},
        {"newer than the snapshot: kept",
         {{APPLY, "a7=x", 7}, {SNAPSHOT, "", 5}, {WAIT, "", 3 * SEC}},
         "+a=x "},
        {"expired in an outage and written again",
         {{APPLY, "a1=x", 1},
          {GRACE, "", 0},
          {APPLY, "a2-", 2},
          {APPLY, "a3=x", 3},
          {WAIT, "", 3 * SEC}},
         "+a=x "},
        {"expired in an outage and not written again",
         {{APPLY, "a1=x", 1},
          {GRACE, "", 0},
          {APPLY, "a2-", 2},
          {WAIT, "", 3 * SEC}},
         "+a=x -a "},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        ChangeLog changes = {.log = g_string_new(NULL)};
        GwRowCache *cache = GwRowCache_Create(on_change, &changes);
        int64_t now_us = SEC;
        for (size_t j = 0; j < 5 && cases[i].steps[j].rows != NULL; j++) {
            GwRowSet *set =
                parse_set(cases[i].steps[j].rows, cases[i].steps[j].version);
            switch (cases[i].steps[j].step) {
            case APPLY:
                GwRowCache_Apply(cache, now_us, set);
                break;
            case SNAPSHOT:
                GwRowCache_ApplyFull(cache, now_us, set);
                break;
            case WAIT:
                now_us += (int64_t)cases[i].steps[j].version;
                GwRowCache_Expire(cache, now_us);
                break;
            case GRACE:
                GwRowCache_SetGrace(cache, now_us + 2 * SEC);
                break;
            }
            GwRowSet_Free(set);
        }
        cr_expect_str_eq(changes.log->str, cases[i].log, "%s: %s",
                         cases[i].what, changes.log->str);
        GwRowCache_Free(cache);
        g_string_free(changes.log, TRUE);
    }
}

/* A row expires during an outage, and the entry that polls the store delays
 * the removal. Peers must receive the removal at once: they already have the
 * store's version, never ask for that row again and would keep sending
 * requests to a server that has stopped. */
Test(store_rows, pending_removals_are_sent_to_peers)
{
    ChangeLog changes = {.log = g_string_new(NULL)};
    GwRowCache *cache = GwRowCache_Create(on_change, &changes);
    GwRowSet *set = parse_set("a1=x", 1);
    GwRowSet *removal = parse_set("a2-", 2);

    GwRowCache_Apply(cache, SEC, set);
    GwRowCache_SetGrace(cache, 3 * SEC);
    GwRowCache_Apply(cache, SEC, removal);
    cr_expect_str_eq(changes.log->str, "+a=x ",
                     "kept until the grace period is over");
    GwRowSet *after = GwRowCache_After(cache, AT(1));
    cr_assert_eq(after->rows->len, 1);
    cr_expect(((GwStoreRow *)after->rows->pdata[0])->removed);
    cr_expect_eq(((GwStoreRow *)after->rows->pdata[0])->version.number, 2);
    cr_expect_eq(after->version.number, 2);
    GwRowSet_Free(after);
    GwRowSet_Free(set);
    GwRowSet_Free(removal);
    GwRowCache_Free(cache);
    g_string_free(changes.log, TRUE);
}

/* An entry that read the table after a row was removed has no tombstone of it.
 * A peer that still has the row must fetch the whole table, or it would take
 * over the newer version and keep the row. */
Test(store_rows, a_copy_without_a_tombstone_sends_the_whole_table)
{
    ChangeLog stale_log = {.log = g_string_new(NULL)};
    ChangeLog fresh_log = {.log = g_string_new(NULL)};
    GwRowCache *stale = GwRowCache_Create(on_change, &stale_log);
    GwRowCache *fresh = GwRowCache_Create(on_change, &fresh_log);
    GwRowSet *first = parse_set("a1=x b2=y", 2);
    GwRowSet *later = parse_set("b2=y c5=z", 5); /* a was removed at 4 */

    GwRowCache_Apply(stale, SEC, first);
    GwRowCache_ApplyFull(fresh, SEC, later);
    cr_expect_not(GwRowCache_HasRemovalsAfter(fresh, AT(2)));
    cr_expect(GwRowCache_HasRemovalsAfter(fresh, AT(5)));
    GwRowSet *whole = GwRowCache_After(fresh, AT(0));
    GwRowCache_ApplyFull(stale, SEC, whole);
    cr_expect_str_eq(stale_log.log->str, "+a=x +b=y +c=z -a ");
    GwRowSet_Free(whole);
    GwRowSet_Free(first);
    GwRowSet_Free(later);
    GwRowCache_Free(stale);
    GwRowCache_Free(fresh);
    g_string_free(stale_log.log, TRUE);
    g_string_free(fresh_log.log, TRUE);
}

Test(store_rows, rows_after_a_version_include_tombstones)
{
    ChangeLog changes = {.log = g_string_new(NULL)};
    GwRowCache *cache = GwRowCache_Create(on_change, &changes);
    GwRowSet *set = parse_set("a1=x b2=y c3=z", 3);
    GwRowSet *removal = parse_set("b4-", 4);

    GwRowCache_Apply(cache, SEC, set);
    GwRowCache_Apply(cache, SEC, removal);
    GwRowSet *after = GwRowCache_After(cache, AT(2));
    cr_assert_eq(after->rows->len, 2);
    cr_expect_str_eq(((GwStoreRow *)after->rows->pdata[0])->key, "c");
    cr_expect_str_eq(((GwStoreRow *)after->rows->pdata[1])->key, "b");
    cr_expect(((GwStoreRow *)after->rows->pdata[1])->removed);
    cr_expect_eq(after->version.number, 4);
    GwRowSet_Free(after);
    GwRowSet_Free(set);
    GwRowSet_Free(removal);
    GwRowCache_Free(cache);
    g_string_free(changes.log, TRUE);
}

static bool
is_not_countdown(void *ctx, const char *key, const char *old, int64_t age_us,
                 const char *value)
{
    (void)ctx;
    (void)key;
    (void)old;
    (void)age_us;
    return strcmp(value, "step") != 0;
}

/* A filtered change must not raise the version, or every entry would fetch
 * it. */
Test(store_rows, only_updates_raise_the_version)
{
    ChangeLog changes = {.log = g_string_new(NULL)};
    GwRowCache *cache = GwRowCache_Create(on_change, &changes);
    GwRowSet *set = parse_set("a1=x", 1);
    GwRowSet *step = parse_set("a2=step", 2);
    GwRowSet *same = parse_set("a3=x", 3);
    GwRowSet *update = parse_set("a4=y", 4);

    GwRowCache_SetIsUpdate(cache, is_not_countdown);
    GwRowCache_ApplyChanges(cache, SEC, set);
    GwRowCache_ApplyChanges(cache, SEC, step);
    GwRowCache_ApplyChanges(cache, SEC, same);
    cr_expect_eq(GwRowCache_Version(cache).number, 1);
    cr_expect_str_eq(changes.log->str, "+a=x ");
    GwRowSet *after = GwRowCache_After(cache, AT(1));
    cr_expect_eq(after->rows->len, 0);
    GwRowSet_Free(after);
    GwRowCache_ApplyChanges(cache, SEC, update);
    cr_expect_eq(GwRowCache_Version(cache).number, 4);
    after = GwRowCache_After(cache, AT(1));
    cr_expect_eq(after->rows->len, 1);
    GwRowSet_Free(after);
    GwRowSet_Free(set);
    GwRowSet_Free(step);
    GwRowSet_Free(same);
    GwRowSet_Free(update);
    GwRowCache_Free(cache);
    g_string_free(changes.log, TRUE);
}

/* A peer that received a pending removal has removed the row, so the row's
 * return is an update even with the old value. */
Test(store_rows, a_restored_row_is_sent_to_peers)
{
    ChangeLog changes = {.log = g_string_new(NULL)};
    GwRowCache *cache = GwRowCache_Create(on_change, &changes);
    GwRowSet *set = parse_set("a1=x", 1);
    GwRowSet *removal = parse_set("a2-", 2);
    GwRowSet *back = parse_set("a3=x", 3);

    GwRowCache_ApplyChanges(cache, SEC, set);
    GwRowCache_SetGrace(cache, 3 * SEC);
    GwRowCache_ApplyChanges(cache, SEC, removal);
    cr_expect_eq(GwRowCache_Version(cache).number, 2);
    GwRowCache_ApplyChanges(cache, SEC, back);
    cr_expect_eq(GwRowCache_Version(cache).number, 3);
    GwRowSet *after = GwRowCache_After(cache, AT(2));
    cr_assert_eq(after->rows->len, 1);
    cr_expect_not(((GwStoreRow *)after->rows->pdata[0])->removed);
    GwRowSet_Free(after);
    GwRowSet_Free(set);
    GwRowSet_Free(removal);
    GwRowSet_Free(back);
    GwRowCache_Free(cache);
    g_string_free(changes.log, TRUE);
}

/* Snapshots of the same rows at different versions have the same digest. */
Test(store_rows, digest_is_independent_of_the_table_version)
{
    ChangeLog changes = {.log = g_string_new(NULL)};
    GwRowCache *first = GwRowCache_Create(on_change, &changes);
    GwRowCache *second = GwRowCache_Create(on_change, &changes);
    GwRowSet *early = parse_set("a1=x b2=y", 5);
    GwRowSet *late = parse_set("a1=x b2=y", 6);
    GwRowSet *other = parse_set("a1=x b7=y", 7);

    GwRowCache_ApplyFull(first, SEC, early);
    GwRowCache_ApplyFull(second, SEC, late);
    cr_expect_eq(GwRowCache_Digest(first), GwRowCache_Digest(second));
    GwRowCache_ApplyFull(second, SEC, other);
    cr_expect_eq(GwRowCache_Digest(first), GwRowCache_Digest(second),
                 "an equal value is no update");
    GwRowSet *removal = parse_set("b8-", 8);
    GwRowCache_ApplyChanges(second, SEC, removal);
    cr_expect_neq(GwRowCache_Digest(first), GwRowCache_Digest(second));
    GwRowSet_Free(removal);
    GwRowSet_Free(early);
    GwRowSet_Free(late);
    GwRowSet_Free(other);
    GwRowCache_Free(first);
    GwRowCache_Free(second);
    g_string_free(changes.log, TRUE);
}

/* Values "1" to "9" are ordered by number, others are not ordered. */
static GwValueOrder
order_digits(void *ctx, const char *key, const char *value, const char *than)
{
    (void)ctx;
    (void)key;
    if (!g_ascii_isdigit(value[0]) || !g_ascii_isdigit(than[0])) {
        return GW_ORDER_NONE;
    }
    return value[0] > than[0]   ? GW_ORDER_NEWER
           : value[0] < than[0] ? GW_ORDER_OLDER
                                : GW_ORDER_SAME;
}

static GwRowCache *
create_ordered(ChangeLog *changes)
{
    GwRowCache *cache = GwRowCache_Create(on_change, changes);

    GwRowCache_SetOrder(cache, order_digits);
    GwRowCache_SetEraGrace(cache, 2 * SEC);
    return cache;
}

typedef enum { END = 0, READ, FEED, PEER, TIME } EraStep;

static void
play_step(GwRowCache *cache, int64_t *now_us, EraStep step, uint32_t era,
          const char *rows, uint64_t version)
{
    GwRowSet *set = parse_set(rows, version);

    GwRowSet_SetEra(set, era);
    switch (step) {
    case READ:
        GwRowCache_ApplyFull(cache, *now_us, set);
        break;
    case FEED:
        GwRowCache_ApplyChanges(cache, *now_us, set);
        break;
    case PEER:
        GwRowCache_Apply(cache, *now_us, set);
        break;
    case TIME:
        *now_us += (int64_t)version * SEC;
        GwRowCache_Expire(cache, *now_us);
        break;
    case END:
        break;
    }
    GwRowSet_Free(set);
}

/* Guards against: after a restore of the store a copy drops what is written
 * then, goes back, or removes and restores rows on the word of the copy. */
Test(store_rows, a_restored_store_is_believed_for_what_is_written_then)
{
    static const struct {
        const char *what;
        struct {
            EraStep step;
            uint32_t era;
            const char *rows;
            uint64_t version; /* TIME: seconds */
        } steps[7];
        const char *log;
    } cases[] = {
        {"what is written then is taken at a lower version",
         {{READ, 1, "a9=3", 9}, {READ, 2, "a1=1", 1}, {FEED, 2, "a2=4", 2}},
         "+a=3 +a=4 "},
        {"an older value is not taken, then it is written again",
         {{READ, 1, "a9=3", 9}, {READ, 2, "a1=1", 1}, {FEED, 2, "a2=3", 2}},
         "+a=3 "},
        {"the lost values are written again one after the other",
         {{READ, 1, "a9=5", 9},
          {READ, 2, "a1=2", 1},
          {FEED, 2, "a2=3", 2},
          {FEED, 2, "a3=6", 3}},
         "+a=5 +a=6 "},
        {"a row that the copy lacks stays, and is written again",
         {{READ, 1, "a9=x", 9},
          {READ, 2, "", 5},
          {TIME, 0, "", 1},
          {FEED, 2, "a6=x", 6},
          {TIME, 0, "", 9}},
         "+a=x "},
        {"a row that the copy lacks is gone after the grace period",
         {{READ, 1, "a9=x", 9},
          {READ, 2, "", 5},
          {TIME, 0, "", 1},
          {TIME, 0, "", 1}},
         "+a=x -a "},
        {"a second restore begins the grace period again",
         {{READ, 1, "a9=x", 9},
          {READ, 2, "", 5},
          {TIME, 0, "", 1},
          {READ, 3, "", 4},
          {TIME, 0, "", 1},
          {FEED, 3, "a5=x", 5},
          {TIME, 0, "", 9}},
         "+a=x "},
        {"a row that left and that the copy has again is not back",
         {{READ, 1, "a3=5", 3},
          {FEED, 1, "a4-", 4},
          {READ, 2, "a3=5", 3},
          {TIME, 0, "", 9},
          {FEED, 2, "a5-", 5},
          {TIME, 0, "", 30}},
         "+a=5 -a "},
        {"it is back when it was written again",
         {{READ, 1, "a3=5", 3},
          {FEED, 1, "a4-", 4},
          {READ, 2, "a3=5", 3},
          {FEED, 2, "a4=6", 4}},
         "+a=5 -a +a=6 "},
        {"it is back when the store keeps it for longer than a lapse",
         {{READ, 1, "a3=5", 3},
          {FEED, 1, "a4-", 4},
          {READ, 2, "a3=5", 3},
          {TIME, 0, "", 9},
          {TIME, 0, "", 12}},
         "+a=5 -a +a=5 "},
        {"a row without an order is back after the grace period",
         {{READ, 1, "a3=x", 3},
          {FEED, 1, "a4-", 4},
          {READ, 2, "a3=x", 3},
          {TIME, 0, "", 3}},
         "+a=x -a +a=x "},
        {"its removal is written again within the grace period",
         {{READ, 1, "a3=x", 3},
          {FEED, 1, "a4-", 4},
          {READ, 2, "a3=x", 3},
          {FEED, 2, "a5-", 5},
          {TIME, 0, "", 3}},
         "+a=x -a "},
        {"a removed row that is held back is missing from the next read",
         {{READ, 1, "a3=x", 3},
          {FEED, 1, "a4-", 4},
          {READ, 2, "a3=x", 3},
          {READ, 2, "", 6},
          {TIME, 0, "", 3}},
         "+a=x -a "},
        {"rows of a peer of the earlier era change nothing",
         {{READ, 2, "a3=5", 3}, {PEER, 1, "a9=4 b9=x", 9}},
         "+a=5 "},
        {"an era jumps by three",
         {{READ, 1, "a9=3", 9}, {READ, 4, "a1=4", 1}},
         "+a=3 +a=4 "},
        {"a store without eras gets some",
         {{READ, 0, "a9=x", 9}, {READ, 1, "a1=y", 1}},
         "+a=x +a=y "},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        ChangeLog changes = {.log = g_string_new(NULL)};
        GwRowCache *cache = create_ordered(&changes);
        int64_t now_us = SEC;
        for (size_t k = 0; k < 7 && cases[i].steps[k].step != END; k++) {
            play_step(cache, &now_us, cases[i].steps[k].step,
                      cases[i].steps[k].era, cases[i].steps[k].rows,
                      cases[i].steps[k].version);
        }
        cr_expect_str_eq(changes.log->str, cases[i].log, "%s", cases[i].what);
        GwRowCache_Free(cache);
        g_string_free(changes.log, TRUE);
    }
}

/* Guards against: after a restore every entry fetches whole tables of which
 * hardly anything has changed, or misses what has. */
Test(store_rows, peers_get_the_differences_of_a_restore)
{
    ChangeLog changes = {.log = g_string_new(NULL)};
    ChangeLog peer_changes = {.log = g_string_new(NULL)};
    GwRowCache *cache = create_ordered(&changes);
    GwRowCache *peer = create_ordered(&peer_changes);
    GwStoreVersion before = {1, 7};
    int64_t now_us = SEC;

    play_step(cache, &now_us, READ, 1, "a1=x b2=y c3=z", 7);
    play_step(peer, &now_us, READ, 1, "a1=x b2=y c3=z", 7);
    play_step(cache, &now_us, READ, 2, "a1=x b4=w", 4);
    cr_expect(GwRowCache_HasRemovalsAfter(cache, before));
    cr_expect_not(GwRowCache_HasRemovalsAfter(cache, (GwStoreVersion){1, 8}),
                  "of a version that this entry did not have");
    GwRowSet *rows = GwRowCache_After(cache, before);
    cr_expect_eq(rows->rows->len, 2, "b changed, and c is missing");
    GwRowCache_Apply(peer, now_us, rows);
    cr_expect_str_eq(peer_changes.log->str, "+a=x +b=y +c=z +b=w ");
    play_step(peer, &now_us, TIME, 0, "", 3);
    cr_expect_str_eq(peer_changes.log->str, "+a=x +b=y +c=z +b=w -c ");
    cr_expect_eq(GwStoreVersion_Compare(GwRowCache_Version(peer),
                                        (GwStoreVersion){2, 4}),
                 0);
    GwRowSet_Free(rows);
    GwRowCache_Free(cache);
    GwRowCache_Free(peer);
    g_string_free(changes.log, TRUE);
    g_string_free(peer_changes.log, TRUE);
}

/* Guards against: an entry that read an older configuration from a restored
 * store never gets the newer one that other entries have kept. */
Test(store_rows, a_kept_value_reaches_entries_that_never_had_it)
{
    ChangeLog changes = {.log = g_string_new(NULL)};
    ChangeLog fresh_changes = {.log = g_string_new(NULL)};
    GwRowCache *cache = create_ordered(&changes);
    GwRowCache *fresh = create_ordered(&fresh_changes);
    int64_t now_us = SEC;

    play_step(cache, &now_us, READ, 1, "a9=4", 9);
    play_step(cache, &now_us, READ, 2, "a1=2", 1);
    play_step(fresh, &now_us, READ, 2, "a1=2", 1);
    GwRowSet *rows = GwRowCache_After(cache, (GwStoreVersion){0, 0});
    GwRowCache_ApplyFull(fresh, now_us, rows);
    cr_expect_str_eq(fresh_changes.log->str, "+a=2 +a=4 ");
    GwRowSet_Free(rows);
    GwRowCache_Free(cache);
    GwRowCache_Free(fresh);
    g_string_free(changes.log, TRUE);
    g_string_free(fresh_changes.log, TRUE);
}

/* Guards against: an era that never was takes the rows of the live store away
 * for good. */
Test(store_rows, versions_of_a_wrong_era_are_forgotten)
{
    ChangeLog changes = {.log = g_string_new(NULL)};
    GwRowCache *cache = create_ordered(&changes);
    int64_t now_us = SEC;

    play_step(cache, &now_us, READ, 9, "a5=x b6=y", 9);
    GwRowCache_ForgetVersions(cache);
    play_step(cache, &now_us, READ, 2, "a1=x c2=z", 2);
    play_step(cache, &now_us, TIME, 0, "", 3);
    play_step(cache, &now_us, FEED, 2, "a3=w", 3);
    cr_expect_str_eq(changes.log->str, "+a=x +b=y +c=z -b +a=w ");
    GwRowSet *rows = GwRowCache_After(cache, (GwStoreVersion){0, 0});
    cr_expect_eq(rows->rows->len, 3, "a, c, and the tombstone of b");
    GwRowSet_Free(rows);
    GwRowCache_Free(cache);
    g_string_free(changes.log, TRUE);
}
