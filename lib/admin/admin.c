/* Connects the admin server to the platform's table, the log of the process
 * and the wall clock. */
#include "admin/admin.h"

#include "admin/http_internal.h"
#include "common/log.h"

static void
table_do(void *table, const GwTableRequest *request, GwTableReply *reply)
{
    GwTableClient_Do(table, request, reply);
}

static void
write_log(uint32_t event, const char *text)
{
    GwLog_Event(event, "%s", text);
}

static int64_t
wall_clock_ms(void)
{
    return g_get_real_time() / 1000;
}

GwAdmin *
GwAdmin_Start(const GwAdminHost *host, const char *address, GError **error)
{
    const GwRpc rpc = {
        .host = host,
        .table = host->table,
        .table_do = table_do,
        .table_clear = GwTableReply_Clear,
        .log = write_log,
        .now_ms = wall_clock_ms,
    };
    return GwAdminHttp_Start(&rpc, address, error);
}
