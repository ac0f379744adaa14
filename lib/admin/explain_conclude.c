/* The conclusion of an explanation: whether the request ran, and why no
 * further attempt followed. */
#include "admin/explain_internal.h"

#include "common/log_events.h"

#include <inttypes.h>
#include <stdbool.h>
#include <string.h>

typedef struct {
    const char *reason;
    const char *text;
} ReplyReason;

/* Reasons of replies that an entry generated. */
static const ReplyReason reply_reasons[] = {
    {"no-config", "the entry had no configuration yet"},
    {"quarantine-unknown",
     "the entry had not yet learned which requests are quarantined"},
    {"no-route", "no route of the configuration matches it"},
    {"unauthorized", "no organisation holds the caller's key"},
    {"unproven", "nothing proved in time that its key was not revoked"},
    {"over-quota", "its organisation had used up its quota"},
    {"quota-unknown", "no entry answered for its organisation's quota"},
    {"no-server", "no server of the service was eligible"},
    {"cut-off",
     "its entry reached no server of the service, and no other entry took it"},
    {"leaving", "its entry was stopping, and could end before the request"},
    {"quarantined", "servers had crashed while running it"},
    {"no-room", "even the best server would have answered too late"},
    {"no-retry",
     "every attempt was refused or found no server, and no attempt "
     "was left"},
    {"timeout",
     "it was sent, and its deadline passed before an answer arrived"},
    {"time-unsent", "its deadline passed before a server was free"},
    {"broken",
     "it was sent, and no complete answer arrived; it was not retried"},
};

static const char *
reply_reason_text(const char *reason)
{
    for (size_t i = 0; i < G_N_ELEMENTS(reply_reasons); i++) {
        if (strcmp(reply_reasons[i].reason, reason) == 0) {
            return reply_reasons[i].text;
        }
    }
    return "for a reason unknown to this program";
}

/* The status gives whether the request may have run, the reason why no further
 * attempt followed. */
static void
conclude_reply(const GwExplainStep *step, GString *out)
{
    const char *reason = GwExplain_FieldText(step->fields, "why");
    int64_t status = GwExplain_FieldNumber(step->fields, "status");
    bool sent =
        strcmp(reason, "timeout") == 0 || strcmp(reason, "broken") == 0;

    if (status == 503) {
        g_string_append(out, "not run: ");
    }
    else if (status != 404) {
        g_string_append(out, sent ? "unknown: "
                                  : "unknown: an attempt may have run it; for "
                                    "another, ");
    }
    g_string_append(out, reply_reason_text(reason));
}

/* Describes an answer by a server, with the likely causes of its latency. */
static void
conclude_answer(const GwExplainStep *step, GString *out)
{
    int64_t took_ms = GwExplain_FieldNumber(step->fields, "took_ms");
    int64_t waited_ms = GwExplain_FieldNumber(step->fields, "waited_ms");

    g_string_append_printf(out, "answered by %s with %s after %" PRId64 " ms",
                           GwExplain_FieldText(step->fields, "server"),
                           GwExplain_FieldText(step->fields, "status"),
                           took_ms);
    if (waited_ms * 2 > took_ms) {
        g_string_append_printf(out, ", %" PRId64 " of them waiting for a slot",
                               waited_ms);
    }
    if (GwExplain_FieldText(step->fields, "by")[0] != '\0') {
        g_string_append_printf(out, ", to which %s sent it",
                               GwExplain_FieldText(step->fields, "by"));
    }
    if (GwExplain_FieldNumber(step->fields, "far")) {
        g_string_append(out, ", in another region");
    }
    if (!GwExplain_FieldNumber(step->fields, "warm") &&
        GwExplain_FieldText(step->fields, "by")[0] == '\0') {
        g_string_append(out,
                        ", by a server that did not have its object cached");
    }
    if (GwExplain_FieldNumber(step->fields, "attempts") > 1) {
        g_string_append_printf(out, ", at attempt %s",
                               GwExplain_FieldText(step->fields, "attempts"));
    }
}

static void
conclude_cut(const GwExplainStep *step, GString *out)
{
    if (GwExplain_FieldNumber(step->fields, "attempts") > 0) {
        g_string_append(out, "unknown: it was sent, and its entry stopped "
                             "before an answer arrived");
    }
    else {
        g_string_append(out, "not run: its entry stopped before it was sent");
    }
}

static void
conclude_step(const GwExplainStep *step, GString *out)
{
    switch (step->event) {
    case GW_LOG_REQUEST_ANSWERED:
        conclude_answer(step, out);
        break;
    case GW_LOG_REQUEST_LEFT:
        g_string_append_printf(out, "its caller disconnected after %s ms",
                               GwExplain_FieldText(step->fields, "took_ms"));
        break;
    case GW_LOG_REQUEST_CUT:
        conclude_cut(step, out);
        break;
    case GW_LOG_REQUEST_DROPPED:
        g_string_append(out, "not run: it arrived while its connection was "
                             "closing, and was not answered");
        break;
    default:
        conclude_reply(step, out);
        break;
    }
}

/* Whether the caller's entry ends the request here; a line of an entry that it
 * was passed on to ends an attempt. */
static bool
is_end(const GwExplainStep *step)
{
    return step->event != GW_LOG_ATTEMPT_FAILED &&
           step->event != GW_LOG_PASS_ON_FAILED &&
           GwExplain_FieldText(step->fields, "for")[0] == '\0';
}

char *
GwExplain_Conclude(const GPtrArray *steps)
{
    GString *out = g_string_new(NULL);
    const GwExplainStep *last = NULL;

    for (guint i = 0; i < steps->len; i++) {
        const GwExplainStep *step = steps->pdata[i];
        last = is_end(step) ? step : last;
    }
    if (last == NULL) {
        g_string_append(out, steps->len == 0
                                 ? "no log line of this request was found"
                                 : "its outcome is not in these logs: the "
                                   "entry failed, or the line was dropped");
    }
    else {
        conclude_step(last, out);
    }
    return g_string_free(out, FALSE);
}
