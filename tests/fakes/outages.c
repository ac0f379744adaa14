#include "fakes/outages_internal.h"

const char *
OutageKind_Name(OutageKind kind)
{
    static const char *const names[OUTAGE_KIND_COUNT] = {
        [OUTAGE_NONE] = "none",
        [OUTAGE_DOMAIN_POWER_LOSS] = "domain-dark",
        [OUTAGE_CRASHES] = "crashes",
        [OUTAGE_RESTARTS] = "restarts",
        [OUTAGE_LOST_ANSWERS] = "lost-answers",
        [OUTAGE_RESETS] = "resets",
        [OUTAGE_INVALID_ANSWERS] = "spoilt",
        [OUTAGE_POWER_LOSSES] = "silence",
        [OUTAGE_DRAINS] = "drains",
        [OUTAGE_SHEDS] = "sheds",
        [OUTAGE_LEAVES] = "leaves",
        [OUTAGE_LINKS_SILENT] = "links-silent",
        [OUTAGE_LINKS_RESET] = "links-reset",
        [OUTAGE_LINKS_REFUSED] = "links-refused",
        [OUTAGE_LINKS_BROKEN] = "links-broken",
    };

    return names[kind];
}

void
Outages_Schedule(World *w, int64_t when_us, EventKind kind, void *subject)
{
    Event *e = g_new0(Event, 1);

    *e = (Event){.kind = kind, .subject = subject, .place = GW_HEAP_ABSENT};
    GwHeap_Push(&w->events, MAX(when_us, w->now_us), e, &e->place);
}

uint32_t
Outages_RandomBelow(World *w, uint32_t n)
{
    return GwRng_Below(&w->rng, n);
}

bool
Outages_Chance(World *w, uint64_t permille)
{
    return Outages_RandomBelow(w, 1000) < permille;
}

int64_t
Outages_DelayUs(const Entry *entry, const Server *s)
{
    return entry->region == s->region ? SAME_REGION_US : CROSS_REGION_US;
}

/* ---- The loop ---------------------------------------------------------- */

/* The entry that handles an event and must not be frozen; NULL if none. */
static const Entry *
receiving_entry(const Event *e)
{
    switch (e->kind) {
    case EV_TICK:
        return e->subject;
    case EV_ANSWER:
        return ((Attempt *)e->subject)->call->entry;
    case EV_DATAGRAM:
        return ((Datagram *)e->subject)->to;
    case EV_PROBE_END:
        return ((Probe *)e->subject)->entry;
    case EV_HOP:
        return ((Hop *)e->subject)->to;
    case EV_HOP_END:
        return ((Hop *)e->subject)->outer->entry;
    case EV_REACH:
        return ((ReachReport *)e->subject)->to;
    default:
        return NULL;
    }
}

static void
tick(Entry *e)
{
    e->is_tick_scheduled = false;
    GwRouter_Tick(e->router, e->world->now_us, e->actions);
    OutageEntry_RunActions(e);
}

static void
step(World *w, const Event *e)
{
    const Entry *entry = receiving_entry(e);

    if (entry != NULL && OutageEntry_IsFrozen(entry)) {
        Outages_Schedule(w, entry->frozen_until_us, e->kind, e->subject);
        return;
    }
    switch (e->kind) {
    case EV_ARRIVE:
        Outages_NewCall(w);
        break;
    case EV_CRASHER:
        Outages_CallCrasher(w, e->subject);
        break;
    case EV_RETRY:
        OutageCall_Arrive(e->subject);
        break;
    case EV_TICK:
        tick(e->subject);
        break;
    case EV_WRITE:
        OutageAttempt_Write(w, e->subject);
        break;
    case EV_DELIVER:
        OutageAttempt_Deliver(w, e->subject);
        break;
    case EV_RUN_END:
        OutageAttempt_EndRun(w, e->subject);
        break;
    case EV_ANSWER:
        OutageAttempt_Answer(w, e->subject);
        break;
    case EV_CRASH:
        OutageAttempt_Crash(w, e->subject);
        break;
    case EV_RESTART:
        OutageServer_Restart(w, e->subject);
        break;
    case EV_REGISTRY_ROW:
        OutageServer_SendRow(w, e->subject);
        break;
    case EV_REGISTRY_EXPIRY:
        OutageServer_Expire(w, e->subject);
        break;
    case EV_REPORT:
        Outages_Report(w);
        break;
    case EV_DATAGRAM:
        OutageDatagram_Receive(w, e->subject);
        break;
    case EV_PROBE_END:
        OutageProbe_End(w, e->subject);
        break;
    case EV_OUTAGE:
        Outages_InjectOutage(w);
        break;
    case EV_ENTRY_FAULT:
        Outages_InjectEntryFault(w);
        break;
    case EV_LIMIT:
        Outages_StartLimits(w);
        break;
    case EV_LIMIT_END:
        Outages_EndLimits(w);
        break;
    case EV_HOP:
        OutageHop_Arrive(w, e->subject);
        break;
    case EV_HOP_END:
        OutageHop_End(w, e->subject);
        break;
    case EV_REACH:
        OutageReach_Receive(e->subject);
        break;
    }
}

static void
set_up(World *w)
{
    w->routing = Outages_CreateRouting();
    w->servers = g_new0(Server, w->p->servers);
    w->entries = g_new0(Entry, w->p->entries);
    w->crashers = g_new0(Content, MAX(w->p->crashers, 1));
    for (uint32_t i = 0; i < w->p->servers; i++) {
        Server *s = &w->servers[i];
        *s = (Server){.index = i,
                      .region = i % REGIONS,
                      .born_ms = 1,
                      .listening = true};
        g_snprintf(s->id, sizeof(s->id), "s%u", i);
        g_snprintf(s->domain, sizeof(s->domain), "d%u-%u", s->region,
                   i / REGIONS % 2);
        g_queue_init(&s->running);
        s->arrivals = g_array_new(FALSE, FALSE, sizeof(int64_t));
        s->limit_known_us = g_new0(int64_t, w->p->entries);
        s->statements = g_new0(OutageStatement, w->p->entries);
    }
    for (uint32_t i = 0; i < w->p->entries; i++) {
        w->entries[i] = (Entry){.world = w,
                                .index = i,
                                .region = i % REGIONS,
                                .last_fault_us = -CONTACT_US};
        w->entries[i].links = g_new0(OutageLink, w->p->servers);
        OutageEntry_Start(w, &w->entries[i]);
    }
    for (int i = 0; i < POPULAR; i++) {
        Content *c = Outages_NewContent(w, false, false);
        w->popular[i] = *c;
    }
    for (uint32_t i = 0; i < w->p->crashers; i++) {
        w->crashers[i] = *Outages_NewContent(w, true, i % 2 == 1);
    }
}

static void
free_entries_and_servers(World *w)
{
    for (uint32_t i = 0; i < w->p->entries; i++) {
        OutageEntry_Stop(&w->entries[i]);
        g_free(w->entries[i].links);
    }
    for (uint32_t i = 0; i < w->p->servers; i++) {
        g_queue_clear(&w->servers[i].running);
        g_array_free(w->servers[i].arrivals, TRUE);
        g_free(w->servers[i].limit_known_us);
        g_free(w->servers[i].statements);
    }
}

static void
tear_down(World *w)
{
    Event *e;

    while ((e = GwHeap_Top(&w->events)) != NULL) {
        GwHeap_Remove(&w->events, &e->place);
        if (e->kind == EV_DATAGRAM || e->kind == EV_PROBE_END ||
            e->kind == EV_REACH) {
            g_free(e->subject);
        }
        g_free(e);
    }
    GwHeap_Free(&w->events);
    free_entries_and_servers(w);
    GwRouting_Unref(w->routing);
    g_ptr_array_free(w->calls, TRUE);
    g_ptr_array_free(w->attempts, TRUE);
    g_ptr_array_free(w->hops, TRUE);
    g_ptr_array_free(w->contents, TRUE);
    g_free(w->servers);
    g_free(w->entries);
    g_free(w->crashers);
}

static void
begin(World *w)
{
    Outages_Schedule(w, w->now_us, EV_ARRIVE, NULL);
    Outages_Schedule(w, w->now_us, EV_REPORT, NULL);
    Outages_Schedule(w, w->now_us + 1500000, EV_OUTAGE, NULL);
    if (w->p->limited_percent > 0) {
        Outages_Schedule(w, w->now_us + 2000000, EV_LIMIT, NULL);
    }
    if (w->p->unlimited_s > 0) {
        Outages_Schedule(w, w->now_us + (int64_t)(w->p->unlimited_s * 1e6),
                         EV_LIMIT_END, NULL);
    }
    if (w->p->entry_faults) {
        Outages_Schedule(w, w->now_us + ENTRY_FAULT_US, EV_ENTRY_FAULT, NULL);
    }
    for (uint32_t i = 0; i < w->p->crashers; i++) {
        Outages_Schedule(w,
                         w->now_us + 1000000 + Outages_RandomBelow(w, 1000000),
                         EV_CRASHER, &w->crashers[i]);
    }
}

OutageReport
Outages_Run(const OutageParams *params)
{
    World world = {
        .p = params,
        .rng = GwRng_Make(params->seed),
        .now_us = START_US,
        .calls = g_ptr_array_new_with_free_func(g_free),
        .attempts = g_ptr_array_new_with_free_func(g_free),
        .hops = g_ptr_array_new_with_free_func(g_free),
        .contents = g_ptr_array_new_with_free_func(g_free),
    };
    World *w = &world;
    int64_t end_us = START_US + (int64_t)(params->seconds * 1e6);

    set_up(w);
    begin(w);
    while (GwHeap_TopKey(&w->events) <= end_us) {
        Event *e = GwHeap_Top(&w->events);
        w->now_us = GwHeap_TopKey(&w->events);
        GwHeap_Remove(&w->events, &e->place);
        step(w, e);
        g_free(e);
    }
    Outages_SummarizeLimits(w);
    tear_down(w);
    return w->report;
}
