#include "store/follower_internal.h"

#ifndef GW_MUTANT
#define GW_MUTANT 0 /* tests/mutants.sh disables one safeguard at a time */
#endif

/* Shares of the bound: between two calls, and the longest back-off. A change
 * takes a call, a report and a fetch to be in force everywhere, and after an
 * outage of the store a back-off before that. */
#define PERIOD_SHARE    0.2
#define RETRY_MAX_SHARE 0.4
/* Back-off after a failed call; doubles with each further failure. */
#define RETRY_MIN_MS 150

/* The store counts as away without an answer for this time and two periods. */
#define AWAY_US 1000000

GwFollower *
GwFollower_Create(GwRowChanged changed, void *ctx, int64_t now_us,
                  uint32_t bound_ms)
{
    GwFollower *f = g_new0(GwFollower, 1);

    f->cache = GwRowCache_Create(changed, ctx);
    f->phase = GW_CALL_READ;
    f->answered_us = now_us;
    f->created_us = now_us;
    f->bound_ms = bound_ms;
    return f;
}

static void
end_call(GwFollowerCall *call)
{
    GwRowSet_Free(call->pages);
    *call = (GwFollowerCall){0};
}

static void
end_all_calls(GwFollower *f)
{
    for (uint32_t i = 0; i < GW_FOLLOWER_CALLS_MAX; i++) {
        end_call(&f->calls[i]);
    }
}

void
GwFollower_Free(GwFollower *f)
{
    if (f != NULL) {
        end_all_calls(f);
        GwRowCache_Free(f->cache);
        g_free(f);
    }
}

GwRowCache *
GwFollower_Cache(const GwFollower *f)
{
    return f->cache;
}

void
GwFollower_SetBound(GwFollower *f, uint32_t bound_ms)
{
    f->bound_ms = bound_ms;
}

void
GwFollower_FollowOther(GwFollower *f)
{
    f->follows_other = true;
}

/* Whether calls wait for news about another table. */
static bool
waits_for_other(const GwFollower *f)
{
    return f->follows_other && f->is_known && f->phase == GW_CALL_FEED;
}

/* Sets where the next call continues: after the copy's version, or at the
 * beginning if the copy is of an earlier era. */
static void
continue_from_copy(GwFollower *f)
{
    f->version = GwRowCache_Version(f->cache);
    f->phase =
        f->is_known && f->version.era == f->era ? GW_CALL_FEED : GW_CALL_READ;
}

/* An entry that begins to read the store continues from the version that it
 * has received from peers. */
bool
GwFollower_SetReads(GwFollower *f, int64_t now_us, GwReadReason reason)
{
    bool is_change = (f->reads == GW_READS_NOT) != (reason == GW_READS_NOT);

    f->reads = reason;
    if (!is_change) {
        return false;
    }
    f->answered_us = now_us; /* not called, so no outage */
    f->has_answered = false;
    f->failures = 0;
    f->is_refused = false;
    f->due_us = now_us;
    end_all_calls(f);
    if (reason != GW_READS_NOT && f->is_known) {
        continue_from_copy(f);
    }
    if (waits_for_other(f)) {
        f->due_us = INT64_MAX;
    }
    return true;
}

bool
GwFollower_Reads(const GwFollower *f)
{
    return f->reads != GW_READS_NOT;
}

bool
GwFollower_IsKnown(const GwFollower *f)
{
    return f->is_known;
}

int64_t
GwFollower_PeriodUs(const GwFollower *f)
{
    return (int64_t)(PERIOD_SHARE * f->bound_ms * 1000);
}

bool
GwFollower_IsHealthy(const GwFollower *f, int64_t now_us)
{
    return GwFollower_Reads(f) && f->is_known && f->has_answered &&
           f->failures == 0 &&
           GwFollower_UnansweredUs(f, now_us) <= GwFollower_PeriodUs(f);
}

static int64_t
retry_us(const GwFollower *f)
{
    uint32_t max_ms = (uint32_t)(RETRY_MAX_SHARE * f->bound_ms);
    uint32_t ms = RETRY_MIN_MS;

    for (uint32_t i = 1; i < f->failures && ms < max_ms; i++) {
        ms *= 2;
    }
    return (int64_t)MIN(ms, max_ms) * 1000;
}

static GwFollowerCall *
find_call(GwFollower *f, uint32_t id)
{
    for (uint32_t i = 0; i < GW_FOLLOWER_CALLS_MAX; i++) {
        if (f->calls[i].id == id) {
            return &f->calls[i];
        }
    }
    return NULL;
}

static uint32_t
next_id(GwFollower *f)
{
    f->last_id = f->last_id == UINT32_MAX ? 1 : f->last_id + 1;
    return f->last_id;
}

static GwStoreCall
question(const GwFollowerCall *call)
{
    return (GwStoreCall){
        .id = call->id,
        .kind = call->kind,
        .from_key = GwRowSet_LastKey(call->pages),
        .after = call->after.number,
    };
}

bool
GwFollower_NextCall(GwFollower *f, int64_t now_us, GwStoreCall *next)
{
    GwFollowerCall *call = find_call(f, 0);

    if (!GwFollower_Reads(f) || call == NULL || now_us < f->due_us) {
        return false;
    }
#if GW_MUTANT == 100 /* breaks: an unanswered call does not delay the next */
    if (GwFollower_UnansweredUs(f, now_us) > 0) {
        return false;
    }
#endif
    if (GwFollower_UnansweredUs(f, now_us) > 0) {
        f->failures++;
    }
    *call = (GwFollowerCall){
        .id = next_id(f),
        .kind = f->phase,
        .asked_us = now_us,
        .heard_us = now_us,
        .after = f->version,
        .era = f->era,
    };
    f->due_us = now_us + MAX(GwFollower_PeriodUs(f), retry_us(f));
    *next = question(call);
    return true;
}

/* Appends a page to the call's rows; returns whether more pages follow. The
 * version of the result is that of the first page: the feed sends all later
 * changes. */
static bool
append_page(GwFollowerCall *call, GwRowSet *set)
{
    bool more = set->more && set->rows->len > 0;

    if (call->pages == NULL) {
        call->pages = set;
        return more;
    }
    for (guint i = 0; i < set->rows->len; i++) {
        g_ptr_array_add(call->pages->rows, set->rows->pdata[i]);
    }
    g_ptr_array_set_free_func(set->rows, NULL);
    GwRowSet_Free(set);
    return more;
}

static void
apply_answer(GwFollower *f, int64_t now_us, const GwFollowerCall *call)
{
    const GwRowSet *set = call->pages;
    bool is_older =
        GwStoreVersion_IsNewer(GwRowCache_Version(f->cache), set->version);

    if (call->kind == GW_CALL_FEED) {
        GwRowCache_ApplyChanges(f->cache, now_us, set);
    }
    else {
        GwRowCache_ApplyFull(f->cache, now_us, set);
        f->phase = GW_CALL_FEED;
        f->is_known = true;
    }
    f->version = GwStoreVersion_Max(f->version, set->version);
    if (is_older) {
        return; /* the store may have answered from an older state */
    }
    f->answer =
        (GwPeerProof){.version = set->version, .as_of_us = call->asked_us};
    GwProof_Note(&f->proof, call->asked_us);
}

/* Earlier calls, which are lost or late, are of no use any more. */
static void
supersede_calls(GwFollower *f, int64_t asked_us)
{
    for (uint32_t i = 0; i < GW_FOLLOWER_CALLS_MAX; i++) {
        f->calls[i].is_superseded |=
            f->calls[i].id != 0 && f->calls[i].asked_us < asked_us;
    }
}

bool
GwFollower_OnRows(GwFollower *f, int64_t now_us, uint32_t id, GwRowSet *set,
                  GwStoreCall *next)
{
    GwFollowerCall *call = find_call(f, id);

    if (call == NULL || id == 0) {
        GwRowSet_Free(set);
        return false;
    }
    f->has_answered = true;
    f->failures = 0;
    f->is_refused = false;
    f->answered_us = now_us;
    if (set->version.era == 0) {
        GwRowSet_SetEra(set, call->era);
    }
    if (!GwFollower_AcceptEra(f, now_us, call, set->version.era)) {
        GwRowSet_Free(set);
        end_call(call);
        return false;
    }
    if (append_page(call, set) && call->kind == GW_CALL_READ) {
        call->heard_us = now_us;
        f->due_us = now_us + GwFollower_PeriodUs(f);
        *next = question(call);
        return true;
    }
    apply_answer(f, now_us, call);
    f->due_us = waits_for_other(f)
                    ? INT64_MAX
                    : MAX(now_us, call->asked_us + GwFollower_PeriodUs(f));
    supersede_calls(f, call->asked_us);
    end_call(call);
    return false;
}

const GwPeerProof *
GwFollower_LastAnswer(const GwFollower *f)
{
    return &f->answer;
}

void
GwFollower_OnOther(GwFollower *f, int64_t now_us, const GwPeerProof *answer)
{
    if (!GwFollower_Reads(f) || !waits_for_other(f)) {
        return;
    }
    if (GwStoreVersion_IsNewer(answer->version, f->version)) {
        f->due_us = MIN(f->due_us, now_us);
        return;
    }
    if (answer->version.era != f->version.era) {
        return;
    }
    f->has_answered = true;
    f->answered_us = now_us;
    GwProof_Note(&f->proof, answer->as_of_us);
}

void
GwFollower_OnGone(GwFollower *f, int64_t now_us, uint32_t id)
{
    GwFollowerCall *call = find_call(f, id);

    if (call != NULL && id != 0) {
        bool is_superseded = call->is_superseded;
        end_call(call);
        if (!is_superseded) {
            f->phase = GW_CALL_READ;
            f->due_us = now_us;
        }
    }
}

void
GwFollower_OnFailure(GwFollower *f, int64_t now_us, uint32_t id)
{
    GwFollowerCall *call = find_call(f, id);

    if (call == NULL || id == 0) {
        return;
    }
    end_call(call);
    f->is_refused = true;
    /* The back-off follows the last call; an earlier one says nothing new. */
    if (id == f->last_id) {
        f->failures++;
        f->due_us = now_us + retry_us(f);
    }
}

void
GwFollower_OnBytes(GwFollower *f, int64_t now_us, uint32_t id)
{
    GwFollowerCall *call = find_call(f, id);

    if (call != NULL && id != 0) {
        call->heard_us = now_us;
        f->due_us = MAX(f->due_us, now_us + GwFollower_PeriodUs(f));
    }
}

uint32_t
GwFollower_NextOverdue(GwFollower *f, int64_t now_us)
{
    for (uint32_t i = 0; i < GW_FOLLOWER_CALLS_MAX; i++) {
        GwFollowerCall *call = &f->calls[i];
        bool is_late = now_us - call->heard_us > (int64_t)f->bound_ms * 1000;
        if (call->id != 0 && (call->is_superseded || is_late)) {
            uint32_t id = call->id;
            end_call(call);
            return id;
        }
    }
    return 0;
}

int64_t
GwFollower_UnansweredUs(const GwFollower *f, int64_t now_us)
{
    int64_t longest_us = 0;

    for (uint32_t i = 0; i < GW_FOLLOWER_CALLS_MAX; i++) {
        const GwFollowerCall *call = &f->calls[i];
        if (call->id != 0 && !call->is_superseded) {
            longest_us = MAX(longest_us, now_us - call->heard_us);
        }
    }
    return longest_us;
}

int64_t
GwFollower_AnsweredUs(const GwFollower *f)
{
    return f->answered_us;
}

bool
GwFollower_IsAway(const GwFollower *f, int64_t now_us)
{
    int64_t silent_us = now_us - f->answered_us;

    return GwFollower_Reads(f) &&
           (f->is_refused ||
            (!waits_for_other(f) &&
             silent_us > AWAY_US + 2 * GwFollower_PeriodUs(f)));
}

void
GwFollower_OnPeerRows(GwFollower *f, int64_t now_us, const GwRowSet *set,
                      bool is_full, const GwPeerProof *proof)
{
    if (GwFollower_IsRefuted(f, set->version.era)) {
        return;
    }
    if (is_full || !f->is_known) {
        GwRowCache_ApplyFull(f->cache, now_us, set);
    }
    else {
        GwRowCache_Apply(f->cache, now_us, set);
    }
    f->is_known = true;
    if (GwRowCache_Version(f->cache).era > f->era) {
        GwFollower_BeginEra(f, now_us, GwRowCache_Version(f->cache).era);
        continue_from_copy(f);
    }
    GwFollower_NoteProof(f, proof);
}

const GwProof *
GwFollower_Proof(const GwFollower *f)
{
    return &f->proof;
}

void
GwFollower_NoteProof(GwFollower *f, const GwPeerProof *proof)
{
    GwStoreVersion own = GwRowCache_Version(f->cache);
    bool is_current = own.era == proof->version.era &&
                      !GwStoreVersion_IsNewer(proof->version, own);

#if GW_MUTANT == 101 /* breaks: a proof holds for copies as new as its own */
    is_current = true;
#endif
    if (f->is_known && is_current) {
        GwProof_Note(&f->proof, proof->as_of_us);
    }
}

int64_t
GwFollower_AgeUs(const GwFollower *f, int64_t now_us)
{
    return now_us -
           (f->proof.as_of_us != 0 ? f->proof.as_of_us : f->created_us);
}
