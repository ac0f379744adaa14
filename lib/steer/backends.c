/* What this entry knows of one backend server: failures and ejection, slow
 * start, draining, reports and their age. */
#include "steer/steer_internal.h"

/* What this entry saw itself. The observation stands for its time, since a
 * health endpoint may lag; after that until the endpoint says, at last, that
 * the server is open. Were it to lapse by itself, a draining server without
 * a working endpoint would be sent new work each time it did. */
static bool
is_drained_as_seen(const GwBackendState *b, int64_t now_us)
{
    if (b->own_drain_until_us == 0) {
        return false;
    }
#if GW_MUTANT == 5 /* breaks: a drain once seen does not lapse */
    return b->own_drain_until_us > now_us;
#else
    return b->own_drain_until_us > now_us ||
           b->open_at_us < b->own_drain_until_us;
#endif
}

/* Whether new work stays away: by configuration, by what this entry saw, or
 * by what a peer saw. */
bool
GwBackend_IsDraining(const GwBackendState *b, int64_t now_us)
{
    return b->config_drain || is_drained_as_seen(b, now_us) ||
           b->hint_drain_until_us > now_us;
}

/* The panic threshold is the choice's: this says only what this server's own
 * failures ask for. */
bool
GwBackend_IsEjected(const GwBackendState *b, int64_t now_us)
{
    return b->ejected_until_us > now_us;
}

/* Whether this entry would start new work there now, panic aside. */
bool
GwBackend_TakesWork(const GwBackendState *b, int64_t now_us)
{
    return !GwBackend_IsDraining(b, now_us) &&
           !GwBackend_IsEjected(b, now_us) && b->shed_until_us <= now_us;
}

/* Thousandths of a full share: a server that came back with cold caches is
 * ramped up over GW_SLOW_START_US, so that it is not hit by everyone because
 * it looks idle. */
uint32_t
GwBackend_Weight(const GwBackendState *b, int64_t now_us)
{
    int64_t age_us = now_us - b->slow_from_us;

    if (b->slow_from_us == 0 || age_us >= GW_SLOW_START_US) {
        return GW_WEIGHT_FULL;
    }
    int64_t ramp = (GW_WEIGHT_FULL - GW_WEIGHT_MIN) * age_us;
    return GW_WEIGHT_MIN + (uint32_t)(ramp / GW_SLOW_START_US);
}

/* Requests believed to run there. Own in-flight outranks a lower report: a
 * server that lies "idle" gains nothing by it. A stale report becomes
 * "unknown": the last value or half the slots, whichever is more, never
 * idle. */
uint64_t
GwBackend_Load(const GwBackendState *b, int64_t now_us)
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

/* An answer came. Latency is a moving average with weight 1/8. */
void
GwBackend_Succeeded(GwBackendState *b, int64_t now_us, int64_t latency_us)
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

/* Consecutive failures eject for a time that doubles with each ejection in a
 * row. Jitter keeps the entries from coming back in one beat. */
void
GwBackend_Failed(GwBackendState *b, int64_t now_us, GwRng *rng)
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

/* A load reading, from an answer or the health endpoint. */
void
GwBackend_Reported(GwBackendState *b, int64_t now_us, uint32_t load)
{
    b->has_load = true;
    b->load = load;
    b->load_at_us = now_us;
}

/* This entry saw it draining. A later reading that says otherwise may lag, so
 * the observation stands until its time is over. */
void
GwBackend_Drained(GwBackendState *b, int64_t until_us)
{
    if (until_us > b->own_drain_until_us) {
        b->own_drain_until_us = until_us;
    }
    b->was_draining = true;
}

/* It refused for load: no new work until it said to come back. */
void
GwBackend_Shed(GwBackendState *b, int64_t now_us, uint32_t retry_after_ms)
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

/* Ends what has run out; true when the server takes work again. A server
 * back from ejection or a drain begins its slow start here. */
bool
GwBackend_Tick(GwBackendState *b, int64_t now_us)
{
    bool came_back = false;

    if (b->ejected_until_us != 0 && b->ejected_until_us <= now_us) {
        b->ejected_until_us = 0;
        b->slow_from_us = now_us;
        came_back = true;
    }
    if (b->shed_until_us != 0 && b->shed_until_us <= now_us) {
        b->shed_until_us = 0;
        came_back = true;
    }
    if (b->was_draining && !GwBackend_IsDraining(b, now_us)) {
        b->was_draining = false;
        b->slow_from_us = now_us;
        came_back = true;
    }
    return came_back;
}

/* Learns from the end of one attempt. A refusal is the server's right and no
 * failure; cancelled attempts and late deadlines say nothing certain. */
void
GwBackend_Ended(GwBackendState *b, int64_t now_us, int64_t latency_us,
                const GwAttemptEvent *end, int64_t drain_ttl_us, GwRng *rng)
{
    if (end->has_load) {
        GwBackend_Reported(b, now_us, end->reported_load);
    }
    if (end->draining || end->reason == GW_REASON_DRAINING) {
        GwBackend_Drained(b, now_us + drain_ttl_us);
    }
    if (end->outcome == GW_OUTCOME_ANSWERED) {
        GwBackend_Succeeded(b, now_us, latency_us);
        return;
    }
    switch (end->reason) {
    case GW_REASON_CONNECT:
    case GW_REASON_SILENT:
    case GW_REASON_BROKEN:
        GwBackend_Failed(b, now_us, rng);
        break;
    case GW_REASON_SHED:
    case GW_REASON_NO_SLOT:
    case GW_REASON_QUEUE_FULL:
        GwBackend_Shed(b, now_us, end->retry_after_ms);
        break;
    default:
        break;
    }
}
