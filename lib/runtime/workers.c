#include "runtime/workers.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>

struct GwWorkers_s {
    GwJob run;
    void *ctx;
    pthread_mutex_t mutex;
    pthread_cond_t wake;
    GQueue jobs;
    GArray *threads; /* of pthread_t */
    uint32_t threads_max;
    uint32_t idle;
    bool stop;
};

GwWorkers *
GwWorkers_Create(GwJob run, void *ctx, uint32_t threads_max)
{
    GwWorkers *w = g_new0(GwWorkers, 1);
    w->run = run;
    w->ctx = ctx;
    w->threads_max = threads_max;
    w->threads = g_array_new(FALSE, FALSE, sizeof(pthread_t));
    g_queue_init(&w->jobs);
    pthread_mutex_init(&w->mutex, NULL);
    pthread_cond_init(&w->wake, NULL);
    return w;
}

/* Blocks for the next job; NULL when the pool stops and the queue is empty. */
static void *
next_job(GwWorkers *w)
{
    pthread_mutex_lock(&w->mutex);
    w->idle++;
    while (w->jobs.length == 0 && !w->stop) {
        pthread_cond_wait(&w->wake, &w->mutex);
    }
    w->idle--;
    void *job = g_queue_pop_head(&w->jobs);
    pthread_mutex_unlock(&w->mutex);
    return job;
}

static void *
run_jobs(void *arg)
{
    GwWorkers *w = arg;
    void *job;
    while ((job = next_job(w)) != NULL) {
        w->run(job, w->ctx);
    }
    return NULL;
}

/* Requires w->mutex. Starts a thread when more jobs are queued than threads
 * are idle, so that below threads_max no job waits for a blocked job. */
static void
add_thread_if_needed(GwWorkers *w)
{
    pthread_t thread;
    if (w->jobs.length <= w->idle || w->threads->len >= w->threads_max) {
        return;
    }
    if (pthread_create(&thread, NULL, run_jobs, w) == 0) {
        g_array_append_val(w->threads, thread);
    }
}

void
GwWorkers_Push(GwWorkers *w, void *job)
{
    pthread_mutex_lock(&w->mutex);
    g_queue_push_tail(&w->jobs, job);
    add_thread_if_needed(w);
    pthread_cond_signal(&w->wake);
    pthread_mutex_unlock(&w->mutex);
}

uint32_t
GwWorkers_CountQueued(GwWorkers *w)
{
    pthread_mutex_lock(&w->mutex);
    uint32_t waiting = w->jobs.length;
    pthread_mutex_unlock(&w->mutex);
    return waiting;
}

/* Only running jobs may still push. */
void
GwWorkers_Free(GwWorkers *w)
{
    if (w == NULL) {
        return;
    }
    pthread_mutex_lock(&w->mutex);
    w->stop = true;
    pthread_cond_broadcast(&w->wake);
    pthread_mutex_unlock(&w->mutex);
    for (guint i = 0; i < w->threads->len; i++) {
        pthread_join(g_array_index(w->threads, pthread_t, i), NULL);
    }
    g_array_free(w->threads, TRUE);
    pthread_cond_destroy(&w->wake);
    pthread_mutex_destroy(&w->mutex);
    g_free(w);
}
