/* Explanations of requests from log lines: the conclusion, and the notes on
 * outdated state of the entry. */
#include "admin/explain.h"

#include <criterion/criterion.h>
#include <json-c/json.h>
#include <string.h>

#define LINES_MAX 8

typedef struct {
    const char *name;
    const char *lines[LINES_MAX]; /* "ENTRY TEXT" */
    const char *expected[4];      /* parts of the explanation */
    const char *absent;           /* not in the explanation; or NULL */
} Case;

static const Case cases[] = {
    {"a booking whose answer was lost is unknown, with the failure",
     {"e1 time_ms=1000 event=500 name=BACKEND_EJECTED server=s1 for_ms=400",
      "e1 time_ms=1000 event=604 name=ATTEMPT_FAILED request=r1 server=s1 "
      "outcome=broken status=0 after_ms=212",
      "e1 time_ms=1001 event=601 name=REQUEST_REPLIED request=r1 status=502 "
      "why=broken server=s1 attempts=1 config=4 news_ms=100"},
     {"+0 ms e1 ATTEMPT_FAILED", "outcome=broken", "s1 was ejected 1 ms",
      "unknown: it was sent"},
     "stale"},
    {"a read that was lost and then found no free server may have run",
     {"e1 time_ms=1000 event=604 name=ATTEMPT_FAILED request=r1 server=s1 "
      "outcome=broken status=0 after_ms=1201",
      "e1 time_ms=1001 event=601 name=REQUEST_REPLIED request=r1 status=502 "
      "why=no-room server=s1 attempts=1 config=4 news_ms=100 best=s2 "
      "best_busy=1/3"},
     {"best=s2 best_busy=1/3",
      "unknown: an attempt may have run it; for another, even the best"},
     "not run"},
    {"a server's request for rest is named",
     {"e1 time_ms=1000 event=513 name=BACKEND_RESTS server=s1 for_ms=3000",
      "e1 time_ms=1000 event=604 name=ATTEMPT_FAILED request=r1 server=s1 "
      "outcome=refused status=503 after_ms=2",
      "e1 time_ms=1002 event=601 name=REQUEST_REPLIED request=r1 status=503 "
      "why=no-retry server=s1 attempts=1 config=4 news_ms=100"},
     {"outcome=refused", "s1 asked for rest 2 ms before", "not run"},
     "stale"},
    {"a request that was passed on is told over both entries",
     {"e1 time_ms=1000 event=514 name=SERVICE_UNREACHED service=s "
      "failing_ms=300 refused=0 reset=0 timeout=3",
      "e1 time_ms=1200 event=607 name=PASS_ON_FAILED request=r1 member=e3 "
      "outcome=unsent reached=0 status=0 after_ms=1",
      "e2 time_ms=1290 event=602 name=REQUEST_ANSWERED request=r1 status=200 "
      "route=x server=s2 attempts=1 waited_ms=0 took_ms=60 warm=1 far=0 "
      "config=4 for=member",
      "e1 time_ms=1280 event=602 name=REQUEST_ANSWERED request=r1 status=200 "
      "route=x server=s2 attempts=2 waited_ms=1 took_ms=80 warm=0 far=0 "
      "config=4 by=e2"},
     {"member=e3", "for=member",
      "the entry had not reached the servers of a service for 200 ms",
      "answered by s2 with 200 after 80 ms, to which e2 sent it, at attempt"},
     "cached"},
    {"a refusal of an entry without links is explained",
     {"e1 time_ms=1000 event=601 name=REQUEST_REPLIED request=r1 status=503 "
      "why=cut-off server= attempts=0 config=4 news_ms=100"},
     {"not run: its entry reached no server of the service"},
     NULL},
    {"a refusal based on an outdated server list is marked as stale",
     {"e1 time_ms=1000 event=700 name=STORE_AWAY table=servers why=silent",
      "e1 time_ms=9500 event=601 name=REQUEST_REPLIED request=r1 status=503 "
      "why=no-server attempts=0 config=4 news_ms=8500"},
     {"stale: the store had not answered for 8500 ms",
      "stale: no update of the servers for 8500 ms",
      "not run: no server of the service was eligible"},
     NULL},
    {"nothing is stale once the store is available again",
     {"e1 time_ms=1000 event=700 name=STORE_AWAY table=servers why=silent",
      "e1 time_ms=2000 event=701 name=STORE_BACK table=servers away_ms=1000",
      "e1 time_ms=3000 event=601 name=REQUEST_REPLIED request=r1 status=503 "
      "why=no-room attempts=0 config=4 news_ms=10"},
     {"not run: even the best server"},
     "stale"},
    {"a newer configuration elsewhere is named in either order of logs",
     {"e2 time_ms=500 event=200 name=CONFIG_IN_FORCE version=5 row=9",
      "e1 time_ms=100 event=200 name=CONFIG_IN_FORCE version=4 row=8",
      "e1 time_ms=900 event=601 name=REQUEST_REPLIED request=r1 status=404 "
      "why=no-route config=4 news_ms=10"},
     {"stale: configuration 4; 5 was in force at e2 400 ms before",
      "no route of the configuration matches it"},
     NULL},
    {"a newer configuration that came later is not named",
     {"e1 time_ms=100 event=200 name=CONFIG_IN_FORCE version=4 row=8",
      "e1 time_ms=900 event=601 name=REQUEST_REPLIED request=r1 status=404 "
      "why=no-route config=4 news_ms=10",
      "e2 time_ms=901 event=200 name=CONFIG_IN_FORCE version=5 row=9"},
     {"no route of the configuration matches it"},
     "stale"},
    {"an answer from another region names the causes of its latency",
     {"e1 time_ms=900 event=602 name=REQUEST_ANSWERED request=r1 status=200 "
      "why=none server=s7 attempts=2 waited_ms=400 took_ms=700 warm=0 far=1 "
      "config=4 news_ms=10"},
     {"answered by s7 with 200 after 700 ms, 400 of them waiting for a slot",
      "in another region", "did not have its object cached", "at attempt 2"},
     NULL},
    {"lines of several entries are ordered by time",
     {"e2 time_ms=2000 event=602 name=REQUEST_ANSWERED request=r1 status=200 "
      "server=s1 attempts=1 waited_ms=0 took_ms=90 warm=1 far=0",
      "e1 time_ms=1000 event=601 name=REQUEST_REPLIED request=r1 status=503 "
      "why=no-room"},
     {"+0 ms e1 REQUEST_REPLIED", "+1000 ms e2 REQUEST_ANSWERED",
      "answered by s1 with 200 after 90 ms"},
     NULL},
    {"a restart discards the state of the previous process",
     {"e1 time_ms=100 event=700 name=STORE_AWAY table=servers why=silent",
      "e1 time_ms=200 event=100 name=START name=e1",
      "e1 time_ms=900 event=601 name=REQUEST_REPLIED request=r1 status=503 "
      "why=no-config news_ms=10"},
     {"the entry had no configuration yet"},
     "stale"},
    {"a request in flight when its entry stopped may have run",
     {"e1 time_ms=100 event=101 name=STOP_BEGIN open=3",
      "e1 time_ms=5400 event=605 name=REQUEST_CUT request=r1 route=x "
      "server=s1 attempts=1 waited_ms=0 took_ms=2300 config=4"},
     {"REQUEST_CUT", "the entry had been stopping for 5300 ms",
      "unknown: it was sent, and its entry stopped"},
     "caller disconnected"},
    {"a request that waited when its entry stopped has not run",
     {"e1 time_ms=5400 event=605 name=REQUEST_CUT request=r1 route=x "
      "server= attempts=0 waited_ms=900 took_ms=900 config=4"},
     {"not run: its entry stopped before it was sent"},
     "unknown"},
    {"a request on a closing connection has not run",
     {"e1 time_ms=5400 event=606 name=REQUEST_DROPPED request=r1 "
      "closing_ms=12 idle_ms=0"},
     {"idle_ms=0 closing_ms=12",
      "not run: it arrived while its connection was closing"},
     "unknown"},
    {"a missing outcome is reported",
     {"e1 time_ms=900 event=604 name=ATTEMPT_FAILED request=r1 server=s1 "
      "outcome=refused status=503 after_ms=3"},
     {"its outcome is not in these logs"},
     NULL},
    {"lines of other requests are ignored",
     {"e1 time_ms=900 event=601 name=REQUEST_REPLIED request=r12 status=503 "
      "why=no-room",
      "e1 no fields at all", "e1 time_ms=5 event=\"unfinished"},
     {"no log line of this request was found"},
     "REQUEST_REPLIED"},
};

static GwExplain *
read_case(const Case *c)
{
    GwExplain *ex = GwExplain_Create("r1");

    for (size_t i = 0; i < LINES_MAX && c->lines[i] != NULL; i++) {
        GwExplain_AddLine(ex, "file", c->lines[i]);
    }
    return ex;
}

Test(explain, logs_explain_the_outcome_of_a_request)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GwExplain *ex = read_case(&cases[i]);
        GString *out = g_string_new(NULL);

        GwExplain_Write(ex, out);
        for (size_t k = 0; k < 4 && cases[i].expected[k] != NULL; k++) {
            cr_expect_not_null(strstr(out->str, cases[i].expected[k]),
                               "%s: lacks \"%s\" in\n%s", cases[i].name,
                               cases[i].expected[k], out->str);
        }
        cr_expect(cases[i].absent == NULL ||
                      strstr(out->str, cases[i].absent) == NULL,
                  "%s: \"%s\" in\n%s", cases[i].name, cases[i].absent,
                  out->str);
        g_string_free(out, TRUE);
        GwExplain_Free(ex);
    }
}

/* The JSON form has every step, with its notes, and the conclusion. */
Test(explain, json_has_the_same_steps_and_conclusion)
{
    GwExplain *ex = read_case(&cases[0]);
    GString *out = g_string_new(NULL);

    GwExplain_WriteJson(ex, out);
    struct json_object *root = json_tokener_parse(out->str);
    struct json_object *steps = json_object_object_get(root, "steps");
    cr_assert_eq(json_object_array_length(steps), 2);
    struct json_object *notes =
        json_object_object_get(json_object_array_get_idx(steps, 1), "notes");
    cr_expect_eq(json_object_array_length(notes), 1);
    cr_expect_not_null(strstr(
        json_object_get_string(json_object_object_get(root, "conclusion")),
        "unknown"));
    json_object_put(root);
    g_string_free(out, TRUE);
    GwExplain_Free(ex);
}

Test(explain, file_name_is_the_default_entry_name)
{
    GwExplain *ex = GwExplain_Create("r1");
    GString *out = g_string_new(NULL);

    GwExplain_AddLine(
        ex, "e9.log",
        "time_ms=1 event=603 name=REQUEST_LEFT request=r1 took_ms=7");
    GwExplain_Write(ex, out);
    cr_expect_not_null(strstr(out->str, "e9.log REQUEST_LEFT"));
    cr_expect_not_null(strstr(out->str, "its caller disconnected after 7 ms"));
    g_string_free(out, TRUE);
    GwExplain_Free(ex);
}
