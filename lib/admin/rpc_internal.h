#ifndef GW_ADMIN_RPC_INTERNAL_H
#define GW_ADMIN_RPC_INTERNAL_H

#include "admin/admin.pb-c.h"
#include "admin/rpc.h"

/* Packed reply of one call. */
typedef struct {
    uint8_t *data;
    uint32_t len;
} GwRpcReply;

typedef GwRpcStatus (*GwRpcMethod)(const GwRpc *rpc, const uint8_t *body,
                                   uint32_t len, GwRpcReply *reply);

/* Packs a message into memory for g_free. */
void GwRpc_Pack(const ProtobufCMessage *message, GwRpcReply *reply);
/* Reads one row; *row is NULL when the row is absent. False when the table did
 * not answer. The reply must be cleared in both cases. */
bool GwRpc_GetRow(const GwRpc *rpc, const char *key, GwTableReply *reply,
                  GwRow **row);

GwRpcStatus GwRpc_Apply(const GwRpc *rpc, const uint8_t *body, uint32_t len,
                        GwRpcReply *reply);
GwRpcStatus GwRpc_GetOperation(const GwRpc *rpc, const uint8_t *body,
                               uint32_t len, GwRpcReply *reply);
GwRpcStatus GwRpc_Get(const GwRpc *rpc, const uint8_t *body, uint32_t len,
                      GwRpcReply *reply);
GwRpcStatus GwRpc_History(const GwRpc *rpc, const uint8_t *body, uint32_t len,
                          GwRpcReply *reply);

#endif
