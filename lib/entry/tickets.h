/* Table of the outcomes of non-idempotent calls by ticket. A record is kept
 * until no valid resend can arrive. The table is bounded and never evicts a
 * record early: when it is full, calls with new tickets are refused. */
#ifndef GW_ENTRY_TICKETS_H
#define GW_ENTRY_TICKETS_H

#include "godwitridge.h"

typedef struct GwTickets_s GwTickets;

typedef enum {
    GW_RECORD_RUNNING = 1,
    GW_RECORD_ANSWERED = 2,
    GW_RECORD_UNKNOWN = 3,
    GW_RECORD_REFUSED = 4 /* did not run, and must not run later */
} GwRecordState;

/* State and outcome of a ticket that has been used. */
typedef struct {
    uint64_t seq;
    GwRecordState state;
    GwReason reason;
    uint64_t call;    /* RUNNING: the open call; ANSWERED: the answered one */
    uint32_t attempt; /* ANSWERED: the attempt that has the answer */
    uint32_t retry_after_ms;  /* REFUSED */
    int64_t refused_until_us; /* REFUSED */
    int64_t expires_us;
} GwTicketRecord;

typedef enum {
    GW_TICKET_NEW = 1,     /* valid and never run: may run */
    GW_TICKET_KNOWN = 2,   /* a record exists */
    GW_TICKET_EXPIRED = 3, /* no longer valid; may have run */
    GW_TICKET_FOREIGN = 4, /* minted by another process */
    GW_TICKET_INVALID = 5, /* claims this process, which never minted it */
    GW_TICKET_REJECTED = 6 /* a full table may have refused it before */
} GwTicketCheck;

GwTickets *GwTickets_Create(const GwNodeParams *params);
void GwTickets_Free(GwTickets *t);
/* Makes no record: a ticket uses memory only once a call arrives with it. */
GwTicket GwTickets_Mint(GwTickets *t, int64_t now_us);
/* Classifies the ticket of an arriving call. Sets *record if KNOWN; the
 * pointer is valid until the table is changed. */
GwTicketCheck GwTickets_Check(GwTickets *t, int64_t now_us,
                              const GwTicket *ticket, GwTicketRecord **record);
/* Sets how long refusals hold. Must be at least the longest deadline of any
 * service, so that a send of the ticket still in transit arrives either within
 * the hold or past its deadline. */
void GwTickets_SetRefusalHold(GwTickets *t, int64_t refusal_hold_us);
/* Creates a RUNNING record. Returns NULL if the table is full; tickets minted
 * until now without a record are then rejected for the hold. */
GwTicketRecord *GwTickets_Begin(GwTickets *t, int64_t now_us, uint64_t seq,
                                uint64_t call);
/* Records that the call did not run, which is the outcome its caller gets. */
void GwTickets_Refuse(GwTickets *t, int64_t now_us, GwTicketRecord *record,
                      GwReason reason, uint32_t retry_after_ms);
void GwTickets_Remove(GwTickets *t, uint64_t seq);
/* Returns NULL if there is no record. */
GwTicketRecord *GwTickets_Find(GwTickets *t, uint64_t seq);
/* Drops refusals past their hold, and records past validity and retention. */
void GwTickets_Expire(GwTickets *t, int64_t now_us);
uint32_t GwTickets_Count(const GwTickets *t);

#endif
