#include "entry/tickets.h"

#include <assert.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define US_PER_MS               1000
#define DEFAULT_REFUSAL_HOLD_US 10000000

struct GwTickets_s {
    GwNodeId self;
    uint32_t capacity;
    int64_t valid_us;
    int64_t keep_us;         /* validity plus retention, from the first use */
    uint64_t last_seq;       /* last minted */
    int64_t refusal_hold_us; /* how long a refusal holds */
    /* Set when the table is full: until rejected_until_us, tickets minted at
     * or before rejected_minted_ms are rejected. */
    int64_t rejected_minted_ms;
    int64_t rejected_until_us;
    GQueue refused;     /* GwExpiry of refusals, by end of the hold */
    GHashTable *by_seq; /* &record->seq -> GwTicketRecord, owned */
    GQueue expiries;    /* GwExpiry of all records, earliest first */
};

/* Element of an expiry queue. May be stale: a record that was dropped and
 * created again expires later than its first element, and has a second one. */
typedef struct {
    uint64_t seq;
    int64_t expires_us;
} GwExpiry;

/* Parses the text form. Returns GW_ERR(PARSE) if it is not a ticket. */
GwResult
GwTicket_Parse(const char *text, GwTicket *out)
{
    int used = 0;
    uint64_t minted = 0;
    GwTicket t = {0};

    if (strlen(text) >= GW_TICKET_TEXT_MAX) {
        return GW_ERR(PARSE);
    }
    /* The field width rejects more than 16 digits, since the dash does not
     * follow then; so no value overflows. */
    int fields = sscanf(
        text, "%16" SCNx64 "-%16" SCNx64 "-%16" SCNx64 "-%16" SCNx64 "%n",
        &t.owner.node, &t.owner.start, &minted, &t.seq, &used);
    if (fields != 4 || text[used] != '\0' || t.seq == 0 ||
        minted > INT64_MAX / US_PER_MS) {
        return GW_ERR(PARSE);
    }
    t.minted_ms = (int64_t)minted;
    *out = t;
    return 0;
}

/* Writes the text form that GwTicket_Parse accepts. */
void
GwTicket_Format(const GwTicket *t, char out[GW_TICKET_TEXT_MAX])
{
    snprintf(out, GW_TICKET_TEXT_MAX,
             "%016" PRIx64 "-%016" PRIx64 "-%" PRIx64 "-%" PRIx64,
             t->owner.node, t->owner.start, (uint64_t)t->minted_ms, t->seq);
}

GwTickets *
GwTickets_Create(const GwNodeParams *params)
{
    GwTickets *t = g_new0(GwTickets, 1);
    t->self = params->id;
    t->capacity = params->ticket_table_max;
    t->valid_us = (int64_t)params->ticket_valid_ms * US_PER_MS;
    t->keep_us =
        t->valid_us + (int64_t)params->ticket_retention_ms * US_PER_MS;
    t->by_seq =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    g_queue_init(&t->expiries);
    g_queue_init(&t->refused);
    t->refusal_hold_us = DEFAULT_REFUSAL_HOLD_US;
    return t;
}

void
GwTickets_Free(GwTickets *t)
{
    if (t == NULL) {
        return;
    }
    g_hash_table_destroy(t->by_seq);
    g_queue_clear_full(&t->expiries, g_free);
    g_queue_clear_full(&t->refused, g_free);
    g_free(t);
}

GwTicket
GwTickets_Mint(GwTickets *t, int64_t now_us)
{
    t->last_seq++;
    return (GwTicket){
        .owner = t->self, .minted_ms = now_us / US_PER_MS, .seq = t->last_seq};
}

GwTicketRecord *
GwTickets_Find(GwTickets *t, uint64_t seq)
{
    return g_hash_table_lookup(t->by_seq, &seq);
}

GwTicketCheck
GwTickets_Check(GwTickets *t, int64_t now_us, const GwTicket *ticket,
                GwTicketRecord **record)
{
    if (!GwNodeId_Equal(ticket->owner, t->self)) {
        return GW_TICKET_FOREIGN;
    }
    if (ticket->seq > t->last_seq || ticket->minted_ms > now_us / US_PER_MS) {
        return GW_TICKET_INVALID;
    }
    *record = GwTickets_Find(t, ticket->seq);
#if GW_MUTANT == 17 /* breaks: a running ticket is not run twice */
    if (*record != NULL && (*record)->state == GW_RECORD_RUNNING) {
        GwTickets_Remove(t, ticket->seq);
        *record = NULL;
    }
#endif
    if (*record != NULL) {
        return GW_TICKET_KNOWN;
    }
    /* An expired ticket without a record may have run before the record was
     * dropped, so running it could execute the call twice. A record outlives
     * the validity of its ticket, so a valid ticket without a record never
     * ran. */
#if GW_MUTANT != 1 /* breaks: an expired ticket is not run again */
    if (now_us - ticket->minted_ms * US_PER_MS > t->valid_us) {
        return GW_TICKET_EXPIRED;
    }
#endif
    if (now_us < t->rejected_until_us &&
        ticket->minted_ms <= t->rejected_minted_ms) {
        return GW_TICKET_REJECTED;
    }
    return GW_TICKET_NEW;
}

GwTicketRecord *
GwTickets_Begin(GwTickets *t, int64_t now_us, uint64_t seq, uint64_t call)
{
    /* Elements of the expiry queue outlive dropped records, so the queue is
     * bounded too; many refusals would grow it without limit otherwise. */
#if GW_MUTANT != 18 /* breaks: the table is bounded */
    if (g_hash_table_size(t->by_seq) >= t->capacity ||
        g_queue_get_length(&t->expiries) / 2 >= t->capacity) {
        /* The refusal of this ticket can't be recorded either, so all tickets
         * minted until now are rejected instead. */
        t->rejected_minted_ms = now_us / US_PER_MS;
        t->rejected_until_us = now_us + t->refusal_hold_us;
        return NULL;
    }
#endif
    GwTicketRecord *record = g_new0(GwTicketRecord, 1);
    record->seq = seq;
    record->state = GW_RECORD_RUNNING;
    record->call = call;
    record->expires_us = now_us + t->keep_us;
    g_hash_table_insert(t->by_seq, &record->seq, record);

    GwExpiry *expiry = g_new(GwExpiry, 1);
    *expiry = (GwExpiry){.seq = seq, .expires_us = record->expires_us};
    g_queue_push_tail(&t->expiries, expiry);
    return record;
}

void
GwTickets_SetRefusalHold(GwTickets *t, int64_t refusal_hold_us)
{
    t->refusal_hold_us = refusal_hold_us;
}

/* Another send of the ticket may still be in transit: through an entry that
 * has failed since, or on a slow link. If that send ran, a request whose
 * caller got NOT_RUN and repeated it with a new ticket would be executed
 * twice. So the refusal holds until every earlier send is past its
 * deadline. */
void
GwTickets_Refuse(GwTickets *t, int64_t now_us, GwTicketRecord *record,
                 GwReason reason, uint32_t retry_after_ms)
{
    GwExpiry *expiry = g_new(GwExpiry, 1);

    record->state = GW_RECORD_REFUSED;
    record->reason = reason;
    record->retry_after_ms = retry_after_ms;
    record->refused_until_us = now_us + t->refusal_hold_us;
    *expiry =
        (GwExpiry){.seq = record->seq, .expires_us = record->refused_until_us};
    g_queue_push_tail(&t->refused, expiry);
}

void
GwTickets_Remove(GwTickets *t, uint64_t seq)
{
    g_hash_table_remove(t->by_seq, &seq);
}

/* Drops refusals at the end of their hold, before retention ends; many
 * refusals would fill the table otherwise. */
static void
expire_refused(GwTickets *t, int64_t now_us)
{
    GwExpiry *expiry = g_queue_peek_head(&t->refused);

    while (expiry != NULL && expiry->expires_us <= now_us) {
        GwTicketRecord *record = GwTickets_Find(t, expiry->seq);
        if (record != NULL && record->state == GW_RECORD_REFUSED &&
            record->refused_until_us <= now_us) {
            GwTickets_Remove(t, expiry->seq);
        }
        g_free(g_queue_pop_head(&t->refused));
        expiry = g_queue_peek_head(&t->refused);
    }
}

/* A record that is still RUNNING is kept: its call ends by its deadline. */
void
GwTickets_Expire(GwTickets *t, int64_t now_us)
{
    expire_refused(t, now_us);
    GwExpiry *expiry = g_queue_peek_head(&t->expiries);

    while (expiry != NULL && expiry->expires_us <= now_us) {
        GwTicketRecord *record = GwTickets_Find(t, expiry->seq);
        if (record != NULL && record->expires_us <= now_us) {
            if (record->state == GW_RECORD_RUNNING) {
                return;
            }
            g_hash_table_remove(t->by_seq, &expiry->seq);
        }
        g_free(g_queue_pop_head(&t->expiries));
        expiry = g_queue_peek_head(&t->expiries);
    }
}

uint32_t
GwTickets_Count(const GwTickets *t)
{
    return g_hash_table_size(t->by_seq);
}
