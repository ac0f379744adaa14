// Sums of loads sent as changes over a network that loses, duplicates and
// reorders datagrams, while senders and receivers restart: a receiver that
// applied a change holds exactly the counts it was made from, less its own.
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

// A datagram: the packed change and the counts expected after it.
struct Sent {
    std::vector<uint8_t> bytes;
    Counts less_own;
};

struct Sender {
    explicit Sender(uint32_t epoch) : source(GwSumSource_Create(epoch))
    {
    }
    ~Sender()
    {
        GwSumSource_Free(source);
    }
    Sender(const Sender &) = delete;
    Sender &operator=(const Sender &) = delete;

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
update(const Sender &sender, const Counts &counts)
{
    GwLoadSum *sum = GwLoadSum_Create();

    for (const char *region : regions) {
        GArray *loads = arrayOf(counts, region);
        GwLoadSum_Add(sum, region, loads);
        g_array_free(loads, TRUE);
    }
    GwSumSource_Update(sender.source, sum);
    GwLoadSum_Free(sum);
}

Sent
send(const Sender &sender, const Counts &counts, const GwSumAck &ack,
     const Counts &own)
{
    GwSumMessage *message = GwSumMessage_Create();
    GArray *mine = arrayOf(own, "r1");
    Gw__Peer__SumChange *change =
        GwSumSource_WriteChange(sender.source, &ack, "r1", mine, message);
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
checkCopies()
{
    const auto servers = *rc::gen::element<uint32_t>(3, 40, 1500);
    auto sender = std::make_unique<Sender>(1);
    auto receiver = std::make_unique<Receiver>();
    uint32_t epoch = 1;
    uint32_t applied = 0;
    Counts counts;
    std::deque<Sent> net;

    for (int step = 0; step < 40; step++) {
        switch (*rc::gen::inRange(0, 20)) {
        case 0: // the sender restarts, or another entry takes over
            epoch += 1000;
            sender = std::make_unique<Sender>(epoch);
            break;
        case 1:
            receiver = std::make_unique<Receiver>();
            break;
        default:
            break;
        }
        counts = drawCounts(counts, servers,
                            *rc::gen::element<uint32_t>(0, 1, 10, 1200));
        update(*sender, counts);
        net.push_back(send(*sender, counts, GwSumCopy_Ack(receiver->copy),
                           drawOwn(counts)));
        while (!net.empty() && *rc::gen::inRange(0, 3) > 0) {
            size_t at = *rc::gen::inRange<size_t>(0, net.size());
            Sent sent = net[at];
            switch (*rc::gen::inRange(0, 4)) {
            case 0: // lost
                net.erase(net.begin() + static_cast<long>(at));
                break;
            case 1: // duplicated: delivered again later
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
    // Without further loss, the copy is complete after a few changes.
    Counts own = drawOwn(counts);
    Sent last;
    for (int i = 0; i < 8; i++) {
        last = send(*sender, counts, GwSumCopy_Ack(receiver->copy), own);
        (void)apply(*receiver, last);
    }
    RC_ASSERT(receiver->counts == last.less_own);
    RC_CLASSIFY(applied > 5, "changes applied");
}

} // namespace

int
main()
{
    return rc::check("a copy of sums is never wrong", checkCopies) ? 0 : 1;
}
