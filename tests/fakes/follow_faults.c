/* Changes that operators and servers make, faults, and the rules. */
#include "fakes/follow_internal.h"

/* Virtual time is cut into steps, and an entry acts at its next tick. */
#define SLACK_US           (2 * STEP_US + TICK_US)
#define BURST_GAP_US       (30 * MS)
#define BURST_MAX          8
#define DRAINS_PER_MILLE   150
#define REMOVALS_PER_MILLE 50
/* The store is away before it is restored, and its copy is so old at most. */
#define RESTORE_AWAY_US (2 * S)
#define COPY_AGE_US     (6 * S)
/* Operators and servers write what was lost again, and rows of servers that
 * have ended lapse, within this time after the store's return. */
#define REWRITE_US  (2 * S)
#define LAPSE_US    (4500 * MS)
#define SKIPPED_MAX 300

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
        [FOLLOW_RESTORE] = "restore",
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

/* Writes the row of a server, with the number of its heartbeat; NULL removes
 * it. */
static void
put_server(FollowRun *run, uint32_t server, const char *state)
{
    char key[16];
    char value[48];

    g_snprintf(key, sizeof(key), "%u", server);
    g_snprintf(value, sizeof(value), "%s %" G_GUINT64_FORMAT,
               state != NULL ? state : "", ++run->server_seq);
    (void)FollowStore_Put(run->store, run->now_us, FOLLOW_SERVERS, key,
                          state != NULL ? value : NULL);
}

static void
register_servers(FollowRun *run)
{
    for (uint32_t i = 0; i < SERVERS; i++) {
        put_server(run, i, "ready");
    }
}

static void
write_change(FollowRun *run, FollowChange *change)
{
    change->acked_us = run->now_us;
    switch (change->kind) {
    case FOLLOW_CONFIG:
        change_config(run, change->config);
        break;
    case FOLLOW_DRAIN:
        put_server(run, change->server, "draining");
        break;
    case FOLLOW_REMOVAL:
        put_server(run, change->server, NULL);
        break;
    }
}

/* Whether the server has left, or its drain is lost and not written again. */
static bool
has_left(const FollowRun *run, uint32_t server)
{
    for (guint i = 0; i < run->changes->len; i++) {
        const FollowChange *c = &g_array_index(run->changes, FollowChange, i);
        if (c->kind != FOLLOW_CONFIG && c->server == server) {
            return true;
        }
    }
    return false;
}

/* ---- A store that is restored from a copy ------------------------------- */

/* The operator writes the newest configuration again, and servers what they
 * said; who has ended writes nothing, and its row lapses. */
static void
schedule_rewrites(FollowRun *run, int64_t copied_us)
{
    guint newest = G_MAXUINT;

    for (guint i = 0; i < run->changes->len; i++) {
        FollowChange *c = &g_array_index(run->changes, FollowChange, i);
        FollowRewrite rewrite = {.change = i};
        if (c->acked_us <= copied_us) {
            continue;
        }
        c->acked_us = INT64_MAX;
        if (c->kind == FOLLOW_CONFIG) {
            newest = i;
            continue;
        }
        rewrite.at_us = run->now_us + (c->kind == FOLLOW_REMOVAL
                                           ? LAPSE_US
                                           : FollowRun_Below(run, REWRITE_US));
        g_array_append_val(run->rewrites, rewrite);
    }
    if (newest != G_MAXUINT) {
        FollowRewrite rewrite = {.at_us = run->now_us +
                                          FollowRun_Below(run, REWRITE_US),
                                 .change = newest};
        g_array_append_val(run->rewrites, rewrite);
    }
}

static void
write_again(FollowRun *run)
{
    for (guint i = 0; i < run->rewrites->len; i++) {
        FollowRewrite rewrite = g_array_index(run->rewrites, FollowRewrite, i);
        FollowChange *c =
            &g_array_index(run->changes, FollowChange, rewrite.change);
        if (rewrite.at_us > run->now_us) {
            continue;
        }
        /* A newer configuration may have been written in the meantime. */
        bool is_newest =
            c->kind != FOLLOW_CONFIG || c->config == run->newest_config;
        if (c->acked_us == INT64_MAX && is_newest) {
            write_change(run, c);
            if (FollowRun_Below(run, 3) == 0) {
                FollowStore_SkipVersions(run->store,
                                         FollowRun_Below(run, SKIPPED_MAX));
            }
        }
        g_array_remove_index_fast(run->rewrites, i--);
    }
}

static void
restore_store(FollowRun *run)
{
    int64_t copied_us = run->now_us - FollowRun_Below(run, COPY_AGE_US);

    FollowStore_Restore(run->store, copied_us);
    schedule_rewrites(run, copied_us);
    run->restored_us = run->now_us;
    run->store_disturbed_us = run->now_us;
    run->restore_us = 0;
    if (run->restores > 0) {
        run->restores--;
        run->restore_us = run->now_us + FollowRun_Below(run, 1 * S);
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
    FollowChange change = {.config = run->changes->len + 1};
    uint32_t drawn = FollowRun_Below(run, 1000);
    if (drawn < DRAINS_PER_MILLE) {
        change.kind =
            drawn < REMOVALS_PER_MILLE ? FOLLOW_REMOVAL : FOLLOW_DRAIN;
        change.server = FollowRun_Below(run, SERVERS);
    }
    if (change.kind == FOLLOW_CONFIG) {
        run->newest_config = change.config;
    }
    if (change.kind == FOLLOW_CONFIG || !has_left(run, change.server)) {
        write_change(run, &change);
        g_array_append_val(run->changes, change);
    }
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
    case FOLLOW_RESTORE:
        until_us = run->now_us + FollowRun_Below(run, RESTORE_AWAY_US);
        set_store_mode(run, STORE_SILENT, 100, until_us);
        run->restore_us = until_us;
        run->restores = FollowRun_Below(run, 3);
        break;
    case FOLLOW_CALM:
    case FOLLOW_FAULT_COUNT:
        break;
    }
}

void
FollowRun_Disturb(FollowRun *run)
{
    if (run->restore_us != 0 && run->now_us >= run->restore_us) {
        restore_store(run);
    }
    if (!is_store_away(run)) {
        write_again(run);
    }
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

/* Whether the entry may still use a server that has left. It must know of a
 * drain; a server that is gone may be unknown to it. */
static bool
has_missed(const FollowEntry *e, const FollowChange *c)
{
    FollowServerState state = e->servers[c->server];

    return c->kind == FOLLOW_DRAIN ? state != FOLLOW_LEFT
                                   : state == FOLLOW_READY;
}

/* The acknowledgement of the store that sets the bound. A removal counts only
 * while the store is stable: right after its return, rows of live servers are
 * missing as well. */
static int64_t
binding_ack_us(const FollowRun *run, const FollowChange *c)
{
    int64_t stable_us =
        run->restored_us + (int64_t)run->params.contact_ms * MS;

    return c->kind == FOLLOW_REMOVAL && c->acked_us > run->restored_us
               ? MAX(c->acked_us, stable_us)
               : c->acked_us;
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
        if (c->kind != FOLLOW_CONFIG) {
            run->report.late_drains +=
                binding_ack_us(run, c) <= due_us && has_missed(e, c);
        }
        else if (c->config > e->config && c->acked_us != INT64_MAX) {
            is_late = is_late || c->acked_us <= due_us;
            run->report.worst_ms =
                MAX(run->report.worst_ms, (run->now_us - c->acked_us) / MS);
        }
    }
    run->report.late_configs += is_late;
}
