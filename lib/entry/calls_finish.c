/* The end of a call: one outcome, once, for it and its attached resends. */
#include "common/log_events.h"
#include "entry/calls_internal.h"

/* Tells the host to drop an attempt: its connection is closed. */
void
GwCalls_CancelAttempt(const GwCallsEnv *env, const GwCall *call,
                      const GwAttempt *attempt)
{
    GwAction *action = GwActions_Add(env->out, GW_ACTION_CANCEL);
    action->u.cancel.call = call->call;
    action->u.cancel.attempt = attempt->number;
}

/* Abandons attempts still in flight. The backend server may go on until the
 * attempt's end, which it was told as its deadline, so the unit stays in
 * use until then: a slot freed early would be used twice. */
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
#if GW_MUTANT == 6 /* breaks: an abandoned call holds its slot */
            GwSteer_Done(env->steer, env->now_us, attempt->use, &end,
                         env->now_us);
#else
            GwSteer_Done(env->steer, env->now_us, attempt->use, &end,
                         attempt->give_up_us);
#endif
        }
    }
}

/* Brings the ticket's record to the outcome, which stands from now on. */
static void
settle_ticket(GwCalls *c, const GwCallsEnv *env, const GwCall *call,
              const GwCallEnd *end)
{
    if (call->ticket.seq == 0 ||
        !GwNodeId_Equal(call->ticket.owner, c->params.id)) {
        return;
    }
    GwRecord *record = GwTickets_Find(c->tickets, call->ticket.seq);
    if (record == NULL || record->state != GW_RECORD_RUNNING ||
        record->call != call->call) {
        return;
    }
    switch (end->outcome) {
    case GW_OUTCOME_NOT_RUN:
#if GW_MUTANT == 19 /* breaks: a refusal stands */
        GwTickets_Forget(c->tickets, call->ticket.seq);
#else
        GwTickets_Refuse(c->tickets, env->now_us, record, end->reason,
                         end->retry_after_ms);
#endif
        break;
#if GW_MUTANT == 4 /* breaks: an UNKNOWN record is kept */
    case GW_OUTCOME_UNKNOWN:
        GwTickets_Forget(c->tickets, call->ticket.seq);
        break;
#endif
    case GW_OUTCOME_ANSWERED:
        record->state = GW_RECORD_ANSWERED;
        record->call = end->answer_of;
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
                                        .answer_of = end->answer_of,
                                        .answer_attempt = end->answer_attempt,
                                        .ticket = call->ticket};
}

static void
remove_call(GwCalls *c, GwCall *call)
{
    GwCalls_Dequeue(c, call);
    GwHeap_Remove(&c->timers, &call->timer_place);
    g_hash_table_remove(c->open, &call->call);
}

/* Ends the call at once, whatever it was doing, and the resends attached to
 * it with the same outcome. */
void
GwCalls_Finish(GwCalls *c, const GwCallsEnv *env, GwCall *call,
               const GwCallEnd *end)
{
    GwCall *attached = call->next_attached;

    abandon_attempts(env, call);
    settle_ticket(c, env, call, end);
    emit_finish(env, call, end);
    remove_call(c, call);
    while (attached != NULL) {
        GwCall *next = attached->next_attached;
#if GW_MUTANT == 16 /* breaks: a resend gets the first one's outcome */
        GwCallEnd other = {.outcome = GW_OUTCOME_NOT_RUN,
                           .reason = GW_REASON_DEADLINE};
        end = &other;
#endif
        emit_finish(env, attached, end);
        remove_call(c, attached);
        attached = next;
    }
}

/* Ends the call as not run; where an earlier attempt may have run, the only
 * true outcome is UNKNOWN. */
void
GwCalls_FinishNotRun(GwCalls *c, const GwCallsEnv *env, GwCall *call,
                     GwReason reason, uint32_t retry_after_ms)
{
#if GW_MUTANT != 8 /* breaks: an earlier attempt may have run */
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
