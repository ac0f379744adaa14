/* Detection of crashed servers, and of the requests that they were running. */
#include "router/router_internal.h"

/* Limit of the wait for a probe before a retry, in addition to two round
 * trips. */
#define PROBE_SLACK_US 20000

GwQuarantine *
GwRouter_Quarantine(GwRouter *r)
{
    return r->quarantine;
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
        GwRequest_Enqueue(req);
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
        GwQuarantine_NoteCrash(r->quarantine, now_us, s->hash);
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
