// Synchronisation of the configuration among several entries, over a table
// and links that lose, delay and corrupt. In every entry the version never
// falls and the document is one that was published; after the faults all
// entries hold the last one.
#include "c_api.hpp"

#include <rapidcheck.h>

#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>
#include <xxhash.h>

namespace {

constexpr int64_t kMs = 1000;
constexpr int64_t kSecond = 1000 * kMs;

struct Plan {
    uint64_t seed;
    uint32_t entries;
    uint32_t loss_percent;
    uint32_t corrupt_percent;
    uint32_t outage_percent; // chance per second of a table outage
                             // to begin or to end
};

void
showValue(const Plan &p, std::ostream &os)
{
    os << "seed=" << p.seed << " entries=" << p.entries
       << " loss=" << p.loss_percent << " corrupt=" << p.corrupt_percent
       << " outage=" << p.outage_percent;
}

// Corruption keeps the outer braces, so that only the checksum detects it.
std::string
document(uint64_t version)
{
    return "{\"regions\": [{\"name\": \"ogre\", \"seats\": " +
           std::to_string(version % 40 + 1) +
           "}], \"services\": [], \"places\": [], \"shifts\": [], "
           "\"links\": []}";
}

struct Event {
    int64_t at_us;
    uint64_t order;
    uint32_t entry;
    std::shared_ptr<GwTableReply> reply;
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
          table_(GwFakeTable_Create()), syncs_(plan.entries),
          versions_(plan.entries)
    {
        for (uint32_t i = 0; i < plan.entries; i++) {
            start(i);
        }
    }
    ~Model()
    {
        for (auto *s : syncs_) {
            GwSync_Free(s);
        }
        GwFakeTable_Free(table_);
        GwActions_Free(&out_);
    }
    Model(const Model &) = delete;
    Model &operator=(const Model &) = delete;

    void
    run(int64_t for_us, bool faults)
    {
        faults_ = faults;
        is_table_down_ = is_table_down_ && faults;
        for (int64_t end_us = now_us_ + for_us; now_us_ < end_us;) {
            now_us_ += 50 * kMs;
            deliver();
            for (uint32_t i = 0; i < syncs_.size(); i++) {
                GwSync_Tick(syncs_[i], now_us_, &out_);
                performActions(i);
            }
            if (now_us_ % kSecond == 0) {
                runEverySecond();
            }
        }
    }

    void
    publish()
    {
        std::string text = document(++published_);
        char key[GW_ROW_KEY_MAX];
        g_snprintf(key, sizeof(key), "config/doc/%020d",
                   static_cast<int>(published_));
        char head[64];
        g_snprintf(head, sizeof(head), "%d %016llx",
                   static_cast<int>(published_),
                   static_cast<unsigned long long>(
                       XXH64(text.data(), text.size(), 0)));
        GwFakeTable_Put(table_, key, text.c_str());
        GwFakeTable_Put(table_, GW_KEY_HEAD, head);
    }

    bool
    allHaveTheLastVersion() const
    {
        for (uint32_t i = 0; i < syncs_.size(); i++) {
            if (version(i) != published_ ||
                !GwSync_IsReady(syncs_[i], now_us_)) {
                return false;
            }
        }
        return true;
    }

  private:
    void
    start(uint32_t i)
    {
        GwNodeParams params{};
        params.id = {i + 1U, ++starts_};
        params.seed = GwRng_Next(&rng_);
        params.config_poll_ms = 2000;
        GwSync_Free(syncs_[i]);
        syncs_[i] = GwSync_Create(&params);
        versions_[i] = 0;
    }

    bool
    chance(uint32_t percent)
    {
        return faults_ && GwRng_Below(&rng_, 100) < percent;
    }

    uint64_t
    version(uint32_t i) const
    {
        const GwConfig *config = GwSync_Config(syncs_[i]);
        return config == nullptr ? 0 : config->version;
    }

    void
    runEverySecond()
    {
        if (chance(plan_.outage_percent)) {
            is_table_down_ = !is_table_down_;
        }
        if (chance(30)) {
            publish();
        }
        if (chance(5)) {
            start(GwRng_Below(&rng_, plan_.entries));
        }
        for (uint32_t i = 0; i < syncs_.size(); i++) {
            uint32_t from = GwRng_Below(&rng_, plan_.entries);
            if (from != i && !chance(plan_.loss_percent)) {
                std::string address = std::to_string(from);
                GwSync_NotePeerVersion(syncs_[i], now_us_, {from + 1U, 1},
                                       address.c_str(), version(from), &out_);
                performActions(i);
            }
        }
    }

    // The document in force is one that was published, of its version, and
    // the version did not fall.
    void
    check(uint32_t i)
    {
        const GwConfig *config = GwSync_Config(syncs_[i]);
        if (config == nullptr) {
            return;
        }
        RC_ASSERT(config->version >= versions_[i]);
        versions_[i] = config->version;
        RC_ASSERT(std::string(config->text, config->text_len) ==
                  document(config->version));
    }

    int64_t
    delay()
    {
        return GwRng_Jitter(&rng_, 5 * kMs, faults_ ? 6 * kSecond : 50 * kMs);
    }

    void
    corrupt(char *text, uint32_t len)
    {
        if (len > 40 && chance(plan_.corrupt_percent)) {
            text[1 + GwRng_Below(&rng_, len - 2)] ^= 1;
        }
    }

    void
    push(Event event)
    {
        event.at_us = now_us_ + delay();
        event.order = order_++;
        events_.push(event);
    }

    void
    performActions(uint32_t i)
    {
        for (uint32_t k = 0; k < out_.count; k++) {
            GwAction *action = &out_.items[k];
            Event event{};
            event.entry = i;
            if (action->kind == GW_ACTION_TABLE) {
                sendToTable(event, action->u.table);
            }
            else if (action->kind == GW_ACTION_SEND &&
                     !chance(plan_.loss_percent)) {
                event.entry =
                    static_cast<uint32_t>(std::stoul(action->u.send.address));
                event.message.reset(action->u.send.message, GwMessage_Free);
                action->u.send.message = nullptr;
                if (event.message->kind == GW_MSG_CONFIG_DOC) {
                    corrupt(event.message->u.doc.text,
                            event.message->u.doc.text_len);
                }
                push(event);
            }
        }
        GwActions_Clear(&out_);
        check(i);
    }

    void
    sendToTable(Event event, const GwTableRequest *request)
    {
        if (chance(plan_.loss_percent / 2)) {
            return; // no reply at all
        }
        GwTableReply *reply = is_table_down_ || chance(plan_.loss_percent)
                                  ? GwFakeTable_Lost(request)
                                  : GwFakeTable_Execute(table_, request);
        event.reply.reset(reply, GwFakeTable_FreeReply);
        if (reply->row_count > 0) {
            corrupt(reply->rows[0].value, reply->rows[0].len);
        }
        push(event);
    }

    void
    deliver()
    {
        while (!events_.empty() && events_.top().at_us <= now_us_) {
            Event event = events_.top();
            events_.pop();
            GwSync *s = syncs_[event.entry];
            if (event.reply) {
                GwSync_TableReply(s, now_us_, event.reply.get(), &out_);
            }
            else {
                std::string address =
                    std::to_string(event.message->from.node - 1);
                GwSync_Receive(s, now_us_, event.message.get(),
                               address.c_str(), &out_);
            }
            performActions(event.entry);
        }
    }

    Plan plan_;
    GwRng rng_;
    GwFakeTable *table_;
    std::vector<GwSync *> syncs_;
    std::vector<uint64_t> versions_;
    std::priority_queue<Event> events_;
    GwActions out_{};
    int64_t now_us_ = kSecond;
    uint64_t order_ = 0;
    uint64_t starts_ = 0;
    uint64_t published_ = 0;
    bool faults_ = false;
    bool is_table_down_ = false;
};

rc::Gen<Plan>
genPlan()
{
    return rc::gen::build<Plan>(
        rc::gen::set(&Plan::seed, rc::gen::arbitrary<uint64_t>()),
        rc::gen::set(&Plan::entries, rc::gen::inRange<uint32_t>(2, 10)),
        rc::gen::set(&Plan::loss_percent, rc::gen::inRange<uint32_t>(0, 60)),
        rc::gen::set(&Plan::corrupt_percent,
                     rc::gen::inRange<uint32_t>(0, 30)),
        rc::gen::set(&Plan::outage_percent,
                     rc::gen::inRange<uint32_t>(0, 20)));
}

} // namespace

int
main()
{
    std::string text = document(1);
    GwConfig *config = GwConfig_Parse(
        text.data(), static_cast<uint32_t>(text.size()), 1, nullptr);
    if (config == nullptr) {
        return 1;
    }
    GwConfig_Free(config);
    bool ok = rc::check("versions rise, only intact documents, all equal", [] {
        Plan plan = *rc::gen::noShrink(genPlan());
        Model model(plan);
        model.publish();
        model.run(120 * kSecond, true);
        model.publish();
        model.run(40 * kSecond, false);
        RC_ASSERT(model.allHaveTheLastVersion());
    });
    return ok ? 0 : 1;
}
