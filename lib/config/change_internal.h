/* State of one change, shared by change.c and change_rows.c. */
#ifndef GW_CONFIG_CHANGE_INTERNAL_H
#define GW_CONFIG_CHANGE_INTERNAL_H

#include "config/change.h"

#ifndef GW_MUTANT
#define GW_MUTANT 0
#endif

/* What the next request does. */
typedef enum {
    CHANGE_READ_OP = 1,
    CHANGE_READ_HEAD,
    CHANGE_READ_DOC,
    CHANGE_WRITE,
    CHANGE_FENCE,
    CHANGE_END
} ChangeState;

struct GwChange_s {
    GwChangeAsk ask;
    ChangeState state;
    bool resolving; /* no change of its own: only settles the request id */
    bool refusing;  /* the reason is set; the fence has to be written */
    bool raced;     /* the last write met a conflict */
    uint32_t tries;
    uint32_t rebases;
    uint64_t head_version;
    uint64_t head_checksum;
    uint64_t head_row;
    uint64_t checksum; /* of the new document */
    char *text;        /* the new document */
    GwChangeResult result;
};

void GwChange_Make(GwChange *c, const char *text);

#endif
