/* One peer connection: socket, handshake, reading, writing. Runs on the
 * network thread only. */
#include "common/socket.h"
#include "runtime/net_internal.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <unistd.h>

#define USER_TIMEOUT_MS 3000

void
Frame_Free(Frame *frame)
{
    if (frame == NULL) {
        return;
    }
    g_free(frame->bytes);
    g_free(frame);
}

Link *
Link_Create(GwNet *net, const char *address)
{
    Link *link = g_new0(Link, 1);
    link->serial = ++net->next_serial;
    link->fd = -1;
    link->accepted = address == NULL;
    if (address != NULL) {
        g_strlcpy(link->address, address, sizeof(link->address));
    }
    g_queue_init(&link->queue);
    g_queue_init(&link->urgent);
    link->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    return link;
}

static void
drop_frames(GQueue *queue)
{
    Frame *frame;
    while ((frame = g_queue_pop_head(queue)) != NULL) {
        Frame_Free(frame);
    }
}

/* The kernel must not deliver calls that are reported as lost, which may be
 * resolved by then. Replies are delivered. */
static void
close_socket(Link *link)
{
    if (link->fd < 0) {
        return;
    }
#if GW_MUTANT != 151 /* breaks: the kernel delivers calls that were lost */
    if (g_hash_table_size(link->calls) > 0) {
        GwSocket_SetDiscard(link->fd, true);
    }
#endif
    close(link->fd);
    link->fd = -1;
}

void
Link_Free(Link *link)
{
    close_socket(link);
    drop_frames(&link->queue);
    drop_frames(&link->urgent);
    Frame_Free(link->writing);
    GwFrame_Free(&link->in);
    g_hash_table_destroy(link->calls);
    g_free(link);
}

/* Reports calls without a reply. Fully written calls may have run; queued or
 * partly written ones have not, since a peer processes whole frames only. */
static void
report_lost(GwNet *net, Link *link, GQueue *unsent)
{
    GHashTableIter iter;
    gpointer id;
    Frame *frame;

    g_hash_table_iter_init(&iter, link->calls);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        net->host.call_lost(net->host.ctx, *(uint64_t *)id, true);
    }
    g_hash_table_remove_all(link->calls);
    if (link->writing != NULL && link->writing->call != 0) {
        net->host.call_lost(net->host.ctx, link->writing->call, false);
    }
    while ((frame = g_queue_pop_head(unsent)) != NULL) {
        if (frame->call != 0) {
            net->host.call_lost(net->host.ctx, frame->call, false);
        }
        Frame_Free(frame);
    }
}

void
Link_Close(GwNet *net, Link *link)
{
    GQueue unsent = G_QUEUE_INIT;
    Frame *frame;

    close_socket(link);
    pthread_mutex_lock(&net->peer_lock);
    while ((frame = g_queue_pop_head(&link->queue)) != NULL) {
        g_queue_push_tail(&unsent, frame);
    }
    link->queue_bytes = 0;
    pthread_mutex_unlock(&net->peer_lock);
    report_lost(net, link, &unsent);
    Frame_Free(link->writing);
    link->writing = NULL;
    drop_frames(&link->urgent);
    GwFrame_Free(&link->in);
    link->state = LINK_IDLE;
    link->ping_sent_us = 0;
    link->wants_write = false;
}

/* Unacknowledged data closes the connection after USER_TIMEOUT_MS, so that it
 * does not stay open on a path that drops all packets. */
static void
set_options(int fd)
{
    int one = 1;
    int idle_s = 10;
    int interval_s = 2;
    int probes = 3;
    unsigned timeout_ms = USER_TIMEOUT_MS;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
               sizeof(timeout_ms));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
               sizeof(interval_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

static void
watch(GwNet *net, Link *link, int op)
{
    struct epoll_event event = {
        .events = EPOLLIN | (link->wants_write ? (uint32_t)EPOLLOUT : 0),
        .data.ptr = link,
    };
    epoll_ctl(net->epoll_fd, op, link->fd, &event);
}

static void
set_wants_write(GwNet *net, Link *link, bool want)
{
    if (link->wants_write != want) {
        link->wants_write = want;
        watch(net, link, EPOLL_CTL_MOD);
    }
}

static void
push_urgent(Link *link, const GwEnvelope *envelope)
{
    Frame *frame = g_new0(Frame, 1);
    frame->bytes = GwCodec_Frame(envelope, &frame->len);
    g_queue_push_tail(&link->urgent, frame);
}

static void
push_hello(GwNet *net, Link *link)
{
    GwEnvelope envelope = {.kind = GW_ENVELOPE_HELLO};
    link->local_hello = (GwHello){
        .from = net->params.id,
        .region = net->params.region,
        .domain = net->params.domain,
    };
    if (getrandom(link->local_hello.nonce, GW_NONCE_LEN, 0) != GW_NONCE_LEN) {
        g_error("getrandom returned too few bytes");
    }
    envelope.u.hello = link->local_hello;
    push_urgent(link, &envelope);
}

/* With an invalid address no socket is opened; the connect timeout then drops
 * the queue. */
void
Link_Connect(GwNet *net, Link *link, int64_t now_us)
{
    struct sockaddr_storage to;
    socklen_t len;

    link->deadline_us = now_us + CONNECT_TIMEOUT_US;
    link->state = LINK_CONNECTING;
    if (!GwNet_ParseAddress(link->address, &to, &len)) {
        return;
    }
    link->fd =
        socket(to.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (link->fd < 0) {
        return;
    }
    set_options(link->fd);
    int rc = connect(link->fd, (struct sockaddr *)&to, len);
    if (rc != 0 && errno != EINPROGRESS) {
        close(link->fd);
        link->fd = -1;
        link->deadline_us = now_us;
        return;
    }
    push_hello(net, link);
    link->wants_write = true;
    watch(net, link, EPOLL_CTL_ADD);
}

void
Link_Accept(GwNet *net, Link *link, int fd, int64_t now_us)
{
    link->fd = fd;
    link->state = LINK_HELLO;
    link->deadline_us = now_us + HANDSHAKE_TIMEOUT_US;
    set_options(fd);
    push_hello(net, link);
    link->wants_write = true;
    watch(net, link, EPOLL_CTL_ADD);
}

/* Returns the test delay for frames to the connected peer, in us. */
static int64_t
peer_delay_us(const GwNet *net, const GwHello *remote_hello)
{
    uint32_t region = remote_hello->region;
    if (region == net->params.region) {
        if (remote_hello->domain == net->params.domain) {
            return 0;
        }
        region = 0;
    }
    for (uint32_t i = 0; i < net->params.delay_count; i++) {
        if (net->params.delays[i].region == region) {
            return net->params.delays[i].one_way_us;
        }
    }
    return 0;
}

static bool
on_hello(GwNet *net, Link *link, const GwHello *hello)
{
    GwEnvelope proof = {.kind = GW_ENVELOPE_PROOF};
    GwKey key = {.bytes = net->key, .len = net->params.key_len};

    link->remote_hello = *hello;
    if (link->accepted) {
        GwHandshake_ComputeProof(key, GW_ROLE_ACCEPTOR, hello,
                                 &link->local_hello, proof.u.proof);
    }
    else {
        GwHandshake_ComputeProof(key, GW_ROLE_CONNECTOR, &link->local_hello,
                                 hello, proof.u.proof);
    }
    push_urgent(link, &proof);
    link->state = LINK_PROOF;
    return true;
}

static bool
on_proof(GwNet *net, Link *link, const uint8_t *mac)
{
    GwKey key = {.bytes = net->key, .len = net->params.key_len};
    bool is_valid;

    if (link->accepted) {
        is_valid = GwHandshake_VerifyProof(key, GW_ROLE_CONNECTOR,
                                           &link->remote_hello,
                                           &link->local_hello, mac);
    }
    else {
        is_valid =
            GwHandshake_VerifyProof(key, GW_ROLE_ACCEPTOR, &link->local_hello,
                                    &link->remote_hello, mac);
    }
    if (!is_valid) {
        atomic_fetch_add(&net->refused, 1);
        return false;
    }
    link->delay_us = peer_delay_us(net, &link->remote_hello);
    link->state = LINK_READY;
    return true;
}

static void
on_reply(GwNet *net, Link *link, GwCallReply *reply)
{
    if (g_hash_table_remove(link->calls, &reply->id)) {
        net->host.reply(net->host.ctx, reply);
    }
}

static bool
on_ready_envelope(GwNet *net, Link *link, GwEnvelope *envelope)
{
    const GwNetHost *host = &net->host;

    switch (envelope->kind) {
    case GW_ENVELOPE_CONTROL:
        host->control(host->ctx, envelope->u.control);
        return true;
    case GW_ENVELOPE_CALL:
        host->call(host->ctx, link->serial, link->remote_hello.from,
                   &envelope->u.call);
        return link->accepted;
    case GW_ENVELOPE_REPLY:
        on_reply(net, link, &envelope->u.reply);
        return true;
    case GW_ENVELOPE_CANCEL:
        host->cancel(host->ctx, link->serial, envelope->u.cancel);
        return true;
    case GW_ENVELOPE_PING:
        push_urgent(link, &(GwEnvelope){.kind = GW_ENVELOPE_PONG});
        return true;
    case GW_ENVELOPE_PONG:
        return true;
    case GW_ENVELOPE_HELLO:
    case GW_ENVELOPE_PROOF:
        return false;
    }
    return false;
}

/* Until both sides have proved knowledge of the key, only the next handshake
 * message is accepted; anything else closes the connection. */
static bool
on_envelope(GwNet *net, Link *link, GwEnvelope *envelope)
{
    switch (link->state) {
    case LINK_HELLO:
        return envelope->kind == GW_ENVELOPE_HELLO &&
               on_hello(net, link, &envelope->u.hello);
    case LINK_PROOF:
        return envelope->kind == GW_ENVELOPE_PROOF &&
               on_proof(net, link, envelope->u.proof);
    case LINK_READY:
        return on_ready_envelope(net, link, envelope);
    case LINK_IDLE:
    case LINK_CONNECTING:
        return false;
    }
    return false;
}

static bool
process_frames(GwNet *net, Link *link)
{
    const uint8_t *payload;
    uint32_t len;
    GwResult r;

    while ((r = GwFrame_Next(&link->in, &payload, &len)) == 1) {
        GwEnvelope envelope;
        if (link->state != LINK_READY && len > EARLY_FRAME_MAX_BYTES) {
            return false;
        }
        if (GwResult_IsError(GwCodec_Parse(payload, len, &envelope))) {
            return false;
        }
        atomic_fetch_add_explicit(&net->frames_in, 1, memory_order_relaxed);
        bool keep = on_envelope(net, link, &envelope);
        GwEnvelope_Clear(&envelope);
        if (!keep) {
            return false;
        }
    }
    return !GwResult_IsError(r);
}

bool
Link_OnReadable(GwNet *net, Link *link, int64_t now_us)
{
    ssize_t n = recv(link->fd, net->receive_buffer, RECEIVE_CHUNK_BYTES, 0);
    if (n < 0) {
        return errno == EAGAIN || errno == EINTR;
    }
    if (n == 0) {
        return false;
    }
    link->ping_sent_us = 0;
    atomic_fetch_add_explicit(&net->bytes_in, (uint64_t)n,
                              memory_order_relaxed);
    GwFrame_Feed(&link->in, net->receive_buffer, (size_t)n);
    if (!process_frames(net, link)) {
        return false;
    }
    /* An unauthenticated peer must not cause a large frame to be buffered. */
    if (link->state != LINK_READY &&
        link->in.len - link->in.start > EARLY_FRAME_MAX_BYTES) {
        return false;
    }
    return Link_Flush(net, link, now_us);
}

/* Pops the next queued frame whose test delay has passed, or NULL. */
static Frame *
next_queued(GwNet *net, Link *link, int64_t now_us)
{
    Frame *frame = NULL;

    pthread_mutex_lock(&net->peer_lock);
    Frame *head = g_queue_peek_head(&link->queue);
    /* now_us may precede queued_us, as the frame may be queued after the
     * clock was read. Without a delay there would be no later attempt, so the
     * times are not compared then. */
    if (head != NULL &&
        (link->delay_us == 0 || head->queued_us + link->delay_us <= now_us)) {
        frame = g_queue_pop_head(&link->queue);
        link->queue_bytes -= frame->len;
    }
    pthread_mutex_unlock(&net->peer_lock);
    return frame;
}

/* Returns the next frame to write, or NULL. A call addressed to an earlier
 * start of the peer is not sent but reported as lost. */
static Frame *
next_frame(GwNet *net, Link *link, int64_t now_us)
{
    if (link->urgent.length > 0) {
        return g_queue_pop_head(&link->urgent);
    }
    while (link->state == LINK_READY) {
        Frame *frame = next_queued(net, link, now_us);
        if (frame == NULL) {
            return NULL;
        }
        if (frame->call == 0 ||
            GwNodeId_Equal(frame->to, link->remote_hello.from)) {
            link->ping_due = !link->accepted;
            return frame;
        }
        net->host.call_lost(net->host.ctx, frame->call, false);
        Frame_Free(frame);
    }
    return NULL;
}

static void
finish_frame(GwNet *net, Link *link)
{
    Frame *frame = link->writing;
    if (frame->call != 0) {
        uint64_t *id = g_new(uint64_t, 1);
        *id = frame->call;
        g_hash_table_add(link->calls, id);
    }
    atomic_fetch_add_explicit(&net->frames_out, 1, memory_order_relaxed);
    atomic_fetch_add_explicit(&net->bytes_out, frame->len,
                              memory_order_relaxed);
    Frame_Free(frame);
    link->writing = NULL;
}

/* Queues a ping after other frames were sent. The missing answer reveals a
 * connection whose state a middlebox dropped, which the kernel still reports
 * as established. */
static void
ping_if_due(Link *link, int64_t now_us)
{
    if (!link->ping_due || link->ping_sent_us != 0 ||
        now_us - link->last_ping_us < PING_INTERVAL_US) {
        return;
    }
    push_urgent(link, &(GwEnvelope){.kind = GW_ENVELOPE_PING});
    link->ping_due = false;
    link->ping_sent_us = now_us;
    link->last_ping_us = now_us;
}

/* Returns 1 when the frame is written, 0 when the socket buffer is full, -1
 * on a connection error. */
static int
write_current(Link *link)
{
    Frame *frame = link->writing;
    while (frame->written < frame->len) {
        ssize_t n = send(link->fd, frame->bytes + frame->written,
                         frame->len - frame->written, MSG_NOSIGNAL);
        if (n < 0) {
            return errno == EAGAIN || errno == EINTR ? 0 : -1;
        }
        frame->written += (size_t)n;
    }
    return 1;
}

bool
Link_Flush(GwNet *net, Link *link, int64_t now_us)
{
    if (link->state == LINK_CONNECTING || link->fd < 0) {
        return true;
    }
    for (;;) {
        if (link->writing == NULL) {
            link->writing = next_frame(net, link, now_us);
        }
        if (link->writing == NULL) {
            ping_if_due(link, now_us);
            if (link->urgent.length == 0) {
                set_wants_write(net, link, false);
                return true;
            }
            continue;
        }
        int rc = write_current(link);
        if (rc < 0) {
            return false;
        }
        if (rc == 0) {
            set_wants_write(net, link, true);
            return true;
        }
        finish_frame(net, link);
    }
}

bool
Link_OnWritable(GwNet *net, Link *link, int64_t now_us)
{
    if (link->state == LINK_CONNECTING) {
        int error = 0;
        socklen_t len = sizeof(error);
        getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &error, &len);
        if (error != 0) {
            return false;
        }
        link->state = LINK_HELLO;
        link->deadline_us = now_us + HANDSHAKE_TIMEOUT_US;
    }
    return Link_Flush(net, link, now_us);
}

bool
Link_IsSilent(const Link *link, int64_t now_us)
{
    return link->state == LINK_READY && link->ping_sent_us != 0 &&
           now_us - link->ping_sent_us > PONG_TIMEOUT_US;
}

bool
Link_IsOverdue(const Link *link, int64_t now_us)
{
    bool connecting = link->state != LINK_IDLE && link->state != LINK_READY;

    return (connecting && now_us >= link->deadline_us) ||
           Link_IsSilent(link, now_us);
}
