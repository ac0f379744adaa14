/* The signal to stop, and when it came. The loop hears of a signal at the end
 * of its turn; the platform counts from the signal itself. */
#ifndef GW_EDGE_STOP_SIGNAL_H
#define GW_EDGE_STOP_SIGNAL_H

#include <uv.h>

/* Catches SIGTERM and SIGINT from now on; one in a process. `told` is called
 * on the loop at each. */
typedef struct {
    uv_async_t wake;
    void (*told)(void *owner);
    void *owner;
} GwStopSignal;

void GwStopSignal_Start(GwStopSignal *s, uv_loop_t *loop,
                        void (*told)(void *owner), void *owner);
/* Further signals change nothing: the process is about to end. `s` may be freed
 * when the loop has run once more. */
void GwStopSignal_Close(GwStopSignal *s);
/* When the first one came, us of uv_hrtime; 0: none has. */
int64_t GwStopSignal_At(void);

#endif
