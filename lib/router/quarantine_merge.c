/* Exchange and merging of quarantine records between entries. */
#include "router/quarantine_internal.h"

#include "common/rng.h"

/* An unknown record is not accepted this close to its end: entries that expire
 * it a little earlier would otherwise receive it again forever. */
#define EXPIRY_MARGIN_US 60000000

static bool
is_valid(const GwSuspect *s)
{
    return s->server_count <= GW_SUSPECT_SERVERS_MAX;
}

static bool
add_servers(GwSuspectRecord *rec, const GwSuspect *from)
{
    bool changed = false;

    for (uint32_t i = 0; i < from->server_count; i++) {
        changed = GwSuspect_AddServer(&rec->s, from->servers[i]) || changed;
    }
    return changed;
}

/* Between records of the same crashes the earlier times win: a record must not
 * get younger by its transmission time. A full record doesn't show which crash
 * was its last. */
static void
merge_times(GwSuspectRecord *rec, const GwSuspectRecord *from, bool is_same)
{
    bool is_older = is_same && !GwSuspect_IsFull(&rec->s);

    rec->first_us = MIN(rec->first_us, from->first_us);
    rec->at_us =
        is_older ? MIN(rec->at_us, from->at_us) : MAX(rec->at_us, from->at_us);
}

static void
replace(GwSuspectRecord *rec, const GwSuspectRecord *from)
{
    rec->s.generation = from->s.generation;
    rec->s.server_count = 0;
    (void)add_servers(rec, &from->s);
    rec->first_us = from->first_us;
    rec->at_us = from->at_us;
}

/* Returns whether the received record is out of date; `rec` is the local one
 * or NULL. */
static bool
is_outdated(const GwSuspectRecord *rec, const GwSuspectRecord *from,
            int64_t now_us)
{
    int64_t left_us = from->at_us + GwSuspectRecord_LifeUs(from) - now_us;

    return rec == NULL ? left_us < EXPIRY_MARGIN_US
                       : left_us < 0 || rec->s.generation > from->s.generation;
}

/* Returns whether `rec` changed. */
static bool
merge(GwSuspectRecord *rec, const GwSuspectRecord *from)
{
    bool is_same = from->s.server_count == rec->s.server_count;

    if (from->s.generation > rec->s.generation ||
        (rec->s.server_count == 0 && !is_same)) {
        replace(rec, from);
        return true;
    }
    if (add_servers(rec, &from->s)) {
        merge_times(rec, from, false);
        return true;
    }
    if (is_same) {
        merge_times(rec, from, true);
    }
    return false;
}

void
GwQuarantine_Merge(GwQuarantine *q, int64_t now_us, const GwSuspect *from)
{
    GwSuspectRecord *rec = GwQuarantine_Find(q, &from->fingerprint);
    GwSuspectRecord known = {.s = *from,
                             .at_us = now_us - (int64_t)from->age_ms * 1000};

    known.first_us = known.at_us - (int64_t)from->span_ms * 1000;
    if (!is_valid(from) || is_outdated(rec, &known, now_us)) {
        return;
    }
    if (rec == NULL) {
        rec = GwQuarantine_FindOrAdd(q, known.at_us, &from->fingerprint);
    }
    for (uint32_t i = 0; i < from->server_count; i++) {
        GwQuarantine_NoteCrashTime(q, from->servers[i], known.at_us);
    }
    bool changed = merge(rec, &known) || !rec->is_shared;
    rec->is_shared = true;
    if (changed) {
        GwSuspectRecord_Change(q, now_us, rec);
    }
}

static uint64_t
checksum_of(const GwSuspect *s)
{
    uint64_t sum = GwRng_Mix(s->fingerprint.hi ^ GwRng_Mix(s->fingerprint.lo) ^
                             GwRng_Mix(s->generation + 1));

    for (uint32_t i = 0; i < s->server_count; i++) {
        sum = GwRng_Mix(sum ^ s->servers[i]);
    }
    return sum;
}

uint64_t
GwQuarantine_Checksum(GwQuarantine *q)
{
    GHashTableIter iter;
    gpointer value;

    if (q->sum_version == q->version) {
        return q->sum;
    }
    q->sum = 0;
    q->sum_version = q->version;
    g_hash_table_iter_init(&iter, q->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwSuspectRecord *rec = value;
        if (rec->is_shared) {
            q->sum += checksum_of(&rec->s);
        }
    }
    return q->sum;
}

int64_t
GwQuarantine_ChangedUs(const GwQuarantine *q)
{
    return q->changed_us;
}

uint32_t
GwQuarantine_Changes(const GwQuarantine *q, int64_t now_us, int64_t since_us,
                     GwSuspect *out, uint32_t most)
{
    uint32_t count = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, q->records);
    while (count < most && g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwSuspectRecord *rec = value;
        if (rec->is_shared && rec->changed_us >= since_us) {
            out[count++] = GwSuspectRecord_View(rec, now_us);
        }
    }
    return count;
}

uint32_t
GwQuarantine_Page(const GwQuarantine *q, int64_t now_us, uint32_t *from,
                  GwSuspect *out, uint32_t most)
{
    uint32_t count = 0;
    uint32_t place = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, q->records);
    while (count < most && g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwSuspectRecord *rec = value;
        if (place++ >= *from && rec->is_shared) {
            out[count++] = GwSuspectRecord_View(rec, now_us);
        }
    }
    *from = place < g_hash_table_size(q->records) ? place : 0;
    return count;
}

void
GwQuarantine_Each(GwQuarantine *q, int64_t now_us,
                  void (*visit)(void *ctx, const GwSuspect *suspect,
                                GwSuspectState state, int64_t until_us),
                  void *ctx)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, q->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwSuspectRecord *rec = value;
        GwSuspectState state = GwSuspectRecord_State(q, now_us, rec);
        if (state != GW_SUSPECT_NONE) {
            GwSuspect s = GwSuspectRecord_View(rec, now_us);
            visit(ctx, &s, state,
                  GwSuspectRecord_QuarantinedUntil(q, now_us, rec));
        }
    }
}
