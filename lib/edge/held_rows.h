/* Requests that crash servers, kept in the store: what is held must be held
 * still when no entry is left that knows of it. */
#ifndef GW_EDGE_HELD_ROWS_H
#define GW_EDGE_HELD_ROWS_H

#include "edge/edge_internal.h"

GwHeldRows *GwHeldRows_Create(GwEdge *edge);
void GwHeldRows_Close(GwHeldRows *rows);
void GwHeldRows_Free(GwHeldRows *rows);
/* Reads the rows after a start, writes what is to be written. */
void GwHeldRows_Sweep(GwHeldRows *rows, int64_t now_us);
/* The record has become held, or is no longer. */
void GwHeldRows_Write(GwHeldRows *rows, const GwSuspect *suspect);

/* A row's value; freed by g_free. The key is the fingerprint. `now_s` is the
 * time of day: a row outlives clocks that only rise. */
char *GwHeldRow_WriteValue(const GwSuspect *suspect, int64_t now_s);
bool GwHeldRow_Read(const char *key, const char *value, int64_t now_s,
                    GwSuspect *out);

#endif
