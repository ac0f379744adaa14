#include "fakes/scenario.h"

#include <stdio.h>
#include <string.h>

#define NODES          9
#define REGIONS        3
#define SERVICES       2
#define CAP            6
#define LOWERED_CAP    3
#define WARM_UP_US     (8 * FAKE_SEC)
#define LOAD_US        (20 * FAKE_SEC)
#define SETTLE_US      (45 * FAKE_SEC)
#define STEP_US        (5 * FAKE_MS)
#define DEADLINE_US    (3 * FAKE_SEC)
#define DRAIN_BOUND_MS 4000
#define RESENDS_MAX    2
#define SPREAD_US      (5 * FAKE_SEC)
#define CLOSED_US      (5 * FAKE_SEC)
#define SLOTS          3
#define BACKENDS       3
/* Longer than a hold-off of a seat, and than the term of a loan. */
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

typedef struct {
    const FakeScenario *scenario;
    FakeCluster *c;
    GwRng rng;
    GArray *pending;     /* indices of calls whose outcome is awaited */
    GHashTable *resends; /* key -> count */
    FakeConfigSpec spec; /* in the table now */
    int64_t lowered_us;  /* when a lowered cap was last accepted; 0 never */
    uint64_t version;    /* of the last change */
    int64_t changed_us;
    int64_t reached_us[NODES]; /* since when it lives and can be reached */
    int64_t closed_us[SERVICES * REGIONS * BACKENDS]; /* by backend; 0 open */
    int64_t fewer_us; /* since when every server has a slot less; 0 never */
    bool hang_up;
    bool unaccepted; /* a change that the operator has still to get through */
    uint32_t operator_node;
} Run;

/* ---- faults ----------------------------------------------------------------- */

static uint32_t
victim_node(const Run *r, int which)
{
    return (uint32_t)((r->scenario->seed >> (8 * which)) % NODES);
}

static void
set_region_backends(Run *r, uint32_t region, bool down)
{
    for (uint32_t i = 0; i < r->c->backends->len; i++) {
        FakeBackend *b = FakeCluster_Backend(r->c, i);
        if (b->region == region) {
            b->down = down;
        }
    }
}

static void
set_region_entries(Run *r, uint32_t region, bool down)
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
set_backend(Run *r, FakeFault fault, uint32_t node, bool on)
{
    FakeBackend *b = FakeCluster_Backend(r->c, node % r->c->backends->len);

    switch (fault) {
    case FAKE_FAULT_LYING:
        b->lies_idle = on;
        break;
    case FAKE_FAULT_SILENT:
        b->silent = on;
        /* While it is silent nobody can tell that it drains: no answer, no
         * reading of its endpoint. The bound counts from the first sign
         * (backend-silent+backend-drains of one server, seed 7). */
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
    default: /* DRAIN: it does not come back */
        if (on) {
            b->draining = true;
            b->draining_since_us = r->c->now_us;
        }
        break;
    }
}

static void
set_store(Run *r, FakeFault fault, bool on)
{
    FakeStoreMode mode =
        fault == FAKE_FAULT_STORE_AWAY || fault == FAKE_FAULT_STORE_LONG
            ? FAKE_STORE_AWAY
        : fault == FAKE_FAULT_STORE_SLOW ? FAKE_STORE_SLOW
                                         : FAKE_STORE_LOSES;
    r->c->store = on ? mode : FAKE_STORE_OK;
}

static void
set_entry(Run *r, FakeFault fault, uint32_t node, int64_t last_us, bool on)
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
        n->listed_wrongly = on;
        break;
    case FAKE_FAULT_ISOLATED:
        c->isolated = on ? node + 1 : 0;
        break;
    default: /* REPLACE */
        if (on && n->node != NULL && n->paused_until_us <= c->now_us) {
            FakeCluster_Leave(c, node);
        }
        break;
    }
    bool gone = fault == FAKE_FAULT_CRASH || fault == FAKE_FAULT_REPLACE;
    if (!on && gone && n->node == NULL) {
        FakeCluster_Start(c, node);
    }
}

static void
set_reports(Run *r, bool stopped)
{
    for (uint32_t i = 0; i < r->c->backends->len; i++) {
        FakeCluster_Backend(r->c, i)->no_reports = stopped;
    }
}

static bool
is_reachable(const Run *r, uint32_t node)
{
    const FakeNode *n = &r->c->nodes[node];
    return n->node != NULL && !n->leaving &&
           n->paused_until_us <= r->c->now_us && r->c->isolated != node + 1;
}

static void
set_since(const Run *r, int64_t *since_us, bool on)
{
    if (!on) {
        *since_us = 0;
    }
    else if (*since_us == 0) {
        *since_us = r->c->now_us;
    }
}

/* Since when each promise of the change just accepted counts. What several
 * changes close stays closed until the last of them is undone. */
static void
note_bounds(Run *r)
{
    const FakeConfigSpec *spec = &r->spec;

    set_since(r, &r->lowered_us, spec->cap == LOWERED_CAP);
    set_since(r, &r->fewer_us, spec->lowered_slots);
    for (uint32_t i = 0; i < REGIONS; i++) {
        bool here = i == spec->region;
        bool place = spec->without_service ||
                     (here && (spec->drain_place || spec->without_place));
        for (uint32_t k = 0; k < BACKENDS; k++) { /* of service s0 */
            bool one = here && k == 0 && spec->without_backend;
            set_since(r, &r->closed_us[i * BACKENDS + k], place || one);
        }
    }
}

/* The configuration as it stands is accepted as the next version, and its
 * first reader is an entry that an operator can reach. While the table is
 * away nothing can be accepted: the operator tries again. */
static void
accept_change(Run *r, uint32_t node)
{
    r->unaccepted = r->c->store == FAKE_STORE_AWAY;
    r->operator_node = node;
    if (r->unaccepted) {
        return;
    }
    char *text = FakeConfig_Build(&r->spec);

    for (uint32_t i = 0; i < NODES && !is_reachable(r, node); i++) {
        node = (node + 1) % NODES;
    }
    r->version = FakeCluster_Change(r->c, text, node);
    r->changed_us = r->c->now_us;
    note_bounds(r);
    g_free(text);
}

/* Each of these is an operator's change, and its end another. */
static void
set_config(Run *r, FakeFault fault, uint32_t node, bool on)
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
    accept_change(r, node);
}

static void
set_two_entries(Run *r, uint32_t node, bool down)
{
    set_entry(r, FAKE_FAULT_CRASH, node, 0, down);
    set_entry(r, FAKE_FAULT_CRASH, (node + 4) % NODES, 0, down);
}

static int64_t
last_us(const FakeScenario *s, int which)
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

static void
set_fault(Run *r, int which, bool on)
{
    FakeFault fault = r->scenario->faults[which];
    uint32_t node = victim_node(r, which);
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
        r->hang_up = on;
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
        set_entry(r, fault, node, last_us(r->scenario, which), on);
        break;
    }
}

/* ---- callers ------------------------------------------------------------------ */

static void
send_call(Run *r, uint32_t node)
{
    char service[8];
    GwTicket ticket = {0};
    bool idempotent = GwRng_Below(&r->rng, 2) == 0;

    g_snprintf(service, sizeof(service), "s%u",
               GwRng_Below(&r->rng, SERVICES));
    if (!idempotent &&
        GwResult_IsError(FakeCluster_Mint(r->c, node, &ticket))) {
        return;
    }
    uint32_t index = FakeCluster_Call(r->c, node, service, idempotent,
                                      idempotent ? NULL : &ticket, 0,
                                      r->c->now_us + DEADLINE_US);
    g_array_append_val(r->pending, index);
}

/* Callers resend the same ticket: to the same entry or to another one, after
 * a refusal, after "unknown", and sometimes while the first still runs. */
static void
maybe_resend(Run *r, const FakeCallerCall *call)
{
    gpointer key = (gpointer)(uintptr_t)call->key;
    uintptr_t count = (uintptr_t)g_hash_table_lookup(r->resends, key);

    if (call->idempotent || call->ticket.seq == 0 || count >= RESENDS_MAX ||
        GwRng_Below(&r->rng, 3) != 0) {
        return;
    }
    g_hash_table_insert(r->resends, key, (gpointer)(count + 1));
    uint32_t node = GwRng_Below(&r->rng, 2) == 0 ? call->node
                                                 : GwRng_Below(&r->rng, NODES);
    char service[8];
    g_snprintf(service, sizeof(service), "s%u", call->service);
    uint32_t index =
        FakeCluster_Call(r->c, node, service, false, &call->ticket, call->key,
                         r->c->now_us + DEADLINE_US);
    g_array_append_val(r->pending, index);
}

/* A caller that loses patience closes its connection, waiting or not. */
static void
maybe_hang_up(Run *r, uint32_t index)
{
    const FakeCallerCall *call = FakeCluster_CallAt(r->c, index);

    if (r->hang_up && !call->hung_up && GwRng_Below(&r->rng, 30) == 0) {
        FakeCluster_HangUp(r->c, index);
    }
}

static void
look_at_pending(Run *r)
{
    for (guint i = 0; i < r->pending->len;) {
        uint32_t index = g_array_index(r->pending, uint32_t, i);
        maybe_hang_up(r, index);
        const FakeCallerCall *call = FakeCluster_CallAt(r->c, index);
        bool late = r->c->now_us - call->sent_us > 400 * FAKE_MS &&
                    GwRng_Below(&r->rng, 200) == 0;
        bool over =
            call->done || r->c->now_us - call->sent_us > 2 * DEADLINE_US;
        if (over) {
            g_array_remove_index_fast(r->pending, i);
        }
        else {
            i++;
        }
        if (late || (over && call->outcome != GW_OUTCOME_ANSWERED)) {
            maybe_resend(r, call);
        }
    }
}

/* A caller that lost track comes back long after, when the ticket's record
 * may have been dropped. */
static void
resend_an_old_one(Run *r)
{
    if (r->c->calls->len == 0 || GwRng_Below(&r->rng, 10) != 0) {
        return;
    }
    const FakeCallerCall *call =
        FakeCluster_CallAt(r->c, GwRng_Below(&r->rng, r->c->calls->len));
    if (call->done) {
        maybe_resend(r, call);
    }
}

static void
load_step(Run *r)
{
    uint32_t permille =
        r->scenario->calls_per_s * (uint32_t)(STEP_US / FAKE_MS);

    for (uint32_t i = 0; i < NODES; i++) {
        for (uint32_t k = 0; k < 1 + permille / 1000; k++) {
            if (GwRng_Below(&r->rng, 1000) < permille - 1000 * k) {
                send_call(r, i);
            }
        }
    }
}

/* ---- the run ------------------------------------------------------------------- */

/* Shifts above the cap. While a lowered cap spreads, the higher one may
 * still be in force somewhere; the promise is "within seconds". */
static uint32_t
count_over_cap(const Run *r)
{
    const FakeCluster *c = r->c;
    uint32_t cap = r->lowered_us != 0 && c->now_us - r->lowered_us >
                                             6 * FAKE_SEC + DEADLINE_US
                       ? LOWERED_CAP
                       : CAP;
    uint32_t over = 0;

    for (uint32_t s = 0; s < SERVICES; s++) {
        for (uint32_t a = 0; a < REGIONS; a++) {
            for (uint32_t b = 0; b < REGIONS; b++) {
                over += c->shifted[s][a][b] > cap ||
                        c->most_shifted[s][a][b] > CAP;
            }
        }
    }
    return over;
}

/* Entries that live, can be reached, and have an older version in force than
 * one accepted SPREAD_US ago or more. */
static uint32_t
count_slow_spread(Run *r)
{
    uint32_t slow = 0;

    for (uint32_t i = 0; i < NODES; i++) {
        if (!is_reachable(r, i)) {
            r->reached_us[i] = r->c->now_us;
        }
        int64_t since = MAX(r->reached_us[i], r->changed_us);
        slow += r->c->nodes[i].config_version < r->version &&
                r->c->now_us - since > SPREAD_US;
    }
    return slow;
}

/* Servers that an operator closed and that began a call after the bound. */
static uint32_t
count_late_work(const Run *r)
{
    uint32_t late = 0;

    for (uint32_t i = 0; i < r->c->backends->len; i++) {
        const FakeBackend *b = FakeCluster_Backend(r->c, i);
        late += r->closed_us[i] != 0 &&
                b->last_work_us > r->closed_us[i] + CLOSED_US;
    }
    return late;
}

static uint32_t
count_over_lowered(const Run *r)
{
    uint32_t over = 0;

    if (r->fewer_us == 0 ||
        r->c->now_us - r->fewer_us <= 6 * FAKE_SEC + DEADLINE_US) {
        return 0;
    }
    for (uint32_t i = 0; i < r->c->backends->len; i++) {
        over += FakeCluster_Backend(r->c, i)->in_flight > SLOTS - 1;
    }
    return over;
}

static void
watch_promises(Run *r, FakeVerdict *v)
{
    v->over_cap = MAX(v->over_cap, count_over_cap(r));
    v->slow_spread = MAX(v->slow_spread, count_slow_spread(r));
    v->late_work = MAX(v->late_work, count_late_work(r));
    v->over_lowered = MAX(v->over_lowered, count_over_lowered(r));
}

static void
run_load(Run *r, FakeVerdict *v)
{
    const FakeScenario *s = r->scenario;
    int64_t start = r->c->now_us;
    int64_t end = start + LOAD_US;
    bool on[2] = {false, false};

    for (int64_t at = start; at < end + SETTLE_US; at += STEP_US) {
        FakeCluster_Run(r->c, at);
        for (int i = 0; i < 2; i++) {
            int64_t since = at - start - s->begin_us[i];
            bool want = since >= 0 && since < last_us(s, i);
            if (want != on[i]) {
                on[i] = want;
                set_fault(r, i, want);
            }
        }
        if (r->unaccepted) {
            accept_change(r, r->operator_node);
        }
        if (at < end) {
            load_step(r);
        }
        look_at_pending(r);
        if (at < end + SETTLE_US - 3 * DEADLINE_US) {
            resend_an_old_one(r);
        }
        watch_promises(r, v);
    }
}

static void
judge_nodes(const Run *r, FakeVerdict *v)
{
    const GwRow *head = g_hash_table_lookup(r->c->rows, "config/head");
    uint64_t version = g_ascii_strtoull(head->value, NULL, 10);

    for (uint32_t i = 0; i < NODES; i++) {
        const FakeNode *n = &r->c->nodes[i];
        v->version_falls += n->version_falls > 0;
        v->behind += n->node != NULL && n->config_version != version;
    }
    for (uint32_t s = 0; s < SERVICES; s++) {
        for (uint32_t a = 0; a < REGIONS; a++) {
            for (uint32_t b = 0; b < REGIONS; b++) {
                v->shifted += r->c->most_shifted[s][a][b];
            }
        }
    }
}

/* Short lives of tickets, so that a run of a minute sees records expire. */
static void
tune(GwNodeParams *params)
{
    params->ticket_valid_ms = 2000;
    params->ticket_retention_ms = 2000;
}

FakeVerdict
FakeScenario_Run(const FakeScenario *scenario)
{
    FakeVerdict v = {0};
    Run r = {.scenario = scenario, .rng = GwRng_Make(scenario->seed ^ 77)};

    r.spec = (FakeConfigSpec){.regions = REGIONS,
                              .services = SERVICES,
                              .backends = BACKENDS,
                              .slots = SLOTS,
                              .cap = CAP,
                              .seats = 12,
                              .region = victim_node(&r, 0) % REGIONS};
    char *text = FakeConfig_Build(&r.spec);
    FakeClusterParams params = {.seed = scenario->seed,
                                .node_count = NODES,
                                .region_count = REGIONS,
                                .domains_per_region = 2,
                                .config_text = text,
                                .domain_delay_us = 1500,
                                .region_delay_us = 55000,
                                .service_time_us = 40000,
                                .shed_over_percent = 200,
                                .tune = tune};
    r.c = FakeCluster_Create(&params);
    r.pending = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    r.resends = g_hash_table_new(NULL, NULL);

    FakeCluster_Run(r.c, r.c->now_us + WARM_UP_US);
    run_load(&r, &v);
    v.judgement = FakeCluster_Judge(r.c);
    judge_nodes(&r, &v);

    FakeCluster_Free(r.c);
    g_array_free(r.pending, TRUE);
    g_hash_table_destroy(r.resends);
    g_free(text);
    return v;
}

uint32_t
FakeVerdict_Violations(const FakeVerdict *v)
{
    const FakeJudgement *j = &v->judgement;
    return j->doubled + j->false_refusals + j->wrong_answers + j->unfinished +
           j->over_slots + j->cut_off + (j->late_ms > DRAIN_BOUND_MS) +
           v->over_cap + v->version_falls + v->behind + v->slow_spread +
           v->late_work + v->over_lowered;
}

void
FakeVerdict_Print(const FakeVerdict *v, const char *title)
{
    const FakeJudgement *j = &v->judgement;
    printf("%-48s sent=%u answered=%u not_run=%u unknown=%u shifted=%u | "
           "doubled=%u false_refusals=%u wrong=%u unfinished=%u "
           "over_slots=%u cut_off=%u late_ms=%u over_cap=%u falls=%u "
           "behind=%u slow_spread=%u late_work=%u over_lowered=%u\n",
           title, j->sent, j->answered, j->not_run, j->unknown, v->shifted,
           j->doubled, j->false_refusals, j->wrong_answers, j->unfinished,
           j->over_slots, j->cut_off, j->late_ms, v->over_cap,
           v->version_falls, v->behind, v->slow_spread, v->late_work,
           v->over_lowered);
}
