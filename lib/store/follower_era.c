/* Which answers count while the store is restored from copies. */
#include "store/follower_internal.h"

#ifndef GW_MUTANT
#define GW_MUTANT 0 /* tests/mutants.sh disables one safeguard at a time */
#endif

/* Answers of an earlier era, to calls made after the newest one was known,
 * after which that one counts as a mistake. */
#define CONTRADICTIONS_MAX 3

uint32_t
GwFollower_Era(const GwFollower *f)
{
    return f->era;
}

/* Entries that read only for want of a recent proof wait for a moment: the
 * first reader of the region is about to have the rows. */
static int64_t
first_read_us(const GwFollower *f, int64_t now_us)
{
    return f->reads == GW_READS_STALE ? now_us + GwFollower_PeriodUs(f)
                                      : now_us;
}

void
GwFollower_BeginEra(GwFollower *f, int64_t now_us, uint32_t era)
{
    GwRowCache_ExpectEra(f->cache, now_us, era);
    f->era = era;
    f->contradictions = 0;
    f->phase = GW_CALL_READ;
    f->due_us = first_read_us(f, now_us);
    for (uint32_t i = 0; i < GW_FOLLOWER_CALLS_MAX; i++) {
        f->calls[i].is_superseded = f->calls[i].id != 0;
    }
}

void
GwFollower_NoteEra(GwFollower *f, int64_t now_us, uint32_t era)
{
    if (era >= f->refuted_era) {
        f->refuted_era = 0;
    }
    if (f->era == 0 && GwStoreVersion_IsNone(GwRowCache_Version(f->cache))) {
        f->era = era; /* nothing is held of an earlier one */
        return;
    }
    if (era > f->era) {
        GwFollower_BeginEra(f, now_us, era);
    }
}

bool
GwFollower_IsRefuted(const GwFollower *f, uint32_t era)
{
    return f->refuted_era != 0 && era >= f->refuted_era;
}

void
GwFollower_ExpectEra(GwFollower *f, int64_t now_us, uint32_t era)
{
    if (!GwFollower_IsRefuted(f, era)) {
        GwRowCache_ExpectEra(f->cache, now_us, era);
    }
}

/* A call that was made after the newest era was known is answered in an earlier
 * one. Once may be a mistake of the answer; but if the newest era is the
 * mistake, no answer would ever count again. */
static void
note_contradiction(GwFollower *f, int64_t now_us, uint32_t era)
{
    if (++f->contradictions < CONTRADICTIONS_MAX) {
        return;
    }
#if GW_MUTANT == 126 /* breaks: an era that the store denies is given up */
    return;
#endif
    f->refuted_era = f->era;
    GwRowCache_ForgetVersions(f->cache);
    f->version = GwRowCache_Version(f->cache);
    GwFollower_BeginEra(f, now_us, era);
}

/* Whether an answer of that era is one to the call. The first page of a table
 * may be of a newer era than the call, everything else is of no use then. */
bool
GwFollower_AcceptEra(GwFollower *f, int64_t now_us, GwFollowerCall *call,
                     uint32_t era)
{
#if GW_MUTANT == 125 /* breaks: answers of earlier eras are dropped */
    return true;
#endif
    GwFollower_NoteEra(f, now_us, era);
    if (era < f->era) {
        if (call->era == f->era) {
            note_contradiction(f, now_us, era);
        }
        return false;
    }
    f->contradictions = 0;
    if (call->kind == GW_CALL_READ && call->pages == NULL) {
        call->era = era;
        call->is_superseded = false;
    }
    return call->era == era;
}
