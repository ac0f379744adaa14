/* A thread pool with a job queue. */
#ifndef GW_RUNTIME_WORKERS_H
#define GW_RUNTIME_WORKERS_H

#include <stdint.h>

typedef struct GwWorkers_s GwWorkers;

typedef void (*GwJob)(void *job, void *ctx);

/* Starts threads as jobs arrive, at most threads_max. */
GwWorkers *GwWorkers_Create(GwJob run, void *ctx, uint32_t threads_max);
/* Runs all queued jobs, then joins the threads. NULL is allowed. */
void GwWorkers_Free(GwWorkers *w);
void GwWorkers_Push(GwWorkers *w, void *job);
/* Number of jobs that no thread has started. */
uint32_t GwWorkers_CountQueued(GwWorkers *w);

#endif
