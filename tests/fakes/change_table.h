/* In-memory table that loses replies and delays writes on demand. */
#ifndef GW_TESTS_CHANGE_TABLE_H
#define GW_TESTS_CHANGE_TABLE_H

#include "godwitridge.h"

typedef enum {
    FATE_DONE = 0,
    FATE_LOST_BEFORE, /* the request is lost */
    FATE_LOST_AFTER,  /* the request takes effect, the reply is lost */
    FATE_DELAYED /* no reply; a write takes effect in ChangeTable_Deliver */
} ChangeFate;

typedef struct {
    GHashTable *rows;  /* key -> GwRow */
    GPtrArray *late;   /* GwTableRequest */
    uint64_t versions; /* last version assigned */
} ChangeTable;

ChangeTable *ChangeTable_Create(void);
void ChangeTable_Free(ChangeTable *t);
void ChangeTable_Execute(ChangeTable *t, const GwTableRequest *request,
                         ChangeFate fate, GwTableReply *reply);
void ChangeTable_ClearReply(GwTableReply *reply);
/* Executes one delayed write, chosen by `pick`; false if there is none. */
bool ChangeTable_Deliver(ChangeTable *t, uint32_t pick);
/* Value of a row, or NULL if absent. */
const char *ChangeTable_Get(const ChangeTable *t, const char *key);

#endif
