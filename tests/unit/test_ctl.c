/* Commands of godwitctl against an admin server: exit codes, and differences
 * of documents. */
#include "admin/ctl.h"
#include "admin/diff.h"
#include "fakes/admin_server.h"

#include <criterion/criterion.h>
#include <criterion/redirect.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define DOC                                                                   \
    "{\"regions\": [{\"name\": \"ogre\", \"seats\": 2}, {\"name\": "          \
    "\"riga\", \"seats\": 2}], \"services\": [{\"name\": \"vatdesk\", "       \
    "\"deadline_max_ms\": 1000}], \"places\": [{\"service\": \"vatdesk\", "   \
    "\"region\": \"ogre\", \"backends\": [{\"name\": \"vd-1\", "              \
    "\"address\": \"127.0.0.1:9001\", \"slots\": 6}]}]}"

static AdminServer *server;
static char token_file[64];
static char doc_file[64];

static void
write_file(char path[64], const char *text)
{
    g_strlcpy(path, "/tmp/gw-ctl-XXXXXX", 64);
    int fd = g_mkstemp(path);
    cr_assert(fd >= 0);
    cr_assert_eq(write(fd, text, strlen(text)), (ssize_t)strlen(text));
    close(fd);
}

static void
set_up(void)
{
    cr_redirect_stdout();
    cr_redirect_stderr();
    server = AdminServer_Start();
    write_file(token_file, ADMIN_SERVER_TOKEN "\n");
    write_file(doc_file, DOC);
}

static void
tear_down(void)
{
    AdminServer_Stop(server);
    g_unlink(token_file);
    g_unlink(doc_file);
}

TestSuite(ctl, .init = set_up, .fini = tear_down);

static GwCtlOptions
options(void)
{
    return (GwCtlOptions){.admin_address = server->address,
                          .token_file = token_file,
                          .operator_name = (char *)"liga",
                          .timeout_ms = 10000,
                          .wait_ms = 10000,
                          .cap = -1,
                          .percent = -1,
                          .limit = -1};
}

/* Runs a command line; the word DOC is replaced by the document's path. */
static GwCtlExit
run(const GwCtlOptions *o, const char *line)
{
    char **words = g_strsplit(line, " ", -1);
    int argc = 0;
    for (; words[argc] != NULL; argc++) {
        if (strcmp(words[argc], "DOC") == 0) {
            g_free(words[argc]);
            words[argc] = g_strdup(doc_file);
        }
    }
    GwCtlExit code = GwCtl_Run(o, argc, (const char *const *)words);
    g_strfreev(words);
    return code;
}

Test(ctl, each_command_has_its_exit_code)
{
    static const struct {
        const char *line;
        int cap;
        GwCtlExit code;
    } cases[] = {
        {"drain place vatdesk ogre", -1, GW_CTL_REFUSED},
        {"apply DOC", -1, GW_CTL_OK},
        {"diff DOC", -1, GW_CTL_OK},
        {"drain place vatdesk ogre", -1, GW_CTL_OK},
        {"undrain place vatdesk ogre", -1, GW_CTL_OK},
        {"drain backend vatdesk vd-1", -1, GW_CTL_OK},
        {"drain backend vatdesk vd-9", -1, GW_CTL_REFUSED},
        {"drain floor vatdesk vd-9", -1, GW_CTL_USAGE},
        {"shift vatdesk riga ogre", 12, GW_CTL_OK},
        {"shift vatdesk riga ogre", -1, GW_CTL_USAGE},
        {"link riga ogre", 50, GW_CTL_OK},
        {"slots vatdesk vd-1 9", -1, GW_CTL_OK},
        {"slots vatdesk vd-1 0", -1, GW_CTL_REFUSED},
        {"slots vatdesk vd-1 x", -1, GW_CTL_USAGE},
        {"warmup 8", -1, GW_CTL_OK},
        {"create region valmiera 3", -1, GW_CTL_OK},
        {"create service lotgate 5000", -1, GW_CTL_OK},
        {"create place lotgate riga", -1, GW_CTL_OK},
        {"create backend lotgate riga lg-1 127.0.0.1:9100 3", -1, GW_CTL_OK},
        {"remove place lotgate riga", -1, GW_CTL_OK},
        {"remove service lotgate", -1, GW_CTL_OK},
        {"remove shift vatdesk riga ogre", -1, GW_CTL_OK},
        {"remove link riga ogre", -1, GW_CTL_OK},
        {"remove region valmiera", -1, GW_CTL_OK},
        {"remove backend vatdesk vd-1", -1, GW_CTL_OK},
        {"rollback 1", -1, GW_CTL_OK},
        {"rollback 99", -1, GW_CTL_REFUSED},
        {"get", -1, GW_CTL_OK},
        {"get 1", -1, GW_CTL_OK},
        {"get 99", -1, GW_CTL_REFUSED},
        {"history", -1, GW_CTL_OK},
        {"status", -1, GW_CTL_OK},
        {"dump", -1, GW_CTL_OK},
        {"metrics", -1, GW_CTL_OK},
        {"operation never-sent", -1, GW_CTL_REFUSED},
        {"entries vatdesk", -1, GW_CTL_REFUSED},
        {"call GET vatdesk /x", -1, GW_CTL_USAGE},
        {"settings-page", -1, GW_CTL_OK},
        {"apply", -1, GW_CTL_USAGE},
        {"nope", -1, GW_CTL_USAGE},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwCtlOptions o = options();
        o.cap = cases[i].cap;
        cr_expect_eq(run(&o, cases[i].line), cases[i].code, "%s",
                     cases[i].line);
    }
}

Test(ctl, outdated_base_version_is_refused)
{
    GwCtlOptions o = options();
    cr_expect_eq(run(&o, "apply DOC"), GW_CTL_OK);
    o.base_version = (char *)"0";
    cr_expect_eq(run(&o, "warmup 8"), GW_CTL_REFUSED);
    o.base_version = (char *)"1";
    cr_expect_eq(run(&o, "warmup 8"), GW_CTL_OK);
    o.base_version = (char *)"one";
    cr_expect_eq(run(&o, "warmup 9"), GW_CTL_USAGE);
}

Test(ctl, pending_and_unreachable_have_their_own_exit_codes)
{
    GwCtlOptions o = options();
    o.request_id = (char *)"mine";
    server->fate = FATE_LOST_BEFORE;
    cr_expect_eq(run(&o, "apply DOC"), GW_CTL_PENDING);
    cr_expect_eq(run(&o, "operation mine"), GW_CTL_PENDING);
    server->fate = FATE_DONE;
    cr_expect_eq(run(&o, "operation mine"), GW_CTL_REFUSED);
    cr_expect_eq(run(&o, "apply DOC"), GW_CTL_REFUSED);
    o.admin_address = (char *)"127.0.0.1:1";
    cr_expect_eq(run(&o, "status"), GW_CTL_UNREACHABLE);
}

Test(ctl, history_accepts_a_version_to_start_before)
{
    GwCtlOptions o = options();
    cr_expect_eq(run(&o, "apply DOC"), GW_CTL_OK);
    o.before = (char *)"1";
    cr_expect_eq(run(&o, "history"), GW_CTL_OK);
    o.json = 1;
    cr_expect_eq(run(&o, "history"), GW_CTL_OK);
    o.before = (char *)"first";
    cr_expect_eq(run(&o, "history"), GW_CTL_USAGE);
}

Test(ctl, wait_returns_when_every_live_member_has_the_version)
{
    GwCtlOptions o = options();
    o.wait = 1;
    cr_expect_eq(run(&o, "apply DOC"), GW_CTL_OK);
}

Test(diff, items_are_paired_by_name)
{
    char *same = GwDiff_Text(DOC, "// copy\n" DOC, NULL);
    cr_expect_str_eq(same, "");
    g_free(same);
    char *diff = GwDiff_Text(
        "{\"links\": [{\"from\": \"a\", \"to\": \"b\", \"cap\": 1}, "
        "{\"from\": \"b\", \"to\": \"a\", \"cap\": 2}]}",
        "{\"warmup_step\": 3, \"links\": [{\"from\": \"b\", \"to\": "
        "\"a\", \"cap\": 9}, {\"from\": \"b\", \"to\": \"c\", "
        "\"cap\": 4}]}",
        NULL);
    cr_expect_str_eq(diff, "- links[a/b]: { \"from\": \"a\", \"to\": \"b\", "
                           "\"cap\": 1 }\n"
                           "  links[b/a].cap: 2 -> 9\n"
                           "+ links[b/c]: { \"from\": \"b\", \"to\": \"c\", "
                           "\"cap\": 4 }\n"
                           "+ warmup_step: 3\n");
    g_free(diff);
    GError *error = NULL;
    cr_expect_null(GwDiff_Text("{}", "{", &error));
    cr_expect_not_null(error);
    g_clear_error(&error);
}
