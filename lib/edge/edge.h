/* An entry on an event loop: callers, backend servers, the store, peers and
 * the directory, all on one thread. Load balancing decisions are made in
 * lib/router. */
#ifndef GW_EDGE_EDGE_H
#define GW_EDGE_EDGE_H

#include "edge/adapter.h"
#include "edge/settings.h"

typedef struct GwEdge_s GwEdge;

/* Takes ownership of the settings, read from `path`, and opens the listeners.
 * Returns NULL and sets `error` when an address can't be bound. */
GwEdge *GwEdge_Create(GwEdgeSettings *settings, const char *path,
                      const GwAdapter *adapter, GError **error);
/* Runs until a graceful stop (SIGTERM, SIGINT) is complete. */
void GwEdge_Run(GwEdge *edge);
void GwEdge_Free(GwEdge *edge);

#endif
