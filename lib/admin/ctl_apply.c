/* Sending changes, and waiting until they are in force everywhere. */
#include "admin/ctl_internal.h"
#include "config/model.h"
#include "godwitridge_errors.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define POLL_US 200000

static const char *
outcome_name(Gw__Admin__Outcome outcome)
{
    switch (outcome) {
    case GW__ADMIN__OUTCOME__ACCEPTED:
        return "accepted";
    case GW__ADMIN__OUTCOME__REFUSED:
        return "refused";
    case GW__ADMIN__OUTCOME__PENDING:
        return "pending";
    default:
        return "none";
    }
}

static void
show_json(const char *request_id, const Gw__Admin__ChangeReply *reply)
{
    struct json_object *out = json_object_new_object();
    json_object_object_add(
        out, "outcome", json_object_new_string(outcome_name(reply->outcome)));
    json_object_object_add(out, "code",
                           json_object_new_int64((int64_t)reply->code));
    json_object_object_add(out, "code_name",
                           json_object_new_string(reply->code_name));
    json_object_object_add(out, "message",
                           json_object_new_string(reply->message));
    json_object_object_add(out, "version",
                           json_object_new_int64((int64_t)reply->version));
    json_object_object_add(out, "request_id",
                           json_object_new_string(request_id));
    puts(json_object_to_json_string_ext(out, JSON_C_TO_STRING_PLAIN));
    json_object_put(out);
}

GwCtlExit
GwCtl_ShowChange(const GwCtl *ctl, const char *request_id,
                 const Gw__Admin__ChangeReply *reply)
{
    if (ctl->options->json) {
        show_json(request_id, reply);
    }
    else {
        printf("%s (%s): %s\nrequest id %s\n", outcome_name(reply->outcome),
               reply->code_name, reply->message, request_id);
    }
    return reply->outcome == GW__ADMIN__OUTCOME__ACCEPTED  ? GW_CTL_OK
           : reply->outcome == GW__ADMIN__OUTCOME__PENDING ? GW_CTL_PENDING
                                                           : GW_CTL_REFUSED;
}

/* Sends the request, whose request id is set. Without a reply the change
 * may have been applied, so the operator is told how to find out. */
static GwCtlExit
send_apply(const GwCtl *ctl, const Gw__Admin__ApplyRequest *request)
{
    GError *error = NULL;
    Gw__Admin__ChangeReply *reply =
        (Gw__Admin__ChangeReply *)GwAdminClient_Call(
            ctl->client, "Apply", &request->base,
            &gw__admin__change_reply__descriptor, &error);
    if (reply == NULL) {
        (void)fprintf(stderr,
                      "godwitctl: no reply; ask what became of it with "
                      "\"operation %s\"\n",
                      request->request_id);
        return GwCtl_Fail(error);
    }
    GwCtlExit code = GwCtl_ShowChange(ctl, request->request_id, reply);
    uint64_t version = reply->version;
    gw__admin__change_reply__free_unpacked(reply, NULL);
    if (code == GW_CTL_OK && ctl->options->wait) {
        code = GwCtl_Wait(ctl, version);
    }
    return code;
}

GwCtlExit
GwCtl_Apply(const GwCtl *ctl, Gw__Admin__ApplyRequest *request)
{
    const GwCtlOptions *o = ctl->options;
    Gw__Admin__BaseVersion base = GW__ADMIN__BASE_VERSION__INIT;
    char *id = o->request_id != NULL ? g_strdup(o->request_id)
                                     : g_uuid_string_random();
    if (o->base_version != NULL) {
        if (!GwCtl_Number("--base", o->base_version, INT64_MAX,
                          &base.version)) {
            g_free(id);
            return GW_CTL_USAGE;
        }
        request->base_version = &base;
    }
    request->request_id = id;
    request->operator_name = o->operator_name != NULL
                                 ? o->operator_name
                                 : (char *)g_get_user_name();
    GwCtlExit code = send_apply(ctl, request);
    request->base_version = NULL;
    g_free(id);
    return code;
}

GwCtlExit
GwCtl_ApplyChange(const GwCtl *ctl, Gw__Admin__Change *change)
{
    Gw__Admin__Batch batch = GW__ADMIN__BATCH__INIT;
    Gw__Admin__ApplyRequest request = GW__ADMIN__APPLY_REQUEST__INIT;
    batch.n_changes = 1;
    batch.changes = &change;
    request.what_case = GW__ADMIN__APPLY_REQUEST__WHAT_BATCH;
    request.batch = &batch;
    return GwCtl_Apply(ctl, &request);
}

GwCtlExit
GwCtl_ApplyFile(const GwCtl *ctl)
{
    GError *error = NULL;
    char *text = NULL;
    if (!g_file_get_contents(ctl->argv[0], &text, NULL, &error)) {
        GwCtl_Usage("%s", error->message);
        g_error_free(error);
        return GW_CTL_USAGE;
    }
    Gw__Admin__ApplyRequest request = GW__ADMIN__APPLY_REQUEST__INIT;
    request.what_case = GW__ADMIN__APPLY_REQUEST__WHAT_DOCUMENT;
    request.document = text;
    GwCtlExit code = GwCtl_Apply(ctl, &request);
    g_free(text);
    return code;
}

GwCtlExit
GwCtl_Rollback(const GwCtl *ctl)
{
    Gw__Admin__Rollback rollback = GW__ADMIN__ROLLBACK__INIT;
    Gw__Admin__ApplyRequest request = GW__ADMIN__APPLY_REQUEST__INIT;
    if (!GwCtl_Number("VERSION", ctl->argv[0], INT64_MAX, &rollback.version)) {
        return GW_CTL_USAGE;
    }
    request.what_case = GW__ADMIN__APPLY_REQUEST__WHAT_ROLLBACK;
    request.rollback = &rollback;
    return GwCtl_Apply(ctl, &request);
}

/* Finds the array "members" anywhere in the dump. */
static struct json_object *
find_members(struct json_object *at)
{
    if (json_object_is_type(at, json_type_object)) {
        json_object_object_foreach(at, key, value)
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

static const char *
text_of(struct json_object *item, const char *key)
{
    const char *text =
        json_object_get_string(json_object_object_get(item, key));
    return text != NULL ? text : "";
}

static uint64_t
version_of(struct json_object *item)
{
    return json_object_get_uint64(
        json_object_object_get(item, "config_version"));
}

/* The live member with the lowest version; members that are held dead don't
 * count. `live` says how many there are. */
static uint64_t
slowest(struct json_object *members, uint32_t *live, char *name, size_t size)
{
    uint64_t lowest = UINT64_MAX;
    size_t count = members == NULL ? 0 : json_object_array_length(members);
    *live = 0;
    for (size_t i = 0; i < count; i++) {
        struct json_object *item = json_object_array_get_idx(members, i);
        if (strcmp(text_of(item, "state"), "dead") == 0) {
            continue;
        }
        ++*live;
        if (version_of(item) < lowest) {
            lowest = version_of(item);
            g_strlcpy(name, text_of(item, "name"), size);
        }
    }
    return lowest;
}

/* One look: the lowest version of this entry and the members it knows. */
static bool
read_lowest(const GwCtl *ctl, uint64_t *lowest, uint32_t *live, char *name,
            size_t size, GError **error)
{
    Gw__Admin__StatusRequest request = GW__ADMIN__STATUS_REQUEST__INIT;
    Gw__Admin__TextReply *reply = (Gw__Admin__TextReply *)GwAdminClient_Call(
        ctl->client, "Status", &request.base,
        &gw__admin__text_reply__descriptor, error);
    if (reply == NULL) {
        return false;
    }
    struct json_object *status = json_tokener_parse(reply->json);
    gw__admin__text_reply__free_unpacked(reply, NULL);
    char *text = GwAdminClient_Page(ctl->client, "/dump", error);
    if (text == NULL) {
        json_object_put(status);
        return false;
    }
    struct json_object *dump = json_tokener_parse(text);
    *lowest = slowest(find_members(dump), live, name, size);
    if (version_of(status) < *lowest) {
        *lowest = version_of(status);
        g_strlcpy(name, text_of(status, "name"), size);
    }
    json_object_put(status);
    json_object_put(dump);
    g_free(text);
    return true;
}

GwCtlExit
GwCtl_Wait(const GwCtl *ctl, uint64_t version)
{
    int64_t begin = g_get_monotonic_time();
    int64_t limit = begin + (int64_t)ctl->options->wait_ms * 1000;
    char slow[64] = "";
    char name[64] = "";
    while (g_get_monotonic_time() < limit) {
        GError *error = NULL;
        uint64_t lowest = 0;
        uint32_t live = 0;
        if (!read_lowest(ctl, &lowest, &live, name, sizeof(name), &error)) {
            return GwCtl_Fail(error);
        }
        if (lowest >= version) {
            printf("in force: version %" PRIu64 " at this entry and %u "
                   "members after %" PRId64 " ms; slowest %s\n",
                   version, live, (g_get_monotonic_time() - begin) / 1000,
                   slow[0] != '\0' ? slow : "(none seen behind)");
            return GW_CTL_OK;
        }
        g_strlcpy(slow, name, sizeof(slow));
        g_usleep(POLL_US);
    }
    printf("not in force everywhere yet; slowest %s\n", slow);
    return GW_CTL_PENDING;
}
