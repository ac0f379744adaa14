/* Pool of connections to backend servers. */
#include "common/socket.h"
#include "runtime/dispatch_internal.h"
#include "runtime/net_internal.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#define IDLE_MAX_WITHOUT_LIST 1 /* per server, before the first list */

GwDispatcher *
GwDispatcher_Create(void)
{
    GwDispatcher *d = g_new0(GwDispatcher, 1);
    pthread_mutex_init(&d->mutex, NULL);
    d->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return d;
}

void
PoolConnection_Free(PoolConnection *connection)
{
    curl_easy_cleanup(connection->easy);
    curl_multi_cleanup(connection->multi);
    g_free(connection);
}

static void
free_connections(GQueue *connections)
{
    PoolConnection *connection;
    while ((connection = g_queue_pop_head(connections)) != NULL) {
        PoolConnection_Free(connection);
    }
    g_queue_free(connections);
}

void
GwDispatcher_Free(GwDispatcher *d)
{
    GHashTableIter iter;
    gpointer connections;

    if (d == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, d->idle);
    while (g_hash_table_iter_next(&iter, NULL, &connections)) {
        free_connections(connections);
    }
    g_hash_table_destroy(d->idle);
    if (d->idle_max != NULL) {
        g_hash_table_destroy(d->idle_max);
    }
    pthread_mutex_destroy(&d->mutex);
    g_free(d);
}

/* Opens every socket that libcurl uses, to prevent its automatic resend.
 *
 * When a reused connection closes before any answer, libcurl resends the
 * request on a new connection without reporting it. The server may have run
 * the first copy, so the request would run twice while the caller receives one
 * answer. An attempt may therefore open no socket on a reused connection, and
 * exactly one on a new connection. */
static curl_socket_t
open_socket(void *arg, curlsocktype purpose, struct curl_sockaddr *address)
{
    PoolConnection *connection = arg;
    int one = 1;

    if (connection->sockets_left == 0) {
        connection->socket_refused = true;
        return CURL_SOCKET_BAD;
    }
    connection->sockets_left--;
    int fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
                    address->protocol);
    if (fd < 0) {
        return CURL_SOCKET_BAD;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
#if GW_MUTANT != 150 /* breaks: the kernel delivers an abandoned attempt */
    GwSocket_SetDiscard(fd, true);
#endif
    connection->fd = fd;
    return fd;
}

/* The kernel must not deliver an attempt that was abandoned; a connection with
 * everything acknowledged is closed in order. */
static int
close_socket(void *arg, curl_socket_t fd)
{
    PoolConnection *connection = arg;
    if (connection->fd == fd) {
        connection->fd = -1;
    }
    if (GwSocket_UnackedBytes(fd) == 0) {
        GwSocket_SetDiscard(fd, false);
    }
    return close(fd);
}

static PoolConnection *
create_connection(void)
{
    PoolConnection *connection = g_new0(PoolConnection, 1);
    connection->fd = -1;
    connection->multi = curl_multi_init();
    connection->easy = curl_easy_init();
    if (connection->multi == NULL || connection->easy == NULL) {
        g_error("out of memory");
    }
    curl_multi_setopt(connection->multi, CURLMOPT_MAXCONNECTS, 1L);
    curl_easy_setopt(connection->easy, CURLOPT_OPENSOCKETFUNCTION,
                     open_socket);
    curl_easy_setopt(connection->easy, CURLOPT_OPENSOCKETDATA, connection);
    curl_easy_setopt(connection->easy, CURLOPT_CLOSESOCKETFUNCTION,
                     close_socket);
    curl_easy_setopt(connection->easy, CURLOPT_CLOSESOCKETDATA, connection);
    return connection;
}

/* True when the connection is open with nothing to read. Bytes or an end of
 * stream that arrived while it was idle answer no request. */
static bool
is_open_and_quiet(const PoolConnection *connection)
{
    char byte;
    if (connection->fd < 0) {
        return false;
    }
    ssize_t n = recv(connection->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

static bool
may_reuse(const PoolConnection *connection, const GwDispatchRequest *request,
          int64_t now_us)
{
    if (request->new_connection) {
        return false;
    }
    return request->idempotent ||
           now_us - connection->last_answer_us < GW_REUSE_MAX_US;
}

/* The head is the most recently used connection: if it may not be reused, no
 * other may. */
static PoolConnection *
pop_idle(GwDispatcher *d, const GwDispatchRequest *request, int64_t now_us)
{
    PoolConnection *connection = NULL;
    pthread_mutex_lock(&d->mutex);
    GQueue *connections = g_hash_table_lookup(d->idle, request->address);
    if (connections != NULL && connections->head != NULL &&
        may_reuse(connections->head->data, request, now_us)) {
        connection = g_queue_pop_head(connections);
    }
    pthread_mutex_unlock(&d->mutex);
    return connection;
}

PoolConnection *
GwPool_Acquire(GwDispatcher *d, const GwDispatchRequest *request,
               int64_t now_us)
{
    PoolConnection *connection;

    while ((connection = pop_idle(d, request, now_us)) != NULL) {
        if (is_open_and_quiet(connection)) {
            connection->reused = true;
            connection->sockets_left = 0;
            connection->socket_refused = false;
            atomic_fetch_add(&d->reused, 1);
            return connection;
        }
        PoolConnection_Free(connection);
    }
    connection = create_connection();
    connection->sockets_left = 1;
    atomic_fetch_add(&d->opened, 1);
    return connection;
}

/* Requires d->mutex. */
static uint32_t
idle_max_of(const GwDispatcher *d, const char *address)
{
    if (d->idle_max == NULL) {
        return IDLE_MAX_WITHOUT_LIST;
    }
    return GPOINTER_TO_UINT(g_hash_table_lookup(d->idle_max, address));
}

/* Requires d->mutex. Creates the queue if there is none. */
static GQueue *
idle_queue(GwDispatcher *d, const char *address)
{
    GQueue *connections = g_hash_table_lookup(d->idle, address);
    if (connections == NULL) {
        connections = g_queue_new();
        g_hash_table_insert(d->idle, g_strdup(address), connections);
    }
    return connections;
}

/* All entries of a region share the connection limit of a server, and
 * non-idempotent calls leave stale connections behind. Without idle_max each
 * entry would keep as many connections as at its peak load, until the server
 * refuses new ones. */
void
GwPool_Release(GwDispatcher *d, const char *address,
               PoolConnection *connection, bool keep)
{
    PoolConnection *surplus = connection;

    if (keep && connection->fd >= 0) {
        pthread_mutex_lock(&d->mutex);
        uint32_t idle_max = idle_max_of(d, address);
        if (idle_max > 0) {
            GQueue *connections = idle_queue(d, address);
            g_queue_push_head(connections, connection);
            surplus = connections->length > idle_max
                          ? g_queue_pop_tail(connections)
                          : NULL;
        }
        pthread_mutex_unlock(&d->mutex);
    }
    if (surplus != NULL) {
        PoolConnection_Free(surplus);
    }
}

/* Requires d->mutex. Moves connections that must be closed to `out`. The
 * tail is the least recently used one. */
static void
collect_surplus(const GwDispatcher *d, const char *address,
                GQueue *connections, int64_t now_us, GQueue *out)
{
    uint32_t idle_max = idle_max_of(d, address);
    while (connections->length > 0) {
        const PoolConnection *oldest = g_queue_peek_tail(connections);
        if (connections->length <= idle_max &&
            now_us - oldest->last_answer_us < GW_IDLE_TIMEOUT_US) {
            return;
        }
        g_queue_push_tail(out, g_queue_pop_tail(connections));
    }
}

static GHashTable *
create_bounds(const GwDispatchServer *servers, uint32_t count)
{
    GHashTable *bounds =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (uint32_t i = 0; i < count; i++) {
        g_hash_table_insert(bounds, g_strdup(servers[i].address),
                            GUINT_TO_POINTER(servers[i].idle_max));
    }
    return bounds;
}

/* Closes without the mutex: each connection costs a system call. */
void
GwDispatcher_Trim(GwDispatcher *d, const GwDispatchServer *servers,
                  uint32_t count, int64_t now_us)
{
    GHashTable *bounds = create_bounds(servers, count);
    GQueue *closing = g_queue_new();
    GHashTableIter iter;
    gpointer address;
    gpointer connections;

    pthread_mutex_lock(&d->mutex);
    GHashTable *old = d->idle_max;
    d->idle_max = bounds;
    g_hash_table_iter_init(&iter, d->idle);
    while (g_hash_table_iter_next(&iter, &address, &connections)) {
        collect_surplus(d, address, connections, now_us, closing);
        if (((GQueue *)connections)->length == 0) {
            g_queue_free(connections);
            g_hash_table_iter_remove(&iter);
        }
    }
    pthread_mutex_unlock(&d->mutex);
    free_connections(closing);
    if (old != NULL) {
        g_hash_table_destroy(old);
    }
}

void
GwPool_CloseIdle(GwDispatcher *d, const char *address)
{
    gpointer key = NULL;
    gpointer connections = NULL;

    pthread_mutex_lock(&d->mutex);
    g_hash_table_steal_extended(d->idle, address, &key, &connections);
    pthread_mutex_unlock(&d->mutex);
    g_free(key);
    if (connections != NULL) {
        free_connections(connections);
    }
}

static uint64_t
count_idle(GwDispatcher *d)
{
    uint64_t count = 0;
    GHashTableIter iter;
    gpointer connections;

    pthread_mutex_lock(&d->mutex);
    g_hash_table_iter_init(&iter, d->idle);
    while (g_hash_table_iter_next(&iter, NULL, &connections)) {
        count += ((GQueue *)connections)->length;
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
