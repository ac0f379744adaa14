/* State and functions shared by the files of lib/edge. Everything runs on the
 * loop's thread. */
#ifndef GW_EDGE_INTERNAL_H
#define GW_EDGE_INTERNAL_H

#include "common/fingerprint.h"
#include "common/log.h"
#include "config/model.h"
#include "edge/answer_bounds.h"
#include "edge/answer_room.h"
#include "edge/control_cost.h"
#include "edge/edge.h"
#include "godwitridge_errors.h"
#include "edge/meters.h"
#include "edge/shortages.h"
#include "edge/stop_signal.h"
#include "edge/turns.h"
#include "http/listener.h"
#include "store/proof.h"
#include "store/reader.h"
#include "store/rows_wire.h"

#include <inttypes.h>

/* Period of the checks of idle connections, of time-outs of seconds and of
 * silent peers. */
#define GW_SWEEP_MS 250
/* Delay of a timer that must fire after the next poll of the sockets. With a
 * delay of 0 it would fire before the poll. */
#define GW_AFTER_POLL_MS 1

typedef struct GwCaller_s GwCaller;
typedef struct GwServerLink_s GwServerLink;
typedef struct GwRelayLink_s GwRelayLink;
typedef struct GwFeed_s GwFeed;
typedef struct GwPeers_s GwPeers;
typedef struct GwQuarantineRows_s GwQuarantineRows;

/* Why the entry closed a caller's connection. */
typedef enum {
    GW_CLOSE_IDLE = 0, /* no request for the idle timeout */
    GW_CLOSE_SLOT,     /* the longest idle one, for a new caller */
    GW_CLOSE_STALLED,  /* the caller does not read its answers */
    GW_CLOSE_LAST,     /* after an answer with "Connection: close" */
    GW_CLOSE_REJECTED, /* after a malformed or late request */
    GW_CLOSE_STOP,     /* idle during a graceful stop */
    GW_CLOSE_EXIT,     /* the process exits */
    GW_CLOSE_COUNT
} GwCallerClose;

/* A caller's request, from its arrival to its answer. */
typedef struct {
    GwEdge *edge;
    GwCaller *caller;      /* NULL once it has gone */
    GwHttpMessage *msg;    /* the request as received */
    GwRequest *request;    /* router's state, while the request is open */
    GwServerLink *link;    /* connection of the current attempt */
    GwRelayLink *relay;    /* the same, if another entry makes it */
    GwHttpMessage *answer; /* complete answer of the last attempt */
    GString *out;          /* encoded answer; NULL until the request is done */
    bool sends_body_apart; /* the body of `answer` follows `out` */
    bool started;          /* passed to the router */
    bool is_passed_on;     /* the caller is another entry */
    bool idempotent;
    bool has_fingerprint;
    GwFingerprint fingerprint;
    int64_t arrived_us;
    uint64_t room_bytes; /* reserved for its answer */
} GwExchange;

struct GwEdge_s {
    GwEdgeSettings *settings;
    char *settings_path;
    int64_t settings_mtime_ns;
    int64_t settings_checked_us;
    const GwAdapter *adapter;
    uv_loop_t loop;
    uv_timer_t deadline; /* next deadline of the router */
    uv_timer_t sweep;
    uv_timer_t stop_timer;   /* end of a graceful stop */
    uint32_t end_polls;      /* polls since stop_timer first fired */
    uv_check_t after_accept; /* runs after pending accepts */
    GwStopSignal stop_signal;
    uv_signal_t hangup;
    GPtrArray *controls; /* GwHttpListener */
    uv_tcp_t *call_listener;
    uv_tcp_t *relay_listener; /* requests that other entries pass on */
    GwHttpBudget bodies;      /* shared by callers and servers */
    GwAnswerExcess excess;
    GwAnswerRoom room;
    GQueue room_waiters;    /* GwCaller, longest waiting first */
    GwCaller *room_turn;    /* whose requests are being started */
    bool is_room_turn_used; /* it was granted one */
    bool is_room_freed;     /* GwCallers_ServeRoom must run */
    GQueue receiving;       /* GwServerLink whose answer has begun to arrive */
    GwRouter *router;
    GHashTable *invalid_servers; /* key of the row -> what is wrong with it */
    GArray *actions; /* GwRouterAction; pending actions of the router */
    bool is_running_actions; /* GwEdge_RunActions is running */
    /* Objects that actions, lists or loops may still refer to, freed by
     * GwEdge_RunActions. */
    GPtrArray *ended_exchanges; /* GwExchange */
    GPtrArray *ended_callers;   /* GwCaller */
    GQueue callers;             /* GwCaller, longest idle first */
    GQueue idle_callers;   /* GwCaller without requests, longest idle first */
    bool is_accept_paused; /* accepting is paused at the connection limit */
    int64_t accept_paused_us; /* since when; 0: it is not */
    GQueue flush_queue;       /* GwCaller with answers to send */
    GQueue disconnected;      /* GwCaller, disconnected, to be freed */
    GQueue pools;             /* GwPool, one per server */
    GQueue connecting;        /* GwServerLink */
    GQueue relays;            /* GwRelayLink */
    GwMeters *meters;
    GwTurns *turns;
    GwFeed *operator_feed;
    GwFeed *server_feed;
    GwPeers *peers;
    GwQuarantineRows *quarantine_rows;
    GwQuota *quota;
    GwShortageLog *shortage_log;
    bool is_proof_lost;  /* GwEdge_HasProof, as last logged */
    bool has_reach_news; /* peers don't know yet which services are reached */
    int64_t reach_told_us;
    uint32_t sweeps;
    bool servers_known; /* the registry has been read once */
    int64_t started_us;
    bool is_stopping;
    int64_t stop_signal_us;
    int64_t accept_until_us;
    int64_t close_by_us; /* closing connections are given up then */
    int64_t armed_us;    /* time at which the deadline timer fires */
    struct {
        uint64_t arrived;
        uint64_t dropped; /* requests received after a close */
        uint64_t callers_closed[GW_CLOSE_COUNT];
        uint64_t refused_for_room;
        uint64_t callers_cut;   /* closed with answers unacknowledged */
        uint64_t stale_actions; /* dropped, their request had ended */
        uint64_t connects;
        uint64_t passed_on[GW_ATTEMPT_LOST + 1]; /* by outcome */
        uint64_t taken_over; /* requests passed on to this entry */
        uint64_t links_failed[GW_LINK_END_COUNT]; /* to servers */
        uint64_t reuses;
        uint64_t undelivered; /* requests abandoned in transit */
        uint64_t store_calls;
        uint64_t reports;
        uint64_t row_bytes_out; /* rows sent to peers */
    } counts;
    GwControlCost cost;        /* datagrams sent, rows received */
    GwControlCost cost_logged; /* as of the last CONTROL_COST */
    uint64_t store_calls_logged;
    int64_t cost_logged_us;
};

int64_t GwEdge_Now(void); /* us, monotonic */
/* Runs the actions appended by the router and sends the answers that become
 * ready, until none are left; then arms the router's timer. Must be the last
 * call of each callback of the loop. */
void GwEdge_RunActions(GwEdge *edge); /* actions.c */
/* Sets the timer of the router's next deadline. */
void GwEdge_ArmDeadline(GwEdge *edge);
/* Tells peers at once which services this entry no longer reaches, or reaches
 * again. */
void GwEdge_TellReach(GwEdge *edge);
/* stop.c */
/* Sets up the handling of the stop signals. */
void GwEdge_InitStop(GwEdge *edge);
/* Called at each sweep during a graceful stop. */
void GwEdge_ContinueStop(GwEdge *edge, int64_t now_us);
/* Begins the graceful stop if a stop signal was received. Called also before
 * each step that may start a request, because the loop may handle the signal
 * seconds after its arrival. Appends actions that the calling function must
 * run. */
void GwEdge_CheckStopSignal(GwEdge *edge);
/* Counts and logs a request that has ended or whose caller has
 * disconnected. */
void GwEdge_LogRequestEnd(const GwExchange *x, GwRequestEnd end,
                          uint16_t status, GwReplyReason why,
                          const GwRequestSummary *request_summary);
/* Whether the entry has a configuration and the registry. */
bool GwEdge_HasTables(const GwEdge *edge);
/* Whether it has them, knows the quarantined requests, accepts connections,
 * and is not stopping. */
bool GwEdge_IsReady(const GwEdge *edge);
const char *GwEdge_RegionOf(const GwEdge *edge, const char *domain);

/* proof.c */
/* us; unlike GwEdge_Now, includes the time while the machine was suspended. */
int64_t GwEdge_BootNow(void);
/* Tells the feeds how fast changes must be in force, after the settings
 * changed. */
void GwEdge_ApplyChangeBound(GwEdge *edge);
/* Whether keys may be accepted: their revocation would be known, or needs no
 * bound. */
bool GwEdge_HasProof(const GwEdge *edge);
/* Age of the proof; -1 without one. */
int64_t GwEdge_ProofAgeMs(const GwEdge *edge);
/* Tells the router until when the proof holds. Must be called before requests
 * start and before they are sent: the process may have been paused. */
void GwEdge_ApplyProof(GwEdge *edge);
/* Logs when the proof was lost or regained, and tells peers. */
void GwEdge_SweepProof(GwEdge *edge);
/* callers.c */
void GwCallers_OnConnection(uv_stream_t *listener, int status);
/* Accepts waiting connections if accepting was paused and a slot is free or
 * can be freed. */
void GwCallers_Resume(GwEdge *edge);
/* Whether no connection could be accepted for a while. */
bool GwCallers_AreFull(const GwEdge *edge, int64_t now_us);
void GwCallers_Sweep(GwEdge *edge, int64_t now_us);
void GwCallers_CloseIdle(GwEdge *edge);
void GwCallers_CloseAll(GwEdge *edge);
void GwCaller_Flush(GwCaller *caller); /* sends the ready answers in order */
/* Checks the socket for a disconnect. A disconnected caller is closed later,
 * by GwCallers_CloseDisconnected. */
bool GwExchange_IsCallerConnected(GwExchange *x);
void GwCallers_CloseDisconnected(GwEdge *edge);
/* A GDestroyNotify. */
void GwExchange_Free(gpointer item);
/* Starts requests that wait for room; caller_room.c. */
void GwCallers_ServeRoom(GwEdge *edge);
/* Time that the caller states that it waits, when it sent the request; < 0:
 * none. */
int64_t GwExchange_TimeLeftUs(const GwExchange *x);
const char *GwCallerClose_Name(GwCallerClose why);
/* Accepts the next connection of another entry. */
void GwCallers_AcceptPeer(GwEdge *edge, uv_stream_t *listener);
void GwExchange_Reply(GwExchange *x, const GwRouterAction *act);
void GwExchange_ForwardAnswer(GwExchange *x, const GwRouterAction *act);
/* Computed on first use. */
const GwFingerprint *GwExchange_Fingerprint(GwExchange *x);

/* forward.c */
/* Sets the connection's TCP_USER_TIMEOUT before the request is sent on it:
 * `ms`, or a longer one for a long body. */
void GwExchange_SetUserTimeout(const GwExchange *x, GwConn *conn, uint32_t ms);
/* Returns the request as it is sent to the server; owned by the calling
 * function. */
GString *GwExchange_WriteRequest(const GwExchange *x, const char *server_id,
                                 int64_t time_left_ms);

/* answers.c */
/* Outcome of the attempt that received the answer. */
GwAttemptEnd GwAnswer_End(const GwAdapter *names, const GwHttpMessage *msg,
                          int64_t connect_us);
/* Whether the answer belongs to the request: servers repeat its id in all their
 * answers. Other messages say nothing of the request, of the server's load or
 * of what it asks for. */
bool GwAnswer_IsTo(const GwAdapter *names, const GwHttpMessage *msg,
                   const GwHttpMessage *request);

/* undelivered.c */
/* Called before a connection that carries the request is closed. Counts and
 * logs a request that `receiver`, a server or an entry, has not acknowledged
 * in full. */
void GwExchange_NoteUndelivered(const GwExchange *x, const GwConn *conn,
                                const char *receiver, int64_t sent_us);

/* server_links.c, server_pools.c */
const char *GwAttemptOutcome_Name(GwAttemptOutcome outcome);
void GwServerLink_Send(GwExchange *x, const GwRouterAction *act);
void GwServerLink_Cancel(GwExchange *x);
/* Whether the connection of the current attempt is being set up. */
bool GwServerLink_IsConnecting(const GwExchange *x);
/* Connects to check that the server is alive, and reports the result to the
 * router. */
void GwServerLink_Probe(GwEdge *edge, GwServer *s);
void GwServerLink_DropServer(GwEdge *edge, GwServer *s);
/* Ends the attempts whose connections are not established yet. */
void GwServerLink_AbortConnecting(GwEdge *edge);
void GwServerLink_CloseAll(GwEdge *edge);
void GwServerLink_Sweep(GwEdge *edge, int64_t now_us);

/* feed.c */
void GwFeed_Close(GwFeed *feed);
typedef struct {
    const char *table;
    GwRowChanged changed;
    GwRowIsUpdate is_update; /* the changes sent to peers; NULL: all */
    GwRowOrder order;        /* see store/rows.h */
} GwFeedParams;

GwFeed *GwFeed_Create(GwEdge *edge, const GwFeedParams *params);
void GwFeed_Free(GwFeed *feed);
/* Carries out due calls to the store. */
void GwFeed_Tick(GwFeed *feed);
void GwFeed_Sweep(GwFeed *feed);
/* Reads the table only when an answer about the other one shows that the store
 * has changed. */
void GwFeed_FollowOther(GwFeed *feed);
/* Sets the time within which a change must be in force. */
void GwFeed_SetBound(GwFeed *feed, uint32_t bound_ms);
/* Sets why this entry reads the table from the store, or that it relies on
 * peers. */
void GwFeed_SetReads(GwFeed *feed, GwReadReason reason);
/* Whether this entry reads the table and the store answers. */
bool GwFeed_IsHealthy(const GwFeed *feed);
/* Whether this entry recently saw an outage of the store during which no peer
 * could read it either. */
bool GwFeed_HadOutage(const GwFeed *feed);
/* Handles a peer's report; `saw_outage`: the peer observed an outage of the
 * store. */
void GwFeed_NotePeerReport(GwFeed *feed, bool saw_outage);
GwStoreVersion GwFeed_Version(const GwFeed *feed);
/* Newest era known of the store; 0: none. */
uint32_t GwFeed_Era(const GwFeed *feed);
/* Rows that wait for the end of a grace period after a restore of the store. */
uint32_t GwFeed_PendingRows(const GwFeed *feed);
/* How long the current call to the store is unanswered; 0: there is none. */
int64_t GwFeed_UnansweredMs(const GwFeed *feed);
/* Proof that the copy has all changes up to a time (GwEdge_BootNow). */
const GwProof *GwFeed_Proof(const GwFeed *feed);
/* A peer has rows of that era of the store. */
void GwFeed_ExpectEra(GwFeed *feed, uint32_t era);
/* A peer proved how new its copy is. */
void GwFeed_NoteProof(GwFeed *feed, const GwPeerProof *proof);
/* Age of the proof, or without one the time since the start. */
int64_t GwFeed_AgeMs(const GwFeed *feed);
bool GwFeed_IsLoaded(const GwFeed *feed);
/* Reads the missing rows from a peer that has a newer version. `proof`: how new
 * the peer's copy is at least. */
void GwFeed_ReadFromPeer(GwFeed *feed, const char *address,
                         GwStoreVersion version, const GwPeerProof *proof);
/* Reads the whole table from a peer that has values which a restored store
 * lacks. */
void GwFeed_ReadWholeFromPeer(GwFeed *feed, const char *address,
                              const GwPeerProof *proof);
/* Reads the missing rows from the store, once: for rows too large to be
 * exchanged between peers. */
void GwFeed_ReadFromStore(GwFeed *feed, GwStoreVersion version);
/* Whether GwFeed_ReadFromStore may be called: no such read failed recently,
 * and this entry does not read the table from the store anyway. */
bool GwFeed_MayReadFromStore(const GwFeed *feed);
/* Approximate size of the rows, in bytes, that a peer with that version
 * lacks. */
uint64_t GwFeed_BytesAfter(const GwFeed *feed, GwStoreVersion version);
/* Answers a peer's read of this entry's copy: 200 with packed rows; 404 for
 * another table or one not read yet; 410 when the peer has to read the whole
 * table. */
GByteArray *GwFeed_AnswerPeer(const GwFeed *feed, const GwRowsRequest *request,
                              uint16_t *status);

/* store_era.c */
/* Returns the era that an answer of the store names, and tells the feeds of it;
 * but for `reader` (or NULL), which applies the rows of the answer itself. */
uint32_t GwEdge_NoteStoreAnswer(GwEdge *edge, const GwFeed *reader,
                                const GwHttpMessage *msg);

/* router_rows.c */
void GwRouterRows_OnOperatorRow(void *ctx, const GwStoreRow *row);
void GwRouterRows_OnServerRow(void *ctx, const GwStoreRow *row);
/* GwRowIsUpdate for rows of servers. */
bool GwRouterRows_IsChange(void *ctx, const char *key, const char *old,
                           int64_t age_us, const char *value);
/* GwRowOrder: configurations are ordered by their version, servers' rows by
 * start and heartbeat. */
GwValueOrder GwRouterRows_OrderOperatorRow(void *ctx, const char *key,
                                           const char *value,
                                           const char *than);
GwValueOrder GwRouterRows_OrderServerRow(void *ctx, const char *key,
                                         const char *value, const char *than);

/* status.c */
void GwStatus_WriteMetrics(GwEdge *edge, GString *out);
void GwStatus_WriteDump(GwEdge *edge, GString *out);
void GwStatus_Write(GwEdge *edge, GString *out);
/* Requests that are suspected of crashing servers, as JSON. */
void GwStatus_WriteSuspects(GwEdge *edge, GString *out);

/* quotas.c */
/* Creates the quotas of organisations; needs the peers. */
void GwQuotas_Init(GwEdge *edge);
/* Applies the quotas of the configuration in force. */
void GwQuotas_ApplyRouting(GwEdge *edge);
/* Sends pending messages to other entries. */
void GwQuotas_SendMessages(GwEdge *edge);
void GwQuotas_Tick(GwEdge *edge, int64_t now_us);
/* Use of quotas, as metrics and as JSON. */
void GwQuotas_WriteMetrics(GwEdge *edge, GString *out);
void GwQuotas_WritePage(GwEdge *edge, GString *out);

/* peers.c */
typedef struct {
    uint32_t live;
    int64_t loads_age_ms; /* oldest load report of peers sharing servers */
    /* Newest versions of the tables that live peers have. */
    GwStoreVersion operator_version;
    GwStoreVersion server_version;
} GwPeersView;

GwPeersView GwPeers_View(const GwPeers *peers);
/* A JSON array with one object per peer; owned by the calling function. */
struct json_object *GwPeers_Members(const GwPeers *peers);
GwPeers *GwPeers_Create(GwEdge *edge, GError **error);
/* Closes the sockets; the handles are released once the loop has run again. */
void GwPeers_Close(GwPeers *peers);
void GwPeers_Free(GwPeers *peers);
void GwPeers_Sweep(GwPeers *peers, int64_t now_us);
/* Sends a report to every peer at once, for state that can't wait for the next
 * regular report. */
void GwPeers_Announce(GwPeers *peers);
/* Number of peers that read the store and saw no outage. */
uint32_t GwPeers_CountHealthyReaders(const GwPeers *peers);
/* Makes the next reports to the region go out soon, after updates from the
 * store. */
void GwPeers_ExpediteRegion(GwPeers *peers);
/* As GwPeers_ExpediteRegion, for peers of this failure domain. */
void GwPeers_ExpediteDomain(GwPeers *peers);
/* Writes this entry's row into the store again, if a restored store may lack
 * it. */
void GwPeers_WriteRowAgain(GwPeers *peers);
/* Whether this entry is one of the few that write the row of that name. All
 * entries choose the same writers by a hash of the name. */
bool GwPeers_IsWriterOf(const GwPeers *peers, uint64_t name);
/* The random number of this process in its reports. */
uint64_t GwPeers_ProcessId(const GwPeers *peers);
/* Distance class of the traffic with the peer at that address. */
GwDistance GwPeers_DistanceTo(const GwPeers *peers, const char *address);
/* Entry addresses for callers in the region and failure domain, best first. */
GPtrArray *GwPeers_Directory(const GwPeers *peers, const char *region,
                             const char *domain);

/* reload.c */
/* Reloads the settings if the file has changed (or `always`), and applies
 * those that can change at run time. */
void GwEdge_Reload(GwEdge *edge, bool always);
/* Records the file's modification time as read. */
void GwEdge_RecordSettingsTime(GwEdge *edge);

/* control.c */
bool GwControl_Listen(GwEdge *edge, GError **error);
void GwControl_CloseAll(GwEdge *edge);
/* Closes connections of the listeners that are idle for long. */
void GwControl_CloseIdle(GwEdge *edge);

#endif
