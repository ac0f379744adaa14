/* Configuration documents for the cluster simulation. */
#include "fakes/cluster.h"

static bool
is_place_omitted(const FakeConfigSpec *spec, uint32_t s, uint32_t r)
{
    bool here = spec->region == r;
    return (spec->without_service && s == 0) ||
           (spec->without_place && here && s == 0);
}

/* Distributes the servers of a service with its own size over the regions,
 * round robin. */
static void
add_distributed_backends(GString *text, const FakeConfigSpec *spec, uint32_t s,
                         uint32_t r)
{
    const FakeServiceSize *size = &spec->sizes[s];

    for (uint32_t b = r; b < size->backends; b += spec->regions) {
        uint32_t port = 1 + s * 4096 + b;
        g_string_append_printf(
            text,
            "%s{\"name\":\"b%u-%u\",\"address\":\"10.%u.%u.%u:80\","
            "\"slots\":%u,\"connections\":330}",
            b == r ? "" : ",", r, b / spec->regions, 1 + port / 62500,
            port / 250 % 250, port % 250, size->slots);
    }
}

static void
add_backends(GString *text, const FakeConfigSpec *spec, uint32_t s, uint32_t r,
             uint32_t port)
{
    const char *comma = "";

    for (uint32_t b = 0; b < spec->backends; b++, port++) {
        bool special = spec->region == r && s == 0 && b == 0;
        if (special && spec->without_backend) {
            continue;
        }
        g_string_append_printf(
            text,
            "%s{\"name\":\"b%u-%u\",\"address\":\"10.%u.%u.%u:80\","
            "\"slots\":%u,\"connections\":330}",
            comma, r, b, 1 + port / 62500, port / 250 % 250, port % 250,
            spec->lowered_slots ? spec->slots - 1 : spec->slots);
        comma = ",";
    }
}

static bool
is_drained(const FakeConfigSpec *spec, uint32_t s, uint32_t r)
{
    if (spec->sizes != NULL) {
        return spec->sizes[s].drain_place == r + 1;
    }
    return spec->drain_place && s == 0 && spec->region == r;
}

static void
add_places(GString *text, const FakeConfigSpec *spec)
{
    const char *comma = "";
    uint32_t port = 1;

    for (uint32_t s = 0; s < spec->services; s++) {
        for (uint32_t r = 0; r < spec->regions; r++, port += spec->backends) {
            bool drained = is_drained(spec, s, r);
            if (is_place_omitted(spec, s, r)) {
                continue;
            }
            g_string_append_printf(
                text,
                "%s{\"service\":\"s%u\",\"region\":\"r%u\",%s"
                "\"backends\":[",
                comma, s, r, drained ? "\"drain\":true," : "");
            if (spec->sizes != NULL) {
                add_distributed_backends(text, spec, s, r);
            }
            else {
                add_backends(text, spec, s, r, port);
            }
            g_string_append(text, "]}");
            comma = ",";
        }
    }
}

static void
add_shifts(GString *text, const FakeConfigSpec *spec)
{
    const char *comma = "";

    for (uint32_t s = spec->without_service ? 1 : 0;
         spec->cap > 0 && s < spec->services; s++) {
        for (uint32_t pair = 0; pair < spec->regions * spec->regions; pair++) {
            uint32_t a = pair / spec->regions;
            uint32_t b = pair % spec->regions;
            if (a == b || is_place_omitted(spec, s, b)) {
                continue;
            }
            g_string_append_printf(
                text,
                "%s{\"service\":\"s%u\",\"from\":\"r%u\",\"to\":\"r%u\","
                "\"cap\":%u,\"percent\":%u}",
                comma, s, a, b, spec->cap,
                spec->region == a && (a + 1) % spec->regions == b
                    ? spec->percent
                    : 0);
            comma = ",";
        }
    }
}

char *
FakeConfig_Build(const FakeConfigSpec *spec)
{
    GString *text = g_string_new("{\"warmup_step\":20,\"regions\":[");
    uint32_t first = spec->without_service ? 1 : 0;

    for (uint32_t r = 0; r < spec->regions; r++) {
        g_string_append_printf(text, "%s{\"name\":\"r%u\",\"seats\":%u}",
                               r == 0 ? "" : ",", r, spec->seats);
    }
    g_string_append(text, "],\"services\":[");
    for (uint32_t s = first; s < spec->services; s++) {
        g_string_append_printf(
            text,
            "%s{\"name\":\"s%u\",\"deadline_max_ms\":10000,"
            "\"hedge_percentile\":%u,\"operations\":[{\"method\":\"GET\","
            "\"path\":\"/*\",\"idempotent\":true}]}",
            s == first ? "" : ",", s, s == 1 ? 90 : 0);
    }
    g_string_append(text, "],\"places\":[");
    add_places(text, spec);
    g_string_append(text, "],\"shifts\":[");
    add_shifts(text, spec);
    g_string_append(text, "],\"links\":[]}");
    return g_string_free(text, FALSE);
}

char *
FakeConfig_Text(uint32_t regions, uint32_t services, uint32_t backends,
                uint32_t slots, uint32_t cap, uint32_t seats)
{
    FakeConfigSpec spec = {.regions = regions,
                           .services = services,
                           .backends = backends,
                           .slots = slots,
                           .cap = cap,
                           .seats = seats,
                           .region = GW_NONE};
    return FakeConfig_Build(&spec);
}

char *
FakeConfig_Sized(uint32_t regions, uint32_t services,
                 const FakeServiceSize *sizes, uint32_t cap, uint32_t seats)
{
    FakeConfigSpec spec = {.regions = regions,
                           .services = services,
                           .sizes = sizes,
                           .cap = cap,
                           .seats = seats,
                           .region = GW_NONE};
    return FakeConfig_Build(&spec);
}
