#include "common/command.h"

#include <stdio.h>

GwExit
GwCommand_Parse(const GwCommand *command, int argc, const char **argv)
{
    poptContext ctx =
        poptGetContext(command->name, argc, argv, command->options, 0);
    int rc = poptGetNextOpt(ctx);
    GwExit code = GW_EXIT_OK;

    if (rc < -1) {
        (void)fprintf(stderr, "%s: %s: %s\n", command->name,
                      poptBadOption(ctx, 0), poptStrerror(rc));
        code = GW_EXIT_USAGE;
    }
    else if (poptPeekArg(ctx) != NULL ||
             (command->is_complete != NULL &&
              !command->is_complete(command->arguments))) {
        poptPrintUsage(ctx, stderr, 0);
        code = GW_EXIT_USAGE;
    }
    poptFreeContext(ctx);
    return code;
}
