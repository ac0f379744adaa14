/* The daemon of one entry instance.
 *
 * Exit codes:
 *   0  graceful stop, or a question on the command line was answered
 *   1  failure at run time: a port is taken, a key can't be read
 *   2  usage
 *   3  the settings were refused */
#include "common/log.h"
#include "runtime/runtime.h"

#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

enum { EXIT_OK = 0, EXIT_RUNTIME = 1, EXIT_USAGE = 2, EXIT_SETTINGS = 3 };

typedef struct {
    char *settings;
    int check;
    int print;
    int version;
} Arguments;

static int
parse_arguments(int argc, const char **argv, Arguments *args)
{
    struct poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &args->settings, 0,
         "settings of this instance, JSON with comments", "FILE"},
        {"check-settings", 'c', POPT_ARG_NONE, &args->check, 0,
         "check the settings and exit", NULL},
        {"print-settings", 'p', POPT_ARG_NONE, &args->print, 0,
         "print the settings with defaults filled in and exit", NULL},
        {"version", 'V', POPT_ARG_NONE, &args->version, 0,
         "print the version and exit", NULL},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext ctx = poptGetContext("godwitd", argc, argv, options, 0);
    int rc = poptGetNextOpt(ctx);
    int code = EXIT_OK;

    if (rc < -1) {
        (void)fprintf(stderr, "godwitd: %s: %s\n", poptBadOption(ctx, 0),
                      poptStrerror(rc));
        code = EXIT_USAGE;
    }
    else if (poptPeekArg(ctx) != NULL ||
             (args->settings == NULL && !args->version)) {
        poptPrintUsage(ctx, stderr, 0);
        code = EXIT_USAGE;
    }
    poptFreeContext(ctx);
    return code;
}

/* Serves until the graceful stop is over. A second signal to stop ends it at
 * once. */
static void
serve(GwRuntime *rt, const sigset_t *signals)
{
    struct timespec nap = {.tv_nsec = 20000000};
    bool leaving = false;

    while (!GwRuntime_IsStopped(rt)) {
        int signal = sigtimedwait(signals, NULL, &nap);
        if (signal == SIGUSR1) {
            char *dump = GwRuntime_Dump(rt);
            (void)fprintf(stderr, "%s\n", dump);
            g_free(dump);
        }
        else if (signal == SIGTERM || signal == SIGINT) {
            if (leaving) {
                return;
            }
            leaving = true;
            GwRuntime_Leave(rt);
        }
    }
}

/* Signals are blocked before the first thread starts, so that only serve()
 * sees them. */
static int
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
        (void)fprintf(stderr, "godwitd: the log can't be started\n");
        return EXIT_RUNTIME;
    }
    GwRuntime *rt = GwRuntime_Start(settings, &error);
    if (rt == NULL) {
        (void)fprintf(stderr, "godwitd: %s\n", error->message);
        g_error_free(error);
        GwLog_Stop();
        return EXIT_RUNTIME;
    }
    serve(rt, &signals);
    GwRuntime_Free(rt);
    GwLog_Event(GW_LOG_STOP_DONE, "instance=%s", settings->node.name);
    GwLog_Stop();
    return EXIT_OK;
}

static int
run_with(const Arguments *args)
{
    GError *error = NULL;
    int code = EXIT_OK;

    GwSettings *settings = GwSettings_Load(args->settings, &error);
    if (settings == NULL) {
        (void)fprintf(stderr, "godwitd: %s\n", error->message);
        g_error_free(error);
        return EXIT_SETTINGS;
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

    int code = parse_arguments(argc, argv, &args);
    if (code == EXIT_OK && args.version) {
        (void)puts("godwitd " GW_VERSION_STRING);
    }
    else if (code == EXIT_OK) {
        code = run_with(&args);
    }
    free(args.settings);
    return code;
}
