/* Bootstrap state sent to new entries, and the rows of entries in the store. */
#include "edge/bootstrap.h"

#include <criterion/criterion.h>
#include <string.h>

/* An entry that starts during a store outage knows only its seeds and must
 * be sent the other addresses; when all start together no entry needs them. */
Test(bootstrap, addresses_are_sent_to_entries_that_lack_them)
{
    static const struct {
        uint32_t own;
        uint32_t peer_known;
        bool sent;
    } cases[] = {
        {67, 3, true},   /* started from seeds */
        {67, 0, true},   /* knows no peer */
        {67, 67, false}, /* read them from the store */
        {67, 60, false}, /* the same, a little earlier */
        {2, 1, false},   /* knows the only other entry */
        {8, 3, true},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cr_expect_eq(
            GwBootstrap_SendsAddresses(cases[i].own, cases[i].peer_known),
            cases[i].sent, "case %zu", i);
    }
}

/* Of any number of entries exactly two send warm placements to a new entry,
 * without messages to agree on it; of fewer than two, all do. */
Test(bootstrap, two_entries_of_a_region_send_placements)
{
    static const uint32_t sizes[] = {1, 2, 3, 24, 200};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
        uint32_t senders = 0;
        for (uint32_t k = 0; k < sizes[i]; k++) {
            g_ptr_array_add(names, g_strdup_printf("entry-%u", k));
        }
        for (uint32_t k = 0; k < sizes[i]; k++) {
            char *own = g_ptr_array_steal_index(names, k);
            senders += GwBootstrap_SendsPlacements(own, "newcomer", names);
            g_ptr_array_insert(names, (gint)k, own);
        }
        cr_expect_eq(senders, MIN(sizes[i], GW_BOOTSTRAP_SENDERS),
                     "%u entries", sizes[i]);
        g_ptr_array_free(names, TRUE);
    }
}

static GArray *
make_rows(uint32_t entries, uint32_t domains)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(GwEntryRow));

    for (uint32_t i = 0; i < entries; i++) {
        GwEntryRow row = {.cpu_milli = 100};
        g_snprintf(row.name, sizeof(row.name), "e%u", i);
        g_snprintf(row.address, sizeof(row.address), "10.0.0.%u:1", i);
        g_snprintf(row.domain, sizeof(row.domain), "d%u", i % domains);
        g_snprintf(row.region, sizeof(row.region), "r%u", i % domains % 3);
        row.link_kbps = i < 2 * domains ? 200000 : 20000;
        g_array_append_val(rows, row);
    }
    return rows;
}

/* Guards against 300 entries that start together each notifying and
 * answering each: that took more bytes between regions than all callers'
 * requests. */
Test(bootstrap, few_entries_of_other_regions_are_notified)
{
    static const struct {
        uint32_t entries;
        uint32_t domains;
        uint32_t remote; /* notified in other regions */
    } cases[] = {
        {12, 6, 8}, /* all of them */
        {66, 6, 8},
        {195, 9, 12},
        {300, 9, 12},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GArray *rows = make_rows(cases[i].entries, cases[i].domains);
        bool *notified = g_new(bool, rows->len);
        uint32_t remote = 0;
        GwBootstrap_ChooseNotified("r0", rows, notified);
        for (guint k = 0; k < rows->len; k++) {
            const GwEntryRow *row = &g_array_index(rows, GwEntryRow, k);
            bool same_region = strcmp(row->region, "r0") == 0;
            cr_expect(notified[k] || !same_region, "same region: %u", k);
            cr_expect(same_region || !notified[k] || row->link_kbps == 200000,
                      "small entry of another region: %u", k);
            remote += notified[k] && !same_region;
        }
        cr_expect_eq(remote, cases[i].remote, "%u entries", cases[i].entries);
        g_free(notified);
        g_array_free(rows, TRUE);
    }
}

/* Rows written by the previous version hold the address only. */
Test(bootstrap, entry_rows_are_parsed)
{
    static const struct {
        const char *value;
        bool read;
        const char *region;
    } cases[] = {
        {"10.0.0.1:7 r1 d1 20000 100", true, "r1"},
        {"10.0.0.1:7", true, ""},
        {"10.0.0.1:7 r1", false, ""},
        {"", false, ""},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwEntryRow row;
        cr_assert_eq(GwEntryRow_Read("e1", cases[i].value, &row),
                     cases[i].read, "case %zu", i);
        if (!cases[i].read) {
            continue;
        }
        cr_expect_str_eq(row.address, "10.0.0.1:7");
        cr_expect_str_eq(row.region, cases[i].region);
        if (row.region[0] != '\0') {
            char *again = GwEntryRow_WriteValue(&row);
            cr_expect_str_eq(again, cases[i].value);
            g_free(again);
        }
    }
}
