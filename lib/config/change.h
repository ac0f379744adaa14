/* One operator's change of the configuration, from request to a certain
 * outcome.
 *
 * A change is one transaction of four rows (head, document, log entry, and
 * the row of the operator's request id), conditional on the head as read
 * and on the request id being unused. The reply can be lost after the write
 * took effect, or the write can be delayed and take effect later. So an
 * outcome rests only on facts that cannot change any more:
 *
 * - accepted: the transaction was answered as done, or the row of the
 *   request id exists with a version;
 * - refused: the row of the request id exists as void, which makes every
 *   late write of that id fail;
 * - pending: neither is known yet, since the table did not answer.
 *
 * The module does no I/O: the calling code sends the requests to the table
 * and passes the replies back. */
#ifndef GW_CONFIG_CHANGE_H
#define GW_CONFIG_CHANGE_H

#include "godwitridge.h"

#define GW_KEY_LOG_PREFIX     "config/log/" /* + %020 version */
#define GW_REQUEST_ID_MAX     65
#define GW_OPERATOR_MAX       65
#define GW_CHANGE_MESSAGE_MAX 512
/* Lost replies after which a run ends as pending. */
#define GW_CHANGE_LOST_MAX 5
/* Restarts from the new head after a conflict. */
#define GW_CHANGE_REBASES_MAX 8

typedef enum {
    GW_CHANGE_ACCEPTED = 1,
    GW_CHANGE_REFUSED = 2,
    GW_CHANGE_PENDING = 3
} GwChangeOutcome;

typedef enum {
    GW_CHANGE_DOCUMENT = 1, /* a complete document */
    GW_CHANGE_EDIT = 2,     /* computed from the document in force */
    GW_CHANGE_ROLLBACK = 3  /* an older document, as a new version */
} GwChangeKind;

/* Computes the new document from the one in force. Returns text to be freed
 * with g_free, or NULL with `error` set. Must be deterministic: after a
 * conflict the function is called again. */
typedef char *(*GwChangeEditFn)(void *ctx, const char *text, GError **error);

typedef struct {
    char request_id[GW_REQUEST_ID_MAX];
    char operator_name[GW_OPERATOR_MAX];
    int64_t when_ms;     /* for the log entry */
    const char *summary; /* for the log entry; borrowed */
    uint64_t content; /* hash of the change; detects reuse of the request id */
    bool has_base;
    uint64_t base_version; /* the change applies to this version only */
    GwChangeKind kind;
    const char *document; /* DOCUMENT; borrowed */
    GwChangeEditFn make;  /* EDIT */
    void *ctx;
    uint64_t rollback_version; /* ROLLBACK */
} GwChangeRequest;

typedef struct {
    GwChangeOutcome outcome;
    GwResultCode code;
    char message[GW_CHANGE_MESSAGE_MAX];
    uint64_t version;     /* the new version if accepted, else that in force */
    const char *document; /* if this run's write was accepted, else NULL */
} GwChangeResult;

typedef struct GwChange_s GwChange;

bool GwRequestId_IsValid(const char *id);
GwChange *GwChange_Create(const GwChangeRequest *request);
/* Determines the outcome of a request id, and makes it a refusal if the id
 * was not used. */
GwChange *GwChange_CreateResolve(const char *request_id);
void GwChange_Free(GwChange *c);
/* Fills in the next request; returns false once the result is final. Free
 * the request with GwChange_ClearRequest. */
bool GwChange_Next(GwChange *c, GwTableRequest *out);
void GwChange_ClearRequest(GwTableRequest *request);
void GwChange_Reply(GwChange *c, const GwTableReply *reply);
const GwChangeResult *GwChange_Result(const GwChange *c);

#endif
