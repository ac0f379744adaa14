/* Proof that the configuration is the newest one, without which keys are
 * refused: a key that an operator revoked must not be accepted any more
 * within a bound, also at an entry that can't reach the store.
 *
 * Entries that read the store get a proof with each answer, and all reports
 * pass proofs on (store/proof.h). */
#include "edge/edge_internal.h"

#include <time.h>

/* Part of the bound that is not used: clocks run at slightly different
 * rates. */
#define MARGIN_MS 200
/* Ages, as shares of the bound, at which an entry reads the store itself: that
 * of the first entry of a region, the step to the next one, and the most. */
#define SEEK_SHARE      0.4
#define SEEK_STEP_SHARE 0.01
#define SEEK_SHARE_MAX  0.6

int64_t
GwEdge_BootNow(void)
{
    struct timespec now;

    (void)clock_gettime(CLOCK_BOOTTIME, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

void
GwEdge_NoteProof(GwEdge *edge, int64_t as_of_us)
{
    GwProof_Note(&edge->proof, as_of_us);
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

/* Time left until the proof is too old; negative if it is. */
static int64_t
time_left_us(const GwEdge *edge)
{
    int64_t bound_ms =
        MAX((int64_t)edge->settings->revocation_ms - MARGIN_MS, 0);

    return edge->proof.as_of_us + bound_ms * 1000 - GwEdge_BootNow();
}

bool
GwEdge_HasProof(const GwEdge *edge)
{
    return !needs_proof(edge) ||
           (edge->proof.as_of_us != 0 && time_left_us(edge) > 0);
}

int64_t
GwEdge_ProofAgeMs(const GwEdge *edge)
{
    return edge->proof.as_of_us != 0
               ? (GwEdge_BootNow() - edge->proof.as_of_us) / 1000
               : -1;
}

void
GwEdge_ApplyProof(GwEdge *edge)
{
    int64_t until_us = INT64_MAX;

    if (needs_proof(edge)) {
        until_us =
            edge->proof.as_of_us != 0 ? GwEdge_Now() + time_left_us(edge) : 0;
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

bool
GwEdge_SeeksProof(const GwEdge *edge, uint32_t rank)
{
    double share = SEEK_SHARE + SEEK_STEP_SHARE * rank;
    int64_t age_ms = GwEdge_ProofAgeMs(edge);

    return needs_proof(edge) &&
           (age_ms < 0 || (double)age_ms > MIN(share, SEEK_SHARE_MAX) *
                                               edge->settings->revocation_ms);
}
