#include "fakes/cluster_internal.h"

#include "member/member.h"
#include "platform/list.h"
#include "wire/codec.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#define LIST_POLL_MS   1000
#define HEALTH_POLL_US FAKE_SEC
/* Punctuation and field names of one item in the list's JSON. */
#define LIST_JSON_BYTES 47

/* ---- the queue --------------------------------------------------------- */

FakeEvent *
FakeCluster_Post(FakeCluster *c, FakeEventKind kind, int64_t at_us,
                 uint32_t node)
{
    FakeEvent *ev = g_new0(FakeEvent, 1);
    ev->kind = kind;
    ev->at_us = at_us;
    ev->node = node;
    ev->epoch = c->nodes[node].epoch;
    GwHeap_Push(&c->queue, at_us, ev, &ev->heap_place);
    return ev;
}

static void
free_event(FakeEvent *ev)
{
    GwMessage_Free(ev->message);
    FakeTable_FreeRequest(ev->request);
    FakeTable_FreeReply(ev->reply);
    g_free(ev);
}

/* ---- the network ------------------------------------------------------- */

/* One-way delay in microseconds, with 10 % jitter: messages may be
 * reordered. */
int64_t
FakeCluster_Delay(FakeCluster *c, uint32_t a, uint32_t b)
{
    const FakeNode *from = &c->nodes[a];
    const FakeNode *to = &c->nodes[b];
    int64_t base = 50;

    if (from->region != to->region) {
        base = c->params.region_delay_us;
    }
    else if (from->domain != to->domain) {
        base = c->params.domain_delay_us;
    }
    return GwRng_Jitter(&c->rng, base, base / 10);
}

bool
FakeCluster_IsCut(const FakeCluster *c, uint32_t a, uint32_t b)
{
    if (c->isolated != 0 && (a == c->isolated - 1 || b == c->isolated - 1)) {
        return true;
    }
    return c->cut[c->nodes[a].region][c->nodes[b].region];
}

static bool
chance(FakeCluster *c, uint32_t permille)
{
    return permille > 0 && GwRng_Below(&c->rng, 1000) < permille;
}

static uint32_t
node_by_address(const FakeCluster *c, const char *address)
{
    gpointer place = g_hash_table_lookup(c->by_address, address);

    return place == NULL ? GW_NONE : GPOINTER_TO_UINT(place) - 1;
}

static size_t
size_on_the_wire(GwMessage *message)
{
    GwEnvelope envelope = {.kind = GW_ENVELOPE_CONTROL, .u.control = message};
    size_t len = 0;

    g_free(GwCodec_Frame(&envelope, &len));
    return len;
}

static void
send_message(FakeCluster *c, uint32_t node, GwSendAction *send)
{
    uint32_t to = node_by_address(c, send->address);
    FakeNode *from = &c->nodes[node];

    from->messages_sent++;
    if (c->params.count_bytes) {
        size_t size = size_on_the_wire(send->message);
        from->bytes_sent += size;
        c->costs.message_bytes[send->message->kind] += size;
        c->costs.messages[send->message->kind]++;
    }
    if (to == GW_NONE || FakeCluster_IsCut(c, node, to) ||
        chance(c, c->params.loss_permille)) {
        return;
    }
    if (chance(c, c->params.duplicate_permille)) {
        FakeEvent *again =
            FakeCluster_Post(c, FAKE_DELIVER,
                             c->now_us + FakeCluster_Delay(c, node, to) +
                                 GwRng_Below(&c->rng, 2000000),
                             to);
        again->message = GwMessage_Copy(send->message);
    }
    FakeEvent *ev = FakeCluster_Post(
        c, FAKE_DELIVER, c->now_us + FakeCluster_Delay(c, node, to), to);
    ev->message = send->message;
    send->message = NULL;
}

/* ---- steps ------------------------------------------------------------- */

static void
run_action(FakeCluster *c, uint32_t node, GwAction *action)
{
    switch (action->kind) {
    case GW_ACTION_SEND:
        send_message(c, node, &action->u.send);
        break;
    case GW_ACTION_TABLE:
        FakeTable_Request(c, node, action->u.table);
        action->u.table = NULL;
        break;
    case GW_ACTION_DISPATCH:
        FakeCalls_Dispatch(c, node, &action->u.dispatch);
        break;
    case GW_ACTION_RELAY:
        FakeCalls_Relay(c, node, &action->u.relay);
        break;
    case GW_ACTION_FINISH:
        FakeCalls_Finish(c, node, &action->u.finish);
        break;
    case GW_ACTION_STOPPED:
        c->nodes[node].stopped = true;
        break;
    case GW_ACTION_CANCEL: /* simulated servers finish cancelled calls */
    case GW_ACTION_PUBLISH:
    case GW_ACTION_LOG:
        break;
    }
}

static void
note_version(FakeCluster *c, FakeNode *n)
{
    const GwConfig *config = GwNode_Config(n->node);
    uint64_t version = config == NULL ? 0 : config->version;

    if (version != n->config_version) {
        n->version_decreases += version < n->config_version;
        n->config_version = version;
        n->config_at_us = c->now_us;
    }
}

static uint32_t
open_calls_of(const FakeCluster *c, uint32_t node)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < c->calls->len; i++) {
        const FakeCallerCall *call = g_ptr_array_index(c->calls, i);
        count += call->node == node && !call->done &&
                 (uint64_t)call->sent_us >= c->nodes[node].params.id.start;
    }
    return count;
}

static uint64_t
cpu_ns(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return (uint64_t)ts.tv_sec * 1000000000ULL + (uint64_t)ts.tv_nsec;
}

static void
step_node(FakeCluster *c, FakeNode *n, const GwEvent *event, GwActions *out)
{
    uint64_t start = c->params.count_cpu ? cpu_ns() : 0;

    GwNode_Step(n->node, c->now_us, event, out);
    if (c->params.count_cpu) {
        c->costs.step_ns[event->kind] += cpu_ns() - start;
        c->costs.steps[event->kind]++;
    }
}

/* Runs one step of a node and executes its actions. */
void
FakeCluster_Step(FakeCluster *c, uint32_t node, const GwEvent *event)
{
    FakeNode *n = &c->nodes[node];
    GwActions actions = {0};

    step_node(c, n, event, &actions);
    for (uint32_t i = 0; i < actions.count; i++) {
        if (c->see != NULL) {
            c->see(c, node, &actions.items[i]);
        }
        run_action(c, node, &actions.items[i]);
    }
    GwActions_Free(&actions);
    note_version(c, n);
    if (n->stopped) {
        c->cut_off += open_calls_of(c, node);
        GwNode_Free(n->node);
        n->node = NULL;
        n->epoch++;
    }
    if (c->watch != NULL) {
        c->watch(c);
    }
}

static void
poll_list(FakeCluster *c, uint32_t node)
{
    GwInstanceListItem items[GW_INSTANCE_LIST_MAX];
    GwInstanceList list = {.items = items};

    for (uint32_t i = 0; i < c->params.node_count && i < GW_INSTANCE_LIST_MAX;
         i++) {
        const FakeNode *n = &c->nodes[i];
        if (n->node == NULL || n->is_missing_from_list) {
            continue;
        }
        GwInstanceListItem *item = &items[list.count++];
        memset(item, 0, sizeof(*item));
        g_strlcpy(item->name, n->params.name, GW_NAME_MAX);
        g_strlcpy(item->peer_address, n->params.peer_address, GW_ADDR_MAX);
        item->leaving = n->leaving;
        c->costs.list_bytes +=
            strlen(item->name) + strlen(item->peer_address) + LIST_JSON_BYTES;
    }
    c->costs.list_reads++;
    GwEvent event = {.kind = GW_EVENT_INSTANCE_LIST, .u.list = &list};
    FakeCluster_Step(c, node, &event);
    int64_t period_us = GwInstanceList_PeriodUs(LIST_POLL_MS, list.count);
    FakeCluster_Post(
        c, FAKE_LIST_POLL,
        c->now_us + GwRng_Jitter(&c->rng, period_us, period_us / 5), node);
}

/* Polls the health endpoint of each server. Silent servers and servers without
 * reports yield no result. */
static void
poll_health(FakeCluster *c, uint32_t node)
{
    uint32_t epoch = c->nodes[node].epoch;

    for (uint32_t i = 0; i < c->backends->len; i++) {
        const FakeBackend *b = g_ptr_array_index(c->backends, i);
        if (b->region != c->nodes[node].region || b->silent || b->no_reports) {
            continue;
        }
        GwEvent event = {.kind = GW_EVENT_HEALTH,
                         .u.health = {.backend = b->id,
                                      .reachable = !b->down,
                                      .draining = b->draining,
                                      .has_load = !b->down,
                                      .reported_load = b->reports_no_load
                                                           ? 0
                                                           : b->in_flight}};
        FakeCluster_Step(c, node, &event);
        if (c->nodes[node].epoch != epoch) {
            return;
        }
    }
    FakeCluster_Post(
        c, FAKE_HEALTH_POLL,
        c->now_us + GwRng_Jitter(&c->rng, HEALTH_POLL_US, HEALTH_POLL_US / 5),
        node);
}

static void
handle(FakeCluster *c, FakeEvent *ev)
{
    GwEvent event = {0};

    switch (ev->kind) {
    case FAKE_TICK:
        event.kind = GW_EVENT_TICK;
        FakeCluster_Post(c, FAKE_TICK, c->now_us + GW_TICK_US, ev->node);
        FakeCluster_Step(c, ev->node, &event);
        break;
    case FAKE_DELIVER:
        event.kind = GW_EVENT_MESSAGE;
        event.u.message = ev->message;
        FakeCluster_Step(c, ev->node, &event);
        break;
    case FAKE_TABLE_REPLY:
        event.kind = GW_EVENT_TABLE;
        event.u.table = ev->reply;
        FakeCluster_Step(c, ev->node, &event);
        break;
    case FAKE_LIST_POLL:
        poll_list(c, ev->node);
        break;
    case FAKE_HEALTH_POLL:
        poll_health(c, ev->node);
        break;
    case FAKE_ATTEMPT_END:
        event.kind = GW_EVENT_ATTEMPT;
        event.u.attempt = ev->end;
        FakeCluster_Step(c, ev->node, &event);
        break;
    case FAKE_RELAY_IN:
        FakeCalls_RelayIn(c, ev);
        break;
    case FAKE_TABLE_RUN:
    case FAKE_BACKEND_IN:
    case FAKE_BACKEND_DONE:
        break;
    }
}

/* Whether an event takes place outside the node, so that a crash of the node
 * does not void the event. */
static bool
handle_external_event(FakeCluster *c, FakeEvent *ev)
{
    switch (ev->kind) {
    case FAKE_TABLE_RUN:
        FakeTable_Run(c, ev);
        return true;
    case FAKE_BACKEND_IN:
        FakeCalls_BackendIn(c, ev);
        return true;
    case FAKE_BACKEND_DONE:
        FakeCalls_BackendDone(c, ev);
        return true;
    default:
        return false;
    }
}

/* Runs events in order of time. Events of a paused node wait until it resumes,
 * as in socket buffers. */
void
FakeCluster_Run(FakeCluster *c, int64_t until_us)
{
    while (GwHeap_TopKey(&c->queue) <= until_us) {
        FakeEvent *ev = GwHeap_Top(&c->queue);
        FakeNode *n = &c->nodes[ev->node];
        GwHeap_Remove(&c->queue, &ev->heap_place);
        c->now_us = ev->at_us > c->now_us ? ev->at_us : c->now_us;
        if (handle_external_event(c, ev)) {
            free_event(ev);
            continue;
        }
        bool stale = n->node == NULL || ev->epoch != n->epoch;
        bool for_any_start =
            ev->kind == FAKE_DELIVER || ev->kind == FAKE_RELAY_IN;
        if (stale && !(for_any_start && n->node != NULL)) {
            if (ev->kind == FAKE_RELAY_IN) {
                FakeCalls_RelayIn(c, ev);
            }
            free_event(ev);
            continue;
        }
        if (n->paused_until_us > c->now_us) {
            ev->at_us = n->paused_until_us;
            GwHeap_Push(&c->queue, ev->at_us, ev, &ev->heap_place);
            continue;
        }
        handle(c, ev);
        free_event(ev);
    }
    c->now_us = until_us;
}

/* ---- setup and faults -------------------------------------------------- */

static void
set_node_params(FakeCluster *c, uint32_t i)
{
    FakeNode *n = &c->nodes[i];
    GwNodeParams *p = &n->params;

    n->region = i % c->params.region_count;
    n->domain = i / c->params.region_count % c->params.domains_per_region;
    GwNodeParams_SetDefaults(p);
    g_snprintf(p->name, GW_NAME_MAX, "entry-%u", i);
    g_snprintf(p->region, GW_NAME_MAX, "r%u", n->region);
    g_snprintf(p->domain, GW_NAME_MAX, "r%u-d%u", n->region, n->domain);
    g_snprintf(p->peer_address, GW_ADDR_MAX, "192.0.%u.%u:7000", i / 250,
               i % 250);
    g_snprintf(p->call_address, GW_ADDR_MAX, "192.0.%u.%u:8000", i / 250,
               i % 250);
    p->id.node = GwName_Hash64(p->name);
    g_hash_table_insert(c->by_address, p->peer_address,
                        GUINT_TO_POINTER(i + 1));
    g_hash_table_insert(c->by_id, &p->id.node, GUINT_TO_POINTER(i + 1));
    p->seed = c->params.seed * 1000003 + i;
    p->policy = c->params.policy;
    if (c->params.tune != NULL) {
        c->params.tune(p);
    }
}

void
FakeCluster_Start(FakeCluster *c, uint32_t node)
{
    FakeNode *n = &c->nodes[node];

    n->epoch++;
    n->stopped = false;
    n->leaving = false;
    n->paused_until_us = 0;
    n->config_version = 0;
    n->params.id.start = (uint64_t)c->now_us + 1;
    n->params.seed += n->epoch;
    n->node = GwNode_Create(&n->params);
    FakeCluster_Post(c, FAKE_TICK,
                     c->now_us + GwRng_Below(&c->rng, GW_TICK_US), node);
    FakeCluster_Post(c, FAKE_LIST_POLL,
                     c->now_us + 1 + GwRng_Below(&c->rng, 20000), node);
    FakeCluster_Post(c, FAKE_HEALTH_POLL,
                     c->now_us + 1 + GwRng_Below(&c->rng, HEALTH_POLL_US),
                     node);
}

/* The process exits and loses its state; its pending events are void. */
void
FakeCluster_Crash(FakeCluster *c, uint32_t node)
{
    FakeNode *n = &c->nodes[node];

    GwNode_Free(n->node);
    n->node = NULL;
    n->epoch++;
}

void
FakeCluster_Pause(FakeCluster *c, uint32_t node, int64_t for_us)
{
    c->nodes[node].paused_until_us = c->now_us + for_us;
}

void
FakeCluster_Stop(FakeCluster *c, uint32_t node)
{
    GwEvent event = {.kind = GW_EVENT_GRACEFUL_STOP};

    c->nodes[node].leaving = true;
    FakeCluster_Step(c, node, &event);
}

void
FakeCluster_CutRegions(FakeCluster *c, uint32_t a, uint32_t b, bool cut)
{
    c->cut[a][b] = cut;
    c->cut[b][a] = cut;
}

uint64_t
FakeCluster_Change(FakeCluster *c, const char *text, uint32_t node)
{
    const GwRow *head = g_hash_table_lookup(c->rows, "config/head");
    uint64_t version =
        head == NULL ? 1 : g_ascii_strtoull(head->value, NULL, 10) + 1;
    uint64_t checksum = GwName_Hash64(text);
    char key[GW_ROW_KEY_MAX];
    char value[64];

    g_snprintf(key, sizeof(key), "config/doc/%020lu", (unsigned long)version);
    g_snprintf(value, sizeof(value), "%lu %lx", (unsigned long)version,
               (unsigned long)checksum);
    FakeTable_Put(c, key, text);
    FakeTable_Put(c, "config/head", value);
    if (node != GW_NONE && c->nodes[node].node != NULL) {
        GwMessage *msg =
            GwMessage_Create(GW_MSG_CONFIG_DOC, c->nodes[node].params.id);
        msg->u.doc = (GwConfigDoc){.version = version,
                                   .checksum = checksum,
                                   .text_len = (uint32_t)strlen(text),
                                   .text = g_strdup(text)};
        GwEvent event = {.kind = GW_EVENT_MESSAGE, .u.message = msg};
        FakeCluster_Step(c, node, &event);
        GwMessage_Free(msg);
    }
    return version;
}

static void
free_row(gpointer data)
{
    GwRow *row = data;
    g_free(row->value);
    g_free(row);
}

static void
make_backends(FakeCluster *c)
{
    GwConfig *config =
        GwConfig_Parse(c->params.config_text,
                       (uint32_t)strlen(c->params.config_text), 1, NULL);

    g_assert(config != NULL);
    for (uint32_t i = 0; i < config->backend_count; i++) {
        FakeBackend *b = g_new0(FakeBackend, 1);
        b->id = config->backends[i].id;
        b->region = config->places[config->backends[i].place].region;
        b->slots = config->backends[i].slots;
        g_strlcpy(b->address, config->backends[i].address, GW_ADDR_MAX);
        g_ptr_array_add(c->backends, b);
    }
    GwConfig_Free(config);
}

/* Starts all nodes, with the configuration in the table as version 1. */
FakeCluster *
FakeCluster_Create(const FakeClusterParams *params)
{
    FakeCluster *c = g_new0(FakeCluster, 1);

    c->params = *params;
    c->rng = GwRng_Make(params->seed);
    c->now_us = FAKE_SEC;
    c->nodes = g_new0(FakeNode, params->node_count);
    c->by_address = g_hash_table_new(g_str_hash, g_str_equal);
    c->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    c->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_row);
    c->hosts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    c->runs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    c->backends = g_ptr_array_new_with_free_func(g_free);
    c->calls = g_ptr_array_new_with_free_func(g_free);
    make_backends(c);
    FakeCluster_Change(c, params->config_text, GW_NONE);
    for (uint32_t i = 0; i < params->node_count; i++) {
        set_node_params(c, i);
        FakeCluster_Start(c, i);
    }
    return c;
}

void
FakeCluster_Free(FakeCluster *c)
{
    while (GwHeap_Top(&c->queue) != NULL) {
        FakeEvent *ev = GwHeap_Top(&c->queue);
        GwHeap_Remove(&c->queue, &ev->heap_place);
        free_event(ev);
    }
    GwHeap_Free(&c->queue);
    for (uint32_t i = 0; i < c->params.node_count; i++) {
        GwNode_Free(c->nodes[i].node);
    }
    g_hash_table_destroy(c->by_address);
    g_hash_table_destroy(c->by_id);
    g_hash_table_destroy(c->rows);
    g_hash_table_destroy(c->hosts);
    g_hash_table_destroy(c->runs);
    g_ptr_array_free(c->backends, TRUE);
    g_ptr_array_free(c->calls, TRUE);
    g_free(c->nodes);
    g_free(c);
}
