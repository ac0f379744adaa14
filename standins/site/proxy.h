/* A TCP proxy in front of a simulated backend server, which cuts the links of
 * chosen entries to the server. Entries are told apart by the address that
 * their connections come from (setting source_address). */
#ifndef STANDINS_SITE_PROXY_H
#define STANDINS_SITE_PROXY_H

#include <stdbool.h>
#include <uv.h>

typedef enum {
    SITE_LINK_UP = 0,
    SITE_LINK_SILENT,  /* nothing passes, and no connection is set up */
    SITE_LINK_RESET,   /* open connections are reset, none is set up */
    SITE_LINK_NO_SETUP /* open connections work, none is set up */
} SiteLinkState;

/* Reads the name of a state. Returns false if there is none of that name. */
bool SiteLinkState_Read(const char *name, SiteLinkState *out);

typedef struct SiteProxy_s SiteProxy;

/* Listens at `address` and forwards to `server`. Returns NULL if the address
 * can't be used. */
SiteProxy *SiteProxy_Create(uv_loop_t *loop, const char *address,
                            const char *server);
/* Sets the state of all links from a source address. Returns false if the
 * address is invalid or the kernel refuses the filter. */
bool SiteProxy_SetLinks(SiteProxy *p, const char *source, SiteLinkState state);

#endif
