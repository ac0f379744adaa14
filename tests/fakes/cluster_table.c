/* The simulated platform table: versioned rows, transactions and faults. */
#include "fakes/cluster_internal.h"

#include <string.h>

#define STORE_ONE_WAY_US 2000
#define STORE_SLOW_US    900000
#define STORE_TIMEOUT_US 1000000
/* Punctuation and field names of one row in the table's JSON. */
#define ROW_JSON_BYTES 38

void
FakeTable_FreeRequest(GwTableRequest *request)
{
    if (request == NULL) {
        return;
    }
    for (uint32_t i = 0; i < request->row_count; i++) {
        g_free(request->rows[i].value);
    }
    g_free(request);
}

void
FakeTable_FreeReply(GwTableReply *reply)
{
    if (reply == NULL) {
        return;
    }
    for (uint32_t i = 0; i < reply->row_count; i++) {
        g_free(reply->rows[i].value);
    }
    g_free(reply->rows);
    g_free(reply);
}

void
FakeTable_Put(FakeCluster *c, const char *key, const char *value)
{
    GwRow *row = g_hash_table_lookup(c->rows, key);

    if (row == NULL) {
        row = g_new0(GwRow, 1);
        g_strlcpy(row->key, key, GW_ROW_KEY_MAX);
        g_hash_table_insert(c->rows, g_strdup(key), row);
    }
    g_free(row->value);
    row->value = g_strdup(value);
    row->len = (uint32_t)strlen(value);
    row->version++;
}

static FakeStoreMode
mode_of_request(FakeCluster *c)
{
    if (c->store != FAKE_STORE_RANDOM) {
        return c->store;
    }
    uint32_t draw = GwRng_Below(&c->rng, 10);
    return draw < 5 ? FAKE_STORE_OK : (FakeStoreMode)(1 + draw % 3);
}

/* Sends a request to the table. The reply or its loss is a later event. */
void
FakeTable_Request(FakeCluster *c, uint32_t node, GwTableRequest *req)
{
    FakeEvent *ev = FakeCluster_Post(
        c, FAKE_TABLE_RUN,
        c->now_us + GwRng_Jitter(&c->rng, STORE_ONE_WAY_US, STORE_ONE_WAY_US),
        node);
    ev->request = req;
}

static void
copy_row(FakeCluster *c, GwTableReply *reply, const GwRow *row)
{
    c->costs.table_bytes += strlen(row->key) + row->len + ROW_JSON_BYTES;
    reply->rows = g_renew(GwRow, reply->rows, reply->row_count + 1);
    GwRow *copy = &reply->rows[reply->row_count++];
    *copy = *row;
    copy->value = g_strndup(row->value, row->len);
}

static gint
by_key(gconstpointer a, gconstpointer b)
{
    return strcmp((*(GwRow *const *)a)->key, (*(GwRow *const *)b)->key);
}

static void
read_rows(FakeCluster *c, const GwTableRequest *req, GwTableReply *reply)
{
    GPtrArray *found = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value = NULL;

    c->table_reads++;
    g_hash_table_iter_init(&iter, c->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GwRow *row = value;
        bool match = req->op == GW_TABLE_GET
                         ? strcmp(row->key, req->rows[0].key) == 0
                         : g_str_has_prefix(row->key, req->rows[0].key);
        if (match) {
            g_ptr_array_add(found, row);
        }
    }
    g_ptr_array_sort(found, by_key);
    for (uint32_t i = 0; i < found->len; i++) {
        copy_row(c, reply, g_ptr_array_index(found, i));
    }
    g_ptr_array_free(found, TRUE);
}

static void
write_rows(FakeCluster *c, const GwTableRequest *req, GwTableReply *reply)
{
    c->table_writes++;
    for (uint32_t i = 0; i < req->row_count; i++) {
        const GwRow *present = g_hash_table_lookup(c->rows, req->rows[i].key);
        uint64_t version = present == NULL ? 0 : present->version;
        if (version != req->rows[i].version) {
            reply->status = GW_TABLE_CONFLICT;
            return;
        }
    }
    for (uint32_t i = 0; i < req->row_count; i++) {
        char *value = g_strndup(req->rows[i].value, req->rows[i].len);
        FakeTable_Put(c, req->rows[i].key, value);
        g_free(value);
        copy_row(c, reply, g_hash_table_lookup(c->rows, req->rows[i].key));
    }
}

/* Executes a request that reached the table, according to the fault mode. */
void
FakeTable_Run(FakeCluster *c, FakeEvent *ev)
{
    const GwTableRequest *req = ev->request;
    FakeStoreMode mode = mode_of_request(c);
    GwTableReply *reply = g_new0(GwTableReply, 1);
    int64_t wait = GwRng_Jitter(&c->rng, STORE_ONE_WAY_US, STORE_ONE_WAY_US);

    reply->token = req->token;
    reply->status = GW_TABLE_DONE;
    if (mode == FAKE_STORE_UNAVAILABLE) {
        reply->status = GW_TABLE_LOST;
        wait = STORE_TIMEOUT_US;
    }
    else if (req->op == GW_TABLE_TXN) {
        write_rows(c, req, reply);
    }
    else {
        read_rows(c, req, reply);
    }
    if (mode == FAKE_STORE_SLOW) {
        wait = STORE_SLOW_US;
    }
    if (mode == FAKE_STORE_LOSES_REPLIES && req->op == GW_TABLE_TXN) {
        FakeTable_FreeReply(reply);
        reply = g_new0(GwTableReply, 1);
        reply->token = req->token;
        reply->status = GW_TABLE_LOST;
        wait = STORE_TIMEOUT_US;
    }
    FakeEvent *answer =
        FakeCluster_Post(c, FAKE_TABLE_REPLY, c->now_us + wait, ev->node);
    answer->epoch = ev->epoch;
    answer->reply = reply;
}
