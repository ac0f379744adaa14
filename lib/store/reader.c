#include "store/reader.h"

/* With fewer other readers than this, every entry reads: the store may have
 * rejected the readers, or the readers may be unreachable. */
#define OTHER_READERS_MIN 2
/* A reader counts for this long after its last report, which is shorter
 * than the time after which a peer counts as dead: changes must arrive within
 * 2.5 s even if all readers stop at once, while a needless read costs only one
 * call. */
#define READER_PERIODS 2.4
#define READER_MIN_US  1200000
/* A new entry may not have received reports from the readers of other
 * regions yet. */
#define SETTLE_US 3000000

bool
GwReaderView_Reads(const GwReaderView *view)
{
    uint32_t others_min = view->is_settling ? 1 : OTHER_READERS_MIN;

    return view->is_region_first || view->other_readers < others_min;
}

bool
GwReader_IsRecent(int64_t age_us, uint32_t next_ms)
{
    int64_t limit_us = (int64_t)(READER_PERIODS * next_ms * 1000);

    return age_us < (limit_us > READER_MIN_US ? limit_us : READER_MIN_US);
}

bool
GwReader_IsSettling(int64_t age_us)
{
    return age_us < SETTLE_US;
}
