/* Open calls: mailbox, attempts, and the thread that drives each one. */
#include "runtime/runtime_internal.h"

#include <errno.h>
#include <time.h>

static void
init_sync(OpenCall *call)
{
    pthread_condattr_t attr;
    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_cond_init(&call->wake, &attr);
    pthread_condattr_destroy(&attr);
    pthread_mutex_init(&call->mutex, NULL);
}

static void
name_request(const GwRuntime *rt, OpenCall *call)
{
    if (call->request.ticket.seq != 0) {
        GwTicket_Format(&call->request.ticket, call->request_id);
        return;
    }
    g_snprintf(call->request_id, sizeof(call->request_id),
               "call-%016" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x",
               rt->params.id.start, call->handle);
}

/* Takes the body of the request over. Close it after driving. */
OpenCall *
Call_Open(GwRuntime *rt, GwCallRequest *request, int64_t deadline_us)
{
    OpenCall *call = g_new0(OpenCall, 1);
    call->refs = 2;
    call->request = *request;
    request->body = NULL;
    call->deadline_us = deadline_us;
    init_sync(call);
    g_queue_init(&call->mailbox);
    call->aborts =
        g_hash_table_new_full(NULL, NULL, NULL, (GDestroyNotify)GwAbort_Unref);
    call->answers = g_hash_table_new_full(NULL, NULL, NULL,
                                          (GDestroyNotify)GwAnswer_Unref);
    pthread_mutex_lock(&rt->call_lock);
    call->handle = ++rt->next_handle;
    g_hash_table_insert(rt->open, &call->handle, call);
    pthread_mutex_unlock(&rt->call_lock);
    name_request(rt, call);
    return call;
}

void
Call_Unref(OpenCall *call)
{
    if (!g_atomic_int_dec_and_test(&call->refs)) {
        return;
    }
    g_queue_clear_full(&call->mailbox, g_free);
    g_hash_table_destroy(call->aborts);
    g_hash_table_destroy(call->answers);
    GwAnswer_Unref(call->answer);
    pthread_cond_destroy(&call->wake);
    pthread_mutex_destroy(&call->mutex);
    g_free(call->request.body);
    g_free(call);
}

OpenCall *
Call_Find(GwRuntime *rt, uint64_t handle)
{
    pthread_mutex_lock(&rt->call_lock);
    OpenCall *call = g_hash_table_lookup(rt->open, &handle);
    if (call != NULL) {
        g_atomic_int_inc(&call->refs);
    }
    pthread_mutex_unlock(&rt->call_lock);
    return call;
}

static gpointer
attempt_key(uint32_t attempt)
{
    return GUINT_TO_POINTER(attempt);
}

/* The abort handle of an attempt, made on first mention: a CANCEL may be
 * carried out before the DISPATCH it is about, by another thread. */
static GwAbort *
abort_of(OpenCall *call, uint32_t attempt)
{
    GwAbort *abort = g_hash_table_lookup(call->aborts, attempt_key(attempt));
    if (abort == NULL) {
        abort = GwAbort_Create();
        g_hash_table_insert(call->aborts, attempt_key(attempt), abort);
    }
    return abort;
}

/* Takes the reference over. */
void
Call_PutAnswer(OpenCall *call, uint32_t attempt, GwAnswer *answer)
{
    pthread_mutex_lock(&call->mutex);
    g_hash_table_insert(call->answers, attempt_key(attempt), answer);
    pthread_mutex_unlock(&call->mutex);
}

void
Call_ReportNotRun(GwRuntime *rt, uint64_t handle, uint32_t attempt,
                  GwReason reason)
{
    GwEvent event = {
        .kind = GW_EVENT_ATTEMPT,
        .u.attempt =
            {
                .call = handle,
                .attempt = attempt,
                .outcome = GW_OUTCOME_NOT_RUN,
                .reason = reason,
            },
    };
    Runtime_Step(rt, &event);
}

static GwDispatchRequest
make_ask(const OpenCall *call, const GwDispatchAction *action)
{
    return (GwDispatchRequest){
        .address = action->address,
        .method = call->request.method,
        .target = call->request.target,
        .content_type = call->request.content_type,
        .body = call->request.body,
        .body_len = call->request.body_len,
        .request_id = call->request_id,
        .deadline_us = call->deadline_us,
        .give_up_us = MIN(action->give_up_us, call->deadline_us),
        .idempotent = action->idempotent,
        .new_connection = action->attempt > 1,
    };
}

/* One attempt from start to report. The answer is put where a FINISH finds
 * it before the end is reported. */
static void
run_attempt(GwRuntime *rt, OpenCall *call, const GwDispatchAction *action)
{
    GwDispatchRequest ask = make_ask(call, action);
    GwDispatchResult end;
    int64_t begin_us = GwNet_NowUs();

    pthread_mutex_lock(&call->mutex);
    GwAbort *abort = GwAbort_Ref(abort_of(call, action->attempt));
    if (call->finished) {
        GwAbort_Trigger(abort);
    }
    pthread_mutex_unlock(&call->mutex);
    GwDispatch_Run(rt->dispatcher, &ask, abort, &end);
    GwAbort_Unref(abort);
    GwCounter_Add(&rt->metrics.attempts, 1);
    GwHistogram_Add(&rt->metrics.attempt_us,
                    (uint64_t)(GwNet_NowUs() - begin_us));
    GwEvent event = {
        .kind = GW_EVENT_ATTEMPT,
        .u.attempt =
            {
                .call = call->handle,
                .attempt = action->attempt,
                .outcome = end.outcome,
                .reason = end.reason,
                .retry_after_ms = end.retry_after_ms,
                .draining = end.draining,
                .has_load = end.has_load,
                .reported_load = end.reported_load,
                .body_len = end.answer != NULL ? end.answer->body_len : 0,
            },
    };
    if (end.answer != NULL) {
        Call_PutAnswer(call, action->attempt, end.answer);
    }
    pthread_mutex_lock(&call->mutex);
    call->running--;
    pthread_mutex_unlock(&call->mutex);
    Runtime_Step(rt, &event);
}

typedef struct {
    OpenCall *call;
    GwDispatchAction action;
} Hedge;

/* An attempt beside the one that the call's own thread is in. */
void
Call_RunHedge(void *job, void *arg)
{
    Hedge *hedge = job;
    run_attempt(arg, hedge->call, &hedge->action);
    Call_Unref(hedge->call);
    g_free(hedge);
}

/* The call's thread runs the attempt, or a pool thread when that one is in
 * an attempt already. An attempt for a call that is over is not begun; its
 * end is reported, since the node counts a unit for it. */
void
Call_OnDispatch(GwRuntime *rt, const GwDispatchAction *action)
{
    OpenCall *call = Call_Find(rt, action->call);
    if (call == NULL) {
        Call_ReportNotRun(rt, action->call, action->attempt,
                          GW_REASON_CALLER_GONE);
        return;
    }
    pthread_mutex_lock(&call->mutex);
    bool begin = !call->finished;
    bool beside = begin && call->running > 0;
    if (begin) {
        call->running++;
    }
    if (begin && !beside) {
        g_queue_push_tail(&call->mailbox, g_memdup2(action, sizeof(*action)));
        pthread_cond_signal(&call->wake);
    }
    pthread_mutex_unlock(&call->mutex);
    if (beside) {
        Hedge *hedge = g_new0(Hedge, 1);
        *hedge = (Hedge){.call = call, .action = *action};
        GwWorkers_Push(rt->hedge_pool, hedge);
        return;
    }
    if (!begin) {
        Call_ReportNotRun(rt, action->call, action->attempt,
                          GW_REASON_CALLER_GONE);
    }
    Call_Unref(call);
}

void
Call_OnCancel(GwRuntime *rt, uint64_t handle, uint32_t attempt)
{
    OpenCall *call = Call_Find(rt, handle);
    if (call != NULL) {
        pthread_mutex_lock(&call->mutex);
        GwAbort_Trigger(abort_of(call, attempt));
        pthread_mutex_unlock(&call->mutex);
        Call_Unref(call);
    }
    Relay_Cancel(rt, handle, attempt);
}

/* The answer that a FINISH names: of this call, of another open one, or a
 * kept one. NULL when it is not kept any more. */
static GwAnswer *
find_answer(GwRuntime *rt, uint64_t handle, uint32_t attempt)
{
    GwAnswer *answer = NULL;
    OpenCall *call = Call_Find(rt, handle);

    if (call != NULL) {
        pthread_mutex_lock(&call->mutex);
        answer = g_hash_table_lookup(call->answers, attempt_key(attempt));
        answer = answer != NULL ? GwAnswer_Ref(answer) : NULL;
        pthread_mutex_unlock(&call->mutex);
        Call_Unref(call);
    }
    if (answer == NULL) {
        pthread_mutex_lock(&rt->call_lock);
        answer = GwAnswers_Get(rt->answers, handle, attempt);
        pthread_mutex_unlock(&rt->call_lock);
    }
    return answer;
}

/* An answer that is gone is "unknown", never another call's answer. */
static void
set_finish(GwRuntime *rt, OpenCall *call, const GwFinishAction *action,
           GwAnswer *answer)
{
    call->finish = *action;
    call->answer = answer;
    call->finished = true;
    if (action->outcome == GW_OUTCOME_ANSWERED && answer == NULL) {
        call->finish.outcome = GW_OUTCOME_UNKNOWN;
        call->finish.reason = GW_REASON_OLD_TICKET;
        GwCounter_Add(&rt->metrics.answers_missing, 1);
    }
}

/* Keeps the answer of a call with a ticket of ours for as long as a resend
 * may ask for it. Done before the caller is answered: its resend may come
 * through another connection at once. */
static void
keep_answer(GwRuntime *rt, const GwFinishAction *action, GwAnswer *answer)
{
    int64_t keep_ms =
        (int64_t)rt->params.ticket_valid_ms + rt->params.ticket_retention_ms;
    if (action->outcome != GW_OUTCOME_ANSWERED || answer == NULL ||
        action->answer_of != action->call || action->ticket.seq == 0 ||
        !GwNodeId_Equal(action->ticket.owner, rt->params.id)) {
        return;
    }
    pthread_mutex_lock(&rt->call_lock);
    GwAnswers_Keep(rt->answers, action->call, action->answer_attempt, answer,
                   GwNet_NowUs() + keep_ms * 1000);
    pthread_mutex_unlock(&rt->call_lock);
}

static void
abort_all(OpenCall *call)
{
    GHashTableIter iter;
    gpointer abort;
    g_hash_table_iter_init(&iter, call->aborts);
    while (g_hash_table_iter_next(&iter, NULL, &abort)) {
        GwAbort_Trigger(abort);
    }
}

/* Wakes the call's thread. Attempts that still run are cut off, so that the
 * final outcome is sent at once. */
void
Call_OnFinish(GwRuntime *rt, const GwFinishAction *action)
{
    OpenCall *call = Call_Find(rt, action->call);
    GwAnswer *answer = NULL;

    if (call == NULL) {
        return;
    }
    if (action->outcome == GW_OUTCOME_ANSWERED) {
        answer = find_answer(rt, action->answer_of, action->answer_attempt);
    }
    keep_answer(rt, action, answer);
    pthread_mutex_lock(&call->mutex);
    bool first = !call->finished;
    if (first) {
        set_finish(rt, call, action, answer);
    }
    abort_all(call);
    bool relayed = call->relayed_on;
    pthread_cond_signal(&call->wake);
    pthread_mutex_unlock(&call->mutex);
    if (!first) {
        GwAnswer_Unref(answer);
    }
    if (relayed) {
        Relay_Cancel(rt, action->call, 0);
    }
    Call_Unref(call);
}

/* Waits for a mailed action; NULL when the call is over. */
static GwDispatchAction *
next_action(GwRuntime *rt, OpenCall *call)
{
    struct timespec until;
    clock_gettime(CLOCK_MONOTONIC, &until);
    int64_t left_us = call->deadline_us - GwNet_NowUs() + OVERDUE_US;
    until.tv_sec += MAX(left_us, 0) / 1000000 + 1;

    pthread_mutex_lock(&call->mutex);
    while (!call->finished && call->mailbox.length == 0) {
        int rc = pthread_cond_timedwait(&call->wake, &call->mutex, &until);
        if (rc == ETIMEDOUT && !call->finished) {
            /* The node should have ended the call long ago. A thread lost
             * to it for good would be worse than an early "unknown". */
            call->finish = (GwFinishAction){
                .outcome = GW_OUTCOME_UNKNOWN,
                .reason = GW_REASON_DEADLINE,
            };
            call->finished = true;
            GwCounter_Add(&rt->metrics.overdue, 1);
        }
    }
    GwDispatchAction *action = g_queue_pop_head(&call->mailbox);
    pthread_mutex_unlock(&call->mutex);
    return action;
}

static void
count_outcome(GwRuntime *rt, const OpenCall *call, int64_t begin_us)
{
    RuntimeMetrics *m = &rt->metrics;
    switch (call->finish.outcome) {
    case GW_OUTCOME_ANSWERED:
        GwCounter_Add(&m->answered, 1);
        break;
    case GW_OUTCOME_NOT_RUN:
        GwCounter_Add(&m->not_run, 1);
        break;
    case GW_OUTCOME_UNKNOWN:
        GwCounter_Add(&m->unknown, 1);
        break;
    }
    GwHistogram_Add(&m->call_us, (uint64_t)(GwNet_NowUs() - begin_us));
}

/* An attempt mailed just before the call ended is still run through: its
 * abort is set, so it ends unstarted, and its end is reported. */
void
Call_Drive(GwRuntime *rt, OpenCall *call, const GwCallEvent *event)
{
    GwEvent arrive = {.kind = GW_EVENT_CALL, .u.call = *event};
    GwDispatchAction *action;
    int64_t begin_us = GwNet_NowUs();

    Runtime_Step(rt, &arrive);
    while ((action = next_action(rt, call)) != NULL) {
        run_attempt(rt, call, action);
        g_free(action);
    }
    count_outcome(rt, call, begin_us);
}

void
Call_Close(GwRuntime *rt, OpenCall *call)
{
    pthread_mutex_lock(&rt->call_lock);
    g_hash_table_remove(rt->open, &call->handle);
    pthread_mutex_unlock(&rt->call_lock);
    Call_Unref(call);
}
