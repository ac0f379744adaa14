/* CPU time of matching a request to a route, and of reading the configuration,
 * by number of routes. An instance with a tenth of a core does both while it
 * serves callers. usage: bench_route_match */
#include "platform/platform.h"
#include "route/route.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#define ROUNDS 200000

static double
cpu_us(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static char *
make_config(uint32_t routes)
{
    GString *out = g_string_new("{\"version\":7,\"services\":[{\"name\":"
                                "\"s\"}],\"hosts\":[{\"host\":\"h\","
                                "\"paths\":[");

    for (uint32_t i = 0; i < routes; i++) {
        g_string_append_printf(
            out,
            "%s{\"name\":\"r%u\",\"prefix\":\"/r%u/\",\"kind\":\"safe\","
            "\"service\":\"s\",\"timeout\":\"800ms\",\"objective\":"
            "\"300ms\",\"priority\":1,\"max_attempts\":2}",
            i > 0 ? "," : "", i, i);
    }
    g_string_append(out, "]}]}");
    return g_string_free(out, FALSE);
}

static void
measure(uint32_t routes)
{
    char *text = make_config(routes);
    double start = cpu_us();
    GwRouting *r = Platform_ReadConfig(text, NULL);
    double read_us = cpu_us() - start;
    uint32_t found = 0;
    char path[32];

    start = cpu_us();
    for (uint32_t i = 0; i < ROUNDS; i++) {
        g_snprintf(path, sizeof(path), "/r%u/x", i % routes);
        found += GwRouting_Match(r, "h", path) != NULL;
    }
    double match_us = (cpu_us() - start) / ROUNDS;
    printf("%6u routes, %7zu bytes: read in %8.0f us, found in %.2f us (%u)\n",
           routes, strlen(text), read_us, match_us, found);
    GwRouting_Unref(r);
    g_free(text);
}

int
main(void)
{
    static const uint32_t sizes[] = {4, 100, 500, 2000, 5000};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        measure(sizes[i]);
    }
    return 0;
}
