/* Snapshots of the configuration, as objects of the platform's object
 * store.
 *
 * The table holds the configuration in force; snapshots serve to restore a
 * table that was lost or damaged. A snapshot is a header line and the
 * document:
 *
 *     godwitridge-config 1 <version> <length> <xxh64 hex>\n
 *     <document>
 */
#ifndef GW_CONFIG_SNAPSHOT_H
#define GW_CONFIG_SNAPSHOT_H

#include "config/model.h"
#include "godwitridge_errors.h"

#define GW_SNAPSHOT_PREFIX   "config-snapshot-" /* + %020 version */
#define GW_SNAPSHOT_NAME_MAX 64

typedef struct {
    uint64_t version;
    uint32_t text_len;
    char *text; /* NUL-terminated; free with GwSnapshot_Clear */
} GwSnapshot;

void GwSnapshot_Name(uint64_t version, char out[GW_SNAPSHOT_NAME_MAX]);
/* Parses the version from an object name; GW_ERR(PARSE) if it is not a name
 * of a snapshot. */
GwResult GwSnapshot_VersionOfName(const char *name, uint64_t *version);
/* Returns the bytes of the object; free with g_free. */
char *GwSnapshot_Encode(uint64_t version, const char *text, uint32_t len,
                        uint32_t *out_len);
/* Returns the length of the document, or GW_ERR(CORRUPT) with `out` empty
 * unless header, length, checksum and the document itself are valid. */
GwResult GwSnapshot_Decode(const char *bytes, uint32_t len, GwSnapshot *out);
void GwSnapshot_Clear(GwSnapshot *snapshot);

#endif
