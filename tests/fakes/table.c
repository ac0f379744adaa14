#include "fakes/table.h"

#include <string.h>

static void
free_row(gpointer data)
{
    GwRow *row = data;
    g_free(row->value);
    g_free(row);
}

GwFakeTable *
GwFakeTable_Create(void)
{
    GwFakeTable *t = g_new0(GwFakeTable, 1);
    t->rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_row);
    return t;
}

void
GwFakeTable_Free(GwFakeTable *t)
{
    g_hash_table_destroy(t->rows);
    g_free(t);
}

const GwRow *
GwFakeTable_Get(const GwFakeTable *t, const char *key)
{
    return g_hash_table_lookup(t->rows, key);
}

uint64_t
GwFakeTable_Put(GwFakeTable *t, const char *key, const char *value)
{
    GwRow *row = g_hash_table_lookup(t->rows, key);

    t->writes++;
    if (row == NULL) {
        row = g_new0(GwRow, 1);
        g_strlcpy(row->key, key, GW_ROW_KEY_MAX);
        g_hash_table_insert(t->rows, row->key, row);
    }
    g_free(row->value);
    row->value = g_strdup(value);
    row->len = (uint32_t)strlen(value);
    row->version++;
    return row->version;
}

static void
add_row(GwTableReply *reply, const GwRow *row)
{
    reply->rows = g_renew(GwRow, reply->rows, reply->row_count + 1);
    GwRow *copy = &reply->rows[reply->row_count++];
    *copy = *row;
    copy->value = g_strndup(row->value, row->len);
}

static void
read_rows(GwFakeTable *t, const GwTableRequest *request, GwTableReply *reply)
{
    const char *key = request->rows[0].key;
    GHashTableIter iter;
    gpointer value = NULL;

    t->reads++;
    g_hash_table_iter_init(&iter, t->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GwRow *row = value;
        if (request->op == GW_TABLE_LIST ? g_str_has_prefix(row->key, key)
                                         : strcmp(row->key, key) == 0) {
            add_row(reply, row);
        }
    }
}

static void
write_rows(GwFakeTable *t, const GwTableRequest *request, GwTableReply *reply)
{
    for (uint32_t i = 0; i < request->row_count; i++) {
        const GwRow *row = GwFakeTable_Get(t, request->rows[i].key);
        if ((row == NULL ? 0 : row->version) != request->rows[i].version) {
            reply->status = GW_TABLE_CONFLICT;
            return;
        }
    }
    for (uint32_t i = 0; i < request->row_count; i++) {
        g_autofree char *value =
            g_strndup(request->rows[i].value, request->rows[i].len);
        GwFakeTable_Put(t, request->rows[i].key, value);
        add_row(reply, GwFakeTable_Get(t, request->rows[i].key));
    }
}

GwTableReply *
GwFakeTable_Execute(GwFakeTable *t, const GwTableRequest *request)
{
    GwTableReply *reply = g_new0(GwTableReply, 1);

    reply->token = request->token;
    reply->status = GW_TABLE_DONE;
    if (request->op == GW_TABLE_TXN) {
        write_rows(t, request, reply);
    }
    else {
        read_rows(t, request, reply);
    }
    return reply;
}

GwTableReply *
GwFakeTable_Lost(const GwTableRequest *request)
{
    GwTableReply *reply = g_new0(GwTableReply, 1);

    reply->token = request->token;
    reply->status = GW_TABLE_LOST;
    return reply;
}

void
GwFakeTable_FreeReply(GwTableReply *reply)
{
    for (uint32_t i = 0; i < reply->row_count; i++) {
        g_free(reply->rows[i].value);
    }
    g_free(reply->rows);
    g_free(reply);
}
