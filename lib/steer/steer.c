/* Public interface of the steering package: ownership of units by seat, and
 * one function per event. */
#include "common/log_events.h"
#include "steer/steer_internal.h"

#include <inttypes.h>
#include <string.h>

/* The policies other than GW_POLICY_SLOTS are kept for comparison only.
 * They have no hard shares: a server's connections are then bounded by
 * `slots` per entry. Under GW_POLICY_SLOTS a server has at most `slots`
 * calls over all entries, which bounds its connections as well. */

static void
free_backend(gpointer data)
{
    GwBackendState *b = data;

    g_free(b->slots);
    g_free(b);
}

static void
free_cap(gpointer data)
{
    GwCapState *cap = data;

    g_free(cap->units);
    g_free(cap);
}

static void
free_service(gpointer data)
{
    GwServiceState *service = data;

    g_free(service->backends);
    g_free(service->scratch);
    g_free(service);
}

/* Sequence and loan numbers start from a value derived from node and start
 * number, so that a message addressed to an earlier start of this entry
 * matches nothing here. */
static uint64_t
seq_base_of(GwNodeId id)
{
    GwRng rng = GwRng_Make(id.node ^ (id.start * 0x9e3779b97f4a7c15ULL));

    return GwRng_Next(&rng) & 0x7fffffff00000000ULL;
}

GwSteer *
GwSteer_Create(const GwNodeParams *params)
{
    GwSteer *s = g_new0(GwSteer, 1);

    s->params = *params;
    s->region = GW_NONE;
    s->rng = GwRng_Make(params->seed);
    s->seq_base = seq_base_of(params->id);
    s->entries = 1;
    s->use_free = GW_NONE;
    s->by_id =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_backend);
    s->services = g_ptr_array_new_with_free_func(free_service);
    s->lent = g_array_new(FALSE, FALSE, sizeof(GwLent));
    s->borrowed = g_array_new(FALSE, FALSE, sizeof(GwBorrowed));
    s->shifts = g_ptr_array_new_with_free_func(free_cap);
    s->links = g_ptr_array_new_with_free_func(free_cap);
    return s;
}

void
GwSteer_Free(GwSteer *s)
{
    if (s == NULL) {
        return;
    }
    g_hash_table_destroy(s->by_id);
    g_ptr_array_free(s->services, TRUE);
    g_array_free(s->lent, TRUE);
    g_array_free(s->borrowed, TRUE);
    g_ptr_array_free(s->shifts, TRUE);
    g_ptr_array_free(s->links, TRUE);
    g_free(s->uses);
    g_free(s);
}

static void
sync_units(const GwSeats *seats, GwSlot *units, uint32_t cap, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        units[i].is_own = i < cap && GwSeats_IsUsable(seats, units[i].seat);
    }
}

static void
sync_caps(const GwSeats *seats, const GPtrArray *caps)
{
    for (guint i = 0; i < caps->len; i++) {
        GwCapState *cap = g_ptr_array_index(caps, i);
        sync_units(seats, cap->units, cap->cap, cap->capacity);
    }
}

/* Updates unit ownership from the seats before any decision. A process that
 * resumes after a pause still has its old state; the fence removes its
 * units before the first call is started on them. */
static void
sync_seats(GwSteer *s, int64_t now_us, const GwSeats *seats)
{
    uint64_t epoch = GwSeats_Epoch(seats);
    bool fenced = GwSeats_IsFenced(seats);
    GHashTableIter iter;
    gpointer value;

    if (s->config == NULL ||
        (s->synced && epoch == s->epoch && fenced == s->fenced)) {
        return;
    }
#if GW_MUTANT == 32 /* breaks: units of a fenced or lost seat are not used */
    if (s->synced) {
        return;
    }
#endif
    s->synced = true;
    s->epoch = epoch;
    s->fenced = fenced;
    s->has_freed_units = true;
    if (fenced) {
        GwSteer_DropAllLoans(s, now_us);
    }
    g_hash_table_iter_init(&iter, s->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwBackendState *b = value;
        sync_units(seats, b->slots, b->slot_count, b->slot_capacity);
        GwBackend_RefreshAll(b, now_us);
    }
    sync_caps(seats, s->shifts);
    sync_caps(seats, s->links);
}

static void
mark_busy(const GwSlot *units, uint32_t count, bool *busy)
{
    for (uint32_t i = 0; i < count; i++) {
        if ((units[i].in_use || units[i].lent_loan != 0) &&
            units[i].seat < GW_SEATS_MAX) {
            busy[units[i].seat] = true;
        }
    }
}

/* Marks the seats that have a unit in use or lent. */
static void
find_busy(const GwSteer *s, bool busy[GW_SEATS_MAX])
{
    GHashTableIter iter;
    gpointer value;

    memset(busy, 0, GW_SEATS_MAX * sizeof(bool));
    g_hash_table_iter_init(&iter, s->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwBackendState *b = value;
        mark_busy(b->slots, b->slot_capacity, busy);
    }
    for (guint i = 0; i < s->shifts->len; i++) {
        const GwCapState *cap = g_ptr_array_index(s->shifts, i);
        mark_busy(cap->units, cap->capacity, busy);
    }
    for (guint i = 0; i < s->links->len; i++) {
        const GwCapState *cap = g_ptr_array_index(s->links, i);
        mark_busy(cap->units, cap->capacity, busy);
    }
}

/* Releases each seat that is being handed over once none of its units is busy;
 * otherwise the next holder could start a call on a unit that still runs a
 * call here. */
static void
release_parting(GwSteer *s, int64_t now_us, GwSeats *seats,
                const GwMembers *members, GwActions *out)
{
    bool busy[GW_SEATS_MAX];
    bool found = false;

    for (uint32_t seat = 0; seat < s->seat_total; seat++) {
        if (!GwSeats_IsHandingOver(seats, seat)) {
            continue;
        }
        if (!found) {
            find_busy(s, busy);
            found = true;
        }
#if GW_MUTANT == 33 /* breaks: a seat is released only once it is idle */
        busy[seat] = false;
#endif
        if (!busy[seat]) {
            GwSeats_Release(seats, now_us, seat, members, out);
        }
    }
}

/* Logs one line per change of a server's state, not per failure. */
static void
log_changes(GwBackendState *b, int64_t now_us, GwActions *out)
{
    bool ejected = GwBackend_IsEjected(b, now_us);
    bool draining = GwBackend_IsDraining(b, now_us);
    bool was_unavailable = b->logged_ejected || b->logged_draining;

    if (ejected && !b->logged_ejected) {
        GwActions_Log(out, GW_LOG_BACKEND_EJECTED,
                      "address=%s failures=%u for_ms=%" PRId64, b->address,
                      b->failures, (b->ejected_until_us - now_us) / 1000);
    }
    if (draining && !b->logged_draining) {
        GwActions_Log(out, GW_LOG_BACKEND_DRAINING, "address=%s", b->address);
    }
    if (was_unavailable && !ejected && !draining) {
        GwActions_Log(out, GW_LOG_BACKEND_BACK, "address=%s", b->address);
    }
    b->logged_ejected = ejected;
    b->logged_draining = draining;
}

static void
tick_backends(GwSteer *s, int64_t now_us, GwActions *out)
{
    for (uint32_t i = 0; i < s->config->service_count; i++) {
        GwServiceState *service = s->by_index[i];
        int64_t sum_us = 0;
        uint32_t known = 0;
        for (uint32_t j = 0; j < service->backend_count; j++) {
            GwBackendState *b = service->backends[j];
            s->has_freed_units |= GwBackend_Tick(b, now_us);
            log_changes(b, now_us, out);
            sum_us += b->latency_us;
            known += b->latency_us != 0;
        }
        service->latency_us = known > 0 ? sum_us / known : 0;
    }
}

static void
count_entries(GwSteer *s, const GwMembers *members)
{
    uint32_t count = 1;

    for (uint32_t i = 0; i < GwMembers_Count(members); i++) {
        const GwMember *m = GwMembers_At(members, i);
        count += m->info.id.node != s->params.id.node &&
                 m->info.state == GW_MEMBER_ALIVE &&
                 m->info.region == s->region_hash[s->region];
    }
    if (count == s->entries) {
        return;
    }
    s->entries = count;
    for (uint32_t i = 0; i < s->config->service_count; i++) {
        GwSteer_SelectSubset(s, s->by_index[i]);
    }
}

bool
GwSteer_Tick(GwSteer *s, int64_t now_us, const GwMembers *members,
             GwSeats *seats, const uint32_t *queued, GwActions *out)
{
    if (s->config == NULL || s->region == GW_NONE) {
        return false;
    }
    sync_seats(s, now_us, seats);
    s->has_freed_units |= GwSteer_EndHeldUses(s, now_us);
    if (s->unblock_us != 0 && s->unblock_us <= now_us) {
        s->unblock_us = 0;
        s->has_freed_units = true;
        GwSteer_RefreshAll(s, now_us);
    }
    tick_backends(s, now_us, out);
    count_entries(s, members);
    GwSteer_TickLoans(s, now_us, members, queued, out);
    GwSteer_TickGrants(s, now_us, members, queued, out);
    for (uint32_t i = 0; i < s->config->service_count; i++) {
        s->by_index[i]->has_waiting = false;
    }
    release_parting(s, now_us, seats, members, out);
    bool has_freed_units = s->has_freed_units;
    s->has_freed_units = false;
    return has_freed_units;
}

void
GwSteer_RequestSlots(GwSteer *s, int64_t now_us, const GwMembers *members,
                     GwSeats *seats, const uint32_t *queued, GwActions *out)
{
    if (s->config == NULL || s->region == GW_NONE) {
        return;
    }
    sync_seats(s, now_us, seats);
    GwSteer_SendSlotRequests(s, now_us, members, queued, out);
}

bool
GwSteer_Receive(GwSteer *s, int64_t now_us, const GwMessage *msg,
                const GwMembers *members, GwSeats *seats,
                const uint32_t *queued, GwActions *out)
{
    if (s->config == NULL || s->region == GW_NONE) {
        return false;
    }
    sync_seats(s, now_us, seats);
    switch (msg->kind) {
    case GW_MSG_LOAN_ASK:
        if (msg->u.ask.kind == GW_UNIT_SHIFT) {
            GwSteer_ReceiveGrantAsk(s, now_us, msg, members, queued, out);
        }
        else if (msg->u.ask.kind == GW_UNIT_SLOT) {
            GwSteer_ReceiveLoanAsk(s, now_us, msg, members, queued, out);
        }
        return false;
    case GW_MSG_LOAN_GIVE:
        return GwSteer_ReceiveLoanGive(s, now_us, msg, members, out);
    case GW_MSG_LOAN_RETURN:
        return GwSteer_ReceiveLoanReturn(s, now_us, msg);
    default:
        return false;
    }
}

static void
refuse(GwPick *out, GwReason reason)
{
    out->kind = GW_PICK_REFUSE;
    out->reason = reason;
    out->retry_after_ms = GW_RETRY_HINT_MS;
}

static void
start_local(GwSteer *s, int64_t now_us, GwServiceState *service,
            GwBackendState *b, const GwPickRequest *request, GwPick *out)
{
    GwUse *use = GwSteer_BeginUse(s, now_us, service, &out->use);

    use->backend = b;
    b->in_flight++;
    if (s->params.policy == GW_POLICY_SLOTS) {
        use->slot = GwBackend_FindSlot(b, request->deadline_us);
        b->slots[use->slot].in_use = true;
        GwBackend_RefreshSlot(b, use->slot, now_us);
    }
    GwLent *lent =
        request->grant != 0 ? GwSteer_FindLent(s, request->grant) : NULL;
    if (request->relayed && lent != NULL) {
        use->lent_loan = lent->id;
        lent->in_flight++;
    }
    out->kind = GW_PICK_BACKEND;
    out->backend = b->id;
    memcpy(out->address, b->address, sizeof(out->address));
}

/* No unit is free: leaves GW_PICK_WAIT if a unit can become free, else refuses
 * with the reason. */
static void
wait_or_refuse(const GwSteer *s, int64_t now_us, const GwServiceState *service,
               const GwPickRequest *request, GwPick *out)
{
    if (!request->relayed && GwSteer_HasShift(s, request->service)) {
        return;
    }
    if (!service->has_place) {
        refuse(out, GW_REASON_NO_PLACE);
    }
    else if (!GwSteer_CanServe(s, now_us, request->service)) {
        refuse(out, GW_REASON_DRAINING);
    }
    else if (!GwService_HasSlots(service)) {
        refuse(out, GW_REASON_NO_SLOT);
    }
}

/* Chooses for one call and takes the unit. A relayed call runs here or is
 * refused: a second relay could form a loop while its unit is counted
 * twice. */
void
GwSteer_Pick(GwSteer *s, int64_t now_us, const GwPickRequest *request,
             const GwMembers *members, GwSeats *seats, GwPick *out)
{
    memset(out, 0, sizeof(*out));
    if (s->config == NULL || s->region == GW_NONE ||
        request->service >= s->config->service_count) {
        refuse(out,
               s->config == NULL ? GW_REASON_NOT_READY : GW_REASON_NO_SERVICE);
        return;
    }
    sync_seats(s, now_us, seats);
    GwServiceState *service = s->by_index[request->service];
    if (request->relayed && request->grant != 0 &&
        !GwSteer_GrantAdmits(s, now_us, request)) {
        refuse(out, GW_REASON_NO_GRANT);
        return;
    }
    if (!request->relayed && GwSteer_ShouldShift(s, request->service) &&
        GwSteer_PickPeer(s, now_us, service, request, members, out)) {
        return;
    }
    GwBackendState *b = NULL;
    if (service->has_place && !service->place_drain) {
        b = GwSteer_ChooseBackend(s, now_us, service, request);
    }
    if (b != NULL) {
        start_local(s, now_us, service, b, request, out);
        return;
    }
    if (!request->relayed &&
        GwSteer_PickPeer(s, now_us, service, request, members, out)) {
        return;
    }
    wait_or_refuse(s, now_us, service, request, out);
    GwService_NoteWait(service, request, out);
}

/* Updates the grant from the end of a call relayed on it. */
static void
update_grant(GwSteer *s, int64_t now_us, const GwUse *use,
             const GwAttemptEvent *end)
{
    GwBorrowed *b = GwSteer_FindBorrowed(s, use->borrowed_loan);

    if (b == NULL) {
        return;
    }
    switch (end->reason) {
    case GW_REASON_NO_GRANT:
    case GW_REASON_LEAVING:
        GwSteer_DropLoan(s, now_us, b->id);
        break;
    case GW_REASON_CONNECT:
    case GW_REASON_SILENT:
    case GW_REASON_BROKEN:
        b->pause_until_us = now_us + GW_PEER_PAUSE_US;
        break;
    default:
        break;
    }
}

void
GwSteer_Done(GwSteer *s, int64_t now_us, uint32_t use,
             const GwAttemptEvent *end, int64_t hold_until_us)
{
    GwUse *ended = GwSteer_FindUse(s, use);

    if (ended == NULL) {
        return;
    }
    if (end != NULL && ended->backend != NULL) {
        GwBackend_RecordEnd(ended->backend, now_us, now_us - ended->started_us,
                            end, GW_MS(s->params.drain_hint_ttl_ms), &s->rng);
    }
    if (end != NULL && ended->borrowed_loan != 0) {
        update_grant(s, now_us, ended, end);
    }
#if GW_MUTANT == 34 /* breaks: an UNKNOWN end keeps its unit in use */
    hold_until_us = now_us;
#endif
    if (hold_until_us > now_us) {
        ended->held = true;
        ended->hold_until_us = hold_until_us;
        ended->service->in_flight--;
        return;
    }
    GwSteer_EndUse(s, now_us, ended);
}

/* Applies a health report. The endpoint may lag or be wrong: an unreachable
 * endpoint counts as a failure only if the server has not answered a call
 * for GW_LOAD_FRESH_US. */
void
GwSteer_ApplyHealth(GwSteer *s, int64_t now_us, const GwHealthEvent *health)
{
    GwBackendState *b = GwSteer_FindBackend(s, health->backend);

    if (b == NULL) {
        return;
    }
    if (!health->reachable) {
        if (now_us - b->success_at_us > GW_LOAD_FRESH_US) {
            GwBackend_RecordFailure(b, now_us, &s->rng);
        }
        return;
    }
    if (health->has_load) {
        GwBackend_RecordLoad(b, now_us, health->reported_load);
    }
    if (!health->draining) {
        b->reported_open_us = now_us;
    }
    else {
        GwBackend_RecordDrain(b, now_us + GW_MS(s->params.drain_hint_ttl_ms));
    }
}

/* Applies a peer's drain hint. Hints are not forwarded, so that they
 * expire. */
void
GwSteer_ApplyDrainHint(GwSteer *s, int64_t now_us, uint64_t backend,
                       uint32_t ttl_ms)
{
    GwBackendState *b = GwSteer_FindBackend(s, backend);

    if (b == NULL || ttl_ms == 0) {
        return;
    }
    uint32_t bound_ms = MIN(ttl_ms, s->params.drain_hint_ttl_ms);
    int64_t until_us = now_us + GW_MS(bound_ms);
    b->hint_drain_until_us = MAX(b->hint_drain_until_us, until_us);
    b->was_draining = true;
}

static void
add_drains(const GwSteer *s, int64_t now_us, GwPiggyback *piggyback)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, s->by_id);
    while (piggyback->drain_count < GW_DRAINS_MAX &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwBackendState *b = value;
        if (b->own_drain_until_us > now_us) {
            int64_t left_us = b->own_drain_until_us - now_us;
            piggyback->drains[piggyback->drain_count++] = (GwDrainHint){
                .backend = b->id, .ttl_ms = (uint32_t)(left_us / GW_MS(1))};
        }
    }
}

void
GwSteer_FillHeartbeat(const GwSteer *s, int64_t now_us, GwNodeId self,
                      GwSeats *seats, const uint32_t *queued,
                      GwPiggyback *piggyback)
{
    piggyback->digest_count = 0;
    piggyback->drain_count = 0;
    if (s->config == NULL) {
        return;
    }
    bool fenced = GwSeats_IsFenced(seats);
    for (uint32_t i = 0; i < s->config->service_count; i++) {
        const GwServiceState *service = s->by_index[i];
        if (piggyback->digest_count == GW_DIGESTS_MAX) {
            break;
        }
        uint32_t idle = 0;
        if (!fenced) {
            idle = GwSteer_CountLendable(s, now_us, service, queued[i]);
        }
        piggyback->digests[piggyback->digest_count++] =
            (GwDigest){.id = self,
                       .service = service->hash,
                       .free_slots = idle,
                       .in_flight = service->in_flight,
                       .queued = queued[i],
                       .seq = (uint64_t)now_us};
    }
    add_drains(s, now_us, piggyback);
}

bool
GwSteer_ReturnAll(GwSteer *s, int64_t now_us, const GwMembers *members,
                  GwActions *out)
{
    s->leaving = true;
    GwSteer_EndHeldUses(s, now_us);
    GwSteer_ReturnIdle(s, now_us, members, NULL, out);
    return s->use_active == 0 && s->lent->len == 0 && s->borrowed->len == 0;
}

bool
GwSteer_CanServe(const GwSteer *s, int64_t now_us, uint32_t service)
{
    if (s->config == NULL || service >= s->config->service_count) {
        return false;
    }
    const GwServiceState *state = s->by_index[service];
    return state->has_place && !state->place_drain &&
           !GwService_AllDraining(state, now_us);
}

uint32_t
GwSteer_InFlight(const GwSteer *s, uint32_t service)
{
    if (s->config == NULL || service >= s->config->service_count) {
        return 0;
    }
    return s->by_index[service]->in_flight;
}
