/* godwitridge: global traffic steering as a library.
 *
 * A GwNode is one entry instance without its sockets. It is plain state: it
 * reads no clock, opens no socket, starts no thread and has no source of
 * chance but its seed. The host (the daemon, or a test) feeds it events with
 * the time, and carries out the actions it gives back:
 *
 *     GwActions actions = {0};
 *     GwNode_Step(node, now_us, &event, &actions);
 *     for (uint32_t i = 0; i < actions.count; i++) { ...carry out... }
 *     GwActions_Clear(&actions);
 *
 * Time is in microseconds on a clock that keeps running while the machine is
 * suspended (CLOCK_BOOTTIME), so that a paused process sees how long it was
 * away. A GwNode is not thread-safe: the host serialises its steps. */
#ifndef GODWITRIDGE_H
#define GODWITRIDGE_H

#include "config/model.h"
#include "godwitridge_errors.h"
#include "wire/message.h"

#define GW_VERSION_MAJOR  0
#define GW_VERSION_MINOR  2
#define GW_VERSION_PATCH  0
#define GW_VERSION_STRING "0.2.0"

/* ------------------------------------------------------------------------
 * Outcomes. Exactly one of three reaches a caller; they are never mixed.
 * ---------------------------------------------------------------------- */

typedef enum {
    GW_OUTCOME_ANSWERED = 1, /* the whole answer of the backend server */
    GW_OUTCOME_NOT_RUN = 2,  /* proven: no backend server ran it */
    GW_OUTCOME_UNKNOWN = 3   /* it may have run */
} GwOutcome;

/* Why a call was not run, or why its outcome is unknown. X(sym, num, name) */
#define GW_REASON_TABLE(X)                                                    \
    X(NONE, 0, "none")                                                        \
    X(NO_SERVICE, 1, "no-service")                                            \
    X(NO_PLACE, 2, "no-place")                                                \
    X(NO_SLOT, 3, "no-slot")                                                  \
    X(QUEUE_FULL, 4, "queue-full")                                            \
    X(DEADLINE, 5, "deadline")                                                \
    X(SHED, 6, "shed")                                                        \
    X(CONNECT, 7, "connect")                                                  \
    X(DRAINING, 8, "draining")                                                \
    X(LEAVING, 9, "leaving")                                                  \
    X(NOT_READY, 10, "not-ready")                                             \
    X(TABLE_FULL, 11, "table-full")                                           \
    X(BAD_TICKET, 12, "bad-ticket")                                           \
    X(OLD_TICKET, 13, "old-ticket")                                           \
    X(OWNER_GONE, 14, "owner-gone")                                           \
    X(SILENT, 15, "silent")                                                   \
    X(BROKEN, 16, "broken")                                                   \
    X(NO_GRANT, 17, "no-grant")                                               \
    X(CALLER_GONE, 18, "caller-gone")                                         \
    X(BAD_REQUEST, 19, "bad-request")                                         \
    X(TOO_LARGE, 20, "too-large")                                             \
    X(PEER_CONNECT, 21, "peer-connect")

typedef enum {
#define GW_REASON_ENUM(sym, num, name) GW_REASON_##sym = (num),
    GW_REASON_TABLE(GW_REASON_ENUM)
#undef GW_REASON_ENUM
} GwReason;

const char *GwOutcome_Name(GwOutcome outcome);
const char *GwReason_Name(GwReason reason);

/* A ticket binds one non-idempotent call to the entry start that may run it.
 * Text form: <node hex16>-<start hex16>-<minted ms hex>-<seq hex>. */
#define GW_TICKET_TEXT_MAX 72
typedef struct {
    GwNodeId owner;
    int64_t minted_ms; /* on the owner's clock */
    uint64_t seq;      /* 0: no ticket */
} GwTicket;

GwResult GwTicket_Parse(const char *text, GwTicket *out);
void GwTicket_Format(const GwTicket *t, char out[GW_TICKET_TEXT_MAX]);

/* ------------------------------------------------------------------------
 * Events in.
 * ---------------------------------------------------------------------- */

/* A call, from a caller or relayed by a peer. `call` is the host's handle;
 * the host keeps headers and bodies. */
typedef struct {
    uint64_t call;
    char service[GW_NAME_MAX];
    char method[8];
    char path[GW_PATH_MAX];
    GwTicket ticket;
    int64_t deadline_us; /* absolute, on this node's clock */
    bool relayed;        /* from a peer; never relayed a second time */
    bool to_owner;       /* relayed because this node owns the ticket */
    GwNodeId relay_from; /* the peer, when relayed */
    uint64_t grant;      /* the loan it comes on, when shifted; else 0 */
} GwCallEvent;

/* How one attempt ended. NOT_RUN means proven: connection never made, no
 * byte written, or the whole explicit refusal came on that connection. */
typedef struct {
    uint64_t call;
    uint32_t attempt;
    GwOutcome outcome;
    GwReason reason;
    uint32_t retry_after_ms;
    bool draining;          /* the answer said that its server is draining */
    bool has_load;          /* the answer carried a load report: */
    uint32_t reported_load; /*   requests running there */
    uint32_t body_len;
} GwAttemptEvent;

/* A reading of a backend server's health endpoint. */
typedef struct {
    uint64_t backend;
    bool reachable;
    bool draining;
    bool has_load;
    uint32_t reported_load;
} GwHealthEvent;

/* Rows of the platform's table service. */
#define GW_ROW_KEY_MAX 96
#define GW_TXN_MAX     8
typedef struct {
    char key[GW_ROW_KEY_MAX];
    uint64_t version; /* 0: the row is absent */
    uint32_t len;
    char *value; /* owned by the holder of the row */
} GwRow;

typedef enum {
    GW_TABLE_LIST = 1,
    GW_TABLE_TXN = 2,
    GW_TABLE_GET = 3
} GwTableOp;

/* LIST: rows whose key starts with rows[0].key. GET: that row. TXN: each
 * row's `version` must be the present one; then every value is written, or
 * nothing is. */
typedef struct {
    uint64_t token;
    GwTableOp op;
    uint32_t row_count;
    GwRow rows[GW_TXN_MAX];
} GwTableRequest;

typedef enum {
    GW_TABLE_DONE = 1,
    GW_TABLE_CONFLICT = 2, /* TXN only: refused, nothing written */
    GW_TABLE_LOST = 3      /* no answer: a TXN may have taken effect */
} GwTableStatus;

typedef struct {
    uint64_t token;
    GwTableStatus status;
    uint32_t row_count;
    GwRow *rows; /* LIST, GET: as read. TXN: new versions. Owned by sender */
} GwTableReply;

/* The platform's list of instances. It lags; it is a hint. */
#define GW_LIST_MAX 1024
typedef struct {
    char name[GW_NAME_MAX];
    char peer_address[GW_ADDR_MAX];
    bool leaving;
} GwInstanceListItem;

typedef struct {
    uint32_t count;
    GwInstanceListItem *items;
} GwInstanceList;

typedef enum {
    GW_EVENT_TICK = 1, /* every GW_TICK_US, and at once after start */
    GW_EVENT_MESSAGE,
    GW_EVENT_CALL,
    GW_EVENT_CALL_GONE, /* the caller hung up */
    GW_EVENT_ATTEMPT,
    GW_EVENT_HEALTH,
    GW_EVENT_TABLE,
    GW_EVENT_LIST,
    GW_EVENT_LEAVE /* begin a graceful stop */
} GwEventKind;

#define GW_TICK_US 10000

typedef struct {
    GwEventKind kind;
    union {
        const GwMessage *message;
        GwCallEvent call;
        uint64_t call_gone;
        GwAttemptEvent attempt;
        GwHealthEvent health;
        const GwTableReply *table;
        const GwInstanceList *list;
    } u;
} GwEvent;

/* ------------------------------------------------------------------------
 * Actions out.
 * ---------------------------------------------------------------------- */

typedef enum {
    GW_ACTION_SEND = 1, /* message to a peer, best effort */
    GW_ACTION_DISPATCH, /* one attempt at a backend server */
    GW_ACTION_RELAY,    /* one attempt through a peer entry */
    GW_ACTION_CANCEL,   /* abandon an attempt; its connection is closed */
    GW_ACTION_FINISH,   /* the final outcome of a call, at once */
    GW_ACTION_TABLE,    /* a request to the platform's table */
    GW_ACTION_PUBLISH,  /* look-up or configuration changed: copy it out */
    GW_ACTION_LOG,      /* a numbered event (common/log_events.h) */
    GW_ACTION_STOPPED   /* the graceful stop is over */
} GwActionKind;

typedef struct {
    char address[GW_ADDR_MAX];
    GwNodeId to;        /* node 0 when only the address is known (seeding) */
    GwMessage *message; /* owned by the action */
} GwSendAction;

typedef struct {
    uint64_t call;
    uint32_t attempt;
    uint64_t backend;
    char address[GW_ADDR_MAX];
    bool idempotent;
    int64_t give_up_us; /* absolute end of this attempt */
} GwDispatchAction;

typedef struct {
    uint64_t call;
    uint32_t attempt;
    GwNodeId to;
    char address[GW_ADDR_MAX];
    bool to_owner;
    uint64_t grant;
    int64_t give_up_us;
} GwRelayAction;

typedef struct {
    uint64_t call;
    GwOutcome outcome;
    GwReason reason;
    uint32_t retry_after_ms; /* when to come back; 0: no hint */
    uint64_t answer_of;      /* the call whose answer body is to be sent */
    uint32_t answer_attempt; /* the attempt that carried it */
    GwTicket ticket;         /* of a non-idempotent call */
} GwFinishAction;

typedef struct {
    uint32_t event;
    char text[160];
} GwLogAction;

typedef struct {
    GwActionKind kind;
    union {
        GwSendAction send;
        GwDispatchAction dispatch;
        GwRelayAction relay;
        struct {
            uint64_t call;
            uint32_t attempt;
        } cancel;
        GwFinishAction finish;
        GwTableRequest *table; /* owned by the action */
        GwLogAction log;
    } u;
} GwAction;

/* A growing list of actions; zero-initialised, reused between steps. */
typedef struct {
    uint32_t count;
    uint32_t capacity;
    GwAction *items;
} GwActions;

GwAction *GwActions_Add(GwActions *actions, GwActionKind kind);
void GwActions_Log(GwActions *actions, uint32_t event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
void GwActions_Clear(GwActions *actions); /* frees what actions own */
void GwActions_Free(GwActions *actions);

/* ------------------------------------------------------------------------
 * The node.
 * ---------------------------------------------------------------------- */

/* Parameters of the decision code. Each has a type, unit, default and bounds
 * in params.h, from which settings and docs are made. */
typedef struct {
    /* Who this is. */
    GwNodeId id;
    char name[GW_NAME_MAX];
    char region[GW_NAME_MAX];
    char domain[GW_NAME_MAX];
    char peer_address[GW_ADDR_MAX];
    char call_address[GW_ADDR_MAX];
    uint64_t seed;
    /* Membership. */
    uint32_t probe_period_ms;    /* 500 */
    uint32_t probe_timeout_ms;   /* 250 */
    uint32_t suspect_timeout_ms; /* 1500 */
    uint32_t indirect_probes;    /* 3 */
    /* Configuration. */
    uint32_t config_poll_ms; /* 2000 */
    /* Seats and loans. */
    uint32_t fence_ms;        /* 2000: a longer gap between beats fences */
    uint32_t seat_poll_ms;    /* 3000 */
    uint32_t seat_holdoff_ms; /* 15000 */
    uint32_t loan_term_ms;    /* 10000 */
    uint32_t loan_margin_ms;  /* 1000 */
    /* Calls. */
    uint32_t queue_max;            /* 1024 */
    uint32_t ticket_table_max;     /* 65536 */
    uint32_t ticket_valid_ms;      /* 60000 */
    uint32_t ticket_retention_ms;  /* 120000 */
    uint32_t attempt_timeout_ms;   /* 1000, idempotent attempts */
    uint32_t retry_budget_percent; /* 20 */
    uint32_t drain_hint_ttl_ms;    /* 10000 */
    uint32_t leave_bound_ms;       /* 30000 */
    uint32_t lookup_ttl_ms;        /* 2000: life of a look-up answer */
    uint32_t policy;               /* GwPolicyKind of steer/steer.h */
} GwNodeParams;

/* Every numeric parameter at its default. */
void GwNodeParams_SetDefaults(GwNodeParams *params);

typedef struct GwNode_s GwNode;

GwNode *GwNode_Create(const GwNodeParams *params);
void GwNode_Free(GwNode *node);

/* Feeds one event and appends what has to be done. now_us never falls. */
void GwNode_Step(GwNode *node, int64_t now_us, const GwEvent *event,
                 GwActions *out);

/* The configuration in force, or NULL before the first. Borrowed: valid
 * until the next step. */
const GwConfig *GwNode_Config(const GwNode *node);

/* Entries a caller should use for a service, best first. */
#define GW_LOOKUP_MAX 16
typedef struct {
    char address[GW_ADDR_MAX];
    char domain[GW_NAME_MAX];
    char name[GW_NAME_MAX];
    bool local_region;
} GwLookupEntry;

typedef struct {
    uint64_t config_version;
    uint32_t ttl_ms;
    uint32_t moving_draws; /* draws below this name another entry first */
    bool self_first;       /* else no tickets are given with the answer */
    uint32_t count;
    GwLookupEntry entries[GW_LOOKUP_MAX];
} GwLookup;

/* GW_ERR(NOT_FOUND) for an unknown service, GW_ERR(NOT_READY) before a
 * configuration is in force; else the number of entries. `draw` is a number
 * below GW_LOOKUP_DRAWS, another one for each caller in turn: an entry that
 * carries more than its share sends some of its callers to others. */
#define GW_LOOKUP_DRAWS 4
GwResult GwNode_Lookup(const GwNode *node, const char *service, uint32_t draw,
                       GwLookup *out);

/* Mints `count` tickets; GW_ERR(LEAVING) or GW_ERR(NOT_READY) when this node
 * may not take new work. */
GwResult GwNode_MintTickets(GwNode *node, int64_t now_us, uint32_t count,
                            GwTicket *out);

/* The whole state as JSON text; free with g_free. */
char *GwNode_Dump(const GwNode *node, int64_t now_us);

#endif
