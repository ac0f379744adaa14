/* The answer to "which entries should I use?".
 *
 * The entry that is asked names itself first, since the tickets it gives are
 * its own, unless it carries clearly more than its region's mean: then a share of
 * the answers, as large as its excess, names the least loaded entry first. So
 * callers that moved to the others while an entry was replaced come back to it;
 * without that it would stay empty, and its seats would work only on loan. */
#include "entry/node_internal.h"

#include <glib.h>
#include <string.h>

/* An entry is over-loaded above this share of the mean, in percent, and by
 * more than one call. The gap keeps callers from moving to and fro on noise
 * and on digests that lag by a heartbeat. */
#define EXCESS_PERCENT 120

typedef struct {
    const GwMember *member;
    bool local;
    uint64_t load; /* calls in flight and waiting, of this service */
} Candidate;

typedef struct {
    uint32_t count;
    Candidate best[GW_LOOKUP_MAX];
} Ranking;

static bool
is_better(const Candidate *a, const Candidate *b)
{
    if (a->local != b->local) {
        return a->local;
    }
    return a->load < b->load;
}

/* Keeps the GW_LOOKUP_MAX best candidates in order. */
static void
keep_best(Ranking *r, const Candidate *c)
{
    uint32_t at = r->count;

    if (at == GW_LOOKUP_MAX) {
        if (!is_better(c, &r->best[at - 1])) {
            return;
        }
        at--;
    }
    else {
        r->count++;
    }
    while (at > 0 && is_better(c, &r->best[at - 1])) {
        r->best[at] = r->best[at - 1];
        at--;
    }
    r->best[at] = *c;
}

/* Members that callers may be sent to: alive, heard directly, not leaving. */
static void
rank_members(const GwNode *n, uint64_t service, Ranking *r)
{
    uint32_t region = GwName_Hash32(n->params.region);

    for (uint32_t i = 0; i < GwMembers_Count(n->members); i++) {
        const GwMember *m = GwMembers_At(n->members, i);
        if (m->info.state != GW_MEMBER_ALIVE || m->heard_us == 0 ||
            m->info.call_address[0] == '\0' ||
            m->info.id.node == n->params.id.node) {
            continue;
        }
        /* Most members of other regions are out before their load is looked
         * up: it could only worsen their place. */
        bool local = m->info.region == region;
        if (r->count == GW_LOOKUP_MAX && !local &&
            (r->best[GW_LOOKUP_MAX - 1].local ||
             r->best[GW_LOOKUP_MAX - 1].load == 0)) {
            continue;
        }
        const GwDigest *digest =
            GwMembers_Digest(n->members, m->info.id.node, service);
        Candidate c = {.member = m,
                       .local = local,
                       .load = digest == NULL ? 0
                                              : (uint64_t)digest->in_flight +
                                                    digest->queued};
        keep_best(r, &c);
    }
}

/* How many of GW_LOOKUP_DRAWS answers name another entry first. */
static uint32_t
draws_to_move(uint64_t own_load, const Ranking *r)
{
    uint64_t total = own_load;
    uint64_t entries = 1;

    for (uint32_t i = 0; i < r->count && r->best[i].local; i++) {
        total += r->best[i].load;
        entries++;
    }
    if (own_load * entries * 100 <= total * EXCESS_PERCENT + entries * 100) {
        return 0;
    }
    uint64_t excess = own_load * entries - total;
    return (uint32_t)(excess * GW_LOOKUP_DRAWS / (own_load * entries));
}

static void
add_self(const GwNode *n, GwLookup *out)
{
    if (n->leaving || out->count == GW_LOOKUP_MAX) {
        return;
    }
    GwLookupEntry *entry = &out->entries[out->count++];
    g_strlcpy(entry->address, n->params.call_address, GW_ADDR_MAX);
    g_strlcpy(entry->domain, n->params.domain, GW_NAME_MAX);
    g_strlcpy(entry->name, n->params.name, GW_NAME_MAX);
    entry->local_region = true;
}

static void
add_member(const Candidate *c, GwLookup *out)
{
    if (out->count == GW_LOOKUP_MAX) {
        return;
    }
    GwLookupEntry *entry = &out->entries[out->count++];
    g_strlcpy(entry->address, c->member->info.call_address, GW_ADDR_MAX);
    g_strlcpy(entry->domain, c->member->info.domain, GW_NAME_MAX);
    g_strlcpy(entry->name, c->member->info.name, GW_NAME_MAX);
    entry->local_region = c->local;
}

GwResult
GwNode_Lookup(const GwNode *n, const char *service, uint32_t draw,
              GwLookup *out)
{
    Ranking r = {0};

    memset(out, 0, sizeof(*out));
    if (n->config == NULL) {
        return GW_ERR(NOT_READY);
    }
    uint32_t index = GwConfig_FindService(n->config, service);
    if (index == GW_NONE) {
        return GW_ERR(NOT_FOUND);
    }
    out->config_version = n->config->version;
    out->ttl_ms = n->params.lookup_ttl_ms;
    rank_members(n, GwName_Hash64(service), &r);

    uint64_t own = (uint64_t)GwSteer_InFlight(n->steer, index) +
                   GwCalls_Queued(n->calls)[index];
    out->moving_draws = n->leaving ? 0 : draws_to_move(own, &r);
    out->self_first = !n->leaving && draw >= out->moving_draws;
    uint32_t first = 0;
    if (!out->self_first && r.count > 0) {
        add_member(&r.best[first++], out);
    }
    add_self(n, out);
    while (first < r.count) {
        add_member(&r.best[first++], out);
    }
    return out->count;
}
