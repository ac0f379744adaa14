#include "standins/site/site.h"

#include <string.h>

typedef struct {
    SiteServer *server;
    GwConn *conn;
    GwHttpMessage *msg; /* being run, or queued; NULL */
    uv_timer_t timer;   /* of the run */
    bool running;
    bool gone; /* the caller's side closed */
} Link;

struct SiteServer_s {
    SiteServerParams params;
    uint32_t running;
    GQueue queued;          /* Link */
    GHashTable *remembered; /* object keys */
    uint32_t served;
    int64_t drained_us; /* 0: not */
    uint32_t late;
};

/* Requests that wait for a slot; above it they are refused. */
#define QUEUE_MAX 9
/* From the report that it leaves to the last request. */
#define DRAIN_US 2500000

static bool
chance(SiteServer *s, uint32_t permille)
{
    return GwRng_Below(s->params.rng, 1000) < permille;
}

static void
write_answer(Link *link, uint16_t status, const char *extra, const char *id,
             const char *body)
{
    const GwAdapter *a = link->server->params.adapter;
    GString *out = g_string_new(NULL);

    g_string_printf(out,
                    "HTTP/1.1 %u X\r\n%s: %s\r\n%s: %u,%u,%u\r\n%s"
                    "Content-Length: %zu\r\n\r\n%s",
                    status, a->request_id, id, a->load, link->server->running,
                    link->server->queued.length, link->server->params.slots,
                    extra, strlen(body), body);
    GwConn_Write(link->conn, out);
    g_string_free(out, TRUE);
}

static const char *
id_of(const Link *link)
{
    const char *id =
        GwHttpMessage_Get(link->msg, link->server->params.adapter->request_id);

    return id != NULL ? id : "";
}

static void run(Link *link);

static void
finish(Link *link)
{
    SiteServer *s = link->server;

    GwHttpMessage_Free(link->msg);
    link->msg = NULL;
    if (link->running) {
        link->running = false;
        s->running--;
        Link *next = g_queue_pop_head(&s->queued);
        if (next != NULL) {
            run(next);
        }
    }
}

static void
free_link(uv_handle_t *handle)
{
    g_free(handle->data);
}

static void
drop(Link *link)
{
    (void)g_queue_remove(&link->server->queued, link);
    finish(link);
    link->gone = true;
    uv_close((uv_handle_t *)&link->timer, free_link);
}

static void
on_worked(uv_timer_t *timer)
{
    Link *link = timer->data;
    SiteServer *s = link->server;
    char *seal =
        g_strdup_printf("%s: %s\r\n", s->params.adapter->seal, s->params.id);
    char *id = g_strdup(id_of(link));

    s->served++;
    if (chance(s, s->params.lose_answer)) {
        GwConn_Close(link->conn);
        drop(link);
    }
    else {
        write_answer(link, 200, seal, id, id);
        if (chance(s, s->params.stray)) {
            write_answer(link, 200, seal, id, id);
        }
        finish(link);
    }
    g_free(id);
    g_free(seal);
}

static void
run(Link *link)
{
    SiteServer *s = link->server;
    const char *key =
        GwHttpMessage_Get(link->msg, s->params.adapter->object_key);
    bool warm = key != NULL && g_hash_table_contains(s->remembered, key);
    uint32_t work_ms = warm ? s->params.work_ms * 3 / 10 : s->params.work_ms;
    gpointer count = g_hash_table_lookup(s->params.runs, id_of(link));

    g_hash_table_replace(s->params.runs, g_strdup(id_of(link)),
                         GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
    if (key != NULL) {
        g_hash_table_add(s->remembered, g_strdup(key));
    }
    link->running = true;
    s->running++;
    (void)uv_timer_start(&link->timer, on_worked, work_ms, 0);
}

static void
refuse(Link *link, uint16_t status)
{
    char *extra =
        g_strdup_printf("%s: 1\r\n", link->server->params.adapter->not_run);

    write_answer(link, status, extra, id_of(link), "");
    g_free(extra);
    finish(link);
}

static void
on_message(void *owner, GwHttpMessage *msg)
{
    Link *link = owner;
    SiteServer *s = link->server;
    const char *expected =
        GwHttpMessage_Get(msg, s->params.adapter->expect_server);
    int64_t now_us = (int64_t)(uv_hrtime() / 1000);

    link->msg = msg;
    if (s->drained_us != 0 && now_us > s->drained_us + DRAIN_US) {
        s->late++;
    }
    if (expected != NULL && strcmp(expected, s->params.id) != 0) {
        refuse(link, 421);
    }
    else if (chance(s, s->params.refuse) || s->queued.length >= QUEUE_MAX) {
        refuse(link, 503);
    }
    else if (s->running < s->params.slots) {
        run(link);
    }
    else {
        g_queue_push_tail(&s->queued, link);
    }
}

static void
on_ended(void *owner, GwConnEnd end)
{
    Link *link = owner;

    if (end == GW_CONN_BAD) {
        GwConn_Close(link->conn);
    }
    drop(link);
}

static const GwConnOps ops = {.message = on_message, .ended = on_ended};

static void
on_connection(uv_stream_t *listener, int status)
{
    SiteServer *s = listener->data;
    Link *link = g_new0(Link, 1);
    GwConnParams params = {
        .loop = s->params.loop,
        .ops = &ops,
        .owner = link,
        .requests = true,
        .head_max = 64 << 10,
        .body_max = 1 << 20,
    };

    link->server = s;
    (void)uv_timer_init(s->params.loop, &link->timer);
    link->timer.data = link;
    link->conn = status == 0 ? GwConn_Accept(&params, listener) : NULL;
    if (link->conn == NULL) {
        drop(link);
    }
}

SiteServer *
SiteServer_Create(const SiteServerParams *params)
{
    SiteServer *s = g_new0(SiteServer, 1);

    s->params = *params;
    s->remembered =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    if (GwConn_Listen(params->loop, params->address, on_connection, s) ==
        NULL) {
        g_free(s);
        return NULL;
    }
    return s;
}

uint32_t
SiteServer_Served(const SiteServer *s)
{
    return s->served;
}

void
SiteServer_MarkDrained(SiteServer *s, int64_t now_us)
{
    s->drained_us = now_us;
}

uint32_t
SiteServer_Late(const SiteServer *s)
{
    return s->late;
}
