/* Callers, backend servers and relays of the cluster simulation, and checks of
 * the call guarantees against their journals. */
#include "fakes/cluster_internal.h"

#include <string.h>

#define BACKEND_ONE_WAY_US 150
#define REFUSAL_STANDS_US  (9 * FAKE_SEC) /* the longest deadline is 10 s */

FakeBackend *
FakeCluster_Backend(FakeCluster *c, uint32_t i)
{
    return g_ptr_array_index(c->backends, i);
}

FakeCallerCall *
FakeCluster_CallAt(FakeCluster *c, uint32_t i)
{
    return g_ptr_array_index(c->calls, i);
}

GwResult
FakeCluster_Mint(FakeCluster *c, uint32_t node, GwTicket *out)
{
    FakeNode *n = &c->nodes[node];

    if (n->node == NULL || n->paused_until_us > c->now_us) {
        return GW_ERR(IO);
    }
    return GwNode_MintTickets(n->node, c->now_us, 1, out);
}

static FakeHostCall *
new_host_call(FakeCluster *c, uint32_t node)
{
    FakeHostCall *host = g_new0(FakeHostCall, 1);
    host->handle = ++c->next_handle;
    host->node = node;
    host->epoch = c->nodes[node].epoch;
    host->caller_call = GW_NONE;
    g_hash_table_insert(c->hosts, &host->handle, host);
    return host;
}

static void
step_call(FakeCluster *c, const FakeHostCall *host, bool to_owner,
          uint64_t grant)
{
    GwEvent event = {.kind = GW_EVENT_CALL};
    GwCallEvent *call = &event.u.call;

    call->call = host->handle;
    g_strlcpy(call->service, host->service, GW_NAME_MAX);
    g_strlcpy(call->method, host->idempotent ? "GET" : "POST",
              sizeof(call->method));
    g_strlcpy(call->path, "/x", GW_PATH_MAX);
    call->ticket = host->ticket;
    call->deadline_us = host->deadline_us;
    if (host->caller_call == GW_NONE) {
        call->relayed = true;
        call->to_owner = to_owner;
        call->relay_from = c->nodes[host->from_node].params.id;
        call->grant = grant;
    }
    FakeCluster_Step(c, host->node, &event);
}

/* A call arrives at an entry now. */
uint32_t
FakeCluster_Call(FakeCluster *c, uint32_t node, const char *service,
                 bool idempotent, const GwTicket *ticket, uint64_t key,
                 int64_t deadline_us)
{
    FakeCallerCall *call = g_new0(FakeCallerCall, 1);
    uint32_t index = c->calls->len;

    call->node = node;
    call->idempotent = idempotent;
    call->key = key != 0 ? key : index + 1;
    call->sent_us = c->now_us;
    call->service = (uint32_t)(service[1] - '0');
    g_ptr_array_add(c->calls, call);
    if (c->nodes[node].node == NULL ||
        c->nodes[node].paused_until_us > c->now_us) {
        /* Connection refused or not accepted: nothing was sent. */
        call->done = true;
        call->not_sent = true;
        call->outcome = GW_OUTCOME_NOT_RUN;
        call->reason = GW_REASON_CONNECT;
        call->ended_us = c->now_us;
        return index;
    }
    FakeHostCall *host = new_host_call(c, node);
    host->key = call->key;
    host->idempotent = idempotent;
    host->deadline_us = deadline_us;
    host->caller_call = index;
    host->sending = index;
    call->handle = host->handle;
    g_strlcpy(host->service, service, GW_NAME_MAX);
    if (ticket != NULL) {
        host->ticket = *ticket;
        call->ticket = *ticket;
    }
    step_call(c, host, false, 0);
    return index;
}

void
FakeCluster_Disconnect(FakeCluster *c, uint32_t index)
{
    FakeCallerCall *call = FakeCluster_CallAt(c, index);
    const FakeNode *n = &c->nodes[call->node];
    const FakeHostCall *host = g_hash_table_lookup(c->hosts, &call->handle);
    GwEvent event = {.kind = GW_EVENT_CALLER_DISCONNECTED,
                     .u.disconnected_call = call->handle};

    if (call->done || host == NULL || n->node == NULL ||
        n->epoch != host->epoch || n->paused_until_us > c->now_us) {
        return;
    }
    call->is_disconnected = true;
    FakeCluster_Step(c, call->node, &event);
}

static FakeHostCall *
live_host_call(FakeCluster *c, uint64_t handle)
{
    FakeHostCall *host = g_hash_table_lookup(c->hosts, &handle);
    if (host == NULL || c->nodes[host->node].node == NULL ||
        c->nodes[host->node].epoch != host->epoch) {
        return NULL;
    }
    return host;
}

static void
post_end(FakeCluster *c, uint32_t node, uint32_t epoch, uint64_t handle,
         uint32_t attempt, int64_t at_us, GwAttemptEvent end)
{
    FakeEvent *ev = FakeCluster_Post(c, FAKE_ATTEMPT_END, at_us, node);
    ev->epoch = epoch;
    ev->end = end;
    ev->end.call = handle;
    ev->end.attempt = attempt;
}

/* ---- backend servers --------------------------------------------------- */

static uint32_t
backend_by_id(const FakeCluster *c, uint64_t id)
{
    for (uint32_t i = 0; i < c->backends->len; i++) {
        const FakeBackend *b = g_ptr_array_index(c->backends, i);
        if (b->id == id) {
            return i;
        }
    }
    return GW_NONE;
}

void
FakeCalls_Dispatch(FakeCluster *c, uint32_t node,
                   const GwDispatchAction *dispatch)
{
    FakeEvent *ev = FakeCluster_Post(c, FAKE_BACKEND_IN,
                                     c->now_us + BACKEND_ONE_WAY_US, node);
    ev->handle = dispatch->call;
    ev->attempt = dispatch->attempt;
    ev->backend = backend_by_id(c, dispatch->backend);
    ev->give_up_us = dispatch->give_up_us;
}

static int64_t
service_time(FakeCluster *c, const FakeBackend *b, uint64_t key)
{
    int64_t base = c->params.service_time_us;

    if (c->params.work_us != NULL) {
        int64_t time = c->params.work_us(key) * MAX(b->slow_factor, 1);
        uint32_t sharing = MAX(b->in_flight, b->slots);
        return time * sharing / b->slots;
    }
    int64_t time = GwRng_Jitter(&c->rng, base / 2, base);

    if (GwRng_Below(&c->rng, 50) == 0) {
        time *= 4;
    }
    return b->slow_factor > 1 ? time * b->slow_factor : time;
}

static void
count_run(FakeCluster *c, const FakeHostCall *host)
{
    if (host->idempotent) {
        return;
    }
    FakeRuns *runs = g_hash_table_lookup(c->runs, &host->key);
    if (runs == NULL) {
        runs = g_new0(FakeRuns, 1);
        runs->key = host->key;
        runs->first_us = c->now_us;
        runs->sending = host->sending;
        g_hash_table_insert(c->runs, &runs->key, runs);
    }
    runs->count++;
}

/* The request reaches the server. It may run from now on, even if the entry
 * that sent it fails. */
void
FakeCalls_BackendIn(FakeCluster *c, const FakeEvent *ev)
{
    FakeBackend *b = FakeCluster_Backend(c, ev->backend);
    const FakeHostCall *host = g_hash_table_lookup(c->hosts, &ev->handle);
    uint32_t limit = b->slots * c->params.shed_over_percent / 100;
    GwAttemptEvent end = {.outcome = GW_OUTCOME_NOT_RUN};

    if (host == NULL) {
        return;
    }
    if (b->down || (limit > 0 && b->in_flight >= limit)) {
        end.reason = b->down ? GW_REASON_CONNECT : GW_REASON_SHED;
        end.draining = b->draining;
        post_end(c, ev->node, ev->epoch, ev->handle, ev->attempt,
                 c->now_us + BACKEND_ONE_WAY_US, end);
        return;
    }
    b->in_flight++;
    b->runs++;
    b->last_start_us = c->now_us;
    if (b->in_flight > b->most_in_flight) {
        b->most_in_flight = b->in_flight;
    }
    count_run(c, host);
    int64_t time = service_time(c, b, host->key);
    int64_t ends = c->now_us + time;
    bool cut_short = ends > ev->give_up_us;
    FakeEvent *done = FakeCluster_Post(
        c, FAKE_BACKEND_DONE, cut_short ? ev->give_up_us : ends, ev->node);
    done->epoch = ev->epoch;
    done->handle = ev->handle;
    done->attempt = ev->attempt;
    done->backend = ev->backend;
    done->run_counted = !cut_short;
    b->busy_until_us = MAX(b->busy_until_us, done->at_us);
}

/* The server completes the call, or its deadline expires without an answer. */
void
FakeCalls_BackendDone(FakeCluster *c, const FakeEvent *ev)
{
    FakeBackend *b = FakeCluster_Backend(c, ev->backend);
    GwAttemptEvent end = {.outcome = GW_OUTCOME_ANSWERED, .body_len = 64};

    b->in_flight--;
    if (b->silent || !ev->run_counted) {
        return;
    }
    if (b->resets) {
        end.outcome = GW_OUTCOME_UNKNOWN;
        end.reason = GW_REASON_BROKEN;
    }
    end.draining = b->draining;
    end.has_load = !b->no_reports;
    end.reported_load = b->reports_no_load ? 0 : b->in_flight;
    post_end(c, ev->node, ev->epoch, ev->handle, ev->attempt,
             c->now_us + BACKEND_ONE_WAY_US, end);
}

/* ---- relays ------------------------------------------------------------ */

static uint32_t
node_by_id(const FakeCluster *c, uint64_t id)
{
    gpointer place = g_hash_table_lookup(c->by_id, &id);

    return place == NULL ? GW_NONE : GPOINTER_TO_UINT(place) - 1;
}

void
FakeCalls_Relay(FakeCluster *c, uint32_t node, const GwRelayAction *relay)
{
    uint32_t to = node_by_id(c, relay->to.node);
    FakeEvent *ev = FakeCluster_Post(
        c, FAKE_RELAY_IN, c->now_us + FakeCluster_Delay(c, node, to), to);

    ev->relay = *relay;
    ev->handle = relay->call;
    ev->backend = node; /* the sending node */
}

static void
count_shift(FakeCluster *c, const FakeHostCall *host, int change)
{
    uint32_t service = (uint32_t)(host->service[1] - '0');
    uint32_t from = c->nodes[host->from_node].region;
    uint32_t to = c->nodes[host->node].region;
    uint32_t *now = &c->shifted[service][from][to];
    uint32_t *most = &c->most_shifted[service][from][to];

    *now = (uint32_t)((int)*now + change);
    *most = MAX(*most, *now);
}

/* A relayed call reaches its target. A stopped process refuses the connection,
 * which proves that the call did not run. A partitioned link drops the call
 * without a report. */
void
FakeCalls_RelayIn(FakeCluster *c, const FakeEvent *ev)
{
    uint32_t from = ev->backend;
    FakeHostCall *origin = live_host_call(c, ev->handle);
    FakeNode *n = &c->nodes[ev->node];

    if (origin == NULL || FakeCluster_IsCut(c, from, ev->node)) {
        return;
    }
    if (n->node == NULL || !GwNodeId_Equal(n->params.id, ev->relay.to)) {
        GwAttemptEvent end = {.outcome = GW_OUTCOME_NOT_RUN,
                              .reason = GW_REASON_PEER_CONNECT};
        post_end(c, from, origin->epoch, ev->handle, ev->relay.attempt,
                 c->now_us + FakeCluster_Delay(c, ev->node, from), end);
        return;
    }
    FakeHostCall *host = new_host_call(c, ev->node);
    host->key = origin->key;
    host->sending = origin->sending;
    host->idempotent = origin->idempotent;
    host->ticket = ev->relay.to_owner ? origin->ticket : (GwTicket){0};
    host->deadline_us = ev->relay.give_up_us;
    host->from_node = from;
    host->from_epoch = origin->epoch;
    host->from_handle = ev->handle;
    host->from_attempt = ev->relay.attempt;
    g_strlcpy(host->service, origin->service, GW_NAME_MAX);
    if (!ev->relay.to_owner) {
        host->counted_shift = true;
        count_shift(c, host, 1);
    }
    step_call(c, host, ev->relay.to_owner, ev->relay.grant);
}

/* ---- outcomes ---------------------------------------------------------- */

static void
finish_relayed(FakeCluster *c, FakeHostCall *host,
               const GwFinishAction *finish)
{
    uint32_t from = host->from_node;
    GwAttemptEvent end = {.outcome = finish->outcome,
                          .reason = finish->reason,
                          .retry_after_ms = finish->retry_after_ms};

    if (host->counted_shift) {
        count_shift(c, host, -1);
    }
    if (FakeCluster_IsCut(c, host->node, from)) {
        return;
    }
    post_end(c, from, host->from_epoch, host->from_handle, host->from_attempt,
             c->now_us + FakeCluster_Delay(c, host->node, from), end);
}

/* Records the final outcome of a call at its entry. An answer that belongs to
 * a call with another key counts as wrong. */
void
FakeCalls_Finish(FakeCluster *c, uint32_t node, const GwFinishAction *finish)
{
    FakeHostCall *host = g_hash_table_lookup(c->hosts, &finish->call);

    g_assert(host != NULL && host->node == node);
    if (host->caller_call == GW_NONE) {
        finish_relayed(c, host, finish);
        return;
    }
    FakeCallerCall *call = FakeCluster_CallAt(c, host->caller_call);
    g_assert(!call->done);
    call->done = true;
    call->outcome = finish->outcome;
    call->reason = finish->reason;
    call->ticket = finish->ticket;
    call->ended_us = c->now_us;
    if (finish->outcome == GW_OUTCOME_ANSWERED) {
        const FakeHostCall *of =
            g_hash_table_lookup(c->hosts, &finish->answer_call);
        call->wrong_answer = of == NULL || of->key != call->key;
    }
}

/* A refusal is false if any send of the key ran before the caller read the
 * refusal, since the caller may then use a new ticket. A refusal is final for
 * its ticket, so no later send may run either. */
static bool
is_false_refusal(const FakeCallerCall *call, const FakeRuns *runs)
{
    return !call->not_sent && runs != NULL &&
           (runs->first_us < call->ended_us ||
            runs->first_us - call->ended_us < REFUSAL_STANDS_US);
}

static void
check_call(const FakeCluster *c, const FakeCallerCall *call,
           FakeCallsReport *j)
{
    const FakeRuns *runs = g_hash_table_lookup(c->runs, &call->key);

    j->sent++;
    if (!call->done) {
        /* A crashed entry closed the connections of its callers. */
        j->unfinished +=
            c->nodes[call->node].node != NULL &&
            c->nodes[call->node].params.id.start <= (uint64_t)call->sent_us;
        return;
    }
    switch (call->outcome) {
    case GW_OUTCOME_ANSWERED:
        j->answered++;
        j->wrong_answers += call->wrong_answer;
        j->wrong_answers += !call->idempotent && runs == NULL;
        break;
    case GW_OUTCOME_NOT_RUN:
        j->not_run++;
        j->false_refusals += is_false_refusal(call, runs);
        break;
    case GW_OUTCOME_UNKNOWN:
        j->unknown++;
        break;
    }
}

FakeCallsReport
FakeCluster_CheckCalls(const FakeCluster *c)
{
    FakeCallsReport j = {.cut_off = c->cut_off};
    GHashTableIter iter;
    gpointer value = NULL;

    for (uint32_t i = 0; i < c->calls->len; i++) {
        check_call(c, g_ptr_array_index(c->calls, i), &j);
    }
    g_hash_table_iter_init(&iter, c->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        j.doubled += ((const FakeRuns *)value)->count > 1;
    }
    for (uint32_t i = 0; i < c->backends->len; i++) {
        const FakeBackend *b = g_ptr_array_index(c->backends, i);
        j.over_slots += b->most_in_flight > b->slots;
        if (b->draining && b->last_start_us > b->draining_since_us) {
            int64_t late = b->last_start_us - b->draining_since_us;
            j.late_ms = MAX(j.late_ms, (uint32_t)(late / FAKE_MS));
        }
    }
    return j;
}
