/* Command line of the operators.
 *
 * Exit codes:
 *   0  accepted, or the requested output was printed
 *   1  refused; for a call: not run
 *   2  usage error
 *   3  pending; for a call: outcome unknown
 *   4  the entry instance is unreachable */
#include "admin/ctl.h"

#include <curl/curl.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_DEFAULT_MS 15000
#define WAIT_DEFAULT_MS    30000
#define ADMIN_DEFAULT      "127.0.0.1:7003"

static int
count_args(const char **args)
{
    int count = 0;
    while (args != NULL && args[count] != NULL) {
        count++;
    }
    return count;
}

static GwCtlExit
run(poptContext ctx, GwCtlOptions *o, const int *help)
{
    int rc = poptGetNextOpt(ctx);
    if (rc < -1) {
        (void)fprintf(stderr, "godwitctl: %s: %s\n", poptBadOption(ctx, 0),
                      poptStrerror(rc));
        return GW_CTL_USAGE;
    }
    const char **args = poptGetArgs(ctx);
    int argc = count_args(args);
    if (*help) {
        if (argc == 0) {
            poptPrintHelp(ctx, stdout, 0);
        }
        return GwCtl_Help(argc > 0 ? args[0] : NULL);
    }
    if (o->admin_address == NULL) {
        o->admin_address = strdup(ADMIN_DEFAULT);
    }
    if (o->timeout_ms <= 0 || o->wait_ms <= 0) {
        (void)fprintf(
            stderr, "godwitctl: --timeout-ms and --wait-ms must be above 0\n");
        return GW_CTL_USAGE;
    }
    return GwCtl_Run(o, argc, args);
}

/* popt allocates each string option; the program owns it. */
static void
free_options(GwCtlOptions *o)
{
    free(o->admin_address);
    free(o->call_address);
    free(o->token_file);
    free(o->base_version);
    free(o->request_id);
    free(o->operator_name);
    free(o->body_file);
    free(o->before);
    free(o->object);
    free(o->key_file);
}

int
main(int argc, const char **argv)
{
    GwCtlOptions o = {.timeout_ms = TIMEOUT_DEFAULT_MS,
                      .wait_ms = WAIT_DEFAULT_MS,
                      .cap = -1,
                      .percent = -1,
                      .limit = -1};
    int help = 0;
    /* clang-format off */
    const struct poptOption options[] = {
        {"admin", 'a', POPT_ARG_STRING, &o.admin_address, 0,
         "admin address of an entry instance", "IP:PORT"},
        {"token-file", 't', POPT_ARG_STRING, &o.token_file, 0,
         "file with the operator token", "FILE"},
        {"json", 'j', POPT_ARG_NONE, &o.json, 0, "print JSON", NULL},
        {"timeout-ms", 0, POPT_ARG_INT, &o.timeout_ms, 0,
         "time-out of one request in ms (15000)", "N"},
        {"call-address", 'c', POPT_ARG_STRING, &o.call_address, 0,
         "caller address of an entry instance", "IP:PORT"},
        {"base", 'b', POPT_ARG_STRING, &o.base_version, 0,
         "refuse unless VERSION is the current version", "VERSION"},
        {"request-id", 'r', POPT_ARG_STRING, &o.request_id, 0,
         "id of the change; an id is applied at most once", "ID"},
        {"operator", 'o', POPT_ARG_STRING, &o.operator_name, 0,
         "operator name for the change log (default: login name)", "NAME"},
        {"wait", 'w', POPT_ARG_NONE, &o.wait, 0,
         "wait until every live member has the version", NULL},
        {"wait-ms", 0, POPT_ARG_INT, &o.wait_ms, 0,
         "time-out of --wait in ms (30000)", "N"},
        {"cap", 0, POPT_ARG_INT, &o.cap, 0,
         "maximum number of requests in flight", "N"},
        {"percent", 0, POPT_ARG_INT, &o.percent, 0,
         "percentage moved even if local servers have capacity", "P"},
        {"limit", 0, POPT_ARG_INT, &o.limit, 0,
         "maximum number of history lines", "N"},
        {"before", 0, POPT_ARG_STRING, &o.before, 0,
         "print history of versions below VERSION", "VERSION"},
        {"body", 0, POPT_ARG_STRING, &o.body_file, 0,
         "file with the body of a call", "FILE"},
        {"deadline-ms", 0, POPT_ARG_INT, &o.deadline_ms, 0,
         "deadline of a call in ms (5000)", "N"},
        {"object", 0, POPT_ARG_STRING, &o.object, 0,
         "object that a request is about", "KEY"},
        {"key-file", 0, POPT_ARG_STRING, &o.key_file, 0,
         "file with the key of a caller", "FILE"},
        {"help", 'h', POPT_ARG_NONE, &help, 0, "print help, or help on COMMAND",
         NULL},
        POPT_TABLEEND,
    };
    /* clang-format on */
    poptContext ctx = poptGetContext("godwitctl", argc, argv, options, 0);
    poptSetOtherOptionHelp(ctx, "[OPTION...] COMMAND [ARGUMENT...]");
    curl_global_init(CURL_GLOBAL_DEFAULT);
    GwCtlExit code = run(ctx, &o, &help);
    curl_global_cleanup();
    free_options(&o);
    poptFreeContext(ctx);
    return (int)code;
}
