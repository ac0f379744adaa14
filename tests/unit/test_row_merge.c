/* Which of two rows a copy keeps, within an era of the store and across eras. */
#include "store/row_merge.h"

#include <criterion/criterion.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

/* Values are numbers that have an order of their own, or other text. */
static GwValueOrder
order_numbers(void *ctx, const char *key, const char *value, const char *than)
{
    long a = strtol(value, NULL, 10);
    long b = strtol(than, NULL, 10);

    (void)ctx;
    (void)key;
    if (a == 0 || b == 0) {
        return GW_ORDER_NONE;
    }
    return a > b ? GW_ORDER_NEWER : a < b ? GW_ORDER_OLDER : GW_ORDER_SAME;
}

/* Parses "1.5=7", value 7 at number 5 of era 1; "1.5=7!", a value that is ahead
 * of the store; "1.5-7", a removed row whose value was 7. */
static GwStoreRow *
parse_row(const char *text)
{
    GwStoreVersion version = {0};
    char sign = '\0';
    char value[2] = "";
    char ahead = '\0';

    (void)sscanf(text, "%u.%" SCNu64 "%c%1[^!]%c", &version.era,
                 &version.number, &sign, value, &ahead);
    GwStoreRow *row = GwStoreRow_Create("a", sign == '-' ? NULL : value,
                                        version, sign == '-');
    row->is_ahead = ahead == '!';
    if (row->removed && value[0] != '\0') {
        row->last_value = g_strdup(value);
    }
    return row;
}

/* Guards against: after a restore of the store, what was in force goes back, what
 * was removed returns, or what is written then is dropped. */
Test(row_merge, a_row_is_merged_by_its_era_and_its_own_order)
{
    static const struct {
        const char *what;
        const char *held;
        const char *received;
        GwRowMerge merge;
    } cases[] = {
        {"same era: newer", "1.5=7", "1.6=8", GW_MERGE_TAKE},
        {"same era: older", "1.5=7", "1.4=8", GW_MERGE_IGNORE},
        {"same era: the store's order counts, not the value's", "1.5=7",
         "1.6=6", GW_MERGE_TAKE},
        {"same era: removed", "1.5=7", "1.6-", GW_MERGE_TAKE},
        {"same era: removed before", "1.5=7", "1.4-", GW_MERGE_IGNORE},
        {"same era: added again", "1.5-7", "1.6=7", GW_MERGE_TAKE},
        {"same version and value", "1.5=7", "1.5=7", GW_MERGE_IGNORE},
        {"same version, a peer kept a newer value", "2.5=7", "2.5=8",
         GW_MERGE_AMEND},
        {"same version, a peer has an older value", "2.5=8", "2.5=7",
         GW_MERGE_IGNORE},
        {"same version, values without an order", "2.5=x", "2.5=y",
         GW_MERGE_IGNORE},
        {"new era, lower number, same value", "1.50=7", "2.5=7",
         GW_MERGE_TAKE},
        {"new era, lower number, newer value", "1.50=7", "2.5=8",
         GW_MERGE_TAKE},
        {"new era, the copy's older value", "1.50=7", "2.5=6",
         GW_MERGE_RENUMBER},
        {"new era, no order", "1.50=x", "2.5=y", GW_MERGE_TAKE},
        {"a newer value was kept, the store is still behind", "2.5=8!",
         "2.6=7", GW_MERGE_RENUMBER},
        {"a newer value was kept, the store has it again", "2.5=8!", "2.6=8",
         GW_MERGE_TAKE},
        {"earlier era, older value", "2.5=8", "1.50=7", GW_MERGE_IGNORE},
        {"earlier era, newer value", "2.5=7", "1.50=8", GW_MERGE_AMEND},
        {"earlier era, no order", "2.5=x", "1.50=y", GW_MERGE_IGNORE},
        {"earlier era, removed", "2.5=7", "1.50-", GW_MERGE_IGNORE},
        {"new era, removed", "1.50=7", "2.5-", GW_MERGE_TAKE},
        {"the copy has a removed row again, unchanged", "1.50-7", "2.5=7",
         GW_MERGE_HOLD_BACK},
        {"the copy has a removed row again, older", "1.50-7", "2.5=6",
         GW_MERGE_HOLD_BACK},
        {"the copy has a removed row again, without an order", "1.50-x",
         "2.5=x", GW_MERGE_HOLD_BACK},
        {"the copy has a removed row again, its value is unknown", "1.50-",
         "2.5=7", GW_MERGE_HOLD_BACK},
        {"a removed row was written again before the first read", "1.50-7",
         "2.5=8", GW_MERGE_TAKE},
        {"a removed row was written again after the first read", "1.50-x",
         "2.21=x", GW_MERGE_TAKE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwStoreRow *held = parse_row(cases[i].held);
        GwStoreRow *received = parse_row(cases[i].received);
        GwStoreVersion copied = {2, 20};
        cr_expect_eq(
            GwStoreRow_Merge(held, received, copied, order_numbers, NULL),
            cases[i].merge, "%s", cases[i].what);
        GwStoreRow_Free(held);
        GwStoreRow_Free(received);
    }
}
