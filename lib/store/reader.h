/* Decides which entries read the store. Calls to the store are paid for and
 * rate limited, and all entries would read the same rows: one entry of each
 * region, its first by rank, reads, and the others rely on it.
 *
 * They rely on it only while its reports prove that their rows are the newest
 * (store/proof.h). An entry without a recent proof reads the store itself,
 * whatever others report: a reader that hears nothing, a peer that is behind
 * and a report that is lost look like a store without changes. */
#ifndef GW_STORE_READER_H
#define GW_STORE_READER_H

#include <stdint.h>

typedef enum {
    GW_READS_NOT = 0,
    GW_READS_START, /* lacks the tables */
    GW_READS_FIRST, /* first entry of its region */
    GW_READS_STALE  /* has no recent proof */
} GwReadReason;

/* An entry that has its tables. */
typedef struct {
    uint32_t rank;     /* among the entries of its region, from 0 */
    int64_t age_us;    /* of the older proof of its tables */
    uint32_t bound_ms; /* a change must be in force within this time */
} GwReaderView;

/* Why this entry reads the store, or GW_READS_NOT. */
GwReadReason GwReaderView_Reason(const GwReaderView *view);
const char *GwReadReason_Name(GwReadReason reason);

#endif
