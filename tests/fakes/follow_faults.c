/* Changes that operators and servers make, faults, and the rules. */
#include "fakes/follow_internal.h"

/* Virtual time is cut into steps, and an entry acts at its next tick. */
#define SLACK_US         (2 * STEP_US + TICK_US)
#define BURST_GAP_US     (30 * MS)
#define BURST_MAX        8
#define DRAINS_PER_MILLE 150

const char *
FollowFault_Name(FollowFault fault)
{
    static const char *const names[FOLLOW_FAULT_COUNT] = {
        [FOLLOW_CALM] = "calm",
        [FOLLOW_SOME_SILENT] = "some-silent",
        [FOLLOW_SOME_REFUSED] = "some-refused",
        [FOLLOW_STORE_SILENT] = "store-silent",
        [FOLLOW_STORE_REFUSES] = "store-refuses",
        [FOLLOW_STORE_SLOW] = "store-slow",
        [FOLLOW_SOME_STALE] = "some-stale",
        [FOLLOW_HISTORY] = "history",
        [FOLLOW_CUT] = "cut",
        [FOLLOW_ONE_WAY] = "one-way",
        [FOLLOW_PAUSE] = "pause",
        [FOLLOW_SLOW] = "slow",
        [FOLLOW_RESTART] = "restart",
    };

    return names[fault];
}

/* ---- Changes ----------------------------------------------------------- */

static void
change_config(FollowRun *run, uint64_t version)
{
    char text[32];

    g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, version);
    (void)FollowStore_Put(run->store, run->now_us, FOLLOW_OPERATOR, CONFIG_KEY,
                          text);
}

static void
drain_server(FollowRun *run, uint32_t server)
{
    char key[16];

    g_snprintf(key, sizeof(key), "%u", server);
    (void)FollowStore_Put(run->store, run->now_us, FOLLOW_SERVERS, key,
                          "draining");
}

static void
register_servers(FollowRun *run)
{
    for (uint32_t i = 0; i < SERVERS; i++) {
        char key[16];
        g_snprintf(key, sizeof(key), "%u", i);
        (void)FollowStore_Put(run->store, run->now_us, FOLLOW_SERVERS, key,
                              "ready");
    }
}

/* While the store is away from all, operators and servers can't reach it
 * either. */
static bool
is_store_away(const FollowRun *run)
{
    for (uint32_t i = 0; i < run->params.entries; i++) {
        StoreMode mode = FollowStore_Mode(run->store, i, run->now_us);
        if (mode != STORE_SILENT && mode != STORE_REFUSES) {
            return false;
        }
    }
    return true;
}

static void
make_changes(FollowRun *run)
{
    if (run->now_us < run->next_change_us || is_store_away(run)) {
        return;
    }
    if (run->changes->len == 0) {
        register_servers(run);
    }
    FollowChange change = {.acked_us = run->now_us,
                           .config = run->changes->len + 1};
    if (FollowRun_Below(run, 1000) < DRAINS_PER_MILLE) {
        change.config = 0;
        change.server = FollowRun_Below(run, SERVERS);
        drain_server(run, change.server);
    }
    else {
        change_config(run, change.config);
    }
    g_array_append_val(run->changes, change);
    if (run->burst == 0 && FollowRun_Below(run, 5) == 0) {
        run->burst = 1 + FollowRun_Below(run, BURST_MAX);
    }
    if (run->burst > 0) {
        run->burst--;
        run->next_change_us = run->now_us + BURST_GAP_US;
    }
    else {
        run->next_change_us =
            run->now_us + 300 * MS + FollowRun_Below(run, 1700 * MS);
    }
}

/* ---- Faults ------------------------------------------------------------ */

static void
set_store_mode(FollowRun *run, StoreMode mode, uint32_t percent,
               int64_t until_us)
{
    for (uint32_t i = 0; i < run->params.entries; i++) {
        if (FollowRun_Below(run, 100) < percent) {
            FollowStore_SetMode(run->store, i, mode, until_us);
        }
    }
}

/* The readers of all regions are among those that the store turns away. */
static void
turn_away_readers(FollowRun *run, StoreMode mode, int64_t until_us)
{
    for (uint32_t i = 0; i < run->params.entries; i++) {
        if (i == 0 || run->entries[i].region != run->entries[i - 1].region) {
            FollowStore_SetMode(run->store, i, mode, until_us);
        }
    }
}

static bool
is_hit(FollowRun *run, uint32_t percent)
{
    return FollowRun_Below(run, 100) < percent;
}

static void
disturb_entries(FollowRun *run, FollowFault fault, int64_t until_us)
{
    uint32_t domain = FollowRun_Below(run, run->domains);

    for (uint32_t i = 0; i < run->params.entries; i++) {
        FollowEntry *e = &run->entries[i];
        if (fault == FOLLOW_CUT && e->domain == domain) {
            e->cut_until_us = until_us;
        }
        else if (fault == FOLLOW_PAUSE && is_hit(run, 30)) {
            e->paused_until_us = MIN(until_us, run->now_us + 3 * S);
        }
        else if (fault == FOLLOW_SLOW && is_hit(run, 40)) {
            e->slow_until_us = until_us;
        }
        else if (fault == FOLLOW_RESTART && is_hit(run, 30)) {
            FollowEntry_Start(run, e);
        }
    }
}

static void
begin_fault(FollowRun *run, FollowFault fault)
{
    int64_t until_us = run->now_us + 2 * S + FollowRun_Below(run, 8 * S);
    bool some = FollowRun_Below(run, 2) == 0;

    switch (fault) {
    case FOLLOW_SOME_SILENT:
    case FOLLOW_SOME_REFUSED: {
        StoreMode mode =
            fault == FOLLOW_SOME_SILENT ? STORE_SILENT : STORE_REFUSES;
        set_store_mode(run, mode, 50, until_us);
        if (some) {
            turn_away_readers(run, mode, until_us);
        }
        break;
    }
    case FOLLOW_STORE_SILENT:
        set_store_mode(run, STORE_SILENT, 100, until_us);
        break;
    case FOLLOW_STORE_REFUSES:
        set_store_mode(run, STORE_REFUSES, 100, until_us);
        break;
    case FOLLOW_STORE_SLOW:
        set_store_mode(run, STORE_IS_SLOW, 100, until_us);
        break;
    case FOLLOW_SOME_STALE:
        set_store_mode(run, STORE_IS_STALE, 50, until_us);
        break;
    case FOLLOW_HISTORY:
        FollowStore_DropHistory(run->store);
        run->store_disturbed_us = run->now_us;
        break;
    case FOLLOW_ONE_WAY:
        run->one_way_from = FollowRun_Below(run, run->domains);
        run->one_way_to = FollowRun_Below(run, run->domains);
        run->one_way_until_us = until_us;
        break;
    case FOLLOW_CUT:
    case FOLLOW_PAUSE:
    case FOLLOW_SLOW:
    case FOLLOW_RESTART:
        disturb_entries(run, fault, until_us);
        break;
    case FOLLOW_CALM:
    case FOLLOW_FAULT_COUNT:
        break;
    }
}

void
FollowRun_Disturb(FollowRun *run)
{
    make_changes(run);
    if (run->now_us < run->next_fault_us) {
        return;
    }
    run->next_fault_us = run->now_us + 4 * S + FollowRun_Below(run, 8 * S);
    begin_fault(run, FollowRun_Below(run, 2) == 0 ? run->params.fault
                                                  : run->params.second);
}

/* ---- Rules ------------------------------------------------------------- */

/* Answers from an older state excuse nothing. */
static bool
is_disturbed(const FollowRun *run, const FollowEntry *e)
{
    StoreMode mode = FollowStore_Mode(run->store, e->index, run->now_us);
    bool is_one_way =
        run->now_us < run->one_way_until_us &&
        (e->domain == run->one_way_from || e->domain == run->one_way_to);

    return is_one_way || run->now_us < e->slow_until_us ||
           run->now_us < e->cut_until_us ||
           (mode != STORE_ANSWERS && mode != STORE_IS_STALE);
}

/* An entry in touch must have every change that was acknowledged `bound_ms`
 * ago. */
void
FollowRun_Check(FollowRun *run, FollowEntry *e)
{
    int64_t contact_us = (int64_t)run->params.contact_ms * MS;
    int64_t due_us =
        run->now_us - (int64_t)run->params.bound_ms * MS - SLACK_US;

    if (is_disturbed(run, e)) {
        e->disturbed_us = run->now_us;
    }
    if (e->paused_until_us > e->disturbed_us) {
        e->disturbed_us = e->paused_until_us;
    }
    if (run->now_us - e->disturbed_us < contact_us ||
        run->now_us - run->store_disturbed_us < contact_us) {
        return;
    }
    run->report.checks++;
    bool is_late = false;
    for (guint i = run->changes->len; i > 0; i--) {
        const FollowChange *c =
            &g_array_index(run->changes, FollowChange, i - 1);
        if (c->config == 0 && c->acked_us <= due_us &&
            !e->drained[c->server]) {
            run->report.late_drains++;
        }
        if (c->config > e->config) {
            is_late = is_late || c->acked_us <= due_us;
            run->report.worst_ms =
                MAX(run->report.worst_ms, (run->now_us - c->acked_us) / MS);
        }
    }
    run->report.late_configs += is_late;
}
