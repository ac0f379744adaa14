/* Synchronisation of the configuration, from the table and from peers.
 *
 * The head row names the version in force; documents are rows of their own.
 * A node polls the head with jitter, and requests the document from a peer
 * whose heartbeat names a higher version. A lower version is never adopted. */
#ifndef GW_CONFIG_SYNC_H
#define GW_CONFIG_SYNC_H

#include "godwitridge.h"

#define GW_KEY_HEAD       "config/head"
#define GW_KEY_DOC_PREFIX "config/doc/" /* + %020 version */
#define GW_KEY_OP_PREFIX  "config/op/"  /* + operator's request id */

typedef struct GwSync_s GwSync;

GwSync *GwSync_Create(const GwNodeParams *params);
void GwSync_Free(GwSync *s);
/* Top byte of the tokens of table requests, by the module that sends them. */
#define GW_TOKEN_SYNC    (1ULL << 56)
#define GW_TOKEN_SEATS   (2ULL << 56)
#define GW_TOKEN_KIND(t) ((t) & (0xffULL << 56))

/* Sets the number of live entries, by which polls are spread. */
void GwSync_SetEntries(GwSync *s, uint32_t entries);
void GwSync_Tick(GwSync *s, int64_t now_us, GwActions *out);
/* Handles a pause of this process above the fence time: the node is not
 * ready until the table or peers have answered again. */
void GwSync_Resume(GwSync *s, int64_t now_us);
/* Handles a heartbeat of `from` that names `version`; requests the document
 * if the version is higher. */
void GwSync_NotePeerVersion(GwSync *s, int64_t now_us, GwNodeId from,
                            const char *address, uint64_t version,
                            GwActions *out);
/* Handles CONFIG_ASK (answered with the document) and CONFIG_DOC. Returns
 * true if a new configuration is in force. */
bool GwSync_Receive(GwSync *s, int64_t now_us, const GwMessage *msg,
                    const char *reply_address, GwActions *out);
bool GwSync_TableReply(GwSync *s, int64_t now_us, const GwTableReply *reply,
                       GwActions *out);
const GwConfig *GwSync_Config(const GwSync *s);
/* Returns whether this node may serve: it holds the highest version named
 * since its start by the table or by any reachable peer. */
bool GwSync_IsReady(const GwSync *s, int64_t now_us);

#endif
