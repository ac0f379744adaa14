/* Versions of the store: eras and their order. */
#include "store/version.h"

#include <criterion/criterion.h>
#include <glib.h>

/* Guards against: a header that names no era is taken for one, and rows of the
 * live store count as older. */
Test(store_version, an_era_is_a_positive_number_of_32_bits)
{
    static const struct {
        const char *text;
        uint32_t era;
    } cases[] = {
        {NULL, 0},         {"", 0},
        {"0", 0},          {"1", 1},
        {"007", 7},        {"4294967295", 4294967295},
        {"4294967296", 0}, {"18446744073709551616", 0},
        {"-1", 0},         {"+1", 0},
        {"1.5", 0},        {"1 2", 0},
        {" 1", 0},         {"0x10", 0},
        {"three", 0},      {"1,2", 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cr_expect_eq(GwStoreEra_Parse(cases[i].text), cases[i].era, "case %zu",
                     i);
    }
}

/* Guards against: versions of two histories of the store are compared by their
 * numbers. */
Test(store_version, versions_are_ordered_by_era_and_number)
{
    static const struct {
        GwStoreVersion a;
        GwStoreVersion b;
        int order;
    } cases[] = {
        {{0, 5}, {0, 5}, 0},   {{0, 6}, {0, 5}, 1},
        {{1, 5}, {1, 5}, 0},   {{1, 4}, {1, 5}, -1},
        {{2, 1}, {1, 213}, 1}, {{1, 520}, {2, 213}, -1},
        {{1, 1}, {0, 9}, 1},   {{4, 1}, {1, UINT64_MAX}, 1},
        {{0, 0}, {0, 1}, -1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwStoreVersion a = cases[i].a;
        GwStoreVersion b = cases[i].b;
        GwStoreVersion newer = cases[i].order >= 0 ? a : b;
        cr_expect_eq(GwStoreVersion_Compare(a, b), cases[i].order, "%zu", i);
        cr_expect_eq(GwStoreVersion_Compare(b, a), -cases[i].order, "%zu", i);
        cr_expect_eq(GwStoreVersion_IsNewer(a, b), cases[i].order > 0, "%zu",
                     i);
        cr_expect_eq(GwStoreVersion_Compare(GwStoreVersion_Max(a, b), newer),
                     0, "%zu", i);
    }
}
