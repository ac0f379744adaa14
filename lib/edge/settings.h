/* Settings of an entry on the event loop: JSON with comments.
 * docs/SETTINGS-EDGE.md lists the keys. */
#ifndef GW_EDGE_SETTINGS_H
#define GW_EDGE_SETTINGS_H

#include "router/router.h"

typedef struct {
    GwRouterParams router;
    char call_address[64];      /* callers */
    char ready_address[64];     /* readiness checks of the platform */
    char directory_address[64]; /* directory: callers that look up entries */
    char control_address[64];   /* state and counters; "" for none */
    char metrics_address[64];   /* counters for a collector; "" for none */
    char peer_address[64];      /* other entries: UDP, and TCP for rows */
    char store_address[64];
    /* IP address that connections to servers come from; "": any. */
    char source_address[32];
    GPtrArray *seeds;    /* peer addresses to contact at the start */
    GHashTable *regions; /* failure domain -> region */
    uint32_t memory_mb;  /* limit for the process */
    uint32_t fd_limit;   /* limit of open file descriptors */
    uint32_t link_kbps;  /* bandwidth of this instance's link */
    uint32_t cpu_milli;  /* processor limit, in thousandths of a core */
    uint32_t grace_ms;   /* from the stop signal to the exit */
    uint32_t lookup_ttl_ms;
    bool first_start; /* first start of the whole system, without callers */
    /* Times within which an acknowledged change of the configuration is in
     * force, and a draining server gets no new work. */
    uint32_t config_bound_ms;
    uint32_t drain_bound_ms;
    /* A request sent later than this after a key was revoked must not run
     * with that key; 0: no bound. */
    uint32_t revocation_ms;
    GwQuotaBounds quota;   /* by how much quotas may be exceeded */
    uint32_t row_grace_ms; /* time for owners to write expired rows again */
    char log_level[8];
} GwEdgeSettings;

GwEdgeSettings *GwEdgeSettings_Load(const char *path, GError **error);
GwEdgeSettings *GwEdgeSettings_Parse(const char *text, size_t len,
                                     GError **error);
void GwEdgeSettings_Free(GwEdgeSettings *s);
/* Time within which any change of the store's rows must be in force. */
uint32_t GwEdgeSettings_ChangeBoundMs(const GwEdgeSettings *s);

#endif
