/* Counters of control traffic: metrics and the log line. */
#include "edge/control_cost.h"

#include <criterion/criterion.h>
#include <string.h>

/* A kind or distance without its own name would be counted under another. */
Test(control_cost, each_kind_and_way_has_its_counter)
{
    GwControlCost cost = {{{0}}};
    GString *out = g_string_new(NULL);
    uint64_t next = 1;

    for (int kind = 0; kind < GW_CONTROL_KIND_COUNT; kind++) {
        for (int way = 0; way < GW_DISTANCE_COUNT; way++) {
            cost.bytes[kind][way] = next++;
        }
    }
    GwControlCost_Write(&cost, out);
    cr_expect_not_null(
        strstr(out->str, "{kind=\"signs\",way=\"domain\"} 1\n"));
    cr_expect_not_null(strstr(out->str, "{kind=\"sums\",way=\"far\"} 9\n"));
    cr_expect_not_null(strstr(out->str, "{kind=\"rows\",way=\"far\"} 15\n"));
    cr_expect_not_null(
        strstr(out->str, "{kind=\"suspects\",way=\"far\"} 18\n"));
    cr_expect_not_null(strstr(out->str, "{kind=\"quotas\",way=\"far\"} 21\n"));
    cr_expect_not_null(strstr(out->str, "{kind=\"demand\",way=\"far\"} 24\n"));
    cr_expect_eq(GwControlCost_Total(&cost), 24 * 25 / 2);
    g_string_free(out, TRUE);
}

Test(control_cost, line_gives_bytes_since_the_last)
{
    GwControlCost before = {{{0}}};
    GString *out = g_string_new(NULL);

    before.bytes[GW_CONTROL_ROWS][GW_DISTANCE_REGION] = 100;
    GwControlCost now = before;
    now.bytes[GW_CONTROL_ROWS][GW_DISTANCE_REGION] += 5;
    now.bytes[GW_CONTROL_LIVENESS][GW_DISTANCE_DOMAIN] += 7;
    GwControlCost_WriteLine(&now, &before, out);
    cr_expect_str_eq(out->str, " signs=7/0/0 loads=0/0/0 sums=0/0/0 "
                               "places=0/0/0 rows=0/5/0 suspects=0/0/0 "
                               "quotas=0/0/0 demand=0/0/0");
    g_string_free(out, TRUE);
}
