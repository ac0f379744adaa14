/* Fakes of the seats and the member table, for tests of the steering code
 * alone. A program that includes this file defines these symbols itself, so
 * the library's own are not linked. */
#ifndef GW_TESTS_PROPERTY_STEER_FAKE_HPP
#define GW_TESTS_PROPERTY_STEER_FAKE_HPP

#include <glib.h>

#include <array>
#include <cstdint>
#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "steer/steer_internal.h"
}

constexpr uint32_t SEATS = 6;
constexpr uint64_t NO_NODE = 0;

/* The seats as one node sees them. `holder` is shared by the nodes of a
 * region and stands for the rows of the table. */
struct GwSeats_s {
    uint64_t node = 0;
    std::array<uint64_t, SEATS> *holder = nullptr;
    std::array<bool, SEATS> parting{};
    std::array<uint64_t, SEATS> next_holder{};
    bool fenced = false;
    uint64_t epoch = 1;
};

struct GwMembers_s {
    std::vector<GwMember> all;
    std::vector<GwDigest> digests;
};

extern "C" {

bool
GwSeats_IsUsable(const GwSeats *s, uint32_t seat)
{
    return (*s->holder)[seat] == s->node && !s->fenced && !s->parting[seat];
}

bool
GwSeats_IsHandingOver(const GwSeats *s, uint32_t seat)
{
    return s->parting[seat];
}

void
GwSeats_Release(GwSeats *s, int64_t, uint32_t seat, const GwMembers *,
                GwActions *)
{
    (*s->holder)[seat] = s->next_holder[seat];
    s->parting[seat] = false;
    s->epoch++;
}

uint64_t
GwSeats_Epoch(const GwSeats *s)
{
    return s->epoch;
}

bool
GwSeats_IsFenced(const GwSeats *s)
{
    return s->fenced;
}

uint32_t
GwSeat_OfUnit(uint64_t owner, uint32_t index, uint32_t, uint32_t seats)
{
    return (uint32_t)((owner % seats + index) % seats);
}

uint32_t
GwMembers_Count(const GwMembers *m)
{
    return (uint32_t)m->all.size();
}

const GwMember *
GwMembers_At(const GwMembers *m, uint32_t i)
{
    return &m->all[i];
}

const GwMember *
GwMembers_Find(const GwMembers *m, uint64_t node)
{
    for (const auto &item : m->all) {
        if (item.info.id.node == node) {
            return &item;
        }
    }
    return nullptr;
}

const GwDigest *
GwMembers_Digest(const GwMembers *m, uint64_t node, uint64_t service)
{
    for (const auto &item : m->digests) {
        if (item.id.node == node && item.service == service) {
            return &item;
        }
    }
    return nullptr;
}
}

/* A configuration of two regions with one service and two servers each;
 * owns the arrays that its GwConfig points to. */
struct TestConfig {
    GwConfig config{};
    std::vector<GwRegion> regions;
    std::vector<GwService> services;
    std::vector<GwPlace> places;
    std::vector<GwBackend> backends;
    std::vector<GwShift> shifts;
    std::vector<GwLink> links;

    TestConfig(uint32_t slots, uint32_t shift_cap, uint32_t link_cap,
               bool drain_source, uint32_t servers = 2)
    {
        for (const char *name : {"here", "there"}) {
            GwRegion r{};
            g_strlcpy(r.name, name, sizeof(r.name));
            r.seats = SEATS;
            regions.push_back(r);
        }
        GwService service{};
        g_strlcpy(service.name, "svc", sizeof(service.name));
        service.deadline_max_ms = 2500;
        services.push_back(service);
        for (uint32_t r = 0; r < 2; r++) {
            GwPlace place{};
            place.region = r;
            place.first_backend = (uint32_t)backends.size();
            place.backend_count = servers;
            place.drain = r == 0 && drain_source;
            places.push_back(place);
            for (uint32_t i = 0; i < servers; i++) {
                GwBackend b{};
                b.id = 1000 * (r + 1) + i;
                b.place = r;
                b.slots = slots;
                b.connections = 330;
                backends.push_back(b);
            }
        }
        GwShift shift{};
        shift.to = 1;
        shift.cap = shift_cap;
        if (shift_cap > 0) {
            shifts.push_back(shift);
        }
        GwLink link{};
        link.to = 1;
        link.cap = link_cap;
        if (link_cap > 0) {
            links.push_back(link);
        }
        fill();
    }

    void
    fill()
    {
        config.warmup_step = 4;
        config.region_count = (uint32_t)regions.size();
        config.service_count = (uint32_t)services.size();
        config.place_count = (uint32_t)places.size();
        config.backend_count = (uint32_t)backends.size();
        config.shift_count = (uint32_t)shifts.size();
        config.link_count = (uint32_t)links.size();
        config.regions = regions.data();
        config.services = services.data();
        config.places = places.data();
        config.backends = backends.data();
        config.shifts = shifts.data();
        config.links = links.data();
    }
};

inline GwNodeParams
fake_params(uint64_t node, uint64_t start, const char *region)
{
    GwNodeParams p{};
    p.id = GwNodeId{node, start};
    g_strlcpy(p.region, region, sizeof(p.region));
    p.seed = node * 7919 + start;
    p.fence_ms = 500;
    p.loan_term_ms = 4000;
    p.loan_margin_ms = 300;
    p.drain_hint_ttl_ms = 2000;
    p.policy = GW_POLICY_SLOTS;
    return p;
}

inline GwMember
fake_member(uint64_t node, uint64_t start, const char *region)
{
    GwMember m{};
    m.info.id = GwNodeId{node, start};
    m.info.state = GW_MEMBER_ALIVE;
    m.info.region = GwName_Hash32(region);
    g_snprintf(m.info.peer_address, GW_ADDR_MAX, "127.0.0.1:%u",
               (unsigned)node);
    return m;
}

#endif
