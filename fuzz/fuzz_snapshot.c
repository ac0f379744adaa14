/* Configuration snapshots from the object store: accepted whole or rejected.
 * An accepted text is within the input, and encodes to at most 64 more
 * bytes. */
#include "config/snapshot.h"

#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    GwSnapshot snapshot;
    GwResult r =
        GwSnapshot_Decode((const char *)data, (uint32_t)size, &snapshot);

    if (GwResult_IsError(r)) {
        return 0;
    }
    uint32_t len = 0;
    char *again = GwSnapshot_Encode(snapshot.version, snapshot.text,
                                    snapshot.text_len, &len);
    g_assert(snapshot.text_len <= size && len <= size + 64);
    g_free(again);
    GwSnapshot_Clear(&snapshot);
    return 0;
}
