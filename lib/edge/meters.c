#include "edge/meters.h"

#include <inttypes.h>

/* Upper bounds of the buckets, in ms. They are dense where latency objectives
 * lie (200 to 500 ms), so that the share of requests within the objective can
 * be read off. */
static const uint32_t bounds_ms[] = {5,    10,   20,   50,   100,  150,
                                     200,  250,  300,  400,  500,  750,
                                     1000, 1500, 2000, 3000, 5000, 10000};
#define BOUND_COUNT G_N_ELEMENTS(bounds_ms)
/* Maximum number of routes with histograms of their own; further routes share
 * one. A route takes about half a kilobyte for each kind of end that has
 * occurred, and operators add many routes. */
#define ROUTES_MAX   256
#define OTHER_ROUTES "(other)"

typedef struct {
    /* Per bucket, not cumulative; the last bucket has no upper bound. */
    uint32_t counts[BOUND_COUNT + 1];
    uint64_t sum_ms;
    uint64_t count;
} Histogram;

typedef struct {
    char *name;
    Histogram *ends[GW_END_COUNT]; /* NULL until the first such end */
} RouteMeter;

struct GwMeters_s {
    GHashTable *routes; /* name -> RouteMeter */
    uint64_t reasons[GW_REPLY_COUNT];
};

const char *
GwRequestEnd_Name(GwRequestEnd end)
{
    static const char *const names[GW_END_COUNT] = {
        [GW_END_ANSWERED] = "answered",
        [GW_END_FAILED] = "failed",
        [GW_END_NOT_RUN] = "not-run",
        [GW_END_UNKNOWN] = "unknown",
        [GW_END_NO_ROUTE] = "no-route",
        [GW_END_UNAUTHORIZED] = "unauthorized",
        [GW_END_OVER_QUOTA] = "over-quota",
        [GW_END_DISCONNECTED] = "left",
        [GW_END_INTERRUPTED] = "cut",
    };

    return names[end];
}

GwRequestEnd
GwRequestEnd_OfReply(uint16_t status)
{
    switch (status) {
    case 401:
        return GW_END_UNAUTHORIZED;
    case 404:
        return GW_END_NO_ROUTE;
    case 429:
        return GW_END_OVER_QUOTA;
    case 503:
        return GW_END_NOT_RUN;
    default:
        return GW_END_UNKNOWN;
    }
}

static void
free_route(gpointer item)
{
    RouteMeter *route = item;

    for (int i = 0; i < GW_END_COUNT; i++) {
        g_free(route->ends[i]);
    }
    g_free(route->name);
    g_free(route);
}

GwMeters *
GwMeters_Create(void)
{
    GwMeters *meters = g_new0(GwMeters, 1);

    meters->routes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_route);
    return meters;
}

void
GwMeters_Free(GwMeters *meters)
{
    if (meters == NULL) {
        return;
    }
    g_hash_table_destroy(meters->routes);
    g_free(meters);
}

static RouteMeter *
find_or_add_route(GwMeters *meters, const char *name)
{
    RouteMeter *route = g_hash_table_lookup(meters->routes, name);

    if (route != NULL) {
        return route;
    }
    if (g_hash_table_size(meters->routes) >= ROUTES_MAX &&
        !g_str_equal(name, OTHER_ROUTES)) {
        return find_or_add_route(meters, OTHER_ROUTES);
    }
    route = g_new0(RouteMeter, 1);
    route->name = g_strdup(name);
    g_hash_table_insert(meters->routes, route->name, route);
    return route;
}

void
GwMeters_Add(GwMeters *meters, const char *route, GwRequestEnd end,
             GwReplyReason why, uint32_t took_ms)
{
    Histogram **at = &find_or_add_route(meters, route)->ends[end];
    size_t bucket = 0;

    if (*at == NULL) {
        *at = g_new0(Histogram, 1);
    }
    while (bucket < BOUND_COUNT && took_ms > bounds_ms[bucket]) {
        bucket++;
    }
    (*at)->counts[bucket]++;
    (*at)->sum_ms += took_ms;
    (*at)->count++;
    meters->reasons[why]++;
}

/* Escapes a label value, which may be any text of the operator. */
static char *
escape_label(const char *text)
{
    return g_strescape(text, NULL);
}

static void
write_histogram(const char *route, GwRequestEnd end, const Histogram *h,
                GString *out)
{
    char *labels = g_strdup_printf("route=\"%s\",end=\"%s\"", route,
                                   GwRequestEnd_Name(end));
    uint64_t below = 0;

    for (size_t i = 0; i < BOUND_COUNT; i++) {
        below += h->counts[i];
        g_string_append_printf(
            out, "gw_request_ms_bucket{%s,le=\"%u\"} %" PRIu64 "\n", labels,
            bounds_ms[i], below);
    }
    g_string_append_printf(out,
                           "gw_request_ms_bucket{%s,le=\"+Inf\"} %" PRIu64 "\n"
                           "gw_request_ms_sum{%s} %" PRIu64
                           "\ngw_request_ms_count{%s} %" PRIu64 "\n",
                           labels, h->count, labels, h->sum_ms, labels,
                           h->count);
    g_free(labels);
}

void
GwMeters_Write(const GwMeters *meters, GString *out)
{
    GHashTableIter iter;
    gpointer value;

    g_string_append(
        out, "# HELP gw_request_ms Duration of requests in this entry, by "
             "route and end.\n# TYPE gw_request_ms histogram\n");
    g_hash_table_iter_init(&iter, meters->routes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const RouteMeter *route = value;
        char *name = escape_label(route->name);
        for (int i = 0; i < GW_END_COUNT; i++) {
            if (route->ends[i] != NULL) {
                write_histogram(name, (GwRequestEnd)i, route->ends[i], out);
            }
        }
        g_free(name);
    }
    g_string_append(
        out, "# HELP gw_replies_total Answers made by the entry itself, by "
             "reason.\n# TYPE gw_replies_total counter\n");
    for (int i = GW_REPLY_NONE + 1; i < GW_REPLY_COUNT; i++) {
        g_string_append_printf(
            out, "gw_replies_total{why=\"%s\"} %" PRIu64 "\n",
            GwReplyReason_Name((GwReplyReason)i), meters->reasons[i]);
    }
}
