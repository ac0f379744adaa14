/* State shared by the seat*.c files; private to lib/steer.
 *
 * The row in the table is the only authority on who holds a seat. A process
 * knows a row only from a read or from a confirmed write, and every write is
 * conditional on the row version that the decision was based on. Of two writes
 * based on the same version only one succeeds, and the effect of a write whose
 * reply was lost is determined by reading the row. */
#ifndef GW_STEER_SEATS_INTERNAL_H
#define GW_STEER_SEATS_INTERNAL_H

#include "common/log_events.h"
#include "common/rng.h"
#include "config/sync.h"
#include "steer/seats.h"

#include <inttypes.h>

#ifndef GW_MUTANT
#define GW_MUTANT 0
#endif

/* Timing of requests and reads, in microseconds. */
#define GW_SEAT_REQUEST_TIMEOUT_US 3000000LL /* of a read or write */
#define GW_SEAT_EXPIRE_PERIOD_US   100000LL  /* between timeout scans */
/* Delay of the first read; the member list is known by then. */
#define GW_SEAT_FIRST_READ_US 1000000LL
#define GW_SEAT_READ_SOON_US  100000LL /* delay of an early read */
/* A seat that has been free, or whose holder has been stopped, for longer than
 * this may be claimed by entries that already hold their fair share. */
#define GW_SEAT_UNCLAIMED_US 10000000LL
/* Longest age of an instance list that shows that a holder has stopped. */
#define GW_SEAT_LIST_FRESH_US 30000000LL
/* Handover: resend period of an unanswered offer, sends to one peer, peers
 * tried before the table is written, and how long an accepted offer waits for
 * the taker's write. */
#define GW_SEAT_RESEND_US       500000LL
#define GW_SEAT_SENDS_PER_PEER  3
#define GW_SEAT_PEERS_MAX       3
#define GW_SEAT_TAKE_TIMEOUT_US 10000000LL
#define GW_SEAT_CLAIMS_MAX      8 /* new claims per read */
/* Left shift of the read period while the table fails. A holder must read
 * its rows twice within the hold-off, also when the table is slow, because
 * it may have to object to a notice. */
#define GW_SEAT_BACKOFF_MAX 1
/* With more rows than this, reads use the longer period as well. */
#define GW_SEAT_SLOW_POLL_ROWS 64

typedef enum {
    GW_SEAT_NONE = 0,         /* not held here */
    GW_SEAT_HELD = 1,         /* the row names this process */
    GW_SEAT_HANDING_OVER = 2, /* held; waits for its units to become idle */
    GW_SEAT_RELEASED = 3,     /* the row still names this process; offered to
                           * peers, never used again */
    GW_SEAT_GIVEN = 4,        /* a peer accepted the offer */
    GW_SEAT_TAKING = 5 /* offer accepted here; the row is not yet written */
} GwSeatState;

/* Purpose of the write in flight. */
typedef enum {
    GW_SEAT_OP_NONE = 0,
    GW_SEAT_OP_CLAIM = 1,  /* of a free row, or of a stopped holder's row */
    GW_SEAT_OP_NOTICE = 2, /* announces a reclaim in the row */
    GW_SEAT_OP_OBJECT = 3, /* the holder's reply to a notice: clears it */
    GW_SEAT_OP_FREE = 4,   /* no peer took the seat: any entry may claim it */
    GW_SEAT_OP_RESUME = 5, /* no peer took the seat: hold it again */
    GW_SEAT_OP_TAKE = 6    /* writes this process into an offered row */
} GwSeatOp;

typedef struct {
    uint64_t version; /* 0: no row */
    GwNodeId holder;  /* node 0: free */
    uint64_t claim;   /* increases with each change of holder */
    bool notice;
    uint64_t notice_by;
    bool is_malformed; /* malformed value: neither claimed nor reclaimed */
    char name[GW_NAME_MAX];
} GwSeatRow;

typedef struct {
    GwSeatState state;
    bool contested;          /* a reclaim notice is open: not used */
    GwSeatRow row;           /* last read or confirmed write */
    uint32_t list_round;     /* round of the last list with the row */
    int64_t since_us;        /* when this row version was first seen */
    int64_t notice_us;       /* when our own notice was confirmed; 0 never */
    int64_t restarted_us;    /* holder's restart first seen; 0 never */
    int64_t stopped_us;      /* holder first found stopped; 0: not stopped */
    uint64_t released_claim; /* highest claim number released for good */
    struct {
        GwSeatOp op;
        uint64_t token;
        int64_t sent_us;
        GwSeatRow row; /* the row as written */
    } write;
    struct {
        uint64_t to[GW_SEAT_PEERS_MAX]; /* nodes that received the offer */
        uint32_t peers;
        uint32_t tries;
        int64_t sent_us;
    } offer;
    struct {
        uint64_t version;
        uint64_t claim;
        int64_t retry_us;
    } take;
    int64_t given_us; /* when a peer accepted the offer */
} GwSeat;

struct GwSeats_s {
    GwNodeParams params;
    uint32_t region;
    GwRng rng;
    uint32_t total;
    uint32_t max_total; /* largest total so far */
    bool leaving;
    bool fenced;
    int64_t fence_us;      /* when the last pause was detected */
    int64_t last_event_us; /* last event of any kind; 0 none */
    uint64_t epoch;
    uint64_t counter; /* last request number, part of each token */
    uint32_t failed_reads;
    int64_t next_list_us;
    struct {
        uint64_t token; /* 0: none in flight */
        int64_t sent_us;
    } list;
    uint32_t list_round; /* counts lists of the rows */
    int64_t expired_us;
    GwSeat seats[GW_SEATS_MAX];
};

/* seats.c */
void GwSeats_CheckPause(GwSeats *s, int64_t now_us, GwActions *out);

/* seat_rows.c */
void GwSeats_FormatKey(const GwSeats *s, uint32_t seat,
                       char out[GW_ROW_KEY_MAX]);
void GwSeatRow_Parse(const GwRow *row, GwSeatRow *out);
void GwSeats_Write(GwSeats *s, int64_t now_us, uint32_t seat, GwSeatOp op,
                   const GwSeatRow *base, GwActions *out);
void GwSeats_ReadRows(GwSeats *s, int64_t now_us, GwActions *out);
void GwSeats_ReadRowsSoon(GwSeats *s, int64_t now_us);
bool GwSeats_IsOwn(const GwSeats *s, const GwSeatRow *row);

/* seat_state.c */
void GwSeats_SetState(GwSeats *s, uint32_t seat, GwSeatState state,
                      GwActions *out);
void GwSeats_ApplyRow(GwSeats *s, int64_t now_us, uint32_t seat,
                      const GwSeatRow *row, GwActions *out);
void GwSeats_MarkLost(GwSeats *s, uint32_t seat, GwActions *out);

/* seat_claim.c */
uint32_t GwSeats_FairShare(const GwSeats *s, const GwMembers *members);
void GwSeats_ClaimFree(GwSeats *s, int64_t now_us, const GwMembers *members,
                       GwActions *out);
void GwSeats_ReclaimStale(GwSeats *s, int64_t now_us, const GwMembers *members,
                          GwActions *out);

/* seat_handover.c */
void GwSeats_Rebalance(GwSeats *s, int64_t now_us, const GwMembers *members,
                       GwActions *out);
void GwSeats_AdvanceHandovers(GwSeats *s, int64_t now_us,
                              const GwMembers *members, GwActions *out);
uint32_t GwSeats_CountByNode(const GwSeats *s, uint64_t node);

#endif
