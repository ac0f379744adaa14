// Seats under faults: several processes of one region share a table. Replies
// are lost or late, writes take effect long after their timeout, processes are
// paused for longer than the hold-off, crash, restart and stop; the instance
// list lacks live processes and peers are unreachable; offers of seats are
// lost, duplicated and late. At no time may two running processes find the
// same seat usable. A paused process does nothing; when it resumes, it ticks
// first.
#include "c_api.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace {

constexpr int64_t kMs = 1000;
constexpr int64_t kSecond = 1000 * kMs;

// A live holder may lose its seat only if the instance list is wrong, peers do
// not reach it, and it does not reach the table, all at once. Each plan
// excludes one of these: a wrong list, or a table out of reach.
enum class Excluded { kList, kTable };

struct Plan {
    uint64_t seed;
    uint32_t processes;
    uint32_t seats;
    uint32_t loss_percent;
    uint32_t pauses_percent; // chance of a pause per process and second
    uint32_t churn_percent;  // chance of a crash, restart or stop
    uint32_t late_percent;
    Excluded excluded;
};

void
showValue(const Plan &p, std::ostream &os)
{
    os << "seed=" << p.seed << " processes=" << p.processes
       << " seats=" << p.seats << " loss=" << p.loss_percent
       << " pauses=" << p.pauses_percent << " churn=" << p.churn_percent
       << " late=" << p.late_percent
       << " excluded=" << (p.excluded == Excluded::kList ? "list" : "table");
}

struct Process {
    GwNodeParams params{};
    GwSeats *seats = nullptr;
    GwMembers *members = nullptr;
    bool up = false;
    bool paused = false;
    bool leaving = false;
    bool table_cut = false;
    int64_t wake_us = 0;
    int64_t read_us = 0; // last read that was answered
    std::map<uint32_t, int64_t> release_us;
};

struct Event {
    int64_t at_us;
    uint64_t order;
    uint32_t process;
    uint64_t start;
    std::shared_ptr<GwTableRequest> request; // to be executed
    std::shared_ptr<GwTableReply> reply;     // to be delivered
    std::shared_ptr<GwMessage> message;
    bool
    operator<(const Event &other) const
    {
        return at_us != other.at_us ? at_us > other.at_us
                                    : order > other.order;
    }
};

class Model {
  public:
    explicit Model(const Plan &plan)
        : plan_(plan), rng_(GwRng_Make(plan.seed)),
          table_(GwFakeTable_Create()), processes_(plan.processes)
    {
        for (uint32_t i = 0; i < plan.processes; i++) {
            start(i, 1);
        }
        for (auto &p : processes_) {
            setView(p);
        }
    }
    ~Model()
    {
        for (auto &p : processes_) {
            GwSeats_Free(p.seats);
            GwMembers_Free(p.members);
        }
        GwFakeTable_Free(table_);
        GwActions_Free(&out_);
    }
    Model(const Model &) = delete;
    Model &operator=(const Model &) = delete;

    // Runs for a time, with or without faults; false once two processes may
    // use one seat.
    bool
    run(int64_t for_us, bool faults)
    {
        faults_ = faults;
        int64_t end_us = now_us_ + for_us;
        while (now_us_ < end_us && ok_) {
            now_us_ += 50 * kMs;
            deliver();
            for (uint32_t i = 0; i < processes_.size() && ok_; i++) {
                step(i);
            }
            if (now_us_ % kSecond == 0) {
                injectFaults();
            }
        }
        return ok_;
    }

    // Ends all faults: paused processes resume, crashed ones stay down and
    // are not in the list.
    void
    endFaults()
    {
        faults_ = false;
        for (auto &p : processes_) {
            p.table_cut = false;
            p.wake_us = 0;
        }
        for (auto &p : processes_) {
            setView(p);
        }
    }

    // Whether each seat has exactly one user.
    bool
    everySeatHasOneUser() const
    {
        uint32_t live = 0;
        for (const auto &p : processes_) {
            live += p.up && !p.leaving ? 1 : 0;
        }
        for (uint32_t seat = 0; seat < plan_.seats && live > 0; seat++) {
            if (countUsers(seat) != 1) {
                return false;
            }
        }
        return true;
    }

    std::string
    failure() const
    {
        return failure_;
    }

  private:
    void
    start(uint32_t i, uint64_t nonce)
    {
        Process &p = processes_[i];
        GwNodeParams params{};
        GwNodeParams &q = params;
        g_snprintf(q.name, sizeof(q.name), "n%u", i);
        g_snprintf(q.region, sizeof(q.region), "ogre");
        g_snprintf(q.peer_address, sizeof(q.peer_address), "%u", i);
        q.id = {GwName_Hash64(q.name), nonce};
        q.seed = GwRng_Next(&rng_);
        q.probe_period_ms = 500;
        q.probe_timeout_ms = 250;
        q.suspect_timeout_ms = 1500;
        q.indirect_probes = 1;
        q.fence_ms = 2000;
        q.seat_poll_ms = 3000;
        q.seat_holdoff_ms = 15000;
        GwSeats_Free(p.seats);
        GwMembers_Free(p.members);
        p = Process{};
        p.params = params;
        p.seats = GwSeats_Create(&params);
        p.members = GwMembers_Create(&params);
        p.up = true;
        p.read_us = now_us_;
        GwSeats_Configure(p.seats, plan_.seats);
    }

    // Sets the members and the list as seen by a process. Under faults, live
    // processes may be missing from the members, and from the list where the
    // plan allows a wrong list.
    void
    setView(Process &viewer)
    {
        GwPiggyback piggyback{};
        std::vector<GwInstanceListItem> listed;
        bool wrong = faults_ && plan_.excluded == Excluded::kTable;
        GwMembers_Free(viewer.members);
        viewer.members = GwMembers_Create(&viewer.params);
        for (auto &p : processes_) {
            if (!p.up) {
                continue;
            }
            if (!(wrong && chance(40))) {
                GwInstanceListItem item{};
                g_strlcpy(item.name, p.params.name, GW_NAME_MAX);
                listed.push_back(item);
            }
            if (&p != &viewer && !(faults_ && chance(40))) {
                addMember(viewer, p, piggyback);
            }
        }
        GwInstanceList list{static_cast<uint32_t>(listed.size()),
                            listed.data()};
        GwMembers_ApplyList(viewer.members, now_us_, &list, &out_);
        GwActions_Clear(&out_);
    }

    void
    addMember(Process &viewer, const Process &p, const GwPiggyback &piggyback)
    {
        GwMessage *msg = GwMessage_Create(GW_MSG_ACK, p.params.id);
        GwMemberInfo info{};
        info.id = p.params.id;
        info.state = p.leaving ? GW_MEMBER_LEAVING : GW_MEMBER_ALIVE;
        info.region = GwName_Hash32(p.params.region);
        g_strlcpy(info.name, p.params.name, GW_NAME_MAX);
        g_strlcpy(info.peer_address, p.params.peer_address, GW_ADDR_MAX);
        msg->u.heartbeat.update_count = 1;
        msg->u.heartbeat.updates[0] = info;
        GwMembers_Receive(viewer.members, now_us_, msg, &piggyback, &out_);
        GwMessage_Free(msg);
        GwActions_Clear(&out_);
    }

    bool
    chance(uint32_t percent)
    {
        return GwRng_Below(&rng_, 100) < percent;
    }

    int64_t
    delay()
    {
        int64_t base = GwRng_Jitter(&rng_, 2 * kMs, 100 * kMs);
        return faults_ && chance(plan_.late_percent)
                   ? GwRng_Jitter(&rng_, base, 25 * kSecond)
                   : base;
    }

    // Pauses, crashes, restarts, stops, table outages and changes of view.
    void
    injectFaults()
    {
        for (uint32_t i = 0; i < processes_.size(); i++) {
            Process &p = processes_[i];
            if (!p.up) {
                if (faults_ && chance(10)) {
                    start(i, p.params.id.start + 1);
                }
                continue;
            }
            if (chance(30)) {
                setView(p);
            }
            if (!faults_) {
                continue;
            }
            if (!p.paused && chance(plan_.pauses_percent)) {
                p.paused = true;
                p.wake_us =
                    now_us_ + GwRng_Jitter(&rng_, 500 * kMs, 40 * kSecond);
            }
            if (chance(plan_.churn_percent)) {
                p.up = false;
                p.paused = false;
            }
            else if (!p.leaving && chance(plan_.churn_percent)) {
                p.leaving = true;
                GwSeats_HandOverAll(p.seats, now_us_);
            }
            if (plan_.excluded == Excluded::kList && chance(10)) {
                p.table_cut = !p.table_cut;
            }
        }
    }

    void
    step(uint32_t i)
    {
        Process &p = processes_[i];
        if (p.paused && now_us_ >= p.wake_us) {
            p.paused = false;
        }
        if (!p.up || p.paused) {
            return;
        }
        GwSeats_Tick(p.seats, now_us_, p.members, &out_);
        runActions(i);
        for (uint32_t seat = 0; seat < plan_.seats; seat++) {
            if (!GwSeats_IsHandingOver(p.seats, seat)) {
                p.release_us.erase(seat);
                continue;
            }
            auto [it, added] = p.release_us.emplace(
                seat, now_us_ + GwRng_Jitter(&rng_, 0, 3 * kSecond));
            if (!added && now_us_ >= it->second) {
                GwSeats_Release(p.seats, now_us_, seat, p.members, &out_);
                runActions(i);
            }
        }
        if (p.leaving && GwSeats_HeldCount(p.seats) == 0) {
            p.up = false;
        }
    }

    uint32_t
    countUsers(uint32_t seat) const
    {
        uint32_t count = 0;
        for (const auto &p : processes_) {
            count += p.up && !p.paused && GwSeats_IsUsable(p.seats, seat);
        }
        return count;
    }

    void
    check(uint32_t i)
    {
        for (uint32_t seat = 0; seat < plan_.seats; seat++) {
            if (countUsers(seat) > 1) {
                ok_ = false;
                failure_ = "seat " + std::to_string(seat) +
                           " has two users after a step of process " +
                           std::to_string(i) + " at " +
                           std::to_string(now_us_ / kMs) + " ms";
            }
        }
    }

    void
    push(Event event)
    {
        event.order = order_++;
        events_.push(event);
    }

    bool
    isLost(const Process &p, GwTableOp op)
    {
        // Where the table stays reachable, a holder reads its rows within
        // the hold-off.
        bool must_read = plan_.excluded == Excluded::kTable &&
                         op == GW_TABLE_LIST &&
                         now_us_ - p.read_us > 5 * kSecond;
        return faults_ && !must_read &&
               (p.table_cut || chance(plan_.loss_percent));
    }

    void
    runActions(uint32_t i)
    {
        for (uint32_t k = 0; k < out_.count; k++) {
            GwAction *action = &out_.items[k];
            Event event{};
            event.start = processes_[i].params.id.start;
            event.process = i;
            if (action->kind == GW_ACTION_TABLE) {
                event.request.reset(action->u.table, freeRequest);
                action->u.table = nullptr;
                sendRequest(event);
            }
            else if (action->kind == GW_ACTION_SEND) {
                std::shared_ptr<GwMessage> msg(action->u.send.message,
                                               GwMessage_Free);
                action->u.send.message = nullptr;
                event.message = msg;
                event.process =
                    static_cast<uint32_t>(std::stoul(action->u.send.address));
                event.start = 0;
                for (int copy = 0; copy < (faults_ ? 2 : 1); copy++) {
                    if (!faults_ || !chance(plan_.loss_percent)) {
                        event.at_us = now_us_ + delay();
                        push(event);
                    }
                }
            }
        }
        GwActions_Clear(&out_);
        check(i);
    }

    static void
    freeRequest(GwTableRequest *request)
    {
        for (uint32_t i = 0; i < request->row_count; i++) {
            g_free(request->rows[i].value);
        }
        g_free(request);
    }

    // A lost request never arrives, or takes effect without a reply; a late
    // one may arrive long after its timeout.
    void
    sendRequest(Event event)
    {
        Process &p = processes_[event.process];
        bool must_read = plan_.excluded == Excluded::kTable &&
                         event.request->op == GW_TABLE_LIST &&
                         now_us_ - p.read_us > 5 * kSecond;
        if (isLost(p, event.request->op)) {
            Event lost = event;
            lost.reply.reset(GwFakeTable_Lost(event.request.get()),
                             GwFakeTable_FreeReply);
            lost.request.reset();
            lost.at_us = now_us_ + 500 * kMs;
            push(lost);
            if (chance(50)) {
                return;
            }
            event.start = UINT64_MAX; // takes effect, its reply is lost
        }
        event.at_us = now_us_ + (must_read ? 5 * kMs : delay());
        push(event);
    }

    void
    deliver()
    {
        while (ok_ && !events_.empty() && events_.top().at_us <= now_us_) {
            Event event = events_.top();
            events_.pop();
            if (event.request) {
                execute(event);
                continue;
            }
            Process &p = processes_[event.process];
            if (p.up && p.paused) {
                event.at_us = std::max(p.wake_us, now_us_ + 50 * kMs);
                push(event);
                continue;
            }
            if (!p.up ||
                (event.start != 0 && event.start != p.params.id.start)) {
                continue;
            }
            if (event.reply) {
                if (event.reply->status == GW_TABLE_DONE &&
                    (event.reply->token >> 40 & 0xffff) == 0) {
                    p.read_us = now_us_;
                }
                GwSeats_TableReply(p.seats, now_us_, event.reply.get(),
                                   p.members, &out_);
            }
            else {
                GwSeats_Receive(p.seats, now_us_, event.message.get(),
                                p.members, &out_);
            }
            runActions(event.process);
        }
    }

    void
    execute(Event event)
    {
        GwTableReply *reply = GwFakeTable_Execute(table_, event.request.get());
        event.reply.reset(reply, GwFakeTable_FreeReply);
        if (event.start == UINT64_MAX) {
            return;
        }
        bool list = event.request->op == GW_TABLE_LIST;
        event.request.reset();
        event.at_us =
            now_us_ +
            (list && plan_.excluded == Excluded::kTable ? 5 * kMs : delay());
        push(event);
    }

    Plan plan_;
    GwRng rng_;
    GwFakeTable *table_;
    std::vector<Process> processes_;
    std::priority_queue<Event> events_;
    GwActions out_{};
    int64_t now_us_ = kSecond;
    uint64_t order_ = 0;
    bool faults_ = false;
    bool ok_ = true;
    std::string failure_;
};

rc::Gen<Plan>
genPlan()
{
    return rc::gen::build<Plan>(
        rc::gen::set(&Plan::seed, rc::gen::arbitrary<uint64_t>()),
        rc::gen::set(&Plan::processes, rc::gen::inRange<uint32_t>(2, 6)),
        rc::gen::set(&Plan::seats, rc::gen::inRange<uint32_t>(1, 8)),
        rc::gen::set(&Plan::loss_percent, rc::gen::inRange<uint32_t>(0, 50)),
        rc::gen::set(&Plan::pauses_percent, rc::gen::inRange<uint32_t>(0, 8)),
        rc::gen::set(&Plan::churn_percent, rc::gen::inRange<uint32_t>(0, 3)),
        rc::gen::set(&Plan::late_percent, rc::gen::inRange<uint32_t>(0, 30)),
        rc::gen::set(&Plan::excluded,
                     rc::gen::element(Excluded::kList, Excluded::kTable)));
}

} // namespace

int
main()
{
    bool ok = rc::check("no seat has two users", [] {
        Plan plan = *rc::gen::noShrink(genPlan());
        RC_TAG(plan.excluded == Excluded::kList ? "list correct"
                                                : "table reachable");
        for (int run = 0; run < 8; run++) {
            plan.seed++;
            Model model(plan);
            model.run(8 * kSecond, false);
            if (!model.run(240 * kSecond, true)) {
                RC_FAIL(model.failure());
            }
        }
    });
    ok &= rc::check("after the faults every seat has a user", [] {
        Plan plan = *rc::gen::noShrink(genPlan());
        Model model(plan);
        RC_ASSERT(model.run(100 * kSecond, true));
        model.endFaults();
        bool safe = model.run(120 * kSecond, false);
        if (!safe) {
            RC_FAIL(model.failure());
        }
        RC_ASSERT(model.everySeatHasOneUser());
    });
    ok &= rc::check("units are spread evenly over the seats", [] {
        auto owner = *rc::gen::arbitrary<uint64_t>();
        auto seats = *rc::gen::inRange<uint32_t>(1, GW_SEATS_MAX + 1);
        auto count = *rc::gen::inRange<uint32_t>(1, 600);
        std::vector<uint32_t> units(seats);
        for (uint32_t i = 0; i < count; i++) {
            uint32_t seat = GwSeat_OfUnit(owner, i, count, seats);
            RC_ASSERT(seat < seats);
            units[seat]++;
            RC_ASSERT(seat == GwSeat_OfUnit(owner, i, count + 1, seats));
        }
        auto [low, high] = std::minmax_element(units.begin(), units.end());
        RC_ASSERT(*high - *low <= 1);
    });
    return ok ? 0 : 1;
}
