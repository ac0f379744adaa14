/* A host for the steering core on virtual time: it carries out the actions on
 * backend servers that are only records, and writes down every promise that
 * was not kept. */
#ifndef GW_TESTS_FAKES_STEERING_H
#define GW_TESTS_FAKES_STEERING_H

#include "router/router.h"

typedef struct {
    GwRequest *handle; /* NULL before ACCEPT and when over */
    bool idempotent;
    bool over;
    bool may_have_run;
    uint16_t status; /* of our own; 0: answered by a server, or open */
    uint32_t sends;
    uint32_t servers; /* that it reached */
    GwServer *server; /* of the attempt under way */
    char server_id[16];
    int64_t until_us;        /* its caller or its route waits no longer */
    uint32_t left_ms;        /* as told with the last send */
    uint32_t retry_after_ms; /* as told with a status of our own */
} FakeRequest;

typedef struct {
    char id[16];
    bool listed;
    bool draining;
    int64_t draining_us;
    int64_t cold_until_us;
    GArray *arrivals; /* int64_t us */
} FakeServer;

typedef struct {
    GwRouter *router;
    GwRouterParams params;
    GArray *actions;
    int64_t now_us;
    GPtrArray *requests; /* FakeRequest */
    GPtrArray *servers;  /* FakeServer */
    uint32_t firsts;     /* first sends, */
    uint32_t repeats;    /* and further ones that reached a server */
    int64_t end_us;      /* of a stop; 0: none was begun */
    GString *broken;     /* promises not kept, a line each */
} FakeSteering;

#define FAKE_US_PER_S 1000000

FakeSteering *FakeSteering_Create(const char *region, const char *domain);
void FakeSteering_Free(FakeSteering *f);
/* One host "h" with the routes /once/ and /again/ (at most once, idempotent),
 * both to service "s", of the given version. */
void FakeSteering_Configure(FakeSteering *f, uint64_t version,
                            uint32_t attempts_max);
GwRouting *FakeSteering_Routing(uint64_t version, uint32_t attempts_max);
/* Sends both routes to another service. */
void FakeSteering_MoveRoutes(GwRouting *routing, const char *service);
/* An entry of the registry, to be changed before it is given to the core. */
GwServerInfo FakeSteering_Info(const char *id, const char *service,
                               const char *region, const char *domain,
                               uint32_t slots);
void FakeSteering_Put(FakeSteering *f, const char *id, const char *region,
                      const char *domain, uint32_t slots);
void FakeSteering_Drain(FakeSteering *f, const char *id);
void FakeSteering_Drop(FakeSteering *f, const char *id);
void FakeSteering_SetCold(FakeSteering *f, const char *id, uint32_t ms);
/* A request to /once/ or /again/; key may be NULL. */
FakeRequest *FakeSteering_Arrive(FakeSteering *f, const char *path,
                                 const char *key, int64_t left_ms);
/* Ends the attempt under way. */
void FakeSteering_End(FakeSteering *f, FakeRequest *req,
                      GwAttemptOutcome outcome, uint16_t status);
void FakeSteering_Leave(FakeSteering *f, FakeRequest *req);
/* The entry stops: nothing that it sends from now on may run beyond the end,
 * `grace_us` from now, when what is still open is cut. */
void FakeSteering_Stop(FakeSteering *f, int64_t grace_us);
/* Moves time on, and does what is due on the way. */
void FakeSteering_Pass(FakeSteering *f, int64_t us);
void FakeSteering_Carry(FakeSteering *f);

#endif
