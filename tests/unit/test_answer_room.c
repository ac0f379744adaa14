/* Room for large answers, on virtual time and without a network. */
#include "edge/answer_room.h"

#include <criterion/criterion.h>

#define KB(n) ((uint64_t)(n) << 10)
#define MB(n) ((uint64_t)(n) << 20)

/* Large answers get three quarters of that: 15 MB. */
static const GwHttpBudget budget_20mb = {.max = MB(100),
                                         .responses_max = MB(20)};

/* Guards against: requests are sent although their answers have no room; one
 * caller takes the room of all; a request waits though there will be no room
 * before its deadline. */
Test(answer_room, decisions)
{
    static const struct {
        const char *what;
        uint64_t held;
        uint64_t reserved;
        double bytes_per_s;
        GwRoomRequest request;
        GwRoomVerdict verdict;
        uint32_t retry_after_ms;
    } cases[] = {
        {"empty", 0, 0, -1, {KB(500), 0, 0, 1000000}, GW_ROOM_GRANTED, 0},
        {"its last room",
         MB(14),
         KB(524),
         -1,
         {KB(500), 0, 0, 1000000},
         GW_ROOM_GRANTED,
         0},
        {"held by answers",
         MB(15),
         0,
         -1,
         {KB(500), 0, 0, 1000000},
         GW_ROOM_FULL,
         0},
        {"reserved for answers",
         0,
         MB(15),
         -1,
         {KB(500), 0, 0, 1000000},
         GW_ROOM_FULL,
         0},
        {"others wait",
         0,
         0,
         -1,
         {KB(500), 0, KB(500), 1000000},
         GW_ROOM_FULL,
         0},
        {"this caller has enough",
         MB(2),
         0,
         -1,
         {KB(500), MB(2), 0, 1000000},
         GW_ROOM_CALLER_FULL,
         0},
        {"a single answer above a caller's part",
         0,
         0,
         -1,
         {MB(4), 0, 0, 1000000},
         GW_ROOM_GRANTED,
         0},
        {"its time is over",
         0,
         0,
         -1,
         {KB(500), 0, 0, 0},
         GW_ROOM_TOO_LATE,
         250},
        {"room in time",
         MB(15),
         0,
         1e6,
         {KB(500), 0, 0, 1000000},
         GW_ROOM_FULL,
         0},
        {"no room in time",
         MB(15),
         0,
         1e6,
         {MB(1), 0, MB(1), 1000000},
         GW_ROOM_TOO_LATE,
         2097},
        {"nobody reads",
         MB(15),
         0,
         0,
         {KB(500), 0, 0, 60000000},
         GW_ROOM_TOO_LATE,
         3000},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwHttpBudget budget = budget_20mb;
        GwAnswerRoom room;
        uint32_t retry_after_ms = 0;

        GwAnswerRoom_Init(&room, &budget);
        budget.responses = cases[i].held;
        room.reserved = cases[i].reserved;
        room.bytes_per_s = cases[i].bytes_per_s;
        cr_expect_eq(
            GwAnswerRoom_Decide(&room, &cases[i].request, &retry_after_ms),
            cases[i].verdict, "%s", cases[i].what);
        cr_expect_eq(retry_after_ms, cases[i].retry_after_ms, "%s: %u",
                     cases[i].what, retry_after_ms);
        GwAnswerRoom_Clear(&room);
    }
}

/* Guards against: small answers wait for room; a size that grew is still
 * expected to be small, or one that shrank to be large for good. */
Test(answer_room, sizes_are_learned_by_route)
{
    GwAnswerRoom room;

    GwAnswerRoom_Init(&room, &budget_20mb);
    cr_expect_eq(GwAnswerRoom_Expect(&room, "new"), 0);
    GwAnswerRoom_Learn(&room, "small", 400);
    cr_expect_eq(GwAnswerRoom_Expect(&room, "new"), 0);
    GwAnswerRoom_Learn(&room, "large", KB(50));
    GwAnswerRoom_Learn(&room, "large", KB(500));
    cr_expect_eq(GwAnswerRoom_Expect(&room, "large"), KB(500));
    cr_expect_eq(GwAnswerRoom_Expect(&room, "small"), 0);
    cr_expect_eq(GwAnswerRoom_Expect(&room, "new"), KB(500),
                 "as the largest known");
    for (int i = 0; i < 100; i++) {
        GwAnswerRoom_Learn(&room, "large", KB(100));
    }
    cr_expect_eq(GwAnswerRoom_Expect(&room, "large"), KB(100));
    GwAnswerRoom_Learn(&room, "large", MB(100));
    cr_expect_leq(GwAnswerRoom_Expect(&room, "large"), MB(15) / 2);
    for (int i = 0; i < 3000; i++) {
        char *route = g_strdup_printf("route%d", i);
        GwAnswerRoom_Learn(&room, route, 400);
        g_free(route);
    }
    cr_expect_leq(g_hash_table_size(room.sizes), 1024);
    GwAnswerRoom_Clear(&room);
}

/* ---- Loads ---------------------------------------------------------------- */

#define CALLERS_MAX 60
#define PLAY_MS     20000
#define STEP_MS     10
#define WORK_MS     60
#define TIME_MS     4000
#define AHEAD       11
/* A refusal that follows from the load comes within two samples of it. */
#define LATE_REFUSAL_MS 2500

typedef struct {
    uint32_t wanted_ms[AHEAD]; /* when asked, oldest first */
    uint32_t running;          /* the first of these, sent */
    uint32_t ready_ms[AHEAD];  /* when their answers arrive */
    uint64_t sizes[AHEAD];     /* reserved for them */
    uint64_t queued;           /* bytes that it has still to read */
    uint64_t reserved;
    uint32_t reads_bytes_per_ms;
    uint32_t waits_since_ms; /* the request after those that run */
    uint32_t answered;
} LoadCaller;

typedef struct {
    GwHttpBudget budget;
    GwAnswerRoom room;
    LoadCaller callers[CALLERS_MAX];
    uint32_t count;
    GQueue waiting; /* LoadCaller, longest first */
    uint32_t lost;  /* answers that were foreseen, without room */
    uint32_t late_refusals;
} Load;

static void
drop_request(LoadCaller *c, uint32_t from, uint32_t next_ms)
{
    for (uint32_t k = from; k + 1 < AHEAD; k++) {
        c->wanted_ms[k] = c->wanted_ms[k + 1];
    }
    c->wanted_ms[AHEAD - 1] = next_ms;
}

static void
refuse(Load *l, LoadCaller *c, uint32_t now_ms, uint32_t retry_after_ms)
{
    l->late_refusals +=
        c->waits_since_ms > 0 && now_ms - c->waits_since_ms > LATE_REFUSAL_MS;
    c->waits_since_ms = 0;
    drop_request(c, c->running, now_ms + retry_after_ms);
}

/* Asks for the room of its next request; returns whether it got that. */
static bool
start_one(Load *l, LoadCaller *c, uint32_t now_ms, bool is_its_turn)
{
    uint32_t retry_after_ms = 0;
    int index = g_queue_index(&l->waiting, c);
    uint64_t ahead = is_its_turn  ? 0
                     : index >= 0 ? (uint64_t)index
                                  : g_queue_get_length(&l->waiting);
    GwRoomRequest request = {
        .bytes = GwAnswerRoom_Expect(&l->room, "r"),
        .caller_bytes = c->queued + c->reserved,
        .left_us =
            ((int64_t)c->wanted_ms[c->running] + TIME_MS - now_ms) * 1000,
    };

    request.bytes_ahead = ahead * request.bytes;
    switch (GwAnswerRoom_Decide(&l->room, &request, &retry_after_ms)) {
    case GW_ROOM_GRANTED:
        GwAnswerRoom_Reserve(&l->room, request.bytes);
        c->reserved += request.bytes;
        c->sizes[c->running] = request.bytes;
        c->ready_ms[c->running++] = now_ms + WORK_MS;
        c->waits_since_ms = 0;
        return true;
    case GW_ROOM_FULL:
        if (index < 0) {
            g_queue_push_tail(&l->waiting, c);
        }
        if (c->waits_since_ms == 0) {
            c->waits_since_ms = now_ms;
        }
        break;
    case GW_ROOM_TOO_LATE:
        refuse(l, c, now_ms, retry_after_ms);
        break;
    case GW_ROOM_CALLER_FULL:
        break;
    }
    return false;
}

static void
start_all(Load *l, uint32_t now_ms)
{
    for (guint i = g_queue_get_length(&l->waiting); i > 0; i--) {
        LoadCaller *c = g_queue_pop_head(&l->waiting);
        if (!start_one(l, c, now_ms, true) &&
            g_queue_peek_tail(&l->waiting) == c) {
            g_queue_push_head(&l->waiting, g_queue_pop_tail(&l->waiting));
            break;
        }
    }
    for (uint32_t i = 0; i < l->count; i++) {
        LoadCaller *c = &l->callers[i];
        while (c->running < AHEAD && c->wanted_ms[c->running] <= now_ms &&
               start_one(l, c, now_ms, false)) {
        }
    }
}

static void
receive(Load *l, LoadCaller *c, uint32_t now_ms, uint64_t bytes)
{
    if (c->running == 0 || c->ready_ms[0] > now_ms) {
        return;
    }
    bool is_foreseen = c->sizes[0] >= bytes;
    GwAnswerRoom_Release(&l->room, c->sizes[0]);
    c->reserved -= c->sizes[0];
    GwAnswerRoom_Learn(&l->room, "r", bytes);
    if (l->budget.responses + bytes >
        GwHttpBudget_ResponsesLimit(&l->budget, bytes)) {
        l->lost += is_foreseen;
    }
    else {
        l->budget.responses += bytes;
        c->queued += bytes;
        c->answered++;
    }
    c->running--;
    for (uint32_t k = 0; k < c->running; k++) {
        c->ready_ms[k] = c->ready_ms[k + 1];
        c->sizes[k] = c->sizes[k + 1];
    }
    drop_request(c, 0, now_ms);
}

static void
step(Load *l, uint32_t now_ms, uint64_t bytes)
{
    GwAnswerRoom_Sample(&l->room, !g_queue_is_empty(&l->waiting),
                        (int64_t)now_ms * 1000 + 1);
    for (uint32_t i = 0; i < l->count; i++) {
        LoadCaller *c = &l->callers[i];
        uint64_t read = MIN(c->queued, c->reads_bytes_per_ms * STEP_MS);
        c->queued -= read;
        l->budget.responses -= read;
        receive(l, c, now_ms, bytes);
    }
    start_all(l, now_ms);
}

static Load *
play(uint32_t callers, uint32_t stopped, const uint64_t sizes[2])
{
    Load *l = g_new0(Load, 1);

    l->budget = budget_20mb;
    l->count = callers;
    GwAnswerRoom_Init(&l->room, &l->budget);
    GwAnswerRoom_Learn(&l->room, "r", sizes[0]);
    for (uint32_t i = 0; i < callers; i++) {
        l->callers[i].reads_bytes_per_ms = i < stopped ? 0 : 2200;
    }
    for (uint32_t now_ms = 0; now_ms < PLAY_MS; now_ms += STEP_MS) {
        step(l, now_ms, sizes[now_ms >= PLAY_MS / 2]);
    }
    return l;
}

/* Guards against: requests run and their answers are thrown away, because
 * callers send ahead more than they read; readers that stop take the others'
 * room. */
Test(answer_room, work_is_not_lost_for_want_of_room)
{
    static const struct {
        const char *what;
        uint32_t callers;
        uint32_t stopped;
        uint64_t sizes[2];     /* in the first and the second half */
        uint32_t answered_min; /* by each caller that reads */
    } cases[] = {
        {"one caller", 1, 0, {KB(400), KB(400)}, 90},
        {"eight, as the review", 8, 0, {KB(400), KB(400)}, 90},
        {"sixty", 60, 0, {KB(400), KB(400)}, 50},
        {"sizes grow tenfold", 8, 0, {KB(80), KB(800)}, 90},
        {"sixty, sizes grow tenfold", 60, 0, {KB(80), KB(800)}, 40},
        {"four of eight stop reading", 8, 4, {KB(400), KB(400)}, 90},
        {"four of sixty stop reading", 60, 4, {KB(400), KB(400)}, 40},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Load *l = play(cases[i].callers, cases[i].stopped, cases[i].sizes);
        cr_expect_eq(l->lost, 0, "%s: %u lost", cases[i].what, l->lost);
        cr_expect_eq(l->late_refusals, 0, "%s: %u refused late", cases[i].what,
                     l->late_refusals);
        for (uint32_t k = cases[i].stopped; k < cases[i].callers; k++) {
            cr_expect_geq(l->callers[k].answered, cases[i].answered_min,
                          "%s: caller %u got %u", cases[i].what, k,
                          l->callers[k].answered);
        }
        g_queue_clear(&l->waiting);
        GwAnswerRoom_Clear(&l->room);
        g_free(l);
    }
}
