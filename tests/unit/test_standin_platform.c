/* Platform stand-in: transactions and listings of the table, fault injection
 * and the budget of operations. */
#include "common/fault.h"
#include "common/table.h"

#include <criterion/criterion.h>
#include <string.h>

#define ROWS_MAX 3

/* Each case starts with row a at version 1 and row b at version 2. `expected`
 * is the index of the conflicting row, or -1 when all rows are written. */
typedef struct {
    const char *name;
    uint32_t count;
    GsRow rows[ROWS_MAX];
    int32_t expected;
} TxnCase;

static const TxnCase txn_cases[] = {
    {"update", 1, {{"a", "n", 1}}, -1},
    {"update two", 2, {{"a", "n", 1}, {"b", "n", 2}}, -1},
    {"create", 1, {{"c", "n", 0}}, -1},
    {"create an existing row", 1, {{"a", "n", 0}}, 0},
    {"update a missing row", 1, {{"c", "n", 1}}, 0},
    {"old version", 1, {{"b", "n", 1}}, 0},
    {"last row conflicts",
     3,
     {{"a", "n", 1}, {"c", "n", 0}, {"b", "n", 1}},
     2},
};

static GsTable *
make_table(void)
{
    GsTable *t = GsTable_Create();
    GsRow rows[] = {{"a", "old", 0}, {"b", "old", 0}};
    cr_assert_eq(GsTable_Commit(t, rows, 2), -1);
    cr_assert_eq(rows[0].version, 1);
    cr_assert_eq(rows[1].version, 2);
    return t;
}

Test(standin_platform, transactions_write_all_or_nothing)
{
    for (size_t i = 0; i < sizeof(txn_cases) / sizeof(txn_cases[0]); i++) {
        const TxnCase *c = &txn_cases[i];
        GsTable *t = make_table();
        GsRow rows[ROWS_MAX];
        memcpy(rows, c->rows, sizeof(rows));
        cr_assert_eq(GsTable_Commit(t, rows, c->count), c->expected, "%s",
                     c->name);
        for (uint32_t k = 0; k < c->count; k++) {
            const GsRow *now = GsTable_Get(t, c->rows[k].key);
            bool written = now != NULL && strcmp(now->value, "n") == 0;
            cr_assert_eq(written, c->expected < 0, "%s", c->name);
            cr_assert(!written || now->version == rows[k].version);
        }
        GsTable_Free(t);
    }
}

Test(standin_platform, copy_is_not_changed_by_later_writes)
{
    GsTable *t = make_table();
    GsTable *old = GsTable_Copy(t);
    GsRow change = {"a", "new", 1};
    cr_assert_eq(GsTable_Commit(t, &change, 1), -1);
    cr_assert_str_eq(GsTable_Get(old, "a")->value, "old");
    cr_assert_eq(GsTable_Get(old, "a")->version, 1);
    cr_assert_eq(GsTable_Get(t, "a")->version, 3);
    GsTable_Free(t);
    GsTable_Free(old);
}

Test(standin_platform, listing_filters_by_prefix_in_key_order)
{
    GsTable *t = GsTable_Create();
    GsRow rows[] = {{"seat/2", "", 0}, {"seat/1", "", 0}, {"sea", "", 0}};
    cr_assert_eq(GsTable_Commit(t, rows, 3), -1);
    GPtrArray *found = GsTable_List(t, "seat/");
    cr_assert_eq(found->len, 2);
    cr_assert_str_eq(((GsRow *)found->pdata[0])->key, "seat/1");
    g_ptr_array_free(found, TRUE);
    GsTable_Free(t);
}

typedef struct {
    const char *mode;
    int64_t now_us;
    uint32_t chance;
    GsFaultMode expected;
} FaultCase;

static const FaultCase fault_cases[] = {
    {"none", 10, 0, GS_FAULT_NONE},  {"down", 10, 0, GS_FAULT_DOWN},
    {"slow", 10, 0, GS_FAULT_SLOW},  {"refuse", 10, 0, GS_FAULT_REFUSE},
    {"lost", 10, 0, GS_FAULT_LOST},  {"stale", 10, 0, GS_FAULT_STALE},
    {"down", 99, 29, GS_FAULT_DOWN}, {"down", 100, 0, GS_FAULT_NONE},
    {"down", 10, 30, GS_FAULT_NONE},
};

Test(standin_platform, faults_respect_end_time_and_share)
{
    for (size_t i = 0; i < sizeof(fault_cases) / sizeof(fault_cases[0]); i++) {
        const FaultCase *c = &fault_cases[i];
        GsFault f = {.until_us = 100, .share_percent = 30};
        cr_assert(GsFault_Parse(c->mode, &f.mode));
        cr_assert_eq(GsFault_Now(&f, c->now_us, c->chance), c->expected,
                     "case %zu", i);
    }
    GsFaultMode mode = GS_FAULT_NONE;
    cr_assert_not(GsFault_Parse("gone", &mode));
}

Test(standin_platform, budget_is_renewed_every_second)
{
    GsBudget b = {.per_second = 2};
    cr_assert(GsBudget_Take(&b, 5000000));
    cr_assert(GsBudget_Take(&b, 5900000));
    cr_assert_not(GsBudget_Take(&b, 5999999));
    cr_assert(GsBudget_Take(&b, 6000000));
}
