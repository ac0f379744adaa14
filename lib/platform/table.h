/* Blocking client of the platform's table service. */
#ifndef GW_PLATFORM_TABLE_H
#define GW_PLATFORM_TABLE_H

#include "godwitridge.h"

typedef struct GwTableClient_s GwTableClient;

/* url: base of the platform's HTTP, such as http://127.0.0.1:7900. */
GwTableClient *GwTableClient_Create(const char *url, uint32_t timeout_ms);
void GwTableClient_Free(GwTableClient *client);
/* Blocks up to the timeout; any thread. Fills `reply`, with LOST on any
 * doubt. A TXN in conflict has one row: the key and its present version. */
void GwTableClient_Do(GwTableClient *client, const GwTableRequest *request,
                      GwTableReply *reply);
/* Frees what a reply owns. */
void GwTableReply_Clear(GwTableReply *reply);

#endif
