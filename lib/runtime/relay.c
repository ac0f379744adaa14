/* Calls relayed to peers, and calls that peers relay to us. */
#include "runtime/runtime_internal.h"

#include <string.h>

typedef struct {
    uint64_t link;
    uint64_t id;
} RelayKey;

/* A peer's call on its way to a worker. */
typedef struct {
    uint64_t link;
    GwNodeId from;
    int64_t arrived_us;
    GwCallRequest request;
} RelayJob;

guint
RelayKey_Hash(gconstpointer key)
{
    const RelayKey *k = key;
    return (guint)(k->link * 31 + k->id);
}

gboolean
RelayKey_Equal(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, sizeof(RelayKey)) == 0;
}

static void
report_end(GwRuntime *rt, const Relay *relay, GwOutcome outcome,
           GwReason reason)
{
    GwEvent event = {
        .kind = GW_EVENT_ATTEMPT,
        .u.attempt =
            {
                .call = relay->call,
                .attempt = relay->attempt,
                .outcome = outcome,
                .reason = reason,
            },
    };
    Runtime_Step(rt, &event);
}

/* Takes a relay out of the table: whoever gets it reports its end, once. */
static Relay *
steal(GwRuntime *rt, uint64_t id)
{
    pthread_mutex_lock(&rt->call_lock);
    Relay *relay = g_hash_table_lookup(rt->relays, &id);
    if (relay != NULL) {
        g_hash_table_steal(rt->relays, &id);
    }
    pthread_mutex_unlock(&rt->call_lock);
    return relay;
}

/* Enters the relay unless the call is over. The check and the entry are one
 * step under the call lock, so that the end of the call either sees the
 * relay and cancels it, or keeps it from being made. */
static Relay *
enter(GwRuntime *rt, OpenCall *call, const GwRelayAction *action)
{
    Relay *relay = NULL;
    pthread_mutex_lock(&rt->call_lock);
    pthread_mutex_lock(&call->mutex);
    if (!call->finished) {
        relay = g_new0(Relay, 1);
        relay->id = ++rt->next_relay;
        relay->call = action->call;
        relay->attempt = action->attempt;
        relay->give_up_us = MIN(action->give_up_us, call->deadline_us);
        g_strlcpy(relay->address, action->address, GW_ADDR_MAX);
        g_hash_table_insert(rt->relays, &relay->id, relay);
        call->relayed_on = true;
    }
    pthread_mutex_unlock(&call->mutex);
    pthread_mutex_unlock(&rt->call_lock);
    return relay;
}

static uint8_t *
frame_call(const OpenCall *call, const GwRelayAction *action, uint64_t id,
           size_t *len)
{
    GwEnvelope envelope = {
        .kind = GW_ENVELOPE_CALL,
        .u.call = call->request,
    };
    int64_t left_ms = (call->deadline_us - GwNet_NowUs()) / 1000;
    envelope.u.call.id = id;
    envelope.u.call.deadline_left_ms =
        (uint32_t)CLAMP(left_ms, 0, GW_DEADLINE_CAP);
    envelope.u.call.to_owner = action->to_owner;
    envelope.u.call.grant = action->grant;
    return GwCodec_Frame(&envelope, len);
}

void
Relay_OnAction(GwRuntime *rt, const GwRelayAction *action)
{
    size_t len;
    OpenCall *call = Call_Find(rt, action->call);
    Relay *relay = call != NULL ? enter(rt, call, action) : NULL;

    if (relay == NULL) {
        Call_ReportNotRun(rt, action->call, action->attempt,
                          GW_REASON_CALLER_GONE);
    }
    else {
        uint64_t id = relay->id;
        uint8_t *frame = frame_call(call, action, id, &len);
        GwCounter_Add(&rt->metrics.relays_out, 1);
        if (!GwNet_Call(rt->net, action->address, action->to, id, frame,
                        len)) {
            Relay_OnLost(rt, id, false);
        }
    }
    if (call != NULL) {
        Call_Unref(call);
    }
}

static void
send_cancel(GwRuntime *rt, const Relay *relay)
{
    GwEnvelope envelope = {
        .kind = GW_ENVELOPE_CANCEL,
        .u.cancel = relay->id,
    };
    size_t len;
    uint8_t *frame = GwCodec_Frame(&envelope, &len);
    GwNet_Send(rt->net, relay->address, frame, len);
}

typedef bool (*Wanted)(const Relay *relay, const void *arg);

static GPtrArray *
steal_all(GwRuntime *rt, Wanted wanted, const void *arg)
{
    GPtrArray *out = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer relay;

    pthread_mutex_lock(&rt->call_lock);
    g_hash_table_iter_init(&iter, rt->relays);
    while (g_hash_table_iter_next(&iter, NULL, &relay)) {
        if (wanted(relay, arg)) {
            g_hash_table_iter_steal(&iter);
            g_ptr_array_add(out, relay);
        }
    }
    pthread_mutex_unlock(&rt->call_lock);
    return out;
}

/* The peer may have run it or not: unknown. */
static void
give_up_all(GwRuntime *rt, GPtrArray *relays)
{
    for (guint i = 0; i < relays->len; i++) {
        const Relay *relay = g_ptr_array_index(relays, i);
        send_cancel(rt, relay);
        report_end(rt, relay, GW_OUTCOME_UNKNOWN, GW_REASON_SILENT);
    }
    g_ptr_array_free(relays, TRUE);
}

static bool
is_of_call(const Relay *relay, const void *arg)
{
    const Relay *like = arg;
    return relay->call == like->call &&
           (like->attempt == 0 || relay->attempt == like->attempt);
}

void
Relay_Cancel(GwRuntime *rt, uint64_t call, uint32_t attempt)
{
    Relay like = {.call = call, .attempt = attempt};
    give_up_all(rt, steal_all(rt, is_of_call, &like));
}

static bool
is_over(const Relay *relay, const void *arg)
{
    return relay->give_up_us <= *(const int64_t *)arg;
}

void
Relay_Sweep(GwRuntime *rt, int64_t now_us)
{
    give_up_all(rt, steal_all(rt, is_over, &now_us));
}

static void
put_reply_answer(GwRuntime *rt, const Relay *relay, GwCallReply *reply)
{
    OpenCall *call = Call_Find(rt, relay->call);
    if (call == NULL) {
        return;
    }
    GwAnswer *answer = GwAnswer_Create(reply->status, reply->content_type,
                                       reply->body, reply->body_len);
    reply->body = NULL;
    Call_PutAnswer(call, relay->attempt, answer);
    Call_Unref(call);
}

/* A reply that comes after its relay was given up finds none and is dropped:
 * its call has had its outcome. */
void
Relay_OnReply(void *arg, GwCallReply *reply)
{
    GwRuntime *rt = arg;
    Relay *relay = steal(rt, reply->id);

    if (relay == NULL) {
        return;
    }
    GwEvent event = {
        .kind = GW_EVENT_ATTEMPT,
        .u.attempt =
            {
                .call = relay->call,
                .attempt = relay->attempt,
                .outcome = reply->outcome,
                .reason = reply->reason,
                .retry_after_ms = reply->retry_after_ms,
                .body_len = reply->body_len,
            },
    };
    if (reply->outcome == GW_OUTCOME_ANSWERED) {
        put_reply_answer(rt, relay, reply);
    }
    Runtime_Step(rt, &event);
    g_free(relay);
}

void
Relay_OnLost(void *arg, uint64_t id, bool sent)
{
    GwRuntime *rt = arg;
    Relay *relay = steal(rt, id);

    if (relay == NULL) {
        return;
    }
    if (sent) {
        report_end(rt, relay, GW_OUTCOME_UNKNOWN, GW_REASON_BROKEN);
    }
    else {
        report_end(rt, relay, GW_OUTCOME_NOT_RUN, GW_REASON_PEER_CONNECT);
    }
    g_free(relay);
}

static void
reply_with(GwRuntime *rt, uint64_t link, GwCallReply *reply)
{
    GwEnvelope envelope = {.kind = GW_ENVELOPE_REPLY, .u.reply = *reply};
    size_t len;
    uint8_t *frame = GwCodec_Frame(&envelope, &len);
    GwNet_Reply(rt->net, link, frame, len);
}

/* Turns a call away before its ticket is looked at. One that came here as to
 * the owner may be a resend of a booking that ran: only the record can say
 * "not run" of it. */
static void
refuse(GwRuntime *rt, uint64_t link, const GwCallRequest *call,
       GwReason reason)
{
    GwCallReply reply = {
        .id = call->id,
        .outcome = call->to_owner ? GW_OUTCOME_UNKNOWN : GW_OUTCOME_NOT_RUN,
        .reason = reason,
        .ticket = call->ticket,
    };
    reply_with(rt, link, &reply);
}

void
Relay_OnCall(void *arg, uint64_t link, GwNodeId from, GwCallRequest *call)
{
    GwRuntime *rt = arg;

    GwCounter_Add(&rt->metrics.relays_in, 1);
    if (atomic_load(&rt->closing)) {
        refuse(rt, link, call, GW_REASON_LEAVING);
        return;
    }
    if (GwWorkers_Waiting(rt->relay_pool) >= RELAY_QUEUE_MAX) {
        refuse(rt, link, call, GW_REASON_QUEUE_FULL);
        return;
    }
    RelayJob *job = g_new0(RelayJob, 1);
    *job = (RelayJob){
        .link = link,
        .from = from,
        .arrived_us = GwNet_NowUs(),
        .request = *call,
    };
    call->body = NULL;
    atomic_fetch_add(&rt->relays_active, 1);
    GwWorkers_Push(rt->relay_pool, job);
}

static GwCallEvent
call_event(const OpenCall *call, const RelayJob *job)
{
    const GwCallRequest *request = &call->request;
    GwCallEvent event = {
        .call = call->handle,
        .ticket = request->ticket,
        .deadline_us = call->deadline_us,
        .relayed = true,
        .to_owner = request->to_owner,
        .relay_from = job->from,
        .grant = request->grant,
    };
    g_strlcpy(event.service, request->service, GW_NAME_MAX);
    g_strlcpy(event.method, request->method, sizeof(event.method));
    g_strlcpy(event.path, request->target,
              MIN(GW_PATH_MAX, strcspn(request->target, "?") + 1));
    return event;
}

static GwCallReply
make_reply(const OpenCall *call, uint64_t id)
{
    const GwFinishAction *finish = &call->finish;
    GwCallReply reply = {
        .id = id,
        .outcome = finish->outcome,
        .reason = finish->reason,
        .retry_after_ms = finish->retry_after_ms,
        .ticket = finish->ticket,
    };
    if (finish->outcome == GW_OUTCOME_ANSWERED) {
        reply.status = call->answer->status;
        reply.body = call->answer->body;
        reply.body_len = call->answer->body_len;
        g_strlcpy(reply.content_type, call->answer->content_type, GW_TYPE_MAX);
    }
    return reply;
}

static void
remember(GwRuntime *rt, const RelayKey *key, uint64_t handle)
{
    pthread_mutex_lock(&rt->call_lock);
    g_hash_table_insert(rt->relayed_in, g_memdup2(key, sizeof(*key)),
                        g_memdup2(&handle, sizeof(handle)));
    pthread_mutex_unlock(&rt->call_lock);
}

static void
forget(GwRuntime *rt, const RelayKey *key)
{
    pthread_mutex_lock(&rt->call_lock);
    g_hash_table_remove(rt->relayed_in, key);
    pthread_mutex_unlock(&rt->call_lock);
}

/* The deadline counts from arrival here: what the way took is lost to the
 * caller's side, which gives up on its own clock. */
void
Relay_Serve(void *job, void *arg)
{
    GwRuntime *rt = arg;
    RelayJob *relayed = job;
    RelayKey key = {.link = relayed->link, .id = relayed->request.id};
    int64_t deadline_us = relayed->arrived_us +
                          (int64_t)relayed->request.deadline_left_ms * 1000;

    OpenCall *call = Call_Open(rt, &relayed->request, deadline_us);
    remember(rt, &key, call->handle);
    GwCallEvent event = call_event(call, relayed);
    Call_Drive(rt, call, &event);
    forget(rt, &key);
    GwCallReply reply = make_reply(call, key.id);
    reply_with(rt, relayed->link, &reply);
    Call_Close(rt, call);
    g_free(relayed);
    atomic_fetch_sub(&rt->relays_active, 1);
}

void
Relay_OnPeerCancel(void *arg, uint64_t link, uint64_t id)
{
    GwRuntime *rt = arg;
    RelayKey key = {.link = link, .id = id};
    GwEvent event = {.kind = GW_EVENT_CALL_GONE};

    pthread_mutex_lock(&rt->call_lock);
    const uint64_t *handle = g_hash_table_lookup(rt->relayed_in, &key);
    event.u.call_gone = handle != NULL ? *handle : 0;
    pthread_mutex_unlock(&rt->call_lock);
    if (event.u.call_gone != 0) {
        Runtime_Step(rt, &event);
    }
}
