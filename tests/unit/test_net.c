/* Peer connections between two network threads over loopback. Tests wait for
 * events, not for fixed times. */
#include "fakes/free_port.h"
#include "runtime/net.h"
#include "standins/common/packet_filter.h"
#include "wire/frame.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

typedef struct {
    GwNet *net;
    char address[GW_ADDR_MAX];
    GwNodeId id;
    pthread_mutex_t mutex;
    pthread_cond_t changed;
    uint32_t controls;
    uint32_t calls;
    uint64_t call_link;
    uint64_t call_id;
    uint32_t cancels;
    uint32_t replies;
    uint32_t lost_sent;
    uint32_t lost_unsent;
} TestNode;

static void
increment(TestNode *n, uint32_t *counter)
{
    pthread_mutex_lock(&n->mutex);
    (*counter)++;
    pthread_cond_broadcast(&n->changed);
    pthread_mutex_unlock(&n->mutex);
}

static void
wait_for(TestNode *n, const uint32_t *counter, uint32_t value)
{
    pthread_mutex_lock(&n->mutex);
    while (*counter < value) {
        pthread_cond_wait(&n->changed, &n->mutex);
    }
    pthread_mutex_unlock(&n->mutex);
}

static void
on_tick(void *ctx)
{
}

static void
on_control(void *ctx, const GwMessage *message)
{
    TestNode *n = ctx;
    increment(n, &n->controls);
}

static void
on_call(void *ctx, uint64_t link, GwNodeId from, GwCallRequest *call)
{
    TestNode *n = ctx;
    n->call_link = link;
    n->call_id = call->id;
    increment(n, &n->calls);
}

static void
on_reply(void *ctx, GwCallReply *reply)
{
    TestNode *n = ctx;
    increment(n, &n->replies);
}

static void
on_cancel(void *ctx, uint64_t link, uint64_t id)
{
    TestNode *n = ctx;
    increment(n, &n->cancels);
}

static void
on_lost(void *ctx, uint64_t id, bool sent)
{
    TestNode *n = ctx;
    increment(n, sent ? &n->lost_sent : &n->lost_unsent);
}

static TestNode *
start_node(uint64_t id, const char *key, uint32_t delay_us)
{
    TestNode *n = g_new0(TestNode, 1);
    GError *error = NULL;
    pthread_mutex_init(&n->mutex, NULL);
    pthread_cond_init(&n->changed, NULL);
    FreePort_Address(n->address);
    n->id = (GwNodeId){id, 1};
    GwNetParams params = {
        .id = n->id,
        .region = (uint32_t)id,
        .key = (const uint8_t *)key,
        .key_len = strlen(key),
        .delay_count = delay_us > 0 ? 2 : 0,
        .delays = {{1, delay_us}, {2, delay_us}},
    };
    GwNetHost host = {n,        on_tick,   on_control, on_call,
                      on_reply, on_cancel, on_lost};
    g_strlcpy(params.listen_address, n->address, GW_ADDR_MAX);
    n->net = GwNet_Create(&params, &host, &error);
    cr_assert_not_null(n->net);
    GwNet_Start(n->net);
    return n;
}

static void
stop_node(TestNode *n)
{
    GwNet_Free(n->net);
    pthread_mutex_destroy(&n->mutex);
    pthread_cond_destroy(&n->changed);
    g_free(n);
}

static void
send_control(TestNode *from, const TestNode *to)
{
    GwMessage *msg = GwMessage_Create(GW_MSG_PROBE, from->id);
    GwEnvelope envelope = {.kind = GW_ENVELOPE_CONTROL, .u.control = msg};
    size_t len;
    uint8_t *frame = GwCodec_Frame(&envelope, &len);
    GwNet_SendControl(from->net, to->address, frame, len);
    GwMessage_Free(msg);
}

static void
send_call(TestNode *from, const TestNode *to, GwNodeId id, uint64_t call)
{
    GwEnvelope envelope = {
        .kind = GW_ENVELOPE_CALL,
        .u.call = {.id = call,
                   .service = "s",
                   .method = "POST",
                   .target = "/x"},
    };
    size_t len;
    uint8_t *frame = GwCodec_Frame(&envelope, &len);
    cr_assert(GwNet_SendCall(from->net, to->address, id, call, frame, len));
}

static void
send_reply(TestNode *from)
{
    GwEnvelope envelope = {
        .kind = GW_ENVELOPE_REPLY,
        .u.reply = {.id = from->call_id, .outcome = GW_OUTCOME_NOT_RUN},
    };
    size_t len;
    uint8_t *frame = GwCodec_Frame(&envelope, &len);
    GwNet_SendReply(from->net, from->call_link, frame, len);
}

#define KEY "0123456789abcdef"

Test(net, messages_and_calls_arrive, .timeout = 30)
{
    static const uint32_t delays_us[] = {0, 3000};
    for (size_t i = 0; i < G_N_ELEMENTS(delays_us); i++) {
        TestNode *a = start_node(1, KEY, delays_us[i]);
        TestNode *b = start_node(2, KEY, delays_us[i]);
        send_control(a, b);
        send_control(b, a);
        wait_for(b, &b->controls, 1);
        wait_for(a, &a->controls, 1);
        send_call(a, b, b->id, 77);
        wait_for(b, &b->calls, 1);
        cr_expect_eq(b->call_id, 77);
        send_reply(b);
        wait_for(a, &a->replies, 1);
        stop_node(a);
        stop_node(b);
    }
}

/* The peer stops after it received a relayed call. It may have run the call,
 * so the loss must not be reported as unsent. */
Test(net, sent_call_is_reported_lost_as_sent, .timeout = 30)
{
    TestNode *a = start_node(1, KEY, 0);
    TestNode *b = start_node(2, KEY, 0);
    send_call(a, b, b->id, 77);
    wait_for(b, &b->calls, 1);
    stop_node(b);
    wait_for(a, &a->lost_sent, 1);
    cr_expect_eq(a->lost_unsent, 0);
    stop_node(a);
}

/* A call addressed to an earlier start of the process at the address is
 * reported as unsent, and the new process does not receive it. */
Test(net, call_for_an_earlier_start_is_not_sent, .timeout = 30)
{
    TestNode *a = start_node(1, KEY, 0);
    TestNode *b = start_node(2, KEY, 0);
    send_call(a, b, (GwNodeId){2, 0}, 77);
    wait_for(a, &a->lost_unsent, 1);
    send_control(a, b);
    wait_for(b, &b->controls, 1);
    cr_expect_eq(b->calls, 0);
    cr_expect_eq(a->lost_sent, 0);
    stop_node(a);
    stop_node(b);
}

/* Messages of a process with another cluster key are not processed, and its
 * calls are reported as unsent. */
Test(net, peer_with_wrong_key_is_ignored, .timeout = 30)
{
    TestNode *a = start_node(1, KEY, 0);
    TestNode *b = start_node(2, KEY "x", 0);
    GwNetStats stats;
    send_control(a, b);
    send_call(a, b, b->id, 77);
    wait_for(a, &a->lost_unsent, 1);
    cr_expect_eq(b->controls, 0);
    cr_expect_eq(b->calls, 0);
    GwNet_Stats(a->net, &stats);
    stop_node(a);
    stop_node(b);
}

/* A control message before the handshake closes the connection unprocessed. */
Test(net, message_before_handshake_is_ignored, .timeout = 30)
{
    TestNode *b = start_node(2, KEY, 0);
    GwMessage *msg = GwMessage_Create(GW_MSG_CONFIG_ASK, (GwNodeId){1, 1});
    GwEnvelope envelope = {.kind = GW_ENVELOPE_CONTROL, .u.control = msg};
    struct sockaddr_in to = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
        .sin_port = htons((uint16_t)atoi(strchr(b->address, ':') + 1)),
    };
    char bytes[256];
    size_t len;
    uint8_t *frame = GwCodec_Frame(&envelope, &len);

    int fd = socket(AF_INET, SOCK_STREAM, 0);
    cr_assert_eq(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
    send(fd, frame, len, MSG_NOSIGNAL);
    while (recv(fd, bytes, sizeof(bytes), 0) > 0) {
    }
    cr_expect_eq(b->controls, 0);
    close(fd);
    g_free(frame);
    GwMessage_Free(msg);
    stop_node(b);
}

/* No process listens at the peer's address: the call is reported as unsent. */
Test(net, call_to_unreachable_peer_is_unsent, .timeout = 30)
{
    TestNode *a = start_node(1, KEY, 0);
    TestNode unreachable = {.id = {3, 1}};
    FreePort_Address(unreachable.address);
    send_call(a, &unreachable, unreachable.id, 77);
    wait_for(a, &a->lost_unsent, 1);
    stop_node(a);
}

/* A middlebox between two entries that can drop the state of open
 * connections: it then reads their bytes, forwards none and closes nothing.
 * It forwards new connections. */
typedef struct {
    int listen_fd;
    char address[GW_ADDR_MAX];
    struct sockaddr_in to;
    pthread_t thread;
    pthread_mutex_t mutex;
    bool stop;
    uint32_t count;
    struct pollfd fds[32]; /* pairs: accepted, connected */
    bool is_dropped[32];
} Middlebox;

static struct sockaddr_in
loopback(const char *address)
{
    return (struct sockaddr_in){
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
        .sin_port = htons((uint16_t)atoi(strchr(address, ':') + 1)),
    };
}

static void
accept_pair(Middlebox *m)
{
    int in = accept(m->listen_fd, NULL, NULL);
    int out = socket(AF_INET, SOCK_STREAM, 0);
    if (in < 0 || m->count + 2 > G_N_ELEMENTS(m->fds) ||
        connect(out, (struct sockaddr *)&m->to, sizeof(m->to)) != 0) {
        close(in);
        close(out);
        return;
    }
    m->fds[m->count] = (struct pollfd){.fd = in, .events = POLLIN};
    m->fds[m->count + 1] = (struct pollfd){.fd = out, .events = POLLIN};
    m->count += 2;
}

static void
forward(Middlebox *m, uint32_t i)
{
    char bytes[4096];
    ssize_t n = recv(m->fds[i].fd, bytes, sizeof(bytes), 0);
    if (n <= 0) {
        m->fds[i].events = 0;
        shutdown(m->fds[i ^ 1].fd, m->is_dropped[i] ? 0 : SHUT_WR);
    }
    else if (!m->is_dropped[i]) {
        send(m->fds[i ^ 1].fd, bytes, (size_t)n, MSG_NOSIGNAL);
    }
}

static void *
run_middlebox(void *arg)
{
    Middlebox *m = arg;
    bool stop = false;

    while (!stop) {
        struct pollfd listening = {.fd = m->listen_fd, .events = POLLIN};
        if (poll(&listening, 1, 1) > 0) {
            accept_pair(m);
        }
        pthread_mutex_lock(&m->mutex);
        poll(m->fds, m->count, 0);
        for (uint32_t i = 0; i < m->count; i++) {
            if ((m->fds[i].revents & m->fds[i].events) != 0) {
                forward(m, i);
            }
        }
        stop = m->stop;
        pthread_mutex_unlock(&m->mutex);
    }
    for (uint32_t i = 0; i < m->count; i++) {
        close(m->fds[i].fd);
    }
    close(m->listen_fd);
    return NULL;
}

static Middlebox *
start_middlebox(const TestNode *to)
{
    Middlebox *m = g_new0(Middlebox, 1);
    struct sockaddr_in at;

    pthread_mutex_init(&m->mutex, NULL);
    FreePort_Address(m->address);
    at = loopback(m->address);
    m->to = loopback(to->address);
    m->listen_fd = socket(AF_INET, SOCK_STREAM, 0);
    cr_assert_eq(bind(m->listen_fd, (struct sockaddr *)&at, sizeof(at)), 0);
    cr_assert_eq(listen(m->listen_fd, 16), 0);
    pthread_create(&m->thread, NULL, run_middlebox, m);
    return m;
}

/* Stops forwarding on every open connection. */
static void
drop_state(Middlebox *m)
{
    pthread_mutex_lock(&m->mutex);
    for (uint32_t i = 0; i < m->count; i++) {
        m->is_dropped[i] = true;
    }
    pthread_mutex_unlock(&m->mutex);
}

/* Drops the packets of the open connections to the middlebox, or lets them
 * through again. */
static void
set_cut(Middlebox *m, bool is_cut)
{
    pthread_mutex_lock(&m->mutex);
    for (uint32_t i = 0; i < m->count; i += 2) {
        cr_assert(PacketFilter_Drop(m->fds[i].fd, is_cut));
    }
    pthread_mutex_unlock(&m->mutex);
}

static void
stop_middlebox(Middlebox *m)
{
    pthread_mutex_lock(&m->mutex);
    m->stop = true;
    pthread_mutex_unlock(&m->mutex);
    pthread_join(m->thread, NULL);
    g_free(m);
}

/* The node with the address of the middlebox. */
static TestNode
reached_through(const TestNode *node, const Middlebox *m)
{
    TestNode seen = {.id = node->id};
    g_strlcpy(seen.address, m->address, GW_ADDR_MAX);
    return seen;
}

/* A middlebox drops the frames of an open connection. The connection is
 * closed as silent, and messages arrive on a new one. */
Test(net, silent_link_is_replaced, .timeout = 30)
{
    TestNode *a = start_node(1, KEY, 0);
    TestNode *b = start_node(2, KEY, 0);
    Middlebox *m = start_middlebox(b);
    TestNode seen = reached_through(b, m);
    GwNetStats stats;

    send_control(a, &seen);
    wait_for(b, &b->controls, 1);
    drop_state(m);
    do {
        send_control(a, &seen);
        g_usleep(20000);
        GwNet_Stats(a->net, &stats);
    } while (stats.closed_silent == 0);
    uint32_t before = b->controls;
    send_control(a, &seen);
    wait_for(b, &b->controls, before + 1);
    stop_node(a);
    stop_node(b);
    stop_middlebox(m);
}

/* A call is sent right after a pong arrived, the link goes silent, and nothing
 * else is to be sent. A later ping must still be sent and the link closed, or
 * the call would wait until its deadline. */
Test(net, call_on_a_silent_link_is_reported, .timeout = 30)
{
    TestNode *a = start_node(1, KEY, 0);
    TestNode *b = start_node(2, KEY, 0);
    Middlebox *m = start_middlebox(b);
    TestNode seen = reached_through(b, m);
    GwNetStats stats;

    send_control(a, &seen);
    do { /* until the hello, the proof and the pong have arrived */
        g_usleep(1000);
        GwNet_Stats(a->net, &stats);
    } while (stats.frames_in < 3);
    drop_state(m);
    send_call(a, &seen, b->id, 77);
    wait_for(a, &a->lost_sent, 1);
    cr_expect_eq(a->lost_unsent, 0);
    cr_expect_eq(b->calls, 0);
    stop_node(a);
    stop_node(b);
    stop_middlebox(m);
}

/* Longer than some retransmissions of the kernel. */
#define AFTER_CUT_US 1500000

/* Guards against: the kernel delivers a call after a cut, though its process
 * has closed the connection and ended. */
Test(net, call_of_a_closed_link_is_not_delivered, .timeout = 30)
{
    TestNode *a = start_node(1, KEY, 0);
    TestNode *b = start_node(2, KEY, 0);
    Middlebox *m = start_middlebox(b);
    TestNode seen = reached_through(b, m);
    GwNetStats before;
    GwNetStats stats;

    send_call(a, &seen, b->id, 77);
    wait_for(b, &b->calls, 1);
    set_cut(m, true);
    GwNet_Stats(a->net, &before);
    send_call(a, &seen, b->id, 78);
    do { /* until it is written */
        g_usleep(1000);
        GwNet_Stats(a->net, &stats);
    } while (stats.frames_out == before.frames_out);
    stop_node(a);
    set_cut(m, false);
    g_usleep(AFTER_CUT_US);
    cr_expect_eq(b->calls, 1);
    stop_node(b);
    stop_middlebox(m);
}
