/* Seeded pseudo-random numbers for the decision code, which never reads the
 * machine's entropy source: the same seed and events produce the same actions,
 * so that a failing run can be reproduced. */
#ifndef GW_COMMON_RNG_H
#define GW_COMMON_RNG_H

#include <stdint.h>

typedef struct {
    uint64_t state;
} GwRng;

/* Bijective mixer: each input bit affects all output bits. Maps 0 to 0. */
uint64_t GwRng_Mix(uint64_t x);
GwRng GwRng_Make(uint64_t seed);
uint64_t GwRng_Next(GwRng *rng);
uint32_t GwRng_Below(GwRng *rng, uint32_t bound);
int64_t GwRng_Jitter(GwRng *rng, int64_t base, int64_t spread);

#endif
