/* Shifts: calls relayed to another region. The destination grants units of
 * the shift's cap, up to the number its own idle slots allow. The source
 * sends a call only on a granted unit and a unit of the link between the
 * regions. */
#include "steer/steer_internal.h"

#include <string.h>

/* The owner id of a shift's units, equal in all regions and configuration
 * versions. */
uint64_t
GwShift_Owner(const GwConfig *c, const GwShift *shift)
{
    char text[GW_NAME_MAX * 3 + 8];

    g_snprintf(text, sizeof(text), "%s|%s|%s",
               c->services[shift->service].name, c->regions[shift->from].name,
               c->regions[shift->to].name);
    return GwName_Hash64(text);
}

/* The owner id of a link's units. */
uint64_t
GwLink_Owner(const GwConfig *c, const GwLink *link)
{
    char text[GW_NAME_MAX * 2 + 8];

    g_snprintf(text, sizeof(text), "%s|%s", c->regions[link->from].name,
               c->regions[link->to].name);
    return GwName_Hash64(text);
}

GwCapState *
GwSteer_FindCap(const GPtrArray *caps, uint64_t owner)
{
    for (guint i = 0; i < caps->len; i++) {
        GwCapState *cap = g_ptr_array_index(caps, i);
        if (cap->owner == owner) {
            return cap;
        }
    }
    return NULL;
}

/* When a unit that the configuration moved to another seat may be used again.
 * An entry that has not yet applied the new version may still use or lend the
 * unit by the old version; the block is longer than the distribution of a
 * version, a loan and the longest call together. */
int64_t
GwSteer_RemapBlock(const GwSteer *s, int64_t now_us, const GwSlot *unit,
                   uint32_t seat)
{
    uint32_t longest_ms = 0;

    if (unit->seat == seat || unit->is_own) {
        return unit->blocked_until_us;
    }
    for (uint32_t i = 0; i < s->config->service_count; i++) {
        longest_ms = MAX(longest_ms, s->config->services[i].deadline_max_ms);
    }
    int64_t loan_ms =
        (int64_t)s->params.loan_term_ms + s->params.loan_margin_ms;
    return now_us + GW_MS(loan_ms + longest_ms) + GW_REMAP_SLACK_US;
}

static GwCapState *
find_or_add_cap(GPtrArray *caps, uint64_t owner)
{
    GwCapState *cap = GwSteer_FindCap(caps, owner);

    if (cap == NULL) {
        cap = g_new0(GwCapState, 1);
        cap->owner = owner;
        g_ptr_array_add(caps, cap);
    }
    cap->present = true;
    return cap;
}

/* Sets the cap and the seat of each unit. Only the region that has the
 * seats keeps units: the destination of a shift, the source of a link. */
static void
set_cap(GwSteer *s, int64_t now_us, GwCapState *cap, uint32_t count,
        bool has_seats)
{
    cap->cap = count;
    if (!has_seats || s->seat_total == 0) {
        return;
    }
    uint32_t old = cap->capacity;
    if (count > old) {
        cap->units = g_renew(GwSlot, cap->units, count);
        memset(cap->units + old, 0, (count - old) * sizeof(GwSlot));
        cap->capacity = count;
    }
    for (uint32_t i = 0; i < count; i++) {
        GwSlot *unit = &cap->units[i];
        uint32_t seat = GwSeat_OfUnit(cap->owner, i, count, s->seat_total);
        if (i < old) {
            unit->blocked_until_us = GwSteer_RemapBlock(s, now_us, unit, seat);
            s->unblock_us = MAX(s->unblock_us, unit->blocked_until_us);
        }
        unit->seat = seat;
    }
}

/* Applies the shifts and links of this region; the state of existing ones
 * is kept. */
void
GwSteer_ConfigureCaps(GwSteer *s, int64_t now_us)
{
    const GwConfig *c = s->config;

    for (guint i = 0; i < s->shifts->len; i++) {
        ((GwCapState *)g_ptr_array_index(s->shifts, i))->present = false;
    }
    for (guint i = 0; i < s->links->len; i++) {
        ((GwCapState *)g_ptr_array_index(s->links, i))->present = false;
    }
    for (uint32_t i = 0; i < c->shift_count; i++) {
        const GwShift *shift = &c->shifts[i];
        if (shift->from != s->region && shift->to != s->region) {
            continue;
        }
        GwCapState *cap = find_or_add_cap(s->shifts, GwShift_Owner(c, shift));
        cap->service = shift->service;
        cap->from = shift->from;
        cap->to = shift->to;
        cap->percent = shift->percent;
        set_cap(s, now_us, cap, shift->cap, shift->to == s->region);
    }
    for (uint32_t i = 0; i < c->link_count; i++) {
        const GwLink *link = &c->links[i];
        if (link->from == s->region) {
            GwCapState *cap = find_or_add_cap(s->links, GwLink_Owner(c, link));
            cap->from = link->from;
            cap->to = link->to;
            set_cap(s, now_us, cap, link->cap, true);
        }
    }
}

static bool
is_outbound_shift(const GwSteer *s, const GwCapState *shift, uint32_t service)
{
    return shift->present && shift->service == service &&
           shift->from == s->region && shift->cap > 0;
}

/* Whether a shift moves calls of the service out of this region. */
bool
GwSteer_HasShift(const GwSteer *s, uint32_t service)
{
    for (guint i = 0; i < s->shifts->len; i++) {
        if (is_outbound_shift(s, g_ptr_array_index(s->shifts, i), service)) {
            return true;
        }
    }
    return false;
}

/* Decides at random, by the configured percentage, whether to shift a call. */
bool
GwSteer_ShouldShift(GwSteer *s, uint32_t service)
{
    uint32_t percent = 0;

    for (guint i = 0; i < s->shifts->len; i++) {
        const GwCapState *shift = g_ptr_array_index(s->shifts, i);
        if (is_outbound_shift(s, shift, service)) {
            percent += shift->percent;
        }
    }
    return percent > 0 && GwRng_Below(&s->rng, 100) < percent;
}

/* At the destination: whether a relayed call may run on its grant. The grant
 * must have been given by this entry to that peer, be unexpired and have a
 * unit left. The source applies the same limits, but the destination does not
 * rely on that. */
bool
GwSteer_GrantAdmits(const GwSteer *s, int64_t now_us,
                    const GwPickRequest *request)
{
    const GwLent *lent = GwSteer_FindLent(s, request->grant);
    const GwServiceState *service = s->by_index[request->service];

    if (lent == NULL || lent->kind != GW_UNIT_SHIFT ||
        lent->service != service->hash ||
        !GwNodeId_Equal(lent->peer, request->relay_from) ||
        lent->expires_us <= now_us) {
        return false;
    }
    const GwCapState *shift = GwSteer_FindCap(s->shifts, lent->units[0].owner);
    if (shift == NULL || !shift->present) {
        return false;
    }
    uint32_t allowed = 0;
    for (uint32_t i = 0; i < lent->unit_count; i++) {
        allowed += lent->units[i].index < shift->cap;
    }
#if GW_MUTANT == 28 /* breaks: a grant carries no more calls than units */
    allowed = UINT32_MAX;
#endif
    return lent->in_flight < allowed;
}

static uint32_t
free_link_unit(const GwCapState *link, int64_t now_us)
{
    for (uint32_t i = 0; i < link->cap && i < link->capacity; i++) {
        const GwSlot *unit = &link->units[i];
#if GW_MUTANT == 29 /* breaks: a link unit carries one call */
        bool busy = false;
#else
        bool busy = unit->in_use;
#endif
        if (unit->is_own && !busy && unit->blocked_until_us <= now_us) {
            return i;
        }
    }
    return GW_NONE;
}

/* The link from this region to another; NULL when unlimited. */
static GwCapState *
find_link(const GwSteer *s, uint32_t to)
{
    for (guint i = 0; i < s->links->len; i++) {
        GwCapState *link = g_ptr_array_index(s->links, i);
        if (link->present && link->to == to) {
            return link;
        }
    }
    return NULL;
}

/* An idle unit of a grant below the shift's cap; GW_NONE if none. */
static uint32_t
free_grant_unit(const GwBorrowed *b, const GwCapState *shift)
{
    for (uint32_t i = 0; i < b->unit_count; i++) {
        if ((b->busy & 1u << i) == 0 && b->units[i].index < shift->cap) {
            return i;
        }
    }
    return GW_NONE;
}

static bool
try_grant(GwSteer *s, int64_t now_us, GwServiceState *service, GwBorrowed *b,
          const GwMembers *members, GwPick *out)
{
    const GwCapState *shift = GwSteer_FindCap(s->shifts, b->units[0].owner);

    if (shift == NULL || !is_outbound_shift(s, shift, service->index) ||
        !GwSteer_IsPeer(members, b->peer, s->region_hash[shift->to])) {
        return false;
    }
    uint32_t bit = free_grant_unit(b, shift);
    GwCapState *link = find_link(s, shift->to);
    uint32_t link_unit = link != NULL ? free_link_unit(link, now_us) : 0;
    if (bit == GW_NONE || link_unit == GW_NONE) {
        return false;
    }
    GwUse *use = GwSteer_BeginUse(s, now_us, service, &out->use);
    use->borrowed_loan = b->id;
    use->borrowed_bit = bit;
    b->busy |= 1u << bit;
    b->used_us = now_us;
    if (link != NULL) {
        use->link = link->owner;
        use->link_unit = link_unit;
        link->units[link_unit].in_use = true;
    }
    out->kind = GW_PICK_PEER;
    out->peer = b->peer;
    out->grant = b->id;
    g_strlcpy(out->address,
              GwMembers_Find(members, b->peer.node)->info.peer_address,
              GW_ADDR_MAX);
    return true;
}

/* Whether a call sent on the grant now can be answered before its deadline.
 * A call answered later occupies a slot in the other region and ends as
 * UNKNOWN here. */
static bool
is_in_time(const GwServiceState *service, int64_t now_us, const GwBorrowed *b,
           int64_t deadline_us)
{
    int64_t needed_us = b->round_trip_us + 2 * service->latency_us;

    return deadline_us - now_us > needed_us;
}

/* Sends the call on a grant that ends after the call's deadline; false when
 * there is none. The search starts at a random grant. A call that is too
 * late for every grant is refused if the local place accepts no calls:
 * otherwise it would delay the calls behind it until they are too late as
 * well. */
bool
GwSteer_PickPeer(GwSteer *s, int64_t now_us, GwServiceState *service,
                 const GwPickRequest *request, const GwMembers *members,
                 GwPick *out)
{
    uint32_t n = s->borrowed->len;
    uint32_t start = n > 0 ? GwRng_Below(&s->rng, n) : 0;
    bool late = false;

    if (s->fenced) {
        return false;
    }
    for (uint32_t i = 0; i < n; i++) {
        GwBorrowed *b =
            &g_array_index(s->borrowed, GwBorrowed, (start + i) % n);
        if (b->kind != GW_UNIT_SHIFT || b->service != service->hash ||
            b->dropped || b->pause_until_us > now_us ||
            b->use_until_us <= request->deadline_us) {
            continue;
        }
        if (!is_in_time(service, now_us, b, request->deadline_us)) {
            late = true;
            continue;
        }
        if (try_grant(s, now_us, service, b, members, out)) {
            return true;
        }
    }
    if (late && !GwService_HasAvailable(service, now_us)) {
        out->kind = GW_PICK_REFUSE;
        out->reason = GW_REASON_DEADLINE;
        out->retry_after_ms = GW_RETRY_HINT_MS;
        return true;
    }
    return false;
}

static uint32_t
count_busy_grants(const GwSteer *s, uint64_t service)
{
    uint32_t count = 0;

    for (guint i = 0; i < s->borrowed->len; i++) {
        const GwBorrowed *b = &g_array_index(s->borrowed, GwBorrowed, i);
        if (b->kind == GW_UNIT_SHIFT && b->service == service) {
            count += (uint32_t)__builtin_popcount(b->busy);
        }
    }
    return count;
}

static uint32_t
count_free_grants(const GwSteer *s, uint64_t service)
{
    uint32_t count = 0;

    for (guint i = 0; i < s->borrowed->len; i++) {
        const GwBorrowed *b = &g_array_index(s->borrowed, GwBorrowed, i);
        if (b->kind == GW_UNIT_SHIFT && b->service == service && !b->dropped) {
            count += b->unit_count - (uint32_t)__builtin_popcount(b->busy);
        }
    }
    return count;
}

/* The number of further calls to relay now: all waiting calls when the local
 * place accepts none, or has no slot and no peer of the region lends a slot;
 * otherwise the configured percentage. */
static uint32_t
count_wanted_grants(const GwSteer *s, int64_t now_us,
                    const GwServiceState *service, uint32_t queued)
{
    uint32_t percent = 0;

    if (!GwSteer_CanServe(s, now_us, service->index)) {
        return queued;
    }
    for (guint i = 0; i < s->shifts->len; i++) {
        const GwCapState *shift = g_ptr_array_index(s->shifts, i);
        if (is_outbound_shift(s, shift, service->index)) {
            percent += shift->percent;
        }
    }
    uint32_t demand = service->in_flight + queued;
    uint32_t share = (demand * MIN(percent, 100) + 99) / 100;
    uint32_t relayed = count_busy_grants(s, service->hash);
    share = share > relayed ? share - relayed : 0;
    bool has_no_lender = service->no_lender_us != 0 &&
                         now_us - service->no_lender_us < GW_NO_LENDER_US;
    if (has_no_lender && GwSteer_CountFreeUnits(service, now_us) == 0) {
        return MAX(share, queued);
    }
    return share;
}

static void
ask_for_grants(GwSteer *s, int64_t now_us, GwServiceState *service,
               uint32_t queued, const GwMembers *members, GwActions *out)
{
    GwLoanRequestState *asking = &service->grants;
    uint32_t regions = 0;

    if (asking->seq != 0 && now_us - asking->asked_us < GW_ASK_TIMEOUT_US) {
        return;
    }
    asking->seq = 0;
    uint32_t want = count_wanted_grants(s, now_us, service, queued);
    uint32_t have = count_free_grants(s, service->hash);
    if (want <= have || now_us < asking->next_us) {
        return;
    }
    for (guint i = 0; i < s->shifts->len; i++) {
        const GwCapState *shift = g_ptr_array_index(s->shifts, i);
        if (is_outbound_shift(s, shift, service->index)) {
            regions |= 1u << shift->to;
        }
    }
    if (regions == 0) {
        return;
    }
    GwLoanAsk ask = {.service = service->hash,
                     .from_region = s->region_hash[s->region],
                     .count = MIN(want - have, GW_UNITS_MAX),
                     .kind = GW_UNIT_SHIFT};
    GwSteer_SendAsk(s, now_us, members, asking, regions, &ask, out);
}

/* Requests grants from other regions for the calls that cannot run here. */
void
GwSteer_TickGrants(GwSteer *s, int64_t now_us, const GwMembers *members,
                   const uint32_t *queued, GwActions *out)
{
    if (s->leaving || s->fenced) {
        return;
    }
    for (uint32_t i = 0; i < s->config->service_count; i++) {
        /* Without demand no grant is needed; skips the scan of shifts. */
        bool idle = queued[i] == 0 && s->by_index[i]->in_flight == 0;
        if (!idle && GwSteer_HasShift(s, i)) {
            ask_for_grants(s, now_us, s->by_index[i], queued[i], members, out);
        }
    }
}

static uint32_t
count_lent_units(const GwCapState *shift)
{
    uint32_t lent = 0;

    for (uint32_t i = 0; i < shift->capacity; i++) {
        lent += shift->units[i].lent_loan != 0;
    }
    return lent;
}

static uint32_t
count_own_units(const GwCapState *shift)
{
    uint32_t own = 0;

    for (uint32_t i = 0; i < shift->cap && i < shift->capacity; i++) {
        own += shift->units[i].is_own;
    }
    return own;
}

/* The number of further units that may be granted now. Shifted calls reach
 * cold caches, so the level rises by this entry's share of warmup_step per
 * second and falls at the same rate when unused. The shares of all entries
 * add up to warmup_step; the level may exceed the granted units by an
 * eighth of a second's growth, and by at least one unit. */
static uint32_t
warm_allowance(const GwSteer *s, int64_t now_us, GwCapState *shift)
{
    int64_t lent_milli = (int64_t)count_lent_units(shift) * 1000;
    int64_t rate =
        (int64_t)s->config->warmup_step * 1000 * count_own_units(shift);
    int64_t age_us = MIN(now_us - shift->level_at_us, GW_MS(60000));

    if (shift->cap == 0) {
        return 0;
    }
    rate /= shift->cap;
    int64_t step = rate * age_us / GW_MS(1000);
    int64_t burst = MAX(rate / 8, 1000);
    int64_t top = lent_milli + burst;
    if (shift->level_milli > top) {
        shift->level_milli = MAX(top, shift->level_milli - step);
    }
    else {
        shift->level_milli = MIN(top, shift->level_milli + step);
    }
    shift->level_at_us = now_us;
#if GW_MUTANT == 30 /* breaks: grants grow by warmup_step a second at most */
    return GW_UNITS_MAX;
#endif
    int64_t left = shift->level_milli - lent_milli;
    return left > 0 ? (uint32_t)(left / 1000) : 0;
}

static void
take_shift_units(int64_t now_us, GwCapState *shift, uint32_t count,
                 GwLent *lent)
{
    uint32_t top = MIN(shift->cap, shift->capacity);

    for (uint32_t i = 0; i < top && lent->unit_count < count; i++) {
        GwSlot *unit = &shift->units[i];
#if GW_MUTANT == 31 /* breaks: a shift unit is out on one grant only */
        bool idle = unit->is_own;
#else
        bool idle = unit->is_own && unit->lent_loan == 0 &&
                    unit->blocked_until_us <= now_us;
#endif
        if (idle) {
            unit->lent_loan = lent->id;
            lent->units[lent->unit_count++] = (GwUnit){
                .kind = GW_UNIT_SHIFT, .owner = shift->owner, .index = i};
        }
    }
}

static GwCapState *
find_asked_shift(const GwSteer *s, const GwLoanAsk *ask)
{
    for (guint i = 0; i < s->shifts->len; i++) {
        GwCapState *shift = g_ptr_array_index(s->shifts, i);
        if (shift->present && shift->to == s->region &&
            s->region_hash[shift->from] == ask->from_region &&
            s->by_index[shift->service]->hash == ask->service) {
            return shift;
        }
    }
    return NULL;
}

/* At the destination: grants units of the shift to an entry of the source
 * region, no more than this entry's idle slots can serve after local
 * demand. */
void
GwSteer_ReceiveGrantAsk(GwSteer *s, int64_t now_us, const GwMessage *msg,
                        const GwMembers *members, const uint32_t *queued,
                        GwActions *out)
{
    const GwLoanAsk *ask = &msg->u.ask;
    GwCapState *shift = find_asked_shift(s, ask);

    if (shift == NULL ||
        !GwSteer_IsPeer(members, msg->from, ask->from_region)) {
        return;
    }
    GwServiceState *service = s->by_index[shift->service];
    uint32_t count = 0;
    if (GwSteer_CanServe(s, now_us, service->index)) {
        count =
            GwSteer_CountGrantable(s, now_us, service, queued[service->index]);
    }
    count = MIN(count, MIN(ask->count, GW_UNITS_MAX));
    count = MIN(count, warm_allowance(s, now_us, shift));
    GwLent lent = {.id = GwSteer_NextLoan(s),
                   .kind = GW_UNIT_SHIFT,
                   .peer = msg->from,
                   .service = ask->service,
                   .expires_us = GwSteer_LoanExpiry(s, now_us)};
    take_shift_units(now_us, shift, count, &lent);
    if (lent.unit_count > 0) {
        g_array_append_val(s->lent, lent);
    }
    GwSteer_SendGive(s, members, ask, &lent, out);
}
