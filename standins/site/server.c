#include "standins/site/organisations.h"

#include <stdlib.h>
#include <string.h>

typedef struct {
    SiteServer *server;
    GwConn *conn;
    GList node;         /* in the connections of the server */
    GwHttpMessage *msg; /* request that runs or is queued; NULL: none */
    uv_timer_t timer;   /* of the run */
    int64_t received_us;
    int64_t left_ms; /* limit of the run and of the wait; < 0: none */
    bool running;
    SiteEndless *endless; /* bytes without end that are sent; NULL: none */
} Connection;

struct SiteServer_s {
    SiteServerParams params;
    uv_tcp_t *listener; /* NULL between a crash and the restart */
    uv_timer_t process; /* the next crash, or the restart after one */
    GQueue connections; /* Connection */
    uint32_t running;
    GQueue queued;           /* Connection */
    GHashTable *cached_keys; /* object keys */
    uint32_t served;
    double limit_per_s; /* announced limit; 0: none */
    int64_t limit_us;   /* start of the check of the limit */
    GArray *arrivals;   /* within SITE_LIMIT_SPAN_US: int64_t us */
    uint32_t above_limit;
    int64_t drained_us; /* 0: not drained */
    bool is_leaving;    /* says so in its answers */
    uint32_t late;
    uint32_t misdirected;
    SiteEndlessFault endless;
    uint32_t long_runs; /* permille of runs that take long_factor times */
    uint32_t long_factor;
};

/* Maximum number of requests that wait for a slot; further ones are
 * refused. */
#define QUEUE_MAX 9
/* Entries may send requests for this time after a drain is announced. */
#define DRAIN_US 2500000
/* Time from the start of a run to the crash that it causes. */
#define CRASH_MS 15
/* Limits of a request. */
#define HEAD_MAX_BYTES (64u << 10)
#define BODY_MAX_BYTES (1u << 20)

static bool
chance(SiteServer *s, uint32_t permille)
{
    return GwRng_Below(s->params.rng, 1000) < permille;
}

/* Returns the header lines of all answers, followed by `extra`. */
static char *
make_fields(const Connection *conn, const char *extra, const char *id)
{
    const SiteServer *s = conn->server;
    const GwAdapter *a = s->params.adapter;
    GString *text = g_string_new("Content-Type: application/octet-stream\r\n");

    g_string_append_printf(text, "%s: %s\r\n%s: %u,%u,%u\r\n%s", a->request_id,
                           id, a->load, s->running, s->queued.length,
                           s->params.slots, extra);
    if (s->limit_per_s > 0) {
        g_string_append_printf(text, "%s: %.1f\r\n", a->limit, s->limit_per_s);
    }
    if (s->is_leaving) {
        g_string_append_printf(text, "%s: 1\r\n", a->leaving);
    }
    return g_string_free(text, FALSE);
}

static void
write_answer(Connection *conn, uint16_t status, const char *extra,
             const char *id, const char *body)
{
    char *fields = make_fields(conn, extra, id);
    GString *out = g_string_new(NULL);

    g_string_printf(out, "HTTP/1.1 %u %s\r\n%sContent-Length: %zu\r\n\r\n%s",
                    status, status < 300 ? "OK" : "Error", fields,
                    strlen(body), body);
    GwConn_Write(conn->conn, out);
    g_string_free(out, TRUE);
    g_free(fields);
}

static const char *
id_of(const Connection *conn)
{
    const char *id =
        GwHttpMessage_Get(conn->msg, conn->server->params.adapter->request_id);

    return id != NULL ? id : "";
}

static void run(Connection *conn);
static void refuse(Connection *conn, uint16_t status);

/* Runs queued requests in free slots; refuses those whose time limit expired
 * in the queue. */
static void
run_next(SiteServer *s)
{
    int64_t now_us = (int64_t)(uv_hrtime() / 1000);
    Connection *next;

    while (s->running < s->params.slots &&
           (next = g_queue_pop_head(&s->queued)) != NULL) {
        int64_t until_us = next->received_us + next->left_ms * 1000;
        if (next->left_ms >= 0 && now_us > until_us) {
            refuse(next, 503);
        }
        else {
            run(next);
        }
    }
}

static void
finish(Connection *conn)
{
    SiteServer *s = conn->server;

    GwHttpMessage_Free(conn->msg);
    conn->msg = NULL;
    if (conn->running) {
        conn->running = false;
        s->running--;
        run_next(s);
    }
}

static void
free_connection(uv_handle_t *handle)
{
    g_free(handle->data);
}

/* Frees a connection that is closed and no longer in any queue. */
static void
release_connection(Connection *conn)
{
    SiteEndless_Free(conn->endless);
    uv_close((uv_handle_t *)&conn->timer, free_connection);
}

/* Handles a closed connection: its run is aborted. */
static void
end_connection(Connection *conn)
{
    SiteServer *s = conn->server;

    (void)g_queue_remove(&s->queued, conn);
    g_queue_unlink(&s->connections, &conn->node);
    finish(conn);
    release_connection(conn);
}

static void
on_ended(void *owner, GwConnEnd end)
{
    Connection *conn = owner;

    if (end == GW_CONN_MALFORMED) {
        GwConn_Close(conn->conn);
    }
    end_connection(conn);
}

/* ---- Crashes ------------------------------------------------------------- */

static void on_connection(uv_stream_t *listener, int status);

static void
on_restart(uv_timer_t *timer)
{
    SiteServer *s = timer->data;

    s->listener =
        GwConn_Listen(s->params.loop, s->params.address, on_connection, s);
    g_assert_nonnull(s->listener);
    s->params.restarted(s->params.owner, s->params.number);
}

/* Closes the listener and aborts all runs, as the end of a process does. */
static void
on_crash(uv_timer_t *timer)
{
    SiteServer *s = timer->data;
    GList *at;

    uv_close((uv_handle_t *)s->listener, (uv_close_cb)g_free);
    s->listener = NULL;
    s->params.crashed(s->params.owner, s->params.number);
    while ((at = g_queue_pop_head_link(&s->connections)) != NULL) {
        Connection *conn = at->data;
        GwHttpMessage_Free(conn->msg);
        GwConn_Close(conn->conn);
        release_connection(conn);
    }
    g_queue_clear(&s->queued);
    s->running = 0;
    SiteServer_ClearCache(s);
    (void)uv_timer_start(&s->process, on_restart, s->params.restart_ms, 0);
}

static bool
is_crashing(const Connection *conn)
{
    return conn->server->params.journal != NULL &&
           Site_Crashes(conn->msg->target->str);
}

static void
schedule_crash(Connection *conn)
{
    SiteServer *s = conn->server;

    SiteJournal_Crashed(s->params.journal, conn->msg->target->str);
    if (!uv_is_active((uv_handle_t *)&s->process)) {
        (void)uv_timer_start(&s->process, on_crash, CRASH_MS, 0);
    }
}

/* ---- Runs ---------------------------------------------------------------- */

/* Sends bytes without end instead of the answer, or after it. The run keeps
 * its slot until the entry closes the connection, unless it is answered. */
static void
send_endless(Connection *conn, const char *seal, const char *id,
             const char *body)
{
    SiteServer *s = conn->server;
    SiteEndlessFault fault = s->endless;
    char *fields = make_fields(conn, seal, id);

    if (fault.kind == SITE_ENDLESS_ANY) {
        fault.kind = 1 + GwRng_Below(s->params.rng, SITE_ENDLESS_ANY - 1);
    }
    bool is_behind = SiteEndlessKind_IsBehind(fault.kind);
    if (s->params.journal != NULL) {
        SiteJournal_Struck(s->params.journal, id, is_behind);
    }
    if (is_behind) {
        write_answer(conn, 200, seal, id, body);
        finish(conn);
    }
    conn->endless =
        SiteEndless_Start(s->params.loop, conn->conn, &fault, fields);
    g_free(fields);
}

static void
on_worked(uv_timer_t *timer)
{
    Connection *conn = timer->data;
    SiteServer *s = conn->server;
    char *seal =
        g_strdup_printf("%s: %s\r\n", s->params.adapter->seal, s->params.id);
    char *id = g_strdup(id_of(conn));
    char *body = Site_MakeBody(id, Site_IsLarge(conn->msg->target->str));

    s->served++;
    if (s->endless.permille > 0 && chance(s, s->endless.permille)) {
        send_endless(conn, seal, id, body);
    }
    else if (chance(s, s->params.lose_answer)) {
        if (s->params.journal != NULL) {
            SiteJournal_AnswerLost(s->params.journal, id);
        }
        GwConn_Close(conn->conn);
        end_connection(conn);
    }
    else {
        write_answer(conn, 200, seal, id, body);
        if (chance(s, s->params.stray)) {
            write_answer(conn, 200, seal, id, body);
        }
        finish(conn);
    }
    g_free(body);
    g_free(id);
    g_free(seal);
}

/* Answers 504 when the time limit expires, counted from the start of the
 * run. */
static void
on_time_over(uv_timer_t *timer)
{
    Connection *conn = timer->data;
    SiteServer *s = conn->server;
    char *seal =
        g_strdup_printf("%s: %s\r\n", s->params.adapter->seal, s->params.id);

    write_answer(conn, 504, seal, id_of(conn), "");
    finish(conn);
    g_free(seal);
}

static void
run(Connection *conn)
{
    SiteServer *s = conn->server;
    const char *key =
        GwHttpMessage_Get(conn->msg, s->params.adapter->object_key);
    bool warm = key != NULL && g_hash_table_contains(s->cached_keys, key);
    uint32_t cold_ms = s->params.work_ms;
    if (s->params.spread_ms > 0) {
        cold_ms += GwRng_Below(s->params.rng, s->params.spread_ms);
    }
    if (s->long_runs > 0 && chance(s, s->long_runs)) {
        cold_ms *= s->long_factor;
    }
    uint32_t work_ms = warm ? cold_ms * 3 / 10 : cold_ms;

    if (s->params.journal != NULL) {
        SiteJournal_Ran(s->params.journal, id_of(conn));
    }
    if (s->params.organisations != NULL) {
        SiteOrganisations_Ran(s->params.organisations, s->params.adapter,
                              conn->msg, id_of(conn));
    }
    if (key != NULL) {
        g_hash_table_add(s->cached_keys, g_strdup(key));
    }
    conn->running = true;
    s->running++;
    if (is_crashing(conn)) {
        schedule_crash(conn);
        return;
    }
    if (conn->left_ms >= 0 && conn->left_ms < work_ms) {
        (void)uv_timer_start(&conn->timer, on_time_over,
                             (uint64_t)conn->left_ms, 0);
        return;
    }
    (void)uv_timer_start(&conn->timer, on_worked, work_ms, 0);
}

static void
refuse(Connection *conn, uint16_t status)
{
    char *extra =
        g_strdup_printf("%s: 1\r\n", conn->server->params.adapter->not_run);

    write_answer(conn, status, extra, id_of(conn), "");
    g_free(extra);
    finish(conn);
}

/* Counts an arrival and compares the last SITE_LIMIT_SPAN_US with the
 * announced limit. */
static void
count_arrival(SiteServer *s, int64_t now_us)
{
    double most = s->limit_per_s * SITE_LIMIT_OVER * SITE_LIMIT_SPAN_US / 1e6 +
                  SITE_LIMIT_SLACK;
    guint old = 0;

    if (s->limit_per_s == 0 || now_us < s->limit_us) {
        return;
    }
    g_array_append_val(s->arrivals, now_us);
    while (g_array_index(s->arrivals, int64_t, old) <
           now_us - SITE_LIMIT_SPAN_US) {
        old++;
    }
    g_array_remove_range(s->arrivals, 0, old);
    if (s->arrivals->len > most) {
        s->above_limit =
            MAX(s->above_limit, s->arrivals->len - (uint32_t)most);
    }
}

static void
on_request(void *owner, GwHttpMessage *msg)
{
    Connection *conn = owner;
    SiteServer *s = conn->server;
    const char *expected =
        GwHttpMessage_Get(msg, s->params.adapter->expect_server);
    const char *left = GwHttpMessage_Get(msg, s->params.adapter->time_left);
    int64_t now_us = (int64_t)(uv_hrtime() / 1000);

    if (conn->endless != NULL) {
        GwHttpMessage_Free(msg);
        return;
    }
    count_arrival(s, now_us);
    conn->msg = msg;
    if (s->params.journal != NULL) {
        SiteJournal_Reached(s->params.journal, id_of(conn));
    }
    conn->received_us = now_us;
    conn->left_ms = left != NULL ? strtoll(left, NULL, 10) : -1;
    if (s->drained_us != 0 && now_us > s->drained_us + DRAIN_US) {
        s->late++;
    }
    if (is_crashing(conn)) {
        SiteJournal_CrashReached(s->params.journal, msg->target->str);
    }
    if (expected != NULL && strcmp(expected, s->params.id) != 0) {
        s->misdirected++;
        refuse(conn, 421);
    }
    else if (chance(s, s->params.refuse) || s->queued.length >= QUEUE_MAX) {
        refuse(conn, 503);
    }
    else if (s->running < s->params.slots) {
        run(conn);
    }
    else {
        g_queue_push_tail(&s->queued, conn);
    }
}

static const GwConnOps ops = {.message = on_request, .ended = on_ended};

static void
on_connection(uv_stream_t *listener, int status)
{
    SiteServer *s = listener->data;
    Connection *conn = g_new0(Connection, 1);
    GwConnParams params = {
        .loop = s->params.loop,
        .ops = &ops,
        .owner = conn,
        .requests = true,
        .head_max = HEAD_MAX_BYTES,
        .body_max = BODY_MAX_BYTES,
    };

    conn->conn = status == 0 ? GwConn_Accept(&params, listener) : NULL;
    if (conn->conn == NULL) {
        g_free(conn);
        return;
    }
    conn->server = s;
    (void)uv_timer_init(s->params.loop, &conn->timer);
    conn->timer.data = conn;
    conn->node.data = conn;
    g_queue_push_tail_link(&s->connections, &conn->node);
}

SiteServer *
SiteServer_Create(const SiteServerParams *params)
{
    SiteServer *s = g_new0(SiteServer, 1);

    s->params = *params;
    s->cached_keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    s->listener =
        GwConn_Listen(params->loop, params->address, on_connection, s);
    if (s->listener == NULL) {
        g_hash_table_destroy(s->cached_keys);
        g_free(s);
        return NULL;
    }
    s->arrivals = g_array_new(FALSE, FALSE, sizeof(int64_t));
    (void)uv_timer_init(params->loop, &s->process);
    s->process.data = s;
    return s;
}

uint32_t
SiteServer_Served(const SiteServer *s)
{
    return s->served;
}

void
SiteServer_SetFaults(SiteServer *s, uint32_t permille)
{
    s->params.lose_answer = permille;
    s->params.stray = permille;
    s->params.refuse = permille;
}

void
SiteServer_SetLongRuns(SiteServer *s, uint32_t permille, uint32_t factor)
{
    s->long_runs = permille;
    s->long_factor = factor;
}

void
SiteServer_SetEndless(SiteServer *s, const SiteEndlessFault *fault)
{
    s->endless = *fault;
}

void
SiteServer_ClearCache(SiteServer *s)
{
    g_hash_table_remove_all(s->cached_keys);
}

void
SiteServer_MarkDrained(SiteServer *s, int64_t now_us)
{
    s->drained_us = now_us;
}

void
SiteServer_SetLeaving(SiteServer *s, bool is_leaving)
{
    s->is_leaving = is_leaving;
}

uint32_t
SiteServer_Misdirected(const SiteServer *s)
{
    return s->misdirected;
}

uint32_t
SiteServer_LateRequests(const SiteServer *s)
{
    return s->late;
}

void
SiteServer_SetLimit(SiteServer *s, double per_s)
{
    s->limit_per_s = per_s;
    s->limit_us = (int64_t)(uv_hrtime() / 1000) + SITE_EXCHANGE_US;
    g_array_set_size(s->arrivals, 0);
}

uint32_t
SiteServer_AboveLimit(const SiteServer *s)
{
    return s->above_limit;
}
