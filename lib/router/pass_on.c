/* Passes requests on to another entry, which sends them to a server in place
 * of this one. A request takes one such hop: an entry that gets it from another
 * one sends it to a server or refuses it.
 *
 * Passing on is one attempt of the request, at one server at most, whose
 * outcome the other entry states. Everything that must hold for the request as
 * a whole stays here: its quota, its number of attempts and its retry
 * budget. */
#include "router/router_internal.h"

#include <string.h>

/* Requests passed on to one entry at a time. Its own callers come first. */
#define PASSED_ON_MAX 64
/* Times that a request is passed on without reaching a server. */
#define HOPS_MAX 3
/* Cost of an entry in another failure domain or region, as a number of
 * requests in progress at a nearer one. */
#define OTHER_DOMAIN_COST 4
#define OTHER_REGION_COST 16
/* An entry that could not be connected to is not chosen for this long. */
#define AVOID_US 1000000

static bool
reaches(const GwPeer *peer, const GwServiceState *service)
{
    uint32_t hash = GwService_Hash(service->name);

    for (uint32_t i = 0; i < peer->unreached_count; i++) {
        if (peer->unreached[i] == hash) {
            return false;
        }
    }
    return true;
}

bool
GwRouter_IsReachedByPeer(const GwRouter *r, const GwServiceState *service)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, r->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwPeer *peer = value;
        if (peer->serves && reaches(peer, service)) {
            return true;
        }
    }
    return false;
}

static bool
was_passed_to(const GwRequest *req, const GwPeer *peer)
{
    for (uint32_t i = 0; i < req->hops && i < HOPS_MAX; i++) {
        if (req->tried_peers[i] == peer->hash) {
            return true;
        }
    }
    return false;
}

/* The body of a request with homes goes to no entry outside of them. */
static bool
is_home(const GwPeer *peer, const GwRequest *req)
{
#if GW_MUTANT == 115 /* breaks: a body goes to an entry outside of its homes */
    return true;
#endif
    return !GwRequest_IsRegionBound(req) ||
           GwRequest_AllowsRegion(req, peer->region);
}

static bool
may_take(const GwPeer *peer, int64_t now_us, const GwRequest *req)
{
    return peer->serves && now_us >= peer->avoid_until_us &&
           peer->passed_on < PASSED_ON_MAX && reaches(peer, req->service) &&
           is_home(peer, req) && !was_passed_to(req, peer);
}

static uint32_t
cost_of(const GwRouter *r, const GwPeer *peer)
{
    uint32_t distance =
        strcmp(peer->region, r->params.region) != 0   ? OTHER_REGION_COST
        : strcmp(peer->domain, r->params.domain) != 0 ? OTHER_DOMAIN_COST
                                                      : 0;

    return peer->passed_on + distance;
}

/* The nearest and least used entry; a random one of several. */
static GwPeer *
choose_peer(GwRouter *r, int64_t now_us, const GwRequest *req)
{
    GwPeer *best = NULL;
    uint32_t best_cost = UINT32_MAX;
    uint32_t ties = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, r->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwPeer *peer = value;
        uint32_t cost = cost_of(r, peer);
        if (cost > best_cost || !may_take(peer, now_us, req)) {
            continue;
        }
        ties = cost < best_cost ? 1 : ties + 1;
        if (GwRng_Below(&r->rng, ties) == 0) {
            best = peer;
        }
        best_cost = cost;
    }
    return best;
}

bool
GwRequest_PassOn(GwRouter *r, int64_t now_us, GwRequest *req, GArray *actions)
{
    int64_t until_us = req->server_deadline_us;

#if GW_MUTANT != 111 /* breaks: a request takes any number of hops */
    if (req->is_passed_on) {
        return false;
    }
#endif
    /* In a stop nothing bounds when the other entry answers: the caller is
     * better off there at once. */
    if (req->hops >= HOPS_MAX || until_us <= now_us ||
        r->end_us != INT64_MAX) {
        return false;
    }
    GwPeer *peer = choose_peer(r, now_us, req);
    if (peer == NULL) {
        return false;
    }
    GwRequest_Dequeue(req);
    req->tried_peers[req->hops++] = peer->hash;
    g_strlcpy(req->peer, peer->name, sizeof(req->peer));
    peer->passed_on++;
    req->sent_us = now_us;
    req->attempts++;
    req->sends++;
    GwRequest_SetDeadline(r, req, req->give_up_us);
    GwRouterAction *out = GwRouter_AddAction(actions, GW_ROUTER_PASS_ON, req);
    out->idempotent = req->route->idempotent;
    out->left_ms = (uint32_t)((until_us - now_us) / 1000);
    out->objective_left_ms =
        (int32_t)((req->objective_end_us - now_us) / 1000);
    return true;
}

const char *
GwRequest_Peer(const GwRequest *req)
{
    return req->peer;
}

/* Ends the attempt at the other entry. */
void
GwRequest_ReleasePeer(GwRouter *r, GwRequest *req)
{
    GwPeer *peer = g_hash_table_lookup(r->peers, req->peer);

    if (req->peer[0] == '\0') {
        return;
    }
    if (peer != NULL && peer->passed_on > 0) {
        peer->passed_on--;
    }
    g_strlcpy(req->last_peer, req->peer, sizeof(req->last_peer));
    req->peer[0] = '\0';
}

/* What the server said in an answer that this entry passes on binds it like an
 * answer of its own connection. */
static void
learn_statements(GwRouter *r, int64_t now_us, const GwPassedOnEnd *end)
{
    GwServer *s = end->server != NULL
                      ? g_hash_table_lookup(r->servers, end->server)
                      : NULL;

    if (s == NULL) {
        return;
    }
    GwRouter_LearnLimit(r, now_us, s, &end->attempt);
    if (end->attempt.leaving) {
        GwRouter_LearnLeaving(r, now_us, s);
    }
}

/* The outcome of an attempt, as the rest of this core counts it: one that
 * reached no server is no attempt. */
static void
count_attempt(GwRequest *req, const GwPassedOnEnd *end)
{
    if (!end->has_reached) {
        req->attempts--;
        return;
    }
    req->arrivals++;
    req->hops = 0;
}

void
GwRouter_PassedOnEnded(GwRouter *r, int64_t now_us, GwRequest *req,
                       const GwPassedOnEnd *end, GArray *actions)
{
    GwServiceState *service = req->service;
    GwPeer *peer = g_hash_table_lookup(r->peers, req->peer);
    GwAttemptOutcome outcome = end->attempt.outcome;

    GwRouter_FreeRemoved(r, actions);
    if (outcome == GW_ATTEMPT_UNSENT && !end->attempt.withheld &&
        peer != NULL) {
        peer->avoid_until_us = now_us + AVOID_US;
    }
    GwRequest_ReleasePeer(r, req);
    learn_statements(r, now_us, end);
    count_attempt(req, end);
    if (end->server != NULL) {
        g_strlcpy(req->last_server, end->server, sizeof(req->last_server));
    }
    if (end->attempt.fingerprint != NULL && outcome == GW_ATTEMPT_ANSWERED &&
        end->attempt.status < 500) {
        GwQuarantine_NoteSuccess(r->quarantine, now_us,
                                 end->attempt.fingerprint);
    }
    req->peer_retry_after_ms = end->retry_after_ms;
    if (end->has_no_capacity) {
        GwRequest_Refuse(r, now_us, req, GW_REPLY_NO_CAPACITY, actions);
    }
    else {
        GwRequest_EndAttempt(r, now_us, req, NULL, &end->attempt, actions);
    }
    GwRouter_DispatchWaiting(r, now_us, service, actions);
}
