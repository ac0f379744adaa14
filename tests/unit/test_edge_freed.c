/* Requests whose callers leave, or whose time is over, while actions that name
 * them are queued. Run with the address sanitizer. */
#include "common/rng.h"
#include "edge/callers_internal.h"
#include "edge/open_requests.h"
#include "fakes/edge_host.h"
#include "platform/platform.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DEPTH      40 /* above the number that is read of a connection */
#define LEFT_MS    20000
#define SHORT_MS   150
#define TIMEOUT_MS 120 /* added by the entry to a caller's time */

typedef struct {
    EdgeHost *h;
    uint32_t callers; /* expected to remain */
} Ctx;

static void
ask_many(int caller, const char *name, int count, uint32_t left_ms)
{
    for (int i = 0; i < count; i++) {
        char id[24];
        g_snprintf(id, sizeof(id), "%s-%d", name, i);
        EdgeHost_SendRequestFor(caller, "/again/", id, left_ms);
    }
}

static bool
have_left(void *ctx)
{
    Ctx *c = ctx;

    return g_queue_get_length(&c->h->edge->callers) == c->callers;
}

static void
run(EdgeHost *h, int turns)
{
    for (int i = 0; i < turns; i++) {
        EdgeHost_RunOnce(h);
        g_usleep(200);
    }
}

/* Guards against: callers with a full pipeline leave together, and the slots
 * of the first go to requests of the next that are then freed. */
Test(edge_freed, callers_that_leave_in_one_sweep, .timeout = 60)
{
    for (int round = 0; round < 3; round++) {
        EdgeHost *h = EdgeHost_Create();
        Ctx c = {.h = h};
        int callers[4];
        EdgeHost_AddServer(h, "a", 2);
        for (int i = 0; i < 4; i++) {
            char name[8];
            g_snprintf(name, sizeof(name), "c%d", i);
            callers[i] = EdgeHost_Connect(h);
            ask_many(callers[i], name, DEPTH, LEFT_MS);
            run(h, 20);
        }
        for (int i = 0; i < 4; i++) {
            close(callers[i]);
        }
        cr_expect(EdgeHost_RunUntil(h, have_left, &c));
        cr_expect_eq(GwRouter_OpenCount(h->edge->router), 0);
        run(h, 20);
        EdgeHost_Free(h);
    }
}

/* ---- Events of one turn -------------------------------------------------- */

typedef struct {
    EdgeHost *h;
    int caller;        /* that leaves; -1: none */
    uint32_t sleep_ms; /* before the poll */
    bool signals_late; /* after the poll, not before it */
    uv_prepare_t prepare;
    uv_check_t check;
} Turn;

static void
free_slots_and_signal(Turn *turn)
{
    EdgeHost_PutServer(turn->h, &turn->h->servers[0], 32);
    (void)raise(SIGTERM);
}

static void
on_prepare(uv_prepare_t *prepare)
{
    Turn *turn = prepare->data;

    (void)uv_prepare_stop(prepare);
    g_usleep(turn->sleep_ms * 1000);
    if (turn->caller >= 0) {
        close(turn->caller);
        g_usleep(2000);
    }
    if (!turn->signals_late) {
        free_slots_and_signal(turn);
    }
}

static void
on_check(uv_check_t *check)
{
    Turn *turn = check->data;

    (void)uv_check_stop(check);
    if (turn->signals_late) {
        free_slots_and_signal(turn);
    }
}

static void
play(Turn *turn)
{
    uv_loop_t *loop = &turn->h->edge->loop;

    (void)uv_prepare_init(loop, &turn->prepare);
    (void)uv_check_init(loop, &turn->check);
    turn->prepare.data = turn;
    turn->check.data = turn;
    (void)uv_prepare_start(&turn->prepare, on_prepare);
    (void)uv_check_start(&turn->check, on_check);
    EdgeHost_RunOnce(turn->h);
    EdgeHost_RunOnce(turn->h);
    uv_close((uv_handle_t *)&turn->prepare, NULL);
    uv_close((uv_handle_t *)&turn->check, NULL);
    run(turn->h, 50);
}

/* Guards against: the first notice of a stop signal is taken while a caller
 * leaves, or while a request's time is over, and sends that request. */
Test(edge_freed, a_stop_signal_in_the_turn_of_an_end, .timeout = 60)
{
    static const struct {
        const char *name;
        bool leaves;
        uint32_t left_ms;
        bool signals_late;
    } cases[] = {
        {"a caller leaves", true, LEFT_MS, false},
        {"a caller leaves, the signal is late", true, LEFT_MS, true},
        {"a deadline passes", false, SHORT_MS, true},
        {"both", true, SHORT_MS, true},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        EdgeHost *h = EdgeHost_Create();
        int other = EdgeHost_Connect(h);
        int caller = EdgeHost_Connect(h);
        h->edge->settings->grace_ms = 100 * LEFT_MS;
        EdgeHost_AddServer(h, "a", 1);
        ask_many(other, "o", 3, LEFT_MS);
        run(h, 20);
        ask_many(caller, "c", 20, cases[i].left_ms);
        run(h, 20);
        Turn turn = {.h = h,
                     .caller = cases[i].leaves ? caller : -1,
                     .sleep_ms = cases[i].left_ms == SHORT_MS
                                     ? SHORT_MS + TIMEOUT_MS + 20
                                     : 0,
                     .signals_late = cases[i].signals_late};
        play(&turn);
        close(other);
        if (!cases[i].leaves) {
            close(caller);
        }
        Ctx c = {.h = h};
        cr_expect(EdgeHost_RunUntil(h, have_left, &c), "%s", cases[i].name);
        cr_expect_eq(GwRouter_OpenCount(h->edge->router), 0, "%s",
                     cases[i].name);
        EdgeHost_Free(h);
    }
}

/* ---- Any order ----------------------------------------------------------- */

#define CALLERS 6
#define SERVERS 3

typedef struct {
    EdgeHost *h;
    GwRng rng;
    int callers[CALLERS];
    uint32_t sent;
    bool is_stopping;
} Play;

static uint32_t
draw(Play *p, uint32_t below)
{
    return GwRng_Below(&p->rng, below);
}

/* The entry may have closed the connection. */
static void
try_to_send(int caller, const char *path, const char *id, uint32_t left_ms)
{
    char *text = g_strdup_printf(
        "GET %s%s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %u\r\n\r\n", path, id,
        Platform_Adapter.request_id, id, Platform_Adapter.time_left, left_ms);

    (void)send(caller, text, strlen(text), MSG_NOSIGNAL | MSG_DONTWAIT);
    g_free(text);
}

/* Answers some of the requests on the server's connections. */
static void
answer_some(Play *p, EdgeHostServer *s)
{
    (void)EdgeHost_CountRequests(s, "");
    for (uint32_t i = 0; i < s->conn_count; i++) {
        const char *seen = s->conns[i].seen->str;
        const char *last = g_strrstr(seen, Platform_Adapter.request_id);
        unsigned int number;
        if (last == NULL || draw(p, 3) != 0 ||
            sscanf(strchr(last, ':'), ": r%u", &number) != 1) {
            continue;
        }
        char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n%s: r%u\r\n%s: 1\r\n"
                                     "Content-Length: 0\r\n\r\n",
                                     Platform_Adapter.request_id, number,
                                     Platform_Adapter.seal);
        (void)send(s->conns[i].fd, text, strlen(text),
                   MSG_NOSIGNAL | MSG_DONTWAIT);
        g_free(text);
    }
}

static void
change_one(Play *p)
{
    uint32_t i = draw(p, CALLERS);
    EdgeHostServer *s = &p->h->servers[draw(p, SERVERS)];
    char id[24];

    switch (draw(p, 8)) {
    case 0:
    case 1:
        for (uint32_t left = 1 + draw(p, DEPTH); left > 0; left--) {
            g_snprintf(id, sizeof(id), "r%u", p->sent++);
            try_to_send(p->callers[i], draw(p, 4) == 0 ? "/once/" : "/again/",
                        id, 1 + draw(p, 300));
        }
        break;
    case 2:
        if (p->h->edge->call_listener != NULL) {
            close(p->callers[i]);
            p->callers[i] = EdgeHost_Connect(p->h);
        }
        break;
    case 3:
        EdgeHost_PutServer(p->h, s, 1 + draw(p, 12));
        break;
    case 4:
        g_usleep(draw(p, 8) * 1000);
        break;
    case 5:
        if (!p->is_stopping && draw(p, 20) == 0) {
            p->is_stopping = true;
            (void)raise(SIGTERM);
        }
        break;
    default:
        answer_some(p, s);
        break;
    }
}

static void
play_seed(uint64_t seed, int turns)
{
    Play p = {.h = EdgeHost_Create(), .rng = GwRng_Make(seed)};

    (void)signal(SIGPIPE, SIG_IGN); /* as the program */
    p.h->edge->settings->grace_ms = 3000;
    for (int i = 0; i < SERVERS; i++) {
        char id[8];
        g_snprintf(id, sizeof(id), "s%d", i);
        EdgeHost_AddServer(p.h, id, 2);
    }
    for (int i = 0; i < CALLERS; i++) {
        p.callers[i] = EdgeHost_Connect(p.h);
    }
    for (int turn = 0; turn < turns; turn++) {
        for (uint32_t left = draw(&p, 6); left > 0; left--) {
            change_one(&p);
        }
        EdgeHost_RunOnce(p.h);
        for (int i = 0; i < CALLERS; i++) {
            (void)EdgeHost_Read(p.callers[i]);
        }
    }
    for (int i = 0; i < CALLERS; i++) {
        close(p.callers[i]);
    }
    Ctx c = {.h = p.h};
    cr_expect(EdgeHost_RunUntil(p.h, have_left, &c), "seed %lu",
              (unsigned long)seed);
    cr_expect_eq(GwRouter_OpenCount(p.h->edge->router), 0, "seed %lu",
                 (unsigned long)seed);
    EdgeHost_Free(p.h);
}

/* Guards against: any order of leaves, answers, deadlines, free slots and a
 * stop signal within one turn reaches a freed request. */
Test(edge_freed, events_in_any_order, .timeout = 3600)
{
    const char *seeds = g_getenv("GW_TURN_SEEDS");
    uint64_t count = seeds != NULL ? g_ascii_strtoull(seeds, NULL, 10) : 20;

    for (uint64_t seed = 1; seed <= count; seed++) {
        play_seed(seed, 150);
    }
}
