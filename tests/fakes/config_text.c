/* Configuration documents for the fixture. */
#include "fakes/cluster.h"

static void
add_places(GString *text, uint32_t regions, uint32_t services,
           uint32_t backends, uint32_t slots)
{
    const char *comma = "";
    uint32_t port = 1;

    for (uint32_t s = 0; s < services; s++) {
        for (uint32_t r = 0; r < regions; r++) {
            g_string_append_printf(text,
                                   "%s{\"service\":\"s%u\",\"region\":\"r%u\","
                                   "\"backends\":[",
                                   comma, s, r);
            for (uint32_t b = 0; b < backends; b++, port++) {
                g_string_append_printf(
                    text,
                    "%s{\"name\":\"b%u-%u\",\"address\":\"10.%u.%u.%u:80\","
                    "\"slots\":%u,\"connections\":330}",
                    b == 0 ? "" : ",", r, b, 1 + port / 62500,
                    port / 250 % 250, port % 250, slots);
            }
            g_string_append(text, "]}");
            comma = ",";
        }
    }
}

static void
add_shifts(GString *text, uint32_t regions, uint32_t services, uint32_t cap)
{
    const char *comma = "";

    for (uint32_t s = 0; cap > 0 && s < services; s++) {
        for (uint32_t a = 0; a < regions; a++) {
            for (uint32_t b = 0; b < regions; b++) {
                if (a == b) {
                    continue;
                }
                g_string_append_printf(text,
                                       "%s{\"service\":\"s%u\",\"from\":"
                                       "\"r%u\",\"to\":\"r%u\",\"cap\":%u,"
                                       "\"percent\":0}",
                                       comma, s, a, b, cap);
                comma = ",";
            }
        }
    }
}

char *
FakeConfig_Text(uint32_t regions, uint32_t services, uint32_t backends,
                uint32_t slots, uint32_t cap, uint32_t seats)
{
    GString *text = g_string_new("{\"warmup_step\":20,\"regions\":[");

    for (uint32_t r = 0; r < regions; r++) {
        g_string_append_printf(text, "%s{\"name\":\"r%u\",\"seats\":%u}",
                               r == 0 ? "" : ",", r, seats);
    }
    g_string_append(text, "],\"services\":[");
    for (uint32_t s = 0; s < services; s++) {
        g_string_append_printf(
            text,
            "%s{\"name\":\"s%u\",\"deadline_max_ms\":10000,"
            "\"hedge_percentile\":%u,\"operations\":[{\"method\":\"GET\","
            "\"path\":\"/*\",\"idempotent\":true}]}",
            s == 0 ? "" : ",", s, s == 1 ? 90 : 0);
    }
    g_string_append(text, "],\"places\":[");
    add_places(text, regions, services, backends, slots);
    g_string_append(text, "],\"shifts\":[");
    add_shifts(text, regions, services, cap);
    g_string_append(text, "],\"links\":[]}");
    return g_string_free(text, FALSE);
}
