#include "edge/meters.h"

#include <criterion/criterion.h>
#include <string.h>

static char *
page_of(const GwMeters *meters)
{
    GString *out = g_string_new(NULL);

    GwMeters_Write(meters, out);
    return g_string_free(out, FALSE);
}

/* Each kind of end has its own histogram with cumulative buckets, as the
 * exposition format requires. */
Test(meters, ends_are_counted_in_their_buckets)
{
    static const struct {
        uint16_t
            status; /* of an answer made by the entry; 0: a server's answer */
        GwReplyReason why;
        uint32_t took_ms;
        const char *lines[3];
    } cases[] = {
        {0,
         GW_REPLY_NONE,
         250,
         {"gw_request_ms_bucket{route=\"r\",end=\"answered\",le=\"200\"} 0\n",
          "gw_request_ms_bucket{route=\"r\",end=\"answered\",le=\"250\"} 1\n",
          "gw_request_ms_sum{route=\"r\",end=\"answered\"} 250\n"}},
        {503,
         GW_REPLY_NO_CAPACITY,
         0,
         {"gw_request_ms_bucket{route=\"r\",end=\"not-run\",le=\"5\"} 1\n",
          "gw_request_ms_count{route=\"r\",end=\"not-run\"} 1\n",
          "gw_replies_total{why=\"no-room\"} 1\n"}},
        {502,
         GW_REPLY_MAY_HAVE_RUN,
         99999,
         {"gw_request_ms_bucket{route=\"r\",end=\"unknown\",le=\"10000\"} 0\n",
          "gw_request_ms_bucket{route=\"r\",end=\"unknown\",le=\"+Inf\"} 1\n",
          "gw_replies_total{why=\"broken\"} 1\n"}},
        {404,
         GW_REPLY_NO_ROUTE,
         1,
         {"gw_request_ms_count{route=\"r\",end=\"no-route\"} 1\n",
          "gw_replies_total{why=\"no-route\"} 1\n",
          "gw_replies_total{why=\"broken\"} 0\n"}},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwMeters *meters = GwMeters_Create();
        GwRequestEnd end = cases[i].status == 0
                               ? GW_END_ANSWERED
                               : GwRequestEnd_OfReply(cases[i].status);
        GwMeters_Add(meters, "r", end, cases[i].why, cases[i].took_ms);
        char *page = page_of(meters);
        for (size_t k = 0; k < 3; k++) {
            cr_expect_not_null(strstr(page, cases[i].lines[k]),
                               "case %zu lacks %s", i, cases[i].lines[k]);
        }
        g_free(page);
        GwMeters_Free(meters);
    }
}

/* Operators add hundreds of routes: the size of the page and the memory must
 * be bounded, and every request must be counted. */
Test(meters, routes_beyond_the_limit_are_counted_together)
{
    GwMeters *meters = GwMeters_Create();
    char name[16];

    for (int i = 0; i < 300; i++) {
        g_snprintf(name, sizeof(name), "r%d", i);
        GwMeters_Add(meters, name, GW_END_ANSWERED, GW_REPLY_NONE, 1);
    }
    char *page = page_of(meters);
    cr_expect_not_null(strstr(
        page, "gw_request_ms_count{route=\"(other)\",end=\"answered\"} 44\n"));
    g_free(page);
    GwMeters_Free(meters);
}

/* A quote in a route's name must not end the label value. */
Test(meters, route_names_are_escaped)
{
    GwMeters *meters = GwMeters_Create();

    GwMeters_Add(meters, "a\"b", GW_END_DISCONNECTED, GW_REPLY_NONE, 1);
    char *page = page_of(meters);
    cr_expect_not_null(strstr(page, "{route=\"a\\\"b\",end=\"left\"}"));
    g_free(page);
    GwMeters_Free(meters);
}
