#include "edge/bootstrap.h"

#include "edge/fetch_tree.h"
#include "router/router_internal.h"

#include <stdio.h>
#include <string.h>

bool
GwBootstrap_SendsAddresses(uint32_t own_known, uint32_t peer_known)
{
    return own_known > 2 * peer_known;
}

bool
GwBootstrap_SendsPlacements(const char *own, const char *new_entry,
                            const GPtrArray *others)
{
    uint64_t seed = GwHash_Text(new_entry, 2);
    uint64_t rank = GwHash_Text(own, seed);
    uint32_t before = 0;

    for (guint i = 0; i < others->len; i++) {
        before += GwHash_Text(others->pdata[i], seed) > rank;
    }
    return before < GW_BOOTSTRAP_SENDERS;
}

char *
GwEntryRow_WriteValue(const GwEntryRow *row)
{
    return g_strdup_printf("%s %s %s %u %u", row->address, row->region,
                           row->domain, row->link_kbps, row->cpu_milli);
}

bool
GwEntryRow_Read(const char *key, const char *value, GwEntryRow *row)
{
    *row = (GwEntryRow){.link_kbps = 0};
    if (g_strlcpy(row->name, key, sizeof(row->name)) >= sizeof(row->name)) {
        return false;
    }
    int fields =
        sscanf(value, "%63s %63s %63s %u %u", row->address, row->region,
               row->domain, &row->link_kbps, &row->cpu_milli);
    return fields == 5 || fields == 1;
}

static bool
is_before(const GwEntryRow *a, const GwEntryRow *b)
{
    GwEntryRank first = {a->name, a->link_kbps, a->cpu_milli};
    GwEntryRank second = {b->name, b->link_kbps, b->cpu_milli};

    return GwEntryRank_IsBefore(&first, &second);
}

/* The highest ranked entries of a failure domain, best first. */
typedef struct {
    const GwEntryRow *rows[GW_NOTIFIED_REMOTE];
} TopRanked;

static void
insert_ranked(TopRanked *top, const GwEntryRow *row)
{
    for (int i = 0; i < GW_NOTIFIED_REMOTE; i++) {
        if (top->rows[i] == NULL || is_before(row, top->rows[i])) {
            const GwEntryRow *next = top->rows[i];
            top->rows[i] = row;
            if (next == NULL) {
                return;
            }
            row = next;
        }
    }
}

static bool
may_be_in_region(const char *region, const GwEntryRow *row)
{
    return row->region[0] == '\0' || strcmp(row->region, region) == 0;
}

void
GwBootstrap_ChooseNotified(const char *region, const GArray *rows,
                           bool *notified)
{
    GHashTable *domains =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    const GwEntryRow *all = (const GwEntryRow *)rows->data;
    GHashTableIter iter;
    gpointer value;

    for (guint i = 0; i < rows->len; i++) {
        notified[i] = may_be_in_region(region, &all[i]);
        TopRanked *top = g_hash_table_lookup(domains, all[i].domain);
        if (top == NULL) {
            top = g_new0(TopRanked, 1);
            g_hash_table_insert(domains, (gpointer)all[i].domain, top);
        }
        insert_ranked(top, &all[i]);
    }
    g_hash_table_iter_init(&iter, domains);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const TopRanked *top = value;
        for (int i = 0; i < GW_NOTIFIED_REMOTE && top->rows[i] != NULL; i++) {
            notified[top->rows[i] - all] = true;
        }
    }
    g_hash_table_destroy(domains);
}
