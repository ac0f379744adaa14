#include "platform/list.h"

#include "platform/http_internal.h"

#include <json-c/json.h>
#include <string.h>

#define PERIOD_PER_ITEM_US   20000LL
#define SCALED_PERIOD_MAX_US 15000000LL

struct GwInstanceListClient_s {
    GwHttpClient *http;
};

GwInstanceListClient *
GwInstanceListClient_Create(const char *url, uint32_t timeout_ms)
{
    GwInstanceListClient *client = g_new0(GwInstanceListClient, 1);
    client->http = GwHttpClient_Create(url, timeout_ms);
    return client;
}

/* All reads must have ended; NULL is allowed. */
void
GwInstanceListClient_Free(GwInstanceListClient *client)
{
    if (client == NULL) {
        return;
    }
    GwHttpClient_Free(client->http);
    g_free(client);
}

void
GwInstanceList_Clear(GwInstanceList *list)
{
    g_free(list->items);
    *list = (GwInstanceList){0};
}

static bool
read_text(json_object *item, const char *name, char *to, size_t size)
{
    json_object *value = NULL;
    if (!json_object_is_type(item, json_type_object) ||
        !json_object_object_get_ex(item, name, &value) ||
        !json_object_is_type(value, json_type_string)) {
        return false;
    }
    return g_strlcpy(to, json_object_get_string(value), size) < size;
}

static bool
parse_item(json_object *item, GwInstanceListItem *to)
{
    char state[16];
    if (!read_text(item, "name", to->name, GW_NAME_MAX) ||
        !read_text(item, "peer_address", to->peer_address, GW_ADDR_MAX) ||
        !read_text(item, "state", state, sizeof(state))) {
        return false;
    }
    to->leaving = strcmp(state, "leaving") == 0;
    return true;
}

/* Skips items that lack a member or exceed a bound. */
static GwResult
parse_list(json_object *root, GwInstanceList *list)
{
    json_object *items = NULL;
    if (!json_object_is_type(root, json_type_object) ||
        !json_object_object_get_ex(root, "instances", &items) ||
        !json_object_is_type(items, json_type_array)) {
        return GW_ERR(PARSE);
    }
    size_t count = json_object_array_length(items);
    list->items = g_new0(GwInstanceListItem, MIN(count, GW_INSTANCE_LIST_MAX));
    for (size_t i = 0; i < count && list->count < GW_INSTANCE_LIST_MAX; i++) {
        json_object *item = json_object_array_get_idx(items, i);
        if (parse_item(item, &list->items[list->count])) {
            list->count++;
        }
    }
    return list->count;
}

GwResult
GwInstanceListClient_Read(GwInstanceListClient *client, GwInstanceList *list)
{
    GwHttpClientRequest request = {.method = "GET", .path = "/instances"};
    GString *body = g_string_new(NULL);
    GwResult r = GW_ERR(STORE_AWAY);

    *list = (GwInstanceList){0};
    if (GwHttpClient_Do(client->http, &request, body) == 200) {
        json_object *root = json_tokener_parse(body->str);
        r = parse_list(root, list);
        json_object_put(root);
    }
    g_string_free(body, TRUE);
    return r;
}

/* The list of a large system may lag: leaving entries announce themselves and
 * probes detect failed ones. A reclaim of seats requires a list that is less
 * than 30 s old. */
int64_t
GwInstanceList_PeriodUs(uint32_t poll_ms, uint32_t count)
{
    int64_t scaled_us = MIN(count * PERIOD_PER_ITEM_US, SCALED_PERIOD_MAX_US);

    return MAX((int64_t)poll_ms * 1000, scaled_us);
}
