/* The tables in docs/ must have exactly the rows of the tables in the code. */
#include "common/log_events.h"
#include "godwitridge.h"
#include "router/router.h"

#include <criterion/criterion.h>
#include <string.h>

static char *
read_page(const char *path)
{
    char *page = NULL;
    cr_assert(g_file_get_contents(path, &page, NULL, NULL), "%s", path);
    return page;
}

/* Counts the rows of the page's tables that begin with a number. */
static uint32_t
count_rows(const char *page)
{
    uint32_t count = 0;
    for (const char *p = page; (p = strstr(p, "\n| ")) != NULL; p++) {
        count += g_ascii_isdigit(p[3]) != 0;
    }
    return count;
}

static void
expect_row(const char *page, const char *row)
{
    char *line = g_strdup_printf("\n%s", row);
    cr_expect_not_null(strstr(page, line), "missing: %s", row);
    g_free(line);
}

Test(docs, results_and_reasons_match_the_code)
{
    static const struct {
        uint32_t number;
        const char *name;
    } rows[] = {
#define ROW(sym, num, name) {(num), (name)},
        GW_RESULT_TABLE(ROW) GW_REASON_TABLE(ROW)
#undef ROW
    };
    char *page = read_page("docs/RESULTS.md");
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char *row =
            g_strdup_printf("| %u | `%s` | ", rows[i].number, rows[i].name);
        expect_row(page, row);
        g_free(row);
    }
    cr_expect_eq(count_rows(page), G_N_ELEMENTS(rows));
    g_free(page);
}

Test(docs, reasons_of_the_platforms_entry_match_the_code)
{
    char *page = read_page("docs/OPERATIONS.md");
    for (GwReplyReason why = GW_REPLY_NONE; why < GW_REPLY_COUNT; why++) {
        char *row = g_strdup_printf("| %s | ", GwReplyReason_Name(why));
        expect_row(page, row);
        g_free(row);
    }
    g_free(page);
}

Test(docs, events_match_the_code)
{
    static const struct {
        uint32_t number;
        const char *name;
        const char *level;
        const char *meaning;
    } rows[] = {
#define ROW(sym, num, level, meaning) {(num), #sym, #level, (meaning)},
        GW_LOG_EVENT_TABLE(ROW)
#undef ROW
    };
    char *page = read_page("docs/EVENTS.md");
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char *level = g_ascii_strdown(rows[i].level, -1);
        char *row = g_strdup_printf("| %u | %s | %s | %s |\n", rows[i].number,
                                    rows[i].name, level, rows[i].meaning);
        expect_row(page, row);
        g_free(row);
        g_free(level);
    }
    cr_expect_eq(count_rows(page), G_N_ELEMENTS(rows));
    g_free(page);
}
