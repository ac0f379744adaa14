#include "common/caller.h"

#include "common/answer.h"
#include "common/clock.h"

#include <stdio.h>
#include <string.h>

#define ATTEMPTS_MAX         256
#define UNSTATED_REPLIES_MAX 3
#define RETRY_PAUSE_US       20000
#define OUTCOME_WAIT_US      6000000 /* past the deadline, for the outcome */
#define TIMEOUT_SLACK_MS     1500
#define DEADLINE_MIN_MS      100

/* State of a request between attempts. */
typedef struct {
    GsTarget target;
    int64_t end_us;
    bool may_run;  /* bytes were sent and no outcome was received since */
    bool has_sent; /* at least one attempt sent bytes */
} RequestState;

static bool
has_target(const RequestState *s)
{
    return s->target.address[0] != '\0';
}

/* Chooses the entry for the next attempt. While the request may have run, its
 * ticket is kept and only the entry changes: a new ticket would execute the
 * request a second time. Returns false when no entry is available. */
static bool
choose_target(const GsCaller *c, const GsRecord *r, RequestState *s)
{
    GsTarget other = {0};
    if (c->direct != NULL) {
        g_strlcpy(s->target.address, c->direct, GS_ADDRESS_MAX);
        return true;
    }
    if (has_target(s)) {
        return true;
    }
    bool want_ticket =
        !r->operation->idempotent && s->target.ticket[0] == '\0';
    if (!GsDirectory_Take(c->directory, c->client, want_ticket, &other)) {
        return false;
    }
    g_strlcpy(s->target.address, other.address, GS_ADDRESS_MAX);
    if (want_ticket) {
        g_strlcpy(s->target.ticket, other.ticket, GS_TICKET_MAX);
    }
    return true;
}

static void
make_path(const GsCaller *c, const GsRecord *r, char *out, size_t cap)
{
    const GsOperation *o = r->operation;
    char prefix[80] = "";
    if (c->direct == NULL) {
        snprintf(prefix, sizeof(prefix), "/v1/call/%s", o->service);
    }
    snprintf(out, cap, "%s%s%s", prefix, o->path, o->idempotent ? r->key : "");
}

static GsSendResult
send_once(const GsCaller *c, GsRecord *r, const RequestState *s,
          GsReply *reply)
{
    char path[320];
    char body[GS_KEY_MAX + 16];
    int64_t left_ms = (s->end_us - GsClock_Now()) / 1000;
    int64_t deadline_ms = MAX(left_ms, DEADLINE_MIN_MS);
    make_path(c, r, path, sizeof(path));
    snprintf(body, sizeof(body), "{\"key\": \"%s\"}", r->key);
    GsRequest q = {.method = r->operation->method,
                   .address = s->target.address,
                   .path = path,
                   .ticket =
                       s->target.ticket[0] != '\0' ? s->target.ticket : NULL,
                   .body = r->operation->idempotent ? NULL : body,
                   .key = r->key,
                   .deadline_ms = deadline_ms,
                   .timeout_ms = deadline_ms + TIMEOUT_SLACK_MS};
    r->attempts++;
    GsClock_Sleep(c->delay_us);
    GsSendResult sent = GsClient_Send(c->client, &q, reply);
    GsClock_Sleep(c->delay_us);
    return sent;
}

/* Returns the outcome stated in a complete answer, or GS_OUTCOME_NONE. */
static GsOutcome
stated_outcome(const GsCaller *c, const GsReply *reply)
{
    if (c->direct != NULL) {
        return reply->refused ? GS_OUTCOME_NOT_RUN : GS_OUTCOME_ANSWERED;
    }
    if (strcmp(reply->outcome, "answered") == 0) {
        return GS_OUTCOME_ANSWERED;
    }
    if (strcmp(reply->outcome, "not-run") == 0) {
        return GS_OUTCOME_NOT_RUN;
    }
    return strcmp(reply->outcome, "unknown") == 0 ? GS_OUTCOME_UNKNOWN
                                                  : GS_OUTCOME_NONE;
}

/* Returns true for refusals that apply to the entry rather than the
 * request. */
static bool
is_entry_refusal(const char *reason)
{
    return strcmp(reason, "leaving") == 0 ||
           strcmp(reason, "not-ready") == 0 ||
           strcmp(reason, "table-full") == 0 ||
           strcmp(reason, "bad-ticket") == 0;
}

/* Drops the current entry, and the ticket unless the request may have run
 * with it. */
static void
drop_entry(const GsCaller *c, RequestState *s)
{
    if (c->directory != NULL) {
        GsDirectory_Avoid(c->directory, s->target.address);
    }
    s->target.address[0] = '\0';
    if (!s->may_run) {
        s->target.ticket[0] = '\0';
    }
}

/* Handles a not-run outcome. The ticket now stands for that outcome, so the
 * next attempt needs a new one. */
static void
handle_not_run(const GsCaller *c, const GsRecord *r, RequestState *s,
               const GsReply *reply)
{
    s->may_run = false;
    if (is_entry_refusal(reply->reason)) {
        drop_entry(c, s);
    }
    s->target.address[0] = '\0';
    s->target.ticket[0] = '\0';
    int64_t wait_us =
        MAX((int64_t)reply->retry_after_ms * 1000, RETRY_PAUSE_US);
    int64_t left_us = s->end_us - GsClock_Now();
    GsClock_Sleep(MIN(wait_us, MAX(left_us, 0)));
}

/* Handles a complete answer. Returns true when its outcome is final. */
static bool
handle_reply(const GsCaller *c, GsRecord *r, RequestState *s,
             const GsReply *reply)
{
    GsOutcome outcome = stated_outcome(c, reply);
    bool late = GsClock_Now() >= s->end_us;
    g_strlcpy(r->reason, reply->reason, sizeof(r->reason));
    r->outcome = outcome;
    if (outcome == GS_OUTCOME_NONE) {
        s->may_run = true;
        r->unstated++;
        GsClock_Sleep(RETRY_PAUSE_US);
        return r->unstated > UNSTATED_REPLIES_MAX;
    }
    if (outcome == GS_OUTCOME_ANSWERED) {
        r->answer_whole =
            reply->status == 200 && GsAnswer_Check(reply->body->str, r->key);
        return true;
    }
    if (outcome == GS_OUTCOME_NOT_RUN) {
        r->refused_at_us = GsClock_Now();
        handle_not_run(c, r, s, reply);
        return late || c->direct != NULL;
    }
    s->target.address[0] = '\0';
    return late || !r->operation->idempotent;
}

/* Makes one attempt. Returns true when the request is finished. */
static bool
attempt(const GsCaller *c, GsRecord *r, RequestState *s)
{
    GsReply reply;
    GsSendResult sent = send_once(c, r, s, &reply);
    bool over = false;
    switch (sent) {
    case GS_SEND_COMPLETE:
        s->has_sent = true;
        over = handle_reply(c, r, s, &reply);
        break;
    case GS_SEND_NOTHING_SENT:
        drop_entry(c, s);
        break;
    case GS_SEND_INTERRUPTED:
        s->has_sent = true;
        s->may_run = true;
        r->outcome = GS_OUTCOME_NONE;
        drop_entry(c, s);
        break;
    }
    GsReply_Clear(&reply);
    return over;
}

/* Runs the request until it is finished and sets outcome, reason, attempts and
 * latency_us. After the deadline, retries only serve to learn the outcome of
 * an attempt that may have run. */
void
GsCaller_Run(const GsCaller *c, GsRecord *record)
{
    RequestState s = {.end_us = record->due_us + c->deadline_us};
    bool over = false;
    while (!over && record->attempts < ATTEMPTS_MAX) {
        int64_t limit_us = s.end_us + (s.may_run ? OUTCOME_WAIT_US : 0);
        if (GsClock_Now() >= limit_us) {
            break;
        }
        if (choose_target(c, record, &s)) {
            over = attempt(c, record, &s);
        }
        else {
            GsClock_Sleep(RETRY_PAUSE_US);
        }
    }
    if (!s.has_sent) {
        record->outcome = GS_OUTCOME_NOT_SENT;
    }
    record->latency_us = GsClock_Now() - record->due_us;
}
