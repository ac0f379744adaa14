/* Directory of the entries of one service in a caller: the cached result of
 * the last look-up, unused tickets and the addresses to query. */
#ifndef GS_DIRECTORY_H
#define GS_DIRECTORY_H

#include "common/client.h"

#define GS_ENTRIES_MAX 16

typedef struct {
    char address[GS_ADDRESS_MAX];
    char ticket[GS_TICKET_MAX]; /* "": none */
} GsTarget;

typedef struct GsDirectory_s GsDirectory;

/* `addresses` are queried in turn; the first `local` of them, which are in
 * the caller's region, are preferred. */
GsDirectory *GsDirectory_Create(const char *service, GPtrArray *addresses,
                                uint32_t local);
void GsDirectory_Free(GsDirectory *d);
bool GsDirectory_Take(GsDirectory *d, GsClient *client, bool want_ticket,
                      GsTarget *out);
void GsDirectory_Avoid(GsDirectory *d, const char *address);

#endif
