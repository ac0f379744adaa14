/* Whole daemons in this process, on a platform and backend servers in
 * memory, called over HTTP. Every wait is for an event, not for a time. */
#include "common/client.h"
#include "common/http.h"
#include "fakes/platform.h"
#include "runtime/runtime_internal.h"

#include <criterion/criterion.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Nothing of the decision code's time-outs is to end a call here. */
#define SLOW                                                                  \
    ", \"probe_period_ms\": 200, \"probe_timeout_ms\": 100, "                 \
    "\"suspect_timeout_ms\": 300000, \"attempt_timeout_ms\": 60000"

#define BODY_LEN 60000

#define SERVICE                                                               \
    "\"deadline_max_ms\": 60000, \"hedge_percentile\": 50, "                  \
    "\"operations\": [{\"method\": \"GET\", \"path\": \"/*\", "               \
    "\"idempotent\": true}]"
#define SLOTS "\"slots\": 4, \"connections\": 330"

/* Directs the backend servers. */
typedef struct {
    FakePlatform *platform;
    FakeBackends backends;
    GsClient client;
    atomic_uint hold; /* requests still to be held back */
    atomic_uint held;
    atomic_uint gone; /* held ones whose connection was closed */
    atomic_uint runs;
    atomic_bool release;
} World;

static void
wait_for(atomic_uint *counter, uint32_t value)
{
    while (atomic_load(counter) < value) {
        g_usleep(200);
    }
}

static bool
take_hold(World *w)
{
    uint32_t hold = atomic_load(&w->hold);
    while (hold > 0) {
        if (atomic_compare_exchange_weak(&w->hold, &hold, hold - 1)) {
            return true;
        }
    }
    return false;
}

/* Held back until the connection closes or the test lets go. */
static void
stay(World *w, struct mg_connection *conn)
{
    int fd = 0;
    atomic_fetch_add(&w->held, 1);
    while (!atomic_load(&w->release)) {
        if (GsHttp_WaitGone(conn, 5000, &fd)) {
            atomic_fetch_add(&w->gone, 1);
            return;
        }
    }
}

/* Each run has its own body, large and told apart by its first number. */
static int
on_request(struct mg_connection *conn, void *ctx)
{
    World *w = ctx;
    char *asked = GsHttp_ReadBody(conn);
    uint32_t run = atomic_fetch_add(&w->runs, 1);
    if (take_hold(w)) {
        stay(w, conn);
    }
    GString *body = g_string_new(NULL);
    g_string_printf(body, "%u %s ", run, asked != NULL ? asked : "");
    while (body->len < BODY_LEN) {
        g_string_append_c(body, (char)('a' + body->len % 23));
    }
    int status = GsHttp_Reply(conn, 200, "", body->str);
    g_string_free(body, TRUE);
    g_free(asked);
    return status;
}

/* Service "s" has places in both regions, "t" only in r1: its calls that
 * come in at r0 are shifted there. */
static char *
config_text(const World *w)
{
    const FakeBackends *b = &w->backends;
    return g_strdup_printf(
        "{\"warmup_step\": 20, \"regions\": ["
        "{\"name\": \"r0\", \"seats\": 2}, "
        "{\"name\": \"r1\", \"seats\": 2}], \"services\": ["
        "{\"name\": \"s\", " SERVICE "}, {\"name\": \"t\", " SERVICE "}], "
        "\"places\": ["
        "{\"service\": \"s\", \"region\": \"r0\", \"backends\": ["
        "{\"name\": \"a\", \"address\": \"%s\", " SLOTS "}, "
        "{\"name\": \"b\", \"address\": \"%s\", " SLOTS "}]}, "
        "{\"service\": \"s\", \"region\": \"r1\", \"backends\": ["
        "{\"name\": \"c\", \"address\": \"%s\", " SLOTS "}]}, "
        "{\"service\": \"t\", \"region\": \"r1\", \"backends\": ["
        "{\"name\": \"d\", \"address\": \"%s\", " SLOTS "}]}], "
        "\"shifts\": [{\"service\": \"t\", \"from\": \"r0\", "
        "\"to\": \"r1\", \"cap\": 4}], \"links\": []}",
        b->addresses[0], b->addresses[1], b->addresses[2], b->addresses[3]);
}

static World *
start_world(void)
{
    World *w = g_new0(World, 1);
    GsClient_Init(&w->client);
    w->platform = FakePlatform_Start();
    FakeBackends_Start(&w->backends, 4, on_request, w);
    char *text = config_text(w);
    FakePlatform_SetConfig(w->platform, text);
    g_free(text);
    return w;
}

static void
stop_world(World *w)
{
    atomic_store(&w->release, true);
    FakeBackends_Stop(&w->backends);
    FakePlatform_Stop(w->platform);
    GsClient_Clear(&w->client);
    g_free(w);
}

static GsSend
call_for(World *w, const FakeEntry *e, const char *method, const char *path,
         const char *ticket, GsReply *reply)
{
    GsRequest request = {
        .method = method,
        .address = e->call_address,
        .path = path,
        .ticket = ticket,
        .body = strcmp(method, "POST") == 0 ? "dose" : NULL,
        .deadline_ms = 4000,
        .timeout_ms = 90000,
    };
    return GsClient_Send(&w->client, &request, reply);
}

static GsSend
call(World *w, const FakeEntry *e, const char *method, const char *ticket,
     GsReply *reply)
{
    return call_for(w, e, method, "/v1/call/s/x", ticket, reply);
}

/* Calls until one is answered: the entry has its seats then. */
static void
await_answers(World *w, const FakeEntry *e, const char *path)
{
    bool answered = false;
    while (!answered) {
        GsReply reply;
        answered =
            call_for(w, e, "GET", path, NULL, &reply) == GS_SEND_WHOLE &&
            strcmp(reply.outcome, "answered") == 0;
        GsReply_Clear(&reply);
        g_usleep(answered ? 0 : 10000);
    }
}

static void
await_ready(World *w, const FakeEntry *e)
{
    await_answers(w, e, "/v1/call/s/x");
}

/* The first ticket of a look-up. */
static void
take_ticket(World *w, const FakeEntry *e, char *out)
{
    GsRequest request = {
        .method = "GET",
        .address = e->call_address,
        .path = "/v1/entries/s?tickets=1",
        .timeout_ms = 10000,
    };
    GsReply reply;
    cr_assert_eq(GsClient_Send(&w->client, &request, &reply), GS_SEND_WHOLE);
    const char *at = strstr(reply.body->str, "\"tickets\":[\"");
    cr_assert_not_null(at, "%s", reply.body->str);
    at += strlen("\"tickets\":[\"");
    g_strlcpy(out, at, MIN(strcspn(at, "\"") + 1, GW_TICKET_TEXT_MAX));
    GsReply_Clear(&reply);
}

/* Until `near` has met the other entry. */
static void
await_peer(World *w, const FakeEntry *near, const FakeEntry *far)
{
    bool met = false;
    while (!met) {
        GsRequest request = {
            .method = "GET",
            .address = near->call_address,
            .path = "/v1/entries/s",
            .timeout_ms = 10000,
        };
        GsReply reply;
        GsClient_Send(&w->client, &request, &reply);
        met = strstr(reply.body->str, far->call_address) != NULL;
        GsReply_Clear(&reply);
        g_usleep(met ? 0 : 10000);
    }
}

static void
expect(const GsReply *reply, const char *outcome, const char *reason)
{
    cr_expect_str_eq(reply->outcome, outcome, "%s", reply->reason);
    if (reason != NULL) {
        cr_expect_str_eq(reply->reason, reason);
    }
}

/* The server of the first attempt falls silent, and the call's own thread
 * waits in that attempt. The hedge is answered: the caller must get it at
 * once, not when the first attempt times out, and the first attempt's
 * connection must close, which tells its server to stop. */
Test(runtime, hedge_answers_while_the_first_attempt_blocks, .timeout = 30)
{
    World *w = start_world();
    FakeEntry e;
    GsReply reply;

    FakeEntry_Start(&e, w->platform, "e0", "r0", SLOW);
    await_ready(w, &e);
    for (uint32_t i = 0; i < 60; i++) {
        call(w, &e, "GET", NULL, &reply);
        expect(&reply, "answered", NULL);
        GsReply_Clear(&reply);
    }
    atomic_store(&w->hold, 1);
    cr_expect_eq(call(w, &e, "GET", NULL, &reply), GS_SEND_WHOLE);
    expect(&reply, "answered", NULL);
    cr_expect_eq(reply.body->len, BODY_LEN);
    GsReply_Clear(&reply);
    wait_for(&w->held, 1);
    wait_for(&w->gone, 1);
    FakeEntry_Stop(&e);
    stop_world(w);
}

/* A clerk's connection breaks and the booking is sent again with its ticket.
 * It gets the first answer; when that one had to make room for others, it
 * gets "unknown", and in neither case is anything run again. */
Test(runtime, resend_gets_the_kept_answer_or_unknown, .timeout = 30)
{
    World *w = start_world();
    FakeEntry e;
    GsReply first;
    GsReply again;
    char ticket[GW_TICKET_TEXT_MAX];

    FakeEntry_Start(&e, w->platform, "e0", "r0", SLOW);
    await_ready(w, &e);
    take_ticket(w, &e, ticket);
    call(w, &e, "POST", ticket, &first);
    expect(&first, "answered", NULL);
    uint32_t runs = atomic_load(&w->runs);
    call(w, &e, "POST", ticket, &again);
    expect(&again, "answered", NULL);
    cr_expect_str_eq(again.body->str, first.body->str);
    GsReply_Clear(&again);
    pthread_mutex_lock(&e.rt->call_lock);
    GwAnswers_Expire(e.rt->answers, INT64_MAX);
    pthread_mutex_unlock(&e.rt->call_lock);
    call(w, &e, "POST", ticket, &again);
    expect(&again, "unknown", "old-ticket");
    cr_expect_eq(atomic_load(&w->runs), runs);
    GsReply_Clear(&again);
    GsReply_Clear(&first);
    FakeEntry_Stop(&e);
    stop_world(w);
}

/* A booking comes to an entry that does not own its ticket. It is relayed to
 * the owner, which runs it; the answer comes back byte by byte. */
Test(runtime, relayed_call_comes_back_whole, .timeout = 30)
{
    World *w = start_world();
    FakeEntry near;
    FakeEntry far;
    GsReply relayed;
    GsReply direct;
    char ticket[GW_TICKET_TEXT_MAX];

    FakeEntry_Start(&near, w->platform, "e0", "r0", SLOW);
    FakeEntry_Start(&far, w->platform, "e1", "r1", SLOW);
    await_ready(w, &near);
    await_ready(w, &far);
    await_peer(w, &near, &far);
    take_ticket(w, &far, ticket);
    call(w, &near, "POST", ticket, &relayed);
    expect(&relayed, "answered", NULL);
    cr_expect_eq(relayed.status, 200);
    cr_expect_eq(relayed.body->len, BODY_LEN);
    uint32_t runs = atomic_load(&w->runs);
    call(w, &far, "POST", ticket, &direct);
    expect(&direct, "answered", NULL);
    cr_expect_str_eq(direct.body->str, relayed.body->str);
    cr_expect_eq(atomic_load(&w->runs), runs);
    cr_expect_eq(GwCounter_Get(&near.rt->metrics.relays_out), 1);
    GsReply_Clear(&direct);
    GsReply_Clear(&relayed);
    FakeEntry_Stop(&near);
    FakeEntry_Stop(&far);
    stop_world(w);
}

typedef struct {
    World *world;
    const FakeEntry *entry;
    GsReply reply;
} Sending;

static void *
send_booking(void *arg)
{
    Sending *s = arg;
    call_for(s->world, s->entry, "POST", "/v1/call/t/x", NULL, &s->reply);
    return NULL;
}

static void
cut_links(GwRuntime *rt)
{
    GHashTableIter iter;
    gpointer value;
    pthread_mutex_lock(&rt->net->peer_lock);
    g_hash_table_iter_init(&iter, rt->net->by_serial);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Link *link = value;
        if (link->fd >= 0) {
            shutdown(link->fd, SHUT_RDWR);
        }
    }
    pthread_mutex_unlock(&rt->net->peer_lock);
}

/* The link dies while the other region runs a shifted booking: it may be
 * made, so the caller must read "unknown". Then nobody listens there any
 * more, and nothing of the next booking can be sent: "not run" is true, and
 * the caller may book elsewhere. */
Test(runtime, relay_over_a_dead_link, .timeout = 30)
{
    World *w = start_world();
    FakeEntry near;
    FakeEntry far;
    pthread_t thread;

    FakeEntry_Start(&near, w->platform, "e0", "r0", SLOW);
    FakeEntry_Start(&far, w->platform, "e1", "r1", SLOW);
    await_answers(w, &near, "/v1/call/t/x");
    Sending sending = {w, &near, {0}};
    atomic_store(&w->hold, 1);
    pthread_create(&thread, NULL, send_booking, &sending);
    wait_for(&w->held, 1);
    cut_links(near.rt);
    pthread_join(thread, NULL);
    expect(&sending.reply, "unknown", "broken");
    GsReply_Clear(&sending.reply);
    atomic_store(&w->release, true);

    await_answers(w, &near, "/v1/call/t/x");
    uint32_t runs = atomic_load(&w->runs);
    uint64_t relays = GwCounter_Get(&near.rt->metrics.relays_out);
    shutdown(far.rt->net->listen_fd, SHUT_RDWR);
    cut_links(near.rt);
    send_booking(&sending);
    expect(&sending.reply, "not-run", NULL);
    cr_expect_gt(GwCounter_Get(&near.rt->metrics.relays_out), relays);
    cr_expect_eq(atomic_load(&w->runs), runs);
    GsReply_Clear(&sending.reply);
    FakeEntry_Stop(&near);
    FakeEntry_Stop(&far);
    stop_world(w);
}

#define FEW ", \"caller_threads\": 8" SLOW

static long
get_status(const FakeEntry *e, GsClient *client, const char *path)
{
    GsReply reply;
    GsRequest request = {
        .method = "GET",
        .address = e->call_address,
        .path = path,
        .timeout_ms = 20000,
    };
    GsClient_Send(client, &request, &reply);
    long status = reply.status;
    GsReply_Clear(&reply);
    return status;
}

static void *
send_held(void *arg)
{
    Sending *s = arg;
    call(s->world, s->entry, "POST", NULL, &s->reply);
    return NULL;
}

/* Backend servers are slow, and calls wait. With every thread held by one,
 * callers could neither look up another entry nor see that this one lives.
 * So the calls above three of four threads are refused, surely not run. */
Test(runtime, waiting_calls_leave_threads_for_look_ups, .timeout = 30)
{
    enum { WAITING = 6 };
    World *w = start_world();
    FakeEntry e;
    GsReply refused;
    Sending sending[WAITING];
    pthread_t threads[WAITING];

    FakeEntry_Start(&e, w->platform, "e0", "r0", FEW);
    await_ready(w, &e);
    atomic_store(&w->hold, 100);
    for (uint32_t i = 0; i < WAITING; i++) {
        sending[i] = (Sending){w, &e, {0}};
        pthread_create(&threads[i], NULL, send_held, &sending[i]);
    }
    wait_for(&w->held, WAITING);
    call(w, &e, "POST", NULL, &refused);
    expect(&refused, "not-run", "queue-full");
    cr_expect_eq(atomic_load(&w->held), WAITING);
    cr_expect_eq(get_status(&e, &w->client, "/v1/entries/s"), 200);
    cr_expect_eq(get_status(&e, &w->client, "/v1/health"), 200);
    GsReply_Clear(&refused);
    atomic_store(&w->release, true);
    for (uint32_t i = 0; i < WAITING; i++) {
        pthread_join(threads[i], NULL);
        expect(&sending[i].reply, "answered", NULL);
        GsReply_Clear(&sending[i].reply);
    }
    FakeEntry_Stop(&e);
    stop_world(w);
}

/* Asks for the health on a connection that stays open; whether the answer
 * says that the entry ends it. */
static bool
ask_and_stay(const FakeEntry *e, int *fd)
{
    static const char request[] = "GET /v1/health HTTP/1.1\r\nHost: x\r\n\r\n";
    struct sockaddr_storage to;
    socklen_t len;
    char bytes[1024] = "";
    size_t got = 0;

    cr_assert(GwNet_ParseAddress(e->call_address, &to, &len));
    *fd = socket(AF_INET, SOCK_STREAM, 0);
    cr_assert_eq(connect(*fd, (struct sockaddr *)&to, len), 0);
    send(*fd, request, sizeof(request) - 1, MSG_NOSIGNAL);
    while (strstr(bytes, "}") == NULL) {
        ssize_t n = recv(*fd, bytes + got, sizeof(bytes) - 1 - got, 0);
        cr_assert_gt(n, 0);
        got += (size_t)n;
    }
    return strstr(bytes, "Connection: close\r\n") != NULL;
}

/* Callers keep their connections open and idle. They must not hold every
 * thread, or the next caller waits until one of them is closed. */
Test(runtime, idle_callers_leave_threads, .timeout = 30)
{
    enum { IDLE = 8, BOUND = 6 };
    World *w = start_world();
    FakeEntry e;
    int fds[IDLE];

    FakeEntry_Start(&e, w->platform, "e0", "r0", FEW);
    await_ready(w, &e);
    GsClient_Clear(&w->client);
    GsClient_Init(&w->client);
    while (atomic_load(&e.rt->caller_connections) > 0) {
        g_usleep(200);
    }
    for (uint32_t i = 0; i < IDLE; i++) {
        cr_expect_eq(ask_and_stay(&e, &fds[i]), i >= BOUND, "%u", i);
        while (atomic_load(&e.rt->caller_connections) > BOUND) {
            g_usleep(200);
        }
    }
    for (uint32_t i = 0; i < IDLE; i++) {
        close(fds[i]);
    }
    FakeEntry_Stop(&e);
    stop_world(w);
}
