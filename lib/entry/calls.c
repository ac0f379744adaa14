#include "entry/calls_internal.h"

#include <assert.h>
#include <string.h>

GwCalls *
GwCalls_Create(const GwNodeParams *params)
{
    GwCalls *c = g_new0(GwCalls, 1);
    c->params = *params;
    c->rng = GwRng_Make(params->seed ^ 0xca115);
    c->tickets = GwTickets_Create(params);
    c->open = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    return c;
}

void
GwCalls_Free(GwCalls *c)
{
    if (c == NULL) {
        return;
    }
    for (uint32_t i = 0; i < c->service_count; i++) {
        GwHeap_Free(&c->services[i].local);
        GwHeap_Free(&c->services[i].relayed);
    }
    GwHeap_Free(&c->timers);
    g_hash_table_destroy(c->open);
    GwTickets_Free(c->tickets);
    g_free(c);
}

/* ---- configuration ---------------------------------------------------- */

static uint32_t
find_service_calls(const GwCalls *c, const char *name)
{
    for (uint32_t i = 0; i < c->service_count; i++) {
        if (strcmp(c->services[i].name, name) == 0) {
            return i;
        }
    }
    return GW_NONE;
}

/* Removes waiting calls from the queues, appends them to `waiting`, and sets
 * the service index of each open call, GW_NONE if the service was removed. */
static void
renumber_calls(GwCalls *c, const uint32_t *new_index, GPtrArray *waiting)
{
    GHashTableIter iter;
    gpointer value = NULL;

    g_hash_table_iter_init(&iter, c->open);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwCall *call = value;
        if (call->queue_index != GW_HEAP_ABSENT) {
            GwCalls_Dequeue(c, call);
            g_ptr_array_add(waiting, call);
        }
        if (call->service != GW_NONE) {
            call->service = new_index[call->service];
        }
    }
}

static void
init_service(GwCalls *c, GwServiceCalls *service, const char *name)
{
    memset(service, 0, sizeof(*service));
    g_strlcpy(service->name, name, GW_NAME_MAX);
    GwRetryBudget_Init(&service->budget, c->params.retry_budget_percent);
}

/* A refusal holds for the longest deadline of any service, including those
 * of earlier configurations, whose calls may still be open. */
static void
update_refusal_hold(GwCalls *c, const GwConfig *config)
{
    for (uint32_t i = 0; i < config->service_count; i++) {
        int64_t longest = (int64_t)config->services[i].deadline_max_ms * 1000;
        c->refusal_hold_us = MAX(c->refusal_hold_us, longest);
    }
    GwTickets_SetRefusalHold(c->tickets, c->refusal_hold_us);
}

/* Service indices are valid for one configuration only, so per-service state
 * is carried over by name. Waiting calls of removed services are set to back
 * off until now; the next tick refuses them. */
void
GwCalls_Configure(GwCalls *c, int64_t now_us, const GwConfig *config)
{
    uint32_t new_index[GW_MAX_SERVICES] = {0};
    GwServiceCalls services[GW_MAX_SERVICES] = {0};
    GPtrArray *waiting = g_ptr_array_new();

    for (uint32_t i = 0; i < c->service_count; i++) {
        new_index[i] = GwConfig_FindService(config, c->services[i].name);
    }
    renumber_calls(c, new_index, waiting);
    update_refusal_hold(c, config);
    for (uint32_t i = 0; i < config->service_count; i++) {
        const char *name = config->services[i].name;
        uint32_t old = find_service_calls(c, name);
        if (old == GW_NONE) {
            init_service(c, &services[i], name);
        }
        else {
            services[i] = c->services[old];
        }
    }
    for (uint32_t i = 0; i < c->service_count; i++) {
        if (new_index[i] == GW_NONE) {
            GwHeap_Free(&c->services[i].local);
            GwHeap_Free(&c->services[i].relayed);
        }
    }
    c->service_count = config->service_count;
    memcpy(c->services, services, sizeof(services[0]) * c->service_count);
    for (uint32_t i = 0; i < waiting->len; i++) {
        GwCall *call = g_ptr_array_index(waiting, i);
        if (call->service != GW_NONE) {
            GwCalls_Enqueue(c, call);
        }
        else {
            call->state = GW_CALL_BACKOFF;
            call->due_us = now_us;
            GwHeap_SetKey(&c->timers, &call->timer_index, now_us);
        }
    }
    g_ptr_array_free(waiting, TRUE);
}

/* ---- arrival ------------------------------------------------------------ */

static void
refuse_event(const GwCallsEnv *env, const GwCallEvent *ev, GwOutcome outcome,
             GwReason reason, uint32_t retry_after_ms)
{
    GwAction *action = GwActions_Add(env->out, GW_ACTION_FINISH);
    action->u.finish = (GwFinishAction){.call = ev->call,
                                        .outcome = outcome,
                                        .reason = reason,
                                        .retry_after_ms = retry_after_ms,
                                        .ticket = ev->ticket};
}

/* Returns the maximum duration of a call: the deadline limit of its service,
 * but no more than the seat hold-off less the fence. The next holder of a
 * failed entry's seat waits until the hold-off has passed; if a backend server
 * still ran a call of the failed entry then, it would exceed its slots. */
static int64_t
max_call_time_us(const GwCalls *c, const GwService *service)
{
    const GwNodeParams *p = &c->params;
    int64_t seat_ms = (int64_t)p->seat_holdoff_ms - p->fence_ms;

#if GW_MUTANT == 11 /* breaks: no call outlasts the seat hold-off */
    seat_ms = INT32_MAX;
#endif
    return MIN(seat_ms, (int64_t)service->deadline_max_ms) * 1000;
}

/* Opens a call. Its deadline is limited, since units stay in use until the
 * deadline. A call with a ticket never counts as idempotent: the entry that
 * relayed it or ran it first may have another version of the configuration in
 * force and rely on the ticket record here. */
static GwCall *
open_call(GwCalls *c, const GwCallsEnv *env, const GwCallEvent *ev,
          uint32_t service)
{
    const GwService *service_config = &env->config->services[service];
    int64_t latest_us = env->now_us + max_call_time_us(c, service_config);
    GwCall *call = g_new0(GwCall, 1);

    call->call = ev->call;
    call->service = service;
    call->idempotent =
#if GW_MUTANT != 12 /* breaks: a call with a ticket is not idempotent */
        ev->ticket.seq == 0 && !ev->to_owner &&
#endif
        GwConfig_IsIdempotent(env->config, service, ev->method, ev->path);
    call->relayed = ev->relayed;
    call->to_owner = ev->to_owner;
    call->relay_from = ev->relay_from;
    call->grant = ev->grant;
    call->arrived_us = env->now_us;
    call->deadline_us =
        ev->deadline_us < latest_us ? ev->deadline_us : latest_us;
    call->due_us = call->deadline_us;
    call->timer_index = GW_HEAP_ABSENT;
    call->queue_index = GW_HEAP_ABSENT;
    g_hash_table_insert(c->open, &call->call, call);
    return call;
}

static void
enqueue_or_refuse(GwCalls *c, const GwCallsEnv *env, GwCall *call)
{
    if (c->waiting_count >= c->params.queue_max) {
        GwCalls_FinishNotRun(c, env, call, GW_REASON_QUEUE_FULL,
                             GW_RETRY_AFTER_MS);
        return;
    }
    GwCalls_Enqueue(c, call);
    GwCalls_UpdateTimer(c, env, call);
    GwCalls_DispatchWaiting(c, env);
}

/* Attaches a resend to the open call with the same ticket. The deadline
 * of the resend may be the earlier of the two. */
static void
attach_resend(GwCalls *c, const GwCallsEnv *env, GwCall *call,
              const GwTicketRecord *record)
{
    GwCall *first = g_hash_table_lookup(c->open, &record->call);

    assert(first != NULL);
    call->state = GW_CALL_ATTACHED;
    call->next_attached = first->next_attached;
    first->next_attached = call;
    GwCalls_UpdateTimer(c, env, call);
}

/* Finishes a resend with the recorded outcome of its ticket, or attaches it
 * to the call that is still open. */
static void
answer_from_record(GwCalls *c, const GwCallsEnv *env, GwCall *call,
                   const GwTicketRecord *record)
{
    GwCallEnd end = {0};

    switch (record->state) {
    case GW_RECORD_RUNNING:
        attach_resend(c, env, call, record);
        return;
    case GW_RECORD_ANSWERED:
        end.outcome = GW_OUTCOME_ANSWERED;
        end.answer_call = record->call;
        end.answer_attempt = record->attempt;
        break;
    case GW_RECORD_UNKNOWN:
        end.outcome = GW_OUTCOME_UNKNOWN;
        end.reason = record->reason;
        break;
    case GW_RECORD_REFUSED:
        end.outcome = GW_OUTCOME_NOT_RUN;
        end.reason = record->reason;
        end.retry_after_ms = record->retry_after_ms;
        break;
    }
    GwCalls_Finish(c, env, call, &end);
}

/* Handles a ticket that another process minted: only that process can know
 * whether the call ran. */
static void
relay_to_owner(GwCalls *c, const GwCallsEnv *env, GwCall *call)
{
    const GwMember *owner =
        GwMembers_Find(env->members, call->ticket.owner.node);

    if (call->relayed || owner == NULL ||
        !GwNodeId_Equal(owner->info.id, call->ticket.owner) ||
        owner->info.state == GW_MEMBER_DEAD) {
        GwCalls_FinishUnknown(c, env, call, GW_REASON_OWNER_GONE);
        return;
    }
    GwCalls_RelayToOwner(c, env, call, owner);
}

/* Returns the reason to refuse new work now, or NONE. Resends are answered
 * regardless. */
static GwReason
find_refusal_reason(const GwCallsEnv *env)
{
    if (env->leaving) {
        return GW_REASON_LEAVING;
    }
    return env->ready ? GW_REASON_NONE : GW_REASON_NOT_READY;
}

static void
begin_ticket(GwCalls *c, const GwCallsEnv *env, GwCall *call)
{
    GwReason refusal = find_refusal_reason(env);

    if (GwTickets_Begin(c->tickets, env->now_us, call->ticket.seq,
                        call->call) == NULL) {
        GwCalls_FinishNotRun(c, env, call, GW_REASON_TABLE_FULL,
                             GW_RETRY_AFTER_MS);
        return;
    }
    if (refusal != GW_REASON_NONE) {
        GwCalls_FinishNotRun(c, env, call, refusal, 0);
        return;
    }
    enqueue_or_refuse(c, env, call);
}

/* Accepts a non-idempotent call that came from a caller or was relayed to
 * this entry as the owner of its ticket. */
static void
accept_with_ticket(GwCalls *c, const GwCallsEnv *env, GwCall *call,
                   const GwCallEvent *ev)
{
    GwTicketRecord *record = NULL;

    call->ticket = ev->ticket;
    if (ev->ticket.seq == 0) {
        call->ticket = GwTickets_Mint(c->tickets, env->now_us);
    }
    switch (GwTickets_Check(c->tickets, env->now_us, &call->ticket, &record)) {
    case GW_TICKET_NEW:
        begin_ticket(c, env, call);
        break;
    case GW_TICKET_KNOWN:
        answer_from_record(c, env, call, record);
        break;
    case GW_TICKET_EXPIRED:
        GwCalls_FinishUnknown(c, env, call, GW_REASON_OLD_TICKET);
        break;
    case GW_TICKET_FOREIGN:
        relay_to_owner(c, env, call);
        break;
    case GW_TICKET_REJECTED:
        GwCalls_FinishNotRun(c, env, call, GW_REASON_TABLE_FULL,
                             GW_RETRY_AFTER_MS);
        break;
    case GW_TICKET_INVALID:
        GwCalls_FinishNotRun(c, env, call, GW_REASON_BAD_TICKET, 0);
        break;
    }
}

/* Accepts an idempotent call, or a call shifted here from another region. The
 * ticket of a shifted call is owned by an entry of that region, which prevents
 * a second run. */
static void
accept_without_ticket(GwCalls *c, const GwCallsEnv *env, GwCall *call)
{
    GwReason refusal = find_refusal_reason(env);

    if (refusal != GW_REASON_NONE) {
        GwCalls_FinishNotRun(c, env, call, refusal, 0);
        return;
    }
    enqueue_or_refuse(c, env, call);
}

/* Returns the outcome of a call that is refused for lack of a configuration or
 * service. The call may be a resend of a call that another process ran, or
 * that this process ran before the service was removed. NOT_RUN would then be
 * wrong, and the caller would repeat the request with a new ticket. */
static GwOutcome
find_early_refusal_outcome(GwCalls *c, int64_t now_us, const GwCallEvent *ev)
{
#if GW_MUTANT != 9 /* breaks: an early NOT_RUN is true */
    GwTicketRecord *record = NULL;
    if (ev->ticket.seq == 0) {
        return GW_OUTCOME_NOT_RUN;
    }
    /* The record of an expired ticket may have been dropped, so its absence
     * does not prove that the call did not run. */
    switch (GwTickets_Check(c->tickets, now_us, &ev->ticket, &record)) {
    case GW_TICKET_KNOWN:
    case GW_TICKET_EXPIRED:
    case GW_TICKET_FOREIGN:
        return GW_OUTCOME_UNKNOWN;
    case GW_TICKET_NEW:
        /* After NOT_RUN the ticket must not run, even if the service is
         * configured again. */
        record = GwTickets_Begin(c->tickets, now_us, ev->ticket.seq, ev->call);
        if (record != NULL) {
            GwTickets_Refuse(c->tickets, now_us, record, GW_REASON_NO_SERVICE,
                             GW_RETRY_AFTER_MS);
        }
        break;
    case GW_TICKET_INVALID:
    case GW_TICKET_REJECTED:
        break;
    }
#endif
    return GW_OUTCOME_NOT_RUN;
}

void
GwCalls_Arrive(GwCalls *c, const GwCallsEnv *env, const GwCallEvent *ev)
{
    if (env->config == NULL) {
        refuse_event(env, ev, find_early_refusal_outcome(c, env->now_us, ev),
                     GW_REASON_NOT_READY, GW_RETRY_AFTER_MS);
        return;
    }
    uint32_t service = GwConfig_FindService(env->config, ev->service);
    if (service == GW_NONE) {
        refuse_event(env, ev, find_early_refusal_outcome(c, env->now_us, ev),
                     GW_REASON_NO_SERVICE, 0);
        return;
    }
    bool shifted = ev->relayed && !ev->to_owner;
#if GW_MUTANT != 13 /* breaks: nothing is shifted here without a grant */
    if (shifted && ev->grant == 0) {
        refuse_event(env, ev, GW_OUTCOME_NOT_RUN, GW_REASON_NO_GRANT, 0);
        return;
    }
#endif
    GwCall *call = open_call(c, env, ev, service);
    if (call->idempotent || shifted) {
        accept_without_ticket(c, env, call);
    }
    else {
        accept_with_ticket(c, env, call, ev);
    }
}

/* ---- attempts ----------------------------------------------------------- */

static GwAttempt *
find_attempt(GwCall *call, uint32_t number)
{
    for (uint32_t i = 0; i < GW_ATTEMPTS_AT_ONCE; i++) {
        if (call->attempts[i].active && call->attempts[i].number == number) {
            return &call->attempts[i];
        }
    }
    return NULL;
}

static bool
has_active_attempt(const GwCall *call)
{
    return call->attempts[0].active || call->attempts[1].active;
}

/* Retries at once if the budget allows, else after an exponential back-off.
 * A call is not given up while it can meet its deadline, since a missing
 * answer costs more than a late one. */
static void
schedule_retry(GwCalls *c, const GwCallsEnv *env, GwCall *call)
{
    if (GwRetryBudget_TryDraw(&c->services[call->service].budget)) {
        GwCalls_Enqueue(c, call);
        GwCalls_UpdateTimer(c, env, call);
        GwCalls_DispatchWaiting(c, env);
        return;
    }
    int64_t base = GW_BACKOFF_MIN_US << call->attempts_made;
    call->state = GW_CALL_BACKOFF;
    call->due_us = env->now_us + GwRng_Jitter(&c->rng, base, base);
    GwCalls_UpdateTimer(c, env, call);
}

/* Only one layer retries: the entry that the caller is connected to, or the
 * owner of the ticket. An entry that a call was shifted to returns the failure
 * to the sender. */
static bool
may_retry(const GwCalls *c, const GwCallsEnv *env, const GwCall *call)
{
    return !env->leaving && call->service != GW_NONE &&
           call->attempts_made < GW_ATTEMPTS_MAX &&
           !(call->relayed && !call->to_owner) &&
           !GwCalls_WillMissDeadline(c, call, env->now_us);
}

static void
on_attempt_not_run(GwCalls *c, const GwCallsEnv *env, GwCall *call,
                   GwAttemptKind kind, const GwAttemptEvent *ev)
{
    call->last_reason = ev->reason;
    if (kind == GW_ATTEMPT_OWNER) {
        /* A failed connection to the owner proves nothing: the owner may have
         * run an earlier send of the ticket. Only its own refusal proves that
         * the call did not run. */
#if GW_MUTANT != 2 /* breaks: only the owner can prove NOT_RUN */
        if (ev->reason == GW_REASON_PEER_CONNECT) {
            GwCalls_FinishUnknown(c, env, call, GW_REASON_OWNER_GONE);
            return;
        }
#endif
        GwCalls_FinishNotRun(c, env, call, ev->reason, ev->retry_after_ms);
        return;
    }
    if (may_retry(c, env, call)) {
        schedule_retry(c, env, call);
        return;
    }
    GwCalls_FinishNotRun(c, env, call, ev->reason,
                         ev->retry_after_ms > 0 ? ev->retry_after_ms
                                                : GW_RETRY_AFTER_MS);
}

/* Retries only an idempotent call. A non-idempotent call whose attempt may
 * have run ends here, since a retry could execute it twice. */
static void
on_attempt_unknown(GwCalls *c, const GwCallsEnv *env, GwCall *call,
                   const GwAttemptEvent *ev)
{
    call->may_have_run = true;
#if GW_MUTANT == 3 /* breaks: no second run after UNKNOWN */
    if (may_retry(c, env, call)) {
#else
    if (call->idempotent && may_retry(c, env, call)) {
#endif
        schedule_retry(c, env, call);
        return;
    }
    GwCalls_FinishUnknown(c, env, call, ev->reason);
}

static void
on_attempt_answered(GwCalls *c, const GwCallsEnv *env, GwCall *call,
                    const GwAttempt *attempt)
{
    if (call->service != GW_NONE) {
        GwServiceCalls *service = &c->services[call->service];
        uint32_t percentile =
            env->config->services[call->service].hedge_percentile;
        if (attempt->kind == GW_ATTEMPT_BACKEND) {
            GwLatency_Add(&service->latency, env->now_us - attempt->started_us,
                          percentile);
        }
        GwRetryBudget_Credit(&service->budget);
    }
    GwCallEnd end = {.outcome = GW_OUTCOME_ANSWERED,
                     .answer_call = call->call,
                     .answer_attempt = attempt->number};
    GwCalls_Finish(c, env, call, &end);
}

/* Late ends of finished calls are ignored: their units were passed to
 * GwSteer_Done when the call finished. */
void
GwCalls_EndAttempt(GwCalls *c, const GwCallsEnv *env, const GwAttemptEvent *ev)
{
    GwCall *call = g_hash_table_lookup(c->open, &ev->call);
    GwAttempt *attempt = call == NULL ? NULL : find_attempt(call, ev->attempt);

    if (attempt == NULL) {
        return;
    }
    GwAttempt ended = *attempt;
    attempt->active = false;
    if (ended.kind != GW_ATTEMPT_OWNER) {
        int64_t hold_until_us =
            ev->outcome == GW_OUTCOME_UNKNOWN ? ended.give_up_us : env->now_us;
        GwSteer_Done(env->steer, env->now_us, ended.use, ev, hold_until_us);
    }
    if (ev->outcome == GW_OUTCOME_ANSWERED) {
        on_attempt_answered(c, env, call, &ended);
        return;
    }
    if (has_active_attempt(call)) {
        call->may_have_run |= ev->outcome == GW_OUTCOME_UNKNOWN;
        GwCalls_UpdateTimer(c, env, call);
        return;
    }
    if (ev->outcome == GW_OUTCOME_NOT_RUN) {
        on_attempt_not_run(c, env, call, ended.kind, ev);
    }
    else {
        on_attempt_unknown(c, env, call, ev);
    }
}

GwResult
GwCalls_MintTickets(GwCalls *c, int64_t now_us, uint32_t count, GwTicket *out)
{
    for (uint32_t i = 0; i < count; i++) {
        out[i] = GwTickets_Mint(c->tickets, now_us);
    }
    return count;
}

const uint32_t *
GwCalls_Queued(const GwCalls *c)
{
    return c->queued;
}

uint32_t
GwCalls_OpenCount(const GwCalls *c)
{
    return g_hash_table_size(c->open);
}

uint32_t
GwCalls_TicketCount(const GwCalls *c)
{
    return GwTickets_Count(c->tickets);
}
