/* Shows what this entry would do with a request now, by the same code that
 * decides about requests, without sending it. Works on a request and a route
 * state of its own, so that no queue, counter, budget or quota changes. */
#include "common/json.h"
#include "router/decisions.h"

#include <json-c/json.h>
#include <string.h>

/* Candidates in a preview, the best ones. */
#define CANDIDATES_MAX 20

static void
set_ms(struct json_object *to, const char *key, double us)
{
    json_object_object_add(to, key, json_object_new_double(us / 1000.0));
}

/* ---- Candidates ---------------------------------------------------------- */

static void
collect(void *ctx, const GwCandidateView *candidate)
{
    g_array_append_vals(ctx, candidate, 1);
}

/* Eligible servers first, by cost. */
static gint
compare_candidates(gconstpointer a, gconstpointer b)
{
    const GwCandidateView *x = a;
    const GwCandidateView *y = b;
    int eligible = (x->why != GW_ELIGIBLE) - (y->why != GW_ELIGIBLE);

    if (eligible != 0) {
        return eligible;
    }
    return (x->cost_us > y->cost_us) - (x->cost_us < y->cost_us);
}

static struct json_object *
candidate_json(const GwCandidateView *c)
{
    struct json_object *item = json_object_new_object();

    GwJson_SetText(item, "server", c->server->id);
    GwJson_SetText(item, "failure_domain", c->server->domain);
    GwJson_SetText(item, "region", c->server->path->region);
    GwJson_SetText(item, "ineligible", GwIneligible_Name(c->why));
    GwJson_SetBool(item, "warm", c->is_placement);
    json_object_object_add(item, "load", json_object_new_double(c->load));
    GwJson_SetU64(item, "slots", c->server->slots);
    set_ms(item, "round_trip_ms", c->server->path->rtt_us);
    set_ms(item, "wait_ms", c->wait_us);
    set_ms(item, "expected_ms", c->est_us);
    set_ms(item, "cost_ms", c->cost_us);
    return item;
}

static void
add_candidates(GwRouter *r, int64_t now_us, GwRequest *req,
               struct json_object *to)
{
    GArray *all = g_array_new(FALSE, FALSE, sizeof(GwCandidateView));
    struct json_object *list = json_object_new_array();

    GwRouter_EachCandidate(r, now_us, req, collect, all);
    g_array_sort(all, compare_candidates);
    GwJson_SetU64(to, "servers", all->len);
    for (guint i = 0; i < MIN(all->len, CANDIDATES_MAX); i++) {
        json_object_array_add(
            list, candidate_json(&g_array_index(all, GwCandidateView, i)));
    }
    json_object_object_add(to, "candidates", list);
    g_array_free(all, TRUE);
}

/* ---- Decision ------------------------------------------------------------ */

static const char *
decision_name(const GwDecision *d)
{
    switch (d->kind) {
    case GW_DECIDE_SEND:
        return "send";
    case GW_DECIDE_WAIT:
        return "wait";
    case GW_DECIDE_REFUSE:
        break;
    }
    return "refuse";
}

static void
add_shedding(const GwRouter *r, int64_t now_us, const GwRequest *req,
             const GwChoice *c, struct json_object *to)
{
    if (r->shortage == NULL) {
        return;
    }
    uint32_t service = GwService_Hash(req->service->name);
    uint32_t region = GwService_Hash(c->server->path->region);
    uint32_t level = GwRequest_Level(req, c);

    GwJson_SetU64(to, "level", level);
    GwJson_SetU64(to, "threshold",
                  GwShortage_Threshold(r->shortage, now_us, service, region));
    json_object_object_add(to, "admitted_share",
                           json_object_new_double(GwShortage_AdmitShare(
                               r->shortage, now_us, service, region, level)));
    json_object_object_add(
        to, "demand_age_ms",
        json_object_new_int64(GwShortage_AgeMs(r->shortage, now_us)));
}

static void
add_decision(GwRouter *r, int64_t now_us, GwRequest *req,
             struct json_object *to)
{
    /* The search for a server whose limit may be out of date runs at intervals:
     * the next request makes it, not this one. */
    int64_t stale_limit_due_us = req->service->stale_limit_due_us;
    GwDecision d = GwRequest_Decide(r, now_us, req);

    req->service->stale_limit_due_us = stale_limit_due_us;
    GwJson_SetText(to, "decision", decision_name(&d));
    GwJson_SetText(to, "why", GwReplyReason_Name(d.why));
    GwJson_SetBool(to, "passed_on_first", d.prefers_peer);
    if (d.choice.server == NULL) {
        return;
    }
    GwJson_SetText(to, "server", d.choice.server->id);
    GwJson_SetBool(to, "warm", d.choice.is_placement);
    GwJson_SetBool(to, "in_time", d.choice.in_time);
    set_ms(to, "wait_ms", d.choice.wait_us);
    set_ms(to, "expected_ms", d.choice.est_us);
    add_shedding(r, now_us, req, &d.choice, to);
}

/* ---- Request ------------------------------------------------------------- */

static void
add_request(const GwRequest *req, struct json_object *to)
{
    GwJson_SetText(to, "route", req->route->name);
    GwJson_SetText(to, "service", req->service->name);
    GwJson_SetText(to, "organisation",
                   req->organisation != NULL ? req->organisation->name : "");
    GwJson_SetU64(to, "priority", req->priority);
    GwJson_SetBool(to, "idempotent", req->route->idempotent);
    GwJson_SetBool(to, "has_quota",
                   req->organisation != NULL &&
                       req->organisation->rate_per_s > 0);
    set_ms(to, "objective_left_ms",
           (double)(req->objective_end_us - req->arrived_us));
}

static void
add_refusal(GwReplyReason why, struct json_object *to)
{
    GwJson_SetText(to, "decision", "refuse");
    GwJson_SetText(to, "why", GwReplyReason_Name(why));
    GwJson_SetU64(to, "status", GwReplyReason_Status(why));
}

void
GwRouter_Preview(GwRouter *r, int64_t now_us, const GwArrival *arrival,
                 GString *out)
{
    struct json_object *json = json_object_new_object();
    GwPreview preview = {0};
    GwReplyReason why = GwRouter_BeginPreview(r, now_us, arrival, &preview);

    if (r->routing != NULL) {
        GwJson_SetU64(json, "config_version", r->routing->version);
    }
    if (why != GW_REPLY_NONE) {
        add_refusal(why, json);
    }
    else {
        add_request(&preview.request, json);
        add_decision(r, now_us, &preview.request, json);
        add_candidates(r, now_us, &preview.request, json);
    }
    GwRouter_EndPreview(&preview);
    g_string_append(
        out, json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN));
    g_string_append_c(out, '\n');
    json_object_put(json);
}
