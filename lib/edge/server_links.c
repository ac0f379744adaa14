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
    GList node; /* in edge->pools */
    GwEdge *edge;
    GwServer *server; /* NULL once it is gone */
    char *id;
    GQueue idle; /* GwServerLink, the last used at the tail */
    uint32_t open;
} GwPool;

struct GwServerLink_s {
    GwEdge *edge;
    GwPool *pool;
    GwConn *conn;
    GwExchange *exchange; /* NULL while idle */
    GList node;           /* in edge->connecting, then in pool->idle */
    int64_t begun_us;     /* of connecting */
    int64_t connect_us;   /* what connecting took; 0 when reused */
    int64_t idle_us;      /* since when it is idle */
    uint32_t idle_max_ms;
    uint32_t left_ms; /* of the request, when it was given to us */
    int64_t given_us;
    bool connecting;
    bool spoiled; /* a stray answer was on it: not used again */
};

static const GwConnOps link_ops;

static GwPool *
pool_of(GwEdge *edge, GwServer *s)
{
    void **place = GwServer_User(s);

    if (*place == NULL) {
        GwPool *pool = g_new0(GwPool, 1);
        pool->edge = edge;
        pool->server = s;
        pool->id = g_strdup(GwServer_Id(s));
        pool->node.data = pool;
        g_queue_push_tail_link(&edge->pools, &pool->node);
        *place = pool;
    }
    return *place;
}

static void
free_pool_if_over(GwPool *pool)
{
    if (pool->server == NULL && pool->open == 0) {
        g_queue_unlink(&pool->edge->pools, &pool->node);
        g_free(pool->id);
        g_free(pool);
    }
}

static void
discard(GwServerLink *link)
{
    GwPool *pool = link->pool;

    if (link->connecting) {
        g_queue_unlink(&link->edge->connecting, &link->node);
    }
    else if (link->exchange == NULL) {
        g_queue_unlink(&pool->idle, &link->node);
    }
    if (link->exchange != NULL) {
        link->exchange->link = NULL;
    }
    if (link->conn != NULL) {
        GwConn_Close(link->conn);
    }
    pool->open--;
    free_pool_if_over(pool);
    g_free(link);
}

/* ---- Requests out -------------------------------------------------------- */

/* Closes the connections that were idle longest, above this entry's part of
 * what the server takes: a server resets those beyond, of whoever comes. */
static void
trim_idle(GwPool *pool)
{
    uint32_t most =
        GwRouter_IdleConnectionsMax(pool->edge->router, pool->server);

    while (g_queue_get_length(&pool->idle) > most) {
        discard(g_queue_peek_head(&pool->idle));
    }
}

/* Kept for the next request: not a byte of this one has left, so it is idle
 * for as long as before. */
static void
put_back_unused(GwServerLink *link)
{
    link->exchange->link = NULL;
    link->exchange = NULL;
    g_queue_push_tail_link(&link->pool->idle, &link->node);
    if (link->pool->server == NULL) {
        discard(link);
        return;
    }
    trim_idle(link->pool);
}

/* Each request passes here before its first byte leaves, whether it has just
 * been read, has waited, or is tried again. An entry that is behind has the
 * end of the caller's connection unread then: passed on, the request would
 * take a slot to answer nobody. */
static void
write_request(GwServerLink *link)
{
    GwExchange *x = link->exchange;
    const GwAdapter *names = link->edge->adapter;

    if (!GwExchange_HasCaller(x)) {
        put_back_unused(link);
        return;
    }
    int64_t spent_ms = (GwEdge_Now() - link->given_us) / 1000;
    int64_t left_ms = MAX((int64_t)link->left_ms - spent_ms, 0);
    const char *const drop[] = {names->time_left, names->expect_server,
                                "expect", NULL};
    char *extra = g_strdup_printf("%s: %" G_GINT64_FORMAT "\r\n%s: %s\r\n",
                                  names->time_left, left_ms,
                                  names->expect_server, link->pool->id);
    GwHttpWrite how = {.drop = drop, .extra = extra};
    GString *out = g_string_sized_new(x->msg->body->len + 512);

    GwHttpMessage_WriteRequest(x->msg, &how, out);
    GwConn_Write(link->conn, out);
    g_string_free(out, TRUE);
    g_free(extra);
}

static GwServerLink *
take_idle(GwPool *pool, bool idempotent, int64_t now_us)
{
    GList *at;

    while ((at = g_queue_peek_tail_link(&pool->idle)) != NULL) {
        GwServerLink *link = at->data;
        int64_t idle_ms = (now_us - link->idle_us) / 1000;
        if (idle_ms < link->idle_max_ms && !GwConn_HasUnread(link->conn)) {
            if (!idempotent && idle_ms > ONCE_IDLE_MS) {
                return NULL;
            }
            g_queue_unlink(&pool->idle, at);
            return link;
        }
        discard(link);
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

/* An attempt that broke may come again under another id, at any entry: its
 * fingerprint ties them together. */
static void
log_failure(GwExchange *x, const GwAttemptEnd *end)
{
    GwEdge *edge = x->edge;
    const char *id = GwHttpMessage_Get(x->msg, edge->adapter->request_id);
    GwRequestStory story = GwRequest_Story(x->request, GwEdge_Now());
    char text[GW_FINGERPRINT_TEXT] = "";

    if (end->outcome == GW_ATTEMPT_BROKEN) {
        GwFingerprint_Write(GwExchange_Fingerprint(x), text);
    }
    GwLog_Event(GW_LOG_ATTEMPT_FAILED,
                "request=%.40s server=%s outcome=%s status=%u after_ms=%u "
                "fingerprint=%s",
                id != NULL ? id : "", story.server, outcome_name(end->outcome),
                end->status, story.took_ms - story.waited_ms, text);
}

static void
report(GwExchange *x, GwAttemptEnd *end)
{
    GwEdge *edge = x->edge;

    if (end->outcome != GW_ATTEMPT_ANSWERED) {
        log_failure(x, end);
    }
    if (end->closed || GwRouter_WantsFingerprints(edge->router)) {
        end->fingerprint = GwExchange_Fingerprint(x);
    }
    GwEdge_NoticeStop(edge); /* what this makes room for is judged by it */
    GwRouter_Ended(edge->router, GwEdge_Now(), x->request, end, edge->actions);
}

static GwServerLink *
connect_new(GwPool *pool)
{
    GwEdge *edge = pool->edge;
    GwServerLink *link = g_new0(GwServerLink, 1);
    GwConnParams params = {
        .loop = &edge->loop,
        .ops = &link_ops,
        .owner = link,
        .head_max = 256 << 10,
        .body_max = ANSWER_MAX,
        .budget = &edge->bodies,
        .user_timeout_ms = USER_TIMEOUT_MS,
    };

    link->edge = edge;
    link->pool = pool;
    link->node.data = link;
    link->begun_us = GwEdge_Now();
    link->connecting = true;
    link->idle_max_ms = IDLE_DEFAULT_MS;
    link->conn = GwConn_Connect(&params, GwServer_Address(pool->server));
    if (link->conn == NULL) {
        g_free(link);
        return NULL;
    }
    g_queue_push_tail_link(&edge->connecting, &link->node);
    pool->open++;
    edge->counts.connects++;
    return link;
}

void
GwServerLink_Send(GwExchange *x, GwServer *s, uint32_t left_ms)
{
    GwEdge *edge = x->edge;
    GwPool *pool = pool_of(edge, s);
    GwServerLink *link = take_idle(pool, x->idempotent, GwEdge_Now());
    bool reused = link != NULL;

    if (link == NULL) {
        link = connect_new(pool);
    }
    if (link == NULL) {
        GwAttemptEnd end = {.outcome = GW_ATTEMPT_UNSENT};
        report(x, &end);
        return;
    }
    link->exchange = x;
    link->left_ms = left_ms;
    link->given_us = GwEdge_Now();
    x->link = link;
    GwHttpMessage_Free(x->answer);
    x->answer = NULL;
    if (reused) {
        link->connect_us = 0;
        edge->counts.reuses++;
        write_request(link);
    }
}

/* What a connection that carries no request has told of its server. */
static void
report_probe(GwPool *pool, GwProbeResult result)
{
    if (pool->server != NULL) {
        GwEdge_NoticeStop(pool->edge);
        GwRouter_Probed(pool->edge->router, GwEdge_Now(), pool->server, result,
                        pool->edge->actions);
    }
}

void
GwServerLink_Probe(GwEdge *edge, GwServer *s)
{
    GwPool *pool = pool_of(edge, s);

    if (connect_new(pool) == NULL) {
        report_probe(pool, GW_PROBE_SILENT);
    }
}

void
GwServerLink_Cancel(GwExchange *x)
{
    if (x->link != NULL) {
        discard(x->link);
        x->link = NULL;
    }
}

/* The server is alive; the next request may go on the connection. */
static void
keep_probe(GwServerLink *link)
{
    GwPool *pool = link->pool;

    g_queue_push_tail_link(&pool->idle, &link->node);
    if (pool->server == NULL) {
        discard(link);
        return;
    }
    report_probe(pool, GW_PROBE_ALIVE);
    trim_idle(pool);
}

static void
on_connected(void *owner)
{
    GwServerLink *link = owner;
    GwEdge *edge = link->edge;

    link->connecting = false;
    g_queue_unlink(&edge->connecting, &link->node);
    link->idle_us = GwEdge_Now();
    link->connect_us = link->idle_us - link->begun_us;
    if (link->exchange != NULL) {
        write_request(link);
    }
    else {
        keep_probe(link);
    }
    GwEdge_Carry(edge);
}

/* ---- Answers in ---------------------------------------------------------- */

/* Keeps the connection for the next request, if the server goes on with it;
 * else it is gone. */
static bool
put_back(GwServerLink *link, const GwHttpMessage *msg)
{
    const char *keep = GwHttpMessage_Get(msg, "keep-alive");
    const char *timeout = keep != NULL ? strstr(keep, "timeout=") : NULL;

    link->exchange = NULL;
    link->idle_us = GwEdge_Now();
    if (timeout != NULL) {
        long s = strtol(timeout + strlen("timeout="), NULL, 10);
        link->idle_max_ms = s > 0 && s < 3600
                                ? (uint32_t)s * 1000 - IDLE_MARGIN_MS
                                : IDLE_DEFAULT_MS;
    }
    g_queue_push_tail_link(&link->pool->idle, &link->node);
    if (!msg->keep_alive || !msg->framed || link->spoiled ||
        link->pool->server == NULL) {
        discard(link);
        return false;
    }
    GwPool *pool = link->pool;
    trim_idle(pool); /* this one last */
    return !g_queue_is_empty(&pool->idle);
}

/* What an answer leads to is carried out once the whole read is parsed: only
 * then is it known that nothing stands behind the answer, and the next request
 * can go on its connection. */
static void
on_read(void *owner)
{
    const GwServerLink *link = owner;

    GwEdge_Carry(link->edge);
}

static void
on_message(void *owner, GwHttpMessage *msg)
{
    GwServerLink *link = owner;
    GwEdge *edge = link->edge;
    GwExchange *x = link->exchange;

    if (x == NULL) {
        GwHttpMessage_Free(msg);
        discard(link); /* an answer that nobody waits for */
        GwEdge_Carry(edge);
        return;
    }
    if (msg->status < 200) {
        GwHttpMessage_Free(msg);
        return;
    }
    if (!GwAnswer_IsTo(edge->adapter, msg, x->msg)) {
        link->spoiled = true;
        GwHttpMessage_Free(msg);
        return;
    }
    GwAttemptEnd end = GwAnswer_End(edge->adapter, msg, link->connect_us);
    x->answer = msg;
    x->link = NULL;
    bool kept = put_back(link, msg);
    report(x, &end);
    if (!kept) {
        GwEdge_Carry(edge);
    }
}

static void
on_ended(void *owner, GwConnEnd how)
{
    GwServerLink *link = owner;
    GwEdge *edge = link->edge;
    GwExchange *x = link->exchange;
    bool sent = GwConn_BytesOut(link->conn) > 0;

    if (how != GW_CONN_BAD) {
        link->conn = NULL; /* it has closed itself */
    }
    if (how == GW_CONN_REFUSED) {
        report_probe(link->pool, GW_PROBE_REFUSED);
    }
    else if (link->connecting && x == NULL) {
        report_probe(link->pool, GW_PROBE_SILENT);
    }
    discard(link);
    if (x != NULL) {
        GwAttemptEnd end = {.outcome =
                                sent ? GW_ATTEMPT_BROKEN : GW_ATTEMPT_UNSENT};
        end.closed = sent && how != GW_CONN_BAD;
        report(x, &end);
    }
    GwEdge_Carry(edge);
}

static bool
on_to_head(void *owner)
{
    const GwServerLink *link = owner;

    return link->exchange != NULL &&
           strcmp(link->exchange->msg->method, "HEAD") == 0;
}

static const GwConnOps link_ops = {
    .connected = on_connected,
    .message = on_message,
    .read = on_read,
    .to_head = on_to_head,
    .ended = on_ended,
};

/* ---- Servers that go, and time ------------------------------------------- */

static void
close_idle(GwPool *pool, int64_t before_us)
{
    GwServerLink *link;

    while ((link = g_queue_peek_head(&pool->idle)) != NULL) {
        int64_t until = link->idle_us + (int64_t)link->idle_max_ms * 1000;
        if (until > before_us) {
            break;
        }
        bool last = pool->open == 1 && pool->server == NULL;
        discard(link);
        if (last) {
            return; /* the pool is gone too */
        }
    }
}

void
GwServerLink_Forget(GwEdge *edge, GwServer *s)
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

static void
give_up_connecting(GwServerLink *link)
{
    GwExchange *x = link->exchange;
    GwAttemptEnd end = {.outcome = GW_ATTEMPT_UNSENT};

    if (x == NULL) {
        report_probe(link->pool, GW_PROBE_SILENT);
    }
    discard(link);
    if (x != NULL) {
        report(x, &end);
    }
}

void
GwServerLink_GiveUpConnecting(GwEdge *edge)
{
    GwServerLink *link;

    while ((link = g_queue_peek_head(&edge->connecting)) != NULL) {
        give_up_connecting(link);
    }
}

/* Connections that are not made in time are given up: a machine without power
 * answers nothing. One that was made while the loop was busy is seen only at
 * its next look, so the time until its last look counts; by the clock, an
 * entry that is behind takes all servers for gone. */
static void
sweep_connecting(GwEdge *edge)
{
    int64_t seen_us = GwTurns_SeenUntil(edge->turns);

    for (GList *at = edge->connecting.head, *next; at != NULL; at = next) {
        GwServerLink *link = at->data;
        uint32_t limit_ms =
            link->pool->server != NULL && GwServer_IsFar(link->pool->server)
                ? CONNECT_FAR_MS
                : CONNECT_NEAR_MS;
        next = at->next;
        if (seen_us - link->begun_us > (int64_t)limit_ms * 1000) {
            give_up_connecting(link);
        }
    }
}

/* Connections that are idle or being made; those with a request under way
 * are closed with their callers. */
void
GwServerLink_CloseAll(GwEdge *edge)
{
    GwServerLink *link;
    GwPool *pool;

    while ((link = g_queue_peek_head(&edge->connecting)) != NULL) {
        discard(link);
    }
    while ((pool = g_queue_peek_head(&edge->pools)) != NULL) {
        while ((link = g_queue_peek_head(&pool->idle)) != NULL) {
            pool->open++; /* keeps it until the loop is over */
            discard(link);
            pool->open--;
        }
        pool->server = NULL;
        pool->open = 0;
        free_pool_if_over(pool);
    }
}

void
GwServerLink_Sweep(GwEdge *edge, int64_t now_us)
{
    for (GList *at = edge->pools.head, *next; at != NULL; at = next) {
        next = at->next;
        close_idle(at->data, now_us);
    }
    sweep_connecting(edge);
}
