#include "edge/introduce.h"

#include <criterion/criterion.h>
#include <string.h>

/* An entry that starts while the store is away knows its seeds only and must
 * learn of the others; when all start at once nobody has to be told. */
Test(introduce, addresses_are_told_to_those_who_lack_them)
{
    static const struct {
        uint32_t own;
        uint32_t newcomers;
        bool told;
    } cases[] = {
        {67, 3, true},   /* it came by seeds */
        {67, 0, true},   /* it knows nobody */
        {67, 67, false}, /* it read them in the store */
        {67, 60, false}, /* so did it, a little earlier */
        {2, 1, false},   /* it has the only other one */
        {8, 3, true},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cr_expect_eq(
            GwBootstrap_SendsAddresses(cases[i].own, cases[i].newcomers),
            cases[i].told, "case %zu", i);
    }
}

/* Of any number of entries exactly two tell a newcomer where objects are warm,
 * though none asks another; of fewer, all do. */
Test(introduce, two_of_a_region_tell_places)
{
    static const uint32_t sizes[] = {1, 2, 3, 24, 200};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
        uint32_t tellers = 0;
        for (uint32_t k = 0; k < sizes[i]; k++) {
            g_ptr_array_add(names, g_strdup_printf("entry-%u", k));
        }
        for (uint32_t k = 0; k < sizes[i]; k++) {
            char *own = g_ptr_array_steal_index(names, k);
            tellers += GwBootstrap_SendsPlacements(own, "newcomer", names);
            g_ptr_array_insert(names, (gint)k, own);
        }
        cr_expect_eq(tellers, MIN(sizes[i], GW_BOOTSTRAP_SENDERS),
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

/* Each entry of 300 that start at once told each, and was answered by each:
 * more bytes between regions than all callers' requests. */
Test(introduce, a_start_of_all_is_told_to_few_of_other_regions)
{
    static const struct {
        uint32_t entries;
        uint32_t domains;
        uint32_t far; /* that are greeted */
    } cases[] = {
        {12, 6, 8}, /* all of them */
        {66, 6, 8},
        {195, 9, 12},
        {300, 9, 12},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GArray *rows = make_rows(cases[i].entries, cases[i].domains);
        bool *greeted = g_new(bool, rows->len);
        uint32_t far = 0;
        GwBootstrap_ChooseNotified("r0", rows, greeted);
        for (guint k = 0; k < rows->len; k++) {
            const GwEntryRow *row = &g_array_index(rows, GwEntryRow, k);
            bool near = strcmp(row->region, "r0") == 0;
            cr_expect(greeted[k] || !near, "near %u", k);
            cr_expect(near || !greeted[k] || row->link_kbps == 200000,
                      "a small one of another region: %u", k);
            far += greeted[k] && !near;
        }
        cr_expect_eq(far, cases[i].far, "%u entries", cases[i].entries);
        g_free(greeted);
        g_array_free(rows, TRUE);
    }
}

/* Rows of entries of the version before hold the address alone. */
Test(introduce, rows_of_entries)
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
