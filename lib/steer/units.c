/* Slot units and uses: which entry may use a unit, and when it is in use.
 * Each server keeps a bitmap of its free units, so that a choice reads one
 * counter per server instead of scanning units. */
#include "steer/steer_internal.h"

#include <string.h>

#define USE_INDEX_BITS 20
#define USE_INDEX_MASK ((1u << USE_INDEX_BITS) - 1)

/* Grows the records to `slots`. Records beyond a lowered count are kept:
 * calls on them finish, and loans of them are counted until they expire. */
void
GwBackend_Resize(GwBackendState *b, uint32_t slots)
{
    if (slots > b->slot_capacity) {
        b->slots = g_renew(GwSlot, b->slots, slots);
        memset(b->slots + b->slot_capacity, 0,
               (slots - b->slot_capacity) * sizeof(GwSlot));
        b->slot_capacity = slots;
    }
    b->slot_count = slots;
}

static void
set_bit(uint64_t *words, uint32_t bit, bool on, uint32_t *count)
{
    uint64_t mask = 1ULL << (bit % 64);
    bool was = (words[bit / 64] & mask) != 0;

    if (on && !was) {
        words[bit / 64] |= mask;
        (*count)++;
    }
    if (!on && was) {
        words[bit / 64] &= ~mask;
        (*count)--;
    }
}

/* Recomputes the free bits of one unit. A unit is free only when it runs no
 * call, is not lent and its index is below the slot count. */
void
GwBackend_RefreshSlot(GwBackendState *b, uint32_t slot, int64_t now_us)
{
    const GwSlot *u = &b->slots[slot];
    bool idle = b->present && slot < b->slot_count && !u->in_use;

#if GW_MUTANT == 20 /* breaks: a lent unit is not used by its lender */
#else
    idle = idle && u->lent_loan == 0;
#endif
#if GW_MUTANT == 21 /* breaks: units above a lowered cap take no new work */
    idle = !u->in_use && u->lent_loan == 0;
#endif
    bool own = idle && u->is_own && u->blocked_until_us <= now_us;
    set_bit(b->own_free, slot, own, &b->own_free_count);
    set_bit(b->borrowed_free, slot, idle && !own && u->borrowed_loan != 0,
            &b->borrowed_free_count);
}

/* Recomputes the free bits of all units, after a change of seat holders, of
 * the configuration or of blocks. */
void
GwBackend_RefreshAll(GwBackendState *b, int64_t now_us)
{
    for (uint32_t i = 0; i < b->slot_capacity; i++) {
        GwBackend_RefreshSlot(b, i, now_us);
    }
}

/* A free unit for a call with that deadline, or GW_NONE. Own units are used
 * first, so that borrowed ones become idle and are returned. A borrowed
 * unit is used only for a call whose deadline is before the end of the
 * loan. */
uint32_t
GwBackend_FindSlot(const GwBackendState *b, int64_t deadline_us)
{
    for (uint32_t w = 0; b->own_free_count > 0 && w < GW_SLOT_WORDS; w++) {
        if (b->own_free[w] != 0) {
            return w * 64 + (uint32_t)__builtin_ctzll(b->own_free[w]);
        }
    }
    if (b->borrowed_free_count == 0) {
        return GW_NONE;
    }
    for (uint32_t w = 0; w < GW_SLOT_WORDS; w++) {
        for (uint64_t left = b->borrowed_free[w]; left != 0;
             left &= left - 1) {
            uint32_t i = w * 64 + (uint32_t)__builtin_ctzll(left);
#if GW_MUTANT == 22 /* breaks: no call outlives the loan it runs on */
            return i;
#endif
            if (deadline_us < b->slots[i].borrowed_until_us) {
                return i;
            }
        }
    }
    return GW_NONE;
}

/* The state of a server by id, or NULL. A removed server is found until its
 * state is freed. */
GwBackendState *
GwSteer_FindBackend(const GwSteer *s, uint64_t id)
{
    return g_hash_table_lookup(s->by_id, &id);
}

GwServiceState *
GwSteer_FindService(const GwSteer *s, uint64_t hash)
{
    for (guint i = 0; i < s->services->len; i++) {
        GwServiceState *service = g_ptr_array_index(s->services, i);
        if (service->hash == hash) {
            return service;
        }
    }
    return NULL;
}

static void
grow_uses(GwSteer *s)
{
    uint32_t old = s->use_capacity;

    s->use_capacity = old == 0 ? 256 : old * 2;
    s->uses = g_renew(GwUse, s->uses, s->use_capacity);
    memset(s->uses + old, 0, (s->use_capacity - old) * sizeof(GwUse));
    for (uint32_t i = s->use_capacity; i-- > old;) {
        s->uses[i].next_free = s->use_free;
        s->use_free = i;
    }
}

/* Starts a use and returns it with its handle, never 0. The handle contains
 * a generation, so that a second GwSteer_Done() for the same use has no
 * effect. */
GwUse *
GwSteer_BeginUse(GwSteer *s, int64_t now_us, GwServiceState *service,
                 uint32_t *handle)
{
    if (s->use_free == GW_NONE) {
        grow_uses(s);
    }
    uint32_t index = s->use_free;
    GwUse *use = &s->uses[index];
    uint32_t generation = use->generation + 1;

    s->use_free = use->next_free;
    if (generation > UINT32_MAX >> USE_INDEX_BITS) {
        generation = 1;
    }
    *use = (GwUse){.generation = generation,
                   .active = true,
                   .service = service,
                   .slot = GW_NONE,
                   .started_us = now_us};
    service->in_flight++;
    s->use_active++;
    *handle = generation << USE_INDEX_BITS | index;
    return use;
}

/* The active use of a handle; NULL when it has ended or is held. */
GwUse *
GwSteer_FindUse(GwSteer *s, uint32_t handle)
{
    uint32_t index = handle & USE_INDEX_MASK;

    if (index >= s->use_capacity) {
        return NULL;
    }
    GwUse *use = &s->uses[index];
    bool match = use->active && !use->held &&
                 use->generation == handle >> USE_INDEX_BITS;
    return match ? use : NULL;
}

static void
release_link_unit(GwSteer *s, const GwUse *use)
{
    GwCapState *link = GwSteer_FindCap(s->links, use->link);

    if (link != NULL) {
        link->units[use->link_unit].in_use = false;
    }
}

static void
release_slot(GwSteer *s, int64_t now_us, const GwUse *use)
{
    if (use->slot == GW_NONE) {
        return;
    }
    GwSlot *unit = &use->backend->slots[use->slot];

    unit->in_use = false;
    if (unit->borrowed_loan != 0) {
        GwBorrowed *b = GwSteer_FindBorrowed(s, unit->borrowed_loan);
        if (b != NULL) {
            b->used_us = now_us;
        }
    }
    GwBackend_RefreshSlot(use->backend, use->slot, now_us);
}

/* Frees everything that a use occupies. */
void
GwSteer_EndUse(GwSteer *s, int64_t now_us, GwUse *use)
{
    if (use->backend != NULL) {
        use->backend->in_flight--;
        release_slot(s, now_us, use);
    }
    GwLent *lent =
        use->lent_loan != 0 ? GwSteer_FindLent(s, use->lent_loan) : NULL;
    if (lent != NULL) {
        lent->in_flight--;
    }
    GwBorrowed *borrowed = use->borrowed_loan != 0
                               ? GwSteer_FindBorrowed(s, use->borrowed_loan)
                               : NULL;
    if (borrowed != NULL) {
        borrowed->busy &= ~(1u << use->borrowed_bit);
        borrowed->used_us = now_us;
    }
    if (use->link != 0) {
        release_link_unit(s, use);
    }
    if (!use->held) {
        use->service->in_flight--;
    }
    use->active = false;
    use->next_free = s->use_free;
    s->use_free = (uint32_t)(use - s->uses);
    s->use_active--;
}

/* Ends the held uses whose time is over; true if any did. */
bool
GwSteer_EndHeldUses(GwSteer *s, int64_t now_us)
{
    bool any = false;

    for (uint32_t i = 0; s->use_active > 0 && i < s->use_capacity; i++) {
        GwUse *use = &s->uses[i];
        if (use->active && use->held && use->hold_until_us <= now_us) {
            GwSteer_EndUse(s, now_us, use);
            any = true;
        }
    }
    return any;
}
