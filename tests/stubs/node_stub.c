/* Stand-in of GwNode until lib/entry/node.c is there: one service "echo",
 * one backend server named by GW_STUB_BACKEND, every call dispatched at once.
 * Linked only while the real one is missing (see the Makefile). */
#include "config/settings.h"
#include "godwitridge.h"
#include "member/member.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct GwNode_s {
    GwNodeParams params;
    GwConfig config;
    GwRegion region;
    GwService service;
    GwPlace place;
    GwBackend backend;
    bool started;
    bool leaving;
    uint64_t seq;
};

GQuark
GwError_Quark(void)
{
    return g_quark_from_static_string("gw");
}

void
GwNodeParams_SetDefaults(GwNodeParams *params)
{
    params->attempt_timeout_ms = 1000;
    params->ticket_valid_ms = 60000;
    params->ticket_retention_ms = 120000;
    params->lookup_ttl_ms = 2000;
}

GwNode *
GwNode_Create(const GwNodeParams *params)
{
    const char *backend = getenv("GW_STUB_BACKEND");
    GwNode *node = g_new0(GwNode, 1);
    node->params = *params;
    g_strlcpy(node->region.name, params->region, GW_NAME_MAX);
    g_strlcpy(node->service.name, "echo", GW_NAME_MAX);
    node->service.deadline_max_ms = 10000;
    g_strlcpy(node->backend.address, backend != NULL ? backend : "",
              GW_ADDR_MAX);
    node->backend.id = 1;
    node->place.backend_count = 1;
    node->config = (GwConfig){
        .version = 1,
        .region_count = 1,
        .service_count = 1,
        .place_count = 1,
        .backend_count = 1,
        .regions = &node->region,
        .services = &node->service,
        .places = &node->place,
        .backends = &node->backend,
        .text = "{}",
        .text_len = 2,
    };
    return node;
}

void
GwNode_Free(GwNode *node)
{
    g_free(node);
}

static void
on_call(GwNode *node, const GwCallEvent *call, GwActions *actions)
{
    GwDispatchAction *d =
        &GwActions_Add(actions, GW_ACTION_DISPATCH)->u.dispatch;
    d->call = call->call;
    d->attempt = 1;
    d->backend = 1;
    d->idempotent = strcmp(call->method, "GET") == 0;
    d->give_up_us = call->deadline_us;
    g_strlcpy(d->address, node->backend.address, GW_ADDR_MAX);
}

static void
on_attempt(GwNode *node, const GwAttemptEvent *attempt, GwActions *actions)
{
    GwFinishAction *f = &GwActions_Add(actions, GW_ACTION_FINISH)->u.finish;
    f->call = attempt->call;
    f->outcome = attempt->outcome;
    f->reason = attempt->reason;
    f->retry_after_ms = attempt->retry_after_ms;
    f->answer_of = attempt->call;
    f->answer_attempt = attempt->attempt;
    f->ticket = (GwTicket){node->params.id, 1, ++node->seq};
}

void
GwNode_Step(GwNode *node, int64_t now_us, const GwEvent *event,
            GwActions *actions)
{
    if (!node->started) {
        node->started = true;
        GwActions_Add(actions, GW_ACTION_PUBLISH);
        GwActions_Log(actions, 200, "version=1");
    }
    switch (event->kind) {
    case GW_EVENT_CALL:
        on_call(node, &event->u.call, actions);
        break;
    case GW_EVENT_ATTEMPT:
        on_attempt(node, &event->u.attempt, actions);
        break;
    case GW_EVENT_LEAVE:
        node->leaving = true;
        GwActions_Add(actions, GW_ACTION_STOPPED);
        break;
    default:
        break;
    }
}

const GwConfig *
GwNode_Config(const GwNode *node)
{
    return node->started ? &node->config : NULL;
}

GwResult
GwNode_Lookup(const GwNode *node, const char *service, GwLookup *out)
{
    if (strcmp(service, "echo") != 0) {
        return GW_ERR(NOT_FOUND);
    }
    *out = (GwLookup){.config_version = 1, .ttl_ms = 2000, .count = 1};
    g_strlcpy(out->entries[0].address, node->params.call_address, GW_ADDR_MAX);
    g_strlcpy(out->entries[0].name, node->params.name, GW_NAME_MAX);
    g_strlcpy(out->entries[0].domain, node->params.domain, GW_NAME_MAX);
    out->entries[0].local_region = true;
    return 1;
}

GwResult
GwNode_MintTickets(GwNode *node, int64_t now_us, uint32_t count, GwTicket *out)
{
    if (node->leaving) {
        return GW_ERR(LEAVING);
    }
    for (uint32_t i = 0; i < count; i++) {
        out[i] = (GwTicket){node->params.id, now_us / 1000, ++node->seq};
    }
    return count;
}

char *
GwNode_Dump(const GwNode *node, int64_t now_us)
{
    return g_strdup("{\"stub\": true}");
}

GwResult
GwTicket_Parse(const char *text, GwTicket *out)
{
    unsigned long long node;
    unsigned long long start;
    unsigned long long minted;
    unsigned long long seq;
    if (sscanf(text, "%llx-%llx-%llx-%llx", &node, &start, &minted, &seq) !=
        4) {
        return GW_ERR(PARSE);
    }
    *out = (GwTicket){{node, start}, (int64_t)minted, seq};
    return 0;
}

void
GwTicket_Format(const GwTicket *t, char out[GW_TICKET_TEXT_MAX])
{
    g_snprintf(out, GW_TICKET_TEXT_MAX, "%016llx-%016llx-%llx-%llx",
               (unsigned long long)t->owner.node,
               (unsigned long long)t->owner.start,
               (unsigned long long)t->minted_ms, (unsigned long long)t->seq);
}
