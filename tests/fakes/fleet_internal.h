/* What the parts of the fleet share. */
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
    GQueue queue;  /* Call */
    GQueue memory; /* object hashes, the last used at the tail */
} Server;

typedef struct {
    Fleet *fleet;
    uint32_t region;
    GwRouter *router;
    GArray *actions;
    bool armed;
} Entry;

typedef enum {
    EV_ARRIVE = 1, /* a new request of a kind */
    EV_COMEBACK,
    EV_TICK,  /* of an entry's router */
    EV_REACH, /* the server gets it */
    EV_RAN,
    EV_ANSWER, /* the entry gets the answer */
    EV_REPORT, /* all entries tell */
    EV_LEARN   /* and all know it */
} EventKind;

/* One sending of a request to a server. */
typedef struct {
    Call *call;
    Server *server;
    bool dropped; /* the entry has given it up */
    bool refused;
} Attempt;

struct Call_s {
    const FleetKind *kind;
    Entry *entry;
    GwRequest *request;
    Attempt *attempt;
    uint64_t object;
    char key[32];
    int64_t first_us; /* of the caller's first try */
    int64_t until_us; /* the caller waits until then */
    uint32_t tries;
    bool over;
};

typedef struct {
    EventKind kind;
    uint32_t place;
    void *subject;
} Event;

typedef struct {
    GPtrArray *own;    /* GArray of each entry */
    GPtrArray *places; /* GArray of each entry */
} Snapshot;

struct Fleet_s {
    const FleetParams *p;
    GwRng rng;
    int64_t now_us;
    GwHeap events;
    GPtrArray *entries;
    GPtrArray *servers;
    GHashTable *by_id;
    GPtrArray *calls; /* all there ever were, and their attempts */
    GPtrArray *attempts;
    FleetReport report;
    double owed[FLEET_WINDOWS_MAX];
    double earned[FLEET_WINDOWS_MAX];
    uint32_t ran[FLEET_REGIONS_MAX][FLEET_WINDOWS_MAX];
    uint32_t far[FLEET_REGIONS_MAX][FLEET_WINDOWS_MAX];
};

/* Milliseconds of the case as scaled microseconds. */
int64_t Fleet_Us(const Fleet *f, double ms);
void Fleet_At(Fleet *f, int64_t when_us, EventKind kind, void *subject);

/* fleet_setup.c */
void Fleet_SetUp(Fleet *f);
/* Frees all, also what is under way. */
void Fleet_TearDown(Fleet *f);

/* fleet_news.c */
void Fleet_Tell(Fleet *f);
/* All entries know what all others had in flight when they told. */
void Fleet_Learn(Fleet *f, Snapshot *snap);
void Fleet_FreeSnapshot(Snapshot *snap);

#endif
