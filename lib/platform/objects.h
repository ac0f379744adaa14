/* Blocking client of the platform's object store. */
#ifndef GW_PLATFORM_OBJECTS_H
#define GW_PLATFORM_OBJECTS_H

#include "godwitridge.h"

#include <glib.h>

typedef struct GwObjectClient_s GwObjectClient;

GwObjectClient *GwObjectClient_Create(const char *url, uint32_t timeout_ms);
void GwObjectClient_Free(GwObjectClient *client);
/* Creates the object. GW_ERR(CONFLICT) when it exists already;
 * GW_ERR(STORE_AWAY) on any doubt, when it may have been written. */
GwResult GwObjectClient_Put(GwObjectClient *client, const char *name,
                            const char *data, uint32_t len);
/* Reads an object; the number of bytes, `data` is freed with g_free. */
GwResult GwObjectClient_Read(GwObjectClient *client, const char *name,
                             char **data);

/* Appends the names that begin with `prefix` to `names`, each freed with
 * g_free; their number. */
GwResult GwObjectClient_List(GwObjectClient *client, const char *prefix,
                             GPtrArray *names);

#endif
