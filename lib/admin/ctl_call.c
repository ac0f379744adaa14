/* A call through an entry, as a caller makes it: look-up with a ticket, then
 * the call. */
#include "admin/ctl_internal.h"
#include "common/json.h"
#include "config/model.h"
#include "godwitridge_errors.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define DEADLINE_DEFAULT_MS 5000

/* A ticket of that entry; "" when it gives none. False with `error` when
 * the entry can't be reached. */
static bool
read_ticket(const GwCtl *ctl, const char *service, char *out, size_t size,
            GError **error)
{
    char *url = g_strdup_printf("http://%s/v1/entries/%s?tickets=1",
                                ctl->options->call_address, service);
    const GwFetch fetch = {.method = "GET", .url = url};
    GwFetched got = {0};
    bool good = GwAdminClient_Fetch(ctl->client, &fetch, &got, error);
    g_free(url);
    out[0] = '\0';
    if (good) {
        struct json_object *answer = json_tokener_parse(got.body->str);
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
    GwFetched_Clear(&got);
    return good;
}

/* The body goes as text, whatever it is. */
static void
show_json(const GwFetched *got, const char *outcome, const char *reason)
{
    struct json_object *out = json_object_new_object();
    json_object_object_add(out, "status", json_object_new_int64(got->status));
    GwJson_SetText(out, "outcome", outcome);
    GwJson_SetText(out, "reason", reason);
    json_object_object_add(
        out, "body",
        json_object_new_string_len(got->body->str, (int)got->body->len));
    puts(json_object_to_json_string_ext(out, JSON_C_TO_STRING_PLAIN));
    json_object_put(out);
}

static void
show_plain(const GwFetched *got, const char *outcome, const char *reason)
{
    (void)fprintf(stderr, "%ld outcome=%s reason=%s\n", got->status,
                  outcome != NULL ? outcome : "-",
                  reason != NULL ? reason : "-");
    (void)fwrite(got->body->str, 1, got->body->len, stdout);
    putchar('\n');
}

/* Prints status, outcome, reason and body. */
static GwCtlExit
show_answer(const GwCtl *ctl, const GwFetched *got)
{
    char *outcome = GwFetched_Header(got, "GW-Outcome");
    char *reason = GwFetched_Header(got, "GW-Reason");
    (ctl->options->json ? show_json : show_plain)(got, outcome, reason);
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
    GwCtl_Usage("%s", error->message);
    g_error_free(error);
    return false;
}

static GwCtlExit
send_call(const GwCtl *ctl, const char *ticket, const char *body, gsize len)
{
    GError *error = NULL;
    GwFetched got = {0};
    int ms = ctl->options->deadline_ms > 0 ? ctl->options->deadline_ms
                                           : DEADLINE_DEFAULT_MS;
    char *url =
        g_strdup_printf("http://%s/v1/call/%s%s", ctl->options->call_address,
                        ctl->argv[1], ctl->argv[2]);
    char *deadline = g_strdup_printf("GW-Deadline-Ms: %d", ms);
    char *with_ticket = g_strdup_printf("GW-Ticket: %s", ticket);
    const char *const headers[] = {
        deadline, ticket[0] != '\0' ? with_ticket : NULL, NULL};
    const GwFetch fetch = {.method = ctl->argv[0],
                           .url = url,
                           .headers = headers,
                           .body = body,
                           .body_len = len};
    bool good = GwAdminClient_Fetch(ctl->client, &fetch, &got, &error);
    GwCtlExit code = good ? show_answer(ctl, &got) : GwCtl_Fail(error);
    GwFetched_Clear(&got);
    g_free(with_ticket);
    g_free(deadline);
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
        return GwCtl_Usage("call needs --call-address, and a PATH that "
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
