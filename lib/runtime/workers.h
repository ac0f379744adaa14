/* A pool of threads that work off a queue of jobs. */
#ifndef GW_RUNTIME_WORKERS_H
#define GW_RUNTIME_WORKERS_H

#include <stdint.h>

typedef struct GwWorkers_s GwWorkers;

typedef void (*GwJob)(void *job, void *ctx);

/* Threads are started as jobs come, up to the bound. */
GwWorkers *GwWorkers_Create(GwJob run, void *ctx, uint32_t threads_max);
/* Runs every job that is queued, then ends the threads; NULL is allowed. */
void GwWorkers_Free(GwWorkers *w);
void GwWorkers_Push(GwWorkers *w, void *job);
/* Jobs that no thread has taken. */
uint32_t GwWorkers_Waiting(GwWorkers *w);

#endif
