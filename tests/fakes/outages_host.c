/* Entries: execution of the core's actions, and messages between entries. */
#include "fakes/outages_internal.h"

static Server *
server_of(World *w, const char *id)
{
    return &w->servers[strtoul(id + 1, NULL, 10)];
}

/* Marks a server as in use by the host, so that the core reports with
 * GW_ROUTER_DROP_SERVER when the handle becomes invalid. */
static void
keep_handle(Entry *e, GwServer *handle)
{
    *GwServer_User(handle) = e;
    (void)g_hash_table_add(e->handles, handle);
}

static void
send(Call *call, const GwRouterAction *act)
{
    GwServer *handle = act->server;
    World *w = call->world;
    Attempt *a = g_new0(Attempt, 1);

    a->call = call;
    a->handle = handle;
    a->server = server_of(w, GwServer_Id(handle));
    a->born_ms = handle->born_ms;
    keep_handle(call->entry, handle);
    call->attempt = a;
    g_ptr_array_add(w->attempts, a);
    if (OutageKind_CutsLinks(w->p->kind)) {
        OutageAttempt_UseLink(w, a, act->reuses_connection);
        return;
    }
    if (w->p->kind == OUTAGE_SHEDS || w->p->kind == OUTAGE_LEAVES) {
        OutageAttempt_Connect(w, a);
        return;
    }
    Outages_Schedule(w,
                     w->now_us + 3 * Outages_DelayUs(call->entry, a->server),
                     EV_DELIVER, a);
}

static void
probe(Entry *e, GwServer *handle)
{
    World *w = e->world;
    Probe *p = g_new0(Probe, 1);

    *p = (Probe){.entry = e,
                 .incarnation = e->incarnation,
                 .handle = handle,
                 .server = server_of(w, GwServer_Id(handle))};
    p->born_ms = handle->born_ms;
    keep_handle(e, handle);
    Outages_Schedule(w,
                     w->now_us + 2 * Outages_DelayUs(e, p->server) +
                         OutageProbe_DelayUs(w, e) +
                         Outages_RandomBelow(w, 1000),
                     EV_PROBE_END, p);
}

void
OutageCall_Drop(Call *call)
{
    if (call->attempt != NULL) {
        (void)g_queue_remove(&call->attempt->server->running, call->attempt);
        call->attempt->dropped = true;
        call->attempt = NULL;
    }
    if (call->hop != NULL) {
        OutageHop_Drop(call->hop);
        call->hop = NULL;
    }
}

static void
run_action(Entry *e, const GwRouterAction *act)
{
    Call *call = act->user;

    switch (act->kind) {
    case GW_ROUTER_ACCEPT:
        call->request = act->request;
        break;
    case GW_ROUTER_SEND:
        send(call, act);
        break;
    case GW_ROUTER_PASS_ON:
        e->world->report.hops_of_hops += call->inner_of != NULL;
        OutageCall_PassOn(call, act);
        break;
    case GW_ROUTER_CANCEL:
        OutageCall_Drop(call);
        break;
    case GW_ROUTER_REPLY:
        Outages_CheckRefusal(e->world, call, act->why);
        OutageCall_End(call, act);
        break;
    case GW_ROUTER_ANSWER:
        OutageCall_End(call, act);
        break;
    case GW_ROUTER_PROBE:
        probe(e, act->server);
        break;
    case GW_ROUTER_DROP_SERVER:
        (void)g_hash_table_remove(e->handles, act->server);
        break;
    case GW_ROUTER_LOG_EJECTED:
    case GW_ROUTER_LOG_LEAVING:
    case GW_ROUTER_LOG_RESTING:
    case GW_ROUTER_LOG_RECOVERED:
        break;
    }
}

void
OutageEntry_RunActions(Entry *e)
{
    World *w = e->world;

    for (guint i = 0; i < e->actions->len; i++) {
        GwRouterAction act = g_array_index(e->actions, GwRouterAction, i);
        run_action(e, &act);
    }
    g_array_set_size(e->actions, 0);
    int64_t due_us = GwRouter_NextDeadline(e->router);
    if (!e->is_tick_scheduled && due_us != INT64_MAX) {
        e->is_tick_scheduled = true;
        Outages_Schedule(w, MAX(due_us, e->frozen_until_us), EV_TICK, e);
    }
}

/* ---- Answers and probe results ----------------------------------------- */

static bool
is_current(const Attempt *a)
{
    return !a->dropped && a->call->incarnation == a->call->entry->incarnation;
}

void
OutageAttempt_Answer(World *w, Attempt *a)
{
    Call *call = a->call;
    Entry *e = call->entry;
    bool refused = a->end.outcome == GW_ATTEMPT_UNSENT &&
                   !a->server->is_powered_off && !a->end.no_connection &&
                   a->end.link != GW_LINK_TIMEOUT;

    if (!is_current(a)) {
        return;
    }
    call->attempt = NULL;
    if (OutageKind_CutsLinks(w->p->kind)) {
        a->end.connect_us = a->connect_us;
        OutageAttempt_ReturnLink(w, a);
    }
    OutageServer_NoteAnswer(w, a);
    if (a->end.limit == GW_LIMIT_STATED &&
        a->server->limit_known_us[e->index] == 0) {
        a->server->limit_known_us[e->index] = w->now_us;
    }
    if (refused && g_hash_table_contains(e->handles, a->handle)) {
        GwRouter_ProbeEnded(e->router, w->now_us, a->handle, GW_PROBE_REFUSED,
                            e->actions);
    }
    if (GwRouter_WantsFingerprints(e->router)) {
        a->end.fingerprint = &call->content->fingerprint;
    }
    GwRouter_AttemptEnded(e->router, w->now_us, call->request, &a->end,
                          e->actions);
    OutageEntry_RunActions(e);
}

void
OutageProbe_End(World *w, Probe *p)
{
    Entry *e = p->entry;
    GwProbeResult result = p->server->is_powered_off ? GW_PROBE_TIMEOUT
                           : p->server->listening    ? OutageProbe_CutResult(p)
                                                     : GW_PROBE_REFUSED;

    if (p->incarnation == e->incarnation &&
        g_hash_table_contains(e->handles, p->handle)) {
        GwRouter_ProbeEnded(e->router, w->now_us, p->handle, result,
                            e->actions);
        OutageEntry_RunActions(e);
    }
    g_free(p);
}

/* ---- Messages between entries ------------------------------------------ */

static void
fill_limits(Entry *e, uint32_t to, Datagram *d)
{
    int64_t now_us = e->world->now_us;
    int64_t since_us = 0;
    GwGossipAction action =
        GwGossipPeer_Next(&e->limit_peers[to], now_us, &since_us);

    d->limits_checksum = GwRouter_LimitsChecksum(e->router);
    if (action != GW_GOSSIP_NOTHING) {
        d->limit_count = GwRouter_Limits(
            e->router, now_us, action == GW_GOSSIP_CHANGES ? since_us : 0,
            d->limits, LIMITS_MAX);
    }
}

static void
merge_limits(const Datagram *d)
{
    Entry *e = d->to;
    uint32_t from = d->from->index;
    int64_t now_us = e->world->now_us;

    for (uint32_t i = 0; i < d->limit_count; i++) {
        GwRouter_PutLimit(e->router, now_us, &d->limits[i]);
    }
    if (GwGossipPeer_OnChecksum(&e->limit_peers[from], now_us,
                                d->limits_checksum,
                                GwRouter_LimitsChecksum(e->router),
                                GwRouter_LimitsChangedUs(e->router))) {
        e->must_send[from] = true;
    }
}

static void
send_datagram(Entry *e, uint32_t to)
{
    World *w = e->world;
    GwQuarantine *q = GwRouter_Quarantine(e->router);
    Datagram *d = g_new0(Datagram, 1);
    int64_t since_us = 0;

    e->must_send[to] = false;
    *d = (Datagram){.from = e, .to = &w->entries[to]};
    switch (GwGossipPeer_Next(&e->peers[to], w->now_us, &since_us)) {
    case GW_GOSSIP_NOTHING:
        break;
    case GW_GOSSIP_CHANGES:
        d->count = GwQuarantine_Changes(q, w->now_us, since_us, d->suspects,
                                        SUSPECTS_MAX);
        break;
    case GW_GOSSIP_PAGE:
        d->count = GwQuarantine_Page(q, w->now_us, &e->from, d->suspects,
                                     SUSPECTS_MAX);
        break;
    }
    d->checksum = GwQuarantine_Checksum(q);
    fill_limits(e, to, d);
    w->report.records_sent += d->count;
    if (Outages_Chance(w, LOSS_PERMILLE) || w->now_us < e->cut_until_us ||
        w->now_us < d->to->cut_until_us) {
        g_free(d);
        return;
    }
    Outages_Schedule(
        w, w->now_us + SAME_REGION_US + Outages_RandomBelow(w, 40000),
        EV_DATAGRAM, d);
}

void
OutageDatagram_Receive(World *w, Datagram *d)
{
    Entry *e = d->to;
    uint32_t from = d->from->index;
    GwQuarantine *q = GwRouter_Quarantine(e->router);

    for (uint32_t i = 0; i < d->count; i++) {
        GwQuarantine_Merge(q, w->now_us, &d->suspects[i]);
    }
    if (GwGossipPeer_OnChecksum(&e->peers[from], w->now_us, d->checksum,
                                GwQuarantine_Checksum(q),
                                GwQuarantine_ChangedUs(q))) {
        e->must_send[from] = true;
    }
    merge_limits(d);
    g_free(d);
}

static void
mark_changes(Entry *e)
{
    World *w = e->world;
    GwQuarantine *q = GwRouter_Quarantine(e->router);

    if (GwRouter_LimitsChangedUs(e->router) > e->limits_marked_us) {
        e->limits_marked_us = w->now_us;
        for (int i = 0; i < GW_GOSSIP_FANOUT; i++) {
            uint32_t to = Outages_RandomBelow(w, w->p->entries);
            e->limit_peers[to].news = true;
            e->must_send[to] = true;
        }
    }
    if (GwQuarantine_IsEmpty(q)) {
        return;
    }
    GwQuarantine_Tick(q, w->now_us);
    if (GwQuarantine_ChangedUs(q) > e->suspects_marked_us) {
        e->suspects_marked_us = w->now_us;
        for (int i = 0; i < GW_GOSSIP_FANOUT; i++) {
            uint32_t to = Outages_RandomBelow(w, w->p->entries);
            e->peers[to].news = true;
            e->must_send[to] = true;
        }
    }
}

static void
send_due(Entry *e)
{
    uint32_t count = e->world->p->entries;
    uint32_t due = count <= 15 ? count / 2 : REPORTS_PER_S / 20;

    for (uint32_t i = 0; i < due; i++) {
        e->next_peer = (e->next_peer + 1) % count;
        e->must_send[e->next_peer] = true;
    }
    e->must_send[e->index] = false;
    for (uint32_t i = 0; i < count; i++) {
        if (e->must_send[i]) {
            send_datagram(e, i);
        }
    }
}

static void
count_quarantined(void *ctx, const GwSuspect *suspect, GwSuspectState state,
                  int64_t until_us)
{
    uint32_t *count = ctx;

    (void)suspect;
    (void)until_us;
    *count += state == GW_SUSPECT_QUARANTINED;
}

/* Without crashing requests, no request may be quarantined. */
static void
note_convictions(World *w)
{
    for (uint32_t i = 0; w->p->crashers == 0 && i < w->p->entries; i++) {
        uint32_t count = 0;
        GwQuarantine_Each(GwRouter_Quarantine(w->entries[i].router), w->now_us,
                          count_quarantined, &count);
        w->report.convictions = MAX(w->report.convictions, count);
    }
}

static void
note_quarantined(World *w)
{
    for (uint32_t i = 0; i < w->p->crashers; i++) {
        const Content *c = &w->crashers[i];
        bool held = c->third_crash_us != 0 && !w->is_quarantine_noted;
        for (uint32_t k = 0; held && k < w->p->entries; k++) {
            Entry *e = &w->entries[k];
            held = !OutageEntry_IsReachable(e) ||
                   GwQuarantine_UntilUs(GwRouter_Quarantine(e->router),
                                        w->now_us, &c->fingerprint) != 0;
        }
        if (held) {
            w->is_quarantine_noted = true;
            w->report.quarantined_ms =
                (uint32_t)((w->now_us - c->third_crash_us) / 1000);
        }
    }
}

void
Outages_Report(World *w)
{
    bool any = false;

    Outages_Schedule(w, w->now_us + REPORT_US, EV_REPORT, NULL);
    for (uint32_t i = 0; i < w->p->entries; i++) {
        any = any || w->p->limited_percent > 0 ||
              !GwQuarantine_IsEmpty(GwRouter_Quarantine(w->entries[i].router));
    }
    for (uint32_t i = 0; any && i < w->p->entries; i++) {
        Entry *e = &w->entries[i];
        if (!OutageEntry_IsFrozen(e)) {
            mark_changes(e);
            send_due(e);
        }
    }
    for (uint32_t i = 0; i < w->p->entries; i++) {
        OutageEntry_TellReach(w, &w->entries[i]);
    }
    note_convictions(w);
    note_quarantined(w);
}
