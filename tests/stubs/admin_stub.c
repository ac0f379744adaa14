/* Stand-in of the admin server until lib/admin/admin.c is there. */
#include "admin/admin.h"

GwAdmin *
GwAdmin_Start(const GwAdminHost *host, const char *address, GError **error)
{
    return (GwAdmin *)g_malloc(1);
}

void
GwAdmin_Stop(GwAdmin *admin)
{
    g_free(admin);
}
