/* Read-only commands. */
#include "admin/ctl_internal.h"
#include "admin/diff.h"
#include "config/model.h"
#include "godwitridge_errors.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

/* Sets `error` from a reply's code; true when the code is OK. */
static bool
check_code(uint32_t code, const char *message, GError **error)
{
    if (code == GW_RESULT_OK) {
        return true;
    }
    g_set_error(error, GW_ERROR, (int)code, "%s", message);
    return false;
}

/* Reads a document; NULL with `error`. */
static Gw__Admin__GetReply *
read_document(const GwCtl *ctl, uint64_t version, bool snapshot,
              GError **error)
{
    Gw__Admin__GetRequest request = GW__ADMIN__GET_REQUEST__INIT;
    request.version = version;
    request.snapshot = snapshot;
    Gw__Admin__GetReply *reply = (Gw__Admin__GetReply *)GwAdminClient_Call(
        ctl->client, "Get", &request.base, &gw__admin__get_reply__descriptor,
        error);
    if (reply != NULL && !check_code(reply->code, reply->message, error)) {
        gw__admin__get_reply__free_unpacked(reply, NULL);
        return NULL;
    }
    return reply;
}

/* Prints the document as a JSON string: it may contain comments, which JSON
 * does not allow. */
static void
show_document(const Gw__Admin__GetReply *reply)
{
    struct json_object *out = json_object_new_object();
    json_object_object_add(out, "version",
                           json_object_new_int64((int64_t)reply->version));
    json_object_object_add(out, "document",
                           json_object_new_string(reply->document));
    puts(json_object_to_json_string_ext(out, JSON_C_TO_STRING_PLAIN));
    json_object_put(out);
}

/* Prints lines of text as they are, or as a JSON array of strings. */
static void
show_lines(const GwCtl *ctl, const char *text)
{
    if (!ctl->options->json) {
        (void)fputs(text, stdout);
        return;
    }
    struct json_object *out = json_object_new_array();
    char **lines = g_strsplit(text, "\n", -1);
    for (uint32_t i = 0; lines[i] != NULL; i++) {
        if (lines[i][0] != '\0') {
            json_object_array_add(out, json_object_new_string(lines[i]));
        }
    }
    puts(json_object_to_json_string_ext(out, JSON_C_TO_STRING_PLAIN));
    g_strfreev(lines);
    json_object_put(out);
}

static GwCtlExit
print_document(const GwCtl *ctl, bool snapshot)
{
    GError *error = NULL;
    uint64_t version = 0;
    if (ctl->argc == 1 &&
        !GwCtl_ParseNumber("VERSION", ctl->argv[0], INT64_MAX, &version)) {
        return GW_CTL_USAGE;
    }
    Gw__Admin__GetReply *reply = read_document(ctl, version, snapshot, &error);
    if (reply == NULL) {
        return GwCtl_Fail(error);
    }
    if (ctl->options->json) {
        show_document(reply);
    }
    else {
        (void)fprintf(stderr, "version %" PRIu64 "\n", reply->version);
        puts(reply->document);
    }
    gw__admin__get_reply__free_unpacked(reply, NULL);
    return GW_CTL_OK;
}

GwCtlExit
GwCtl_Get(const GwCtl *ctl)
{
    return print_document(ctl, false);
}

GwCtlExit
GwCtl_Snapshot(const GwCtl *ctl)
{
    return print_document(ctl, true);
}

GwCtlExit
GwCtl_Diff(const GwCtl *ctl)
{
    GError *error = NULL;
    char *text = NULL;
    if (!g_file_get_contents(ctl->argv[0], &text, NULL, &error)) {
        GwCtl_UsageError("%s", error->message);
        g_error_free(error);
        return GW_CTL_USAGE;
    }
    Gw__Admin__GetReply *reply = read_document(ctl, 0, false, &error);
    char *diff =
        reply == NULL ? NULL : GwDiff_Text(reply->document, text, &error);
    if (reply != NULL) {
        gw__admin__get_reply__free_unpacked(reply, NULL);
    }
    g_free(text);
    if (diff == NULL) {
        return GwCtl_Fail(error);
    }
    show_lines(ctl, diff);
    g_free(diff);
    return GW_CTL_OK;
}

static struct json_object *
entry_json(const Gw__Admin__HistoryEntry *e)
{
    struct json_object *out = json_object_new_object();
    json_object_object_add(out, "version",
                           json_object_new_int64((int64_t)e->version));
    json_object_object_add(out, "operator",
                           json_object_new_string(e->operator_name));
    json_object_object_add(out, "request_id",
                           json_object_new_string(e->request_id));
    json_object_object_add(out, "when_ms", json_object_new_int64(e->when_ms));
    json_object_object_add(out, "what", json_object_new_string(e->what));
    return out;
}

static void
show_entry(const Gw__Admin__HistoryEntry *e)
{
    GDateTime *when = g_date_time_new_from_unix_utc(e->when_ms / 1000);
    char *text =
        when == NULL ? g_strdup("-") : g_date_time_format(when, "%FT%TZ");
    printf("%" PRIu64 "  %s  %s  %s  %s\n", e->version, text, e->operator_name,
           e->request_id, e->what);
    g_free(text);
    if (when != NULL) {
        g_date_time_unref(when);
    }
}

static void
show_history(const GwCtl *ctl, const Gw__Admin__HistoryReply *reply)
{
    struct json_object *out = json_object_new_array();
    for (size_t i = 0; i < reply->n_entries; i++) {
        if (ctl->options->json) {
            json_object_array_add(out, entry_json(reply->entries[i]));
        }
        else {
            show_entry(reply->entries[i]);
        }
    }
    if (ctl->options->json) {
        puts(json_object_to_json_string_ext(out, JSON_C_TO_STRING_PLAIN));
    }
    json_object_put(out);
}

GwCtlExit
GwCtl_History(const GwCtl *ctl)
{
    GError *error = NULL;
    Gw__Admin__HistoryRequest request = GW__ADMIN__HISTORY_REQUEST__INIT;
    request.limit = (uint32_t)MAX(ctl->options->limit, 0);
    if (ctl->options->before != NULL &&
        !GwCtl_ParseNumber("--before", ctl->options->before, INT64_MAX,
                           &request.before)) {
        return GW_CTL_USAGE;
    }
    Gw__Admin__HistoryReply *reply =
        (Gw__Admin__HistoryReply *)GwAdminClient_Call(
            ctl->client, "History", &request.base,
            &gw__admin__history_reply__descriptor, &error);
    if (reply == NULL) {
        return GwCtl_Fail(error);
    }
    show_history(ctl, reply);
    bool is_ok = check_code(reply->code, reply->code_name, &error);
    gw__admin__history_reply__free_unpacked(reply, NULL);
    return is_ok ? GW_CTL_OK : GwCtl_Fail(error);
}

/* Runs a call whose reply is JSON text, and prints the text. */
static GwCtlExit
show_text(const GwCtl *ctl, const char *method,
          const ProtobufCMessage *request)
{
    GError *error = NULL;
    Gw__Admin__TextReply *reply = (Gw__Admin__TextReply *)GwAdminClient_Call(
        ctl->client, method, request, &gw__admin__text_reply__descriptor,
        &error);
    if (reply == NULL) {
        return GwCtl_Fail(error);
    }
    bool is_ok = check_code(reply->code, reply->message, &error);
    if (is_ok) {
        puts(reply->json);
    }
    gw__admin__text_reply__free_unpacked(reply, NULL);
    return is_ok ? GW_CTL_OK : GwCtl_Fail(error);
}

GwCtlExit
GwCtl_Operation(const GwCtl *ctl)
{
    GError *error = NULL;
    Gw__Admin__OperationRequest request = GW__ADMIN__OPERATION_REQUEST__INIT;
    request.request_id = (char *)ctl->argv[0];
    Gw__Admin__ChangeReply *reply =
        (Gw__Admin__ChangeReply *)GwAdminClient_Call(
            ctl->client, "GetOperation", &request.base,
            &gw__admin__change_reply__descriptor, &error);
    if (reply == NULL) {
        return GwCtl_Fail(error);
    }
    GwCtlExit code = GwCtl_ShowChange(ctl, ctl->argv[0], reply);
    gw__admin__change_reply__free_unpacked(reply, NULL);
    return code;
}

/* Prints the samples of the exposition text as one JSON object: each key is
 * the name with its labels. */
static void
show_metrics(const char *text)
{
    struct json_object *out = json_object_new_object();
    char **lines = g_strsplit(text, "\n", -1);
    for (uint32_t i = 0; lines[i] != NULL; i++) {
        char *space = strrchr(lines[i], ' ');
        if (lines[i][0] == '#' || space == NULL) {
            continue;
        }
        *space = '\0';
        double value = g_ascii_strtod(space + 1, NULL);
        json_object_object_add(out, lines[i], json_object_new_double(value));
    }
    puts(json_object_to_json_string_ext(out, JSON_C_TO_STRING_PLAIN));
    g_strfreev(lines);
    json_object_put(out);
}

static GwCtlExit
show_page(const GwCtl *ctl, const char *path)
{
    GError *error = NULL;
    char *text = GwAdminClient_Page(ctl->client, path, &error);
    if (text == NULL) {
        return GwCtl_Fail(error);
    }
    if (ctl->options->json && strcmp(path, "/metrics") == 0) {
        show_metrics(text);
    }
    else {
        puts(text);
    }
    g_free(text);
    return GW_CTL_OK;
}

GwCtlExit
GwCtl_Dump(const GwCtl *ctl)
{
    return show_page(ctl, "/dump");
}

GwCtlExit
GwCtl_Metrics(const GwCtl *ctl)
{
    return show_page(ctl, "/metrics");
}

/* Uses the callers' address when the option gives one, else the admin
 * address. */
GwCtlExit
GwCtl_Entries(const GwCtl *ctl)
{
    if (ctl->options->call_address == NULL) {
        Gw__Admin__EntriesRequest request = GW__ADMIN__ENTRIES_REQUEST__INIT;
        request.service = (char *)ctl->argv[0];
        return show_text(ctl, "Entries", &request.base);
    }
    GError *error = NULL;
    char *service = g_uri_escape_string(ctl->argv[0], NULL, FALSE);
    char *url = g_strdup_printf("http://%s/v1/entries/%s",
                                ctl->options->call_address, service);
    const GwFetchRequest fetch = {.method = "GET", .url = url};
    GwFetchResponse response = {0};
    bool is_ok = GwAdminClient_Fetch(ctl->client, &fetch, &response, &error);
    bool found = is_ok && response.status == 200;
    if (is_ok) {
        puts(response.body->str);
    }
    GwFetchResponse_Clear(&response);
    g_free(url);
    g_free(service);
    if (!is_ok) {
        return GwCtl_Fail(error);
    }
    return found ? GW_CTL_OK : GW_CTL_REFUSED;
}
