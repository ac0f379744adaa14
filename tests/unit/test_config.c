/* Parsing of configuration documents: valid ones, and the error for each kind
 * of invalid one. */
#include "config/model.h"
#include "godwitridge_errors.h"

#include <criterion/criterion.h>
#include <string.h>

#define REGIONS                                                               \
    "\"regions\": [{\"name\": \"ogre\", \"seats\": 12}, {\"name\": "          \
    "\"riga\", \"seats\": 12}]"
#define SERVICES                                                              \
    "\"services\": [{\"name\": \"vatdesk\", \"deadline_max_ms\": 10000, "     \
    "\"operations\": [{\"method\": \"GET\", \"path\": \"/recipes*\", "        \
    "\"idempotent\": true}, {\"method\": \"GET\", \"path\": "                 \
    "\"/recipes/issue\"}, {\"method\": \"GET\", \"path\": \"/batch\", "       \
    "\"idempotent\": true}]}]"
#define BACKEND(name, port, slots)                                            \
    "{\"name\": \"" name "\", \"address\": \"127.0.0.1:" port "\", "          \
    "\"slots\": " slots "}"
#define PLACES(list)                                                          \
    "\"places\": [{\"service\": \"vatdesk\", \"region\": \"ogre\", "          \
    "\"backends\": [" list "]}]"
#define GOOD                                                                  \
    "{ /* dye house */ " REGIONS ", " SERVICES                                \
    ", " PLACES(BACKEND("vd-1", "9001", "6") ", " BACKEND(                    \
        "vd-2", "9002",                                                       \
        "6")) ", \"shifts\": [{\"service\": \"vatdesk\", \"from\": "          \
              "\"riga\", "                                                    \
              "\"to\": \"ogre\", \"cap\": 12, \"percent\": 10}], \"links\": " \
              "[{\"from\": \"riga\", \"to\": \"ogre\", \"cap\": 50}] } // "   \
              "end"

static GwConfig *
parse(const char *text, GError **error)
{
    return GwConfig_Parse(text, (uint32_t)strlen(text), 7, error);
}

Test(config, a_good_document_keeps_its_order)
{
    GError *error = NULL;
    GwConfig *c = parse(GOOD, &error);
    cr_assert_not_null(c, "%s", error != NULL ? error->message : "");
    cr_assert_eq(c->version, 7);
    cr_assert_eq(c->backend_count, 2);
    cr_assert_str_eq(c->backends[1].name, "vd-2");
    cr_assert_eq(c->places[0].backend_count, 2);
    cr_assert_eq(c->warmup_step, 4);
    cr_assert_eq(GwConfig_FindBackend(c, c->backends[1].id), 1);
    cr_assert_eq(GwConfig_FindShift(c, 0, 1, 0), 0);
    cr_assert_eq(GwConfig_FindShift(c, 0, 0, 1), GW_NONE);
    cr_assert_eq(GwConfig_FindLink(c, 1, 0), 0);
    cr_assert_eq(GwConfig_FindPlace(c, 0, 1), GW_NONE);
    cr_assert_str_eq(c->text, GOOD);
    GwConfig_Free(c);
}

Test(config, the_longest_match_decides_and_ambiguous_paths_are_non_idempotent)
{
    static const struct {
        const char *method;
        const char *path;
        bool idempotent;
    } cases[] = {
        {"GET", "/recipes/12", true},
        {"GET", "/recipes?x=..", true},
        {"GET", "/recipes/issue", false},
        {"GET", "/recipes/issue?dose=2", false},
        {"GET", "/batch", true},
        {"GET", "/batch?n=1", true},
        {"GET", "/batch/2", false},
        {"POST", "/recipes/12", false},
        {"GET", "/recipes/../dose", false},
        {"GET", "/recipes/%2E%2e/dose", false},
        {"GET", "/recipes/a%2Fb", false},
        {"GET", "/recipes//dose", false},
        {"GET", "/recipes/\\dose", false},
        {"GET", "/recipes/a.b%C3%A9?x=../..", true},
        {"GET", "/other", false},
    };
    GwConfig *c = parse(GOOD, NULL);
    cr_assert_not_null(c);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cr_expect_eq(
            GwConfig_IsIdempotent(c, 0, cases[i].method, cases[i].path),
            cases[i].idempotent, "%s %s", cases[i].method, cases[i].path);
    }
    cr_expect_not(GwConfig_IsIdempotent(c, GW_NONE, "GET", "/batch"));
    GwConfig_Free(c);
}

/* clang-format off */
static const struct {
    const char *text;
    GwResultCode code;
    const char *message;
} bad[] = {
    {"{", GW_RESULT_PARSE, "line 1: unexpected end of text"},
    {"{} x", GW_RESULT_PARSE, "line 1: text after the object"},
    {"{\n\n}\n/* open", GW_RESULT_PARSE, "line 4: unexpected end of text"},
    {"{\n\"a\": ]}", GW_RESULT_PARSE, "line 2: unexpected character"},
    {"[]", GW_RESULT_PARSE, "line 1: the text is not an object"},
    {"{}", GW_RESULT_INVALID, "regions: missing, must be given"},
    {"{\"regions\": []}", GW_RESULT_OUT_OF_BOUNDS,
     "regions: 0 items are below 1"},
    {"{" REGIONS ", \"place\": []}", GW_RESULT_UNKNOWN_KEY,
     "place: unknown key"},
    {"{" REGIONS ", \"warmup_step\": \"4\"}", GW_RESULT_WRONG_TYPE,
     "warmup_step: \"4\" is of type string, must be int"},
    {"{" REGIONS ", \"warmup_step\": -1}", GW_RESULT_OUT_OF_BOUNDS,
     "warmup_step: -1 is below 1"},
    {"{" REGIONS ", \"places\": [7]}", GW_RESULT_WRONG_TYPE,
     "places[0]: must be an object"},
    {"{\"regions\": [{\"name\": \"Ogre\", \"seats\": 1}]}",
     GW_RESULT_INVALID,
     "regions[0].name: \"Ogre\" is not a valid name: only a-z 0-9 - _ ."},
    {"{\"regions\": [{\"name\": \"a\", \"seats\": 1}, {\"name\": \"a\", "
     "\"seats\": 1}]}", GW_RESULT_DUPLICATE,
     "regions[1].name: \"a\" is already regions[0]"},
    {"{" REGIONS ", " PLACES("") "}", GW_RESULT_NOT_FOUND,
     "places[0].service: no service is named \"vatdesk\""},
    {"{" REGIONS ", " SERVICES ", " PLACES(BACKEND("a", "9001", "0")) "}",
     GW_RESULT_OUT_OF_BOUNDS, "places[0].backends[0].slots: 0 is below 1"},
    {"{" REGIONS ", " SERVICES ", " PLACES(BACKEND("a", "0", "1")) "}",
     GW_RESULT_INVALID,
     "places[0].backends[0].address: \"127.0.0.1:0\" is not ip:port"},
    {"{" REGIONS ", " SERVICES ", "
     PLACES(BACKEND("a", "1", "1") "," BACKEND("a", "2", "1")) "}",
     GW_RESULT_DUPLICATE,
     "places[0].backends[1].name: \"a\" is already in places[0]"},
    {"{" REGIONS ", " SERVICES ", "
     PLACES(BACKEND("a", "1", "1") "," BACKEND("b", "1", "1")) "}",
     GW_RESULT_DUPLICATE, "places[0].backends[1].address: 127.0.0.1:1 is "
     "already that of a in places[0]"},
    {"{" REGIONS ", " SERVICES ", \"shifts\": [{\"service\": \"vatdesk\", "
     "\"from\": \"riga\", \"to\": \"ogre\", \"cap\": 1}]}",
     GW_RESULT_NOT_FOUND,
     "shifts[0].to: vatdesk has no place in \"ogre\""},
    {"{" REGIONS ", \"links\": [{\"from\": \"riga\", \"to\": \"riga\", "
     "\"cap\": 1}]}", GW_RESULT_INVALID,
     "links[0].to: \"riga\" is also the region in \"from\""},
    {"{" REGIONS ", \"links\": [{\"from\": \"riga\", \"to\": \"ogre\", "
     "\"cap\": 65537}]}", GW_RESULT_OUT_OF_BOUNDS,
     "links[0].cap: 65537 is above 65536"},
    {"{" REGIONS ", \"services\": [{\"name\": \"s\", \"deadline_max_ms\": "
     "100, \"hedge_percentile\": 20}]}", GW_RESULT_OUT_OF_BOUNDS,
     "services[0].hedge_percentile: 20 is below 50 and not 0"},
    {"{" REGIONS ", \"services\": [{\"name\": \"s\", \"deadline_max_ms\": "
     "100, \"operations\": [{\"method\": \"GET\", \"path\": \"/a*b\"}]}]}",
     GW_RESULT_INVALID, "services[0].operations[0].path: \"/a*b\" must begin "
     "with / and hold * only last"},
};
/* clang-format on */

Test(config, a_fault_is_named_with_path_bound_and_value)
{
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        GError *error = NULL;
        cr_expect_null(parse(bad[i].text, &error), "%s", bad[i].text);
        cr_assert_not_null(error, "%s", bad[i].text);
        cr_expect_eq(error->domain, GW_ERROR);
        cr_expect_eq(error->code, (int)bad[i].code, "%s", error->message);
        cr_expect_str_eq(error->message, bad[i].message);
        g_clear_error(&error);
    }
}
