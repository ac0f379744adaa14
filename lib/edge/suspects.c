/* Requests that crash servers, in the reports of entries (suspect_news.h). */
#include "edge/peers_internal.h"

#include <string.h>

static void
write_suspect(const GwSuspect *s, Gw__Peer__Suspect *out)
{
    gw__peer__suspect__init(out);
    out->fingerprint_hi = s->fingerprint.hi;
    out->fingerprint_lo = s->fingerprint.lo;
    out->generation = s->generation;
    out->age_ms = s->age_ms;
    out->span_ms = s->span_ms;
    out->n_servers = s->server_count;
    out->servers = (uint64_t *)s->servers;
}

static bool
read_suspect(const Gw__Peer__Suspect *from, GwSuspect *out)
{
    if (from->n_servers > GW_SUSPECT_SERVERS_MAX) {
        return false;
    }
    *out = (GwSuspect){
        .fingerprint = {from->fingerprint_hi, from->fingerprint_lo},
        .generation = from->generation,
        .age_ms = from->age_ms,
        .span_ms = from->span_ms,
        .server_count = (uint32_t)from->n_servers,
    };
    memcpy(out->servers, from->servers, from->n_servers * sizeof(uint64_t));
    return true;
}

void
GwPeers_FillSuspects(GwPeers *peers, GwPeerEntry *peer,
                     Gw__Peer__Report *report, GwSuspectArrays *arrays)
{
    GwQuarantine *q = GwRouter_Quarantine(peers->edge->router);

    report->suspects_sum = GwQuarantine_Sum(q);
    report->n_suspects =
        GwSuspectPeer_Tell(&peer->suspects, q, GwEdge_Now(),
                           &peers->suspects_from, arrays->known);
    for (size_t i = 0; i < report->n_suspects; i++) {
        write_suspect(&arrays->known[i], &arrays->told[i]);
        arrays->list[i] = &arrays->told[i];
    }
    report->suspects = arrays->list;
}

void
GwPeers_TakeSuspects(GwPeers *peers, GwPeerEntry *peer,
                     const Gw__Peer__Report *report)
{
    GwQuarantine *q = GwRouter_Quarantine(peers->edge->router);
    GwSuspect known[GW_SUSPECTS_MAX];
    uint32_t count = 0;

    for (size_t i = 0; i < MIN(report->n_suspects, GW_SUSPECTS_MAX); i++) {
        count += read_suspect(report->suspects[i], &known[count]);
    }
    if (GwSuspectPeer_Take(&peer->suspects, q, GwEdge_Now(),
                           report->suspects_sum, known, count)) {
        peer->hurry = true;
    }
}

/* Each of the live peers is as likely as any other. */
static void
hurry_some(GwPeers *peers)
{
    GwPeerEntry *chosen[GW_SUSPECT_FAN] = {NULL};
    GwPeerScan scan = GwPeers_Scan(peers, NULL, NULL);
    GwPeerEntry *peer;
    gint seen = 0;

    while ((peer = GwPeerScan_Next(&scan)) != NULL) {
        gint at =
            seen < GW_SUSPECT_FAN ? seen : g_random_int_range(0, seen + 1);
        seen++;
        if (at < GW_SUSPECT_FAN) {
            chosen[at] = peer;
        }
    }
    for (int i = 0; i < GW_SUSPECT_FAN && chosen[i] != NULL; i++) {
        chosen[i]->suspects.news = true;
        chosen[i]->hurry = true;
    }
}

void
GwPeers_SpreadSuspects(GwPeers *peers, int64_t now_us)
{
    GwQuarantine *q = GwRouter_Quarantine(peers->edge->router);

    if (GwQuarantine_IsEmpty(q)) {
        return;
    }
    GwQuarantine_Tick(q, now_us);
    if (GwQuarantine_ChangedUs(q) > peers->suspects_spread_us) {
        peers->suspects_spread_us = now_us;
        hurry_some(peers);
    }
}

/* So many write a row: one would do, and it may be lost. */
#define WRITERS 2

static uint64_t
rank_of(const char *entry, uint64_t name)
{
    uint64_t rank = (g_str_hash(entry) ^ name) * 0x9e3779b97f4a7c15ULL;

    return rank ^ (rank >> 32);
}

bool
GwPeers_IsWriterOf(const GwPeers *peers, uint64_t name)
{
    uint64_t own = rank_of(peers->edge->settings->router.name, name);
    GwPeerScan scan = GwPeers_Scan(peers, NULL, NULL);
    const GwPeerEntry *peer;
    uint32_t before = 0;

    while ((peer = GwPeerScan_Next(&scan)) != NULL) {
        before += rank_of(peer->name, name) > own;
    }
    return before < WRITERS;
}
