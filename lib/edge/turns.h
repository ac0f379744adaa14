/* How long the turns of an event loop take: from its wake-up to its next look
 * at the sockets. What comes meanwhile is read late. */
#ifndef GW_EDGE_TURNS_H
#define GW_EDGE_TURNS_H

#include <stdint.h>
#include <uv.h>

/* A turn above this is counted as long, and its host is told: callers' limits
 * are some hundreds of ms. */
#define GW_TURN_LONG_US 100000

typedef struct GwTurns_s GwTurns;

/* Called with the length of each long turn as it ends. */
typedef void (*GwTurnLong)(void *ctx, int64_t turn_us);

typedef struct {
    int64_t max_us;  /* the longest since the start */
    int64_t busy_us; /* all turns together */
    uint64_t count_long;
} GwTurnsView;

GwTurns *GwTurns_Create(uv_loop_t *loop, GwTurnLong on_long, void *ctx);
/* Frees it; the loop has to run once more. */
void GwTurns_Close(GwTurns *turns);
GwTurnsView GwTurns_View(const GwTurns *turns);
/* us, uv_hrtime: whatever came to the sockets before this was seen by the
 * loop's last look. What came later has not been read, however long ago. */
int64_t GwTurns_SeenUntil(const GwTurns *turns);

#endif
