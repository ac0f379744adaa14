/* The node facade: routes each event to the part that decides on it and
 * joins what the parts know of each other. */
#include "common/log_events.h"
#include "entry/node_internal.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

/* A copy of the look-up is published this often at least, so that suspicion
 * and load reach callers without a step of their own. */
#define PUBLISH_PERIOD_US 200000
/* So many peers hear of a new configuration at once; each of them tells as
 * many again. */
#define HURRY_PEERS 4
/* Until the region's own number is known. */
#define DEFAULT_SEATS 12

GwNode *
GwNode_Create(const GwNodeParams *params)
{
    GwNode *n = g_new0(GwNode, 1);
    n->params = *params;
    n->members = GwMembers_Create(params);
    n->sync = GwSync_Create(params);
    n->seats = GwSeats_Create(params);
    n->steer = GwSteer_Create(params);
    n->calls = GwCalls_Create(params);
    return n;
}

void
GwNode_Free(GwNode *n)
{
    if (n == NULL) {
        return;
    }
    GwCalls_Free(n->calls);
    GwSteer_Free(n->steer);
    GwSeats_Free(n->seats);
    GwSync_Free(n->sync);
    GwMembers_Free(n->members);
    g_free(n);
}

const GwConfig *
GwNode_Config(const GwNode *n)
{
    return n->config;
}

static void
publish(GwNode *n, int64_t now_us, GwActions *out)
{
    n->published_us = now_us;
    GwActions_Add(out, GW_ACTION_PUBLISH);
}

static GwCallsEnv
calls_env(GwNode *n, int64_t now_us, GwActions *out)
{
    return (GwCallsEnv){.now_us = now_us,
                        .config = n->config,
                        .members = n->members,
                        .seats = n->seats,
                        .steer = n->steer,
                        .ready = GwSync_IsReady(n->sync, now_us),
                        .leaving = n->leaving,
                        .out = out};
}

static GwPiggyback
piggyback(GwNode *n, int64_t now_us)
{
    GwPiggyback c = {0};
    c.config_version = n->config == NULL ? 0 : n->config->version;
    GwSteer_FillHeartbeat(n->steer, now_us, n->params.id, n->seats,
                          GwCalls_Queued(n->calls), &c);
    return c;
}

static uint32_t
seats_of_region(const GwConfig *config, const char *region)
{
    uint32_t at = GwConfig_FindRegion(config, region);
    return at == GW_NONE ? DEFAULT_SEATS : config->regions[at].seats;
}

/* Puts a configuration in force in every part within this one step, and
 * hurries its spread. */
static void
config_changed(GwNode *n, int64_t now_us, GwActions *out)
{
    n->config = GwSync_Config(n->sync);
    GwSeats_Configure(n->seats, seats_of_region(n->config, n->params.region));
    GwSteer_Configure(n->steer, now_us, n->config);
    GwCalls_Configure(n->calls, now_us, n->config);
    GwPiggyback c = piggyback(n, now_us);
    GwMembers_ProbeNow(n->members, now_us, HURRY_PEERS, &c, out);
    publish(n, now_us, out);
}

/* Asks peers for slots in the step in which a call has to wait: at the next
 * tick it would have waited half a tick longer than the loan takes. */
static void
borrow(GwNode *n, int64_t now_us, GwActions *out)
{
    GwSteer_RequestSlots(n->steer, now_us, n->members, n->seats,
                         GwCalls_Queued(n->calls), out);
}

static void
pump(GwNode *n, int64_t now_us, GwActions *out)
{
    GwCallsEnv env = calls_env(n, now_us, out);
    GwCalls_Pump(n->calls, &env);
    borrow(n, now_us, out);
}

/* ---- events --------------------------------------------------------------- */

/* The stop is over once nothing runs, nothing is lent or borrowed, every
 * seat has a new holder, and no caller's cached look-up names this entry
 * any more. Seats and loans are waited for only up to the bound (peers and
 * the store may both be away; a loan ends by itself and a seat is reclaimed),
 * calls always: they end by their own deadlines. */
static void
check_stopped(GwNode *n, int64_t now_us, GwActions *out)
{
    bool idle = GwSteer_ReturnAll(n->steer, now_us, n->members, out);
    int64_t since_ms = (now_us - n->leave_at_us) / 1000;
    bool handed = idle && GwSeats_HeldCount(n->seats) == 0;

#if GW_MUTANT == 7 /* breaks: a stop waits for its calls */
    if (!n->stopped &&
#else
    if (!n->stopped && GwCalls_Open(n->calls) == 0 &&
#endif
        since_ms >= n->params.lookup_ttl_ms &&
        (handed || since_ms >= n->params.leave_bound_ms)) {
        n->stopped = true;
        GwActions_Add(out, GW_ACTION_STOPPED);
    }
}

/* The cargo looks at every slot, so it is made only for a tick that may
 * send. */
static void
tick_members(GwNode *n, int64_t now_us, GwActions *out)
{
    static const GwPiggyback none = {0};

    if (!GwMembers_IsDue(n->members, now_us)) {
        GwMembers_Tick(n->members, now_us, &none, out);
        return;
    }
    GwPiggyback c = piggyback(n, now_us);
    GwMembers_Tick(n->members, now_us, &c, out);
}

static void
on_tick(GwNode *n, int64_t now_us, GwActions *out)
{
    tick_members(n, now_us, out);
    GwSync_SetEntries(n->sync, GwMembers_LiveCount(n->members) + 1);
    GwSync_Tick(n->sync, now_us, out);
    GwSteer_Tick(n->steer, now_us, n->members, n->seats,
                 GwCalls_Queued(n->calls), out);
    GwCallsEnv env = calls_env(n, now_us, out);
    GwCalls_Tick(n->calls, &env);
    if (n->leaving) {
        check_stopped(n, now_us, out);
    }
    if (now_us - n->published_us >= PUBLISH_PERIOD_US) {
        publish(n, now_us, out);
    }
}

/* An address to answer a peer at: members carry theirs. */
static const char *
address_of(const GwNode *n, GwNodeId id)
{
    const GwMember *member = GwMembers_Find(n->members, id.node);
    return member == NULL ? "" : member->info.peer_address;
}

static void
on_heartbeat(GwNode *n, int64_t now_us, const GwMessage *msg, GwActions *out)
{
    const GwHeartbeat *beat = &msg->u.heartbeat;
    GwPiggyback c = piggyback(n, now_us);

    bool changed = GwMembers_Receive(n->members, now_us, msg, &c, out);
    for (uint32_t i = 0; i < beat->drain_count; i++) {
        GwSteer_ApplyDrainHint(n->steer, now_us, beat->drains[i].backend,
                               beat->drains[i].ttl_ms);
    }
    GwSync_NotePeerVersion(n->sync, now_us, msg->from,
                           address_of(n, msg->from), beat->config_version,
                           out);
    if (changed) {
        publish(n, now_us, out);
    }
}

static void
on_message(GwNode *n, int64_t now_us, const GwMessage *msg, GwActions *out)
{
    switch (msg->kind) {
    case GW_MSG_PROBE:
    case GW_MSG_ACK:
    case GW_MSG_PING_REQ:
        on_heartbeat(n, now_us, msg, out);
        break;
    case GW_MSG_CONFIG_ASK:
    case GW_MSG_CONFIG_DOC:
        if (GwSync_Receive(n->sync, now_us, msg, address_of(n, msg->from),
                           out)) {
            config_changed(n, now_us, out);
        }
        break;
    case GW_MSG_LOAN_ASK:
    case GW_MSG_LOAN_GIVE:
    case GW_MSG_LOAN_RETURN:
        GwSteer_Receive(n->steer, now_us, msg, n->members, n->seats,
                        GwCalls_Queued(n->calls), out);
        break;
    case GW_MSG_SEAT_HANDOVER:
    case GW_MSG_SEAT_TAKEN:
        GwSeats_Receive(n->seats, now_us, msg, n->members, out);
        break;
    }
}

static void
on_table(GwNode *n, int64_t now_us, const GwTableReply *reply, GwActions *out)
{
    if (GW_TOKEN_KIND(reply->token) == GW_TOKEN_SEATS) {
        GwSeats_TableReply(n->seats, now_us, reply, n->members, out);
    }
    else if (GwSync_TableReply(n->sync, now_us, reply, out)) {
        config_changed(n, now_us, out);
    }
}

static void
on_leave(GwNode *n, int64_t now_us, GwActions *out)
{
    if (n->leaving) {
        return;
    }
    n->leaving = true;
    n->leave_at_us = now_us;
    GwPiggyback c = piggyback(n, now_us);
    GwMembers_AnnounceLeaving(n->members, now_us, &c, out);
    GwSeats_HandOverAll(n->seats, now_us);
    GwCallsEnv env = calls_env(n, now_us, out);
    GwCalls_Leave(n->calls, &env);
    GwActions_Log(out, GW_LOG_STOP_BEGIN, "open_calls=%u",
                  GwCalls_Open(n->calls));
    publish(n, now_us, out);
}

/* The beat of the seats comes before any decision: a process that was paused
 * learns of it here, whatever event woke it, and stops using its seats and
 * loans before that event can spend one of their units. */
static void
beat(GwNode *n, int64_t now_us, GwActions *out)
{
    if (now_us - n->last_beat_us >= GW_TICK_US || n->last_beat_us == 0) {
#if GW_MUTANT != 10 /* breaks: a woken entry obeys what it slept through */
        int64_t gap_us = now_us - n->last_beat_us;
        if (n->last_beat_us != 0 &&
            gap_us > (int64_t)n->params.fence_ms * 1000) {
            GwSync_Resume(n->sync, now_us);
        }
#endif
        n->last_beat_us = now_us;
        GwSeats_Tick(n->seats, now_us, n->members, out);
    }
}

void
GwNode_Step(GwNode *n, int64_t now_us, const GwEvent *event, GwActions *out)
{
    beat(n, now_us, out);
    GwCallsEnv env = calls_env(n, now_us, out);
    switch (event->kind) {
    case GW_EVENT_TICK:
        on_tick(n, now_us, out);
        return;
    case GW_EVENT_MESSAGE:
        on_message(n, now_us, event->u.message, out);
        break;
    case GW_EVENT_CALL:
        GwCalls_Arrive(n->calls, &env, &event->u.call);
        borrow(n, now_us, out);
        return;
    case GW_EVENT_CALL_GONE:
        GwCalls_Gone(n->calls, &env, event->u.call_gone);
        break;
    case GW_EVENT_ATTEMPT:
        GwCalls_Attempt(n->calls, &env, &event->u.attempt);
        break;
    case GW_EVENT_HEALTH:
        GwSteer_ApplyHealth(n->steer, now_us, &event->u.health);
        break;
    case GW_EVENT_TABLE:
        on_table(n, now_us, event->u.table, out);
        break;
    case GW_EVENT_LIST:
        GwMembers_ApplyList(n->members, now_us, event->u.list, out);
        break;
    case GW_EVENT_LEAVE:
        on_leave(n, now_us, out);
        break;
    }
    pump(n, now_us, out);
}

/* ---- what callers ask ------------------------------------------------- */

GwResult
GwNode_MintTickets(GwNode *n, int64_t now_us, uint32_t count, GwTicket *out)
{
    if (n->leaving) {
        return GW_ERR(LEAVING);
    }
    if (!GwSync_IsReady(n->sync, now_us)) {
        return GW_ERR(NOT_READY);
    }
    return GwCalls_Mint(n->calls, now_us, count, out);
}
