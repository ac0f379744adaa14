/* Outcomes of non-idempotent calls by ticket, kept until no valid resend can
 * come. The table is bounded and never drops a live record: when it is full,
 * new tickets are refused and nothing is run. */
#ifndef GW_ENTRY_TICKETS_H
#define GW_ENTRY_TICKETS_H

#include "godwitridge.h"

typedef struct GwTickets_s GwTickets;

typedef enum {
    GW_RECORD_RUNNING = 1,
    GW_RECORD_ANSWERED = 2,
    GW_RECORD_UNKNOWN = 3,
    GW_RECORD_REFUSED = 4 /* proven not run, and it stays so */
} GwRecordState;

/* What is known of a ticket that was seen. */
typedef struct {
    uint64_t seq;
    GwRecordState state;
    GwReason reason;
    uint64_t call;    /* RUNNING: the open call; ANSWERED: whose answer */
    uint32_t attempt; /* ANSWERED: which attempt carried it */
    uint32_t retry_after_ms;  /* REFUSED */
    int64_t refused_until_us; /* REFUSED */
    int64_t expires_us;
} GwRecord;

typedef enum {
    GW_TICKET_NEW = 1,   /* valid and never run: may be begun */
    GW_TICKET_KNOWN = 2, /* a record exists */
    GW_TICKET_OLD = 3,   /* too old to tell */
    GW_TICKET_OTHER = 4, /* another start's ticket */
    GW_TICKET_BAD = 5,   /* never minted here */
    GW_TICKET_SHUT = 6   /* as good as refused when the table was full */
} GwTicketCheck;

GwTickets *GwTickets_Create(const GwNodeParams *params);
void GwTickets_Free(GwTickets *t);
GwTicket GwTickets_Mint(GwTickets *t, int64_t now_us);
/* Sets *record for KNOWN; borrowed until the next call. */
GwTicketCheck GwTickets_Check(GwTickets *t, int64_t now_us,
                              const GwTicket *ticket, GwRecord **record);
/* How long a refusal stands: longer than any sending of the ticket that is
 * still on its way can be of use, which is the longest deadline. */
void GwTickets_SetHold(GwTickets *t, int64_t hold_us);
/* NULL when the table is full; then tickets minted before now are shut for
 * the hold. */
GwRecord *GwTickets_Begin(GwTickets *t, int64_t now_us, uint64_t seq,
                          uint64_t call);
/* The call was proven not run, and its caller is told so. */
void GwTickets_Refuse(GwTickets *t, int64_t now_us, GwRecord *record,
                      GwReason reason, uint32_t retry_after_ms);
void GwTickets_Forget(GwTickets *t, uint64_t seq);
GwRecord *GwTickets_Find(GwTickets *t, uint64_t seq);
void GwTickets_Expire(GwTickets *t, int64_t now_us);
uint32_t GwTickets_Count(const GwTickets *t);

#endif
