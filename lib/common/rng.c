#include "common/rng.h"

#include <assert.h>

/* The finalizer of splitmix64. */
uint64_t
GwRng_Mix(uint64_t x)
{
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

/* Any seed is valid, 0 included. */
GwRng
GwRng_Make(uint64_t seed)
{
    return (GwRng){.state = seed};
}

/* The next 64 bits, by splitmix64: a Weyl sequence through the mixer. */
uint64_t
GwRng_Next(GwRng *rng)
{
    rng->state += 0x9e3779b97f4a7c15ULL;
    return GwRng_Mix(rng->state);
}

/* A number in [0, bound), bound > 0. The bias of the multiplication is below
 * 2^-32. */
uint32_t
GwRng_Below(GwRng *rng, uint32_t bound)
{
    assert(bound > 0);
    return (uint32_t)(((GwRng_Next(rng) >> 32) * bound) >> 32);
}

/* A number in [base, base + spread); base when spread is not positive. */
int64_t
GwRng_Jitter(GwRng *rng, int64_t base, int64_t spread)
{
    if (spread <= 0) {
        return base;
    }
    return base + (int64_t)(GwRng_Next(rng) % (uint64_t)spread);
}
