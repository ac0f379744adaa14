/* Calls relayed to peers, and calls received from peers. */
#include "runtime/runtime_internal.h"

#include <string.h>

/* Identifies a received call: the connection and the sender's relay id. */
typedef struct {
    uint64_t link;
    uint64_t id;
} RelayKey;

/* A received call queued for a worker. */
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
report_outcome(GwRuntime *rt, const Relay *relay, GwOutcome outcome,
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

/* Removes a relay from the table, or returns NULL. The thread that removed it
 * reports its end, so each end is reported once. */
static Relay *
remove_relay(GwRuntime *rt, uint64_t id)
{
    pthread_mutex_lock(&rt->call_lock);
    Relay *relay = g_hash_table_lookup(rt->relays, &id);
    if (relay != NULL) {
        g_hash_table_steal(rt->relays, &id);
    }
    pthread_mutex_unlock(&rt->call_lock);
    return relay;
}

/* Adds a relay unless the call is finished. Check and insertion are atomic
 * under call_lock: a finishing call either finds the relay and cancels it, or
 * prevents its creation. */
static Relay *
add_relay(GwRuntime *rt, OpenCall *call, const GwRelayAction *action)
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
        call->was_relayed = true;
    }
    pthread_mutex_unlock(&call->mutex);
    pthread_mutex_unlock(&rt->call_lock);
    return relay;
}

static uint8_t *
encode_call(const OpenCall *call, const GwRelayAction *action, uint64_t id,
            size_t *len)
{
    GwEnvelope envelope = {
        .kind = GW_ENVELOPE_CALL,
        .u.call = call->request,
    };
    int64_t left_ms = (call->deadline_us - GwNet_NowUs()) / 1000;
    envelope.u.call.id = id;
    envelope.u.call.deadline_left_ms =
        (uint32_t)CLAMP(left_ms, 0, GW_DEADLINE_MAX_MS);
    envelope.u.call.to_owner = action->to_owner;
    envelope.u.call.grant = action->grant;
    return GwCodec_Frame(&envelope, len);
}

void
Relay_OnAction(GwRuntime *rt, const GwRelayAction *action)
{
    size_t len;
    OpenCall *call = Call_Find(rt, action->call);
    Relay *relay = call != NULL ? add_relay(rt, call, action) : NULL;

    if (relay == NULL) {
        Call_ReportNotRun(rt, action->call, action->attempt,
                          GW_REASON_CALLER_GONE);
    }
    else {
        uint64_t id = relay->id;
        uint8_t *frame = encode_call(call, action, id, &len);
        GwCounter_Add(&rt->metrics.relays_out, 1);
        if (!GwNet_SendCall(rt->net, action->address, action->to, id, frame,
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
    GwNet_SendControl(rt->net, relay->address, frame, len);
}

typedef bool (*RelayFilter)(const Relay *relay, const void *arg);

static GPtrArray *
remove_matching(GwRuntime *rt, RelayFilter matches, const void *arg)
{
    GPtrArray *out = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer relay;

    pthread_mutex_lock(&rt->call_lock);
    g_hash_table_iter_init(&iter, rt->relays);
    while (g_hash_table_iter_next(&iter, NULL, &relay)) {
        if (matches(relay, arg)) {
            g_hash_table_iter_steal(&iter);
            g_ptr_array_add(out, relay);
        }
    }
    pthread_mutex_unlock(&rt->call_lock);
    return out;
}

/* Cancels the relays and reports unknown outcomes, as the peers may have run
 * the calls. Frees the array. */
static void
cancel_all(GwRuntime *rt, GPtrArray *relays)
{
    for (guint i = 0; i < relays->len; i++) {
        const Relay *relay = g_ptr_array_index(relays, i);
        send_cancel(rt, relay);
        report_outcome(rt, relay, GW_OUTCOME_UNKNOWN, GW_REASON_SILENT);
    }
    g_ptr_array_free(relays, TRUE);
}

static bool
is_of_call(const Relay *relay, const void *arg)
{
    const Relay *criteria = arg;
    return relay->call == criteria->call &&
           (criteria->attempt == 0 || relay->attempt == criteria->attempt);
}

void
Relay_Cancel(GwRuntime *rt, uint64_t call, uint32_t attempt)
{
    Relay criteria = {.call = call, .attempt = attempt};
    cancel_all(rt, remove_matching(rt, is_of_call, &criteria));
}

static bool
is_expired(const Relay *relay, const void *arg)
{
    return relay->give_up_us <= *(const int64_t *)arg;
}

void
Relay_Sweep(GwRuntime *rt, int64_t now_us)
{
    cancel_all(rt, remove_matching(rt, is_expired, &now_us));
}

static void
store_answer(GwRuntime *rt, const Relay *relay, GwCallReply *reply)
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

/* Drops a reply whose relay was cancelled: the outcome of that attempt has
 * been reported. */
void
Relay_OnReply(void *arg, GwCallReply *reply)
{
    GwRuntime *rt = arg;
    Relay *relay = remove_relay(rt, reply->id);

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
        store_answer(rt, relay, reply);
    }
    Runtime_Step(rt, &event);
    g_free(relay);
}

void
Relay_OnLost(void *arg, uint64_t id, bool sent)
{
    GwRuntime *rt = arg;
    Relay *relay = remove_relay(rt, id);

    if (relay == NULL) {
        return;
    }
    if (sent) {
        report_outcome(rt, relay, GW_OUTCOME_UNKNOWN, GW_REASON_BROKEN);
    }
    else {
        report_outcome(rt, relay, GW_OUTCOME_NOT_RUN, GW_REASON_PEER_CONNECT);
    }
    g_free(relay);
}

static void
send_reply(GwRuntime *rt, uint64_t link, GwCallReply *reply)
{
    GwEnvelope envelope = {.kind = GW_ENVELOPE_REPLY, .u.reply = *reply};
    size_t len;
    uint8_t *frame = GwCodec_Frame(&envelope, &len);
    GwNet_SendReply(rt->net, link, frame, len);
}

/* Refuses a call before its ticket is checked. A call sent to this process as
 * the ticket's owner may be a resend of a call that ran: without the ticket's
 * record its outcome is unknown. */
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
    send_reply(rt, link, &reply);
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
    if (GwWorkers_CountQueued(rt->relay_pool) >= RELAY_QUEUE_MAX) {
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
        g_strlcpy(reply.content_type, call->answer->content_type,
                  GW_CONTENT_TYPE_MAX);
    }
    return reply;
}

static void
add_relayed_in(GwRuntime *rt, const RelayKey *key, uint64_t handle)
{
    pthread_mutex_lock(&rt->call_lock);
    g_hash_table_insert(rt->relayed_in, g_memdup2(key, sizeof(*key)),
                        g_memdup2(&handle, sizeof(handle)));
    pthread_mutex_unlock(&rt->call_lock);
}

static void
remove_relayed_in(GwRuntime *rt, const RelayKey *key)
{
    pthread_mutex_lock(&rt->call_lock);
    g_hash_table_remove(rt->relayed_in, key);
    pthread_mutex_unlock(&rt->call_lock);
}

/* Drives a received call and sends its reply. The deadline counts from arrival
 * here, which excludes the transit time; the sender applies its own deadline
 * on its own clock. */
void
Relay_Serve(void *job, void *arg)
{
    GwRuntime *rt = arg;
    RelayJob *relayed = job;
    RelayKey key = {.link = relayed->link, .id = relayed->request.id};
    int64_t deadline_us = relayed->arrived_us +
                          (int64_t)relayed->request.deadline_left_ms * 1000;

    OpenCall *call = Call_Open(rt, &relayed->request, deadline_us);
    add_relayed_in(rt, &key, call->handle);
    GwCallEvent event = call_event(call, relayed);
    Call_Drive(rt, call, &event);
    remove_relayed_in(rt, &key);
    GwCallReply reply = make_reply(call, key.id);
    send_reply(rt, relayed->link, &reply);
    Call_Close(rt, call);
    g_free(relayed);
    atomic_fetch_sub(&rt->relays_active, 1);
}

void
Relay_OnPeerCancel(void *arg, uint64_t link, uint64_t id)
{
    GwRuntime *rt = arg;
    RelayKey key = {.link = link, .id = id};
    GwEvent event = {.kind = GW_EVENT_CALLER_DISCONNECTED};

    pthread_mutex_lock(&rt->call_lock);
    const uint64_t *handle = g_hash_table_lookup(rt->relayed_in, &key);
    event.u.disconnected_call = handle != NULL ? *handle : 0;
    pthread_mutex_unlock(&rt->call_lock);
    if (event.u.disconnected_call != 0) {
        Runtime_Step(rt, &event);
    }
}
