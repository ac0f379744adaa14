#include "fakes/admin_server.h"

static AdminServer *running;

static void
table_do(void *table, const GwTableRequest *request, GwTableReply *reply)
{
    ChangeTable_Execute(table, request, running->fate, reply);
}

static void
log_text(uint32_t event, const char *text)
{
    running->logged_event = event;
    g_strlcpy(running->logged, text, sizeof(running->logged));
}

static int64_t
now_ms(void)
{
    return 1000;
}

static char *
page(void *ctx)
{
    return g_strdup("{}");
}

/* Member og-1 lags behind until the version is offered to this server. */
static char *
dump(void *ctx)
{
    return g_strdup_printf(
        "{\"node\": {\"members\": [{\"name\": \"og-1\", \"state\": "
        "\"alive\", \"config_version\": %" G_GUINT64_FORMAT "}, "
        "{\"name\": \"og-2\", \"state\": \"dead\", "
        "\"config_version\": 0}]}}",
        running->offered);
}

static char *
status(void *ctx)
{
    return g_strdup_printf("{\"name\": \"og-1\", \"config_version\": "
                           "%" G_GUINT64_FORMAT "}",
                           running->offered);
}

static char *
no_config(void *ctx, uint64_t *version)
{
    *version = 0;
    return NULL;
}

static void
offered(void *ctx, uint64_t version, const char *text, uint32_t len)
{
    running->offered = version;
}

AdminServer *
AdminServer_Start(void)
{
    const GwAdminHost host = {.dump = dump,
                              .metrics = page,
                              .token = ADMIN_SERVER_TOKEN,
                              .config_text = no_config,
                              .publish_config = offered,
                              .status = status};
    running = g_new0(AdminServer, 1);
    running->table = ChangeTable_Create();
    const GwRpc rpc = {.host = &host,
                       .table = running->table,
                       .table_do = table_do,
                       .table_clear = ChangeTable_ClearReply,
                       .log = log_text,
                       .now_ms = now_ms};
    running->admin = GwAdminHttp_Start(&rpc, "127.0.0.1:0", NULL);
    g_assert(running->admin != NULL);
    g_snprintf(running->address, sizeof(running->address), "127.0.0.1:%u",
               GwAdminHttp_Port(running->admin));
    running->client =
        GwAdminClient_Create(running->address, ADMIN_SERVER_TOKEN, 10000);
    return running;
}

void
AdminServer_Stop(AdminServer *server)
{
    GwAdminClient_Free(server->client);
    GwAdmin_Stop(server->admin);
    ChangeTable_Free(server->table);
    g_free(server);
    running = NULL;
}
