/* Decisions of the memory limit for messages, without a network. */
#include "http/message.h"

#include <criterion/criterion.h>
#include <string.h>

#define KB(n) ((uint64_t)(n) << 10)

#define HOLDS_MAX 6

typedef struct {
    GwHttpHold hold;
    bool aborted;
} Response;

static void
on_abort(void *owner)
{
    Response *r = owner;

    r->aborted = true;
    GwHttpHold_Release(&r->hold);
}

/* What is held before the last one asks for its bytes. */
typedef enum {
    NONE = 0,
    RECEIVING, /* a response that is still arriving */
    READY,     /* a complete response, or queued for a caller */
    REQUEST
} Kind;

/* Guards against: one server uses up the memory for all; small responses find
 * no room beside large ones; complete responses are dropped; a response is
 * given up for a request that could be refused. */
Test(http_budget, the_largest_incomplete_response_is_aborted_first)
{
    static const struct {
        const char *what;
        struct {
            Kind kind;
            uint64_t bytes;
        } held[HOLDS_MAX];
        Kind kind; /* of the last */
        uint64_t bytes;
        bool fits;
        int aborted; /* index in `held`; -1: none */
    } cases[] = {
        {"empty", {{NONE, 0}}, RECEIVING, KB(768), true, -1},
        {"larger than all", {{NONE, 0}}, RECEIVING, KB(769), false, -1},
        {"the largest goes",
         {{RECEIVING, KB(200)}, {RECEIVING, KB(500)}},
         RECEIVING,
         KB(100),
         true,
         1},
        {"the one that asks is the largest",
         {{RECEIVING, KB(200)}, {RECEIVING, KB(300)}},
         RECEIVING,
         KB(301),
         false,
         -1},
        {"equally large: the one that asks goes",
         {{RECEIVING, KB(400)}},
         RECEIVING,
         KB(400),
         false,
         -1},
        {"a small one finds room beside large ones",
         {{RECEIVING, KB(375)}, {RECEIVING, KB(375)}},
         RECEIVING,
         KB(64),
         true,
         -1},
        {"a small one finds room beside ready ones",
         {{READY, KB(500)}, {READY, KB(250)}},
         RECEIVING,
         KB(64),
         true,
         -1},
        {"ready ones are kept",
         {{READY, KB(600)}},
         RECEIVING,
         KB(200),
         false,
         -1},
        {"an incomplete one goes, not a larger ready one",
         {{READY, KB(400)}, {RECEIVING, KB(300)}},
         RECEIVING,
         KB(100),
         true,
         1},
        {"no room at all", {{READY, KB(1024)}}, RECEIVING, KB(1), false, -1},
        {"a request takes no room of responses",
         {{RECEIVING, KB(700)}, {REQUEST, KB(800)}},
         REQUEST,
         KB(100),
         false,
         -1},
        {"a request that fits",
         {{RECEIVING, KB(700)}},
         REQUEST,
         KB(836),
         true,
         -1},
        {"responses find room beside requests",
         {{REQUEST, KB(1400)}, {RECEIVING, KB(100)}},
         RECEIVING,
         KB(50),
         true,
         -1},
        {"a request leaves room to responses",
         {{REQUEST, KB(1000)}},
         REQUEST,
         KB(153),
         false,
         -1},
        {"a request fills the part of requests",
         {{REQUEST, KB(1000)}},
         REQUEST,
         KB(152),
         true,
         -1},
        {"responses use their part beside an upload",
         {{REQUEST, KB(1152)}, {READY, KB(300)}},
         RECEIVING,
         KB(84),
         true,
         -1},
        {"and no more",
         {{REQUEST, KB(1152)}, {READY, KB(300)}},
         RECEIVING,
         KB(85),
         false,
         -1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwHttpBudget budget = {.max = KB(1536), .responses_max = KB(1024)};
        Response all[HOLDS_MAX] = {0};
        Response last = {.hold = {.budget = &budget,
                                  .is_response = cases[i].kind != REQUEST}};
        const char *what = cases[i].what;

        for (int k = 0; k < HOLDS_MAX; k++) {
            Kind kind = cases[i].held[k].kind;
            all[k].hold.budget = &budget;
            all[k].hold.is_response = kind != REQUEST;
            if (kind == RECEIVING) {
                GwHttpHold_BeginReceiving(&all[k].hold, on_abort, &all[k]);
            }
            GwHttpHold_Set(&all[k].hold, cases[i].held[k].bytes);
        }
        if (cases[i].kind == RECEIVING) {
            GwHttpHold_BeginReceiving(&last.hold, on_abort, &last);
        }
        cr_expect_eq(GwHttpHold_Grow(&last.hold, cases[i].bytes),
                     cases[i].fits, "%s", what);
        for (int k = 0; k < HOLDS_MAX; k++) {
            cr_expect_eq(all[k].aborted, k == cases[i].aborted, "%s: %d", what,
                         k);
            GwHttpHold_Release(&all[k].hold);
        }
        cr_expect_not(last.aborted, "%s", what);
        GwHttpHold_Release(&last.hold);
        cr_expect_eq(budget.held, 0, "%s", what);
        cr_expect_eq(budget.responses, 0, "%s", what);
        cr_expect(g_queue_is_empty(&budget.receiving), "%s", what);
    }
}

static void
keep_message(void *owner, GwHttpMessage *msg)
{
    GPtrArray *got = owner;

    g_ptr_array_add(got, msg);
}

/* Servers send without end, next to small responses. Guards against memory
 * above the limit, and against small responses that are lost because of the
 * endless ones. */
Test(http_budget, endless_responses_leave_room_for_small_ones)
{
    enum { ENDLESS = 5, ROUNDS = 400 };
    static const char small[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n";
    GwHttpBudget budget = {.max = KB(3000), .responses_max = KB(2000)};
    GPtrArray *got =
        g_ptr_array_new_with_free_func((GDestroyNotify)GwHttpMessage_Free);
    GwHttpParserParams params = {.head_max = KB(256),
                                 .body_max = KB(800),
                                 .budget = &budget,
                                 .message = keep_message,
                                 .owner = got};
    GwHttpParser *endless[ENDLESS] = {NULL};
    char piece[8192];
    uint32_t ended = 0;

    memset(piece, 'x', sizeof(piece));
    for (int i = 0; i < ROUNDS; i++) {
        for (int k = 0; k < ENDLESS; k++) {
            if (endless[k] == NULL) {
                static const char head[] = "HTTP/1.1 200 OK\r\n\r\n";
                endless[k] = GwHttpParser_Create(&params);
                (void)GwHttpParser_Feed(endless[k], head, strlen(head));
            }
            if (GwHttpParser_Feed(endless[k], piece, sizeof(piece)) !=
                GW_HTTP_OK) {
                GwHttpParser_Free(endless[k]);
                endless[k] = NULL;
                ended++;
            }
        }
        GwHttpParser *p = GwHttpParser_Create(&params);
        (void)GwHttpParser_Feed(p, small, strlen(small));
        cr_expect_eq(GwHttpParser_Feed(p, piece, 400), GW_HTTP_OK, "%d", i);
        GwHttpParser_Free(p);
        cr_assert_leq(budget.held, KB(2000));
    }
    cr_expect_eq(got->len, ROUNDS);
    cr_expect_gt(ended, 10);
    cr_expect_gt(budget.responses_peak, KB(1000));
    for (int k = 0; k < ENDLESS; k++) {
        GwHttpParser_Free(endless[k]);
    }
    g_ptr_array_free(got, TRUE);
    cr_expect_eq(budget.held, 0);
}

/* Guards against a complete response that is given up, before it is delivered,
 * for one that is still arriving. */
Test(http_budget, a_complete_response_is_kept)
{
    GwHttpBudget budget = {.max = KB(1500), .responses_max = KB(1000)};
    GPtrArray *got =
        g_ptr_array_new_with_free_func((GDestroyNotify)GwHttpMessage_Free);
    GwHttpParserParams params = {.head_max = KB(256),
                                 .body_max = KB(800),
                                 .budget = &budget,
                                 .message = keep_message,
                                 .owner = got};
    static const char *const heads[] = {
        "HTTP/1.1 200 OK\r\nContent-Length: 524288\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n"};
    GwHttpParser *parsers[2];
    GwHttpError error = GW_HTTP_OK;
    char piece[8192];

    memset(piece, 'x', sizeof(piece));
    for (int i = 0; i < 2; i++) {
        parsers[i] = GwHttpParser_Create(&params);
        (void)GwHttpParser_Feed(parsers[i], heads[i], strlen(heads[i]));
        for (int k = 0; k < 64; k++) {
            error = GwHttpParser_Feed(parsers[i], piece, sizeof(piece));
        }
    }
    cr_expect_eq(error, GW_HTTP_OVER_BUDGET);
    cr_assert_eq(got->len, 1);
    cr_expect_eq(((GwHttpMessage *)got->pdata[0])->body->len, KB(512));
    GwHttpParser_Free(parsers[0]);
    GwHttpParser_Free(parsers[1]);
    g_ptr_array_free(got, TRUE);
    cr_expect_eq(budget.held, 0);
}

/* Guards against heads that are counted nowhere: many servers that send one
 * without end fill the memory. */
Test(http_budget, heads_of_responses_are_counted)
{
    GwHttpBudget budget = {.max = KB(100), .responses_max = KB(40)};
    GwHttpParserParams params = {.head_max = KB(64), .budget = &budget};
    GwHttpParser *p = GwHttpParser_Create(&params);
    GwHttpError error = GW_HTTP_OK;
    char piece[1024];

    memset(piece, 'x', sizeof(piece));
    (void)GwHttpParser_Feed(p, "HTTP/1.1 200 OK\r\nA: ", 20);
    for (int i = 0; i < 64 && error == GW_HTTP_OK; i++) {
        error = GwHttpParser_Feed(p, piece, sizeof(piece));
        cr_expect_leq(budget.held, KB(40));
    }
    cr_expect_eq(error, GW_HTTP_OVER_BUDGET);
    GwHttpParser_Free(p);
    cr_expect_eq(budget.held, 0);
}
