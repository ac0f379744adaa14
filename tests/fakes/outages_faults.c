/* Fault injection into servers and entries. */
#include "fakes/outages_internal.h"

static void
for_share_of_servers(World *w, uint32_t percent,
                     void (*act)(World *, Server *))
{
    for (uint32_t i = 0; i < w->p->servers; i++) {
        if (Outages_RandomBelow(w, 100) < percent) {
            act(w, &w->servers[i]);
        }
    }
}

static void
crash_and_restart(World *w, Server *s)
{
    OutageServer_Crash(w, s, RESTART_US);
}

/* Resets half of the server's connections, with the requests on them. */
static void
reset_half(World *w, Server *s)
{
    for (GList *l = s->running.head, *next; l != NULL; l = next) {
        Attempt *a = l->data;
        next = l->next;
        if (Outages_RandomBelow(w, 2) == 0) {
            g_queue_delete_link(&s->running, l);
            OutageAttempt_AnswerAt(
                w, a, w->now_us + Outages_DelayUs(a->call->entry, s),
                OutageAttempt_ConnectionLost(a));
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
    s->drains_silently = Outages_RandomBelow(w, 3) == 0;
    if (!s->drains_silently) {
        Outages_Schedule(w, w->now_us + REGISTRY_LAG_US, EV_REGISTRY_ROW, s);
    }
    else { /* the server is dropped from the registry instead */
        for (uint32_t i = 0; i < w->p->entries; i++) {
            GwRouter_DropServer(w->entries[i].router, w->now_us, s->id,
                                w->entries[i].actions);
            OutageEntry_RunActions(&w->entries[i]);
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
Outages_InjectOutage(World *w)
{
    uint32_t step = w->outage_step++;
    Server *s = &w->servers[Outages_RandomBelow(w, w->p->servers)];
    int64_t again_us = 300000;

    switch (w->p->kind) {
    case OUTAGE_DOMAIN_POWER_LOSS:
        for (uint32_t i = 0; i < w->p->servers; i++) {
            if (strcmp(w->servers[i].domain, s->domain) == 0) {
                OutageServer_LosePower(w, &w->servers[i]);
            }
        }
        again_us = 3500000;
        break;
    case OUTAGE_CRASHES:
        for_share_of_servers(w, 15, crash_and_restart);
        again_us = 1200000;
        break;
    case OUTAGE_RESTARTS:
        OutageServer_Crash(w, &w->servers[step % w->p->servers], 800000);
        again_us = 4000000 / w->p->servers;
        break;
    case OUTAGE_LOST_ANSWERS:
        w->lost_answer_permille = 50;
        break;
    case OUTAGE_RESETS:
        for_share_of_servers(w, 100, reset_half);
        again_us = 1000000;
        break;
    case OUTAGE_INVALID_ANSWERS:
        w->invalid_answer_permille = 40;
        break;
    case OUTAGE_POWER_LOSSES:
        OutageServer_LosePower(w, s);
        break;
    case OUTAGE_DRAINS:
        if (step % 6 == 0) {
            for_share_of_servers(w, 20, drain);
        }
        else if (step % 6 == 4) {
            for_share_of_servers(w, 100, end_drain);
        }
        again_us = 700000;
        break;
    case OUTAGE_SHEDS:
    case OUTAGE_LEAVES:
        Outages_InjectBackpressure(w, step);
        again_us = 900000;
        break;
    case OUTAGE_LINKS_SILENT:
    case OUTAGE_LINKS_RESET:
    case OUTAGE_LINKS_REFUSED:
    case OUTAGE_LINKS_BROKEN:
        Outages_CutLinks(w, step);
        return;
    case OUTAGE_NONE:
    case OUTAGE_KIND_COUNT:
        return;
    }
    Outages_Schedule(w, w->now_us + again_us, EV_OUTAGE, NULL);
}

static void
drop_calls_of(World *w, const Entry *e)
{
    for (guint i = 0; i < w->calls->len; i++) {
        Call *call = w->calls->pdata[i];
        if (call->entry == e && call->incarnation == e->incarnation) {
            OutageCall_Drop(call);
        }
    }
}

void
Outages_InjectEntryFault(World *w)
{
    Entry *e = Outages_RandomEntry(w);
    int64_t for_us = 500000 + Outages_RandomBelow(w, 1500000);

    Outages_Schedule(w, w->now_us + ENTRY_FAULT_US, EV_ENTRY_FAULT, NULL);
    e->last_fault_us = w->now_us + for_us;
    OutageEntry_ForgetStatements(w, e); /* excused by the rules */
    switch (Outages_RandomBelow(w, 3)) {
    case 0:
        e->frozen_until_us = w->now_us + for_us;
        break;
    case 1:
        e->cut_until_us = w->now_us + for_us;
        break;
    default:
        drop_calls_of(w, e);
        OutageEntry_LoseHops(w, e);
        OutageEntry_Stop(e);
        e->incarnation++;
        e->told_unreached = 0;
        memset(e->links, 0, w->p->servers * sizeof(*e->links));
        OutageEntry_Start(w, e);
        for (uint32_t i = 0; i < w->p->entries; i++) {
            w->entries[i].peers[e->index] = (GwGossipPeer){0};
            w->entries[i].limit_peers[e->index] = (GwGossipPeer){0};
        }
        break;
    }
}
