#include "edge/settings.h"

#include <criterion/criterion.h>
#include <string.h>

/* Valid settings; `extra` is appended to their members. */
#define SETTINGS(extra)                                                       \
    "{ /* a comment */ \"name\":\"e1\",\"region\":\"r1\",\"domain\":\"d1\","  \
    "\"call_address\":\"10.0.0.1:1\",\"ready_address\":\"10.0.0.1:2\","       \
    "\"directory_address\":\"10.0.0.1:3\","                                   \
    "\"control_address\":\"10.0.0.1:4\",\"peer_address\":\"10.0.0.1:5\","     \
    "\"store_address\":\"10.0.0.9:6\",\"regions\":{\"d1\":\"r1\"}" extra "}"

Test(edge_settings, valid_settings_are_read)
{
    static const char text[] = SETTINGS(
        ",\"seeds\":[\"10.0.0.2:9\"],\"seeds_peer_port\":5,"
        "\"retry_ratio\":0.25,\"retry_extra\":58,"
        "\"retry_window\":\"10s\",\"grace\":\"6s\",\"fd_limit\":4100");
    GError *error = NULL;
    GwEdgeSettings *s = GwEdgeSettings_Parse(text, strlen(text), &error);

    cr_assert_not_null(s, "%s", error != NULL ? error->message : "");
    cr_expect_str_eq(s->router.name, "e1");
    cr_expect_str_eq(s->peer_address, "10.0.0.1:5");
    cr_expect_str_eq(s->seeds->pdata[0], "10.0.0.2:5");
    cr_expect_str_eq(g_hash_table_lookup(s->regions, "d1"), "r1");
    cr_expect_float_eq(s->router.retry_ratio, 0.25, 1e-9);
    cr_expect_eq(s->router.retry_extra, 58);
    cr_expect_eq(s->router.retry_window_ms, 10000);
    cr_expect_eq(s->grace_ms, 6000);
    cr_expect_eq(s->fd_limit, 4100);
    GwEdgeSettings_Free(s);
}

Test(edge_settings, invalid_settings_are_refused_with_their_key)
{
    static const struct {
        const char *text;
        const char *key; /* named by the message */
    } cases[] = {
        {"{}", "name"},
        {"", "line 1"},
        {SETTINGS(",\"gracee\":\"6s\""), "gracee"},
        {SETTINGS(",\"grace\":6"), "grace"},
        {SETTINGS(",\"grace\":\"6h\""), "grace"},
        {SETTINGS(",\"retry_ratio\":2"), "retry_ratio"},
        {SETTINGS(",\"retry_ratio\":\"1\""), "retry_ratio"},
        {SETTINGS(",\"retry_extra\":-1"), "retry_extra"},
        {SETTINGS(",\"fd_limit\":10"), "fd_limit"},
        {SETTINGS(",\"seeds\":[\"nowhere\"]"), "seeds"},
        {SETTINGS(",\"seeds\":{}"), "seeds"},
        {SETTINGS(",\"seeds_peer_port\":70000"), "seeds_peer_port"},
        {SETTINGS(",\"regions\":[]"), "regions"},
        {SETTINGS(",\"regions\":{\"d1\":1}"), "regions"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GError *error = NULL;
        cr_expect_null(
            GwEdgeSettings_Parse(cases[i].text, strlen(cases[i].text), &error),
            "%s", cases[i].text);
        cr_assert_not_null(error, "%s", cases[i].text);
        cr_expect_not_null(strstr(error->message, cases[i].key), "%s: %s",
                           cases[i].key, error->message);
        g_clear_error(&error);
    }
}
