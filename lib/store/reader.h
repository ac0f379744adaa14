/* Decides which entries read the store. Calls to the store are paid for and
 * rate limited, and all entries would read the same rows: one entry of each
 * region, its first by rank, reads, and the others rely on it. */
#ifndef GW_STORE_READER_H
#define GW_STORE_READER_H

#include <stdbool.h>
#include <stdint.h>

/* What an entry that has its tables knows of itself and of the others. */
typedef struct {
    bool is_region_first;   /* by rank, of the region's entries */
    uint32_t other_readers; /* that reported recently that they read */
    bool is_settling;       /* started recently */
} GwReaderView;

/* Whether this entry reads the store. */
bool GwReaderView_Reads(const GwReaderView *view);
/* Whether a report of another reader still counts. `next_ms`: the time to the
 * next one that it announced. */
bool GwReader_IsRecent(int64_t age_us, uint32_t next_ms);
/* Whether an entry that started `age_us` ago counts as settling. */
bool GwReader_IsSettling(int64_t age_us);

#endif
