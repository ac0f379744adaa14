/* Operator RPC, state dump and metrics over HTTP. */
#ifndef GW_ADMIN_ADMIN_H
#define GW_ADMIN_ADMIN_H

#include "platform/objects.h"
#include "platform/table.h"

#include <glib.h>

typedef struct GwAdmin_s GwAdmin;

/* What the host gives. Returned texts are freed with g_free. Every callback
 * may be called from any thread. */
typedef struct {
    void *ctx;
    char *(*dump)(void *ctx);    /* JSON */
    char *(*metrics)(void *ctx); /* text exposition format */
    const char *token;
    GwTableClient *table;
    /* Where each snapshot_every-th version is kept as well; NULL or 0: none. */
    GwObjectClient *objects;
    uint32_t snapshot_every;
    /* The document in force, or NULL before the first. */
    char *(*config_text)(void *ctx, uint64_t *version);
    /* Puts an accepted document in force here and spreads it at once. */
    void (*offer_config)(void *ctx, uint64_t version, const char *text,
                         uint32_t len);
    char *(*status)(void *ctx); /* JSON */
    /* The look-up answer for a service, or NULL; may be left out. */
    char *(*entries)(void *ctx, const char *service);
} GwAdminHost;

GwAdmin *GwAdmin_Start(const GwAdminHost *host, const char *address,
                       GError **error);
void GwAdmin_Stop(GwAdmin *admin);

#endif
