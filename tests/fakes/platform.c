#include "fakes/platform.h"

#include "common/http.h"
#include "common/table.h"
#include "config/settings_table.h"
#include "fakes/free_port.h"

#include <glib/gstdio.h>
#include <inttypes.h>
#include <pthread.h>
#include <string.h>
#include <xxhash.h>

struct FakePlatform_s {
    pthread_mutex_t lock; /* guards all fields below */
    GsTable *table;
    uint64_t version;
    GString *instances; /* elements of the JSON array */
    char address[GW_ADDR_MAX];
    GsHttpOptions options;
    struct mg_context *http;
};

static struct json_object *
row_json(const GsRow *row)
{
    struct json_object *o = json_object_new_object();
    json_object_object_add(o, "key", json_object_new_string(row->key));
    json_object_object_add(o, "version", json_object_new_uint64(row->version));
    json_object_object_add(o, "value", json_object_new_string(row->value));
    return o;
}

static int
read_row(FakePlatform *p, struct mg_connection *conn)
{
    char key[256] = "";
    struct json_object *out = NULL;
    GsHttp_Query(conn, "key", key, sizeof(key));
    pthread_mutex_lock(&p->lock);
    const GsRow *row = GsTable_Get(p->table, key);
    out = row != NULL ? row_json(row) : json_object_new_object();
    int status = row != NULL ? 200 : 404;
    pthread_mutex_unlock(&p->lock);
    return GsHttp_ReplyJson(conn, status, out);
}

static int
list_rows(FakePlatform *p, struct mg_connection *conn)
{
    char prefix[256] = "";
    struct json_object *rows = json_object_new_array();
    struct json_object *out = json_object_new_object();
    GsHttp_Query(conn, "prefix", prefix, sizeof(prefix));
    pthread_mutex_lock(&p->lock);
    GPtrArray *found = GsTable_List(p->table, prefix);
    for (guint i = 0; i < found->len; i++) {
        json_object_array_add(rows, row_json(found->pdata[i]));
    }
    pthread_mutex_unlock(&p->lock);
    g_ptr_array_free(found, TRUE);
    json_object_object_add(out, "rows", rows);
    return GsHttp_ReplyJson(conn, 200, out);
}

static int
commit_rows(FakePlatform *p, struct mg_connection *conn)
{
    struct json_object *asked = GsHttp_ReadJson(conn);
    struct json_object *rows = json_object_object_get(asked, "rows");
    struct json_object *out = json_object_new_object();
    struct json_object *versions = json_object_new_array();
    GsRow txn[GW_TXN_MAX] = {0};
    uint32_t count = (uint32_t)MIN(json_object_array_length(rows), GW_TXN_MAX);

    for (uint32_t i = 0; i < count; i++) {
        struct json_object *row = json_object_array_get_idx(rows, i);
        txn[i].key = (char *)GsJson_Text(row, "key", "");
        txn[i].value = (char *)GsJson_Text(row, "value", "");
        txn[i].version = (uint64_t)GsJson_Int(row, "version", 0);
    }
    pthread_mutex_lock(&p->lock);
    int32_t bad = GsTable_Commit(p->table, txn, count);
    pthread_mutex_unlock(&p->lock);
    for (uint32_t i = 0; bad < 0 && i < count; i++) {
        json_object_array_add(versions,
                              json_object_new_uint64(txn[i].version));
    }
    json_object_object_add(out, "versions", versions);
    json_object_put(asked);
    return GsHttp_ReplyJson(conn, bad < 0 ? 200 : 409, out);
}

static int
list_instances(FakePlatform *p, struct mg_connection *conn)
{
    pthread_mutex_lock(&p->lock);
    char *body = g_strdup_printf("{\"instances\": [%s]}", p->instances->str);
    pthread_mutex_unlock(&p->lock);
    int status = GsHttp_Reply(conn, 200, "", body);
    g_free(body);
    return status;
}

static int
on_platform(struct mg_connection *conn, void *data)
{
    const char *uri = mg_get_request_info(conn)->local_uri;
    if (strcmp(uri, "/table/row") == 0) {
        return read_row(data, conn);
    }
    if (strcmp(uri, "/table/rows") == 0) {
        return list_rows(data, conn);
    }
    if (strcmp(uri, "/table/txn") == 0) {
        return commit_rows(data, conn);
    }
    if (strcmp(uri, "/instances") == 0) {
        return list_instances(data, conn);
    }
    return GsHttp_Reply(conn, 404, "", "{}");
}

FakePlatform *
FakePlatform_Start(void)
{
    FakePlatform *p = g_new0(FakePlatform, 1);
    pthread_mutex_init(&p->lock, NULL);
    p->table = GsTable_Create();
    p->instances = g_string_new(NULL);
    FreePort_Address(p->address);
    p->options = (GsHttpOptions){
        .ports = p->address,
        .threads = 16,
        .handler = on_platform,
        .data = p,
    };
    p->http = GsHttp_Start(&p->options);
    if (p->http == NULL) {
        g_error("cannot listen on the reserved ports");
    }
    return p;
}

void
FakePlatform_Stop(FakePlatform *p)
{
    mg_stop(p->http);
    GsTable_Free(p->table);
    g_string_free(p->instances, TRUE);
    pthread_mutex_destroy(&p->lock);
    g_free(p);
}

void
FakePlatform_SetConfig(FakePlatform *p, const char *text)
{
    char head[64];
    char key[GW_ROW_KEY_MAX];

    pthread_mutex_lock(&p->lock);
    const GsRow *old = GsTable_Get(p->table, "config/head");
    p->version++;
    g_snprintf(head, sizeof(head), "%" PRIu64 " %016" PRIx64, p->version,
               (uint64_t)XXH64(text, strlen(text), 0));
    g_snprintf(key, sizeof(key), "config/doc/%020" PRIu64, p->version);
    GsRow rows[] = {
        {.key = "config/head",
         .value = head,
         .version = old != NULL ? old->version : 0},
        {.key = key, .value = (char *)text},
    };
    GsTable_Commit(p->table, rows, G_N_ELEMENTS(rows));
    pthread_mutex_unlock(&p->lock);
}

uint64_t
FakePlatform_ConfigVersion(FakePlatform *p)
{
    pthread_mutex_lock(&p->lock);
    uint64_t version = p->version;
    pthread_mutex_unlock(&p->lock);
    return version;
}

static int
on_backend(struct mg_connection *conn, void *data)
{
    FakeBackends *b = data;
    const char *uri = mg_get_request_info(conn)->local_uri;
    if (strcmp(uri, "/health") == 0) {
        return GsHttp_Reply(conn, 200, "",
                            "{\"load\": 0, \"draining\": false}");
    }
    return b->handler(conn, b->ctx);
}

void
FakeBackends_Start(FakeBackends *b, uint32_t count, mg_request_handler handler,
                   void *ctx)
{
    GString *ports = g_string_new(NULL);
    GsHttpOptions *options = g_new0(GsHttpOptions, 1);

    *b = (FakeBackends){.count = count, .handler = handler, .ctx = ctx};
    for (uint32_t i = 0; i < count; i++) {
        FreePort_Address(b->addresses[i]);
        g_string_append_printf(ports, "%s%s", i > 0 ? "," : "",
                               b->addresses[i]);
    }
    b->ports = g_string_free(ports, FALSE);
    *options = (GsHttpOptions){
        .ports = b->ports,
        .threads = 64,
        .handler = on_backend,
        .data = b,
    };
    b->options = options;
    b->http = GsHttp_Start(options);
    if (b->http == NULL) {
        g_error("cannot listen on the reserved ports");
    }
}

void
FakeBackends_Stop(FakeBackends *b)
{
    mg_stop(b->http);
    g_free(b->options);
    g_free(b->ports);
}

static void
write_secrets(FakeEntry *e)
{
    char *key = g_build_filename(e->dir, "key", NULL);
    char *token = g_build_filename(e->dir, "token", NULL);
    if (!g_file_set_contents(key, "0123456789abcdef", -1, NULL) ||
        !g_file_set_contents(token, "not-a-real-token", -1, NULL)) {
        g_error("cannot write to %s", e->dir);
    }
    g_free(key);
    g_free(token);
}

static void
remove_secrets(FakeEntry *e)
{
    static const char *const names[] = {"key", "token"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        char *path = g_build_filename(e->dir, names[i], NULL);
        g_unlink(path);
        g_free(path);
    }
    g_rmdir(e->dir);
    g_free(e->dir);
}

static void
list_entry(FakePlatform *p, const char *name, const char *peer_address)
{
    pthread_mutex_lock(&p->lock);
    g_string_append_printf(p->instances,
                           "%s{\"name\": \"%s\", \"peer_address\": \"%s\", "
                           "\"state\": \"live\"}",
                           p->instances->len > 0 ? "," : "", name,
                           peer_address);
    pthread_mutex_unlock(&p->lock);
}

void
FakeEntry_Start(FakeEntry *e, FakePlatform *p, const char *name,
                const char *region, const char *more)
{
    GError *error = NULL;
    char peer[GW_ADDR_MAX];
    char admin[GW_ADDR_MAX];

    *e = (FakeEntry){.dir = g_dir_make_tmp("gw-entry-XXXXXX", NULL)};
    write_secrets(e);
    FreePort_Address(e->call_address);
    FreePort_Address(peer);
    FreePort_Address(admin);
    char *text = g_strdup_printf(
        "{\"name\": \"%s\", \"region\": \"%s\", \"domain\": \"%s-a\", "
        "\"peer_address\": \"%s\", \"call_address\": \"%s\", "
        "\"admin_address\": \"%s\", \"platform_url\": \"http://%s\", "
        "\"admin_token_file\": \"%s/token\", "
        "\"cluster_key_file\": \"%s/key\", \"config_poll_ms\": 50, "
        "\"list_poll_ms\": 50%s}",
        name, region, region, peer, e->call_address, admin, p->address, e->dir,
        e->dir, more);
    e->settings = GwSettings_Parse(text, strlen(text), &error);
    if (e->settings == NULL) {
        g_error("%s", error->message);
    }
    e->rt = GwRuntime_Start(e->settings, &error);
    if (e->rt == NULL) {
        g_error("%s", error->message);
    }
    list_entry(p, name, peer);
    g_free(text);
}

void
FakeEntry_Stop(FakeEntry *e)
{
    GwRuntime_Free(e->rt);
    GwSettings_Free(e->settings);
    remove_secrets(e);
}
