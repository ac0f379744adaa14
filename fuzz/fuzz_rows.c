/* Rows from a peer, and targets of peers' requests for rows. Accepted rows
 * survive a round trip through the wire format. */
#include "store/rows_wire.h"

#include <stdlib.h>

static void
check_rows(const char *bytes, size_t len)
{
    GwRowSet *set = GwRowSet_Unpack(bytes, len);

    if (set == NULL) {
        return;
    }
    GByteArray *again = GwRowSet_Pack(set);
    GwRowSet *second = GwRowSet_Unpack((const char *)again->data, again->len);
    if (second == NULL || second->rows->len != set->rows->len ||
        GwStoreVersion_Compare(second->version, set->version) != 0) {
        abort();
    }
    GwRowSet_Free(second);
    GwRowSet_Free(set);
    g_byte_array_free(again, TRUE);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    char *text = g_strndup((const char *)data, size);
    GwRowsRequest ask;

    check_rows((const char *)data, size);
    (void)GwRowsRequest_ReadTarget(text, &ask);
    g_free(text);
    return 0;
}
