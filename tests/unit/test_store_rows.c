/* The copy of the store's rows: whatever order news comes in, the greater
 * version wins, and a row that lapsed while the store was away has time to
 * come back. */
#include "store/rows.h"

#include <criterion/criterion.h>
#include <string.h>

typedef struct {
    GString *log; /* one word a change: +key=value or -key */
} Sink;

static void
on_change(void *ctx, const GwStoreRow *row)
{
    Sink *sink = ctx;

    if (row->removed) {
        g_string_append_printf(sink->log, "-%s ", row->key);
    }
    else {
        g_string_append_printf(sink->log, "+%s=%s ", row->key, row->value);
    }
}

/* "a1=x" puts x at version 1 of row a, "a2-" removes it; words in a set. */
static GwRowSet *
set_of(const char *text, uint64_t version)
{
    GwRowSet *set = GwRowSet_Create();
    char **words = g_strsplit(text, " ", -1);

    set->version = version;
    for (char **w = words; *w != NULL && **w != '\0'; w++) {
        char key[2] = {(*w)[0], '\0'};
        uint64_t ver = (uint64_t)((*w)[1] - '0');
        bool removed = (*w)[2] == '-';
        g_ptr_array_add(
            set->rows,
            GwStoreRow_Create(key, removed ? NULL : *w + 3, ver, removed));
    }
    g_strfreev(words);
    return set;
}

typedef enum { FEED, FULL, WAIT, GRACE } Step;

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
         {{FEED, "a1=x b2=y", 2}, {FEED, "a3=z", 3}, {FEED, "b4-", 4}},
         "+a=x +b=y +a=z -b "},
        {"an older copy from a peer changes nothing",
         {{FEED, "a3=z", 3}, {FEED, "a1=x", 1}},
         "+a=z "},
        {"a dropped row does not come back from a peer",
         {{FEED, "a1=x", 1}, {FEED, "a2-", 2}, {FEED, "a1=x", 1}},
         "+a=x -a "},
        {"a peer's answer that comes after a full reading revives nothing",
         {{FULL, "b2=y", 5}, {FEED, "a1=x b2=y", 2}},
         "+b=y "},
        {"a row put again is there again",
         {{FEED, "a1=x", 1}, {FEED, "a2-", 2}, {FEED, "a3=x", 3}},
         "+a=x -a +a=x "},
        {"the same value is no change",
         {{FEED, "a1=x", 1}, {FEED, "a2=x", 2}},
         "+a=x "},
        {"missing from a full reading: gone",
         {{FEED, "a1=x b1=y", 1}, {FULL, "a1=x", 5}},
         "+a=x +b=y -b "},
        {"missing after the store was away: gone after the grace",
         {{FEED, "a1=x b1=y", 1}, {GRACE, "", 0}, {FULL, "a1=x", 5}},
         "+a=x +b=y "},
        {"and gone then",
         {{FEED, "a1=x b1=y", 1},
          {GRACE, "", 0},
          {FULL, "a1=x", 5},
          {WAIT, "", 3 * SEC}},
         "+a=x +b=y -b "},
        {"missing, but back within the grace",
         {{FEED, "a1=x", 1},
          {GRACE, "", 0},
          {FULL, "", 5},
          {FEED, "a6=x", 6},
          {WAIT, "", 3 * SEC}},
         "+a=x "},
        {"newer than the full reading: stays",
         {{FEED, "a7=x", 7}, {FULL, "", 5}, {WAIT, "", 3 * SEC}},
         "+a=x "},
        {"lapsed while the store was away, and back",
         {{FEED, "a1=x", 1},
          {GRACE, "", 0},
          {FEED, "a2-", 2},
          {FEED, "a3=x", 3},
          {WAIT, "", 3 * SEC}},
         "+a=x "},
        {"lapsed while the store was away, and gone",
         {{FEED, "a1=x", 1},
          {GRACE, "", 0},
          {FEED, "a2-", 2},
          {WAIT, "", 3 * SEC}},
         "+a=x -a "},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Sink sink = {.log = g_string_new(NULL)};
        GwRowCache *cache = GwRowCache_Create(on_change, &sink);
        int64_t now_us = SEC;
        for (size_t j = 0; j < 5 && cases[i].steps[j].rows != NULL; j++) {
            GwRowSet *set =
                set_of(cases[i].steps[j].rows, cases[i].steps[j].version);
            switch (cases[i].steps[j].step) {
            case FEED:
                GwRowCache_Apply(cache, now_us, set);
                break;
            case FULL:
                GwRowCache_ApplyFull(cache, now_us, set);
                break;
            case WAIT:
                now_us += (int64_t)cases[i].steps[j].version;
                GwRowCache_Tick(cache, now_us);
                break;
            case GRACE:
                GwRowCache_SetGrace(cache, now_us + 2 * SEC, 2 * SEC);
                break;
            }
            GwRowSet_Free(set);
        }
        cr_expect_str_eq(sink.log->str, cases[i].log, "%s: %s", cases[i].what,
                         sink.log->str);
        GwRowCache_Free(cache);
        g_string_free(sink.log, TRUE);
    }
}

/* An entry reads for others. A row lapses while the store was away: the reader
 * waits for it to come back, and peers that know the store's version must be
 * told of it all the same, or they would keep the server for good: 13
 * requests reached servers that had left 2.5 s before. */
Test(store_rows, peers_are_told_of_rows_that_may_come_back)
{
    Sink sink = {.log = g_string_new(NULL)};
    GwRowCache *cache = GwRowCache_Create(on_change, &sink);
    GwRowSet *set = set_of("a1=x", 1);
    GwRowSet *gone = set_of("a2-", 2);

    GwRowCache_Apply(cache, SEC, set);
    GwRowCache_SetGrace(cache, 3 * SEC, 2 * SEC);
    GwRowCache_Apply(cache, SEC, gone);
    cr_expect_str_eq(sink.log->str, "+a=x ", "kept here for now");
    GwRowSet *after = GwRowCache_After(cache, 1);
    cr_assert_eq(after->rows->len, 1);
    cr_expect(((GwStoreRow *)after->rows->pdata[0])->removed);
    cr_expect_eq(((GwStoreRow *)after->rows->pdata[0])->version, 2);
    cr_expect_eq(after->version, 2);
    GwRowSet_Free(after);
    GwRowSet_Free(set);
    GwRowSet_Free(gone);
    GwRowCache_Free(cache);
    g_string_free(sink.log, TRUE);
}

/* An entry that restarted read the table after a row had gone: it has no mark
 * of it. A peer that still holds the row and asks for what is newer must be
 * told to read all, or it would take the newer version and keep the row. */
Test(store_rows, who_lacks_a_mark_does_not_answer_for_it)
{
    Sink old_log = {.log = g_string_new(NULL)};
    Sink new_log = {.log = g_string_new(NULL)};
    GwRowCache *old = GwRowCache_Create(on_change, &old_log);
    GwRowCache *fresh = GwRowCache_Create(on_change, &new_log);
    GwRowSet *first = set_of("a1=x b2=y", 2);
    GwRowSet *later = set_of("b2=y c5=z", 5); /* a was removed at 4 */

    GwRowCache_Apply(old, SEC, first);
    GwRowCache_ApplyFull(fresh, SEC, later);
    cr_expect_not(GwRowCache_KnowsAllAfter(fresh, 2));
    cr_expect(GwRowCache_KnowsAllAfter(fresh, 5));
    GwRowSet *whole = GwRowCache_After(fresh, 0);
    GwRowCache_ApplyFull(old, SEC, whole);
    cr_expect_str_eq(old_log.log->str, "+a=x +b=y +c=z -a ");
    GwRowSet_Free(whole);
    GwRowSet_Free(first);
    GwRowSet_Free(later);
    GwRowCache_Free(old);
    GwRowCache_Free(fresh);
    g_string_free(old_log.log, TRUE);
    g_string_free(new_log.log, TRUE);
}

Test(store_rows, a_peer_is_told_what_it_lacks)
{
    Sink sink = {.log = g_string_new(NULL)};
    GwRowCache *cache = GwRowCache_Create(on_change, &sink);
    GwRowSet *set = set_of("a1=x b2=y c3=z", 3);
    GwRowSet *gone = set_of("b4-", 4);

    GwRowCache_Apply(cache, SEC, set);
    GwRowCache_Apply(cache, SEC, gone);
    GwRowSet *after = GwRowCache_After(cache, 2);
    cr_assert_eq(after->rows->len, 2);
    cr_expect_str_eq(((GwStoreRow *)after->rows->pdata[0])->key, "c");
    cr_expect_str_eq(((GwStoreRow *)after->rows->pdata[1])->key, "b");
    cr_expect(((GwStoreRow *)after->rows->pdata[1])->removed);
    cr_expect_eq(after->version, 4);
    GwRowSet_Free(after);
    GwRowSet_Free(set);
    GwRowSet_Free(gone);
    GwRowCache_Free(cache);
    g_string_free(sink.log, TRUE);
}

static bool
is_not_a_step(void *ctx, const char *key, const char *old, int64_t age_us,
              const char *value)
{
    (void)ctx;
    (void)key;
    (void)old;
    (void)age_us;
    return strcmp(value, "step") != 0;
}

/* Changes that say nothing new would be fetched by every entry. */
Test(store_rows, peers_hear_of_news_only)
{
    Sink sink = {.log = g_string_new(NULL)};
    GwRowCache *cache = GwRowCache_Create(on_change, &sink);
    GwRowSet *set = set_of("a1=x", 1);
    GwRowSet *step = set_of("a2=step", 2);
    GwRowSet *same = set_of("a3=x", 3);
    GwRowSet *news = set_of("a4=y", 4);

    GwRowCache_SetIsNews(cache, is_not_a_step);
    GwRowCache_ApplyChanges(cache, SEC, set);
    GwRowCache_ApplyChanges(cache, SEC, step);
    GwRowCache_ApplyChanges(cache, SEC, same);
    cr_expect_eq(GwRowCache_Version(cache), 1);
    cr_expect_str_eq(sink.log->str, "+a=x ");
    GwRowSet *after = GwRowCache_After(cache, 1);
    cr_expect_eq(after->rows->len, 0);
    GwRowSet_Free(after);
    GwRowCache_ApplyChanges(cache, SEC, news);
    cr_expect_eq(GwRowCache_Version(cache), 4);
    after = GwRowCache_After(cache, 1);
    cr_expect_eq(after->rows->len, 1);
    GwRowSet_Free(after);
    GwRowSet_Free(set);
    GwRowSet_Free(step);
    GwRowSet_Free(same);
    GwRowSet_Free(news);
    GwRowCache_Free(cache);
    g_string_free(sink.log, TRUE);
}

/* A peer that was told of a lapsed row has dropped it: its return is news,
 * though the value is the old one. */
Test(store_rows, a_row_that_comes_back_is_told_to_peers)
{
    Sink sink = {.log = g_string_new(NULL)};
    GwRowCache *cache = GwRowCache_Create(on_change, &sink);
    GwRowSet *set = set_of("a1=x", 1);
    GwRowSet *gone = set_of("a2-", 2);
    GwRowSet *back = set_of("a3=x", 3);

    GwRowCache_ApplyChanges(cache, SEC, set);
    GwRowCache_SetGrace(cache, 3 * SEC, 2 * SEC);
    GwRowCache_ApplyChanges(cache, SEC, gone);
    cr_expect_eq(GwRowCache_Version(cache), 2);
    GwRowCache_ApplyChanges(cache, SEC, back);
    cr_expect_eq(GwRowCache_Version(cache), 3);
    GwRowSet *after = GwRowCache_After(cache, 2);
    cr_assert_eq(after->rows->len, 1);
    cr_expect_not(((GwStoreRow *)after->rows->pdata[0])->removed);
    GwRowSet_Free(after);
    GwRowSet_Free(set);
    GwRowSet_Free(gone);
    GwRowSet_Free(back);
    GwRowCache_Free(cache);
    g_string_free(sink.log, TRUE);
}

/* Two readings of the same rows at different versions are the same. */
Test(store_rows, the_digest_is_of_rows_and_not_of_versions)
{
    Sink sink = {.log = g_string_new(NULL)};
    GwRowCache *one = GwRowCache_Create(on_change, &sink);
    GwRowCache *two = GwRowCache_Create(on_change, &sink);
    GwRowSet *early = set_of("a1=x b2=y", 5);
    GwRowSet *late = set_of("a1=x b2=y", 6);
    GwRowSet *other = set_of("a1=x b7=y", 7);

    GwRowCache_ApplyFull(one, SEC, early);
    GwRowCache_ApplyFull(two, SEC, late);
    cr_expect_eq(GwRowCache_Digest(one), GwRowCache_Digest(two));
    GwRowCache_ApplyFull(two, SEC, other);
    cr_expect_eq(GwRowCache_Digest(one), GwRowCache_Digest(two),
                 "the same value again is no news");
    GwRowSet *gone = set_of("b8-", 8);
    GwRowCache_ApplyChanges(two, SEC, gone);
    cr_expect_neq(GwRowCache_Digest(one), GwRowCache_Digest(two));
    GwRowSet_Free(gone);
    GwRowSet_Free(early);
    GwRowSet_Free(late);
    GwRowSet_Free(other);
    GwRowCache_Free(one);
    GwRowCache_Free(two);
    g_string_free(sink.log, TRUE);
}
