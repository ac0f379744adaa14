/* Sends a request through an entry as a caller does: look-up with a ticket,
 * then the call. */
#include "admin/ctl_internal.h"
#include "common/json.h"
#include "config/model.h"
#include "godwitridge_errors.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define DEADLINE_DEFAULT_MS 5000

/* Reads a ticket from the entry; "" when the entry issues none. False with
 * `error` when the entry is unreachable. */
static bool
read_ticket(const GwCtl *ctl, const char *service, char *out, size_t size,
            GError **error)
{
    char *url = g_strdup_printf("http://%s/v1/entries/%s?tickets=1",
                                ctl->options->call_address, service);
    const GwFetchRequest request = {.method = "GET", .url = url};
    GwFetchResponse response = {0};
    bool is_complete =
        GwAdminClient_Fetch(ctl->client, &request, &response, error);
    g_free(url);
    out[0] = '\0';
    if (is_complete) {
        struct json_object *answer = json_tokener_parse(response.body->str);
        struct json_object *list = NULL;
        if (json_object_object_get_ex(answer, "tickets", &list) &&
            json_object_is_type(list, json_type_array) &&
            json_object_array_length(list) > 0) {
            g_strlcpy(
                out,
                json_object_get_string(json_object_array_get_idx(list, 0)),
                size);
        }
        json_object_put(answer);
    }
    GwFetchResponse_Clear(&response);
    return is_complete;
}

/* Prints the body as a JSON string, whatever its type. */
static void
show_json(const GwFetchResponse *response, const char *outcome,
          const char *reason)
{
    struct json_object *out = json_object_new_object();
    json_object_object_add(out, "status",
                           json_object_new_int64(response->status));
    GwJson_SetText(out, "outcome", outcome);
    GwJson_SetText(out, "reason", reason);
    json_object_object_add(out, "body",
                           json_object_new_string_len(
                               response->body->str, (int)response->body->len));
    puts(json_object_to_json_string_ext(out, JSON_C_TO_STRING_PLAIN));
    json_object_put(out);
}

static void
show_plain(const GwFetchResponse *response, const char *outcome,
           const char *reason)
{
    (void)fprintf(stderr, "%ld outcome=%s reason=%s\n", response->status,
                  outcome != NULL ? outcome : "-",
                  reason != NULL ? reason : "-");
    (void)fwrite(response->body->str, 1, response->body->len, stdout);
    putchar('\n');
}

/* Prints status, outcome, reason and body. */
static GwCtlExit
show_answer(const GwCtl *ctl, const GwFetchResponse *response)
{
    char *outcome = GwFetchResponse_Header(response, "GW-Outcome");
    char *reason = GwFetchResponse_Header(response, "GW-Reason");
    (ctl->options->json ? show_json : show_plain)(response, outcome, reason);
    GwCtlExit code = g_strcmp0(outcome, "answered") == 0  ? GW_CTL_OK
                     : g_strcmp0(outcome, "unknown") == 0 ? GW_CTL_PENDING
                                                          : GW_CTL_REFUSED;
    g_free(outcome);
    g_free(reason);
    return code;
}

static bool
read_body(const GwCtl *ctl, char **body, gsize *len)
{
    GError *error = NULL;
    *body = NULL;
    *len = 0;
    if (ctl->options->body_file == NULL ||
        g_file_get_contents(ctl->options->body_file, body, len, &error)) {
        return true;
    }
    GwCtl_UsageError("%s", error->message);
    g_error_free(error);
    return false;
}

static GwCtlExit
send_call(const GwCtl *ctl, const char *ticket, const char *body, gsize len)
{
    GError *error = NULL;
    GwFetchResponse response = {0};
    int ms = ctl->options->deadline_ms > 0 ? ctl->options->deadline_ms
                                           : DEADLINE_DEFAULT_MS;
    char *url =
        g_strdup_printf("http://%s/v1/call/%s%s", ctl->options->call_address,
                        ctl->argv[1], ctl->argv[2]);
    char *deadline_header = g_strdup_printf("GW-Deadline-Ms: %d", ms);
    char *ticket_header = g_strdup_printf("GW-Ticket: %s", ticket);
    const char *const headers[] = {
        deadline_header, ticket[0] != '\0' ? ticket_header : NULL, NULL};
    const GwFetchRequest request = {.method = ctl->argv[0],
                                    .url = url,
                                    .headers = headers,
                                    .body = body,
                                    .body_len = len};
    bool is_complete =
        GwAdminClient_Fetch(ctl->client, &request, &response, &error);
    GwCtlExit code =
        is_complete ? show_answer(ctl, &response) : GwCtl_Fail(error);
    GwFetchResponse_Clear(&response);
    g_free(ticket_header);
    g_free(deadline_header);
    g_free(url);
    return code;
}

GwCtlExit
GwCtl_Call(const GwCtl *ctl)
{
    GError *error = NULL;
    char ticket[128];
    char *body = NULL;
    gsize len = 0;
    if (ctl->options->call_address == NULL || ctl->argv[2][0] != '/') {
        return GwCtl_UsageError("call needs --call-address, and a PATH that "
                                "begins with /");
    }
    if (!read_body(ctl, &body, &len)) {
        return GW_CTL_USAGE;
    }
    GwCtlExit code =
        read_ticket(ctl, ctl->argv[1], ticket, sizeof(ticket), &error)
            ? send_call(ctl, ticket, body, len)
            : GwCtl_Fail(error);
    g_free(body);
    return code;
}
