#include "common/key_digest.h"

#include <glib.h>
#include <string.h>
#include <sys/random.h>
#include <xxhash.h>

#define SECRET_BYTES 192

static const uint8_t *
process_secret(void)
{
    static uint8_t secret[SECRET_BYTES];
    static gsize is_filled;

    if (g_once_init_enter(&is_filled)) {
        if (getrandom(secret, sizeof(secret), 0) != (ssize_t)sizeof(secret)) {
            g_error("getrandom failed: keys can't be kept safely");
        }
        g_once_init_leave(&is_filled, 1);
    }
    return secret;
}

GwKeyDigest
GwKeyDigest_Compute(const char *key)
{
    XXH128_hash_t hash = XXH3_128bits_withSecret(
        key, strlen(key), process_secret(), SECRET_BYTES);

    return (GwKeyDigest){.lo = hash.low64, .hi = hash.high64};
}

int
GwKeyDigest_Compare(const GwKeyDigest *a, const GwKeyDigest *b)
{
    if (a->hi != b->hi) {
        return a->hi < b->hi ? -1 : 1;
    }
    return (a->lo > b->lo) - (a->lo < b->lo);
}
