/* State shared by the files of the runtime.
 *
 * Lock order; a thread that holds a lock takes only locks later in the list:
 *
 *   1. node_lock       one GwNode_Step, ticket minting, a dump, or copying a
 *                      publication
 *   2. call_lock       tables of open calls and relays, kept answers
 *   3. OpenCall.mutex  mailbox and attempts of one call
 *   4. GwNet.peer_lock, retired_lock, the locks in GwDispatcher and GwAbort
 *
 * No lock is held during I/O, while actions are executed or while events are
 * logged. Executing the actions of a step may start another step: each step
 * has its own list of actions. */
#ifndef GW_RUNTIME_INTERNAL_H
#define GW_RUNTIME_INTERNAL_H

#include "admin/admin.h"
#include "common/log.h"
#include "common/metrics.h"
#include "platform/list.h"
#include "platform/objects.h"
#include "platform/table.h"
#include "runtime/dispatch.h"
#include "runtime/net.h"
#include "runtime/net_internal.h"
#include "runtime/runtime.h"
#include "runtime/workers.h"

#include <civetweb.h>
#include <glib.h>
#include <pthread.h>

#define KEPT_ANSWERS_MAX_BYTES (64u << 20)
#define HEDGE_THREADS          64
#define TABLE_THREADS          2
#define RELAY_QUEUE_MAX        1024
#define RELAY_SWEEP_TICKS      5
#define DEADLINE_DEFAULT_MS    5000
#define FINISH_GRACE_US        5000000
#define IDLE_MAX_DIVISOR       16 /* 1/16 of a server's connections */

/* A backend server of this region in a Snapshot. */
typedef struct {
    uint64_t id;
    char address[GW_ADDR_MAX];
    uint32_t connections; /* limit of the server, over all entries */
} PolledBackend;

typedef struct {
    char name[GW_NAME_MAX];
    uint32_t deadline_max_ms;
    uint32_t redirect_draws; /* smaller draws list another entry first */
    /* Look-up answer per draw, up to the tickets. All draws from redirect_draws
     * on share the answer at that index. */
    char *entries[GW_LOOKUP_DRAWS + 1];
} ServiceView;

/* Immutable data for look-ups and background threads, published by RCU. */
typedef struct {
    uint64_t config_version;
    uint32_t service_count;
    ServiceView services[GW_MAX_SERVICES];
    uint32_t region_entries; /* in this region, including this one */
    uint32_t backend_count;  /* in this region */
    PolledBackend *backends;
    GBytes *text;
} Snapshot;

/* A call that a thread of this process drives to its outcome. Reference
 * counted: the table, that thread and each running attempt hold one. */
typedef struct {
    int refs;
    uint64_t handle;
    GwCallRequest request; /* as received; owns its body */
    int64_t deadline_us;
    char request_id[GW_TICKET_TEXT_MAX];
    pthread_mutex_t mutex;
    pthread_cond_t wake;
    GQueue mailbox;         /* GwDispatchAction * for the driving thread */
    GHashTable *aborts;     /* attempt to GwAbort */
    GHashTable *answers;    /* attempt to GwAnswer */
    uint32_t attempts_open; /* queued or running */
    bool was_relayed;       /* a relay of this call was started */
    bool finished;
    GwFinishAction finish;
    GwAnswer *answer; /* the answer of finish, or NULL */
} OpenCall;

/* A call relayed to a peer that has not replied. */
typedef struct {
    uint64_t id;
    uint64_t call;
    uint32_t attempt;
    int64_t give_up_us;
    char address[GW_ADDR_MAX];
} Relay;

typedef struct {
    GwCounter answered;
    GwCounter not_run;
    GwCounter unknown;
    GwCounter attempts;
    GwCounter relays_out;
    GwCounter relays_in;
    GwCounter lookups;
    GwCounter table_requests;
    GwCounter table_lost;
    GwCounter answers_missing;
    GwCounter overdue;
    GwCounter callers_refused;
    GwHistogram step_us;
    GwHistogram call_us;
    GwHistogram attempt_us;
} RuntimeMetrics;

struct GwRuntime_s {
    const GwSettings *settings;
    GwNodeParams params;
    char *admin_token;

    pthread_mutex_t node_lock;
    GwNode *node;
    Snapshot *snapshot; /* RCU; written under node_lock */

    pthread_mutex_t retired_lock;
    GPtrArray *retired; /* Snapshot * to free after a grace period */

    pthread_mutex_t call_lock;
    GHashTable *open;       /* handle to OpenCall */
    GHashTable *relays;     /* id to Relay */
    GHashTable *relayed_in; /* RelayKey to handle */
    GwAnswers *answers;
    uint64_t next_handle;
    uint64_t next_relay;

    GwNet *net;
    GwDispatcher *dispatcher;
    GwTableClient *table;
    GwObjectClient *objects;
    GwInstanceListClient *list;
    GwWorkers *hedge_pool;
    GwWorkers *relay_pool;
    GwWorkers *table_pool;
    pthread_t list_thread;
    pthread_t health_thread;
    bool threads_running;
    struct mg_context *http;
    GwAdmin *admin;

    uint32_t ticks;                 /* of the network thread */
    atomic_uint caller_connections; /* each occupies a caller thread */
    atomic_uint caller_calls;       /* without an outcome yet */
    atomic_uint relays_active;
    atomic_bool leaving;
    atomic_bool stopped;
    atomic_bool closing; /* start no new background work */
    RuntimeMetrics metrics;
};

/* runtime.c */
void Runtime_Step(GwRuntime *rt, const GwEvent *event);

/* snapshot.c. A reader registers its thread once and encloses each use in
 * a ReadLock and ReadUnlock pair. */
void Snapshot_Publish(GwRuntime *rt); /* requires node_lock */
const Snapshot *Snapshot_ReadLock(GwRuntime *rt);
void Snapshot_ReadUnlock(void);
void Snapshot_RegisterThread(void);
void Snapshot_UnregisterThread(void);
void Snapshot_FreeRetired(GwRuntime *rt); /* blocks; hold no lock */
void Snapshot_Free(Snapshot *snapshot);
const ServiceView *Snapshot_Service(const Snapshot *snapshot,
                                    const char *name);

/* call.c. An `arg` is the GwRuntime. */
OpenCall *Call_Open(GwRuntime *rt, GwCallRequest *request,
                    int64_t deadline_us);
/* Passes the event to the node and blocks until the final outcome. */
void Call_Drive(GwRuntime *rt, OpenCall *call, const GwCallEvent *event);
void Call_Close(GwRuntime *rt, OpenCall *call);
void Call_Unref(OpenCall *call);
/* Returns a new reference, or NULL when the call is not open. */
OpenCall *Call_Find(GwRuntime *rt, uint64_t handle);
void Call_OnDispatch(GwRuntime *rt, const GwDispatchAction *action);
void Call_OnCancel(GwRuntime *rt, uint64_t handle, uint32_t attempt);
void Call_OnFinish(GwRuntime *rt, const GwFinishAction *action);
void Call_PutAnswer(OpenCall *call, uint32_t attempt, GwAnswer *answer);
void Call_RunHedge(void *job, void *arg);
void Call_ReportNotRun(GwRuntime *rt, uint64_t handle, uint32_t attempt,
                       GwReason reason);

/* relay.c. An `arg` is the GwRuntime. */
void Relay_OnAction(GwRuntime *rt, const GwRelayAction *action);
/* Cancels the relays of one attempt of the call, or all of them if attempt
 * is 0. */
void Relay_Cancel(GwRuntime *rt, uint64_t call, uint32_t attempt);
void Relay_Sweep(GwRuntime *rt, int64_t now_us);
void Relay_OnReply(void *arg, GwCallReply *reply);
void Relay_OnLost(void *arg, uint64_t id, bool sent);
void Relay_OnCall(void *arg, uint64_t link, GwNodeId from,
                  GwCallRequest *call);
void Relay_OnPeerCancel(void *arg, uint64_t link, uint64_t id);
void Relay_Serve(void *job, void *arg);
guint RelayKey_Hash(gconstpointer key);
gboolean RelayKey_Equal(gconstpointer a, gconstpointer b);

/* caller.c */
bool Caller_Start(GwRuntime *rt, GError **error);

/* pollers.c */
/* Queues the request and takes ownership of it. */
void Pollers_OnTable(GwRuntime *rt, GwTableRequest *request);
void Pollers_RunTable(void *job, void *arg);
void *Pollers_ListThread(void *arg);
void *Pollers_HealthThread(void *arg);

/* report.c */
GwAdminHost Report_AdminHost(GwRuntime *rt);

#endif
