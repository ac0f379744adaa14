/* Commands for entries of godwitedge: status, servers, suspected requests, and
 * the explanation of a request. */
#include "admin/ctl_internal.h"
#include "admin/explain.h"
#include "common/json.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define TOP_DEFAULT 20

/* `all`: NULL in the status of an earlier build. */
static void
show_shortages(struct json_object *all)
{
    size_t count = all != NULL ? json_object_array_length(all) : 0;

    for (size_t i = 0; i < count; i++) {
        struct json_object *item = json_object_array_get_idx(all, i);
        printf("slots of %s are short in region %s: requests are refused from "
               "level %" PRId64 " on; %.1f slots' work offered to %" PRId64
               ", %" PRId64 " busy\n",
               GwJson_GetText(item, "service"), GwJson_GetText(item, "region"),
               GwJson_GetInt64(item, "threshold"),
               (double)GwJson_GetInt64(item, "offered_ms_per_s") / 1000,
               GwJson_GetInt64(item, "slots"), GwJson_GetInt64(item, "busy"));
    }
}

static void
show_status(struct json_object *status)
{
    struct json_object *members = json_object_object_get(status, "members");

    printf("%s  region %s  failure domain %s\n"
           "%s, version %" PRId64 ", %" PRId64 " open requests, %" PRId64
           " servers\n"
           "servers updated %" PRId64 " ms ago%s%s; peers' loads at most "
           "%" PRId64 " ms old\nmembers, %" PRId64 " of them live:\n",
           GwJson_GetText(status, "name"), GwJson_GetText(status, "region"),
           GwJson_GetText(status, "failure_domain"),
           GwJson_GetText(status, "state"),
           GwJson_GetInt64(status, "config_version"),
           GwJson_GetInt64(status, "open_calls"),
           GwJson_GetInt64(status, "servers"),
           GwJson_GetInt64(status, "news_ms_ago"),
           GwJson_GetInt64(status, "reads_store") ? ", from the store"
                                                  : ", from a peer",
           GwJson_GetInt64(status, "store_was_away")
               ? ", which was unavailable"
               : "",
           GwJson_GetInt64(status, "loads_ms_ago"),
           GwJson_GetInt64(status, "live"));
    int64_t era = GwJson_GetInt64(status, "store_era");
    if (era > 0) {
        printf("store in era %" PRId64 "\n", era);
    }
    int64_t unreached = GwJson_GetInt64(status, "unreached_services");
    if (unreached > 0) {
        printf("cut off from the servers of %" PRId64 " services: their "
               "requests are passed on\n",
               unreached);
    }
    show_shortages(json_object_object_get(status, "shortages"));
    for (size_t i = 0; i < json_object_array_length(members); i++) {
        struct json_object *item = json_object_array_get_idx(members, i);
        printf("  %-28s %-12s last message %" PRId64 " ms ago%s%s\n",
               GwJson_GetText(item, "name"), GwJson_GetText(item, "state"),
               GwJson_GetInt64(item, "heard_ms_ago"),
               GwJson_GetInt64(item, "reads_store") ? "  reads the store" : "",
               GwJson_GetInt64(item, "lacks_servers")
                   ? "  cut off from servers"
                   : "");
    }
}

bool
GwCtl_TryEdgeStatus(const GwCtl *ctl)
{
    char *text = GwAdminClient_Page(ctl->client, "/status", NULL);
    struct json_object *status =
        text != NULL ? json_tokener_parse(text) : NULL;
    bool is_entry = json_object_object_get(status, "news_ms_ago") != NULL;

    if (is_entry && ctl->options->json) {
        puts(text);
    }
    else if (is_entry) {
        show_status(status);
    }
    json_object_put(status);
    g_free(text);
    return is_entry;
}

/* ---- top ----------------------------------------------------------------- */

static int64_t
total_in_flight(struct json_object *server)
{
    return GwJson_GetInt64(server, "in_flight") +
           GwJson_GetInt64(server, "peers_in_flight");
}

/* Orders servers by `ejected_ms`, then by requests in flight, descending. */
static int
compare_servers(const void *a, const void *b)
{
    struct json_object *x = *(struct json_object *const *)a;
    struct json_object *y = *(struct json_object *const *)b;
    int64_t ejected =
        GwJson_GetInt64(y, "ejected_ms") - GwJson_GetInt64(x, "ejected_ms");
    int64_t load = total_in_flight(y) - total_in_flight(x);

    if (ejected != 0) {
        return ejected > 0 ? 1 : -1;
    }
    return (load > 0) - (load < 0);
}

static void
show_server(struct json_object *s)
{
    printf(
        "%-20s %-16s %-16s %5" PRId64 " %9" PRId64 " %6" PRId64 " %6" PRId64
        " %7" PRId64 " %8" PRId64 " %s%s%s%s\n",
        GwJson_GetText(s, "id"), GwJson_GetText(s, "service"),
        GwJson_GetText(s, "failure_domain"), GwJson_GetInt64(s, "slots"),
        GwJson_GetInt64(s, "in_flight"), GwJson_GetInt64(s, "peers_in_flight"),
        GwJson_GetInt64(s, "busy_percent"), GwJson_GetInt64(s, "slow_percent"),
        GwJson_GetInt64(s, "ejected_ms"),
        GwJson_GetInt64(s, "draining") ? "draining " : "",
        GwJson_GetInt64(s, "cold") ? "cold " : "",
        GwJson_GetInt64(s, "rest_ms") > 0 ? "resting " : "",
        json_object_object_get(s, "limit_per_s") != NULL ? "limited" : "");
}

static void
show_top(struct json_object *servers, size_t limit)
{
    printf("%-20s %-16s %-16s %5s %9s %6s %6s %7s %8s\n", "server", "service",
           "failure domain", "slots", "in flight", "peers", "busy %", "slow %",
           "out ms");
    for (size_t i = 0; i < json_object_array_length(servers) && i < limit;
         i++) {
        show_server(json_object_array_get_idx(servers, i));
    }
}

GwCtlExit
GwCtl_Top(const GwCtl *ctl)
{
    GError *error = NULL;
    char *text = GwAdminClient_Page(ctl->client, "/dump", &error);

    if (text == NULL) {
        return GwCtl_Fail(error);
    }
    struct json_object *dump = json_tokener_parse(text);
    struct json_object *servers = json_object_object_get(dump, "servers");
    size_t limit =
        ctl->options->limit > 0 ? (size_t)ctl->options->limit : TOP_DEFAULT;
    GwCtlExit code = GW_CTL_OK;

    g_free(text);
    if (!json_object_is_type(servers, json_type_array)) {
        (void)fprintf(stderr,
                      "godwitctl: the dump of %s has no list of "
                      "servers; is this a godwitedge entry?\n",
                      ctl->options->admin_address);
        code = GW_CTL_REFUSED;
    }
    else {
        json_object_array_sort(servers, compare_servers);
        if (ctl->options->json) {
            puts(json_object_to_json_string_ext(servers,
                                                JSON_C_TO_STRING_PLAIN));
        }
        else {
            show_top(servers, limit);
        }
    }
    json_object_put(dump);
    return code;
}

/* ---- organisations ------------------------------------------------------- */

static double
get_number(struct json_object *object, const char *key)
{
    return json_object_get_double(json_object_object_get(object, key));
}

static void
show_organisations(struct json_object *all)
{
    printf("%-24s %9s %9s %6s %9s %9s %9s %8s\n", "organisation", "rate/s",
           "burst", "share", "granted", "denied", "unknown", "limited");
    for (size_t i = 0; i < json_object_array_length(all); i++) {
        struct json_object *o = json_object_array_get_idx(all, i);
        printf("%-24s %9.1f %9.1f %6.3f %9" PRId64 " %9" PRId64 " %9" PRId64
               " %8s\n",
               GwJson_GetText(o, "organisation"), get_number(o, "per_second"),
               get_number(o, "burst"), get_number(o, "share"),
               GwJson_GetInt64(o, "granted"), GwJson_GetInt64(o, "denied"),
               GwJson_GetInt64(o, "unknown"),
               get_number(o, "limited") != 0 ? "yes" : "no");
    }
}

/* Fetches a page of the entry and prints it, as it is or by `show`. */
static GwCtlExit
show_page(const GwCtl *ctl, const char *path,
          void (*show)(struct json_object *page))
{
    GError *error = NULL;
    char *text = GwAdminClient_Page(ctl->client, path, &error);

    if (text == NULL) {
        return GwCtl_Fail(error);
    }
    if (ctl->options->json) {
        puts(text);
    }
    else {
        struct json_object *page = json_tokener_parse(text);
        show(page);
        json_object_put(page);
    }
    g_free(text);
    return GW_CTL_OK;
}

GwCtlExit
GwCtl_Organisations(const GwCtl *ctl)
{
    return show_page(ctl, "/organisations", show_organisations);
}

/* ---- suspects ------------------------------------------------------------ */

static void
show_suspects(struct json_object *suspects)
{
    printf("%-32s %-8s %7s %10s %10s\n", "fingerprint", "state", "crashes",
           "last s ago", "held for s");
    for (size_t i = 0; i < json_object_array_length(suspects); i++) {
        struct json_object *s = json_object_array_get_idx(suspects, i);
        printf("%-32s %-8s %7" PRId64 " %10" PRId64 " %10" PRId64 "\n",
               GwJson_GetText(s, "fingerprint"), GwJson_GetText(s, "state"),
               GwJson_GetInt64(s, "crashes"),
               GwJson_GetInt64(s, "age_ms") / 1000,
               GwJson_GetInt64(s, "held_ms") / 1000);
    }
}

GwCtlExit
GwCtl_Suspects(const GwCtl *ctl)
{
    return show_page(ctl, "/suspects", show_suspects);
}

GwCtlExit
GwCtl_Release(const GwCtl *ctl)
{
    GError *error = NULL;
    char *query = g_uri_escape_string(ctl->argv[0], NULL, FALSE);
    char *path = g_strdup_printf("/suspects/release?fingerprint=%s", query);
    char *text = GwAdminClient_Post(ctl->client, path, &error);

    g_free(query);
    g_free(path);
    if (text == NULL) {
        return GwCtl_Fail(error);
    }
    printf("%s", text);
    g_free(text);
    return GW_CTL_OK;
}

/* ---- explain ------------------------------------------------------------- */

static bool
read_log(GwExplain *ex, const char *path)
{
    FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
    char *source = g_path_get_basename(path);
    char *line = NULL;
    size_t capacity = 0;

    if (file == NULL) {
        g_free(source);
        return false;
    }
    while (getline(&line, &capacity, file) >= 0) {
        line[strcspn(line, "\r\n")] = '\0';
        GwExplain_AddLine(ex, source, line);
    }
    free(line);
    if (file != stdin) {
        (void)fclose(file);
    }
    g_free(source);
    return true;
}

GwCtlExit
GwCtl_Explain(const GwCtl *ctl)
{
    GwExplain *ex = GwExplain_Create(ctl->argv[0]);
    GString *out = g_string_new(NULL);
    GwCtlExit code = GW_CTL_OK;

    for (int i = 1; i < ctl->argc && code == GW_CTL_OK; i++) {
        if (!read_log(ex, ctl->argv[i])) {
            code = GwCtl_UsageError("cannot read %s", ctl->argv[i]);
        }
    }
    if (code == GW_CTL_OK) {
        if (ctl->options->json) {
            GwExplain_WriteJson(ex, out);
            g_string_append_c(out, '\n');
        }
        else {
            GwExplain_Write(ex, out);
        }
        (void)fputs(out->str, stdout);
        code = GwExplain_LineCount(ex) > 0 ? GW_CTL_OK : GW_CTL_REFUSED;
    }
    g_string_free(out, TRUE);
    GwExplain_Free(ex);
    return code;
}
