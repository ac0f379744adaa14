#include "platform/table.h"

#include "platform/http_internal.h"

#include <json-c/json.h>
#include <string.h>

#define ROWS_MAX 65536

struct GwTableClient_s {
    GwHttpClient *http;
};

GwTableClient *
GwTableClient_Create(const char *url, uint32_t timeout_ms)
{
    GwTableClient *client = g_new0(GwTableClient, 1);
    client->http = GwHttpClient_Create(url, timeout_ms);
    return client;
}

/* Requests must have ended; NULL is allowed. */
void
GwTableClient_Free(GwTableClient *client)
{
    if (client == NULL) {
        return;
    }
    GwHttpClient_Free(client->http);
    g_free(client);
}

/* The reply may be filled again afterwards. */
void
GwTableReply_Clear(GwTableReply *reply)
{
    for (uint32_t i = 0; i < reply->row_count; i++) {
        g_free(reply->rows[i].value);
    }
    g_free(reply->rows);
    *reply = (GwTableReply){0};
}

/* A member of the wanted type, or NULL. */
static json_object *
member(json_object *object, const char *name, json_type type)
{
    json_object *value = NULL;
    if (!json_object_is_type(object, json_type_object) ||
        !json_object_object_get_ex(object, name, &value) ||
        !json_object_is_type(value, type)) {
        return NULL;
    }
    return value;
}

static bool
get_row(json_object *from, GwRow *to)
{
    json_object *key = member(from, "key", json_type_string);
    json_object *version = member(from, "version", json_type_int);
    json_object *value = member(from, "value", json_type_string);
    if (key == NULL || version == NULL ||
        json_object_get_string_len(key) >= GW_ROW_KEY_MAX) {
        return false;
    }
    g_strlcpy(to->key, json_object_get_string(key), GW_ROW_KEY_MAX);
    to->version = json_object_get_uint64(version);
    if (value != NULL) {
        to->len = (uint32_t)json_object_get_string_len(value);
        to->value = g_strndup(json_object_get_string(value), to->len);
    }
    return true;
}

static bool
get_rows(json_object *root, GwTableReply *reply)
{
    json_object *rows = member(root, "rows", json_type_array);
    if (rows == NULL || json_object_array_length(rows) > ROWS_MAX) {
        return false;
    }
    size_t count = json_object_array_length(rows);
    reply->rows = g_new0(GwRow, count);
    for (size_t i = 0; i < count; i++) {
        reply->row_count++;
        if (!get_row(json_object_array_get_idx(rows, i), &reply->rows[i])) {
            return false;
        }
    }
    return true;
}

static void
do_list(GwTableClient *client, const GwTableRequest *request,
        GwTableReply *reply, GString *body)
{
    char *prefix = GwHttp_Escape(request->rows[0].key);
    char *path = g_strconcat("/table/rows?prefix=", prefix, NULL);
    GwHttpAsk ask = {.method = "GET", .path = path};
    if (GwHttpClient_Do(client->http, &ask, body) == 200) {
        json_object *root = json_tokener_parse(body->str);
        reply->status = get_rows(root, reply) ? GW_TABLE_DONE : GW_TABLE_LOST;
        json_object_put(root);
    }
    g_free(path);
    g_free(prefix);
}

/* An absent row is DONE with version 0. */
static void
do_get(GwTableClient *client, const GwTableRequest *request,
       GwTableReply *reply, GString *body)
{
    char *key = GwHttp_Escape(request->rows[0].key);
    char *path = g_strconcat("/table/row?key=", key, NULL);
    GwHttpAsk ask = {.method = "GET", .path = path};
    uint32_t status = GwHttpClient_Do(client->http, &ask, body);
    if (status == 200 || status == 404) {
        reply->rows = g_new0(GwRow, 1);
        reply->row_count = 1;
        g_strlcpy(reply->rows[0].key, request->rows[0].key, GW_ROW_KEY_MAX);
        reply->status = GW_TABLE_DONE;
    }
    if (status == 200) {
        json_object *root = json_tokener_parse(body->str);
        if (!get_row(root, &reply->rows[0])) {
            reply->status = GW_TABLE_LOST;
        }
        json_object_put(root);
    }
    g_free(path);
    g_free(key);
}

static char *
txn_text(const GwTableRequest *request)
{
    json_object *root = json_object_new_object();
    json_object *rows = json_object_new_array();
    for (uint32_t i = 0; i < request->row_count; i++) {
        const GwRow *row = &request->rows[i];
        json_object *item = json_object_new_object();
        json_object_object_add(item, "key", json_object_new_string(row->key));
        json_object_object_add(item, "version",
                               json_object_new_uint64(row->version));
        json_object_object_add(
            item, "value",
            json_object_new_string_len(row->value != NULL ? row->value : "",
                                       (int)row->len));
        json_object_array_add(rows, item);
    }
    json_object_object_add(root, "rows", rows);
    char *text =
        g_strdup(json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
    json_object_put(root);
    return text;
}

static bool
get_versions(json_object *root, const GwTableRequest *request,
             GwTableReply *reply)
{
    json_object *versions = member(root, "versions", json_type_array);
    if (versions == NULL ||
        json_object_array_length(versions) != request->row_count) {
        return false;
    }
    reply->rows = g_new0(GwRow, request->row_count);
    reply->row_count = request->row_count;
    for (uint32_t i = 0; i < request->row_count; i++) {
        json_object *version = json_object_array_get_idx(versions, i);
        g_strlcpy(reply->rows[i].key, request->rows[i].key, GW_ROW_KEY_MAX);
        reply->rows[i].version = json_object_get_uint64(version);
    }
    return true;
}

/* Only a whole 200 says that it was written and only a whole 409 that it was
 * not. Anything else, a 500 included, leaves the writer in doubt: it reads
 * the rows back before it builds on either. */
static void
do_txn(GwTableClient *client, const GwTableRequest *request,
       GwTableReply *reply, GString *body)
{
    char *text = txn_text(request);
    GwHttpAsk ask = {
        .method = "POST",
        .path = "/table/txn",
        .body = text,
        .body_len = strlen(text),
        .once = true,
    };
    uint32_t status = GwHttpClient_Do(client->http, &ask, body);
    json_object *root =
        status == 200 || status == 409 ? json_tokener_parse(body->str) : NULL;
    if (status == 200 && get_versions(root, request, reply)) {
        reply->status = GW_TABLE_DONE;
    }
    else if (status == 409) {
        reply->status = GW_TABLE_CONFLICT;
        reply->rows = g_new0(GwRow, 1);
        reply->row_count = get_row(root, &reply->rows[0]) ? 1 : 0;
    }
    json_object_put(root);
    g_free(text);
}

/* Retries nothing: what to do about a lost answer is the asker's. */
void
GwTableClient_Do(GwTableClient *client, const GwTableRequest *request,
                 GwTableReply *reply)
{
    GString *body = g_string_new(NULL);

    *reply = (GwTableReply){.token = request->token, .status = GW_TABLE_LOST};
    switch (request->op) {
    case GW_TABLE_LIST:
        do_list(client, request, reply, body);
        break;
    case GW_TABLE_GET:
        do_get(client, request, reply, body);
        break;
    case GW_TABLE_TXN:
        do_txn(client, request, reply, body);
        break;
    }
    if (reply->status == GW_TABLE_LOST) {
        GwTableReply_Clear(reply);
        reply->token = request->token;
        reply->status = GW_TABLE_LOST;
    }
    g_string_free(body, TRUE);
}
