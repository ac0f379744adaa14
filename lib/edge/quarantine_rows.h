/* Stores quarantined requests in the store, so that a quarantine survives
 * the stop of every entry that knows it. */
#ifndef GW_EDGE_QUARANTINE_ROWS_H
#define GW_EDGE_QUARANTINE_ROWS_H

#include "edge/edge_internal.h"

GwQuarantineRows *GwQuarantineRows_Create(GwEdge *edge);
void GwQuarantineRows_Close(GwQuarantineRows *rows);
void GwQuarantineRows_Free(GwQuarantineRows *rows);
/* Returns whether the entry knows what was quarantined when it started: it has
 * read the rows, or GwQuarantineRows_MarkLoaded was called. After 5 s without
 * either, true as well, since callers wait. Until then, the router refuses all
 * requests. */
bool GwQuarantineRows_IsLoaded(const GwQuarantineRows *rows);
/* The entry knows the rows from elsewhere. */
void GwQuarantineRows_MarkLoaded(GwQuarantineRows *rows);
/* Reads the rows after a start; writes queued rows. */
void GwQuarantineRows_Sweep(GwQuarantineRows *rows, int64_t now_us);
/* Queues a row for a request that was quarantined or released. Dropped when
 * too many rows are waiting. */
void GwQuarantineRows_Write(GwQuarantineRows *rows, const GwSuspect *suspect);
/* Queues the rows that this entry wrote lately, as their requests are now: a
 * restored store may lack them. */
void GwQuarantineRows_WriteAgain(GwQuarantineRows *rows);

/* Returns a row's value; free with g_free(). The key is the fingerprint.
 * `now_s` is the wall clock, as rows outlive monotonic clocks. */
char *GwQuarantineRow_WriteValue(const GwSuspect *suspect, int64_t now_s);
bool GwQuarantineRow_Read(const char *key, const char *value, int64_t now_s,
                          GwSuspect *out);

#endif
