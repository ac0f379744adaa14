/* Admission of a request: route, service of a split route, and deadlines. */
#include "router/decisions.h"

/* Time that a caller waits if it states none. */
#define DEFAULT_CALLER_TIME_US 5000000
/* Latency objective of a route that states none. */
#define DEFAULT_OBJECTIVE_US 1000000
/* Decay of a route's longest caller time towards the time of a new request;
 * and the largest part of its time that a caller can have used when it
 * retries: a caller waits at most a third of its time before each of one or
 * two retries. */
#define CALLER_TIME_DECAY 0.02
#define SPENT_SHARE_MAX   0.67
/* A caller that has used less of its time was not refused: the least retry
 * delay is longer. */
#define RETURN_SPENT_MIN_US 50000
/* A server answers shortly after the caller's time is over; that answer states
 * whether the request ran, so the entry waits this long for it. */
#define SERVER_TIMEOUT_ANSWER_US 120000
/* After a route's timeout the caller gets its answer at once. */
#define TIMEOUT_SLACK_US 30000
/* A request that another entry passed on is answered this long after its time
 * is over, which is before that entry answers itself. */
#define PASSED_ON_ANSWER_US 20000
/* Longest wait of a request that misses its objective, in objectives. */
#define LATE_WAIT_OBJECTIVES 1.5

static void
init_estimates(const GwRoute *route, GwRouteState *state)
{
    double objective_us = MAX(route->objective_ms, 1) * 1000.0;

    state->cold_us = GW_COLD_SHARE * objective_us;
    state->warm_us = GW_WARM_SHARE * objective_us;
}

static GwRouteState *
find_or_add_state(GwRouter *r, const GwRoute *route)
{
    GwRouteState *state = g_hash_table_lookup(r->routes, route->name);

    if (state == NULL) {
        state = g_new0(GwRouteState, 1);
        state->name = g_strdup(route->name);
        init_estimates(route, state);
        g_hash_table_insert(r->routes, state->name, state);
    }
    if (state->credit_count != route->part_count) {
        g_free(state->credit);
        state->credit = g_new0(int64_t, route->part_count);
        state->credit_count = route->part_count;
    }
    return state;
}

/* Smooth weighted round robin: each part's counter grows by its weight; the
 * largest one is chosen and reduced by the sum. The shares are exact over each
 * round, so short stretches of requests are split like long ones. */
static const char *
next_service(const GwRoute *route, GwRouteState *state)
{
    int64_t sum = 0;
    uint32_t best = 0;

    for (uint32_t i = 0; i < route->part_count; i++) {
        state->credit[i] += route->parts[i].weight;
        sum += route->parts[i].weight;
        if (state->credit[i] > state->credit[best]) {
            best = i;
        }
    }
    state->credit[best] -= sum;
    return route->parts[best].service;
}

/* Time that the caller has spent on earlier tries. A refused caller retries
 * with less time left than callers of the route state at first, and its
 * objective counts from the first try. The time stated at first is taken to be
 * the longest seen, decaying: a single caller with a long time must not
 * make all later callers count as late forever. */
static int64_t
spent_earlier_us(GwRouteState *state, int64_t left_us)
{
    int64_t most = state->caller_time_max_us;

    most -= (int64_t)((double)(most - left_us) * CALLER_TIME_DECAY);
    state->caller_time_max_us = MAX(most, left_us);
    int64_t spent = state->caller_time_max_us - left_us;
    return (double)spent > SPENT_SHARE_MAX * (double)state->caller_time_max_us
               ? 0
               : spent;
}

/* With overload control, a time that the caller doesn't state says nothing of
 * earlier tries: a longer default would make all others count as refused
 * before. */
static bool
states_time(const GwRouter *r, const GwArrival *arrival)
{
    return arrival->left_us >= 0 || r->shortage == NULL;
}

static void
set_deadlines(const GwRouter *r, GwRequest *req, int64_t now_us,
              const GwArrival *arrival)
{
    int64_t left_us = arrival->left_us;
    int64_t start_us = now_us - arrival->waited_us;
    int64_t timeout_us = (int64_t)req->route->timeout_ms * 1000;

    if (left_us < 0) {
        left_us = timeout_us > 0 ? timeout_us : DEFAULT_CALLER_TIME_US;
    }
    int64_t objective_end_us = req->route->objective_ms > 0
                                   ? (int64_t)req->route->objective_ms * 1000
                                   : DEFAULT_OBJECTIVE_US;
    int64_t spent_us = req->is_passed_on || !states_time(r, arrival)
                           ? 0
                           : spent_earlier_us(req->state, left_us);
    req->arrived_us = now_us;
    req->is_returning = spent_us >= RETURN_SPENT_MIN_US;
    req->objective_end_us =
        start_us + (req->is_passed_on ? arrival->objective_left_us
                                      : objective_end_us - spent_us);
    req->useless_after_us =
        start_us + (int64_t)(objective_end_us * LATE_WAIT_OBJECTIVES);
    req->server_deadline_us = start_us + left_us;
    req->give_up_us = start_us + left_us + SERVER_TIMEOUT_ANSWER_US;
    if (req->is_passed_on) {
        req->give_up_us = start_us + left_us + PASSED_ON_ANSWER_US;
    }
    if (timeout_us > 0) {
        req->server_deadline_us =
            MIN(req->server_deadline_us, start_us + timeout_us);
        req->give_up_us =
            MIN(req->give_up_us, start_us + timeout_us + TIMEOUT_SLACK_US);
    }
}

static void
refuse_arrival(GwRouter *r, const GwArrival *arrival, GwReplyReason why,
               GArray *actions)
{
    GwRouterAction out = {
        .kind = GW_ROUTER_REPLY,
        .user = arrival->user,
        .why = why,
        .status = GwReplyReason_Status(why),
    };

    if (out.status == 503) {
        out.retry_after_ms = GwRouter_RetryAfterMs(r);
    }
    g_array_append_val(actions, out);
}

/* Whether the request may enter the router, where it may wait for a token, a
 * slot, a probe or a connection. */
static GwReplyReason
check_entrance(const GwRouter *r, int64_t now_us, const GwArrival *arrival,
               const GwRoute *route)
{
    GwReplyReason why = GwRouter_CheckArrival(r, now_us, arrival, route);

    return why == GW_REPLY_NONE && GwRouter_HasEnded(r, now_us)
               ? GW_REPLY_LEAVING
               : why;
}

void
GwRouter_Arrive(GwRouter *r, int64_t now_us, const GwArrival *arrival,
                GArray *actions)
{
    GwRouter_FreeRemoved(r, actions);
    const GwRoute *route =
        r->routing != NULL
            ? GwRouting_Match(r->routing, arrival->host, arrival->path)
            : NULL;
    GwReplyReason why = check_entrance(r, now_us, arrival, route);
    if (why != GW_REPLY_NONE || route == NULL) {
        refuse_arrival(r, arrival, why, actions);
        return;
    }
    GwRequest *req = g_new0(GwRequest, 1);
    req->user = arrival->user;
    req->routing = GwRouting_Ref(r->routing);
    req->route = route;
    req->state = find_or_add_state(r, route);
    req->state->open++;
    req->service =
        GwRouter_FindOrAddService(r, next_service(route, req->state));
    GwRequest_SetAccess(r, req, arrival->credential);
    req->deadline = GW_HEAP_ABSENT;
    req->is_passed_on = arrival->is_passed_on;
    set_deadlines(r, req, now_us, arrival);
    if (arrival->key != NULL && route->has_key_affinity) {
        req->key = GwRouter_FindOrAddKey(r, now_us, route, req->service,
                                         arrival->key);
    }
    if (arrival->fingerprint != NULL) {
        req->has_fingerprint = true;
        req->fingerprint = *arrival->fingerprint;
    }
    g_hash_table_add(r->open, req);
    if (!req->is_passed_on) {
        GwRouter_EarnRetry(r, req->service);
    }
    (void)GwRouter_AddAction(actions, GW_ROUTER_ACCEPT, req);
    GwRequest_Admit(r, now_us, req, actions);
}

/* ---- Previews ------------------------------------------------------------ */

/* A copy of the route's state, or a new one: a preview must not change the
 * turns of a traffic split or the times that callers state. */
static void
copy_state(const GwRouter *r, const GwRoute *route, GwRouteState *to)
{
    const GwRouteState *state = g_hash_table_lookup(r->routes, route->name);

    if (state != NULL) {
        *to = *state;
        to->credit = g_memdup2(state->credit,
                               state->credit_count * sizeof(*state->credit));
    }
    else {
        init_estimates(route, to);
    }
    if (to->credit_count != route->part_count) {
        g_free(to->credit);
        to->credit = g_new0(int64_t, route->part_count);
        to->credit_count = route->part_count;
    }
}

GwReplyReason
GwRouter_BeginPreview(GwRouter *r, int64_t now_us, const GwArrival *arrival,
                      GwPreview *out)
{
    GwRequest *req = &out->request;
    const GwRoute *route =
        r->routing != NULL
            ? GwRouting_Match(r->routing, arrival->host, arrival->path)
            : NULL;
    GwReplyReason why = GwRouter_CheckArrival(r, now_us, arrival, route);

    if (why != GW_REPLY_NONE || route == NULL) {
        return why != GW_REPLY_NONE ? why : GW_REPLY_NO_ROUTE;
    }
    copy_state(r, route, &out->state);
    req->route = route;
    req->state = &out->state;
    req->service =
        g_hash_table_lookup(r->services, next_service(route, req->state));
    if (req->service == NULL) {
        return GW_REPLY_NO_SERVER;
    }
    GwRequest_SetAccess(r, req, arrival->credential);
    req->deadline = GW_HEAP_ABSENT;
    req->is_passed_on = arrival->is_passed_on;
    set_deadlines(r, req, now_us, arrival);
    if (arrival->key != NULL && route->has_key_affinity) {
        req->key = GwRouter_FindKey(r, route, req->service, arrival->key);
        if (req->key == NULL) {
            out->key.hash = GwKey_Hash(route, req->service, arrival->key);
            req->key = &out->key;
        }
    }
    return GW_REPLY_NONE;
}

void
GwRouter_EndPreview(GwPreview *preview)
{
    GwRouting_Unref(preview->request.access_routing);
    g_free(preview->state.credit);
}
