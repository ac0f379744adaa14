#include "platform/calls.h"
#include "standins/site/site.h"

#include <string.h>

typedef struct {
    SiteStore *store;
    GwConn *conn;
    bool waits; /* a feed without news */
    PlatformCall call;
    int64_t until_us;
    GList link;
} Client;

struct SiteStore_s {
    uv_loop_t *loop;
    const GwAdapter *adapter;
    GHashTable *tables; /* name -> GPtrArray of GwStoreRow */
    uint64_t version;
    uint64_t oldest; /* history below it is gone */
    SiteStoreMode mode;
    GQueue clients;
};

static int64_t
now_us(void)
{
    return (int64_t)(uv_hrtime() / 1000);
}

static GPtrArray *
table_of(SiteStore *s, const char *name)
{
    GPtrArray *rows = g_hash_table_lookup(s->tables, name);

    if (rows == NULL) {
        rows = g_ptr_array_new_with_free_func((GDestroyNotify)GwStoreRow_Free);
        g_hash_table_insert(s->tables, g_strdup(name), rows);
    }
    return rows;
}

static void
answer(Client *client, uint16_t status, const char *body)
{
    GString *out = g_string_new(NULL);

    g_string_printf(out,
                    "HTTP/1.1 %u X\r\nContent-Type: application/json\r\n"
                    "Content-Length: %zu\r\n\r\n%s",
                    status, strlen(body), body);
    GwConn_Write(client->conn, out);
    g_string_free(out, TRUE);
    PlatformCall_Clear(&client->call);
    client->waits = false;
}

/* The rows above a version, without removed ones for a full reading. */
static GwRowSet *
rows_after(SiteStore *s, const char *table, uint64_t after, bool removed)
{
    GwRowSet *set = GwRowSet_Create();
    GPtrArray *rows = table_of(s, table);

    for (guint i = 0; i < rows->len; i++) {
        const GwStoreRow *row = rows->pdata[i];
        if (row->version > after && (removed || !row->removed)) {
            g_ptr_array_add(set->rows,
                            GwStoreRow_Create(row->key, row->value,
                                              row->version, row->removed));
        }
    }
    set->version = s->version;
    return set;
}

static void
answer_rows(Client *client, const GwRowSet *set)
{
    char *body = client->store->adapter->write_rows(client->call.table, set);

    answer(client, 200, body);
    g_free(body);
}

/* Answers a feed that has news, or whose time is over. */
static void
try_feed(Client *client)
{
    SiteStore *s = client->store;
    GwRowSet *set =
        rows_after(s, client->call.table, client->call.after, true);

    if (set->rows->len > 0 || now_us() >= client->until_us) {
        answer_rows(client, set);
    }
    GwRowSet_Free(set);
}

static void
serve(Client *client)
{
    SiteStore *s = client->store;

    switch (client->call.kind) {
    case PLATFORM_CALL_WRITE:
        SiteStore_Put(s, client->call.table, client->call.key,
                      client->call.value);
        answer(client, 200, "{\"ver\":1}");
        break;
    case PLATFORM_CALL_READ: {
        GwRowSet *set = rows_after(s, client->call.table, 0, false);
        answer_rows(client, set);
        GwRowSet_Free(set);
        break;
    }
    case PLATFORM_CALL_FEED:
        if (client->call.after < s->oldest) {
            answer(client, 410, "{}");
            break;
        }
        client->waits = true;
        client->until_us = now_us() + (int64_t)client->call.wait_ms * 1000;
        try_feed(client);
        break;
    }
}

static void
on_message(void *owner, GwHttpMessage *msg)
{
    Client *client = owner;

    if (client->store->mode == SITE_STORE_BUSY) {
        answer(client, 503, "{}");
    }
    else if (client->store->mode == SITE_STORE_UP) {
        if (Platform_ParseCall(msg->method, msg->target->str, msg->body,
                               &client->call)) {
            serve(client);
        }
        else {
            answer(client, 404, "{}");
        }
    }
    GwHttpMessage_Free(msg);
}

static void
on_ended(void *owner, GwConnEnd end)
{
    Client *client = owner;

    if (end == GW_CONN_BAD) {
        GwConn_Close(client->conn);
    }
    g_queue_unlink(&client->store->clients, &client->link);
    PlatformCall_Clear(&client->call);
    g_free(client);
}

static const GwConnOps ops = {.message = on_message, .ended = on_ended};

static void
on_connection(uv_stream_t *listener, int status)
{
    SiteStore *s = listener->data;
    Client *client = g_new0(Client, 1);
    GwConnParams params = {
        .loop = s->loop,
        .ops = &ops,
        .owner = client,
        .requests = true,
        .head_max = 64 << 10,
        .body_max = 1 << 20,
    };

    client->store = s;
    client->link.data = client;
    client->conn = status == 0 ? GwConn_Accept(&params, listener) : NULL;
    if (client->conn == NULL) {
        g_free(client);
        return;
    }
    g_queue_push_tail_link(&s->clients, &client->link);
}

SiteStore *
SiteStore_Create(uv_loop_t *loop, const char *address,
                 const GwAdapter *adapter)
{
    SiteStore *s = g_new0(SiteStore, 1);

    s->loop = loop;
    s->adapter = adapter;
    s->tables = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                      (GDestroyNotify)g_ptr_array_unref);
    return GwConn_Listen(loop, address, on_connection, s) != NULL ? s : NULL;
}

void
SiteStore_Sweep(SiteStore *s)
{
    for (GList *at = s->clients.head, *next; at != NULL; at = next) {
        Client *client = at->data;
        next = at->next;
        if (client->waits && s->mode == SITE_STORE_UP) {
            try_feed(client);
        }
    }
}

static void
set_row(SiteStore *s, const char *table, const char *key, const char *value)
{
    GPtrArray *rows = table_of(s, table);

    for (guint i = 0; i < rows->len; i++) {
        const GwStoreRow *row = rows->pdata[i];
        if (strcmp(row->key, key) == 0) {
            g_ptr_array_remove_index(rows, i);
            break;
        }
    }
    s->version++;
    g_ptr_array_add(rows,
                    GwStoreRow_Create(key, value, s->version, value == NULL));
    SiteStore_Sweep(s);
}

void
SiteStore_Put(SiteStore *s, const char *table, const char *key,
              const char *value)
{
    set_row(s, table, key, value);
}

void
SiteStore_Remove(SiteStore *s, const char *table, const char *key)
{
    set_row(s, table, key, NULL);
}

void
SiteStore_SetMode(SiteStore *s, SiteStoreMode mode)
{
    s->mode = mode;
}

void
SiteStore_Compact(SiteStore *s)
{
    s->version++;
    s->oldest = s->version;
}
