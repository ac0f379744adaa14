/* Requests for rows of the store between entries, and the encoding of rows. */
#ifndef GW_STORE_ROWS_WIRE_H
#define GW_STORE_ROWS_WIRE_H

#include "store/rows.h"

typedef struct {
    char table[64];
    /* The requester has all updates up to this. Number 0: none; era 0: of any
     * era, as entries without eras ask. */
    GwStoreVersion after;
    uint64_t digest; /* of the requester's rows (GwRowCache_Digest) */
} GwRowsRequest;

/* Returns the target of the GET request; to be freed by g_free. */
char *GwRowsRequest_WriteTarget(const GwRowsRequest *req);
/* Returns false if the target is not a request for rows. */
bool GwRowsRequest_ReadTarget(const char *target, GwRowsRequest *req);

/* Limit on the size of a set of rows before compression. */
#define GW_ROWS_MAX_BYTES (8u << 20)

/* Encodes and compresses a set. */
GByteArray *GwRowSet_Pack(const GwRowSet *set);
/* Returns NULL if the bytes are no encoded set or exceed GW_ROWS_MAX_BYTES. */
GwRowSet *GwRowSet_Unpack(const char *bytes, size_t len);

#endif
