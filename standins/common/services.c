#include "common/services.h"

#include <stddef.h>
#include <string.h>

static const GsOperation operations[] = {
    {"lich-hen", "GET", "/slots/", "look-up", true},
    {"lich-hen", "POST", "/bookings", "booking", false},
    {"ket-noi", "GET", "/placements/", "look-up", true},
    {"ket-noi", "POST", "/confirmations", "confirmation", false},
    {"vatdesk", "GET", "/recipes/", "look-up", true},
    {"vatdesk", "POST", "/doses", "dose", false},
    {"lotgate", "GET", "/lots/", "look-up", true},
    {"lotgate", "POST", "/releases", "release", false},
};

#define OPERATION_COUNT (sizeof(operations) / sizeof(operations[0]))

/* Finds the operation of a received request. Returns NULL when there is
 * none. */
const GsOperation *
GsOperation_Match(const char *service, const char *method, const char *path)
{
    for (size_t i = 0; i < OPERATION_COUNT; i++) {
        const GsOperation *o = &operations[i];
        if (strcmp(o->service, service) == 0 &&
            strcmp(o->method, method) == 0 &&
            strncmp(o->path, path, strlen(o->path)) == 0) {
            return o;
        }
    }
    return NULL;
}

/* Finds an operation by its name in a request mix. Returns NULL when there is
 * none. */
const GsOperation *
GsOperation_Find(const char *service, const char *op)
{
    for (size_t i = 0; i < OPERATION_COUNT; i++) {
        const GsOperation *o = &operations[i];
        if (strcmp(o->service, service) == 0 && strcmp(o->op, op) == 0) {
            return o;
        }
    }
    return NULL;
}
