/* Look-up: the list of entries that a caller should use, best first.
 *
 * An entry lists itself first, since it owns the tickets that it mints. If its
 * load is clearly above the mean of its region, a share of its answers equal
 * to the excess lists the least loaded entry first instead. This moves callers
 * back to an entry that was replaced; otherwise the new entry would stay idle,
 * and the units of its seats would be used only on loan. */
#include "entry/node_internal.h"

#include <glib.h>
#include <string.h>

/* An entry is overloaded if its load exceeds this percentage of the mean by
 * more than one call. The margin keeps callers from oscillating between
 * entries, given noise and digests that lag by a heartbeat. */
#define OVERLOAD_PERCENT 120

typedef struct {
    const GwMember *member;
    bool local;    /* in the region of this entry */
    uint64_t load; /* calls of the service, in flight and waiting */
} Candidate;

typedef struct {
    uint32_t count;
    Candidate best[GW_LOOKUP_MAX]; /* best first */
} Ranking;

static bool
is_better(const Candidate *a, const Candidate *b)
{
    if (a->local != b->local) {
        return a->local;
    }
    return a->load < b->load;
}

/* Inserts a candidate, keeping the GW_LOOKUP_MAX best in order. */
static void
insert_candidate(Ranking *r, const Candidate *c)
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

/* Ranks the members that may serve callers: alive, not leaving, and known
 * from a direct message. */
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
        /* Skips most members of other regions before the look-up of their
         * load, which could only lower their rank. */
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
        insert_candidate(r, &c);
    }
}

/* Returns how many of GW_LOOKUP_DRAWS answers list another entry first. */
static uint32_t
count_moving_draws(uint64_t own_load, const Ranking *r)
{
    uint64_t total = own_load;
    uint64_t entries = 1;

    for (uint32_t i = 0; i < r->count && r->best[i].local; i++) {
        total += r->best[i].load;
        entries++;
    }
    if (own_load * entries * 100 <= total * OVERLOAD_PERCENT + entries * 100) {
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
    out->redirect_draws = n->leaving ? 0 : count_moving_draws(own, &r);
    out->is_self_first = !n->leaving && draw >= out->redirect_draws;
    uint32_t first = 0;
    if (!out->is_self_first && r.count > 0) {
        add_member(&r.best[first++], out);
    }
    add_self(n, out);
    while (first < r.count) {
        add_member(&r.best[first++], out);
    }
    return out->count;
}
