#include "edge/introduce.h"

#include "edge/news.h"
#include "router/router_internal.h"

#include <stdio.h>
#include <string.h>

bool
GwIntroduce_TellsAddresses(uint32_t own, uint32_t newcomers)
{
    return own > 2 * newcomers;
}

bool
GwIntroduce_TellsPlaces(const char *own, const char *newcomer,
                        const GPtrArray *others)
{
    uint64_t seed = GwHash_Text(newcomer, 2);
    uint64_t rank = GwHash_Text(own, seed);
    uint32_t before = 0;

    for (guint i = 0; i < others->len; i++) {
        before += GwHash_Text(others->pdata[i], seed) > rank;
    }
    return before < GW_INTRODUCERS;
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
    GwNewsEntry first = {a->name, a->link_kbps, a->cpu_milli};
    GwNewsEntry second = {b->name, b->link_kbps, b->cpu_milli};

    return GwNews_IsBefore(&first, &second);
}

/* The highest ranked entries of a failure domain, best first. */
typedef struct {
    const GwEntryRow *rows[GW_GREETED_FAR];
} Firsts;

static void
offer(Firsts *firsts, const GwEntryRow *row)
{
    for (int i = 0; i < GW_GREETED_FAR; i++) {
        if (firsts->rows[i] == NULL || is_before(row, firsts->rows[i])) {
            const GwEntryRow *next = firsts->rows[i];
            firsts->rows[i] = row;
            if (next == NULL) {
                return;
            }
            row = next;
        }
    }
}

static bool
is_near(const char *region, const GwEntryRow *row)
{
    return row->region[0] == '\0' || strcmp(row->region, region) == 0;
}

void
GwIntroduce_ChooseGreeted(const char *region, const GArray *rows,
                          bool *greeted)
{
    GHashTable *domains =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    const GwEntryRow *all = (const GwEntryRow *)rows->data;
    GHashTableIter iter;
    gpointer value;

    for (guint i = 0; i < rows->len; i++) {
        greeted[i] = is_near(region, &all[i]);
        Firsts *firsts = g_hash_table_lookup(domains, all[i].domain);
        if (firsts == NULL) {
            firsts = g_new0(Firsts, 1);
            g_hash_table_insert(domains, (gpointer)all[i].domain, firsts);
        }
        offer(firsts, &all[i]);
    }
    g_hash_table_iter_init(&iter, domains);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Firsts *firsts = value;
        for (int i = 0; i < GW_GREETED_FAR && firsts->rows[i] != NULL; i++) {
            greeted[firsts->rows[i] - all] = true;
        }
    }
    g_hash_table_destroy(domains);
}
