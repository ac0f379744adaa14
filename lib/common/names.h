/* Hashes of names: what goes on the wire and into tables in their place. */
#ifndef GW_COMMON_NAMES_H
#define GW_COMMON_NAMES_H

#include <stdint.h>

/* Lower half of the hash: of a region's or a failure domain's name. */
uint32_t GwName_Hash32(const char *name);
uint64_t GwName_Hash64(const char *name);

#endif
