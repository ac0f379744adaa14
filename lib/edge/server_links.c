/* Requests on connections to backend servers: each carries one request at a
 * time and is kept open for the next request. */
#include "edge/server_links_internal.h"

#include <string.h>

/* Connect time-outs for servers in the same region and in other regions;
 * longer than the round trip. */
#define CONNECT_SAME_REGION_MS  300
#define CONNECT_OTHER_REGION_MS 500
/* TCP_USER_TIMEOUT: with data unacknowledged for this long, the server or the
 * path to it has failed. */
#define USER_TIMEOUT_MS 1200

static const GwConnOps link_ops;

/* ---- Sending requests ---------------------------------------------------- */

const char *
GwAttemptOutcome_Name(GwAttemptOutcome outcome)
{
    switch (outcome) {
    case GW_ATTEMPT_ANSWERED:
        return "answered";
    case GW_ATTEMPT_REFUSED:
        return "refused";
    case GW_ATTEMPT_UNSENT:
        return "unsent";
    case GW_ATTEMPT_LOST:
        return "broken";
    }
    return "";
}

/* After a lost connection the caller may retry under another id and at any
 * entry. The logged fingerprint connects the attempts. */
static void
log_failure(GwExchange *x, const GwAttemptEnd *end)
{
    GwEdge *edge = x->edge;
    const char *id = GwHttpMessage_Get(x->msg, edge->adapter->request_id);
    GwRequestSummary request_summary =
        GwRequest_Summarize(x->request, GwEdge_Now());
    char text[GW_FINGERPRINT_TEXT_SIZE] = "";

    if (end->outcome == GW_ATTEMPT_LOST) {
        GwFingerprint_Format(GwExchange_Fingerprint(x), text);
    }
    GwLog_Event(GW_LOG_ATTEMPT_FAILED,
                "request=%.40s server=%s outcome=%s link=%s status=%u "
                "after_ms=%u fingerprint=%s",
                id != NULL ? id : "", request_summary.server,
                GwAttemptOutcome_Name(end->outcome), GwLinkEnd_Name(end->link),
                end->status,
                request_summary.took_ms - request_summary.waited_ms, text);
}

static void
report_attempt(GwExchange *x, GwAttemptEnd *end)
{
    GwEdge *edge = x->edge;

    if (end->outcome != GW_ATTEMPT_ANSWERED) {
        log_failure(x, end);
    }
    if (end->closed || GwRouter_WantsFingerprints(edge->router)) {
        end->fingerprint = GwExchange_Fingerprint(x);
    }
    /* Decides whether the freed slot is assigned to another request. */
    GwEdge_CheckStopSignal(edge);
    GwRouter_AttemptEnded(edge->router, GwEdge_Now(), x->request, end,
                          edge->actions);
}

/* Every request passes through here before its first byte is sent: when just
 * read, after queueing, and on a retry. If the loop is behind, the end of the
 * caller's connection may still be unread; forwarding the request would then
 * use a slot to answer a disconnected caller. The caller's key may have been
 * revoked, or the server may have asked for rest, while the connection was set
 * up or the process was paused. */
static void
write_request(GwServerLink *link)
{
    GwExchange *x = link->exchange;
    GwEdge *edge = link->edge;

    if (!GwExchange_IsCallerConnected(x)) {
        GwServerLink_ReturnUnsent(link);
        return;
    }
    GwEdge_ApplyProof(edge);
#if GW_MUTANT != 93 /* breaks: a key revoked during the connect is used */
    if (!GwRouter_MaySend(edge->router, GwEdge_Now(), x->request)) {
        GwAttemptEnd end = {.outcome = GW_ATTEMPT_UNSENT, .withheld = true};
        GwServerLink_ReturnUnsent(link);
        report_attempt(x, &end);
        return;
    }
#endif
    int64_t spent_ms = (GwEdge_Now() - link->assigned_us) / 1000;
    int64_t time_left_ms = MAX((int64_t)link->time_left_ms - spent_ms, 0);
    GwAnswerMeter_Start(&link->meter, link->conn, GwEdge_Now());
    GwExchange_SetUserTimeout(x, link->conn, USER_TIMEOUT_MS);
    GwConn_WriteOwned(
        link->conn, GwExchange_WriteRequest(x, link->pool->id, time_left_ms));
}

static GwServerLink *
connect_new(GwServerPool *pool)
{
    GwEdge *edge = pool->edge;
    GwServerLink *link = g_new0(GwServerLink, 1);
    GwConnParams params = {
        .loop = &edge->loop,
        .ops = &link_ops,
        .owner = link,
        .head_max = GW_ANSWER_HEAD_BYTES,
        .body_max = GW_ANSWER_MAX_BYTES,
        .budget = &edge->bodies,
        .user_timeout_ms = USER_TIMEOUT_MS,
        .source = edge->settings->source_address[0] != '\0'
                      ? edge->settings->source_address
                      : NULL,
    };

    link->edge = edge;
    link->pool = pool;
    link->node.data = link;
    link->receiving.data = link;
    link->connect_began_us = GwEdge_Now();
    link->connecting = true;
    link->idle_max_ms = GW_SERVER_IDLE_MS;
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
GwServerLink_Send(GwExchange *x, const GwRouterAction *act)
{
    GwEdge *edge = x->edge;
    GwServerPool *pool = GwServerPool_Of(edge, act->server);
    GwServerLink *link =
        GwServerPool_TakeIdle(pool, x->idempotent, GwEdge_Now());
    bool reused = link != NULL;

    if (link == NULL && !act->reuses_connection) {
        link = connect_new(pool);
    }
    if (link == NULL) {
        GwAttemptEnd end = {.outcome = GW_ATTEMPT_UNSENT,
                            .no_connection = act->reuses_connection};
        report_attempt(x, &end);
        return;
    }
    link->exchange = x;
    link->time_left_ms = act->left_ms;
    link->assigned_us = GwEdge_Now();
    x->link = link;
    GwHttpMessage_Free(x->answer);
    x->answer = NULL;
    if (reused) {
        link->connect_us = 0;
        edge->counts.reuses++;
        write_request(link);
    }
}

/* Reports the server state found by a connection that carries no request. */
static void
report_probe(GwServerPool *pool, GwProbeResult result)
{
    if (pool->server != NULL) {
        GwEdge_CheckStopSignal(pool->edge);
        GwRouter_ProbeEnded(pool->edge->router, GwEdge_Now(), pool->server,
                            result, pool->edge->actions);
    }
}

void
GwServerLink_Probe(GwEdge *edge, GwServer *s)
{
    GwServerPool *pool = GwServerPool_Of(edge, s);

    if (connect_new(pool) == NULL) {
        report_probe(pool, GW_PROBE_TIMEOUT);
    }
}

void
GwServerLink_Cancel(GwExchange *x)
{
    if (x->link != NULL) {
        GwServerLink_Close(x->link);
        x->link = NULL;
    }
}

bool
GwServerLink_IsConnecting(const GwExchange *x)
{
    return x->link != NULL && x->link->connecting;
}

/* Reports the server as alive and keeps the connection for the next
 * request. */
static void
finish_probe(GwServerLink *link)
{
    report_probe(link->pool, GW_PROBE_ALIVE);
    GwServerPool_PutIdle(link->pool, link);
}

static void
on_connected(void *owner)
{
    GwServerLink *link = owner;
    GwEdge *edge = link->edge;

    link->connecting = false;
    g_queue_unlink(&edge->connecting, &link->node);
    link->idle_since_us = GwEdge_Now();
    link->connect_us = link->idle_since_us - link->connect_began_us;
    if (link->exchange != NULL) {
        write_request(link);
    }
    else {
        finish_probe(link);
    }
    GwEdge_RunActions(edge);
}

/* ---- Receiving answers --------------------------------------------------- */

/* Whether an idle connection received anything but its last answer: a part of
 * a message, or blank lines in a read of their own. */
static bool
has_excess_bytes(const GwServerLink *link)
{
#if GW_MUTANT == 143 /* breaks: whatever follows an answer is kept */
    return false;
#endif
    return link->exchange == NULL &&
           (GwConn_IsInMessage(link->conn) ||
            GwConn_ReadCount(link->conn) > link->reads_answered);
}

/* Ends the attempt of an answer that exceeded a bound. */
static void
fail_answer(GwServerLink *link)
{
    GwExchange *x = link->exchange;
    GwAttemptEnd end = {.outcome = GW_ATTEMPT_LOST};

    GwAnswerBounds_NoteExcess(link->edge, link->pool->id, &link->meter,
                              link->conn);
    GwServerLink_Close(link);
    report_attempt(x, &end);
}

/* Runs the actions that follow from an answer only after the whole read is
 * parsed: only then is it known that no data follows the answer, and that the
 * connection can carry the next request. */
static void
on_read(void *owner)
{
    GwServerLink *link = owner;
    GwEdge *edge = link->edge;

    if (has_excess_bytes(link)) {
        GwServerLink_Close(link);
    }
    else if (link->exchange != NULL &&
             GwAnswerMeter_IsPadded(&link->meter, link->conn)) {
        fail_answer(link);
    }
    else if (link->exchange != NULL && link->meter.began_us == 0) {
        link->meter.began_us = GwEdge_Now();
        g_queue_push_tail_link(&edge->receiving, &link->receiving);
    }
    GwEdge_RunActions(edge);
}

static void
on_message(void *owner, GwHttpMessage *msg)
{
    GwServerLink *link = owner;
    GwEdge *edge = link->edge;
    GwExchange *x = link->exchange;

    if (x == NULL) {
        GwHttpMessage_Free(msg);
        GwServerLink_Close(link); /* unsolicited answer */
        GwEdge_RunActions(edge);
        return;
    }
    bool is_interim = msg->status < 200;
    if (is_interim || !GwAnswer_IsTo(edge->adapter, msg, x->msg)) {
        link->has_stray_answer |= !is_interim;
        bool is_excess = GwAnswerMeter_AddExtra(&link->meter, link->conn, msg);
        GwHttpMessage_Free(msg);
        if (is_excess) {
            fail_answer(link);
            GwEdge_RunActions(edge);
        }
        return;
    }
    GwAttemptEnd end = GwAnswer_End(edge->adapter, msg, link->connect_us);
    x->answer = msg;
    x->link = NULL;
    bool kept = GwServerLink_ReturnAnswered(link, msg);
    report_attempt(x, &end);
    if (!kept) {
        GwEdge_RunActions(edge);
    }
}

static GwLinkEnd
link_end(GwConnEnd how)
{
    switch (how) {
    case GW_CONN_REFUSED:
        return GW_LINK_REFUSED;
    case GW_CONN_TIMED_OUT:
        return GW_LINK_TIMEOUT;
    case GW_CONN_MALFORMED:
        return GW_LINK_OK;
    case GW_CONN_ENDED:
    case GW_CONN_FAILED:
        break;
    }
    return GW_LINK_RESET;
}

static void
on_ended(void *owner, GwConnEnd how)
{
    GwServerLink *link = owner;
    GwEdge *edge = link->edge;
    GwExchange *x = link->exchange;
    bool sent = GwConn_BytesOut(link->conn) > 0;

    /* An idle connection that the server closes has not failed. */
    if (x != NULL || link->connecting || how != GW_CONN_ENDED) {
        edge->counts.links_failed[link_end(how)]++;
    }

    if (how != GW_CONN_MALFORMED) {
        link->conn = NULL; /* closed by GwConn */
    }
    else if (x != NULL && GwAnswerBounds_IsExcess(link->conn)) {
        GwAnswerBounds_NoteExcess(edge, link->pool->id, &link->meter,
                                  link->conn);
    }
    if (how == GW_CONN_REFUSED) {
        report_probe(link->pool, GW_PROBE_REFUSED);
    }
    else if (link->connecting && x == NULL) {
        report_probe(link->pool, GW_PROBE_TIMEOUT);
    }
    GwServerLink_Close(link);
    if (x != NULL) {
        GwAttemptEnd end = {.outcome =
                                sent ? GW_ATTEMPT_LOST : GW_ATTEMPT_UNSENT,
                            .link = link_end(how)};
        end.closed = sent && how != GW_CONN_MALFORMED;
#if GW_MUTANT == 144 /* breaks: an answer over its bounds counts as not run */
        if (how == GW_CONN_MALFORMED) {
            end.outcome = GW_ATTEMPT_REFUSED;
        }
#endif
        report_attempt(x, &end);
    }
    GwEdge_RunActions(edge);
}

static bool
is_to_head(void *owner)
{
    const GwServerLink *link = owner;

    return link->exchange != NULL &&
           strcmp(link->exchange->msg->method, "HEAD") == 0;
}

static const GwConnOps link_ops = {
    .connected = on_connected,
    .message = on_message,
    .read = on_read,
    .is_head_response = is_to_head,
    .ended = on_ended,
};

/* ---- Time-outs --------------------------------------- */

static void
abort_connecting(GwServerLink *link)
{
    GwExchange *x = link->exchange;
    GwAttemptEnd end = {.outcome = GW_ATTEMPT_UNSENT, .link = GW_LINK_TIMEOUT};

    link->edge->counts.links_failed[GW_LINK_TIMEOUT]++;
    if (x == NULL) {
        report_probe(link->pool, GW_PROBE_TIMEOUT);
    }
    GwServerLink_Close(link);
    if (x != NULL) {
        report_attempt(x, &end);
    }
}

void
GwServerLink_AbortConnecting(GwEdge *edge)
{
    GwServerLink *link;

    while ((link = g_queue_peek_head(&edge->connecting)) != NULL) {
        abort_connecting(link);
    }
}

/* Aborts connects that take too long: a machine without power sends no reply.
 * A connection established while the loop was busy is noticed only at the next
 * poll, so time is counted up to the last poll. If the time were
 * counted up to now, all connects would time out at an entry whose loop is
 * behind. */
static void
sweep_connecting(GwEdge *edge)
{
    int64_t seen_us = GwTurns_PolledUntil(edge->turns);

    for (GList *at = edge->connecting.head, *next; at != NULL; at = next) {
        GwServerLink *link = at->data;
        uint32_t limit_ms =
            link->pool->server != NULL && GwServer_IsRemote(link->pool->server)
                ? CONNECT_OTHER_REGION_MS
                : CONNECT_SAME_REGION_MS;
        next = at->next;
        if (seen_us - link->connect_began_us > (int64_t)limit_ms * 1000) {
            abort_connecting(link);
        }
    }
}

/* Ends attempts whose answers arrive too slowly. */
static void
sweep_receiving(GwEdge *edge)
{
    int64_t seen_us = GwTurns_PolledUntil(edge->turns);

    for (GList *at = edge->receiving.head, *next; at != NULL; at = next) {
        GwServerLink *link = at->data;
        next = at->next;
        if (GwAnswerMeter_IsTooSlow(&link->meter, link->conn, seen_us)) {
            fail_answer(link);
        }
    }
}

void
GwServerLink_Sweep(GwEdge *edge, int64_t now_us)
{
    for (GList *at = edge->pools.head, *next; at != NULL; at = next) {
        next = at->next;
        GwServerPool_CloseIdle(at->data, now_us);
    }
    sweep_connecting(edge);
    sweep_receiving(edge);
}
