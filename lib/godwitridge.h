/* godwitridge: global traffic steering as a library.
 *
 * A GwNode is the deterministic state machine of one entry. It performs no
 * I/O, reads no clock, starts no thread and draws random numbers from its seed
 * only. The host (the daemon, or a test) passes events with the current time
 * and executes the actions that GwNode_Step() returns:
 *
 *     GwActions actions = {0};
 *     GwNode_Step(node, now_us, &event, &actions);
 *     for (uint32_t i = 0; i < actions.count; i++) { ...execute... }
 *     GwActions_Clear(&actions);
 *
 * Times are in microseconds on a monotonic clock that advances while the
 * machine is suspended (CLOCK_BOOTTIME), so that a resumed process detects the
 * length of its pause. A GwNode is not thread-safe: the host serializes all
 * calls on it. */
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
 * Outcomes. Every call ends with exactly one of three.
 * ---------------------------------------------------------------------- */

typedef enum {
    GW_OUTCOME_ANSWERED = 1, /* complete answer of a backend server */
    GW_OUTCOME_NOT_RUN = 2,  /* proven: no backend server ran the call */
    GW_OUTCOME_UNKNOWN = 3   /* a backend server may have run the call */
} GwOutcome;

/* Reasons of the outcomes NOT_RUN and UNKNOWN: X(symbol, number, name). SILENT
 * is a time-out after sending, BROKEN a connection lost after sending, SHED an
 * overload refusal by the backend server, OLD_TICKET a ticket that is no longer
 * valid and has no record. */
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

/* A ticket binds one non-idempotent call to one run of one entry, its owner:
 * no other process may start the call. The owner keeps the outcome, so that a
 * resend with the same ticket gets that outcome and does not run again.
 * Text form: <node hex16>-<start hex16>-<minted ms hex>-<seq hex>. */
#define GW_TICKET_TEXT_MAX 72
typedef struct {
    GwNodeId owner;
    int64_t minted_ms; /* on the owner's clock */
    uint64_t seq;      /* 0: no ticket */
} GwTicket;

/* Reads the text form; an error if `text` is not a ticket. */
GwResult GwTicket_Parse(const char *text, GwTicket *out);
/* Writes the text form, NUL-terminated. */
void GwTicket_Format(const GwTicket *t, char out[GW_TICKET_TEXT_MAX]);

/* ------------------------------------------------------------------------
 * Events: input of GwNode_Step().
 * ---------------------------------------------------------------------- */

/* A call from a caller, or relayed by a peer entry. `call` is the host's
 * handle; headers and bodies stay with the host. */
typedef struct {
    uint64_t call;
    char service[GW_NAME_MAX];
    char method[8];
    char path[GW_PATH_MAX];
    GwTicket ticket;
    int64_t deadline_us; /* absolute, on this node's clock */
    bool relayed;        /* from a peer; is not relayed a second time */
    bool to_owner;       /* relayed because this node owns the ticket */
    GwNodeId relay_from; /* relaying peer, if relayed */
    uint64_t grant;      /* loan that covers a shifted call; else 0 */
} GwCallEvent;

/* End of one attempt. NOT_RUN requires proof: the connection was not
 * established, no byte was written, or a complete explicit refusal arrived on
 * that connection. */
typedef struct {
    uint64_t call;
    uint32_t attempt;
    GwOutcome outcome;
    GwReason reason;
    uint32_t retry_after_ms;
    bool draining;          /* the answer marks its server as draining */
    bool has_load;          /* the answer carried a load report */
    uint32_t reported_load; /* requests running on the server, if has_load */
    uint32_t body_len;
} GwAttemptEvent;

/* Result of one poll of a backend server's health endpoint. */
typedef struct {
    uint64_t backend;
    bool reachable;
    bool draining;
    bool has_load;
    uint32_t reported_load;
} GwHealthEvent;

/* A row of the platform's table service. */
#define GW_ROW_KEY_MAX 96
#define GW_TXN_MAX     8
typedef struct {
    char key[GW_ROW_KEY_MAX];
    uint64_t version; /* 0: the row does not exist */
    uint32_t len;     /* bytes of value */
    char *value;      /* owned by the structure that contains the row */
} GwRow;

typedef enum {
    GW_TABLE_LIST = 1,
    GW_TABLE_TXN = 2,
    GW_TABLE_GET = 3
} GwTableOp;

/* A request to the table service. LIST reads all rows whose key starts with
 * rows[0].key, GET the row with that key. TXN is an atomic compare-and-set: if
 * each row's `version` is current, all values are written, else none. */
typedef struct {
    uint64_t token;
    GwTableOp op;
    uint32_t row_count;
    GwRow rows[GW_TXN_MAX];
} GwTableRequest;

typedef enum {
    GW_TABLE_DONE = 1,
    GW_TABLE_CONFLICT = 2, /* TXN only: stale version, nothing written */
    GW_TABLE_LOST = 3      /* no reply: a TXN may have been applied */
} GwTableStatus;

typedef struct {
    uint64_t token;
    GwTableStatus status;
    uint32_t row_count;
    GwRow *rows; /* rows read, or new versions of a TXN; owned by the host */
} GwTableReply;

/* The platform's list of instances: a discovery hint that may be stale. */
#define GW_INSTANCE_LIST_MAX 1024
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
    GW_EVENT_TICK = 1, /* every GW_TICK_US; the first right after start */
    GW_EVENT_MESSAGE,
    GW_EVENT_CALL,
    GW_EVENT_CALLER_DISCONNECTED, /* the caller disconnected */
    GW_EVENT_ATTEMPT,
    GW_EVENT_HEALTH,
    GW_EVENT_TABLE,
    GW_EVENT_INSTANCE_LIST,
    GW_EVENT_GRACEFUL_STOP /* starts the graceful stop */
} GwEventKind;

#define GW_TICK_US 10000 /* period of GW_EVENT_TICK */

typedef struct {
    GwEventKind kind;
    union {
        const GwMessage *message;
        GwCallEvent call;
        uint64_t disconnected_call;
        GwAttemptEvent attempt;
        GwHealthEvent health;
        const GwTableReply *table;
        const GwInstanceList *list;
    } u;
} GwEvent;

/* ------------------------------------------------------------------------
 * Actions: output of GwNode_Step(), executed by the host in order.
 * ---------------------------------------------------------------------- */

typedef enum {
    GW_ACTION_SEND = 1, /* send a message to a peer, best effort */
    GW_ACTION_DISPATCH, /* start an attempt at a backend server */
    GW_ACTION_RELAY,    /* start an attempt through a peer entry */
    GW_ACTION_CANCEL,   /* cancel an attempt and close its connection */
    GW_ACTION_FINISH,   /* send the final outcome of a call */
    GW_ACTION_TABLE,    /* send a request to the platform's table service */
    GW_ACTION_PUBLISH,  /* refresh copies of look-ups and configuration */
    GW_ACTION_LOG,      /* log an event (number in common/log_events.h) */
    GW_ACTION_STOPPED   /* the graceful stop is complete */
} GwActionKind;

typedef struct {
    char address[GW_ADDR_MAX];
    GwNodeId to;        /* node 0: only the address is known (seed member) */
    GwMessage *message; /* owned by the action */
} GwSendAction;

typedef struct {
    uint64_t call;
    uint32_t attempt;
    uint64_t backend;
    char address[GW_ADDR_MAX];
    bool idempotent;
    int64_t give_up_us; /* absolute deadline of the attempt */
} GwDispatchAction;

typedef struct {
    uint64_t call;
    uint32_t attempt;
    GwNodeId to;
    char address[GW_ADDR_MAX];
    bool to_owner;      /* the peer owns the ticket of the call */
    uint64_t grant;     /* loan that covers the call; else 0 */
    int64_t give_up_us; /* absolute deadline of the attempt */
} GwRelayAction;

typedef struct {
    uint64_t call;
    GwOutcome outcome;
    GwReason reason;
    uint32_t retry_after_ms; /* retry hint for the caller; 0: none */
    uint64_t answer_call;    /* call whose answer body the host sends */
    uint32_t answer_attempt; /* attempt of that call with the answer */
    GwTicket ticket;         /* of a non-idempotent call; else seq 0 */
} GwFinishAction;

typedef struct {
    uint32_t event; /* number in common/log_events.h */
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

/* A growable array of actions. Starts zero-initialized; the host clears and
 * reuses it between steps. */
typedef struct {
    uint32_t count;
    uint32_t capacity;
    GwAction *items;
} GwActions;

/* Appends a zeroed action of that kind; valid until the next call. */
GwAction *GwActions_Add(GwActions *actions, GwActionKind kind);
/* Appends a LOG action; text beyond the size of GwLogAction is cut off. */
void GwActions_Log(GwActions *actions, uint32_t event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
/* Removes all actions and frees what they own; keeps the array. A host that
 * takes over a message or table request sets its pointer to NULL before. */
void GwActions_Clear(GwActions *actions);
/* Clears and frees the array. */
void GwActions_Free(GwActions *actions);

/* ------------------------------------------------------------------------
 * The node.
 * ---------------------------------------------------------------------- */

/* Parameters of a node. Defaults are in the comments; units, bounds and
 * meanings are in config/settings_table.c. */
typedef struct {
    /* Identity. */
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
    uint32_t suspect_timeout_ms; /* 1500: a silent suspect is then dead */
    uint32_t indirect_probes;    /* 3 */
    /* Configuration. */
    uint32_t config_poll_ms; /* 2000 */
    /* Seats and loans. A seat is an exclusive share of all units (slots of
     * backend servers and units of caps). A loan lends units of a seat to
     * another entry for a limited time. */
    uint32_t fence_ms;        /* 2000: a longer pause ends use of both */
    uint32_t seat_poll_ms;    /* 3000 */
    uint32_t seat_holdoff_ms; /* 15000: from notice to claim */
    uint32_t loan_term_ms;    /* 10000 */
    uint32_t loan_margin_ms;  /* 1000: safety margin at both ends */
    /* Calls. */
    uint32_t queue_max;            /* 1024 */
    uint32_t ticket_table_max;     /* 65536 */
    uint32_t ticket_valid_ms;      /* 60000 */
    uint32_t ticket_retention_ms;  /* 120000 */
    uint32_t attempt_timeout_ms;   /* 1000; idempotent calls only */
    uint32_t retry_budget_percent; /* 20: retries per successes */
    uint32_t drain_hint_ttl_ms;    /* 10000 */
    uint32_t leave_bound_ms;       /* 30000 */
    uint32_t lookup_ttl_ms;        /* 2000: validity of a look-up */
    uint32_t policy;               /* GwPolicyKind of steer/steer.h */
} GwNodeParams;

/* Sets every numeric parameter to its default. */
void GwNodeParams_SetDefaults(GwNodeParams *params);

typedef struct GwNode_s GwNode;

/* Copies `params`. Free the node with GwNode_Free(). */
GwNode *GwNode_Create(const GwNodeParams *params);
void GwNode_Free(GwNode *node);

/* Processes one event at time now_us and appends the resulting actions to
 * `out`. now_us must not decrease between steps. */
void GwNode_Step(GwNode *node, int64_t now_us, const GwEvent *event,
                 GwActions *out);

/* Returns the current configuration, or NULL before the first. Borrowed:
 * valid until the next step. */
const GwConfig *GwNode_Config(const GwNode *node);

/* A look-up lists the entries that a caller should use for a service, best
 * first. */
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
    uint32_t redirect_draws; /* lower draws list another entry first */
    bool is_self_first;      /* if false, the reply carries no tickets */
    uint32_t count;
    GwLookupEntry entries[GW_LOOKUP_MAX];
} GwLookup;

/* Returns the number of entries, GW_ERR(NOT_FOUND) for an unknown service, or
 * GW_ERR(NOT_READY) without a configuration. `draw` is below GW_LOOKUP_DRAWS
 * and rotates over callers: an entry with more than its share of the load
 * directs a part of its callers to other entries. */
#define GW_LOOKUP_DRAWS 4
GwResult GwNode_Lookup(const GwNode *node, const char *service, uint32_t draw,
                       GwLookup *out);

/* Issues `count` tickets. GW_ERR(LEAVING) during a graceful stop,
 * GW_ERR(NOT_READY) before the node accepts calls. */
GwResult GwNode_MintTickets(GwNode *node, int64_t now_us, uint32_t count,
                            GwTicket *out);

/* Returns the state of the node as JSON text; free with g_free(). */
char *GwNode_Dump(const GwNode *node, int64_t now_us);

#endif
