/* Concurrent operators' changes while the table loses replies.
 *
 * Each operator gets accepted, refused or pending for a request id. Writes
 * and replies get lost, writes take effect late, entries crash during a
 * change and the operator sends it again to another entry, or sends a
 * different one under the same id. In the end the log must hold each
 * accepted change exactly once and no refused one, with dense versions, and
 * no change may undo another. */
#include <glib.h>
#include <rapidcheck.h>

#include <cstdio>
#include <cstring>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "config/change.h"
#include "config/sync.h"
#include "fakes/change_table.h"
}

namespace {

struct Request {
    std::string id;
    int step;
    bool has_base;
    uint64_t base;
    bool resolve; /* only queries the outcome of the id */
};

struct Run {
    Request request;
    int step;
    GwChange *change;
};

struct Reported {
    Request request;
    GwChangeOutcome outcome;
    uint64_t version;
};

char *
make_step(void *ctx, const char *text, GError **)
{
    int now = 0;
    std::sscanf(text, "{\"warmup_step\": %d", &now);
    return g_strdup_printf("{\"warmup_step\": %d, \"regions\": "
                           "[{\"name\": \"ogre\", \"seats\": 1}]}",
                           now + *static_cast<int *>(ctx));
}

GwChange *
start(Run *run)
{
    if (run->request.resolve) {
        return GwChange_CreateResolve(run->request.id.c_str());
    }
    GwChangeRequest ask = {};
    g_strlcpy(ask.request_id, run->request.id.c_str(), sizeof ask.request_id);
    ask.summary = "step";
    ask.content = static_cast<uint64_t>(run->request.step);
    ask.kind = GW_CHANGE_EDIT;
    ask.make = make_step;
    ask.has_base = run->request.has_base;
    ask.base_version = run->request.base;
    run->step = run->request.step;
    ask.ctx = &run->step;
    return GwChange_Create(&ask);
}

/* Carries one request of a change to the table and the reply back; returns
 * false at the end. */
bool
advance(ChangeTable *table, GwChange *change, ChangeFate fate)
{
    GwTableRequest request;
    GwTableReply reply;
    if (!GwChange_Next(change, &request)) {
        return false;
    }
    ChangeTable_Execute(table, &request, fate, &reply);
    GwChange_Reply(change, &reply);
    ChangeTable_ClearReply(&reply);
    GwChange_ClearRequest(&request);
    return true;
}

Reported
end(Run *run)
{
    const GwChangeResult *r = GwChange_Result(run->change);
    Reported reported = {run->request, r->outcome, r->version};
    GwChange_Free(run->change);
    return reported;
}

/* One schedule: random choices decide which run proceeds and what the
 * network does. */
struct World {
    ChangeTable *table = ChangeTable_Create();
    std::vector<Run *> runs;
    std::vector<Reported> reported;
    std::vector<Request> sent;

    ~World()
    {
        for (Run *run : runs) {
            GwChange_Free(run->change);
            delete run;
        }
        ChangeTable_Free(table);
    }

    void
    send(const Request &request)
    {
        Run *run = new Run{request, 0, nullptr};
        run->change = start(run);
        runs.push_back(run);
        sent.push_back(request);
    }

    void
    step(uint32_t choice)
    {
        if (choice % 4 == 0) {
            ChangeTable_Deliver(table, choice / 8);
        }
        if (runs.empty()) {
            return;
        }
        size_t i = (choice / 64) % runs.size();
        Run *run = runs[i];
        ChangeFate fate = FATE_DONE;
        switch ((choice / 8) % 8) {
        case 0:
            fate = FATE_LOST_BEFORE;
            break;
        case 1:
            fate = FATE_LOST_AFTER;
            break;
        case 2:
        case 3:
            fate = FATE_DELAYED;
            break;
        default:
            break;
        }
        if (choice % 17 == 0) {
            send_again(i, choice / 17);
        }
        else if (!advance(table, run->change, fate)) {
            reported.push_back(end(run));
            drop(i);
        }
    }

    /* The operator sends the id again, to another entry: the same change, a
     * different one, or a query of the outcome. The first entry crashes or
     * continues. */
    void
    send_again(size_t i, uint32_t choice)
    {
        Request again = runs[i]->request;
        again.step += choice % 4 == 0;
        again.resolve = choice % 4 == 1;
        if (choice / 4 % 2 == 0) {
            GwChange_Free(runs[i]->change);
            drop(i);
        }
        if (runs.size() < 12) {
            send(again);
        }
    }

    void
    drop(size_t i)
    {
        delete runs[i];
        runs.erase(runs.begin() + static_cast<long>(i));
    }

    /* Lets every change end, then delivers every late write. */
    void
    settle()
    {
        while (!runs.empty()) {
            if (!advance(table, runs[0]->change, FATE_DONE)) {
                reported.push_back(end(runs[0]));
                drop(0);
            }
        }
        for (Request request : std::vector<Request>(sent)) {
            request.resolve = true;
            Run run = {request, 0, nullptr};
            run.change = start(&run);
            while (advance(table, run.change, FATE_DONE)) {
            }
            reported.push_back(end(&run));
            RC_ASSERT(reported.back().outcome != GW_CHANGE_PENDING);
        }
        while (ChangeTable_Deliver(table, 0)) {
        }
    }
};

struct Logged {
    std::string id;
    uint64_t version;
    int step;
};

const char *
row(ChangeTable *table, const char *prefix, uint64_t version)
{
    char key[GW_ROW_KEY_MAX];
    std::snprintf(key, sizeof key, "%s%020llu", prefix,
                  static_cast<unsigned long long>(version));
    return ChangeTable_Get(table, key);
}

int
step_of(const char *text)
{
    int step = 0;
    std::sscanf(text, "{\"warmup_step\": %d", &step);
    return step;
}

/* Reads the log, with the amount by which each version raised the counter. */
std::vector<Logged>
read_log(ChangeTable *table)
{
    std::vector<Logged> log;
    unsigned long long head = 0;
    std::sscanf(ChangeTable_Get(table, GW_KEY_HEAD), "%llu", &head);
    int before = 0;
    for (uint64_t v = 1; v <= head; v++) {
        const char *entry = row(table, GW_KEY_LOG_PREFIX, v);
        const char *doc = row(table, GW_KEY_DOC_PREFIX, v);
        RC_ASSERT(entry != nullptr); /* dense */
        RC_ASSERT(doc != nullptr);
        const char *id = std::strstr(entry, "\"request_id\":\"") + 14;
        log.push_back({std::string(id, std::strcspn(id, "\"")), v,
                       step_of(doc) - before});
        before = step_of(doc);
    }
    RC_ASSERT(row(table, GW_KEY_LOG_PREFIX, head + 1) == nullptr);
    return log;
}

void
check(World &world)
{
    std::vector<Logged> log = read_log(world.table);
    std::map<std::string, Logged> by_id;
    for (const Logged &entry : log) {
        RC_ASSERT(by_id.count(entry.id) == 0u); /* never twice */
        by_id[entry.id] = entry;
    }
    for (const Reported &reported : world.reported) {
        auto found = by_id.find(reported.request.id);
        bool applied = found != by_id.end() &&
                       (reported.request.resolve ||
                        found->second.step == reported.request.step);
        if (reported.outcome == GW_CHANGE_ACCEPTED) {
            RC_ASSERT(applied);
            RC_ASSERT(found->second.version == reported.version);
        }
        else if (reported.outcome == GW_CHANGE_REFUSED) {
            RC_ASSERT(!applied);
        }
    }
}

void
first_document(ChangeTable *table)
{
    GwChangeRequest ask = {};
    g_strlcpy(ask.request_id, "first", sizeof ask.request_id);
    ask.kind = GW_CHANGE_DOCUMENT;
    ask.document = "{\"warmup_step\": 1, \"regions\": "
                   "[{\"name\": \"ogre\", \"seats\": 1}]}";
    GwChange *change = GwChange_Create(&ask);
    while (advance(table, change, FATE_DONE)) {
    }
    GwChange_Free(change);
}

} // namespace

int
main()
{
    bool ok = rc::check("reported outcomes stay true", [] {
        auto seed = *rc::gen::arbitrary<uint64_t>();
        auto count = *rc::gen::inRange(2, 12);
        auto length = *rc::gen::inRange(200, 500);
        uint64_t state = seed;
        World world;
        first_document(world.table);
        for (int i = 0; i < count; i++) {
            world.send({"op-" + std::to_string(i), 10 * (i + 1), i % 3 == 2, 1,
                        false});
        }
        for (int i = 0; i < length; i++) {
            state = state * 6364136223846793005ULL + 1442695040888963407ULL;
            world.step(static_cast<uint32_t>(state >> 33));
        }
        world.settle();
        check(world);
    });
    return ok ? 0 : 1;
}
