#include "edge/control_cost.h"

#include <inttypes.h>

const char *
GwControlKind_Name(GwControlKind kind)
{
    static const char *const names[GW_CONTROL_KIND_COUNT] = {
        [GW_CONTROL_LIVENESS] = "signs", [GW_CONTROL_LOADS] = "loads",
        [GW_CONTROL_SUMS] = "sums",      [GW_CONTROL_PLACEMENTS] = "places",
        [GW_CONTROL_ROWS] = "rows",      [GW_CONTROL_SUSPECTS] = "suspects",
        [GW_CONTROL_QUOTAS] = "quotas",  [GW_CONTROL_DEMAND] = "demand",
    };

    return names[kind];
}

const char *
GwDistance_Name(GwDistance distance)
{
    static const char *const names[GW_DISTANCE_COUNT] = {
        [GW_DISTANCE_DOMAIN] = "domain",
        [GW_DISTANCE_REGION] = "region",
        [GW_DISTANCE_REMOTE] = "far",
    };

    return names[distance];
}

uint64_t
GwControlCost_Total(const GwControlCost *cost)
{
    uint64_t total = 0;

    for (int kind = 0; kind < GW_CONTROL_KIND_COUNT; kind++) {
        for (int distance = 0; distance < GW_DISTANCE_COUNT; distance++) {
            total += cost->bytes[kind][distance];
        }
    }
    return total;
}

void
GwControlCost_Write(const GwControlCost *cost, GString *out)
{
    g_string_append(out, "# TYPE gw_control_bytes_total counter\n");
    for (int kind = 0; kind < GW_CONTROL_KIND_COUNT; kind++) {
        for (int distance = 0; distance < GW_DISTANCE_COUNT; distance++) {
            g_string_append_printf(
                out,
                "gw_control_bytes_total{kind=\"%s\",way=\"%s\"} %" PRIu64 "\n",
                GwControlKind_Name((GwControlKind)kind),
                GwDistance_Name((GwDistance)distance),
                cost->bytes[kind][distance]);
        }
    }
}

void
GwControlCost_WriteLine(const GwControlCost *cost, const GwControlCost *before,
                        GString *out)
{
    for (int kind = 0; kind < GW_CONTROL_KIND_COUNT; kind++) {
        g_string_append_printf(
            out, " %s=", GwControlKind_Name((GwControlKind)kind));
        for (int distance = 0; distance < GW_DISTANCE_COUNT; distance++) {
            g_string_append_printf(out, "%s%" PRIu64, distance > 0 ? "/" : "",
                                   cost->bytes[kind][distance] -
                                       before->bytes[kind][distance]);
        }
    }
}
