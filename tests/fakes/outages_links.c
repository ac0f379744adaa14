/* Links between entries and servers: kept connections, and cuts of all links of
 * some entries. A cut entry still reaches callers and other entries. */
#include "fakes/outages_internal.h"

#define CUT_US   6000000
#define PAUSE_US 2500000
/* A kept connection is closed by its server after this idle time. */
#define KEEP_IDLE_US 4000000
/* The host checks connects at intervals, so they time out later than this. */
#define CONNECT_SPREAD_US 250000
/* Percentage of answers after which the server closes the connection. */
#define CLOSE_PERCENT 10

bool
OutageKind_CutsLinks(OutageKind kind)
{
    return kind == OUTAGE_LINKS_SILENT || kind == OUTAGE_LINKS_RESET ||
           kind == OUTAGE_LINKS_REFUSED || kind == OUTAGE_LINKS_BROKEN;
}

static bool
refuses_connects(const World *w)
{
    return w->p->kind == OUTAGE_LINKS_REFUSED ||
           w->p->kind == OUTAGE_LINKS_BROKEN;
}

static bool
is_cut(const Entry *e)
{
    return e->world->now_us < e->links_cut_until_us;
}

OutageLinks
OutageEntry_Links(const Entry *e)
{
    const World *w = e->world;
    bool any_cut = w->now_us < w->links_cut_until_us;

    if (!any_cut || w->now_us < w->links_cut_us + CONTACT_US ||
        !OutageEntry_IsReachable(e)) {
        return OUTAGE_LINKS_IGNORED;
    }
    return is_cut(e) ? OUTAGE_LINKS_CUT : OUTAGE_LINKS_UP;
}

/* ---- Attempts ------------------------------------------------------------ */

static GwAttemptEnd
unsent(GwLinkEnd how)
{
    return (GwAttemptEnd){.outcome = GW_ATTEMPT_UNSENT, .link = how};
}

static void
fail_connect(World *w, Attempt *a)
{
    if (refuses_connects(w)) {
        OutageAttempt_AnswerAt(
            w, a, w->now_us + 2 * Outages_DelayUs(a->call->entry, a->server),
            unsent(GW_LINK_REFUSED));
        return;
    }
    OutageAttempt_AnswerAt(w, a,
                           w->now_us + CONNECT_TIMEOUT_US +
                               Outages_RandomBelow(w, CONNECT_SPREAD_US),
                           unsent(GW_LINK_TIMEOUT));
}

/* Ends an attempt on a connection that is cut. The server may run the request,
 * if that has arrived. */
static void
fail_connection(World *w, Attempt *a)
{
    GwAttemptEnd silent = {.outcome = GW_ATTEMPT_LOST,
                           .link = GW_LINK_TIMEOUT};
    GwAttemptEnd reset = OutageAttempt_ConnectionLost(a);

    reset.link = GW_LINK_RESET;
    if (w->p->kind == OUTAGE_LINKS_SILENT) {
        OutageAttempt_AnswerAt(w, a, w->now_us + TCP_USER_TIMEOUT_US, silent);
    }
    else {
        OutageAttempt_AnswerAt(w, a, w->now_us + 1000, reset);
    }
}

/* Sends on a kept connection, or on a new one. */
void
OutageAttempt_UseLink(World *w, Attempt *a, bool reuses_connection)
{
    Entry *e = a->call->entry;
    OutageLink *link = &e->links[a->server->index];
    int64_t way_us = Outages_DelayUs(e, a->server);

    if (w->now_us - link->used_us > KEEP_IDLE_US) {
        link->idle = 0;
    }
    bool is_new = link->idle == 0;
    link->idle -= !is_new;
    if (is_new && reuses_connection) {
        OutageAttempt_AnswerAt(w, a, w->now_us,
                               (GwAttemptEnd){.outcome = GW_ATTEMPT_UNSENT,
                                              .no_connection = true});
    }
    else if (is_new && is_cut(e)) {
        fail_connect(w, a);
    }
    else if (is_cut(e) && w->p->kind != OUTAGE_LINKS_REFUSED) {
        fail_connection(w, a);
    }
    else {
        a->connect_us = is_new ? 2 * way_us : 0;
        Outages_Schedule(w, w->now_us + way_us + a->connect_us, EV_DELIVER, a);
    }
}

void
OutageAttempt_ReturnLink(World *w, const Attempt *a)
{
    OutageLink *link = &a->call->entry->links[a->server->index];

    if (a->end.outcome == GW_ATTEMPT_ANSWERED &&
        Outages_RandomBelow(w, 100) >= CLOSE_PERCENT) {
        link->idle++;
        link->used_us = w->now_us;
    }
}

GwProbeResult
OutageProbe_CutResult(const Probe *p)
{
    if (!is_cut(p->entry)) {
        return GW_PROBE_ALIVE;
    }
    return refuses_connects(p->entry->world) ? GW_PROBE_REFUSED
                                             : GW_PROBE_TIMEOUT;
}

int64_t
OutageProbe_DelayUs(World *w, const Entry *e)
{
    return is_cut(e) && !refuses_connects(w)
               ? CONNECT_TIMEOUT_US + Outages_RandomBelow(w, CONNECT_SPREAD_US)
               : 0;
}

/* ---- Cuts ---------------------------------------------------------------- */

static void
cut(World *w, Entry *e)
{
    e->links_cut_until_us = w->links_cut_until_us;
    for (uint32_t i = 0; i < w->p->servers; i++) {
        if (w->p->kind == OUTAGE_LINKS_RESET ||
            w->p->kind == OUTAGE_LINKS_BROKEN) {
            e->links[i].idle = 0;
        }
    }
    for (guint i = 0; i < w->attempts->len; i++) {
        Attempt *a = w->attempts->pdata[i];
        if (a->call->entry == e && !a->dropped && !a->ended &&
            w->p->kind != OUTAGE_LINKS_REFUSED) {
            (void)g_queue_remove(&a->server->running, a);
            fail_connection(w, a);
        }
    }
}

/* Whether the entry is cut at this step: one alone, all but one of a failure
 * domain, half of all, or a whole failure domain and more. */
static bool
is_chosen(World *w, const Entry *e, uint32_t step)
{
    uint32_t domain = e->index / REGIONS % 2;
    bool in_domain = e->region == 0 && domain == 0;

    switch (step % 4) {
    case 0:
        return e->index == 0;
    case 1:
        return in_domain && (e->index > 0 || w->p->entries < 2 * REGIONS);
    case 2:
        return e->index % 2 == 0;
    default:
        return in_domain || Outages_RandomBelow(w, 100) < 40;
    }
}

/* Entry 1 is never cut, so that one always reaches the servers. */
void
Outages_CutLinks(World *w, uint32_t step)
{
    w->links_cut_us = w->now_us;
    w->links_cut_until_us = w->now_us + CUT_US;
    for (uint32_t i = 0; i < w->p->entries; i++) {
        if (i != 1 && is_chosen(w, &w->entries[i], step)) {
            cut(w, &w->entries[i]);
        }
    }
    Outages_Schedule(w, w->links_cut_until_us + PAUSE_US, EV_OUTAGE, NULL);
}

/* ---- What entries tell each other ---------------------------------------- */

/* Sends the services that the entry doesn't reach to all others, at once when
 * they change, and repeatedly while there are any. */
void
OutageEntry_TellReach(World *w, Entry *e)
{
    uint32_t unreached[GW_UNREACHED_MAX];
    uint32_t count =
        GwRouter_UnreachedServices(e->router, unreached, GW_UNREACHED_MAX);
    bool is_due = count != e->told_unreached ||
                  (w->now_us - e->told_us > REPEAT_REACH_US &&
                   w->now_us - e->unreached_us < 3 * REPEAT_REACH_US);

    if (count > 0) {
        e->unreached_us = w->now_us;
    }
    if (!is_due) {
        return;
    }
    e->told_unreached = count;
    e->told_us = w->now_us;
    for (uint32_t i = 0; i < w->p->entries; i++) {
        if (i == e->index || Outages_Chance(w, LOSS_PERMILLE)) {
            continue;
        }
        ReachReport *report = g_new0(ReachReport, 1);
        *report =
            (ReachReport){.from = e, .to = &w->entries[i], .count = count};
        memcpy(report->unreached, unreached, sizeof(unreached));
        Outages_Schedule(w, w->now_us + CROSS_REGION_US, EV_REACH, report);
    }
}

void
OutageEntry_PutPeer(Entry *e, const Entry *peer, const ReachReport *report)
{
    char name[16];
    char region[8];
    char domain[16];
    GwPeerInfo info = {
        .name = name, .region = region, .domain = domain, .serves = true};

    g_snprintf(name, sizeof(name), "e%u", peer->index);
    g_snprintf(region, sizeof(region), "r%u", peer->region);
    g_snprintf(domain, sizeof(domain), "d%u-%u", peer->region,
               peer->index / REGIONS % 2);
    if (report != NULL) {
        info.unreached = report->unreached;
        info.unreached_count = report->count;
    }
    GwRouter_PutPeer(e->router, e->world->now_us, &info);
}

void
OutageReach_Receive(ReachReport *report)
{
    OutageEntry_PutPeer(report->to, report->from, report);
    g_free(report);
}
