/* The network thread, the connection table and the send queues. */
#include "runtime/net_internal.h"

#include "wire/codec.h"

#include <errno.h>
#include <netdb.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define EVENTS_MAX 64

int64_t
GwNet_NowUs(void)
{
    struct timespec now;
    clock_gettime(CLOCK_BOOTTIME, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

bool
GwNet_ParseAddress(const char *text, struct sockaddr_storage *to,
                   socklen_t *len)
{
    struct addrinfo hints = {
        .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV,
        .ai_socktype = SOCK_STREAM,
    };
    struct addrinfo *found = NULL;
    char host[GW_ADDR_MAX];

    g_strlcpy(host, text, sizeof(host));
    char *colon = strrchr(host, ':');
    if (colon == NULL) {
        return false;
    }
    *colon = '\0';
    char *name = host;
    if (name[0] == '[' && colon > name && colon[-1] == ']') {
        colon[-1] = '\0';
        name++;
    }
    if (getaddrinfo(name, colon + 1, &hints, &found) != 0) {
        return false;
    }
    memcpy(to, found->ai_addr, found->ai_addrlen);
    *len = found->ai_addrlen;
    freeaddrinfo(found);
    return true;
}

static int
open_listener(const char *address, GError **error)
{
    struct sockaddr_storage at;
    socklen_t len;
    int one = 1;

    if (!GwNet_ParseAddress(address, &at, &len)) {
        g_set_error(error, GW_ERROR, GW_RESULT_INVALID,
                    "peer_address: not ip:port: \"%s\"", address);
        return -1;
    }
    int fd =
        socket(at.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (fd < 0 || bind(fd, (struct sockaddr *)&at, len) != 0 ||
        listen(fd, 512) != 0) {
        g_set_error(error, GW_ERROR, GW_RESULT_IO,
                    "cannot listen at peer_address %s: %s", address,
                    g_strerror(errno));
        if (fd >= 0) {
            close(fd);
        }
        return -1;
    }
    return fd;
}

static void
watch_fd(GwNet *net, int *fd)
{
    struct epoll_event event = {.events = EPOLLIN, .data.ptr = fd};
    epoll_ctl(net->epoll_fd, EPOLL_CTL_ADD, *fd, &event);
}

GwNet *
GwNet_Create(const GwNetParams *params, const GwNetHost *host, GError **error)
{
    int listen_fd = open_listener(params->listen_address, error);
    if (listen_fd < 0) {
        return NULL;
    }
    GwNet *net = g_new0(GwNet, 1);
    net->params = *params;
    net->host = *host;
    net->key = g_memdup2(params->key, params->key_len);
    net->params.key = net->key;
    net->listen_fd = listen_fd;
    net->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    net->event_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    pthread_mutex_init(&net->peer_lock, NULL);
    net->by_address = g_hash_table_new(g_str_hash, g_str_equal);
    net->by_serial = g_hash_table_new(g_int64_hash, g_int64_equal);
    g_queue_init(&net->pending);
    watch_fd(net, &net->listen_fd);
    watch_fd(net, &net->event_fd);
    return net;
}

/* Frees an accepted link, or an outgoing one with an empty queue, so that the
 * table does not grow with every address ever used. Reconnects an outgoing
 * link that has frames to send. */
static void
close_link(GwNet *net, Link *link)
{
    Link_Close(net, link);
    pthread_mutex_lock(&net->peer_lock);
    bool unused = link->accepted || link->queue.length == 0;
    if (unused) {
        g_hash_table_remove(net->by_serial, &link->serial);
        if (!link->accepted) {
            g_hash_table_remove(net->by_address, link->address);
        }
    }
    pthread_mutex_unlock(&net->peer_lock);
    if (unused) {
        Link_Free(link);
        return;
    }
    Link_Connect(net, link, GwNet_NowUs());
}

static void
accept_all(GwNet *net, int64_t now_us)
{
    for (;;) {
        int fd =
            accept4(net->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        pthread_mutex_lock(&net->peer_lock);
        Link *link = NULL;
        if (g_hash_table_size(net->by_serial) < LINKS_MAX) {
            link = Link_Create(net, NULL);
            g_hash_table_insert(net->by_serial, &link->serial, link);
        }
        pthread_mutex_unlock(&net->peer_lock);
        if (link == NULL) {
            close(fd);
            continue;
        }
        Link_Accept(net, link, fd, now_us);
    }
}

static void
serve_pending(GwNet *net, int64_t now_us)
{
    uint64_t drain;
    uint64_t *serial;

    (void)!read(net->event_fd, &drain, sizeof(drain));
    for (;;) {
        Link *link = NULL;
        bool has_overflow = false;
        pthread_mutex_lock(&net->peer_lock);
        serial = g_queue_pop_head(&net->pending);
        if (serial != NULL) {
            link = g_hash_table_lookup(net->by_serial, serial);
        }
        if (link != NULL) {
            link->is_pending = false;
            has_overflow = link->has_overflow;
        }
        pthread_mutex_unlock(&net->peer_lock);
        g_free(serial);
        if (serial == NULL) {
            return;
        }
        if (link == NULL) {
            continue;
        }
        if (link->state == LINK_IDLE) {
            Link_Connect(net, link, now_us);
        }
        else if (has_overflow || !Link_Flush(net, link, now_us)) {
            close_link(net, link);
        }
    }
}

static void
on_link_event(GwNet *net, Link *link, uint32_t events, int64_t now_us)
{
    bool keep = true;
    if ((events & EPOLLOUT) != 0) {
        keep = Link_OnWritable(net, link, now_us);
    }
    if (keep && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
        keep = link->state != LINK_CONNECTING &&
               Link_OnReadable(net, link, now_us);
    }
    if (!keep) {
        close_link(net, link);
    }
}

static GPtrArray *
all_links(GwNet *net)
{
    GPtrArray *links = g_ptr_array_new();
    GHashTableIter iter;
    gpointer link;

    pthread_mutex_lock(&net->peer_lock);
    g_hash_table_iter_init(&iter, net->by_serial);
    while (g_hash_table_iter_next(&iter, NULL, &link)) {
        g_ptr_array_add(links, link);
    }
    pthread_mutex_unlock(&net->peer_lock);
    return links;
}

/* Flushing sends a ping that became due after the last frame. Otherwise, on a
 * link that no longer delivers data, a call sent just after a ping would wait
 * until its deadline if no frame follows. */
static void
check_links(GwNet *net, int64_t now_us)
{
    GPtrArray *links = all_links(net);
    for (guint i = 0; i < links->len; i++) {
        Link *link = g_ptr_array_index(links, i);
        bool silent = Link_IsSilent(link, now_us);
        if (Link_IsOverdue(link, now_us) || !Link_Flush(net, link, now_us)) {
            close_link(net, link);
        }
        /* Counted only after the queue is dropped: frames queued after the
         * count has increased are sent on a new connection. */
        if (silent) {
            atomic_fetch_add(&net->closed_silent, 1);
        }
    }
    g_ptr_array_free(links, TRUE);
}

/* Sends frames whose test delay has passed. Returns the time at which the next
 * frame is due. */
static int64_t
flush_delayed(GwNet *net, int64_t now_us)
{
    int64_t next_us = INT64_MAX;
    GPtrArray *links = all_links(net);
    for (guint i = 0; i < links->len; i++) {
        Link *link = g_ptr_array_index(links, i);
        if (link->state != LINK_READY || link->delay_us == 0) {
            continue;
        }
        if (!Link_Flush(net, link, now_us)) {
            close_link(net, link);
            continue;
        }
        pthread_mutex_lock(&net->peer_lock);
        Frame *head = g_queue_peek_head(&link->queue);
        if (head != NULL) {
            next_us = MIN(next_us, head->queued_us + link->delay_us);
        }
        pthread_mutex_unlock(&net->peer_lock);
    }
    g_ptr_array_free(links, TRUE);
    return next_us;
}

static void
wait_and_serve(GwNet *net, int64_t until_us)
{
    struct epoll_event events[EVENTS_MAX];
    int64_t wait_us = MAX(until_us - GwNet_NowUs(), 0);
    struct timespec wait = {
        .tv_sec = wait_us / 1000000,
        .tv_nsec = wait_us % 1000000 * 1000,
    };
    int n = epoll_pwait2(net->epoll_fd, events, EVENTS_MAX, &wait, NULL);
    int64_t now_us = GwNet_NowUs();
    for (int i = 0; i < n; i++) {
        if (events[i].data.ptr == &net->listen_fd) {
            accept_all(net, now_us);
        }
        else if (events[i].data.ptr != &net->event_fd) {
            on_link_event(net, events[i].data.ptr, events[i].events, now_us);
        }
    }
    serve_pending(net, now_us);
}

static void *
net_thread(void *arg)
{
    GwNet *net = arg;
    int64_t tick_us = GwNet_NowUs();
    int64_t sweep_us = tick_us;

    while (!atomic_load(&net->stop)) {
        int64_t now_us = GwNet_NowUs();
        if (now_us >= tick_us) {
            net->host.tick(net->host.ctx);
            tick_us = GwNet_NowUs() + GW_TICK_US;
        }
        if (now_us >= sweep_us) {
            check_links(net, now_us);
            sweep_us = now_us + 50000;
        }
        int64_t due_us = net->params.delay_count > 0
                             ? flush_delayed(net, now_us)
                             : INT64_MAX;
        wait_and_serve(net, MIN(tick_us, due_us));
    }
    return NULL;
}

void
GwNet_Start(GwNet *net)
{
    net->running = pthread_create(&net->thread, NULL, net_thread, net) == 0;
}

void
GwNet_Stop(GwNet *net)
{
    uint64_t one = 1;

    if (net == NULL || !net->running) {
        return;
    }
    atomic_store(&net->stop, true);
    (void)!write(net->event_fd, &one, sizeof(one));
    pthread_join(net->thread, NULL);
    net->running = false;
}

void
GwNet_Free(GwNet *net)
{
    if (net == NULL) {
        return;
    }
    GwNet_Stop(net);
    GPtrArray *links = all_links(net);
    for (guint i = 0; i < links->len; i++) {
        Link_Free(g_ptr_array_index(links, i));
    }
    g_ptr_array_free(links, TRUE);
    g_queue_clear_full(&net->pending, g_free);
    g_hash_table_destroy(net->by_address);
    g_hash_table_destroy(net->by_serial);
    pthread_mutex_destroy(&net->peer_lock);
    close(net->listen_fd);
    close(net->event_fd);
    close(net->epoll_fd);
    g_free(net->key);
    g_free(net);
}

/* Drops the oldest control frames until `len` bytes fit, since newer control
 * messages supersede older ones. Never drops a relayed call, whose loss must
 * be reported. Returns false when only calls and replies are left. */
static bool
make_queue_space(GwNet *net, Link *link, size_t len)
{
    while (link->queue.length >= QUEUE_FRAMES_MAX ||
           link->queue_bytes + len > QUEUE_BYTES_MAX) {
        GList *item = link->queue.head;
        while (item != NULL && !((Frame *)item->data)->control) {
            item = item->next;
        }
        if (item == NULL) {
            return false;
        }
        link->queue_bytes -= ((Frame *)item->data)->len;
        Frame_Free(item->data);
        g_queue_delete_link(&link->queue, item);
        atomic_fetch_add(&net->dropped, 1);
    }
    return true;
}

/* Requires peer_lock. Schedules the link for the network thread. */
static void
mark_pending(GwNet *net, Link *link)
{
    if (!link->is_pending) {
        link->is_pending = true;
        g_queue_push_tail(&net->pending,
                          g_memdup2(&link->serial, sizeof(link->serial)));
    }
}

/* Requires peer_lock. Takes ownership of the frame when it returns true. */
static bool
push_frame(GwNet *net, Link *link, Frame *frame)
{
    if (!make_queue_space(net, link, frame->len)) {
        /* If a reply were dropped, the peer's call would wait until its
         * deadline. Closing the link ends it at once as unknown. */
        link->has_overflow = link->accepted;
        mark_pending(net, link);
        return false;
    }
    frame->queued_us = GwNet_NowUs();
    g_queue_push_tail(&link->queue, frame);
    link->queue_bytes += frame->len;
    mark_pending(net, link);
    return true;
}

static Link *
get_outgoing(GwNet *net, const char *address)
{
    Link *link = g_hash_table_lookup(net->by_address, address);
    if (link == NULL && g_hash_table_size(net->by_serial) < LINKS_MAX) {
        link = Link_Create(net, address);
        g_hash_table_insert(net->by_address, link->address, link);
        g_hash_table_insert(net->by_serial, &link->serial, link);
    }
    return link;
}

static bool
enqueue(GwNet *net, Link *(*find)(GwNet *, const void *), const void *arg,
        Frame *frame)
{
    uint64_t one = 1;

    pthread_mutex_lock(&net->peer_lock);
    Link *link = find(net, arg);
    bool is_queued = link != NULL && push_frame(net, link, frame);
    pthread_mutex_unlock(&net->peer_lock);
    if (!is_queued) {
        atomic_fetch_add(&net->dropped, 1);
        Frame_Free(frame);
        return false;
    }
    (void)!write(net->event_fd, &one, sizeof(one));
    return true;
}

static Link *
find_outgoing(GwNet *net, const void *address)
{
    return get_outgoing(net, address);
}

static Link *
find_serial(GwNet *net, const void *serial)
{
    return g_hash_table_lookup(net->by_serial, serial);
}

void
GwNet_SendControl(GwNet *net, const char *address, uint8_t *frame, size_t len)
{
    Frame *f = g_new0(Frame, 1);
    *f = (Frame){.bytes = frame, .len = len, .control = true};
    enqueue(net, find_outgoing, address, f);
}

bool
GwNet_SendCall(GwNet *net, const char *address, GwNodeId to, uint64_t id,
               uint8_t *frame, size_t len)
{
    Frame *f = g_new0(Frame, 1);
    *f = (Frame){.bytes = frame, .len = len, .call = id, .to = to};
    return enqueue(net, find_outgoing, address, f);
}

void
GwNet_SendReply(GwNet *net, uint64_t link, uint8_t *frame, size_t len)
{
    Frame *f = g_new0(Frame, 1);
    *f = (Frame){.bytes = frame, .len = len};
    enqueue(net, find_serial, &link, f);
}

void
GwNet_Stats(GwNet *net, GwNetStats *stats)
{
    *stats = (GwNetStats){
        .frames_in = atomic_load(&net->frames_in),
        .frames_out = atomic_load(&net->frames_out),
        .bytes_in = atomic_load(&net->bytes_in),
        .bytes_out = atomic_load(&net->bytes_out),
        .dropped = atomic_load(&net->dropped),
        .closed_silent = atomic_load(&net->closed_silent),
        .refused = atomic_load(&net->refused),
    };
    pthread_mutex_lock(&net->peer_lock);
    stats->links = g_hash_table_size(net->by_serial);
    pthread_mutex_unlock(&net->peer_lock);
}
