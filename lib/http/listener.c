#include "http/listener.h"

#include "http/progress.h"

#include <string.h>

#define HEAD_MAX_BYTES (64u << 10)
#define BODY_MAX_BYTES (1u << 20)
/* A client that makes no progress with its response for this time is closed,
 * and so is a connection that has been closing without any for the shorter
 * one. */
#define STALLED_MS     30000
#define CLOSE_STALL_MS 500
/* Number of longest-idle clients checked when there are too many. */
#define IDLEST_CHECKED 8

struct GwHttpListener_s {
    uv_loop_t *loop;
    uv_tcp_t *tcp;
    const GwHttpListenerOps *ops;
    void *owner;
    GQueue clients;       /* GwClient, longest idle first */
    uint32_t clients_max; /* 0: no limit */
    uint32_t idle_ms;     /* 0: no limit */
};

struct GwClient_s {
    GwHttpListener *listener;
    GwConn *conn;      /* NULL if closed */
    GList link;        /* in serve->clients */
    int64_t active_us; /* of the connect, or the arrival of a response */
    bool has_unacked;  /* a response may be unacknowledged */
    GwSendProgress reading;
    void *user;
};

static void
end_client(GwClient *client)
{
    GwHttpListener *listener = client->listener;

    g_queue_unlink(&listener->clients, &client->link);
    if (listener->ops->gone != NULL) {
        listener->ops->gone(listener->owner, client);
    }
    g_free(client);
}

/* Moves the client to the end of the list, which is ordered by idle time. */
static void
note_activity(GwClient *client)
{
    GQueue *clients = &client->listener->clients;

    client->active_us = (int64_t)(uv_hrtime() / 1000);
    g_queue_unlink(clients, &client->link);
    g_queue_push_tail_link(clients, &client->link);
}

/* An unread request causes a reset, so that its client can tell that it was
 * not answered. */
static void
close_idle_client(GwClient *client)
{
    GwConn_CloseUnread(client->conn, CLOSE_STALL_MS);
    end_client(client);
}

/* Whether the client still reads its response. If it did so at an earlier
 * call, the arrival of the response counts as activity. */
static bool
is_reading(GwClient *client, int64_t now_us)
{
#if GW_MUTANT == 154 /* breaks: a client that reads its page is idle */
    return false;
#endif
    if (!client->has_unacked) {
        return false;
    }
    size_t unacked = GwConn_UnackedBytes(client->conn);
    bool was_reading = client->reading.since_us != 0;
    GwSendProgress_Note(&client->reading,
                        GwConn_BytesOut(client->conn) - unacked, unacked,
                        now_us);
    if (unacked == 0) {
        client->has_unacked = false;
        if (was_reading) {
            note_activity(client);
        }
        return false;
    }
    return GwSendProgress_StalledUs(&client->reading, now_us) <
           (int64_t)STALLED_MS * 1000;
}

/* Closes the longest-idle client, if possible one that has its response, to
 * make room for the last of the list. */
static void
close_longest_idle(GwHttpListener *listener)
{
    int64_t now_us = (int64_t)(uv_hrtime() / 1000);
    GwClient *chosen = g_queue_peek_head(&listener->clients);
    GList *at = listener->clients.head;

    for (int i = 0; i < IDLEST_CHECKED && at != listener->clients.tail; i++) {
        GwClient *client = at->data;
        at = at->next;
        if (!is_reading(client, now_us)) {
            chosen = client;
            break;
        }
    }
    close_idle_client(chosen);
}

static void
on_message(void *owner, GwHttpMessage *msg)
{
    GwClient *client = owner;
    GwHttpListener *listener = client->listener;

    listener->ops->asked(listener->owner, client, msg);
}

static void
on_ended(void *owner, GwConnEnd end)
{
    GwClient *client = owner;

    if (end == GW_CONN_MALFORMED) {
        GwConn_Close(client->conn);
    }
    end_client(client);
}

static const GwConnOps client_ops = {
    .message = on_message,
    .ended = on_ended,
};

static void
on_connection(uv_stream_t *stream, int status)
{
    GwHttpListener *listener = stream->data;

    if (status != 0) {
        return;
    }
    GwClient *client = g_new0(GwClient, 1);
    GwConnParams params = {
        .loop = listener->loop,
        .ops = &client_ops,
        .owner = client,
        .requests = true,
        .head_max = HEAD_MAX_BYTES,
        .body_max = BODY_MAX_BYTES,
    };
    client->listener = listener;
    client->link.data = client;
    client->conn = GwConn_Accept(&params, stream);
    if (client->conn == NULL) {
        g_free(client);
        return;
    }
    g_queue_push_tail_link(&listener->clients, &client->link);
    note_activity(client);
    if (listener->clients_max > 0 &&
        g_queue_get_length(&listener->clients) > listener->clients_max) {
        close_longest_idle(listener);
    }
}

void
GwHttpListener_SetLimits(GwHttpListener *listener, uint32_t clients_max,
                         uint32_t idle_ms)
{
    listener->clients_max = clients_max;
    listener->idle_ms = idle_ms;
}

void
GwHttpListener_CloseIdle(GwHttpListener *listener)
{
    int64_t now_us = (int64_t)(uv_hrtime() / 1000);
    int64_t until_us = now_us - (int64_t)listener->idle_ms * 1000;

    for (GList *at = listener->clients.head, *next;
         listener->idle_ms > 0 && at != NULL; at = next) {
        GwClient *client = at->data;
        next = at->next;
        if (client->active_us > until_us) {
            return;
        }
        if (!is_reading(client, now_us) && client->active_us <= until_us &&
            !GwConn_HasUnread(client->conn)) {
            close_idle_client(client);
        }
    }
}

GwHttpListener *
GwHttpListener_Create(uv_loop_t *loop, const char *address,
                      const GwHttpListenerOps *ops, void *owner)
{
    GwHttpListener *listener = g_new0(GwHttpListener, 1);

    listener->loop = loop;
    listener->ops = ops;
    listener->owner = owner;
    listener->tcp = GwConn_Listen(loop, address, on_connection, listener);
    if (listener->tcp == NULL) {
        g_free(listener);
        return NULL;
    }
    return listener;
}

static void
free_listener(uv_handle_t *handle)
{
    g_free(handle->data); /* the GwHttpListener */
    g_free(handle);
}

void
GwHttpListener_Free(GwHttpListener *listener)
{
    GwClient *client;

    if (listener == NULL) {
        return;
    }
    while ((client = g_queue_peek_head(&listener->clients)) != NULL) {
        GwConn_Close(client->conn);
        g_queue_unlink(&listener->clients, &client->link);
        g_free(client);
    }
    uv_close((uv_handle_t *)listener->tcp, free_listener);
}

static const char *
reason_phrase(uint16_t status)
{
    return status < 300 ? "OK" : "Error";
}

void
GwClient_Respond(GwClient *client, const GwHttpResponse *response)
{
    size_t len =
        response->body_len > 0 ? response->body_len : strlen(response->body);
    GString *out = g_string_sized_new(len + 256);

    g_string_append_printf(
        out,
        "HTTP/1.1 %u %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
        "%s%s\r\n",
        response->status, reason_phrase(response->status),
        response->type != NULL ? response->type : "application/json", len,
        response->fields != NULL ? response->fields : "",
        response->close ? "Connection: close\r\n" : "");
    g_string_append_len(out, response->body, (gssize)len);
    GwConn_Write(client->conn, out);
    g_string_free(out, TRUE);
    client->has_unacked = true;
    note_activity(client);
}

void
GwClient_Drop(GwClient *client)
{
    GwConn_Close(client->conn);
    end_client(client);
}

void **
GwClient_UserData(GwClient *client)
{
    return &client->user;
}
