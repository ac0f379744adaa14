/* Format of the store's rows of quarantined requests. */
#include "edge/quarantine_rows.h"

#include <criterion/criterion.h>
#include <string.h>

#define KEY "0000000000000001000000000000000f"

Test(quarantine_rows, written_row_reads_back_the_same)
{
    GwSuspect suspect = {.fingerprint = {1, 15},
                         .generation = 3,
                         .age_ms = 90000,
                         .span_ms = 1200,
                         .server_count = 2,
                         .servers = {7, UINT64_MAX}};
    GwSuspect back;
    char *value = GwQuarantineRow_WriteValue(&suspect, 1000);

    cr_assert(GwQuarantineRow_Read(KEY, value, 1100, &back));
    cr_expect_eq(back.fingerprint.hi, 1);
    cr_expect_eq(back.fingerprint.lo, 15);
    cr_expect_eq(back.generation, 3);
    cr_expect_eq(back.age_ms, 190000, "%u", back.age_ms);
    cr_expect_eq(back.span_ms, 1200);
    cr_expect_eq(back.server_count, 2);
    cr_expect_eq(back.servers[1], UINT64_MAX);
    g_free(value);
}

/* Guards against a damaged row, or a clock that was set back, that
 * quarantines a wrong request or for too long. */
Test(quarantine_rows, damaged_rows_are_rejected_and_clocks_clamped)
{
    static const struct {
        const char *key;
        const char *value;
        bool good;
        uint32_t age_ms;
    } cases[] = {
        {KEY, "0 1000 300", true, 0}, /* released */
        {KEY, "0 990 300 1 2 3", true, 10000},
        {KEY, "0 2000 300 1 2 3", true,
         0}, /* written by a clock that is ahead */
        {KEY, "0 -9000000000 300 1", true, UINT32_MAX / 1000 * 1000},
        {"", "0 1000 300 1", false, 0},
        {"0f", "0 1000 300 1", false, 0},
        {KEY, "", false, 0},
        {KEY, "0 1000", false, 0},
        {KEY, "x 1000 300 1", false, 0},
        {KEY, "0 1000 300 xyz", false, 0},
        {KEY, "0 1000 300 1 ", false, 0},
        {KEY, "0 1000 300 1 2 3 4 5 6 7 8 9", false, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwSuspect s;
        bool good =
            GwQuarantineRow_Read(cases[i].key, cases[i].value, 1000, &s);
        cr_expect_eq(good, cases[i].good, "case %zu", i);
        cr_expect(!good || s.age_ms == cases[i].age_ms, "case %zu: %u", i,
                  s.age_ms);
    }
}
