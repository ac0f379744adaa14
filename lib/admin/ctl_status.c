/* Configuration versions of the members: the command status, and the wait for
 * a change. */
#include "admin/ctl_internal.h"
#include "common/json.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define POLL_INTERVAL_US 200000

/* Finds the first array "members" in the dump, at any depth. */
static struct json_object *
find_members(struct json_object *node)
{
    if (json_object_is_type(node, json_type_object)) {
        json_object_object_foreach(node, key, value)
        {
            if (strcmp(key, "members") == 0 &&
                json_object_is_type(value, json_type_array)) {
                return value;
            }
            struct json_object *found = find_members(value);
            if (found != NULL) {
                return found;
            }
        }
    }
    return NULL;
}

static uint64_t
version_of(struct json_object *item)
{
    return json_object_get_uint64(
        json_object_object_get(item, "config_version"));
}

/* Copies the keys of a member that the status shows. */
static struct json_object *
copy_member(struct json_object *from)
{
    static const char *const keys[] = {"name", "state", "config_version",
                                       "heard_ms_ago"};
    struct json_object *to = json_object_new_object();
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        struct json_object *value = json_object_object_get(from, keys[i]);
        if (value != NULL) {
            json_object_object_add(to, keys[i], json_object_get(value));
        }
    }
    return to;
}

/* Lists the queried entry and the members that it knows: its dump may leave
 * out the entry itself. */
static struct json_object *
all_members(struct json_object *status, struct json_object *dump)
{
    struct json_object *known = find_members(dump);
    size_t count = known == NULL ? 0 : json_object_array_length(known);
    struct json_object *all = json_object_new_array();
    json_object_array_add(all, copy_member(status));
    for (size_t i = 0; i < count; i++) {
        struct json_object *item = json_object_array_get_idx(known, i);
        if (strcmp(GwJson_GetText(item, "name"),
                   GwJson_GetText(status, "name")) != 0) {
            json_object_array_add(all, copy_member(item));
        }
    }
    return all;
}

/* Whether a change must reach the member. A member that has stopped or failed
 * becomes dead, and stays listed for a while with its last version. */
static bool
is_live(struct json_object *member)
{
    const char *state = GwJson_GetText(member, "state");
    return strcmp(state, "dead") != 0;
}

/* Returns the first live member with the lowest version and sets the number of
 * live members, which include the queried entry. */
static struct json_object *
find_slowest(struct json_object *members, uint32_t *live)
{
    struct json_object *lowest = NULL;
    *live = 0;
    for (size_t i = 0; i < json_object_array_length(members); i++) {
        struct json_object *item = json_object_array_get_idx(members, i);
        if (!is_live(item)) {
            continue;
        }
        ++*live;
        if (lowest == NULL || version_of(item) < version_of(lowest)) {
            lowest = item;
        }
    }
    return lowest;
}

/* Reads the entry's state once and adds "members", "live" and "slowest". NULL
 * with `error`. */
static struct json_object *
read_status(const GwCtl *ctl, GError **error)
{
    Gw__Admin__StatusRequest request = GW__ADMIN__STATUS_REQUEST__INIT;
    Gw__Admin__TextReply *reply = (Gw__Admin__TextReply *)GwAdminClient_Call(
        ctl->client, "Status", &request.base,
        &gw__admin__text_reply__descriptor, error);
    if (reply == NULL) {
        return NULL;
    }
    struct json_object *status = json_tokener_parse(reply->json);
    gw__admin__text_reply__free_unpacked(reply, NULL);
    char *text = GwAdminClient_Page(ctl->client, "/dump", error);
    if (text == NULL) {
        json_object_put(status);
        return NULL;
    }
    struct json_object *dump = json_tokener_parse(text);
    g_free(text);
    uint32_t live = 0;
    struct json_object *members = all_members(status, dump);
    struct json_object *lowest = find_slowest(members, &live);
    json_object_object_add(status, "live", json_object_new_int64(live));
    json_object_object_add(status, "slowest", json_object_get(lowest));
    json_object_object_add(status, "members", members);
    json_object_put(dump);
    return status;
}

static void
show_member(struct json_object *member)
{
    struct json_object *message_age_ms =
        json_object_object_get(member, "heard_ms_ago");
    printf("  %-24s %-9s version %" PRIu64, GwJson_GetText(member, "name"),
           GwJson_GetText(member, "state"), version_of(member));
    if (message_age_ms != NULL) {
        printf("  last message %" PRIu64 " ms ago",
               json_object_get_uint64(message_age_ms));
    }
    putchar('\n');
}

static void
show_status(struct json_object *status)
{
    struct json_object *members = json_object_object_get(status, "members");
    struct json_object *lowest = json_object_object_get(status, "slowest");
    printf("%s  region %s  failure domain %s\n%s, version %" PRIu64
           ", %s open calls\nmembers, %s of them live:\n",
           GwJson_GetText(status, "name"), GwJson_GetText(status, "region"),
           GwJson_GetText(status, "failure_domain"),
           GwJson_GetText(status, "state"), version_of(status),
           GwJson_GetText(status, "open_calls"),
           GwJson_GetText(status, "live"));
    for (size_t i = 0; i < json_object_array_length(members); i++) {
        show_member(json_object_array_get_idx(members, i));
    }
    printf("slowest: %s at version %" PRIu64 "\n",
           GwJson_GetText(lowest, "name"), version_of(lowest));
}

GwCtlExit
GwCtl_Status(const GwCtl *ctl)
{
    GError *error = NULL;
    if (GwCtl_TryEdgeStatus(ctl)) {
        return GW_CTL_OK;
    }
    struct json_object *status = read_status(ctl, &error);
    if (status == NULL) {
        return GwCtl_Fail(error);
    }
    if (ctl->options->json) {
        puts(json_object_to_json_string_ext(status, JSON_C_TO_STRING_PLAIN));
    }
    else {
        show_status(status);
    }
    json_object_put(status);
    return GW_CTL_OK;
}

/* Reports on standard error: standard output holds only the reply to the
 * change, which may be JSON. */
GwCtlExit
GwCtl_WaitForVersion(const GwCtl *ctl, uint64_t version)
{
    int64_t begin = g_get_monotonic_time();
    int64_t limit = begin + (int64_t)ctl->options->wait_ms * 1000;
    char slow[64] = "(none seen behind)";
    while (g_get_monotonic_time() < limit) {
        GError *error = NULL;
        struct json_object *status = read_status(ctl, &error);
        if (status == NULL) {
            return GwCtl_Fail(error);
        }
        struct json_object *lowest = json_object_object_get(status, "slowest");
        if (version_of(lowest) >= version) {
            (void)fprintf(stderr,
                          "in force: version %" PRIu64 " at %s live members "
                          "after %" PRId64 " ms; slowest %s\n",
                          version, GwJson_GetText(status, "live"),
                          (g_get_monotonic_time() - begin) / 1000, slow);
            json_object_put(status);
            return GW_CTL_OK;
        }
        g_strlcpy(slow, GwJson_GetText(lowest, "name"), sizeof(slow));
        json_object_put(status);
        g_usleep(POLL_INTERVAL_US);
    }
    (void)fprintf(stderr, "not yet in force at all live members; slowest %s\n",
                  slow);
    return GW_CTL_PENDING;
}
