/* Connections to backend servers: one request at a time on each, kept open
 * for the next one. */
#include "edge/edge_internal.h"

#include <stdlib.h>
#include <string.h>

/* Without a word of the server, an idle connection is used for so long. */
#define IDLE_DEFAULT_MS 4000
/* Before the time that the server named, so that no request crosses its
 * close. */
#define IDLE_MARGIN_MS 700
/* A request that may run once goes only on a connection that was heard from
 * this lately: something between the ends may have lost track of it, and then
 * nobody could tell whether the request ran. A new one costs about 1 ms. */
#define ONCE_IDLE_MS 1500
/* Time to connect, besides the round trip. */
#define CONNECT_NEAR_MS 300
#define CONNECT_FAR_MS  500
/* Bytes not acknowledged for this long: the server or the path is gone. */
#define USER_TIMEOUT_MS 1200
/* The largest answer that is held whole. */
#define ANSWER_MAX (32u << 20)

typedef struct {
    GList link; /* in edge->pools */
    GwEdge *edge;
    GwServer *server; /* NULL once it is gone */
    char *id;
    GQueue idle; /* GwUpstream, the last used at the tail */
    uint32_t open;
} GwPool;

struct GwUpstream_s {
    GwEdge *edge;
    GwPool *pool;
    GwConn *conn;
    GwExchange *exchange; /* NULL while idle */
    GList link;           /* in edge->connecting, then in pool->idle */
    int64_t begun_us;     /* of connecting */
    int64_t connect_us;   /* what connecting took; 0 when reused */
    int64_t idle_us;      /* since when it is idle */
    uint32_t idle_max_ms;
    uint32_t left_ms; /* of the request, when it was given to us */
    int64_t given_us;
    bool connecting;
    bool spoiled; /* a stray answer was on it: not used again */
};

static const GwConnOps upstream_ops;

static GwPool *
pool_of(GwEdge *edge, GwServer *s)
{
    void **place = GwServer_User(s);

    if (*place == NULL) {
        GwPool *pool = g_new0(GwPool, 1);
        pool->edge = edge;
        pool->server = s;
        pool->id = g_strdup(GwServer_Id(s));
        pool->link.data = pool;
        g_queue_push_tail_link(&edge->pools, &pool->link);
        *place = pool;
    }
    return *place;
}

static void
free_pool_if_over(GwPool *pool)
{
    if (pool->server == NULL && pool->open == 0) {
        g_queue_unlink(&pool->edge->pools, &pool->link);
        g_free(pool->id);
        g_free(pool);
    }
}

static void
discard(GwUpstream *up)
{
    GwPool *pool = up->pool;

    if (up->connecting) {
        g_queue_unlink(&up->edge->connecting, &up->link);
    }
    else if (up->exchange == NULL) {
        g_queue_unlink(&pool->idle, &up->link);
    }
    if (up->exchange != NULL) {
        up->exchange->upstream = NULL;
    }
    if (up->conn != NULL) {
        GwConn_Close(up->conn);
    }
    pool->open--;
    free_pool_if_over(pool);
    g_free(up);
}

/* ---- Requests out -------------------------------------------------------- */

static void
write_request(GwUpstream *up)
{
    GwExchange *x = up->exchange;
    const GwAdapter *names = up->edge->adapter;
    int64_t spent_ms = (GwEdge_Now() - up->given_us) / 1000;
    int64_t left_ms = MAX((int64_t)up->left_ms - spent_ms, 0);
    const char *const drop[] = {names->time_left, names->expect_server,
                                "expect", NULL};
    char *extra = g_strdup_printf("%s: %" G_GINT64_FORMAT "\r\n%s: %s\r\n",
                                  names->time_left, left_ms,
                                  names->expect_server, up->pool->id);
    GwHttpWrite how = {.drop = drop, .extra = extra};
    GString *out = g_string_sized_new(x->msg->body->len + 512);

    GwHttpMessage_WriteRequest(x->msg, &how, out);
    GwConn_Write(up->conn, out);
    g_string_free(out, TRUE);
    g_free(extra);
}

static GwUpstream *
take_idle(GwPool *pool, bool idempotent, int64_t now_us)
{
    GList *at;

    while ((at = g_queue_peek_tail_link(&pool->idle)) != NULL) {
        GwUpstream *up = at->data;
        int64_t idle_ms = (now_us - up->idle_us) / 1000;
        if (idle_ms < up->idle_max_ms && !GwConn_HasUnread(up->conn)) {
            if (!idempotent && idle_ms > ONCE_IDLE_MS) {
                return NULL;
            }
            g_queue_unlink(&pool->idle, at);
            return up;
        }
        discard(up);
    }
    return NULL;
}

static const char *
outcome_name(GwAttemptOutcome outcome)
{
    switch (outcome) {
    case GW_ATTEMPT_ANSWERED:
        return "answered";
    case GW_ATTEMPT_REFUSED:
        return "refused";
    case GW_ATTEMPT_UNSENT:
        return "unsent";
    case GW_ATTEMPT_BROKEN:
        return "broken";
    }
    return "";
}

static void
log_failure(const GwExchange *x, const GwAttemptEnd *end)
{
    GwEdge *edge = x->edge;
    const char *id = GwHttpMessage_Get(x->msg, edge->adapter->request_id);
    GwRequestStory story = GwRequest_Story(x->request, GwEdge_Now());

    GwLog_Event(GW_LOG_ATTEMPT_FAILED,
                "request=%.40s server=%s outcome=%s status=%u after_ms=%u",
                id != NULL ? id : "", story.server, outcome_name(end->outcome),
                end->status, story.took_ms - story.waited_ms);
}

static void
report(GwExchange *x, const GwAttemptEnd *end)
{
    GwEdge *edge = x->edge;

    if (end->outcome != GW_ATTEMPT_ANSWERED) {
        log_failure(x, end);
    }

    GwRouter_Ended(edge->router, GwEdge_Now(), x->request, end, edge->actions);
}

static GwUpstream *
connect_new(GwExchange *x, GwPool *pool)
{
    GwEdge *edge = x->edge;
    GwUpstream *up = g_new0(GwUpstream, 1);
    GwConnParams params = {
        .loop = &edge->loop,
        .ops = &upstream_ops,
        .owner = up,
        .head_max = 256 << 10,
        .body_max = ANSWER_MAX,
        .budget = &edge->bodies,
        .user_timeout_ms = USER_TIMEOUT_MS,
    };

    up->edge = edge;
    up->pool = pool;
    up->link.data = up;
    up->begun_us = GwEdge_Now();
    up->connecting = true;
    up->idle_max_ms = IDLE_DEFAULT_MS;
    up->conn = GwConn_Connect(&params, GwServer_Address(pool->server));
    if (up->conn == NULL) {
        g_free(up);
        return NULL;
    }
    g_queue_push_tail_link(&edge->connecting, &up->link);
    pool->open++;
    edge->counts.connects++;
    return up;
}

void
GwUpstream_Send(GwExchange *x, GwServer *s, uint32_t left_ms)
{
    GwEdge *edge = x->edge;
    GwPool *pool = pool_of(edge, s);
    GwUpstream *up = take_idle(pool, x->idempotent, GwEdge_Now());
    bool reused = up != NULL;

    if (up == NULL) {
        up = connect_new(x, pool);
    }
    if (up == NULL) {
        GwAttemptEnd end = {.outcome = GW_ATTEMPT_UNSENT};
        report(x, &end);
        return;
    }
    up->exchange = x;
    up->left_ms = left_ms;
    up->given_us = GwEdge_Now();
    x->upstream = up;
    GwHttpMessage_Free(x->answer);
    x->answer = NULL;
    if (reused) {
        up->connect_us = 0;
        edge->counts.reuses++;
        write_request(up);
    }
}

void
GwUpstream_Cancel(GwExchange *x)
{
    if (x->upstream != NULL) {
        discard(x->upstream);
        x->upstream = NULL;
    }
}

static void
on_connected(void *owner)
{
    GwUpstream *up = owner;

    up->connecting = false;
    g_queue_unlink(&up->edge->connecting, &up->link);
    up->connect_us = GwEdge_Now() - up->begun_us;
    write_request(up);
}

/* ---- Answers in ---------------------------------------------------------- */

static void
read_load(const char *text, GwAttemptEnd *end)
{
    unsigned int running;
    unsigned int waiting;

    if (text != NULL && sscanf(text, "%u,%u", &running, &waiting) == 2) {
        end->has_load = true;
        end->running = running;
        end->waiting = waiting;
    }
}

static GwAttemptOutcome
outcome_of(const GwAdapter *names, const GwHttpMessage *msg)
{
    if (msg->status == 421 || GwHttpMessage_Get(msg, names->not_run)) {
        return GW_ATTEMPT_REFUSED;
    }
    if (msg->status < 300 && GwHttpMessage_Get(msg, names->seal) == NULL) {
        return GW_ATTEMPT_BROKEN;
    }
    return GW_ATTEMPT_ANSWERED;
}

static GwAttemptEnd
end_of(const GwUpstream *up, const GwHttpMessage *msg)
{
    const GwAdapter *names = up->edge->adapter;
    const char *cold = GwHttpMessage_Get(msg, names->cold_ms);
    GwAttemptEnd end = {
        .outcome = outcome_of(names, msg),
        .status = msg->status,
        .other_server = msg->status == 421,
        .leaving = !msg->keep_alive,
        .cold_ms = cold != NULL ? (uint32_t)strtoul(cold, NULL, 10) : 0,
        .connect_us = up->connect_us,
    };

    read_load(GwHttpMessage_Get(msg, names->load), &end);
    return end;
}

/* Whether the answer belongs to the request that waits here. A second answer
 * to an earlier request can stand where this one's is expected. */
static bool
is_ours(const GwUpstream *up, const GwHttpMessage *msg)
{
    const char *name = up->edge->adapter->request_id;
    const char *theirs = GwHttpMessage_Get(msg, name);
    const char *ours = GwHttpMessage_Get(up->exchange->msg, name);

    if (theirs == NULL) {
        return msg->status >= 300 || ours == NULL;
    }
    return ours != NULL && strcmp(theirs, ours) == 0;
}

/* Keeps the connection for the next request, if the server goes on with it. */
static void
put_back(GwUpstream *up, const GwHttpMessage *msg)
{
    const char *keep = GwHttpMessage_Get(msg, "keep-alive");
    const char *timeout = keep != NULL ? strstr(keep, "timeout=") : NULL;

    up->exchange = NULL;
    up->idle_us = GwEdge_Now();
    if (timeout != NULL) {
        long s = strtol(timeout + strlen("timeout="), NULL, 10);
        up->idle_max_ms = s > 0 && s < 3600
                              ? (uint32_t)s * 1000 - IDLE_MARGIN_MS
                              : IDLE_DEFAULT_MS;
    }
    g_queue_push_tail_link(&up->pool->idle, &up->link);
    if (!msg->keep_alive || !msg->framed || up->spoiled ||
        up->pool->server == NULL) {
        discard(up);
    }
}

static void
on_message(void *owner, GwHttpMessage *msg)
{
    GwUpstream *up = owner;
    GwEdge *edge = up->edge;
    GwExchange *x = up->exchange;

    if (x == NULL) {
        GwHttpMessage_Free(msg);
        discard(up); /* an answer that nobody waits for */
        return;
    }
    if (msg->status < 200) {
        GwHttpMessage_Free(msg);
        return;
    }
    if (!is_ours(up, msg)) {
        up->spoiled = true;
        GwHttpMessage_Free(msg);
        return;
    }
    GwAttemptEnd end = end_of(up, msg);
    x->answer = msg;
    x->upstream = NULL;
    put_back(up, msg);
    report(x, &end);
    GwEdge_Carry(edge);
}

static void
on_ended(void *owner, GwConnEnd how)
{
    GwUpstream *up = owner;
    GwEdge *edge = up->edge;
    GwExchange *x = up->exchange;
    bool sent = GwConn_BytesOut(up->conn) > 0;

    if (how != GW_CONN_BAD) {
        up->conn = NULL; /* it has closed itself */
    }
    discard(up);
    if (x != NULL) {
        GwAttemptEnd end = {.outcome =
                                sent ? GW_ATTEMPT_BROKEN : GW_ATTEMPT_UNSENT};
        report(x, &end);
        GwEdge_Carry(edge);
    }
}

static bool
on_to_head(void *owner)
{
    const GwUpstream *up = owner;

    return up->exchange != NULL &&
           strcmp(up->exchange->msg->method, "HEAD") == 0;
}

static const GwConnOps upstream_ops = {
    .connected = on_connected,
    .message = on_message,
    .to_head = on_to_head,
    .ended = on_ended,
};

/* ---- Servers that go, and time ------------------------------------------- */

static void
close_idle(GwPool *pool, int64_t before_us)
{
    GwUpstream *up;

    while ((up = g_queue_peek_head(&pool->idle)) != NULL) {
        int64_t until = up->idle_us + (int64_t)up->idle_max_ms * 1000;
        if (until > before_us) {
            break;
        }
        bool last = pool->open == 1 && pool->server == NULL;
        discard(up);
        if (last) {
            return; /* the pool is gone too */
        }
    }
}

void
GwUpstream_Forget(GwEdge *edge, GwServer *s)
{
    GwPool *pool = *GwServer_User(s);

    (void)edge;
    if (pool != NULL) {
        pool->server = NULL;
        if (pool->open == 0) {
            free_pool_if_over(pool);
            return;
        }
        close_idle(pool, INT64_MAX);
    }
}

/* Connections that are not made in time are given up: a machine without
 * power answers nothing. */
static void
sweep_connecting(GwEdge *edge, int64_t now_us)
{
    for (GList *at = edge->connecting.head, *next; at != NULL; at = next) {
        GwUpstream *up = at->data;
        uint32_t limit_ms =
            up->pool->server != NULL && GwServer_IsFar(up->pool->server)
                ? CONNECT_FAR_MS
                : CONNECT_NEAR_MS;
        next = at->next;
        if (now_us - up->begun_us > (int64_t)limit_ms * 1000) {
            GwExchange *x = up->exchange;
            GwAttemptEnd end = {.outcome = GW_ATTEMPT_UNSENT};
            discard(up);
            if (x != NULL) {
                report(x, &end);
            }
        }
    }
}

/* Connections that are idle or being made; those with a request under way
 * are closed with their callers. */
void
GwUpstream_CloseAll(GwEdge *edge)
{
    GwUpstream *up;
    GwPool *pool;

    while ((up = g_queue_peek_head(&edge->connecting)) != NULL) {
        discard(up);
    }
    while ((pool = g_queue_peek_head(&edge->pools)) != NULL) {
        while ((up = g_queue_peek_head(&pool->idle)) != NULL) {
            pool->open++; /* keeps it until the loop is over */
            discard(up);
            pool->open--;
        }
        pool->server = NULL;
        pool->open = 0;
        free_pool_if_over(pool);
    }
}

void
GwUpstream_Sweep(GwEdge *edge, int64_t now_us)
{
    for (GList *at = edge->pools.head, *next; at != NULL; at = next) {
        next = at->next;
        close_idle(at->data, now_us);
    }
    sweep_connecting(edge, now_us);
}
