/* Reports of load and placements between entries of the fleet. */
#include "fakes/fleet_internal.h"

static void
add_loads(GHashTable *sum, const GArray *loads, int sign)
{
    for (guint i = 0; i < loads->len; i++) {
        const GwPeerLoad *load = &g_array_index(loads, GwPeerLoad, i);
        gpointer key = GUINT_TO_POINTER(load->server);
        int old = GPOINTER_TO_INT(g_hash_table_lookup(sum, key));
        g_hash_table_insert(
            sum, key, GINT_TO_POINTER(old + sign * (int)load->in_flight));
    }
}

static void
free_array(gpointer array)
{
    g_array_free(array, TRUE);
}

void
Fleet_SendReports(Fleet *f)
{
    Snapshot *snap = g_new0(Snapshot, 1);
    int64_t age_us = Fleet_ScaledUs(f, f->p->report_ms);

    snap->own = g_ptr_array_new_with_free_func(free_array);
    snap->placements = g_ptr_array_new_with_free_func(free_array);
    for (guint i = 0; i < f->entries->len; i++) {
        const Entry *entry = f->entries->pdata[i];
        GArray *own = g_array_new(FALSE, FALSE, sizeof(GwPeerLoad));
        GArray *placements = g_array_new(FALSE, FALSE, sizeof(GwPlacement));
        GwRouter_OwnLoads(entry->router, own);
        GwRouter_OwnPlacements(entry->router, f->now_us, age_us, 30000000,
                               placements);
        g_ptr_array_add(snap->own, own);
        g_ptr_array_add(snap->placements, placements);
    }
    Fleet_Schedule(f, f->now_us + Fleet_ScaledUs(f, f->p->lag_ms),
                   EV_APPLY_REPORTS, snap);
    Fleet_Schedule(f, f->now_us + Fleet_ScaledUs(f, f->p->report_ms),
                   EV_REPORT, NULL);
}

static void
set_region_loads(Fleet *f, const Entry *entry, uint32_t region,
                 GHashTable *sum)
{
    char name[16];
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    g_snprintf(name, sizeof(name), "r%u", region);
    g_hash_table_iter_init(&iter, sum);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        GwRouter_SetRegionLoad(entry->router, f->now_us, name,
                               GPOINTER_TO_UINT(key),
                               (uint32_t)MAX(GPOINTER_TO_INT(value), 0));
    }
}

void
Fleet_FreeSnapshot(Snapshot *snap)
{
    g_ptr_array_free(snap->own, TRUE);
    g_ptr_array_free(snap->placements, TRUE);
    g_free(snap);
}

void
Fleet_ApplyReports(Fleet *f, Snapshot *snap)
{
    GHashTable *sums[FLEET_REGIONS_MAX];

    for (uint32_t r = 0; r < f->p->regions; r++) {
        sums[r] = g_hash_table_new(g_direct_hash, g_direct_equal);
    }
    for (guint i = 0; i < f->entries->len; i++) {
        const Entry *entry = f->entries->pdata[i];
        add_loads(sums[entry->region], snap->own->pdata[i], 1);
    }
    for (guint i = 0; i < f->entries->len; i++) {
        const Entry *entry = f->entries->pdata[i];
        add_loads(sums[entry->region], snap->own->pdata[i], -1);
        GwRouter_DropRegionLoads(entry->router, f->now_us);
        for (uint32_t r = 0; r < f->p->regions; r++) {
            set_region_loads(f, entry, r, sums[r]);
        }
        add_loads(sums[entry->region], snap->own->pdata[i], 1);
        for (guint k = 0; k < f->entries->len; k++) {
            const Entry *other = f->entries->pdata[k];
            const GArray *placements = snap->placements->pdata[k];
            if (k == i || other->region != entry->region) {
                continue;
            }
            for (guint n = 0; n < placements->len; n++) {
                GwRouter_PutPlacement(
                    entry->router, f->now_us,
                    &g_array_index(placements, GwPlacement, n));
            }
        }
    }
    for (uint32_t r = 0; r < f->p->regions; r++) {
        g_hash_table_destroy(sums[r]);
    }
    Fleet_FreeSnapshot(snap);
}

/* ---- Demand -------------------------------------------------------------- */

/* Entries add up the demand this often; its messages don't go by the reports of
 * loads, which are more frequent. */
#define TOTAL_INTERVAL_MS 100

void
Fleet_SendTotal(Fleet *f)
{
    GArray *total = g_array_new(FALSE, FALSE, sizeof(GwDemand));
    GArray *own = g_array_new(FALSE, FALSE, sizeof(GwDemand));

    for (guint i = 0; i < f->entries->len; i++) {
        const Entry *entry = f->entries->pdata[i];
        g_array_set_size(own, 0);
        GwDemandMeter_Read(GwRouter_DemandMeter(entry->router), f->now_us,
                           own);
        GwDemand_AddTo(total, (const GwDemand *)own->data, own->len);
    }
    g_array_free(own, TRUE);
    Fleet_Schedule(f, f->now_us + Fleet_ScaledUs(f, f->p->totals_lag_ms),
                   EV_APPLY_TOTAL, total);
    Fleet_Schedule(f, f->now_us + Fleet_ScaledUs(f, TOTAL_INTERVAL_MS),
                   EV_TOTAL, NULL);
}

void
Fleet_ApplyTotal(Fleet *f, GArray *total)
{
    for (guint i = 0; i < f->entries->len; i++) {
        const Entry *entry = f->entries->pdata[i];
        GwShortage_PutTotal(GwRouter_Shortage(entry->router), f->now_us,
                            f->p->totals_lag_ms, (const GwDemand *)total->data,
                            total->len);
    }
    g_array_free(total, TRUE);
}
