#include "config/change.h"

#include "config/change_internal.h"
#include "config/sync.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* Returns whether `id` is 1 to 64 of A-Z a-z 0-9 . _ -; the id becomes part
 * of a row's key. */
bool
GwRequestId_IsValid(const char *id)
{
    size_t len = strlen(id);
    if (len == 0 || len >= GW_REQUEST_ID_MAX) {
        return false;
    }
    for (size_t i = 0; i < len; i++) {
        if (!g_ascii_isalnum(id[i]) && strchr("._-", id[i]) == NULL) {
            return false;
        }
    }
    return true;
}

/* Ends the run with an outcome. */
static void
finish(GwChange *c, GwChangeOutcome outcome, uint64_t version)
{
    c->state = CHANGE_END;
    c->result.outcome = outcome;
    c->result.version = version;
}

static void set_reason(GwChange *c, GwResultCode code, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

static void
set_reason(GwChange *c, GwResultCode code, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    g_vsnprintf(c->result.message, sizeof(c->result.message), format, args);
    va_end(args);
    c->result.code = code;
}

static void
accept(GwChange *c, uint64_t version)
{
    set_reason(c, GW_RESULT_OK, "version %" PRIu64, version);
    if (c->text != NULL && version == c->head_version + 1) {
        c->result.document = c->text;
    }
    finish(c, GW_CHANGE_ACCEPTED, version);
}

/* Starts a refusal, for the reason that is set. A transaction of this request
 * id, from this entry or from an entry that crashed during the change, may
 * still be in transit to the table and would take effect after the operator
 * got "refused". A void row under the request id makes that transaction fail,
 * since every such transaction requires the row to be absent. */
static void
refuse(GwChange *c)
{
    c->is_refusing = true;
    c->state = CHANGE_FENCE;
#if GW_MUTANT == 60
    finish(c, GW_CHANGE_REFUSED, c->head_version);
#endif
}

/* Sets the reason from an error, and frees the error. */
static void
set_reason_from_error(GwChange *c, GError *error)
{
    if (error == NULL) {
        set_reason(c, GW_RESULT_INVALID, "the change could not be made");
        return;
    }
    set_reason(c, (GwResultCode)error->code, "%s", error->message);
    g_error_free(error);
}

static void
init_change(GwChange *c, const GwChangeRequest *request)
{
    c->request = *request;
    c->tries_left = GW_CHANGE_LOST_MAX;
    c->rebases_left = GW_CHANGE_REBASES_MAX;
    c->state = CHANGE_READ_OP;
}

/* Starts a change. A document that is invalid by itself is refused at once,
 * since no transaction can contain it. */
GwChange *
GwChange_Create(const GwChangeRequest *request)
{
    GwChange *c = g_new0(GwChange, 1);
    init_change(c, request);
    if (!GwRequestId_IsValid(request->request_id)) {
        set_reason(c, GW_RESULT_INVALID,
                   "request_id: 1 to %d of A-Z a-z 0-9 . _ -",
                   GW_REQUEST_ID_MAX - 1);
        finish(c, GW_CHANGE_REFUSED, 0);
        return c;
    }
    if (request->kind == GW_CHANGE_DOCUMENT) {
        GError *error = NULL;
        GwConfig *parsed = GwConfig_Parse(
            request->document, (uint32_t)strlen(request->document), 1, &error);
        if (parsed == NULL) {
            set_reason_from_error(c, error);
            finish(c, GW_CHANGE_REFUSED, 0);
        }
        GwConfig_Free(parsed);
    }
    return c;
}

GwChange *
GwChange_CreateResolve(const char *request_id)
{
    GwChangeRequest request = {.kind = GW_CHANGE_DOCUMENT};
    GwChange *c = g_new0(GwChange, 1);
    g_strlcpy(request.request_id, request_id, sizeof(request.request_id));
    init_change(c, &request);
    c->is_resolving = true;
    c->is_refusing = true;
    set_reason(c, GW_RESULT_NOT_FOUND,
               "no change was applied under this request id, and none "
               "can be from now on");
    if (!GwRequestId_IsValid(request_id)) {
        set_reason(c, GW_RESULT_INVALID, "request_id: not a valid request id");
        finish(c, GW_CHANGE_REFUSED, 0);
    }
    return c;
}

void
GwChange_Free(GwChange *c)
{
    if (c != NULL) {
        g_free(c->text);
        g_free(c);
    }
}

const GwChangeResult *
GwChange_Result(const GwChange *c)
{
    return &c->result;
}

/* Handles a lost reply: repeats the step, or ends as pending. */
static void
handle_lost_reply(GwChange *c)
{
    if (c->tries_left > 0) {
        c->tries_left--;
        return;
    }
    set_reason(c, GW_RESULT_PENDING,
               "the platform's table does not answer; query "
               "operation %s again",
               c->request.request_id);
    finish(c, GW_CHANGE_PENDING, c->head_version);
}

/* Ends the run with the outcome that the row of the request id records. */
static void
handle_op_found(GwChange *c, const char *value)
{
    uint64_t version = 0;
    uint64_t content = 0;
    int code = 0;
    int at = 0;
    if (sscanf(value, "void %d %n", &code, &at) == 1) {
        if (!c->is_refusing || c->is_resolving) {
            set_reason(c, (GwResultCode)code,
                       "already refused under this request id: %s",
                       value + at);
        }
        finish(c, GW_CHANGE_REFUSED, c->head_version);
        return;
    }
    if (sscanf(value, "%" SCNu64 " %" SCNx64, &version, &content) != 2) {
        set_reason(c, GW_RESULT_CORRUPT,
                   "unreadable row of the request id: %.40s", value);
        finish(c, GW_CHANGE_PENDING, c->head_version);
        return;
    }
    bool same = c->is_resolving || content == c->request.content;
#if GW_MUTANT == 67
    same = true;
#endif
    if (same) {
        accept(c, version);
        return;
    }
    set_reason(c, GW_RESULT_DUPLICATE,
               "the request id was used for another change, version %" PRIu64,
               version);
    finish(c, GW_CHANGE_REFUSED, version);
}

/* Handles an absent row of the request id. Before the first write the row
 * is expected to be absent; after a lost reply the same write is sent
 * again, which is harmless, as only one of the two can find the row absent. */
static void
handle_op_absent(GwChange *c)
{
    if (c->is_refusing) {
        refuse(c);
    }
    else if (c->has_conflict) {
        c->has_conflict = false;
        bool rebase =
            c->request.kind == GW_CHANGE_EDIT && !c->request.has_base;
        if (rebase && c->rebases_left > 0) {
            c->rebases_left--;
            c->state = CHANGE_READ_HEAD;
            return;
        }
        set_reason(c, GW_RESULT_CONFLICT,
                   "another change came first, after version %" PRIu64,
                   c->head_version);
        refuse(c);
    }
    else if (c->text != NULL) {
        c->state = CHANGE_WRITE;
    }
    else {
        c->state = CHANGE_READ_HEAD;
    }
}

static void
handle_head(GwChange *c, const GwRow *row)
{
    c->head_version = 0;
    c->head_checksum = 0;
    c->head_row = row == NULL ? 0 : row->version;
    if (row != NULL && sscanf(row->value, "%" SCNu64 " %" SCNx64,
                              &c->head_version, &c->head_checksum) != 2) {
        set_reason(c, GW_RESULT_CORRUPT, "unreadable head row: %.40s",
                   row->value);
        refuse(c);
        return;
    }
    if (c->request.has_base && c->request.base_version != c->head_version) {
        set_reason(c, GW_RESULT_CONFLICT,
                   "base version %" PRIu64
                   " is not the present version %" PRIu64,
                   c->request.base_version, c->head_version);
        refuse(c);
        return;
    }
    c->state = CHANGE_READ_DOC;
    if (c->request.kind == GW_CHANGE_DOCUMENT) {
        GwChange_MakeDocument(c, c->request.document);
    }
    else if (c->request.kind == GW_CHANGE_EDIT && c->head_version == 0) {
        set_reason(c, GW_RESULT_NOT_READY,
                   "no document is in force yet; apply one first");
        refuse(c);
    }
}

static void
handle_document(GwChange *c, const GwRow *row)
{
    uint64_t wanted = c->request.kind == GW_CHANGE_ROLLBACK
                          ? c->request.rollback_version
                          : c->head_version;
    if (row == NULL) {
        set_reason(c, GW_RESULT_NOT_FOUND,
                   "there is no document of version %" PRIu64, wanted);
        refuse(c);
        return;
    }
    if (c->request.kind == GW_CHANGE_EDIT &&
        XXH64(row->value, strlen(row->value), 0) != c->head_checksum) {
        set_reason(c, GW_RESULT_CORRUPT,
                   "the document of version %" PRIu64
                   " does not match its checksum",
                   wanted);
        refuse(c);
        return;
    }
    GwChange_MakeDocument(c, row->value);
}

/* Computes and validates the new document, for the write that follows. */
void
GwChange_MakeDocument(GwChange *c, const char *text)
{
    GError *error = NULL;
    g_free(c->text);
    c->text = c->request.kind == GW_CHANGE_EDIT
                  ? c->request.make(c->request.ctx, text, &error)
                  : g_strdup(text);
    if (c->text == NULL) {
        set_reason_from_error(c, error);
        refuse(c);
        return;
    }
    GwConfig *parsed = GwConfig_Parse(c->text, (uint32_t)strlen(c->text),
                                      c->head_version + 1, &error);
    if (parsed == NULL) {
        set_reason_from_error(c, error);
        refuse(c);
        return;
    }
    c->checksum = parsed->checksum;
    GwConfig_Free(parsed);
    c->state = CHANGE_WRITE;
}

/* Handles the reply to the transaction. A conflict may stem from this
 * change's own earlier write that took effect late, whichever row the reply
 * names; so the row of the request id is read before the outcome is
 * decided. */
static void
handle_write(GwChange *c, GwTableStatus status)
{
    if (status == GW_TABLE_DONE) {
        accept(c, c->head_version + 1);
        return;
    }
    c->has_conflict = status == GW_TABLE_CONFLICT;
    c->state = CHANGE_READ_OP;
#if GW_MUTANT == 62
    if (c->has_conflict) {
        accept(c, c->head_version + 1);
    }
#elif GW_MUTANT == 64
    if (c->has_conflict) {
        finish(c, GW_CHANGE_REFUSED, c->head_version);
    }
#endif
}

static void
handle_fence(GwChange *c, GwTableStatus status)
{
    if (status == GW_TABLE_DONE) {
        finish(c, GW_CHANGE_REFUSED, c->head_version);
        return;
    }
    c->state = CHANGE_READ_OP;
    handle_lost_reply(c); /* bounds the run if reads are stale */
#if GW_MUTANT == 66
    finish(c, GW_CHANGE_REFUSED, c->head_version);
#endif
}

/* Handles the reply to the last request. */
void
GwChange_Reply(GwChange *c, const GwTableReply *reply)
{
    ChangeState requested = c->state;
    const GwRow *row = reply->row_count > 0 && reply->rows[0].version != 0
                           ? &reply->rows[0]
                           : NULL;
    if (reply->status == GW_TABLE_LOST) {
        handle_lost_reply(c);
        if (c->state == CHANGE_END) {
            return;
        }
#if GW_MUTANT == 63
        if (requested == CHANGE_WRITE) {
            accept(c, c->head_version + 1);
            return;
        }
#endif
        if (requested == CHANGE_WRITE || requested == CHANGE_FENCE) {
            c->state = CHANGE_READ_OP;
        }
        return;
    }
    switch (requested) {
    case CHANGE_READ_OP:
        if (row != NULL) {
            handle_op_found(c, row->value);
        }
        else {
            handle_op_absent(c);
        }
        break;
    case CHANGE_READ_HEAD:
        handle_head(c, row);
        break;
    case CHANGE_READ_DOC:
        handle_document(c, row);
        break;
    case CHANGE_WRITE:
        handle_write(c, reply->status);
        break;
    case CHANGE_FENCE:
        handle_fence(c, reply->status);
        break;
    case CHANGE_END:
        break;
    }
}
