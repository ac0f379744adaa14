/* Connections to other entries for requests that are passed on: each carries
 * one request at a time and is kept open for a short time. */
#include "edge/relay.h"

#include <string.h>

/* Shorter than the idle time after which the other entry closes, so that no
 * request crosses its close. */
#define IDLE_MAX_MS 1000
#define CONNECT_MS  400
/* TCP_USER_TIMEOUT. It also ends the keep-alive probes that are sent while the
 * other entry waits for a server. */
#define USER_TIMEOUT_MS 1200

struct GwRelayLink_s {
    GwEdge *edge;
    GwConn *conn;
    GwExchange *exchange; /* NULL while idle */
    GwRelayTarget target;
    GList node; /* in edge->relays */
    bool connecting;
    int64_t connect_began_us;
    int64_t idle_since_us;
    uint32_t time_left_ms; /* for the request, at assigned_us */
    int32_t objective_left_ms;
    int64_t assigned_us;
    GwAnswerMeter meter;
    uint64_t reads_answered; /* GwConn_ReadCount at the last answer */
};

static const GwConnOps link_ops;

static void
close_link(GwRelayLink *link)
{
    g_queue_unlink(&link->edge->relays, &link->node);
    if (link->exchange != NULL) {
        link->exchange->relay = NULL;
    }
    if (link->conn != NULL) {
        if (link->exchange != NULL) {
            GwExchange_NoteUndelivered(link->exchange, link->conn,
                                       link->target.address,
                                       link->meter.sent_us);
        }
        GwConn_Close(link->conn);
    }
    g_free(link);
}

/* ---- Outcomes ------------------------------------------------------------ */

static void
log_failure(const GwExchange *x, const GwPassedOnEnd *end)
{
    const char *id = GwHttpMessage_Get(x->msg, x->edge->adapter->request_id);
    GwRequestSummary summary = GwRequest_Summarize(x->request, GwEdge_Now());

    GwLog_Event(GW_LOG_PASS_ON_FAILED,
                "request=%.40s member=%s outcome=%s reached=%d status=%u "
                "after_ms=%u",
                id != NULL ? id : "", GwRequest_Peer(x->request),
                GwAttemptOutcome_Name(end->attempt.outcome), end->has_reached,
                end->attempt.status, summary.took_ms - summary.waited_ms);
}

static void
report(GwExchange *x, GwPassedOnEnd *end)
{
    GwEdge *edge = x->edge;

    edge->counts.passed_on[end->attempt.outcome]++;
    if (end->attempt.outcome != GW_ATTEMPT_ANSWERED) {
        log_failure(x, end);
    }
    if (GwRouter_WantsFingerprints(edge->router)) {
        end->attempt.fingerprint = GwExchange_Fingerprint(x);
    }
    GwEdge_CheckStopSignal(edge);
    GwRouter_PassedOnEnded(edge->router, GwEdge_Now(), x->request, end,
                           edge->actions);
}

static void
report_unsent(GwExchange *x, bool withheld)
{
    GwPassedOnEnd end = {
        .attempt = {.outcome = GW_ATTEMPT_UNSENT, .withheld = withheld}};

    report(x, &end);
}

/* ---- Sending ------------------------------------------------------------- */

static GString *
write_text(const GwRelayLink *link)
{
    const GwExchange *x = link->exchange;
    int64_t spent_ms = (GwEdge_Now() - link->assigned_us) / 1000;
    int64_t time_left_ms = MAX((int64_t)link->time_left_ms - spent_ms, 0);
    const GwAdapter *names = x->edge->adapter;
    const char *const drop[] = {names->time_left,
                                names->expect_server,
                                names->organisation,
                                "expect",
                                GW_RELAY_PROCESS,
                                GW_RELAY_OBJECTIVE,
                                NULL};
    char *extra = g_strdup_printf(
        "%s: %" PRId64 "\r\n%s: %016" PRIx64 "\r\n%s: %" PRId64 "\r\n",
        names->time_left, time_left_ms, GW_RELAY_PROCESS,
        link->target.process_id, GW_RELAY_OBJECTIVE,
        link->objective_left_ms - spent_ms);
    GwHttpWriteOptions how = {.drop = drop, .extra = extra};
    GString *out = g_string_sized_new(x->msg->body->len + 512);

    GwHttpMessage_WriteRequest(x->msg, &how, out);
    g_free(extra);
    return out;
}

/* As before the first byte to a server, the caller may have disconnected and
 * its key been revoked meanwhile. */
static void
write_request(GwRelayLink *link)
{
    GwExchange *x = link->exchange;
    GwEdge *edge = link->edge;

    if (!GwExchange_IsCallerConnected(x)) {
        close_link(link);
        return;
    }
    GwEdge_ApplyProof(edge);
    if (!GwRouter_MaySend(edge->router, GwEdge_Now(), x->request)) {
        close_link(link);
        report_unsent(x, true);
        return;
    }
    GwAnswerMeter_Start(&link->meter, link->conn, GwEdge_Now());
    GwExchange_SetUserTimeout(x, link->conn, USER_TIMEOUT_MS);
    GwConn_WriteOwned(link->conn, write_text(link));
}

static GwRelayLink *
take_idle(GwEdge *edge, const GwRelayTarget *target)
{
    for (GList *at = edge->relays.tail, *next; at != NULL; at = next) {
        GwRelayLink *link = at->data;
        next = at->prev;
        if (link->exchange != NULL ||
            strcmp(link->target.address, target->address) != 0) {
            continue;
        }
        int64_t idle_ms = (GwEdge_Now() - link->idle_since_us) / 1000;
        if (idle_ms < IDLE_MAX_MS && !GwConn_HasUnread(link->conn)) {
            return link;
        }
        close_link(link);
    }
    return NULL;
}

static GwRelayLink *
connect_new(GwEdge *edge, const GwRelayTarget *target)
{
    GwRelayLink *link = g_new0(GwRelayLink, 1);
    GwConnParams params = {
        .loop = &edge->loop,
        .ops = &link_ops,
        .owner = link,
        .head_max = GW_ANSWER_HEAD_BYTES,
        .body_max = GW_ANSWER_MAX_BYTES,
        .budget = &edge->bodies,
        .user_timeout_ms = USER_TIMEOUT_MS,
        .keepalive = true,
    };

    link->edge = edge;
    link->node.data = link;
    link->connecting = true;
    link->connect_began_us = GwEdge_Now();
    link->conn = GwConn_Connect(&params, target->address);
    if (link->conn == NULL) {
        g_free(link);
        return NULL;
    }
    g_queue_push_tail_link(&edge->relays, &link->node);
    return link;
}

void
GwRelay_Send(GwExchange *x, const GwRouterAction *act)
{
    GwEdge *edge = x->edge;
    GwRelayTarget target;
    GwRelayLink *link = NULL;

    if (GwPeers_FindRelay(edge->peers, GwRequest_Peer(x->request), &target)) {
        link = take_idle(edge, &target);
        link = link != NULL ? link : connect_new(edge, &target);
    }
    if (link == NULL) {
        report_unsent(x, false);
        return;
    }
    link->target = target;
    link->exchange = x;
    link->time_left_ms = act->left_ms;
    link->objective_left_ms = act->objective_left_ms;
    link->assigned_us = GwEdge_Now();
    x->relay = link;
    GwHttpMessage_Free(x->answer);
    x->answer = NULL;
    if (!link->connecting) {
        write_request(link);
    }
}

void
GwRelay_Cancel(GwExchange *x)
{
    if (x->relay != NULL) {
        close_link(x->relay);
    }
}

bool
GwRelay_IsConnecting(const GwExchange *x)
{
    return x->relay != NULL && x->relay->connecting;
}

/* ---- Events -------------------------------------------------------------- */

static void
on_connected(void *owner)
{
    GwRelayLink *link = owner;
    GwEdge *edge = link->edge;

    link->connecting = false;
    write_request(link);
    GwEdge_RunActions(edge);
}

/* Ends the attempt of an answer that exceeded a bound. */
static void
fail_answer(GwRelayLink *link)
{
    GwExchange *x = link->exchange;
    GwPassedOnEnd end = {.attempt = {.outcome = GW_ATTEMPT_LOST},
                         .has_reached = true};

    GwAnswerBounds_NoteExcess(link->edge, GwRequest_Peer(x->request),
                              &link->meter, link->conn);
    close_link(link);
    report(x, &end);
}

static void
on_message(void *owner, GwHttpMessage *msg)
{
    GwRelayLink *link = owner;
    GwEdge *edge = link->edge;
    GwExchange *x = link->exchange;

    if (x == NULL) {
        GwHttpMessage_Free(msg);
        close_link(link);
        return;
    }
    if (msg->status < 200) {
        bool is_excess = GwAnswerMeter_AddExtra(&link->meter, link->conn, msg);
        GwHttpMessage_Free(msg);
        if (is_excess) {
            fail_answer(link);
            GwEdge_RunActions(edge);
        }
        return;
    }
    GwPassedOnEnd end = GwRelay_ReadEnd(edge->adapter, msg);
    bool is_answer = end.attempt.outcome == GW_ATTEMPT_ANSWERED;
    x->answer = is_answer ? msg : NULL;
    x->relay = NULL;
    link->exchange = NULL;
    link->reads_answered = GwConn_ReadCount(link->conn);
    link->idle_since_us = GwEdge_Now();
    if (!msg->keep_alive || !msg->framed) {
        close_link(link);
    }
    report(x, &end);
    if (!is_answer) {
        GwHttpMessage_Free(msg);
    }
    GwEdge_RunActions(edge);
}

/* Closes a connection that receives anything while it is idle. */
static void
on_read(void *owner)
{
    GwRelayLink *link = owner;
    GwEdge *edge = link->edge;

    if (link->exchange == NULL &&
        (GwConn_IsInMessage(link->conn) ||
         GwConn_ReadCount(link->conn) > link->reads_answered)) {
        close_link(link);
    }
    else if (link->exchange != NULL &&
             GwAnswerMeter_IsPadded(&link->meter, link->conn)) {
        fail_answer(link);
        GwEdge_RunActions(edge);
    }
}

static void
on_ended(void *owner, GwConnEnd how)
{
    GwRelayLink *link = owner;
    GwEdge *edge = link->edge;
    GwExchange *x = link->exchange;
    bool sent = GwConn_BytesOut(link->conn) > 0;
    GwPassedOnEnd end = {.attempt = {.outcome = GW_ATTEMPT_LOST},
                         .has_reached = true};

    if (how != GW_CONN_MALFORMED) {
        link->conn = NULL; /* closed by GwConn */
    }
    else if (x != NULL && GwAnswerBounds_IsExcess(link->conn)) {
        GwAnswerBounds_NoteExcess(edge, GwRequest_Peer(x->request),
                                  &link->meter, link->conn);
    }
    close_link(link);
    if (x != NULL && sent) {
        report(x, &end);
    }
    else if (x != NULL) {
        report_unsent(x, false);
    }
    GwEdge_RunActions(edge);
}

static bool
is_to_head(void *owner)
{
    const GwRelayLink *link = owner;

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

/* ---- Time-outs ----------------------------------------------------------- */

static void
abort_connecting(GwRelayLink *link)
{
    GwExchange *x = link->exchange;

    close_link(link);
    if (x != NULL) {
        report_unsent(x, false);
    }
}

void
GwRelay_AbortConnecting(GwEdge *edge)
{
    for (GList *at = edge->relays.head, *next; at != NULL; at = next) {
        GwRelayLink *link = at->data;
        next = at->next;
        if (link->connecting) {
            abort_connecting(link);
        }
    }
}

void
GwRelay_Sweep(GwEdge *edge, int64_t now_us)
{
    int64_t seen_us = GwTurns_PolledUntil(edge->turns);

    for (GList *at = edge->relays.head, *next; at != NULL; at = next) {
        GwRelayLink *link = at->data;
        next = at->next;
        if (link->connecting &&
            seen_us - link->connect_began_us > CONNECT_MS * 1000) {
            abort_connecting(link);
        }
        else if (!link->connecting && link->exchange == NULL &&
                 now_us - link->idle_since_us > IDLE_MAX_MS * 1000) {
            close_link(link);
        }
    }
}

void
GwRelay_CloseAll(GwEdge *edge)
{
    GwRelayLink *link;

    while ((link = g_queue_peek_head(&edge->relays)) != NULL) {
        close_link(link);
    }
}
