/* Choice of a server: the shortcuts of the search must not change its
 * result. */
#include "router/decisions.h"
#include "unit/steering_cases.h"

#include <criterion/criterion.h>
#include <string.h>

#define SERVERS 40
#define SEEDS   200

static const char *const regions[] = {"r1", "r2", "r3"};
static const char *const domains[] = {"d1", "d2", "d3"};

/* Sets a state that requests and reports could have led to. */
static void
set_random_state(GwServer *s, GwRng *rng, int64_t now_us)
{
    s->slots = 1 + GwRng_Below(rng, 8);
    s->peers_in_flight = GwRng_Below(rng, 2 * s->slots);
    s->peers_remote = GwRng_Below(rng, s->peers_in_flight + 1);
    s->reservations = GwRng_Below(rng, 3);
    s->objects = GwRng_Below(rng, 20);
    s->utilization = GwRng_Below(rng, 1500) / 1000.0;
    s->utilization_at_us = now_us - GwRng_Below(rng, 4000000);
    s->slowdown = 0.5 + GwRng_Below(rng, 4000) / 1000.0;
    s->start->is_leaving = GwRng_Below(rng, 20) == 0;
    s->eject_until_us = GwRng_Below(rng, 20) == 0 ? now_us + 1 : 0;
    s->start->cold_until_us = GwRng_Below(rng, 20) == 0 ? now_us + 1 : 0;
}

static GwServer *
choose_among(FakeSteering *f, GwRequest *req, GPtrArray *servers)
{
    GPtrArray *all = req->service->servers;

    req->service->servers = servers;
    GwServer *chosen = GwRouter_Choose(f->router, f->now_us, req).server;
    req->service->servers = all;
    return chosen;
}

/* Chooses between two servers, with `other` evaluated first. */
static GwServer *
better_of(FakeSteering *f, GwRequest *req, GwServer *other, GwServer *best)
{
    GPtrArray *pair = g_ptr_array_new();

    g_ptr_array_add(pair, other);
    g_ptr_array_add(pair, best);
    GwServer *chosen = choose_among(f, req, pair);
    g_ptr_array_free(pair, TRUE);
    return chosen;
}

/* A request that waits, since all servers are full when it arrives. */
static GwRequest *
waiting_request(FakeSteering *f, const char *key)
{
    GwPeerLoad loads[SERVERS];
    GwPeerInfo peer = {.name = "e2",
                       .region = "r1",
                       .serves = true,
                       .load_count = SERVERS,
                       .loads = loads};
    GPtrArray *servers = GwRouter_FindOrAddService(f->router, "s")->servers;

    for (guint i = 0; i < servers->len; i++) {
        loads[i] = (GwPeerLoad){GwServer_Hash(servers->pdata[i]), 6};
    }
    GwRouter_PutPeer(f->router, f->now_us, &peer);
    FakeRequest *req = FakeSteering_Arrive(f, "/again/", key, 3000);
    cr_assert_null(req->server);
    cr_assert_not_null(req->handle);
    return req->handle;
}

/* Guards against: the lower bound on a server's cost, on which most servers are
 * skipped, is too high, and requests go to a worse server. */
Test(router_choice, no_skipped_server_is_better)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        GwRng rng = GwRng_Make(seed);
        FakeSteering *f = Steering_Start(2);
        char id[8];

        for (int i = 0; i < SERVERS; i++) {
            g_snprintf(id, sizeof(id), "s%d", i);
            FakeSteering_PutServer(f, id, regions[i % 3], domains[i % 3], 4);
        }
        GwRequest *req = waiting_request(f, seed % 2 == 0 ? "k" : NULL);
        GPtrArray *all = req->service->servers;
        for (guint i = 0; i < all->len; i++) {
            set_random_state(all->pdata[i], &rng, f->now_us);
        }
        GwServer *best = choose_among(f, req, all);
        cr_assert_not_null(best, "seed %d", (int)seed);
        for (guint i = 0; i < all->len; i++) {
            GwServer *other = all->pdata[i];
            cr_expect_eq(better_of(f, req, other, best), best,
                         "seed %d: %s is better than %s", (int)seed, other->id,
                         best->id);
        }
        for (guint i = 0; i < all->len; i++) {
            ((GwServer *)all->pdata[i])->reservations = 0;
        }
        Steering_Finish(f);
    }
}

#define MS 1000

/* Guards against: a request is refused beside an idle server that was slow
 * lately, because a full one has a lower cost. */
Test(router_choice, nobody_is_refused_beside_an_idle_server)
{
    static const double slow[] = {1.5, 2, 4};

    for (size_t i = 0; i < G_N_ELEMENTS(slow); i++) {
        FakeSteering *f = Steering_Start(2);
        FakeSteering_PutServer(f, "idle", "r1", "d1", 10);
        GPtrArray *servers =
            GwRouter_FindOrAddService(f->router, "s")->servers;
        ((GwServer *)servers->pdata[0])->slowdown = slow[i];
        FakeSteering_PutServer(f, "back", "r1", "d1", 10);
        for (int k = 0; k < 20; k++) {
            FakeRequest *req = FakeSteering_Arrive(f, "/again/", NULL, 8000);
            cr_expect_not_null(req->server, "slow %.1f, request %d", slow[i],
                               k);
            FakeSteering_Advance(f, 10 * MS);
        }
        Steering_Finish(f);
    }
}
