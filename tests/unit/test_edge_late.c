/* An entry whose loop is behind: what has come to its sockets lies unread
 * while it decides. */
#include "fakes/edge_host.h"
#include "router/router_internal.h"

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
    uint32_t open;       /* requests, as awaited */
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

/* Requests that are answered leave as many kept connections, half of them at
 * each server: all come at once, and the servers have just that much room. */
static void
keep_connections(Late *late, uint32_t count)
{
    char id[16];

    for (uint32_t i = 0; i < count; i++) {
        g_snprintf(id, sizeof(id), "w%u", i);
        EdgeHost_Ask(late->other, "/again/", id);
    }
    for (uint32_t i = 0; i < count; i++) {
        g_snprintf(id, sizeof(id), "w%u", i);
        await_request(late, id);
    }
    for (uint32_t i = 0; i < count; i++) {
        g_snprintf(id, sizeof(id), "w%u", i);
        answer(late, id);
    }
    cr_assert(EdgeHost_Until(late->h, is_idle, late));
}

static void
send_at_arrival(Late *late)
{
    keep_connections(late, 6);
    EdgeHost_Ask(late->caller, "/again/", "late");
    do_then(late);
}

static bool
has_open(void *ctx)
{
    const Late *late = ctx;

    return GwRouter_OpenCount(late->h->edge->router) == late->open;
}

/* The servers have one slot now, and one ahead: the fifth request waits. */
static void
send_after_a_wait(Late *late)
{
    static const char *const ids[] = {"f1", "f2", "f3", "f4"};

    keep_connections(late, 6);
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
    late->open = G_N_ELEMENTS(ids) + 1;
    cr_assert(EdgeHost_Until(late->h, has_open, late));
    cr_assert_eq(got(late, "late"), 0);
    answer(late, "f1");
    do_then(late);
}

static void
send_second_try(Late *late)
{
    keep_connections(late, 6);
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

/* Longer than a connection to a server may take. */
#define STALL_US 700000

static void
see_ejected(void *ctx, const GwServiceView *view)
{
    *(uint32_t *)ctx += view->ejected;
}

static uint32_t
count_ejected(const EdgeHost *h)
{
    uint32_t ejected = 0;

    GwRouter_EachService(h->edge->router, GwEdge_Now(), see_ejected, &ejected);
    return ejected;
}

static bool
is_decided(void *ctx)
{
    Late *late = ctx;

    return got(late, "late") > 0 || count_ejected(late->h) > 0;
}

/* An entry begins connections to sound servers, and its loop does nothing for
 * longer than a connection may take. They were made at once, but its clock is
 * the first thing that it looks at: it gives them up, passes over the servers
 * as if they were gone, and callers are refused beside idle servers. One that
 * is really not made is still given up. */
Test(edge_late, a_connection_is_given_up_only_after_a_look_at_it)
{
    static const struct {
        bool is_made;
        uint32_t come;
        uint32_t ejected;
    } cases[] = {{true, 1, 0}, {false, 0, 1}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Late late = {.h = EdgeHost_Create()};

        EdgeHost_AddServer(late.h, "a", 2);
        if (!cases[i].is_made) {
            EdgeHost_Block(&late.h->servers[0]);
        }
        late.caller = EdgeHost_Call(late.h);
        EdgeHost_Ask(late.caller, "/again/", "late");
        while (g_queue_is_empty(&late.h->edge->connecting)) {
            EdgeHost_Turn(late.h);
        }
        g_usleep(STALL_US);
        cr_expect(EdgeHost_Until(late.h, is_decided, &late), "case %zu", i);
        cr_expect_eq(count_ejected(late.h), cases[i].ejected, "case %zu", i);
        cr_expect_eq(got(&late, "late"), cases[i].come, "case %zu", i);
        close(late.caller);
        EdgeHost_Free(late.h);
    }
}

/* What the request's caller gives it; with what is kept for the server's word
 * that is less than a stall. */
#define SHORT_MS 300

static char answer_text[4096];

static bool
has_answer(void *ctx)
{
    const Late *late = ctx;
    const char *text = EdgeHost_Read(late->caller);

    if (text[0] != '\0') {
        g_strlcpy(answer_text, text, sizeof(answer_text));
    }
    return answer_text[0] != '\0';
}

/* A server answers in time, and its entry is behind: when it looks at its
 * clock the request's time is over, and the answer lies unread. The caller,
 * who still waits, was told 504 though it could have had the answer. One that
 * really isn't answered is still told so. */
Test(edge_late, time_is_over_only_after_a_look_for_the_answer)
{
    static const struct {
        bool is_answered;
        const char *status;
    } cases[] = {{true, "HTTP/1.1 200 "}, {false, "HTTP/1.1 504 "}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Late late = {.h = EdgeHost_Create()};

        answer_text[0] = '\0';
        EdgeHost_AddServer(late.h, "a", 2);
        late.caller = EdgeHost_Call(late.h);
        EdgeHost_AskFor(late.caller, "/again/", "late", SHORT_MS);
        await_request(&late, "late");
        if (cases[i].is_answered) {
            answer(&late, "late");
        }
        g_usleep(STALL_US);
        cr_expect(EdgeHost_Until(late.h, has_answer, &late), "case %zu", i);
        cr_expect_eq(
            strncmp(answer_text, cases[i].status, strlen(cases[i].status)), 0,
            "case %zu: %.20s", i, answer_text);
        close(late.caller);
        EdgeHost_Free(late.h);
    }
}

#define LEAVERS      4
#define EACH         4 /* requests of one of them */
#define HELD         6 /* by the first caller */
#define KEPT_EACH    6
#define SLOTS_BEFORE (KEPT_EACH - GW_SLOTS_AHEAD)
#define SLOTS_NOW    (HELD / 2 - GW_SLOTS_AHEAD)

static void
ask_many(int caller, char name, uint32_t count)
{
    char id[16];

    for (uint32_t i = 0; i < count; i++) {
        g_snprintf(id, sizeof(id), "%c%u", name, i);
        EdgeHost_Ask(caller, "/again/", id);
    }
}

/* How long this machine took for the first answers must not decide which server
 * is the better one: requests would wait for it beside a free slot. */
static void
forget_speeds(EdgeHost *h)
{
    GPtrArray *servers = GwRouter_FindOrAddService(h->edge->router, "s")->servers;

    for (guint i = 0; i < servers->len; i++) {
        ((GwServer *)servers->pdata[i])->slowdown = 1.0;
    }
}

/* Several callers with more than one request each leave while their entry is
 * behind, after one whose requests held all slots. Some of them are found to
 * have left in one go. As the first is dropped, the room that it leaves goes
 * to a request of the next one, who is dropped too: the entry must not pass on
 * what is gone. */
Test(edge_late, callers_who_leave_together_make_room_for_each_other)
{
    Late late = {.h = EdgeHost_Create()};
    int callers[LEAVERS];

    EdgeHost_AddServer(late.h, "a", SLOTS_BEFORE);
    EdgeHost_AddServer(late.h, "b", SLOTS_BEFORE);
    late.other = EdgeHost_Call(late.h);
    keep_connections(&late, 2 * KEPT_EACH);
    EdgeHost_PutServer(late.h, &late.h->servers[0], SLOTS_NOW);
    EdgeHost_PutServer(late.h, &late.h->servers[1], SLOTS_NOW);
    forget_speeds(late.h);
    late.caller = EdgeHost_Call(late.h);
    ask_many(late.caller, 'f', HELD);
    late.open = HELD;
    cr_assert(EdgeHost_Until(late.h, has_open, &late));
    for (int i = 0; i < LEAVERS; i++) {
        callers[i] = EdgeHost_Call(late.h);
        ask_many(callers[i], (char)('l' + i), EACH);
    }
    late.open = HELD + EACH * LEAVERS;
    cr_assert(EdgeHost_Until(late.h, has_open, &late));
    EdgeHost_Turn(late.h);
    close(late.caller);
    for (int i = 0; i < LEAVERS; i++) {
        close(callers[i]);
    }
    cr_expect(EdgeHost_Until(late.h, is_idle, &late));
    cr_expect_eq(got(&late, "f0"), 1);
    cr_expect_eq(got(&late, "l0"), 0);
    EdgeHost_Ask(late.other, "/again/", "next");
    await_request(&late, "next");
    close(late.other);
    EdgeHost_Free(late.h);
}

#define CALLERS    60 /* more than may be connected at once, */
#define CONNECTED  40 /* a third of the descriptors of EdgeHost_Create */
#define MANY_SLOTS 100

static bool
is_connected(void *ctx)
{
    const Late *late = ctx;

    return g_queue_get_length(&late->h->edge->callers) >= CONNECTED;
}

/* Many callers come to one entry at once, as when all others of its region
 * stop. It accepted until it had no descriptor left: then no connection to a
 * server could be made, and the loop tried to accept without end and did
 * nothing else any more. Callers wait to be accepted instead, and each is
 * served as others leave. */
Test(edge_late, callers_leave_descriptors_for_servers)
{
    Late late = {.h = EdgeHost_Create()};
    int callers[CALLERS];
    char id[16];

    EdgeHost_AddServer(late.h, "a", MANY_SLOTS);
    for (int i = 0; i < CALLERS; i++) {
        callers[i] = EdgeHost_Call(late.h);
        g_snprintf(id, sizeof(id), "c%d", i);
        EdgeHost_Ask(callers[i], "/again/", id);
    }
    cr_assert(EdgeHost_Until(late.h, is_connected, &late));
    for (int i = 0; i < CONNECTED; i++) {
        g_snprintf(id, sizeof(id), "c%d", i);
        await_request(&late, id);
    }
    cr_expect_eq(g_queue_get_length(&late.h->edge->callers), CONNECTED);
    cr_expect_eq(got(&late, "c40"), 0);
    for (int i = 0; i < CALLERS; i++) {
        g_snprintf(id, sizeof(id), "c%d", i);
        await_request(&late, id);
        cr_expect_leq(g_queue_get_length(&late.h->edge->callers), CONNECTED);
        close(callers[i]);
    }
    cr_expect(EdgeHost_Until(late.h, is_idle, &late));
    EdgeHost_Free(late.h);
}
