/* Backend servers: runs, failures and limits, with the counts that are
 * checked. */
#include "fakes/outages_internal.h"

void
OutageAttempt_AnswerAt(World *w, Attempt *a, int64_t when_us, GwAttemptEnd end)
{
    if (!a->ended) {
        a->ended = true;
        a->end = end;
        Outages_Schedule(w, when_us, EV_ANSWER, a);
    }
}

GwAttemptEnd
OutageAttempt_ConnectionLost(const Attempt *a)
{
    return (GwAttemptEnd){.outcome = GW_ATTEMPT_LOST,
                          .closed = true,
                          .fingerprint = &a->call->content->fingerprint};
}

/* Closes the connections of the server; running requests fail. */
static void
fail_runs(World *w, Server *s, int64_t after_us)
{
    Attempt *a;

    while ((a = g_queue_pop_head(&s->running)) != NULL) {
        OutageAttempt_AnswerAt(w, a,
                               w->now_us + after_us +
                                   Outages_DelayUs(a->call->entry, s) +
                                   Outages_RandomBelow(w, 2000),
                               OutageAttempt_ConnectionLost(a));
    }
}

void
OutageServer_Crash(World *w, Server *s, int64_t restart_us)
{
    if (!s->listening) {
        return;
    }
    s->listening = false;
    fail_runs(w, s, 0);
    if (restart_us > 0) {
        Outages_Schedule(w, w->now_us + restart_us, EV_RESTART, s);
    }
    Outages_Schedule(w, w->now_us + REGISTRY_EXPIRY_US, EV_REGISTRY_EXPIRY, s);
}

/* Loss of power: the server sends nothing until it restarts. Requests that ran
 * fail after TCP_USER_TIMEOUT_US, the TCP user timeout. */
void
OutageServer_LosePower(World *w, Server *s)
{
    if (!s->listening) {
        return;
    }
    s->listening = false;
    s->is_powered_off = true;
    fail_runs(w, s, TCP_USER_TIMEOUT_US);
    Outages_Schedule(
        w, w->now_us + POWER_LOSS_US + Outages_RandomBelow(w, 500000),
        EV_RESTART, s);
}

void
OutageServer_Restart(World *w, Server *s)
{
    s->listening = true;
    s->is_powered_off = false;
    s->draining = false;
    s->is_leaving = false;
    s->sheds_until_us = 0;
    s->born_ms++;
    OutageServer_ForgetStatements(w, s);
    /* A new process: limits stated by the previous one are void. */
    s->limit_us = s->limit_us != 0 ? w->now_us : 0;
    g_array_set_size(s->arrivals, 0);
    memset(s->limit_known_us, 0, w->p->entries * sizeof(*s->limit_known_us));
    Outages_Schedule(w, w->now_us + REGISTRY_LAG_US, EV_REGISTRY_ROW, s);
}

void
OutageServer_SendRow(World *w, const Server *s)
{
    for (uint32_t i = 0; i < w->p->entries; i++) {
        OutageEntry_PutServer(&w->entries[i], s,
                              s->draining && !s->drains_silently);
    }
}

void
OutageServer_Expire(World *w, const Server *s)
{
    for (uint32_t i = 0; !s->listening && i < w->p->entries; i++) {
        GwRouter_DropServer(w->entries[i].router, w->now_us, s->id,
                            w->entries[i].actions);
        OutageEntry_RunActions(&w->entries[i]);
    }
}

static void
count_send(World *w, Attempt *a)
{
    Content *c = a->call->content;
    const Entry *e = a->call->entry;

    if (c->third_crash_us != 0 && w->now_us > c->third_crash_us + CONTACT_US &&
        OutageEntry_IsReachable(e)) {
        c->sends_after++;
        w->report.sends_after = MAX(w->report.sends_after, c->sends_after);
    }
}

/* Counts requests to a limited server, from CONTACT_US after the limit was
 * first stated. The rule covers entries that forwarded an answer with the
 * limit at least 500 ms before. */
static void
count_limited(World *w, const Attempt *a)
{
    Server *s = a->server;
    const Entry *e = a->call->entry;
    int64_t limit_known_us = s->limit_known_us[e->index];
    double most = 1.5 * 4 * w->p->limit_per_s + 5;
    guint old = 0;

    if (!s->is_limited || w->now_us < s->limit_us + CONTACT_US) {
        return;
    }
    s->limited_requests++;
    if (limit_known_us == 0 || w->now_us - limit_known_us < 500000 ||
        !OutageEntry_IsReachable(e)) {
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
OutageAttempt_Deliver(World *w, Attempt *a)
{
    Server *s = a->server;
    Content *c = a->call->content;
    int64_t back_us = w->now_us + Outages_DelayUs(a->call->entry, s);

    if (s->is_powered_off) {
        OutageAttempt_AnswerAt(w, a, w->now_us + CONNECT_TIMEOUT_US,
                               (GwAttemptEnd){.outcome = GW_ATTEMPT_UNSENT});
        return;
    }
    if (!s->listening) {
        OutageAttempt_AnswerAt(w, a, back_us,
                               (GwAttemptEnd){.outcome = GW_ATTEMPT_UNSENT});
        return;
    }
    count_limited(w, a);
    s->requests_after_limit += w->have_limits_ended;
    if (a->born_ms != s->born_ms) {
        OutageAttempt_AnswerAt(w, a, back_us,
                               (GwAttemptEnd){.outcome = GW_ATTEMPT_REFUSED,
                                              .status = 421,
                                              .other_server = true});
        return;
    }
    OutageServer_CheckStatements(w, a);
    if (OutageServer_IsShedding(s, w->now_us)) {
        OutageServer_Shed(w, a);
        return;
    }
    if (a->dropped) {
        return;
    }
    g_queue_push_tail(&s->running, a);
    c->runs++;
    w->report.doubled +=
        c->runs > 1 && !c->crashes && strcmp(c->path, "/once/") == 0;
    if (c->crashes) {
        count_send(w, a);
        Outages_Schedule(w, w->now_us + 5000 + Outages_RandomBelow(w, 90000),
                         EV_CRASH, a);
        return;
    }
    Outages_Schedule(
        w, w->now_us + WORK_MIN_US + Outages_RandomBelow(w, WORK_SPREAD_US),
        EV_RUN_END, a);
}

void
OutageAttempt_Crash(World *w, Attempt *a)
{
    Content *c = a->call->content;

    if (a->ended || a->born_ms != a->server->born_ms ||
        !a->server->listening) {
        return;
    }
    w->report.crashes++;
    if (++c->crash_count == 3) {
        c->third_crash_us = w->now_us;
    }
    OutageServer_Crash(w, a->server, RESTART_US);
}

void
OutageAttempt_EndRun(World *w, Attempt *a)
{
    int64_t back_us = w->now_us + Outages_DelayUs(a->call->entry, a->server);
    GwAttemptEnd good = {
        .outcome = GW_ATTEMPT_ANSWERED,
        .status = 200,
        .limit = a->server->is_limited ? GW_LIMIT_STATED : GW_LIMIT_NONE,
        .limit_per_s = w->p->limit_per_s,
        .leaving = a->server->is_leaving,
    };

    if (a->ended || !g_queue_remove(&a->server->running, a)) {
        return;
    }
    a->server->idle_since_us = w->now_us;
    if (Outages_Chance(w, w->lost_answer_permille)) {
        OutageAttempt_AnswerAt(w, a, back_us, OutageAttempt_ConnectionLost(a));
    }
    else if (Outages_Chance(w, w->invalid_answer_permille)) {
        OutageAttempt_AnswerAt(w, a, back_us,
                               (GwAttemptEnd){.outcome = GW_ATTEMPT_LOST});
    }
    else {
        OutageAttempt_AnswerAt(w, a, back_us, good);
    }
}

void
Outages_StartLimits(World *w)
{
    for (uint32_t i = 0; i < w->p->servers; i++) {
        Server *s = &w->servers[i];
        s->is_limited = Outages_RandomBelow(w, 100) < w->p->limited_percent;
        s->limit_us = s->is_limited ? w->now_us : 0;
    }
}

void
Outages_EndLimits(World *w)
{
    for (uint32_t i = 0; i < w->p->servers; i++) {
        w->servers[i].is_limited = false;
    }
    w->have_limits_ended = true;
}

void
Outages_SummarizeLimits(World *w)
{
    double seconds = w->p->seconds - 2.0 - OUTAGE_GOSSIP_MS / 1000.0;
    double limited_requests = 0;
    double limited = 0;
    double after = 0;
    double after_all = 0;
    double others = 0;

    for (uint32_t i = 0; i < w->p->servers; i++) {
        const Server *s = &w->servers[i];
        limited_requests += s->limited_requests;
        limited += s->limit_us != 0;
        after += s->limit_us != 0 ? s->requests_after_limit : 0;
        others += s->limit_us == 0 ? s->requests_after_limit : 0;
        after_all += s->requests_after_limit;
    }
    if (limited > 0 && w->p->limit_per_s > 0) {
        w->report.used_share =
            limited_requests / (limited * seconds * w->p->limit_per_s);
    }
    for (uint32_t i = 0; i < w->p->servers && w->have_limits_ended; i++) {
        const Server *s = &w->servers[i];
        double usual = others / (w->p->servers - limited);
        w->report.still_idle +=
            s->limit_us != 0 && s->requests_after_limit < IDLE_SHARE * usual;
    }
    if (after_all > 0 && limited > 0) {
        w->report.used_share_after =
            after / after_all / (limited / w->p->servers);
    }
}
