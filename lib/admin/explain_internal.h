/* Shared declarations of the explanation of a request. */
#ifndef GW_ADMIN_EXPLAIN_INTERNAL_H
#define GW_ADMIN_EXPLAIN_INTERNAL_H

#include "admin/explain.h"

/* A log line of the request. */
typedef struct {
    int64_t time_ms;
    uint32_t event;
    char *source;
    GHashTable *fields;
    GPtrArray *notes; /* char * */
} GwExplainStep;

/* Value of a field of a log line; "" and 0 if it has none. */
const char *GwExplain_FieldText(GHashTable *fields, const char *key);
int64_t GwExplain_FieldNumber(GHashTable *fields, const char *key);
/* Returns the outcome that the lines tell (GwExplainStep, ordered by time), to
 * be freed by g_free. */
char *GwExplain_Conclude(const GPtrArray *steps);

#endif
