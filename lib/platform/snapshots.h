/* Configuration snapshots in the platform's object store. Blocking. */
#ifndef GW_PLATFORM_SNAPSHOTS_H
#define GW_PLATFORM_SNAPSHOTS_H

#include "config/snapshot.h"
#include "platform/objects.h"

/* Writes one; a snapshot of that version that is there already is kept, since
 * a version has one document. */
GwResult GwSnapshots_Write(GwObjectClient *objects, uint64_t version,
                           const char *text, uint32_t len);
/* The newest whole snapshot of a version at most `at_most`; damaged ones are
 * passed over and counted in *damaged. GW_ERR(NOT_FOUND) when there is none,
 * GW_ERR(STORE_AWAY) when the store does not answer. */
GwResult GwSnapshots_ReadNewest(GwObjectClient *objects, uint64_t at_most,
                                GwSnapshot *out, uint32_t *damaged);

#endif
