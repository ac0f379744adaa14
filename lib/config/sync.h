/* Spread of the configuration: from the table, from peers, never backwards.
 *
 * The head row names the version in force; documents are rows of their own.
 * A node polls the head with jitter, and asks a peer whose heartbeat names a
 * higher version for the document. A lower version is never adopted. */
#ifndef GW_CONFIG_SYNC_H
#define GW_CONFIG_SYNC_H

#include "godwitridge.h"

#define GW_KEY_HEAD       "config/head"
#define GW_KEY_DOC_PREFIX "config/doc/" /* + %020 version */
#define GW_KEY_OP_PREFIX  "config/op/"  /* + operator's request id */

typedef struct GwSync_s GwSync;

GwSync *GwSync_Create(const GwNodeParams *params);
void GwSync_Free(GwSync *s);
/* Tokens of table requests made by sync have this in the top byte. */
#define GW_TOKEN_SYNC    (1ULL << 56)
#define GW_TOKEN_SEATS   (2ULL << 56)
#define GW_TOKEN_KIND(t) ((t) & (0xffULL << 56))

/* How many entries live: polls are shared among them. */
void GwSync_SetEntries(GwSync *s, uint32_t entries);
void GwSync_Tick(GwSync *s, int64_t now_us, GwActions *out);
/* After a pause longer than the fence: not ready until the table or peers
 * have been heard again. */
void GwSync_Woke(GwSync *s, int64_t now_us);
/* A heartbeat of `from` named `version`; ask for it when higher. */
void GwSync_Heard(GwSync *s, int64_t now_us, GwNodeId from,
                  const char *address, uint64_t version, GwActions *out);
/* CONFIG_ASK (answers with the document) and CONFIG_DOC. Returns true when a
 * new configuration is in force. */
bool GwSync_Receive(GwSync *s, int64_t now_us, const GwMessage *msg,
                    const char *reply_address, GwActions *out);
bool GwSync_TableReply(GwSync *s, int64_t now_us, const GwTableReply *reply,
                       GwActions *out);
const GwConfig *GwSync_Config(const GwSync *s);
/* True when this node may serve: it holds the highest version that it has
 * heard any reachable peer or the table name since its start. */
bool GwSync_Ready(const GwSync *s, int64_t now_us);

#endif
