/* Command line parsing and exit codes shared by the daemons. */
#ifndef GW_COMMON_COMMAND_H
#define GW_COMMON_COMMAND_H

#include <popt.h>
#include <stdbool.h>

/* Exit codes of the daemons. */
typedef enum {
    GW_EXIT_OK = 0,      /* graceful stop, or a query was answered */
    GW_EXIT_RUNTIME = 1, /* failure at run time */
    GW_EXIT_USAGE = 2,
    GW_EXIT_SETTINGS = 3 /* the settings are invalid */
} GwExit;

typedef struct {
    const char *name; /* program name, for error messages */
    struct poptOption *options;
    /* Returns whether all required options were given; NULL if none is
     * required. */
    bool (*is_complete)(const void *arguments);
    const void *arguments;
} GwCommand;

/* Parses the options; positional arguments are rejected. Returns GW_EXIT_OK,
 * or GW_EXIT_USAGE after writing a message to standard error. */
GwExit GwCommand_Parse(const GwCommand *command, int argc, const char **argv);

#endif
