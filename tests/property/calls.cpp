/* The call state machine alone, with a fake GwSteer that picks, refuses or
 * returns WAIT at random: callers resend and disconnect, attempts end in every
 * way and order, services are renumbered, removed and added again, operations
 * become idempotent, the ticket table is full, the entry is not ready or
 * stops.
 * Invariants: one FINISH per call; no second dispatch of a ticket while an
 * earlier one may have run; NOT_RUN only if no attempt may have run; one Done
 * per Pick; attached resends get the outcome of the first call. */
#include <glib.h>

extern "C" {
#include "entry/calls_internal.h"
}

#include <rapidcheck.h>

#include <algorithm>
#include <cstring>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

struct GwSteer_s {};
struct GwMembers_s {};

namespace {

constexpr int64_t MS = 1000;
constexpr uint32_t TABLE_MAX = 5;
constexpr uint32_t QUEUE_MAX = 6;
constexpr int64_t VALID_MS = 800;
constexpr int64_t RETENTION_MS = 800;
constexpr int64_t SEAT_MS = 2500; /* hold-off less fence */
constexpr uint64_t SELF = 5;
constexpr uint64_t PEER = 77; /* node in another region */

enum class Ran { RUNNING, NOT_RUN, MAY, ANSWERED };

struct Attempt {
    uint64_t handle;
    uint32_t number;
    bool to_owner;
    bool live; /* its end is still awaited */
    Ran ran;
    uint32_t use;
    int64_t give_up_us;
};

using TicketKey = std::tuple<uint64_t, uint64_t, uint64_t>;

struct Call {
    GwTicket ticket{};
    int64_t arrived_us = 0;
    bool shifted = false;
    bool open = true;
    GwOutcome outcome{};
};

struct World {
    GwCalls *calls = nullptr;
    GwConfig *configs[4] = {};
    uint32_t config = 0;
    GwMembers_s members;
    GwSteer_s steer;
    GwMember peer{};
    bool peer_known = true;
    bool ready = true;
    bool leaving = false;
    int64_t now_us = 1000000;
    uint32_t pick_mode = 0;
    uint32_t next_use = 0;
    uint32_t picks = 0;
    uint64_t next_handle = 0;
    std::set<uint32_t> uses;
    std::vector<uint32_t> picked; /* in this step, start not yet seen */
    std::map<uint64_t, Call> known;
    std::vector<Attempt> attempts;
    std::vector<GwTicket> tickets;
    std::set<uint64_t> attached;
    std::set<uint64_t> others; /* open calls that are not attached */
};

World *world;

} // namespace

extern "C" {

void
GwSteer_Pick(GwSteer *, int64_t, const GwPickRequest *ask, const GwMembers *,
             GwSeats *, GwPick *out)
{
    const GwConfig *config = world->configs[world->config];
    RC_ASSERT(ask->service < config->service_count);
    RC_ASSERT(!ask->relayed || ask->grant != 0);
    uint32_t draw = ++world->picks * 2654435761u >> 16;
    uint32_t kind = (draw + world->pick_mode) % 5;

    std::memset(out, 0, sizeof(*out));
    if (world->pick_mode == 0 || kind == 4) {
        out->kind = GW_PICK_WAIT;
        return;
    }
    out->kind = GW_PICK_BACKEND;
    if (kind == 3 && !ask->relayed) {
        out->kind = GW_PICK_PEER;
        out->peer = GwNodeId{PEER, 1};
        out->grant = 9;
    }
    if (world->pick_mode == 7) {
        out->kind = GW_PICK_REFUSE;
        out->reason = GW_REASON_NO_PLACE;
        return;
    }
    out->use = ++world->next_use;
    out->backend = 1 + world->next_use % 3;
    world->uses.insert(out->use);
    world->picked.push_back(out->use);
}

/* Checks that a unit stays in use while its backend server may run the call. */
void
GwSteer_Done(GwSteer *, int64_t now_us, uint32_t use,
             const GwAttemptEvent *end, int64_t hold_until_us)
{
    auto &picked = world->picked;
    RC_ASSERT(world->uses.erase(use) == 1);
    picked.erase(std::remove(picked.begin(), picked.end(), use), picked.end());
    for (const Attempt &a : world->attempts) {
        if (!a.to_owner && a.use == use &&
            end->outcome == GW_OUTCOME_UNKNOWN) {
            RC_ASSERT(hold_until_us >= a.give_up_us);
        }
    }
    RC_ASSERT(hold_until_us >= now_us || end->outcome != GW_OUTCOME_NOT_RUN);
}

const GwMember *
GwMembers_Find(const GwMembers *, uint64_t node)
{
    return node == PEER && world->peer_known ? &world->peer : nullptr;
}
}

namespace {

TicketKey
keyOf(const GwTicket &t)
{
    return TicketKey{t.owner.node, t.owner.start, t.seq};
}

bool
sameTicket(const Call &a, const Call &b)
{
    return a.ticket.seq != 0 && keyOf(a.ticket) == keyOf(b.ticket);
}

/* Returns whether an attempt belongs to this call or to any with its ticket. */
bool
concerns(const World &w, const Attempt &a, uint64_t handle)
{
    const Call &call = w.known.at(handle);
    return a.handle == handle || sameTicket(w.known.at(a.handle), call);
}

void
onStart(World &w, uint64_t handle, uint32_t number, bool to_owner,
        int64_t give_up_us)
{
    const Call &call = w.known.at(handle);
    uint32_t live = 0;

    RC_ASSERT(call.open);
    RC_ASSERT(give_up_us <= call.arrived_us + SEAT_MS * MS);
    for (const Attempt &a : w.attempts) {
        live += a.handle == handle && a.live;
        RC_ASSERT(a.handle != handle || a.number < number);
        if (call.ticket.seq != 0 && !to_owner && concerns(w, a, handle)) {
            RC_ASSERT(a.ran == Ran::NOT_RUN);
        }
    }
    RC_ASSERT(live < 2u);
    RC_ASSERT(number <= 4u);
    /* Only its owner may run a ticket. */
    if (call.ticket.seq != 0) {
        RC_ASSERT(to_owner == (call.ticket.owner.node != SELF));
    }
    RC_ASSERT(to_owner || w.ready);
    uint32_t use = 0;
    if (!to_owner) {
        RC_ASSERT(!w.picked.empty());
        use = w.picked.front();
        w.picked.erase(w.picked.begin());
    }
    w.attempts.push_back(Attempt{handle, number, to_owner, true, Ran::RUNNING,
                                 use, give_up_us});
}

void
onFinish(World &w, const GwFinishAction &f, const std::set<uint64_t> &attached)
{
    auto at = w.known.find(f.call);
    RC_ASSERT(at != w.known.end());
    Call &call = at->second;
    RC_ASSERT(call.open);
    call.open = false;
    call.outcome = f.outcome;
    if (call.ticket.seq == 0 && !call.shifted) {
        call.ticket = f.ticket;
    }
    bool foreign = call.ticket.seq != 0 && call.ticket.owner.node != SELF;
    bool may = false;
    bool owner_refused = false;
    for (Attempt &a : w.attempts) {
        if (a.handle == f.call && a.live) {
            RC_FAIL("a call ended with an attempt that was not abandoned");
        }
        if (concerns(w, a, f.call)) {
            /* Only the owner knows the outcome of a foreign ticket. */
            may |= a.ran != Ran::NOT_RUN && (!foreign || a.handle == f.call);
            owner_refused |=
                a.handle == f.call && a.to_owner && a.ran == Ran::NOT_RUN;
        }
    }
    switch (f.outcome) {
    case GW_OUTCOME_NOT_RUN:
        RC_ASSERT(!may);
        RC_ASSERT(!foreign || owner_refused);
        break;
    case GW_OUTCOME_UNKNOWN: {
        /* Without the service, a call with a ticket may be UNKNOWN. */
        may |= f.reason == GW_REASON_NO_SERVICE && call.ticket.seq != 0;
        bool old = w.now_us / MS - call.ticket.minted_ms > VALID_MS;
        RC_ASSERT(may || foreign || attached.count(f.call) > 0 ||
                  (call.ticket.seq != 0 && old));
        break;
    }
    case GW_OUTCOME_ANSWERED: {
        bool found = false;
        for (const Attempt &a : w.attempts) {
            found |= a.handle == f.answer_call &&
                     a.number == f.answer_attempt && a.ran == Ran::ANSWERED &&
                     concerns(w, a, f.call);
        }
        RC_ASSERT(found);
        break;
    }
    }
}

/* Checks that resends attached before the step finished with their call. */
void
checkAttached(const World &w, const std::set<uint64_t> &attached,
              const std::set<uint64_t> &finished)
{
    for (uint64_t one : attached) {
        const Call &resend = w.known.at(one);
        for (uint64_t first : finished) {
            const Call &call = w.known.at(first);
            if (w.others.count(first) > 0 && sameTicket(call, resend)) {
                RC_ASSERT(finished.count(one) == 1u);
                RC_ASSERT(resend.outcome == call.outcome ||
                          resend.outcome == GW_OUTCOME_UNKNOWN);
            }
        }
    }
}

void
checkCounts(World &w)
{
    uint32_t waiting[GW_MAX_SERVICES] = {};
    uint32_t total = 0;
    GHashTableIter iter;
    gpointer value = nullptr;

    w.attached.clear();
    w.others.clear();
    g_hash_table_iter_init(&iter, w.calls->open);
    while (g_hash_table_iter_next(&iter, nullptr, &value)) {
        auto *call = static_cast<GwCall *>(value);
        if (call->state == GW_CALL_WAITING) {
            waiting[call->service]++;
            total++;
        }
        if (call->state == GW_CALL_ATTACHED) {
            w.attached.insert(call->call);
        }
        else {
            w.others.insert(call->call);
        }
    }
    RC_ASSERT(total == w.calls->waiting_count);
    const uint32_t *queued = GwCalls_Queued(w.calls);
    for (uint32_t i = 0; i < GW_MAX_SERVICES; i++) {
        RC_ASSERT(queued[i] == waiting[i]);
    }
    RC_ASSERT(GwTickets_Count(w.calls->tickets) <= TABLE_MAX);
    uint32_t open = 0;
    for (const auto &one : w.known) {
        open += one.second.open;
    }
    RC_ASSERT(open == GwCalls_OpenCount(w.calls));
}

void
applyActions(World &w, GwActions *out)
{
    std::set<uint64_t> finished;

    for (uint32_t i = 0; i < out->count; i++) {
        const GwAction &action = out->items[i];
        switch (action.kind) {
        case GW_ACTION_DISPATCH:
            onStart(w, action.u.dispatch.call, action.u.dispatch.attempt,
                    false, action.u.dispatch.give_up_us);
            break;
        case GW_ACTION_RELAY:
            onStart(w, action.u.relay.call, action.u.relay.attempt,
                    action.u.relay.to_owner, action.u.relay.give_up_us);
            break;
        case GW_ACTION_CANCEL:
            for (Attempt &a : w.attempts) {
                if (a.handle == action.u.cancel.call &&
                    a.number == action.u.cancel.attempt) {
                    a.live = false;
                    a.ran = Ran::MAY;
                }
            }
            break;
        case GW_ACTION_FINISH:
            onFinish(w, action.u.finish, w.attached);
            finished.insert(action.u.finish.call);
            break;
        default:
            break;
        }
    }
    RC_ASSERT(w.picked.empty());
    checkAttached(w, w.attached, finished);
    checkCounts(w);
    GwActions_Free(out);
}

GwCallsEnv
envOf(World &w, GwActions *out)
{
    GwCallsEnv env{};
    env.now_us = w.now_us;
    env.config = w.configs[w.config];
    env.members = &w.members;
    env.steer = &w.steer;
    env.ready = w.ready;
    env.leaving = w.leaving;
    env.out = out;
    return env;
}

const char *const services[] = {"a", "b", "c", "gone"};

/* Sends a call; `draw` selects service, method, ticket and origin. */
void
arrive(World &w, uint32_t draw)
{
    GwCallEvent ev{};
    Call call;
    GwActions out{};
    GwCallsEnv env = envOf(w, &out);
    bool post = draw % 4 != 0;

    ev.call = ++w.next_handle;
    g_strlcpy(ev.service, services[draw / 4 % 16 == 15 ? 3 : draw / 4 % 3],
              GW_NAME_MAX);
    g_strlcpy(ev.method, post ? "POST" : "GET", sizeof(ev.method));
    g_strlcpy(ev.path, "/x", GW_PATH_MAX);
    ev.deadline_us = w.now_us + 100 * MS * (1 + draw / 64 % 40);
    uint32_t way = draw / 4096 % 16;
    if (way == 15) {
        ev.relayed = true;
        ev.grant = draw / 65536 % 3;
        ev.relay_from = GwNodeId{PEER, 1};
        call.shifted = true;
    }
    else if (post && way < 10 && !w.tickets.empty()) {
        /* Mostly one of the latest: callers resend soon. */
        size_t back = draw / 65536 % (way < 7 ? 4 : 64);
        back = back < w.tickets.size() ? back : w.tickets.size() - 1;
        ev.ticket = w.tickets[w.tickets.size() - 1 - back];
        ev.relayed = ev.to_owner =
            ev.ticket.owner.node == SELF && draw % 3 == 0;
    }
    else if (post && way == 10) {
        ev.ticket = GwTicket{GwNodeId{PEER, 1}, w.now_us / MS, 1 + draw % 7};
    }
    call.ticket = ev.ticket;
    call.arrived_us = w.now_us;
    w.known[ev.call] = call;
    GwCalls_Arrive(w.calls, &env, &ev);
    if (call.shifted && ev.grant == 0) {
        RC_ASSERT(out.count == 1u);
    }
    /* A POST without a ticket gets one on arrival. */
    auto *inside =
        static_cast<GwCall *>(g_hash_table_lookup(w.calls->open, &ev.call));
    if (inside != nullptr && !call.shifted) {
        w.known[ev.call].ticket = inside->ticket;
    }
    applyActions(w, &out);
}

void
endAttemptAs(World &w, Attempt &a, GwOutcome outcome, GwReason reason)
{
    GwAttemptEvent ev{};
    ev.call = a.handle;
    ev.attempt = a.number;
    ev.outcome = outcome;
    ev.reason = reason;
    if (a.live) {
        bool proof = !a.to_owner || reason != GW_REASON_PEER_CONNECT;
        a.live = false;
        a.ran = outcome == GW_OUTCOME_ANSWERED           ? Ran::ANSWERED
                : outcome == GW_OUTCOME_NOT_RUN && proof ? Ran::NOT_RUN
                                                         : Ran::MAY;
    }
    GwActions out{};
    GwCallsEnv env = envOf(w, &out);
    GwCalls_EndAttempt(w.calls, &env, &ev);
    applyActions(w, &out);
}

void
endAttempt(World &w, uint32_t draw)
{
    std::vector<size_t> candidates;
    bool late = draw % 8 == 0;

    for (size_t i = 0; i < w.attempts.size(); i++) {
        if (w.attempts[i].live != late) {
            candidates.push_back(i);
        }
    }
    if (candidates.empty()) {
        return;
    }
    Attempt &a = w.attempts[candidates[draw / 8 % candidates.size()]];
    const GwOutcome outcomes[] = {GW_OUTCOME_ANSWERED, GW_OUTCOME_NOT_RUN,
                                  GW_OUTCOME_NOT_RUN, GW_OUTCOME_UNKNOWN};
    const GwReason reasons[] = {GW_REASON_SHED, GW_REASON_PEER_CONNECT};
    GwOutcome outcome = outcomes[draw / 1024 % 4];
    GwReason reason = outcome == GW_OUTCOME_ANSWERED ? GW_REASON_NONE
                      : outcome == GW_OUTCOME_UNKNOWN
                          ? GW_REASON_BROKEN
                          : reasons[draw / 4096 % 2];
    endAttemptAs(w, a, outcome, reason);
}

void
tick(World &w, int64_t by_us)
{
    GwActions out{};
    w.now_us += by_us;
    GwCallsEnv env = envOf(w, &out);
    GwCalls_Tick(w.calls, &env);
    applyActions(w, &out);
}

void
disconnect(World &w, uint32_t draw)
{
    GwActions out{};
    GwCallsEnv env = envOf(w, &out);
    uint64_t back = draw % 8;
    GwCalls_CallerDisconnected(
        w.calls, &env, w.next_handle > back ? w.next_handle - back : 0);
    applyActions(w, &out);
}

void
mint(World &w, uint32_t draw)
{
    GwTicket t;
    GwCalls_MintTickets(w.calls, w.now_us, 1, &t);
    w.tickets.push_back(t);
}

void
reconfigure(World &w, uint32_t draw)
{
    w.config = draw % 4;
    GwCalls_Configure(w.calls, w.now_us, w.configs[w.config]);
    checkCounts(w);
}

void
step(World &w, uint32_t kind, uint32_t draw)
{
    switch (kind) {
    case 0:
    case 1:
    case 2:
    case 3:
        arrive(w, draw);
        break;
    case 4:
    case 5:
    case 6:
    case 7:
        endAttempt(w, draw);
        break;
    case 8:
    case 9:
        tick(w, (int64_t)(draw % 100) * MS);
        break;
    case 10:
        tick(w, (int64_t)(draw % 3000) * MS);
        break;
    case 11:
    case 12:
        mint(w, draw);
        break;
    case 13:
        disconnect(w, draw);
        break;
    case 14:
        w.pick_mode = draw % 16 < 8 ? draw % 8 : 1;
        break;
    case 15:
        reconfigure(w, draw);
        break;
    case 16:
        w.ready = draw % 8 != 0;
        w.leaving = draw % 16 == 5;
        break;
    default:
        w.peer_known = draw % 3 != 0;
        w.peer.info.state = draw % 2 == 0 ? GW_MEMBER_ALIVE : GW_MEMBER_DEAD;
        break;
    }
}

GwConfig *
configOf(const std::string &listed, uint64_t version)
{
    std::string text = "{\"warmup_step\":20,\"regions\":[{\"name\":\"r\","
                       "\"seats\":4}],\"services\":[" +
                       listed + "],\"places\":[],\"shifts\":[],\"links\":[]}";
    GError *error = nullptr;
    GwConfig *config =
        GwConfig_Parse(text.c_str(), (uint32_t)text.size(), version, &error);
    RC_ASSERT(config != nullptr);
    return config;
}

std::string
service(const std::string &name, bool post_too)
{
    std::string more = post_too ? ",{\"method\":\"POST\",\"path\":\"/*\","
                                  "\"idempotent\":true}"
                                : "";
    return "{\"name\":\"" + name +
           "\",\"deadline_max_ms\":3000,\"hedge_percentile\":90,"
           "\"operations\":[{\"method\":\"GET\",\"path\":\"/*\","
           "\"idempotent\":true}" +
           more + "]}";
}

void
setUp(World &w, uint64_t seed)
{
    GwNodeParams p{};
    p.id = GwNodeId{SELF, 1};
    p.seed = seed;
    p.queue_max = QUEUE_MAX;
    p.ticket_table_max = TABLE_MAX;
    p.ticket_valid_ms = VALID_MS;
    p.ticket_retention_ms = RETENTION_MS;
    p.attempt_timeout_ms = 400;
    p.retry_budget_percent = 20;
    p.seat_holdoff_ms = SEAT_MS + 500;
    p.fence_ms = 500;
    w.calls = GwCalls_Create(&p);
    w.configs[0] =
        configOf(service("a", false) + "," + service("b", false), 1);
    w.configs[1] = configOf(service("b", true), 2);
    w.configs[2] = configOf(service("c", false) + "," + service("b", false) +
                                "," + service("a", true),
                            3);
    w.configs[3] = configOf(service("a", false), 4);
    w.peer.info.id = GwNodeId{PEER, 1};
    w.peer.info.state = GW_MEMBER_ALIVE;
    w.pick_mode = 1;
    GwCalls_Configure(w.calls, w.now_us, w.configs[0]);
}

/* Hedges start only after 20 answers. */
void
warmUp(World &w)
{
    for (uint32_t i = 0; i < 40; i++) {
        arrive(w, 0);
        tick(w, 5 * MS);
        for (size_t k = 0; k < w.attempts.size(); k++) {
            if (w.attempts[k].live) {
                endAttemptAs(w, w.attempts[k], GW_OUTCOME_ANSWERED,
                             GW_REASON_NONE);
            }
        }
    }
}

} // namespace

int
main()
{
    bool ok = rc::check("call state machine", [] {
        auto steps = *rc::gen::scale(
            4.0,
            rc::gen::container<std::vector<std::pair<uint32_t, uint32_t>>>(
                rc::gen::pair(
                    rc::gen::resize(100, rc::gen::inRange(0u, 18u)),
                    rc::gen::resize(100, rc::gen::inRange(0u, 1u << 28)))));
        World w;
        world = &w;
        setUp(w, steps.size());
        warmUp(w);
        for (const auto &one : steps) {
            step(w, one.first, one.second);
        }
        /* All deadlines pass: no call may stay open, no unit in use. */
        tick(w, 5000 * MS);
        RC_ASSERT(GwCalls_OpenCount(w.calls) == 0u);
        RC_ASSERT(w.uses.empty());
        tick(w, (VALID_MS + RETENTION_MS) * MS);
        RC_ASSERT(GwTickets_Count(w.calls->tickets) == 0u);
        RC_TAG(w.attempts.size() / 20);
        GwCalls_Free(w.calls);
        for (GwConfig *config : w.configs) {
            GwConfig_Free(config);
        }
    });
    return ok ? 0 : 1;
}
