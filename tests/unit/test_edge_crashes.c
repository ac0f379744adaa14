/* Detection of requests that crash servers, over real sockets. */
#include "edge/peers_internal.h"
#include "fakes/edge_host.h"

#include <criterion/criterion.h>
#include <string.h>
#include <unistd.h>

#define SERVERS 4
/* Time between crashes; at this distance only the request can be their common
 * cause. */
#define CRASH_INTERVAL_US 300000

typedef struct {
    EdgeHost *h;
    EdgeHostServer *receiver; /* the server that got the request */
    const char *id;
    int caller;
    char answer[1024]; /* received by the caller */
} Ctx;

static bool
is_answered(void *ctx)
{
    Ctx *c = ctx;

    g_strlcat(c->answer, EdgeHost_Read(c->caller), sizeof(c->answer));
    return c->answer[0] != '\0';
}

static bool
is_decided(void *ctx)
{
    Ctx *c = ctx;

    for (uint32_t i = 0; i < c->h->server_count; i++) {
        if (EdgeHost_CountRequests(&c->h->servers[i], c->id) > 0) {
            c->receiver = &c->h->servers[i];
        }
    }
    return is_answered(c) || c->receiver != NULL;
}

static bool
is_past(void *ctx)
{
    return g_get_monotonic_time() >= *(int64_t *)ctx;
}

static void
run_for(EdgeHost *h, int64_t us)
{
    int64_t end_us = g_get_monotonic_time() + us;

    cr_assert(EdgeHost_RunUntil(h, is_past, &end_us));
}

/* Guards against a caller that goes on crashing servers by connecting from
 * another address each time. */
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
        Ctx ctx = {
            .h = h, .id = "same", .caller = EdgeHost_ConnectFrom(h, ip)};
        EdgeHost_SendRequest(ctx.caller, "/once/", ctx.id);
        cr_assert(EdgeHost_RunUntil(h, is_decided, &ctx));
        if (i < GW_QUARANTINE_CRASHES) {
            cr_assert_not_null(ctx.receiver, "%s", ctx.answer);
            EdgeHost_Crash(ctx.receiver);
            cr_assert(EdgeHost_RunUntil(h, is_answered, &ctx), "round %d: %s",
                      i, ctx.answer);
            cr_expect_not_null(strstr(ctx.answer, "HTTP/1.1 502"));
        }
        else {
            cr_expect_null(ctx.receiver, "sent once more");
            cr_expect_not_null(strstr(ctx.answer, "HTTP/1.1 503"), "%s",
                               ctx.answer);
            cr_expect_not_null(strstr(ctx.answer, "Retry-After: "));
        }
        close(ctx.caller);
        run_for(h, CRASH_INTERVAL_US);
    }
    EdgeHost_Free(h);
}

/* Guards against an entry crashing, or keeping a request's crash records, when
 * another entry reports the request as released: such a record lists no
 * servers. */
Test(edge_crashes, a_release_reported_by_another_entry_applies)
{
    static const GwFingerprint f = {.hi = 1, .lo = 2};
    static uint64_t servers[] = {11, 12, 13};
    static const struct {
        uint32_t generation;
        size_t server_count;
        uint32_t crashes; /* crashes known afterwards */
    } records[] = {{1, 3, 3}, {2, 0, 0}, {1, 3, 0}};
    EdgeHost *h = EdgeHost_Create();
    GwPeers peers = {.edge = h->edge};
    GwPeerEntry peer = {0};
    GwQuarantine *q = GwRouter_Quarantine(h->edge->router);

    for (size_t i = 0; i < G_N_ELEMENTS(records); i++) {
        Gw__Peer__Suspect suspect = GW__PEER__SUSPECT__INIT;
        suspect.fingerprint_hi = f.hi;
        suspect.fingerprint_lo = f.lo;
        suspect.generation = records[i].generation;
        suspect.n_servers = records[i].server_count;
        suspect.servers = records[i].server_count > 0 ? servers : NULL;
        Gw__Peer__Suspect *list[] = {&suspect};
        Gw__Peer__Report report = GW__PEER__REPORT__INIT;
        report.n_suspects = 1;
        report.suspects = list;

        GwPeers_ApplySuspects(&peers, &peer, &report);

        cr_expect_eq(GwQuarantine_Crashes(q, &f), records[i].crashes,
                     "record %zu", i);
    }
    EdgeHost_Free(h);
}
