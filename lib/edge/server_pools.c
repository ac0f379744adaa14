/* Idle connections to backend servers, one pool for each server. */
#include "edge/server_links_internal.h"

#include <stdlib.h>
#include <string.h>

/* Subtracted from the server's keep-alive timeout, so that no request crosses
 * the server's close. */
#define IDLE_MARGIN_MS 700
/* A non-idempotent request reuses only a connection with traffic within this
 * time: a middlebox may have dropped the state of a connection that was idle
 * for longer, and then the entry can't know whether the request ran. A new
 * connection costs about 1 ms. */
#define NON_IDEMPOTENT_IDLE_MS 1500

GwServerPool *
GwServerPool_Of(GwEdge *edge, GwServer *s)
{
    void **user = GwServer_User(s);

    if (*user == NULL) {
        GwServerPool *pool = g_new0(GwServerPool, 1);
        pool->edge = edge;
        pool->server = s;
        pool->id = g_strdup(GwServer_Id(s));
        pool->node.data = pool;
        g_queue_push_tail_link(&edge->pools, &pool->node);
        *user = pool;
    }
    return *user;
}

static void
free_pool_if_unused(GwServerPool *pool)
{
    if (pool->server == NULL && pool->open == 0) {
        g_queue_unlink(&pool->edge->pools, &pool->node);
        g_free(pool->id);
        g_free(pool);
    }
}

void
GwServerLink_EndReceiving(GwServerLink *link)
{
    if (link->meter.began_us != 0) {
        link->meter.began_us = 0;
        g_queue_unlink(&link->edge->receiving, &link->receiving);
    }
}

void
GwServerLink_Close(GwServerLink *link)
{
    GwServerPool *pool = link->pool;

    GwServerLink_EndReceiving(link);
    if (link->connecting) {
        g_queue_unlink(&link->edge->connecting, &link->node);
    }
    else if (link->exchange == NULL) {
        g_queue_unlink(&pool->idle, &link->node);
    }
    if (link->exchange != NULL) {
        link->exchange->link = NULL;
    }
    if (link->conn != NULL) {
        if (link->exchange != NULL) {
            GwExchange_NoteUndelivered(link->exchange, link->conn, pool->id,
                                       link->meter.sent_us);
        }
        GwConn_Close(link->conn);
    }
    pool->open--;
    free_pool_if_unused(pool);
    g_free(link);
}

/* Closes the longest-idle connections above this entry's share of the
 * connections that the server accepts: a server resets connections above its
 * limit, whichever entry they belong to. */
static void
trim_idle(GwServerPool *pool)
{
    uint32_t most =
        GwRouter_IdleConnectionsMax(pool->edge->router, pool->server);

    while (g_queue_get_length(&pool->idle) > most) {
        GwServerLink_Close(g_queue_peek_head(&pool->idle));
    }
}

void
GwServerPool_PutIdle(GwServerPool *pool, GwServerLink *link)
{
    g_queue_push_tail_link(&pool->idle, &link->node);
    if (pool->server == NULL) {
        GwServerLink_Close(link);
        return;
    }
    trim_idle(pool);
}

void
GwServerLink_ReturnUnsent(GwServerLink *link)
{
    link->exchange->link = NULL;
    link->exchange = NULL;
    GwServerPool_PutIdle(link->pool, link);
}

GwServerLink *
GwServerPool_TakeIdle(GwServerPool *pool, bool idempotent, int64_t now_us)
{
    GList *at;

    while ((at = g_queue_peek_tail_link(&pool->idle)) != NULL) {
        GwServerLink *link = at->data;
        int64_t idle_ms = (now_us - link->idle_since_us) / 1000;
        if (idle_ms < link->idle_max_ms && !GwConn_HasUnread(link->conn)) {
            if (!idempotent && idle_ms > NON_IDEMPOTENT_IDLE_MS) {
                return NULL;
            }
            g_queue_unlink(&pool->idle, at);
            return link;
        }
        GwServerLink_Close(link);
    }
    return NULL;
}

bool
GwServerLink_ReturnAnswered(GwServerLink *link, const GwHttpMessage *msg)
{
    const char *keep = GwHttpMessage_Get(msg, "keep-alive");
    const char *timeout = keep != NULL ? strstr(keep, "timeout=") : NULL;

    GwServerLink_EndReceiving(link);
    link->reads_answered = GwConn_ReadCount(link->conn);
    link->exchange = NULL;
    link->idle_since_us = GwEdge_Now();
    if (timeout != NULL) {
        long s = strtol(timeout + strlen("timeout="), NULL, 10);
        link->idle_max_ms = s > 0 && s < 3600
                                ? (uint32_t)s * 1000 - IDLE_MARGIN_MS
                                : GW_SERVER_IDLE_MS;
    }
    g_queue_push_tail_link(&link->pool->idle, &link->node);
    if (!msg->keep_alive || !msg->framed || link->has_stray_answer ||
        link->pool->server == NULL) {
        GwServerLink_Close(link);
        return false;
    }
    GwServerPool *pool = link->pool;
    trim_idle(pool); /* closes this connection last */
    return !g_queue_is_empty(&pool->idle);
}

void
GwServerPool_CloseIdle(GwServerPool *pool, int64_t now_us)
{
    GwServerLink *link;

    while ((link = g_queue_peek_head(&pool->idle)) != NULL) {
        int64_t until =
            link->idle_since_us + (int64_t)link->idle_max_ms * 1000;
        if (until > now_us) {
            break;
        }
        bool last = pool->open == 1 && pool->server == NULL;
        GwServerLink_Close(link);
        if (last) {
            return; /* the pool was freed as well */
        }
    }
}

void
GwServerLink_DropServer(GwEdge *edge, GwServer *s)
{
    GwServerPool *pool = *GwServer_User(s);

    (void)edge;
    if (pool != NULL) {
        pool->server = NULL;
        if (pool->open == 0) {
            free_pool_if_unused(pool);
            return;
        }
        GwServerPool_CloseIdle(pool, INT64_MAX);
    }
}

/* Closes connections that are idle or being established. A connection with a
 * request in progress is closed along with its caller's. */
void
GwServerLink_CloseAll(GwEdge *edge)
{
    GwServerLink *link;
    GwServerPool *pool;

    while ((link = g_queue_peek_head(&edge->connecting)) != NULL) {
        GwServerLink_Close(link);
    }
    while ((pool = g_queue_peek_head(&edge->pools)) != NULL) {
        while ((link = g_queue_peek_head(&pool->idle)) != NULL) {
            pool->open++; /* keeps the pool until the loop ends */
            GwServerLink_Close(link);
            pool->open--;
        }
        pool->server = NULL;
        pool->open = 0;
        free_pool_if_unused(pool);
    }
}
