/* State shared by the files of lib/steer; private to it.
 *
 * backends.c: state of each backend server. units.c: slot units and uses.
 * choose.c: choice of a server. loans.c: the lender's side of loans;
 * borrow.c: the borrower's side. grants.c: calls relayed between regions.
 * configure.c: applies a configuration version. steer.c: the public
 * interface, and the only file that reads the seats. */
#ifndef GW_STEER_STEER_INTERNAL_H
#define GW_STEER_STEER_INTERNAL_H

#include "common/rng.h"
#include "steer/steer.h"

#define GW_MS(ms) ((int64_t)(ms)*1000)

#ifndef GW_MUTANT
#define GW_MUTANT 0
#endif

#define GW_SLOT_WORDS     (GW_MAX_SLOTS / 64)
#define GW_EJECT_FAILURES 5
#define GW_EJECT_BASE_US  GW_MS(1000)
#define GW_EJECT_MAX_US   GW_MS(30000)
#define GW_PANIC_PROBE_US GW_MS(100)
#define GW_SLOW_START_US  GW_MS(10000)
#define GW_WEIGHT_FULL    1000
#define GW_WEIGHT_MIN     100
#define GW_LOAD_FRESH_US  GW_MS(2000)
/* How long a server that was removed from the configuration while draining
 * is remembered: longer than a server takes to shut down. */
#define GW_DRAIN_MEMORY_US    GW_MS(600000)
#define GW_SHED_DEFAULT_MS    100
#define GW_SHED_MAX_MS        5000
#define GW_LATENCY_INITIAL_US GW_MS(10)
#define GW_ASK_TIMEOUT_US     GW_MS(300)
#define GW_ASK_PAUSE_US       GW_MS(2)
/* Slots per loan. A loan is returned as a whole, so one busy slot would delay
 * the return of the others. */
#define GW_ASK_SLOTS_MAX  1
#define GW_LOAN_IDLE_US   0
#define GW_GRANT_PAUSE_US GW_MS(100)
#define GW_GRANT_IDLE_US  GW_MS(500)
#define GW_TRIED_MAX      16
/* How long the region counts as having no lender after a search found none. */
#define GW_NO_LENDER_US  GW_MS(1000)
#define GW_PEER_PAUSE_US GW_MS(1000)
/* Longest distribution of a configuration version, see
 * GwSteer_RemapBlock(). */
#define GW_REMAP_SLACK_US GW_MS(5000)
#define GW_RETRY_HINT_MS  1000

/* A slot unit, or a unit of a cap, as seen by this entry. */
typedef struct {
    uint32_t seat;
    bool is_own;            /* this entry may use its seat */
    bool in_use;            /* from Pick to Done, or to the end of the hold */
    uint64_t lent_loan;     /* loan that it is lent on; 0 none */
    uint64_t borrowed_loan; /* loan that it is borrowed on; 0 none */
    int64_t borrowed_until_us;
    int64_t blocked_until_us; /* its seat changed with the configuration */
} GwSlot;

typedef struct {
    uint64_t id;
    char address[GW_ADDR_MAX];
    bool present; /* in the current configuration */
    bool config_drain;
    bool in_subset;
    uint32_t slot_count;    /* of the current configuration */
    uint32_t slot_capacity; /* records kept: the largest count so far */
    GwSlot *slots;
    uint64_t own_free[GW_SLOT_WORDS];
    uint64_t borrowed_free[GW_SLOT_WORDS];
    uint32_t own_free_count;
    uint32_t borrowed_free_count;
    uint32_t in_flight; /* calls of this entry, held uses included */
    /* Health. */
    uint32_t failures; /* consecutive */
    uint32_t ejections;
    int64_t ejected_until_us; /* 0: not ejected */
    int64_t shed_until_us;
    int64_t slow_start_us; /* 0: slow start is over */
    int64_t own_drain_until_us;
    int64_t reported_open_us; /* last health report without draining */
    int64_t hint_drain_until_us;
    bool was_draining;
    bool logged_ejected;
    bool logged_draining;
    bool has_load;
    uint32_t load;
    int64_t load_at_us;
    int64_t success_at_us;
    int64_t latency_us; /* moving average; 0 unknown */
    int64_t removed_us; /* when it was removed from the configuration */
} GwBackendState;

/* An outstanding LOAN_ASK, and the peers asked in this round. */
typedef struct {
    uint64_t seq; /* 0: none outstanding */
    GwNodeId peer;
    int64_t asked_us;
    int64_t next_us;
    uint32_t tried_count;
    uint64_t tried[GW_TRIED_MAX];
} GwLoanRequestState;

typedef struct {
    uint64_t hash;
    uint32_t index; /* in the configuration; GW_NONE when removed */
    bool has_place;
    bool place_drain;
    uint32_t backend_count;
    GwBackendState **backends;
    GwBackendState **scratch; /* candidates of one choice */
    uint32_t in_flight;       /* without held uses */
    int64_t latency_us;       /* mean over the place's servers */
    GwLoanRequestState slots;
    GwLoanRequestState grants;
    int64_t wait_deadline_us; /* earliest deadline of the waiting calls */
    bool has_waiting;       /* wait_deadline_us was set since the last tick */
    int64_t panic_probe_us; /* when a call may next try an ejected server */
    int64_t no_lender_us;   /* when no peer of the region had a slot to lend */
} GwServiceState;

/* Units that this entry lent, slots or units of a shift; counted as lent
 * until they expire. */
typedef struct {
    uint64_t id;
    GwUnitKind kind;
    GwNodeId peer;
    uint64_t service;
    int64_t expires_us;
    uint32_t in_flight; /* SHIFT: relayed calls running here on the grant */
    uint32_t unit_count;
    GwUnit units[GW_UNITS_MAX];
} GwLent;

/* Units that this entry borrowed. */
typedef struct {
    uint64_t id;
    GwUnitKind kind;
    GwNodeId peer;
    uint64_t service;
    int64_t use_until_us;
    int64_t round_trip_us; /* from LOAN_ASK to LOAN_GIVE */
    int64_t used_us;       /* last use; idle loans are returned */
    int64_t pause_until_us;
    /* No new calls. Kept while calls run, so that a duplicate of its
     * LOAN_GIVE is not answered with a return. */
    bool dropped;
    uint32_t busy; /* SHIFT: units in use, one bit each */
    uint32_t unit_count;
    GwUnit units[GW_UNITS_MAX];
} GwBorrowed;

/* The cap of a shift (kept at its destination) or of a link (kept at its
 * source). */
typedef struct {
    uint64_t owner;
    bool present;
    uint32_t service; /* index in the configuration; shifts only */
    uint32_t from;
    uint32_t to;
    uint32_t percent;
    uint32_t cap;
    uint32_t capacity;
    GwSlot *units;
    int64_t level_milli; /* warm-up: units that may be granted, in 1/1000 */
    int64_t level_at_us;
} GwCapState;

typedef struct {
    uint32_t generation;
    bool active;
    bool held;
    uint32_t next_free;
    GwServiceState *service;
    GwBackendState *backend;
    uint32_t slot;          /* GW_NONE under policies without slot shares */
    uint64_t lent_loan;     /* SHIFT loan the call was relayed on; 0 none */
    uint64_t borrowed_loan; /* SHIFT loan the call was sent on; 0 none */
    uint32_t borrowed_bit;
    uint64_t link; /* owner of the link unit; 0 none */
    uint32_t link_unit;
    int64_t started_us;
    int64_t hold_until_us;
} GwUse;

struct GwSteer_s {
    GwNodeParams params;
    const GwConfig *config;
    uint32_t region; /* index in the configuration, or GW_NONE */
    uint32_t region_hash[GW_MAX_REGIONS];
    uint32_t seat_total;
    GwRng rng;
    uint64_t epoch;
    bool synced;
    bool fenced;
    bool leaving;
    bool has_freed_units;
    int64_t unblock_us; /* last end of a blocked unit; 0 none */
    uint64_t seq_base;
    uint64_t seq;
    uint64_t loan_seq;
    uint32_t entries;    /* live entries of the region, including this one */
    GHashTable *by_id;   /* uint64 id -> GwBackendState */
    GPtrArray *services; /* GwServiceState, kept until GwSteer_Free() */
    GwServiceState *by_index[GW_MAX_SERVICES];
    GArray *lent;      /* GwLent */
    GArray *borrowed;  /* GwBorrowed */
    GPtrArray *shifts; /* GwCapState */
    GPtrArray *links;  /* GwCapState */
    uint32_t use_count;
    uint32_t use_capacity;
    uint32_t use_free; /* head of the free list */
    uint32_t use_active;
    GwUse *uses;
};

/* backends.c */
bool GwBackend_IsDraining(const GwBackendState *b, int64_t now_us);
bool GwBackend_IsEjected(const GwBackendState *b, int64_t now_us);
bool GwBackend_IsAvailable(const GwBackendState *b, int64_t now_us);
uint32_t GwBackend_SlowStartWeight(const GwBackendState *b, int64_t now_us);
uint64_t GwBackend_EstimateLoad(const GwBackendState *b, int64_t now_us);
void GwBackend_RecordSuccess(GwBackendState *b, int64_t now_us,
                             int64_t latency_us);
void GwBackend_RecordFailure(GwBackendState *b, int64_t now_us, GwRng *rng);
void GwBackend_RecordLoad(GwBackendState *b, int64_t now_us, uint32_t load);
void GwBackend_RecordDrain(GwBackendState *b, int64_t until_us);
void GwBackend_RecordShed(GwBackendState *b, int64_t now_us,
                          uint32_t retry_after_ms);
bool GwBackend_Tick(GwBackendState *b, int64_t now_us);
void GwBackend_RecordEnd(GwBackendState *b, int64_t now_us, int64_t latency_us,
                         const GwAttemptEvent *end, int64_t drain_ttl_us,
                         GwRng *rng);

/* configure.c */
void GwSteer_RefreshAll(GwSteer *s, int64_t now_us);

/* units.c */
void GwBackend_Resize(GwBackendState *b, uint32_t slots);
void GwBackend_RefreshSlot(GwBackendState *b, uint32_t slot, int64_t now_us);
void GwBackend_RefreshAll(GwBackendState *b, int64_t now_us);
uint32_t GwBackend_FindSlot(const GwBackendState *b, int64_t deadline_us);
GwBackendState *GwSteer_FindBackend(const GwSteer *s, uint64_t id);
GwServiceState *GwSteer_FindService(const GwSteer *s, uint64_t hash);
GwUse *GwSteer_BeginUse(GwSteer *s, int64_t now_us, GwServiceState *service,
                        uint32_t *handle);
GwUse *GwSteer_FindUse(GwSteer *s, uint32_t handle);
void GwSteer_EndUse(GwSteer *s, int64_t now_us, GwUse *use);
bool GwSteer_EndHeldUses(GwSteer *s, int64_t now_us);

/* choose.c */
GwBackendState *GwSteer_ChooseBackend(GwSteer *s, int64_t now_us,
                                      GwServiceState *service,
                                      const GwPickRequest *request);
void GwSteer_SelectSubset(GwSteer *s, GwServiceState *service);
bool GwService_AllDraining(const GwServiceState *service, int64_t now_us);
bool GwService_HasSlots(const GwServiceState *service);
bool GwService_HasAvailable(const GwServiceState *service, int64_t now_us);

/* loans.c */
uint32_t GwSteer_CountLendable(const GwSteer *s, int64_t now_us,
                               const GwServiceState *service, uint32_t queued);
uint32_t GwSteer_CountGrantable(const GwSteer *s, int64_t now_us,
                                const GwServiceState *service,
                                uint32_t queued);
GwLent *GwSteer_FindLent(const GwSteer *s, uint64_t loan);
GwBorrowed *GwSteer_FindBorrowed(const GwSteer *s, uint64_t loan);
bool GwSteer_SendAsk(GwSteer *s, int64_t now_us, const GwMembers *members,
                     GwLoanRequestState *asking, uint32_t regions,
                     GwLoanAsk *ask, GwActions *out);
GwMessage *GwSteer_SendTo(GwSteer *s, const GwMembers *members, GwNodeId to,
                          GwMessageKind kind, GwActions *out);
void GwSteer_SendGive(GwSteer *s, const GwMembers *members,
                      const GwLoanAsk *ask, const GwLent *lent,
                      GwActions *out);
int64_t GwSteer_LoanExpiry(const GwSteer *s, int64_t now_us);
uint64_t GwSteer_NextLoan(GwSteer *s);
void GwSteer_ExpireLent(GwSteer *s, int64_t now_us);
void GwSteer_TickLoans(GwSteer *s, int64_t now_us, const GwMembers *members,
                       const uint32_t *queued, GwActions *out);
void GwSteer_SendSlotRequests(GwSteer *s, int64_t now_us,
                              const GwMembers *members, const uint32_t *queued,
                              GwActions *out);
void GwSteer_ReceiveLoanAsk(GwSteer *s, int64_t now_us, const GwMessage *msg,
                            const GwMembers *members, const uint32_t *queued,
                            GwActions *out);
bool GwSteer_ReceiveLoanGive(GwSteer *s, int64_t now_us, const GwMessage *msg,
                             const GwMembers *members, GwActions *out);
bool GwSteer_ReceiveLoanReturn(GwSteer *s, int64_t now_us,
                               const GwMessage *msg);
void GwSteer_DropAllLoans(GwSteer *s, int64_t now_us);
void GwSteer_DropLoan(GwSteer *s, int64_t now_us, uint64_t loan);
void GwSteer_ReturnIdle(GwSteer *s, int64_t now_us, const GwMembers *members,
                        const uint32_t *queued, GwActions *out);
bool GwSteer_IsPeer(const GwMembers *members, GwNodeId id,
                    uint32_t region_hash);
void GwService_NoteWait(GwServiceState *service, const GwPickRequest *request,
                        const GwPick *out);
uint32_t GwSteer_CountFreeUnits(const GwServiceState *service, int64_t now_us);

/* grants.c */
uint64_t GwShift_Owner(const GwConfig *c, const GwShift *shift);
uint64_t GwLink_Owner(const GwConfig *c, const GwLink *link);
void GwSteer_ConfigureCaps(GwSteer *s, int64_t now_us);
int64_t GwSteer_RemapBlock(const GwSteer *s, int64_t now_us,
                           const GwSlot *unit, uint32_t seat);
GwCapState *GwSteer_FindCap(const GPtrArray *caps, uint64_t owner);
bool GwSteer_HasShift(const GwSteer *s, uint32_t service);
bool GwSteer_GrantAdmits(const GwSteer *s, int64_t now_us,
                         const GwPickRequest *request);
bool GwSteer_PickPeer(GwSteer *s, int64_t now_us, GwServiceState *service,
                      const GwPickRequest *request, const GwMembers *members,
                      GwPick *out);
bool GwSteer_ShouldShift(GwSteer *s, uint32_t service);
void GwSteer_TickGrants(GwSteer *s, int64_t now_us, const GwMembers *members,
                        const uint32_t *queued, GwActions *out);
void GwSteer_ReceiveGrantAsk(GwSteer *s, int64_t now_us, const GwMessage *msg,
                             const GwMembers *members, const uint32_t *queued,
                             GwActions *out);

#endif
