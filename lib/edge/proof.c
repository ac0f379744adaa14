/* Keys are refused without a recent proof that the configuration is the newest
 * one (store/proof.h): a key that an operator revoked must not be accepted any
 * more within a bound, also at an entry that can't reach the store. */
#include "edge/edge_internal.h"

#include <time.h>

/* Part of the bound that is not used: clocks run at slightly different
 * rates. */
#define MARGIN_MS 200

int64_t
GwEdge_BootNow(void)
{
    struct timespec now;

    (void)clock_gettime(CLOCK_BOOTTIME, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

void
GwEdge_ApplyChangeBound(GwEdge *edge)
{
    uint32_t bound_ms = GwEdgeSettings_ChangeBoundMs(edge->settings);

    GwFeed_SetBound(edge->operator_feed, bound_ms);
    GwFeed_SetBound(edge->server_feed, bound_ms);
}

static bool
needs_proof(const GwEdge *edge)
{
    const GwRouting *routing = GwRouter_Routing(edge->router);

    return edge->settings->revocation_ms > 0 && routing != NULL &&
           routing->requires_keys;
}

/* When the configuration was proven to be the newest; 0: never. */
static int64_t
proven_us(const GwEdge *edge)
{
    return GwFeed_Proof(edge->operator_feed)->as_of_us;
}

/* Time left until the proof is too old; negative if it is. */
static int64_t
time_left_us(const GwEdge *edge)
{
    int64_t bound_ms =
        MAX((int64_t)edge->settings->revocation_ms - MARGIN_MS, 0);

    return proven_us(edge) + bound_ms * 1000 - GwEdge_BootNow();
}

bool
GwEdge_HasProof(const GwEdge *edge)
{
    return !needs_proof(edge) ||
           (proven_us(edge) != 0 && time_left_us(edge) > 0);
}

int64_t
GwEdge_ProofAgeMs(const GwEdge *edge)
{
    return proven_us(edge) != 0 ? (GwEdge_BootNow() - proven_us(edge)) / 1000
                                : -1;
}

void
GwEdge_ApplyProof(GwEdge *edge)
{
    int64_t until_us = INT64_MAX;

    if (needs_proof(edge)) {
        until_us =
            proven_us(edge) != 0 ? GwEdge_Now() + time_left_us(edge) : 0;
    }
    GwRouter_SetProvenUntil(edge->router, until_us);
}

void
GwEdge_SweepProof(GwEdge *edge)
{
    bool is_lost = !GwEdge_HasProof(edge);

    GwEdge_ApplyProof(edge);
    if (is_lost == edge->is_proof_lost) {
        return;
    }
    edge->is_proof_lost = is_lost;
    GwLog_Event(is_lost ? GW_LOG_PROOF_LOST : GW_LOG_PROOF_BACK,
                "age_ms=%" PRId64, GwEdge_ProofAgeMs(edge));
    GwPeers_ExpediteRegion(edge->peers);
}
