/* What time and departing callers do to open calls. */
#include "entry/calls_internal.h"

/* Treats an attempt past its end as UNKNOWN, without waiting for the host to
 * say so. */
static void
give_up_attempts(GwCalls *c, const GwCallsEnv *env, GwCall *call)
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
        GwCalls_Attempt(c, env, &ev);
        if (g_hash_table_lookup(c->open, &handle) == NULL) {
            return;
        }
    }
}

static void
past_deadline(GwCalls *c, const GwCallsEnv *env, GwCall *call)
{
    bool at_risk =
        call->state == GW_CALL_RUNNING || call->state == GW_CALL_ATTACHED;

    if (at_risk) {
        GwCalls_FinishUnknown(c, env, call, GW_REASON_SILENT);
        return;
    }
    GwReason reason = call->last_reason != GW_REASON_NONE ? call->last_reason
                                                          : GW_REASON_DEADLINE;
    GwCalls_FinishNotRun(c, env, call, reason, GW_RETRY_AFTER_MS);
}

/* Takes an attached call out of the list of the call it waits for. */
static void
detach(GwCalls *c, GwCall *call)
{
    GwRecord *record = GwTickets_Find(c->tickets, call->ticket.seq);
    GwCall *at =
        record == NULL ? NULL : g_hash_table_lookup(c->open, &record->call);

    while (at != NULL && at->next_attached != call) {
        at = at->next_attached;
    }
    if (at != NULL) {
        at->next_attached = call->next_attached;
    }
    call->next_attached = NULL;
}

static void
call_due(GwCalls *c, const GwCallsEnv *env, GwCall *call)
{
    if (call->service == GW_NONE && call->state == GW_CALL_BACKOFF) {
        GwCalls_FinishNotRun(c, env, call, GW_REASON_NO_SERVICE, 0);
        return;
    }
    if (call->state == GW_CALL_ATTACHED) {
        detach(c, call);
    }
    if (env->now_us >= call->deadline_us) {
        past_deadline(c, env, call);
        return;
    }
    switch (call->state) {
    case GW_CALL_WAITING:
        /* The estimate it was due by may have fallen since. */
        if (GwCalls_IsHopeless(c, call, env->now_us)) {
            past_deadline(c, env, call);
        }
        else {
            GwCalls_SetDue(c, env, call);
        }
        break;
    case GW_CALL_BACKOFF:
        GwCalls_Enqueue(c, call);
        GwCalls_SetDue(c, env, call);
        break;
    case GW_CALL_RUNNING: {
        uint64_t handle = call->call;
        if (call->service != GW_NONE && !call->attempts[1].active) {
            GwCalls_Hedge(c, env, call);
        }
        give_up_attempts(c, env, call);
        if (g_hash_table_lookup(c->open, &handle) != NULL &&
            call->state == GW_CALL_RUNNING) {
            GwCalls_SetDue(c, env, call);
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
        call_due(c, env, GwHeap_Top(&c->timers));
    }
    GwTickets_Expire(c->tickets, env->now_us);
    GwCalls_Pump(c, env);
}

/* The caller hung up. A call that waits, also for its next attempt, is
 * dropped; one that runs goes on, so that its outcome is there for a resend,
 * and so does one whose resend still has a caller. */
void
GwCalls_Gone(GwCalls *c, const GwCallsEnv *env, uint64_t handle)
{
    GwCall *call = g_hash_table_lookup(c->open, &handle);

    if (call == NULL || call->next_attached != NULL) {
        return;
    }
    if (call->state == GW_CALL_WAITING || call->state == GW_CALL_BACKOFF) {
        GwCalls_FinishNotRun(c, env, call, GW_REASON_CALLER_GONE, 0);
    }
}

/* The entry leaves: its seats go to peers, so nothing here will come free for a
 * call that waits. Left in the queue it would be refused at its deadline,
 * and hold up the stop until then; told now, its caller goes elsewhere. */
void
GwCalls_Leave(GwCalls *c, const GwCallsEnv *env)
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
