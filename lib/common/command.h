/* What the command lines of the daemons have in common. */
#ifndef GW_COMMON_COMMAND_H
#define GW_COMMON_COMMAND_H

#include <popt.h>
#include <stdbool.h>

/* Exit codes of the daemons. */
typedef enum {
    GW_EXIT_OK = 0,      /* graceful stop, or a question was answered */
    GW_EXIT_RUNTIME = 1, /* failure at run time */
    GW_EXIT_USAGE = 2,
    GW_EXIT_SETTINGS = 3 /* the settings were refused */
} GwExit;

typedef struct {
    const char *name; /* of the program, for messages */
    struct poptOption *options;
    /* Whether what was read is enough; NULL: anything is. */
    bool (*is_complete)(const void *arguments);
    const void *arguments;
} GwCommand;

/* Reads the options; there are no other arguments. OK, or USAGE after a
 * message on standard error. */
GwExit GwCommand_Parse(const GwCommand *command, int argc, const char **argv);

#endif
