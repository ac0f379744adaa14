#include "standins/site/options.h"

#include <popt.h>
#include <stdio.h>

bool
SiteOptions_Read(SiteOptions *a, int argc, const char **argv)
{
    struct poptOption options[] = {
        {"store", 0, POPT_ARG_STRING, &a->store, 0, "store's address", "A"},
        {"directories", 0, POPT_ARG_STRING, &a->directories, 0,
         "addresses of directories, by commas", "A,..."},
        {"config", 0, POPT_ARG_STRING, &a->config, 0, "configuration", "F"},
        {"server", 0, POPT_ARG_STRING, &a->server, 0,
         "a server's entry, with @NAMES@", "F"},
        {"port", 0, POPT_ARG_INT, &a->port, 0, "first server's port", "N"},
        {"seconds", 0, POPT_ARG_INT, &a->seconds, 0, "length", "N"},
        {"callers", 0, POPT_ARG_INT, &a->callers, 0, "callers", "N"},
        {"seed", 0, POPT_ARG_INT, &a->seed, 0, "seed", "N"},
        {"faults", 0, POPT_ARG_INT, &a->faults, 0,
         "permille of requests that meet a faulty server", "N"},
        {"refuse", 0, POPT_ARG_INT, &a->refuse, 0,
         "permille of requests that a server refuses", "N"},
        {"drain", 0, POPT_ARG_INT, &a->drain_s, 0, "second", "S"},
        {"new-config", 0, POPT_ARG_INT, &a->config_s, 0, "second", "S"},
        {"store-busy", 0, POPT_ARG_INT, &a->store_busy_s, 0, "second", "S"},
        {"compact", 0, POPT_ARG_INT, &a->compact_s, 0, "second", "S"},
        {"commands", 0, POPT_ARG_STRING, &a->commands, 0,
         "named pipe of events, one a line", "F"},
        {"grace-ms", 0, POPT_ARG_INT, &a->grace_ms, 0, "of entries", "N"},
        {"left-ms", 0, POPT_ARG_INT, &a->left_ms, 0, "that callers will wait",
         "N"},
        {"work-ms", 0, POPT_ARG_INT, &a->work_ms, 0, "of a cold run", "N"},
        {"work-spread-ms", 0, POPT_ARG_INT, &a->spread_ms, 0,
         "more, at most, of a cold run", "N"},
        {"objects", 0, POPT_ARG_INT, &a->objects, 0, "that requests are about",
         "N"},
        {"rest-ms", 0, POPT_ARG_INT, &a->rest_ms, 0,
         "longest rest of a caller", "N"},
        {"keep", 0, POPT_ARG_NONE, &a->keep, 0,
         "three of four callers stay at their entry until it is gone", NULL},
        {"depth", 0, POPT_ARG_INT, &a->depth, 0,
         "requests that one of four callers sends at once", "N"},
        {"slots", 0, POPT_ARG_INT, &a->slots, 0, "of a server", "N"},
        {"crashers", 0, POPT_ARG_INT, &a->crashers, 0,
         "callers whose one request crashes the servers that run it", "N"},
        {"limit", 0, POPT_ARG_DOUBLE, &a->limit, 0,
         "requests a second that some servers name as their limit", "N"},
        {"limit-from", 0, POPT_ARG_INT, &a->limit_s, 0, "second", "S"},
        {"restart-ms", 0, POPT_ARG_INT, &a->restart_ms, 0,
         "from a server's crash to its next start", "N"},
        POPT_AUTOHELP POPT_TABLEEND,
    };

    *a = (SiteOptions){.seconds = 10,
                       .callers = 20,
                       .seed = 1,
                       .grace_ms = 6000,
                       .left_ms = 3000,
                       .work_ms = 40,
                       .objects = 20,
                       .depth = 1,
                       .slots = 3,
                       .restart_ms = 1000};
    poptContext ctx = poptGetContext("standin_site", argc, argv, options, 0);
    bool ok = poptGetNextOpt(ctx) == -1 && a->store != NULL &&
              a->directories != NULL && a->config != NULL &&
              a->server != NULL && a->port > 0;

    if (!ok) {
        poptPrintUsage(ctx, stderr, 0);
    }
    poptFreeContext(ctx);
    return ok;
}
