#include "edge/shortages.h"

#include "common/json.h"
#include "common/log.h"

#include <inttypes.h>
#include <json-c/json.h>

/* Least time between two lines about one service and region: a threshold that
 * moves across the last level would fill the log. */
#define LINE_PERIOD_US 1000000
/* Shortages are looked at this often. */
#define UPDATE_PERIOD_US 250000

/* ---- Log ----------------------------------------------------------------- */

typedef struct {
    GwShortageView view; /* as of the last update with demand */
    char *service;
    char *region;
    bool has_demand;   /* in the current total */
    bool is_short;     /* as last logged */
    int64_t logged_us; /* last line; INT64_MIN: none yet */
} Pair;

struct GwShortageLog_s {
    GArray *pairs; /* Pair */
    int64_t updated_us;
};

static void
clear_pair(gpointer item)
{
    Pair *pair = item;

    g_free(pair->service);
    g_free(pair->region);
}

GwShortageLog *
GwShortageLog_Create(void)
{
    GwShortageLog *log = g_new0(GwShortageLog, 1);

    log->pairs = g_array_new(FALSE, FALSE, sizeof(Pair));
    g_array_set_clear_func(log->pairs, clear_pair);
    log->updated_us = INT64_MIN;
    return log;
}

void
GwShortageLog_Free(GwShortageLog *log)
{
    if (log != NULL) {
        g_array_free(log->pairs, TRUE);
        g_free(log);
    }
}

static bool
is_short(const GwShortageView *view)
{
    return view->threshold < GW_SHORTAGE_LEVELS;
}

static void
note_pair(void *ctx, const GwNamedShortage *named)
{
    GwShortageLog *log = ctx;
    Pair *pair = NULL;

    for (guint i = 0; i < log->pairs->len && pair == NULL; i++) {
        Pair *at = &g_array_index(log->pairs, Pair, i);
        if (at->view.service == named->view->service &&
            at->view.region == named->view->region) {
            pair = at;
        }
    }
    if (pair == NULL) {
        if (!is_short(named->view)) {
            return;
        }
        Pair empty = {.service = g_strdup(named->service),
                      .region = g_strdup(named->region),
                      .logged_us = INT64_MIN};
        g_array_append_val(log->pairs, empty);
        pair = &g_array_index(log->pairs, Pair, log->pairs->len - 1);
    }
    pair->view = *named->view;
    pair->has_demand = true;
}

static bool
log_change(Pair *pair, int64_t now_us, int64_t age_ms)
{
    const GwShortageView *view = &pair->view;

    if (is_short(view) == pair->is_short ||
        (pair->logged_us != INT64_MIN &&
         now_us - pair->logged_us < LINE_PERIOD_US)) {
        return false;
    }
    pair->is_short = !pair->is_short;
    pair->logged_us = now_us;
    GwLog_Event(
        pair->is_short ? GW_LOG_SHORTAGE_BEGINS : GW_LOG_SHORTAGE_ENDS,
        "service=%s region=%s threshold=%u offered_ms_per_s=%.0f slots=%.0f "
        "busy=%.0f age_ms=%" PRId64,
        pair->service, pair->region, view->threshold, view->offered_ms_per_s,
        view->slots, view->busy, age_ms);
    return true;
}

uint32_t
GwShortageLog_Update(GwShortageLog *log, GwRouter *r, int64_t now_us)
{
    uint32_t lines = 0;

    if (GwRouter_Shortage(r) == NULL ||
        (log->updated_us != INT64_MIN &&
         now_us - log->updated_us < UPDATE_PERIOD_US)) {
        return 0;
    }
    log->updated_us = now_us;
    for (guint i = 0; i < log->pairs->len; i++) {
        g_array_index(log->pairs, Pair, i).has_demand = false;
    }
    GwRouter_EachShortage(r, now_us, note_pair, log);
    int64_t age_ms = GwShortage_AgeMs(GwRouter_Shortage(r), now_us);
    for (guint i = log->pairs->len; i > 0; i--) {
        Pair *pair = &g_array_index(log->pairs, Pair, i - 1);
        if (!pair->has_demand) {
            pair->view.threshold = GW_SHORTAGE_LEVELS;
            pair->view.offered_ms_per_s = 0;
        }
        lines += log_change(pair, now_us, age_ms);
        if (!pair->is_short && !is_short(&pair->view) &&
            now_us - pair->logged_us >= LINE_PERIOD_US) {
            g_array_remove_index_fast(log->pairs, i - 1);
        }
    }
    return lines;
}

/* ---- Metrics and status -------------------------------------------------- */

static void
write_shortage(void *ctx, const GwNamedShortage *named)
{
    GString *out = ctx;
    char *service = g_strescape(named->service, NULL);
    char *region = g_strescape(named->region, NULL);

    g_string_append_printf(
        out,
        "gw_shortage_threshold{service=\"%s\",region=\"%s\"} %u\n"
        "gw_demand_ms_per_s{service=\"%s\",region=\"%s\"} %.0f\n",
        service, region, named->view->threshold, service, region,
        named->view->offered_ms_per_s);
    g_free(service);
    g_free(region);
}

void
GwShortages_WriteMetrics(GwRouter *r, int64_t now_us, GString *out)
{
    const GwShortage *shortage = GwRouter_Shortage(r);

    if (shortage == NULL) {
        return;
    }
    g_string_append_printf(
        out,
        "# TYPE gw_shortage_age_ms gauge\ngw_shortage_age_ms %" PRId64 "\n",
        GwShortage_AgeMs(shortage, now_us));
    GwRouter_EachShortage(r, now_us, write_shortage, out);
}

static void
add_shortage(void *ctx, const GwNamedShortage *named)
{
    const GwShortageView *view = named->view;

    if (!is_short(view)) {
        return;
    }
    struct json_object *item = json_object_new_object();
    GwJson_SetText(item, "service", named->service);
    GwJson_SetText(item, "region", named->region);
    GwJson_SetU64(item, "threshold", view->threshold);
    GwJson_SetU64(item, "offered_ms_per_s", (uint64_t)view->offered_ms_per_s);
    GwJson_SetU64(item, "slots", (uint64_t)view->slots);
    GwJson_SetU64(item, "busy", (uint64_t)view->busy);
    json_object_array_add(ctx, item);
}

struct json_object *
GwShortages_Json(const GwRouter *r, int64_t now_us)
{
    struct json_object *all = json_object_new_array();

    GwRouter_EachShortage(r, now_us, add_shortage, all);
    return all;
}
