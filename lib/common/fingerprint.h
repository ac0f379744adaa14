/* Identifies a request independently of the attempt, address and entry that it
 * arrives through. Two requests share a fingerprint if method, host, target,
 * caller and body are equal. The fingerprint is 128 bits of a cryptographic
 * hash, so that a caller can't craft a request that collides with another
 * caller's. */
#ifndef GW_COMMON_FINGERPRINT_H
#define GW_COMMON_FINGERPRINT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
    uint64_t hi;
    uint64_t lo;
} GwFingerprint;

typedef struct {
    const char *method;
    const char *host;
    const char *target; /* path and query */
    const char *caller; /* credentials; "" when the request has none */
    const char *body;
    size_t body_len;
} GwFingerprintParts;

GwFingerprint GwFingerprint_Compute(const GwFingerprintParts *parts);
bool GwFingerprint_Equal(const GwFingerprint *a, const GwFingerprint *b);
/* Hash and equality functions for a GHashTable keyed by GwFingerprint. */
guint GwFingerprint_Hash(gconstpointer fingerprint);
gboolean GwFingerprint_EqualKeys(gconstpointer a, gconstpointer b);

/* Buffer size of the text form: 32 hexadecimal digits and a NUL. */
#define GW_FINGERPRINT_TEXT_SIZE 33
void GwFingerprint_Format(const GwFingerprint *f,
                          char text[GW_FINGERPRINT_TEXT_SIZE]);
/* Returns false unless the text is exactly 32 hexadecimal digits. */
bool GwFingerprint_Parse(const char *text, GwFingerprint *out);

#endif
