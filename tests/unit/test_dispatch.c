/* Outcome of one attempt at a backend server.
 *
 * A caller that gets "not run" repeats the call; if the request did run, it
 * runs twice. A raw server ends attempts in every way: the outcome must be
 * NOT_RUN only where the request can't have run, and the server must never
 * receive the request of one attempt twice. */
#include "fakes/raw_server.h"
#include "runtime/dispatch.h"
#include "runtime/net_internal.h"

#include <criterion/criterion.h>
#include <string.h>

#define OK(body) "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" body
#define REFUSAL                                                               \
    "HTTP/1.1 503 No\r\nGW-Refused: not-run\r\nGW-Load: 7\r\n"                \
    "Content-Length: 0\r\n\r\n"

/* Cases of silence wait for SILENCE_TIMEOUT_US; all others end well before
 * LONG_TIMEOUT_US. */
#define SILENCE_TIMEOUT_US 400000
#define LONG_TIMEOUT_US    30000000
#define ENDLESS_BYTES      (4u << 20)

static GwDispatchResult
run_until(GwDispatcher *d, const char *address, bool idempotent,
          GwAbort *abort, int64_t give_up_us)
{
    GwDispatchRequest request = {
        .address = address,
        .method = idempotent ? "GET" : "POST",
        .target = "/book?x=1",
        .body = (const uint8_t *)"12",
        .body_len = idempotent ? 0 : 2,
        .request_id = "1-1-1-1",
        .idempotent = idempotent,
        .deadline_us = GwNet_NowUs() + LONG_TIMEOUT_US,
        .give_up_us = GwNet_NowUs() + give_up_us,
    };
    GwDispatchResult result;
    GwAbort *own = abort == NULL ? GwAbort_Create() : GwAbort_Ref(abort);
    GwDispatch_Run(d, &request, own, &result);
    GwAbort_Unref(own);
    return result;
}

static GwDispatchResult
run(GwDispatcher *d, const char *address, bool idempotent, GwAbort *abort)
{
    return run_until(d, address, idempotent, abort, LONG_TIMEOUT_US);
}

typedef struct {
    const char *name;
    RawStep step;
    GwOutcome outcome;
    GwReason reason;
} Case;

static const Case new_connection_cases[] = {
    {"whole answer",
     {RAW_ANSWER, OK("hi")},
     GW_OUTCOME_ANSWERED,
     GW_REASON_NONE},
    {"whole chunked answer",
     {RAW_ANSWER, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "2\r\nhi\r\n0\r\n\r\n"},
     GW_OUTCOME_ANSWERED,
     GW_REASON_NONE},
    {"an error of the application is an answer",
     {RAW_ANSWER, "HTTP/1.1 500 Bad\r\nContent-Length: 0\r\n\r\n"},
     GW_OUTCOME_ANSWERED,
     GW_REASON_NONE},
    {"a 503 that does not say not-run is an answer",
     {RAW_ANSWER, "HTTP/1.1 503 Bad\r\nContent-Length: 0\r\n\r\n"},
     GW_OUTCOME_ANSWERED,
     GW_REASON_NONE},
    {"explicit refusal",
     {RAW_ANSWER, REFUSAL},
     GW_OUTCOME_NOT_RUN,
     GW_REASON_SHED},
    {"explicit refusal of a draining server",
     {RAW_ANSWER, "HTTP/1.1 503 No\r\nGW-Refused: not-run\r\n"
                  "GW-Draining: 1\r\nContent-Length: 0\r\n\r\n"},
     GW_OUTCOME_NOT_RUN,
     GW_REASON_DRAINING},
    {"refusal with another status",
     {RAW_ANSWER, "HTTP/1.1 500 No\r\nGW-Refused: not-run\r\n"
                  "Content-Length: 0\r\n\r\n"},
     GW_OUTCOME_ANSWERED,
     GW_REASON_NONE},
    {"refusal cut within its headers",
     {RAW_CUT, "HTTP/1.1 503 No\r\nGW-Refused: not-run\r\n"},
     GW_OUTCOME_UNKNOWN,
     GW_REASON_BROKEN},
    {"refusal cut within its body",
     {RAW_CUT, "HTTP/1.1 503 No\r\nGW-Refused: not-run\r\n"
               "Content-Length: 9\r\n\r\nno"},
     GW_OUTCOME_UNKNOWN,
     GW_REASON_BROKEN},
    {"closed after accept",
     {RAW_CLOSE, NULL},
     GW_OUTCOME_UNKNOWN,
     GW_REASON_BROKEN},
    {"closed after the request",
     {RAW_CUT, NULL},
     GW_OUTCOME_UNKNOWN,
     GW_REASON_BROKEN},
    {"cut after the status line",
     {RAW_CUT, "HTTP/1.1 200 OK\r\n"},
     GW_OUTCOME_UNKNOWN,
     GW_REASON_BROKEN},
    {"cut within the body",
     {RAW_CUT, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"},
     GW_OUTCOME_UNKNOWN,
     GW_REASON_BROKEN},
    {"cut within a chunk",
     {RAW_CUT, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
               "9\r\nhalf"},
     GW_OUTCOME_UNKNOWN,
     GW_REASON_BROKEN},
    {"body delimited only by the close may be truncated",
     {RAW_CUT, "HTTP/1.1 200 OK\r\n\r\nhalf?"},
     GW_OUTCOME_UNKNOWN,
     GW_REASON_BROKEN},
    {"no valid status, too low",
     {RAW_CUT, "HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n"},
     GW_OUTCOME_UNKNOWN,
     GW_REASON_BROKEN},
    {"no valid status, too high",
     {RAW_CUT, "HTTP/1.1 700 x\r\nContent-Length: 0\r\n\r\n"},
     GW_OUTCOME_UNKNOWN,
     GW_REASON_BROKEN},
    {"not HTTP",
     {RAW_CUT, "hello\r\n\r\n"},
     GW_OUTCOME_UNKNOWN,
     GW_REASON_BROKEN},
    {"silence", {RAW_STALL, NULL}, GW_OUTCOME_UNKNOWN, GW_REASON_SILENT},
    {"silence after the status line",
     {RAW_ANSWER, "HTTP/1.1 200 OK\r\n"},
     GW_OUTCOME_UNKNOWN,
     GW_REASON_SILENT},
};

/* Guards against: heads without end are kept until the memory is used up. */
Test(dispatch, heads_without_end_are_bounded, .timeout = 60)
{
    static const char *const starts[] = {"HTTP/1.1 200 OK\r\n",
                                         "HTTP/1.1 100 Continue\r\n\r\n"};

    for (size_t i = 0; i < G_N_ELEMENTS(starts); i++) {
        GString *text = g_string_new(starts[i]);
        while (text->len < ENDLESS_BYTES) {
            g_string_append(text,
                            i == 0 ? "X-More: 0123456789\r\n" : starts[i]);
        }
        RawStep plan[RAW_CONNECTIONS_MAX][RAW_STEPS_MAX] = {
            {{RAW_ANSWER, text->str}}};
        RawServer *server = RawServer_Start(plan);
        GwDispatcher *d = GwDispatcher_Create();
        GwDispatchResult result =
            run(d, RawServer_Address(server), false, NULL);
        cr_expect_eq(result.outcome, GW_OUTCOME_UNKNOWN, "%s", starts[i]);
        cr_expect_eq(result.reason, GW_REASON_BROKEN, "%s", starts[i]);
        GwAnswer_Unref(result.answer);
        GwDispatcher_Free(d);
        RawServer_Stop(server);
        g_string_free(text, TRUE);
    }
}

/* Outcomes of a request on a new connection. A truncated answer is always
 * "unknown", never "not run". */
Test(dispatch, request_on_a_new_connection)
{
    for (size_t i = 0; i < G_N_ELEMENTS(new_connection_cases); i++) {
        const Case *c = &new_connection_cases[i];
        RawStep plan[RAW_CONNECTIONS_MAX][RAW_STEPS_MAX] = {{c->step}};
        RawServer *server = RawServer_Start(plan);
        GwDispatcher *d = GwDispatcher_Create();
        GwDispatchResult result =
            run_until(d, RawServer_Address(server), false, NULL,
                      c->reason == GW_REASON_SILENT ? SILENCE_TIMEOUT_US
                                                    : LONG_TIMEOUT_US);
        cr_expect_eq(result.outcome, c->outcome, "%s: %d", c->name,
                     result.outcome);
        cr_expect_eq(result.reason, c->reason, "%s: %s", c->name,
                     GwReason_Name(result.reason));
        cr_expect_eq(result.answer != NULL, c->outcome == GW_OUTCOME_ANSWERED,
                     "%s", c->name);
        cr_expect_leq(RawServer_Requests(server), 1, "%s", c->name);
        cr_expect_eq(RawServer_Connections(server), 1, "%s", c->name);
        GwAnswer_Unref(result.answer);
        GwDispatcher_Free(d);
        RawServer_Stop(server);
    }
}

/* The server reads a request on a reused connection, runs it and closes the
 * connection without an answer. libcurl takes the connection for a stale one
 * and would resend on a new one: the request would run twice with one
 * answer. */
Test(dispatch, reused_connection_closed_after_the_request)
{
    RawStep plan[RAW_CONNECTIONS_MAX][RAW_STEPS_MAX] = {
        {{RAW_ANSWER, OK("hi")}, {RAW_CUT, NULL}},
        {{RAW_ANSWER, OK("no")}},
    };
    RawServer *server = RawServer_Start(plan);
    GwDispatcher *d = GwDispatcher_Create();
    GwDispatchStats stats;

    GwDispatchResult result = run(d, RawServer_Address(server), false, NULL);
    cr_assert_eq(result.outcome, GW_OUTCOME_ANSWERED);
    GwAnswer_Unref(result.answer);
    result = run(d, RawServer_Address(server), false, NULL);
    GwDispatcher_Stats(d, &stats);
    cr_expect_eq(stats.reused, 1);
    cr_expect_eq(stats.resends_stopped, 1, "libcurl did not try: %u",
                 (unsigned)stats.resends_stopped);
    cr_expect_eq(result.outcome, GW_OUTCOME_UNKNOWN);
    cr_expect_eq(RawServer_Requests(server), 2);
    cr_expect_eq(RawServer_Connections(server), 1);
    GwAnswer_Unref(result.answer);
    GwDispatcher_Free(d);
    RawServer_Stop(server);
}

/* The server closes an idle connection between two requests. Nothing of the
 * second was sent on it, so it runs once, on a new connection. */
Test(dispatch, idle_connection_closed_before_the_request)
{
    RawStep plan[RAW_CONNECTIONS_MAX][RAW_STEPS_MAX] = {
        {{RAW_CUT, OK("hi")}},
        {{RAW_ANSWER, OK("ho")}},
    };
    RawServer *server = RawServer_Start(plan);
    GwDispatcher *d = GwDispatcher_Create();

    GwDispatchResult result = run(d, RawServer_Address(server), false, NULL);
    cr_assert_eq(result.outcome, GW_OUTCOME_ANSWERED);
    GwAnswer_Unref(result.answer);
    /* Repeat until the close has arrived. */
    GwDispatchResult again = {0};
    while (RawServer_Connections(server) < 2) {
        again = run(d, RawServer_Address(server), true, NULL);
        if (again.outcome != GW_OUTCOME_ANSWERED) {
            break;
        }
        GwAnswer_Unref(again.answer);
        again.answer = NULL;
    }
    cr_expect_leq(RawServer_Requests(server), 2);
    GwDispatcher_Free(d);
    RawServer_Stop(server);
}

/* A server sends two answers to one request. The next call must not receive
 * the second as its own answer. */
Test(dispatch, surplus_answer_never_reaches_the_next_call)
{
    RawStep plan[RAW_CONNECTIONS_MAX][RAW_STEPS_MAX] = {
        {{RAW_ANSWER, OK("hi") OK("no")}},
        {{RAW_ANSWER, OK("ho")}},
    };
    RawServer *server = RawServer_Start(plan);
    GwDispatcher *d = GwDispatcher_Create();

    GwDispatchResult result = run(d, RawServer_Address(server), false, NULL);
    GwAnswer_Unref(result.answer);
    result = run(d, RawServer_Address(server), false, NULL);
    if (result.outcome == GW_OUTCOME_ANSWERED) {
        cr_expect_arr_eq(result.answer->body, "ho", 2);
    }
    GwAnswer_Unref(result.answer);
    GwDispatcher_Free(d);
    RawServer_Stop(server);
}

/* No process listens at the address: the failed connect proves "not run". */
Test(dispatch, connection_refused_is_not_run)
{
    RawStep plan[RAW_CONNECTIONS_MAX][RAW_STEPS_MAX] = {0};
    RawServer *server = RawServer_Start(plan);
    char address[32];
    g_strlcpy(address, RawServer_Address(server), sizeof(address));
    RawServer_Stop(server);
    GwDispatcher *d = GwDispatcher_Create();
    GwDispatchResult result = run(d, address, false, NULL);
    cr_expect_eq(result.outcome, GW_OUTCOME_NOT_RUN);
    cr_expect_eq(result.reason, GW_REASON_CONNECT);
    GwDispatcher_Free(d);
}

/* A refusal reports the load of the server too. */
Test(dispatch, refusal_reports_load)
{
    RawStep plan[RAW_CONNECTIONS_MAX][RAW_STEPS_MAX] = {
        {{RAW_ANSWER, REFUSAL}},
    };
    RawServer *server = RawServer_Start(plan);
    GwDispatcher *d = GwDispatcher_Create();
    GwDispatchResult result = run(d, RawServer_Address(server), true, NULL);
    cr_expect(result.has_load);
    cr_expect_eq(result.reported_load, 7);
    GwDispatcher_Free(d);
    RawServer_Stop(server);
}

static void *
trigger_when_read(void *arg)
{
    void **args = arg;
    while (RawServer_Requests(args[0]) == 0) {
        g_usleep(100);
    }
    GwAbort_Trigger(args[1]);
    return NULL;
}

/* An attempt is aborted while it waits for an answer, as when the deadline of
 * its call passes. The server has the request, so the outcome is
 * "unknown". */
/* Longer than some retransmissions of the kernel. */
#define AFTER_CUT_US 1500000

static GwDispatchResult
run_for(GwDispatcher *d, const char *address, uint32_t time_us)
{
    GwAbort *abort = GwAbort_Create();
    GwDispatchResult result;
    GwDispatchRequest request = {
        .address = address,
        .method = "GET",
        .target = "/x",
        .request_id = "1-1-1-1",
        .idempotent = true,
        .deadline_us = GwNet_NowUs() + time_us,
        .give_up_us = GwNet_NowUs() + time_us,
    };

    GwDispatch_Run(d, &request, abort, &result);
    GwAbort_Unref(abort);
    return result;
}

/* Guards against: the kernel delivers an attempt after a cut that has ended
 * with an unknown outcome. */
Test(dispatch, an_abandoned_attempt_is_not_delivered_after_a_cut)
{
    RawStep plan[RAW_CONNECTIONS_MAX][RAW_STEPS_MAX] = {
        {{RAW_ANSWER, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
         {RAW_STALL, NULL}}};
    RawServer *server = RawServer_Start(plan);
    GwDispatcher *d = GwDispatcher_Create();
    const char *address = RawServer_Address(server);

    GwDispatchResult result = run_for(d, address, 10000000);
    cr_expect_eq(result.outcome, GW_OUTCOME_ANSWERED);
    GwAnswer_Unref(result.answer);
    RawServer_SetCut(server, true);
    result = run_for(d, address, 100000);
    cr_expect_eq(result.outcome, GW_OUTCOME_UNKNOWN);
    RawServer_SetCut(server, false);
    g_usleep(AFTER_CUT_US);
    cr_expect_eq(RawServer_Requests(server), 1);
    GwDispatcher_Free(d);
    RawServer_Stop(server);
}

Test(dispatch, abort_while_waiting_is_unknown)
{
    RawStep plan[RAW_CONNECTIONS_MAX][RAW_STEPS_MAX] = {{{RAW_STALL, NULL}}};
    RawServer *server = RawServer_Start(plan);
    GwDispatcher *d = GwDispatcher_Create();
    GwAbort *abort = GwAbort_Create();
    void *args[] = {server, abort};
    pthread_t thread;

    pthread_create(&thread, NULL, trigger_when_read, args);
    GwDispatchResult result = run(d, RawServer_Address(server), false, abort);
    pthread_join(thread, NULL);
    cr_expect_eq(result.outcome, GW_OUTCOME_UNKNOWN);
    cr_expect_eq(result.reason, GW_REASON_BROKEN);
    GwAbort_Unref(abort);
    GwDispatcher_Free(d);
    RawServer_Stop(server);
}
