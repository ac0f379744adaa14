#include "config/snapshot.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define HEAD_MAX 96

void
GwSnapshot_Name(uint64_t version, char out[GW_SNAPSHOT_NAME_MAX])
{
    g_snprintf(out, GW_SNAPSHOT_NAME_MAX, GW_SNAPSHOT_PREFIX "%020" PRIu64,
               version);
}

GwResult
GwSnapshot_VersionOfName(const char *name, uint64_t *version)
{
    char again[GW_SNAPSHOT_NAME_MAX];
    uint64_t found = 0;

    if (sscanf(name, GW_SNAPSHOT_PREFIX "%20" SCNu64, &found) != 1) {
        return GW_ERR(PARSE);
    }
    GwSnapshot_Name(found, again);
    if (strcmp(again, name) != 0) {
        return GW_ERR(PARSE);
    }
    *version = found;
    return 0;
}

char *
GwSnapshot_Encode(uint64_t version, const char *text, uint32_t len,
                  uint32_t *out_len)
{
    GString *out = g_string_sized_new(HEAD_MAX + len);

    g_string_append_printf(
        out, "godwitridge-config 1 %" PRIu64 " %u %016" PRIx64 "\n", version,
        len, (uint64_t)XXH64(text, len, 0));
    g_string_append_len(out, text, len);
    *out_len = (uint32_t)out->len;
    return g_string_free(out, FALSE);
}

/* Reads the header line; returns the offset of the document. */
static GwResult
read_head(const char *bytes, uint32_t len, GwSnapshot *out, uint64_t *checksum)
{
    char head[HEAD_MAX];
    const char *end = memchr(bytes, '\n', len < HEAD_MAX ? len : HEAD_MAX);
    int used = 0;

    if (end == NULL) {
        return GW_ERR(CORRUPT);
    }
    size_t head_len = (size_t)(end - bytes);
    if (head_len >= HEAD_MAX) {
        return GW_ERR(CORRUPT);
    }
    memcpy(head, bytes, head_len);
    head[head_len] = '\0';
    int fields = sscanf(head,
                        "godwitridge-config 1 %20" SCNu64 " %9" SCNu32
                        " %16" SCNx64 "%n",
                        &out->version, &out->text_len, checksum, &used);
    if (fields != 3 || (size_t)used != head_len || out->version == 0) {
        return GW_ERR(CORRUPT);
    }
    return (GwResult)head_len + 1;
}

GwResult
GwSnapshot_Decode(const char *bytes, uint32_t len, GwSnapshot *out)
{
    uint64_t checksum = 0;

    *out = (GwSnapshot){0};
    GwResult offset = read_head(bytes, len, out, &checksum);
    if (GwResult_IsError(offset) || (uint64_t)offset + out->text_len != len ||
        XXH64(bytes + offset, out->text_len, 0) != checksum) {
        *out = (GwSnapshot){0};
        return GW_ERR(CORRUPT);
    }
    /* A document that no longer parses cannot be restored; the next older
     * snapshot may parse. */
    GwConfig *config =
        GwConfig_Parse(bytes + offset, out->text_len, out->version, NULL);
    if (config == NULL) {
        *out = (GwSnapshot){0};
        return GW_ERR(CORRUPT);
    }
    GwConfig_Free(config);
    out->text = g_strndup(bytes + offset, out->text_len);
    return out->text_len;
}

void
GwSnapshot_Clear(GwSnapshot *snapshot)
{
    g_free(snapshot->text);
    *snapshot = (GwSnapshot){0};
}
