/* Faults of a scenario: each is applied at its start and reverted at its
 * end. */
#include "fakes/scenario_internal.h"

#include <string.h>

/* Longer than the hold-off of a seat and the term of a loan. */
#define STORE_LONG_US (20 * FAKE_SEC)
#define PAUSE_LONG_US (12 * FAKE_SEC)

const char *
FakeFault_Name(FakeFault fault)
{
    switch (fault) {
#define FAKE_FAULT_CASE(sym, name)                                            \
    case FAKE_FAULT_##sym:                                                    \
        return name;
        FAKE_FAULT_TABLE(FAKE_FAULT_CASE)
#undef FAKE_FAULT_CASE
    case FAKE_FAULT_COUNT:
        break;
    }
    return "unnumbered";
}

uint32_t
FakeRun_FaultNode(const FakeRun *r, int which)
{
    return (uint32_t)((r->scenario->seed >> (8 * which)) % NODES);
}

static void
set_region_backends(FakeRun *r, uint32_t region, bool down)
{
    for (uint32_t i = 0; i < r->c->backends->len; i++) {
        FakeBackend *b = FakeCluster_Backend(r->c, i);
        if (b->region == region) {
            b->down = down;
        }
    }
}

static void
set_region_entries(FakeRun *r, uint32_t region, bool down)
{
    for (uint32_t i = 0; i < NODES; i++) {
        FakeNode *n = &r->c->nodes[i];
        if (n->region != region) {
            continue;
        }
        if (down && n->node != NULL) {
            FakeCluster_Crash(r->c, i);
        }
        if (!down && n->node == NULL) {
            FakeCluster_Start(r->c, i);
        }
    }
}

static void
set_backend(FakeRun *r, FakeFault fault, uint32_t node, bool on)
{
    FakeBackend *b = FakeCluster_Backend(r->c, node % r->c->backends->len);

    switch (fault) {
    case FAKE_FAULT_LYING:
        b->reports_no_load = on;
        break;
    case FAKE_FAULT_SILENT:
        b->silent = on;
        /* A silent server sends no answer and no health report, so the
         * drain is invisible. The bound counts from the first visible
         * sign (backend-silent+backend-drains of one server, seed 7). */
        if (!on && b->draining) {
            b->draining_since_us = r->c->now_us;
        }
        break;
    case FAKE_FAULT_RESETS:
        b->resets = on;
        break;
    case FAKE_FAULT_SLOW:
        b->slow_factor = on ? 8 : 1;
        break;
    default: /* DRAIN: the server does not return */
        if (on) {
            b->draining = true;
            b->draining_since_us = r->c->now_us;
        }
        break;
    }
}

static void
set_store(FakeRun *r, FakeFault fault, bool on)
{
    FakeStoreMode mode =
        fault == FAKE_FAULT_STORE_AWAY || fault == FAKE_FAULT_STORE_LONG
            ? FAKE_STORE_UNAVAILABLE
        : fault == FAKE_FAULT_STORE_SLOW ? FAKE_STORE_SLOW
                                         : FAKE_STORE_LOSES_REPLIES;
    r->c->store = on ? mode : FAKE_STORE_OK;
}

static void
set_entry(FakeRun *r, FakeFault fault, uint32_t node, int64_t last_us, bool on)
{
    FakeCluster *c = r->c;
    FakeNode *n = &c->nodes[node];

    switch (fault) {
    case FAKE_FAULT_CRASH:
        if (on && n->node != NULL) {
            FakeCluster_Crash(c, node);
        }
        break;
    case FAKE_FAULT_PAUSE:
    case FAKE_FAULT_PAUSE_LONG:
        if (on) {
            FakeCluster_Pause(c, node, last_us);
        }
        break;
    case FAKE_FAULT_LIST_WRONG:
        n->is_missing_from_list = on;
        break;
    case FAKE_FAULT_ISOLATED:
        c->isolated = on ? node + 1 : 0;
        break;
    default: /* REPLACE */
        if (on && n->node != NULL && n->paused_until_us <= c->now_us) {
            FakeCluster_Stop(c, node);
        }
        break;
    }
    bool may_restart =
        fault == FAKE_FAULT_CRASH || fault == FAKE_FAULT_REPLACE;
    if (!on && may_restart && n->node == NULL) {
        FakeCluster_Start(c, node);
    }
}

static void
set_reports(FakeRun *r, bool stopped)
{
    for (uint32_t i = 0; i < r->c->backends->len; i++) {
        FakeCluster_Backend(r->c, i)->no_reports = stopped;
    }
}

bool
FakeRun_IsReachable(const FakeRun *r, uint32_t node)
{
    const FakeNode *n = &r->c->nodes[node];
    return n->node != NULL && !n->leaving &&
           n->paused_until_us <= r->c->now_us && r->c->isolated != node + 1;
}

static void
set_or_clear(const FakeRun *r, int64_t *since_us, bool on)
{
    if (!on) {
        *since_us = 0;
    }
    else if (*since_us == 0) {
        *since_us = r->c->now_us;
    }
}

/* Records when each guarantee of the change just accepted starts to apply. A
 * server closed by several changes stays closed until the last is reverted. */
static void
note_bounds(FakeRun *r)
{
    const FakeConfigSpec *spec = &r->spec;

    set_or_clear(r, &r->lowered_us, spec->cap == LOWERED_CAP);
    set_or_clear(r, &r->lowered_slots_us, spec->lowered_slots);
    for (uint32_t i = 0; i < REGIONS; i++) {
        bool here = i == spec->region;
        bool is_place_closed =
            spec->without_service ||
            (here && (spec->drain_place || spec->without_place));
        for (uint32_t k = 0; k < BACKENDS; k++) { /* of service s0 */
            bool is_server_closed = here && k == 0 && spec->without_backend;
            set_or_clear(r, &r->closed_us[i * BACKENDS + k],
                         is_place_closed || is_server_closed);
        }
    }
}

/* Writes the current configuration as the next version, through an entry that
 * the operator can reach. While the table is unavailable no change is
 * accepted, and the operator retries. */
void
FakeRun_AcceptChange(FakeRun *r, uint32_t node)
{
    r->must_retry_change = r->c->store == FAKE_STORE_UNAVAILABLE;
    r->operator_node = node;
    if (r->must_retry_change) {
        return;
    }
    char *text = FakeConfig_Build(&r->spec);

    for (uint32_t i = 0; i < NODES && !FakeRun_IsReachable(r, node); i++) {
        node = (node + 1) % NODES;
    }
    r->version = FakeCluster_Change(r->c, text, node);
    r->changed_us = r->c->now_us;
    note_bounds(r);
    g_free(text);
}

/* Faults by configuration: start and end are one operator's change each. */
static void
set_config(FakeRun *r, FakeFault fault, uint32_t node, bool on)
{
    FakeConfigSpec *spec = &r->spec;

    switch (fault) {
    case FAKE_FAULT_CHANGES:
        spec->cap = on ? LOWERED_CAP : CAP;
        break;
    case FAKE_FAULT_PLACE_DRAIN:
        spec->drain_place = on;
        break;
    case FAKE_FAULT_PERCENT:
        spec->percent = on ? 50 : 0;
        break;
    case FAKE_FAULT_SLOTS:
        spec->lowered_slots = on;
        break;
    case FAKE_FAULT_NO_SERVICE:
        spec->without_service = on;
        break;
    case FAKE_FAULT_NO_PLACE:
        spec->without_place = on;
        break;
    default: /* NO_BACKEND */
        spec->without_backend = on;
        break;
    }
    FakeRun_AcceptChange(r, node);
}

static void
set_two_entries(FakeRun *r, uint32_t node, bool down)
{
    set_entry(r, FAKE_FAULT_CRASH, node, 0, down);
    set_entry(r, FAKE_FAULT_CRASH, (node + 4) % NODES, 0, down);
}

int64_t
FakeScenario_DurationUs(const FakeScenario *s, int which)
{
    switch (s->faults[which]) {
    case FAKE_FAULT_STORE_LONG:
        return STORE_LONG_US;
    case FAKE_FAULT_PAUSE_LONG:
        return PAUSE_LONG_US;
    default:
        return s->last_us[which];
    }
}

void
FakeRun_SetFault(FakeRun *r, int which, bool on)
{
    FakeFault fault = r->scenario->faults[which];
    uint32_t node = FakeRun_FaultNode(r, which);
    uint32_t region = node % REGIONS;

    switch (fault) {
    case FAKE_FAULT_NONE:
    case FAKE_FAULT_COUNT:
        break;
    case FAKE_FAULT_REPORTS_STOP:
        set_reports(r, on);
        break;
    case FAKE_FAULT_REGION_ENTRIES:
        set_region_entries(r, region, on);
        break;
    case FAKE_FAULT_REGION_BACKENDS:
        set_region_backends(r, region, on);
        break;
    case FAKE_FAULT_STORE_AWAY:
    case FAKE_FAULT_STORE_LONG:
    case FAKE_FAULT_STORE_SLOW:
    case FAKE_FAULT_STORE_LOSES:
        set_store(r, fault, on);
        break;
    case FAKE_FAULT_CHANGES:
    case FAKE_FAULT_PLACE_DRAIN:
    case FAKE_FAULT_PERCENT:
    case FAKE_FAULT_SLOTS:
    case FAKE_FAULT_NO_SERVICE:
    case FAKE_FAULT_NO_PLACE:
    case FAKE_FAULT_NO_BACKEND:
        set_config(r, fault, node, on);
        break;
    case FAKE_FAULT_HANG_UP:
        r->may_disconnect = on;
        break;
    case FAKE_FAULT_TWO_CRASHES:
        set_two_entries(r, node, on);
        break;
    case FAKE_FAULT_CUT:
        FakeCluster_CutRegions(r->c, region, (region + 1) % REGIONS, on);
        break;
    case FAKE_FAULT_LOSS:
        r->c->params.loss_permille = on ? 100 : 0;
        r->c->params.duplicate_permille = on ? 50 : 0;
        break;
    case FAKE_FAULT_LYING:
    case FAKE_FAULT_SILENT:
    case FAKE_FAULT_RESETS:
    case FAKE_FAULT_SLOW:
    case FAKE_FAULT_DRAIN:
        set_backend(r, fault, node, on);
        break;
    case FAKE_FAULT_CRASH:
    case FAKE_FAULT_PAUSE:
    case FAKE_FAULT_PAUSE_LONG:
    case FAKE_FAULT_LIST_WRONG:
    case FAKE_FAULT_REPLACE:
    case FAKE_FAULT_ISOLATED:
        set_entry(r, fault, node, FakeScenario_DurationUs(r->scenario, which),
                  on);
        break;
    }
}
