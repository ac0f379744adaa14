/* Shared by scenario.c (load, checks) and scenario_faults.c. */
#ifndef FAKES_SCENARIO_INTERNAL_H
#define FAKES_SCENARIO_INTERNAL_H

#include "fakes/scenario.h"

#define NODES       9
#define REGIONS     3
#define SERVICES    2
#define CAP         6
#define LOWERED_CAP 3
#define BACKENDS    3

typedef struct {
    const FakeScenario *scenario;
    FakeCluster *c;
    GwRng rng;
    GArray *pending;     /* indices of calls without an outcome */
    GHashTable *resends; /* key -> count */
    FakeConfigSpec spec; /* current configuration in the table */
    int64_t lowered_us;  /* when a lowered cap was last accepted; 0: never */
    uint64_t version;    /* of the last change */
    int64_t changed_us;
    int64_t reachable_us[NODES]; /* running and reachable since */
    /* Since when a server is closed, by backend server; 0: open. */
    int64_t closed_us[SERVICES * REGIONS * BACKENDS];
    /* Since when every server has one slot less; 0: never. */
    int64_t lowered_slots_us;
    bool may_disconnect;
    bool must_retry_change; /* a change that the operator must retry */
    uint32_t operator_node;
} FakeRun;

/* The entry that the first (0) or second (1) fault of the scenario affects. */
uint32_t FakeRun_FaultNode(const FakeRun *r, int which);
/* Whether the node runs and callers and peers can reach it. */
bool FakeRun_IsReachable(const FakeRun *r, uint32_t node);
/* Submits the changed configuration, as an operator at that entry. */
void FakeRun_AcceptChange(FakeRun *r, uint32_t node);
/* Duration of the fault in microseconds. */
int64_t FakeScenario_DurationUs(const FakeScenario *s, int which);
/* Starts or ends the fault. */
void FakeRun_SetFault(FakeRun *r, int which, bool on);

#endif
