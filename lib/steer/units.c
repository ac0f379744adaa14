/* Slot units and uses: who may use a unit, and from when to when it is in
 * use. Each server keeps a bitmap of its free units, so that a choice reads a
 * counter per server and never scans units. */
#include "steer/steer_internal.h"

#include <string.h>

#define USE_INDEX_BITS 20
#define USE_INDEX_MASK ((1u << USE_INDEX_BITS) - 1)

/* Grows the records to `slots`. Records beyond a lowered count are kept:
 * calls on them run out, and loans of them are counted to their end. */
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

/* Brings the free bits of one unit in line with its record. A unit is free
 * only when it runs no call, is not out on loan and lies below the cap. */
void
GwBackend_RefreshSlot(GwBackendState *b, uint32_t slot, int64_t now_us)
{
    const GwSlot *u = &b->slots[slot];
    bool idle = b->present && slot < b->slot_count && !u->in_use;

#if GW_MUTANT == 20 /* breaks: a lent unit is not used by its lender */
#else
    idle = idle && u->lent == 0;
#endif
#if GW_MUTANT == 21 /* breaks: units above a lowered cap take no new work */
    idle = !u->in_use && u->lent == 0;
#endif
    bool own = idle && u->own && u->blocked_until_us <= now_us;
    set_bit(b->own_free, slot, own, &b->own_free_count);
    set_bit(b->borrowed_free, slot, idle && !own && u->borrowed != 0,
            &b->borrowed_free_count);
}

/* After a change of holding, of the configuration or of blocks. */
void
GwBackend_RefreshAll(GwBackendState *b, int64_t now_us)
{
    for (uint32_t i = 0; i < b->slot_capacity; i++) {
        GwBackend_RefreshSlot(b, i, now_us);
    }
}

/* A free unit for a call of that deadline, or GW_NONE. Own units go first, so
 * that borrowed ones fall idle and are returned. A borrowed unit carries a
 * call only if the call is over before the loan is. */
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

/* The state of a server known by id, also of one that left the
 * configuration while something of it runs; or NULL. */
GwBackendState *
GwSteer_Backend(const GwSteer *s, uint64_t id)
{
    return g_hash_table_lookup(s->by_id, &id);
}

GwServiceState *
GwSteer_ServiceOf(const GwSteer *s, uint64_t hash)
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

/* A new use with its handle, never 0. The handle carries a generation, so
 * that a second Done of one use finds nothing. */
GwUse *
GwSteer_Take(GwSteer *s, int64_t now_us, GwServiceState *service,
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

/* The use in flight under a handle; NULL when it ended or is held. */
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
    if (unit->borrowed != 0) {
        GwBorrowed *b = GwSteer_FindBorrowed(s, unit->borrowed);
        if (b != NULL) {
            b->used_us = now_us;
        }
    }
    GwBackend_RefreshSlot(use->backend, use->slot, now_us);
}

/* Gives back all that a use holds. */
void
GwSteer_Release(GwSteer *s, int64_t now_us, GwUse *use)
{
    if (use->backend != NULL) {
        use->backend->in_flight--;
        release_slot(s, now_us, use);
    }
    GwLent *lent = use->lent != 0 ? GwSteer_FindLent(s, use->lent) : NULL;
    if (lent != NULL) {
        lent->in_flight--;
    }
    GwBorrowed *borrowed =
        use->borrowed != 0 ? GwSteer_FindBorrowed(s, use->borrowed) : NULL;
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

/* Ends the holds that have run out; true when any did. */
bool
GwSteer_ReleaseHeld(GwSteer *s, int64_t now_us)
{
    bool any = false;

    for (uint32_t i = 0; s->use_active > 0 && i < s->use_capacity; i++) {
        GwUse *use = &s->uses[i];
        if (use->active && use->held && use->hold_until_us <= now_us) {
            GwSteer_Release(s, now_us, use);
            any = true;
        }
    }
    return any;
}
