// Explores every sequence of events, up to a depth, of two processes and one
// seat. The code under test is the real GwSeats; its environment is
// enumerated. A step of time is one second. In each step a process runs or is
// paused; a request is executed and answered, executed with a delayed or lost
// reply, never executed, or delayed; an offer of the seat is delivered, lost
// or delayed; process 0 may stop. Everything but running and prompt replies
// counts as a fault, and all sequences up to a number of faults are explored.
// Each process sees the other as present, or as dead and unlisted.
//
// A wrong list, an unreachable holder and an unreachable table never coincide
// for a running holder: it reads its rows at least every other step.
#include "c_api.hpp"

extern "C" {
#include "steer/seats_internal.h"
}

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

namespace {

constexpr int64_t kStep = 1000000;
constexpr int64_t kAgeMax = 12 * kStep; // greater ages are equivalent
constexpr size_t kSize = offsetof(GwSeats, seats) + sizeof(GwSeat);
constexpr int kWaitMax = 2;

enum class Stage : uint8_t { kAsked, kAnswered };

struct Item {
    Stage stage;
    bool list;
    int waited;
    uint64_t token;
    std::string value;    // written or read
    uint64_t version = 0; // expected, read, or new
    GwTableStatus status = GW_TABLE_LOST;
};

struct Delivery {
    GwMessageKind kind;
    GwSeatHandover seat;
    int waited;
};

struct State {
    std::vector<char> seats[2];
    std::vector<Item> items[2];
    std::vector<Delivery> inbox[2]; // to this process
    bool paused[2] = {false, false};
    int64_t read_us[2] = {0, 0};
    bool leaving = false; // process 0
    std::string value;
    uint64_t version = 0;
    int64_t now_us = kStep;
    int faults = 0; // so far
    std::string events;
};

class Explorer {
  public:
    Explorer(bool dead0, bool dead1, int depth, int faults)
        : depth_(depth), faults_(faults)
    {
        const bool dead[2] = {dead0, dead1};
        for (int i = 0; i < 2; i++) {
            GwNodeParams &p = params_[i];
            p = GwNodeParams{};
            g_snprintf(p.name, sizeof(p.name), "n%d", i);
            g_strlcpy(p.region, "ogre", sizeof(p.region));
            g_snprintf(p.peer_address, sizeof(p.peer_address), "%d", i);
            p.id = {GwName_Hash64(p.name), 1};
            p.fence_ms = 1500;
            p.seat_poll_ms = 900;
            p.seat_holdoff_ms = 4000;
            seats_[i] = GwSeats_Create(&p);
            GwSeats_Configure(seats_[i], 1);
        }
        for (int i = 0; i < 2; i++) {
            members_[i] = makeMembers(i, dead[i]);
        }
    }
    ~Explorer()
    {
        for (int i = 0; i < 2; i++) {
            GwSeats_Free(seats_[i]);
            GwMembers_Free(members_[i]);
        }
        GwActions_Free(&out_);
    }
    Explorer(const Explorer &) = delete;
    Explorer &operator=(const Explorer &) = delete;

    // Explores from the state in which process 0 holds the seat, one step at
    // a time, up to the depth or the first state with two users.
    void
    run()
    {
        State s;
        for (int i = 0; i < 2; i++) {
            const char *bytes = reinterpret_cast<const char *>(seats_[i]);
            s.seats[i].assign(bytes, bytes + kSize);
        }
        while (s.now_us < 5 * kStep) {
            s.now_us += kStep;
            for (int i = 0; i < (s.now_us < 5 * kStep ? 1 : 2); i++) {
                GwSeats_Tick(load(s, i), s.now_us, members_[i], &out_);
                store(s, i);
                while (!s.items[i].empty()) {
                    Item item = s.items[i].front();
                    s.items[i].erase(s.items[i].begin());
                    execute(s, item);
                    deliver(s, i, item);
                }
            }
        }
        addState(s);
        for (; done_ < depth_ && ok_ && !frontier_.empty(); done_++) {
            std::vector<State> level;
            level.swap(frontier_);
            for (const State &state : level) {
                if (!ok_) {
                    return;
                }
                step(state);
            }
        }
    }
    size_t
    states() const
    {
        return seen_.size();
    }
    int
    done() const
    {
        return done_;
    }
    bool
    ok() const
    {
        return ok_;
    }
    std::string
    events() const
    {
        return events_;
    }
    bool
    hasUser() const
    {
        return has_user_;
    }

  private:
    GwMembers *
    makeMembers(int i, bool dead)
    {
        const GwNodeParams &other = params_[1 - i];
        GwMembers *m = GwMembers_Create(&params_[i]);
        GwPiggyback piggyback{};
        GwInstanceListItem item{};
        g_strlcpy(item.name, other.name, GW_NAME_MAX);
        GwInstanceList list{dead ? 0U : 1U, &item};
        GwMembers_ApplyList(m, kStep, &list, &out_);
        if (!dead) {
            GwMessage *msg = GwMessage_Create(GW_MSG_ACK, other.id);
            GwMemberInfo &info = msg->u.heartbeat.updates[0];
            msg->u.heartbeat.update_count = 1;
            info.id = other.id;
            info.state = i == 1 ? GW_MEMBER_LEAVING : GW_MEMBER_ALIVE;
            info.region = GwName_Hash32("ogre");
            g_strlcpy(info.name, other.name, GW_NAME_MAX);
            GwMembers_Receive(m, kStep, msg, &piggyback, &out_);
            GwMessage_Free(msg);
        }
        GwActions_Clear(&out_);
        return m;
    }

    GwSeats *
    load(const State &s, int i)
    {
        memcpy(static_cast<void *>(seats_[i]), s.seats[i].data(), kSize);
        seats_[i]->rng = GwRng_Make(0);
        return seats_[i];
    }

    // Copies the process back into the state, with the messages it sent.
    void
    store(State &s, int i)
    {
        const char *bytes = reinterpret_cast<const char *>(seats_[i]);
        s.seats[i].assign(bytes, bytes + kSize);
        for (uint32_t k = 0; k < out_.count; k++) {
            const GwAction &action = out_.items[k];
            if (action.kind == GW_ACTION_TABLE) {
                const GwTableRequest *r = action.u.table;
                Item item{};
                item.list = r->op == GW_TABLE_LIST;
                item.token = r->token;
                item.version = r->rows[0].version;
                item.value = item.list ? "" : r->rows[0].value;
                s.items[i].push_back(item);
            }
            else if (action.kind == GW_ACTION_SEND) {
                const GwMessage *msg = action.u.send.message;
                if (s.inbox[1 - i].size() < 2) {
                    s.inbox[1 - i].push_back({msg->kind, msg->u.seat, 0});
                }
            }
        }
        GwActions_Clear(&out_);
    }

    void
    check(const State &s)
    {
        int users = 0;
        for (int i = 0; i < 2; i++) {
            const auto *seats =
                reinterpret_cast<const GwSeats *>(s.seats[i].data());
            users += !s.paused[i] && GwSeats_IsUsable(seats, 0);
        }
        has_user_ = has_user_ || users > 0;
        if (users > 1) {
            ok_ = false;
            events_ = s.events;
        }
    }

    static int64_t
    age(const State &s, int64_t at_us)
    {
        return at_us == 0 ? -1 : std::min(s.now_us - at_us, kAgeMax);
    }

    // A key of the state that is equal for equivalent states: times as ages,
    // versions and claims as differences, tokens as the request they match.
    std::string
    stateKey(const State &s) const
    {
        std::string d;
        auto add = [&d](int64_t v) {
            d.append(reinterpret_cast<const char *>(&v), sizeof(v));
        };
        GwRow row{};
        GwSeatRow table{};
        row.value = const_cast<char *>(s.value.c_str());
        row.len = static_cast<uint32_t>(s.value.size());
        row.version = s.version;
        if (s.version != 0) {
            GwSeatRow_Parse(&row, &table);
        }
        auto addRow = [&](const GwSeatRow &r) {
            add(r.version == 0 ? 1
                               : static_cast<int64_t>(r.version - s.version));
            add(static_cast<int64_t>(r.holder.node));
            add(static_cast<int64_t>(r.claim - table.claim));
            add(r.notice);
            add(static_cast<int64_t>(r.notice_by));
        };
        addRow(table);
        add(s.leaving);
        add(s.faults);
        for (int i = 0; i < 2; i++) {
            const auto *g =
                reinterpret_cast<const GwSeats *>(s.seats[i].data());
            const GwSeat &t = g->seats[0];
            add(s.paused[i]);
            add(age(s, s.read_us[i]));
            add(g->fenced);
            add(g->leaving);
            add(std::min<int64_t>(g->failed_reads, 2));
            add(age(s, g->last_event_us));
            add(g->fenced ? age(s, g->fence_us) : 0);
            add(g->next_list_us - s.now_us);
            add(g->list.token != 0 ? age(s, g->list.sent_us) : -1);
            add(t.state);
            add(t.contested);
            addRow(t.row);
            add(age(s, t.since_us));
            add(age(s, t.notice_us));
            add(age(s, t.stopped_us));
            add(t.released_claim == 0
                    ? 1
                    : static_cast<int64_t>(t.released_claim - table.claim));
            add(t.write.op);
            if (t.write.op != GW_SEAT_OP_NONE) {
                addRow(t.write.row);
                add(age(s, t.write.sent_us));
            }
            if (t.state == GW_SEAT_RELEASED) {
                add(t.offer.peers);
                add(t.offer.tries);
                add(age(s, t.offer.sent_us));
            }
            if (t.state == GW_SEAT_TAKING) {
                add(static_cast<int64_t>(t.take.version - s.version));
                add(static_cast<int64_t>(t.take.claim - table.claim));
                add(t.take.retry_us - s.now_us);
            }
            add(t.state == GW_SEAT_GIVEN ? age(s, t.given_us) : 0);
            add(static_cast<int64_t>(s.items[i].size()));
            for (const Item &item : s.items[i]) {
                add(static_cast<int64_t>(item.stage) | item.list << 4 |
                    item.waited << 8 | item.status << 16);
                add(item.token == g->list.token   ? 1
                    : item.token == t.write.token ? 2
                                                  : 3);
                add(static_cast<int64_t>(item.version - s.version));
                add(static_cast<int64_t>(std::hash<std::string>()(
                    relativeClaim(item.value, table.claim))));
            }
            add(static_cast<int64_t>(s.inbox[i].size()));
            for (const Delivery &delivery : s.inbox[i]) {
                add(delivery.kind | delivery.waited << 8);
                add(static_cast<int64_t>(delivery.seat.claim - table.claim));
                add(static_cast<int64_t>(delivery.seat.row_version -
                                         s.version));
            }
        }
        return d;
    }

    // A row's text with its claim as a difference.
    static std::string
    relativeClaim(const std::string &value, uint64_t claim)
    {
        if (value.empty()) {
            return value;
        }
        size_t from = value.find(' ', value.find(' ') + 1) + 1;
        size_t to = value.find(' ', from);
        uint64_t own = std::stoull(value.substr(from, to - from));
        return value.substr(0, from) + std::to_string(own - claim) +
               value.substr(to);
    }

    void
    addState(const State &s)
    {
        if (seen_.insert(stateKey(s)).second) {
            frontier_.push_back(s);
        }
    }

    // One step of time: the ticks, then each request, then each message.
    void
    step(const State &s)
    {
        for (int choice = 0; choice < 4 && ok_; choice++) {
            for (int stops = 0;
                 stops < (s.leaving || (choice & 1) != 0 ? 1 : 2); stops++) {
                State next = s;
                next.now_us += kStep;
                for (int i = 0; i < 2; i++) {
                    next.paused[i] = (choice >> i & 1) != 0;
                    next.faults += next.paused[i] && !s.paused[i];
                }
                next.faults += stops;
                next.events += "\n" + std::to_string(next.now_us / kStep) +
                               (next.paused[0] ? " 0 paused" : "") +
                               (next.paused[1] ? " 1 paused" : "") +
                               (stops != 0 ? " 0 stops" : "");
                if (next.faults > faults_) {
                    continue;
                }
                tickAll(next, stops != 0);
                processRequests(next, 0, 0);
            }
        }
    }

    // A process that resumes ticks before anything else, so both tick before
    // the check of usable seats.
    void
    tickAll(State &s, bool stops)
    {
        for (int i = 0; i < 2; i++) {
            if (s.paused[i]) {
                continue;
            }
            GwSeats_Tick(load(s, i), s.now_us, members_[i], &out_);
            if (i == 0 && stops) {
                GwSeats_HandOverAll(seats_[i], s.now_us);
                s.leaving = true;
            }
            GwSeats_Release(seats_[i], s.now_us, 0, members_[i], &out_);
            store(s, i);
        }
        check(s);
    }

    static void
    execute(State &s, Item &item)
    {
        item.stage = Stage::kAnswered;
        s.events += item.list ? "; read done" : "; write done";
        item.waited = 0;
        item.status = GW_TABLE_DONE;
        if (item.list) {
            item.value = s.value;
            item.version = s.version;
        }
        else if (item.version != s.version) {
            item.status = GW_TABLE_CONFLICT;
        }
        else {
            s.value = item.value;
            item.version = ++s.version;
        }
    }

    void
    deliver(State &s, int i, Item item)
    {
        GwRow row{};
        GwTableReply reply{};
        g_strlcpy(row.key, "seat/ogre/0000", sizeof(row.key));
        row.version = item.version;
        row.value = const_cast<char *>(item.value.c_str());
        row.len = static_cast<uint32_t>(item.value.size());
        reply.token = item.token;
        reply.status = item.status;
        reply.rows = &row;
        reply.row_count =
            item.status == GW_TABLE_DONE && item.version != 0 ? 1 : 0;
        if (item.list && item.status == GW_TABLE_DONE) {
            s.read_us[i] = s.now_us;
        }
        s.events += "; " + std::to_string(i) +
                    (item.list ? " reads " : " answered ") +
                    std::to_string(item.status) + " v" +
                    std::to_string(item.version) + " " + item.value;
        GwSeats_TableReply(load(s, i), s.now_us, &reply, members_[i], &out_);
        store(s, i);
        check(s);
    }

    // The host of a running process reports that no reply came.
    void
    loseReply(State &s, int i, Item item)
    {
        item.status = GW_TABLE_LOST;
        if (!s.paused[i]) {
            deliver(s, i, item);
        }
    }

    // A running process reads its rows at least every other step.
    bool
    mustRead(const State &s, int i, const Item &item) const
    {
        return item.list && !s.paused[i] &&
               s.now_us - s.read_us[i] >= 2 * kStep;
    }

    // Request k of process i and the ones after it.
    void
    processRequests(const State &s, int i, size_t k)
    {
        if (!ok_) {
            return;
        }
        if (i == 2) {
            deliverMessages(s, 0);
            return;
        }
        if (k >= s.items[i].size()) {
            processRequests(s, i + 1, 0);
            return;
        }
        const Item &item = s.items[i][k];
        bool must = mustRead(s, i, item);
        bool asked = item.stage == Stage::kAsked;
        if (!s.paused[i]) { // executed unless done, and answered
            State next = s;
            Item done = item;
            next.items[i].erase(next.items[i].begin() + static_cast<long>(k));
            if (asked) {
                execute(next, done);
            }
            deliver(next, i, done);
            processRequests(next, i, k);
        }
        if (must) {
            return;
        }
        bool faulty = s.faults < faults_;
        bool free = s.paused[i] || item.waited > 0;
        if (asked && (faulty || s.paused[i])) {
            State next = s; // executed, the reply delayed
            next.faults += s.paused[i] ? 0 : 1;
            execute(next, next.items[i][k]);
            processRequests(next, i, k + 1);
        }
        if (asked && !item.list && faulty) { // never executed
            State next = s;
            next.faults++;
            next.items[i].erase(next.items[i].begin() + static_cast<long>(k));
            loseReply(next, i, item);
            processRequests(next, i, k);
        }
        if ((item.waited < kWaitMax || s.paused[i]) && (faulty || free)) {
            State next = s; // delayed
            next.faults += free ? 0 : 1;
            next.items[i][k].waited = std::min(item.waited + 1, kWaitMax);
            processRequests(next, i, k + 1);
        }
        if (!asked && faulty) { // the reply is lost
            State next = s;
            next.faults++;
            next.items[i].erase(next.items[i].begin() + static_cast<long>(k));
            loseReply(next, i, item);
            processRequests(next, i, k);
        }
    }

    void
    deliverMessages(const State &s, int i)
    {
        if (i == 2) {
            addState(s);
            return;
        }
        if (s.inbox[i].empty()) {
            deliverMessages(s, i + 1);
            return;
        }
        State rest = s;
        Delivery delivery = rest.inbox[i].front();
        rest.inbox[i].erase(rest.inbox[i].begin());
        if (s.faults < faults_) { // lost
            State next = rest;
            next.faults++;
            deliverMessages(next, i + 1);
        }
        if (!s.paused[i]) {
            State next = rest;
            GwMessage *msg =
                GwMessage_Create(delivery.kind, params_[1 - i].id);
            msg->u.seat = delivery.seat;
            GwSeats_Receive(load(next, i), next.now_us, msg, members_[i],
                            &out_);
            GwMessage_Free(msg);
            store(next, i);
            check(next);
            deliverMessages(next, i + 1);
        }
        bool free = s.paused[i] || delivery.waited > 0;
        if (delivery.waited < kWaitMax && (free || s.faults < faults_)) {
            State next = s;
            next.faults += free ? 0 : 1;
            next.inbox[i].front().waited++;
            deliverMessages(next, i + 1);
        }
    }

    int depth_;
    int faults_;
    int done_ = 0;
    bool ok_ = true;
    bool has_user_ = false;
    std::string events_; // events that led to two users
    GwNodeParams params_[2];
    GwSeats *seats_[2];
    GwMembers *members_[2];
    GwActions out_{};
    std::unordered_set<std::string> seen_;
    std::vector<State> frontier_;
};

} // namespace

int
main(int argc, char **argv)
{
    bool all = true;
    int depth = argc > 1 ? std::atoi(argv[1]) : 20;
    int faults = argc > 2                 ? std::atoi(argv[2])
                 : std::getenv("GW_LONG") ? 3
                                          : 2;

    for (int view = 0; view < 4; view++) {
        Explorer explorer((view & 1) != 0, (view & 2) != 0, depth, faults);
        explorer.run();
        std::printf("0 sees 1 %s, 1 sees 0 %s: all sequences of %d steps, "
                    "up to %d faults, %zu states: %s\n",
                    (view & 1) != 0 ? "dead" : "present",
                    (view & 2) != 0 ? "dead" : "leaving", explorer.done(),
                    faults, explorer.states(),
                    explorer.ok() ? "at most one user" : "TWO USERS");
        if (!explorer.ok()) {
            std::printf("%s\n", explorer.events().c_str());
        }
        all = all && explorer.ok() && explorer.hasUser();
    }
    return all ? 0 : 1;
}
