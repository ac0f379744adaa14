/* The daemon of one entry instance.
 *
 * Exit codes:
 *   0  graceful stop, or the option only printed or checked something
 *   1  failure at run time, such as a port in use or an unreadable key
 *   2  usage error
 *   3  the settings are invalid */
#include "common/command.h"
#include "common/log.h"
#include "runtime/runtime.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

typedef struct {
    char *settings;
    int check;
    int print;
    int version;
} Arguments;

static bool
is_complete(const void *arguments)
{
    const Arguments *args = arguments;

    return args->settings != NULL || args->version;
}

static GwExit
parse_arguments(int argc, const char **argv, Arguments *args)
{
    struct poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &args->settings, 0,
         "settings file of this instance (JSON with comments)", "FILE"},
        {"check-settings", 'c', POPT_ARG_NONE, &args->check, 0,
         "check the settings and exit", NULL},
        {"print-settings", 'p', POPT_ARG_NONE, &args->print, 0,
         "print the settings with defaults filled in and exit", NULL},
        {"version", 'V', POPT_ARG_NONE, &args->version, 0,
         "print the version and exit", NULL},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    GwCommand command = {.name = "godwitd",
                         .options = options,
                         .is_complete = is_complete,
                         .arguments = args};

    return GwCommand_Parse(&command, argc, argv);
}

/* Runs until the graceful stop is complete. SIGTERM or SIGINT starts the stop,
 * a second one ends it immediately. SIGUSR1 dumps the state to standard
 * error. */
static void
serve(GwRuntime *rt, const sigset_t *signals)
{
    struct timespec poll_interval = {.tv_nsec = 20000000};
    bool is_stopping = false;

    while (!GwRuntime_IsStopped(rt)) {
        int signal = sigtimedwait(signals, NULL, &poll_interval);
        if (signal == SIGUSR1) {
            char *dump = GwRuntime_Dump(rt);
            (void)fprintf(stderr, "%s\n", dump);
            g_free(dump);
        }
        else if (signal == SIGTERM || signal == SIGINT) {
            if (is_stopping) {
                return;
            }
            is_stopping = true;
            GwRuntime_BeginStop(rt);
        }
    }
}

/* Blocks the signals before the first thread starts, so that only serve()
 * receives them. */
static GwExit
run(const GwSettings *settings)
{
    GError *error = NULL;
    sigset_t signals;

    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGUSR1);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    (void)signal(SIGPIPE, SIG_IGN);
    if (GwLog_Start(settings->log_level) != 0) {
        (void)fprintf(stderr, "godwitd: cannot open the log\n");
        return GW_EXIT_RUNTIME;
    }
    GwRuntime *rt = GwRuntime_Start(settings, &error);
    if (rt == NULL) {
        (void)fprintf(stderr, "godwitd: %s\n", error->message);
        g_error_free(error);
        GwLog_Stop();
        return GW_EXIT_RUNTIME;
    }
    serve(rt, &signals);
    GwRuntime_Free(rt);
    GwLog_Event(GW_LOG_STOP_DONE, "instance=%s", settings->node.name);
    GwLog_Stop();
    return GW_EXIT_OK;
}

static GwExit
load_and_run(const Arguments *args)
{
    GError *error = NULL;
    GwExit code = GW_EXIT_OK;

    GwSettings *settings = GwSettings_Load(args->settings, &error);
    if (settings == NULL) {
        (void)fprintf(stderr, "godwitd: %s\n", error->message);
        g_error_free(error);
        return GW_EXIT_SETTINGS;
    }
    if (args->print) {
        char *text = GwSettings_Print(settings);
        (void)fputs(text, stdout);
        g_free(text);
    }
    else if (!args->check) {
        code = run(settings);
    }
    GwSettings_Free(settings);
    return code;
}

int
main(int argc, const char **argv)
{
    Arguments args = {0};

    GwExit code = parse_arguments(argc, argv, &args);
    if (code == GW_EXIT_OK && args.version) {
        (void)puts("godwitd " GW_VERSION_STRING);
    }
    else if (code == GW_EXIT_OK) {
        code = load_and_run(&args);
    }
    free(args.settings);
    return (int)code;
}
