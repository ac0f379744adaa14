/* Sums of requests in flight at backend servers over many entries.
 *
 * Entries that share servers must know each other's loads within a tenth of
 * a second: with loads that were 0.6 to 3 s old, 67 entries kept the
 * servers' queues full and answered in time half as many requests as they
 * could.
 * Direct reports would need one report per pair of entries, which no small
 * instance can carry. So one entry of each failure domain aggregates the
 * loads of the other entries and sends them the sums over all entries
 * (docs/PLATFORM.md, "Who tells whom"). */
#ifndef GW_EDGE_LOAD_SUM_H
#define GW_EDGE_LOAD_SUM_H

#include "router/router.h"

typedef struct GwLoadSum_s GwLoadSum;

/* Maximum regions of senders that are counted separately, and servers per
 * report. */
#define GW_SUM_REGIONS_MAX 8
#define GW_SUM_LOADS_MAX   1500

GwLoadSum *GwLoadSum_Create(void);
void GwLoadSum_Free(GwLoadSum *sum);
void GwLoadSum_Clear(GwLoadSum *sum);
/* Adds the requests in flight of an entry of this region. Ignored for
 * regions beyond GW_SUM_REGIONS_MAX. */
void GwLoadSum_Add(GwLoadSum *sum, const char *region, const GArray *loads);
uint32_t GwLoadSum_RegionCount(const GwLoadSum *sum);
const char *GwLoadSum_Region(const GwLoadSum *sum, uint32_t i);
/* Appends the requests in flight from region `i` as GwPeerLoad. */
void GwLoadSum_Loads(const GwLoadSum *sum, uint32_t i, GArray *out);

/* Minimum period of reports with loads. */
#define GW_SUM_PERIOD_MIN_MS 50

/* Returns the period in ms of load reports of `bytes` bytes to one entry. The
 * reports take 3 % of the entry's link, which leaves the rest to callers,
 * unless that needs a period below GW_SUM_PERIOD_MIN_MS or above 1 s. */
uint32_t GwLoadSum_PeriodMs(uint32_t bytes, uint32_t link_kbps);

#endif
