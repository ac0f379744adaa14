// Membership over a queue that loses and delays: what callers are told about
// members comes right after faults, and no live member is given up for loss.
#include "c_api.hpp"

#include <rapidcheck.h>

#include <cstdlib>
#include <memory>

namespace {

constexpr int64_t kSecond = 1000000;

using Net = std::unique_ptr<MemberNet, decltype(&MemberNet_Free)>;

Net
makeNet(uint32_t count, uint32_t regions, uint64_t seed)
{
    return {MemberNet_Create(count, regions, seed), MemberNet_Free};
}

// Bounds of one message, and of what one received message may cause: an
// answer, one probe each of those it accuses, one relayed.
void
checkBounds(const MemberNet &net)
{
    RC_ASSERT(net.updates_max <= GW_UPDATES_MAX);
    RC_ASSERT(net.digests_max <= GW_DIGESTS_MAX);
    RC_ASSERT(net.burst_max <= GW_UPDATES_MAX + 1);
}

// Kills, restarts, pauses and cuts for a while, then lets all of it end.
void
disturb(MemberNet *net, GwRng *rng)
{
    for (int second = 0; second < 60; second++) {
        uint32_t i = GwRng_Below(rng, net->count);
        switch (GwRng_Below(rng, 16)) {
        case 0:
            MemberNet_Kill(net, i);
            break;
        case 1:
            MemberNet_Restart(net, i);
            break;
        case 2:
            net->nodes[i].paused = !net->nodes[i].paused;
            break;
        case 3:
            net->cut = !net->cut;
            break;
        case 4:
            MemberNet_List(net, 1 + GwRng_Below(rng, net->count));
            break;
        default:
            break;
        }
        MemberNet_Run(net, kSecond);
    }
    net->cut = false;
    net->loss_permille = 0;
    for (uint32_t i = 0; i < net->count; i++) {
        net->nodes[i].paused = false;
    }
}

void
convergence()
{
    auto seed = *rc::gen::arbitrary<uint64_t>();
    auto count = *rc::gen::inRange<uint32_t>(12, 19);
    auto loss = *rc::gen::inRange<uint32_t>(0, 300);
    Net net = makeNet(count, 3, seed);
    GwRng rng = GwRng_Make(seed);
    MemberNet_List(net.get(), count);
    net->loss_permille = loss;
    disturb(net.get(), &rng);
    checkBounds(*net);
    MemberNet_List(net.get(), count);
    MemberNet_Run(net.get(), 60 * kSecond);
    RC_ASSERT(MemberNet_Agrees(net.get()));
}

// Whoever dies is held dead by all within the bound: a round of probes in
// which somebody hits it, the suspicion, the spread.
void
deadWithinBound()
{
    auto seed = *rc::gen::arbitrary<uint64_t>();
    auto victim = *rc::gen::inRange<uint32_t>(0, 12);
    Net net = makeNet(12, 3, seed);
    MemberNet_List(net.get(), 12);
    net->loss_permille = 20;
    MemberNet_Run(net.get(), 20 * kSecond);
    MemberNet_Kill(net.get(), victim);
    MemberNet_Run(net.get(), 10 * kSecond);
    for (uint32_t i = 0; i < 12; i++) {
        RC_ASSERT(i == victim ||
                  MemberNet_Shown(net.get(), i, victim) == GW_MEMBER_DEAD);
    }
}

// Two in a hundred messages lost, for long: no live member is held dead.
uint64_t
diedByLoss(uint64_t seed, int64_t for_us)
{
    Net net = makeNet(12, 3, seed);
    net->loss_permille = 20;
    MemberNet_List(net.get(), 12);
    MemberNet_Run(net.get(), for_us);
    checkBounds(*net);
    return net->died;
}

void
lossEjectsNobody()
{
    auto seed = *rc::gen::arbitrary<uint64_t>();
    RC_ASSERT(diedByLoss(seed, 120 * kSecond) == 0U);
}

// The same for an hour, in the long check only.
void
hourEjectsNobody()
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        RC_ASSERT(diedByLoss(seed, 3600 * kSecond) == 0U);
    }
}

// Regions that lost each other meet again, and pass on what they hold of each
// other. Within a region, where all heard each other all the time, nobody is
// held dead for that.
void
meetingAgainEjectsNobody()
{
    auto seed = *rc::gen::arbitrary<uint64_t>();
    auto apart = *rc::gen::inRange<int64_t>(5, 200);
    Net net = makeNet(12, 3, seed);
    MemberNet_List(net.get(), 12);
    MemberNet_Run(net.get(), 20 * kSecond);
    net->cut = true;
    MemberNet_Run(net.get(), apart * kSecond);
    net->cut = false;
    MemberNet_Run(net.get(), 40 * kSecond);
    for (uint32_t i = 0; i < net->count; i++) {
        RC_ASSERT(net->wrong[i] == 0U);
    }
    RC_ASSERT(MemberNet_Agrees(net.get()));
}

// A process that was paused wakes with the acks to its probes unread. It
// suspects nobody for its own absence.
void
wakingBlamesNobody()
{
    auto seed = *rc::gen::arbitrary<uint64_t>();
    auto pause = *rc::gen::inRange<int64_t>(1, 400);
    Net net = makeNet(12, 1, seed);
    MemberNet_List(net.get(), 12);
    MemberNet_Run(net.get(), 20 * kSecond);
    for (int i = 0; i < 4; i++) {
        net->nodes[5].paused = true;
        MemberNet_Run(net.get(), pause * 100000);
        net->nodes[5].paused = false;
        MemberNet_Run(net.get(), 10 * kSecond);
    }
    RC_ASSERT(net->suspected[5] == 0U);
    RC_ASSERT(net->wrong[5] == 0U);
    RC_ASSERT(MemberNet_Agrees(net.get()));
}

// An update of an earlier life, however late, brings nobody back.
void
oldNewsRevivesNobody()
{
    auto seed = *rc::gen::arbitrary<uint64_t>();
    auto wait = *rc::gen::inRange<int64_t>(10, 600);
    Net net = makeNet(4, 2, seed);
    MemberNet_List(net.get(), 4);
    MemberNet_Run(net.get(), 10 * kSecond);
    uint64_t node = net->nodes[3].params.id.node;
    GwMemberInfo old = GwMembers_Find(net->nodes[0].members, node)->info;
    MemberNet_Kill(net.get(), 3);
    MemberNet_Run(net.get(), wait * kSecond);
    std::unique_ptr<GwMessage, decltype(&GwMessage_Free)> late(
        GwMessage_Create(GW_MSG_ACK, net->nodes[1].params.id), GwMessage_Free);
    late->u.heartbeat.update_count = 1;
    late->u.heartbeat.updates[0] = old;
    MemberNet_Inject(net.get(), 0, late.get());
    const GwMember *member = GwMembers_Find(net->nodes[0].members, node);
    bool dead = member == nullptr || member->info.state == GW_MEMBER_DEAD;
    RC_ASSERT(dead);
}

} // namespace

int
main()
{
    bool ok = rc::check("tables come right after faults", convergence);
    ok &= rc::check("the dead are out within 10 s", deadWithinBound);
    ok &= rc::check("loss ejects nobody", lossEjectsNobody);
    ok &= rc::check("meeting again ejects nobody", meetingAgainEjectsNobody);
    ok &= rc::check("waking blames nobody", wakingBlamesNobody);
    if (std::getenv("GW_LONG") != nullptr) {
        ok &= rc::check("an hour of loss ejects nobody", [] {
            static bool done = false;
            if (!done) {
                hourEjectsNobody();
                done = true;
            }
        });
    }
    ok &= rc::check("old news revives nobody", oldNewsRevivesNobody);
    return ok ? 0 : 1;
}
