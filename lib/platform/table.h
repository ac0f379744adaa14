/* Blocking client of the platform's table service. */
#ifndef GW_PLATFORM_TABLE_H
#define GW_PLATFORM_TABLE_H

#include "godwitridge.h"

typedef struct GwTableClient_s GwTableClient;

/* url: base address of the platform, such as http://127.0.0.1:7900. */
GwTableClient *GwTableClient_Create(const char *url, uint32_t timeout_ms);
void GwTableClient_Free(GwTableClient *client);
/* Runs a request; blocks up to the timeout. Thread-safe. Fills `reply`, whose
 * status is LOST when the outcome is unknown. The reply to a TXN in conflict
 * has one row: the conflicting key and its present version. */
void GwTableClient_Do(GwTableClient *client, const GwTableRequest *request,
                      GwTableReply *reply);
/* Frees what the reply owns and resets it. */
void GwTableReply_Clear(GwTableReply *reply);

#endif
