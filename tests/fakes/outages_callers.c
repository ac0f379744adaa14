/* Callers and the requests that they send. */
#include "fakes/outages_internal.h"

Entry *
Outages_RandomEntry(World *w)
{
    return &w->entries[Outages_RandomBelow(w, w->p->entries)];
}

void
OutageCall_Arrive(Call *call)
{
    World *w = call->world;
    Entry *e = Outages_RandomEntry(w);
    GwArrival arrival = {
        .user = call,
        .host = "h",
        .path = call->content->path,
        .key = call->content->key,
        .left_us = 2500000,
    };

    while (OutageEntry_IsFrozen(e)) {
        e = Outages_RandomEntry(w);
    }
    call->entry = e;
    call->incarnation = e->incarnation;
    call->arrived_us = w->now_us;
    call->tries++;
    call->runs = call->content->runs;
    if (call->tries == 1) {
        call->links = OutageEntry_Links(e);
    }
    if (GwRouter_WantsFingerprints(e->router)) {
        arrival.fingerprint = &call->content->fingerprint;
    }
    GwRouter_Arrive(e->router, w->now_us, &arrival, e->actions);
    OutageEntry_RunActions(e);
}

Content *
Outages_NewContent(World *w, bool crashes, bool once)
{
    Content *c = g_new0(Content, 1);
    uint64_t n = ++w->next_content;

    c->fingerprint = (GwFingerprint){.hi = n * 0x9e3779b97f4a7c15ULL,
                                     .lo = n * 0xd6e8feb86659fd93ULL};
    g_strlcpy(c->path, once ? "/once/" : "/again/", sizeof(c->path));
    g_snprintf(c->key, sizeof(c->key), "k%u", Outages_RandomBelow(w, 40));
    c->crashes = crashes;
    g_ptr_array_add(w->contents, c);
    return c;
}

static void
send_call(World *w, Content *content)
{
    Call *call = g_new0(Call, 1);

    *call = (Call){.world = w, .content = content};
    g_ptr_array_add(w->calls, call);
    w->report.asked += !content->crashes;
    OutageCall_Arrive(call);
}

void
Outages_NewCall(World *w)
{
    bool popular = Outages_RandomBelow(w, 100) < (w->p->hot ? 60 : 25);
    uint32_t which = Outages_RandomBelow(w, w->p->hot ? HOT : POPULAR);
    Content *content =
        popular ? &w->popular[which]
                : Outages_NewContent(w, false, Outages_RandomBelow(w, 3) == 0);
    double per_s = 12.0 * w->p->servers;

    Outages_Schedule(
        w,
        w->now_us + (int64_t)(1e6 / per_s *
                              (0.5 + Outages_RandomBelow(w, 1000) / 1000.0)),
        EV_ARRIVE, NULL);
    send_call(w, content);
}

void
Outages_CallCrasher(World *w, Content *content)
{
    Outages_Schedule(
        w, w->now_us + CRASHER_US / 2 + Outages_RandomBelow(w, CRASHER_US),
        EV_CRASHER, content);
    send_call(w, content);
}

/* Counts the outcome of a first try, and refusals of requests that ran. */
static void
judge(const Call *call, const GwRouterAction *act, bool answered)
{
    OutageReport *report = &call->world->report;
    bool refused = act->kind == GW_ROUTER_REPLY && act->status == 503;
    bool once = strcmp(call->content->path, "/once/") == 0;

    if (call->tries == 1) {
        report->cut_tries += call->links == OUTAGE_LINKS_CUT;
        report->cut_answered += call->links == OUTAGE_LINKS_CUT && answered;
        report->linked_tries += call->links == OUTAGE_LINKS_UP;
        report->linked_answered += call->links == OUTAGE_LINKS_UP && answered;
    }
    report->false_refusals +=
        refused && once && call->content->runs > call->runs;
}

/* Ends a call. The caller retries once after a refusal, or after any failure
 * of an idempotent request. */
void
OutageCall_End(Call *call, const GwRouterAction *act)
{
    World *w = call->world;
    bool answered = act->kind == GW_ROUTER_ANSWER && act->status < 500;
    bool once = strcmp(call->content->path, "/once/") == 0;

    call->request = NULL;
    if (call->inner_of != NULL) {
        OutageHop_EndInner(call, act);
        return;
    }
    judge(call, act, answered);
    w->report.answered += answered && !call->content->crashes;
    if (act->kind == GW_ROUTER_REPLY && act->why == GW_REPLY_QUARANTINED) {
        w->report.harmless_refused += !call->content->crashes;
        w->report.crashing_refused += call->content->crashes;
    }
    if (!answered && call->tries < 2 && (act->status == 503 || !once)) {
        Outages_Schedule(w, w->now_us + 50000 + Outages_RandomBelow(w, 300000),
                         EV_RETRY, call);
        return;
    }
    call->over = true;
}
