#include "route/route.h"

#include <criterion/criterion.h>

static void
add_route(GwRoute *route, const char *name, const char *prefix)
{
    *route = (GwRoute){.name = g_strdup(name), .prefix = g_strdup(prefix)};
}

static GwRouting *
sample(void)
{
    GwRouting *r = GwRouting_Create(2, 0);

    r->hosts[0].host = g_strdup("a.example");
    r->hosts[0].route_count = 3;
    r->hosts[0].routes = g_new0(GwRoute, 3);
    add_route(&r->hosts[0].routes[0], "short", "/x/");
    add_route(&r->hosts[0].routes[1], "long", "/x/y/");
    add_route(&r->hosts[0].routes[2], "other", "/z/");
    r->hosts[1].host = g_strdup("b.example");
    r->hosts[1].route_count = 1;
    r->hosts[1].routes = g_new0(GwRoute, 1);
    add_route(&r->hosts[1].routes[0], "all", "/");
    GwRouting_Seal(r);
    return r;
}

Test(route, host_and_longest_prefix_decide)
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
    GwRouting *r = sample();

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
