/* Connections to backend servers, shared by server_links.c and
 * server_pools.c. */
#ifndef GW_EDGE_SERVER_LINKS_INTERNAL_H
#define GW_EDGE_SERVER_LINKS_INTERNAL_H

#include "edge/edge_internal.h"

/* Maximum idle time of a connection whose server sent no keep-alive
 * timeout. */
#define GW_SERVER_IDLE_MS 4000

/* The connections to one server. */
typedef struct {
    GList node; /* in edge->pools */
    GwEdge *edge;
    GwServer *server; /* NULL once the router has removed it */
    char *id;
    GQueue idle; /* GwServerLink, most recently used at the tail */
    uint32_t open;
} GwServerPool;

struct GwServerLink_s {
    GwEdge *edge;
    GwServerPool *pool;
    GwConn *conn;
    GwExchange *exchange;     /* NULL while idle */
    GList node;               /* in edge->connecting, then in pool->idle */
    int64_t connect_began_us; /* start of the connect */
    int64_t connect_us;       /* duration of the connect; 0 when reused */
    int64_t idle_since_us;    /* start of the idle time */
    uint32_t idle_max_ms;
    uint32_t time_left_ms; /* time left for the request at assigned_us */
    int64_t assigned_us;
    bool connecting;
    bool has_stray_answer;   /* not reusable */
    GwAnswerMeter meter;     /* of the answer to `exchange` */
    GList receiving;         /* in edge->receiving if meter.began_us != 0 */
    uint64_t reads_answered; /* GwConn_ReadCount at the last answer */
};

/* server_pools.c */
/* Finds or adds the pool of the server. */
GwServerPool *GwServerPool_Of(GwEdge *edge, GwServer *s);
/* Returns an idle connection that can carry a request, or NULL. */
GwServerLink *GwServerPool_TakeIdle(GwServerPool *pool, bool idempotent,
                                    int64_t now_us);
/* Adds a connection to the idle ones. It may be closed at once, and the pool
 * freed with it. */
void GwServerPool_PutIdle(GwServerPool *pool, GwServerLink *link);
/* Closes connections that have been idle for too long at `now_us`; may free
 * the pool. */
void GwServerPool_CloseIdle(GwServerPool *pool, int64_t now_us);
/* Returns the connection to its pool if the server keeps it open, otherwise
 * closes it. Returns whether the pool has an idle connection. */
bool GwServerLink_ReturnAnswered(GwServerLink *link, const GwHttpMessage *msg);
/* The answer is complete or will not be: it is no longer checked for its
 * bounds. */
void GwServerLink_EndReceiving(GwServerLink *link);
/* Returns a connection to the pool without having sent anything on it, so its
 * idle time continues to count. */
void GwServerLink_ReturnUnsent(GwServerLink *link);
/* Closes the connection; frees its pool if that has no other connection and no
 * server. */
void GwServerLink_Close(GwServerLink *link);

#endif
