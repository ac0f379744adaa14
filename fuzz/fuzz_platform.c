/* Documents of the platform's store: configurations, server registrations and
 * replies with rows. Accepted rows survive a round trip through the writer, and
 * what an accepted server is called can be sent in a header. */
#include "http/conn.h"
#include "platform/json.h"
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

/* The key and the value are separated by a zero byte. */
static void
check_server(const char *text, size_t len)
{
    const char *value = memchr(text, 0, len);
    GwServerRegistration server;
    struct sockaddr_in address;

    if (!Platform_ReadServer(value != NULL ? text : "id",
                             value != NULL ? value + 1 : text, &server,
                             NULL)) {
        return;
    }
    if (!Platform_IsIdentifier(server.id) ||
        !Platform_IsName(server.service) || !Platform_IsName(server.domain) ||
        !GwConn_ParseAddress(server.address, &address) || server.slots == 0) {
        abort();
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (size < 1) {
        return 0;
    }
    char *text = g_malloc0(size);
    (void)memcpy(text, data + 1, size - 1);

    switch (data[0] % 3) {
    case 0:
        GwRouting_Unref(Platform_ReadConfig(text, NULL));
        break;
    case 1:
        check_server(text, size - 1);
        break;
    default:
        check_rows(text, strlen(text));
        break;
    }
    g_free(text);
    return 0;
}
