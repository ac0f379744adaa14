/* Settings of the daemon: defaults, error texts, and the page made from the
 * table. */
#include "config/settings_table.h"

#include <criterion/criterion.h>
#include <string.h>

#define GIVEN                                                                 \
    "\"name\": \"hn-1\", \"region\": \"ha-noi\", \"domain\": \"hn-a\", "      \
    "\"peer_address\": \"127.0.0.1:7001\", "                                  \
    "\"call_address\": \"127.0.0.1:7002\", "                                  \
    "\"admin_address\": \"127.0.0.1:7003\", "                                 \
    "\"platform_url\": \"http://127.0.0.1:7900\", "                           \
    "\"admin_token_file\": \"token\", \"cluster_key_file\": \"key\""

static GwSettings *
parse(const char *text, GError **error)
{
    return GwSettings_Parse(text, strlen(text), error);
}

Test(settings, absent_keys_get_their_defaults)
{
    GError *error = NULL;
    GwSettings *s = parse("{" GIVEN ", // an instance\n \"queue_max\": 9, "
                          "\"test_delays\": {\"da-nang\": 55000, \"\": 7}}",
                          &error);
    cr_assert_not_null(s, "%s", error != NULL ? error->message : "");
    cr_expect_eq(s->node.queue_max, 9);
    cr_expect_eq(s->node.probe_period_ms, 500);
    cr_expect_eq(s->caller_threads, 64);
    cr_expect_str_eq(s->log_level, "info");
    cr_expect_neq(s->node.id.node, 0);
    cr_expect_eq(s->delay_count, 2);
    cr_expect_eq(s->delays[0].one_way_us, 55000);
    char *text = GwSettings_Print(s);
    GwSettings *again = parse(text, &error);
    cr_assert_not_null(again, "%s", error != NULL ? error->message : "");
    cr_expect_arr_eq(again, s, sizeof(*s));
    g_free(text);
    GwSettings_Free(again);
    GwSettings_Free(s);
}

Test(settings, a_fault_is_named_with_key_bound_and_value)
{
    static const struct {
        const char *text;
        GwResultCode code;
        const char *message;
    } cases[] = {
        {"{", GW_RESULT_PARSE, "line 1: unexpected end of text"},
        {"{}", GW_RESULT_INVALID, "name: missing, must be given"},
        {"{" GIVEN ", \"quue_max\": 1}", GW_RESULT_UNKNOWN_KEY,
         "quue_max: unknown key"},
        {"{" GIVEN ", \"queue_max\": 0}", GW_RESULT_OUT_OF_BOUNDS,
         "queue_max: 0 is below 1"},
        {"{" GIVEN ", \"queue_max\": 1.5}", GW_RESULT_WRONG_TYPE,
         "queue_max: 1.5 is of type double, must be int"},
        {"{" GIVEN ", \"policy\": 3}", GW_RESULT_OUT_OF_BOUNDS,
         "policy: 3 is above 2"},
        {"{" GIVEN ", \"seed\": -1}", GW_RESULT_OUT_OF_BOUNDS,
         "seed: -1 is below 0"},
        {"{" GIVEN ", \"log_level\": \"all\"}", GW_RESULT_INVALID,
         "log_level: \"all\" is not error, warn or info"},
        {"{" GIVEN ", \"probe_timeout_ms\": 500}", GW_RESULT_OUT_OF_BOUNDS,
         "probe_timeout_ms: 500 is not below probe_period_ms 500"},
        {"{" GIVEN ", \"loan_margin_ms\": 5000}", GW_RESULT_OUT_OF_BOUNDS,
         "loan_margin_ms: 5000 is not below half of loan_term_ms 10000"},
        {"{" GIVEN ", \"fence_ms\": 15000}", GW_RESULT_OUT_OF_BOUNDS,
         "fence_ms: 15000 is not below seat_holdoff_ms 15000"},
        {"{" GIVEN ", \"loan_term_ms\": 12000}", GW_RESULT_OUT_OF_BOUNDS,
         "seat_holdoff_ms: 15000 is not above fence_ms, loan_term_ms and "
         "loan_margin_ms together"},
        {"{" GIVEN ", \"ticket_retention_ms\": 59999}",
         GW_RESULT_OUT_OF_BOUNDS,
         "ticket_retention_ms: 59999 is below ticket_valid_ms 60000"},
        {"{" GIVEN ", \"test_delays\": {\"a\": 10000001}}",
         GW_RESULT_OUT_OF_BOUNDS, "test_delays.a: 10000001 is above 10000000"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GError *error = NULL;
        cr_expect_null(parse(cases[i].text, &error));
        cr_assert_not_null(error, "%s", cases[i].text);
        cr_expect_eq(error->code, (int)cases[i].code);
        cr_expect_str_eq(error->message, cases[i].message);
        g_clear_error(&error);
    }
}

Test(settings, a_fault_in_a_file_names_the_file)
{
    GError *error = NULL;
    cr_expect_null(GwSettings_Load("/nonexistent/x.json", &error));
    cr_assert_not_null(error);
    cr_expect_eq(error->code, GW_RESULT_IO);
    cr_expect_not_null(strstr(error->message, "/nonexistent/x.json"));
    g_clear_error(&error);
    cr_expect_null(GwSettings_Load("docs/SETTINGS.md", &error));
    cr_expect_str_eq(error->message,
                     "docs/SETTINGS.md: line 1: unexpected character");
    g_clear_error(&error);
}

Test(settings, every_number_is_within_its_own_bounds)
{
    uint32_t count = 0;
    const GwSettingRow *rows = GwSettings_Rows(&count);
    for (uint32_t i = 0; i < count; i++) {
        if (rows[i].type == GW_SETTING_U32) {
            cr_expect(rows[i].min <= rows[i].value &&
                          rows[i].value <= rows[i].max,
                      "%s", rows[i].key);
        }
    }
}

Test(settings, no_number_of_the_node_is_left_without_default)
{
    GwNodeParams params;
    memset(&params, 0xff, sizeof(params));
    GwNodeParams_SetDefaults(&params);
    const uint32_t *first = &params.probe_period_ms;
    for (const uint32_t *p = first; p <= &params.policy; p++) {
        cr_expect_neq(*p, UINT32_MAX, "field %td", p - first);
    }
}

Test(settings, the_page_is_the_table)
{
    char *page = NULL;
    char *made = GwSettings_Doc();
    cr_assert(g_file_get_contents("docs/SETTINGS.md", &page, NULL, NULL));
    cr_expect_str_eq(page, made);
    g_free(page);
    g_free(made);
}
