/* Previews of a decision: they say what an arrival would lead to, and change
 * nothing. */
#include "common/json.h"
#include "router/router.h"
#include "unit/steering_cases.h"

#include <criterion/criterion.h>
#include <json-c/json.h>
#include <string.h>

#define MS 1000

static struct json_object *
preview(FakeSteering *f, const char *host, const char *path, const char *key)
{
    GwArrival arrival = {.host = host,
                         .path = path,
                         .key = key,
                         .credential = f->credential,
                         .left_us = 3000 * MS};
    GString *out = g_string_new(NULL);

    GwRouter_Preview(f->router, f->now_us, &arrival, out);
    struct json_object *json = json_tokener_parse(out->str);
    g_string_free(out, TRUE);
    return json;
}

static char *
dump(const FakeSteering *f)
{
    GString *out = g_string_new(NULL);

    GwRouter_Dump(f->router, f->now_us, out);
    return g_string_free(out, FALSE);
}

/* Guards against: a preview names another server than the one to which the
 * request then goes. */
Test(router_preview, says_where_the_next_request_goes)
{
    static const char *const keys[] = {"a", "b", "c", "a", "a", NULL, "b"};
    FakeSteering *f = Steering_Start(2);

    FakeSteering_PutServer(f, "near1", "r1", "d1", 4);
    FakeSteering_PutServer(f, "near2", "r1", "d1", 4);
    FakeSteering_PutServer(f, "far", "r2", "d2", 4);
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        struct json_object *page = preview(f, "h", "/again/x", keys[i]);
        FakeRequest *req = FakeSteering_Arrive(f, "/again/x", keys[i], 3000);
        cr_expect_str_eq(GwJson_GetText(page, "decision"), "send");
        cr_expect_str_eq(GwJson_GetText(page, "server"), req->server_id,
                         "request %zu", i);
        json_object_put(page);
        FakeSteering_Advance(f, 20 * MS);
    }
    Steering_Finish(f);
}

/* Guards against: asking where a request would go moves a counter, a queue or
 * a placement, and so changes where the next one goes. */
Test(router_preview, changes_nothing)
{
    FakeSteering *f = Steering_Start(2);

    FakeSteering_PutServer(f, "near1", "r1", "d1", 1);
    FakeSteering_PutServer(f, "near2", "r1", "d1", 1);
    (void)FakeSteering_Arrive(f, "/again/x", "a", 3000);
    char *before = dump(f);
    for (int i = 0; i < 50; i++) {
        struct json_object *page =
            preview(f, "h", i % 2 == 0 ? "/again/x" : "/once/y", "new");
        json_object_put(page);
    }
    char *after = dump(f);
    cr_expect_str_eq(before, after);
    cr_expect_eq(GwRouter_OpenCount(f->router), 1);
    g_free(before);
    g_free(after);
    Steering_Finish(f);
}

/* Guards against: a request that would be refused is shown without the
 * reason. */
Test(router_preview, says_why_a_request_is_refused)
{
    static const struct {
        const char *host;
        const char *path;
        bool has_servers;
        const char *why;
    } cases[] = {
        {"h", "/no-route/", true, "no-route"},
        {"other", "/again/x", true, "no-route"},
        {"h", "/again/x", false, "no-server"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        FakeSteering *f = Steering_Start(2);
        if (cases[i].has_servers) {
            FakeSteering_PutServer(f, "near", "r1", "d1", 4);
        }
        struct json_object *page =
            preview(f, cases[i].host, cases[i].path, NULL);
        cr_expect_str_eq(GwJson_GetText(page, "decision"), "refuse");
        cr_expect_str_eq(GwJson_GetText(page, "why"), cases[i].why, "case %zu",
                         i);
        json_object_put(page);
        Steering_Finish(f);
    }
}

/* Guards against: servers that can't be chosen are listed as if they could. */
Test(router_preview, names_what_excludes_a_server)
{
    FakeSteering *f = Steering_Start(2);

    FakeSteering_PutServer(f, "leaves", "r1", "d1", 4);
    FakeSteering_PutServer(f, "good", "r1", "d1", 4);
    FakeSteering_DrainServer(f, "leaves");
    struct json_object *page = preview(f, "h", "/again/x", NULL);
    struct json_object *list = json_object_object_get(page, "candidates");
    cr_assert_eq(json_object_array_length(list), 2);
    struct json_object *first = json_object_array_get_idx(list, 0);
    struct json_object *last = json_object_array_get_idx(list, 1);
    cr_expect_str_eq(GwJson_GetText(first, "server"), "good");
    cr_expect_str_eq(GwJson_GetText(first, "ineligible"), "");
    cr_expect_str_eq(GwJson_GetText(last, "ineligible"), "leaving");
    json_object_put(page);
    Steering_Finish(f);
}
