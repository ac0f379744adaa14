#include "router/quarantine_internal.h"

#include <string.h>

/* Limits of one entry's tables. */
#define RECORDS_MAX          4096
#define LOST_CONNECTIONS_MAX 1024
#define CRASHES_MAX          4096
/* A lost connection is dropped if its server is not known to have crashed by
 * then. */
#define LOST_CONNECTION_LIFE_US 2000000
/* Lifetime of a suspect's record, and of the record of its clearance. */
#define SUSPECT_LIFE_US 600000000LL
/* A suspect of one crash is sent to other entries only after this: most are
 * retried and cleared at once. */
#define SHARE_AFTER_US 100000
/* Delay of the evaluation after a request reaches the threshold: by then the
 * other entries' records of the same crashes have arrived. */
#define EVALUATE_AFTER_US 150000
/* Crashes within this time may have one common cause, other than the requests
 * that ran. Must exceed the difference between the times at which entries
 * detect one crash. */
#define COMMON_CAUSE_US 250000
/* Maximum number of doublings of the quarantine time. */
#define DOUBLINGS_MAX 10

const char *
GwSuspectState_Name(GwSuspectState state)
{
    static const char *const names[] = {
        [GW_SUSPECT_NONE] = "none",
        [GW_SUSPECT_WATCHED] = "watched",
        [GW_SUSPECT_QUARANTINED] = "held",
    };

    return names[state];
}

GwQuarantine *
GwQuarantine_Create(void)
{
    GwQuarantine *q = g_new0(GwQuarantine, 1);

    q->records = g_hash_table_new_full(GwFingerprint_Hash,
                                       GwFingerprint_EqualKeys, NULL, g_free);
    q->lost_connections = g_array_new(FALSE, FALSE, sizeof(GwLostConnection));
    q->crashes =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    q->version = 1;
    return q;
}

void
GwQuarantine_Free(GwQuarantine *q)
{
    if (q == NULL) {
        return;
    }
    g_hash_table_destroy(q->records);
    g_array_free(q->lost_connections, TRUE);
    g_hash_table_destroy(q->crashes);
    g_free(q);
}

void
GwQuarantine_SetCallback(GwQuarantine *q, GwQuarantineCallback callback,
                         void *ctx)
{
    q->callback = callback;
    q->ctx = ctx;
}

bool
GwQuarantine_IsEmpty(const GwQuarantine *q)
{
    return g_hash_table_size(q->records) == 0 && q->lost_connections->len == 0;
}

GwSuspectRecord *
GwQuarantine_Find(const GwQuarantine *q, const GwFingerprint *f)
{
    return g_hash_table_lookup(q->records, f);
}

/* ---- Evaluation ---------------------------------------------------------- */

static bool
has_server(const GwSuspect *s, uint64_t server)
{
    for (uint32_t i = 0; i < s->server_count; i++) {
        if (s->servers[i] == server) {
            return true;
        }
    }
    return false;
}

/* Returns the highest crash count of any other request that ran on the server
 * when it crashed. */
static uint32_t
max_crashes_of_others(const GwQuarantine *q, const GwSuspectRecord *rec,
                      uint64_t server)
{
    uint32_t most = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, q->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwSuspectRecord *other = value;
        if (other != rec && other->s.server_count > most &&
            has_server(&other->s, server)) {
            most = other->s.server_count;
        }
    }
    return most;
}

/* Returns whether this request explains its crashes best: at
 * GW_QUARANTINE_CRASHES of them, all other requests that ran there have fewer
 * crashes in total, or, at one crash more than that, none of them has more. */
static bool
is_cause(const GwQuarantine *q, const GwSuspectRecord *rec)
{
    uint32_t ahead = 0;
    uint32_t not_behind = 0;

    for (uint32_t i = 0; i < rec->s.server_count; i++) {
        uint32_t most = max_crashes_of_others(q, rec, rec->s.servers[i]);
        ahead += most < rec->s.server_count;
        not_behind += most <= rec->s.server_count;
    }
#if GW_MUTANT == 80 /* breaks: bystanders are quarantined too */
    return true;
#endif
    return ahead >= GW_QUARANTINE_CRASHES ||
           not_behind > GW_QUARANTINE_CRASHES;
}

static int64_t
quarantine_us(const GwSuspectRecord *rec)
{
    uint32_t further = rec->s.server_count - GW_QUARANTINE_CRASHES;

    return GW_QUARANTINE_FIRST_US << MIN(further, DOUBLINGS_MAX);
}

int64_t
GwSuspectRecord_QuarantinedUntil(const GwQuarantine *q, int64_t now_us,
                                 GwSuspectRecord *rec)
{
    if (rec->s.server_count < GW_QUARANTINE_CRASHES) {
        return 0;
    }
#if GW_MUTANT != 83 /* breaks: a common cause quarantines requests */
    if (rec->at_us - rec->first_us < COMMON_CAUSE_US) {
        return 0;
    }
#endif
    if (now_us - rec->threshold_us < EVALUATE_AFTER_US) {
        return 0;
    }
    if (rec->evaluated_version != q->version) {
        rec->evaluated_version = q->version;
        rec->is_cause = is_cause(q, rec);
    }
    int64_t until_us = rec->at_us + quarantine_us(rec);
    return rec->is_cause && now_us < until_us ? until_us : 0;
}

int64_t
GwQuarantine_UntilUs(GwQuarantine *q, int64_t now_us, const GwFingerprint *f)
{
    GwSuspectRecord *rec = GwQuarantine_Find(q, f);

    return rec != NULL ? GwSuspectRecord_QuarantinedUntil(q, now_us, rec) : 0;
}

uint32_t
GwQuarantine_Crashes(const GwQuarantine *q, const GwFingerprint *f)
{
    const GwSuspectRecord *rec = GwQuarantine_Find(q, f);

    return rec != NULL ? rec->s.server_count : 0;
}

GwSuspectState
GwSuspectRecord_State(const GwQuarantine *q, int64_t now_us,
                      GwSuspectRecord *rec)
{
    if (rec->s.server_count == 0) {
        return GW_SUSPECT_NONE;
    }
    return GwSuspectRecord_QuarantinedUntil(q, now_us, rec) != 0
               ? GW_SUSPECT_QUARANTINED
               : GW_SUSPECT_WATCHED;
}

/* ---- Updates ------------------------------------------------------------- */

GwSuspect
GwSuspectRecord_View(const GwSuspectRecord *rec, int64_t now_us)
{
    GwSuspect s = rec->s;

    s.age_ms = (uint32_t)(MAX(now_us - rec->at_us, 0) / 1000);
    s.span_ms = (uint32_t)(MAX(rec->at_us - rec->first_us, 0) / 1000);
    return s;
}

static void
report_state(GwQuarantine *q, int64_t now_us, GwSuspectRecord *rec)
{
    GwSuspectState old = rec->state;
    GwSuspectState state = GwSuspectRecord_State(q, now_us, rec);

    if (!rec->is_shared || state == old) {
        return;
    }
    rec->state = state;
    if (q->callback != NULL) {
        GwSuspect s = GwSuspectRecord_View(rec, now_us);
        q->callback(q->ctx, &s, old, state);
    }
}

void
GwSuspectRecord_Change(GwQuarantine *q, int64_t now_us, GwSuspectRecord *rec)
{
    q->version++;
    rec->changed_us = now_us;
    rec->is_shared = rec->is_shared || rec->s.server_count > 1;
    if (rec->s.server_count < GW_QUARANTINE_CRASHES) {
        rec->threshold_us = 0;
    }
    else if (rec->threshold_us == 0) {
        /* Crashes that are older are counted everywhere. */
        rec->threshold_us = now_us - rec->at_us > LOST_CONNECTION_LIFE_US
                                ? rec->at_us
                                : now_us;
    }
    if (rec->is_shared) {
        q->changed_us = now_us;
    }
    report_state(q, now_us, rec);
}

/* Eviction order: fewer crashes first, then older. */
static bool
is_evicted_before(const GwSuspectRecord *a, const GwSuspectRecord *b)
{
    if (a->s.server_count != b->s.server_count) {
        return a->s.server_count < b->s.server_count;
    }
    return a->at_us < b->at_us;
}

static void
evict_if_full(GwQuarantine *q)
{
    GwSuspectRecord *first = NULL;
    GHashTableIter iter;
    gpointer value;

    if (g_hash_table_size(q->records) < RECORDS_MAX) {
        return;
    }
    g_hash_table_iter_init(&iter, q->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (first == NULL || is_evicted_before(value, first)) {
            first = value;
        }
    }
    (void)g_hash_table_remove(q->records, &first->s.fingerprint);
    q->version++;
}

GwSuspectRecord *
GwQuarantine_FindOrAdd(GwQuarantine *q, int64_t now_us, const GwFingerprint *f)
{
    GwSuspectRecord *rec = GwQuarantine_Find(q, f);

    if (rec == NULL) {
        evict_if_full(q);
        rec = g_new0(GwSuspectRecord, 1);
        rec->s.fingerprint = *f;
        rec->at_us = now_us;
        g_hash_table_insert(q->records, &rec->s.fingerprint, rec);
    }
    return rec;
}

bool
GwSuspect_IsFull(const GwSuspect *s)
{
    return s->server_count == GW_SUSPECT_SERVERS_MAX;
}

bool
GwSuspect_AddServer(GwSuspect *s, uint64_t server)
{
    uint32_t at = s->server_count;

    if (has_server(s, server) ||
        (GwSuspect_IsFull(s) && s->servers[at - 1] < server)) {
        return false;
    }
    at -= GwSuspect_IsFull(s);
    s->server_count = at + 1;
    for (; at > 0 && s->servers[at - 1] > server; at--) {
        s->servers[at] = s->servers[at - 1];
    }
    s->servers[at] = server;
    return true;
}

/* Updates the times for a further crash, whose server was added if the list
 * was not full. */
static void
update_times(GwSuspectRecord *rec, int64_t at_us)
{
    bool first = rec->s.server_count == 1;

    rec->first_us = first ? at_us : MIN(rec->first_us, at_us);
    rec->at_us = first ? at_us : MAX(rec->at_us, at_us);
}

void
GwQuarantine_NoteConnectionLost(GwQuarantine *q, int64_t now_us,
                                const GwFingerprint *f, uint64_t server)
{
    GwLostConnection b = {
        .fingerprint = *f, .server = server, .at_us = now_us};

    if (q->lost_connections->len == LOST_CONNECTIONS_MAX) {
        g_array_remove_index(q->lost_connections, 0);
    }
    g_array_append_val(q->lost_connections, b);
}

bool
GwQuarantine_HasLostConnection(const GwQuarantine *q, uint64_t server)
{
    for (guint i = 0; i < q->lost_connections->len; i++) {
        if (g_array_index(q->lost_connections, GwLostConnection, i).server ==
            server) {
            return true;
        }
    }
    return false;
}

void
GwQuarantine_NoteCrashTime(GwQuarantine *q, uint64_t server, int64_t at_us)
{
    GwServerCrash *crash = g_hash_table_lookup(q->crashes, &server);

    if (crash != NULL) {
        crash->at_us = MIN(crash->at_us, at_us);
    }
    else if (g_hash_table_size(q->crashes) < CRASHES_MAX) {
        crash = g_new(GwServerCrash, 1);
        *crash = (GwServerCrash){.server = server, .at_us = at_us};
        g_hash_table_insert(q->crashes, &crash->server, crash);
    }
}

bool
GwQuarantine_HasCrashed(const GwQuarantine *q, uint64_t server)
{
    return g_hash_table_contains(q->crashes, &server);
}

/* Whether the process had crashed before: the connection was to the next one,
 * whose start the registry does not show yet. */
static bool
has_crashed_before(const GwQuarantine *q, uint64_t server, int64_t at_us)
{
    const GwServerCrash *crash = g_hash_table_lookup(q->crashes, &server);

#if GW_MUTANT == 120 /* breaks: two crashes in a row count as the same one */
    return false;
#endif
    return crash != NULL && at_us - crash->at_us >= COMMON_CAUSE_US;
}

void
GwQuarantine_NoteCrash(GwQuarantine *q, int64_t now_us, uint64_t server)
{
    for (guint i = 0; i < q->lost_connections->len;) {
        GwLostConnection b =
            g_array_index(q->lost_connections, GwLostConnection, i);
        if (b.server != server) {
            i++;
            continue;
        }
        g_array_remove_index(q->lost_connections, i);
        if (now_us - b.at_us > LOST_CONNECTION_LIFE_US ||
            has_crashed_before(q, server, b.at_us)) {
            continue;
        }
        GwQuarantine_NoteCrashTime(q, server, b.at_us);
        GwSuspectRecord *rec =
            GwQuarantine_FindOrAdd(q, now_us, &b.fingerprint);
        if (!has_server(&rec->s, server)) {
            (void)GwSuspect_AddServer(&rec->s, server);
            update_times(rec, b.at_us);
            GwSuspectRecord_Change(q, now_us, rec);
        }
    }
}

void
GwQuarantine_NoteAlive(GwQuarantine *q, uint64_t server)
{
    for (guint i = q->lost_connections->len; i > 0; i--) {
        if (g_array_index(q->lost_connections, GwLostConnection, i - 1)
                .server == server) {
            g_array_remove_index(q->lost_connections, i - 1);
        }
    }
}

static void
forget_lost_connections(GwQuarantine *q, const GwFingerprint *f)
{
    for (guint i = q->lost_connections->len; i > 0; i--) {
        const GwLostConnection *lost =
            &g_array_index(q->lost_connections, GwLostConnection, i - 1);
        if (GwFingerprint_Equal(&lost->fingerprint, f)) {
            g_array_remove_index(q->lost_connections, i - 1);
        }
    }
}

/* Clears the request, also of crashes that are not confirmed yet. A record that
 * was never sent is unknown elsewhere and can be removed. */
static bool
clear(GwQuarantine *q, int64_t now_us, const GwFingerprint *f)
{
    GwSuspectRecord *rec = GwQuarantine_Find(q, f);

    forget_lost_connections(q, f);
    if (rec == NULL || rec->s.server_count == 0) {
        return false;
    }
    if (!rec->is_shared) {
        (void)g_hash_table_remove(q->records, f);
        q->version++;
        return true;
    }
    rec->s.generation++;
    rec->s.server_count = 0;
    rec->first_us = now_us;
    rec->at_us = now_us;
    GwSuspectRecord_Change(q, now_us, rec);
    return true;
}

void
GwQuarantine_NoteSuccess(GwQuarantine *q, int64_t now_us,
                         const GwFingerprint *f)
{
#if GW_MUTANT != 81 /* breaks: a successful run clears nothing */
    (void)clear(q, now_us, f);
#endif
}

bool
GwQuarantine_Release(GwQuarantine *q, int64_t now_us, const GwFingerprint *f)
{
    return clear(q, now_us, f);
}

/* ---- Timers -------------------------------------------------------------- */

int64_t
GwSuspectRecord_LifeUs(const GwSuspectRecord *rec)
{
    return rec->s.server_count < GW_QUARANTINE_CRASHES
               ? SUSPECT_LIFE_US
               : SUSPECT_LIFE_US + quarantine_us(rec);
}

static void
expire_lost_connections(GwQuarantine *q, int64_t now_us)
{
    guint old = 0;

    while (old < q->lost_connections->len &&
           now_us - g_array_index(q->lost_connections, GwLostConnection, old)
                        .at_us >
               LOST_CONNECTION_LIFE_US) {
        old++;
    }
    g_array_remove_range(q->lost_connections, 0, old);
}

static void
expire_crashes(GwQuarantine *q, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, q->crashes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (now_us - ((GwServerCrash *)value)->at_us > SUSPECT_LIFE_US) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

void
GwQuarantine_Tick(GwQuarantine *q, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;

    expire_lost_connections(q, now_us);
    expire_crashes(q, now_us);
    g_hash_table_iter_init(&iter, q->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwSuspectRecord *rec = value;
        if (now_us - rec->at_us > GwSuspectRecord_LifeUs(rec)) {
            rec->s.server_count = 0;
            report_state(q, now_us, rec);
            g_hash_table_iter_remove(&iter);
            q->version++;
        }
        else if (!rec->is_shared && now_us - rec->at_us >= SHARE_AFTER_US) {
            rec->is_shared = true;
            GwSuspectRecord_Change(q, now_us, rec);
        }
        else {
            report_state(q, now_us, rec);
        }
    }
}
