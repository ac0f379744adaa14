/* The state dump: every table of a node as JSON. */
#include "entry/node_internal.h"
#include "common/json.h"
#include "steer/dump.h"

#include <glib.h>
#include <json-c/json.h>
#include <string.h>

static const char *
state_name(GwMemberState state)
{
    switch (state) {
    case GW_MEMBER_ALIVE:
        return "alive";
    case GW_MEMBER_SUSPECT:
        return "suspect";
    case GW_MEMBER_LEAVING:
        return "leaving";
    case GW_MEMBER_DEAD:
        return "dead";
    }
    return "unnumbered";
}

static json_object *
dump_members(const GwNode *n, int64_t now_us)
{
    json_object *list = json_object_new_array();

    for (uint32_t i = 0; i < GwMembers_Count(n->members); i++) {
        const GwMember *m = GwMembers_At(n->members, i);
        json_object *item = json_object_new_object();
        GwJson_SetText(item, "name", m->info.name);
        GwJson_SetText(item, "state", state_name(m->info.state));
        GwJson_SetText(item, "peer_address", m->info.peer_address);
        GwJson_SetText(item, "call_address", m->info.call_address);
        GwJson_SetU64(item, "start", m->info.id.start);
        GwJson_SetU64(item, "incarnation", m->info.incarnation);
        GwJson_SetU64(item, "config_version", m->config_version);
        if (m->heard_us != 0) {
            GwJson_SetU64(item, "heard_ms_ago",
                          (uint64_t)(now_us - m->heard_us) / 1000);
        }
        json_object_array_add(list, item);
    }
    return list;
}

static json_object *
dump_seats(const GwNode *n)
{
    json_object *seats = json_object_new_object();
    json_object *usable = json_object_new_array();
    uint32_t total = GW_SEATS_MAX;

    for (uint32_t i = 0; i < total; i++) {
        if (GwSeats_IsUsable(n->seats, i)) {
            json_object_array_add(usable, json_object_new_int((int)i));
        }
    }
    json_object_object_add(seats, "usable", usable);
    GwJson_SetU64(seats, "held", GwSeats_HeldCount(n->seats));
    GwJson_SetU64(seats, "epoch", GwSeats_Epoch(n->seats));
    json_object_object_add(
        seats, "fenced", json_object_new_boolean(GwSeats_IsFenced(n->seats)));
    return seats;
}

static json_object *
dump_services(const GwNode *n, int64_t now_us)
{
    json_object *list = json_object_new_array();
    const uint32_t *queued = GwCalls_Queued(n->calls);

    for (uint32_t i = 0; n->config != NULL && i < n->config->service_count;
         i++) {
        json_object *item = json_object_new_object();
        GwJson_SetText(item, "service", n->config->services[i].name);
        GwJson_SetU64(item, "in_flight", GwSteer_InFlight(n->steer, i));
        GwJson_SetU64(item, "queued", queued[i]);
        json_object_object_add(
            item, "can_serve",
            json_object_new_boolean(GwSteer_CanServe(n->steer, now_us, i)));
        json_object_array_add(list, item);
    }
    return list;
}

char *
GwNode_Dump(const GwNode *n, int64_t now_us)
{
    json_object *top = json_object_new_object();

    GwJson_SetText(top, "instance", n->params.name);
    GwJson_SetText(top, "region", n->params.region);
    GwJson_SetText(top, "failure_domain", n->params.domain);
    GwJson_SetU64(top, "start", n->params.id.start);
    GwJson_SetU64(top, "config_version",
                  n->config == NULL ? 0 : n->config->version);
    json_object_object_add(
        top, "ready",
        json_object_new_boolean(GwSync_IsReady(n->sync, now_us)));
    json_object_object_add(top, "leaving",
                           json_object_new_boolean(n->leaving));
    GwJson_SetU64(top, "open_calls", GwCalls_OpenCount(n->calls));
    json_object_object_add(top, "members", dump_members(n, now_us));
    json_object_object_add(top, "seats", dump_seats(n));
    json_object_object_add(top, "services", dump_services(n, now_us));
    GwJson_SetU64(top, "tickets", GwCalls_TicketCount(n->calls));
    GwSteer_Dump(n->steer, now_us, top);
    char *text =
        g_strdup(json_object_to_json_string_ext(top, JSON_C_TO_STRING_PRETTY));
    json_object_put(top);
    return text;
}
