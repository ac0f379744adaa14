/* Blocking client of the platform's object store. */
#ifndef GW_PLATFORM_OBJECTS_H
#define GW_PLATFORM_OBJECTS_H

#include "godwitridge.h"

#include <glib.h>

typedef struct GwObjectClient_s GwObjectClient;

GwObjectClient *GwObjectClient_Create(const char *url, uint32_t timeout_ms);
void GwObjectClient_Free(GwObjectClient *client);
/* Creates an object. GW_ERR(CONFLICT): the object exists already.
 * GW_ERR(STORE_AWAY): not confirmed, the object may have been written. */
GwResult GwObjectClient_Put(GwObjectClient *client, const char *name,
                            const char *data, uint32_t len);
/* Reads an object into `data`, for g_free, and returns its length in bytes.
 * GW_ERR(NOT_FOUND) or GW_ERR(STORE_AWAY) leave `data` unset. */
GwResult GwObjectClient_Read(GwObjectClient *client, const char *name,
                             char **data);

/* Appends the names that begin with `prefix` to `names`, each for g_free, and
 * returns the length of `names`. GW_ERR(STORE_AWAY) or GW_ERR(PARSE). */
GwResult GwObjectClient_List(GwObjectClient *client, const char *prefix,
                             GPtrArray *names);

#endif
