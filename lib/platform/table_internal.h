/* What an answer of the table service means; apart, so that it can be tested
 * without a server. */
#ifndef GW_PLATFORM_TABLE_INTERNAL_H
#define GW_PLATFORM_TABLE_INTERNAL_H

#include "platform/table.h"

/* `reply` comes in as LOST and stays so on any doubt; then it may own rows
 * nevertheless. http_status 0: no whole answer came. */
void GwTable_Interpret(const GwTableRequest *request, uint32_t http_status,
                       const char *text, GwTableReply *reply);

#endif
