/* Internals of the fleet simulation. */
#ifndef GW_TESTS_FAKES_FLEET_INTERNAL_H
#define GW_TESTS_FAKES_FLEET_INTERNAL_H

#include "fakes/fleet.h"

#include "common/heap.h"
#include "common/rng.h"

typedef struct Fleet_s Fleet;
typedef struct Call_s Call;

typedef struct {
    uint32_t id;
    uint32_t region;
    const FleetService *service;
    uint32_t running;
    GQueue queue; /* Call */
    GQueue cache; /* object hashes, the last used at the tail */
} Server;

typedef struct {
    Fleet *fleet;
    uint32_t region;
    GwRouter *router;
    GArray *actions;
    bool is_tick_scheduled;
} Entry;

typedef enum {
    EV_ARRIVE = 1, /* a new request of a kind */
    EV_RETRY,
    EV_TICK,    /* of an entry's router */
    EV_DELIVER, /* a request arrives at the server */
    EV_RUN_END,
    EV_ANSWER,        /* an answer arrives at the entry */
    EV_REPORT,        /* all entries send their reports */
    EV_APPLY_REPORTS, /* all entries receive the reports */
    EV_TOTAL,         /* the demands of all entries are added up */
    EV_APPLY_TOTAL    /* all entries receive the total */
} EventKind;

/* One attempt of a request at a server. */
typedef struct {
    Call *call;
    Server *server;
    bool dropped; /* cancelled by the entry */
    bool retry_or_end;
} Attempt;

struct Call_s {
    const FleetKind *kind;
    Entry *entry;
    GwRequest *request;
    Attempt *attempt;
    uint64_t object;
    char key[32];
    int64_t first_us; /* arrival of the first try */
    int64_t until_us; /* the caller's deadline */
    uint32_t tries;
    bool over;
};

typedef struct {
    EventKind kind;
    uint32_t place;
    void *subject;
} Event;

typedef struct {
    GPtrArray *own;        /* GArray of each entry */
    GPtrArray *placements; /* GArray of each entry */
} Snapshot;

struct Fleet_s {
    const FleetParams *p;
    GwRng rng;
    int64_t now_us;
    GwHeap events;
    GPtrArray *entries;
    GPtrArray *servers;
    GHashTable *by_id;
    GPtrArray *calls; /* all calls and attempts of the run */
    GPtrArray *attempts;
    FleetReport report;
    double owed[FLEET_WINDOWS_MAX];
    double earned[FLEET_WINDOWS_MAX];
    uint32_t end_run[FLEET_REGIONS_MAX][FLEET_WINDOWS_MAX];
    uint32_t sent_to_other_regions[FLEET_REGIONS_MAX][FLEET_WINDOWS_MAX];
};

/* Milliseconds of the case as scaled microseconds. */
int64_t Fleet_ScaledUs(const Fleet *f, double ms);
void Fleet_Schedule(Fleet *f, int64_t when_us, EventKind kind, void *subject);

/* fleet_setup.c */
void Fleet_SetUp(Fleet *f);
/* Frees everything, including pending events. */
void Fleet_TearDown(Fleet *f);

/* fleet_reports.c */
void Fleet_SendReports(Fleet *f);
/* Applies the reports of all entries at all entries. */
void Fleet_ApplyReports(Fleet *f, Snapshot *snap);
void Fleet_FreeSnapshot(Snapshot *snap);
/* Adds up the demands of all entries. */
void Fleet_SendTotal(Fleet *f);
/* Sets the total (GwDemand) at all entries. */
void Fleet_ApplyTotal(Fleet *f, GArray *total);

#endif
