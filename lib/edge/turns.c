#include "edge/turns.h"

#include <glib.h>

struct GwTurns_s {
    uv_loop_t *loop;
    uv_prepare_t prepare; /* runs right before each poll of the sockets */
    GwTurnLong on_long;
    void *ctx;
    int64_t poll_began_us; /* start of the last poll; 0: none yet */
    int64_t idle_us;       /* idle time in all polls before that */
    GwTurnsView view;
};

static int64_t
now_us(void)
{
    return (int64_t)(uv_hrtime() / 1000);
}

/* Idle time in all polls of the sockets since the start. */
static int64_t
idle_us(const GwTurns *turns)
{
    return (int64_t)(uv_metrics_idle_time(turns->loop) / 1000);
}

int64_t
GwTurns_PolledUntil(const GwTurns *turns)
{
    return turns->poll_began_us + idle_us(turns) - turns->idle_us;
}

static void
note_turn(GwTurns *turns, int64_t turn_us)
{
    turns->view.max_us = MAX(turns->view.max_us, turn_us);
    turns->view.busy_us += turn_us;
    if (turn_us > GW_TURN_LONG_US) {
        turns->view.count_long++;
        turns->on_long(turns->ctx, turn_us);
    }
}

static void
on_prepare(uv_prepare_t *prepare)
{
    GwTurns *turns = prepare->data;
    int64_t now = now_us();

    note_turn(turns, MAX(now - GwTurns_PolledUntil(turns), 0));
    turns->poll_began_us = now;
    turns->idle_us = idle_us(turns);
}

GwTurns *
GwTurns_Create(uv_loop_t *loop, GwTurnLong on_long, void *ctx)
{
    GwTurns *turns = g_new0(GwTurns, 1);

    (void)uv_loop_configure(loop, UV_METRICS_IDLE_TIME);
    turns->loop = loop;
    turns->on_long = on_long;
    turns->ctx = ctx;
    turns->poll_began_us = now_us();
    turns->idle_us = idle_us(turns);
    (void)uv_prepare_init(loop, &turns->prepare);
    turns->prepare.data = turns;
    (void)uv_prepare_start(&turns->prepare, on_prepare);
    uv_unref((uv_handle_t *)&turns->prepare);
    return turns;
}

static void
on_closed(uv_handle_t *handle)
{
    g_free(handle->data);
}

void
GwTurns_Close(GwTurns *turns)
{
    uv_close((uv_handle_t *)&turns->prepare, on_closed);
}

GwTurnsView
GwTurns_View(const GwTurns *turns)
{
    return turns->view;
}
