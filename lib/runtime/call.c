/* Open calls: mailbox, attempts, and the thread that drives each call. */
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
set_request_id(const GwRuntime *rt, OpenCall *call)
{
    if (call->request.ticket.seq != 0) {
        GwTicket_Format(&call->request.ticket, call->request_id);
        return;
    }
    g_snprintf(call->request_id, sizeof(call->request_id),
               "call-%016" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x",
               rt->params.id.start, call->handle);
}

/* Takes ownership of the request's body. Pair with Call_Close. */
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
    set_request_id(rt, call);
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

/* Returns the abort handle of an attempt, created on first use: another thread
 * may execute the CANCEL of an attempt before its DISPATCH. Requires
 * call->mutex. */
static GwAbort *
get_abort(OpenCall *call, uint32_t attempt)
{
    GwAbort *abort = g_hash_table_lookup(call->aborts, attempt_key(attempt));
    if (abort == NULL) {
        abort = GwAbort_Create();
        g_hash_table_insert(call->aborts, attempt_key(attempt), abort);
    }
    return abort;
}

/* Takes ownership of the reference. */
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
make_dispatch_request(const OpenCall *call, const GwDispatchAction *action)
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

/* Runs an attempt and reports its outcome to the node. Stores the answer
 * first: the FINISH that follows the report looks it up. */
static void
run_attempt(GwRuntime *rt, OpenCall *call, const GwDispatchAction *action)
{
    GwDispatchRequest dispatch_request = make_dispatch_request(call, action);
    GwDispatchResult result;
    int64_t begin_us = GwNet_NowUs();

    pthread_mutex_lock(&call->mutex);
    GwAbort *abort = GwAbort_Ref(get_abort(call, action->attempt));
    if (call->finished) {
        GwAbort_Trigger(abort);
    }
    pthread_mutex_unlock(&call->mutex);
    GwDispatch_Run(rt->dispatcher, &dispatch_request, abort, &result);
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
                .outcome = result.outcome,
                .reason = result.reason,
                .retry_after_ms = result.retry_after_ms,
                .draining = result.draining,
                .has_load = result.has_load,
                .reported_load = result.reported_load,
                .body_len =
                    result.answer != NULL ? result.answer->body_len : 0,
            },
    };
    if (result.answer != NULL) {
        Call_PutAnswer(call, action->attempt, result.answer);
    }
    pthread_mutex_lock(&call->mutex);
    call->attempts_open--;
    pthread_mutex_unlock(&call->mutex);
    Runtime_Step(rt, &event);
}

typedef struct {
    OpenCall *call;
    GwDispatchAction action;
} HedgeJob;

/* Runs an attempt in parallel to the attempt on the call's own thread. */
void
Call_RunHedge(void *job, void *arg)
{
    HedgeJob *hedge_job = job;
    run_attempt(arg, hedge_job->call, &hedge_job->action);
    Call_Unref(hedge_job->call);
    g_free(hedge_job);
}

/* Queues the attempt for the call's thread, or for a pool thread when the
 * call already has an attempt. For a finished call no attempt starts, but its
 * end is still reported, since the node counts a unit for it. */
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
    bool may_start = !call->finished;
    bool needs_worker = may_start && call->attempts_open > 0;
    if (may_start) {
        call->attempts_open++;
    }
    if (may_start && !needs_worker) {
        g_queue_push_tail(&call->mailbox, g_memdup2(action, sizeof(*action)));
        pthread_cond_signal(&call->wake);
    }
    pthread_mutex_unlock(&call->mutex);
    if (needs_worker) {
        HedgeJob *hedge_job = g_new0(HedgeJob, 1);
        *hedge_job = (HedgeJob){.call = call, .action = *action};
        GwWorkers_Push(rt->hedge_pool, hedge_job);
        return;
    }
    if (!may_start) {
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
        GwAbort_Trigger(get_abort(call, attempt));
        pthread_mutex_unlock(&call->mutex);
        Call_Unref(call);
    }
    Relay_Cancel(rt, handle, attempt);
}

/* Returns a reference to the answer of an attempt, from an open call or from
 * the kept answers; NULL when neither has it. */
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

/* Requires call->mutex. A missing answer makes the outcome "unknown". */
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

/* Keeps the answer of a call whose ticket this process owns, for as long as a
 * resend is valid. Runs before the caller gets the answer: a resend may arrive
 * at once on another connection. */
static void
keep_answer(GwRuntime *rt, const GwFinishAction *action, GwAnswer *answer)
{
    int64_t keep_ms =
        (int64_t)rt->params.ticket_valid_ms + rt->params.ticket_retention_ms;
    if (action->outcome != GW_OUTCOME_ANSWERED || answer == NULL ||
        action->answer_call != action->call || action->ticket.seq == 0 ||
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

/* Sets the outcome and wakes the call's thread. Aborts running attempts, so
 * that the outcome is sent without waiting for them. */
void
Call_OnFinish(GwRuntime *rt, const GwFinishAction *action)
{
    OpenCall *call = Call_Find(rt, action->call);
    GwAnswer *answer = NULL;

    if (call == NULL) {
        return;
    }
    if (action->outcome == GW_OUTCOME_ANSWERED) {
        answer = find_answer(rt, action->answer_call, action->answer_attempt);
    }
    keep_answer(rt, action, answer);
    pthread_mutex_lock(&call->mutex);
    bool is_first = !call->finished;
    if (is_first) {
        set_finish(rt, call, action, answer);
    }
    abort_all(call);
    bool has_relays = call->was_relayed;
    pthread_cond_signal(&call->wake);
    pthread_mutex_unlock(&call->mutex);
    if (!is_first) {
        GwAnswer_Unref(answer);
    }
    if (has_relays) {
        Relay_Cancel(rt, action->call, 0);
    }
    Call_Unref(call);
}

/* Waits for a queued action; NULL when the call is finished. */
static GwDispatchAction *
next_action(GwRuntime *rt, OpenCall *call)
{
    struct timespec until;
    clock_gettime(CLOCK_MONOTONIC, &until);
    int64_t left_us = call->deadline_us - GwNet_NowUs() + FINISH_GRACE_US;
    until.tv_sec += MAX(left_us, 0) / 1000000 + 1;

    pthread_mutex_lock(&call->mutex);
    while (!call->finished && call->mailbox.length == 0) {
        int rc = pthread_cond_timedwait(&call->wake, &call->mutex, &until);
        if (rc == ETIMEDOUT && !call->finished) {
            /* The node failed to finish the call by FINISH_GRACE_US after its
             * deadline. End it as "unknown" rather than block the thread
             * forever. */
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

/* An attempt queued just before the call finished still runs: its abort is
 * triggered, so it ends without a request, and its end is reported. */
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
