/* What servers have stated about themselves, by start of the server. It
 * outlives the server's row: while the store is unavailable a row expires and
 * is written again as it was, and an answer may arrive after that. The objects
 * of both rows share one GwServerStart. */
#include "router/router_internal.h"

/* Starts that are remembered; those that have a row are not forgotten. */
#define STARTS_MAX 16384

void
GwServerStart_Unref(GwServerStart *start)
{
    if (--start->refs == 0) {
        g_free(start->id);
        g_free(start);
    }
}

static void
unref(gpointer item)
{
    GwServerStart_Unref(item);
}

GHashTable *
GwServerStarts_Create(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, unref);
}

/* Removes the start whose last row is the oldest, of those without a row. */
static void
forget_oldest(GwRouter *r)
{
    GHashTableIter iter;
    gpointer value;
    const GwServerStart *oldest = NULL;

    g_hash_table_iter_init(&iter, r->starts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwServerStart *start = value;
        if (start->refs == 1 &&
            (oldest == NULL || start->row_number < oldest->row_number)) {
            oldest = start;
        }
    }
    if (oldest != NULL) {
        g_hash_table_remove(r->starts, oldest->id);
    }
}

static GwServerStart *
create_start(const char *id, uint64_t born_ms)
{
    GwServerStart *start = g_new0(GwServerStart, 1);

    start->id = g_strdup(id);
    start->born_ms = born_ms;
    start->limit.per_s = -1;
    start->refs = 1;
    return start;
}

static GwServerStart *
add_latest(GwRouter *r, const char *id, uint64_t born_ms)
{
    GwServerStart *start = create_start(id, born_ms);

    if (g_hash_table_size(r->starts) >= STARTS_MAX) {
        forget_oldest(r);
    }
    start->refs++;
    g_hash_table_replace(r->starts, start->id, start);
    return start;
}

/* A row of an earlier start, or one that doesn't say which, is an older copy:
 * it doesn't replace what the latest start has stated, nor does it bring back
 * a server that leaves. */
GwServerStart *
GwServerStart_Ref(GwRouter *r, const char *id, uint64_t born_ms)
{
    GwServerStart *latest = g_hash_table_lookup(r->starts, id);
    GwServerStart *start = latest;

#if GW_MUTANT == 103 /* breaks: what a server stated outlives its row */
    latest = NULL;
#endif
    if (latest == NULL || born_ms > latest->born_ms) {
        start = add_latest(r, id, born_ms);
    }
    else if (born_ms == latest->born_ms || latest->is_leaving) {
        start->refs++;
    }
    else {
        start = create_start(id, born_ms);
    }
    start->row_number = ++r->row_count;
    return start;
}

void
GwRouter_NoteStated(GwRouter *r, const GwServer *s)
{
    GwServer *listed = g_hash_table_lookup(r->servers, s->id);

    if (listed != NULL && listed->start == s->start) {
        GwServer_DropReservations(listed);
    }
    GwRouter_NoteServersChanged(r);
}

void
GwRouter_LearnLeaving(GwRouter *r, int64_t now_us, const GwServer *s)
{
    if (!s->start->is_leaving) {
        GwRouter_NoteSlotsGone(r, now_us, s);
        s->start->is_leaving = true;
        GwRouter_NoteStated(r, s);
    }
}
