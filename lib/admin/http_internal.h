#ifndef GW_ADMIN_HTTP_INTERNAL_H
#define GW_ADMIN_HTTP_INTERNAL_H

#include "admin/rpc.h"

/* Serves the calls over HTTP; `rpc` and its host are copied, the token and
 * the table must outlive the server. */
GwAdmin *GwAdminHttp_Start(const GwRpc *rpc, const char *address,
                           GError **error);
uint32_t GwAdminHttp_Port(const GwAdmin *admin);
/* Whether the Authorization header shows the token; NULL shows nothing. */
bool GwAdminHttp_IsAllowed(const char *token, const char *header);

#endif
