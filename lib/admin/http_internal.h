/* HTTP server of the admin address. */
#ifndef GW_ADMIN_HTTP_INTERNAL_H
#define GW_ADMIN_HTTP_INTERNAL_H

#include "admin/rpc.h"

/* Serves until GwAdmin_Stop. `rpc` and its host are copied; the token and the
 * table must outlive the server. NULL with `error` (IO). */
GwAdmin *GwAdminHttp_Start(const GwRpc *rpc, const char *address,
                           GError **error);
/* Returns the port in use, which the system chooses for port 0; 0 on error. */
uint32_t GwAdminHttp_Port(const GwAdmin *admin);
/* Whether the Authorization header, or NULL, carries the token. */
bool GwAdminHttp_IsAllowed(const char *token, const char *header);

#endif
