/* The life of one operator's change, from request to a certain outcome.
 *
 * A change is one transaction of four rows (head, document, log entry, and
 * the row of the operator's request id), conditional on the head as read and
 * on the request id being unused. Its answer can be lost after the write took
 * effect, or the write can be delayed and take effect later. So an outcome
 * rests only on facts that can't change any more:
 *
 * - accepted: the transaction was answered as done, or the row of the request
 *   id is there with a version;
 * - refused: the row of the request id is there as void, which makes every
 *   late write of that id fail;
 * - pending: neither is known yet, since the store did not answer.
 *
 * Pure: the caller carries requests to the table and replies back. */
#ifndef GW_CONFIG_CHANGE_H
#define GW_CONFIG_CHANGE_H

#include "godwitridge.h"

#define GW_KEY_LOG_PREFIX     "config/log/" /* + %020 version */
#define GW_REQUEST_ID_MAX     65
#define GW_OPERATOR_MAX       65
#define GW_CHANGE_TRIES       5 /* requests without an answer */
#define GW_CHANGE_REBASES     8 /* fresh starts after a lost race */
#define GW_CHANGE_MESSAGE_MAX 512

typedef enum {
    GW_CHANGE_ACCEPTED = 1,
    GW_CHANGE_REFUSED = 2,
    GW_CHANGE_PENDING = 3
} GwChangeOutcome;

typedef enum {
    GW_CHANGE_DOCUMENT = 1, /* a whole document */
    GW_CHANGE_EDIT = 2,     /* made from the document in force */
    GW_CHANGE_ROLLBACK = 3  /* an older document as a new version */
} GwChangeKind;

/* Makes the new document from the one in force; returns text for g_free, or
 * NULL with `error`. Same input, same output. */
typedef char *(*GwChangeMake)(void *ctx, const char *text, GError **error);

typedef struct {
    char request_id[GW_REQUEST_ID_MAX];
    char operator_name[GW_OPERATOR_MAX];
    int64_t when_ms;     /* for the log entry */
    const char *summary; /* for the log entry; borrowed */
    uint64_t content;    /* hash of what is asked for */
    bool has_base;
    uint64_t base_version; /* the change is for this version only */
    GwChangeKind kind;
    const char *document; /* DOCUMENT; borrowed */
    GwChangeMake make;    /* EDIT */
    void *ctx;
    uint64_t rollback_version; /* ROLLBACK */
} GwChangeAsk;

typedef struct {
    GwChangeOutcome outcome;
    GwResultCode code;
    char message[GW_CHANGE_MESSAGE_MAX];
    uint64_t version;     /* accepted: its version; else the one in force */
    const char *document; /* when accepted by this very run; else NULL */
} GwChangeResult;

typedef struct GwChange_s GwChange;

bool GwRequestId_IsValid(const char *id);
GwChange *GwChange_Create(const GwChangeAsk *ask);
/* Finds out what became of a request id, and settles it if nothing did. */
GwChange *GwChange_CreateResolve(const char *request_id);
void GwChange_Free(GwChange *c);
/* Fills the next request; false once the result stands. The caller frees
 * the values with GwChange_ClearRequest. */
bool GwChange_Next(GwChange *c, GwTableRequest *out);
void GwChange_ClearRequest(GwTableRequest *request);
void GwChange_Reply(GwChange *c, const GwTableReply *reply);
const GwChangeResult *GwChange_Result(const GwChange *c);

#endif
