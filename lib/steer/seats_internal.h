/* Private to lib/steer/seat*.c.
 *
 * The row in the table is the only authority on who holds a seat. What a
 * process knows of a row comes from reading it or from a confirmed write; every
 * write is conditional on the version that the decision was made on. So of two
 * processes that write on the same knowledge one fails, and a write whose
 * answer was lost is found out by reading. */
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

#define GW_SEAT_REQUEST_US  3000000LL  /* an answer is given up */
#define GW_SEAT_EXPIRE_US   100000LL   /* between two looks for those */
#define GW_SEAT_START_US    1000000LL  /* first read: members are known then */
#define GW_SEAT_SOON_US     100000LL   /* a read that something waits for */
#define GW_SEAT_LEFTOVER_US 10000000LL /* a free seat is anyone's */
#define GW_SEAT_LIST_US     30000000LL /* the list of instances is recent */
#define GW_SEAT_RESEND_US   500000LL   /* handover without an answer */
#define GW_SEAT_TRIES       3          /* sends of a handover to one peer */
#define GW_SEAT_PEERS       3          /* peers tried before the table */
#define GW_SEAT_GIVEN_US    10000000LL /* a taker should have written */
#define GW_SEAT_CLAIMS_MAX  8          /* new claims of one reading */
/* A holder has to read its rows twice within the hold-off, also when the
 * table is slow: it might have to object to a notice. */
#define GW_SEAT_BACKOFF_MAX 1
#define GW_SEAT_MANY        64 /* more are read at the pace of the backoff */

typedef enum {
    GW_SEAT_NONE = 0,     /* not ours */
    GW_SEAT_HELD = 1,     /* the row is ours */
    GW_SEAT_PARTING = 2,  /* ours; its last uses run out */
    GW_SEAT_RELEASED = 3, /* ours by the row; offered, never used again */
    GW_SEAT_GIVEN = 4,    /* a peer said that it takes it */
    GW_SEAT_TAKING = 5    /* offered to us; the row is not yet ours */
} GwSeatState;

/* What a write in flight is for. */
typedef enum {
    GW_SEAT_OP_NONE = 0,
    GW_SEAT_OP_CLAIM = 1,  /* of a free row, or a gone holder's */
    GW_SEAT_OP_NOTICE = 2, /* first step of a reclaim */
    GW_SEAT_OP_OBJECT = 3, /* a live holder's answer to a notice */
    GW_SEAT_OP_FREE = 4,   /* nobody took it: anyone may claim it */
    GW_SEAT_OP_RESUME = 5, /* nobody took it: hold it again */
    GW_SEAT_OP_TAKE = 6    /* offered by its holder */
} GwSeatOp;

typedef struct {
    uint64_t version; /* 0: no row */
    GwNodeId holder;  /* node 0: free */
    uint64_t claim;   /* rises with each change of holder */
    bool notice;
    uint64_t notice_by;
    bool bad; /* can't be read: nobody touches it */
    char name[GW_NAME_MAX];
} GwSeatRow;

typedef struct {
    GwSeatState state;
    bool contested;    /* ours with a notice on it: not used till answered */
    GwSeatRow row;     /* as last read or written */
    uint32_t reading;  /* the last one that showed its row */
    int64_t since_us;  /* since when the row has this version, as we saw */
    int64_t notice_us; /* when our notice was surely in the row; 0 never */
    int64_t newer_us;  /* when a newer start of its holder was seen; 0 never */
    int64_t gone_us;   /* when its holder was first found gone; 0 not */
    uint64_t given;    /* highest claim that we gave up for good */
    struct {
        GwSeatOp op;
        uint64_t token;
        int64_t sent_us;
        GwSeatRow row; /* what is written */
    } write;
    struct {
        uint64_t to[GW_SEAT_PEERS]; /* nodes it was offered to */
        uint32_t peers;
        uint32_t tries;
        int64_t sent_us;
    } offer;
    struct {
        uint64_t version;
        uint64_t claim;
        int64_t retry_us;
    } take;
    int64_t given_us;
} GwSeat;

struct GwSeats_s {
    GwNodeParams params;
    uint32_t region;
    GwRng rng;
    uint32_t total;
    uint32_t high; /* the largest total so far */
    bool leaving;
    bool fenced;
    int64_t fence_us; /* when the last fence was noticed */
    int64_t beat_us;  /* last event of any kind; 0 none */
    uint64_t epoch;
    uint64_t counter;
    uint32_t fails;
    int64_t next_list_us;
    struct {
        uint64_t token; /* 0: none in flight */
        int64_t sent_us;
    } list;
    uint32_t reading; /* number of the last reading */
    int64_t expired_us;
    GwSeat seats[GW_SEATS_MAX];
};

/* seats.c */
void GwSeats_Beat(GwSeats *s, int64_t now_us, GwActions *out);

/* seat_rows.c */
void GwSeats_Key(const GwSeats *s, uint32_t seat, char out[GW_ROW_KEY_MAX]);
void GwSeatRow_Parse(const GwRow *row, GwSeatRow *out);
void GwSeats_Write(GwSeats *s, int64_t now_us, uint32_t seat, GwSeatOp op,
                   const GwSeatRow *base, GwActions *out);
void GwSeats_List(GwSeats *s, int64_t now_us, GwActions *out);
void GwSeats_ListSoon(GwSeats *s, int64_t now_us);
bool GwSeats_IsOwn(const GwSeats *s, const GwSeatRow *row);

/* seat_state.c */
void GwSeats_SetState(GwSeats *s, uint32_t seat, GwSeatState state,
                      GwActions *out);
void GwSeats_Learn(GwSeats *s, int64_t now_us, uint32_t seat,
                   const GwSeatRow *row, GwActions *out);
void GwSeats_Lose(GwSeats *s, uint32_t seat, GwActions *out);

/* seat_claim.c */
uint32_t GwSeats_Share(const GwSeats *s, const GwMembers *members);
void GwSeats_Claims(GwSeats *s, int64_t now_us, const GwMembers *members,
                    GwActions *out);
void GwSeats_Reclaims(GwSeats *s, int64_t now_us, const GwMembers *members,
                      GwActions *out);

/* seat_handover.c */
void GwSeats_Rebalance(GwSeats *s, int64_t now_us, const GwMembers *members,
                       GwActions *out);
void GwSeats_Handovers(GwSeats *s, int64_t now_us, const GwMembers *members,
                       GwActions *out);
uint32_t GwSeats_CountOf(const GwSeats *s, uint64_t node);

#endif
