/* Requests in flight at backend servers, added up over many entries.
 *
 * Entries that share servers must know each other's load within a tenth of a
 * second: with loads that were 0.6 to 3 s old, 67 entries kept servers' queues
 * full and answered half of what they could in time. Told by each to each that
 * is a report a pair, which no small instance can carry; so in each failure
 * domain one entry adds up what the others have in flight, and tells them the
 * sums of all (docs/PLATFORM.md, "Who tells whom"). */
#ifndef GW_EDGE_LOAD_SUM_H
#define GW_EDGE_LOAD_SUM_H

#include "router/router.h"

typedef struct GwLoadSum_s GwLoadSum;

/* Regions of senders that are kept apart, and servers in one report. */
#define GW_SUM_REGIONS_MAX 8
#define GW_SUM_LOADS_MAX   1500

GwLoadSum *GwLoadSum_Create(void);
void GwLoadSum_Free(GwLoadSum *sum);
void GwLoadSum_Clear(GwLoadSum *sum);
/* Adds what entries of that region have in flight. */
void GwLoadSum_Add(GwLoadSum *sum, const char *region, const GArray *loads);
uint32_t GwLoadSum_RegionCount(const GwLoadSum *sum);
const char *GwLoadSum_Region(const GwLoadSum *sum, uint32_t i);
/* Appends what is in flight from that region, as GwPeerLoad. */
void GwLoadSum_Loads(const GwLoadSum *sum, uint32_t i, GArray *out);

/* The shortest time between two reports of loads, in ms. */
#define GW_SUM_PERIOD_MIN_MS 50

/* Between two reports of so many bytes to one entry, in ms: they take 3 % of
 * its link, so that callers have the rest. */
uint32_t GwLoadSum_PeriodMs(uint32_t bytes, uint32_t link_kbps);

#endif
