/* The command line of standin_site. */
#ifndef STANDINS_SITE_OPTIONS_H
#define STANDINS_SITE_OPTIONS_H

#include "standins/site/site.h"

#include <stdbool.h>

typedef struct {
    char *store;
    char *directories;
    char *config;
    char *server;
    int port;
    int seconds;
    int callers;
    int seed;
    int faults; /* permille */
    int drain_s;
    int config_s;
    int store_busy_s;
    int compact_s;
    char *commands;
    int grace_ms;
    int left_ms;
    int work_ms;
    int spread_ms;
    int objects;
    int rest_ms;
    int keep;
    int depth;
    int slots;
    int refuse; /* permille */
    int crashers;
    int restart_ms;
    double limit; /* requests a second */
    int limit_s;
    char *organisations;
    double beta_rate; /* requests a second */
    int revoke_s;
    char *endless; /* see SiteEndlessFault_Parse; NULL: none */
    int large_callers;
    SiteReading reading; /* of them */
} SiteOptions;

/* Parses the command line; missing options get defaults. Prints the usage to
 * stderr and returns false when an option is invalid or a required one is
 * missing. */
bool SiteOptions_Read(SiteOptions *a, int argc, const char **argv);

#endif
