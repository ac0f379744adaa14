/* How one entry fetches rows of the store from another: what it asks for, and
 * the rows on the wire. */
#ifndef GW_STORE_ROWS_WIRE_H
#define GW_STORE_ROWS_WIRE_H

#include "store/rows.h"

typedef struct {
    char table[64];
    uint64_t after;  /* all news up to this version are known; 0: none */
    uint64_t digest; /* of the rows that the asker has (GwRowCache_Digest) */
} GwRowsAsk;

/* The target of a GET; freed by g_free. */
char *GwRowsAsk_WriteTarget(const GwRowsAsk *ask);
/* False for another target. */
bool GwRowsAsk_ReadTarget(const char *target, GwRowsAsk *ask);

/* Bytes that rows may take, unpacked. */
#define GW_ROWS_MAX_BYTES (8u << 20)

/* Packed and compressed. */
GByteArray *GwRowSet_Pack(const GwRowSet *set);
/* NULL for what Pack did not write, and for more than GW_ROWS_MAX_BYTES. */
GwRowSet *GwRowSet_Unpack(const char *bytes, size_t len);

#endif
