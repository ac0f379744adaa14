#include "edge/load_sum.h"

#include <string.h>

#define PERIOD_MAX_MS  1000
#define MAX_LINK_SHARE 0.03

typedef struct {
    char *region;
    GHashTable *counts; /* server hash -> requests */
} RegionSum;

struct GwLoadSum_s {
    uint32_t count;
    RegionSum parts[GW_SUM_REGIONS_MAX];
};

GwLoadSum *
GwLoadSum_Create(void)
{
    return g_new0(GwLoadSum, 1);
}

void
GwLoadSum_Clear(GwLoadSum *sum)
{
    for (uint32_t i = 0; i < sum->count; i++) {
        g_free(sum->parts[i].region);
        g_hash_table_destroy(sum->parts[i].counts);
    }
    sum->count = 0;
}

void
GwLoadSum_Free(GwLoadSum *sum)
{
    if (sum != NULL) {
        GwLoadSum_Clear(sum);
        g_free(sum);
    }
}

/* Returns the sum of the region, creating it if needed; NULL when there are
 * too many regions. */
static RegionSum *
find_or_add_region(GwLoadSum *sum, const char *region)
{
    for (uint32_t i = 0; i < sum->count; i++) {
        if (strcmp(sum->parts[i].region, region) == 0) {
            return &sum->parts[i];
        }
    }
    if (sum->count == GW_SUM_REGIONS_MAX) {
        return NULL;
    }
    RegionSum *region_sum = &sum->parts[sum->count++];
    region_sum->region = g_strdup(region);
    region_sum->counts = g_hash_table_new(g_direct_hash, g_direct_equal);
    return region_sum;
}

void
GwLoadSum_Add(GwLoadSum *sum, const char *region, const GArray *loads)
{
    RegionSum *region_sum = find_or_add_region(sum, region);

    for (guint i = 0; region_sum != NULL && i < loads->len; i++) {
        const GwPeerLoad *load = &g_array_index(loads, GwPeerLoad, i);
        gpointer key = GUINT_TO_POINTER(load->server);
        guint old =
            GPOINTER_TO_UINT(g_hash_table_lookup(region_sum->counts, key));
        g_hash_table_insert(region_sum->counts, key,
                            GUINT_TO_POINTER(old + load->in_flight));
    }
}

uint32_t
GwLoadSum_RegionCount(const GwLoadSum *sum)
{
    return sum->count;
}

const char *
GwLoadSum_Region(const GwLoadSum *sum, uint32_t i)
{
    return sum->parts[i].region;
}

void
GwLoadSum_Loads(const GwLoadSum *sum, uint32_t i, GArray *out)
{
    GHashTableIter iter;
    gpointer server;
    gpointer count;

    g_hash_table_iter_init(&iter, sum->parts[i].counts);
    while (g_hash_table_iter_next(&iter, &server, &count)) {
        if (GPOINTER_TO_UINT(count) > 0) {
            GwPeerLoad load = {GPOINTER_TO_UINT(server),
                               GPOINTER_TO_UINT(count)};
            g_array_append_val(out, load);
        }
    }
}

uint32_t
GwLoadSum_PeriodMs(uint32_t bytes, uint32_t link_kbps)
{
    double ms = bytes * 8.0 / (MAX(link_kbps, 1) * MAX_LINK_SHARE);

    return (uint32_t)CLAMP(ms, GW_SUM_PERIOD_MIN_MS, PERIOD_MAX_MS);
}
