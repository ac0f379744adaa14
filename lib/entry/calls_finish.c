/* Finishes calls: each call and its attached resends get exactly one
 * outcome. */
#include "common/log_events.h"
#include "entry/calls_internal.h"

/* Requests that the host drop an attempt and close its connection. */
void
GwCalls_CancelAttempt(const GwCallsEnv *env, const GwCall *call,
                      const GwAttempt *attempt)
{
    GwAction *action = GwActions_Add(env->out, GW_ACTION_CANCEL);
    action->u.cancel.call = call->call;
    action->u.cancel.attempt = attempt->number;
}

/* Cancels attempts still in flight. The backend server may run an attempt
 * until give_up_us, the deadline sent with it, so the unit stays in use until
 * then: a slot freed earlier would be used twice. */
static void
abandon_attempts(const GwCallsEnv *env, GwCall *call)
{
    for (uint32_t i = 0; i < GW_ATTEMPTS_AT_ONCE; i++) {
        GwAttempt *attempt = &call->attempts[i];
        if (!attempt->active) {
            continue;
        }
        attempt->active = false;
        GwCalls_CancelAttempt(env, call, attempt);
        if (attempt->kind != GW_ATTEMPT_OWNER) {
            GwAttemptEvent end = {.call = call->call,
                                  .attempt = attempt->number,
                                  .outcome = GW_OUTCOME_UNKNOWN,
                                  .reason = GW_REASON_SILENT};
#if GW_MUTANT == 6 /* breaks: a cancelled attempt keeps its unit */
            GwSteer_Done(env->steer, env->now_us, attempt->use, &end,
                         env->now_us);
#else
            GwSteer_Done(env->steer, env->now_us, attempt->use, &end,
                         attempt->give_up_us);
#endif
        }
    }
}

/* Stores the final outcome in the ticket's record, if this process minted
 * the ticket and this call is the one that ran it. */
static void
record_outcome(GwCalls *c, const GwCallsEnv *env, const GwCall *call,
               const GwCallEnd *end)
{
    if (call->ticket.seq == 0 ||
        !GwNodeId_Equal(call->ticket.owner, c->params.id)) {
        return;
    }
    GwTicketRecord *record = GwTickets_Find(c->tickets, call->ticket.seq);
    if (record == NULL || record->state != GW_RECORD_RUNNING ||
        record->call != call->call) {
        return;
    }
    switch (end->outcome) {
    case GW_OUTCOME_NOT_RUN:
#if GW_MUTANT == 19 /* breaks: a refusal holds for its ticket */
        GwTickets_Remove(c->tickets, call->ticket.seq);
#else
        GwTickets_Refuse(c->tickets, env->now_us, record, end->reason,
                         end->retry_after_ms);
#endif
        break;
#if GW_MUTANT == 4 /* breaks: an UNKNOWN record is kept */
    case GW_OUTCOME_UNKNOWN:
        GwTickets_Remove(c->tickets, call->ticket.seq);
        break;
#endif
    case GW_OUTCOME_ANSWERED:
        record->state = GW_RECORD_ANSWERED;
        record->call = end->answer_call;
        record->attempt = end->answer_attempt;
        break;
#if GW_MUTANT != 4
    case GW_OUTCOME_UNKNOWN:
        record->state = GW_RECORD_UNKNOWN;
        record->reason = end->reason;
        break;
#endif
    }
}

static void
emit_finish(const GwCallsEnv *env, const GwCall *call, const GwCallEnd *end)
{
    GwAction *action = GwActions_Add(env->out, GW_ACTION_FINISH);
    action->u.finish = (GwFinishAction){.call = call->call,
                                        .outcome = end->outcome,
                                        .reason = end->reason,
                                        .retry_after_ms = end->retry_after_ms,
                                        .answer_call = end->answer_call,
                                        .answer_attempt = end->answer_attempt,
                                        .ticket = call->ticket};
}

static void
remove_call(GwCalls *c, GwCall *call)
{
    GwCalls_Dequeue(c, call);
    GwHeap_Remove(&c->timers, &call->timer_index);
    g_hash_table_remove(c->open, &call->call);
}

/* Finishes a call in any state, and its attached resends with the same
 * outcome. Frees them all. */
void
GwCalls_Finish(GwCalls *c, const GwCallsEnv *env, GwCall *call,
               const GwCallEnd *end)
{
    GwCall *attached = call->next_attached;

    abandon_attempts(env, call);
    record_outcome(c, env, call, end);
    emit_finish(env, call, end);
    remove_call(c, call);
    while (attached != NULL) {
        GwCall *next = attached->next_attached;
#if GW_MUTANT == 16 /* breaks: an attached resend gets the same outcome */
        GwCallEnd other = {.outcome = GW_OUTCOME_NOT_RUN,
                           .reason = GW_REASON_DEADLINE};
        end = &other;
#endif
        emit_finish(env, attached, end);
        remove_call(c, attached);
        attached = next;
    }
}

/* Finishes the call as NOT_RUN, or as UNKNOWN if an earlier attempt may have
 * run. */
void
GwCalls_FinishNotRun(GwCalls *c, const GwCallsEnv *env, GwCall *call,
                     GwReason reason, uint32_t retry_after_ms)
{
#if GW_MUTANT != 8 /* breaks: no NOT_RUN if an attempt may have run */
    if (call->may_have_run) {
        GwCalls_FinishUnknown(c, env, call, reason);
        return;
    }
#endif
    GwCallEnd end = {.outcome = GW_OUTCOME_NOT_RUN,
                     .reason = reason,
                     .retry_after_ms = retry_after_ms};
    GwCalls_Finish(c, env, call, &end);
}

void
GwCalls_FinishUnknown(GwCalls *c, const GwCallsEnv *env, GwCall *call,
                      GwReason reason)
{
    GwCallEnd end = {.outcome = GW_OUTCOME_UNKNOWN, .reason = reason};

    if (!call->idempotent) {
        GwActions_Log(env->out, GW_LOG_CALL_UNKNOWN, "reason=%s attempts=%u",
                      GwReason_Name(reason), call->attempts_made);
    }
    GwCalls_Finish(c, env, call, &end);
}
