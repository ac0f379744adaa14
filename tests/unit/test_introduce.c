#include "edge/introduce.h"

#include <criterion/criterion.h>

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
            GwIntroduce_TellsAddresses(cases[i].own, cases[i].newcomers),
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
            tellers += GwIntroduce_TellsPlaces(own, "newcomer", names);
            g_ptr_array_insert(names, (gint)k, own);
        }
        cr_expect_eq(tellers, MIN(sizes[i], GW_INTRODUCERS), "%u entries",
                     sizes[i]);
        g_ptr_array_free(names, TRUE);
    }
}
