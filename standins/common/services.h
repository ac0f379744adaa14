/* Operations of the four example services, shared by callers and backend
 * servers. */
#ifndef GS_SERVICES_H
#define GS_SERVICES_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    const char *service;
    const char *method;
    const char *path;
    const char *op;
    bool idempotent;
} GsOperation;

const GsOperation *GsOperation_Match(const char *service, const char *method,
                                     const char *path);
const GsOperation *GsOperation_Find(const char *service, const char *op);

#endif
