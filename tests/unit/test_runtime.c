/* Whole daemons in one process, with in-memory platform and backend servers,
 * called over HTTP. Tests wait for events, not for fixed times. */
#include "common/client.h"
#include "common/http.h"
#include "fakes/platform.h"
#include "runtime/runtime_internal.h"

#include <criterion/criterion.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Time-outs so long that the node ends no call by them. */
#define LONG_TIMEOUTS                                                         \
    ", \"probe_period_ms\": 200, \"probe_timeout_ms\": 100, "                 \
    "\"suspect_timeout_ms\": 300000, \"attempt_timeout_ms\": 60000"

#define BODY_LEN 60000

#define SERVICE                                                               \
    "\"deadline_max_ms\": 60000, \"hedge_percentile\": 50, "                  \
    "\"operations\": [{\"method\": \"GET\", \"path\": \"/*\", "               \
    "\"idempotent\": true}]"
#define SLOTS "\"slots\": 4, \"connections\": 330"

/* Test environment and control of the backend servers. */
typedef struct {
    FakePlatform *platform;
    FakeBackends backends;
    GsClient client;
    atomic_uint to_delay;     /* number of requests to delay */
    atomic_uint delayed;      /* delayed requests so far */
    atomic_uint disconnected; /* delayed requests whose connection closed */
    atomic_uint runs;
    atomic_bool release;
} Env;

static void
wait_for(atomic_uint *counter, uint32_t value)
{
    while (atomic_load(counter) < value) {
        g_usleep(200);
    }
}

static bool
claim_delay(Env *env)
{
    uint32_t to_delay = atomic_load(&env->to_delay);
    while (to_delay > 0) {
        if (atomic_compare_exchange_weak(&env->to_delay, &to_delay,
                                         to_delay - 1)) {
            return true;
        }
    }
    return false;
}

/* Delays a request until its connection closes or `release` is set. */
static void
delay_request(Env *env, struct mg_connection *conn)
{
    int fd = 0;
    atomic_fetch_add(&env->delayed, 1);
    while (!atomic_load(&env->release)) {
        if (GsHttp_WaitClosed(conn, 5000, &fd)) {
            atomic_fetch_add(&env->disconnected, 1);
            return;
        }
    }
}

/* Each run answers with a different large body, starting with its number. */
static int
on_request(struct mg_connection *conn, void *ctx)
{
    Env *env = ctx;
    char *asked = GsHttp_ReadBody(conn);
    uint32_t run = atomic_fetch_add(&env->runs, 1);
    if (claim_delay(env)) {
        delay_request(env, conn);
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

/* Service "s" has servers in both regions, "t" only in r1: its calls at r0
 * are shifted there. */
static char *
config_text(const Env *env)
{
    const FakeBackends *b = &env->backends;
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

static Env *
start_env(void)
{
    Env *env = g_new0(Env, 1);
    GsClient_Init(&env->client);
    env->platform = FakePlatform_Start();
    FakeBackends_Start(&env->backends, 4, on_request, env);
    char *text = config_text(env);
    FakePlatform_SetConfig(env->platform, text);
    g_free(text);
    return env;
}

static void
stop_env(Env *env)
{
    atomic_store(&env->release, true);
    FakeBackends_Stop(&env->backends);
    FakePlatform_Stop(env->platform);
    GsClient_Clear(&env->client);
    g_free(env);
}

static GsSendResult
call_for(Env *env, const FakeEntry *e, const char *method, const char *path,
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
    return GsClient_Send(&env->client, &request, reply);
}

static GsSendResult
call(Env *env, const FakeEntry *e, const char *method, const char *ticket,
     GsReply *reply)
{
    return call_for(env, e, method, "/v1/call/s/x", ticket, reply);
}

/* Repeats a call until it is answered: the entry then has its seats. */
static void
await_answers(Env *env, const FakeEntry *e, const char *path)
{
    bool answered = false;
    while (!answered) {
        GsReply reply;
        answered =
            call_for(env, e, "GET", path, NULL, &reply) == GS_SEND_COMPLETE &&
            strcmp(reply.outcome, "answered") == 0;
        GsReply_Clear(&reply);
        g_usleep(answered ? 0 : 10000);
    }
}

static void
await_ready(Env *env, const FakeEntry *e)
{
    await_answers(env, e, "/v1/call/s/x");
}

/* Gets one ticket from a look-up. */
static void
take_ticket(Env *env, const FakeEntry *e, char *out)
{
    GsRequest request = {
        .method = "GET",
        .address = e->call_address,
        .path = "/v1/entries/s?tickets=1",
        .timeout_ms = 10000,
    };
    GsReply reply;
    cr_assert_eq(GsClient_Send(&env->client, &request, &reply),
                 GS_SEND_COMPLETE);
    const char *at = strstr(reply.body->str, "\"tickets\":[\"");
    cr_assert_not_null(at, "%s", reply.body->str);
    at += strlen("\"tickets\":[\"");
    g_strlcpy(out, at, MIN(strcspn(at, "\"") + 1, GW_TICKET_TEXT_MAX));
    GsReply_Clear(&reply);
}

/* Waits until look-ups at `near` list the entry `far`. */
static void
await_listed(Env *env, const FakeEntry *near, const FakeEntry *far)
{
    bool is_listed = false;
    while (!is_listed) {
        GsRequest request = {
            .method = "GET",
            .address = near->call_address,
            .path = "/v1/entries/s",
            .timeout_ms = 10000,
        };
        GsReply reply;
        GsClient_Send(&env->client, &request, &reply);
        is_listed = strstr(reply.body->str, far->call_address) != NULL;
        GsReply_Clear(&reply);
        g_usleep(is_listed ? 0 : 10000);
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

/* The first attempt blocks the call's own thread on a silent server, and the
 * hedge is answered. The caller must get that answer at once, not after the
 * first attempt times out, and the connection of the first attempt must close,
 * so that its server can stop. */
Test(runtime, hedge_answers_while_the_first_attempt_blocks, .timeout = 30)
{
    Env *env = start_env();
    FakeEntry e;
    GsReply reply;

    FakeEntry_Start(&e, env->platform, "e0", "r0", LONG_TIMEOUTS);
    await_ready(env, &e);
    for (uint32_t i = 0; i < 60; i++) {
        call(env, &e, "GET", NULL, &reply);
        expect(&reply, "answered", NULL);
        GsReply_Clear(&reply);
    }
    atomic_store(&env->to_delay, 1);
    cr_expect_eq(call(env, &e, "GET", NULL, &reply), GS_SEND_COMPLETE);
    expect(&reply, "answered", NULL);
    cr_expect_eq(reply.body->len, BODY_LEN);
    GsReply_Clear(&reply);
    wait_for(&env->delayed, 1);
    wait_for(&env->disconnected, 1);
    FakeEntry_Stop(&e);
    stop_env(env);
}

/* A call is resent with its ticket, as after a lost connection. It gets the
 * answer of the first request, or "unknown" once that answer has been evicted;
 * in neither case does it run again. */
Test(runtime, resend_gets_the_kept_answer_or_unknown, .timeout = 30)
{
    Env *env = start_env();
    FakeEntry e;
    GsReply first;
    GsReply again;
    char ticket[GW_TICKET_TEXT_MAX];

    FakeEntry_Start(&e, env->platform, "e0", "r0", LONG_TIMEOUTS);
    await_ready(env, &e);
    take_ticket(env, &e, ticket);
    call(env, &e, "POST", ticket, &first);
    expect(&first, "answered", NULL);
    uint32_t runs = atomic_load(&env->runs);
    call(env, &e, "POST", ticket, &again);
    expect(&again, "answered", NULL);
    cr_expect_str_eq(again.body->str, first.body->str);
    GsReply_Clear(&again);
    pthread_mutex_lock(&e.rt->call_lock);
    GwAnswers_Expire(e.rt->answers, INT64_MAX);
    pthread_mutex_unlock(&e.rt->call_lock);
    call(env, &e, "POST", ticket, &again);
    expect(&again, "unknown", "old-ticket");
    cr_expect_eq(atomic_load(&env->runs), runs);
    GsReply_Clear(&again);
    GsReply_Clear(&first);
    FakeEntry_Stop(&e);
    stop_env(env);
}

/* A call arrives at an entry that does not own its ticket. It is relayed to
 * the owner, which runs it, and the answer returns byte for byte. */
Test(runtime, relayed_call_returns_the_whole_answer, .timeout = 30)
{
    Env *env = start_env();
    FakeEntry near;
    FakeEntry far;
    GsReply relayed;
    GsReply direct;
    char ticket[GW_TICKET_TEXT_MAX];

    FakeEntry_Start(&near, env->platform, "e0", "r0", LONG_TIMEOUTS);
    FakeEntry_Start(&far, env->platform, "e1", "r1", LONG_TIMEOUTS);
    await_ready(env, &near);
    await_ready(env, &far);
    await_listed(env, &near, &far);
    take_ticket(env, &far, ticket);
    call(env, &near, "POST", ticket, &relayed);
    expect(&relayed, "answered", NULL);
    cr_expect_eq(relayed.status, 200);
    cr_expect_eq(relayed.body->len, BODY_LEN);
    uint32_t runs = atomic_load(&env->runs);
    call(env, &far, "POST", ticket, &direct);
    expect(&direct, "answered", NULL);
    cr_expect_str_eq(direct.body->str, relayed.body->str);
    cr_expect_eq(atomic_load(&env->runs), runs);
    cr_expect_eq(GwCounter_Get(&near.rt->metrics.relays_out), 1);
    GsReply_Clear(&direct);
    GsReply_Clear(&relayed);
    FakeEntry_Stop(&near);
    FakeEntry_Stop(&far);
    stop_env(env);
}

typedef struct {
    Env *env;
    const FakeEntry *entry;
    GsReply reply;
} Sending;

static void *
send_booking(void *arg)
{
    Sending *s = arg;
    call_for(s->env, s->entry, "POST", "/v1/call/t/x", NULL, &s->reply);
    return NULL;
}

static void
shut_down_links(GwRuntime *rt)
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

/* The peer connection breaks while the other region runs a shifted call: the
 * call may complete, so its outcome is "unknown". Then the peer stops
 * listening, so nothing of the next call can be sent: its outcome is
 * "not-run", and the caller may repeat it elsewhere. */
Test(runtime, relay_over_a_broken_connection, .timeout = 30)
{
    Env *env = start_env();
    FakeEntry near;
    FakeEntry far;
    pthread_t thread;

    FakeEntry_Start(&near, env->platform, "e0", "r0", LONG_TIMEOUTS);
    FakeEntry_Start(&far, env->platform, "e1", "r1", LONG_TIMEOUTS);
    await_answers(env, &near, "/v1/call/t/x");
    Sending sending = {env, &near, {0}};
    atomic_store(&env->to_delay, 1);
    pthread_create(&thread, NULL, send_booking, &sending);
    wait_for(&env->delayed, 1);
    shut_down_links(near.rt);
    pthread_join(thread, NULL);
    expect(&sending.reply, "unknown", "broken");
    GsReply_Clear(&sending.reply);
    atomic_store(&env->release, true);

    await_answers(env, &near, "/v1/call/t/x");
    uint32_t runs = atomic_load(&env->runs);
    uint64_t relays = GwCounter_Get(&near.rt->metrics.relays_out);
    shutdown(far.rt->net->listen_fd, SHUT_RDWR);
    shut_down_links(near.rt);
    send_booking(&sending);
    expect(&sending.reply, "not-run", NULL);
    cr_expect_gt(GwCounter_Get(&near.rt->metrics.relays_out), relays);
    cr_expect_eq(atomic_load(&env->runs), runs);
    GsReply_Clear(&sending.reply);
    FakeEntry_Stop(&near);
    FakeEntry_Stop(&far);
    stop_env(env);
}

#define FEW_THREADS ", \"caller_threads\": 8" LONG_TIMEOUTS

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
send_delayed(void *arg)
{
    Sending *s = arg;
    call(s->env, s->entry, "POST", NULL, &s->reply);
    return NULL;
}

/* Calls wait for slow backend servers. If they occupied every thread, callers
 * could neither look up another entry nor check the health of this one. Calls
 * beyond three of four threads are therefore refused as "not-run". */
Test(runtime, waiting_calls_leave_threads_for_look_ups, .timeout = 30)
{
    enum { WAITING = 6 };
    Env *env = start_env();
    FakeEntry e;
    GsReply refused;
    Sending sending[WAITING];
    pthread_t threads[WAITING];

    FakeEntry_Start(&e, env->platform, "e0", "r0", FEW_THREADS);
    await_ready(env, &e);
    atomic_store(&env->to_delay, 100);
    for (uint32_t i = 0; i < WAITING; i++) {
        sending[i] = (Sending){env, &e, {0}};
        pthread_create(&threads[i], NULL, send_delayed, &sending[i]);
    }
    wait_for(&env->delayed, WAITING);
    call(env, &e, "POST", NULL, &refused);
    expect(&refused, "not-run", "queue-full");
    cr_expect_eq(atomic_load(&env->delayed), WAITING);
    cr_expect_eq(get_status(&e, &env->client, "/v1/entries/s"), 200);
    cr_expect_eq(get_status(&e, &env->client, "/v1/health"), 200);
    GsReply_Clear(&refused);
    atomic_store(&env->release, true);
    for (uint32_t i = 0; i < WAITING; i++) {
        pthread_join(threads[i], NULL);
        expect(&sending[i].reply, "answered", NULL);
        GsReply_Clear(&sending[i].reply);
    }
    FakeEntry_Stop(&e);
    stop_env(env);
}

/* Requests the health on a connection that stays open. Returns true if the
 * answer announces that the entry closes the connection. */
static bool
request_and_keep_open(const FakeEntry *e, int *fd)
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

/* Idle connections of callers must not occupy every thread, or the next caller
 * waits until one of them closes. */
Test(runtime, idle_callers_leave_free_threads, .timeout = 30)
{
    enum { IDLE = 8, BOUND = 6 };
    Env *env = start_env();
    FakeEntry e;
    int fds[IDLE];

    FakeEntry_Start(&e, env->platform, "e0", "r0", FEW_THREADS);
    await_ready(env, &e);
    GsClient_Clear(&env->client);
    GsClient_Init(&env->client);
    while (atomic_load(&e.rt->caller_connections) > 0) {
        g_usleep(200);
    }
    for (uint32_t i = 0; i < IDLE; i++) {
        cr_expect_eq(request_and_keep_open(&e, &fds[i]), i >= BOUND, "%u", i);
        while (atomic_load(&e.rt->caller_connections) > BOUND) {
            g_usleep(200);
        }
    }
    for (uint32_t i = 0; i < IDLE; i++) {
        close(fds[i]);
    }
    FakeEntry_Stop(&e);
    stop_env(env);
}
