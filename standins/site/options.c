#include "standins/site/options.h"

#include <popt.h>
#include <stdio.h>
#include <stdlib.h>

bool
SiteOptions_Read(SiteOptions *a, int argc, const char **argv)
{
    SiteEndlessFault endless;
    char *reading = NULL;
    struct poptOption options[] = {
        {"store", 0, POPT_ARG_STRING, &a->store, 0, "address of the store",
         "A"},
        {"directories", 0, POPT_ARG_STRING, &a->directories, 0,
         "comma-separated addresses of directories", "A,..."},
        {"config", 0, POPT_ARG_STRING, &a->config, 0, "configuration", "F"},
        {"server", 0, POPT_ARG_STRING, &a->server, 0,
         "template of a server row, with @NAMES@", "F"},
        {"port", 0, POPT_ARG_INT, &a->port, 0, "port of the first server",
         "N"},
        {"seconds", 0, POPT_ARG_INT, &a->seconds, 0, "length", "N"},
        {"callers", 0, POPT_ARG_INT, &a->callers, 0, "number of callers", "N"},
        {"seed", 0, POPT_ARG_INT, &a->seed, 0, "random seed", "N"},
        {"faults", 0, POPT_ARG_INT, &a->faults, 0,
         "permille of requests with each server fault", "N"},
        {"refuse", 0, POPT_ARG_INT, &a->refuse, 0,
         "permille of requests refused by servers", "N"},
        {"drain", 0, POPT_ARG_INT, &a->drain_s, 0, "second", "S"},
        {"new-config", 0, POPT_ARG_INT, &a->config_s, 0, "second", "S"},
        {"store-busy", 0, POPT_ARG_INT, &a->store_busy_s, 0, "second", "S"},
        {"compact", 0, POPT_ARG_INT, &a->compact_s, 0, "second", "S"},
        {"commands", 0, POPT_ARG_STRING, &a->commands, 0,
         "named pipe of events, one per line", "F"},
        {"grace-ms", 0, POPT_ARG_INT, &a->grace_ms, 0,
         "grace period of entries", "N"},
        {"left-ms", 0, POPT_ARG_INT, &a->left_ms, 0, "time limit of requests",
         "N"},
        {"work-ms", 0, POPT_ARG_INT, &a->work_ms, 0, "duration of a cold run",
         "N"},
        {"work-spread-ms", 0, POPT_ARG_INT, &a->spread_ms, 0,
         "maximum random addition to a cold run", "N"},
        {"objects", 0, POPT_ARG_INT, &a->objects, 0, "number of object keys",
         "N"},
        {"rest-ms", 0, POPT_ARG_INT, &a->rest_ms, 0,
         "longest pause of a caller", "N"},
        {"keep", 0, POPT_ARG_NONE, &a->keep, 0,
         "three of four callers keep their entry until it exits", NULL},
        {"depth", 0, POPT_ARG_INT, &a->depth, 0,
         "requests pipelined by one of four callers", "N"},
        {"slots", 0, POPT_ARG_INT, &a->slots, 0, "slots of a server", "N"},
        {"crashers", 0, POPT_ARG_INT, &a->crashers, 0,
         "callers whose request crashes the servers that run it", "N"},
        {"limit", 0, POPT_ARG_DOUBLE, &a->limit, 0,
         "requests per second that some servers announce as limit", "N"},
        {"limit-from", 0, POPT_ARG_INT, &a->limit_s, 0, "second", "S"},
        {"organisations", 0, POPT_ARG_STRING, &a->organisations, 0,
         "organisations of the configuration", "F"},
        {"beta-rate", 0, POPT_ARG_DOUBLE, &a->beta_rate, 0,
         "requests per second that organisation beta may send", "N"},
        {"revoke", 0, POPT_ARG_INT, &a->revoke_s, 0,
         "second at which a key of beta is revoked", "S"},
        {"restart-ms", 0, POPT_ARG_INT, &a->restart_ms, 0,
         "time from a server crash to the restart", "N"},
        {"endless", 0, POPT_ARG_STRING, &a->endless, 0,
         "servers that send bytes without end: chunked, close, head, behind, "
         "second or any; fast or slow; permille of requests; number of "
         "servers",
         "KIND,SPEED,N,N"},
        {"large-callers", 0, POPT_ARG_INT, &a->large_callers, 0,
         "callers that request large answers", "N"},
        {"reading", 0, POPT_ARG_STRING, &reading, 0,
         "how they read: usual, slow, none or mixed", "WORD"},
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
                       .beta_rate = 20,
                       .restart_ms = 1000};
    poptContext ctx = poptGetContext("standin_site", argc, argv, options, 0);
    bool ok =
        poptGetNextOpt(ctx) == -1 && a->store != NULL &&
        a->directories != NULL && a->config != NULL && a->server != NULL &&
        a->port > 0 &&
        (a->endless == NULL || SiteEndlessFault_Parse(a->endless, &endless)) &&
        (reading == NULL || SiteReading_Parse(reading, &a->reading));

    if (!ok) {
        poptPrintUsage(ctx, stderr, 0);
    }
    free(reading);
    poptFreeContext(ctx);
    return ok;
}
