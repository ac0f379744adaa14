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
    const char *summary;
} Command;

/* clang-format off */
static const Command commands[] = {
    {"apply", GwCtl_ApplyFile, 1, 1,
     "FILE [--base V] [--request-id ID] [--operator NAME] [--wait]",
     "put a complete document in force"},
    {"rollback", GwCtl_Rollback, 1, 1, "VERSION [--base V] [--wait]",
     "put the document of an older version in force, as a new version"},
    {"drain", GwCtl_Drain, 3, 3,
     "place SERVICE REGION | backend SERVICE NAME",
     "send no new requests to a place or a backend server"},
    {"undrain", GwCtl_Undrain, 3, 3,
     "place SERVICE REGION | backend SERVICE NAME", "cancel a drain"},
    {"shift", GwCtl_Shift, 3, 3, "SERVICE FROM TO --cap N [--percent P]",
     "let requests that enter in FROM run in TO, at most N in flight"},
    {"link", GwCtl_Link, 2, 2, "FROM TO --cap N",
     "limit the requests in flight between two regions"},
    {"slots", GwCtl_Slots, 3, 3, "SERVICE NAME SLOTS",
     "set the slots of a backend server"},
    {"warmup", GwCtl_Warmup, 1, 1, "STEP",
     "limit the growth per second of shifted traffic"},
    {"create", GwCtl_Create, 3, 6,
     "region NAME SEATS | service NAME DEADLINE_MS | place SERVICE REGION | "
     "backend SERVICE REGION NAME ADDRESS SLOTS",
     "add a region, service, place or backend server"},
    {"remove", GwCtl_Remove, 2, 4,
     "region NAME | service NAME | place SERVICE REGION | "
     "backend SERVICE NAME | shift SERVICE FROM TO | link FROM TO",
     "remove an item from the configuration"},
    {"operation", GwCtl_Operation, 1, 1, "ID",
     "print the outcome of a request id; refuse the id if it has none"},
    {"get", GwCtl_Get, 0, 1, "[VERSION]", "print a document"},
    {"snapshot", GwCtl_Snapshot, 0, 1, "[VERSION]",
     "print the newest intact snapshot, up to a version"},
    {"diff", GwCtl_Diff, 1, 1, "FILE",
     "compare the document in force with a file"},
    {"history", GwCtl_History, 0, 0, "[--limit N] [--before VERSION]",
     "list the last changes, newest first"},
    {"status", GwCtl_Status, 0, 0, "", "print the state of the entry"},
    {"entries", GwCtl_Entries, 1, 1, "SERVICE [--call-address ADDR]",
     "list the entries that callers of a service should use"},
    {"call", GwCtl_Call, 3, 3,
     "METHOD SERVICE PATH --call-address ADDR [--body FILE] "
     "[--deadline-ms N]",
     "call a service through an entry, with a ticket"},
    {"top", GwCtl_Top, 0, 0, "[--limit N]",
     "list backend servers, ejected servers first, then by load"},
    {"suspects", GwCtl_Suspects, 0, 0, "",
     "list requests that crashed servers, and the quarantined ones"},
    {"release", GwCtl_Release, 1, 1, "FINGERPRINT",
     "release a quarantined request at all entries"},
    {"organisations", GwCtl_Organisations, 0, 0, "",
     "list organisations, their quotas and what an entry refused"},
    {"explain", GwCtl_Explain, 2, 1000, "ID LOG...",
     "explain the outcome of a request from the logs of entries (- for "
     "standard input)"},
    {"where", GwCtl_Where, 2, 2,
     "HOST PATH [--object KEY] [--key-file FILE] [--deadline-ms N]",
     "show where an entry would send a request now, and why; sends nothing"},
    {"dump", GwCtl_Dump, 0, 0, "", "print the state of the process as JSON"},
    {"metrics", GwCtl_Metrics, 0, 0, "", "print the metrics of the process"},
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
GwCtl_UsageError(const char *format, ...)
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
GwCtl_ParseNumber(const char *name, const char *text, uint64_t max,
                  uint64_t *out)
{
    if (text != NULL &&
        g_ascii_string_to_unsigned(text, 10, 0, max, out, NULL)) {
        return true;
    }
    GwCtl_UsageError(
        "%s: \"%s\" is not a whole number of at most %" G_GUINT64_FORMAT, name,
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
    const Command *found = find_command(command);
    if (found != NULL) {
        printf("usage: godwitctl %s %s\n  %s\n", found->name, found->usage,
               found->summary);
        return GW_CTL_OK;
    }
    printf("commands:\n");
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        printf("  %-14s %s\n", commands[i].name, commands[i].summary);
    }
    printf("See also godwitctl COMMAND --help. Exit codes: 0 accepted or "
           "ok,\n1 refused, 2 usage, 3 pending, 4 unreachable.\n");
    return GW_CTL_OK;
}

/* Reads the token, NULL if the option is absent; prints an error on false. */
static bool
read_token(const GwCtlOptions *options, char **token)
{
    GError *error = NULL;
    *token = NULL;
    if (options->token_file == NULL) {
        return true;
    }
    if (!g_file_get_contents(options->token_file, token, NULL, &error)) {
        GwCtl_UsageError("%s", error->message);
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
        return GwCtl_UsageError("unknown command: %s; try --help",
                                argc > 0 ? argv[0] : "(none)");
    }
    if (argc - 1 < command->min_args || argc - 1 > command->max_args) {
        return GwCtl_UsageError("usage: %s %s", command->name, command->usage);
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
