/* An admin server on an in-memory table, with a client. */
#ifndef GW_TESTS_ADMIN_SERVER_H
#define GW_TESTS_ADMIN_SERVER_H

#include "admin/client.h"
#include "admin/http_internal.h"
#include "fakes/change_table.h"

#define ADMIN_SERVER_TOKEN "not-a-real-token"

typedef struct {
    ChangeTable *table;
    ChangeFate fate; /* of all table requests */
    GwAdmin *admin;
    char address[32];
    GwAdminClient *client;
    uint64_t offered; /* last version offered */
    uint32_t logged_event;
    char logged[512];
} AdminServer;

/* At most one server may run at a time. */
AdminServer *AdminServer_Start(void);
void AdminServer_Stop(AdminServer *server);

#endif
