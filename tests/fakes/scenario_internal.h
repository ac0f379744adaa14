/* Shared by scenario.c (load, judgement) and scenario_faults.c. */
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
    GArray *pending;     /* indices of calls whose outcome is awaited */
    GHashTable *resends; /* key -> count */
    FakeConfigSpec spec; /* in the table now */
    int64_t lowered_us;  /* when a lowered cap was last accepted; 0 never */
    uint64_t version;    /* of the last change */
    int64_t changed_us;
    int64_t reached_us[NODES]; /* since when it lives and can be reached */
    int64_t closed_us[SERVICES * REGIONS * BACKENDS]; /* by backend; 0 open */
    int64_t fewer_us; /* since when every server has a slot less; 0 never */
    bool hang_up;
    bool unaccepted; /* a change that the operator has still to get through */
    uint32_t operator_node;
} FakeRun;

/* The entry that a fault of the scenario, the first or the second, is about. */
uint32_t FakeRun_Victim(const FakeRun *r, int which);
/* Whether it lives, and callers and peers reach it. */
bool FakeRun_IsReachable(const FakeRun *r, uint32_t node);
/* Puts the changed configuration through, as an operator at that entry. */
void FakeRun_AcceptChange(FakeRun *r, uint32_t node);
/* How long the fault lasts. */
int64_t FakeScenario_LastUs(const FakeScenario *s, int which);
/* Begins or ends the fault. */
void FakeRun_SetFault(FakeRun *r, int which, bool on);

#endif
