/* Identifies what a caller asks for, whichever attempt, address and entry it
 * comes by. Two requests share a fingerprint if method, host, target, caller
 * and body are the same. The digest is wide and of a cryptographic hash: nobody
 * can make a request that is taken for another caller's. */
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
    const char *caller; /* its credentials; "" where it shows none */
    const char *body;
    size_t body_len;
} GwFingerprintParts;

GwFingerprint GwFingerprint_Make(const GwFingerprintParts *parts);
bool GwFingerprint_Equal(const GwFingerprint *a, const GwFingerprint *b);
/* For GHashTable, with a GwFingerprint as key. */
guint GwFingerprint_Hash(gconstpointer fingerprint);
gboolean GwFingerprint_EqualKeys(gconstpointer a, gconstpointer b);

/* 32 hexadecimal digits and a NUL. */
#define GW_FINGERPRINT_TEXT 33
void GwFingerprint_Write(const GwFingerprint *f,
                         char text[GW_FINGERPRINT_TEXT]);
/* False where the text is no fingerprint. */
bool GwFingerprint_Read(const char *text, GwFingerprint *out);

#endif
