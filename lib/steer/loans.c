/* The lender's side of loans. The lender counts a unit as lent until term
 * plus margin after its LOAN_GIVE; the borrower (borrow.c) uses the unit
 * until term minus margin after its LOAN_ASK. Even if messages are lost,
 * delayed or duplicated, the second interval lies within the first. */
#include "steer/steer_internal.h"

#include <string.h>

/* Whether an alive member of the region is known by this id, including its
 * start number. */
bool
GwSteer_IsPeer(const GwMembers *members, GwNodeId id, uint32_t region_hash)
{
    const GwMember *m = GwMembers_Find(members, id.node);

    return m != NULL && GwNodeId_Equal(m->info.id, id) &&
           m->info.region == region_hash && m->info.state == GW_MEMBER_ALIVE;
}

GwLent *
GwSteer_FindLent(const GwSteer *s, uint64_t loan)
{
    for (guint i = 0; i < s->lent->len; i++) {
        GwLent *lent = &g_array_index(s->lent, GwLent, i);
        if (lent->id == loan) {
            return lent;
        }
    }
    return NULL;
}

/* A new loan id, different from those of other entries and of earlier starts
 * of this entry. */
uint64_t
GwSteer_NextLoan(GwSteer *s)
{
    s->loan_seq++;
    return s->seq_base + s->loan_seq;
}

/* Queues a message to a member and returns it to be filled in; NULL when the
 * member is not known. */
GwMessage *
GwSteer_SendTo(GwSteer *s, const GwMembers *members, GwNodeId to,
               GwMessageKind kind, GwActions *out)
{
    const GwMember *m = GwMembers_Find(members, to.node);

    if (m == NULL) {
        return NULL;
    }
    GwAction *action = GwActions_Add(out, GW_ACTION_SEND);
    GwMessage *msg = GwMessage_Create(kind, s->params.id);
    action->u.send.to = to;
    action->u.send.message = msg;
    g_strlcpy(action->u.send.address, m->info.peer_address, GW_ADDR_MAX);
    return msg;
}

static uint32_t
count_idle_granted(const GwSteer *s, uint64_t service)
{
    uint32_t count = 0;

    for (guint i = 0; i < s->lent->len; i++) {
        const GwLent *lent = &g_array_index(s->lent, GwLent, i);
        if (lent->kind == GW_UNIT_SHIFT && lent->service == service &&
            lent->in_flight < lent->unit_count) {
            count += lent->unit_count - lent->in_flight;
        }
    }
    return count;
}

/* The number of own idle units, minus those that local calls wait for and
 * those granted to other regions. All of them may be lent to a peer of the
 * region: a lent unit can be returned within one round trip, so a reserve
 * would leave more slots idle while calls of the peer wait than it would save
 * local calls from waiting. */
uint32_t
GwSteer_CountLendable(const GwSteer *s, int64_t now_us,
                      const GwServiceState *service, uint32_t queued)
{
    uint32_t idle = 0;

    if (s->leaving || s->fenced || s->params.policy != GW_POLICY_SLOTS) {
        return 0;
    }
    for (uint32_t i = 0; i < service->backend_count; i++) {
        const GwBackendState *b = service->backends[i];
        if (GwBackend_IsAvailable(b, now_us)) {
            idle += b->own_free_count;
        }
    }
    uint32_t keep = queued + count_idle_granted(s, service->hash);
    return idle > keep ? idle - keep : 0;
}

/* The number of units that may be granted to another region: the lendable ones
 * minus a reserve for the next local arrivals, since a grant lasts far longer
 * than a loan. */
uint32_t
GwSteer_CountGrantable(const GwSteer *s, int64_t now_us,
                       const GwServiceState *service, uint32_t queued)
{
    return GwSteer_CountLendable(s, now_us, service,
                                 queued + 1 + service->in_flight / 8);
}

/* Takes units one at a time from each server in turn, so that a loan does
 * not use up one server. */
static void
take_slots(GwSteer *s, int64_t now_us, GwServiceState *service, uint32_t count,
           GwLent *lent)
{
    uint32_t n = service->backend_count;
    uint32_t start = n > 0 ? GwRng_Below(&s->rng, n) : 0;
    bool progress = true;

    while (lent->unit_count < count && progress) {
        progress = false;
        for (uint32_t i = 0; i < n && lent->unit_count < count; i++) {
            GwBackendState *b = service->backends[(start + i) % n];
            if (b->own_free_count == 0 || !GwBackend_IsAvailable(b, now_us)) {
                continue;
            }
            uint32_t slot = GwBackend_FindSlot(b, now_us);
            b->slots[slot].lent_loan = lent->id;
            GwBackend_RefreshSlot(b, slot, now_us);
            lent->units[lent->unit_count++] =
                (GwUnit){.kind = GW_UNIT_SLOT, .owner = b->id, .index = slot};
            progress = true;
        }
    }
}

/* Sends the LOAN_GIVE for a loan to the borrower. */
void
GwSteer_SendGive(GwSteer *s, const GwMembers *members, const GwLoanAsk *ask,
                 const GwLent *lent, GwActions *out)
{
    GwMessage *msg =
        GwSteer_SendTo(s, members, lent->peer, GW_MSG_LOAN_GIVE, out);

    if (msg == NULL) {
        return;
    }
    msg->u.give = (GwLoanGive){.seq = ask->seq,
                               .loan = lent->id,
                               .service = ask->service,
                               .term_ms = s->params.loan_term_ms,
                               .kind = lent->kind,
                               .unit_count = lent->unit_count};
    memcpy(msg->u.give.units, lent->units, sizeof(lent->units));
}

/* When the lender stops counting units as lent that it lends now. */
int64_t
GwSteer_LoanExpiry(const GwSteer *s, int64_t now_us)
{
    int64_t counted_ms = s->params.loan_term_ms;

#if GW_MUTANT == 23 /* breaks: the lender counts longer than the borrower */
    counted_ms /= 4;
#else
    counted_ms += s->params.loan_margin_ms;
#endif
    return now_us + GW_MS(counted_ms);
}

/* Answers a LOAN_ASK for slots. An empty LOAN_GIVE lets the requester ask
 * the next peer at once. */
void
GwSteer_ReceiveLoanAsk(GwSteer *s, int64_t now_us, const GwMessage *msg,
                       const GwMembers *members, const uint32_t *queued,
                       GwActions *out)
{
    const GwLoanAsk *ask = &msg->u.ask;
    GwServiceState *service = GwSteer_FindService(s, ask->service);

    if (service == NULL || service->index == GW_NONE ||
        !GwSteer_IsPeer(members, msg->from, s->region_hash[s->region])) {
        return;
    }
    uint32_t count =
        GwSteer_CountLendable(s, now_us, service, queued[service->index]);
    count = MIN(count, MIN(ask->count, GW_UNITS_MAX));
    GwLent lent = {.id = GwSteer_NextLoan(s),
                   .kind = GW_UNIT_SLOT,
                   .peer = msg->from,
                   .service = ask->service,
                   .expires_us = GwSteer_LoanExpiry(s, now_us)};
    take_slots(s, now_us, service, count, &lent);
    if (lent.unit_count > 0) {
        g_array_append_val(s->lent, lent);
    }
    GwSteer_SendGive(s, members, ask, &lent, out);
}

static void
end_lent(GwSteer *s, int64_t now_us, guint index)
{
    GwLent *lent = &g_array_index(s->lent, GwLent, index);

    for (uint32_t i = 0; i < lent->unit_count; i++) {
        const GwUnit *u = &lent->units[i];
        GwBackendState *b = GwSteer_FindBackend(s, u->owner);
        GwCapState *cap = GwSteer_FindCap(s->shifts, u->owner);
        if (lent->kind == GW_UNIT_SLOT && b != NULL) {
            b->slots[u->index].lent_loan = 0;
            GwBackend_RefreshSlot(b, u->index, now_us);
        }
        if (lent->kind == GW_UNIT_SHIFT && cap != NULL) {
            cap->units[u->index].lent_loan = 0;
        }
    }
    g_array_remove_index_fast(s->lent, index);
}

static bool
same_units(const GwLent *lent, const GwLoanReturn *returned)
{
    if (lent->unit_count != returned->unit_count) {
        return false;
    }
    for (uint32_t i = 0; i < lent->unit_count; i++) {
        const GwUnit *a = &lent->units[i];
        const GwUnit *b = &returned->units[i];
        if (a->kind != b->kind || a->owner != b->owner ||
            a->index != b->index) {
            return false;
        }
    }
    return true;
}

/* Ends a loan before its term: only on a return from its borrower, and only
 * with exactly the units lent. Relayed calls that still run here keep their
 * units counted. True when units became free. */
bool
GwSteer_ReceiveLoanReturn(GwSteer *s, int64_t now_us, const GwMessage *msg)
{
    const GwLoanReturn *returned = &msg->u.giveback;

    for (guint i = 0; i < s->lent->len; i++) {
        GwLent *lent = &g_array_index(s->lent, GwLent, i);
        if (lent->id != returned->loan) {
            continue;
        }
        if (!GwNodeId_Equal(lent->peer, msg->from) ||
            !same_units(lent, returned)) {
            return false;
        }
        lent->expires_us = now_us;
        if (lent->in_flight > 0) {
            return false;
        }
        end_lent(s, now_us, i);
        return true;
    }
    return false;
}

/* Ends expired loans. The units of a grant stay counted while a call that
 * arrived on it runs. */
void
GwSteer_ExpireLent(GwSteer *s, int64_t now_us)
{
    for (guint i = s->lent->len; i-- > 0;) {
        const GwLent *lent = &g_array_index(s->lent, GwLent, i);
        bool expired = lent->expires_us <= now_us;
#if GW_MUTANT != 26 /* breaks: a shift unit of a running call stays out */
        expired = expired && lent->in_flight == 0;
#endif
        if (expired) {
            s->has_freed_units = true;
            end_lent(s, now_us, i);
        }
    }
}
