#include "platform/list.h"

#include "platform/http_internal.h"

#include <json-c/json.h>
#include <string.h>

#define LIST_ITEM_US       20000LL
#define LIST_SHARED_MAX_US 15000000LL

struct GwListClient_s {
    GwHttpClient *http;
};

GwListClient *
GwListClient_Create(const char *url, uint32_t timeout_ms)
{
    GwListClient *client = g_new0(GwListClient, 1);
    client->http = GwHttpClient_Create(url, timeout_ms);
    return client;
}

/* Reads must have ended; NULL is allowed. */
void
GwListClient_Free(GwListClient *client)
{
    if (client == NULL) {
        return;
    }
    GwHttpClient_Free(client->http);
    g_free(client);
}

/* The event may be filled again afterwards. */
void
GwListEvent_Clear(GwListEvent *list)
{
    g_free(list->items);
    *list = (GwListEvent){0};
}

static bool
get_text(json_object *item, const char *name, char *to, size_t room)
{
    json_object *value = NULL;
    if (!json_object_is_type(item, json_type_object) ||
        !json_object_object_get_ex(item, name, &value) ||
        !json_object_is_type(value, json_type_string)) {
        return false;
    }
    return g_strlcpy(to, json_object_get_string(value), room) < room;
}

static bool
get_listed(json_object *item, GwListed *to)
{
    char state[16];
    if (!get_text(item, "name", to->name, GW_NAME_MAX) ||
        !get_text(item, "peer_address", to->peer_address, GW_ADDR_MAX) ||
        !get_text(item, "state", state, sizeof(state))) {
        return false;
    }
    to->leaving = strcmp(state, "leaving") == 0;
    return true;
}

/* An item that breaks a bound is passed over; the others still count. */
static GwResult
get_list(json_object *root, GwListEvent *list)
{
    json_object *items = NULL;
    if (!json_object_is_type(root, json_type_object) ||
        !json_object_object_get_ex(root, "instances", &items) ||
        !json_object_is_type(items, json_type_array)) {
        return GW_ERR(PARSE);
    }
    size_t count = json_object_array_length(items);
    list->items = g_new0(GwListed, MIN(count, GW_LIST_MAX));
    for (size_t i = 0; i < count && list->count < GW_LIST_MAX; i++) {
        json_object *item = json_object_array_get_idx(items, i);
        if (get_listed(item, &list->items[list->count])) {
            list->count++;
        }
    }
    return list->count;
}

GwResult
GwListClient_Read(GwListClient *client, GwListEvent *list)
{
    GwHttpAsk ask = {.method = "GET", .path = "/instances"};
    GString *body = g_string_new(NULL);
    GwResult r = GW_ERR(STORE_AWAY);

    *list = (GwListEvent){0};
    if (GwHttpClient_Do(client->http, &ask, body) == 200) {
        json_object *root = json_tokener_parse(body->str);
        r = get_list(root, list);
        json_object_put(root);
    }
    g_string_free(body, TRUE);
    return r;
}

/* Leaving entries announce themselves and the dead are found by probes, so
 * the list of a large system may lag; a reclaim wants one that is less than
 * 30 s old. */
int64_t
GwList_PeriodUs(uint32_t poll_ms, uint32_t count)
{
    int64_t shared_us = MIN(count * LIST_ITEM_US, LIST_SHARED_MAX_US);

    return MAX((int64_t)poll_ms * 1000, shared_us);
}
