/* Seeded pseudo-random numbers for the decision code. Decisions never read a
 * random source of the machine: the same seed and events give the same
 * actions, so that a failing run can be repeated. */
#ifndef GW_COMMON_RNG_H
#define GW_COMMON_RNG_H

#include <stdint.h>

typedef struct {
    uint64_t state;
} GwRng;

/* Spreads what tells two numbers apart over all bits; 0 stays 0. */
uint64_t GwRng_Mix(uint64_t x);
GwRng GwRng_Make(uint64_t seed);
uint64_t GwRng_Next(GwRng *rng);
uint32_t GwRng_Below(GwRng *rng, uint32_t bound);
int64_t GwRng_Jitter(GwRng *rng, int64_t base, int64_t spread);

#endif
