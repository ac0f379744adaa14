#include "platform/snapshots.h"

#include <stdlib.h>

GwResult
GwSnapshots_Write(GwObjectClient *objects, uint64_t version, const char *text,
                  uint32_t len)
{
    char name[GW_SNAPSHOT_NAME_MAX];
    uint32_t bytes_len = 0;

    GwSnapshot_Name(version, name);
    char *bytes = GwSnapshot_Encode(version, text, len, &bytes_len);
    GwResult r = GwObjectClient_Put(objects, name, bytes, bytes_len);
    g_free(bytes);
    return r == GW_ERR(CONFLICT) ? 0 : r;
}

static int
compare_newest_first(const void *a, const void *b)
{
    uint64_t left = *(const uint64_t *)a;
    uint64_t right = *(const uint64_t *)b;
    return left < right ? 1 : left > right ? -1 : 0;
}

/* Lists the versions that have a snapshot, newest first. */
static GwResult
list_versions(GwObjectClient *objects, uint64_t at_most, GArray *versions)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    GwResult r = GwObjectClient_List(objects, GW_SNAPSHOT_PREFIX, names);

    for (guint i = 0; i < names->len; i++) {
        uint64_t version = 0;
        const char *name = g_ptr_array_index(names, i);
        if (!GwResult_IsError(GwSnapshot_VersionOfName(name, &version)) &&
            version <= at_most) {
            g_array_append_val(versions, version);
        }
    }
    g_ptr_array_free(names, TRUE);
    g_array_sort(versions, compare_newest_first);
    return r;
}

static GwResult
read_snapshot(GwObjectClient *objects, uint64_t version, GwSnapshot *out)
{
    char name[GW_SNAPSHOT_NAME_MAX];
    char *bytes = NULL;

    GwSnapshot_Name(version, name);
    GwResult r = GwObjectClient_Read(objects, name, &bytes);
    if (GwResult_IsError(r)) {
        return r;
    }
    r = GwSnapshot_Decode(bytes, (uint32_t)r, out);
    g_free(bytes);
    if (!GwResult_IsError(r) && out->version != version) {
        GwSnapshot_Clear(out);
        return GW_ERR(CORRUPT);
    }
    return r;
}

GwResult
GwSnapshots_ReadNewest(GwObjectClient *objects, uint64_t at_most,
                       GwSnapshot *out, uint32_t *damaged)
{
    GArray *versions = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GwResult r = list_versions(objects, at_most, versions);
    bool is_listed = !GwResult_IsError(r);

    *damaged = 0;
    for (guint i = 0; is_listed && i < versions->len; i++) {
        r = read_snapshot(objects, g_array_index(versions, uint64_t, i), out);
        if (r != GW_ERR(CORRUPT)) {
            break;
        }
        (*damaged)++;
    }
    if (is_listed && (versions->len == 0 || r == GW_ERR(CORRUPT))) {
        r = GW_ERR(NOT_FOUND);
    }
    g_array_free(versions, TRUE);
    return r;
}
