// Simulates many entries with failing servers: a request that crashes servers
// reaches few of them, no other request is quarantined, and a rate limit
// stated by a server holds for all entries together. GW_LONG=1 runs a thousand
// seeds of each outage.
#include <glib.h>

extern "C" {
#include "common/rng.h"
#include "fakes/outages.h"
#include "router/quarantine.h"
}

#include "part.hpp"

#include <cstdio>
#include <cstdlib>
#include <initializer_list>

namespace {

// Sends allowed for a crashing request after gossip had time to propagate.
constexpr uint32_t kSendsMax = 3;

struct Size {
    uint32_t entries;
    uint32_t servers;
    uint32_t seeds;
    uint32_t longSeeds;
};

constexpr Size kSizes[] = {
    {12, 36, 20, 1000}, {70, 60, 4, 1000}, {195, 90, 2, 1000}};

uint32_t
seedsOf(const Size &size)
{
    return std::getenv("GW_LONG") != nullptr ? size.longSeeds : size.seeds;
}

// Every other seed has faults of entries, every other two have much traffic of
// two requests.
OutageParams
paramsOf(const Size &size, OutageKind kind, uint64_t seed)
{
    OutageParams params = {};

    params.entries = size.entries;
    params.servers = size.servers;
    params.kind = kind;
    params.entry_faults = seed % 2 == 0;
    params.hot = seed % 4 >= 2;
    params.seed = seed;
    return params;
}

// Guards against: servers fail for unrelated reasons, and the requests that
// ran there are quarantined.
bool
outagesQuarantineNoRequest(const Size &size, OutageKind kind)
{
    uint32_t refused = 0;
    uint32_t unserved = 0;

    for (uint32_t seed = 1; seed <= seedsOf(size); seed++) {
        OutageParams params = paramsOf(size, kind, seed);
        params.seconds = 8;
        OutageReport report = Outages_Run(&params);
        refused += report.harmless_refused;
        unserved += report.answered < report.asked / 2;
    }
    std::printf("%s, %u entries: %u requests refused, %u runs with under half "
                "answered, %u seeds\n",
                OutageKind_Name(kind), size.entries, refused, unserved,
                seedsOf(size));
    return refused == 0 && unserved == 0;
}

// Guards against: a request that crashes servers is sent again by each entry,
// because entries do not share their suspects.
bool
crashersReachFewServers(const Size &size)
{
    uint32_t seeds = seedsOf(size);
    uint32_t most = 0;
    uint32_t innocent = 0;
    uint32_t notQuarantined = 0;
    uint32_t learned = 0;
    uint64_t crashes = 0;

    for (uint32_t seed = 1; seed <= seeds; seed++) {
        OutageParams params =
            paramsOf(size, seed % 3 == 0 ? OUTAGE_CRASHES : OUTAGE_NONE, seed);
        params.crashers = 1 + seed % 2;
        params.seconds = 12;
        OutageReport report = Outages_Run(&params);
        most = report.sends_after > most ? report.sends_after : most;
        learned =
            report.quarantined_ms > learned ? report.quarantined_ms : learned;
        innocent += report.harmless_refused;
        crashes += report.crashes;
        notQuarantined += report.crashing_refused == 0;
    }
    std::printf(
        "crashing requests, %u entries: at most %u sends after the third "
        "crash, %.1f crashes per run, quarantined everywhere within %u ms, "
        "%u others refused, %u runs without a quarantine, %u seeds\n",
        size.entries, most, static_cast<double>(crashes) / seeds, learned,
        innocent, notQuarantined, seeds);
    return most <= kSendsMax && notQuarantined == 0;
}

GwFingerprint
request(uint64_t number)
{
    return GwFingerprint{number * 0x9e3779b97f4a7c15ULL, number};
}

// Guards against: requests that ran beside the crashing request are
// quarantined as well, though that request explains every crash.
bool
explainedCrashesQuarantineOnlyTheCause()
{
    constexpr uint32_t kOthers = 12;
    constexpr uint64_t kCause = 1000;
    uint32_t wrong = 0;

    for (uint64_t seed = 1; seed <= 200; seed++) {
        GwRng rng = GwRng_Make(seed);
        GwQuarantine *q = GwQuarantine_Create();
        uint32_t crashes[kOthers] = {};
        uint32_t count = 4 + GwRng_Below(&rng, 4);
        int64_t now_us = 1000000;
        for (uint64_t server = 1; server <= count; server++) {
            now_us += 400000;
            GwFingerprint cause = request(kCause);
            GwQuarantine_NoteConnectionLost(q, now_us, &cause, server);
            for (uint32_t i = 0; i < kOthers; i++) {
                GwFingerprint other = request(i);
                if (crashes[i] < count - 1 && GwRng_Below(&rng, 4) != 0) {
                    crashes[i]++;
                    GwQuarantine_NoteConnectionLost(q, now_us, &other, server);
                }
            }
            GwQuarantine_NoteCrash(q, now_us, server);
        }
        now_us += 1000000;
        for (uint32_t i = 0; i < kOthers; i++) {
            GwFingerprint other = request(i);
            wrong += GwQuarantine_UntilUs(q, now_us, &other) != 0;
        }
        GwFingerprint cause = request(kCause);
        wrong += GwQuarantine_UntilUs(q, now_us, &cause) == 0;
        GwQuarantine_Free(q);
    }
    std::printf("beside a crashing request: %u wrong quarantine decisions, "
                "200 seeds\n",
                wrong);
    return wrong == 0;
}

// Guards against: a server with a limit for all entries together receives that
// rate from each entry, or more while entries join, stop and lose messages.
bool
limitsAreKept(const Size &size)
{
    static const struct {
        uint32_t percent;
        double perS;
    } cases[] = {{20, 5.7}, {100, 5.7}, {100, 0.4}, {30, 0}, {20, 40}};
    bool ok = true;

    for (const auto &limit : cases) {
        uint32_t above = 0;
        double used = 0;
        uint32_t seeds = (seedsOf(size) + 4) / 5;
        for (uint32_t seed = 1; seed <= seeds; seed++) {
            OutageParams params = {};
            params.entries = size.entries;
            params.servers = size.servers;
            params.kind = seed % 3 == 0 ? OUTAGE_CRASHES : OUTAGE_NONE;
            params.entry_faults = seed % 2 == 0;
            params.limited_percent = limit.percent;
            params.limit_per_s = limit.perS;
            params.seconds = 14;
            params.seed = seed;
            OutageReport report = Outages_Run(&params);
            above = report.above_limit > above ? report.above_limit : above;
            used += report.used_share / seeds;
        }
        std::printf(
            "limit of %.1f per second at %u %% of the servers, %u "
            "entries: at most %u above the allowed number, %.2f of the limit "
            "used, %u seeds\n",
            limit.perS, limit.percent, size.entries, above,
            limit.perS > 0 ? used : 0, seeds);
        ok = ok && above == 0;
    }
    return ok;
}

// Guards against: servers stay idle after their limit has ended.
bool
limitsEnd()
{
    constexpr uint32_t kSeeds = 6;
    bool ok = true;

    for (double perS : {5.7, 0.0}) {
        double share = 0;
        uint32_t idle = 0;
        for (uint32_t seed = 1; seed <= kSeeds; seed++) {
            OutageParams params = {};
            params.entries = 12;
            params.servers = 36;
            params.limited_percent = 30;
            params.limit_per_s = perS;
            params.unlimited_s = 8;
            params.seconds = 24;
            params.seed = seed;
            OutageReport report = Outages_Run(&params);
            share += report.used_share_after / kSeeds;
            idle += report.still_idle;
        }
        std::printf(
            "after a limit of %.1f, servers get %.2f of an equal share, %u "
            "are idle\n",
            perS, share, idle);
        ok = ok && idle == 0;
    }
    return ok;
}

// Guards against: a server that has asked an entry for rest, or has said in an
// answer that it leaves, gets requests of that entry, also by a connection that
// was being set up, a retry, or after its row was written again; or callers are
// refused beside idle servers.
bool
serversStatementsAreKept(const Size &size, OutageKind kind)
{
    uint32_t inRest = 0;
    uint32_t afterLeaving = 0;
    uint32_t refused = 0;
    uint64_t shed = 0;
    uint64_t asked = 0;
    uint64_t answered = 0;
    uint32_t seeds = (seedsOf(size) + 1) / 2;

    for (uint32_t seed = 1; seed <= seeds; seed++) {
        OutageParams params = paramsOf(size, kind, seed);
        params.seconds = 24;
        OutageReport report = Outages_Run(&params);
        inRest = report.in_rest > inRest ? report.in_rest : inRest;
        afterLeaving += report.after_leaving;
        refused += report.refused_beside_idle;
        shed += report.shed;
        asked += report.asked;
        answered += report.answered;
    }
    std::printf("%s, %u entries: at most %u requests in a rest, %u after a "
                "server said that it leaves, %u refused beside an idle "
                "server, %.2f %% turned away by servers, %.2f %% not "
                "answered, %u seeds\n",
                OutageKind_Name(kind), size.entries, inRest, afterLeaving,
                refused,
                100.0 * static_cast<double>(shed) / static_cast<double>(asked),
                100.0 - 100.0 * static_cast<double>(answered) /
                            static_cast<double>(asked),
                seeds);
    return inRest <= 2 && afterLeaving == 0 && refused == 0;
}

// Guards against: entries that reach no server refuse or lose requests that
// other entries could serve, run one twice, refuse one that ran, pass one on
// twice, or make innocent requests suspects of crashes.
bool
cutEntriesServe(const Size &size, OutageKind kind)
{
    constexpr double kShare = 0.95;
    OutageReport sum = {};
    uint32_t seeds = (seedsOf(size) + 1) / 2;

    for (uint32_t seed = 1; seed <= seeds; seed++) {
        OutageParams params = {};
        params.entries = size.entries;
        params.servers = size.servers;
        params.kind = kind;
        params.entry_faults = seed % 4 == 0;
        params.hot = seed % 2 == 0;
        params.seed = seed;
        params.seconds = 36;
        OutageReport report = Outages_Run(&params);
        sum.cut_tries += report.cut_tries;
        sum.cut_answered += report.cut_answered;
        sum.linked_tries += report.linked_tries;
        sum.linked_answered += report.linked_answered;
        sum.doubled += report.doubled;
        sum.false_refusals += report.false_refusals;
        sum.hops += report.hops;
        sum.hops_of_hops += report.hops_of_hops;
        sum.harmless_refused += report.harmless_refused;
        sum.convictions += report.convictions;
        sum.records_sent += report.records_sent;
    }
    std::printf("%s, %u entries: first tries answered at cut entries %u of "
                "%u, at others %u of %u; %u passed on, %u twice; %u doubled, "
                "%u false refusals, %u quarantined, %u refused for it, "
                "%lu records of suspects sent, %u seeds\n",
                OutageKind_Name(kind), size.entries, sum.cut_answered,
                sum.cut_tries, sum.linked_answered, sum.linked_tries, sum.hops,
                sum.hops_of_hops, sum.doubled, sum.false_refusals,
                sum.convictions, sum.harmless_refused,
                static_cast<unsigned long>(sum.records_sent), seeds);
    double owed = kShare * sum.linked_answered / sum.linked_tries;
    return sum.cut_tries > 0 && sum.cut_answered >= owed * sum.cut_tries &&
           sum.doubled == 0 && sum.false_refusals == 0 &&
           sum.hops_of_hops == 0 && sum.harmless_refused == 0 &&
           sum.convictions == 0 && sum.records_sent == 0;
}

} // namespace

int
main()
{
    Part part;
    bool ok = true;
    auto check = [&](auto holds) {
        if (part.takesNext()) {
            ok = holds() && ok;
        }
    };

    check(explainedCrashesQuarantineOnlyTheCause);
    check(limitsEnd);
    for (OutageKind kind : {OUTAGE_LINKS_SILENT, OUTAGE_LINKS_RESET,
                            OUTAGE_LINKS_REFUSED, OUTAGE_LINKS_BROKEN}) {
        check([&] { return cutEntriesServe({4, 12, 20, 1000}, kind); });
        for (const Size &size : kSizes) {
            check([&] { return cutEntriesServe(size, kind); });
        }
    }
    for (const Size &size : kSizes) {
        for (int kind = 0; kind < OUTAGE_KIND_COUNT; kind++) {
            check([&] {
                return outagesQuarantineNoRequest(
                    size, static_cast<OutageKind>(kind));
            });
        }
        check([&] { return serversStatementsAreKept(size, OUTAGE_SHEDS); });
        check([&] { return serversStatementsAreKept(size, OUTAGE_LEAVES); });
        check([&] { return crashersReachFewServers(size); });
        check([&] { return limitsAreKept(size); });
    }
    return ok ? 0 : 1;
}
