/* The stop signal and its time of arrival. The loop handles a signal only at
 * the end of a turn, but the platform's grace period begins when it sends the
 * signal. */
#ifndef GW_EDGE_STOP_SIGNAL_H
#define GW_EDGE_STOP_SIGNAL_H

#include <uv.h>

/* Handler of SIGTERM and SIGINT; at most one per process. `notify` is called
 * on the loop for each signal. */
typedef struct {
    uv_async_t wake;
    void (*notify)(void *owner);
    void *owner;
} GwStopSignal;

void GwStopSignal_Start(GwStopSignal *s, uv_loop_t *loop,
                        void (*notify)(void *owner), void *owner);
/* Later signals have no effect: the process is about to exit. `s` may be freed
 * once the loop has run again. */
void GwStopSignal_Close(GwStopSignal *s);
/* Time of the first signal, in us of uv_hrtime; 0: none was received. */
int64_t GwStopSignal_At(void);

#endif
