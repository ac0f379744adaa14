#include "platform/table.h"

#include "platform/http_internal.h"
#include "platform/table_internal.h"

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

/* All requests must have ended; NULL is allowed. */
void
GwTableClient_Free(GwTableClient *client)
{
    if (client == NULL) {
        return;
    }
    GwHttpClient_Free(client->http);
    g_free(client);
}

void
GwTableReply_Clear(GwTableReply *reply)
{
    for (uint32_t i = 0; i < reply->row_count; i++) {
        g_free(reply->rows[i].value);
    }
    g_free(reply->rows);
    *reply = (GwTableReply){0};
}

/* Returns a member of the given type, or NULL. */
static json_object *
get_member(json_object *object, const char *name, json_type type)
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
parse_row(json_object *from, GwRow *to)
{
    json_object *key = get_member(from, "key", json_type_string);
    json_object *version = get_member(from, "version", json_type_int);
    json_object *value = get_member(from, "value", json_type_string);
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
parse_rows(json_object *root, GwTableReply *reply)
{
    json_object *rows = get_member(root, "rows", json_type_array);
    if (rows == NULL || json_object_array_length(rows) > ROWS_MAX) {
        return false;
    }
    size_t count = json_object_array_length(rows);
    reply->rows = g_new0(GwRow, count);
    for (size_t i = 0; i < count; i++) {
        reply->row_count++;
        if (!parse_row(json_object_array_get_idx(rows, i), &reply->rows[i])) {
            return false;
        }
    }
    return true;
}

static bool
parse_versions(json_object *root, const GwTableRequest *request,
               GwTableReply *reply)
{
    json_object *versions = get_member(root, "versions", json_type_array);
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

/* An absent row gives DONE with version 0. */
static void
interpret_get(const GwTableRequest *request, uint32_t http_status,
              json_object *root, GwTableReply *reply)
{
    if (http_status != 200 && http_status != 404) {
        return;
    }
    reply->rows = g_new0(GwRow, 1);
    reply->row_count = 1;
    g_strlcpy(reply->rows[0].key, request->rows[0].key, GW_ROW_KEY_MAX);
    if (http_status == 404 || parse_row(root, &reply->rows[0])) {
        reply->status = GW_TABLE_DONE;
    }
}

/* Only a complete 200 proves that the transaction was written and only a
 * complete 409 that it was not. After any other response, a 500 included, the
 * outcome is unknown: the writer must read the rows back. */
static void
interpret_txn(const GwTableRequest *request, uint32_t http_status,
              json_object *root, GwTableReply *reply)
{
    if (http_status == 200 && parse_versions(root, request, reply)) {
        reply->status = GW_TABLE_DONE;
    }
    else if (http_status == 409 && root != NULL) {
        reply->status = GW_TABLE_CONFLICT;
        reply->rows = g_new0(GwRow, 1);
        reply->row_count = 1;
        parse_row(root, &reply->rows[0]);
    }
}

void
GwTable_Interpret(const GwTableRequest *request, uint32_t http_status,
                  const char *text, GwTableReply *reply)
{
    json_object *root = json_tokener_parse(text);

    switch (request->op) {
    case GW_TABLE_LIST:
        if (http_status == 200 && parse_rows(root, reply)) {
            reply->status = GW_TABLE_DONE;
        }
        break;
    case GW_TABLE_GET:
        interpret_get(request, http_status, root, reply);
        break;
    case GW_TABLE_TXN:
        interpret_txn(request, http_status, root, reply);
        break;
    }
    json_object_put(root);
}

static char *
encode_txn(const GwTableRequest *request)
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

static char *
request_path(const GwTableRequest *request)
{
    if (request->op == GW_TABLE_TXN) {
        return g_strdup("/table/txn");
    }
    char *key = GwHttp_Escape(request->rows[0].key);
    char *path =
        g_strconcat(request->op == GW_TABLE_LIST ? "/table/rows?prefix="
                                                 : "/table/row?key=",
                    key, NULL);
    g_free(key);
    return path;
}

/* Never retries: handling of a lost response is left to the requester. */
void
GwTableClient_Do(GwTableClient *client, const GwTableRequest *request,
                 GwTableReply *reply)
{
    bool is_txn = request->op == GW_TABLE_TXN;
    GString *body = g_string_new(NULL);
    char *path = request_path(request);
    char *text = is_txn ? encode_txn(request) : NULL;
    GwHttpClientRequest http_request = {
        .method = is_txn ? "POST" : "GET",
        .path = path,
        .body = text,
        .body_len = is_txn ? strlen(text) : 0,
        .is_write = is_txn,
    };

    *reply = (GwTableReply){.token = request->token, .status = GW_TABLE_LOST};
    uint32_t http_status = GwHttpClient_Do(client->http, &http_request, body);
    GwTable_Interpret(request, http_status, body->str, reply);
    if (reply->status == GW_TABLE_LOST) {
        GwTableReply_Clear(reply);
        reply->token = request->token;
        reply->status = GW_TABLE_LOST;
    }
    g_free(text);
    g_free(path);
    g_string_free(body, TRUE);
}
