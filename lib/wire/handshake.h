/* The proof of the cluster's key that opens every inner connection. */
#ifndef GW_WIRE_HANDSHAKE_H
#define GW_WIRE_HANDSHAKE_H

#include "wire/codec.h"

/* Who proves: the side that connected, or the one that accepted. */
typedef enum { GW_ROLE_CONNECTOR = 'C', GW_ROLE_ACCEPTOR = 'A' } GwRole;

typedef struct {
    const uint8_t *bytes;
    size_t len;
} GwKey;

/* HMAC-SHA256 over the prover's role, both nonces and both ids. The nonces
 * make a recorded proof useless on another connection; the role keeps a
 * prover's own proof from being sent back to it as an answer. */
void GwHandshake_Prove(GwKey key, GwRole prover, const GwHello *connector,
                       const GwHello *acceptor, uint8_t mac[GW_MAC_LEN]);
/* In constant time. */
bool GwHandshake_Check(GwKey key, GwRole prover, const GwHello *connector,
                       const GwHello *acceptor, const uint8_t mac[GW_MAC_LEN]);

#endif
