/* What entries tell each other: versions and proofs, at the periods of real
 * entries. */
#include "fakes/follow_internal.h"

#include <string.h>

/* Report periods, as those of entries. */
#define DOMAIN_MS      50
#define REGION_MS      100
#define REMOTE_MS      250
#define SUM_REMOTE_MS  500
#define REPORTS_PER_S  80.0
#define LIVENESS_PER_S 40.0
#define LOSS_PER_MILLE 5
/* Periods of proofs in reports, as shares of the bound. */
#define PROOF_SHARE        0.05
#define PROOF_REMOTE_SHARE 0.2

/* The first entry of a failure domain aggregates. */
static bool
is_aggregator(const FollowRun *run, const FollowEntry *e)
{
    return e->index == 0 || run->entries[e->index - 1].domain != e->domain;
}

static double
base_ms(const FollowEntry *a, const FollowEntry *b)
{
    if (a->region != b->region) {
        return REMOTE_MS;
    }
    return a->domain == b->domain ? DOMAIN_MS : REGION_MS;
}

static uint32_t
period_ms(const FollowRun *run, const FollowEntry *e, const FollowEntry *to)
{
    bool uses_sums = run->params.entries > SUMS_ABOVE;
    double per_s = 0;

    if (uses_sums && e->domain == to->domain &&
        (is_aggregator(run, e) || is_aggregator(run, to))) {
        return DOMAIN_MS;
    }
    if (uses_sums && is_aggregator(run, e) && is_aggregator(run, to)) {
        return e->region == to->region ? DOMAIN_MS : SUM_REMOTE_MS;
    }
    /* Domains and regions are of about equal size. */
    double in_domain = (double)run->params.entries / run->domains;
    double in_region = (double)run->params.entries / REGIONS;
    per_s = in_domain * 1000 / DOMAIN_MS +
            (in_region - in_domain) * 1000 / REGION_MS +
            (run->params.entries - in_region) * 1000 / REMOTE_MS;
    double scale = per_s / (uses_sums ? LIVENESS_PER_S : REPORTS_PER_S);
    return (uint32_t)(base_ms(e, to) * MAX(scale, 1.0));
}

static void
fill_proofs(FollowRun *run, FollowEntry *e, const FollowEntry *to,
            FollowReport *report)
{
    FollowPeer *peer = &e->peers[to->index];
    double share = e->region == to->region ? PROOF_SHARE : PROOF_REMOTE_SHARE;
    int64_t clock_us = FollowEntry_Clock(run, e);

    report->has_proofs = (double)(run->now_us - peer->proof_sent_us) >=
                         share * run->params.bound_ms * MS;
    if (!report->has_proofs) {
        return;
    }
    peer->proof_sent_us = run->now_us;
    report->clocks = GwClockEcho_Report(&peer->echo, clock_us);
    for (int t = 0; t < FOLLOW_TABLE_COUNT; t++) {
        report->ages[t] =
            GwProof_WireAge(GwFollower_Proof(e->followers[t]), clock_us);
    }
}

static void
send_report(FollowRun *run, FollowEntry *e, FollowEntry *to)
{
    FollowPeer *peer = &e->peers[to->index];
    FollowReport report = {
        .from = e->index,
        .to = to->index,
        .process = e->process,
        .serves = FollowEntry_IsLoaded(e),
        .next_ms = period_ms(run, e, to),
        .versions = {FollowEntry_Version(e, FOLLOW_OPERATOR),
                     FollowEntry_Version(e, FOLLOW_SERVERS)},
        .config = e->config,
    };

    fill_proofs(run, e, to, &report);
    peer->sent_us = run->now_us;
    peer->is_urgent = false;
    if (!FollowRun_IsReached(run, e, to) ||
        FollowRun_Below(run, 1000) < LOSS_PER_MILLE) {
        return;
    }
    int64_t step = (run->now_us + FollowRun_WayUs(e, to)) / STEP_US + 1;
    g_array_append_val(run->network[step % RING], report);
}

void
FollowEntry_SendDueReports(FollowRun *run, FollowEntry *e)
{
    for (uint32_t i = 0; i < run->params.entries; i++) {
        FollowPeer *peer = &e->peers[i];
        FollowEntry *to = &run->entries[i];
        if (to == e) {
            continue;
        }
        int64_t due_us = peer->sent_us + (int64_t)period_ms(run, e, to) * MS;
        if (peer->is_urgent || run->now_us >= due_us - 5 * MS) {
            send_report(run, e, to);
        }
    }
}

static void
apply_proofs(FollowRun *run, FollowEntry *e, const FollowReport *report)
{
    FollowPeer *peer = &e->peers[report->from];
    int64_t clock_us = FollowEntry_Clock(run, e);

    if (!report->has_proofs) {
        return;
    }
    GwClockEcho_Note(&peer->echo, report->process, report->clocks.clock_ms,
                     clock_us);
    for (int t = 0; t < FOLLOW_TABLE_COUNT; t++) {
        GwPeerProof proof = {.version = report->versions[t]};
        if (GwProof_FromPeer(&report->clocks, report->ages[t], e->process,
                             clock_us, &proof.as_of_us)) {
            GwFollower_NoteProof(e->followers[t], &proof);
        }
        peer->proofs[t] = proof;
    }
}

void
FollowEntry_OnReport(FollowRun *run, FollowEntry *e,
                     const FollowReport *report)
{
    FollowPeer *peer = &e->peers[report->from];

    if (report->process < peer->process) {
        return;
    }
    if (report->process != peer->process) {
        memset(peer->proofs, 0, sizeof(peer->proofs));
    }
    peer->process = report->process;
    peer->serves = report->serves;
    peer->next_ms = report->next_ms;
    peer->reported_us = run->now_us;
    memcpy(peer->versions, report->versions, sizeof(peer->versions));
    peer->config = report->config;
    if (e->tables_seen_us == 0 && report->serves) {
        e->tables_seen_us = run->now_us;
    }
    for (int t = 0; t < FOLLOW_TABLE_COUNT; t++) {
        GwFollower_ExpectEra(e->followers[t], FollowEntry_Clock(run, e),
                             report->versions[t].era);
    }
    apply_proofs(run, e, report);
    FollowEntry_FetchFrom(run, e, report->from);
}
