/* Matching of hosts and paths to routes, with and without the index. */
#include "route/route.h"

#include <criterion/criterion.h>
#include <string.h>

static void
set_route(GwRoute *route, const char *name, const char *prefix)
{
    *route = (GwRoute){.name = g_strdup(name), .prefix = g_strdup(prefix)};
}

static GwRouting *
create_routing(void)
{
    GwRouting *r = GwRouting_Create(2, 0);

    r->hosts[0].host = g_strdup("a.example");
    r->hosts[0].route_count = 3;
    r->hosts[0].routes = g_new0(GwRoute, 3);
    set_route(&r->hosts[0].routes[0], "short", "/x/");
    set_route(&r->hosts[0].routes[1], "long", "/x/y/");
    set_route(&r->hosts[0].routes[2], "other", "/z/");
    r->hosts[1].host = g_strdup("b.example");
    r->hosts[1].route_count = 1;
    r->hosts[1].routes = g_new0(GwRoute, 1);
    set_route(&r->hosts[1].routes[0], "all", "/");
    GwRouting_Seal(r);
    return r;
}

Test(route, longest_prefix_of_the_host_matches)
{
    static const struct {
        const char *host;
        const char *path;
        const char *route; /* NULL: none */
    } cases[] = {
        {"a.example", "/x/1", "short"},
        {"a.example", "/x/y/1", "long"},
        {"a.example", "/x/y", "short"},
        {"a.example", "/x/", "short"},
        {"a.example", "/x", NULL},
        {"a.example", "/x?/x/", NULL},
        {"a.example", "/x/?/x/y/", "short"},
        {"A.Example:8080", "/z/", "other"},
        {"a.example.org", "/z/", NULL},
        {"b.example", "/anything", "all"},
        {"c.example", "/x/", NULL},
        {"", "/x/", NULL},
    };
    GwRouting *r = create_routing();

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const GwRoute *route =
            GwRouting_Match(r, cases[i].host, cases[i].path);
        if (cases[i].route == NULL) {
            cr_expect_null(route, "%s%s", cases[i].host, cases[i].path);
            continue;
        }
        cr_assert_not_null(route, "%s%s", cases[i].host, cases[i].path);
        cr_expect_str_eq(route->name, cases[i].route);
    }
    GwRouting_Unref(r);
}

/* With 700 routes on each of three hosts, the index finds the same route as a
 * linear search for the longest matching prefix. */
Test(route, index_finds_the_longest_prefix)
{
    GwRouting *r = GwRouting_Create(3, 0);
    uint32_t seed = 7;

    for (uint32_t h = 0; h < 3; h++) {
        GwRouteHost *host = &r->hosts[h];
        host->host = g_strdup_printf("%c%u.example", 'C' - (int)h, h);
        host->route_count = 700;
        host->routes = g_new0(GwRoute, 700);
        for (uint32_t i = 0; i < 700; i++) {
            char *prefix = i % 3 == 0 ? g_strdup_printf("/r%u/", i)
                           : i % 3 == 1
                               ? g_strdup_printf("/r%u/x/", i - 1)
                               : g_strdup_printf("/r%u/x/%u/", i - 2, i);
            set_route(&host->routes[i], prefix, prefix);
            g_free(prefix);
        }
    }
    GwRouting_Seal(r);
    for (uint32_t i = 0; i < 5000; i++) {
        seed = seed * 1103515245 + 12345;
        uint32_t n = seed / 65536 % 720;
        char host[32];
        char path[64];
        g_snprintf(host, sizeof(host), "%c%u.EXAMPLE:80", 'c' - (int)(i % 3),
                   i % 3);
        g_snprintf(path, sizeof(path),
                   i % 4 == 0   ? "/r%u/%u"
                   : i % 4 == 1 ? "/r%u/x/%u/"
                   : i % 4 == 2 ? "/r%u/x/%u/more?/r3/"
                                : "/r%u%u",
                   n, n + 2 - n % 3);
        const GwRoute *found = GwRouting_Match(r, host, path);
        const GwRoute *best = NULL;
        const GwRouteHost *h = &r->hosts[i % 3];
        for (uint32_t k = 0; k < h->route_count; k++) {
            const char *prefix = h->routes[k].prefix;
            size_t len = strlen(prefix);
            if (len <= strcspn(path, "?") && strncmp(prefix, path, len) == 0 &&
                (best == NULL || len > strlen(best->prefix))) {
                best = &h->routes[k];
            }
        }
        cr_assert_eq(found, best, "%s%s", host, path);
    }
    GwRouting_Unref(r);
}
