/* Runs one logical request with retries, as a correct caller would. */
#ifndef GS_CALLER_H
#define GS_CALLER_H

#include "common/directory.h"
#include "common/record.h"

typedef struct {
    GsClient *client;
    GsDirectory *directory; /* NULL: send directly to `direct` */
    const char *direct;     /* address of one backend server */
    int64_t deadline_us;    /* for all attempts together */
    int64_t delay_us;       /* one-way delay to the entry */
} GsCaller;

void GsCaller_Run(const GsCaller *c, GsRecord *record);

#endif
