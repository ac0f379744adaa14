/* Settings of one entry on the event loop: JSON with comments.
 * docs/SETTINGS-EDGE.md lists the keys. */
#ifndef GW_EDGE_SETTINGS_H
#define GW_EDGE_SETTINGS_H

#include "router/router.h"

typedef struct {
    GwRouterParams router;
    char call_address[64];      /* callers */
    char ready_address[64];     /* readiness checks of the platform */
    char directory_address[64]; /* callers that ask where to connect */
    char control_address[64];   /* state and counters; "" for none */
    char metrics_address[64];   /* counters for a collector; "" for none */
    char peer_address[64];      /* other entries: UDP, and TCP for rows */
    char store_address[64];
    GPtrArray *seeds;    /* peer addresses to try before any is known */
    GHashTable *regions; /* failure domain -> region */
    uint32_t memory_mb;  /* that the process may take */
    uint32_t fd_limit;   /* descriptors that it may have open */
    uint32_t link_kbps;  /* of this instance's link */
    uint32_t cpu_milli;  /* thousandths of a core that it may use */
    uint32_t grace_ms;   /* from the signal to stop to the end */
    uint32_t lookup_ttl_ms;
    bool first_start;      /* of the whole system: nobody calls yet */
    uint32_t row_grace_ms; /* rows that lapsed may come back for so long */
    char log_level[8];
} GwEdgeSettings;

GwEdgeSettings *GwEdgeSettings_Load(const char *path, GError **error);
GwEdgeSettings *GwEdgeSettings_Parse(const char *text, size_t len,
                                     GError **error);
void GwEdgeSettings_Free(GwEdgeSettings *s);

#endif
