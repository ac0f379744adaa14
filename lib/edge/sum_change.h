/* Counts of requests in flight that one entry tells another again and again,
 * told as what has changed.
 *
 * The teller numbers its counters ("cells": a server, seen from a region of
 * senders) in the order in which it met them, and remembers when each changed
 * last. A receiver says what it has (GwSumAck); it is told all cells that
 * changed since, with their whole counts, and the names of cells that it does
 * not know. So what is lost is told again, what comes late or twice is
 * ignored, and a receiver whose base the teller does not know is told
 * everything: it never holds a wrong count for longer than the way takes. */
#ifndef GW_EDGE_SUM_CHANGE_H
#define GW_EDGE_SUM_CHANGE_H

#include "edge/load_sum.h"
#include "wire/peer.pb-c.h"

/* What a receiver has. All zero: nothing. */
typedef struct {
    uint32_t epoch; /* names the teller's numbering */
    uint32_t seq;   /* of the change that it applied last */
    uint32_t cells; /* that it knows by name */
} GwSumAck;

/* Cells named in one change; a teller with more names the rest in the next. */
#define GW_SUM_NAMED_MAX 1000
/* Cells of one teller. Above it the numbering begins anew without those of
 * servers that are gone. */
#define GW_SUM_CELLS_MAX 8000

/* ---- Teller -------------------------------------------------------------- */

typedef struct GwSumSource_s GwSumSource;

/* `epoch`: not zero, and no other process's; it rises by one when the
 * numbering begins anew. */
GwSumSource *GwSumSource_Create(uint32_t epoch);
void GwSumSource_Free(GwSumSource *source);
/* Takes the counts of the sum in place of those before. */
void GwSumSource_Update(GwSumSource *source, const GwLoadSum *sum);

/* A message that points into arrays of its own. */
typedef struct GwSumMessage_s GwSumMessage;

GwSumMessage *GwSumMessage_Create(void);
void GwSumMessage_Free(GwSumMessage *message);
/* What a receiver lacks that has `ack`. `mine`, of `region`: what it told
 * itself, which it takes off; NULL for none. Valid until the next call. */
Gw__Peer__SumChange *GwSumSource_Tell(const GwSumSource *source,
                                      const GwSumAck *ack, const char *region,
                                      const GArray *mine,
                                      GwSumMessage *message);

/* ---- Receiver ------------------------------------------------------------ */

typedef struct GwSumCopy_s GwSumCopy;

/* A count, less the receiver's own, is now `count`. */
typedef void (*GwSumSet)(void *ctx, const char *region, uint32_t server,
                         uint32_t count);

GwSumCopy *GwSumCopy_Create(GwSumSet set, void *ctx);
/* Without a call to `set`. */
void GwSumCopy_Free(GwSumCopy *copy);
/* False for a change that does not follow from what is here; nothing is taken
 * of it, and the teller learns by the ack what it has to tell. */
bool GwSumCopy_Apply(GwSumCopy *copy, const Gw__Peer__SumChange *change);
GwSumAck GwSumCopy_Ack(const GwSumCopy *copy);
/* Appends what is in flight, whatever the region, as GwPeerLoad. */
void GwSumCopy_Loads(const GwSumCopy *copy, GArray *out);

#endif
