/* Hashes of names, used instead of the names on the wire and in tables. */
#ifndef GW_COMMON_NAMES_H
#define GW_COMMON_NAMES_H

#include <stdint.h>

/* Lower half of GwName_Hash64: the short form that messages use for regions
 * and failure domains. */
uint32_t GwName_Hash32(const char *name);
uint64_t GwName_Hash64(const char *name);

#endif
