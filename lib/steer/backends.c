/* State of one backend server: failures and ejection, slow start, draining,
 * load reports and their age. */
#include "steer/steer_internal.h"

/* True while a drain that this entry observed itself is in force: for
 * drain_hint_ttl_ms, since the health endpoint may lag, and then until a later
 * health report shows that the server is not draining. If the observation
 * expired by itself, a draining server without a working health endpoint would
 * receive new calls after each expiry. */
static bool
is_observed_draining(const GwBackendState *b, int64_t now_us)
{
    if (b->own_drain_until_us == 0) {
        return false;
    }
#if GW_MUTANT == 5 /* breaks: an observed drain does not lapse */
    return b->own_drain_until_us > now_us;
#else
    return b->own_drain_until_us > now_us ||
           b->reported_open_us < b->own_drain_until_us;
#endif
}

/* Whether the server is draining: by configuration, by an observation of
 * this entry, or by a peer's hint. */
bool
GwBackend_IsDraining(const GwBackendState *b, int64_t now_us)
{
    return b->config_drain || is_observed_draining(b, now_us) ||
           b->hint_drain_until_us > now_us;
}

/* Whether the server is ejected for its own failures. The panic threshold
 * is applied by GwSteer_ChooseBackend(). */
bool
GwBackend_IsEjected(const GwBackendState *b, int64_t now_us)
{
    return b->ejected_until_us > now_us;
}

/* Whether this entry would start a new call there now, apart from panic. */
bool
GwBackend_IsAvailable(const GwBackendState *b, int64_t now_us)
{
    return !GwBackend_IsDraining(b, now_us) &&
           !GwBackend_IsEjected(b, now_us) && b->shed_until_us <= now_us;
}

/* The server's weight in thousandths. A server that is available again, with
 * cold caches, is ramped up over GW_SLOW_START_US, so that the entries do not
 * all send to it because it appears idle. */
uint32_t
GwBackend_SlowStartWeight(const GwBackendState *b, int64_t now_us)
{
    int64_t age_us = now_us - b->slow_start_us;

    if (b->slow_start_us == 0 || age_us >= GW_SLOW_START_US) {
        return GW_WEIGHT_FULL;
    }
    int64_t ramp = (GW_WEIGHT_FULL - GW_WEIGHT_MIN) * age_us;
    return GW_WEIGHT_MIN + (uint32_t)(ramp / GW_SLOW_START_US);
}

/* Estimated number of calls running on the server. A report below this
 * entry's own in-flight count is ignored, so that a server gains nothing by
 * reporting "idle" wrongly. A stale report counts as unknown: the last
 * value or half the slots, whichever is more, never idle. */
uint64_t
GwBackend_EstimateLoad(const GwBackendState *b, int64_t now_us)
{
    uint64_t load = b->in_flight;

    if (b->has_load && b->load > load) {
        load = b->load;
    }
    if (b->has_load && now_us - b->load_at_us <= GW_LOAD_FRESH_US) {
        return load;
    }
    uint64_t unknown = (b->slot_count + 1) / 2;
    return load > unknown ? load : unknown;
}

/* Records an answer. Latency is a moving average with weight 1/8. */
void
GwBackend_RecordSuccess(GwBackendState *b, int64_t now_us, int64_t latency_us)
{
    b->failures = 0;
    b->ejections = 0;
    b->success_at_us = now_us;
    if (b->latency_us == 0) {
        b->latency_us = latency_us;
    }
    else {
        b->latency_us += (latency_us - b->latency_us) / 8;
    }
    if (b->latency_us < 1) {
        b->latency_us = 1;
    }
}

/* Records a failure. Consecutive failures eject the server, for a time that
 * doubles with each ejection in a row. Jitter keeps the entries from
 * resuming at the same moment. */
void
GwBackend_RecordFailure(GwBackendState *b, int64_t now_us, GwRng *rng)
{
    b->failures++;
    if (b->failures < GW_EJECT_FAILURES || b->ejected_until_us > now_us) {
        return;
    }
    int64_t wait_us = GW_EJECT_BASE_US;
    for (uint32_t i = 0; i < b->ejections && wait_us < GW_EJECT_MAX_US; i++) {
        wait_us *= 2;
    }
    if (wait_us > GW_EJECT_MAX_US) {
        wait_us = GW_EJECT_MAX_US;
    }
    b->ejections++;
    b->failures = GW_EJECT_FAILURES - 1;
    b->ejected_until_us = now_us + GwRng_Jitter(rng, wait_us, wait_us / 4);
}

/* Records a load report, from an answer or the health endpoint. */
void
GwBackend_RecordLoad(GwBackendState *b, int64_t now_us, uint32_t load)
{
    b->has_load = true;
    b->load = load;
    b->load_at_us = now_us;
}

/* Records a drain observed by this entry. A later report that contradicts
 * it may lag, so the observation stands until `until_us`. */
void
GwBackend_RecordDrain(GwBackendState *b, int64_t until_us)
{
    if (until_us > b->own_drain_until_us) {
        b->own_drain_until_us = until_us;
    }
    b->was_draining = true;
}

/* Records a refusal for load: no new calls until the requested delay is
 * over, which is capped at GW_SHED_MAX_MS. */
void
GwBackend_RecordShed(GwBackendState *b, int64_t now_us,
                     uint32_t retry_after_ms)
{
    uint32_t wait_ms = retry_after_ms;

    if (wait_ms == 0) {
        wait_ms = GW_SHED_DEFAULT_MS;
    }
    if (wait_ms > GW_SHED_MAX_MS) {
        wait_ms = GW_SHED_MAX_MS;
    }
    b->shed_until_us = now_us + GW_MS(wait_ms);
}

/* Ends expired ejections, sheds and drains; true when the server is available
 * again. The slow start after an ejection or a drain begins here. */
bool
GwBackend_Tick(GwBackendState *b, int64_t now_us)
{
    bool has_recovered = false;

    if (b->ejected_until_us != 0 && b->ejected_until_us <= now_us) {
        b->ejected_until_us = 0;
        b->slow_start_us = now_us;
        has_recovered = true;
    }
    if (b->shed_until_us != 0 && b->shed_until_us <= now_us) {
        b->shed_until_us = 0;
        has_recovered = true;
    }
    if (b->was_draining && !GwBackend_IsDraining(b, now_us)) {
        b->was_draining = false;
        b->slow_start_us = now_us;
        has_recovered = true;
    }
    return has_recovered;
}

/* Records the end of one attempt. A refusal is not a failure; a cancelled
 * attempt or an exceeded deadline is no evidence of a fault of the server. */
void
GwBackend_RecordEnd(GwBackendState *b, int64_t now_us, int64_t latency_us,
                    const GwAttemptEvent *end, int64_t drain_ttl_us,
                    GwRng *rng)
{
    if (end->has_load) {
        GwBackend_RecordLoad(b, now_us, end->reported_load);
    }
    if (end->draining || end->reason == GW_REASON_DRAINING) {
        GwBackend_RecordDrain(b, now_us + drain_ttl_us);
    }
    if (end->outcome == GW_OUTCOME_ANSWERED) {
        GwBackend_RecordSuccess(b, now_us, latency_us);
        return;
    }
    switch (end->reason) {
    case GW_REASON_CONNECT:
    case GW_REASON_SILENT:
    case GW_REASON_BROKEN:
        GwBackend_RecordFailure(b, now_us, rng);
        break;
    case GW_REASON_SHED:
    case GW_REASON_NO_SLOT:
    case GW_REASON_QUEUE_FULL:
        GwBackend_RecordShed(b, now_us, end->retry_after_ms);
        break;
    default:
        break;
    }
}
