#include "fakes/change_table.h"

#include <string.h>

static void
free_row(void *data)
{
    GwRow *row = data;
    g_free(row->value);
    g_free(row);
}

static void
free_late(void *data)
{
    GwTableRequest *request = data;
    for (uint32_t i = 0; i < request->row_count; i++) {
        g_free(request->rows[i].value);
    }
    g_free(request);
}

ChangeTable *
ChangeTable_Create(void)
{
    ChangeTable *t = g_new0(ChangeTable, 1);
    t->rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_row);
    t->late = g_ptr_array_new_with_free_func(free_late);
    return t;
}

void
ChangeTable_Free(ChangeTable *t)
{
    g_hash_table_destroy(t->rows);
    g_ptr_array_free(t->late, TRUE);
    g_free(t);
}

static void
add_reply(GwTableReply *reply, const GwRow *row, bool with_value)
{
    reply->rows = g_renew(GwRow, reply->rows, reply->row_count + 1);
    GwRow *copy = &reply->rows[reply->row_count++];
    *copy = *row;
    copy->value = with_value ? g_strdup(row->value) : NULL;
}

/* Current version of a row; 0 if absent. */
static uint64_t
version_of(const ChangeTable *t, const char *key)
{
    const GwRow *row = g_hash_table_lookup(t->rows, key);
    return row != NULL ? row->version : 0;
}

static void
do_txn(ChangeTable *t, const GwTableRequest *request, GwTableReply *reply)
{
    for (uint32_t i = 0; i < request->row_count; i++) {
        GwRow now = request->rows[i];
        now.version = version_of(t, now.key);
        if (now.version != request->rows[i].version) {
            reply->status = GW_TABLE_CONFLICT;
            add_reply(reply, &now, false);
            return;
        }
    }
    for (uint32_t i = 0; i < request->row_count; i++) {
        GwRow *row = g_new0(GwRow, 1);
        *row = request->rows[i];
        row->value = g_strdup(row->value);
        row->version = ++t->versions;
        g_hash_table_replace(t->rows, row->key, row);
        add_reply(reply, row, false);
    }
    reply->status = GW_TABLE_DONE;
}

static void
do_get(const ChangeTable *t, const GwTableRequest *request,
       GwTableReply *reply)
{
    const GwRow *row = g_hash_table_lookup(t->rows, request->rows[0].key);
    reply->status = GW_TABLE_DONE;
    if (row != NULL) {
        add_reply(reply, row, true);
    }
}

static void
delay_write(ChangeTable *t, const GwTableRequest *request)
{
    GwTableRequest *copy = g_new0(GwTableRequest, 1);
    *copy = *request;
    for (uint32_t i = 0; i < copy->row_count; i++) {
        copy->rows[i].value = g_strdup(copy->rows[i].value);
    }
    g_ptr_array_add(t->late, copy);
}

void
ChangeTable_Execute(ChangeTable *t, const GwTableRequest *request,
                    ChangeFate fate, GwTableReply *reply)
{
    *reply = (GwTableReply){.token = request->token};
    if (fate == FATE_DONE || fate == FATE_LOST_AFTER) {
        if (request->op == GW_TABLE_TXN) {
            do_txn(t, request, reply);
        }
        else {
            do_get(t, request, reply);
        }
    }
    if (fate == FATE_DELAYED && request->op == GW_TABLE_TXN) {
        delay_write(t, request);
    }
    if (fate != FATE_DONE) {
        ChangeTable_ClearReply(reply);
        reply->status = GW_TABLE_LOST;
    }
}

void
ChangeTable_ClearReply(GwTableReply *reply)
{
    for (uint32_t i = 0; i < reply->row_count; i++) {
        g_free(reply->rows[i].value);
    }
    g_free(reply->rows);
    *reply = (GwTableReply){0};
}

bool
ChangeTable_Deliver(ChangeTable *t, uint32_t pick)
{
    if (t->late->len == 0) {
        return false;
    }
    GwTableRequest *request =
        g_ptr_array_steal_index_fast(t->late, pick % t->late->len);
    GwTableReply reply = {0};
    do_txn(t, request, &reply);
    ChangeTable_ClearReply(&reply);
    free_late(request);
    return true;
}

const char *
ChangeTable_Get(const ChangeTable *t, const char *key)
{
    const GwRow *row = g_hash_table_lookup(t->rows, key);
    return row != NULL ? row->value : NULL;
}
