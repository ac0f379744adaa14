#include "edge/quarantine_rows.h"

#include <stdlib.h>
#include <string.h>

#define HELD_TABLE "held"
/* Time limit of a call to the store, and delay before a retry. */
#define CALL_TIMEOUT_US 1500000
#define RETRY_US        700000
#define ROWS_BODY_MAX   (8u << 20)
/* Longest time from the start until the entry takes requests without having
 * read the rows: two calls that time out, and another one. */
#define LOAD_MAX_US 5000000
/* Maximum rows waiting to be written. */
#define WAITING_MAX 256
/* A copy from which the store is restored is some seconds old. */
#define COPY_AGE_MAX_US 60000000

struct GwQuarantineRows_s {
    GwEdge *edge;
    GwConn *conn;
    bool has_read;
    bool is_loaded;      /* GwQuarantineRows_IsLoaded */
    char *after;         /* key of the last row read; NULL: none yet */
    uint32_t era;        /* of the pages read so far; 0: none */
    GQueue waiting;      /* GwSuspect waiting to be written */
    GHashTable *written; /* GwFingerprint -> int64_t, the time of the call */
    /* Time of the next attempt, or time limit of the current one. */
    int64_t at_us;
};

/* ---- Values -------------------------------------------------------------- */

char *
GwQuarantineRow_WriteValue(const GwSuspect *suspect, int64_t now_s)
{
    GString *out = g_string_new(NULL);

    g_string_printf(out, "%u %" PRId64 " %u", suspect->generation,
                    now_s - suspect->age_ms / 1000, suspect->span_ms);
    for (uint32_t i = 0; i < suspect->server_count; i++) {
        g_string_append_printf(out, " %016" PRIx64, suspect->servers[i]);
    }
    return g_string_free(out, FALSE);
}

static bool
read_servers(char *const *words, GwSuspect *out)
{
    for (; *words != NULL; words++) {
        char *rest;
        if (out->server_count == GW_SUSPECT_SERVERS_MAX) {
            return false;
        }
        out->servers[out->server_count++] = strtoull(*words, &rest, 16);
        if (rest == *words || *rest != '\0') {
            return false;
        }
    }
    return true;
}

bool
GwQuarantineRow_Read(const char *key, const char *value, int64_t now_s,
                     GwSuspect *out)
{
    char **words = g_strsplit(value, " ", -1);
    int64_t at_s = 0;

    *out = (GwSuspect){.generation = 0};
    bool ok = GwFingerprint_Parse(key, &out->fingerprint) &&
              g_strv_length(words) >= 3 &&
              sscanf(value, "%u %" SCNd64 " %u", &out->generation, &at_s,
                     &out->span_ms) == 3 &&
              read_servers(words + 3, out);
    if (ok) {
        at_s = CLAMP(at_s, now_s - UINT32_MAX / 1000, now_s);
        out->age_ms = (uint32_t)(now_s - at_s) * 1000;
    }
    g_strfreev(words);
    return ok;
}

static int64_t
now_s(void)
{
    return g_get_real_time() / G_USEC_PER_SEC;
}

/* ---- Calls --------------------------------------------------------------- */

static void
retry(GwQuarantineRows *rows)
{
    GwConn_CloseAndClear(&rows->conn);
    rows->at_us = GwEdge_Now() + RETRY_US;
}

static void
write_row(GwQuarantineRows *rows, const GwSuspect *suspect)
{
    const GwAdapter *a = rows->edge->adapter;
    char key[GW_FINGERPRINT_TEXT_SIZE];

    GwFingerprint_Format(&suspect->fingerprint, key);
    char *value = GwQuarantineRow_WriteValue(suspect, now_s());
    char *body = a->write_body(HELD_TABLE, key, value);
    GwConn_WritePost(rows->conn, a->write_target,
                     rows->edge->settings->store_address, body);
    g_free(body);
    g_free(value);
}

/* Starts the next call, or closes the connection when none is left. */
static void
start_call(GwQuarantineRows *rows)
{
    const GwEdge *edge = rows->edge;
    const GwSuspect *next = g_queue_peek_head(&rows->waiting);

    if (rows->has_read && next == NULL) {
        GwConn_CloseAndClear(&rows->conn);
        rows->at_us = 0;
        return;
    }
    rows->edge->counts.store_calls++;
    rows->at_us = GwEdge_Now() + CALL_TIMEOUT_US;
    if (rows->has_read) {
        write_row(rows, next);
        return;
    }
    char *target = edge->adapter->read_target(HELD_TABLE, rows->after);
    GwConn_WriteGet(rows->conn, target, edge->settings->store_address);
    g_free(target);
}

static bool
apply_rows(GwQuarantineRows *rows, const GwHttpMessage *msg)
{
    GwRowSet *set =
        rows->edge->adapter->read_rows(msg->body->str, msg->body->len, NULL);

    if (set == NULL) {
        return false;
    }
    GwRowSet_SetEra(set, GwEdge_NoteStoreAnswer(rows->edge, NULL, msg));
    for (guint i = 0; i < set->rows->len; i++) {
        const GwStoreRow *row = set->rows->pdata[i];
        GwSuspect suspect;
        if (!row->removed &&
            GwQuarantineRow_Read(row->key, row->value, now_s(), &suspect)) {
            GwQuarantine_Merge(GwRouter_Quarantine(rows->edge->router),
                               GwEdge_Now(), &suspect);
        }
    }
    if (set->version.era != rows->era && rows->after != NULL) {
        /* The earlier pages were those of another history. */
        rows->era = set->version.era;
        g_clear_pointer(&rows->after, g_free);
        GwRowSet_Free(set);
        return true;
    }
    rows->era = set->version.era;
    rows->has_read = !set->more || set->rows->len == 0;
    if (rows->has_read) {
        GwQuarantineRows_MarkLoaded(rows);
    }
    else {
        g_free(rows->after);
        rows->after = g_strdup(GwRowSet_LastKey(set));
    }
    GwRowSet_Free(set);
    return true;
}

static gboolean
is_old(gpointer key, gpointer value, gpointer now_us)
{
    (void)key;
    return *(int64_t *)now_us - *(int64_t *)value > COPY_AGE_MAX_US;
}

static void
note_written(GwQuarantineRows *rows)
{
    GwSuspect *suspect = g_queue_pop_head(&rows->waiting);
    int64_t now_us = GwEdge_BootNow();

    (void)g_hash_table_foreach_remove(rows->written, is_old, &now_us);
    g_hash_table_replace(
        rows->written,
        g_memdup2(&suspect->fingerprint, sizeof(suspect->fingerprint)),
        g_memdup2(&now_us, sizeof(now_us)));
    g_free(suspect);
}

static void
on_message(void *owner, GwHttpMessage *msg)
{
    GwQuarantineRows *rows = owner;
    bool ok = msg->status == 200;

    if (ok && rows->has_read) {
        note_written(rows);
    }
    else if (ok) {
        ok = apply_rows(rows, msg);
    }
    GwHttpMessage_Free(msg);
    if (ok) {
        start_call(rows);
    }
    else {
        retry(rows);
    }
}

static void
on_connected(void *owner)
{
    start_call(owner);
}

static void
on_ended(void *owner, GwConnEnd end)
{
    GwQuarantineRows *rows = owner;

    if (end != GW_CONN_MALFORMED) {
        rows->conn = NULL;
    }
    retry(rows);
}

static const GwConnOps row_ops = {
    .connected = on_connected,
    .message = on_message,
    .ended = on_ended,
};

bool
GwQuarantineRows_IsLoaded(const GwQuarantineRows *rows)
{
    return rows->is_loaded;
}

void
GwQuarantineRows_MarkLoaded(GwQuarantineRows *rows)
{
    rows->is_loaded = true;
    GwRouter_SetQuarantineKnown(rows->edge->router, true);
}

void
GwQuarantineRows_Sweep(GwQuarantineRows *rows, int64_t now_us)
{
    GwConnParams params = {
        .loop = &rows->edge->loop,
        .ops = &row_ops,
        .owner = rows,
        .head_max = 64 << 10,
        .body_max = ROWS_BODY_MAX,
    };

    if (!rows->is_loaded && now_us - rows->edge->started_us > LOAD_MAX_US) {
        GwQuarantineRows_MarkLoaded(rows);
    }
    if (now_us < rows->at_us ||
        (rows->has_read && g_queue_is_empty(&rows->waiting))) {
        return;
    }
    if (rows->conn != NULL) {
        retry(rows);
        return;
    }
    rows->at_us = now_us + CALL_TIMEOUT_US;
    rows->conn = GwConn_Connect(&params, rows->edge->settings->store_address);
}

void
GwQuarantineRows_Write(GwQuarantineRows *rows, const GwSuspect *suspect)
{
    if (g_queue_get_length(&rows->waiting) < WAITING_MAX) {
        g_queue_push_tail(&rows->waiting,
                          g_memdup2(suspect, sizeof(*suspect)));
    }
}

static void
write_again(void *ctx, const GwSuspect *suspect, GwSuspectState state,
            int64_t until_us)
{
    GwQuarantineRows *rows = ctx;

    (void)state;
    (void)until_us;
    if (g_hash_table_contains(rows->written, &suspect->fingerprint)) {
        GwQuarantineRows_Write(rows, suspect);
    }
}

void
GwQuarantineRows_WriteAgain(GwQuarantineRows *rows)
{
    int64_t now_us = GwEdge_BootNow();

    (void)g_hash_table_foreach_remove(rows->written, is_old, &now_us);
    GwQuarantine_Each(GwRouter_Quarantine(rows->edge->router), GwEdge_Now(),
                      write_again, rows);
}

/* At the first start of the whole system, there are no rows to read. */
GwQuarantineRows *
GwQuarantineRows_Create(GwEdge *edge)
{
    GwQuarantineRows *rows = g_new0(GwQuarantineRows, 1);

    rows->edge = edge;
    rows->written = g_hash_table_new_full(
        GwFingerprint_Hash, GwFingerprint_EqualKeys, g_free, g_free);
    rows->has_read = edge->settings->first_start;
    rows->is_loaded = rows->has_read;
    GwRouter_SetQuarantineKnown(edge->router, rows->is_loaded);
    return rows;
}

void
GwQuarantineRows_Close(GwQuarantineRows *rows)
{
    GwConn_CloseAndClear(&rows->conn);
}

void
GwQuarantineRows_Free(GwQuarantineRows *rows)
{
    if (rows == NULL) {
        return;
    }
    g_queue_clear_full(&rows->waiting, g_free);
    g_hash_table_destroy(rows->written);
    g_free(rows->after);
    g_free(rows);
}
