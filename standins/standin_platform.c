/* Stand-in of the platform: in-memory table service, object store and instance
 * list with fault injection. usage: standin_platform --listen ADDR */
#include "common/clock.h"
#include "common/fault.h"
#include "common/http.h"
#include "common/rng.h"
#include "common/table.h"

#include <popt.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
    char *name;
    char *peer_address;
    char *state;
    int64_t at_us;
} Change;

typedef struct {
    pthread_mutex_t lock; /* guards all below */
    GsTable *table;
    GsTable *old_table; /* state returned by stale reads */
    GsTable *objects;
    GsTable *old_objects;
    GPtrArray *changes; /* of the instance list, oldest first */
    GsFault fault;
    bool fault_store;
    bool fault_list;
    GsBudget reads;
    GsBudget writes;
    GwRng rng;
    int64_t lag_us;
    uint64_t read_count;
    uint64_t write_count;
    uint64_t conflict_count;
    uint64_t over_budget_count;
    uint64_t fault_count;
    uint64_t list_count;
} Platform;

static struct json_object *
row_json(const GsRow *row)
{
    struct json_object *o = json_object_new_object();
    json_object_object_add(o, "key", json_object_new_string(row->key));
    json_object_object_add(o, "version",
                           json_object_new_int64((int64_t)row->version));
    json_object_object_add(o, "value", json_object_new_string(row->value));
    return o;
}

/* Builds the answer of a read. The caller holds the lock and sends the answer
 * after releasing it. */
static int
read_rows(Platform *p, struct mg_connection *conn, const GsTable *t,
          struct json_object **out)
{
    char key[256];
    if (GsHttp_Query(conn, "key", key, sizeof(key))) {
        const GsRow *row = GsTable_Get(t, key);
        *out = row != NULL ? row_json(row) : json_object_new_object();
        return row != NULL ? 200 : 404;
    }
    if (!GsHttp_Query(conn, "prefix", key, sizeof(key))) {
        key[0] = '\0';
    }
    struct json_object *rows = json_object_new_array();
    GPtrArray *found = GsTable_List(t, key);
    for (uint32_t i = 0; i < found->len; i++) {
        json_object_array_add(rows, row_json(found->pdata[i]));
    }
    g_ptr_array_free(found, TRUE);
    *out = json_object_new_object();
    json_object_object_add(*out, "rows", rows);
    return 200;
}

/* Runs one transaction. The caller holds the lock. */
static int
commit(Platform *p, struct json_object *rows, struct json_object **out)
{
    uint32_t count = (uint32_t)json_object_array_length(rows);
    GsRow *txn = g_new0(GsRow, count + 1);
    for (uint32_t i = 0; i < count; i++) {
        struct json_object *r = json_object_array_get_idx(rows, i);
        txn[i].key = (char *)GsJson_Text(r, "key", "");
        txn[i].value = (char *)GsJson_Text(r, "value", "");
        txn[i].version = (uint64_t)GsJson_Int(r, "version", 0);
    }
    int32_t bad = GsTable_Commit(p->table, txn, count);
    *out = json_object_new_object();
    if (bad >= 0) {
        const GsRow *now = GsTable_Get(p->table, txn[bad].key);
        int64_t version = now != NULL ? (int64_t)now->version : 0;
        json_object_object_add(*out, "key",
                               json_object_new_string(txn[bad].key));
        json_object_object_add(*out, "version",
                               json_object_new_int64(version));
        p->conflict_count++;
    }
    else {
        struct json_object *versions = json_object_new_array();
        for (uint32_t i = 0; i < count; i++) {
            json_object_array_add(
                versions, json_object_new_int64((int64_t)txn[i].version));
        }
        json_object_object_add(*out, "versions", versions);
    }
    g_free(txn);
    return bad >= 0 ? 409 : 200;
}

/* Request of a store operation, read before the lock is taken. */
typedef struct {
    const char *uri;
    bool write;
    bool stale;
    bool create_only;
    char *body;
    struct json_object *json;
} StoreOp;

/* Runs an object operation. Objects are stored as rows; only create-only
 * requests check for an existing version. */
static int
object_op(Platform *p, struct mg_connection *conn, const StoreOp *op,
          struct json_object **out, char **raw)
{
    const char *name = op->uri + strlen("/objects");
    if (name[0] == '/') {
        name++;
    }
    const GsTable *t = op->stale ? p->old_objects : p->objects;
    if (!op->write && name[0] == '\0') {
        return read_rows(p, conn, t, out);
    }
    const GsRow *row = GsTable_Get(t, name);
    if (!op->write) {
        *raw = row != NULL ? g_strdup(row->value) : NULL;
        return row != NULL ? 200 : 404;
    }
    if (op->create_only && row != NULL) {
        return 412;
    }
    GsRow put = {.key = (char *)name,
                 .value = op->body,
                 .version = row != NULL ? row->version : 0};
    GsTable_Commit(p->objects, &put, 1);
    return 200;
}

/* Runs a store operation and sets at most one of `out` and `raw`. The caller
 * holds the lock. */
static int
run_op(Platform *p, struct mg_connection *conn, const StoreOp *op,
       struct json_object **out, char **raw)
{
    GsBudget *budget = op->write ? &p->writes : &p->reads;
    if (!GsBudget_Take(budget, GsClock_Now())) {
        p->over_budget_count++;
        return 503;
    }
    if (op->write) {
        p->write_count++;
    }
    else {
        p->read_count++;
    }
    if (g_str_has_prefix(op->uri, "/objects")) {
        return object_op(p, conn, op, out, raw);
    }
    if (strcmp(op->uri, "/table/txn") == 0) {
        struct json_object *rows = NULL;
        json_object_object_get_ex(op->json, "rows", &rows);
        return json_object_is_type(rows, json_type_array)
                   ? commit(p, rows, out)
                   : 400;
    }
    return read_rows(p, conn, op->stale ? p->old_table : p->table, out);
}

/* Draws the fault of a request. */
static GsFaultMode
draw_fault(Platform *p, bool list, uint32_t *slow_ms)
{
    pthread_mutex_lock(&p->lock);
    GsFaultMode mode =
        GsFault_Now(&p->fault, GsClock_Now(), GwRng_Below(&p->rng, 100));
    if (list ? !p->fault_list : !p->fault_store) {
        mode = GS_FAULT_NONE;
    }
    p->fault_count += mode != GS_FAULT_NONE;
    *slow_ms = p->fault.slow_ms;
    pthread_mutex_unlock(&p->lock);
    return mode;
}

static int
reply_op(struct mg_connection *conn, int status, struct json_object *out,
         char *raw, bool lost)
{
    if (lost) {
        GsHttp_Drop(conn);
    }
    else if (raw != NULL) {
        GsHttp_Reply(conn, status, "", raw);
    }
    else {
        const char *text =
            out != NULL
                ? json_object_to_json_string_ext(out, JSON_C_TO_STRING_PLAIN)
                : "{}";
        GsHttp_Reply(conn, status, "", text);
    }
    json_object_put(out);
    g_free(raw);
    return status;
}

/* Serves the table service and the object store with the current fault. */
static int
store(Platform *p, struct mg_connection *conn,
      const struct mg_request_info *ri)
{
    uint32_t slow_ms = 0;
    GsFaultMode mode = draw_fault(p, false, &slow_ms);
    if (mode == GS_FAULT_DOWN) {
        return GsHttp_Drop(conn);
    }
    if (mode == GS_FAULT_REFUSE) {
        return GsHttp_Reply(conn, 503, "", "{}");
    }
    const char *match = mg_get_header(conn, "If-None-Match");
    StoreOp op = {.uri = ri->local_uri,
                  .write = strcmp(ri->request_method, "GET") != 0,
                  .stale = mode == GS_FAULT_STALE,
                  .create_only = match != NULL};
    op.body = op.write ? GsHttp_ReadBody(conn) : NULL;
    if (op.write && op.body == NULL) {
        return GsHttp_Drop(conn);
    }
    op.json = op.write ? json_tokener_parse(op.body) : NULL;
    if (mode == GS_FAULT_SLOW) {
        GsClock_Sleep((int64_t)slow_ms * 1000);
    }
    struct json_object *out = NULL;
    char *raw = NULL;
    pthread_mutex_lock(&p->lock);
    int status = run_op(p, conn, &op, &out, &raw);
    pthread_mutex_unlock(&p->lock);
    json_object_put(op.json);
    g_free(op.body);
    return reply_op(conn, status, out, raw, mode == GS_FAULT_LOST);
}

/* POST /control/faults. Replaces the current fault; "stale" freezes the state
 * that reads return. "target": store (default), list or all. */
static int
control_faults(Platform *p, struct mg_connection *conn)
{
    struct json_object *o = GsHttp_ReadJson(conn);
    GsFaultMode mode = GS_FAULT_NONE;
    if (o == NULL || !GsFault_Parse(GsJson_Text(o, "mode", ""), &mode)) {
        json_object_put(o);
        return GsHttp_Reply(conn, 400, "", "{}");
    }
    const char *target = GsJson_Text(o, "target", "store");
    int64_t for_us = GsJson_Int(o, "for_ms", 3600000) * 1000;
    pthread_mutex_lock(&p->lock);
    p->fault = (GsFault){.mode = mode,
                         .until_us = GsClock_Now() + for_us,
                         .slow_ms = (uint32_t)GsJson_Int(o, "slow_ms", 1000),
                         .share_percent =
                             (uint32_t)GsJson_Int(o, "share_percent", 100)};
    p->fault_store = strcmp(target, "list") != 0;
    p->fault_list = strcmp(target, "store") != 0;
    if (mode == GS_FAULT_STALE) {
        GsTable_Free(p->old_table);
        GsTable_Free(p->old_objects);
        p->old_table = GsTable_Copy(p->table);
        p->old_objects = GsTable_Copy(p->objects);
    }
    pthread_mutex_unlock(&p->lock);
    json_object_put(o);
    return GsHttp_Reply(conn, 200, "", "{}");
}

/* POST /control/instances: changes the list; visible after the lag. */
static int
control_instances(Platform *p, struct mg_connection *conn)
{
    struct json_object *o = GsHttp_ReadJson(conn);
    if (o == NULL || GsJson_Text(o, "name", NULL) == NULL) {
        json_object_put(o);
        return GsHttp_Reply(conn, 400, "", "{}");
    }
    Change *c = g_new0(Change, 1);
    c->name = g_strdup(GsJson_Text(o, "name", ""));
    c->peer_address = g_strdup(GsJson_Text(o, "peer_address", ""));
    c->state = g_strdup(GsJson_Text(o, "state", "live"));
    c->at_us = GsClock_Now();
    pthread_mutex_lock(&p->lock);
    g_ptr_array_add(p->changes, c);
    pthread_mutex_unlock(&p->lock);
    json_object_put(o);
    return GsHttp_Reply(conn, 200, "", "{}");
}

/* Returns the list as of `at_us`. The caller holds the lock. */
static struct json_object *
instances_json(const Platform *p, int64_t at_us)
{
    GHashTable *last = g_hash_table_new(g_str_hash, g_str_equal);
    for (uint32_t i = 0; i < p->changes->len; i++) {
        Change *c = p->changes->pdata[i];
        if (c->at_us <= at_us) {
            g_hash_table_replace(last, c->name, c);
        }
    }
    struct json_object *list = json_object_new_array();
    GHashTableIter it;
    gpointer value = NULL;
    g_hash_table_iter_init(&it, last);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const Change *c = value;
        if (strcmp(c->state, "gone") == 0) {
            continue;
        }
        struct json_object *o = json_object_new_object();
        json_object_object_add(o, "name", json_object_new_string(c->name));
        json_object_object_add(o, "peer_address",
                               json_object_new_string(c->peer_address));
        json_object_object_add(o, "state", json_object_new_string(c->state));
        json_object_array_add(list, o);
    }
    g_hash_table_destroy(last);
    struct json_object *out = json_object_new_object();
    json_object_object_add(out, "instances", list);
    return out;
}

static int
instances(Platform *p, struct mg_connection *conn)
{
    uint32_t slow_ms = 0;
    GsFaultMode mode = draw_fault(p, true, &slow_ms);
    if (mode == GS_FAULT_DOWN || mode == GS_FAULT_LOST) {
        return GsHttp_Drop(conn);
    }
    if (mode == GS_FAULT_REFUSE) {
        return GsHttp_Reply(conn, 503, "", "{}");
    }
    if (mode == GS_FAULT_SLOW) {
        GsClock_Sleep((int64_t)slow_ms * 1000);
    }
    pthread_mutex_lock(&p->lock);
    p->list_count++;
    struct json_object *out = instances_json(p, GsClock_Now() - p->lag_us);
    pthread_mutex_unlock(&p->lock);
    return GsHttp_ReplyJson(conn, 200, out);
}

static int
stats(Platform *p, struct mg_connection *conn)
{
    struct json_object *o = json_object_new_object();
    pthread_mutex_lock(&p->lock);
    const struct {
        const char *name;
        uint64_t value;
    } counts[] = {{"reads", p->read_count},
                  {"writes", p->write_count},
                  {"conflicts", p->conflict_count},
                  {"over_budget", p->over_budget_count},
                  {"faults", p->fault_count},
                  {"list_reads", p->list_count}};
    pthread_mutex_unlock(&p->lock);
    for (uint32_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
        json_object_object_add(
            o, counts[i].name,
            json_object_new_int64((int64_t)counts[i].value));
    }
    return GsHttp_ReplyJson(conn, 200, o);
}

static int
handle(struct mg_connection *conn, void *data)
{
    Platform *p = data;
    const struct mg_request_info *ri = mg_get_request_info(conn);
    const char *uri = ri->local_uri;
    if (strcmp(uri, "/control/faults") == 0) {
        return control_faults(p, conn);
    }
    if (strcmp(uri, "/control/instances") == 0) {
        return control_instances(p, conn);
    }
    if (strcmp(uri, "/instances") == 0) {
        return instances(p, conn);
    }
    if (strcmp(uri, "/stats") == 0) {
        return stats(p, conn);
    }
    if (g_str_has_prefix(uri, "/table/") ||
        g_str_has_prefix(uri, "/objects")) {
        return store(p, conn, ri);
    }
    return GsHttp_Reply(conn, 404, "", "{}");
}

static void
free_change(gpointer p)
{
    Change *c = p;
    g_free(c->name);
    g_free(c->peer_address);
    g_free(c->state);
    g_free(c);
}

static void
close_platform(Platform *p)
{
    GsTable_Free(p->table);
    GsTable_Free(p->old_table);
    GsTable_Free(p->objects);
    GsTable_Free(p->old_objects);
    g_ptr_array_free(p->changes, TRUE);
}

int
main(int argc, const char **argv)
{
    char *listen = NULL;
    int lag_ms = 1000;
    int reads = 2000;
    int writes = 400;
    int seed = 1;
    struct poptOption options[] = {
        {"listen", 0, POPT_ARG_STRING, &listen, 0, "address", "IP:PORT"},
        {"list-lag-ms", 0, POPT_ARG_INT, &lag_ms, 0,
         "lag of the instance list", NULL},
        {"reads-per-s", 0, POPT_ARG_INT, &reads, 0, "0: no limit", NULL},
        {"writes-per-s", 0, POPT_ARG_INT, &writes, 0, "0: no limit", NULL},
        {"seed", 0, POPT_ARG_INT, &seed, 0, "seed of the fault draws", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext pc = poptGetContext(NULL, argc, argv, options, 0);
    if (poptGetNextOpt(pc) < -1 || listen == NULL) {
        poptPrintUsage(pc, stderr, 0);
        return 2;
    }
    GsHttp_BlockSignals();
    Platform p = {.lock = PTHREAD_MUTEX_INITIALIZER,
                  .table = GsTable_Create(),
                  .objects = GsTable_Create(),
                  .changes = g_ptr_array_new_with_free_func(free_change),
                  .reads = {.per_second = (uint32_t)reads},
                  .writes = {.per_second = (uint32_t)writes},
                  .rng = GwRng_Make((uint64_t)seed),
                  .lag_us = (int64_t)lag_ms * 1000};
    GsHttpOptions http = {
        .ports = listen, .threads = 160, .handler = handle, .data = &p};
    struct mg_context *ctx = GsHttp_Start(&http);
    if (ctx == NULL) {
        fprintf(stderr, "standin_platform: cannot listen on %s\n", listen);
    }
    else {
        GsHttp_WaitForStop();
        mg_stop(ctx);
    }
    close_platform(&p);
    free(listen);
    poptFreeContext(pc);
    return ctx == NULL;
}
