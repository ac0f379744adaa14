// Simulates entries that pass proofs of freshness on to each other while
// messages are lost, delayed and kept in the queues of paused entries, entries
// are cut off from the store or from all others, and start again with old
// rows. GW_LONG=1 runs ten times as many seeds.
#include <glib.h>

extern "C" {
#include "common/rng.h"
#include "store/proof.h"
}

#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <vector>

namespace {

constexpr int64_t kMs = 1000;
constexpr int64_t kS = 1000000;
constexpr int64_t kBound = 5 * kS;
constexpr int64_t kStep = 10 * kMs;
constexpr int64_t kPoll = kS;
constexpr int64_t kEnd = 40 * kS;

struct Message {
    uint32_t from;
    uint64_t process;
    uint64_t version;
    GwClockReport clocks;
    uint32_t age;
};

struct Entry {
    uint64_t process = 0;
    int64_t skew = 0; // of its clock against the store's
    uint64_t version = 0;
    GwProof proof = {};
    std::vector<GwClockEcho> echoes;
    std::vector<int64_t> reportDue;
    bool reads = false;
    int64_t pollDue = 0;
    int64_t asked = 0; // true time of the poll in progress; 0: none
    int64_t answerAt = 0;
    uint64_t answer = 0;
    int64_t pausedUntil = 0;
    int64_t cutUntil = 0;     // from everybody
    int64_t refusedUntil = 0; // by the store
    std::deque<Message> queue;
};

struct Run {
    GwRng rng;
    int64_t now = kS;
    std::vector<Entry> entries;
    std::multimap<int64_t, std::pair<uint32_t, Message>> network;
    std::vector<int64_t> acked; // when each version was acknowledged
    uint64_t processes = 0;
    int64_t storeAwayUntil = 0;
    uint64_t accepted = 0;
    uint64_t refused = 0;
    uint64_t stale = 0;

    uint32_t
    below(int64_t most)
    {
        return GwRng_Below(&rng, static_cast<uint32_t>(most));
    }

    void
    restart(Entry &e)
    {
        e.process = GwRng_Next(&rng) | 1;
        e.skew = below(kS * 1000) * kMs;
        e.version = 0;
        e.proof = GwProof{};
        e.echoes.assign(entries.size(), GwClockEcho{});
        e.reportDue.assign(entries.size(), now + below(200 * kMs));
        e.asked = 0;
        e.queue.clear();
        // Rows of a peer, which may be old.
        e.version =
            entries[below(static_cast<int64_t>(entries.size()))].version;
    }

    void
    poll(Entry &e)
    {
        bool reaches = now >= e.cutUntil && now >= e.refusedUntil &&
                       now >= storeAwayUntil;
        if (e.asked != 0 && now >= e.answerAt) {
            if (reaches) {
                e.version = e.answer > e.version ? e.answer : e.version;
                GwProof_Note(&e.proof, e.asked + e.skew);
            }
            e.asked = 0;
            e.pollDue = now + kPoll;
        }
        if (e.asked == 0 && now >= e.pollDue && reaches) {
            e.asked = now;
            // The store reads its state when the question arrives, and the
            // answer may take long.
            e.answer = acked.size();
            e.answerAt = now + below(400 * kMs);
        }
    }

    void
    receive(uint32_t to, const Message &m)
    {
        Entry &e = entries[to];
        int64_t asOf = 0;
        int64_t clock = now + e.skew;

        // Rows are fetched when a report names a newer version.
        if (m.version > e.version && below(4) != 0) {
            e.version = m.version;
        }
        GwClockEcho_Note(&e.echoes[m.from], m.process, m.clocks.clock_ms,
                         clock);
        if (e.version >= m.version &&
            GwProof_FromPeer(&m.clocks, m.age, e.process, clock, &asOf)) {
            GwProof_Note(&e.proof, asOf);
        }
    }

    void
    report(uint32_t from)
    {
        Entry &e = entries[from];

        for (uint32_t to = 0; to < entries.size(); to++) {
            if (to == from || now < e.reportDue[to]) {
                continue;
            }
            e.reportDue[to] = now + 100 * kMs + below(400 * kMs);
            Message m = {from, e.process, e.version,
                         GwClockEcho_Report(&e.echoes[to], now + e.skew),
                         GwProof_WireAge(&e.proof, now + e.skew)};
            if (now < e.cutUntil || now < entries[to].cutUntil ||
                below(10) == 0) {
                continue;
            }
            int64_t way = below(10) == 0 ? below(3 * kS) : below(60 * kMs);
            network.emplace(now + way, std::make_pair(to, m));
        }
    }

    // The rule: what runs now must be allowed by every version that was
    // acknowledged `kBound` ago.
    void
    check(const Entry &e)
    {
        int64_t clock = now + e.skew;
        bool accepts =
            e.proof.as_of_us != 0 && clock - e.proof.as_of_us < kBound;

        accepted += accepts;
        refused += !accepts;
        if (accepts && e.version < acked.size() &&
            now > acked[e.version] + kBound) {
            stale++;
        }
    }

    void
    disturb()
    {
        Entry &e = entries[below(static_cast<int64_t>(entries.size()))];

        switch (below(6)) {
        case 0:
            e.pausedUntil = now + below(12 * kS);
            break;
        case 1:
            e.cutUntil = now + below(12 * kS);
            break;
        case 2:
            e.refusedUntil = now + below(12 * kS);
            break;
        case 3:
            restart(e);
            break;
        case 4:
            storeAwayUntil = below(4) == 0 ? now + below(8 * kS) : 0;
            break;
        default:
            e.reads = !e.reads;
            break;
        }
    }

    void
    step()
    {
        now += kStep;
        if (below(100) == 0) {
            acked.push_back(now);
        }
        if (below(40) == 0) {
            disturb();
        }
        while (!network.empty() && network.begin()->first <= now) {
            auto first = network.begin()->second;
            network.erase(network.begin());
            Entry &to = entries[first.first];
            if (now >= to.cutUntil) {
                to.queue.push_back(first.second);
            }
        }
        for (uint32_t i = 0; i < entries.size(); i++) {
            Entry &e = entries[i];
            if (now < e.pausedUntil) {
                continue;
            }
            while (!e.queue.empty()) {
                Message m = e.queue.front();
                e.queue.pop_front();
                receive(i, m);
            }
            if (e.reads) {
                poll(e);
            }
            report(i);
            check(e);
        }
    }
};

// Guards against: an entry accepts a key after the bound although a newer
// configuration may have revoked it.
bool
proofsAreNeverTooYoung(uint32_t count, uint32_t seeds)
{
    uint64_t stale = 0;
    uint64_t accepted = 0;
    uint64_t refused = 0;

    for (uint32_t seed = 1; seed <= seeds; seed++) {
        Run run;
        run.rng = GwRng_Make(seed);
        run.entries.resize(count);
        for (Entry &e : run.entries) {
            run.restart(e);
        }
        for (uint32_t i = 0; i < 3; i++) {
            run.entries[i].reads = true;
        }
        while (run.now < kEnd) {
            run.step();
        }
        if (run.stale > 0) {
            std::printf("  seed %u: %llu\n", seed,
                        static_cast<unsigned long long>(run.stale));
        }
        stale += run.stale;
        accepted += run.accepted;
        refused += run.refused;
    }
    std::printf("%u entries: %llu of %llu accepted after the bound, %.1f %% "
                "refused, %u seeds\n",
                count, static_cast<unsigned long long>(stale),
                static_cast<unsigned long long>(accepted),
                100.0 * static_cast<double>(refused) /
                    static_cast<double>(accepted + refused),
                seeds);
    return stale == 0 && accepted > refused;
}

} // namespace

int
main()
{
    uint32_t times = std::getenv("GW_LONG") != nullptr ? 10 : 1;
    bool ok = proofsAreNeverTooYoung(5, 100 * times);

    ok = proofsAreNeverTooYoung(12, 30 * times) && ok;
    return ok ? 0 : 1;
}
