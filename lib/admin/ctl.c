#include "admin/ctl_internal.h"
#include "config/model.h"
#include "config/settings_table.h"
#include "godwitridge_errors.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

typedef struct {
    const char *name;
    GwCtlCommand run;
    int min_args;
    int max_args;
    const char *usage;
    const char *meaning;
} Command;

/* clang-format off */
static const Command commands[] = {
    {"apply", GwCtl_ApplyFile, 1, 1,
     "FILE [--base V] [--request-id ID] [--operator NAME] [--wait]",
     "put a whole document in force"},
    {"rollback", GwCtl_Rollback, 1, 1, "VERSION [--base V] [--wait]",
     "put the document of an older version in force, as a new version"},
    {"drain", GwCtl_Drain, 3, 3,
     "place SERVICE REGION | backend SERVICE NAME",
     "give no new work to a place or a backend server"},
    {"undrain", GwCtl_Undrain, 3, 3,
     "place SERVICE REGION | backend SERVICE NAME", "take a drain back"},
    {"shift", GwCtl_Shift, 3, 3, "SERVICE FROM TO --cap N [--percent P]",
     "allow calls that enter in FROM to run in TO, at most N in flight"},
    {"link", GwCtl_Link, 2, 2, "FROM TO --cap N",
     "limit the requests in flight between two regions"},
    {"slots", GwCtl_Slots, 3, 3, "SERVICE NAME SLOTS",
     "set the slots of a backend server"},
    {"warmup", GwCtl_Warmup, 1, 1, "STEP",
     "set how much moved traffic may grow a second"},
    {"create", GwCtl_Create, 3, 6,
     "region NAME SEATS | service NAME DEADLINE_MS | place SERVICE REGION | "
     "backend SERVICE REGION NAME ADDRESS SLOTS",
     "add a region, service, place or backend server"},
    {"remove", GwCtl_Remove, 2, 4,
     "region NAME | service NAME | place SERVICE REGION | "
     "backend SERVICE NAME | shift SERVICE FROM TO | link FROM TO",
     "take something out of the configuration"},
    {"operation", GwCtl_Operation, 1, 1, "ID",
     "what became of a request id; settles it when nothing did"},
    {"get", GwCtl_Get, 0, 1, "[VERSION]", "print the document"},
    {"snapshot", GwCtl_Snapshot, 0, 1, "[VERSION]",
     "print the newest whole snapshot, up to a version"},
    {"diff", GwCtl_Diff, 1, 1, "FILE",
     "what a file would change of the document in force"},
    {"history", GwCtl_History, 0, 0, "[--limit N] [--before VERSION]",
     "the last changes, newest first"},
    {"status", GwCtl_Status, 0, 0, "", "state of the entry instance"},
    {"entries", GwCtl_Entries, 1, 1, "SERVICE [--call-address ADDR]",
     "the entries that callers of a service should use"},
    {"call", GwCtl_Call, 3, 3,
     "METHOD SERVICE PATH --call-address ADDR [--body FILE] "
     "[--deadline-ms N]",
     "call a service through an entry, with a ticket"},
    {"top", GwCtl_Top, 0, 0, "[--limit N]",
     "backend servers, those passed over first, then the busiest"},
    {"suspects", GwCtl_Suspects, 0, 0, "",
     "requests that servers crashed under, and those that are held for it"},
    {"release", GwCtl_Release, 1, 1, "FINGERPRINT",
     "let a held request go, at all entries"},
    {"explain", GwCtl_Explain, 2, 1000, "ID LOG...",
     "what became of a request, from the logs of entries (- for standard "
     "input)"},
    {"dump", GwCtl_Dump, 0, 0, "", "the whole state of the process"},
    {"metrics", GwCtl_Metrics, 0, 0, "", "the counters of the process"},
    {"settings-page", GwCtl_SettingsPage, 0, 0, "",
     "print docs/SETTINGS.md"},
};
/* clang-format on */

GwCtlExit
GwCtl_Fail(GError *error)
{
    bool unreachable = error->code == GW_RESULT_IO;
    (void)fprintf(stderr, "godwitctl: %s (%s)\n", error->message,
                  GwResult_Name((GwResultCode)error->code));
    g_error_free(error);
    return unreachable ? GW_CTL_UNREACHABLE : GW_CTL_REFUSED;
}

GwCtlExit
GwCtl_Usage(const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    (void)fprintf(stderr, "godwitctl: %s\n", text);
    g_free(text);
    return GW_CTL_USAGE;
}

bool
GwCtl_Number(const char *what, const char *text, uint64_t max, uint64_t *out)
{
    if (text != NULL &&
        g_ascii_string_to_unsigned(text, 10, 0, max, out, NULL)) {
        return true;
    }
    GwCtl_Usage(
        "%s: \"%s\" is not a whole number of at most %" G_GUINT64_FORMAT, what,
        text != NULL ? text : "", max);
    return false;
}

static const Command *
find_command(const char *name)
{
    for (size_t i = 0; name != NULL && i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, name) == 0) {
            return &commands[i];
        }
    }
    return NULL;
}

GwCtlExit
GwCtl_Help(const char *command)
{
    const Command *one = find_command(command);
    if (one != NULL) {
        printf("usage: godwitctl %s %s\n  %s\n", one->name, one->usage,
               one->meaning);
        return GW_CTL_OK;
    }
    printf("commands:\n");
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        printf("  %-14s %s\n", commands[i].name, commands[i].meaning);
    }
    printf("godwitctl COMMAND --help says more. Exit codes: 0 accepted or "
           "ok,\n1 refused, 2 usage, 3 pending, 4 unreachable.\n");
    return GW_CTL_OK;
}

/* Reads the token; an absent option gives NULL. False after a message. */
static bool
read_token(const GwCtlOptions *options, char **token)
{
    GError *error = NULL;
    *token = NULL;
    if (options->token_file == NULL) {
        return true;
    }
    if (!g_file_get_contents(options->token_file, token, NULL, &error)) {
        GwCtl_Usage("%s", error->message);
        g_error_free(error);
        return false;
    }
    g_strstrip(*token);
    return true;
}

GwCtlExit
GwCtl_Run(const GwCtlOptions *options, int argc, const char *const *argv)
{
    const Command *command = argc > 0 ? find_command(argv[0]) : NULL;
    if (command == NULL) {
        return GwCtl_Usage("no such command: %s; try --help",
                           argc > 0 ? argv[0] : "(none)");
    }
    if (argc - 1 < command->min_args || argc - 1 > command->max_args) {
        return GwCtl_Usage("usage: %s %s", command->name, command->usage);
    }
    char *token = NULL;
    if (!read_token(options, &token)) {
        return GW_CTL_USAGE;
    }
    GwCtl ctl = {.options = options,
                 .client = GwAdminClient_Create(options->admin_address, token,
                                                (uint32_t)options->timeout_ms),
                 .argc = argc - 1,
                 .argv = argv + 1};
    GwCtlExit code = command->run(&ctl);
    GwAdminClient_Free(ctl.client);
    g_free(token);
    return code;
}

GwCtlExit
GwCtl_SettingsPage(const GwCtl *ctl)
{
    char *page = GwSettings_Doc();
    (void)fputs(page, stdout);
    g_free(page);
    return GW_CTL_OK;
}
