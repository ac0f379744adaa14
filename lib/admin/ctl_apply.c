/* Commands that send a change, and the output of its result. */
#include "admin/ctl_internal.h"
#include "config/model.h"
#include "godwitridge_errors.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

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

/* Sends the request, whose request id must be set. Without a reply the change
 * may have been applied, so the message names the command that checks. */
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
                      "godwitctl: no reply; check the outcome with "
                      "\"operation %s\"\n",
                      request->request_id);
        return GwCtl_Fail(error);
    }
    GwCtlExit code = GwCtl_ShowChange(ctl, request->request_id, reply);
    uint64_t version = reply->version;
    gw__admin__change_reply__free_unpacked(reply, NULL);
    if (code == GW_CTL_OK && ctl->options->wait) {
        code = GwCtl_WaitForVersion(ctl, version);
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
        if (!GwCtl_ParseNumber("--base", o->base_version, INT64_MAX,
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
        GwCtl_UsageError("%s", error->message);
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
    if (!GwCtl_ParseNumber("VERSION", ctl->argv[0], INT64_MAX,
                           &rollback.version)) {
        return GW_CTL_USAGE;
    }
    request.what_case = GW__ADMIN__APPLY_REQUEST__WHAT_ROLLBACK;
    request.rollback = &rollback;
    return GwCtl_Apply(ctl, &request);
}
