// Sums of loads told as what has changed, over a net that loses, doubles and
// reorders, to receivers and by tellers that start anew: a receiver that has
// applied a change holds exactly the counts that it was made of, less its own.
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <utility>
#include <vector>

#include <glib.h>

extern "C" {
#include "edge/sum_change.h"
}

namespace {

using Key = std::pair<std::string, uint32_t>;
using Counts = std::map<Key, uint32_t>;

const char *const regions[] = {"r1", "r2", "r3"};

// A datagram: the packed change, and the counts that it should lead to.
struct Sent {
    std::vector<uint8_t> bytes;
    Counts less_own;
};

struct Teller {
    explicit Teller(uint32_t epoch) : source(GwSumSource_Create(epoch))
    {
    }
    ~Teller()
    {
        GwSumSource_Free(source);
    }
    Teller(const Teller &) = delete;
    Teller &operator=(const Teller &) = delete;

    GwSumSource *source;
};

void
setCount(void *ctx, const char *region, uint32_t server, uint32_t count)
{
    Counts &counts = *static_cast<Counts *>(ctx);

    if (count == 0) {
        counts.erase({region, server});
    }
    else {
        counts[{region, server}] = count;
    }
}

struct Receiver {
    Receiver() : copy(GwSumCopy_Create(setCount, &counts))
    {
    }
    ~Receiver()
    {
        GwSumCopy_Free(copy);
    }
    Receiver(const Receiver &) = delete;
    Receiver &operator=(const Receiver &) = delete;

    Counts counts;
    GwSumCopy *copy;
};

GArray *
arrayOf(const Counts &counts, const std::string &region)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(GwPeerLoad));

    for (const auto &[key, count] : counts) {
        if (key.first == region) {
            GwPeerLoad load = {key.second, count};
            g_array_append_val(out, load);
        }
    }
    return out;
}

void
update(const Teller &teller, const Counts &counts)
{
    GwLoadSum *sum = GwLoadSum_Create();

    for (const char *region : regions) {
        GArray *loads = arrayOf(counts, region);
        GwLoadSum_Add(sum, region, loads);
        g_array_free(loads, TRUE);
    }
    GwSumSource_Update(teller.source, sum);
    GwLoadSum_Free(sum);
}

Sent
tell(const Teller &teller, const Counts &counts, const GwSumAck &ack,
     const Counts &own)
{
    GwSumMessage *message = GwSumMessage_Create();
    GArray *mine = arrayOf(own, "r1");
    Gw__Peer__SumChange *change =
        GwSumSource_WriteChange(teller.source, &ack, "r1", mine, message);
    Sent sent;

    sent.bytes.resize(gw__peer__sum_change__get_packed_size(change));
    gw__peer__sum_change__pack(change, sent.bytes.data());
    sent.less_own = counts;
    for (const auto &[key, count] : own) {
        uint32_t all = sent.less_own[key];
        sent.less_own[key] = all > count ? all - count : 0;
    }
    for (auto it = sent.less_own.begin(); it != sent.less_own.end();) {
        it = it->second == 0 ? sent.less_own.erase(it) : std::next(it);
    }
    g_array_free(mine, TRUE);
    GwSumMessage_Free(message);
    return sent;
}

bool
apply(Receiver &receiver, const Sent &sent)
{
    Gw__Peer__SumChange *change = gw__peer__sum_change__unpack(
        nullptr, sent.bytes.size(), sent.bytes.data());
    bool applied = GwSumCopy_Apply(receiver.copy, change);

    gw__peer__sum_change__free_unpacked(change, nullptr);
    return applied;
}

Counts
drawCounts(const Counts &before, uint32_t servers, uint32_t changes)
{
    Counts counts = before;

    for (uint32_t i = 0; i < changes; i++) {
        Key key = {regions[*rc::gen::inRange(0, 3)],
                   *rc::gen::inRange<uint32_t>(1, servers + 1)};
        counts[key] = *rc::gen::inRange<uint32_t>(0, 200);
    }
    return counts;
}

Counts
drawOwn(const Counts &counts)
{
    Counts own;

    for (const auto &[key, count] : counts) {
        if (key.first == "r1" && count > 0 && *rc::gen::inRange(0, 10) == 0) {
            own[key] = *rc::gen::inRange<uint32_t>(1, count + 1);
        }
    }
    return own;
}

void
play()
{
    const auto servers = *rc::gen::element<uint32_t>(3, 40, 1500);
    auto teller = std::make_unique<Teller>(1);
    auto receiver = std::make_unique<Receiver>();
    uint32_t epoch = 1;
    uint32_t applied = 0;
    Counts counts;
    std::deque<Sent> net;

    for (int step = 0; step < 40; step++) {
        switch (*rc::gen::inRange(0, 20)) {
        case 0: // the teller is another process, or another entry
            epoch += 1000;
            teller = std::make_unique<Teller>(epoch);
            break;
        case 1:
            receiver = std::make_unique<Receiver>();
            break;
        default:
            break;
        }
        counts = drawCounts(counts, servers,
                            *rc::gen::element<uint32_t>(0, 1, 10, 1200));
        update(*teller, counts);
        net.push_back(tell(*teller, counts, GwSumCopy_Ack(receiver->copy),
                           drawOwn(counts)));
        while (!net.empty() && *rc::gen::inRange(0, 3) > 0) {
            size_t at = *rc::gen::inRange<size_t>(0, net.size());
            Sent sent = net[at];
            switch (*rc::gen::inRange(0, 4)) {
            case 0: // lost
                net.erase(net.begin() + static_cast<long>(at));
                break;
            case 1: // comes again later
                break;
            default:
                net.erase(net.begin() + static_cast<long>(at));
                break;
            }
            if (*rc::gen::inRange(0, 5) > 0 && apply(*receiver, sent)) {
                applied++;
                if (GwSumCopy_Ack(receiver->copy).cells < GW_SUM_NAMED_MAX) {
                    RC_ASSERT(receiver->counts == sent.less_own);
                }
            }
        }
    }
    // Nothing is lost any more: all is there after a few changes.
    Counts own = drawOwn(counts);
    Sent last;
    for (int i = 0; i < 8; i++) {
        last = tell(*teller, counts, GwSumCopy_Ack(receiver->copy), own);
        (void)apply(*receiver, last);
    }
    RC_ASSERT(receiver->counts == last.less_own);
    RC_CLASSIFY(applied > 5, "changes applied");
}

} // namespace

int
main()
{
    return rc::check("a copy of sums is never wrong", play) ? 0 : 1;
}
