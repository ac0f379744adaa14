/* Several entries of two regions under random calls, loans, grants, lost,
 * late and duplicated messages, pauses, fences, crashes, moving seats and
 * configuration changes. At every moment, measured by the calls that the
 * backend servers run, no two calls use one slot unit, one unit of a shift
 * or one of a link, and no new call uses a unit above a cap. */
#include "steer_fake.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <tuple>

namespace {

constexpr uint32_t NODES = 5;
constexpr uint32_t NODES_HERE = 3;
constexpr int64_t STEP_US = 50000;
constexpr int64_t DEADLINE_MAX_MS = 2500;
/* Fence, longest deadline, and a loan with its margin. */
constexpr int64_t HOLDOFF_US = GW_MS(500 + 2500 + 4300 + 700);
constexpr uint32_t VERSIONS = 4;

/* A call that a backend server or link is carrying. */
struct Running {
    uint32_t node;
    uint64_t start;
    uint32_t use;
    GwUnitKind kind;
    uint64_t owner;
    uint32_t index;
    int64_t ends_us;
    uint64_t grant; /* SLOT: the grant it was relayed on, at the destination */
    uint64_t relay; /* the relay it belongs to; 0 none */
};

struct Relay {
    uint64_t id;
    int64_t due_us;
    uint32_t from;
    uint32_t to;
    uint64_t grant;
    GwNodeId from_id;
    int64_t deadline_us;
};

struct Transit {
    int64_t due_us;
    uint32_t to;
    std::shared_ptr<GwMessage> msg;
};

struct Node {
    uint64_t start = 1;
    GwSteer *steer = nullptr;
    GwSeats_s seats;
    bool paused = false;
    int64_t paused_us = 0;
    int64_t last_event_us = 0;
    uint32_t version = 0;
    int64_t unfence_us = 0;
    std::vector<int64_t> waiting; /* deadlines */
};

class World {
  public:
    World()
    {
        configs.emplace_back(3, 4, 3, false);
        configs.emplace_back(2, 2, 2, false);
        configs.emplace_back(3, 4, 3, true);
        configs.emplace_back(1, 4, 3, true);
        for (auto &one : configs) {
            one.fill();
        }
        for (uint32_t seat = 0; seat < SEATS; seat++) {
            holders[0][seat] = 1 + seat % NODES_HERE;
            holders[1][seat] = 1 + NODES_HERE + seat % (NODES - NODES_HERE);
        }
        for (uint32_t i = 0; i < NODES; i++) {
            nodes[i].seats.node = i + 1;
            nodes[i].seats.holder = &holders[region(i)];
            start(i);
        }
    }

    ~World()
    {
        for (auto &n : nodes) {
            GwSteer_Free(n.steer);
        }
        GwActions_Free(&actions);
    }

    void
    apply(uint32_t op)
    {
        uint32_t node = (op >> 8) % NODES;
        uint32_t arg = op >> 12;
        switch (op % 20) {
        case 0 ... 6:
            for (uint32_t i = 0; i < 1 + arg % 6; i++) {
                int64_t span_ms = 100 + (arg >> (i + 3)) % 2400;
                add_call(node, now_us + GW_MS(span_ms));
            }
            break;
        case 7 ... 10:
            finish_call(arg);
            break;
        case 11 ... 13:
            advance(STEP_US * (1 + arg % 4));
            break;
        case 14:
            advance(STEP_US * (4 + arg % 24));
            break;
        case 15:
            if (arg % 3 == 0) {
                pause(node);
            }
            break;
        case 16:
            move_seat(arg);
            break;
        case 17:
            if (arg % 2 == 0) {
                set_version(node, arg / 2);
            }
            break;
        case 18:
            arg % 5 == 0 ? crash(node) : resume_all();
            break;
        case 19:
            send_excess_relay(arg);
            break;
        }
        check();
    }

  private:
    static uint32_t
    region(uint32_t node)
    {
        return node < NODES_HERE ? 0 : 1;
    }

    void
    start(uint32_t i)
    {
        Node &n = nodes[i];
        GwNodeParams p =
            fake_params(i + 1, n.start, region(i) == 0 ? "here" : "there");
        GwSteer_Free(n.steer);
        n.steer = GwSteer_Create(&p);
        n.waiting.clear();
        n.seats.fenced = false;
        n.seats.parting = {};
        n.seats.epoch++;
        n.last_event_us = now_us;
        GwSteer_Configure(n.steer, now_us, &configs[n.version].config);
        members.all.clear();
        for (uint32_t j = 0; j < NODES; j++) {
            members.all.push_back(fake_member(
                j + 1, nodes[j].start, region(j) == 0 ? "here" : "there"));
        }
    }

    const uint32_t *
    queued(uint32_t i)
    {
        queue_lengths = {};
        queue_lengths[0] = (uint32_t)nodes[i].waiting.size();
        return queue_lengths.data();
    }

    /* Detects a pause, as a process does before any other work. */
    void
    check_pause(uint32_t i)
    {
        Node &n = nodes[i];
        if (now_us - n.last_event_us > GW_MS(500) && !n.seats.fenced) {
            n.seats.fenced = true;
            n.seats.epoch++;
            n.unfence_us = now_us + GW_MS(200);
        }
        n.last_event_us = now_us;
    }

    bool
    pick(uint32_t i, const GwPickRequest &ask, const Relay *relay)
    {
        Node &n = nodes[i];
        GwPick out{};
        check_pause(i);
        GwSteer_Pick(n.steer, now_us, &ask, &members, &n.seats, &out);
        if (out.kind == GW_PICK_BACKEND) {
            RC_ASSERT(!n.seats.fenced);
            record_local(i, ask, out, relay);
        }
        if (out.kind == GW_PICK_PEER) {
            RC_ASSERT(relay == nullptr);
            RC_ASSERT(!n.seats.fenced);
            record_relay(i, ask, out);
        }
        return out.kind != GW_PICK_WAIT;
    }

    void
    record_local(uint32_t i, const GwPickRequest &ask, const GwPick &out,
                 const Relay *relay)
    {
        const GwUse *use = GwSteer_FindUse(nodes[i].steer, out.use);
        const auto &config = configs[nodes[i].version];
        RC_ASSERT(use->slot < config.backends[0].slots);
        running.push_back({i, nodes[i].start, out.use, GW_UNIT_SLOT,
                           out.backend, use->slot, ask.deadline_us, ask.grant,
                           relay != nullptr ? relay->id : 0});
    }

    void
    record_relay(uint32_t i, const GwPickRequest &ask, const GwPick &out)
    {
        GwSteer *s = nodes[i].steer;
        const GwUse *use = GwSteer_FindUse(s, out.use);
        const GwBorrowed *loan = GwSteer_FindBorrowed(s, use->borrowed_loan);
        const GwUnit &unit = loan->units[use->borrowed_bit];
        uint32_t to = (uint32_t)out.peer.node - 1;
        RC_ASSERT(unit.index < configs[nodes[i].version].shifts[0].cap);
        relay_seq++;
        running.push_back({i, nodes[i].start, out.use, GW_UNIT_SHIFT,
                           unit.owner, unit.index, ask.deadline_us, 0,
                           relay_seq});
        running.push_back({i, nodes[i].start, out.use, GW_UNIT_LINK, use->link,
                           use->link_unit, ask.deadline_us, 0, relay_seq});
        relays.push_back({relay_seq, now_us + GW_MS(10 + random_below(200)), i,
                          to, out.grant, members.all[i].info.id,
                          ask.deadline_us});
        seen_relays++;
    }

    void
    add_call(uint32_t i, int64_t deadline_us)
    {
        Node &n = nodes[i];
        GwPickRequest ask{};
        ask.deadline_us = deadline_us;
        ask.idempotent = true;
        if (n.paused) {
            return;
        }
        if (!pick(i, ask, nullptr) && n.waiting.size() < 8) {
            n.waiting.push_back(deadline_us);
        }
    }

    /* Ends the call of one record, with its link and shift records. After
     * an unknown end the server runs the call until the deadline. */
    void
    end(size_t at, GwOutcome outcome)
    {
        Running r = running[at];
        Node &n = nodes[r.node];
        if (n.paused || n.start != r.start) {
            return;
        }
        GwAttemptEvent ev{};
        ev.outcome = outcome;
        ev.reason = outcome == GW_OUTCOME_ANSWERED ? GW_REASON_NONE
                                                   : GW_REASON_DEADLINE;
        bool unknown = outcome == GW_OUTCOME_UNKNOWN;
        check_pause(r.node);
        GwSteer_Done(n.steer, now_us, r.use, &ev,
                     unknown ? r.ends_us : now_us);
        if (unknown) {
            return;
        }
        running.erase(std::remove_if(running.begin(), running.end(),
                                     [&](const Running &o) {
                                         return o.node == r.node &&
                                                o.start == r.start &&
                                                o.use == r.use;
                                     }),
                      running.end());
    }

    void
    end_relay(uint64_t id, GwOutcome outcome)
    {
        for (size_t i = 0; i < running.size(); i++) {
            if (running[i].relay == id && running[i].kind == GW_UNIT_SHIFT) {
                end(i, outcome);
                return;
            }
        }
    }

    void
    finish_call(uint32_t arg)
    {
        std::vector<size_t> here;
        for (size_t i = 0; i < running.size(); i++) {
            if (running[i].kind == GW_UNIT_SLOT) {
                here.push_back(i);
            }
        }
        if (here.empty()) {
            return;
        }
        size_t at = here[arg % here.size()];
        uint64_t relay = running[at].relay;
        uint32_t draw = (arg >> 8) % 5;
        GwOutcome outcome = draw == 0   ? GW_OUTCOME_UNKNOWN
                            : draw == 1 ? GW_OUTCOME_NOT_RUN
                                        : GW_OUTCOME_ANSWERED;
        end(at, outcome);
        if (relay != 0) {
            end_relay(relay, outcome);
        }
    }

    /* A source that exceeds its grant: one more call on it, with the
     * longest deadline that a service accepts, beyond the end of the loan. */
    void
    send_excess_relay(uint32_t arg)
    {
        if (relays.empty()) {
            return;
        }
        Relay r = relays[arg % relays.size()];
        r.id = ++relay_seq;
        r.deadline_us = now_us + GW_MS(DEADLINE_MAX_MS);
        relays.push_back(r);
    }

    void
    pause(uint32_t i)
    {
        if (!nodes[i].paused) {
            nodes[i].paused = true;
            nodes[i].paused_us = now_us;
        }
    }

    void
    resume_all()
    {
        for (Node &n : nodes) {
            n.paused = false;
        }
    }

    /* The process crashes; its next start holds no seat until the calls and
     * loans of the previous one are over. */
    void
    crash(uint32_t i)
    {
        Node &n = nodes[i];
        for (uint32_t seat = 0; seat < SEATS; seat++) {
            if ((*n.seats.holder)[seat] == i + 1) {
                (*n.seats.holder)[seat] = NO_NODE;
                claimable_us[region(i)][seat] = now_us + HOLDOFF_US;
            }
        }
        n.start++;
        n.paused = false;
        start(i);
    }

    void
    move_seat(uint32_t arg)
    {
        uint32_t r = arg % 2;
        uint32_t seat = (arg >> 1) % SEATS;
        uint64_t holder = holders[r][seat];
        uint32_t first = r == 0 ? 0 : NODES_HERE;
        uint32_t count = r == 0 ? NODES_HERE : NODES - NODES_HERE;
        uint64_t next_holder = first + (arg >> 5) % count + 1;
        if (holder == NO_NODE) {
            if (claimable_us[r][seat] <= now_us) {
                holders[r][seat] = next_holder;
                nodes[next_holder - 1].seats.epoch++;
            }
            return;
        }
        Node &n = nodes[holder - 1];
        if (n.paused && now_us - n.paused_us > HOLDOFF_US) {
            n.seats.parting[seat] = false;
            holders[r][seat] = next_holder;
            nodes[next_holder - 1].seats.epoch++;
        }
        else if (!n.paused && next_holder != holder && !n.seats.fenced) {
            n.seats.parting[seat] = true;
            n.seats.next_holder[seat] = next_holder;
            n.seats.epoch++;
        }
    }

    void
    set_version(uint32_t i, uint32_t arg)
    {
        if (nodes[i].paused) {
            return;
        }
        nodes[i].version = arg % VERSIONS;
        GwSteer_Configure(nodes[i].steer, now_us,
                          &configs[nodes[i].version].config);
    }

    uint64_t
    random_below(uint32_t bound)
    {
        return GwRng_Below(&rng, bound);
    }

    void
    send()
    {
        for (uint32_t i = 0; i < actions.count; i++) {
            GwAction *a = &actions.items[i];
            if (a->kind != GW_ACTION_SEND || random_below(10) == 0) {
                continue;
            }
            std::shared_ptr<GwMessage> msg(GwMessage_Copy(a->u.send.message),
                                           GwMessage_Free);
            uint32_t to = (uint32_t)a->u.send.to.node - 1;
            uint32_t copies = random_below(5) == 0 ? 2 : 1;
            for (uint32_t c = 0; c < copies; c++) {
                int64_t delay_ms = random_below(8) == 0
                                       ? 200 + random_below(4000)
                                       : 1 + random_below(100);
                in_transit.push_back({now_us + GW_MS(delay_ms), to, msg});
            }
            seen_messages++;
        }
        GwActions_Clear(&actions);
    }

    void
    deliver()
    {
        std::vector<Transit> due;
        for (size_t i = 0; i < in_transit.size();) {
            if (in_transit[i].due_us <= now_us &&
                !nodes[in_transit[i].to].paused) {
                due.push_back(in_transit[i]);
                in_transit.erase(in_transit.begin() + (long)i);
            }
            else {
                i++;
            }
        }
        for (auto &f : due) {
            Node &n = nodes[f.to];
            check_pause(f.to);
            seen_loans += f.msg->kind == GW_MSG_LOAN_GIVE &&
                          f.msg->u.give.unit_count > 0;
            GwSteer_Receive(n.steer, now_us, f.msg.get(), &members, &n.seats,
                            queued(f.to), &actions);
            send();
        }
    }

    void
    deliver_relays()
    {
        std::vector<Relay> due;
        for (size_t i = 0; i < relays.size();) {
            if (relays[i].due_us <= now_us && !nodes[relays[i].to].paused) {
                due.push_back(relays[i]);
                relays.erase(relays.begin() + (long)i);
            }
            else {
                i++;
            }
        }
        for (auto &r : due) {
            GwPickRequest ask{};
            ask.relayed = true;
            ask.grant = r.grant;
            ask.relay_from = r.from_id;
            ask.deadline_us = r.deadline_us;
            if (r.deadline_us <= now_us) {
                continue;
            }
            size_t before = running.size();
            pick(r.to, ask, &r);
            if (running.size() == before) {
                end_relay(r.id, GW_OUTCOME_NOT_RUN);
            }
        }
    }

    /* A server stops a call at its deadline; the entry receives the end if
     * it runs. */
    void
    expire_calls()
    {
        for (size_t i = 0; i < running.size();) {
            if (running[i].ends_us > now_us) {
                i++;
                continue;
            }
            Running r = running[i];
            running.erase(running.begin() + (long)i);
            if (!nodes[r.node].paused && nodes[r.node].start == r.start) {
                GwAttemptEvent ev{};
                ev.outcome = GW_OUTCOME_UNKNOWN;
                ev.reason = GW_REASON_DEADLINE;
                check_pause(r.node);
                GwSteer_Done(nodes[r.node].steer, now_us, r.use, &ev,
                             r.ends_us);
            }
        }
    }

    void
    retry_waiting(uint32_t i)
    {
        std::vector<int64_t> old;
        old.swap(nodes[i].waiting);
        for (int64_t deadline_us : old) {
            GwPickRequest ask{};
            ask.deadline_us = deadline_us;
            if (deadline_us > now_us && !pick(i, ask, nullptr)) {
                nodes[i].waiting.push_back(deadline_us);
            }
        }
    }

    void
    publish(uint32_t i)
    {
        GwPiggyback piggyback{};
        GwSteer_FillHeartbeat(nodes[i].steer, now_us, members.all[i].info.id,
                              &nodes[i].seats, queued(i), &piggyback);
        std::vector<GwDigest> kept;
        for (auto &d : members.digests) {
            if (d.id.node != i + 1) {
                kept.push_back(d);
            }
        }
        kept.insert(kept.end(), piggyback.digests,
                    piggyback.digests + piggyback.digest_count);
        members.digests = kept;
    }

    void
    tick(uint32_t i)
    {
        Node &n = nodes[i];
        check_pause(i);
        if (n.seats.fenced && n.unfence_us <= now_us) {
            n.seats.fenced = false;
            n.seats.epoch++;
        }
        GwSteer_Tick(n.steer, now_us, &members, &n.seats, queued(i), &actions);
        send();
        publish(i);
        retry_waiting(i);
        for (uint32_t j = 0; j < NODES; j++) {
            nodes[j].seats.epoch += j != i && have_rows_changed(j);
        }
    }

    /* Whether the rows of node `j` changed since the last call. */
    bool
    have_rows_changed(uint32_t j)
    {
        uint64_t seats_held = 0;
        for (uint32_t seat = 0; seat < SEATS; seat++) {
            seats_held |= (uint64_t)((*nodes[j].seats.holder)[seat] == j + 1)
                          << seat;
        }
        bool changed = seats_held != known_seats[j];
        known_seats[j] = seats_held;
        return changed;
    }

    void
    advance(int64_t by_us)
    {
        for (int64_t left = by_us; left > 0; left -= STEP_US) {
            now_us += STEP_US;
            expire_calls();
            deliver();
            deliver_relays();
            for (uint32_t i = 0; i < NODES; i++) {
                if (!nodes[i].paused) {
                    tick(i);
                }
            }
            check();
        }
    }

    void
    check()
    {
        std::set<std::tuple<int, uint64_t, uint32_t>> units;
        for (const Running &r : running) {
            if (r.kind == GW_UNIT_LINK && r.owner == 0) {
                continue;
            }
            if (!units.insert({r.kind, r.owner, r.index}).second) {
                RC_FAIL(describe(r));
            }
        }
        check_grants();
    }

    std::string
    describe(const Running &twice) const
    {
        std::string text =
            "two calls on one unit at " + std::to_string(now_us) + ":";
        for (const Running &r : running) {
            if (r.kind == twice.kind && r.owner == twice.owner &&
                r.index == twice.index) {
                text += " node " + std::to_string(r.node) + " start " +
                        std::to_string(r.start) + " kind " +
                        std::to_string(r.kind) + " grant " +
                        std::to_string(r.grant) + " ends " +
                        std::to_string(r.ends_us) + ";";
            }
        }
        return text;
    }

    /* A grant carries no more calls than its units, and its units stay
     * counted as lent while a call runs. */
    void
    check_grants()
    {
        std::map<std::pair<uint32_t, uint64_t>, uint32_t> count;
        for (const Running &r : running) {
            if (r.kind == GW_UNIT_SLOT && r.grant != 0 &&
                nodes[r.node].start == r.start) {
                count[{r.node, r.grant}]++;
            }
        }
        for (const auto &one : count) {
            const GwLent *lent = GwSteer_FindLent(nodes[one.first.first].steer,
                                                  one.first.second);
            RC_ASSERT(lent != nullptr);
            RC_ASSERT(one.second <= lent->unit_count);
        }
        check_lent();
    }

    /* No unit is lent on two loans. An expired record does not count: a
     * process that was paused has not removed it yet. */
    void
    check_lent()
    {
        std::set<std::pair<uint64_t, uint32_t>> out;
        for (const Node &n : nodes) {
            for (guint i = 0; i < n.steer->lent->len; i++) {
                const GwLent *lent = &g_array_index(n.steer->lent, GwLent, i);
                for (uint32_t u = 0;
                     lent->expires_us > now_us && u < lent->unit_count; u++) {
                    const GwUnit &unit = lent->units[u];
                    RC_ASSERT(out.insert({unit.owner, unit.index}).second);
                }
            }
        }
    }

  public:
    uint64_t seen_relays = 0;
    uint64_t seen_loans = 0;
    uint64_t seen_messages = 0;

  private:
    int64_t now_us = 1000000000;
    std::vector<TestConfig> configs;
    std::array<std::array<uint64_t, SEATS>, 2> holders{};
    std::array<std::array<int64_t, SEATS>, 2> claimable_us{};
    std::array<Node, NODES> nodes;
    std::array<uint64_t, NODES> known_seats{};
    std::array<uint32_t, GW_MAX_SERVICES> queue_lengths{};
    GwMembers_s members;
    std::vector<Running> running;
    std::vector<Relay> relays;
    std::vector<Transit> in_transit;
    uint64_t relay_seq = 0;
    GwActions actions{};
    GwRng rng = GwRng_Make(20261202);
};

} // namespace

int
main()
{
    uint64_t relays = 0;
    uint64_t loans = 0;
    bool ok = rc::check("no unit carries two calls", [&] {
        auto ops = *rc::gen::resize(
            rc::kNominalSize,
            rc::gen::container<std::vector<uint32_t>>(
                400, rc::gen::inRange<uint32_t>(0, UINT32_MAX)));
        World world;
        for (uint32_t op : ops) {
            world.apply(op);
        }
        relays += world.seen_relays;
        loans += world.seen_loans;
    });
    printf("relayed %lu, loans %lu\n", (unsigned long)relays,
           (unsigned long)loans);
    return ok && relays > 0 && loans > 0 ? 0 : 1;
}
