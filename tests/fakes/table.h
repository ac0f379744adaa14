/* In-memory copy of the platform's table: versions, conditional writes and
 * outages. The caller decides when a request is executed and whether its reply
 * is delivered. */
#ifndef GW_TESTS_FAKES_TABLE_H
#define GW_TESTS_FAKES_TABLE_H

#include "godwitridge.h"

typedef struct {
    GHashTable *rows; /* key -> GwRow */
    uint64_t reads;
    uint64_t writes;
} GwFakeTable;

GwFakeTable *GwFakeTable_Create(void);
void GwFakeTable_Free(GwFakeTable *t);
/* Writes a row unconditionally; returns the new version. */
uint64_t GwFakeTable_Put(GwFakeTable *t, const char *key, const char *value);
const GwRow *GwFakeTable_Get(const GwFakeTable *t, const char *key);
/* Executes a request. The caller frees the reply with
 * GwFakeTable_FreeReply. */
GwTableReply *GwFakeTable_Execute(GwFakeTable *t,
                                  const GwTableRequest *request);
/* A reply with status GW_TABLE_LOST. */
GwTableReply *GwFakeTable_Lost(const GwTableRequest *request);
void GwFakeTable_FreeReply(GwTableReply *reply);

#endif
