/* The life of a request: admitted, placed, sent, perhaps sent again, over. */
#include "router/router_internal.h"

#include <string.h>

/* Callers that say nothing of their time are taken to wait this long. */
#define DEFAULT_LEFT_US 5000000
/* A route that names no objective is taken to have this one. */
#define DEFAULT_AIM_US 1000000
/* Of the distance to a new request's time, how much the most seen fades; and
 * the part of its time that a caller can have spent when it comes back: it
 * waits a third at most before each of one or two returns. */
#define LEFT_FADES    0.02
#define COMEBACK_MOST 0.67
/* A server tells that its caller's time is over a little after it is; its
 * word, which says whether the request ran, is worth these us of waiting. */
#define SERVER_WORD_US 120000
/* Past a route's timeout the caller gets its answer at once. */
#define TIMEOUT_SLACK_US 30000
/* What would come too late is kept for so long, in objectives. */
#define LATE_WAIT 1.5
/* Waiting requests are judged anew this often: estimates move with the peers'
 * reports, and a first run may end earlier than expected. */
#define REJUDGE_US 15000
/* Sends that met no server cost no server anything, but time. */
#define UNSENT_MAX 3
/* Of the retries that all entries together may make, so that requests counted
 * late or twice, and entries that started meanwhile, stay within it. */
#define RETRY_SHARE 0.8
#define RETRY_BURST 8.0
/* When refused callers come back: spread, so that they don't meet again. */
#define COMEBACK_MIN_MS    250
#define COMEBACK_SPREAD_MS 500

const char *
GwWhy_Name(GwWhy why)
{
    static const char *const names[] = {
        [GW_WHY_NONE] = "none",         [GW_WHY_NO_CONFIG] = "no-config",
        [GW_WHY_NO_ROUTE] = "no-route", [GW_WHY_NO_SERVER] = "no-server",
        [GW_WHY_NO_ROOM] = "no-room",   [GW_WHY_NO_RETRY] = "no-retry",
        [GW_WHY_TIMEOUT] = "timeout",   [GW_WHY_TIME_UNSENT] = "time-unsent",
        [GW_WHY_BROKEN] = "broken",
    };

    return names[why];
}

static GwDo *
add(GArray *actions, GwDoKind kind, GwRequest *req)
{
    GwDo empty = {.kind = kind, .user = req->user, .request = req};

    g_array_append_val(actions, empty);
    return &g_array_index(actions, GwDo, actions->len - 1);
}

GwRequestStory
GwRequest_Story(const GwRequest *req, int64_t now_us)
{
    int64_t until_us = req->sends > 0 ? req->sent_us : now_us;
    GwRequestStory story = {
        .version = req->routing->version,
        .attempts = req->sends,
        .waited_ms = (uint32_t)((until_us - req->arrived_us) / 1000),
        .took_ms = (uint32_t)((now_us - req->arrived_us) / 1000),
        .warm = req->sent_warm,
    };

    g_strlcpy(story.route, req->route->name, sizeof(story.route));
    g_strlcpy(story.server, req->last_server, sizeof(story.server));
    return story;
}

static void
stop_waiting(GwRequest *req)
{
    if (req->waits) {
        req->waits = false;
        (void)g_ptr_array_remove(req->service->waiting, req);
    }
}

/* Ends the bookkeeping of a request; its last action has been appended. */
static void
finish(GwRouter *r, GwRequest *req)
{
    stop_waiting(req);
    if (req->deadline != GW_HEAP_OUT) {
        GwHeap_Remove(&r->deadlines, &req->deadline);
    }
    (void)g_hash_table_remove(r->open, req);
    req->state->open--;
    GwRouting_Unref(req->routing);
    g_free(req);
}

static uint32_t
comeback_ms(GwRouter *r)
{
    return COMEBACK_MIN_MS + GwRng_Below(&r->rng, COMEBACK_SPREAD_MS);
}

/* Answers with a status of our own. 503 is a promise that the request has not
 * run and won't, so a request of which an attempt may have run gets 502, or
 * 504 when its time is over. */
static void
reply(GwRouter *r, int64_t now_us, GwRequest *req, GwWhy why, GArray *actions)
{
    GwDo *out = add(actions, GW_DO_REPLY, req);

    out->why = why;
    out->story = GwRequest_Story(req, now_us);
    if (why == GW_WHY_TIMEOUT) {
        out->status = 504;
    }
#if GW_MUTANT != 71 /* breaks: "not run" is said though it may have run */
    else if (why == GW_WHY_BROKEN || req->may_have_run) {
        out->status = 502;
    }
#endif
    else {
        out->status = 503;
        out->retry_after_ms = comeback_ms(r);
    }
    finish(r, req);
}

static void
move_deadline(GwRouter *r, GwRequest *req, int64_t at_us)
{
    if (req->deadline == GW_HEAP_OUT) {
        GwHeap_Push(&r->deadlines, at_us, req, &req->deadline);
    }
    else {
        GwHeap_Move(&r->deadlines, &req->deadline, at_us);
    }
}

/* ---- Sending ------------------------------------------------------------- */

static void
send_to(GwRouter *r, int64_t now_us, GwRequest *req, GwServer *s,
        GArray *actions)
{
    GwKeyServer *at = req->key != NULL ? GwKey_At(req->key, s) : NULL;

    stop_waiting(req);
    req->server = s;
    req->sent_us = now_us;
    req->sent_warm = at != NULL;
    req->sent_alone = s->in_flight + s->peers_in_flight < s->slots;
    req->attempts++;
    req->sends++;
    g_strlcpy(req->last_server, s->id, sizeof(req->last_server));
    if (req->tried_count < G_N_ELEMENTS(req->tried)) {
        req->tried[req->tried_count++] = s;
    }
    GwServer_NoteBusy(s, now_us);
    s->refs++;
    s->in_flight++;
    if (GwServer_IsCold(s, now_us)) {
        s->cold_tokens.tokens -= 1.0;
    }
    if (req->key != NULL) {
        GwRouter_UseKey(r, req->key, s, now_us);
    }
    move_deadline(r, req, req->give_up_us);
    GwDo *out = add(actions, GW_DO_SEND, req);
    out->server = s;
    out->idempotent = req->route->idempotent;
    out->left_ms = req->budget_us > now_us
                       ? (uint32_t)((req->budget_us - now_us) / 1000)
                       : 0;
}

/* Sends the request, keeps it waiting, or refuses it. What comes too late is
 * still worth a little, so it may wait behind all that comes in time; where
 * even that takes long the caller is told at once when to come back. */
static void
place(GwRouter *r, int64_t now_us, GwRequest *req, GArray *actions)
{
    GwChoice c = GwRouter_Choose(r, now_us, req);

    if (c.server == NULL) {
        GwRouter_DriftRefused(r, now_us, c.wants_far);
        reply(r, now_us, req,
              req->attempts > 0 ? GW_WHY_NO_RETRY : GW_WHY_NO_SERVER, actions);
        return;
    }
    if (c.ready) {
        GwRouter_DriftSent(r, now_us, c.wants_far, !c.server->same_region);
        send_to(r, now_us, req, c.server, actions);
        return;
    }
    int64_t back_us = now_us + (int64_t)c.est_us;
    req->late = !c.in_time;
    if (req->late && back_us > MIN(req->late_us, req->budget_us)) {
        GwRouter_DriftRefused(r, now_us, c.wants_far);
        reply(r, now_us, req, GW_WHY_NO_ROOM, actions);
        return;
    }
    if (c.server->claims++ == 0) {
        g_ptr_array_add(req->service->claimed, c.server);
    }
    move_deadline(r, req, MIN(req->give_up_us, now_us + REJUDGE_US));
}

static void
drop_claims(GwServiceState *service)
{
    for (guint i = 0; i < service->claimed->len; i++) {
        ((GwServer *)service->claimed->pdata[i])->claims = 0;
    }
    g_ptr_array_set_size(service->claimed, 0);
}

static void
place_all(GwRouter *r, int64_t now_us, GwServiceState *service, bool late,
          GArray *actions)
{
    for (guint i = 0; i < service->waiting->len;) {
        GwRequest *req = service->waiting->pdata[i];
        if (req->late != late) {
            i++;
            continue;
        }
        place(r, now_us, req, actions);
        /* The one that was placed has left the array. */
        if (i < service->waiting->len && service->waiting->pdata[i] == req) {
            i++;
        }
    }
}

/* Places what waits for the service: what can be in time before what can't,
 * each by priority and arrival. */
void
GwRouter_Pump(GwRouter *r, int64_t now_us, GwServiceState *service,
              GArray *actions)
{
    if (service->waiting->len == 0) {
        return;
    }
    drop_claims(service);
    place_all(r, now_us, service, false, actions);
    place_all(r, now_us, service, true, actions);
    drop_claims(service);
}

static void
wait_in_order(GwRequest *req)
{
    GPtrArray *waiting = req->service->waiting;
    guint at = waiting->len;

    while (at > 0) {
        const GwRequest *other = waiting->pdata[at - 1];
        if (other->route->priority <= req->route->priority) {
            break;
        }
        at--;
    }
    g_ptr_array_insert(waiting, (gint)at, req);
    req->waits = true;
}

/* ---- Arrival ------------------------------------------------------------- */

static GwRouteState *
state_of(GwRouter *r, const GwRoute *route)
{
    GwRouteState *state = g_hash_table_lookup(r->routes, route->name);

    if (state == NULL) {
        double aim_us = MAX(route->objective_ms, 1) * 1000.0;
        state = g_new0(GwRouteState, 1);
        state->name = g_strdup(route->name);
        state->cold_us = GW_COLD_SHARE * aim_us;
        state->warm_us = GW_WARM_SHARE * aim_us;
        g_hash_table_insert(r->routes, state->name, state);
    }
    if (state->credit_count != route->part_count) {
        g_free(state->credit);
        state->credit = g_new0(int64_t, route->part_count);
        state->credit_count = route->part_count;
    }
    return state;
}

/* Smooth weighted round robin: each part earns its weight, the richest is
 * taken and pays the sum. Shares are exact over each round, so a short
 * stretch of requests is split as a long one is. */
static const char *
take_part(const GwRoute *route, GwRouteState *state)
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

static void
count_first(GwRouter *r, GwServiceState *service)
{
    service->retries.tokens += r->params.retry_ratio * RETRY_SHARE;
}

/* How long the caller has tried already. One that was refused comes back with
 * less time left than callers of the route give at first, and its objective
 * counts from then. What they give at first is the most seen, which fades: a
 * single caller with much time must not make all others look late for good. */
static int64_t
spent_before(GwRouteState *state, int64_t left_us)
{
    int64_t most = state->left_max_us;

    most -= (int64_t)((double)(most - left_us) * LEFT_FADES);
    state->left_max_us = MAX(most, left_us);
    int64_t spent = state->left_max_us - left_us;
    return (double)spent > COMEBACK_MOST * (double)state->left_max_us ? 0
                                                                      : spent;
}

static void
set_times(GwRequest *req, int64_t now_us, int64_t left_us)
{
    int64_t timeout_us = (int64_t)req->route->timeout_ms * 1000;

    if (left_us < 0) {
        left_us = timeout_us > 0 ? timeout_us : DEFAULT_LEFT_US;
    }
    int64_t aim_us = req->route->objective_ms > 0
                         ? (int64_t)req->route->objective_ms * 1000
                         : DEFAULT_AIM_US;
    req->arrived_us = now_us;
    req->aim_us = now_us + aim_us - spent_before(req->state, left_us);
    req->late_us = now_us + (int64_t)(aim_us * LATE_WAIT);
    req->budget_us = now_us + left_us;
    req->give_up_us = now_us + left_us + SERVER_WORD_US;
    if (timeout_us > 0) {
        req->budget_us = MIN(req->budget_us, now_us + timeout_us);
        req->give_up_us =
            MIN(req->give_up_us, now_us + timeout_us + TIMEOUT_SLACK_US);
    }
}

static void
refuse_arrival(GwRouter *r, const GwArrival *arrival, GwWhy why,
               GArray *actions)
{
    GwDo out = {
        .kind = GW_DO_REPLY,
        .user = arrival->user,
        .why = why,
        .status = why == GW_WHY_NO_ROUTE ? 404 : 503,
        .retry_after_ms = why == GW_WHY_NO_ROUTE ? 0 : comeback_ms(r),
    };

    g_array_append_val(actions, out);
}

/* Servers that went may still be named by actions that are not carried out
 * yet: steps come from inside of carrying them out too. */
static void
free_freed(GwRouter *r, const GArray *actions)
{
    if (actions->len == 0) {
        g_ptr_array_set_size(r->freed, 0);
    }
}

void
GwRouter_Arrive(GwRouter *r, int64_t now_us, const GwArrival *arrival,
                GArray *actions)
{
    free_freed(r, actions);
    if (r->routing == NULL) {
        refuse_arrival(r, arrival, GW_WHY_NO_CONFIG, actions);
        return;
    }
    const GwRoute *route =
        GwRouting_Match(r->routing, arrival->host, arrival->path);
    if (route == NULL) {
        refuse_arrival(r, arrival, GW_WHY_NO_ROUTE, actions);
        return;
    }
    GwRequest *req = g_new0(GwRequest, 1);
    req->user = arrival->user;
    req->routing = GwRouting_Ref(r->routing);
    req->route = route;
    req->state = state_of(r, route);
    req->state->open++;
    req->service = GwRouter_ServiceOf(r, take_part(route, req->state));
    req->deadline = GW_HEAP_OUT;
    set_times(req, now_us, arrival->left_us);
    if (arrival->key != NULL && route->warm_keys) {
        req->key =
            GwRouter_KeyOf(r, now_us, route, req->service, arrival->key);
    }
    g_hash_table_add(r->open, req);
    count_first(r, req->service);
    (void)add(actions, GW_DO_ACCEPT, req);
    wait_in_order(req);
    GwRouter_Pump(r, now_us, req->service, actions);
}

/* ---- Ends of attempts ---------------------------------------------------- */

/* Among how many entries the fixed extra is shared: as many as settings say
 * could be alive, and room for as many again as are heard. */
static uint32_t
entries_of(const GwRouter *r)
{
    uint32_t heard = g_hash_table_size(r->peers) + 1;

    return MAX(MAX(r->params.entries_max, 1), heard * 3 / 2);
}

/* Whether another attempt may be made, and pays for it. A send that met no
 * server is no arrival anywhere and costs nothing. */
static bool
may_retry(GwRouter *r, int64_t now_us, GwRequest *req)
{
    GwServiceState *service = req->service;
    double extra = r->params.retry_extra * RETRY_SHARE / entries_of(r);
    double window_s = MAX(r->params.retry_window_ms, 1) / 1000.0;

#if GW_MUTANT != 75 /* breaks: a request is sent to any number of servers */
    if (req->attempts >= MAX(req->route->attempts_max, 1)) {
        return false;
    }
#endif
    if (now_us >= req->budget_us) {
        return false;
    }
    if (req->arrivals == 0) {
        return true;
    }
    service->retries.max = RETRY_BURST + extra / 2;
    GwBucket_Fill(&service->retries, now_us, extra / 2 / window_s);
#if GW_MUTANT != 74 /* breaks: retries without a budget */
    if (service->retries.tokens < 1.0) {
        return false;
    }
#endif
    service->retries.tokens -= 1.0;
    return true;
}

static void
leave_server(GwRouter *r, int64_t now_us, GwRequest *req, bool ran,
             GArray *actions)
{
    GwServer *s = req->server;

    if (req->key != NULL) {
        GwKey_Ended(req->key, s, ran);
    }
    GwServer_NoteBusy(s, now_us);
    s->in_flight--;
    req->server = NULL;
    GwServer_Unref(r, s, actions);
}

/* What comes after an attempt that ended without the answer to pass on. */
static void
after_failure(GwRouter *r, int64_t now_us, GwRequest *req,
              const GwAttemptEnd *end, GArray *actions)
{
    if (end->outcome == GW_ATTEMPT_UNSENT) {
        req->attempts--;
        req->unsent++;
    }
    else {
        req->arrivals++;
    }
    if (end->outcome == GW_ATTEMPT_BROKEN) {
        req->may_have_run = true;
    }
#if GW_MUTANT != 70 /* breaks: sent again though it may have run */
    if (req->may_have_run && !req->route->idempotent) {
        reply(r, now_us, req, GW_WHY_BROKEN, actions);
        return;
    }
#endif
    if (req->unsent >= UNSENT_MAX || !may_retry(r, now_us, req)) {
        reply(r, now_us, req,
              req->may_have_run ? GW_WHY_BROKEN : GW_WHY_NO_RETRY, actions);
        return;
    }
    wait_in_order(req);
}

void
GwRouter_Ended(GwRouter *r, int64_t now_us, GwRequest *req,
               const GwAttemptEnd *end, GArray *actions)
{
    GwServiceState *service = req->service;
    bool answered = end->outcome == GW_ATTEMPT_ANSWERED;
    bool good = answered && end->status < 500;

    free_freed(r, actions);
    GwRouter_Learn(r, now_us, req, end);
    leave_server(r, now_us, req, good, actions);
    if (answered) {
        bool again = !good && req->route->idempotent;
        req->arrivals++;
        if (again && may_retry(r, now_us, req)) {
            req->may_have_run = true;
            wait_in_order(req);
        }
        else {
            GwDo *out = add(actions, GW_DO_ANSWER, req);
            out->status = end->status;
            out->story = GwRequest_Story(req, now_us);
            finish(r, req);
        }
    }
    else {
        after_failure(r, now_us, req, end, actions);
    }
    GwRouter_Pump(r, now_us, service, actions);
}

static void
cancel(GwRouter *r, int64_t now_us, GwRequest *req, GArray *actions)
{
    if (req->server != NULL) {
        GwDo *out = add(actions, GW_DO_CANCEL, req);
        out->server = req->server;
        leave_server(r, now_us, req, false, actions);
    }
}

void
GwRouter_Gone(GwRouter *r, int64_t now_us, GwRequest *req, GArray *actions)
{
    free_freed(r, actions);
    if (req->server != NULL) {
        leave_server(r, now_us, req, false, actions);
    }
    req->service->has_room = true;
    finish(r, req);
}

void
GwRouter_Settle(GwRouter *r, int64_t now_us, GArray *actions)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, r->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwServiceState *service = value;
        if (service->has_room) {
            service->has_room = false;
            GwRouter_Pump(r, now_us, service, actions);
        }
    }
}

/* ---- Time ---------------------------------------------------------------- */

int64_t
GwRouter_NextDeadline(const GwRouter *r)
{
    return r->deadlines.count > 0 ? GwHeap_TopKey(&r->deadlines) : INT64_MAX;
}

void
GwRouter_Tick(GwRouter *r, int64_t now_us, GArray *actions)
{
    free_freed(r, actions);
    while (r->deadlines.count > 0 && GwHeap_TopKey(&r->deadlines) <= now_us) {
        GwRequest *req = GwHeap_Top(&r->deadlines);
        GwServiceState *service = req->service;
        if (now_us >= req->give_up_us) {
            bool sent = req->server != NULL || req->may_have_run;
            cancel(r, now_us, req, actions);
            reply(r, now_us, req, sent ? GW_WHY_TIMEOUT : GW_WHY_TIME_UNSENT,
                  actions);
        }
        else {
            /* Placing moves the deadline of what still waits. */
            move_deadline(r, req, req->give_up_us);
        }
        GwRouter_Pump(r, now_us, service, actions);
    }
}

uint32_t
GwRouter_OpenCount(const GwRouter *r)
{
    return g_hash_table_size(r->open);
}
