/* The state dump: every table of a node as JSON. */
#include "entry/node_internal.h"
#include "steer/dump.h"

#include <glib.h>
#include <json-c/json.h>
#include <string.h>

static void
add_u64(json_object *to, const char *key, uint64_t value)
{
    json_object_object_add(to, key, json_object_new_uint64(value));
}

static void
add_text(json_object *to, const char *key, const char *value)
{
    json_object_object_add(to, key, json_object_new_string(value));
}

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
        add_text(item, "name", m->info.name);
        add_text(item, "state", state_name(m->info.state));
        add_text(item, "peer_address", m->info.peer_address);
        add_text(item, "call_address", m->info.call_address);
        add_u64(item, "start", m->info.id.start);
        add_u64(item, "incarnation", m->info.incarnation);
        add_u64(item, "config_version", m->config_version);
        if (m->heard_us != 0) {
            add_u64(item, "heard_ms_ago",
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
        if (GwSeats_Usable(n->seats, i)) {
            json_object_array_add(usable, json_object_new_int((int)i));
        }
    }
    json_object_object_add(seats, "usable", usable);
    add_u64(seats, "held", GwSeats_HeldCount(n->seats));
    add_u64(seats, "epoch", GwSeats_Epoch(n->seats));
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
        add_text(item, "service", n->config->services[i].name);
        add_u64(item, "in_flight", GwSteer_InFlight(n->steer, i));
        add_u64(item, "queued", queued[i]);
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

    add_text(top, "instance", n->params.name);
    add_text(top, "region", n->params.region);
    add_text(top, "failure_domain", n->params.domain);
    add_u64(top, "start", n->params.id.start);
    add_u64(top, "config_version", n->config == NULL ? 0 : n->config->version);
    json_object_object_add(
        top, "ready", json_object_new_boolean(GwSync_Ready(n->sync, now_us)));
    json_object_object_add(top, "leaving",
                           json_object_new_boolean(n->leaving));
    add_u64(top, "open_calls", GwCalls_Open(n->calls));
    json_object_object_add(top, "members", dump_members(n, now_us));
    json_object_object_add(top, "seats", dump_seats(n));
    json_object_object_add(top, "services", dump_services(n, now_us));
    add_u64(top, "tickets", GwCalls_Tickets(n->calls));
    GwSteer_Dump(n->steer, now_us, top);
    char *text =
        g_strdup(json_object_to_json_string_ext(top, JSON_C_TO_STRING_PRETTY));
    json_object_put(top);
    return text;
}
