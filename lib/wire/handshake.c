#include "wire/handshake.h"

#include <glib.h>

static void
hash_number(GHmac *hmac, uint64_t number)
{
    uint64_t be = GUINT64_TO_BE(number);
    g_hmac_update(hmac, (const guchar *)&be, sizeof(be));
}

static void
hash_hello(GHmac *hmac, const GwHello *hello)
{
    g_hmac_update(hmac, hello->nonce, GW_NONCE_LEN);
    hash_number(hmac, hello->from.node);
    hash_number(hmac, hello->from.start);
    hash_number(hmac, (uint64_t)hello->region << 32 | hello->domain);
}

void
GwHandshake_ComputeProof(GwKey key, GwHandshakeRole prover,
                         const GwHello *connector, const GwHello *acceptor,
                         uint8_t mac[GW_MAC_LEN])
{
    GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256, key.bytes, key.len);
    guchar role = (guchar)prover;
    gsize len = GW_MAC_LEN;

    g_hmac_update(hmac, &role, 1);
    hash_hello(hmac, connector);
    hash_hello(hmac, acceptor);
    g_hmac_get_digest(hmac, mac, &len);
    g_hmac_unref(hmac);
}

bool
GwHandshake_VerifyProof(GwKey key, GwHandshakeRole prover,
                        const GwHello *connector, const GwHello *acceptor,
                        const uint8_t mac[GW_MAC_LEN])
{
    uint8_t expected[GW_MAC_LEN];
    uint8_t diff = 0;

    GwHandshake_ComputeProof(key, prover, connector, acceptor, expected);
    for (uint32_t i = 0; i < GW_MAC_LEN; i++) {
        diff |= expected[i] ^ mac[i];
    }
    return diff == 0;
}
