/* Measures the turns of an event loop: from its wake-up to the next poll of
 * the sockets. Input that arrives during a turn is read late. */
#ifndef GW_EDGE_TURNS_H
#define GW_EDGE_TURNS_H

#include <stdint.h>
#include <uv.h>

/* A longer turn is counted as long and reported to the callback: callers' time
 * limits are some hundreds of ms. */
#define GW_TURN_LONG_US 100000

typedef struct GwTurns_s GwTurns;

/* Called with the length of each long turn as it ends. */
typedef void (*GwTurnLong)(void *ctx, int64_t turn_us);

typedef struct {
    int64_t max_us;  /* longest turn since the start */
    int64_t busy_us; /* total time of all turns */
    uint64_t count_long;
} GwTurnsView;

GwTurns *GwTurns_Create(uv_loop_t *loop, GwTurnLong on_long, void *ctx);
/* Closes the handle; the memory is freed once the loop has run again. */
void GwTurns_Close(GwTurns *turns);
GwTurnsView GwTurns_View(const GwTurns *turns);
/* Start of the last poll plus its idle time, in us of uv_hrtime: the poll has
 * seen all input that arrived before this time. Input that arrived later is
 * still unread. */
int64_t GwTurns_PolledUntil(const GwTurns *turns);

#endif
