/* Timers, disconnected callers and the graceful stop. */
#include "entry/calls_internal.h"

/* Ends attempts past give_up_us as UNKNOWN, without waiting for the host to
 * report their end. */
static void
time_out_attempts(GwCalls *c, const GwCallsEnv *env, GwCall *call)
{
    uint64_t handle = call->call;

    for (uint32_t i = 0; i < GW_ATTEMPTS_AT_ONCE; i++) {
        GwAttempt *attempt = &call->attempts[i];
        if (!attempt->active || attempt->give_up_us > env->now_us) {
            continue;
        }
        GwCalls_CancelAttempt(env, call, attempt);
        GwAttemptEvent ev = {.call = handle,
                             .attempt = attempt->number,
                             .outcome = GW_OUTCOME_UNKNOWN,
                             .reason = GW_REASON_SILENT};
        GwCalls_EndAttempt(c, env, &ev);
        if (g_hash_table_lookup(c->open, &handle) == NULL) {
            return;
        }
    }
}

static void
finish_past_deadline(GwCalls *c, const GwCallsEnv *env, GwCall *call)
{
    bool may_have_run =
        call->state == GW_CALL_RUNNING || call->state == GW_CALL_ATTACHED;

    if (may_have_run) {
        GwCalls_FinishUnknown(c, env, call, GW_REASON_SILENT);
        return;
    }
    GwReason reason = call->last_reason != GW_REASON_NONE ? call->last_reason
                                                          : GW_REASON_DEADLINE;
    GwCalls_FinishNotRun(c, env, call, reason, GW_RETRY_AFTER_MS);
}

/* Removes a resend from the list of the call that it is attached to. */
static void
detach_resend(GwCalls *c, GwCall *call)
{
    GwTicketRecord *record = GwTickets_Find(c->tickets, call->ticket.seq);
    GwCall *prev =
        record == NULL ? NULL : g_hash_table_lookup(c->open, &record->call);

    while (prev != NULL && prev->next_attached != call) {
        prev = prev->next_attached;
    }
    if (prev != NULL) {
        prev->next_attached = call->next_attached;
    }
    call->next_attached = NULL;
}

static void
on_call_timer(GwCalls *c, const GwCallsEnv *env, GwCall *call)
{
    if (call->service == GW_NONE && call->state == GW_CALL_BACKOFF) {
        GwCalls_FinishNotRun(c, env, call, GW_REASON_NO_SERVICE, 0);
        return;
    }
    if (call->state == GW_CALL_ATTACHED) {
        detach_resend(c, call);
    }
    if (env->now_us >= call->deadline_us) {
        finish_past_deadline(c, env, call);
        return;
    }
    switch (call->state) {
    case GW_CALL_WAITING:
        /* The latency estimate may have fallen since the timer was set. */
        if (GwCalls_WillMissDeadline(c, call, env->now_us)) {
            finish_past_deadline(c, env, call);
        }
        else {
            GwCalls_UpdateTimer(c, env, call);
        }
        break;
    case GW_CALL_BACKOFF:
        GwCalls_Enqueue(c, call);
        GwCalls_UpdateTimer(c, env, call);
        break;
    case GW_CALL_RUNNING: {
        uint64_t handle = call->call;
        if (call->service != GW_NONE && !call->attempts[1].active) {
            GwCalls_TryHedge(c, env, call);
        }
        time_out_attempts(c, env, call);
        if (g_hash_table_lookup(c->open, &handle) != NULL &&
            call->state == GW_CALL_RUNNING) {
            GwCalls_UpdateTimer(c, env, call);
        }
        break;
    }
    case GW_CALL_ATTACHED:
        GwCalls_FinishUnknown(c, env, call, GW_REASON_SILENT);
        break;
    }
}

void
GwCalls_Tick(GwCalls *c, const GwCallsEnv *env)
{
    while (GwHeap_TopKey(&c->timers) <= env->now_us) {
        on_call_timer(c, env, GwHeap_Top(&c->timers));
    }
    GwTickets_Expire(c->tickets, env->now_us);
    GwCalls_DispatchWaiting(c, env);
}

void
GwCalls_CallerDisconnected(GwCalls *c, const GwCallsEnv *env, uint64_t handle)
{
    GwCall *call = g_hash_table_lookup(c->open, &handle);

    if (call == NULL || call->next_attached != NULL) {
        return;
    }
    if (call->state == GW_CALL_WAITING || call->state == GW_CALL_BACKOFF) {
        GwCalls_FinishNotRun(c, env, call, GW_REASON_CALLER_GONE, 0);
    }
}

/* During a graceful stop the seats go to peers, so no capacity becomes free
 * for waiting calls. If they stayed queued, they would be refused at their
 * deadlines and delay the stop until then. After a refusal now, their callers
 * can use another entry at once. */
void
GwCalls_RefuseWaiting(GwCalls *c, const GwCallsEnv *env)
{
    GPtrArray *waiting = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value = NULL;

    g_hash_table_iter_init(&iter, c->open);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwCall *call = value;
        if (call->state == GW_CALL_WAITING || call->state == GW_CALL_BACKOFF) {
            g_ptr_array_add(waiting, value);
        }
    }
    for (guint i = 0; i < waiting->len; i++) {
        GwCalls_FinishNotRun(c, env, g_ptr_array_index(waiting, i),
                             GW_REASON_LEAVING, 0);
    }
    g_ptr_array_free(waiting, TRUE);
}
