/* Runs a GwNode in the daemon: threads, sockets, timers. */
#ifndef GW_RUNTIME_RUNTIME_H
#define GW_RUNTIME_RUNTIME_H

#include "config/settings.h"

typedef struct GwRuntime_s GwRuntime;

/* Starts all threads and serves callers. The settings must outlive the
 * runtime. Returns NULL with *error set on failure. */
GwRuntime *GwRuntime_Start(const GwSettings *settings, GError **error);
/* Begins a graceful stop; GwRuntime_IsStopped returns true when it ends. */
void GwRuntime_BeginStop(GwRuntime *rt);
bool GwRuntime_IsStopped(GwRuntime *rt);
/* Returns the state of the process as JSON; free with g_free. */
char *GwRuntime_Dump(GwRuntime *rt);
/* Waits for running calls, joins all threads and frees. NULL is allowed. */
void GwRuntime_Free(GwRuntime *rt);

#endif
