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
    char *text[2];       /* configurations: cap, lowered cap */
    int64_t lowered_us;  /* when a lowered cap was last accepted; 0 never */
    bool ever_changed;
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
    GwConfig *config =
        GwConfig_Parse(r->text[0], (uint32_t)strlen(r->text[0]), 1, NULL);

    for (uint32_t i = 0; i < config->backend_count; i++) {
        const GwPlace *place = &config->places[config->backends[i].place];
        if (place->region == region) {
            FakeCluster_Backend(r->c, i)->down = down;
        }
    }
    GwConfig_Free(config);
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
    FakeStoreMode mode = fault == FAKE_FAULT_STORE_AWAY   ? FAKE_STORE_AWAY
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

static void
change_cap(Run *r, uint32_t node, bool lowered)
{
    FakeCluster_Change(r->c, r->text[lowered ? 1 : 0], node);
    r->lowered_us = lowered ? r->c->now_us : 0;
    r->ever_changed = true;
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
    case FAKE_FAULT_STORE_SLOW:
    case FAKE_FAULT_STORE_LOSES:
        set_store(r, fault, on);
        break;
    case FAKE_FAULT_CHANGES:
        change_cap(r, node, on);
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
    case FAKE_FAULT_LIST_WRONG:
    case FAKE_FAULT_REPLACE:
    case FAKE_FAULT_ISOLATED:
        set_entry(r, fault, node, r->scenario->last_us[which], on);
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

static void
look_at_pending(Run *r)
{
    for (guint i = 0; i < r->pending->len;) {
        uint32_t index = g_array_index(r->pending, uint32_t, i);
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
            bool want = since >= 0 && since < s->last_us[i];
            if (want != on[i]) {
                on[i] = want;
                set_fault(r, i, want);
            }
        }
        if (at < end) {
            load_step(r);
        }
        look_at_pending(r);
        uint32_t over = count_over_cap(r);
        v->over_cap = over > v->over_cap ? over : v->over_cap;
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

FakeVerdict
FakeScenario_Run(const FakeScenario *scenario)
{
    FakeVerdict v = {0};
    Run r = {.scenario = scenario, .rng = GwRng_Make(scenario->seed ^ 77)};

    r.text[0] = FakeConfig_Text(REGIONS, SERVICES, 3, 3, CAP, 12);
    r.text[1] = FakeConfig_Text(REGIONS, SERVICES, 3, 3, LOWERED_CAP, 12);
    FakeClusterParams params = {.seed = scenario->seed,
                                .node_count = NODES,
                                .region_count = REGIONS,
                                .domains_per_region = 2,
                                .config_text = r.text[0],
                                .domain_delay_us = 1500,
                                .region_delay_us = 55000,
                                .service_time_us = 40000,
                                .shed_over_percent = 200};
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
    g_free(r.text[0]);
    g_free(r.text[1]);
    return v;
}

uint32_t
FakeVerdict_Violations(const FakeVerdict *v)
{
    const FakeJudgement *j = &v->judgement;
    return j->doubled + j->false_refusals + j->wrong_answers + j->unfinished +
           j->over_slots + j->cut_off + (j->late_ms > DRAIN_BOUND_MS) +
           v->over_cap + v->version_falls + v->behind;
}

void
FakeVerdict_Print(const FakeVerdict *v, const char *title)
{
    const FakeJudgement *j = &v->judgement;
    printf("%-48s sent=%u answered=%u not_run=%u unknown=%u shifted=%u | "
           "doubled=%u false_refusals=%u wrong=%u unfinished=%u "
           "over_slots=%u cut_off=%u late_ms=%u over_cap=%u falls=%u "
           "behind=%u\n",
           title, j->sent, j->answered, j->not_run, j->unknown, v->shifted,
           j->doubled, j->false_refusals, j->wrong_answers, j->unfinished,
           j->over_slots, j->cut_off, j->late_ms, v->over_cap,
           v->version_falls, v->behind);
}
