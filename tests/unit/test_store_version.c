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
