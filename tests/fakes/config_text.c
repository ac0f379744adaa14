/* Configuration documents for the fixture. */
#include "fakes/cluster.h"

/* The servers of a service are dealt to the regions in turn. */
static void
add_place(GString *text, const FakeServiceSize *size, uint32_t service,
          uint32_t region, uint32_t regions, uint32_t *port)
{
    const char *comma = "";

    g_string_append_printf(
        text, "{\"service\":\"s%u\",\"region\":\"r%u\",%s\"backends\":[",
        service, region,
        size->drain_place == region + 1 ? "\"drain\":true," : "");
    for (uint32_t b = region; b < size->backends; b += regions) {
        g_string_append_printf(
            text,
            "%s{\"name\":\"b%u-%u\",\"address\":\"10.%u.%u.%u:80\","
            "\"slots\":%u,\"connections\":330}",
            comma, region, b / regions, 1 + *port / 62500, *port / 250 % 250,
            *port % 250, size->slots);
        comma = ",";
        (*port)++;
    }
    g_string_append(text, "]}");
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
FakeConfig_Sized(uint32_t regions, uint32_t services,
                 const FakeServiceSize *sizes, uint32_t cap, uint32_t seats)
{
    GString *text = g_string_new("{\"warmup_step\":20,\"regions\":[");
    uint32_t port = 1;

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
    for (uint32_t s = 0; s < services; s++) {
        for (uint32_t r = 0; r < regions; r++) {
            g_string_append(text, s + r == 0 ? "" : ",");
            add_place(text, &sizes[s], s, r, regions, &port);
        }
    }
    g_string_append(text, "],\"shifts\":[");
    add_shifts(text, regions, services, cap);
    g_string_append(text, "],\"links\":[]}");
    return g_string_free(text, FALSE);
}

char *
FakeConfig_Text(uint32_t regions, uint32_t services, uint32_t backends,
                uint32_t slots, uint32_t cap, uint32_t seats)
{
    FakeServiceSize sizes[FAKE_SERVICES_MAX];

    g_assert(services <= FAKE_SERVICES_MAX);
    for (uint32_t s = 0; s < services; s++) {
        sizes[s] =
            (FakeServiceSize){.backends = backends * regions, .slots = slots};
    }
    return FakeConfig_Sized(regions, services, sizes, cap, seats);
}
