#include "edge/stop_signal.h"

#include <errno.h>
#include <signal.h>
#include <stdatomic.h>
#include <stddef.h>
#include <time.h>

static _Atomic int64_t signalled_us;
static _Atomic(uv_async_t *) wake_async;

/* Runs as the signal handler, so it records the time of the signal even if the
 * loop handles the signal seconds later. */
static void
on_signal(int signum)
{
    uv_async_t *async = atomic_load(&wake_async);
    int64_t none = 0;
    int saved = errno; /* errno of the interrupted code */
    struct timespec now;

    (void)signum;
    (void)clock_gettime(CLOCK_MONOTONIC, &now);
    (void)atomic_compare_exchange_strong(&signalled_us, &none,
                                         (int64_t)now.tv_sec * 1000000 +
                                             now.tv_nsec / 1000);
    if (async != NULL) {
        (void)uv_async_send(async);
    }
    errno = saved;
}

static void
on_wake(uv_async_t *async)
{
    GwStopSignal *s = async->data;

    s->notify(s->owner);
}

void
GwStopSignal_Start(GwStopSignal *s, uv_loop_t *loop,
                   void (*notify)(void *owner), void *owner)
{
    struct sigaction act = {.sa_handler = on_signal, .sa_flags = SA_RESTART};

    s->notify = notify;
    s->owner = owner;
    (void)uv_async_init(loop, &s->wake, on_wake);
    s->wake.data = s;
    atomic_store(&signalled_us, 0);
    atomic_store(&wake_async, &s->wake);
    (void)sigemptyset(&act.sa_mask);
    (void)sigaction(SIGTERM, &act, NULL);
    (void)sigaction(SIGINT, &act, NULL);
}

void
GwStopSignal_Close(GwStopSignal *s)
{
    atomic_store(&wake_async, NULL);
    uv_close((uv_handle_t *)&s->wake, NULL);
}

int64_t
GwStopSignal_At(void)
{
    return atomic_load(&signalled_us);
}
