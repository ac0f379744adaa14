#include "common/caller.h"

#include "common/answer.h"
#include "common/clock.h"

#include <stdio.h>
#include <string.h>

#define ATTEMPTS_MAX     256
#define UNSTATED_MAX     3
#define PAUSE_US         20000
#define LATE_US          6000000 /* after the deadline, to learn an outcome */
#define TIMEOUT_SLACK_MS 1500
#define DEADLINE_MIN_MS  100

/* Where one request stands between attempts. */
typedef struct {
    GsTarget target;
    int64_t end_us;
    bool may_run; /* bytes left, and no outcome has come since */
    bool left;    /* at least one attempt left this process */
} Course;

static bool
has_target(const Course *s)
{
    return s->target.address[0] != '\0';
}

/* Chooses where to send next. While the request may have run, its ticket
 * must stay: a new one would be a second booking. Only its way changes. */
static bool
choose(const GsCaller *c, const GsRecord *r, Course *s)
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

static GsSend
send_once(const GsCaller *c, GsRecord *r, const Course *s, GsReply *reply)
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
    GsSend sent = GsClient_Send(c->client, &q, reply);
    GsClock_Sleep(c->delay_us);
    return sent;
}

/* The outcome that a whole answer states; NONE when it states none. */
static GsEnd
stated_end(const GsCaller *c, const GsReply *reply)
{
    if (c->direct != NULL) {
        return reply->refused ? GS_END_NOT_RUN : GS_END_ANSWERED;
    }
    if (strcmp(reply->outcome, "answered") == 0) {
        return GS_END_ANSWERED;
    }
    if (strcmp(reply->outcome, "not-run") == 0) {
        return GS_END_NOT_RUN;
    }
    return strcmp(reply->outcome, "unknown") == 0 ? GS_END_UNKNOWN
                                                  : GS_END_NONE;
}

static bool
entry_cannot(const char *reason)
{
    return strcmp(reason, "leaving") == 0 ||
           strcmp(reason, "not-ready") == 0 ||
           strcmp(reason, "table-full") == 0 ||
           strcmp(reason, "bad-ticket") == 0;
}

/* Forgets the entry; the ticket goes with it unless it may have run. */
static void
leave_entry(const GsCaller *c, Course *s)
{
    if (c->directory != NULL) {
        GsDirectory_Avoid(c->directory, s->target.address);
    }
    s->target.address[0] = '\0';
    if (!s->may_run) {
        s->target.ticket[0] = '\0';
    }
}

/* A proven refusal. It stands for its ticket, so the next sending takes a
 * fresh one. */
static void
after_not_run(const GsCaller *c, const GsRecord *r, Course *s,
              const GsReply *reply)
{
    s->may_run = false;
    if (entry_cannot(reply->reason)) {
        leave_entry(c, s);
    }
    s->target.address[0] = '\0';
    s->target.ticket[0] = '\0';
    int64_t wait_us = MAX((int64_t)reply->retry_after_ms * 1000, PAUSE_US);
    int64_t left_us = s->end_us - GsClock_Now();
    GsClock_Sleep(MIN(wait_us, MAX(left_us, 0)));
}

/* Takes in one whole answer; true when the request has its final outcome. */
static bool
take_reply(const GsCaller *c, GsRecord *r, Course *s, const GsReply *reply)
{
    GsEnd end = stated_end(c, reply);
    bool late = GsClock_Now() >= s->end_us;
    g_strlcpy(r->reason, reply->reason, sizeof(r->reason));
    r->end = end;
    if (end == GS_END_NONE) {
        s->may_run = true;
        r->unstated++;
        GsClock_Sleep(PAUSE_US);
        return r->unstated > UNSTATED_MAX;
    }
    if (end == GS_END_ANSWERED) {
        r->answer_whole =
            reply->status == 200 && GsAnswer_Check(reply->body->str, r->key);
        return true;
    }
    if (end == GS_END_NOT_RUN) {
        r->refused_at_us = GsClock_Now();
        after_not_run(c, r, s, reply);
        return late || c->direct != NULL;
    }
    s->target.address[0] = '\0';
    return late || !r->operation->idempotent;
}

/* One attempt; true when the request is over. */
static bool
attempt(const GsCaller *c, GsRecord *r, Course *s)
{
    GsReply reply;
    GsSend sent = send_once(c, r, s, &reply);
    bool over = false;
    switch (sent) {
    case GS_SEND_WHOLE:
        s->left = true;
        over = take_reply(c, r, s, &reply);
        break;
    case GS_SEND_NOTHING_SENT:
        leave_entry(c, s);
        break;
    case GS_SEND_BROKEN:
        s->left = true;
        s->may_run = true;
        r->end = GS_END_NONE;
        leave_entry(c, s);
        break;
    }
    GsReply_Clear(&reply);
    return over;
}

/* Runs the request to its end and fills end, reason, attempts and latency.
 * Past the deadline it goes on only to learn the outcome of what was sent.*/
void
GsCaller_Run(const GsCaller *c, GsRecord *record)
{
    Course s = {.end_us = record->due_us + c->deadline_us};
    bool over = false;
    while (!over && record->attempts < ATTEMPTS_MAX) {
        int64_t limit_us = s.end_us + (s.may_run ? LATE_US : 0);
        if (GsClock_Now() >= limit_us) {
            break;
        }
        if (choose(c, record, &s)) {
            over = attempt(c, record, &s);
        }
        else {
            GsClock_Sleep(PAUSE_US);
        }
    }
    if (!s.left) {
        record->end = GS_END_NOT_SENT;
    }
    record->latency_us = GsClock_Now() - record->due_us;
}
