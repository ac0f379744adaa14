/* The known state of backend servers: registry data, load and run times. */
#include "router/router_internal.h"

#include <math.h>
#include <string.h>

/* Bounds applied to a run time relative to the mean: a single answer that took
 * many seconds must not exclude a server for minutes. */
#define SLOWDOWN_MIN 0.5
#define SLOWDOWN_MAX 16.0
/* Time constant of the mean of slots in use: longer than a request, shorter
 * than the usual changes of load. */
#define UTILIZATION_TAU_US 1500000.0

/* Decay of a route's longest run time per further run. */
#define LONGEST_RUN_DECAY 0.01

double
GwBucket_At(const GwBucket *b, int64_t now_us, double per_s)
{
    double tokens = b->tokens;

    if (b->at_us != 0 && now_us > b->at_us) {
        tokens += per_s * (double)(now_us - b->at_us) / 1e6;
    }
    return MIN(tokens, b->max);
}

void
GwBucket_Fill(GwBucket *b, int64_t now_us, double per_s)
{
    b->tokens = GwBucket_At(b, now_us, per_s);
    b->at_us = now_us;
}

GwServiceState *
GwRouter_FindOrAddService(GwRouter *r, const char *name)
{
    GwServiceState *service = g_hash_table_lookup(r->services, name);

    if (service == NULL) {
        service = g_new0(GwServiceState, 1);
        service->name = g_strdup(name);
        service->servers = g_ptr_array_new();
        service->waiting = g_ptr_array_new();
        service->reserved_servers = g_ptr_array_new();
        service->work_us = 200000;
        g_hash_table_insert(r->services, service->name, service);
    }
    return service;
}

bool
GwServer_IsCold(const GwServer *s, int64_t now_us)
{
    return now_us < s->start->cold_until_us;
}

static void
free_server(GwRouter *r, GwServer *s, GArray *actions)
{
    GwRouterAction drop = {.kind = GW_ROUTER_DROP_SERVER, .server = s};

    /* The host needs the pointer to release its connections; the memory is
     * freed at the start of the next call. */
    if (actions != NULL && s->user != NULL) {
        g_array_append_val(actions, drop);
    }
    GwRouter_RemovePlacements(r, s);
    g_hash_table_remove(r->by_hash, GUINT_TO_POINTER(GwServer_Hash(s)));
    g_ptr_array_add(r->removed_servers, s);
}

void
GwServer_Unref(GwRouter *r, GwServer *s, GArray *actions)
{
    s->refs--;
    if (s->refs == 0 && !s->listed) {
        free_server(r, s, actions);
    }
}

void
GwServer_DropReservations(GwServer *s)
{
    GPtrArray *waiting = s->service->waiting;

    for (guint i = 0; i < waiting->len; i++) {
        GwRequest *req = waiting->pdata[i];
        if (req->awaited_server == s) {
            req->awaited_server = NULL;
        }
    }
}

/* Removes a server. Attempts in progress keep it allocated until they end. */
static void
delist(GwRouter *r, int64_t now_us, GwServer *s, GArray *actions)
{
    GwRouter_NoteSlotsGone(r, now_us, s);
    s->listed = false;
    if (s->service->freed_server == s) {
        s->service->freed_server = NULL;
    }
    GwServer_DropReservations(s);
    (void)g_ptr_array_remove(s->service->servers, s);
    (void)g_hash_table_remove(r->servers, s->id);
    if (s->refs == 0) {
        free_server(r, s, actions);
    }
}

static GwPath *
find_or_add_path(GwRouter *r, const char *region)
{
    GwPath *path = g_hash_table_lookup(r->paths, region);

    if (path == NULL) {
        bool is_local = strcmp(region, r->params.region) == 0;
        path = g_new0(GwPath, 1);
        path->region = g_strdup(region);
        path->rtt_us = is_local ? GW_LOCAL_RTT_US : GW_REMOTE_RTT_US;
        g_hash_table_insert(r->paths, path->region, path);
    }
    return path;
}

static GwServer *
create_server(GwRouter *r, const GwServerInfo *info)
{
    GwServer *s = g_new0(GwServer, 1);

    s->start = GwServerStart_Ref(r, info->id, info->born_ms);
    s->id = g_strdup(info->id);
    s->address = g_strdup(info->address);
    s->domain = g_strdup(info->domain);
    s->path = find_or_add_path(r, info->region);
    s->service = GwRouter_FindOrAddService(r, info->service);
    s->born_ms = info->born_ms;
    s->hash = GwHash_Text(info->id, info->born_ms);
    s->same_domain = strcmp(info->domain, r->params.domain) == 0;
    s->same_region = strcmp(info->region, r->params.region) == 0;
    s->slowdown = 1.0;
    s->utilization_at_us = r->started_us;
    s->listed = true;
    g_ptr_array_add(s->service->servers, s);
    g_hash_table_insert(r->servers, s->id, s);
    g_hash_table_insert(r->by_hash, GUINT_TO_POINTER(GwServer_Hash(s)), s);
    return s;
}

static bool
is_same_start(const GwServer *s, const GwServerInfo *info)
{
    return s->born_ms == info->born_ms &&
           strcmp(s->address, info->address) == 0 &&
           strcmp(s->service->name, info->service) == 0 &&
           strcmp(s->domain, info->domain) == 0;
}

void
GwRouter_PutServer(GwRouter *r, int64_t now_us, const GwServerInfo *info,
                   GArray *actions)
{
    GwServer *s = g_hash_table_lookup(r->servers, info->id);

    if (s != NULL && !is_same_start(s, info)) {
        delist(r, now_us, s, actions);
        s = NULL;
    }
    if (s == NULL) {
        s = create_server(r, info);
        s->connected_us = now_us;
        GwRouter_AddRegionLoads(r, now_us, s);
    }
    s->slots = info->slots;
    if (info->draining) {
        GwRouter_LearnLeaving(r, now_us, s);
    }
#if GW_MUTANT == 72 /* breaks: an older report ends draining */
    s->start->is_leaving = info->draining;
#endif
    if (info->warmup_left_ms > 0) {
        s->start->cold_until_us =
            now_us + (int64_t)info->warmup_left_ms * 1000;
    }
    GwRouter_NoteServersChanged(r);
}

void
GwRouter_DropServer(GwRouter *r, int64_t now_us, const char *id,
                    GArray *actions)
{
    GwServer *s = g_hash_table_lookup(r->servers, id);

    if (s != NULL) {
        delist(r, now_us, s, actions);
        GwRouter_NoteServersChanged(r);
    }
}

uint32_t
GwRouter_ServerCount(const GwRouter *r)
{
    return g_hash_table_size(r->servers);
}

void
GwRouter_EachServer(GwRouter *r, void (*visit)(void *ctx, const char *id),
                    void *ctx)
{
    GList *ids = g_hash_table_get_keys(r->servers);

    for (GList *at = ids; at != NULL; at = at->next) {
        visit(ctx, at->data);
    }
    g_list_free(ids);
}

void
GwRouter_SetEvacuated(GwRouter *r, int64_t now_us, const char *domain,
                      bool evacuated)
{
    if (evacuated) {
        g_hash_table_add(r->evacuated, g_strdup(domain));
    }
    else {
        g_hash_table_remove(r->evacuated, domain);
    }
    GwRouter_NoteServersChanged(r);
}

double
GwServer_SendWaitUs(const GwServer *s, int64_t now_us)
{
    return MAX(GwServer_LimitWaitUs(s, now_us),
               GwServer_RestWaitUs(s, now_us));
}

/* ---- Utilization --------------------------------------------------------- */

/* For requests between regions, the part of their time that they spend in a
 * slot; the rest is network time. */
static double
slot_time_share(const GwRouter *r, const GwServer *s)
{
    double work_us = s->service->work_us;
    double rtt_us = s->same_region ? r->remote_rtt_us : s->path->rtt_us;

    return work_us / (work_us + rtt_us);
}

double
GwServer_SlotsInUse(const GwRouter *r, const GwServer *s)
{
    uint32_t remote = s->peers_remote + (s->same_region ? 0 : s->in_flight);
    uint32_t all = s->in_flight + s->peers_in_flight;

    return all - remote * (1 - slot_time_share(r, s));
}

double
GwServer_Utilization(const GwRouter *r, const GwServer *s, int64_t now_us)
{
    double old =
        exp(-(double)(now_us - s->utilization_at_us) / UTILIZATION_TAU_US);
    double now = GwServer_SlotsInUse(r, s) / (double)MAX(s->slots, 1);

    return old * s->utilization + (1 - old) * now;
}

/* Must be called before the number of requests in flight changes. */
void
GwServer_UpdateUtilization(const GwRouter *r, GwServer *s, int64_t now_us)
{
    s->utilization = GwServer_Utilization(r, s, now_us);
    s->utilization_at_us = now_us;
}

/* ---- Estimates ----------------------------------------------------------- */

static void
learn_rtt(GwRouter *r, const GwServer *s, int64_t connect_us)
{
    GwPath *path = s->path;
    double took_us = (double)connect_us;

    if (!s->same_region) {
        r->remote_rtt_us += GW_MEAN_WEIGHT * (took_us - r->remote_rtt_us);
    }
    if (!path->measured) {
        path->measured = true;
        path->rtt_us = took_us;
        return;
    }
    path->rtt_us += GW_MEAN_WEIGHT * (took_us - path->rtt_us);
}

static void
add_log_action(GwRouterActionKind kind, GwServer *s, int64_t for_us,
               GArray *actions)
{
    GwRouterAction out = {
        .kind = kind, .server = s, .left_ms = (uint32_t)(for_us / 1000)};

    g_array_append_val(actions, out);
}

static void
learn_failure(GwServer *s, int64_t now_us, GArray *actions)
{
    int64_t eject_us =
        MIN(GW_EJECT_US << MIN(s->failures, 6), GW_EJECT_MAX_US);

    s->failures++;
    s->eject_until_us = now_us + eject_us;
    add_log_action(GW_ROUTER_LOG_EJECTED, s, eject_us, actions);
}

static void
learn_success(GwServer *s, int64_t now_us, GArray *actions)
{
    GwServer_EndTrial(s, now_us);
    if (s->failures > 0) {
        add_log_action(GW_ROUTER_LOG_RECOVERED, s, 0, actions);
    }
    s->failures = 0;
}

static void
learn_leaving(GwRouter *r, int64_t now_us, GwServer *s, GArray *actions)
{
    if (!s->start->is_leaving) {
        add_log_action(GW_ROUTER_LOG_LEAVING, s, 0, actions);
    }
    GwRouter_LearnLeaving(r, now_us, s);
}

static void
learn_time(GwRouter *r, int64_t now_us, GwRequest *req,
           const GwAttemptEnd *end)
{
    GwServer *s = req->server;
    double took =
        (double)(now_us - req->sent_us - end->connect_us) - s->path->rtt_us;
    double decayed = req->state->longest_run_us * (1 - LONGEST_RUN_DECAY);

    req->state->longest_run_us = MAX(decayed, took);
    if (took < 1000.0 || !req->sent_to_free_slot) {
        return;
    }
    double *mean =
        req->sent_warm ? &req->state->warm_us : &req->state->cold_us;
    double ratio = took / *mean;
    double seen = CLAMP(ratio, SLOWDOWN_MIN, SLOWDOWN_MAX);
    s->slowdown += 0.2 * (seen - s->slowdown);
    /* A run at a slow server doesn't measure the work of the route. */
    if (ratio < 2.0) {
        *mean += GW_MEAN_WEIGHT * (took - *mean);
    }
    s->service->work_us += 0.05 * (took - s->service->work_us);
}

void
GwRouter_Learn(GwRouter *r, int64_t now_us, GwRequest *req,
               const GwAttemptEnd *end, GArray *actions)
{
    GwServer *s = req->server;

    if (end->withheld || end->no_connection) {
        return;
    }
    if (end->connect_us > 0) {
        learn_rtt(r, s, end->connect_us);
    }
    if (end->has_load) {
        s->load_at_us = now_us;
        s->load_running = end->running;
        s->load_waiting = end->waiting;
    }
    if (!end->other_server) {
        GwRouter_LearnLimit(r, now_us, s, end);
    }
    if (end->leaving && !end->other_server) {
        learn_leaving(r, now_us, s, actions);
    }
    if (end->rest_us > 0 && !end->other_server) {
        add_log_action(GW_ROUTER_LOG_RESTING, s, end->rest_us, actions);
        GwRouter_LearnRest(r, now_us, s, end->rest_us);
    }
    if (end->cold_ms > 0) {
        s->start->cold_until_us = now_us + (int64_t)end->cold_ms * 1000;
    }
    switch (end->outcome) {
    case GW_ATTEMPT_ANSWERED:
        if (end->status < 500) {
            learn_success(s, now_us, actions);
            learn_time(r, now_us, req, end);
        }
        else if (end->status != 504) {
            learn_failure(s, now_us, actions);
        }
        break;
    case GW_ATTEMPT_REFUSED:
        /* The server is full although it seemed to have capacity: it is
         * ejected for a short time, unless it says for how long. If another
         * server uses the address, for longer. */
        if (end->other_server) {
            s->eject_until_us = now_us + GW_EJECT_MAX_US;
        }
        else if (end->rest_us == 0) {
            s->eject_until_us = now_us + GW_EJECT_US / 4;
        }
        break;
    case GW_ATTEMPT_UNSENT:
    case GW_ATTEMPT_LOST:
        learn_failure(s, now_us, actions);
        break;
    }
}
