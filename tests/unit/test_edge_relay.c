/* Requests passed on between entries, on the wire. */
#include "edge/peers_internal.h"
#include "edge/relay.h"
#include "fakes/edge_host.h"
#include "fakes/steering.h"
#include "platform/platform.h"

#include <criterion/criterion.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PEER_PROCESS 0x1234567890abcdefULL
/* Longer than the entry's TCP_USER_TIMEOUT, after which its kernel sends
 * nothing again. */
#define AFTER_CUT_MS 1500

typedef struct {
    EdgeHost *h;
    int fd;
    EdgeHostServer *server;
    const char *id;
    char answer[1024];
} Ctx;

static bool
is_answered(void *ctx)
{
    Ctx *c = ctx;

    g_strlcat(c->answer, EdgeHost_Read(c->fd), sizeof(c->answer));
    return strstr(c->answer, "\r\n\r\n") != NULL;
}

static bool
has_arrived(void *ctx)
{
    Ctx *c = ctx;

    return EdgeHost_CountRequests(c->server, c->id) > 0;
}

static bool
has_arrived_or_answered(void *ctx)
{
    return has_arrived(ctx) || is_answered(ctx);
}

/* The bytes that the server received on the connection of the request. */
static const char *
seen_by(const EdgeHostServer *s)
{
    return s->conn_count > 0 ? s->conns[s->conn_count - 1].seen->str : "";
}

static bool
is_closed_by_entry(void *ctx)
{
    Ctx *c = ctx;
    char byte;

    return recv(c->server->conns[0].fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK) ==
           0;
}

/* ---- The entry that is asked --------------------------------------------- */

static void
send_with(int fd, const char *id, const char *fields)
{
    char *text = g_strdup_printf("POST /once/%s HTTP/1.1\r\nHost: h\r\n"
                                 "%s: %s\r\n%s: 5000\r\n%s\r\n",
                                 id, Platform_Adapter.request_id, id,
                                 Platform_Adapter.time_left, fields);

    EdgeHost_SendText(fd, text);
    g_free(text);
}

static char *
process_field(const EdgeHost *h, uint64_t xor_with)
{
    return g_strdup_printf(
        "%s: %016" PRIx64 "\r\n%s: 300\r\n", GW_RELAY_PROCESS,
        GwPeers_ProcessId(h->edge->peers) ^ xor_with, GW_RELAY_OBJECTIVE);
}

/* Guards against: whoever reaches the port of entries, or a process that was
 * started again, gets requests run there. */
Test(edge_relay, only_requests_for_this_process_are_taken)
{
    static const struct {
        const char *name;
        uint64_t xor_with;
        bool has_field;
        bool is_taken;
    } cases[] = {
        {"this process", 0, true, true},
        {"another process", 1, true, false},
        {"no process", 0, false, false},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        EdgeHost *h = EdgeHost_Create();
        EdgeHost_AddServer(h, "s1", 4);
        Ctx ctx = {.h = h,
                   .fd = EdgeHost_ConnectAsPeer(h),
                   .server = &h->servers[0],
                   .id = "r1"};
        char *field = process_field(h, cases[i].xor_with);
        send_with(ctx.fd, ctx.id, cases[i].has_field ? field : "");
        cr_assert(EdgeHost_RunUntil(h, has_arrived_or_answered, &ctx));
        cr_expect_eq(EdgeHost_CountRequests(ctx.server, ctx.id),
                     cases[i].is_taken, "%s", cases[i].name);
        if (cases[i].is_taken) {
            cr_expect_null(strstr(seen_by(ctx.server), GW_RELAY_PROCESS));
            cr_expect_null(strstr(seen_by(ctx.server), GW_RELAY_OBJECTIVE));
            EdgeHost_AnswerWith(ctx.server, ctx.id,
                                GW_RELAY_OUTCOME ": not-run\r\n");
            cr_assert(EdgeHost_RunUntil(h, is_answered, &ctx));
            cr_expect_not_null(strstr(ctx.answer, GW_RELAY_OUTCOME
                                      ": answered; reached\r\n"));
            cr_expect_not_null(strstr(ctx.answer, GW_RELAY_SERVER ": s1\r\n"));
            cr_expect_null(strstr(ctx.answer, ": not-run"));
        }
        else {
            cr_expect_not_null(strstr(ctx.answer, "HTTP/1.1 421"));
            cr_expect_not_null(
                strstr(ctx.answer, GW_RELAY_OUTCOME ": not-run\r\n"));
        }
        g_free(field);
        close(ctx.fd);
        EdgeHost_Free(h);
    }
}

/* Guards against: a caller that sends the fields of entries to the callers'
 * port is taken for an entry. */
Test(edge_relay, the_fields_of_entries_mean_nothing_from_callers)
{
    EdgeHost *h = EdgeHost_Create();
    EdgeHost_AddServer(h, "s1", 4);
    Ctx ctx = {.h = h,
               .fd = EdgeHost_Connect(h),
               .server = &h->servers[0],
               .id = "r1"};
    char *field = process_field(h, 0);

    send_with(ctx.fd, ctx.id, field);
    cr_assert(EdgeHost_RunUntil(h, has_arrived, &ctx));
    cr_expect_eq(h->edge->counts.taken_over, 0);
    cr_expect_null(strstr(seen_by(ctx.server), GW_RELAY_PROCESS));
    EdgeHost_AnswerWith(ctx.server, ctx.id, GW_RELAY_OUTCOME ": x\r\n");
    cr_assert(EdgeHost_RunUntil(h, is_answered, &ctx));
    cr_expect_null(strstr(ctx.answer, GW_RELAY_OUTCOME));
    g_free(field);
    close(ctx.fd);
    EdgeHost_Free(h);
}

/* Guards against: a key is taken as checked because an entry sent it. */
Test(edge_relay, the_key_is_checked_again)
{
    static const struct {
        const char *key;
        int status; /* 0: sent to a server */
    } cases[] = {{"key0", 0}, {"revoked", 401}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        EdgeHost *h = EdgeHost_Create();
        GwRouting *routing = FakeSteering_Routing(2, 3);
        FakeSteering_AddOrganisations(routing, 1);
        cr_assert(GwRouter_SetRouting(h->edge->router, routing));
        GwRouting_Unref(routing);
        EdgeHost_AddServer(h, "s1", 4);
        Ctx ctx = {.h = h,
                   .fd = EdgeHost_ConnectAsPeer(h),
                   .server = &h->servers[0],
                   .id = "r1"};
        char *field = process_field(h, 0);
        char *fields = g_strdup_printf(
            "%s%s: %s\r\n", field, Platform_Adapter.credential, cases[i].key);
        send_with(ctx.fd, ctx.id, fields);
        cr_assert(EdgeHost_RunUntil(h, has_arrived_or_answered, &ctx));
        if (cases[i].status == 0) {
            cr_expect_not_null(
                strstr(seen_by(ctx.server), Platform_Adapter.organisation));
            cr_expect_null(strstr(seen_by(ctx.server), cases[i].key));
        }
        else {
            cr_expect_not_null(strstr(ctx.answer, "HTTP/1.1 401"));
            cr_expect_not_null(
                strstr(ctx.answer, GW_RELAY_OUTCOME ": not-run"));
        }
        g_free(fields);
        g_free(field);
        close(ctx.fd);
        EdgeHost_Free(h);
    }
}

/* Guards against: a server works on for a caller that has left, since only the
 * first entry sees it leave. */
Test(edge_relay, a_disconnect_cancels_through_both_entries)
{
    EdgeHost *h = EdgeHost_Create();
    EdgeHost_AddServer(h, "s1", 4);
    Ctx ctx = {.h = h,
               .fd = EdgeHost_ConnectAsPeer(h),
               .server = &h->servers[0],
               .id = "r1"};
    char *field = process_field(h, 0);

    send_with(ctx.fd, ctx.id, field);
    cr_assert(EdgeHost_RunUntil(h, has_arrived, &ctx));
    close(ctx.fd);
    cr_expect(EdgeHost_RunUntil(h, is_closed_by_entry, &ctx));
    g_free(field);
    EdgeHost_Free(h);
}

/* ---- The entry that passes a request on ---------------------------------- */

/* An entry with one server, which refuses connections, and one peer. */
static EdgeHost *
start_cut(EdgeHostServer **peer)
{
    EdgeHost *h = EdgeHost_Create();

    EdgeHost_AddServer(h, "s1", 4);
    EdgeHost_Crash(&h->servers[0]);
    *peer = EdgeHost_AddPeer(h, "e2", PEER_PROCESS);
    return h;
}

/* Guards against: the other entry's word on the outcome is misread, or its
 * fields reach the caller. */
Test(edge_relay, the_stated_outcome_decides_the_answer)
{
    static const struct {
        const char *name;
        const char *status;
        const char *fields;
        const char *answer; /* start of what the caller gets */
        const char *more;   /* part of it; or NULL */
    } cases[] = {
        {"a server's answer", "200 OK",
         GW_RELAY_OUTCOME ": answered; reached\r\n" GW_RELAY_SERVER ": s7\r\n",
         "HTTP/1.1 200", NULL},
        {"a server's error", "500 Internal Server Error",
         GW_RELAY_OUTCOME ": answered; reached\r\n", "HTTP/1.1 500", NULL},
        {"no room", "503 Service Unavailable",
         GW_RELAY_OUTCOME ": not-run; no-room\r\nRetry-After: 0.700\r\n",
         "HTTP/1.1 503", "Retry-After: 0.700"},
        {"not run", "503 Service Unavailable",
         GW_RELAY_OUTCOME ": not-run\r\n", "HTTP/1.1 503", "Retry-After: "},
        {"may have run", "502 Bad Gateway",
         GW_RELAY_OUTCOME ": unknown; reached\r\n", "HTTP/1.1 502", NULL},
        {"nothing stated", "503 Service Unavailable", "", "HTTP/1.1 502",
         NULL},
        {"stated twice", "503 Service Unavailable",
         GW_RELAY_OUTCOME ": not-run\r\n" GW_RELAY_OUTCOME ": not-run\r\n",
         "HTTP/1.1 502", NULL},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        EdgeHostServer *peer;
        EdgeHost *h = start_cut(&peer);
        Ctx ctx = {
            .h = h, .fd = EdgeHost_Connect(h), .server = peer, .id = "r1"};
        EdgeHost_SendRequestFor(ctx.fd, "/once/", ctx.id, 5000);
        cr_assert(EdgeHost_RunUntil(h, has_arrived, &ctx), "%s",
                  cases[i].name);
        cr_expect_not_null(
            strstr(seen_by(peer), GW_RELAY_PROCESS ": 1234567890abcdef\r\n"));
        cr_expect_null(strstr(seen_by(peer), Platform_Adapter.expect_server));
        char *text = g_strdup_printf(
            "HTTP/1.1 %s\r\n%s: r1\r\n%s: 1\r\n%sContent-Length: 0\r\n\r\n",
            cases[i].status, Platform_Adapter.request_id,
            Platform_Adapter.seal, cases[i].fields);
        EdgeHost_SendText(peer->conns[0].fd, text);
        g_free(text);
        cr_assert(EdgeHost_RunUntil(h, is_answered, &ctx), "%s",
                  cases[i].name);
        cr_expect(g_str_has_prefix(ctx.answer, cases[i].answer), "%s: %s",
                  cases[i].name, ctx.answer);
        cr_expect(cases[i].more == NULL ||
                      strstr(ctx.answer, cases[i].more) != NULL,
                  "%s: %s", cases[i].name, ctx.answer);
        cr_expect_null(strstr(ctx.answer, "gw-relay"), "%s", cases[i].name);
        close(ctx.fd);
        EdgeHost_Free(h);
    }
}

/* Guards against: the other entry goes on for a caller that has left. */
Test(edge_relay, the_callers_disconnect_closes_the_connection)
{
    EdgeHostServer *peer;
    EdgeHost *h = start_cut(&peer);
    Ctx ctx = {.h = h, .fd = EdgeHost_Connect(h), .server = peer, .id = "r1"};

    EdgeHost_SendRequestFor(ctx.fd, "/once/", ctx.id, 5000);
    cr_assert(EdgeHost_RunUntil(h, has_arrived, &ctx));
    close(ctx.fd);
    cr_expect(EdgeHost_RunUntil(h, is_closed_by_entry, &ctx));
    EdgeHost_Free(h);
}

static bool
is_given_up(void *ctx)
{
    Ctx *c = ctx;

    return c->h->edge->counts.undelivered > 0;
}

/* Guards against: the kernel delivers a request to another entry after a cut,
 * though its caller has left. */
Test(edge_relay, an_abandoned_request_is_not_delivered_after_a_cut)
{
    EdgeHostServer *peer;
    EdgeHost *h = start_cut(&peer);
    Ctx ctx = {.h = h, .fd = EdgeHost_Connect(h), .server = peer, .id = "r1"};

    EdgeHost_SendRequestFor(ctx.fd, "/once/", "r1", 5000);
    cr_assert(EdgeHost_RunUntil(h, has_arrived, &ctx));
    EdgeHost_AnswerWith(peer, "r1",
                        GW_RELAY_OUTCOME ": answered; reached\r\n");
    cr_assert(EdgeHost_RunUntil(h, is_answered, &ctx));
    EdgeHost_SetCut(peer, true);
    EdgeHost_SendRequestFor(ctx.fd, "/once/", "r2", 200);
    cr_assert(EdgeHost_RunUntil(h, is_given_up, &ctx));
    EdgeHost_SetCut(peer, false);
    g_usleep(AFTER_CUT_MS * 1000);
    cr_expect_eq(EdgeHost_CountRequests(peer, "r2"), 0);
    close(ctx.fd);
    EdgeHost_Free(h);
}

/* Guards against: a request that was sent to an entry which then dies is sent
 * again, though it may have run. */
Test(edge_relay, a_lost_entry_leaves_the_outcome_open)
{
    EdgeHostServer *peer;
    EdgeHost *h = start_cut(&peer);
    Ctx ctx = {.h = h, .fd = EdgeHost_Connect(h), .server = peer, .id = "r1"};

    EdgeHost_SendRequestFor(ctx.fd, "/once/", ctx.id, 5000);
    cr_assert(EdgeHost_RunUntil(h, has_arrived, &ctx));
    EdgeHost_Crash(peer);
    cr_assert(EdgeHost_RunUntil(h, is_answered, &ctx));
    cr_expect(g_str_has_prefix(ctx.answer, "HTTP/1.1 502"), "%s", ctx.answer);
    EdgeHost_Free(h);
}

/* ---- The directory ------------------------------------------------------- */

static GwPeerEntry *
add_named_peer(EdgeHost *h, const char *name)
{
    GwPeerScan scan;
    GwPeerEntry *peer;

    (void)EdgeHost_AddPeer(h, name, PEER_PROCESS);
    scan = GwPeers_Scan(h->edge->peers, NULL, NULL);
    while ((peer = GwPeerScan_Next(&scan)) != NULL) {
        if (strcmp(peer->name, name) == 0) {
            g_free(peer->call_address);
            peer->call_address = g_strdup(name);
            return peer;
        }
    }
    return NULL;
}

/* Guards against: callers are sent to an entry that reaches no server, or to
 * none because all of them do. */
Test(edge_relay, the_directory_names_cut_entries_last)
{
    static const struct {
        bool lacks_servers[2];
        guint named;
        const char *first; /* NULL: any */
    } cases[] = {
        {{false, false}, 2, NULL},
        {{true, false}, 1, "e3"},
        {{false, true}, 1, "e2"},
        {{true, true}, 2, NULL},
    };
    EdgeHost *h = EdgeHost_Create();
    GwPeerEntry *peers[2];

    peers[0] = add_named_peer(h, "e2");
    peers[1] = add_named_peer(h, "e3");
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        for (int k = 0; k < 2; k++) {
            peers[k]->lacks_servers = cases[i].lacks_servers[k];
        }
        GPtrArray *named = GwPeers_Directory(h->edge->peers, "r1", "d1");
        cr_expect_eq(named->len, cases[i].named, "case %zu: %u", i,
                     named->len);
        cr_expect(cases[i].first == NULL ||
                      strcmp(named->pdata[0], cases[i].first) == 0,
                  "case %zu", i);
        g_ptr_array_free(named, TRUE);
    }
    EdgeHost_Free(h);
}
