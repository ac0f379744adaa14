/* The pool of connections to backend servers. */
#include "runtime/dispatch_internal.h"
#include "runtime/net_internal.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#define IDLE_MAX_UNLISTED 1 /* a server, while no list is known */

GwDispatcher *
GwDispatcher_Create(void)
{
    GwDispatcher *d = g_new0(GwDispatcher, 1);
    pthread_mutex_init(&d->mutex, NULL);
    d->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return d;
}

void
Slot_Free(Slot *slot)
{
    curl_easy_cleanup(slot->easy);
    curl_multi_cleanup(slot->multi);
    g_free(slot);
}

static void
free_slots(GQueue *slots)
{
    Slot *slot;
    while ((slot = g_queue_pop_head(slots)) != NULL) {
        Slot_Free(slot);
    }
    g_queue_free(slots);
}

void
GwDispatcher_Free(GwDispatcher *d)
{
    GHashTableIter iter;
    gpointer slots;

    if (d == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, d->idle);
    while (g_hash_table_iter_next(&iter, NULL, &slots)) {
        free_slots(slots);
    }
    g_hash_table_destroy(d->idle);
    if (d->idle_max != NULL) {
        g_hash_table_destroy(d->idle_max);
    }
    pthread_mutex_destroy(&d->mutex);
    g_free(d);
}

/* The only way for libcurl to get a socket.
 *
 * libcurl silently sends a request again on a new connection when a reused
 * one turns out closed before any answer. The first copy may have been run:
 * a booking would be made twice, and the caller would see one answer. An
 * attempt on a reused connection may open none, and one on a new connection
 * just that one, so the second copy has nowhere to go. */
static curl_socket_t
open_socket(void *arg, curlsocktype purpose, struct curl_sockaddr *address)
{
    Slot *slot = arg;
    int one = 1;

    if (slot->sockets_left == 0) {
        slot->socket_refused = true;
        return CURL_SOCKET_BAD;
    }
    slot->sockets_left--;
    int fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
                    address->protocol);
    if (fd < 0) {
        return CURL_SOCKET_BAD;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    slot->fd = fd;
    return fd;
}

static int
close_socket(void *arg, curl_socket_t fd)
{
    Slot *slot = arg;
    if (slot->fd == fd) {
        slot->fd = -1;
    }
    return close(fd);
}

static Slot *
create_slot(void)
{
    Slot *slot = g_new0(Slot, 1);
    slot->fd = -1;
    slot->multi = curl_multi_init();
    slot->easy = curl_easy_init();
    if (slot->multi == NULL || slot->easy == NULL) {
        g_error("out of memory");
    }
    curl_multi_setopt(slot->multi, CURLMOPT_MAXCONNECTS, 1L);
    curl_easy_setopt(slot->easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
    curl_easy_setopt(slot->easy, CURLOPT_OPENSOCKETDATA, slot);
    curl_easy_setopt(slot->easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
    curl_easy_setopt(slot->easy, CURLOPT_CLOSESOCKETDATA, slot);
    return slot;
}

/* Open, with nothing to read: bytes or an end that arrived while it was idle
 * belong to no request of ours. */
static bool
is_quiet(const Slot *slot)
{
    char byte;
    if (slot->fd < 0) {
        return false;
    }
    ssize_t n = recv(slot->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

static bool
may_use(const Slot *slot, const GwDispatchAsk *ask, int64_t now_us)
{
    if (ask->new_connection) {
        return false;
    }
    return ask->idempotent || now_us - slot->last_answer_us < GW_FRESH_US;
}

/* The freshest idle slot lies on top: if that may not be used, none may. */
static Slot *
pop_idle(GwDispatcher *d, const GwDispatchAsk *ask, int64_t now_us)
{
    Slot *slot = NULL;
    pthread_mutex_lock(&d->mutex);
    GQueue *slots = g_hash_table_lookup(d->idle, ask->address);
    if (slots != NULL && slots->head != NULL &&
        may_use(slots->head->data, ask, now_us)) {
        slot = g_queue_pop_head(slots);
    }
    pthread_mutex_unlock(&d->mutex);
    return slot;
}

Slot *
GwPool_Take(GwDispatcher *d, const GwDispatchAsk *ask, int64_t now_us)
{
    Slot *slot;

    while ((slot = pop_idle(d, ask, now_us)) != NULL) {
        if (is_quiet(slot)) {
            slot->reused = true;
            slot->sockets_left = 0;
            slot->socket_refused = false;
            atomic_fetch_add(&d->reused, 1);
            return slot;
        }
        Slot_Free(slot);
    }
    slot = create_slot();
    slot->sockets_left = 1;
    atomic_fetch_add(&d->opened, 1);
    return slot;
}

/* Called with the mutex. */
static uint32_t
idle_max_of(const GwDispatcher *d, const char *address)
{
    if (d->idle_max == NULL) {
        return IDLE_MAX_UNLISTED;
    }
    return GPOINTER_TO_UINT(g_hash_table_lookup(d->idle_max, address));
}

/* Called with the mutex. */
static GQueue *
idle_of(GwDispatcher *d, const char *address)
{
    GQueue *slots = g_hash_table_lookup(d->idle, address);
    if (slots == NULL) {
        slots = g_queue_new();
        g_hash_table_insert(d->idle, g_strdup(address), slots);
    }
    return slots;
}

/* A server's connections are shared by all entries of its region, and
 * non-idempotent calls leave stale ones lying below the fresh ones. Without
 * the bound each entry would come to hold its busiest moment for ever, until
 * the server refuses connections. */
void
GwPool_Give(GwDispatcher *d, const char *address, Slot *slot, bool keep)
{
    Slot *surplus = slot;

    if (keep && slot->fd >= 0) {
        pthread_mutex_lock(&d->mutex);
        uint32_t idle_max = idle_max_of(d, address);
        if (idle_max > 0) {
            GQueue *slots = idle_of(d, address);
            g_queue_push_head(slots, slot);
            surplus =
                slots->length > idle_max ? g_queue_pop_tail(slots) : NULL;
        }
        pthread_mutex_unlock(&d->mutex);
    }
    if (surplus != NULL) {
        Slot_Free(surplus);
    }
}

/* Called with the mutex; moves what has to be closed to `out`. The stalest
 * slot lies at the bottom. */
static void
take_surplus(const GwDispatcher *d, const char *address, GQueue *slots,
             int64_t now_us, GQueue *out)
{
    uint32_t idle_max = idle_max_of(d, address);
    while (slots->length > 0) {
        const Slot *stalest = g_queue_peek_tail(slots);
        if (slots->length <= idle_max &&
            now_us - stalest->last_answer_us < GW_IDLE_US) {
            return;
        }
        g_queue_push_tail(out, g_queue_pop_tail(slots));
    }
}

static GHashTable *
bounds_of(const GwDispatchServer *servers, uint32_t count)
{
    GHashTable *bounds =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (uint32_t i = 0; i < count; i++) {
        g_hash_table_insert(bounds, g_strdup(servers[i].address),
                            GUINT_TO_POINTER(servers[i].idle_max));
    }
    return bounds;
}

/* Closing is done without the mutex: it is a system call a connection. */
void
GwDispatcher_Trim(GwDispatcher *d, const GwDispatchServer *servers,
                  uint32_t count, int64_t now_us)
{
    GHashTable *bounds = bounds_of(servers, count);
    GQueue *closing = g_queue_new();
    GHashTableIter iter;
    gpointer address;
    gpointer slots;

    pthread_mutex_lock(&d->mutex);
    GHashTable *old = d->idle_max;
    d->idle_max = bounds;
    g_hash_table_iter_init(&iter, d->idle);
    while (g_hash_table_iter_next(&iter, &address, &slots)) {
        take_surplus(d, address, slots, now_us, closing);
        if (((GQueue *)slots)->length == 0) {
            g_queue_free(slots);
            g_hash_table_iter_remove(&iter);
        }
    }
    pthread_mutex_unlock(&d->mutex);
    free_slots(closing);
    if (old != NULL) {
        g_hash_table_destroy(old);
    }
}

void
GwPool_Flush(GwDispatcher *d, const char *address)
{
    gpointer key = NULL;
    gpointer slots = NULL;

    pthread_mutex_lock(&d->mutex);
    g_hash_table_steal_extended(d->idle, address, &key, &slots);
    pthread_mutex_unlock(&d->mutex);
    g_free(key);
    if (slots != NULL) {
        free_slots(slots);
    }
}

static uint64_t
count_idle(GwDispatcher *d)
{
    uint64_t count = 0;
    GHashTableIter iter;
    gpointer slots;

    pthread_mutex_lock(&d->mutex);
    g_hash_table_iter_init(&iter, d->idle);
    while (g_hash_table_iter_next(&iter, NULL, &slots)) {
        count += ((GQueue *)slots)->length;
    }
    pthread_mutex_unlock(&d->mutex);
    return count;
}

void
GwDispatcher_Stats(GwDispatcher *d, GwDispatchStats *stats)
{
    *stats = (GwDispatchStats){
        .opened = atomic_load(&d->opened),
        .reused = atomic_load(&d->reused),
        .resends_stopped = atomic_load(&d->resends_stopped),
        .idle = count_idle(d),
    };
}
