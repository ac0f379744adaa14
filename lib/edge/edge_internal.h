/* What the parts of the entry's host share. All on the loop's thread. */
#ifndef GW_EDGE_INTERNAL_H
#define GW_EDGE_INTERNAL_H

#include "common/fingerprint.h"
#include "common/log.h"
#include "config/model.h"
#include "edge/control_cost.h"
#include "edge/edge.h"
#include "godwitridge_errors.h"
#include "edge/meters.h"
#include "edge/stop_signal.h"
#include "edge/turns.h"
#include "http/listener.h"
#include "store/rows_wire.h"

#include <inttypes.h>

/* Housekeeping: idle connections, time-outs of seconds, peers gone silent. */
#define GW_SWEEP_MS 250
/* Of a timer that waits for a look at the sockets. One of no time at all would
 * come before it. */
#define GW_LOOK_FIRST_MS 1

typedef struct GwCaller_s GwCaller;
typedef struct GwServerLink_s GwServerLink;
typedef struct GwFeed_s GwFeed;
typedef struct GwPeers_s GwPeers;
typedef struct GwHeldRows_s GwHeldRows;

/* One request of a caller, from its arrival to its answer. */
typedef struct {
    GwEdge *edge;
    GwCaller *caller;
    GwHttpMessage *msg;    /* the request */
    GwRequest *request;    /* the router's, while it is open */
    GwServerLink *link;    /* of the attempt under way */
    GwHttpMessage *answer; /* the last attempt's, whole */
    GString *out;          /* what goes to the caller; NULL until it is over */
    bool started;          /* given to the router */
    bool idempotent;
    bool has_fingerprint;
    GwFingerprint fingerprint;
    int64_t arrived_us;
} GwExchange;

struct GwEdge_s {
    GwEdgeSettings *settings;
    char *settings_path;
    int64_t settings_mtime_ns;
    int64_t settings_checked_us;
    const GwAdapter *adapter;
    uv_loop_t loop;
    uv_timer_t deadline; /* of the router */
    uv_timer_t sweep;
    uv_timer_t leave_end; /* of a stop */
    uint32_t end_looks;   /* at the sockets, since that time */
    uv_check_t listened;  /* runs when all that has come was accepted */
    GwStopSignal stop_signal;
    uv_signal_t hangup;
    GPtrArray *controls; /* GwServe */
    uv_tcp_t *call_listener;
    GwHttpBudget bodies; /* of callers and of servers */
    GwRouter *router;
    GArray *actions;   /* GwDo; reused */
    bool carrying;     /* actions are being carried out */
    GQueue callers;    /* GwCaller, all that are open */
    bool callers_wait; /* one is there to be accepted, but there are many */
    GQueue dirty;      /* GwCaller with answers to send */
    GQueue gone;       /* GwCaller found to have left, to be dropped */
    GQueue pools;      /* GwPool, one for each server */
    GQueue connecting; /* GwServerLink */
    GwMeters *meters;
    GwTurns *turns;
    GwFeed *operator_feed;
    GwFeed *server_feed;
    GwPeers *peers;
    GwHeldRows *held_rows;
    uint32_t sweeps;
    bool servers_known; /* the registry has been read once */
    int64_t started_us;
    bool leaving;
    int64_t leaving_us;
    int64_t listen_until_us;
    int64_t armed_us; /* when the deadline timer fires */
    struct {
        uint64_t arrived;
        uint64_t dropped; /* requests behind a close */
        uint64_t connects;
        uint64_t reuses;
        uint64_t store_calls;
        uint64_t reports;
        uint64_t row_bytes_out; /* rows told to peers */
    } counts;
    GwControlCost cost;        /* datagrams sent, rows received */
    GwControlCost cost_logged; /* as of the last CONTROL_COST */
    uint64_t store_calls_logged;
    int64_t cost_logged_us;
};

int64_t GwEdge_Now(void); /* us, a clock that only rises */
/* Carries out what the router has appended, then sends the answers that this
 * made ready, until nothing is left; arms the router's timer. To be called
 * last in each callback of the loop. */
void GwEdge_Carry(GwEdge *edge);
/* leave.c */
/* From now on the entry stops at a signal. */
void GwEdge_AwaitStop(GwEdge *edge);
void GwEdge_GoOnLeaving(GwEdge *edge, int64_t now_us); /* at each sweep */
/* Begins the stop if its signal has come. Called before each step that may begin
 * a request too: the signal may lie seconds back when the loop hears of it.
 * Appends actions, to be carried out by the caller. */
void GwEdge_NoticeStop(GwEdge *edge);
/* A request is over, or its caller left: counts it and writes its line. */
void GwEdge_NoteEnd(const GwExchange *x, GwRequestEnd end, uint16_t status,
                    GwWhy why, const GwRequestStory *story);
/* Whether it knows a configuration and servers, and is not leaving. */
bool GwEdge_IsReady(const GwEdge *edge);
const char *GwEdge_RegionOf(const GwEdge *edge, const char *domain);

/* callers.c */
void GwCallers_OnConnection(uv_stream_t *listener, int status);
/* Takes on those that wait to be accepted, if some do. */
void GwCallers_Resume(GwEdge *edge);
void GwCallers_Sweep(GwEdge *edge, int64_t now_us);
void GwCallers_CloseIdle(GwEdge *edge);
void GwCallers_CloseAll(GwEdge *edge);
void GwCaller_Flush(GwCaller *caller); /* sends what is ready, in order */
/* Asks the socket whether the caller is still there. One that has left is
 * dropped once the actions are carried out that may name its requests. */
bool GwExchange_HasCaller(GwExchange *x);
void GwCallers_DropOneGone(GwEdge *edge);
void GwExchange_Reply(GwExchange *x, uint16_t status, uint32_t retry_after_ms);
void GwExchange_PassOn(GwExchange *x);
/* Worked out on first use. */
const GwFingerprint *GwExchange_Fingerprint(GwExchange *x);

/* answers.c */
/* How the attempt ended that got this answer. */
GwAttemptEnd GwAnswer_End(const GwAdapter *names, const GwHttpMessage *msg,
                          int64_t connect_us);
/* Whether it belongs to the request. A second answer to an earlier request can
 * stand where this one's is expected. */
bool GwAnswer_IsTo(const GwAdapter *names, const GwHttpMessage *msg,
                   const GwHttpMessage *request);

/* server_links.c */
void GwServerLink_Send(GwExchange *x, GwServer *s, uint32_t left_ms);
void GwServerLink_Cancel(GwExchange *x);
/* Connects to see whether the server is alive, and tells the router. */
void GwServerLink_Probe(GwEdge *edge, GwServer *s);
void GwServerLink_Forget(GwEdge *edge, GwServer *s);
/* Ends the attempts whose connections are not made yet. */
void GwServerLink_GiveUpConnecting(GwEdge *edge);
void GwServerLink_CloseAll(GwEdge *edge);
void GwServerLink_Sweep(GwEdge *edge, int64_t now_us);

/* feed.c */
void GwFeed_Close(GwFeed *feed);
/* `is_news`: NULL where every change is. */
GwFeed *GwFeed_Create(GwEdge *edge, const char *table, GwRowChanged changed,
                      GwRowIsNews is_news);
void GwFeed_Free(GwFeed *feed);
void GwFeed_Sweep(GwFeed *feed, int64_t now_us);
/* Whether this entry reads the table from the store, or leaves that to peers. */
void GwFeed_SetReads(GwFeed *feed, bool reads);
/* Reads, and the store answers. */
bool GwFeed_IsHealthy(const GwFeed *feed);
/* The store was away until lately, as this entry saw itself, or by a peer. */
bool GwFeed_WasAway(const GwFeed *feed, int64_t now_us);
/* A peer's report came; `saw_away`: the store was away, it says. */
void GwFeed_NotePeer(GwFeed *feed, int64_t now_us, bool saw_away);
uint64_t GwFeed_Version(const GwFeed *feed);
/* Since the last news of the table, from the store or a peer. */
int64_t GwFeed_AgeMs(const GwFeed *feed, int64_t now_us);
bool GwFeed_IsKnown(const GwFeed *feed);
/* A peer knows more: reads from it what is missing. */
void GwFeed_AskPeer(GwFeed *feed, const char *address, uint64_t version);
/* The same from the store itself, once: for rows that are too large to go from
 * peer to peer. */
void GwFeed_AskStore(GwFeed *feed, uint64_t version);
/* The store has not failed such a call lately, nor does this entry read it
 * anyway. */
bool GwFeed_MayAskStore(const GwFeed *feed);
/* About how many bytes a peer would be told that knows that version. */
uint64_t GwFeed_BytesAfter(const GwFeed *feed, uint64_t version);
/* Answers a peer's read of this copy: 200 with packed rows; 404 for another
 * table or an unknown one; 410 when the peer has to read all. */
GByteArray *GwFeed_Answer(const GwFeed *feed, const GwRowsAsk *ask,
                          uint16_t *status);

/* beliefs.c */
void GwBeliefs_OnOperatorRow(void *ctx, const GwStoreRow *row);
void GwBeliefs_OnServerRow(void *ctx, const GwStoreRow *row);
/* GwRowIsNews of servers' rows. */
bool GwBeliefs_IsNews(void *ctx, const char *key, const char *old,
                      int64_t age_us, const char *value);

/* status.c */
void GwStatus_WriteMetrics(GwEdge *edge, GString *out);
void GwStatus_WriteDump(GwEdge *edge, GString *out);
void GwStatus_Write(GwEdge *edge, GString *out);
/* Requests that servers crashed under, as JSON. */
void GwStatus_WriteSuspects(GwEdge *edge, GString *out);

/* peers.c */
typedef struct {
    uint32_t live;
    int64_t loads_age_ms; /* the oldest among the peers that share servers */
} GwPeersView;

GwPeersView GwPeers_View(const GwPeers *peers);
/* A JSON array with one object a peer; the caller owns it. */
struct json_object *GwPeers_Members(const GwPeers *peers);
GwPeers *GwPeers_Create(GwEdge *edge, GError **error);
/* Closes its sockets; they are gone when the loop has run once more. */
void GwPeers_Close(GwPeers *peers);
void GwPeers_Free(GwPeers *peers);
void GwPeers_Sweep(GwPeers *peers, int64_t now_us);
/* Tells every peer at once, for what can't wait for the next report. */
void GwPeers_Announce(GwPeers *peers);
/* Peers that read the store and saw no outage. */
uint32_t GwPeers_CountReadingWell(const GwPeers *peers);
/* There is news from the store: the next reports to the region go soon. */
void GwPeers_Hurry(GwPeers *peers);
/* The same, to those of the failure domain. */
void GwPeers_HurryDomain(GwPeers *peers);
/* Whether this entry is one of the few that write the row of that name, as all
 * decide alike by a hash. */
bool GwPeers_IsWriterOf(const GwPeers *peers, uint64_t name);
/* How far bytes go to and from the peer of that address. */
GwWay GwPeers_WayTo(const GwPeers *peers, const char *address);
/* Addresses for callers of that place, best first. */
GPtrArray *GwPeers_Directory(const GwPeers *peers, const char *region,
                             const char *domain);

/* reload.c */
/* Reads the settings again if the file has changed (or `always`), and takes
 * over what can change while it runs. */
void GwEdge_Reload(GwEdge *edge, bool always);
void GwEdge_NoteSettings(GwEdge *edge); /* as read now */

/* control.c */
bool GwControl_Listen(GwEdge *edge, GError **error);
void GwControl_CloseAll(GwEdge *edge);

#endif
