#include "fakes/scenario_internal.h"

#include <stdio.h>
#include <string.h>

#define WARM_UP_US     (8 * FAKE_SEC)
#define LOAD_US        (20 * FAKE_SEC)
#define SETTLE_US      (45 * FAKE_SEC)
#define STEP_US        (5 * FAKE_MS)
#define DEADLINE_US    (3 * FAKE_SEC)
#define DRAIN_BOUND_MS 4000
#define RESENDS_MAX    2
#define PROPAGATION_US (5 * FAKE_SEC)
#define CLOSED_US      (5 * FAKE_SEC)
#define SLOTS          3

/* ---- callers ----------------------------------------------------------- */

static void
send_call(FakeRun *r, uint32_t node)
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

/* Resends a ticket to the same or another entry: after a refusal, after an
 * unknown outcome, and sometimes while the first send still runs. */
static void
maybe_resend(FakeRun *r, const FakeCallerCall *call)
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

/* Closes the connection of a caller, whether its call still waits or runs. */
static void
maybe_disconnect(FakeRun *r, uint32_t index)
{
    const FakeCallerCall *call = FakeCluster_CallAt(r->c, index);

    if (r->may_disconnect && !call->is_disconnected &&
        GwRng_Below(&r->rng, 30) == 0) {
        FakeCluster_Disconnect(r->c, index);
    }
}

static void
check_pending(FakeRun *r)
{
    for (guint i = 0; i < r->pending->len;) {
        uint32_t index = g_array_index(r->pending, uint32_t, i);
        maybe_disconnect(r, index);
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

/* Resends an old ticket, whose record may have been dropped. */
static void
maybe_resend_old(FakeRun *r)
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
load_step(FakeRun *r)
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

/* ---- the run ----------------------------------------------------------- */

/* Counts shifts above their cap. While a lowered cap propagates, the old cap
 * may still be in force at some entry; the guarantee is "within seconds". */
static uint32_t
count_over_cap(const FakeRun *r)
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

/* Counts running, reachable entries whose version is older than one accepted
 * PROPAGATION_US ago or more. */
static uint32_t
count_slow_propagation(FakeRun *r)
{
    uint32_t slow = 0;

    for (uint32_t i = 0; i < NODES; i++) {
        if (!FakeRun_IsReachable(r, i)) {
            r->reachable_us[i] = r->c->now_us;
        }
        int64_t since = MAX(r->reachable_us[i], r->changed_us);
        slow += r->c->nodes[i].config_version < r->version &&
                r->c->now_us - since > PROPAGATION_US;
    }
    return slow;
}

/* Counts servers closed by an operator that started a call after the bound. */
static uint32_t
count_late_starts(const FakeRun *r)
{
    uint32_t late = 0;

    for (uint32_t i = 0; i < r->c->backends->len; i++) {
        const FakeBackend *b = FakeCluster_Backend(r->c, i);
        late += r->closed_us[i] != 0 &&
                b->last_start_us > r->closed_us[i] + CLOSED_US;
    }
    return late;
}

static uint32_t
count_over_lowered_slots(const FakeRun *r)
{
    uint32_t over = 0;

    if (r->lowered_slots_us == 0 ||
        r->c->now_us - r->lowered_slots_us <= 6 * FAKE_SEC + DEADLINE_US) {
        return 0;
    }
    for (uint32_t i = 0; i < r->c->backends->len; i++) {
        over += FakeCluster_Backend(r->c, i)->in_flight > SLOTS - 1;
    }
    return over;
}

static void
check_guarantees(FakeRun *r, FakeScenarioReport *v)
{
    v->over_cap = MAX(v->over_cap, count_over_cap(r));
    v->slow_propagation = MAX(v->slow_propagation, count_slow_propagation(r));
    v->late_starts = MAX(v->late_starts, count_late_starts(r));
    v->over_lowered_slots =
        MAX(v->over_lowered_slots, count_over_lowered_slots(r));
}

static void
run_load(FakeRun *r, FakeScenarioReport *v)
{
    const FakeScenario *s = r->scenario;
    int64_t start = r->c->now_us;
    int64_t end = start + LOAD_US;
    bool on[2] = {false, false};

    for (int64_t at = start; at < end + SETTLE_US; at += STEP_US) {
        FakeCluster_Run(r->c, at);
        for (int i = 0; i < 2; i++) {
            int64_t since = at - start - s->begin_us[i];
            bool want = since >= 0 && since < FakeScenario_DurationUs(s, i);
            if (want != on[i]) {
                on[i] = want;
                FakeRun_SetFault(r, i, want);
            }
        }
        if (r->must_retry_change) {
            FakeRun_AcceptChange(r, r->operator_node);
        }
        if (at < end) {
            load_step(r);
        }
        check_pending(r);
        if (at < end + SETTLE_US - 3 * DEADLINE_US) {
            maybe_resend_old(r);
        }
        check_guarantees(r, v);
    }
}

static void
check_nodes(const FakeRun *r, FakeScenarioReport *v)
{
    const GwRow *head = g_hash_table_lookup(r->c->rows, "config/head");
    uint64_t version = g_ascii_strtoull(head->value, NULL, 10);

    for (uint32_t i = 0; i < NODES; i++) {
        const FakeNode *n = &r->c->nodes[i];
        v->version_decreases += n->version_decreases > 0;
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

/* Shortens the ticket lifetime, so that records expire within a run of a
 * minute. */
static void
tune(GwNodeParams *params)
{
    params->ticket_valid_ms = 2000;
    params->ticket_retention_ms = 2000;
}

FakeScenarioReport
FakeScenario_Run(const FakeScenario *scenario)
{
    FakeScenarioReport v = {0};
    FakeRun r = {.scenario = scenario, .rng = GwRng_Make(scenario->seed ^ 77)};

    r.spec = (FakeConfigSpec){.regions = REGIONS,
                              .services = SERVICES,
                              .backends = BACKENDS,
                              .slots = SLOTS,
                              .cap = CAP,
                              .seats = 12,
                              .region = FakeRun_FaultNode(&r, 0) % REGIONS};
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
    v.calls = FakeCluster_CheckCalls(r.c);
    check_nodes(&r, &v);

    FakeCluster_Free(r.c);
    g_array_free(r.pending, TRUE);
    g_hash_table_destroy(r.resends);
    g_free(text);
    return v;
}

uint32_t
FakeScenarioReport_Violations(const FakeScenarioReport *v)
{
    const FakeCallsReport *j = &v->calls;
    return j->doubled + j->false_refusals + j->wrong_answers + j->unfinished +
           j->over_slots + j->cut_off + (j->late_ms > DRAIN_BOUND_MS) +
           v->over_cap + v->version_decreases + v->behind +
           v->slow_propagation + v->late_starts + v->over_lowered_slots;
}

void
FakeScenarioReport_Print(const FakeScenarioReport *v, const char *title)
{
    const FakeCallsReport *j = &v->calls;
    printf("%-48s sent=%u answered=%u not_run=%u unknown=%u shifted=%u | "
           "doubled=%u false_refusals=%u wrong=%u unfinished=%u "
           "over_slots=%u cut_off=%u late_ms=%u over_cap=%u falls=%u "
           "behind=%u slow_spread=%u late_work=%u over_lowered=%u\n",
           title, j->sent, j->answered, j->not_run, j->unknown, v->shifted,
           j->doubled, j->false_refusals, j->wrong_answers, j->unfinished,
           j->over_slots, j->cut_off, j->late_ms, v->over_cap,
           v->version_decreases, v->behind, v->slow_propagation,
           v->late_starts, v->over_lowered_slots);
}
