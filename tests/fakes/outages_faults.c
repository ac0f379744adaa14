/* What befalls servers and entries. */
#include "fakes/outages_internal.h"

static void
each_of_share(World *w, uint32_t percent, void (*act)(World *, Server *))
{
    for (uint32_t i = 0; i < w->p->servers; i++) {
        if (Outages_Below(w, 100) < percent) {
            act(w, &w->servers[i]);
        }
    }
}

static void
crash_and_restart(World *w, Server *s)
{
    OutageServer_Crash(w, s, RESTART_US);
}

/* Half of its connections, whatever runs on them. */
static void
reset_half(World *w, Server *s)
{
    for (GList *l = s->running.head, *next; l != NULL; l = next) {
        Attempt *a = l->data;
        next = l->next;
        if (Outages_Below(w, 2) == 0) {
            g_queue_delete_link(&s->running, l);
            OutageAttempt_AnswerAt(
                w, a, w->now_us + Outages_WayUs(a->call->entry, s),
                OutageAttempt_Broken(a));
        }
    }
}

static void
drain(World *w, Server *s)
{
    if (!s->listening || s->draining) {
        return;
    }
    s->draining = true;
    s->says_nothing = Outages_Below(w, 3) == 0;
    if (!s->says_nothing) {
        Outages_At(w, w->now_us + ROW_LAG_US, EV_ROW, s);
    }
    else { /* its entry is removed instead */
        for (uint32_t i = 0; i < w->p->entries; i++) {
            GwRouter_DropServer(w->entries[i].router, w->now_us, s->id,
                                w->entries[i].actions);
            OutageEntry_Carry(&w->entries[i]);
        }
    }
}

static void
end_drain(World *w, Server *s)
{
    if (s->draining) {
        OutageServer_Crash(w, s, 2 * RESTART_US);
    }
}

void
Outages_PlayOutage(World *w)
{
    uint32_t step = w->outage_step++;
    Server *s = &w->servers[Outages_Below(w, w->p->servers)];
    int64_t again_us = 300000;

    switch (w->p->kind) {
    case OUTAGE_DOMAIN_DARK:
        for (uint32_t i = 0; i < w->p->servers; i++) {
            if (strcmp(w->servers[i].domain, s->domain) == 0) {
                OutageServer_GoDark(w, &w->servers[i]);
            }
        }
        again_us = 3500000;
        break;
    case OUTAGE_CRASHES:
        each_of_share(w, 15, crash_and_restart);
        again_us = 1200000;
        break;
    case OUTAGE_RESTARTS:
        OutageServer_Crash(w, &w->servers[step % w->p->servers], 800000);
        again_us = 4000000 / w->p->servers;
        break;
    case OUTAGE_LOST_ANSWERS:
        w->lost_permille = 50;
        break;
    case OUTAGE_RESETS:
        each_of_share(w, 100, reset_half);
        again_us = 1000000;
        break;
    case OUTAGE_SPOILT:
        w->spoilt_permille = 40;
        break;
    case OUTAGE_SILENCE:
        OutageServer_GoDark(w, s);
        break;
    case OUTAGE_DRAINS:
        if (step % 6 == 0) {
            each_of_share(w, 20, drain);
        }
        else if (step % 6 == 4) {
            each_of_share(w, 100, end_drain);
        }
        again_us = 700000;
        break;
    case OUTAGE_NONE:
    case OUTAGE_KIND_COUNT:
        return;
    }
    Outages_At(w, w->now_us + again_us, EV_OUTAGE, NULL);
}

static void
drop_calls_of(World *w, const Entry *e)
{
    for (guint i = 0; i < w->calls->len; i++) {
        Call *call = w->calls->pdata[i];
        if (call->entry == e && call->life == e->life) {
            OutageCall_Drop(call);
        }
    }
}

void
Outages_PlayEntryFault(World *w)
{
    Entry *e = Outages_AnyEntry(w);
    int64_t for_us = 500000 + Outages_Below(w, 1500000);

    Outages_At(w, w->now_us + ENTRY_FAULT_US, EV_ENTRY_FAULT, NULL);
    e->touch_us = w->now_us + for_us;
    switch (Outages_Below(w, 3)) {
    case 0:
        e->frozen_until_us = w->now_us + for_us;
        break;
    case 1:
        e->cut_until_us = w->now_us + for_us;
        break;
    default:
        drop_calls_of(w, e);
        OutageEntry_Stop(e);
        e->life++;
        OutageEntry_Start(w, e);
        for (uint32_t i = 0; i < w->p->entries; i++) {
            w->entries[i].peers[e->number] = (GwGossipPeer){0};
            w->entries[i].limit_peers[e->number] = (GwGossipPeer){0};
        }
        break;
    }
}
