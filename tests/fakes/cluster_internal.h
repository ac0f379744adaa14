/* Internals of the cluster simulation. */
#ifndef FAKES_CLUSTER_INTERNAL_H
#define FAKES_CLUSTER_INTERNAL_H

#include "fakes/cluster.h"

typedef enum {
    FAKE_TICK = 1,
    FAKE_DELIVER,
    FAKE_TABLE_RUN,
    FAKE_TABLE_REPLY,
    FAKE_LIST_POLL,
    FAKE_HEALTH_POLL,
    FAKE_BACKEND_IN,
    FAKE_BACKEND_DONE,
    FAKE_ATTEMPT_END,
    FAKE_RELAY_IN
} FakeEventKind;

/* State of a call at the host of one node. */
typedef struct {
    uint64_t handle;
    uint32_t node;
    uint32_t epoch;
    uint64_t key;
    char service[GW_NAME_MAX];
    bool idempotent;
    GwTicket ticket;
    int64_t deadline_us;
    uint32_t caller_call; /* index in calls; GW_NONE when relayed */
    uint32_t sending;     /* index of the caller's send, also if relayed */
    uint32_t from_node;   /* relayed: the node that gets the answer */
    uint32_t from_epoch;
    uint64_t from_handle;
    uint32_t from_attempt;
    bool counted_shift;
} FakeHostCall;

typedef struct {
    FakeEventKind kind;
    int64_t at_us;
    uint32_t node;
    uint32_t epoch;
    uint32_t heap_place;
    GwMessage *message;
    GwTableRequest *request;
    GwTableReply *reply;
    uint64_t handle;
    uint32_t attempt;
    uint32_t backend;
    int64_t give_up_us;
    GwAttemptEvent end;
    GwRelayAction relay;
    uint64_t grant;
    bool run_counted;
} FakeEvent;

FakeEvent *FakeCluster_Post(FakeCluster *c, FakeEventKind kind, int64_t at_us,
                            uint32_t node);
void FakeCluster_Step(FakeCluster *c, uint32_t node, const GwEvent *event);
int64_t FakeCluster_Delay(FakeCluster *c, uint32_t a, uint32_t b);
bool FakeCluster_IsCut(const FakeCluster *c, uint32_t a, uint32_t b);

/* cluster_table.c */
void FakeTable_Request(FakeCluster *c, uint32_t node, GwTableRequest *req);
void FakeTable_Run(FakeCluster *c, FakeEvent *ev);
void FakeTable_FreeRequest(GwTableRequest *request);
void FakeTable_FreeReply(GwTableReply *reply);
void FakeTable_Put(FakeCluster *c, const char *key, const char *value);

/* cluster_calls.c */
void FakeCalls_Dispatch(FakeCluster *c, uint32_t node,
                        const GwDispatchAction *dispatch);
void FakeCalls_BackendIn(FakeCluster *c, const FakeEvent *ev);
void FakeCalls_BackendDone(FakeCluster *c, const FakeEvent *ev);
void FakeCalls_Relay(FakeCluster *c, uint32_t node,
                     const GwRelayAction *relay);
void FakeCalls_RelayIn(FakeCluster *c, const FakeEvent *ev);
void FakeCalls_Finish(FakeCluster *c, uint32_t node,
                      const GwFinishAction *finish);

#endif
