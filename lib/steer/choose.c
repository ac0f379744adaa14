/* Choice of the backend server in the local place. */
#include "steer/steer_internal.h"

/* Whether every server of the place is draining. */
bool
GwService_AllDraining(const GwServiceState *service, int64_t now_us)
{
    for (uint32_t i = 0; i < service->backend_count; i++) {
        if (!GwBackend_IsDraining(service->backends[i], now_us)) {
            return false;
        }
    }
    return true;
}

/* Whether any server of the place has a slot. */
bool
GwService_HasSlots(const GwServiceState *service)
{
    for (uint32_t i = 0; i < service->backend_count; i++) {
        if (service->backends[i]->slot_count > 0) {
            return true;
        }
    }
    return false;
}

/* Whether any server of the place is available for new calls now. */
bool
GwService_HasAvailable(const GwServiceState *service, int64_t now_us)
{
    for (uint32_t i = 0; i < service->backend_count; i++) {
        if (GwBackend_IsAvailable(service->backends[i], now_us)) {
            return true;
        }
    }
    return false;
}

/* Whether more than half of the servers are ejected. */
static bool
mostly_ejected(const GwServiceState *service, int64_t now_us)
{
    uint32_t ejected = 0;

    for (uint32_t i = 0; i < service->backend_count; i++) {
        ejected += GwBackend_IsEjected(service->backends[i], now_us);
    }
    return ejected * 2 > service->backend_count;
}

/* Whether ejected servers are candidates (panic). With most servers
 * ejected, the fault more likely lies in this entry or affects all entries,
 * and the remaining servers would be overloaded by the whole load. If
 * another region may take the calls, they wait for its grant instead:
 * otherwise, after the loss of a place, every call would use up its
 * attempts within milliseconds and be refused although slots are idle. One
 * call per GW_PANIC_PROBE_US still tries an ejected server, so that a place
 * that has recovered is found before its ejections end. */
static bool
is_panic(const GwSteer *s, int64_t now_us, GwServiceState *service,
         const GwPickRequest *request)
{
    if (!mostly_ejected(service, now_us)) {
        return false;
    }
    if (request->relayed || !GwSteer_HasShift(s, request->service)) {
        return true;
    }
    if (now_us < service->panic_probe_us) {
        return false;
    }
    service->panic_probe_us = now_us + GW_PANIC_PROBE_US;
    return true;
}

/* Whether the policy lets this entry start one more call on the server. */
static bool
has_capacity(const GwSteer *s, const GwBackendState *b, int64_t deadline_us)
{
    switch ((GwPolicyKind)s->params.policy) {
    case GW_POLICY_SLOTS:
        return b->own_free_count > 0 ||
               (b->borrowed_free_count > 0 &&
                GwBackend_FindSlot(b, deadline_us) != GW_NONE);
    case GW_POLICY_TWO_CHOICES:
        return b->in_flight < b->slot_count;
    case GW_POLICY_SUBSET:
        return b->in_subset && b->in_flight < b->slot_count;
    }
    return false;
}

/* Expected cost of one more call: latency times queue length, raised by
 * consecutive failures and by the slow-start ramp. Lower is better. */
static uint64_t
cost_of(const GwServiceState *service, const GwBackendState *b, int64_t now_us)
{
    int64_t latency_us = b->latency_us;

    if (latency_us == 0) {
        latency_us = service->latency_us;
    }
    if (latency_us == 0) {
        latency_us = GW_LATENCY_INITIAL_US;
    }
    uint64_t load = GwBackend_EstimateLoad(b, now_us) + 1;
    uint64_t cost = (uint64_t)latency_us * load * (1 + b->failures);
    cost = cost * GW_WEIGHT_FULL / GwBackend_SlowStartWeight(b, now_us);
    return cost * 64 / (b->slot_count + 1);
}

static uint32_t
collect_candidates(GwSteer *s, int64_t now_us, GwServiceState *service,
                   const GwPickRequest *request, bool panic, bool avoid)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < service->backend_count; i++) {
        GwBackendState *b = service->backends[i];
        if (!has_capacity(s, b, request->deadline_us) ||
            GwBackend_IsDraining(b, now_us) || b->shed_until_us > now_us) {
            continue;
        }
        if (!panic && GwBackend_IsEjected(b, now_us)) {
            continue;
        }
        if (avoid && b->id == request->avoid_backend) {
            continue;
        }
        service->scratch[count++] = b;
    }
    return count;
}

/* The cheaper of two random candidates. If each entry chose the best of
 * all, all entries would send to the one server that the same late report
 * shows idle. */
static GwBackendState *
choose_of_two(GwSteer *s, int64_t now_us, const GwServiceState *service,
              uint32_t count)
{
    if (count == 1) {
        return service->scratch[0];
    }
    uint32_t i = GwRng_Below(&s->rng, count);
    uint32_t j = GwRng_Below(&s->rng, count - 1);
    if (j >= i) {
        j++;
    }
    GwBackendState *a = service->scratch[i];
    GwBackendState *b = service->scratch[j];
    uint64_t cost_a = cost_of(service, a, now_us);
    uint64_t cost_b = cost_of(service, b, now_us);
    return cost_b < cost_a ? b : a;
}

static GwBackendState *
least_in_flight(GwSteer *s, const GwServiceState *service, uint32_t count)
{
    uint32_t start = GwRng_Below(&s->rng, count);
    GwBackendState *best = service->scratch[start];

    for (uint32_t i = 1; i < count; i++) {
        GwBackendState *b = service->scratch[(start + i) % count];
        if (b->in_flight < best->in_flight) {
            best = b;
        }
    }
    return best;
}

/* A server with capacity for the call, or NULL. The server of an earlier
 * attempt is used only when no other has capacity. */
GwBackendState *
GwSteer_ChooseBackend(GwSteer *s, int64_t now_us, GwServiceState *service,
                      const GwPickRequest *request)
{
    bool panic = is_panic(s, now_us, service, request);
    uint32_t count = collect_candidates(s, now_us, service, request, panic,
                                        request->avoid_backend != 0);

    if (count == 0 && request->avoid_backend != 0) {
        count = collect_candidates(s, now_us, service, request, panic, false);
    }
    if (count == 0) {
        return NULL;
    }
    switch ((GwPolicyKind)s->params.policy) {
    case GW_POLICY_SLOTS:
    case GW_POLICY_TWO_CHOICES:
        return choose_of_two(s, now_us, service, count);
    case GW_POLICY_SUBSET:
        return least_in_flight(s, service, count);
    }
    return NULL;
}

static uint64_t
rendezvous_hash(uint64_t node, uint64_t backend)
{
    GwRng rng = GwRng_Make(node ^ (backend * 0x9e3779b97f4a7c15ULL));

    return GwRng_Next(&rng);
}

/* Marks the servers that this entry uses under GW_POLICY_SUBSET: twice its
 * even share, at least three, the highest by rendezvous hash, so that a
 * change of one server changes one member of the subset. */
void
GwSteer_SelectSubset(GwSteer *s, GwServiceState *service)
{
    uint32_t n = service->backend_count;
    uint32_t entries = s->entries == 0 ? 1 : s->entries;
    uint32_t want = (2 * n + entries - 1) / entries;

    if (s->params.policy != GW_POLICY_SUBSET) {
        return;
    }
    if (want < 3) {
        want = 3;
    }
    for (uint32_t i = 0; i < n; i++) {
        GwBackendState *b = service->backends[i];
        uint64_t own_hash = rendezvous_hash(s->params.id.node, b->id);
        uint32_t higher = 0;
        for (uint32_t j = 0; j < n; j++) {
            uint64_t id = service->backends[j]->id;
            higher += rendezvous_hash(s->params.id.node, id) > own_hash;
        }
        b->in_subset = higher < want;
    }
}
