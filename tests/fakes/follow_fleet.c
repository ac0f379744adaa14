#include "fakes/follow_internal.h"

#include "edge/fetch_tree.h"
#include "store/reader.h"

#include <stdlib.h>
#include <string.h>

#define STORE_READS_PER_S 16000
/* Start of an entry: how long it waits for a peer that has the tables, and
 * for the rows. */
#define SEEK_US      (150 * MS)
#define PEER_ROWS_US (700 * MS)
/* A peer that does not answer a fetch is given up after this time. */
#define FETCH_LOST_US (600 * MS)
#define FETCH_SLOW_US (900 * MS)
#define SKEW_MAX_S    1000
/* What a restored store lacks stays for this time. */
#define ERA_GRACE_US (2 * S)

uint32_t
FollowRun_Below(FollowRun *run, uint32_t most)
{
    return GwRng_Below(&run->rng, most);
}

int64_t
FollowEntry_Clock(const FollowRun *run, const FollowEntry *e)
{
    return run->now_us + e->skew_us;
}

int64_t
FollowRun_WayUs(const FollowEntry *from, const FollowEntry *to)
{
    if (from->region != to->region) {
        return 30 * MS;
    }
    return from->domain == to->domain ? 500 : 1400;
}

int64_t
FollowRun_StoreWayUs(const FollowEntry *e)
{
    return e->region == 0 ? 1 * MS : 30 * MS;
}

bool
FollowRun_IsReached(const FollowRun *run, const FollowEntry *from,
                    const FollowEntry *to)
{
    bool is_cut =
        run->now_us < from->cut_until_us || run->now_us < to->cut_until_us;
    bool is_one_way = run->now_us < run->one_way_until_us &&
                      from->domain == run->one_way_from &&
                      to->domain == run->one_way_to;

    return !is_one_way && (!is_cut || from->domain == to->domain);
}

/* ---- Rows -------------------------------------------------------------- */

static void
on_operator_row(void *ctx, const GwStoreRow *row)
{
    FollowEntry *e = ctx;
    uint64_t version = strtoull(row->value, NULL, 10);

    e->run->report.reverts += version < e->config;
    e->config = version;
}

static void
on_server_row(void *ctx, const GwStoreRow *row)
{
    FollowEntry *e = ctx;
    FollowServerState *state = &e->servers[atoi(row->key)];

    if (row->removed || g_str_has_prefix(row->value, "draining")) {
        *state = FOLLOW_LEFT;
        return;
    }
    e->run->report.returned += *state == FOLLOW_LEFT;
    *state = FOLLOW_READY;
}

/* Configurations are their version; a server's row has a state and the number
 * of its heartbeat. */
static GwValueOrder
order_values(void *ctx, const char *key, const char *value, const char *than)
{
    const char *number = strchr(value, ' ');
    const char *other = strchr(than, ' ');
    uint64_t a = strtoull(number != NULL ? number : value, NULL, 10);
    uint64_t b = strtoull(other != NULL ? other : than, NULL, 10);

    (void)ctx;
    (void)key;
    return a > b ? GW_ORDER_NEWER : a < b ? GW_ORDER_OLDER : GW_ORDER_SAME;
}

GwStoreVersion
FollowEntry_Version(const FollowEntry *e, int table)
{
    return GwRowCache_Version(GwFollower_Cache(e->followers[table]));
}

bool
FollowEntry_IsLoaded(const FollowEntry *e)
{
    return GwFollower_IsKnown(e->followers[FOLLOW_OPERATOR]) &&
           GwFollower_IsKnown(e->followers[FOLLOW_SERVERS]);
}

void
FollowEntry_Stop(FollowEntry *e)
{
    for (int t = 0; t < FOLLOW_TABLE_COUNT; t++) {
        GwFollower_Free(e->followers[t]);
        e->followers[t] = NULL;
    }
}

void
FollowEntry_Start(FollowRun *run, FollowEntry *e)
{
    FollowEntry_Stop(e);
    e->process = ++run->processes;
    e->skew_us = (int64_t)FollowRun_Below(run, SKEW_MAX_S) * S;
    e->followers[FOLLOW_OPERATOR] = GwFollower_Create(
        on_operator_row, e, FollowEntry_Clock(run, e), run->params.bound_ms);
    e->followers[FOLLOW_SERVERS] = GwFollower_Create(
        on_server_row, e, FollowEntry_Clock(run, e), run->params.bound_ms);
    GwFollower_FollowOther(e->followers[FOLLOW_SERVERS]);
    for (int t = 0; t < FOLLOW_TABLE_COUNT; t++) {
        GwRowCache *cache = GwFollower_Cache(e->followers[t]);
        GwRowCache_SetOrder(cache, order_values);
        GwRowCache_SetEraGrace(cache, ERA_GRACE_US);
    }
    memset(e->is_connected, 0, sizeof(e->is_connected));
    memset(e->fetches, 0, sizeof(e->fetches));
    memset(e->servers, 0, sizeof(e->servers));
    memset(e->peers, 0, sizeof(FollowPeer) * run->params.entries);
    e->config = 0;
    e->started_us = run->now_us;
    e->disturbed_us = run->now_us;
    e->tables_seen_us = 0;
    e->awaits_rows_us = 0;
    e->tick_us = run->now_us + FollowRun_Below(run, TICK_US);
    e->ticks = FollowRun_Below(run, SWEEP_TICKS);
}

/* ---- Calls to the store ------------------------------------------------ */

static void
call_store(FollowRun *run, FollowEntry *e, int t)
{
    int64_t way_us = FollowRun_StoreWayUs(e);
    CallAnswer to = {
        .caller = e->index, .process = e->process, .table = (FollowTable)t};
    GwStoreCall call;

    if (!GwFollower_NextCall(e->followers[t], FollowEntry_Clock(run, e),
                             &call)) {
        return;
    }
    to.call = call.id;
    if (run->now_us >= e->cut_until_us) {
        FollowStore_Call(run->store,
                         run->now_us + (e->is_connected[t] ? 1 : 3) * way_us,
                         way_us, &call, &to);
    }
    e->is_connected[t] = false;
}

static void
expedite(FollowRun *run, FollowEntry *e, bool whole_region)
{
    for (uint32_t i = 0; i < run->params.entries; i++) {
        const FollowEntry *to = &run->entries[i];
        if (whole_region ? to->region == e->region : to->domain == e->domain) {
            e->peers[i].is_urgent = true;
        }
    }
}

/* Every answer names the era; one with rows counts for its own table once they
 * are applied. */
static void
note_era(FollowRun *run, FollowEntry *e, const CallAnswer *a)
{
    for (int t = 0; t < FOLLOW_TABLE_COUNT; t++) {
        if (t != (int)a->table || a->outcome != CALL_ROWS) {
            GwFollower_NoteEra(e->followers[t], FollowEntry_Clock(run, e),
                               a->era);
        }
    }
}

void
FollowEntry_OnAnswer(FollowRun *run, FollowEntry *e, CallAnswer *a)
{
    GwFollower *f = e->followers[a->table];
    GwStoreCall next;

    if (a->process != e->process) {
        GwRowSet_Free(a->rows);
        return;
    }
    if (a->outcome != CALL_LOST) {
        note_era(run, e, a);
    }
    switch (a->outcome) {
    case CALL_LOST:
        break;
    case CALL_REFUSED:
        GwFollower_OnFailure(f, FollowEntry_Clock(run, e), a->call);
        break;
    case CALL_GONE:
        e->is_connected[a->table] = true;
        GwFollower_OnGone(f, FollowEntry_Clock(run, e), a->call);
        break;
    case CALL_ROWS:
        e->is_connected[a->table] = true;
        if (a->rows->rows->len > 0) {
            expedite(run, e, true);
        }
        (void)GwFollower_OnRows(f, FollowEntry_Clock(run, e), a->call, a->rows,
                                &next);
        if (a->table == FOLLOW_OPERATOR) {
            GwFollower_OnOther(e->followers[FOLLOW_SERVERS],
                               FollowEntry_Clock(run, e),
                               GwFollower_LastAnswer(f));
        }
        break;
    }
}

/* ---- Fetches from peers ------------------------------------------------ */

static void
fetch(FollowRun *run, FollowEntry *e, int t, uint32_t provider, bool is_full)
{
    const FollowEntry *from = &run->entries[provider];
    FollowFetch *f = &e->fetches[t];

    if (f->is_active ||
        (!is_full && !GwStoreVersion_IsNewer(e->peers[provider].versions[t],
                                             FollowEntry_Version(e, t)))) {
        return;
    }
    int64_t took_us =
        4 * FollowRun_WayUs(e, from) + FollowRun_Below(run, 20 * MS);
    if (FollowRun_Below(run, 50) == 0) {
        took_us = FollowRun_Below(run, FETCH_SLOW_US);
    }
    *f = (FollowFetch){.is_active = true,
                       .is_full = is_full,
                       .provider = provider,
                       .provider_process = e->peers[provider].process,
                       .proof = e->peers[provider].proofs[t],
                       .done_us = run->now_us + took_us};
    f->is_lost = took_us > FETCH_LOST_US ||
                 !FollowRun_IsReached(run, e, from) ||
                 !FollowRun_IsReached(run, from, e) ||
                 run->now_us < from->paused_until_us;
    if (f->is_lost) {
        f->done_us = run->now_us + FETCH_LOST_US;
    }
}

static void
finish_fetch(FollowRun *run, FollowEntry *e, int t)
{
    FollowFetch *f = &e->fetches[t];
    const FollowEntry *from = &run->entries[f->provider];
    GwFollower *own = e->followers[t];

    if (!f->is_active || run->now_us < f->done_us) {
        return;
    }
    f->is_active = false;
    if (f->is_lost || from->process != f->provider_process) {
        return;
    }
    const GwRowCache *cache = GwFollower_Cache(from->followers[t]);
    GwStoreVersion after = FollowEntry_Version(e, t);
    bool is_full = f->is_full || GwStoreVersion_IsNone(after) ||
                   !GwRowCache_HasRemovalsAfter(cache, after);
    GwRowSet *rows =
        GwRowCache_After(cache, is_full ? (GwStoreVersion){0} : after);
    GwFollower_OnPeerRows(own, FollowEntry_Clock(run, e), rows, is_full,
                          &f->proof);
    GwRowSet_Free(rows);
    expedite(run, e, false);
}

/* Whether this entry may fetch from the provider now, by the tree of its
 * failure domain. */
static bool
may_fetch(FollowRun *run, const FollowEntry *e, uint32_t provider)
{
    bool same_domain = run->entries[provider].domain == e->domain;
    GwFetchView view = {
        .domain_size = 1,
        .provider_rank = same_domain ? provider > e->index : GW_FETCH_OUTSIDE,
        .waited_us = run->now_us - e->awaits_rows_us,
        .is_bootstrapping = !FollowEntry_IsLoaded(e),
    };

    for (uint32_t i = 0; i < run->params.entries; i++) {
        if (i != e->index && e->peers[i].serves &&
            run->entries[i].domain == e->domain) {
            view.domain_size++;
            view.own_rank += i < e->index;
            view.provider_rank += same_domain && i < provider;
        }
    }
    return GwFetchView_MayFetch(&view);
}

static bool
has_newer_rows(const FollowEntry *e, const FollowPeer *peer)
{
    for (int t = 0; t < FOLLOW_TABLE_COUNT; t++) {
        if (GwStoreVersion_IsNewer(peer->versions[t],
                                   FollowEntry_Version(e, t))) {
            return true;
        }
    }
    return false;
}

/* The table versions are the same, but the peer has kept a configuration that
 * the store lost. */
static void
fetch_newer_config(FollowRun *run, FollowEntry *e, uint32_t provider)
{
    const FollowPeer *peer = &e->peers[provider];

    if (FollowEntry_IsLoaded(e) && peer->config > e->config &&
        GwStoreVersion_Compare(peer->versions[FOLLOW_OPERATOR],
                               FollowEntry_Version(e, FOLLOW_OPERATOR)) == 0) {
        fetch(run, e, FOLLOW_OPERATOR, provider, true);
    }
}

void
FollowEntry_FetchFrom(FollowRun *run, FollowEntry *e, uint32_t provider)
{
    const FollowPeer *peer = &e->peers[provider];

    if (!has_newer_rows(e, peer)) {
        fetch_newer_config(run, e, provider);
        return;
    }
    if (e->awaits_rows_us == 0) {
        e->awaits_rows_us = run->now_us;
    }
    if (!may_fetch(run, e, provider)) {
        e->awaited = provider;
        return;
    }
    e->awaits_rows_us = 0;
    fetch(run, e, FOLLOW_OPERATOR, provider, false);
    fetch(run, e, FOLLOW_SERVERS, provider, false);
}

/* ---- Who reads --------------------------------------------------------- */

static bool
is_live(const FollowRun *run, const FollowPeer *peer)
{
    int64_t limit_us = MAX((int64_t)peer->next_ms * 3500, 2 * S);

    return peer->process != 0 && run->now_us - peer->reported_us < limit_us;
}

static bool
reads_at_start(const FollowRun *run, const FollowEntry *e)
{
    if (e->tables_seen_us != 0) {
        return run->now_us - e->tables_seen_us > PEER_ROWS_US;
    }
    return run->now_us - e->started_us > SEEK_US;
}

static void
choose_reader(FollowRun *run, FollowEntry *e)
{
    int64_t clock_us = FollowEntry_Clock(run, e);
    GwReaderView view = {.bound_ms = run->params.bound_ms};

    for (uint32_t i = 0; i < e->index; i++) {
        const FollowPeer *peer = &e->peers[i];
        view.rank += run->entries[i].region == e->region && peer->serves &&
                     is_live(run, peer);
    }
    for (int t = 0; t < FOLLOW_TABLE_COUNT; t++) {
        view.age_us =
            MAX(view.age_us, GwFollower_AgeUs(e->followers[t], clock_us));
    }
    GwReadReason reason = GwReaderView_Reason(&view);
    if (!FollowEntry_IsLoaded(e)) {
        reason = reads_at_start(run, e) ? GW_READS_START : GW_READS_NOT;
    }
    for (int t = 0; t < FOLLOW_TABLE_COUNT; t++) {
        if (GwFollower_SetReads(e->followers[t], clock_us, reason)) {
            e->is_connected[t] = false;
        }
    }
}

/* ---- Steps ------------------------------------------------------------- */

void
FollowEntry_Step(FollowRun *run, FollowEntry *e)
{
    if (run->now_us < e->paused_until_us || run->now_us < e->tick_us) {
        return;
    }
    bool is_slow = run->now_us < e->slow_until_us;
    e->tick_us = run->now_us + (is_slow ? 4 : 1) * TICK_US;
    e->ticks++;
    for (int t = 0; t < FOLLOW_TABLE_COUNT; t++) {
        GwRowCache *cache = GwFollower_Cache(e->followers[t]);
        if (GwRowCache_PendingCount(cache) > 0) {
            GwRowCache_Expire(cache, FollowEntry_Clock(run, e));
        }
        finish_fetch(run, e, t);
        call_store(run, e, t);
        while (GwFollower_NextOverdue(e->followers[t],
                                      FollowEntry_Clock(run, e)) != 0) {
        }
    }
    FollowEntry_SendDueReports(run, e);
    if (e->awaits_rows_us != 0) {
        FollowEntry_FetchFrom(run, e, e->awaited);
    }
    if (e->ticks % SWEEP_TICKS == 0 || !FollowEntry_IsLoaded(e)) {
        choose_reader(run, e);
    }
    FollowRun_Check(run, e);
}

static void
deliver(FollowRun *run)
{
    GArray *due = run->network[run->now_us / STEP_US % RING];
    CallAnswer answer;

    for (guint i = 0; i < due->len; i++) {
        FollowReport report = g_array_index(due, FollowReport, i);
        FollowEntry *to = &run->entries[report.to];
        if (run->now_us >= to->paused_until_us) {
            FollowEntry_OnReport(run, to, &report);
        }
    }
    g_array_set_size(due, 0);
    while (FollowStore_NextAnswer(run->store, run->now_us, &answer)) {
        FollowEntry *to = &run->entries[answer.caller];
        if (run->now_us < to->paused_until_us) {
            /* Read when the entry runs again. */
            answer.at_us = to->paused_until_us;
            FollowStore_Defer(run->store, &answer);
        }
        else if (run->now_us < to->cut_until_us) {
            GwRowSet_Free(answer.rows);
        }
        else {
            FollowEntry_OnAnswer(run, to, &answer);
        }
    }
}

static void
create_entries(FollowRun *run)
{
    uint32_t count = run->params.entries;

    run->domains = count > 150 ? 9 : 6;
    run->entries = g_new0(FollowEntry, count);
    for (uint32_t i = 0; i < count; i++) {
        FollowEntry *e = &run->entries[i];
        e->run = run;
        e->index = i;
        e->domain = i * run->domains / count;
        e->region = e->domain * REGIONS / run->domains;
        e->peers = g_new0(FollowPeer, count);
    }
    for (uint32_t i = 0; i < count; i++) {
        FollowEntry_Start(run, &run->entries[i]);
    }
}

static void
free_run(FollowRun *run)
{
    for (uint32_t i = 0; i < run->params.entries; i++) {
        FollowEntry_Stop(&run->entries[i]);
        g_free(run->entries[i].peers);
    }
    for (int i = 0; i < RING; i++) {
        g_array_free(run->network[i], TRUE);
    }
    g_array_free(run->changes, TRUE);
    g_array_free(run->rewrites, TRUE);
    g_free(run->entries);
    FollowStore_Free(run->store);
}

FollowFleetReport
FollowFleet_Run(const FollowFleetParams *params)
{
    FollowRun run = {
        .params = *params,
        .rng = GwRng_Make(params->seed),
        .now_us = 10 * S,
        .store = FollowStore_Create(params->entries, STORE_READS_PER_S),
        .changes = g_array_new(FALSE, FALSE, sizeof(FollowChange)),
    };

    for (int i = 0; i < RING; i++) {
        run.network[i] = g_array_new(FALSE, FALSE, sizeof(FollowReport));
    }
    create_entries(&run);
    int64_t end_us = run.now_us + (int64_t)params->seconds * S;
    run.next_change_us = run.now_us;
    run.next_fault_us = run.now_us + 5 * S;
    run.rewrites = g_array_new(FALSE, FALSE, sizeof(FollowRewrite));
    while (run.now_us < end_us) {
        run.now_us += STEP_US;
        FollowRun_Disturb(&run);
        deliver(&run);
        for (uint32_t i = 0; i < params->entries; i++) {
            FollowEntry_Step(&run, &run.entries[i]);
        }
    }
    run.report.calls_per_s =
        (double)FollowStore_CallCount(run.store) / params->seconds;
    free_run(&run);
    return run.report;
}
