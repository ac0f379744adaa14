/* Starts of servers that are leaving. A server's row and its own answers both
 * say so, and neither takes it back: a row may be an older copy, it expires and
 * is written again while the store is unavailable, and a report in it may wait
 * for the store for as long as the server leaves. Only a later start of the
 * server ends it, so it is kept apart from the server's state, which is freed
 * with its row. */
#include "router/router_internal.h"

/* Starts to be remembered; the longest known is forgotten first. */
#define LEAVING_MAX 16384

typedef struct {
    uint64_t born_ms; /* this start of the server and all earlier ones leave */
    int64_t at_us;
} Leaving;

bool
GwRouter_IsLeaving(const GwRouter *r, const char *id, uint64_t born_ms)
{
    const Leaving *known = g_hash_table_lookup(r->leaving, id);

#if GW_MUTANT == 103 /* breaks: a server that leaves stays so */
    return false;
#endif
    return known != NULL && born_ms <= known->born_ms;
}

static void
forget_oldest(GwRouter *r)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    const char *oldest = NULL;
    int64_t at_us = INT64_MAX;

    g_hash_table_iter_init(&iter, r->leaving);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (((Leaving *)value)->at_us < at_us) {
            at_us = ((Leaving *)value)->at_us;
            oldest = key;
        }
    }
    g_hash_table_remove(r->leaving, oldest);
}

static void
remember(GwRouter *r, int64_t now_us, const GwServer *s)
{
    Leaving leaving = {.born_ms = s->born_ms, .at_us = now_us};

    if (g_hash_table_size(r->leaving) >= LEAVING_MAX) {
        forget_oldest(r);
    }
    g_hash_table_replace(r->leaving, g_strdup(s->id),
                         g_memdup2(&leaving, sizeof(leaving)));
}

void
GwRouter_NoteLeaving(GwRouter *r, int64_t now_us, GwServer *s)
{
    if (!GwRouter_IsLeaving(r, s->id, s->born_ms)) {
        remember(r, now_us, s);
    }
    if (s->draining) {
        return;
    }
    s->draining = true;
    GwServer_DropReservations(s);
    GwRouter_NoteServersChanged(r);
}
