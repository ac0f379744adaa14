/* An entry whose loop is behind: what has come to its sockets lies unread
 * while it decides. */
#include "fakes/edge_host.h"

#include <criterion/criterion.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* As many as one connection may have under way: the rest of it, and its end,
 * is read only later. */
#define PIPELINED 32

typedef enum {
    AT_ARRIVAL,   /* in the turn in which it was read */
    AFTER_A_WAIT, /* as the end of another request makes room */
    SECOND_TRY,   /* a server refused it, and it goes to the next */
    AS_CONNECTED  /* as the connection to the server is made */
} SentWhen;

typedef enum {
    STAYS,
    STAYS_AND_ASKS, /* with another request, unread */
    CLOSES,
    CLOSES_BEHIND_BYTES, /* another request comes before the end */
    RESETS
} CallerThen;

typedef struct {
    EdgeHost *h;
    int caller;
    int other; /* another caller, who stays */
    CallerThen then;
    const char *awaited; /* id of a request */
    uint32_t before;     /* times that it had come when its caller decided */
} Late;

/* At all servers together. */
static uint32_t
got(Late *late, const char *id)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < late->h->server_count; i++) {
        count += EdgeHost_Got(&late->h->servers[i], id);
    }
    return count;
}

static bool
has_come(void *ctx)
{
    Late *late = ctx;

    return got(late, late->awaited) > 0;
}

static void
await_request(Late *late, const char *id)
{
    late->awaited = id;
    cr_assert(EdgeHost_Until(late->h, has_come, late), "%s", id);
}

static bool
is_idle(void *ctx)
{
    const Late *late = ctx;

    return GwRouter_OpenCount(late->h->edge->router) == 0;
}

/* What the servers said just before is the first event of the next turn: the
 * turn here takes from the kernel's list what was read in the last one. */
static void
answer(Late *late, const char *id)
{
    EdgeHost_Turn(late->h);
    for (uint32_t i = 0; i < late->h->server_count; i++) {
        EdgeHost_Answer(&late->h->servers[i], id);
    }
}

static void
refuse(Late *late, const char *id)
{
    EdgeHost_Turn(late->h);
    for (uint32_t i = 0; i < late->h->server_count; i++) {
        EdgeHost_Refuse(&late->h->servers[i], id);
    }
}

static void
do_then(const Late *late)
{
    struct linger now = {.l_onoff = 1};

    switch (late->then) {
    case STAYS:
        return;
    case STAYS_AND_ASKS:
        EdgeHost_Ask(late->caller, "/again/", "behind");
        return;
    case CLOSES:
        break;
    case CLOSES_BEHIND_BYTES:
        EdgeHost_Ask(late->caller, "/again/", "behind");
        break;
    case RESETS:
        (void)setsockopt(late->caller, SOL_SOCKET, SO_LINGER, &now,
                         sizeof(now));
        break;
    }
    close(late->caller);
}

/* Requests that are answered leave three kept connections at both servers,
 * which have two slots and get one more ahead. */
static void
keep_connections(Late *late)
{
    static const char *const ids[] = {"w1", "w2", "w3", "w4", "w5", "w6"};

    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        EdgeHost_Ask(late->other, "/again/", ids[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        await_request(late, ids[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        answer(late, ids[i]);
    }
    cr_assert(EdgeHost_Until(late->h, is_idle, late));
}

static void
send_at_arrival(Late *late)
{
    keep_connections(late);
    EdgeHost_Ask(late->caller, "/again/", "late");
    do_then(late);
}

static bool
is_waiting(void *ctx)
{
    const Late *late = ctx;

    return GwRouter_OpenCount(late->h->edge->router) == 5;
}

/* The servers have one slot now, and one ahead: the fifth request waits. */
static void
send_after_a_wait(Late *late)
{
    static const char *const ids[] = {"f1", "f2", "f3", "f4"};

    keep_connections(late);
    for (uint32_t i = 0; i < late->h->server_count; i++) {
        EdgeHost_PutServer(late->h, &late->h->servers[i], 1);
    }

    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        EdgeHost_Ask(late->other, "/again/", ids[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        await_request(late, ids[i]);
    }
    EdgeHost_Ask(late->caller, "/again/", "late");
    cr_assert(EdgeHost_Until(late->h, is_waiting, late));
    cr_assert_eq(got(late, "late"), 0);
    answer(late, "f1");
    do_then(late);
}

static void
send_second_try(Late *late)
{
    keep_connections(late);
    EdgeHost_Ask(late->caller, "/again/", "late");
    await_request(late, "late");
    late->before = 1;
    refuse(late, "late");
    do_then(late);
}

/* The connections are being made when the caller leaves. */
static void
send_as_connected(Late *late)
{
    char id[16] = "late";

    for (int i = 0; i < PIPELINED; i++) {
        EdgeHost_Ask(late->caller, "/again/", id);
        g_snprintf(id, sizeof(id), "p%d", i);
    }
    while (g_queue_is_empty(&late->h->edge->connecting)) {
        EdgeHost_Turn(late->h);
    }
    do_then(late);
}

/* Its caller's part is over: it has come, or nobody asks any more. */
static bool
is_settled(void *ctx)
{
    Late *late = ctx;

    return got(late, "late") > late->before ||
           g_queue_get_length(&late->h->edge->callers) == 1;
}

/* A caller sends a request, gets no answer for a while, and closes its
 * connection. Its entry is behind: it reads the request late and passes it on
 * at once, or passes on what has waited as room comes, while the end of the
 * connection lies unread in the next event of the same turn. The server works
 * for nobody, and another caller's request is refused for it. */
Test(edge_late, nothing_is_passed_on_for_a_caller_who_has_left)
{
    static void (*const paths[])(Late * late) = {
        [AT_ARRIVAL] = send_at_arrival,
        [AFTER_A_WAIT] = send_after_a_wait,
        [SECOND_TRY] = send_second_try,
        [AS_CONNECTED] = send_as_connected,
    };
    static const struct {
        SentWhen when;
        CallerThen then;
    } cases[] = {
        {AT_ARRIVAL, STAYS},
        {AT_ARRIVAL, STAYS_AND_ASKS},
        {AT_ARRIVAL, CLOSES},
        {AT_ARRIVAL, CLOSES_BEHIND_BYTES},
        {AT_ARRIVAL, RESETS},
        {AFTER_A_WAIT, STAYS},
        {AFTER_A_WAIT, STAYS_AND_ASKS},
        {AFTER_A_WAIT, CLOSES},
        {AFTER_A_WAIT, CLOSES_BEHIND_BYTES},
        {AFTER_A_WAIT, RESETS},
        {SECOND_TRY, STAYS},
        {SECOND_TRY, STAYS_AND_ASKS},
        {SECOND_TRY, CLOSES},
        {SECOND_TRY, CLOSES_BEHIND_BYTES},
        {SECOND_TRY, RESETS},
        {AS_CONNECTED, STAYS},
        {AS_CONNECTED, STAYS_AND_ASKS},
        {AS_CONNECTED, CLOSES},
        {AS_CONNECTED, CLOSES_BEHIND_BYTES},
        {AS_CONNECTED, RESETS},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Late late = {.h = EdgeHost_Create(), .then = cases[i].then};
        bool stays = cases[i].then <= STAYS_AND_ASKS;

        EdgeHost_AddServer(late.h, "a", 2);
        EdgeHost_AddServer(late.h, "b", 2);
        late.caller = EdgeHost_Call(late.h);
        late.other = EdgeHost_Call(late.h);
        paths[cases[i].when](&late);
        cr_expect(EdgeHost_Until(late.h, is_settled, &late), "case %zu", i);
        cr_expect_eq(got(&late, "late"), late.before + stays, "case %zu", i);
        if (!stays) {
            /* What it held is free, and whoever is here is served. */
            EdgeHost_Ask(late.other, "/again/", "next");
            await_request(&late, "next");
        }
        close(late.other);
        if (stays) {
            close(late.caller);
        }
        EdgeHost_Free(late.h);
    }
}
