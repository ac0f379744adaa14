/* Access of callers: their keys, and the organisations that hold them.
 *
 * A key is looked up at arrival and again before each attempt, because an
 * operator may revoke it while the request waits. The configuration at hand
 * may be out of date, so keys count only while it is proven to be the newest
 * one (GwRouter_SetProvenUntil). */
#include "router/router_internal.h"

void
GwRouter_SetProvenUntil(GwRouter *r, int64_t until_us)
{
    r->proven_until_us = until_us;
}

static bool
is_unproven(const GwRouter *r, int64_t now_us)
{
#if GW_MUTANT == 90 /* breaks: a revoked key is accepted without proof */
    return false;
#endif
    return now_us >= r->proven_until_us;
}

static const GwOrganisation *
find_organisation(const GwRouter *r, const char *credential)
{
    if (credential == NULL || *credential == '\0') {
        return NULL;
    }
    GwKeyDigest digest = GwKeyDigest_Compute(credential);
    return GwRouting_FindOrganisation(r->routing, &digest);
}

/* A caller without a key learns nothing about routes: it gets the same answer
 * for those that exist and those that don't. An entry without proof refuses
 * with 503 instead of 401 or 404, since a newer configuration may allow the
 * request. */
GwReplyReason
GwRouter_CheckArrival(const GwRouter *r, int64_t now_us,
                      const GwArrival *arrival, const GwRoute *route)
{
    if (r->routing == NULL) {
        return GW_REPLY_NO_CONFIG;
    }
#if GW_MUTANT != 118 /* breaks: nothing runs before the quarantine is known */
    if (r->awaits_quarantine) {
        return GW_REPLY_QUARANTINE_UNKNOWN;
    }
#endif
    if (!r->routing->requires_keys) {
        return route == NULL ? GW_REPLY_NO_ROUTE : GW_REPLY_NONE;
    }
    if (route != NULL && route->allows_anonymous) {
        return GW_REPLY_NONE;
    }
    if (is_unproven(r, now_us)) {
        return GW_REPLY_UNPROVEN;
    }
    if (find_organisation(r, arrival->credential) == NULL) {
        return GW_REPLY_UNAUTHORIZED;
    }
    return route == NULL ? GW_REPLY_NO_ROUTE : GW_REPLY_NONE;
}

static void
set_organisation(GwRequest *req, const GwOrganisation *org)
{
    req->organisation = org;
    req->priority = org != NULL && org->has_priority ? org->priority
                                                     : req->route->priority;
}

void
GwRequest_SetAccess(GwRouter *r, GwRequest *req, const char *credential)
{
    const GwOrganisation *org = NULL;

    req->access_routing = GwRouting_Ref(r->routing);
    if (r->routing->requires_keys && credential != NULL) {
        req->has_credential = true;
        req->credential = GwKeyDigest_Compute(credential);
        org = GwRouting_FindOrganisation(r->routing, &req->credential);
    }
    set_organisation(req, org);
}

/* Looks up the key in the configuration in force. */
static void
refresh_organisation(GwRouter *r, GwRequest *req)
{
    if (r->routing == req->access_routing) {
        return;
    }
#if GW_MUTANT == 91 /* breaks: a waiting request keeps its revoked key */
    return;
#endif
    const GwOrganisation *org =
        req->has_credential
            ? GwRouting_FindOrganisation(r->routing, &req->credential)
            : NULL;
    GwRouting_Unref(req->access_routing);
    req->access_routing = GwRouting_Ref(r->routing);
    set_organisation(req, org);
}

GwReplyReason
GwRequest_CheckAccess(GwRouter *r, int64_t now_us, GwRequest *req)
{
    refresh_organisation(r, req);
    if (!r->routing->requires_keys || req->route->allows_anonymous) {
        return GW_REPLY_NONE;
    }
    if (is_unproven(r, now_us)) {
        return GW_REPLY_UNPROVEN;
    }
    return req->organisation == NULL ? GW_REPLY_UNAUTHORIZED : GW_REPLY_NONE;
}

bool
GwRouter_MaySend(GwRouter *r, int64_t now_us, GwRequest *req)
{
    return GwRequest_CheckAccess(r, now_us, req) == GW_REPLY_NONE &&
           (req->server == NULL || !GwServer_IsResting(req->server, now_us));
}

const char *
GwRequest_Organisation(const GwRequest *req)
{
    return req->organisation != NULL ? req->organisation->name : NULL;
}

bool
GwRequest_AllowsRegion(const GwRequest *req, const char *region)
{
    return GwRoute_AllowsRegion(req->route, region) &&
           (req->organisation == NULL ||
            GwOrganisation_AllowsRegion(req->organisation, region));
}

bool
GwRequest_IsRegionBound(const GwRequest *req)
{
    return req->route->home_count > 0 ||
           (req->organisation != NULL && req->organisation->home_count > 0);
}
