/* What operators see of a shortage: log lines, metrics and status. */
#include "edge/shortages.h"
#include "fakes/steering.h"

#include <criterion/criterion.h>
#include <json-c/json.h>
#include <string.h>

#define START_US 1000000000
#define STEP_US  250000

typedef struct {
    GwRouter *router;
    GwShortageLog *log;
    GArray *actions;
} Ctx;

static Ctx
create(bool has_overload_control)
{
    GwRouterParams params = {.name = "e1",
                             .region = "r1",
                             .domain = "d1",
                             .overload_control = has_overload_control};
    Ctx c = {.router = GwRouter_Create(&params, START_US),
             .log = GwShortageLog_Create(),
             .actions = g_array_new(FALSE, FALSE, sizeof(GwRouterAction))};
    GwServerInfo info = FakeSteering_Info("s1", "s\"1", "r1", "d1", 4);

    GwRouter_PutServer(c.router, START_US, &info, c.actions);
    return c;
}

static void
destroy(Ctx *c)
{
    GwShortageLog_Free(c->log);
    GwRouter_Free(c->router);
    g_array_free(c->actions, TRUE);
}

/* Demand of `offered_ms` per second at level 3, for 4 busy slots. */
static void
put(const Ctx *c, int64_t now_us, uint32_t service, uint32_t offered_ms)
{
    GwDemand demand = {.service = service, .region = GwService_Hash("r1")};

    demand.work_ms_per_s[3] = offered_ms;
    GwShortage_PutCapacity(GwRouter_Shortage(c->router), now_us, service,
                           demand.region, 4, 4);
    GwShortage_PutTotal(GwRouter_Shortage(c->router), now_us, 0, &demand, 1);
}

/* Guards against: a shortage that is not logged or whose end is not, also when
 * the demand or the total is gone, and a log that a moving threshold fills. */
Test(edge_shortages, each_change_is_logged_once_and_at_most_once_a_second)
{
    enum { SHORT = 9000, ENOUGH = 1000, NO_DEMAND = 1, LOST = 0 };
    static const struct {
        const char *name;
        uint32_t offered_ms[16]; /* at steps of 250 ms */
        uint32_t lines[16];
    } cases[] = {
        {"no shortage", {ENOUGH, ENOUGH, ENOUGH, ENOUGH, ENOUGH}, {0}},
        {"begins and ends",
         {ENOUGH, SHORT, SHORT, SHORT, SHORT, SHORT, ENOUGH, ENOUGH},
         {0, 1, 0, 0, 0, 0, 1}},
        {"a short one: its end is logged a second after its begin",
         {SHORT, ENOUGH, ENOUGH, ENOUGH, ENOUGH, ENOUGH},
         {1, 0, 0, 0, 1}},
        {"to and fro at each step",
         {SHORT, ENOUGH, SHORT, ENOUGH, SHORT, ENOUGH, SHORT, ENOUGH, SHORT,
          ENOUGH, SHORT, ENOUGH},
         {1, 0, 0, 0, 0, 1, 0, 0, 0, 0, 1, 0, 0, 0, 1}},
        {"demand is gone",
         {SHORT, SHORT, SHORT, SHORT, SHORT, NO_DEMAND, NO_DEMAND},
         {1, 0, 0, 0, 0, 1}},
        {"no total for 2 s",
         {SHORT, LOST, LOST, LOST, LOST, LOST, LOST, LOST, LOST, LOST, LOST},
         {1, 0, 0, 0, 0, 0, 0, 0, 0, 1}},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Ctx c = create(true);
        for (uint32_t k = 0; k < 16; k++) {
            int64_t now_us = START_US + k * STEP_US;
            uint32_t offered_ms = cases[i].offered_ms[k];
            if (offered_ms > NO_DEMAND) {
                put(&c, now_us, GwService_Hash("s\"1"), offered_ms);
            }
            else if (offered_ms == NO_DEMAND) {
                GwShortage_PutTotal(GwRouter_Shortage(c.router), now_us, 0,
                                    NULL, 0);
            }
            cr_expect_eq(GwShortageLog_Update(c.log, c.router, now_us),
                         cases[i].lines[k], "%s: step %u", cases[i].name, k);
            cr_expect_eq(GwShortageLog_Update(c.log, c.router, now_us + 1), 0,
                         "%s: looked at too often", cases[i].name);
        }
        destroy(&c);
    }
}

/* Guards against: names that break the text format, a service that this entry
 * doesn't know left out, and metrics without overload control. */
Test(edge_shortages, metrics_and_status_name_service_and_region)
{
    static const struct {
        const char *name;
        const char *service;
        uint32_t offered_ms;
        bool has_overload_control;
        const char *metrics;
        const char *status;
    } cases[] = {
        {"short", "s\"1", 8000, true,
         "# TYPE gw_shortage_age_ms gauge\ngw_shortage_age_ms 0\n"
         "gw_shortage_threshold{service=\"s\\\"1\",region=\"r1\"} 3\n"
         "gw_demand_ms_per_s{service=\"s\\\"1\",region=\"r1\"} 8000\n",
         "[{\"service\":\"s\\\"1\",\"region\":\"r1\",\"threshold\":3,"
         "\"offered_ms_per_s\":8000,\"slots\":4,\"busy\":4}]"},
        {"enough", "s\"1", 1000, true,
         "# TYPE gw_shortage_age_ms gauge\ngw_shortage_age_ms 0\n"
         "gw_shortage_threshold{service=\"s\\\"1\",region=\"r1\"} 16\n"
         "gw_demand_ms_per_s{service=\"s\\\"1\",region=\"r1\"} 1000\n",
         "[]"},
        {"unknown service", NULL, 8000, true,
         "# TYPE gw_shortage_age_ms gauge\ngw_shortage_age_ms 0\n"
         "gw_shortage_threshold{service=\"000000ab\",region=\"r1\"} 3\n"
         "gw_demand_ms_per_s{service=\"000000ab\",region=\"r1\"} 8000\n",
         "[{\"service\":\"000000ab\",\"region\":\"r1\",\"threshold\":3,"
         "\"offered_ms_per_s\":8000,\"slots\":4,\"busy\":4}]"},
        {"no total", NULL, 0, true,
         "# TYPE gw_shortage_age_ms gauge\ngw_shortage_age_ms -1\n", "[]"},
        {"off", NULL, 0, false, "", "[]"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Ctx c = create(cases[i].has_overload_control);
        GString *metrics = g_string_new(NULL);
        if (cases[i].offered_ms > 0) {
            put(&c, START_US,
                cases[i].service != NULL ? GwService_Hash(cases[i].service)
                                         : 0xab,
                cases[i].offered_ms);
        }
        GwShortages_WriteMetrics(c.router, START_US, metrics);
        cr_expect_str_eq(metrics->str, cases[i].metrics, "%s: %s",
                         cases[i].name, metrics->str);
        struct json_object *all = GwShortages_Json(c.router, START_US);
        const char *text =
            json_object_to_json_string_ext(all, JSON_C_TO_STRING_PLAIN);
        cr_expect_str_eq(text, cases[i].status, "%s: %s", cases[i].name, text);
        json_object_put(all);
        g_string_free(metrics, TRUE);
        destroy(&c);
    }
}
