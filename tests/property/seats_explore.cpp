// Every course of events, up to a depth, of two processes and one seat: the
// real GwSeats, all choices of the world enumerated. A unit of time is one
// second. In each unit a process runs or is paused; a request is carried out
// and answered, carried out with the answer held or lost, never carried out,
// or kept on its way; an offer of the seat is delivered, lost or kept; process
// 0 may leave. All but running and prompt answers counts as a fault, and all
// courses of up to so many faults are gone through. Each process may hold the
// other gone and unlisted, or there.
//
// As in the design, the list, silence and the table don't all fail for a
// running holder: one that runs reads its rows at least every other unit.
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

constexpr int64_t kUnit = 1000000;
constexpr int64_t kCap = 12 * kUnit; // older is alike
constexpr size_t kSize = offsetof(GwSeats, seats) + sizeof(GwSeat);
constexpr int kWaitMax = 2;

enum class Stage : uint8_t { kAsked, kAnswered };

struct Item {
    Stage stage;
    bool list;
    int waited;
    uint64_t token;
    std::string value;    // written, or read
    uint64_t version = 0; // expected, or read; or the new one
    GwTableStatus status = GW_TABLE_LOST;
};

struct Mail {
    GwMessageKind kind;
    GwSeatHandover seat;
    int waited;
};

struct State {
    std::vector<char> seats[2];
    std::vector<Item> items[2];
    std::vector<Mail> mail[2]; // to that process
    bool paused[2] = {false, false};
    int64_t read_us[2] = {0, 0};
    bool leaving = false; // process 0
    std::string value;
    uint64_t version = 0;
    int64_t now_us = kUnit;
    int faults = 0; // so far
    std::string trail;
};

class Explorer {
  public:
    Explorer(bool gone0, bool gone1, int depth, int faults)
        : depth_(depth), faults_(faults)
    {
        const bool gone[2] = {gone0, gone1};
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
            members_[i] = makeMembers(i, gone[i]);
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

    // Goes on from where process 0 holds the seat, a unit at a time, until the
    // depth, or two users.
    void
    run()
    {
        State s;
        for (int i = 0; i < 2; i++) {
            const char *bytes = reinterpret_cast<const char *>(seats_[i]);
            s.seats[i].assign(bytes, bytes + kSize);
        }
        while (s.now_us < 5 * kUnit) {
            s.now_us += kUnit;
            for (int i = 0; i < (s.now_us < 5 * kUnit ? 1 : 2); i++) {
                GwSeats_Tick(load(s, i), s.now_us, members_[i], &out_);
                store(s, i);
                while (!s.items[i].empty()) {
                    Item item = s.items[i].front();
                    s.items[i].erase(s.items[i].begin());
                    apply(s, item);
                    deliver(s, i, item);
                }
            }
        }
        reach(s);
        for (; done_ < depth_ && ok_ && !frontier_.empty(); done_++) {
            std::vector<State> level;
            level.swap(frontier_);
            for (const State &state : level) {
                if (!ok_) {
                    return;
                }
                unit(state);
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
    trail() const
    {
        return trail_;
    }
    bool
    used() const
    {
        return used_;
    }

  private:
    GwMembers *
    makeMembers(int i, bool gone)
    {
        const GwNodeParams &other = params_[1 - i];
        GwMembers *m = GwMembers_Create(&params_[i]);
        GwCargo cargo{};
        GwListed item{};
        g_strlcpy(item.name, other.name, GW_NAME_MAX);
        GwListEvent list{gone ? 0U : 1U, &item};
        GwMembers_Listed(m, kUnit, &list, &out_);
        if (!gone) {
            GwMessage *msg = GwMessage_Create(GW_MSG_ACK, other.id);
            GwMemberInfo &info = msg->u.heartbeat.updates[0];
            msg->u.heartbeat.update_count = 1;
            info.id = other.id;
            info.state = i == 1 ? GW_MEMBER_LEAVING : GW_MEMBER_ALIVE;
            info.region = GwName_Hash32("ogre");
            g_strlcpy(info.name, other.name, GW_NAME_MAX);
            GwMembers_Receive(m, kUnit, msg, &cargo, &out_);
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

    // Copies the process back and takes over what it sent.
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
                if (s.mail[1 - i].size() < 2) {
                    s.mail[1 - i].push_back({msg->kind, msg->u.seat, 0});
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
            users += !s.paused[i] && GwSeats_Usable(seats, 0);
        }
        used_ = used_ || users > 0;
        if (users > 1) {
            ok_ = false;
            trail_ = s.trail;
        }
    }

    static int64_t
    age(const State &s, int64_t at_us)
    {
        return at_us == 0 ? -1 : std::min(s.now_us - at_us, kCap);
    }

    // The state without what makes no difference: times as ages, versions and
    // claims as distances, tokens as what they match.
    std::string
    digest(const State &s) const
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
                    relative(item.value, table.claim))));
            }
            add(static_cast<int64_t>(s.mail[i].size()));
            for (const Mail &mail : s.mail[i]) {
                add(mail.kind | mail.waited << 8);
                add(static_cast<int64_t>(mail.seat.claim - table.claim));
                add(static_cast<int64_t>(mail.seat.row_version - s.version));
            }
        }
        return d;
    }

    // A row's text with its claim as a distance.
    static std::string
    relative(const std::string &value, uint64_t claim)
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
    reach(const State &s)
    {
        if (seen_.insert(digest(s)).second) {
            frontier_.push_back(s);
        }
    }

    // One unit of time: first who runs, then each request, then each mail.
    void
    unit(const State &s)
    {
        for (int choice = 0; choice < 4 && ok_; choice++) {
            for (int leave = 0;
                 leave < (s.leaving || (choice & 1) != 0 ? 1 : 2); leave++) {
                State next = s;
                next.now_us += kUnit;
                for (int i = 0; i < 2; i++) {
                    next.paused[i] = (choice >> i & 1) != 0;
                    next.faults += next.paused[i] && !s.paused[i];
                }
                next.faults += leave;
                next.trail += "\n" + std::to_string(next.now_us / kUnit) +
                              (next.paused[0] ? " 0 paused" : "") +
                              (next.paused[1] ? " 1 paused" : "") +
                              (leave != 0 ? " 0 leaves" : "");
                if (next.faults > faults_) {
                    continue;
                }
                ticks(next, leave != 0);
                requests(next, 0, 0);
            }
        }
    }

    // Whoever wakes ticks before it does anything else, so both have ticked
    // before anybody is asked what it may use.
    void
    ticks(State &s, bool leave)
    {
        for (int i = 0; i < 2; i++) {
            if (s.paused[i]) {
                continue;
            }
            GwSeats_Tick(load(s, i), s.now_us, members_[i], &out_);
            if (i == 0 && leave) {
                GwSeats_Leave(seats_[i], s.now_us);
                s.leaving = true;
            }
            GwSeats_Release(seats_[i], s.now_us, 0, members_[i], &out_);
            store(s, i);
        }
        check(s);
    }

    static void
    apply(State &s, Item &item)
    {
        item.stage = Stage::kAnswered;
        s.trail += item.list ? "; read done" : "; write done";
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
        s.trail += "; " + std::to_string(i) +
                   (item.list ? " reads " : " answered ") +
                   std::to_string(item.status) + " v" +
                   std::to_string(item.version) + " " + item.value;
        GwSeats_TableReply(load(s, i), s.now_us, &reply, members_[i], &out_);
        store(s, i);
        check(s);
    }

    // A process that runs is told by its host that no answer came.
    void
    lose(State &s, int i, Item item)
    {
        item.status = GW_TABLE_LOST;
        if (!s.paused[i]) {
            deliver(s, i, item);
        }
    }

    // A process that runs reads its rows at least every other unit.
    bool
    mustRead(const State &s, int i, const Item &item) const
    {
        return item.list && !s.paused[i] &&
               s.now_us - s.read_us[i] >= 2 * kUnit;
    }

    // Item k of process i, and those after it.
    void
    requests(const State &s, int i, size_t k)
    {
        if (!ok_) {
            return;
        }
        if (i == 2) {
            mails(s, 0);
            return;
        }
        if (k >= s.items[i].size()) {
            requests(s, i + 1, 0);
            return;
        }
        const Item &item = s.items[i][k];
        bool must = mustRead(s, i, item);
        bool asked = item.stage == Stage::kAsked;
        if (!s.paused[i]) { // carried out if need be, and answered
            State next = s;
            Item done = item;
            next.items[i].erase(next.items[i].begin() + static_cast<long>(k));
            if (asked) {
                apply(next, done);
            }
            deliver(next, i, done);
            requests(next, i, k);
        }
        if (must) {
            return;
        }
        bool faulty = s.faults < faults_;
        bool free = s.paused[i] || item.waited > 0;
        if (asked && (faulty || s.paused[i])) {
            State next = s; // carried out, the answer held
            next.faults += s.paused[i] ? 0 : 1;
            apply(next, next.items[i][k]);
            requests(next, i, k + 1);
        }
        if (asked && !item.list && faulty) { // never carried out
            State next = s;
            next.faults++;
            next.items[i].erase(next.items[i].begin() + static_cast<long>(k));
            lose(next, i, item);
            requests(next, i, k);
        }
        if ((item.waited < kWaitMax || s.paused[i]) && (faulty || free)) {
            State next = s; // on its way
            next.faults += free ? 0 : 1;
            next.items[i][k].waited = std::min(item.waited + 1, kWaitMax);
            requests(next, i, k + 1);
        }
        if (!asked && faulty) { // the answer is lost
            State next = s;
            next.faults++;
            next.items[i].erase(next.items[i].begin() + static_cast<long>(k));
            lose(next, i, item);
            requests(next, i, k);
        }
    }

    void
    mails(const State &s, int i)
    {
        if (i == 2) {
            reach(s);
            return;
        }
        if (s.mail[i].empty()) {
            mails(s, i + 1);
            return;
        }
        State rest = s;
        Mail mail = rest.mail[i].front();
        rest.mail[i].erase(rest.mail[i].begin());
        if (s.faults < faults_) { // lost
            State next = rest;
            next.faults++;
            mails(next, i + 1);
        }
        if (!s.paused[i]) {
            State next = rest;
            GwMessage *msg = GwMessage_Create(mail.kind, params_[1 - i].id);
            msg->u.seat = mail.seat;
            GwSeats_Receive(load(next, i), next.now_us, msg, members_[i],
                            &out_);
            GwMessage_Free(msg);
            store(next, i);
            check(next);
            mails(next, i + 1);
        }
        bool free = s.paused[i] || mail.waited > 0;
        if (mail.waited < kWaitMax && (free || s.faults < faults_)) {
            State next = s;
            next.faults += free ? 0 : 1;
            next.mail[i].front().waited++;
            mails(next, i + 1);
        }
    }

    int depth_;
    int faults_;
    int done_ = 0;
    bool ok_ = true;
    bool used_ = false;
    std::string trail_; // how two users came about
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
        std::printf("0 finds 1 %s, 1 finds 0 %s: all courses of %d units, "
                    "up to %d faults, %zu states: %s\n",
                    (view & 1) != 0 ? "gone" : "there",
                    (view & 2) != 0 ? "gone" : "leaving", explorer.done(),
                    faults, explorer.states(),
                    explorer.ok() ? "one user at most" : "TWO USERS");
        if (!explorer.ok()) {
            std::printf("%s\n", explorer.trail().c_str());
        }
        all = all && explorer.ok() && explorer.used();
    }
    return all ? 0 : 1;
}
