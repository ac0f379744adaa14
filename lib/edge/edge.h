/* One entry on an event loop: callers, backend servers, the store, peers and
 * the directory, all on one thread. It decides nothing about where work goes;
 * that is lib/router. */
#ifndef GW_EDGE_EDGE_H
#define GW_EDGE_EDGE_H

#include "edge/adapter.h"
#include "edge/settings.h"

typedef struct GwEdge_s GwEdge;

/* Takes over the settings, which were read from `path`, and opens the
 * listeners. NULL with `error` when an address is taken. */
GwEdge *GwEdge_Create(GwEdgeSettings *settings, const char *path,
                      const GwAdapter *adapter, GError **error);
/* Serves until a graceful stop is over (SIGTERM, SIGINT). */
void GwEdge_Run(GwEdge *edge);
void GwEdge_Free(GwEdge *edge);

#endif
