/* The command that shows where an entry would send a request now. */
#include "admin/ctl_internal.h"
#include "common/json.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

static double
get_number(struct json_object *object, const char *key)
{
    return json_object_get_double(json_object_object_get(object, key));
}

static void
show_request(struct json_object *page)
{
    const char *organisation = GwJson_GetText(page, "organisation");

    printf("configuration %" PRId64 ", route %s, service %s, priority %" PRId64
           "%s%s%s\n",
           GwJson_GetInt64(page, "config_version"),
           GwJson_GetText(page, "route"), GwJson_GetText(page, "service"),
           GwJson_GetInt64(page, "priority"),
           organisation[0] != '\0' ? ", organisation " : "", organisation,
           GwJson_GetInt64(page, "has_quota") ? " (needs a token of its quota)"
                                              : "");
}

static void
show_decision(struct json_object *page)
{
    printf("decision: %s", GwJson_GetText(page, "decision"));
    if (strcmp(GwJson_GetText(page, "decision"), "refuse") == 0) {
        printf(", %s", GwJson_GetText(page, "why"));
    }
    if (json_object_object_get(page, "server") != NULL) {
        printf(", server %s, %s, %s, expected after %.0f ms (%.0f ms wait)",
               GwJson_GetText(page, "server"),
               GwJson_GetInt64(page, "warm") ? "warm" : "cold",
               GwJson_GetInt64(page, "in_time") ? "in time" : "late",
               get_number(page, "expected_ms"), get_number(page, "wait_ms"));
    }
    printf("%s\n", GwJson_GetInt64(page, "passed_on_first")
                       ? "; passed on to another entry if one takes it"
                       : "");
    if (json_object_object_get(page, "level") != NULL) {
        printf("level %" PRId64 ", refused from level %" PRId64
               " on, admitted share %.2f, demand %" PRId64 " ms old\n",
               GwJson_GetInt64(page, "level"),
               GwJson_GetInt64(page, "threshold"),
               get_number(page, "admitted_share"),
               GwJson_GetInt64(page, "demand_age_ms"));
    }
}

static void
show_candidates(struct json_object *list)
{
    printf("%-20s %-16s %-5s %6s %5s %8s %8s %8s %s\n", "server",
           "failure domain", "warm", "load", "slots", "wait ms", "expected",
           "cost ms", "not eligible");
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        struct json_object *c = json_object_array_get_idx(list, i);
        printf("%-20s %-16s %-5s %6.1f %5" PRId64 " %8.0f %8.0f %8.0f %s\n",
               GwJson_GetText(c, "server"),
               GwJson_GetText(c, "failure_domain"),
               GwJson_GetInt64(c, "warm") ? "yes" : "no",
               get_number(c, "load"), GwJson_GetInt64(c, "slots"),
               get_number(c, "wait_ms"), get_number(c, "expected_ms"),
               get_number(c, "cost_ms"), GwJson_GetText(c, "ineligible"));
    }
}

static void
show_page(struct json_object *page)
{
    struct json_object *list = json_object_object_get(page, "candidates");

    if (json_object_object_get(page, "route") != NULL) {
        show_request(page);
    }
    show_decision(page);
    if (list != NULL) {
        show_candidates(list);
    }
}

static void
add_parameter(GString *path, const char *name, const char *value)
{
    char *escaped = g_uri_escape_string(value, NULL, FALSE);

    g_string_append_printf(path, "%c%s=%s",
                           strchr(path->str, '?') == NULL ? '?' : '&', name,
                           escaped);
    g_free(escaped);
}

/* Adds the caller's key from a file: the command line is visible to other
 * users of the machine. */
static bool
add_key(GString *path, const char *file)
{
    GError *error = NULL;
    char *key = NULL;

    if (file == NULL) {
        return true;
    }
    if (!g_file_get_contents(file, &key, NULL, &error)) {
        GwCtl_UsageError("%s", error->message);
        g_error_free(error);
        return false;
    }
    add_parameter(path, "key", g_strstrip(key));
    g_free(key);
    return true;
}

GwCtlExit
GwCtl_Where(const GwCtl *ctl)
{
    GString *path = g_string_new("/where");
    GError *error = NULL;

    add_parameter(path, "host", ctl->argv[0]);
    add_parameter(path, "path", ctl->argv[1]);
    if (ctl->options->object != NULL) {
        add_parameter(path, "object", ctl->options->object);
    }
    if (ctl->options->deadline_ms > 0) {
        char number[24];
        g_snprintf(number, sizeof(number), "%d", ctl->options->deadline_ms);
        add_parameter(path, "time_ms", number);
    }
    if (!add_key(path, ctl->options->key_file)) {
        g_string_free(path, TRUE);
        return GW_CTL_USAGE;
    }
    char *text = GwAdminClient_Page(ctl->client, path->str, &error);
    g_string_free(path, TRUE);
    if (text == NULL) {
        return GwCtl_Fail(error);
    }
    struct json_object *page = json_tokener_parse(text);
    bool is_refused = strcmp(GwJson_GetText(page, "decision"), "refuse") == 0;
    if (ctl->options->json) {
        printf("%s", text);
    }
    else {
        show_page(page);
    }
    json_object_put(page);
    g_free(text);
    return is_refused ? GW_CTL_REFUSED : GW_CTL_OK;
}
