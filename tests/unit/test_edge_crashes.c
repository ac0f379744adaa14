/* Requests that crash servers, as sockets show it. */
#include "edge/peers_internal.h"
#include "fakes/edge_host.h"

#include <criterion/criterion.h>
#include <string.h>
#include <unistd.h>

#define SERVERS 4
/* Crashes that lie so far apart have no cause but the request in common. */
#define APART_US 300000

typedef struct {
    EdgeHost *h;
    EdgeHostServer *got; /* the server that got the request */
    const char *id;
    int caller;
    char said[1024]; /* to the caller */
} Ctx;

static bool
is_answered(void *ctx)
{
    Ctx *c = ctx;

    g_strlcat(c->said, EdgeHost_Read(c->caller), sizeof(c->said));
    return c->said[0] != '\0';
}

static bool
is_decided(void *ctx)
{
    Ctx *c = ctx;

    for (uint32_t i = 0; i < c->h->server_count; i++) {
        if (EdgeHost_Got(&c->h->servers[i], c->id) > 0) {
            c->got = &c->h->servers[i];
        }
    }
    return is_answered(c) || c->got != NULL;
}

/* Guards against: a caller that comes by another address each time goes on
 * crashing servers. */
Test(edge_crashes, one_request_is_held_by_whatever_address_it_comes)
{
    EdgeHost *h = EdgeHost_Create();
    static const char *const ids[SERVERS] = {"a", "b", "c", "d"};

    for (int i = 0; i < SERVERS; i++) {
        EdgeHost_AddServer(h, ids[i], 1);
    }
    for (int i = 0; i < SERVERS; i++) {
        char ip[16];
        g_snprintf(ip, sizeof(ip), "127.0.0.%d", i + 2);
        Ctx ctx = {.h = h, .id = "same", .caller = EdgeHost_CallFrom(h, ip)};
        EdgeHost_Ask(ctx.caller, "/once/", ctx.id);
        cr_assert(EdgeHost_Until(h, is_decided, &ctx));
        if (i < GW_QUARANTINE_CRASHES) {
            cr_assert_not_null(ctx.got, "%s", ctx.said);
            EdgeHost_Crash(ctx.got);
            cr_assert(EdgeHost_Until(h, is_answered, &ctx), "round %d: %s", i,
                      ctx.said);
            cr_expect_not_null(strstr(ctx.said, "HTTP/1.1 502"));
        }
        else {
            cr_expect_null(ctx.got, "sent once more");
            cr_expect_not_null(strstr(ctx.said, "HTTP/1.1 503"), "%s",
                               ctx.said);
            cr_expect_not_null(strstr(ctx.said, "Retry-After: "));
        }
        close(ctx.caller);
        g_usleep(APART_US);
    }
    EdgeHost_Free(h);
}

/* Guards against: an entry ends, or keeps a request's crashes, when another
 * entry tells that the request was released: such a record has no servers. */
Test(edge_crashes, a_release_is_taken_from_another_entry)
{
    static const GwFingerprint f = {.hi = 1, .lo = 2};
    static uint64_t servers[] = {11, 12, 13};
    static const struct {
        uint32_t generation;
        size_t server_count;
        uint32_t crashes; /* known then */
    } told[] = {{1, 3, 3}, {2, 0, 0}, {1, 3, 0}};
    EdgeHost *h = EdgeHost_Create();
    GwPeers peers = {.edge = h->edge};
    GwPeerEntry peer = {0};
    GwQuarantine *q = GwRouter_Quarantine(h->edge->router);

    for (size_t i = 0; i < G_N_ELEMENTS(told); i++) {
        Gw__Peer__Suspect suspect = GW__PEER__SUSPECT__INIT;
        suspect.fingerprint_hi = f.hi;
        suspect.fingerprint_lo = f.lo;
        suspect.generation = told[i].generation;
        suspect.n_servers = told[i].server_count;
        suspect.servers = told[i].server_count > 0 ? servers : NULL;
        Gw__Peer__Suspect *list[] = {&suspect};
        Gw__Peer__Report report = GW__PEER__REPORT__INIT;
        report.n_suspects = 1;
        report.suspects = list;

        GwPeers_TakeSuspects(&peers, &peer, &report);

        cr_expect_eq(GwQuarantine_Crashes(q, &f), told[i].crashes,
                     "record %zu", i);
    }
    EdgeHost_Free(h);
}
