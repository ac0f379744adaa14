/* Documents of the platform's store: configurations, server registrations and
 * replies with rows. Accepted rows survive a round trip through the writer. */
#include "platform/platform.h"

#include <stdlib.h>
#include <string.h>

static void
check_rows(const char *text, size_t len)
{
    GwRowSet *set = Platform_ReadRows(text, len, NULL);

    if (set == NULL) {
        return;
    }
    char *again = Platform_WriteRows("t", set);
    GwRowSet *second = Platform_ReadRows(again, strlen(again), NULL);
    if (second == NULL || second->rows->len != set->rows->len ||
        GwStoreVersion_Compare(second->version, set->version) != 0) {
        abort();
    }
    GwRowSet_Free(second);
    GwRowSet_Free(set);
    g_free(again);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (size < 1) {
        return 0;
    }
    char *text = g_strndup((const char *)data + 1, size - 1);
    GwServerRegistration server;

    switch (data[0] % 3) {
    case 0:
        GwRouting_Unref(Platform_ReadConfig(text, NULL));
        break;
    case 1:
        (void)Platform_ReadServer("id", text, &server, NULL);
        break;
    default:
        check_rows(text, strlen(text));
        break;
    }
    g_free(text);
    return 0;
}
