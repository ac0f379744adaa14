/* Settings of one daemon process: JSON with comments, read once at start. */
#ifndef GW_CONFIG_SETTINGS_H
#define GW_CONFIG_SETTINGS_H

#include "godwitridge.h"

typedef struct {
    GwNodeParams node;
    char admin_address[GW_ADDR_MAX];
    char platform_url[128];
    char admin_token_file[256];
    char cluster_key_file[256];
    char log_level[8];
    uint32_t caller_threads;      /* default 64 */
    uint32_t relay_threads;       /* default 32 */
    uint32_t health_poll_ms;      /* default 1000 */
    uint32_t list_poll_ms;        /* default 1000 */
    uint32_t platform_timeout_ms; /* default 1000 */
    uint32_t snapshot_every;      /* default 10 versions; 0: none */
    uint32_t delay_count;
    /* Test hook: delay added to frames sent to that region. The item with
     * region "" applies to other failure domains of this region. */
    struct {
        char region[GW_NAME_MAX];
        uint32_t one_way_us;
    } delays[GW_MAX_REGIONS];
} GwSettings;

GwSettings *GwSettings_Load(const char *path, GError **error);
void GwSettings_Free(GwSettings *s);
/* The settings as JSON text; free with g_free. */
char *GwSettings_Print(const GwSettings *s);

#endif
