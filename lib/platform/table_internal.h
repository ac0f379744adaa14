/* Interpretation of responses of the table service, separate from HTTP for
 * tests without a server. */
#ifndef GW_PLATFORM_TABLE_INTERNAL_H
#define GW_PLATFORM_TABLE_INTERNAL_H

#include "platform/table.h"

/* Fills `reply` from a response. Its status must be LOST on entry and remains
 * LOST when the outcome is unknown; the reply may own rows even then.
 * http_status 0: no complete response arrived. */
void GwTable_Interpret(const GwTableRequest *request, uint32_t http_status,
                       const char *text, GwTableReply *reply);

#endif
