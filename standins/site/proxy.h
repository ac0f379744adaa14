/* A TCP proxy in front of a simulated backend server, which cuts the links of
 * chosen entries to the server. Entries are told apart by the address that
 * their connections come from (setting source_address). */
#ifndef STANDINS_SITE_PROXY_H
#define STANDINS_SITE_PROXY_H

#include <stdbool.h>
#include <uv.h>

typedef struct SiteProxy_s SiteProxy;

/* Listens at a port of the loopback interface and forwards to `server`. Returns
 * NULL if the port can't be used. */
SiteProxy *SiteProxy_Create(uv_loop_t *loop, int port, const char *server);
/* Closes all connections and refuses new ones, as when the process of the
 * server has exited, or listens again. Returns false if it can't listen. */
bool SiteProxy_SetListening(SiteProxy *p, bool listens);
/* Sets the state of the links from a source address at all proxies: up, silent,
 * reset or no-setup. Returns false if an argument is invalid or the kernel
 * refuses a filter. */
bool SiteProxies_SetLinks(SiteProxy *const *proxies, int count,
                          const char *state, const char *source);

#endif
