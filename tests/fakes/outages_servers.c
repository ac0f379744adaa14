/* Backend servers: runs, ends and limits, and what the rules count. */
#include "fakes/outages_internal.h"

void
OutageAttempt_AnswerAt(World *w, Attempt *a, int64_t when_us, GwAttemptEnd end)
{
    if (!a->ended) {
        a->ended = true;
        a->end = end;
        Outages_At(w, when_us, EV_ANSWER, a);
    }
}

GwAttemptEnd
OutageAttempt_Broken(const Attempt *a)
{
    return (GwAttemptEnd){.outcome = GW_ATTEMPT_LOST,
                          .closed = true,
                          .fingerprint = &a->call->content->fingerprint};
}

/* Its connections end; what ran is broken off. */
static void
break_runs(World *w, Server *s, int64_t after_us)
{
    Attempt *a;

    while ((a = g_queue_pop_head(&s->running)) != NULL) {
        OutageAttempt_AnswerAt(w, a,
                               w->now_us + after_us +
                                   Outages_WayUs(a->call->entry, s) +
                                   Outages_Below(w, 2000),
                               OutageAttempt_Broken(a));
    }
}

void
OutageServer_Crash(World *w, Server *s, int64_t restart_us)
{
    if (!s->listening) {
        return;
    }
    s->listening = false;
    break_runs(w, s, 0);
    if (restart_us > 0) {
        Outages_At(w, w->now_us + restart_us, EV_BACK, s);
    }
    Outages_At(w, w->now_us + LAPSE_US, EV_LAPSE, s);
}

/* Power is lost: nothing is said until it is back, when connections that it
 * doesn't know are reset. */
void
OutageServer_GoDark(World *w, Server *s)
{
    if (!s->listening) {
        return;
    }
    s->listening = false;
    s->dark = true;
    break_runs(w, s, USER_TIMEOUT);
    Outages_At(w, w->now_us + DARK_US + Outages_Below(w, 500000), EV_BACK, s);
}

void
OutageServer_ComeBack(World *w, Server *s)
{
    s->listening = true;
    s->dark = false;
    s->draining = false;
    s->born++;
    /* Another process: what the one before it named is over. */
    s->limit_us = s->limit_us != 0 ? w->now_us : 0;
    g_array_set_size(s->arrivals, 0);
    memset(s->told_us, 0, w->p->entries * sizeof(*s->told_us));
    Outages_At(w, w->now_us + ROW_LAG_US, EV_ROW, s);
}

void
OutageServer_TellRow(World *w, const Server *s)
{
    for (uint32_t i = 0; i < w->p->entries; i++) {
        OutageEntry_PutServer(&w->entries[i], s,
                              s->draining && !s->says_nothing);
    }
}

void
OutageServer_Lapse(World *w, const Server *s)
{
    for (uint32_t i = 0; !s->listening && i < w->p->entries; i++) {
        GwRouter_DropServer(w->entries[i].router, w->now_us, s->id,
                            w->entries[i].actions);
        OutageEntry_Carry(&w->entries[i]);
    }
}

static void
note_send(World *w, Attempt *a)
{
    Content *c = a->call->content;
    const Entry *e = a->call->entry;

    if (c->third_us != 0 && w->now_us > c->third_us + CONTACT_US &&
        OutageEntry_IsInTouch(e)) {
        c->sends_after++;
        w->report.sends_after = MAX(w->report.sends_after, c->sends_after);
    }
}

/* By the rule: what entries sent that had passed on an answer with the limit
 * half a second before, from `contact` after it was first named. */
static void
count_limited(World *w, const Attempt *a)
{
    Server *s = a->server;
    const Entry *e = a->call->entry;
    int64_t told_us = s->told_us[e->number];
    double most = 1.5 * 4 * w->p->limit_per_s + 5;
    guint old = 0;

    if (!s->is_limited || w->now_us < s->limit_us + CONTACT_US) {
        return;
    }
    s->got++;
    if (told_us == 0 || w->now_us - told_us < 500000 ||
        !OutageEntry_IsInTouch(e)) {
        return;
    }
    g_array_append_val(s->arrivals, w->now_us);
    while (g_array_index(s->arrivals, int64_t, old) < w->now_us - 4000000) {
        old++;
    }
    g_array_remove_range(s->arrivals, 0, old);
    if (s->arrivals->len > most) {
        w->report.above_limit =
            MAX(w->report.above_limit, s->arrivals->len - (uint32_t)most);
    }
}

void
OutageAttempt_Reach(World *w, Attempt *a)
{
    Server *s = a->server;
    Content *c = a->call->content;
    int64_t back_us = w->now_us + Outages_WayUs(a->call->entry, s);

    if (s->dark) {
        OutageAttempt_AnswerAt(w, a, w->now_us + SILENT_US,
                               (GwAttemptEnd){.outcome = GW_ATTEMPT_UNSENT});
        return;
    }
    if (!s->listening) {
        OutageAttempt_AnswerAt(w, a, back_us,
                               (GwAttemptEnd){.outcome = GW_ATTEMPT_UNSENT});
        return;
    }
    count_limited(w, a);
    s->got_after += w->limits_over;
    if (a->born != s->born) {
        OutageAttempt_AnswerAt(w, a, back_us,
                               (GwAttemptEnd){.outcome = GW_ATTEMPT_REFUSED,
                                              .status = 421,
                                              .other_server = true});
        return;
    }
    if (a->dropped) {
        return;
    }
    g_queue_push_tail(&s->running, a);
    if (c->crashes) {
        note_send(w, a);
        Outages_At(w, w->now_us + 5000 + Outages_Below(w, 90000), EV_CRASH, a);
        return;
    }
    Outages_At(w, w->now_us + WORK_MIN_US + Outages_Below(w, WORK_SPREAD),
               EV_RAN, a);
}

void
OutageAttempt_Crash(World *w, Attempt *a)
{
    Content *c = a->call->content;

    if (a->ended || a->born != a->server->born || !a->server->listening) {
        return;
    }
    w->report.crashes++;
    if (++c->crash_count == 3) {
        c->third_us = w->now_us;
    }
    OutageServer_Crash(w, a->server, RESTART_US);
}

void
OutageAttempt_Ran(World *w, Attempt *a)
{
    int64_t back_us = w->now_us + Outages_WayUs(a->call->entry, a->server);
    GwAttemptEnd good = {
        .outcome = GW_ATTEMPT_ANSWERED,
        .status = 200,
        .limit = a->server->is_limited ? GW_LIMIT_STATED : GW_LIMIT_NONE,
        .limit_per_s = w->p->limit_per_s,
    };

    if (a->ended || !g_queue_remove(&a->server->running, a)) {
        return;
    }
    if (Outages_Chance(w, w->lost_permille)) {
        OutageAttempt_AnswerAt(w, a, back_us, OutageAttempt_Broken(a));
    }
    else if (Outages_Chance(w, w->spoilt_permille)) {
        OutageAttempt_AnswerAt(w, a, back_us,
                               (GwAttemptEnd){.outcome = GW_ATTEMPT_LOST});
    }
    else {
        OutageAttempt_AnswerAt(w, a, back_us, good);
    }
}

void
Outages_LimitSome(World *w)
{
    for (uint32_t i = 0; i < w->p->servers; i++) {
        Server *s = &w->servers[i];
        s->is_limited = Outages_Below(w, 100) < w->p->limited_percent;
        s->limit_us = s->is_limited ? w->now_us : 0;
    }
}

void
Outages_EndLimits(World *w)
{
    for (uint32_t i = 0; i < w->p->servers; i++) {
        w->servers[i].is_limited = false;
    }
    w->limits_over = true;
}

void
Outages_SumUpLimits(World *w)
{
    double seconds = w->p->seconds - 2.0 - OUTAGE_CONTACT_MS / 1000.0;
    double got = 0;
    double limited = 0;
    double after = 0;
    double after_all = 0;
    double others = 0;

    for (uint32_t i = 0; i < w->p->servers; i++) {
        const Server *s = &w->servers[i];
        got += s->got;
        limited += s->limit_us != 0;
        after += s->limit_us != 0 ? s->got_after : 0;
        others += s->limit_us == 0 ? s->got_after : 0;
        after_all += s->got_after;
    }
    if (limited > 0 && w->p->limit_per_s > 0) {
        w->report.limit_used = got / (limited * seconds * w->p->limit_per_s);
    }
    for (uint32_t i = 0; i < w->p->servers && w->limits_over; i++) {
        const Server *s = &w->servers[i];
        double usual = others / (w->p->servers - limited);
        w->report.after_idle +=
            s->limit_us != 0 && s->got_after < IDLE_SHARE * usual;
    }
    if (after_all > 0 && limited > 0) {
        w->report.after_used = after / after_all / (limited / w->p->servers);
    }
}
