/* Servers that refuse requests and ask for rest, and servers that leave and say
 * so in their answers only: what they do, and the operators' rules about it. */
#include "fakes/outages_internal.h"

#define DRAIN_US 2500000
/* A rest binds from this time after the refusal on. */
#define REST_AFTER_US 500000
/* Requests that may reach a server in its rest from one entry. */
#define REST_MAX 2
/* An entry may add so much to a rest. */
#define REST_SPREAD_US 1000000
/* A connection may take so much longer to set up. */
#define SLOW_CONNECT_US 250000

static OutageStatement *
statement_of(Server *s, const Entry *e)
{
    OutageStatement *st = &s->statements[e->index];

    if (st->incarnation != e->incarnation + 1) {
        *st = (OutageStatement){.incarnation = e->incarnation + 1};
    }
    return st;
}

void
OutageServer_ForgetStatements(const World *w, Server *s)
{
    memset(s->statements, 0, w->p->entries * sizeof(*s->statements));
}

void
OutageEntry_ForgetStatements(World *w, const Entry *e)
{
    for (uint32_t i = 0; i < w->p->servers; i++) {
        w->servers[i].statements[e->index] = (OutageStatement){0};
    }
}

/* ---- What servers do --------------------------------------------------- */

static void
begin_shedding(World *w, Server *s)
{
    s->sheds_until_us = w->now_us + 3000000 + Outages_RandomBelow(w, 6000000);
    s->rest_us = 700000 + Outages_RandomBelow(w, 4000000);
}

static void
begin_leaving(Server *s)
{
    s->is_leaving = s->listening;
}

static void
end_leaving(World *w, Server *s)
{
    if (s->is_leaving) {
        OutageServer_Crash(w, s, RESTART_US);
    }
}

/* While the store is away, rows of servers expire and are written again, as
 * they were: the store does not know that the server leaves. */
static void
rewrite_row(World *w, const Server *s)
{
    for (uint32_t i = 0; i < w->p->entries; i++) {
        Entry *e = &w->entries[i];
        GwRouter_DropServer(e->router, w->now_us, s->id, e->actions);
        OutageEntry_RunActions(e);
        OutageEntry_PutServer(e, s, false);
    }
}

/* Faults begin at each eighth step, and servers that leave end at the last one
 * before. */
void
Outages_InjectBackpressure(World *w, uint32_t step)
{
    bool is_first = step % 8 == 0;
    bool is_last = step % 8 == 7;

    for (uint32_t i = 0; i < w->p->servers; i++) {
        Server *s = &w->servers[i];
        bool is_chosen = Outages_RandomBelow(w, 100) < 25;
        bool is_affected =
            s->is_leaving || OutageServer_IsShedding(s, w->now_us);
        if (is_last) {
            end_leaving(w, s);
        }
        else if (is_chosen && is_affected) {
            rewrite_row(w, s);
        }
        else if (is_chosen && is_first && w->p->kind == OUTAGE_SHEDS) {
            begin_shedding(w, s);
        }
        else if (is_chosen && is_first) {
            begin_leaving(s);
        }
    }
}

bool
OutageServer_IsShedding(const Server *s, int64_t now_us)
{
    return now_us < s->sheds_until_us;
}

/* ---- The entry's side of a send ---------------------------------------- */

/* A new connection is set up before the request is written. */
void
OutageAttempt_Connect(World *w, Attempt *a)
{
    int64_t way_us = Outages_DelayUs(a->call->entry, a->server);
    int64_t connect_us = 0;

    if (Outages_RandomBelow(w, 3) == 0) {
        connect_us = 2 * way_us + Outages_RandomBelow(w, SLOW_CONNECT_US);
    }
    Outages_Schedule(w, w->now_us + connect_us, EV_WRITE, a);
}

void
OutageAttempt_Write(World *w, Attempt *a)
{
    Entry *e = a->call->entry;

    if (a->dropped || a->call->incarnation != e->incarnation) {
        return;
    }
    if (!GwRouter_MaySend(e->router, w->now_us, a->call->request)) {
        OutageAttempt_AnswerAt(
            w, a, w->now_us,
            (GwAttemptEnd){.outcome = GW_ATTEMPT_UNSENT, .withheld = true});
        return;
    }
    Outages_Schedule(w, w->now_us + Outages_DelayUs(e, a->server), EV_DELIVER,
                     a);
}

/* ---- The rules --------------------------------------------------------- */

/* Counts a request that reaches a server. */
void
OutageServer_CheckStatements(World *w, const Attempt *a)
{
    Server *s = a->server;
    OutageStatement *st = statement_of(s, a->call->entry);

    if (st->leaving_us != 0 &&
        a->call->arrived_us > st->leaving_us + DRAIN_US) {
        w->report.after_leaving++;
    }
    if (w->now_us > st->rest_us + REST_AFTER_US &&
        w->now_us < st->rest_until_us && st->rest_us != 0) {
        st->in_rest++;
        w->report.in_rest = MAX(w->report.in_rest, st->in_rest);
    }
}

/* The server refuses the request and asks for rest. */
void
OutageServer_Shed(World *w, Attempt *a)
{
    Server *s = a->server;
    OutageStatement *st = statement_of(s, a->call->entry);

    w->report.shed++;
    if (w->now_us >= st->rest_until_us) {
        st->rest_us = w->now_us;
        st->in_rest = 0;
    }
    st->rest_until_us = MAX(st->rest_until_us, w->now_us + s->rest_us);
    OutageAttempt_AnswerAt(w, a,
                           w->now_us + Outages_DelayUs(a->call->entry, s),
                           (GwAttemptEnd){.outcome = GW_ATTEMPT_REFUSED,
                                          .status = 503,
                                          .leaving = s->is_leaving,
                                          .rest_us = s->rest_us});
}

/* An entry passes on an answer. */
void
OutageServer_NoteAnswer(World *w, const Attempt *a)
{
    OutageStatement *st = statement_of(a->server, a->call->entry);

    if (a->end.leaving && a->end.outcome == GW_ATTEMPT_ANSWERED &&
        a->born_ms == a->server->born_ms && st->leaving_us == 0) {
        st->leaving_us = w->now_us;
    }
}

/* Counts a refusal while a server that takes work has nothing to do. */
void
Outages_CheckRefusal(World *w, const Call *call, GwReplyReason why)
{
    const Entry *e = call->entry;

    if (why != GW_REPLY_NO_SERVER && why != GW_REPLY_NO_CAPACITY) {
        return;
    }
    for (uint32_t i = 0; i < w->p->servers; i++) {
        Server *s = &w->servers[i];
        const OutageStatement *st = statement_of(s, e);
        if (s->region == e->region && s->listening && !s->is_leaving &&
            w->now_us >= st->rest_until_us + REST_SPREAD_US &&
            !OutageServer_IsShedding(s, w->now_us) && s->running.length == 0 &&
            w->now_us > s->idle_since_us + IDLE_AFTER_US) {
            w->report.refused_beside_idle++;
            return;
        }
    }
}
