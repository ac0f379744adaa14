/* Declarations of the decisions about a request: candidates, choice of a
 * server, load shedding and previews. */
#ifndef GW_ROUTER_DECISIONS_H
#define GW_ROUTER_DECISIONS_H

#include "router/router_internal.h"

/* choose.c */
typedef struct {
    GwServer *server;     /* NULL: no server can take the request */
    bool has_free_slot;   /* a slot is free there now */
    bool in_time;         /* the answer is expected within the objective */
    bool prefers_remote;  /* the best server is in another region */
    bool is_placement;    /* the server is a placement of the object */
    double est_us;        /* expected time to the answer */
    double wait_us;       /* part of est_us until a slot is free */
    int64_t last_slot_us; /* a later run may not end before a stop */
} GwChoice;

/* Why a server is no candidate for a request. */
typedef enum {
    GW_ELIGIBLE = 0,
    GW_INELIGIBLE_SERVICE,
    GW_INELIGIBLE_LEAVING,
    GW_INELIGIBLE_UNLISTED, /* not in the registry, or without slots */
    GW_INELIGIBLE_EVACUATED,
    GW_INELIGIBLE_REGION_SHARE, /* limit on cross-region requests */
    GW_INELIGIBLE_HOMES,
    GW_INELIGIBLE_TRIED, /* by this request */
    GW_INELIGIBLE_UNREACHED,
    GW_INELIGIBLE_EJECTED,
    GW_INELIGIBLE_LIMITED, /* no share of the server's rate limit */
    GW_INELIGIBLE_COLD,    /* no share of the rate of a cold server */
} GwIneligible;

const char *GwIneligible_Name(GwIneligible why);

typedef struct {
    const GwServer *server;
    GwIneligible why;
    bool is_placement;
    double load; /* requests in flight and reserved, known to this entry */
    double wait_us;
    double est_us;
    double cost_us; /* the least one is chosen */
} GwCandidateView;

/* Visits all servers of the request's service; sends nothing. */
void GwRouter_EachCandidate(GwRouter *r, int64_t now_us, GwRequest *req,
                            void (*visit)(void *ctx,
                                          const GwCandidateView *candidate),
                            void *ctx);

GwChoice GwRouter_Choose(GwRouter *r, int64_t now_us, GwRequest *req);
/* Returns whether the server can take one more request now, beside the
 * reservations of waiting requests. */
bool GwServer_HasCapacity(const GwRouter *r, const GwServer *s,
                          int64_t now_us);

/* requests.c */
typedef enum {
    GW_DECIDE_REFUSE = 1,
    GW_DECIDE_SEND, /* a slot is free at the chosen server */
    GW_DECIDE_WAIT  /* for a slot there */
} GwDecisionKind;

/* What is to be done with a request that is not sent, before load shedding. */
typedef struct {
    GwDecisionKind kind;
    GwReplyReason why; /* REFUSE */
    bool prefers_peer; /* first tries to pass it on to another entry */
    bool has_chosen;   /* GwRouter_Choose was called for `choice` */
    GwChoice choice;
} GwDecision;

/* Decides without sending or counting anything. */
GwDecision GwRequest_Decide(GwRouter *r, int64_t now_us, GwRequest *req);
/* arrivals.c */
/* A request that is never sent, with the state that it refers to. */
typedef struct {
    GwRequest request;
    GwRouteState state;
    GwKey key; /* if the object is not known */
} GwPreview;

/* Sets up the request of a preview. Returns why it is refused at arrival, or
 * GW_REPLY_NONE. In any case GwRouter_EndPreview must be called. */
GwReplyReason GwRouter_BeginPreview(GwRouter *r, int64_t now_us,
                                    const GwArrival *arrival, GwPreview *out);
void GwRouter_EndPreview(GwPreview *preview);

/* shed.c */
/* Level of a request at the chosen server. */
uint32_t GwRequest_Level(const GwRequest *req, const GwChoice *c);
/* Counts a request in the demand when it is first placed. Returns whether it
 * is to be refused because slots are short at all entries. */
bool GwRequest_IsShed(GwRouter *r, int64_t now_us, GwRequest *req,
                      const GwChoice *c);
/* Retry delay of a request that was shed. */
uint32_t GwRequest_ShedRetryAfterMs(GwRouter *r, int64_t now_us,
                                    const GwRequest *req);

#endif
