#include "fakes/steering.h"

#include <string.h>

#define ROUTE_TIMEOUT_MS 2000

static void
free_server(gpointer item)
{
    FakeServer *s = item;

    g_array_free(s->arrivals, TRUE);
    g_free(s);
}

FakeSteering *
FakeSteering_Create(const char *region, const char *domain)
{
    FakeSteering *f = g_new0(FakeSteering, 1);

    f->params = (GwRouterParams){
        .retry_ratio = 0.2,
        .retry_extra = 60,
        .retry_window_ms = 10000,
        .entries_max = 3,
        .seed = 7,
    };
    g_strlcpy(f->params.name, "entry", sizeof(f->params.name));
    g_strlcpy(f->params.region, region, sizeof(f->params.region));
    g_strlcpy(f->params.domain, domain, sizeof(f->params.domain));
    f->now_us = FAKE_US_PER_S;
    f->router = GwRouter_Create(&f->params, f->now_us);
    f->actions = g_array_new(FALSE, FALSE, sizeof(GwRouterAction));
    f->probed = g_ptr_array_new();
    f->requests = g_ptr_array_new_with_free_func(g_free);
    f->servers = g_ptr_array_new_with_free_func(free_server);
    f->broken = g_string_new(NULL);
    return f;
}

void
FakeSteering_Free(FakeSteering *f)
{
    for (guint i = 0; i < f->requests->len; i++) {
        FakeSteering_Disconnect(f, f->requests->pdata[i]);
    }
    GwRouter_Free(f->router);
    g_array_free(f->actions, TRUE);
    g_ptr_array_free(f->probed, TRUE);
    g_ptr_array_free(f->requests, TRUE);
    g_ptr_array_free(f->servers, TRUE);
    g_string_free(f->broken, TRUE);
    g_free(f);
}

static void
fill_route(GwRoute *route, const char *prefix, bool idempotent,
           uint32_t attempts_max)
{
    *route = (GwRoute){
        .name = g_strdup(prefix),
        .prefix = g_strdup(prefix),
        .idempotent = idempotent,
        .has_key_affinity = true,
        .timeout_ms = ROUTE_TIMEOUT_MS,
        .objective_ms = 400,
        .priority = idempotent ? 2 : 1,
        .attempts_max = attempts_max,
        .part_count = 1,
        .parts = g_new0(GwRouteDestination, 1),
    };
    route->parts[0] =
        (GwRouteDestination){.service = g_strdup("s"), .weight = 1};
}

GwRouting *
FakeSteering_Routing(uint64_t version, uint32_t attempts_max)
{
    GwRouting *routing = GwRouting_Create(1, 1);

    routing->version = version;
    routing->services[0] =
        (GwRouteService){.name = g_strdup("s"), .cold_per_s = 5.0};
    routing->hosts[0].host = g_strdup("h");
    routing->hosts[0].route_count = 2;
    routing->hosts[0].routes = g_new0(GwRoute, 2);
    fill_route(&routing->hosts[0].routes[0], "/once/", false, attempts_max);
    fill_route(&routing->hosts[0].routes[1], "/again/", true, attempts_max);
    GwRouting_Seal(routing);
    return routing;
}

void
FakeSteering_AddOrganisations(GwRouting *routing, uint32_t count)
{
    GwRouting_SetOrganisations(routing, count);
    for (uint32_t i = 0; i < count; i++) {
        char key[16];
        g_snprintf(key, sizeof(key), "key%u", i);
        routing->organisations[i].name = g_strdup_printf("o%u", i);
        GwRouting_AddKey(routing, i, key);
    }
    (void)GwRouting_FindConflict(routing);
}

void
FakeSteering_MoveRoutes(GwRouting *routing, const char *service)
{
    for (uint32_t i = 0; i < routing->hosts[0].route_count; i++) {
        GwRouteDestination *part = &routing->hosts[0].routes[i].parts[0];
        g_free(part->service);
        part->service = g_strdup(service);
    }
}

void
FakeSteering_Configure(FakeSteering *f, uint64_t version,
                       uint32_t attempts_max)
{
    GwRouting *routing = FakeSteering_Routing(version, attempts_max);

    (void)GwRouter_SetRouting(f->router, routing);
    GwRouting_Unref(routing);
}

static FakeServer *
server_named(FakeSteering *f, const char *id)
{
    for (guint i = 0; i < f->servers->len; i++) {
        FakeServer *s = f->servers->pdata[i];
        if (strcmp(s->id, id) == 0) {
            return s;
        }
    }
    FakeServer *s = g_new0(FakeServer, 1);
    g_strlcpy(s->id, id, sizeof(s->id));
    s->arrivals = g_array_new(FALSE, FALSE, sizeof(int64_t));
    g_ptr_array_add(f->servers, s);
    return s;
}

GwServerInfo
FakeSteering_Info(const char *id, const char *service, const char *region,
                  const char *domain, uint32_t slots)
{
    return (GwServerInfo){
        .id = id,
        .born_ms = 1,
        .service = service,
        .address = "127.0.0.1:1",
        .domain = domain,
        .region = region,
        .slots = slots,
    };
}

static void
put_server(FakeSteering *f, const char *id, const char *region,
           const char *domain, uint32_t slots, bool draining, uint32_t cold_ms)
{
    GwServerInfo info = FakeSteering_Info(id, "s", region, domain, slots);

    info.draining = draining;
    info.warmup_left_ms = cold_ms;
    GwRouter_PutServer(f->router, f->now_us, &info, f->actions);
    FakeSteering_RunActions(f);
}

void
FakeSteering_PutServer(FakeSteering *f, const char *id, const char *region,
                       const char *domain, uint32_t slots)
{
    server_named(f, id)->listed = true;
    put_server(f, id, region, domain, slots, false, 0);
}

void
FakeSteering_DrainServer(FakeSteering *f, const char *id)
{
    FakeServer *s = server_named(f, id);

    s->draining = true;
    s->draining_us = f->now_us;
    put_server(f, id, f->params.region, f->params.domain, 2, true, 0);
}

void
FakeSteering_RemoveServer(FakeSteering *f, const char *id)
{
    server_named(f, id)->listed = false;
    GwRouter_DropServer(f->router, f->now_us, id, f->actions);
    FakeSteering_RunActions(f);
}

void
FakeSteering_SetCold(FakeSteering *f, const char *id, uint32_t ms)
{
    server_named(f, id)->cold_until_us = f->now_us + (int64_t)ms * 1000;
    put_server(f, id, f->params.region, f->params.domain, 2, false, ms);
}

/* ---- Execution of actions ---------------------------------------------- */

static void
note_violation(FakeSteering *f, const char *what, const FakeRequest *req)
{
    g_string_append_printf(f->broken, "%s (%s, %u sends)\n", what,
                           req->idempotent ? "again" : "once", req->sends);
}

static void
on_send(FakeSteering *f, FakeRequest *req, const GwRouterAction *act)
{
    FakeServer *s = server_named(f, GwServer_Id(act->server));

    if (req->over) {
        note_violation(f, "sent after its end", req);
    }
    if (req->server != NULL) {
        note_violation(f, "sent twice at once", req);
    }
    if (req->may_have_run && !req->idempotent) {
        note_violation(f, "at most once: sent again though it may have run",
                       req);
    }
    if (s->draining) {
        note_violation(f, "sent to a server that leaves", req);
    }
    if (f->end_us > 0 && f->now_us >= f->end_us) {
        note_violation(f, "sent when the stop was over", req);
    }
    /* The server measures `left_ms` from the start of the run, and the request
     * may wait in the queue for the same time at most. */
    else if (f->end_us > 0 &&
             MIN(req->until_us, f->now_us + 2 * (int64_t)act->left_ms * 1000) >
                 f->end_us) {
        note_violation(f, "given a server's time beyond the end of the stop",
                       req);
    }
    req->sends++;
    if (req->servers > 0) {
        f->repeats++;
    }
    else if (req->sends == 1) {
        f->firsts++;
    }
    req->server = act->server;
    req->reuses_connection = act->reuses_connection;
    req->left_ms = act->left_ms;
    g_strlcpy(req->server_id, GwServer_Id(act->server),
              sizeof(req->server_id));
    g_array_append_val(s->arrivals, f->now_us);
}

static void
on_end(FakeSteering *f, FakeRequest *req, const GwRouterAction *act)
{
    if (req->over) {
        note_violation(f, "ended twice", req);
    }
    if (act->kind == GW_ROUTER_REPLY) {
        req->status = act->status;
        req->retry_after_ms = act->retry_after_ms;
        if (act->status == 503 && (req->may_have_run || req->server)) {
            note_violation(f, "refusal is true: 503 though it may have run",
                           req);
        }
    }
    req->over = true;
    req->handle = NULL;
}

static void
end_probes(FakeSteering *f, GwProbeResult result)
{
    GPtrArray *probed = f->probed;

    f->probed = g_ptr_array_new();
    for (guint i = 0; i < probed->len; i++) {
        GwRouter_ProbeEnded(f->router, f->now_us, probed->pdata[i], result,
                            f->actions);
    }
    g_ptr_array_free(probed, TRUE);
}

static void
run_action(FakeSteering *f, const GwRouterAction *act)
{
    FakeRequest *req = act->user; /* NULL for actions about a server */

    switch (act->kind) {
    case GW_ROUTER_ACCEPT:
        req->handle = act->request;
        break;
    case GW_ROUTER_SEND:
        on_send(f, req, act);
        break;
    case GW_ROUTER_PASS_ON:
        req->is_passed_on = true;
        req->hops++;
        req->left_ms = act->left_ms;
        break;
    case GW_ROUTER_CANCEL:
        req->may_have_run = true;
        req->server = NULL;
        req->is_passed_on = false;
        break;
    case GW_ROUTER_ANSWER:
    case GW_ROUTER_REPLY:
        on_end(f, req, act);
        break;
    case GW_ROUTER_PROBE:
        g_ptr_array_add(f->probed, act->server);
        if (!f->holds_probes) {
            end_probes(f, GW_PROBE_ALIVE);
        }
        break;
    case GW_ROUTER_DROP_SERVER:
    case GW_ROUTER_LOG_EJECTED:
    case GW_ROUTER_LOG_LEAVING:
    case GW_ROUTER_LOG_RESTING:
    case GW_ROUTER_LOG_RECOVERED:
        break;
    }
}

void
FakeSteering_RunActions(FakeSteering *f)
{
    for (guint i = 0; i < f->actions->len; i++) {
        GwRouterAction act = g_array_index(f->actions, GwRouterAction, i);
        run_action(f, &act);
    }
    g_array_set_size(f->actions, 0);
}

FakeRequest *
FakeSteering_Arrive(FakeSteering *f, const char *path, const char *key,
                    int64_t left_ms)
{
    FakeRequest *req = g_new0(FakeRequest, 1);
    GwArrival arrival = {
        .user = req,
        .host = "h",
        .path = path,
        .key = key,
        .left_us = left_ms * 1000,
        .waited_us = f->arrivals_waited_us,
        .credential = f->credential,
        .is_passed_on = f->arrivals_are_passed_on,
    };

    req->idempotent = strncmp(path, "/again/", 7) == 0;
    req->until_us = f->now_us + MIN(left_ms, ROUTE_TIMEOUT_MS) * 1000;
    g_ptr_array_add(f->requests, req);
    GwRouter_Arrive(f->router, f->now_us, &arrival, f->actions);
    FakeSteering_RunActions(f);
    return req;
}

void
FakeSteering_EndAttempt(FakeSteering *f, FakeRequest *req,
                        GwAttemptOutcome outcome, uint16_t status)
{
    GwAttemptEnd end = {.outcome = outcome, .status = status};

    FakeSteering_EndAttemptSo(f, req, &end);
}

void
FakeSteering_EndAttemptSo(FakeSteering *f, FakeRequest *req,
                          const GwAttemptEnd *end)
{
    GwAttemptOutcome outcome = end->outcome;

    if (req->server == NULL || req->handle == NULL) {
        return;
    }
    req->server = NULL;
    req->servers += outcome != GW_ATTEMPT_UNSENT;
    req->may_have_run = req->may_have_run || outcome == GW_ATTEMPT_LOST ||
                        outcome == GW_ATTEMPT_ANSWERED;
    GwRouter_AttemptEnded(f->router, f->now_us, req->handle, end, f->actions);
    FakeSteering_RunActions(f);
}

void
FakeSteering_EndProbes(FakeSteering *f, GwProbeResult result)
{
    end_probes(f, result);
    FakeSteering_RunActions(f);
}

void
FakeSteering_EndHop(FakeSteering *f, FakeRequest *req,
                    const GwPassedOnEnd *end)
{
    GwAttemptOutcome outcome = end->attempt.outcome;

    if (!req->is_passed_on || req->handle == NULL) {
        return;
    }
    req->is_passed_on = false;
    req->servers += end->has_reached;
    req->may_have_run = req->may_have_run || outcome == GW_ATTEMPT_LOST ||
                        outcome == GW_ATTEMPT_ANSWERED;
    GwRouter_PassedOnEnded(f->router, f->now_us, req->handle, end, f->actions);
    FakeSteering_RunActions(f);
}

void
FakeSteering_Disconnect(FakeSteering *f, FakeRequest *req)
{
    if (req->handle == NULL) {
        return;
    }
    GwRouter_CallerDisconnected(f->router, f->now_us, req->handle, f->actions);
    req->handle = NULL;
    req->server = NULL;
    req->over = true;
    GwRouter_DispatchPending(f->router, f->now_us, f->actions);
    FakeSteering_RunActions(f);
}

void
FakeSteering_Stop(FakeSteering *f, int64_t grace_us)
{
    f->end_us = f->now_us + grace_us;
    GwRouter_Stop(f->router, f->now_us, f->end_us, f->actions);
    FakeSteering_RunActions(f);
}

void
FakeSteering_Advance(FakeSteering *f, int64_t us)
{
    int64_t until_us = f->now_us + us;
    int64_t due_us;

    while ((due_us = GwRouter_NextDeadline(f->router)) <= until_us) {
        f->now_us = MAX(f->now_us, due_us);
        GwRouter_Tick(f->router, f->now_us, f->actions);
        FakeSteering_RunActions(f);
    }
    f->now_us = until_us;
}
