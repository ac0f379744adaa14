/* The table requests of a change. */
#include "config/change_internal.h"
#include "config/sync.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <string.h>

static GwRow *
add_row(GwTableRequest *out, uint64_t version, char *value)
{
    GwRow *row = &out->rows[out->row_count++];
    row->version = version;
    row->value = value;
    row->len = value == NULL ? 0 : (uint32_t)strlen(value);
    return row;
}

static void
set_key(GwRow *row, const char *prefix, uint64_t version)
{
    g_snprintf(row->key, sizeof(row->key), "%s%020" PRIu64, prefix, version);
}

static void
set_op_key(GwRow *row, const GwChange *c)
{
    g_snprintf(row->key, sizeof(row->key), "%s%s", GW_KEY_OP_PREFIX,
               c->request.request_id);
}

/* Builds the log entry: operator, request id, time, summary and version. */
static char *
make_log_entry(const GwChange *c, uint64_t version)
{
    struct json_object *entry = json_object_new_object();
    json_object_object_add(entry, "version",
                           json_object_new_int64((int64_t)version));
    json_object_object_add(entry, "operator",
                           json_object_new_string(c->request.operator_name));
    json_object_object_add(entry, "request_id",
                           json_object_new_string(c->request.request_id));
    json_object_object_add(entry, "when_ms",
                           json_object_new_int64(c->request.when_ms));
    json_object_object_add(entry, "what",
                           json_object_new_string(c->request.summary != NULL
                                                      ? c->request.summary
                                                      : ""));
    char *text = g_strdup(json_object_to_json_string_ext(
        entry, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
    json_object_put(entry);
    return text;
}

/* Builds the transaction of four rows. */
static void
fill_write(const GwChange *c, GwTableRequest *out)
{
    uint64_t version = c->head_version + 1;
#if GW_MUTANT == 65
    version++;
#endif
    out->op = GW_TABLE_TXN;
    GwRow *head = add_row(
        out, c->head_row,
        g_strdup_printf("%" PRIu64 " %016" PRIx64, version, c->checksum));
    g_strlcpy(head->key, GW_KEY_HEAD, sizeof(head->key));
    set_key(add_row(out, 0, g_strdup(c->text)), GW_KEY_DOC_PREFIX, version);
    set_key(add_row(out, 0, make_log_entry(c, version)), GW_KEY_LOG_PREFIX,
            version);
#if GW_MUTANT != 61
    set_op_key(add_row(out, 0,
                       g_strdup_printf("%" PRIu64 " %016" PRIx64, version,
                                       c->request.content)),
               c);
#endif
}

static void
fill_fence(const GwChange *c, GwTableRequest *out)
{
    out->op = GW_TABLE_TXN;
    set_op_key(add_row(out, 0,
                       g_strdup_printf("void %d %s", (int)c->result.code,
                                       c->result.message)),
               c);
}

bool
GwChange_Next(GwChange *c, GwTableRequest *out)
{
    *out = (GwTableRequest){.op = GW_TABLE_GET};
    switch (c->state) {
    case CHANGE_READ_OP:
        set_op_key(add_row(out, 0, NULL), c);
        return true;
    case CHANGE_READ_HEAD:
        g_strlcpy(add_row(out, 0, NULL)->key, GW_KEY_HEAD, GW_ROW_KEY_MAX);
        return true;
    case CHANGE_READ_DOC:
        set_key(add_row(out, 0, NULL), GW_KEY_DOC_PREFIX,
                c->request.kind == GW_CHANGE_ROLLBACK
                    ? c->request.rollback_version
                    : c->head_version);
        return true;
    case CHANGE_WRITE:
        fill_write(c, out);
        return true;
    case CHANGE_FENCE:
        fill_fence(c, out);
        return true;
    case CHANGE_END:
        return false;
    }
    return false;
}

/* Frees the values of a request from GwChange_Next. */
void
GwChange_ClearRequest(GwTableRequest *request)
{
    for (uint32_t i = 0; i < request->row_count; i++) {
        g_free(request->rows[i].value);
    }
    *request = (GwTableRequest){0};
}
