// Simulates many entries that share the slots of a service in three regions,
// on virtual time: entries measure their demand and exchange it along the
// aggregators of their failure domains, over links that lose and delay
// reports. The checks follow the rule of what is worth most to callers (a
// greedy choice among the same arrivals with full knowledge) and know nothing
// about the mechanism. Servers are not simulated: a slot is in use while an
// admitted request's slot time lasts.
// GW_LONG=1 runs more seeds; GW_SIZE=88, GW_FAULT=loss and GW_SEED=7 run one
// size, fault or seed.
#include <rapidcheck.h>

#include <glib.h>

extern "C" {
#include "common/rng.h"
#include "shortage/shortage.h"
}

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <vector>

namespace {

constexpr int64_t kMs = 1000;
constexpr int64_t kS = 1000 * kMs;
constexpr int64_t kTick = 10 * kMs;
constexpr int64_t kReportPeriod = 500 * kMs;
constexpr int64_t kTotalPeriod = 250 * kMs;
constexpr int64_t kCapacityPeriod = 50 * kMs;
constexpr int64_t kBusyAge = 150 * kMs; // what entries know of slots in use
constexpr int64_t kDemandLife = 2 * kS;
constexpr int64_t kSilence = 1 * kS; // until a dead entry is noticed
constexpr int64_t kFrom = 4 * kS;    // measured from here on
constexpr int64_t kFaultFrom = 6 * kS;
constexpr int64_t kFaultTo = 10 * kS;
constexpr int64_t kEnd = 14 * kS;
constexpr int64_t kWindow = 2 * kS;
constexpr uint32_t kRegions = 3;
constexpr uint32_t kDomains = 6;
constexpr double kSlotShare[kRegions] = {0.5, 0.4, 0.1};

// Bounds of docs/design/overload-and-large-answers.md, section 3.
constexpr double kValueCalm = 0.90;
constexpr double kValueFaults = 0.80;
constexpr double kWorkMax = 1.10;
constexpr uint32_t kTurnsMax = 2;
// Before and after a burst. At 0.7 a region of 117 slots was short by itself,
// with 107 of them in use.
constexpr double kCalmLoad = 0.6;

enum Fault { CALM, LOSS, LATE, AGGREGATOR, PARTITION, BURST, FAULT_COUNT };
const char *const kFaultNames[] = {"calm",       "loss",      "late",
                                   "aggregator", "partition", "burst"};
enum Service { DESK, SHELF, SERVICE_COUNT }; // SHELF is never short

struct Size {
    uint32_t entries;
    double slots;
    uint32_t seeds;
    uint32_t longSeeds;
};
constexpr Size kSizes[] = {{12, 1170, 4, 30},
                           {88, 1170, 2, 30},
                           {119, 1980, 1, 20},
                           {300, 4200, 1, 8}};
constexpr double kLoads[] = {1.3, 2, 4};

struct Kind {
    uint32_t priority;
    int coldMs;
    int warmPercent;
    int latePercent;
    int weight; // by requests
};

struct Request {
    int64_t atUs;
    uint32_t region;
    uint32_t level;
    double value;
    double slotUs;
    bool isReturn;
};

struct Message {
    int64_t atUs;
    uint32_t from;
    uint32_t to;
    bool isTotal;
    std::vector<GwDemand> demand;
    bool
    operator>(const Message &other) const
    {
        return atUs > other.atUs;
    }
};

struct Known {
    int64_t asOfUs;
    std::vector<GwDemand> demand;
};

struct Entry {
    GwDemandMeter *meter = GwDemandMeter_Create();
    GwShortage *shortage = GwShortage_Create();
    uint32_t domain = 0;
    int64_t phaseUs = 0;
    std::map<uint32_t, Known> reports; // by sender
    double credit[kRegions][GW_SHORTAGE_LEVELS] = {};
    // Of the threshold by region: for the check of its changes of direction.
    std::array<uint32_t, kRegions> threshold{};
    std::array<int, kRegions> direction{};
    std::array<std::deque<int64_t>, kRegions> turns;

    Entry() = default;
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;
    ~Entry()
    {
        GwDemandMeter_Free(meter);
        GwShortage_Free(shortage);
    }
};

struct Case {
    Size size;
    double load;
    Fault fault;
    uint64_t seed;
    std::vector<Kind> kinds;
};

// What came of a run.
struct Outcome {
    double value = 0; // of the admitted / of the best choice
    double work = 0;  // most work admitted in a window / capacity
    uint32_t turns = 0;
    uint64_t refused = 0;
    uint64_t refusedAfterBurst = 0;
    uint64_t refusedOfShelf = 0;
};

class Fleet {
  public:
    explicit Fleet(const Case &c)
        : case_(c), rng_(GwRng_Make(c.seed)), entries_(c.size.entries)
    {
        for (uint32_t i = 0; i < entries_.size(); i++) {
            entries_[i].domain = i % kDomains;
            entries_[i].phaseUs = below(kReportPeriod / kTick) * kTick;
        }
        dead_ = below(kDomains); // the first of its failure domain
        cut_ = below(kRegions);
        for (const Kind &kind : case_.kinds) {
            double warm = kind.warmPercent / 100.0;
            weights_ += kind.weight;
            meanSlotUs_ += kind.weight * kind.coldMs * kMs *
                           (warm * 0.3 + 1 - warm) * (0.97 + 0.03 * 7);
        }
        meanSlotUs_ /= weights_;
    }

    Outcome
    run()
    {
        for (now_ = 0; now_ < kEnd; now_ += kTick) {
            deliver();
            for (uint32_t i = 0; i < entries_.size(); i++) {
                if (isAlive(i)) {
                    exchange(i);
                }
            }
            endRuns();
            if (now_ % kCapacityPeriod == 0) {
                putCapacity();
                watchThresholds();
            }
            takeReturns();
            arrive(DESK, loadNow() * case_.size.slots);
            arrive(SHELF, 0.6 * shelfSlots());
        }
        outcome_.value = admittedValue() / bestValue();
        outcome_.work = mostWork();
        return outcome_;
    }

  private:
    Case case_;
    GwRng rng_;
    std::vector<Entry> entries_;
    uint32_t dead_;
    uint32_t cut_;
    int64_t now_ = 0;
    double weights_ = 0;
    double meanSlotUs_ = 0;
    double owed_[SERVICE_COUNT] = {};
    std::priority_queue<Message, std::vector<Message>, std::greater<>> sent_;
    std::multimap<int64_t, Request> returns_;
    std::multimap<int64_t, uint32_t> ends_[SERVICE_COUNT];
    double inUse_[SERVICE_COUNT][kRegions] = {};
    std::deque<std::array<std::array<double, kRegions>, SERVICE_COUNT>> busy_;
    std::vector<Request> arrived_;
    std::vector<Request> admitted_;
    Outcome outcome_;

    uint32_t
    below(int64_t bound)
    {
        return GwRng_Below(&rng_, static_cast<uint32_t>(bound));
    }
    double
    uniform()
    {
        return (below(1 << 30) + 0.5) / (1 << 30);
    }
    double
    slotsOf(uint32_t region) const
    {
        return std::round(case_.size.slots * kSlotShare[region]);
    }
    double
    shelfSlots() const
    {
        return std::round(case_.size.slots / 3);
    }
    bool
    inFault() const
    {
        return now_ >= kFaultFrom && now_ < kFaultTo;
    }
    double
    loadNow() const
    {
        return case_.fault != BURST || inFault() ? case_.load : kCalmLoad;
    }
    static uint32_t
    regionOf(uint32_t domain)
    {
        return domain / 2;
    }
    bool
    isCut(uint32_t regionA, uint32_t regionB) const
    {
        return case_.fault == PARTITION && inFault() &&
               (regionA == cut_) != (regionB == cut_);
    }
    bool
    isAlive(uint32_t i) const
    {
        return case_.fault != AGGREGATOR || i != dead_ || now_ < kFaultFrom;
    }

    // ---- Exchange of demand ----

    // The aggregator of a domain: its first entry, until its silence shows
    // that it is dead. Entries of a cut region stay known to each other.
    uint32_t
    aggregatorOf(uint32_t domain) const
    {
        bool isNoticed = case_.fault == AGGREGATOR && dead_ == domain &&
                         now_ >= kFaultFrom + kSilence;
        return domain + (isNoticed ? kDomains : 0);
    }

    void
    send(uint32_t from, uint32_t to, bool isTotal, const GArray *demand)
    {
        uint32_t a = regionOf(entries_[from].domain);
        uint32_t b = regionOf(entries_[to].domain);
        int64_t wayUs = a == b ? 1400 : 55 * kMs;

        if (isCut(a, b) || (case_.fault == LOSS && below(100) < 30)) {
            return;
        }
        if (case_.fault == LATE && below(100) < 30) {
            wayUs += below(900) * kMs;
        }
        const auto *list = reinterpret_cast<const GwDemand *>(demand->data);
        sent_.push({now_ + wayUs, from, to, isTotal,
                    std::vector<GwDemand>(list, list + demand->len)});
    }

    void
    putTotal(Entry &e, const GwDemand *demand, size_t count)
    {
        GwShortage_PutTotal(e.shortage, now_, 0, demand,
                            static_cast<uint32_t>(count));
    }

    void
    deliver()
    {
        while (!sent_.empty() && sent_.top().atUs <= now_) {
            const Message &m = sent_.top();
            Entry &e = entries_[m.to];
            if (m.isTotal && m.from == aggregatorOf(e.domain)) {
                putTotal(e, m.demand.data(), m.demand.size());
            }
            else if (!m.isTotal) {
                e.reports[m.from] = {now_, m.demand};
            }
            sent_.pop();
        }
    }

    // Own demand and what others reported, of the domain or of all.
    void
    sum(const Entry &e, bool isAll, GArray *out)
    {
        g_array_set_size(out, 0);
        GwDemandMeter_Read(e.meter, now_, out);
        for (const auto &[from, known] : e.reports) {
            if (now_ - known.asOfUs < kDemandLife &&
                (isAll || entries_[from].domain == e.domain)) {
                GwDemand_AddTo(out, known.demand.data(),
                               static_cast<uint32_t>(known.demand.size()));
            }
        }
    }

    void
    exchange(uint32_t i)
    {
        Entry &e = entries_[i];
        bool isAggregator = aggregatorOf(e.domain) == i;
        bool isDue = (now_ + e.phaseUs) % kReportPeriod == 0;

        if (!isDue && (now_ + e.phaseUs) % kTotalPeriod != 0) {
            return;
        }
        GArray *out = g_array_new(FALSE, FALSE, sizeof(GwDemand));
        if (!isAggregator && isDue) {
            GwDemandMeter_Read(e.meter, now_, out);
            send(i, aggregatorOf(e.domain), false, out);
        }
        if (isAggregator && isDue) {
            sum(e, false, out);
            for (uint32_t d = 0; d < kDomains; d++) {
                if (d != e.domain) {
                    send(i, aggregatorOf(d), false, out);
                }
            }
        }
        if (isAggregator) {
            sum(e, true, out);
            putTotal(e, reinterpret_cast<GwDemand *>(out->data), out->len);
            for (uint32_t to = e.domain; isDue && to < entries_.size();
                 to += kDomains) {
                if (to != i) {
                    send(i, to, true, out);
                }
            }
        }
        g_array_free(out, TRUE);
    }

    // ---- Slots ----

    void
    endRuns()
    {
        std::array<std::array<double, kRegions>, SERVICE_COUNT> busy{};
        for (uint32_t s = 0; s < SERVICE_COUNT; s++) {
            auto last = ends_[s].upper_bound(now_);
            for (auto it = ends_[s].begin(); it != last; ++it) {
                inUse_[s][it->second]--;
            }
            ends_[s].erase(ends_[s].begin(), last);
            for (uint32_t r = 0; r < kRegions; r++) {
                double slots = s == DESK ? slotsOf(r) : shelfSlots();
                busy[s][r] = std::min(inUse_[s][r], slots);
            }
        }
        busy_.push_back(busy);
        if (busy_.size() > kBusyAge / kTick) {
            busy_.pop_front();
        }
    }

    void
    putCapacity()
    {
        for (Entry &e : entries_) {
            for (uint32_t r = 0; r < kRegions; r++) {
                if (!isCut(regionOf(e.domain), r)) {
                    GwShortage_PutCapacity(e.shortage, now_, DESK, r,
                                           slotsOf(r), busy_[0][DESK][r]);
                }
            }
            GwShortage_PutCapacity(e.shortage, now_, SHELF, 0, shelfSlots(),
                                   busy_[0][SHELF][0]);
        }
    }

    void
    watchThresholds()
    {
        for (uint32_t i = 0; i < entries_.size() * kRegions; i++) {
            Entry &e = entries_[i / kRegions];
            uint32_t r = i % kRegions;
            uint32_t t = GwShortage_Threshold(e.shortage, now_, DESK, r);
            int direction = t > e.threshold[r]   ? 1
                            : t < e.threshold[r] ? -1
                                                 : e.direction[r];
            if (direction != e.direction[r]) {
                e.turns[r].push_back(now_);
            }
            while (!e.turns[r].empty() && e.turns[r].front() <= now_ - kS) {
                e.turns[r].pop_front();
            }
            if (now_ >= kFrom) {
                outcome_.turns =
                    std::max<uint32_t>(outcome_.turns, e.turns[r].size());
            }
            e.threshold[r] = t;
            e.direction[r] = direction;
        }
    }

    // ---- Requests ----

    uint32_t
    chooseRegion(uint32_t own)
    {
        double x = uniform();
        uint32_t r = 0;

        while (r + 1 < kRegions && x >= kSlotShare[r]) {
            x -= kSlotShare[r++];
        }
        return isCut(own, r) ? chooseRegion(own) : r;
    }

    Request
    drawRequest()
    {
        double pick = uniform() * weights_;
        size_t k = 0;

        while (k + 1 < case_.kinds.size() && pick >= case_.kinds[k].weight) {
            pick -= case_.kinds[k++].weight;
        }
        const Kind &kind = case_.kinds[k];
        Request req{};
        bool isWarm = below(100) < static_cast<uint32_t>(kind.warmPercent);
        bool isLate = below(100) < static_cast<uint32_t>(kind.latePercent);
        req.slotUs =
            kind.coldMs * kMs * (isWarm ? 0.3 : 1) * (below(100) < 3 ? 7 : 1);
        req.value = std::ldexp(1, -static_cast<int>(kind.priority)) *
                    (isLate ? 0.2 : 1);
        req.level = GwShortage_Level(req.value, req.slotUs);
        req.atUs = now_;
        return req;
    }

    void
    arrive(Service service, double slots)
    {
        // Poisson: the work owed is used up by exponential gaps.
        owed_[service] += slots * kTick / meanSlotUs_;
        while (owed_[service] > 0) {
            owed_[service] += std::log(uniform());
            Request req = drawRequest();
            uint32_t at = anyEntry();
            uint32_t own = regionOf(entries_[at].domain);
            req.region = service == DESK ? chooseRegion(own) : 0;
            GwDemandMeter_Add(entries_[at].meter, now_, service, req.region,
                              req.level, req.slotUs);
            if (service == DESK && now_ >= kFrom) {
                arrived_.push_back(req);
            }
            decide(entries_[at], service, req);
        }
    }

    uint32_t
    anyEntry()
    {
        uint32_t i = below(entries_.size());

        return isAlive(i) ? i : anyEntry();
    }

    void
    takeReturns()
    {
        while (!returns_.empty() && returns_.begin()->first <= now_) {
            Request req = returns_.begin()->second;
            returns_.erase(returns_.begin());
            uint32_t at = anyEntry();
            if (isCut(regionOf(entries_[at].domain), req.region)) {
                req.region = chooseRegion(regionOf(entries_[at].domain));
            }
            req.atUs = now_;
            req.isReturn = true;
            decide(entries_[at], DESK, req);
        }
    }

    // Shares are of the measured requests: a return adds no credit.
    bool
    isAdmitted(Entry &e, Service service, const Request &req)
    {
        double share = GwShortage_AdmitShare(e.shortage, now_, service,
                                             req.region, req.level);
        double &credit = e.credit[req.region][req.level];

        if (share >= 1) {
            return true;
        }
        if (!req.isReturn) {
            credit = std::min(credit + share, 1 + share);
        }
        if (credit < 1) {
            return false;
        }
        credit -= 1;
        return true;
    }

    void
    decide(Entry &e, Service service, const Request &req)
    {
        if (isAdmitted(e, service, req)) {
            inUse_[service][req.region]++;
            ends_[service].emplace(now_ + static_cast<int64_t>(req.slotUs),
                                   req.region);
            if (service == DESK && now_ >= kFrom) {
                admitted_.push_back(req);
            }
            return;
        }
        outcome_.refused++;
        outcome_.refusedOfShelf += service == SHELF;
        outcome_.refusedAfterBurst +=
            case_.fault == BURST && now_ >= kFaultTo + 2 * kS;
        if (service == DESK && !req.isReturn && below(100) < 80) {
            returns_.emplace(now_ + (300 + below(1000)) * kMs, req);
        }
    }

    // ---- Judgement ----

    static size_t
    windowOf(const Request &req)
    {
        return static_cast<size_t>((req.atUs - kFrom) / kWindow) * kRegions +
               req.region;
    }

    // The best choice with full knowledge: in each window and region the
    // requests worth most for their slot time, until the slots are used up.
    double
    bestValue()
    {
        std::vector<double> left((kEnd - kFrom) / kWindow * kRegions);
        double value = 0;

        for (size_t i = 0; i < left.size(); i++) {
            left[i] = slotsOf(i % kRegions) * kWindow;
        }
        std::sort(arrived_.begin(), arrived_.end(),
                  [](const Request &a, const Request &b) {
                      return a.value / a.slotUs > b.value / b.slotUs;
                  });
        for (const Request &req : arrived_) {
            double &room = left[windowOf(req)];
            double used = std::min(room, req.slotUs);
            room -= used;
            value += req.value * used / req.slotUs;
        }
        return value;
    }

    // What is admitted beyond the slots of a window is not served: it lowers
    // the value of all that was admitted there.
    double
    admittedValue() const
    {
        size_t windows = (kEnd - kFrom) / kWindow * kRegions;
        std::vector<double> value(windows);
        std::vector<double> work(windows);
        double sum = 0;

        for (const Request &req : admitted_) {
            value[windowOf(req)] += req.value;
            work[windowOf(req)] += req.slotUs;
        }
        for (size_t i = 0; i < windows; i++) {
            double room = slotsOf(i % kRegions) * kWindow;
            sum += value[i] * std::min(1.0, room / std::max(work[i], 1.0));
        }
        return sum;
    }

    // Over all windows, which begin at each tick.
    double
    mostWork() const
    {
        double work = 0;
        double most = 0;
        size_t first = 0;

        for (const Request &req : admitted_) {
            work += req.slotUs;
            while (admitted_[first].atUs <= req.atUs - kWindow) {
                work -= admitted_[first++].slotUs;
            }
            most = std::max(most, work);
        }
        return most / (case_.size.slots * kWindow);
    }
};

rc::Gen<std::vector<Kind>>
kinds()
{
    auto kind = rc::gen::build<Kind>(
        rc::gen::set(&Kind::priority, rc::gen::inRange<uint32_t>(0, 4)),
        rc::gen::set(&Kind::coldMs, rc::gen::inRange(300, 2000)),
        rc::gen::set(&Kind::warmPercent, rc::gen::inRange(0, 91)),
        rc::gen::set(&Kind::latePercent, rc::gen::inRange(0, 31)),
        rc::gen::set(&Kind::weight, rc::gen::inRange(1, 10)));

    return rc::gen::mapcat(rc::gen::inRange<size_t>(3, 6), [kind](size_t n) {
        return rc::gen::container<std::vector<Kind>>(n, kind);
    });
}

// Guards against: requests of little value use slots that others need, more is
// admitted than the servers can run, or callers are refused after a burst.
bool
holds(const Case &c, const Outcome &o)
{
    if (o.refusedOfShelf > 0) {
        return false;
    }
    switch (c.fault) {
    case CALM:
        return o.value >= kValueCalm && o.work <= kWorkMax &&
               o.turns <= kTurnsMax;
    case BURST:
        return o.refused > 0 && o.refusedAfterBurst == 0;
    default:
        return o.value >= kValueFaults;
    }
}

bool
isWanted(const char *name, const char *value)
{
    const char *wanted = std::getenv(name);

    return wanted == nullptr || std::strcmp(wanted, value) == 0;
}

bool
sharesHold(const Size &size, double load, Fault fault)
{
    uint32_t seeds =
        std::getenv("GW_LONG") != nullptr ? size.longSeeds : size.seeds;
    const char *only = std::getenv("GW_SEED");
    uint64_t first = only != nullptr ? std::strtoull(only, nullptr, 10) : 1;
    Outcome worst;
    bool ok = true;

    worst.value = 9;
    for (uint64_t seed = first; seed < first + (only != nullptr ? 1 : seeds);
         seed++) {
        uint64_t mixed = GwRng_Mix(seed * 1000003 + size.entries * 101 +
                                   static_cast<uint64_t>(load * 10));
        Case c{size, load, fault, mixed,
               kinds()(rc::Random(mixed), 100).value()};
        Outcome o = Fleet(c).run();
        if (!holds(c, o)) {
            std::printf("  seed %llu: value %.3f, work %.3f, %u turns, %llu "
                        "refused, %llu after the burst, %llu of SHELF\n",
                        static_cast<unsigned long long>(seed), o.value, o.work,
                        o.turns, static_cast<unsigned long long>(o.refused),
                        static_cast<unsigned long long>(o.refusedAfterBurst),
                        static_cast<unsigned long long>(o.refusedOfShelf));
            ok = false;
        }
        worst.value = std::min(worst.value, o.value);
        worst.work = std::max(worst.work, o.work);
        worst.turns = std::max(worst.turns, o.turns);
        worst.refusedAfterBurst += o.refusedAfterBurst;
    }
    std::printf("%s, %u entries, load %.1f: value at least %.3f of the best, "
                "work at most %.3f of the capacity, %u turns of the threshold "
                "in a second, %llu refused after the burst%s\n",
                kFaultNames[fault], size.entries, load, worst.value,
                worst.work, worst.turns,
                static_cast<unsigned long long>(worst.refusedAfterBurst),
                ok ? "" : ": FAILED");
    return ok;
}

} // namespace

int
main()
{
    bool ok = true;

    for (const Size &size : kSizes) {
        if (!isWanted("GW_SIZE", std::to_string(size.entries).c_str())) {
            continue;
        }
        for (double load : kLoads) {
            for (int f = 0; f < FAULT_COUNT; f++) {
                if (isWanted("GW_FAULT", kFaultNames[f])) {
                    ok = sharesHold(size, load, static_cast<Fault>(f)) && ok;
                }
            }
        }
    }
    return ok ? 0 : 1;
}
