/* Digests of access keys under a random secret of the process. Keys are
 * compared by digest only, so the time of a comparison reveals nothing about
 * a key, and a dump of the memory tables does not contain it. A digest is
 * meaningless in another process. */
#ifndef GW_COMMON_KEY_DIGEST_H
#define GW_COMMON_KEY_DIGEST_H

#include <stdint.h>

typedef struct {
    uint64_t lo;
    uint64_t hi;
} GwKeyDigest;

GwKeyDigest GwKeyDigest_Compute(const char *key);
/* Orders digests; 0 if they are equal. */
int GwKeyDigest_Compare(const GwKeyDigest *a, const GwKeyDigest *b);

#endif
