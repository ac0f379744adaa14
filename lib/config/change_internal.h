/* State of one change, shared by change.c and change_rows.c. */
#ifndef GW_CONFIG_CHANGE_INTERNAL_H
#define GW_CONFIG_CHANGE_INTERNAL_H

#include "config/change.h"

#ifndef GW_MUTANT
#define GW_MUTANT 0
#endif

/* The next request. */
typedef enum {
    CHANGE_READ_OP = 1,
    CHANGE_READ_HEAD,
    CHANGE_READ_DOC,
    CHANGE_WRITE,
    CHANGE_FENCE, /* writes the void row, which makes late writes fail */
    CHANGE_END
} ChangeState;

struct GwChange_s {
    GwChangeRequest request;
    ChangeState state;
    bool is_resolving; /* has no change; only settles the request id */
    bool is_refusing;  /* the reason is set; the void row must be written */
    bool has_conflict; /* the last write was answered as a conflict */
    uint32_t tries_left;
    uint32_t rebases_left;
    uint64_t head_version;
    uint64_t head_checksum;
    uint64_t head_row;
    uint64_t checksum; /* of the new document */
    char *text;        /* the new document */
    GwChangeResult result;
};

void GwChange_MakeDocument(GwChange *c, const char *text);

#endif
