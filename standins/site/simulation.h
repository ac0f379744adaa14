/* Internals shared by the source files of the simulated site. */
#ifndef STANDINS_SITE_SIMULATION_H
#define STANDINS_SITE_SIMULATION_H

#include "standins/site/options.h"
#include "standins/site/organisations.h"
#include "standins/site/site.h"

#define SITE_SERVERS 6

typedef struct Site_s Site;

struct Site_s {
    SiteOptions args;
    uv_loop_t loop;
    uv_timer_t tick;
    GwRng rng;
    SiteStore *store;
    char *config;
    char *server_text;
    uint32_t version; /* of the configuration */
    SiteOrganisations *organisations;
    bool revoked;
    SiteJournal *journal;
    SiteServer *servers[SITE_SERVERS];
    SiteProxy *proxies[SITE_SERVERS]; /* entries connect to these */
    bool draining[SITE_SERVERS];
    uint32_t birth[SITE_SERVERS];
    SiteStoreMode store_mode;
    uint32_t heartbeats[SITE_SERVERS]; /* rows that the server has written */
    GHashTable *paused;                /* addresses of entries */
    GHashTable *evacuated; /* key -> row of the operator; NULL: removed */
    GPtrArray *callers;
    GPtrArray *directories;
    int64_t start_us;
    bool drained;
    bool reconfigured;
    bool limited;
    bool compacted;
    bool lacks_writes;      /* the store was restored, without `rewrite` yet */
    bool has_invalid_event; /* an event line was invalid */
    /* Permille of requests that servers fail, and answer without end. */
    uint32_t failing;
    uint32_t endless;
};

/* The service of a server. */
const char *Site_ServiceOf(int i);
/* Writes the row of a server in that state ("ready", "draining"). */
void Site_PutServer(Site *site, int i, const char *state);
/* Writes, or removes, rows of another program that must name no server. */
void Site_PutForeignRows(Site *site, bool are_present);
/* Replaces what matches `pattern` in the configuration, and writes it. NULL
 * changes nothing. */
void Site_PutConfig(Site *site, const char *pattern, const char *text);
/* Adds the organisations to the configuration. False if the file can't be
 * read. */
bool Site_AddOrganisations(Site *site);
/* Removes the old key of an organisation from the configuration, once. */
void Site_RevokeKey(Site *site);

/* Sets the fault of servers that send without end; see
 * SiteEndlessFault_Parse. Returns false if `text` is invalid. */
bool Site_SetEndless(Site *site, const char *text);

/* Runs the event of a line of --commands; see `events` in events.c. */
void Site_RunEvent(void *owner, char **words);

#endif
