/* Simulates nine entries in three regions under load with two simultaneous
 * faults, and checks all guarantees. Used by the fault pairs and by the
 * properties of whole nodes. */
#ifndef FAKES_SCENARIO_H
#define FAKES_SCENARIO_H

#include "fakes/cluster.h"

/* Faults, each for some seconds. X(symbol, name) */
#define FAKE_FAULT_TABLE(X)                                                   \
    X(NONE, "none")                                                           \
    X(REPORTS_STOP, "reports-stop")                                           \
    X(LYING, "backend-lies-idle")                                             \
    X(CRASH, "entry-dies")                                                    \
    X(REGION_ENTRIES, "region-entries-die")                                   \
    X(REGION_BACKENDS, "region-backends-down")                                \
    X(STORE_AWAY, "store-away")                                               \
    X(STORE_SLOW, "store-slow")                                               \
    X(STORE_LOSES, "store-loses-answers")                                     \
    X(PAUSE, "entry-paused")                                                  \
    X(CHANGES, "operators-change-caps")                                       \
    X(SILENT, "backend-silent")                                               \
    X(RESETS, "backend-resets")                                               \
    X(CUT, "regions-cut")                                                     \
    X(LOSS, "messages-lost")                                                  \
    X(LIST_WRONG, "list-wrong")                                               \
    X(REPLACE, "entry-replaced")                                              \
    X(DRAIN, "backend-drains")                                                \
    X(SLOW, "backend-slow")                                                   \
    X(ISOLATED, "entry-isolated")                                             \
    X(HANG_UP, "callers-hang-up")                                             \
    X(PLACE_DRAIN, "place-drained")                                           \
    X(PERCENT, "percent-shifted")                                             \
    X(SLOTS, "slots-lowered")                                                 \
    X(NO_SERVICE, "service-removed")                                          \
    X(NO_PLACE, "place-removed")                                              \
    X(NO_BACKEND, "backend-removed")                                          \
    X(TWO_CRASHES, "two-entries-die")                                         \
    X(STORE_LONG, "store-away-past-hold-off")                                 \
    X(PAUSE_LONG, "entry-paused-past-loan")

typedef enum {
#define FAKE_FAULT_ENUM(sym, name) FAKE_FAULT_##sym,
    FAKE_FAULT_TABLE(FAKE_FAULT_ENUM)
#undef FAKE_FAULT_ENUM
        FAKE_FAULT_COUNT
} FakeFault;

const char *FakeFault_Name(FakeFault fault);

typedef struct {
    uint64_t seed;
    FakeFault faults[2];
    int64_t begin_us[2];  /* after the warm-up */
    int64_t last_us[2];   /* duration */
    uint32_t calls_per_s; /* per entry */
} FakeScenario;

/* Results of a run; see FakeScenarioReport_Violations for the checks. */
typedef struct {
    FakeCallsReport calls;
    uint32_t over_cap;          /* shifted calls above their cap */
    uint32_t version_decreases; /* entries whose version decreased */
    uint32_t behind;            /* entries with an old version at the end */
    uint32_t slow_propagation;  /* reachable entries 5 s behind a change */
    uint32_t late_starts; /* servers that started calls after CLOSED_US */
    uint32_t over_lowered_slots; /* servers above a lowered slot count */
    uint32_t idle_seats;         /* regions whose seats were not recovered */
    uint32_t shifted; /* calls that ran in another region; no violation */
} FakeScenarioReport;

FakeScenarioReport FakeScenario_Run(const FakeScenario *scenario);
/* Number of violated guarantees; 0: passed. */
uint32_t FakeScenarioReport_Violations(const FakeScenarioReport *verdict);
void FakeScenarioReport_Print(const FakeScenarioReport *verdict,
                              const char *title);

#endif
