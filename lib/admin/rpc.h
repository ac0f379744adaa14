/* Remote procedure calls of operators, independent of HTTP. */
#ifndef GW_ADMIN_RPC_H
#define GW_ADMIN_RPC_H

#include "admin/admin.h"

#define GW_RPC_BODY_MAX (2u << 20) /* bytes */

/* Dependencies of a call. Every function may be called from any thread. */
typedef struct {
    const GwAdminHost *host;
    void *table;
    void (*table_do)(void *table, const GwTableRequest *request,
                     GwTableReply *reply);
    void (*table_clear)(GwTableReply *reply);
    void (*log)(uint32_t event, const char *text);
    int64_t (*now_ms)(void); /* wall clock, for the log of changes */
} GwRpc;

typedef enum {
    GW_RPC_DONE = 200,
    GW_RPC_BAD_BODY = 400,
    GW_RPC_NO_METHOD = 404
} GwRpcStatus;

/* Runs one call. With DONE, `out` holds the packed reply, for g_free. */
GwRpcStatus GwRpc_Handle(const GwRpc *rpc, const char *method,
                         const uint8_t *body, uint32_t len, uint8_t **out,
                         uint32_t *out_len);

#endif
