/* Configuration snapshots in the platform's object store. Blocking. */
#ifndef GW_PLATFORM_SNAPSHOTS_H
#define GW_PLATFORM_SNAPSHOTS_H

#include "config/snapshot.h"
#include "platform/objects.h"

/* Writes the snapshot of a version. An existing snapshot of that version is
 * kept, which is no error: a version has exactly one document. */
GwResult GwSnapshots_Write(GwObjectClient *objects, uint64_t version,
                           const char *text, uint32_t len);
/* Reads the newest intact snapshot of a version of at most `at_most`; skips
 * damaged snapshots and counts them in *damaged. GW_ERR(NOT_FOUND): no such
 * snapshot. GW_ERR(STORE_AWAY): the store does not answer. */
GwResult GwSnapshots_ReadNewest(GwObjectClient *objects, uint64_t at_most,
                                GwSnapshot *out, uint32_t *damaged);

#endif
