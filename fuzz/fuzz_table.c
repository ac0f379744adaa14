/* Replies of the platform's table service, for each operation and status. */
#include "platform/table_internal.h"

#include <glib.h>

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static const GwTableOp ops[] = {GW_TABLE_LIST, GW_TABLE_TXN, GW_TABLE_GET};
    static const uint32_t statuses[] = {200, 404, 409, 500};
    char *text = g_strndup((const char *)data, size);

    for (size_t i = 0; i < G_N_ELEMENTS(ops); i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(statuses); j++) {
            GwTableRequest request = {.op = ops[i], .row_count = 2};
            GwTableReply reply = {.status = GW_TABLE_LOST};
            GwTable_Interpret(&request, statuses[j], text, &reply);
            GwTableReply_Clear(&reply);
        }
    }
    g_free(text);
    return 0;
}
