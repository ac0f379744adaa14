/* Mutual authentication by the cluster key at the start of every inner
 * connection. */
#ifndef GW_WIRE_HANDSHAKE_H
#define GW_WIRE_HANDSHAKE_H

#include "wire/codec.h"

/* The side whose proof is computed or verified. */
typedef enum {
    GW_ROLE_CONNECTOR = 'C',
    GW_ROLE_ACCEPTOR = 'A'
} GwHandshakeRole;

typedef struct {
    const uint8_t *bytes;
    size_t len;
} GwKey;

/* Computes HMAC-SHA256 over the prover's role and both hellos (nonce, id,
 * region and failure domain). The nonces make a recorded proof invalid on any
 * other connection (replay); the role prevents a proof from being sent back to
 * its prover (reflection). */
void GwHandshake_ComputeProof(GwKey key, GwHandshakeRole prover,
                              const GwHello *connector,
                              const GwHello *acceptor,
                              uint8_t mac[GW_MAC_LEN]);
/* Whether `mac` is the prover's proof. Compares in constant time. */
bool GwHandshake_VerifyProof(GwKey key, GwHandshakeRole prover,
                             const GwHello *connector, const GwHello *acceptor,
                             const uint8_t mac[GW_MAC_LEN]);

#endif
