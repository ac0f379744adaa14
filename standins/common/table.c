#include "common/table.h"

struct GsTable_s {
    GTree *rows; /* in key order, which listings require */
    uint64_t version;
};

static void
row_free(gpointer p)
{
    GsRow *r = p;
    g_free(r->key);
    g_free(r->value);
    g_free(r);
}

static gint
key_compare(gconstpointer a, gconstpointer b, gpointer data)
{
    (void)data;
    return g_strcmp0(a, b);
}

GsTable *
GsTable_Create(void)
{
    GsTable *t = g_new0(GsTable, 1);
    t->rows = g_tree_new_full(key_compare, NULL, NULL, row_free);
    return t;
}

static void
put(GsTable *t, const char *key, const char *value, uint64_t version)
{
    GsRow *r = g_new0(GsRow, 1);
    r->key = g_strdup(key);
    r->value = g_strdup(value);
    r->version = version;
    g_tree_replace(t->rows, r->key, r);
}

static gboolean
copy_row(gpointer key, gpointer value, gpointer data)
{
    const GsRow *r = value;
    put(data, key, r->value, r->version);
    return FALSE;
}

/* Returns a snapshot that later writes do not affect. */
GsTable *
GsTable_Copy(const GsTable *t)
{
    GsTable *copy = GsTable_Create();
    copy->version = t->version;
    g_tree_foreach(t->rows, copy_row, copy);
    return copy;
}

void
GsTable_Free(GsTable *t)
{
    if (t != NULL) {
        g_tree_destroy(t->rows);
        g_free(t);
    }
}

/* Returns NULL when the row is absent. Valid until the next commit. */
const GsRow *
GsTable_Get(const GsTable *t, const char *key)
{
    return g_tree_lookup(t->rows, key);
}

typedef struct {
    const char *prefix;
    GPtrArray *found;
} Listing;

static gboolean
list_row(gpointer key, gpointer value, gpointer data)
{
    Listing *l = data;
    if (g_str_has_prefix(key, l->prefix)) {
        g_ptr_array_add(l->found, value);
    }
    return FALSE;
}

/* Returns the rows in key order, valid until the next commit. Free only the
 * array. */
GPtrArray *
GsTable_List(const GsTable *t, const char *prefix)
{
    Listing l = {.prefix = prefix, .found = g_ptr_array_new()};
    g_tree_foreach(t->rows, list_row, &l);
    return l.found;
}

/* Checks all rows before writing any, so that a conflict in the last row
 * leaves none written. */
int32_t
GsTable_Commit(GsTable *t, GsRow *rows, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        const GsRow *present = GsTable_Get(t, rows[i].key);
        uint64_t version = present != NULL ? present->version : 0;
        if (version != rows[i].version) {
            return (int32_t)i;
        }
    }
    for (uint32_t i = 0; i < count; i++) {
        rows[i].version = ++t->version;
        put(t, rows[i].key, rows[i].value, rows[i].version);
    }
    return -1;
}
