#include "store/rows_wire.h"

#include "wire/peer.pb-c.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <zstd.h>

#define TARGET_PATH "/rows"
/* Rows are similar, so a higher level saves little more. */
#define ZSTD_LEVEL 3

char *
GwRowsRequest_WriteTarget(const GwRowsRequest *req)
{
    GString *out = g_string_new(NULL);

    g_string_printf(out,
                    TARGET_PATH "?table=%s&after=%" PRIu64 "&digest=%" PRIx64,
                    req->table, req->after.number, req->digest);
    if (req->after.era != 0) {
        g_string_append_printf(out, "&era=%" PRIu32, req->after.era);
    }
    return g_string_free(out, FALSE);
}

bool
GwRowsRequest_ReadTarget(const char *target, GwRowsRequest *req)
{
    int end = 0;

    req->after.era = 0;
    if (sscanf(target,
               TARGET_PATH "?table=%63[^&]&after=%" SCNu64 "&digest=%" SCNx64
                           "%n",
               req->table, &req->after.number, &req->digest, &end) != 3) {
        return false;
    }
    if (target[end] == '\0') {
        return true;
    }
    target += end;
    return sscanf(target, "&era=%" SCNu32 "%n", &req->after.era, &end) == 1 &&
           target[end] == '\0';
}

static GByteArray *
compress(const uint8_t *bytes, size_t len)
{
    GByteArray *out = g_byte_array_new();

    g_byte_array_set_size(out, (guint)ZSTD_compressBound(len));
    size_t size = ZSTD_compress(out->data, out->len, bytes, len, ZSTD_LEVEL);
    g_assert(!ZSTD_isError(size));
    g_byte_array_set_size(out, (guint)size);
    return out;
}

static Gw__Peer__Row *
pack_row(const GwStoreRow *row, uint32_t era)
{
    Gw__Peer__Row *out = g_new(Gw__Peer__Row, 1);

    gw__peer__row__init(out);
    out->key = row->key;
    out->version = row->version.number;
    out->eras_back = era - row->version.era;
    out->removed = row->removed;
    if (row->value != NULL) {
        out->value.data = (uint8_t *)row->value;
        out->value.len = strlen(row->value);
    }
    return out;
}

GByteArray *
GwRowSet_Pack(const GwRowSet *set)
{
    Gw__Peer__Rows rows = GW__PEER__ROWS__INIT;
    GPtrArray *list = g_ptr_array_new_with_free_func(g_free);

    for (guint i = 0; i < set->rows->len; i++) {
        g_ptr_array_add(list, pack_row(set->rows->pdata[i], set->version.era));
    }
    rows.rows = (Gw__Peer__Row **)list->pdata;
    rows.n_rows = list->len;
    rows.version = set->version.number;
    rows.era = set->version.era;
    size_t len = gw__peer__rows__get_packed_size(&rows);
    uint8_t *bytes = g_malloc(len + 1);
    (void)gw__peer__rows__pack(&rows, bytes);
    GByteArray *out = compress(bytes, len);
    g_free(bytes);
    g_ptr_array_free(list, TRUE);
    return out;
}

static GwRowSet *
unpack_set(const Gw__Peer__Rows *rows)
{
    GwRowSet *set = GwRowSet_Create();

    set->version = (GwStoreVersion){rows->era, rows->version};
    for (size_t i = 0; i < rows->n_rows; i++) {
        const Gw__Peer__Row *row = rows->rows[i];
        char *value =
            row->removed
                ? NULL
                : g_strndup(row->value.len > 0 ? (const char *)row->value.data
                                               : "",
                            row->value.len);
        const GwStoreVersion version = {
            rows->era - MIN(row->eras_back, rows->era), row->version};
        g_ptr_array_add(set->rows, GwStoreRow_Create(row->key, value, version,
                                                     row->removed));
        g_free(value);
    }
    return set;
}

GwRowSet *
GwRowSet_Unpack(const char *bytes, size_t len)
{
    unsigned long long size = ZSTD_getFrameContentSize(bytes, len);
    GwRowSet *set = NULL;

    if (size > GW_ROWS_MAX_BYTES) { /* or zstd's unknown or error code */
        return NULL;
    }
    uint8_t *plain = g_malloc(size + 1);
    size_t plain_len = ZSTD_decompress(plain, size, bytes, len);
    Gw__Peer__Rows *rows =
        ZSTD_isError(plain_len)
            ? NULL
            : gw__peer__rows__unpack(NULL, plain_len, plain);
    g_free(plain);
    if (rows != NULL) {
        set = unpack_set(rows);
        gw__peer__rows__free_unpacked(rows, NULL);
    }
    return set;
}
