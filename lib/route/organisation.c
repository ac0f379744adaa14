/* Organisations of a configuration, and the keys of their callers. */
#include "route/route.h"

#include <stdlib.h>
#include <string.h>

void
GwOrganisation_Clear(GwOrganisation *org)
{
    g_free(org->name);
    for (uint32_t i = 0; i < org->home_count; i++) {
        g_free(org->homes[i]);
    }
    g_free(org->homes);
}

bool
GwOrganisation_AllowsRegion(const GwOrganisation *org, const char *region)
{
    return GwHomes_Allow(org->homes, org->home_count, region);
}

void
GwRouting_SetOrganisations(GwRouting *r, uint32_t count)
{
    r->requires_keys = true;
    r->organisation_count = count;
    r->organisations = g_new0(GwOrganisation, count);
    r->keys = g_array_new(FALSE, FALSE, sizeof(GwAccessKey));
}

void
GwRouting_AddKey(GwRouting *r, uint32_t organisation, const char *key)
{
    GwAccessKey entry = {.digest = GwKeyDigest_Compute(key),
                         .organisation = organisation};

    g_array_append_val(r->keys, entry);
}

static gint
compare_keys(gconstpointer a, gconstpointer b)
{
    return GwKeyDigest_Compare(&((const GwAccessKey *)a)->digest,
                               &((const GwAccessKey *)b)->digest);
}

static int
compare_names(const void *a, const void *b)
{
    return strcmp((*(GwOrganisation *const *)a)->name,
                  (*(GwOrganisation *const *)b)->name);
}

static const char *
find_repeated_name(const GwRouting *r)
{
    GwOrganisation **sorted = g_new(GwOrganisation *, r->organisation_count);
    const char *repeated = NULL;

    for (uint32_t i = 0; i < r->organisation_count; i++) {
        sorted[i] = &r->organisations[i];
    }
    qsort(sorted, r->organisation_count, sizeof(GwOrganisation *),
          compare_names);
    for (uint32_t i = 1; i < r->organisation_count; i++) {
        if (strcmp(sorted[i - 1]->name, sorted[i]->name) == 0) {
            repeated = sorted[i]->name;
        }
    }
    g_free(sorted);
    return repeated;
}

const char *
GwRouting_FindConflict(GwRouting *r)
{
    if (!r->requires_keys) {
        return NULL;
    }
    g_array_sort(r->keys, compare_keys);
    for (guint i = 1; i < r->keys->len; i++) {
        const GwAccessKey *key = &g_array_index(r->keys, GwAccessKey, i);
        if (compare_keys(key - 1, key) == 0 &&
            key[-1].organisation != key->organisation) {
            return r->organisations[key->organisation].name;
        }
    }
    return r->organisation_count > 0 ? find_repeated_name(r) : NULL;
}

const GwOrganisation *
GwRouting_FindOrganisation(const GwRouting *r, const GwKeyDigest *digest)
{
    guint low = 0;
    guint high = r->requires_keys ? r->keys->len : 0;

    while (low < high) {
        guint mid = low + (high - low) / 2;
        const GwAccessKey *key = &g_array_index(r->keys, GwAccessKey, mid);
        int order = GwKeyDigest_Compare(digest, &key->digest);
        if (order == 0) {
            return &r->organisations[key->organisation];
        }
        if (order < 0) {
            high = mid;
        }
        else {
            low = mid + 1;
        }
    }
    return NULL;
}
