/* Admin server of an entry: operator RPC, state dump and metrics over HTTP. */
#ifndef GW_ADMIN_ADMIN_H
#define GW_ADMIN_ADMIN_H

#include "platform/objects.h"
#include "platform/table.h"

#include <glib.h>

typedef struct GwAdmin_s GwAdmin;

/* Callbacks and clients supplied by the process. Returned texts are freed with
 * g_free. Every callback may be called from any thread. */
typedef struct {
    void *ctx;
    char *(*dump)(void *ctx);    /* JSON */
    char *(*metrics)(void *ctx); /* text exposition format */
    const char *token;           /* bearer token of operators */
    GwTableClient *table;
    /* Each version divisible by snapshot_every is also written to the object
     * store; NULL or 0: no snapshots. */
    GwObjectClient *objects;
    uint32_t snapshot_every;
    /* Returns the document in force, or NULL before the first. */
    char *(*config_text)(void *ctx, uint64_t *version);
    /* Puts an accepted document in force in this process and sends it to the
     * peers at once. */
    void (*publish_config)(void *ctx, uint64_t version, const char *text,
                           uint32_t len);
    char *(*status)(void *ctx); /* JSON */
    /* Returns the look-up answer for a service as JSON, or NULL when the
     * service is unknown; the callback is optional. */
    char *(*entries)(void *ctx, const char *service);
} GwAdminHost;

/* Serves on the address until GwAdmin_Stop. `host` is copied; everything that
 * it points to must outlive the server. NULL with `error` (IO). */
GwAdmin *GwAdmin_Start(const GwAdminHost *host, const char *address,
                       GError **error);
/* Waits for running calls; NULL is allowed. */
void GwAdmin_Stop(GwAdmin *admin);

#endif
