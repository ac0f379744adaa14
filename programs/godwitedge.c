/* The daemon of one entry on the users' platform.
 *
 * Exit codes:
 *   0  graceful stop, or the option only printed or checked something
 *   1  failure at run time, such as an address in use
 *   2  usage error
 *   3  the settings are invalid */
#include "common/command.h"
#include "common/log.h"
#include "edge/edge.h"
#include "godwitridge.h"
#include "platform/platform.h"

#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

typedef struct {
    char *settings;
    int check;
    int version;
} Arguments;

static GwExit
parse_arguments(int argc, const char **argv, Arguments *args)
{
    struct poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &args->settings, 0,
         "settings file (JSON with comments); default: "
         "$" PLATFORM_SETTINGS_VARIABLE,
         "FILE"},
        {"check-settings", 'c', POPT_ARG_NONE, &args->check, 0,
         "check the settings and exit", NULL},
        {"version", 'V', POPT_ARG_NONE, &args->version, 0,
         "print the version and exit", NULL},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    GwCommand command = {.name = "godwitedge", .options = options};

    return GwCommand_Parse(&command, argc, argv);
}

static GwExit
serve(GwEdgeSettings *settings, const char *path)
{
    GError *error = NULL;
    GwEdge *edge = GwEdge_Create(settings, path, &Platform_Adapter, &error);

    if (edge == NULL) {
        (void)fprintf(stderr, "godwitedge: %s\n", error->message);
        g_error_free(error);
        return GW_EXIT_RUNTIME;
    }
    GwEdge_Run(edge);
    GwEdge_Free(edge);
    return GW_EXIT_OK;
}

/* Blocks of this size and more get pages of their own, which return to the
 * system when they are freed. By default glibc raises the threshold to 32 MB
 * when such a block is freed; later bodies then come from the heap, are copied
 * as they grow, and stay resident after they are freed. */
#define MMAP_THRESHOLD_BYTES (32 << 10)
/* Free memory that is kept at the end of the heap. */
#define TRIM_THRESHOLD_BYTES (256 << 10)

static void
limit_heap(void)
{
    (void)mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
    (void)mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES);
}

int
main(int argc, const char **argv)
{
    Arguments args = {0};
    GError *error = NULL;
    GwExit code = parse_arguments(argc, argv, &args);

    limit_heap();
    if (code != GW_EXIT_OK) {
        return code;
    }
    if (args.version) {
        (void)printf("godwitedge %s\n", GW_VERSION_STRING);
        return GW_EXIT_OK;
    }
    const char *path = args.settings != NULL
                           ? args.settings
                           : getenv(PLATFORM_SETTINGS_VARIABLE);
    if (path == NULL) {
        (void)fprintf(stderr,
                      "godwitedge: no settings file given; see --help\n");
        return GW_EXIT_USAGE;
    }
    GwEdgeSettings *settings = GwEdgeSettings_Load(path, &error);
    if (settings == NULL) {
        (void)fprintf(stderr, "godwitedge: %s: %s\n", path, error->message);
        g_error_free(error);
        return GW_EXIT_SETTINGS;
    }
    if (args.check) {
        GwEdgeSettings_Free(settings);
        return GW_EXIT_OK;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    (void)GwLog_StartBuffered(settings->log_level);
    code = serve(settings, path);
    GwLog_Stop();
    free(args.settings);
    return (int)code;
}
