#include "fakes/follow_store.h"

#include <string.h>

#define MS        1000
#define ANSWER_US (4 * MS)
#define SLOW_US   (200 * MS)
#define STALE_US  (1000 * MS)
#define RATE_SPAN (1000 * MS)

typedef struct {
    StoreMode mode;
    int64_t until_us;
} CallerMode;

typedef struct {
    int64_t at_us;
    FollowTable table;
    GwStoreRow *row;
} Write;

struct FollowStore_s {
    uint32_t era;
    uint64_t version;
    uint64_t history_from;
    GArray *writes; /* Write, in order */
    CallerMode *modes;
    uint32_t callers;
    uint32_t reads_per_s;
    uint32_t reads; /* since reads_since_us */
    int64_t reads_since_us;
    GArray *answers; /* CallAnswer */
    uint64_t calls;
};

FollowStore *
FollowStore_Create(uint32_t callers, uint32_t reads_per_s)
{
    FollowStore *s = g_new0(FollowStore, 1);

    s->modes = g_new0(CallerMode, callers);
    s->era = 1;
    s->callers = callers;
    s->reads_per_s = reads_per_s;
    s->answers = g_array_new(FALSE, FALSE, sizeof(CallAnswer));
    s->writes = g_array_new(FALSE, FALSE, sizeof(Write));
    return s;
}

void
FollowStore_Free(FollowStore *s)
{
    for (guint i = 0; i < s->answers->len; i++) {
        GwRowSet_Free(g_array_index(s->answers, CallAnswer, i).rows);
    }
    for (guint i = 0; i < s->writes->len; i++) {
        GwStoreRow_Free(g_array_index(s->writes, Write, i).row);
    }
    g_array_free(s->writes, TRUE);
    g_array_free(s->answers, TRUE);
    g_free(s->modes);
    g_free(s);
}

void
FollowStore_SetMode(FollowStore *s, uint32_t caller, StoreMode mode,
                    int64_t until_us)
{
    s->modes[caller] = (CallerMode){.mode = mode, .until_us = until_us};
}

StoreMode
FollowStore_Mode(const FollowStore *s, uint32_t caller, int64_t now_us)
{
    const CallerMode *m = &s->modes[caller];

    return now_us < m->until_us ? m->mode : STORE_ANSWERS;
}

void
FollowStore_DropHistory(FollowStore *s)
{
    s->history_from = s->version;
}

void
FollowStore_Restore(FollowStore *s, int64_t copied_us)
{
    guint kept = s->writes->len;

    while (kept > 0 &&
           g_array_index(s->writes, Write, kept - 1).at_us > copied_us) {
        kept--;
        GwStoreRow_Free(g_array_index(s->writes, Write, kept).row);
    }
    g_array_set_size(s->writes, kept);
    s->version =
        kept > 0
            ? g_array_index(s->writes, Write, kept - 1).row->version.number
            : 0;
    s->history_from = MIN(s->history_from, s->version);
    s->era++;
}

void
FollowStore_SkipVersions(FollowStore *s, uint64_t count)
{
    s->version += count;
}

/* The newest row of each key that was written after a version, as the table
 * was at `as_of_us`; INT64_MAX: as it is. */
static GwRowSet *
rows_after(const FollowStore *s, int64_t as_of_us, FollowTable table,
           uint64_t after, bool with_removed)
{
    GwRowSet *set = GwRowSet_Create();
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

    if (as_of_us == INT64_MAX) {
        set->version.number = s->version;
    }
    for (guint i = s->writes->len; i > 0; i--) {
        const Write *write = &g_array_index(s->writes, Write, i - 1);
        const GwStoreRow *row = write->row;
        if (write->at_us > as_of_us) {
            continue;
        }
        set->version.number = MAX(set->version.number, row->version.number);
        if (write->table == table && g_hash_table_add(seen, row->key) &&
            row->version.number > after && (with_removed || !row->removed)) {
            g_ptr_array_add(set->rows,
                            GwStoreRow_Create(row->key, row->value,
                                              row->version, row->removed));
        }
    }
    g_hash_table_destroy(seen);
    GwRowSet_SetEra(set, s->era);
    return set;
}

static void
answer(FollowStore *s, int64_t at_us, CallAnswer to, CallOutcome outcome,
       GwRowSet *rows)
{
    to.at_us = at_us;
    to.outcome = outcome;
    to.era = s->era;
    to.rows = rows;
    g_array_append_val(s->answers, to);
}

uint64_t
FollowStore_Put(FollowStore *s, int64_t now_us, FollowTable table,
                const char *key, const char *value)
{
    s->version++;
    Write write = {.at_us = now_us,
                   .table = table,
                   .row = GwStoreRow_Create(
                       key, value, (GwStoreVersion){.number = s->version},
                       value == NULL)};
    g_array_append_val(s->writes, write);
    return s->version;
}

static bool
is_over_rate(FollowStore *s, int64_t now_us)
{
    if (now_us - s->reads_since_us >= RATE_SPAN) {
        s->reads_since_us = now_us;
        s->reads = 0;
    }
    return ++s->reads > s->reads_per_s;
}

static void
answer_call(FollowStore *s, int64_t now_us, int64_t as_of_us, int64_t way_us,
            const GwStoreCall *call, const CallAnswer *to)
{
    int64_t back_us = now_us + ANSWER_US + way_us;

    if (call->kind == GW_CALL_READ) {
        answer(s, back_us, *to, CALL_ROWS,
               rows_after(s, as_of_us, to->table, 0, false));
        return;
    }
    if (call->after < s->history_from || call->after > s->version) {
        answer(s, back_us, *to, CALL_GONE, NULL);
        return;
    }
    answer(s, back_us, *to, CALL_ROWS,
           rows_after(s, as_of_us, to->table, call->after, true));
}

void
FollowStore_Call(FollowStore *s, int64_t now_us, int64_t way_us,
                 const GwStoreCall *call, const CallAnswer *to)
{
    s->calls++;
    switch (FollowStore_Mode(s, to->caller, now_us)) {
    case STORE_SILENT:
        break;
    case STORE_REFUSES:
        answer(s, now_us + way_us, *to, CALL_REFUSED, NULL);
        break;
    case STORE_IS_SLOW:
        answer_call(s, now_us, INT64_MAX, way_us + SLOW_US, call, to);
        break;
    case STORE_IS_STALE:
        answer_call(s, now_us, now_us - STALE_US, way_us, call, to);
        break;
    case STORE_ANSWERS:
        if (is_over_rate(s, now_us)) {
            answer(s, now_us + way_us, *to, CALL_REFUSED, NULL);
        }
        else {
            answer_call(s, now_us, INT64_MAX, way_us, call, to);
        }
        break;
    }
}

bool
FollowStore_NextAnswer(FollowStore *s, int64_t now_us, CallAnswer *out)
{
    for (guint i = 0; i < s->answers->len; i++) {
        if (g_array_index(s->answers, CallAnswer, i).at_us <= now_us) {
            *out = g_array_index(s->answers, CallAnswer, i);
            g_array_remove_index(s->answers, i);
            return true;
        }
    }
    return false;
}

void
FollowStore_Defer(FollowStore *s, const CallAnswer *answer)
{
    g_array_append_val(s->answers, *answer);
}

uint64_t
FollowStore_CallCount(const FollowStore *s)
{
    return s->calls;
}
