/* The command line of standin_site, and the faults that it names. */
#include "standins/site/options.h"

#include <criterion/criterion.h>

/* Guards against: a misspelt fault that is not injected, so that a test passes
 * without it. */
Test(site_options, faults_of_endless_answers_are_read_or_rejected)
{
    static const struct {
        const char *text;
        bool valid;
        SiteEndlessFault fault;
    } cases[] = {
        {"none", true, {0}},
        {"chunked,fast,600,3", true, {SITE_ENDLESS_CHUNKED, false, 600, 3}},
        {"close,slow,1,1", true, {SITE_ENDLESS_CLOSE, true, 1, 1}},
        {"head,fast,1000,6", true, {SITE_ENDLESS_HEAD, false, 1000, 6}},
        {"behind,slow,50,2", true, {SITE_ENDLESS_BEHIND, true, 50, 2}},
        {"second,fast,600,3", true, {SITE_ENDLESS_SECOND, false, 600, 3}},
        {"any,fast,600,1", true, {SITE_ENDLESS_ANY, false, 600, 1}},
        {"", false, {0}},
        {"chunked", false, {0}},
        {"none,fast,600,3", false, {0}},
        {"body,fast,600,3", false, {0}},
        {"chunked,quick,600,3", false, {0}},
        {"chunked,fast,0,3", false, {0}},
        {"chunked,fast,1001,3", false, {0}},
        {"chunked,fast,-1,3", false, {0}},
        {"chunked,fast,600,", false, {0}},
        {"chunked,fast,600,3,", false, {0}},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        SiteEndlessFault fault = {SITE_ENDLESS_ANY, true, 7, 7};
        bool valid = SiteEndlessFault_Parse(cases[i].text, &fault);

        cr_expect_eq(valid, cases[i].valid, "%s", cases[i].text);
        if (valid) {
            cr_expect_eq(fault.kind, cases[i].fault.kind);
            cr_expect_eq(fault.is_slow, cases[i].fault.is_slow);
            cr_expect_eq(fault.permille, cases[i].fault.permille);
            cr_expect_eq(fault.servers, cases[i].fault.servers);
        }
        else {
            cr_expect_eq(fault.permille, 7, "%s: changed", cases[i].text);
        }
    }
}

/* Guards against: a fault of the command line that is invalid, or ignored. */
Test(site_options, command_line_names_faults_of_servers_and_callers)
{
    static const struct {
        const char *more[4];
        int count;
        bool valid;
        const char *endless;
        int large_callers;
        SiteReading reading;
    } cases[] = {
        {.valid = true},
        {.more = {"--endless", "any,slow,600,1"},
         .count = 2,
         .valid = true,
         .endless = "any,slow,600,1"},
        {.more = {"--endless", "any,600"}, .count = 2},
        {.more = {"--large-callers", "9", "--reading", "slow"},
         .count = 4,
         .valid = true,
         .large_callers = 9,
         .reading = SITE_READING_SLOW},
        {.more = {"--reading", "none"},
         .count = 2,
         .valid = true,
         .reading = SITE_READING_NONE},
        {.more = {"--reading", "mixed"},
         .count = 2,
         .valid = true,
         .reading = SITE_READING_MIXED},
        {.more = {"--reading", "never"}, .count = 2},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const char *words[15] = {"standin_site",
                                 "--store",
                                 "s",
                                 "--config",
                                 "c",
                                 "--server",
                                 "r",
                                 "--port",
                                 "1",
                                 "--directories",
                                 "d"};
        SiteOptions options;
        int count = 11;

        for (int k = 0; k < cases[i].count; k++) {
            words[count++] = cases[i].more[k];
        }
        bool valid = SiteOptions_Read(&options, count, words);
        cr_expect_eq(valid, cases[i].valid, "case %zu", i);
        if (valid) {
            cr_expect(g_strcmp0(options.endless, cases[i].endless) == 0);
            cr_expect_eq(options.large_callers, cases[i].large_callers);
            cr_expect_eq(options.reading, cases[i].reading);
        }
    }
}
