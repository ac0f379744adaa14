/* Stand-in of the settings until lib/config/settings.c is there: the path is
 * "call,peer,admin,platform" addresses. */
#include "config/settings.h"

GwSettings *
GwSettings_Load(const char *path, GError **error)
{
    char **parts = g_strsplit(path, ",", 4);
    if (g_strv_length(parts) != 4) {
        g_strfreev(parts);
        g_set_error(error, GW_ERROR, GW_RESULT_INVALID, "settings: bad");
        return NULL;
    }
    GwSettings *s = g_new0(GwSettings, 1);
    GwNodeParams_SetDefaults(&s->node);
    g_strlcpy(s->node.name, "stub-1", GW_NAME_MAX);
    g_strlcpy(s->node.region, "r1", GW_NAME_MAX);
    g_strlcpy(s->node.domain, "r1-a", GW_NAME_MAX);
    g_strlcpy(s->node.call_address, parts[0], GW_ADDR_MAX);
    g_strlcpy(s->node.peer_address, parts[1], GW_ADDR_MAX);
    g_strlcpy(s->admin_address, parts[2], GW_ADDR_MAX);
    g_strlcpy(s->platform_url, parts[3], sizeof(s->platform_url));
    g_strlcpy(s->log_level, "info", sizeof(s->log_level));
    s->caller_threads = 8;
    s->relay_threads = 2;
    s->health_poll_ms = 1000;
    s->list_poll_ms = 1000;
    s->platform_timeout_ms = 1000;
    g_strlcpy(s->cluster_key_file, "/tmp/gw-stub.key",
              sizeof(s->cluster_key_file));
    g_strlcpy(s->admin_token_file, "/tmp/gw-stub.key",
              sizeof(s->admin_token_file));
    g_strfreev(parts);
    return s;
}

void
GwSettings_Free(GwSettings *s)
{
    g_free(s);
}

char *
GwSettings_Print(const GwSettings *s)
{
    return g_strdup_printf("{\"name\": \"%s\"}\n", s->node.name);
}
