/* The borrower's side of loans: requests, borrowed units, and their return. */
#include "steer/steer_internal.h"

#include <string.h>

GwBorrowed *
GwSteer_FindBorrowed(const GwSteer *s, uint64_t loan)
{
    for (guint i = 0; i < s->borrowed->len; i++) {
        GwBorrowed *b = &g_array_index(s->borrowed, GwBorrowed, i);
        if (b->id == loan) {
            return b;
        }
    }
    return NULL;
}

/* Records the earliest deadline among the waiting calls, as of the last
 * pass over the queue. A loan that ends before it cannot be used. */
void
GwService_NoteWait(GwServiceState *service, const GwPickRequest *request,
                   const GwPick *out)
{
    if (out->kind != GW_PICK_WAIT) {
        return;
    }
    if (!service->has_waiting ||
        request->deadline_us < service->wait_deadline_us) {
        service->wait_deadline_us = request->deadline_us;
    }
    service->has_waiting = true;
}

static uint32_t
count_usable_borrowed(const GwBackendState *b, int64_t deadline_us)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < b->slot_capacity; i++) {
        uint64_t bit = b->borrowed_free[i / 64] >> (i % 64) & 1;
        count += bit != 0 && b->slots[i].borrowed_until_us > deadline_us;
    }
    return count;
}

/* The number of units of the place that a waiting call could use at once. A
 * loan that ends before the calls' deadlines does not count; otherwise its
 * idle units would keep this entry from requesting others while its queue
 * grows. */
uint32_t
GwSteer_CountFreeUnits(const GwServiceState *service, int64_t now_us)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < service->backend_count; i++) {
        const GwBackendState *b = service->backends[i];
        if (GwBackend_IsAvailable(b, now_us)) {
            count += b->own_free_count;
            if (b->borrowed_free_count > 0) {
                count += count_usable_borrowed(b, service->wait_deadline_us);
            }
        }
    }
    return count;
}

static bool
was_tried(const GwLoanRequestState *asking, uint64_t node)
{
    for (uint32_t i = 0; i < asking->tried_count; i++) {
        if (asking->tried[i] == node) {
            return true;
        }
    }
    return false;
}

static bool
in_regions(const GwSteer *s, uint32_t region_hash, uint32_t regions)
{
    for (uint32_t r = 0; r < s->config->region_count; r++) {
        if ((regions & 1u << r) != 0 && s->region_hash[r] == region_hash) {
            return true;
        }
    }
    return false;
}

/* The member whose digest shows the most idle units. Digests lag, so a peer of
 * this region whose digest shows none is still asked, last: an unneeded
 * request costs one round trip, while a missing request makes calls wait
 * although slots are idle. A peer of another region without idle units is not
 * asked. */
static const GwMember *
best_lender(const GwSteer *s, const GwMembers *members,
            const GwLoanRequestState *asking, uint32_t regions,
            uint64_t service, GwUnitKind kind)
{
    const GwMember *best = NULL;
    uint32_t best_free = 0;

    for (uint32_t i = 0; i < GwMembers_Count(members); i++) {
        const GwMember *m = GwMembers_At(members, i);
        uint64_t node = m->info.id.node;
        if (m->info.state != GW_MEMBER_ALIVE || was_tried(asking, node) ||
            node == s->params.id.node ||
            !in_regions(s, m->info.region, regions)) {
            continue;
        }
        const GwDigest *digest = GwMembers_Digest(members, node, service);
        if (digest != NULL && digest->free_slots == 0 &&
            kind == GW_UNIT_SHIFT) {
            continue;
        }
        uint32_t idle = digest != NULL ? digest->free_slots : 0;
        if (best == NULL || idle > best_free) {
            best = m;
            best_free = idle;
        }
    }
    return best;
}

/* Sends one LOAN_ASK to the next member of `regions` (one bit per region
 * index). Returns false when no member is left; the next round then starts
 * after a short pause. */
bool
GwSteer_SendAsk(GwSteer *s, int64_t now_us, const GwMembers *members,
                GwLoanRequestState *asking, uint32_t regions, GwLoanAsk *ask,
                GwActions *out)
{
    const GwMember *m = NULL;

    if (asking->tried_count < GW_TRIED_MAX) {
        m = best_lender(s, members, asking, regions, ask->service, ask->kind);
    }
    if (m == NULL) {
        asking->tried_count = 0;
        int64_t pause_us =
            ask->kind == GW_UNIT_SLOT ? GW_ASK_PAUSE_US : GW_GRANT_PAUSE_US;
        asking->next_us = now_us + GwRng_Jitter(&s->rng, pause_us, pause_us);
        return false;
    }
    s->seq++;
    ask->seq = s->seq_base + s->seq;
    asking->seq = ask->seq;
    asking->peer = m->info.id;
    asking->asked_us = now_us;
    asking->tried[asking->tried_count++] = m->info.id.node;
    GwMessage *msg =
        GwSteer_SendTo(s, members, m->info.id, GW_MSG_LOAN_ASK, out);
    if (msg != NULL) {
        msg->u.ask = *ask;
    }
    return true;
}

static void
ask_for_slots(GwSteer *s, int64_t now_us, GwServiceState *service,
              uint32_t queued, const GwMembers *members, GwActions *out)
{
    GwLoanRequestState *asking = &service->slots;
    uint32_t idle = GwSteer_CountFreeUnits(service, now_us);

    if (asking->seq != 0 && now_us - asking->asked_us < GW_ASK_TIMEOUT_US) {
        return;
    }
    asking->seq = 0;
    if (queued <= idle || now_us < asking->next_us) {
        return;
    }
    uint32_t want = queued - idle;
    GwLoanAsk ask = {.service = service->hash,
                     .from_region = s->region_hash[s->region],
                     .count = MIN(want, GW_ASK_SLOTS_MAX),
                     .kind = GW_UNIT_SLOT};
    if (!GwSteer_SendAsk(s, now_us, members, asking, 1u << s->region, &ask,
                         out)) {
        service->no_lender_us = now_us;
    }
}

static void
send_return(GwSteer *s, const GwMembers *members, GwNodeId to, uint64_t loan,
            uint32_t unit_count, const GwUnit *units, GwActions *out)
{
    GwMessage *msg = GwSteer_SendTo(s, members, to, GW_MSG_LOAN_RETURN, out);

    if (msg == NULL) {
        return;
    }
    msg->u.giveback.loan = loan;
    msg->u.giveback.unit_count = unit_count;
    memcpy(msg->u.giveback.units, units, unit_count * sizeof(GwUnit));
}

/* Handles a LOAN_GIVE without an outstanding request, late or duplicated.
 * Its request may be old, so the units are not used. They are returned if
 * this start requested them and does not have the loan. A duplicate of a
 * current loan must not be answered with a return while calls run on it. */
static void
refuse_give(GwSteer *s, const GwMessage *msg, const GwMembers *members,
            GwActions *out)
{
    const GwLoanGive *give = &msg->u.give;
    bool was_requested =
        give->seq > s->seq_base && give->seq <= s->seq_base + s->seq;

#if GW_MUTANT == 24 /* breaks: no return while calls run on the loan */
    bool has_loan = false;
#else
    bool has_loan = GwSteer_FindBorrowed(s, give->loan) != NULL;
#endif
    if (was_requested && !has_loan && give->unit_count > 0) {
        send_return(s, members, msg->from, give->loan, give->unit_count,
                    give->units, out);
    }
}

static void
set_borrowed_slots(GwSteer *s, int64_t now_us, const GwBorrowed *b, bool on)
{
    for (uint32_t i = 0; i < b->unit_count; i++) {
        GwBackendState *backend = GwSteer_FindBackend(s, b->units[i].owner);
        uint32_t slot = b->units[i].index;
        if (backend == NULL || slot >= backend->slot_capacity) {
            continue;
        }
        GwSlot *unit = &backend->slots[slot];
        if (on && unit->borrowed_loan == 0) {
            unit->borrowed_loan = b->id;
            unit->borrowed_until_us = b->use_until_us;
        }
        if (!on && unit->borrowed_loan == b->id) {
            unit->borrowed_loan = 0;
        }
        GwBackend_RefreshSlot(backend, slot, now_us);
    }
}

/* Adds the units of a reply to the outstanding request; true when they can
 * be used. The term counts from the request, since the reply may have been
 * delayed. */
bool
GwSteer_ReceiveLoanGive(GwSteer *s, int64_t now_us, const GwMessage *msg,
                        const GwMembers *members, GwActions *out)
{
    const GwLoanGive *give = &msg->u.give;
    GwServiceState *service = GwSteer_FindService(s, give->service);

    if (service == NULL || give->unit_count > GW_UNITS_MAX) {
        return false;
    }
    GwLoanRequestState *asking =
        give->kind == GW_UNIT_SLOT ? &service->slots : &service->grants;
    bool expected = asking->seq != 0 && asking->seq == give->seq &&
                    GwNodeId_Equal(asking->peer, msg->from);
#if GW_MUTANT == 25 /* breaks: a late or copied GIVE is not used */
    expected = GwSteer_FindBorrowed(s, give->loan) == NULL;
    asking->asked_us = now_us;
#endif
    if (!expected) {
        refuse_give(s, msg, members, out);
        return false;
    }
    asking->seq = 0;
    if (give->unit_count == 0) {
        return false;
    }
    asking->tried_count = 0;
    int64_t span_ms = (int64_t)give->term_ms - s->params.loan_margin_ms;
    GwBorrowed b = {.id = give->loan,
                    .kind = give->kind,
                    .peer = msg->from,
                    .service = give->service,
                    .use_until_us = asking->asked_us + GW_MS(span_ms),
                    .round_trip_us = now_us - asking->asked_us,
                    .used_us = now_us,
                    .unit_count = give->unit_count};
    memcpy(b.units, give->units, sizeof(b.units));
    b.dropped = s->fenced || s->leaving;
    g_array_append_val(s->borrowed, b);
    if (b.kind == GW_UNIT_SLOT && !b.dropped) {
        set_borrowed_slots(s, now_us, &b, true);
    }
    return !b.dropped;
}

static bool
is_busy(const GwSteer *s, const GwBorrowed *b)
{
    if (b->kind == GW_UNIT_SHIFT) {
        return b->busy != 0;
    }
    for (uint32_t i = 0; i < b->unit_count; i++) {
        const GwBackendState *backend =
            GwSteer_FindBackend(s, b->units[i].owner);
        uint32_t slot = b->units[i].index;
        if (backend != NULL && slot < backend->slot_capacity &&
            backend->slots[slot].in_use) {
            return true;
        }
    }
    return false;
}

/* Stops new calls on a loan; running calls finish. */
void
GwSteer_DropLoan(GwSteer *s, int64_t now_us, uint64_t loan)
{
    GwBorrowed *b = GwSteer_FindBorrowed(s, loan);

    if (b != NULL && !b->dropped) {
        b->dropped = true;
        set_borrowed_slots(s, now_us, b, false);
    }
}

/* Stops new calls on all loans after a fence, since the length of the pause
 * is unknown. */
void
GwSteer_DropAllLoans(GwSteer *s, int64_t now_us)
{
    for (guint i = 0; i < s->borrowed->len; i++) {
        GwBorrowed *b = &g_array_index(s->borrowed, GwBorrowed, i);
        GwSteer_DropLoan(s, now_us, b->id);
    }
}

/* Whether a waiting call could still run on the loan. A loan that ends before
 * the calls' deadlines cannot be used here, and its lender would count the
 * units as lent for the rest of the term: they would be idle while calls
 * wait. */
static bool
is_wanted(const GwSteer *s, const GwBorrowed *b, const uint32_t *queued)
{
    const GwServiceState *service = GwSteer_FindService(s, b->service);

    if (b->dropped || service == NULL || service->index == GW_NONE) {
        return false;
    }
    return queued != NULL && queued[service->index] > 0 &&
           service->wait_deadline_us < b->use_until_us;
}

static int64_t
idle_limit_us(const GwSteer *s, const GwBorrowed *b)
{
    if (s->leaving || b->dropped) {
        return 0;
    }
    return b->kind == GW_UNIT_SLOT ? GW_LOAN_IDLE_US : GW_GRANT_IDLE_US;
}

/* Returns loans that have been idle for a short time and that no waiting
 * call can use; removes expired ones. */
void
GwSteer_ReturnIdle(GwSteer *s, int64_t now_us, const GwMembers *members,
                   const uint32_t *queued, GwActions *out)
{
    for (guint i = s->borrowed->len; i-- > 0;) {
        GwBorrowed *b = &g_array_index(s->borrowed, GwBorrowed, i);
        bool expired = b->use_until_us <= now_us;
        bool idle = now_us - b->used_us >= idle_limit_us(s, b);
#if GW_MUTANT == 27 /* breaks: no return while calls run on the loan */
        bool busy = expired && is_busy(s, b);
#else
        bool busy = is_busy(s, b);
#endif
        if (busy) {
            if (expired) {
                GwSteer_DropLoan(s, now_us, b->id);
            }
            continue;
        }
        if (!expired && (!idle || is_wanted(s, b, queued))) {
            continue;
        }
        if (!expired) {
            send_return(s, members, b->peer, b->id, b->unit_count, b->units,
                        out);
        }
        GwSteer_DropLoan(s, now_us, b->id);
        g_array_remove_index_fast(s->borrowed, i);
    }
}

/* Requests slots for the waiting calls of every service. */
void
GwSteer_SendSlotRequests(GwSteer *s, int64_t now_us, const GwMembers *members,
                         const uint32_t *queued, GwActions *out)
{
    if (s->leaving || s->fenced || s->params.policy != GW_POLICY_SLOTS) {
        return;
    }
    for (uint32_t i = 0; i < s->config->service_count; i++) {
        GwServiceState *service = s->by_index[i];
        if (service->has_place && queued[i] > 0) {
            ask_for_slots(s, now_us, service, queued[i], members, out);
        }
    }
}

/* Expires and returns loans, and requests slots for waiting calls. */
void
GwSteer_TickLoans(GwSteer *s, int64_t now_us, const GwMembers *members,
                  const uint32_t *queued, GwActions *out)
{
    GwSteer_ExpireLent(s, now_us);
    GwSteer_ReturnIdle(s, now_us, members, queued, out);
    GwSteer_SendSlotRequests(s, now_us, members, queued, out);
}
