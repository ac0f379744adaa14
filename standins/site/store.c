#include "http/listener.h"
#include "platform/calls.h"
#include "standins/site/site.h"

#include <string.h>

/* Pending feed: a long poll without changes so far. */
typedef struct {
    SiteStore *store;
    GwClient *client;
    PlatformCall call;
    int64_t until_us;
    GList link; /* in store->feeds */
} Feed;

/* A row that was written, for the restore of a copy. */
typedef struct {
    int64_t at_us;
    char *table;
    GwStoreRow *row;
} Write;

struct SiteStore_s {
    uv_loop_t *loop;
    const GwAdapter *adapter;
    GHashTable *tables; /* name -> GPtrArray of GwStoreRow */
    GPtrArray *writes;  /* Write, in order */
    uint32_t era;
    uint64_t version;
    uint64_t oldest; /* history below this version is dropped */
    SiteStoreMode mode;
    GQueue feeds; /* Feed */
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
answer(const SiteStore *s, GwClient *client, uint16_t status, const char *body)
{
    char *era = g_strdup_printf("%s: %u\r\n", s->adapter->store_era, s->era);
    GwHttpResponse out = {.status = status, .body = body, .fields = era};

    GwClient_Respond(client, &out);
    g_free(era);
}

/* Returns the rows above a version, with removed rows if `removed`. */
static GwRowSet *
rows_after(SiteStore *s, const char *table, uint64_t after, bool removed)
{
    GwRowSet *set = GwRowSet_Create();
    GPtrArray *rows = table_of(s, table);

    for (guint i = 0; i < rows->len; i++) {
        const GwStoreRow *row = rows->pdata[i];
        if (row->version.number > after && (removed || !row->removed)) {
            g_ptr_array_add(set->rows,
                            GwStoreRow_Create(row->key, row->value,
                                              row->version, row->removed));
        }
    }
    set->version.number = s->version;
    return set;
}

static void
answer_rows(SiteStore *s, GwClient *client, const char *table,
            const GwRowSet *set)
{
    char *body = s->adapter->write_rows(table, set);

    answer(s, client, 200, body);
    g_free(body);
}

static void
free_feed(Feed *feed)
{
    g_queue_unlink(&feed->store->feeds, &feed->link);
    *GwClient_UserData(feed->client) = NULL;
    PlatformCall_Clear(&feed->call);
    g_free(feed);
}

/* Answers a feed that has changes or has reached its time limit. */
static void
try_feed(Feed *feed)
{
    SiteStore *s = feed->store;
    GwRowSet *set = rows_after(s, feed->call.table, feed->call.after, true);

    if (set->rows->len > 0 || now_us() >= feed->until_us) {
        answer_rows(s, feed->client, feed->call.table, set);
        free_feed(feed);
    }
    GwRowSet_Free(set);
}

/* Starts a feed, which takes ownership of the contents of `call`. */
static void
begin_feed(SiteStore *s, GwClient *client, PlatformCall *call)
{
    Feed *feed = g_new0(Feed, 1);

    *feed = (Feed){
        .store = s,
        .client = client,
        .call = *call,
        .until_us = now_us() + (int64_t)call->wait_ms * 1000,
    };
    *call = (PlatformCall){0};
    feed->link.data = feed;
    *GwClient_UserData(client) = feed;
    g_queue_push_tail_link(&s->feeds, &feed->link);
    try_feed(feed);
}

static void
serve(SiteStore *s, GwClient *client, PlatformCall *call)
{
    GwRowSet *set;

    switch (call->kind) {
    case PLATFORM_CALL_WRITE:
        SiteStore_Put(s, call->table, call->key, call->value);
        answer(s, client, 200, "{\"ver\":1}");
        break;
    case PLATFORM_CALL_READ:
        set = rows_after(s, call->table, 0, false);
        answer_rows(s, client, call->table, set);
        GwRowSet_Free(set);
        break;
    case PLATFORM_CALL_FEED:
        if (call->after < s->oldest || call->after > s->version) {
            answer(s, client, 410, "{}");
        }
        else {
            begin_feed(s, client, call);
        }
        break;
    }
}

SiteStoreMode
SiteStore_ParseMode(const char *name)
{
    static const char *const names[] = {
        [SITE_STORE_BUSY] = "busy",
        [SITE_STORE_SILENT] = "silent",
        [SITE_STORE_WITHOUT_HELD] = "without-held",
    };

    for (size_t i = 1; i < G_N_ELEMENTS(names); i++) {
        if (strcmp(names[i], name) == 0) {
            return (SiteStoreMode)i;
        }
    }
    return SITE_STORE_UP;
}

static bool
is_turned_away(const SiteStore *s, const PlatformCall *call)
{
    return s->mode == SITE_STORE_BUSY || (s->mode == SITE_STORE_WITHOUT_HELD &&
                                          call->kind == PLATFORM_CALL_READ &&
                                          g_strcmp0(call->table, "held") == 0);
}

static void
on_request(void *owner, GwClient *client, GwHttpMessage *msg)
{
    SiteStore *s = owner;
    PlatformCall call = {0};

    bool is_valid =
        Platform_ParseCall(msg->method, msg->target->str, msg->body, &call);

    if (s->mode == SITE_STORE_SILENT) {
        /* no answer */
    }
    else if (is_turned_away(s, &call)) {
        answer(s, client, 503, "{}");
    }
    else if (is_valid) {
        serve(s, client, &call);
    }
    else {
        answer(s, client, 404, "{}");
    }
    PlatformCall_Clear(&call);
    GwHttpMessage_Free(msg);
}

static void
on_disconnected(void *owner, GwClient *client)
{
    Feed *feed = *GwClient_UserData(client);

    (void)owner;
    if (feed != NULL) {
        free_feed(feed);
    }
}

static const GwHttpListenerOps ops = {.asked = on_request,
                                      .gone = on_disconnected};

static void
free_write(gpointer item)
{
    Write *write = item;

    GwStoreRow_Free(write->row);
    g_free(write->table);
    g_free(write);
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
    s->writes = g_ptr_array_new_with_free_func(free_write);
    s->era = 1;
    return GwHttpListener_Create(loop, address, &ops, s) != NULL ? s : NULL;
}

void
SiteStore_Sweep(SiteStore *s)
{
    if (s->mode == SITE_STORE_BUSY || s->mode == SITE_STORE_SILENT) {
        return;
    }
    for (GList *at = s->feeds.head, *next; at != NULL; at = next) {
        next = at->next;
        try_feed(at->data);
    }
}

/* Replaces the row of that key. */
static void
place_row(SiteStore *s, const char *table, const GwStoreRow *row)
{
    GPtrArray *rows = table_of(s, table);

    for (guint i = 0; i < rows->len; i++) {
        const GwStoreRow *old = rows->pdata[i];
        if (strcmp(old->key, row->key) == 0) {
            g_ptr_array_remove_index(rows, i);
            break;
        }
    }
    g_ptr_array_add(rows, GwStoreRow_Create(row->key, row->value, row->version,
                                            row->removed));
}

static void
set_row(SiteStore *s, const char *table, const char *key, const char *value)
{
    Write *write = g_new0(Write, 1);

    s->version++;
    *write = (Write){
        .at_us = now_us(),
        .table = g_strdup(table),
        .row = GwStoreRow_Create(
            key, value, (GwStoreVersion){.number = s->version}, value == NULL),
    };
    g_ptr_array_add(s->writes, write);
    place_row(s, table, write->row);
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

void
SiteStore_Restore(SiteStore *s, uint32_t age_ms)
{
    int64_t copied_us = now_us() - (int64_t)age_ms * 1000;
    guint kept = 0;

    g_hash_table_remove_all(s->tables);
    s->version = 0;
    while (kept < s->writes->len) {
        const Write *write = s->writes->pdata[kept];
        if (write->at_us > copied_us) {
            break;
        }
        place_row(s, write->table, write->row);
        s->version = write->row->version.number;
        kept++;
    }
    g_ptr_array_set_size(s->writes, (gint)kept);
    s->oldest = MIN(s->oldest, s->version);
    s->era++;
}

void
SiteStore_SkipVersions(SiteStore *s, uint64_t count)
{
    s->version += count;
}
