/* Detection of crashed servers, and of the requests that they were running.
 *
 * A server that closes its connections and refuses new ones has crashed, or
 * this entry has lost its links. So a crash counts only once a connection to
 * another server of its service has been set up after the refusal, or if all
 * others are known to have crashed before. A server of another service shows
 * that this entry has links, but only the other entries can tell whether it is
 * cut off from this service. */
#include "router/router_internal.h"

/* Limit of the wait for a probe before a retry, in addition to two round
 * trips. */
#define PROBE_SLACK_US 20000
/* A crash that is not confirmed within this time does not count. */
#define CONFIRM_MAX_US 1000000

typedef struct {
    uint64_t server; /* GwServer.hash */
    const GwServiceState *service;
    int64_t refused_us; /* first refused connection */
    int64_t last_refused_us;
} UnconfirmedCrash;

GwQuarantine *
GwRouter_Quarantine(GwRouter *r)
{
    return r->quarantine;
}

void
GwRouter_SetQuarantineKnown(GwRouter *r, bool is_known)
{
    r->awaits_quarantine = !is_known;
}

bool
GwRouter_WantsFingerprints(const GwRouter *r)
{
    return !GwQuarantine_IsEmpty(r->quarantine);
}

/* A server that is draining may close connections as it exits. */
static bool
may_have_crashed(const GwServer *s)
{
    return s->listed && !s->start->is_leaving;
}

void
GwRouter_NoteConnectionLost(GwRouter *r, int64_t now_us, GwRequest *req,
                            const GwFingerprint *fingerprint, GArray *actions)
{
    GwServer *s = req->server;

    req->has_fingerprint = true;
    req->fingerprint = *fingerprint;
    if (!may_have_crashed(s)) {
        return;
    }
    GwQuarantine_NoteConnectionLost(r->quarantine, now_us, fingerprint,
                                    s->hash);
    s->probes_again = s->probed;
    if (!s->probed) {
        GwServer_Probe(s, actions);
    }
}

bool
GwRequest_AwaitProbe(GwRouter *r, int64_t now_us, GwRequest *req, GwServer *s)
{
    int64_t wait_us = 2 * (int64_t)s->path->rtt_us + PROBE_SLACK_US;

    if (!s->probed || !may_have_crashed(s)) {
        return false;
    }
    req->probed_server = s;
    g_ptr_array_add(r->awaiting_probe, req);
    GwRequest_SetDeadline(r, req, MIN(req->give_up_us, now_us + wait_us));
    return true;
}

void
GwRequest_CancelProbeWait(GwRouter *r, GwRequest *req)
{
    if (req->probed_server != NULL) {
        req->probed_server = NULL;
        (void)g_ptr_array_remove(r->awaiting_probe, req);
    }
}

void
GwRequest_EndProbeWait(GwRouter *r, GwRequest *req)
{
    if (req->probed_server != NULL) {
        GwRequest_CancelProbeWait(r, req);
        req->is_suspect = true;
        GwRequest_Enqueue(r, req);
    }
}

/* Resumes the requests that wait for the probe of the server. */
static void
end_probe_waits(GwRouter *r, int64_t now_us, GwServer *s, GwProbeResult result,
                GArray *actions)
{
    bool any = false;

    for (guint i = 0; i < r->awaiting_probe->len;) {
        GwRequest *req = r->awaiting_probe->pdata[i];
        if (req->probed_server != s) {
            i++;
            continue;
        }
        GwRequest_EndProbeWait(r, req);
        req->is_suspect = result != GW_PROBE_ALIVE;
        any = true;
    }
    if (any) {
        GwRouter_DispatchWaiting(r, now_us, s->service, actions);
    }
}

static UnconfirmedCrash *
find_unconfirmed(const GwRouter *r, uint64_t server)
{
    for (guint i = 0; i < r->unconfirmed_crashes->len; i++) {
        UnconfirmedCrash *crash =
            &g_array_index(r->unconfirmed_crashes, UnconfirmedCrash, i);
        if (crash->server == server) {
            return crash;
        }
    }
    return NULL;
}

/* Whether no other server can show that this entry has links: those of the
 * service are known to have crashed, or this is the only server of all. */
static bool
are_others_down(const GwRouter *r, const GwServer *s)
{
    const GPtrArray *servers = s->service->servers;
    uint32_t down = 0;

    for (guint i = 0; i < servers->len; i++) {
        const GwServer *other = servers->pdata[i];
        if (other == s || !may_have_crashed(other)) {
            continue;
        }
        if (other->connect_failed_us == 0 ||
            !GwQuarantine_HasCrashed(r->quarantine, other->hash)) {
            return false;
        }
        down++;
    }
    return down > 0 || GwRouter_ServerCount(r) == 1;
}

static void
note_refused(GwRouter *r, int64_t now_us, const GwServer *s)
{
    UnconfirmedCrash *known = find_unconfirmed(r, s->hash);

#if GW_MUTANT == 113 /* breaks: lost links of an entry count as crashes */
    GwQuarantine_NoteCrash(r->quarantine, now_us, s->hash);
    return;
#endif
    if (are_others_down(r, s)) {
        GwQuarantine_NoteCrash(r->quarantine, now_us, s->hash);
    }
    else if (known != NULL) {
        known->last_refused_us = now_us;
    }
    else if (GwQuarantine_HasLostConnection(r->quarantine, s->hash)) {
        UnconfirmedCrash crash = {.server = s->hash,
                                  .service = s->service,
                                  .refused_us = now_us,
                                  .last_refused_us = now_us};
        g_array_append_val(r->unconfirmed_crashes, crash);
    }
}

GArray *
GwCrashes_Create(void)
{
    return g_array_new(FALSE, FALSE, sizeof(UnconfirmedCrash));
}

/* Whether a connection to `s`, set up at `connected_us`, shows that the refusal
 * was not due to the links of this entry. */
static bool
shows_crash(const GwRouter *r, const UnconfirmedCrash *crash,
            const GwServer *s, int64_t connected_us)
{
    if (crash->server == s->hash || connected_us < crash->refused_us) {
        return false;
    }
#if GW_MUTANT != 119 /* breaks: a cut from one service counts as crashes */
    if (crash->service != s->service) {
        return GwService_IsUnreached(crash->service) &&
               !GwRouter_IsReachedByPeer(r, crash->service);
    }
#endif
    return true;
}

void
GwRouter_ConfirmCrashes(GwRouter *r, int64_t now_us, const GwServer *s,
                        int64_t connected_us)
{
    GArray *crashes = r->unconfirmed_crashes;

    for (guint i = 0; i < crashes->len;) {
        UnconfirmedCrash crash = g_array_index(crashes, UnconfirmedCrash, i);
        bool is_over = now_us - crash.last_refused_us > CONFIRM_MAX_US;
        bool is_shown = !is_over && shows_crash(r, &crash, s, connected_us);
        if (!is_over && !is_shown) {
            i++;
            continue;
        }
        g_array_remove_index(crashes, i);
        if (is_shown) {
            GwQuarantine_NoteCrash(r->quarantine, now_us, crash.server);
        }
        else {
            GwQuarantine_NoteAlive(r->quarantine, crash.server);
        }
    }
}

void
GwRouter_ProbeEnded(GwRouter *r, int64_t now_us, GwServer *s,
                    GwProbeResult result, GArray *actions)
{
    GwRouter_FreeRemoved(r, actions);
    s->probed = false;
    if (result == GW_PROBE_ALIVE) {
        GwRouter_NoteConnected(r, now_us, s, now_us);
        if (s->probes_again) {
            /* The probe was under way when a connection was lost, so it may
             * have found the server just before it crashed. */
            s->probes_again = false;
            GwServer_Probe(s, actions);
            return;
        }
    }
    else {
        GwRouter_NoteConnectFailed(
            r, now_us, s,
            result == GW_PROBE_REFUSED ? GW_LINK_REFUSED : GW_LINK_TIMEOUT,
            actions);
    }
    if (result == GW_PROBE_REFUSED && may_have_crashed(s)) {
        note_refused(r, now_us, s);
    }
    else {
        GwQuarantine_NoteAlive(r->quarantine, s->hash);
    }
    end_probe_waits(r, now_us, s, result, actions);
}

int64_t
GwRequest_QuarantinedUntil(GwRouter *r, int64_t now_us, GwRequest *req)
{
#if GW_MUTANT == 82 /* breaks: requests that crash servers are sent on */
    return 0;
#endif
    if (!req->has_fingerprint) {
        return 0;
    }
    if (GwQuarantine_Crashes(r->quarantine, &req->fingerprint) > 0) {
        req->is_suspect = true;
    }
    return GwQuarantine_UntilUs(r->quarantine, now_us, &req->fingerprint);
}
