/* The daemon's host of a GwNode: threads, sockets, timers. */
#ifndef GW_RUNTIME_RUNTIME_H
#define GW_RUNTIME_RUNTIME_H

#include "config/settings.h"

typedef struct GwRuntime_s GwRuntime;

/* Starts every thread and serves. The settings must outlive it. */
GwRuntime *GwRuntime_Start(const GwSettings *settings, GError **error);
/* Begins a graceful stop; GwRuntime_IsStopped tells when it is over. */
void GwRuntime_Leave(GwRuntime *rt);
bool GwRuntime_IsStopped(GwRuntime *rt);
/* The state of the process as JSON; free with g_free. */
char *GwRuntime_Dump(GwRuntime *rt);
/* Waits for calls in flight, then ends every thread. */
void GwRuntime_Free(GwRuntime *rt);

#endif
