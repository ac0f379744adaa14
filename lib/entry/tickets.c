#include "entry/tickets.h"

#include <assert.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define US_PER_MS       1000
#define HOLD_DEFAULT_US 10000000

struct GwTickets_s {
    GwNodeId self;
    uint32_t capacity;
    int64_t valid_us;
    int64_t keep_us; /* validity plus retention, from first sight */
    uint64_t last_seq;
    int64_t hold_us;        /* how long a refusal stands */
    int64_t shut_minted_ms; /* the table was full: tickets minted up to here */
    int64_t shut_until_us;  /*   are refused until then */
    GQueue refused;         /* GwAge by the end of the hold */
    GHashTable *by_seq;     /* &record->seq -> GwRecord, owned */
    GQueue ages;            /* GwAge, oldest first */
};

/* A record's place in the order of expiry. A record that was forgotten and
 * begun again has a later expiry than its first entry here says. */
typedef struct {
    uint64_t seq;
    int64_t expires_us;
} GwAge;

/* Reads the text form; GW_ERR(PARSE) when it is not a ticket. */
GwResult
GwTicket_Parse(const char *text, GwTicket *out)
{
    int used = 0;
    uint64_t minted = 0;
    GwTicket t = {0};

    if (strlen(text) >= GW_TICKET_TEXT_MAX) {
        return GW_ERR(PARSE);
    }
    /* A field of more than 16 digits is stopped by its width, and the dash
     * that must follow is then missing: nothing wraps. */
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

/* Writes the text form that GwTicket_Parse reads. */
void
GwTicket_Format(const GwTicket *t, char out[GW_TICKET_TEXT_MAX])
{
    snprintf(out, GW_TICKET_TEXT_MAX,
             "%016" PRIx64 "-%016" PRIx64 "-%" PRIx64 "-%" PRIx64,
             t->owner.node, t->owner.start, (uint64_t)t->minted_ms, t->seq);
}

/* An empty table for the tickets of one start of one entry. */
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
    g_queue_init(&t->ages);
    g_queue_init(&t->refused);
    t->hold_us = HOLD_DEFAULT_US;
    return t;
}

void
GwTickets_Free(GwTickets *t)
{
    if (t == NULL) {
        return;
    }
    g_hash_table_destroy(t->by_seq);
    g_queue_clear_full(&t->ages, g_free);
    g_queue_clear_full(&t->refused, g_free);
    g_free(t);
}

/* A ticket costs nothing until it is sent: no record is made for it. */
GwTicket
GwTickets_Mint(GwTickets *t, int64_t now_us)
{
    t->last_seq++;
    return (GwTicket){
        .owner = t->self, .minted_ms = now_us / US_PER_MS, .seq = t->last_seq};
}

GwRecord *
GwTickets_Find(GwTickets *t, uint64_t seq)
{
    return g_hash_table_lookup(t->by_seq, &seq);
}

/* What this entry may do with a ticket that a call brought. */
GwTicketCheck
GwTickets_Check(GwTickets *t, int64_t now_us, const GwTicket *ticket,
                GwRecord **record)
{
    if (!GwNodeId_Equal(ticket->owner, t->self)) {
        return GW_TICKET_OTHER;
    }
    if (ticket->seq > t->last_seq || ticket->minted_ms > now_us / US_PER_MS) {
        return GW_TICKET_BAD;
    }
    *record = GwTickets_Find(t, ticket->seq);
#if GW_MUTANT == 17 /* breaks: a ticket that runs is not run beside itself */
    if (*record != NULL && (*record)->state == GW_RECORD_RUNNING) {
        GwTickets_Forget(t, ticket->seq);
        *record = NULL;
    }
#endif
    if (*record != NULL) {
        return GW_TICKET_KNOWN;
    }
    /* Without a record an old ticket may have run and been forgotten; to run
     * it would be a second booking. A record lives longer than its ticket is
     * valid, so a valid ticket without a record never ran. */
#if GW_MUTANT != 1 /* breaks: an old ticket is not run again */
    if (now_us - ticket->minted_ms * US_PER_MS > t->valid_us) {
        return GW_TICKET_OLD;
    }
#endif
    if (now_us < t->shut_until_us && ticket->minted_ms <= t->shut_minted_ms) {
        return GW_TICKET_SHUT;
    }
    return GW_TICKET_NEW;
}

/* Opens the record of a ticket that is about to run. */
GwRecord *
GwTickets_Begin(GwTickets *t, int64_t now_us, uint64_t seq, uint64_t call)
{
    /* Places in the order of expiry outlive records that were forgotten, so
     * they are bounded too: a storm of refusals can't grow the queue. */
#if GW_MUTANT != 18 /* breaks: the table is bounded */
    if (g_hash_table_size(t->by_seq) >= t->capacity ||
        g_queue_get_length(&t->ages) / 2 >= t->capacity) {
        /* There is no room for a record of this refusal either. */
        t->shut_minted_ms = now_us / US_PER_MS;
        t->shut_until_us = now_us + t->hold_us;
        return NULL;
    }
#endif
    GwRecord *record = g_new0(GwRecord, 1);
    record->seq = seq;
    record->state = GW_RECORD_RUNNING;
    record->call = call;
    record->expires_us = now_us + t->keep_us;
    g_hash_table_insert(t->by_seq, &record->seq, record);

    GwAge *age = g_new(GwAge, 1);
    *age = (GwAge){.seq = seq, .expires_us = record->expires_us};
    g_queue_push_tail(&t->ages, age);
    return record;
}

void
GwTickets_SetHold(GwTickets *t, int64_t hold_us)
{
    t->hold_us = hold_us;
}

/* Another sending of the ticket may still be on its way: through an entry that
 * has died since, or on a slow link. Were it run, the caller that was told
 * "not run", and booked again, would have booked twice. So the refusal
 * stands until every sending before it is past its deadline. */
void
GwTickets_Refuse(GwTickets *t, int64_t now_us, GwRecord *record,
                 GwReason reason, uint32_t retry_after_ms)
{
    GwAge *age = g_new(GwAge, 1);

    record->state = GW_RECORD_REFUSED;
    record->reason = reason;
    record->retry_after_ms = retry_after_ms;
    record->refused_until_us = now_us + t->hold_us;
    *age = (GwAge){.seq = record->seq, .expires_us = record->refused_until_us};
    g_queue_push_tail(&t->refused, age);
}

void
GwTickets_Forget(GwTickets *t, uint64_t seq)
{
    g_hash_table_remove(t->by_seq, &seq);
}

/* Refusals are dropped early, or a storm of them would fill the table. */
static void
expire_refused(GwTickets *t, int64_t now_us)
{
    GwAge *age = g_queue_peek_head(&t->refused);

    while (age != NULL && age->expires_us <= now_us) {
        GwRecord *record = GwTickets_Find(t, age->seq);
        if (record != NULL && record->state == GW_RECORD_REFUSED &&
            record->refused_until_us <= now_us) {
            GwTickets_Forget(t, age->seq);
        }
        g_free(g_queue_pop_head(&t->refused));
        age = g_queue_peek_head(&t->refused);
    }
}

/* Drops records whose ticket has been invalid for the whole retention. A
 * record still RUNNING is kept: its call ends by its own deadline. */
void
GwTickets_Expire(GwTickets *t, int64_t now_us)
{
    expire_refused(t, now_us);
    GwAge *age = g_queue_peek_head(&t->ages);

    while (age != NULL && age->expires_us <= now_us) {
        GwRecord *record = GwTickets_Find(t, age->seq);
        if (record != NULL && record->expires_us <= now_us) {
            if (record->state == GW_RECORD_RUNNING) {
                return;
            }
            g_hash_table_remove(t->by_seq, &age->seq);
        }
        g_free(g_queue_pop_head(&t->ages));
        age = g_queue_peek_head(&t->ages);
    }
}

uint32_t
GwTickets_Count(const GwTickets *t)
{
    return g_hash_table_size(t->by_seq);
}
