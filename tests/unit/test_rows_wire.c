/* Encoding of rows and of requests for rows between entries. */
#include "store/rows_wire.h"

#include <criterion/criterion.h>
#include <string.h>

static GwRowSet *
make_set(uint32_t count)
{
    GwRowSet *set = GwRowSet_Create();

    for (uint32_t i = 0; i < count; i++) {
        char *key = g_strdup_printf("server-%u", i);
        char *value = g_strdup_printf("{\"address\":\"10.0.0.%u:1\"}", i);
        bool removed = i % 3 == 2;
        g_ptr_array_add(set->rows,
                        GwStoreRow_Create(key, removed ? NULL : value,
                                          (GwStoreVersion){.era = 3 - i % 4,
                                                           .number = 100 + i},
                                          removed));
        g_free(key);
        g_free(value);
    }
    set->version = (GwStoreVersion){.era = 3, .number = 100 + count};
    return set;
}

Test(rows_wire, decoded_rows_equal_the_encoded_rows)
{
    static const uint32_t counts[] = {0, 1, 3, 1000};

    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        GwRowSet *set = make_set(counts[i]);
        GByteArray *bytes = GwRowSet_Pack(set);
        GwRowSet *got = GwRowSet_Unpack((const char *)bytes->data, bytes->len);
        cr_assert_not_null(got);
        cr_expect_eq(GwStoreVersion_Compare(got->version, set->version), 0);
        cr_assert_eq(got->rows->len, counts[i]);
        for (guint k = 0; k < counts[i]; k++) {
            const GwStoreRow *a = set->rows->pdata[k];
            const GwStoreRow *b = got->rows->pdata[k];
            cr_expect_str_eq(a->key, b->key);
            cr_expect_eq(GwStoreVersion_Compare(a->version, b->version), 0);
            cr_expect_eq(a->removed, b->removed);
            cr_expect_eq(g_strcmp0(a->value, b->value), 0);
        }
        GwRowSet_Free(got);
        GwRowSet_Free(set);
        g_byte_array_free(bytes, TRUE);
    }
}

/* Guards against rows read from a truncated answer or another format. */
Test(rows_wire, truncated_or_foreign_bytes_are_rejected)
{
    GwRowSet *set = make_set(50);
    GByteArray *bytes = GwRowSet_Pack(set);

    for (guint len = 0; len < bytes->len; len++) {
        cr_expect_null(GwRowSet_Unpack((const char *)bytes->data, len));
    }
    cr_expect_null(GwRowSet_Unpack("{\"rows\":[]}", 11));
    GwRowSet_Free(set);
    g_byte_array_free(bytes, TRUE);
}

Test(rows_wire, targets_of_row_requests_are_parsed)
{
    static const struct {
        const char *target;
        bool read;
        uint32_t era;
    } cases[] = {
        {"/rows?table=servers&after=42&digest=1f", true, 0},
        {"/rows?table=servers&after=42&digest=1f&era=7", true, 7},
        {"/rows?table=servers&after=42&digest=1f&era=", false, 0},
        {"/rows?table=servers&after=42&digest=1f&era=7x", false, 0},
        {"/rows?table=servers&after=42&digest=1f&more=1", false, 0},
        {"/rows?table=&after=42&digest=1f", false, 0},
        {"/rows?table=servers&after=x&digest=1f", false, 0},
        {"/rows", false, 0},
        {"/other", false, 0},
    };

    for (size_t i = 0; i < 2; i++) {
        GwRowsRequest request = {
            .table = "servers", .after = {cases[i].era, 42}, .digest = 0x1f};
        char *target = GwRowsRequest_WriteTarget(&request);
        cr_expect_str_eq(target, cases[i].target);
        g_free(target);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwRowsRequest got = {.digest = 0};
        cr_expect_eq(GwRowsRequest_ReadTarget(cases[i].target, &got),
                     cases[i].read, "%s", cases[i].target);
        if (cases[i].read) {
            cr_expect_str_eq(got.table, "servers");
            cr_expect_eq(got.after.number, 42);
            cr_expect_eq(got.after.era, cases[i].era);
            cr_expect_eq(got.digest, 0x1f);
        }
    }
}
