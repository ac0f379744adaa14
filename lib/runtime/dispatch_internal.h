/* Shared by dispatch.c (one attempt) and pool.c (connections). */
#ifndef GW_RUNTIME_DISPATCH_INTERNAL_H
#define GW_RUNTIME_DISPATCH_INTERNAL_H

#include "runtime/dispatch.h"

#include <curl/curl.h>
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>

/* One connection to one backend server: a curl handle inside a multi handle
 * of its own, so that it has its own connection cache and can be woken. */
typedef struct {
    CURLM *multi;
    CURL *easy;
    int fd; /* of the open connection, or -1 */
    int64_t last_answer_us;
    /* Of the attempt that runs: */
    uint32_t sockets_left; /* connections that libcurl may still open */
    bool socket_refused;   /* it wanted one more */
    bool reused;
} Slot;

struct GwDispatcher_s {
    pthread_mutex_t mutex; /* no other lock is taken under it */
    GHashTable *idle;      /* address to GQueue of Slot *, freshest first */
    GHashTable *idle_max;  /* address to its bound; NULL before the first */
    atomic_uint_fast64_t opened;
    atomic_uint_fast64_t reused;
    atomic_uint_fast64_t resends_stopped;
};

struct GwAbort_s {
    int refs;
    pthread_mutex_t mutex;
    bool triggered;
    CURLM *multi; /* of the attempt that runs, or NULL */
};

/* A slot for the attempt, with the open connection it may use or none. */
Slot *GwPool_Take(GwDispatcher *d, const GwDispatchAsk *ask, int64_t now_us);
/* keep: its connection carried a whole answer and nothing else. */
void GwPool_Give(GwDispatcher *d, const char *address, Slot *slot, bool keep);
/* Closes the idle connections of one server. */
void GwPool_Flush(GwDispatcher *d, const char *address);
void Slot_Free(Slot *slot);

#endif
