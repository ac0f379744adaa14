// Membership over a network that loses and delays messages: visible states
// are right again after faults, and loss alone never makes a live member
// dead.
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

// Bounds of one message, and of the messages sent for one received message:
// an answer, one probe per claim sent on, one relayed probe.
void
checkBounds(const MemberNet &net)
{
    RC_ASSERT(net.updates_max <= GW_UPDATES_MAX);
    RC_ASSERT(net.digests_max <= GW_DIGESTS_MAX);
    RC_ASSERT(net.burst_max <= GW_UPDATES_MAX + 1);
}

// Crashes, restarts, pauses and partitions for a minute, then ends all
// faults.
void
injectFaults(MemberNet *net, GwRng *rng)
{
    for (int second = 0; second < 60; second++) {
        uint32_t i = GwRng_Below(rng, net->count);
        switch (GwRng_Below(rng, 16)) {
        case 0:
            MemberNet_Stop(net, i);
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
convergesAfterFaults()
{
    auto seed = *rc::gen::arbitrary<uint64_t>();
    auto count = *rc::gen::inRange<uint32_t>(12, 19);
    auto loss = *rc::gen::inRange<uint32_t>(0, 300);
    Net net = makeNet(count, 3, seed);
    GwRng rng = GwRng_Make(seed);
    MemberNet_List(net.get(), count);
    net->loss_permille = loss;
    injectFaults(net.get(), &rng);
    checkBounds(*net);
    MemberNet_List(net.get(), count);
    MemberNet_Run(net.get(), 60 * kSecond);
    RC_ASSERT(MemberNet_Agrees(net.get()));
}

// A crashed member is dead in all tables within the bound: the time until
// some member probes it, the suspicion, and the gossip.
void
deadWithinBound()
{
    auto seed = *rc::gen::arbitrary<uint64_t>();
    auto victim = *rc::gen::inRange<uint32_t>(0, 12);
    Net net = makeNet(12, 3, seed);
    MemberNet_List(net.get(), 12);
    net->loss_permille = 20;
    MemberNet_Run(net.get(), 20 * kSecond);
    MemberNet_Stop(net.get(), victim);
    MemberNet_Run(net.get(), 10 * kSecond);
    for (uint32_t i = 0; i < 12; i++) {
        RC_ASSERT(i == victim ||
                  MemberNet_State(net.get(), i, victim) == GW_MEMBER_DEAD);
    }
}

// At a loss of 2 percent no live member is held dead.
uint64_t
deathsByLoss(uint64_t seed, int64_t for_us)
{
    Net net = makeNet(12, 3, seed);
    net->loss_permille = 20;
    MemberNet_List(net.get(), 12);
    MemberNet_Run(net.get(), for_us);
    checkBounds(*net);
    return net->died;
}

void
lossKillsNoMember()
{
    auto seed = *rc::gen::arbitrary<uint64_t>();
    RC_ASSERT(deathsByLoss(seed, 120 * kSecond) == 0U);
}

// The same for an hour, in the long check only.
void
hourOfLossKillsNoMember()
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        RC_ASSERT(deathsByLoss(seed, 3600 * kSecond) == 0U);
    }
}

// Partitioned regions reconnect and gossip their states of each other.
// Within a region, whose members exchanged messages all the time, no member
// is held dead because of that.
void
reconnectKillsNoMember()
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

// A paused process resumes with unread acks to its probes. It suspects no
// member because of its own pause.
void
pauseSuspectsNoMember()
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

// A late ALIVE update from before a crash does not revive the member.
void
oldUpdatesReviveNoMember()
{
    auto seed = *rc::gen::arbitrary<uint64_t>();
    auto wait = *rc::gen::inRange<int64_t>(10, 600);
    Net net = makeNet(4, 2, seed);
    MemberNet_List(net.get(), 4);
    MemberNet_Run(net.get(), 10 * kSecond);
    uint64_t node = net->nodes[3].params.id.node;
    GwMemberInfo old = GwMembers_Find(net->nodes[0].members, node)->info;
    MemberNet_Stop(net.get(), 3);
    MemberNet_Run(net.get(), wait * kSecond);
    std::unique_ptr<GwMessage, decltype(&GwMessage_Free)> late(
        GwMessage_Create(GW_MSG_ACK, net->nodes[1].params.id), GwMessage_Free);
    late->u.heartbeat.update_count = 1;
    late->u.heartbeat.updates[0] = old;
    MemberNet_Deliver(net.get(), 0, late.get());
    const GwMember *member = GwMembers_Find(net->nodes[0].members, node);
    bool dead = member == nullptr || member->info.state == GW_MEMBER_DEAD;
    RC_ASSERT(dead);
}

} // namespace

int
main()
{
    bool ok = rc::check("tables converge after faults", convergesAfterFaults);
    ok &= rc::check("crashed members are dead within 10 s", deadWithinBound);
    ok &= rc::check("loss kills no member", lossKillsNoMember);
    ok &= rc::check("reconnecting regions kill no member",
                    reconnectKillsNoMember);
    ok &= rc::check("a paused process suspects no member",
                    pauseSuspectsNoMember);
    if (std::getenv("GW_LONG") != nullptr) {
        ok &= rc::check("an hour of loss kills no member", [] {
            static bool done = false;
            if (!done) {
                hourOfLossKillsNoMember();
                done = true;
            }
        });
    }
    ok &= rc::check("old updates revive no member", oldUpdatesReviveNoMember);
    return ok ? 0 : 1;
}
