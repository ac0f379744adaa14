#include "common/fingerprint.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define HALF_DIGITS 16 /* hexadecimal digits of 64 bits */

/* Hashes the length before the part, so that moving bytes from one part to the
 * next changes the digest. */
static void
hash_part(GChecksum *sum, const char *part, size_t len)
{
    uint64_t size = GUINT64_TO_LE((uint64_t)len);

    g_checksum_update(sum, (const guchar *)&size, sizeof(size));
    g_checksum_update(sum, (const guchar *)part, (gssize)len);
}

GwFingerprint
GwFingerprint_Compute(const GwFingerprintParts *parts)
{
    GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
    guint8 digest[32];
    gsize len = sizeof(digest);
    GwFingerprint f;

    hash_part(sum, parts->method, strlen(parts->method));
    hash_part(sum, parts->host, strlen(parts->host));
    hash_part(sum, parts->target, strlen(parts->target));
    hash_part(sum, parts->caller, strlen(parts->caller));
    hash_part(sum, parts->body, parts->body_len);
    g_checksum_get_digest(sum, digest, &len);
    g_checksum_free(sum);
    memcpy(&f, digest, sizeof(f));
    f.hi = GUINT64_FROM_BE(f.hi);
    f.lo = GUINT64_FROM_BE(f.lo);
    return f;
}

bool
GwFingerprint_Equal(const GwFingerprint *a, const GwFingerprint *b)
{
    return a->hi == b->hi && a->lo == b->lo;
}

guint
GwFingerprint_Hash(gconstpointer fingerprint)
{
    return (guint)((const GwFingerprint *)fingerprint)->lo;
}

gboolean
GwFingerprint_EqualKeys(gconstpointer a, gconstpointer b)
{
    return GwFingerprint_Equal(a, b);
}

void
GwFingerprint_Format(const GwFingerprint *f,
                     char text[GW_FINGERPRINT_TEXT_SIZE])
{
    g_snprintf(text, GW_FINGERPRINT_TEXT_SIZE, "%016" PRIx64 "%016" PRIx64,
               f->hi, f->lo);
}

bool
GwFingerprint_Parse(const char *text, GwFingerprint *out)
{
    char half[HALF_DIGITS + 1];

    if (strspn(text, "0123456789abcdefABCDEF") != 2 * HALF_DIGITS ||
        text[2 * HALF_DIGITS] != '\0') {
        return false;
    }
    g_strlcpy(half, text, sizeof(half));
    out->hi = strtoull(half, NULL, 16);
    out->lo = strtoull(text + HALF_DIGITS, NULL, 16);
    return true;
}
