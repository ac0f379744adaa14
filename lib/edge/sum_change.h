/* Counts of requests in flight, sent repeatedly from one entry to another
 * as changes (deltas).
 *
 * The sender numbers its counters ("cells": one per server and region of
 * the requests' senders) in order of creation and stores when each cell last
 * changed. A receiver acknowledges its state (GwSumAck) and is sent all cells
 * changed since then, with absolute counts, and the names of cells that it
 * does not know. So lost changes are sent again, late or repeated changes are
 * ignored, and a receiver with an unknown state is sent all cells: no wrong
 * count outlasts one message delay. */
#ifndef GW_EDGE_SUM_CHANGE_H
#define GW_EDGE_SUM_CHANGE_H

#include "edge/load_sum.h"
#include "wire/peer.pb-c.h"

/* State that a receiver has. All zero: none. */
typedef struct {
    uint32_t epoch; /* identifies the sender's numbering */
    uint32_t seq;   /* sequence number of the last applied change */
    uint32_t cells; /* cells known by name */
} GwSumAck;

/* Maximum cells named in one change; later changes name the other cells. */
#define GW_SUM_NAMED_MAX 1000
/* Maximum cells of a sender. Above it, cells are renumbered without those
 * of removed servers. */
#define GW_SUM_CELLS_MAX 8000

/* ---- Sender -------------------------------------------------------------- */

typedef struct GwSumSource_s GwSumSource;

/* `epoch`: nonzero and unique to the process; incremented by each
 * renumbering. */
GwSumSource *GwSumSource_Create(uint32_t epoch);
void GwSumSource_Free(GwSumSource *source);
/* Replaces all counts by those of the sum. */
void GwSumSource_Update(GwSumSource *source, const GwLoadSum *sum);

/* A change with the arrays that it points into. */
typedef struct GwSumMessage_s GwSumMessage;

GwSumMessage *GwSumMessage_Create(void);
void GwSumMessage_Free(GwSumMessage *message);
/* Returns the change that a receiver with the state `ack` lacks. `mine`, of
 * `region`: the loads that this receiver reported itself and subtracts from
 * the sum; NULL for none. Valid until the next call with `message`. */
Gw__Peer__SumChange *GwSumSource_WriteChange(const GwSumSource *source,
                                             const GwSumAck *ack,
                                             const char *region,
                                             const GArray *mine,
                                             GwSumMessage *message);

/* ---- Receiver ------------------------------------------------------------ */

typedef struct GwSumCopy_s GwSumCopy;

/* Called with the new value of a count, without the receiver's own
 * requests. */
typedef void (*GwSumCallback)(void *ctx, const char *region, uint32_t server,
                              uint32_t count);

GwSumCopy *GwSumCopy_Create(GwSumCallback set, void *ctx);
/* Does not call `set`. */
void GwSumCopy_Free(GwSumCopy *copy);
/* Returns false, with no effect, for a change that does not build on the
 * current state; the sender finds the missing cells by the next ack. */
bool GwSumCopy_Apply(GwSumCopy *copy, const Gw__Peer__SumChange *change);
GwSumAck GwSumCopy_Ack(const GwSumCopy *copy);
/* Appends the requests in flight from all regions as GwPeerLoad. */
void GwSumCopy_Loads(const GwSumCopy *copy, GArray *out);

#endif
