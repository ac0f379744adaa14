/* Shared by dispatch.c (attempts) and pool.c (connections). */
#ifndef GW_RUNTIME_DISPATCH_INTERNAL_H
#define GW_RUNTIME_DISPATCH_INTERNAL_H

#include "runtime/dispatch.h"

#include <curl/curl.h>
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>

/* One connection to a backend server: an easy handle in its own multi handle,
 * which gives it a separate connection cache and allows waking it. */
typedef struct {
    CURLM *multi;
    CURL *easy;
    int fd; /* of the open connection, or -1 */
    int64_t last_answer_us;
    /* Of the running attempt: */
    uint32_t sockets_left; /* sockets that libcurl may still open */
    bool socket_refused;   /* libcurl requested one more */
    bool reused;
} PoolConnection;

struct GwDispatcher_s {
    pthread_mutex_t mutex; /* no other lock is taken while it is held */
    GHashTable *idle; /* address to GQueue of PoolConnection *, newest first */
    GHashTable *idle_max; /* address to bound; NULL before the first Trim */
    atomic_uint_fast64_t opened;
    atomic_uint_fast64_t reused;
    atomic_uint_fast64_t resends_stopped;
};

struct GwAbort_s {
    int refs;
    pthread_mutex_t mutex;
    bool triggered;
    CURLM *multi; /* of the running attempt, or NULL */
};

/* Returns an idle connection that the attempt may reuse, or a new one that
 * is not connected yet. */
PoolConnection *GwPool_Acquire(GwDispatcher *d,
                               const GwDispatchRequest *request,
                               int64_t now_us);
/* Returns a connection to the pool. keep: it carried one complete answer
 * and nothing else; otherwise it is closed. */
void GwPool_Release(GwDispatcher *d, const char *address,
                    PoolConnection *connection, bool keep);
/* Closes all idle connections to one server. */
void GwPool_CloseIdle(GwDispatcher *d, const char *address);
void PoolConnection_Free(PoolConnection *connection);

#endif
