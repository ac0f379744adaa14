/* Whether this entry can set up connections to the servers of a service.
 *
 * An entry can lose its links to servers that others still reach. Open
 * connections may work for a while longer, so only new connections count: a
 * service is unreached once connections to several of its servers have failed
 * in a row, with none set up in between. Until connections succeed again, its
 * requests are passed on to entries that reach the service (pass_on.c). If none
 * does, its servers may all be down, and those that may be back are tried. */
#include "router/router_internal.h"

#include <string.h>

/* Servers to which connections must fail, if the service has so many. */
#define UNREACHED_SERVERS 3
/* Connections in a row that must succeed before the service is reached. */
#define REACHED_CONNECTS 2
/* Interval of probes of an unreached service. */
#define PROBE_INTERVAL_US 250000
/* Least time between two rounds of probes to confirm a failure: while some
 * servers are down, connections to them fail all the time. */
#define CONFIRM_INTERVAL_US 200000
/* Time in which an entry takes all requests back after its links are up. */
#define TAKE_BACK_US 1000000

uint32_t
GwService_Hash(const char *name)
{
    return (uint32_t)GwHash_Text(name, 0);
}

void
GwRouter_SetReachCallback(GwRouter *r, GwReachCallback callback, void *ctx)
{
    r->reach_callback = callback;
    r->reach_callback_ctx = ctx;
}

static void
report_change(GwRouter *r, int64_t now_us, const GwServiceState *service)
{
    const GwReach *reach = &service->reach;
    GwReachChange change = {
        .service = service->name,
        .is_reached = reach->unreached_us == 0,
        .failing_ms = (uint32_t)((now_us - reach->failing_since_us) / 1000),
        .failed = reach->failed,
    };

    if (r->reach_callback != NULL) {
        r->reach_callback(r->reach_callback_ctx, &change);
    }
}

/* ---- Probes -------------------------------------------------------------- */

void
GwServer_Probe(GwServer *s, GArray *actions)
{
    GwRouterAction probe = {.kind = GW_ROUTER_PROBE, .server = s};

    s->probed = true;
    g_array_append_val(actions, probe);
}

static bool
has_failed(const GwServiceState *service, const GwServer *s)
{
    return s->connect_failed_us >= service->reach.failing_since_us;
}

/* How likely a connection to the server is to show that the service is
 * reached: the most likely first. */
typedef enum {
    PROBE_UP = 0, /* the last connection was set up */
    PROBE_DOWN,   /* it had failed before connections began to fail */
    PROBE_FAILED, /* it has failed since then */
} ProbeRank;

static ProbeRank
rank_of(const GwServiceState *service, const GwServer *s)
{
    if (s->connect_failed_us == 0) {
        return PROBE_UP;
    }
    return has_failed(service, s) ? PROBE_FAILED : PROBE_DOWN;
}

/* Probes up to `count` servers of the rank, from a random one on. Returns the
 * number. */
static uint32_t
probe_rank(GwRouter *r, GwServiceState *service, ProbeRank rank,
           uint32_t count, GArray *actions)
{
    guint len = service->servers->len;
    guint from = len > 0 ? GwRng_Below(&r->rng, len) : 0;
    uint32_t probed = 0;

    for (guint i = 0; i < len && probed < count; i++) {
        GwServer *s = service->servers->pdata[(from + i) % len];
        if (!s->probed && !s->start->is_leaving &&
            rank_of(service, s) == rank) {
            GwServer_Probe(s, actions);
            probed++;
        }
    }
    return probed;
}

static void
probe_servers(GwRouter *r, GwServiceState *service, uint32_t count,
              GArray *actions)
{
    ProbeRank last =
        service->reach.unreached_us != 0 ? PROBE_FAILED : PROBE_DOWN;

    for (ProbeRank rank = PROBE_UP; rank <= last; rank++) {
        count -= probe_rank(r, service, rank, count, actions);
    }
}

/* A connection that timed out took long, so that further ones are tried at
 * once; refused ones fail within a round trip. */
static void
confirm_failure(GwRouter *r, int64_t now_us, GwServiceState *service,
                GwLinkEnd how, GArray *actions)
{
    GwReach *reach = &service->reach;

    if (now_us - reach->confirmed_us >= CONFIRM_INTERVAL_US) {
        reach->confirmed_us = now_us;
        reach->confirms = 0;
    }
    uint32_t most = how == GW_LINK_TIMEOUT ? UNREACHED_SERVERS : 1;
    if (reach->confirms < UNREACHED_SERVERS) {
        reach->confirms += most;
        probe_servers(r, service, most, actions);
    }
}

/* ---- Verdict ------------------------------------------------------------- */

static bool
is_unreached(const GwServiceState *service)
{
    guint len = service->servers->len;
    guint failed = 0;

    for (guint i = 0; i < len; i++) {
        const GwServer *s = service->servers->pdata[i];
        failed += has_failed(service, s);
    }
    return failed >= MIN(UNREACHED_SERVERS, len);
}

static void
begin_unreached(GwRouter *r, int64_t now_us, GwServiceState *service,
                GArray *actions)
{
    service->reach.unreached_us = now_us;
    service->reach.good_connects = 0;
    service->pass_due_us = now_us;
    r->unreached_count++;
    probe_servers(r, service, UNREACHED_SERVERS, actions);
    r->reach_due_us = MIN(r->reach_due_us, now_us + PROBE_INTERVAL_US);
    report_change(r, now_us, service);
}

/* The failures were those of this entry's links, so that no server stays
 * ejected for them. */
static void
readmit_servers(const GwServiceState *service, int64_t now_us)
{
    for (guint i = 0; i < service->servers->len; i++) {
        GwServer *s = service->servers->pdata[i];
        if (has_failed(service, s)) {
            s->eject_until_us = MIN(s->eject_until_us, now_us);
            s->failures = 0;
            s->connect_failed_us = 0;
        }
    }
}

static void
end_unreached(GwRouter *r, int64_t now_us, GwServiceState *service)
{
    service->reach.unreached_us = 0;
    service->reach.reached_us = now_us;
    service->pass_due_us = now_us;
    readmit_servers(service, now_us);
    r->unreached_count--;
    report_change(r, now_us, service);
}

void
GwRouter_TickReach(GwRouter *r, int64_t now_us, GArray *actions)
{
    GHashTableIter iter;
    gpointer value;

    if (now_us < r->reach_due_us) {
        return;
    }
    r->reach_due_us = INT64_MAX;
    g_hash_table_iter_init(&iter, r->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwServiceState *service = value;
        if (service->reach.unreached_us == 0) {
            continue;
        }
        if (service->servers->len == 0) {
            end_unreached(r, now_us, service);
            continue;
        }
        probe_servers(r, service, 1, actions);
        r->reach_due_us = now_us + PROBE_INTERVAL_US;
    }
}

static void
clear_failures(GwReach *reach)
{
    reach->failing_since_us = 0;
    memset(reach->failed, 0, sizeof(reach->failed));
}

void
GwRouter_NoteConnected(GwRouter *r, int64_t now_us, GwServer *s, int64_t at_us)
{
    GwServiceState *service = s->service;
    GwReach *reach = &service->reach;

    if (at_us < s->connect_failed_us || at_us < reach->failing_since_us) {
        return; /* set up before the links failed */
    }
    s->connect_failed_us = 0;
    s->connect_timed_out = false;
    s->connected_us = now_us;
    GwRouter_ConfirmCrashes(r, now_us, s, at_us);
    if (reach->unreached_us != 0) {
        if (++reach->good_connects < REACHED_CONNECTS) {
            r->reach_due_us = MIN(r->reach_due_us, now_us);
            return;
        }
        end_unreached(r, now_us, service);
    }
    clear_failures(reach);
}

void
GwRouter_NoteConnectFailed(GwRouter *r, int64_t now_us, GwServer *s,
                           GwLinkEnd how, GArray *actions)
{
    GwServiceState *service = s->service;
    GwReach *reach = &service->reach;

    if (reach->failing_since_us == 0) {
        reach->failing_since_us = now_us;
    }
    s->connect_failed_us = now_us;
    s->connected_us = 0;
    s->connect_timed_out = how == GW_LINK_TIMEOUT;
    reach->failed[how]++;
    reach->good_connects = 0;
#if GW_MUTANT == 110 /* breaks: an entry never notices that it is cut off */
    return;
#endif
    if (reach->unreached_us != 0 || !s->listed) {
        return;
    }
    if (is_unreached(service)) {
        begin_unreached(r, now_us, service, actions);
    }
    else {
        confirm_failure(r, now_us, service, how, actions);
    }
}

void
GwRouter_NoteSilence(GwRouter *r, int64_t now_us, GwServer *s, GArray *actions)
{
    GwReach *reach = &s->service->reach;

    if (reach->failing_since_us == 0) {
        reach->failing_since_us = now_us;
    }
    if (reach->unreached_us == 0) {
        confirm_failure(r, now_us, s->service, GW_LINK_TIMEOUT, actions);
    }
}

/* ---- State --------------------------------------------------------------- */

bool
GwService_IsUnreached(const GwServiceState *service)
{
    return service->reach.unreached_us != 0;
}

/* Right after the links are up, only a growing part of the requests is sent
 * from here: the servers get no wave, and a link that fails again harms few
 * requests. */
bool
GwRouter_TakesBack(GwRouter *r, int64_t now_us, const GwServiceState *service)
{
    int64_t since_us = now_us - service->reach.reached_us;

    return service->reach.reached_us == 0 || since_us >= TAKE_BACK_US ||
           GwRng_Below(&r->rng, TAKE_BACK_US) < since_us;
}

bool
GwServer_StillAnswers(const GwServer *s)
{
    return s->answered_us > s->service->reach.failing_since_us;
}

bool
GwServer_MayConnect(const GwServer *s)
{
    const GwReach *reach = &s->service->reach;

    return reach->unreached_us == 0 || !s->connect_timed_out ||
           s->connected_us > reach->failing_since_us;
}

uint32_t
GwRouter_UnreachedServices(const GwRouter *r, uint32_t *out, uint32_t most)
{
    GHashTableIter iter;
    gpointer value;
    uint32_t count = 0;

    if (r->unreached_count == 0) {
        return 0;
    }
    g_hash_table_iter_init(&iter, r->services);
    while (count < most && g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwServiceState *service = value;
        if (service->reach.unreached_us != 0) {
            out[count++] = GwService_Hash(service->name);
        }
    }
    return count;
}
