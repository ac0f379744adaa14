/* Queues of waiting calls, and the start of attempts. */
#include "entry/calls_internal.h"

#include <assert.h>
#include <string.h>

static GwHeap *
find_queue(GwCalls *c, const GwCall *call)
{
    GwServiceCalls *service = &c->services[call->service];
    bool must_run_here = call->relayed && !call->to_owner;
    return must_run_here ? &service->relayed : &service->local;
}

/* Adds the call to its service's queue, which is ordered by deadline. */
void
GwCalls_Enqueue(GwCalls *c, GwCall *call)
{
    assert(call->queue_index == GW_HEAP_ABSENT);
    call->state = GW_CALL_WAITING;
    GwHeap_Push(find_queue(c, call), call->deadline_us, call,
                &call->queue_index);
    c->waiting_count++;
    c->queued[call->service]++;
}

/* Removes the call from its queue; no effect if it is not queued. */
void
GwCalls_Dequeue(GwCalls *c, GwCall *call)
{
    if (call->queue_index == GW_HEAP_ABSENT) {
        return;
    }
    GwHeap_Remove(find_queue(c, call), &call->queue_index);
    c->waiting_count--;
    c->queued[call->service]--;
}

/* Returns the upper bound of an attempt's duration by the service's latency
 * estimate; 0 without samples.
 *
 * A non-idempotent call started with less time left is likely to end as
 * UNKNOWN, which costs its caller far more than a refusal. An idempotent call
 * would waste its slot: under overload the queue, ordered by deadline, would
 * start every call just too late. The result is limited to half of the call's
 * total time: an estimate that is far too high would otherwise refuse every
 * call, and without new samples never be corrected. */
static int64_t
time_needed_us(const GwCalls *c, const GwCall *call)
{
    const GwLatency *latency = &c->services[call->service].latency;
    int64_t half = (call->deadline_us - call->arrived_us) / 2;
    int64_t need = GwLatency_UpperBound(latency);

    return need < half ? need : half;
}

/* Returns whether an attempt started now would probably miss the deadline. */
bool
GwCalls_WillMissDeadline(const GwCalls *c, const GwCall *call, int64_t now_us)
{
    return now_us + time_needed_us(c, call) >= call->deadline_us;
}

/* Returns when to start a hedge; INT64_MAX if the call gets none. */
static int64_t
hedge_time_us(const GwCalls *c, const GwCallsEnv *env, const GwCall *call)
{
    const GwServiceCalls *service = &c->services[call->service];
    uint32_t percentile =
        env->config->services[call->service].hedge_percentile;

    if (percentile == 0 || !call->idempotent || call->hedged ||
        call->relayed || service->latency.samples < 20 ||
        call->attempts[0].kind != GW_ATTEMPT_BACKEND) {
        return INT64_MAX;
    }
    return call->attempts[0].started_us + service->latency.quantile_us;
}

/* Sets the call's timer to its next due time: deadline, latest useful start,
 * end of back-off, time-out of an attempt, or hedge. */
void
GwCalls_UpdateTimer(GwCalls *c, const GwCallsEnv *env, GwCall *call)
{
    int64_t due = call->deadline_us;

    if (call->state == GW_CALL_WAITING && call->service != GW_NONE) {
        due -= time_needed_us(c, call);
    }
    if (call->state == GW_CALL_BACKOFF && call->due_us < due) {
        due = call->due_us;
    }
    if (call->state == GW_CALL_RUNNING) {
        for (uint32_t i = 0; i < GW_ATTEMPTS_AT_ONCE; i++) {
            if (call->attempts[i].active &&
                call->attempts[i].give_up_us < due) {
                due = call->attempts[i].give_up_us;
            }
        }
        if (call->service != GW_NONE && call->attempts[0].active) {
            int64_t hedge = hedge_time_us(c, env, call);
            due = hedge < due ? hedge : due;
        }
    }
    call->due_us = due;
    if (call->timer_index == GW_HEAP_ABSENT) {
        GwHeap_Push(&c->timers, due, call, &call->timer_index);
    }
    else {
        GwHeap_SetKey(&c->timers, &call->timer_index, due);
    }
}

static GwAttempt *
begin_attempt(GwCalls *c, const GwCallsEnv *env, GwCall *call,
              GwAttemptKind kind)
{
    uint32_t at = call->attempts[0].active ? 1 : 0;
    GwAttempt *attempt = &call->attempts[at];

    assert(!attempt->active);
    call->attempts_made++;
    *attempt = (GwAttempt){.active = true,
                           .kind = kind,
                           .number = call->attempts_made,
                           .started_us = env->now_us,
                           .give_up_us = call->deadline_us};
    if (call->idempotent && kind == GW_ATTEMPT_BACKEND) {
        int64_t limit =
            env->now_us + (int64_t)c->params.attempt_timeout_ms * 1000;
        if (limit < attempt->give_up_us) {
            attempt->give_up_us = limit;
        }
    }
    call->state = GW_CALL_RUNNING;
    return attempt;
}

static void
start_backend(GwCalls *c, const GwCallsEnv *env, GwCall *call,
              const GwPick *pick)
{
    GwAttempt *attempt = begin_attempt(c, env, call, GW_ATTEMPT_BACKEND);
    attempt->use = pick->use;
    attempt->backend = pick->backend;
    call->last_backend = pick->backend;

    GwAction *action = GwActions_Add(env->out, GW_ACTION_DISPATCH);
    GwDispatchAction *dispatch = &action->u.dispatch;
    dispatch->call = call->call;
    dispatch->attempt = attempt->number;
    dispatch->backend = pick->backend;
    dispatch->idempotent = call->idempotent;
    dispatch->give_up_us = attempt->give_up_us;
    g_strlcpy(dispatch->address, pick->address, GW_ADDR_MAX);
}

static void
emit_relay(const GwCallsEnv *env, const GwCall *call, const GwAttempt *attempt,
           GwNodeId to, const char *address, uint64_t grant)
{
    GwAction *action = GwActions_Add(env->out, GW_ACTION_RELAY);
    GwRelayAction *relay = &action->u.relay;
    relay->call = call->call;
    relay->attempt = attempt->number;
    relay->to = to;
    relay->to_owner = attempt->kind == GW_ATTEMPT_OWNER;
    relay->grant = grant;
    relay->give_up_us = attempt->give_up_us;
    g_strlcpy(relay->address, address, GW_ADDR_MAX);
}

static void
start_peer(GwCalls *c, const GwCallsEnv *env, GwCall *call, const GwPick *pick)
{
    GwAttempt *attempt = begin_attempt(c, env, call, GW_ATTEMPT_PEER);
    attempt->use = pick->use;
    emit_relay(env, call, attempt, pick->peer, pick->address, pick->grant);
}

/* Relays a call to the entry that owns its ticket, in any region. */
void
GwCalls_RelayToOwner(GwCalls *c, const GwCallsEnv *env, GwCall *call,
                     const GwMember *owner)
{
    GwAttempt *attempt = begin_attempt(c, env, call, GW_ATTEMPT_OWNER);
    emit_relay(env, call, attempt, owner->info.id, owner->info.peer_address,
               0);
    GwCalls_UpdateTimer(c, env, call);
}

static void
pick_target(const GwCallsEnv *env, const GwCall *call, GwPick *pick)
{
    GwPickRequest ask = {.service = call->service,
                         .idempotent = call->idempotent,
                         .relayed = call->relayed && !call->to_owner,
                         .grant = call->grant,
                         .relay_from = call->relay_from,
                         .deadline_us = call->deadline_us,
                         .avoid_backend = call->last_backend};

    memset(pick, 0, sizeof(*pick));
    GwSteer_Pick(env->steer, env->now_us, &ask, env->members, env->seats,
                 pick);
}

/* Starts or refuses the call with the earliest deadline of one queue. Returns
 * false if the queue is empty or no capacity is free for that call. */
static bool
start_earliest(GwCalls *c, const GwCallsEnv *env, GwHeap *queue)
{
    GwCall *call = GwHeap_Top(queue);
    GwPick pick;

    if (call == NULL) {
        return false;
    }
    if (GwCalls_WillMissDeadline(c, call, env->now_us)) {
        GwCalls_FinishNotRun(c, env, call, GW_REASON_DEADLINE,
                             GW_RETRY_AFTER_MS);
        return true;
    }
    pick_target(env, call, &pick);
    switch (pick.kind) {
    case GW_PICK_WAIT:
        return false;
    case GW_PICK_REFUSE:
        GwCalls_FinishNotRun(c, env, call, pick.reason, pick.retry_after_ms);
        return true;
    case GW_PICK_BACKEND:
        GwCalls_Dequeue(c, call);
        start_backend(c, env, call, &pick);
        break;
    case GW_PICK_PEER:
        GwCalls_Dequeue(c, call);
        start_peer(c, env, call, &pick);
        break;
    }
    GwCalls_UpdateTimer(c, env, call);
    return true;
}

/* Starts waiting calls until no capacity is free. Of the two queues of a
 * service, the one with the earlier first deadline is served first. Nothing
 * starts while the entry is not ready: its configuration may be out of date,
 * and a chosen backend server may have been removed. */
void
GwCalls_DispatchWaiting(GwCalls *c, const GwCallsEnv *env)
{
    if (env->config == NULL || !env->ready || c->waiting_count == 0) {
        return;
    }
    for (uint32_t i = 0; i < c->service_count; i++) {
        GwHeap *local = &c->services[i].local;
        GwHeap *relayed = &c->services[i].relayed;
        bool started = true;
        while (started) {
            bool is_local_first =
                GwHeap_TopKey(local) <= GwHeap_TopKey(relayed);
            started =
                start_earliest(c, env, is_local_first ? local : relayed) ||
                start_earliest(c, env, is_local_first ? relayed : local);
        }
    }
}

/* Starts a second attempt of an idempotent call that takes longer than the
 * tracked quantile, if the retry budget allows and another backend server of
 * this region has a free unit. A hedge never goes to another region, where it
 * would use capacity that a non-idempotent call could need. */
bool
GwCalls_TryHedge(GwCalls *c, const GwCallsEnv *env, GwCall *call)
{
    GwPick pick;

    if (!call->attempts[0].active ||
        hedge_time_us(c, env, call) > env->now_us) {
        return false;
    }
    call->hedged = true;
    if (c->queued[call->service] > 0 || !env->ready ||
        call->attempts_made >= GW_ATTEMPTS_MAX ||
        !GwRetryBudget_TryDraw(&c->services[call->service].budget)) {
        return false;
    }
    pick_target(env, call, &pick);
    if (pick.kind == GW_PICK_BACKEND && pick.backend != call->last_backend) {
        start_backend(c, env, call, &pick);
        return true;
    }
    if (pick.kind == GW_PICK_BACKEND || pick.kind == GW_PICK_PEER) {
        GwAttemptEvent none = {.outcome = GW_OUTCOME_NOT_RUN,
                               .reason = GW_REASON_NONE};
        GwSteer_Done(env->steer, env->now_us, pick.use, &none, env->now_us);
    }
    return false;
}
