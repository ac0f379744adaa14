#include "http/listener.h"

#include <string.h>

#define HEAD_MAX_BYTES (64u << 10)
#define BODY_MAX_BYTES (1u << 20)

struct GwServe_s {
    uv_loop_t *loop;
    uv_tcp_t *listener;
    const GwServeOps *ops;
    void *owner;
    GQueue clients; /* GwClient */
};

struct GwClient_s {
    GwServe *serve;
    GwConn *conn; /* NULL if closed */
    GList link;   /* in serve->clients */
    void *user;
};

static void
end_client(GwClient *client)
{
    GwServe *serve = client->serve;

    g_queue_unlink(&serve->clients, &client->link);
    if (serve->ops->gone != NULL) {
        serve->ops->gone(serve->owner, client);
    }
    g_free(client);
}

static void
on_message(void *owner, GwHttpMessage *msg)
{
    GwClient *client = owner;
    GwServe *serve = client->serve;

    serve->ops->asked(serve->owner, client, msg);
}

static void
on_ended(void *owner, GwConnEnd end)
{
    GwClient *client = owner;

    if (end == GW_CONN_BAD) {
        GwConn_Close(client->conn);
    }
    end_client(client);
}

static const GwConnOps client_ops = {
    .message = on_message,
    .ended = on_ended,
};

static void
on_connection(uv_stream_t *listener, int status)
{
    GwServe *serve = listener->data;

    if (status != 0) {
        return;
    }
    GwClient *client = g_new0(GwClient, 1);
    GwConnParams params = {
        .loop = serve->loop,
        .ops = &client_ops,
        .owner = client,
        .requests = true,
        .head_max = HEAD_MAX_BYTES,
        .body_max = BODY_MAX_BYTES,
    };
    client->serve = serve;
    client->link.data = client;
    client->conn = GwConn_Accept(&params, listener);
    if (client->conn == NULL) {
        g_free(client);
        return;
    }
    g_queue_push_tail_link(&serve->clients, &client->link);
}

GwServe *
GwServe_Create(uv_loop_t *loop, const char *address, const GwServeOps *ops,
               void *owner)
{
    GwServe *serve = g_new0(GwServe, 1);

    serve->loop = loop;
    serve->ops = ops;
    serve->owner = owner;
    serve->listener = GwConn_Listen(loop, address, on_connection, serve);
    if (serve->listener == NULL) {
        g_free(serve);
        return NULL;
    }
    return serve;
}

static void
free_listener(uv_handle_t *handle)
{
    g_free(handle->data); /* the GwServe */
    g_free(handle);
}

void
GwServe_Free(GwServe *serve)
{
    GwClient *client;

    if (serve == NULL) {
        return;
    }
    while ((client = g_queue_peek_head(&serve->clients)) != NULL) {
        GwConn_Close(client->conn);
        g_queue_unlink(&serve->clients, &client->link);
        g_free(client);
    }
    uv_close((uv_handle_t *)serve->listener, free_listener);
}

static const char *
reason_phrase(uint16_t status)
{
    return status < 300 ? "OK" : "Error";
}

void
GwClient_Answer(GwClient *client, const GwServeAnswer *answer)
{
    size_t len =
        answer->body_len > 0 ? answer->body_len : strlen(answer->body);
    GString *out = g_string_sized_new(len + 256);

    g_string_append_printf(
        out,
        "HTTP/1.1 %u %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
        "%s%s\r\n",
        answer->status, reason_phrase(answer->status),
        answer->type != NULL ? answer->type : "application/json", len,
        answer->fields != NULL ? answer->fields : "",
        answer->close ? "Connection: close\r\n" : "");
    g_string_append_len(out, answer->body, (gssize)len);
    GwConn_Write(client->conn, out);
    g_string_free(out, TRUE);
}

void
GwClient_Drop(GwClient *client)
{
    GwConn_Close(client->conn);
    end_client(client);
}

void **
GwClient_User(GwClient *client)
{
    return &client->user;
}
