/* Look-ups in a configuration, and its release. The arrays are small and
 * read-only, so look-ups are linear scans. */
#include "config/model.h"

#include <string.h>

/* Frees a configuration; NULL is allowed. */
void
GwConfig_Free(GwConfig *config)
{
    if (config == NULL) {
        return;
    }
    for (uint32_t i = 0; config->services != NULL && i < config->service_count;
         i++) {
        g_free(config->services[i].operations);
    }
    g_free(config->regions);
    g_free(config->services);
    g_free(config->places);
    g_free(config->backends);
    g_free(config->shifts);
    g_free(config->links);
    g_free(config->text);
    g_free(config);
}

/* Returns the index of a service, or GW_NONE. */
uint32_t
GwConfig_FindService(const GwConfig *c, const char *name)
{
    for (uint32_t i = 0; i < c->service_count; i++) {
        if (strcmp(c->services[i].name, name) == 0) {
            return i;
        }
    }
    return GW_NONE;
}

/* Returns the index of a region, or GW_NONE. */
uint32_t
GwConfig_FindRegion(const GwConfig *c, const char *name)
{
    for (uint32_t i = 0; i < c->region_count; i++) {
        if (strcmp(c->regions[i].name, name) == 0) {
            return i;
        }
    }
    return GW_NONE;
}

/* Returns the index of the place of a service in a region, or GW_NONE. */
uint32_t
GwConfig_FindPlace(const GwConfig *c, uint32_t service, uint32_t region)
{
    for (uint32_t i = 0; i < c->place_count; i++) {
        const GwPlace *place = &c->places[i];
        if (place->service == service && place->region == region) {
            return i;
        }
    }
    return GW_NONE;
}

/* Returns the index of a shift, or GW_NONE if none is allowed. */
uint32_t
GwConfig_FindShift(const GwConfig *c, uint32_t service, uint32_t from,
                   uint32_t to)
{
    for (uint32_t i = 0; i < c->shift_count; i++) {
        const GwShift *shift = &c->shifts[i];
        if (shift->service == service && shift->from == from &&
            shift->to == to) {
            return i;
        }
    }
    return GW_NONE;
}

/* Returns the index of a link's limit, or GW_NONE if the link is not
 * limited. */
uint32_t
GwConfig_FindLink(const GwConfig *c, uint32_t from, uint32_t to)
{
    for (uint32_t i = 0; i < c->link_count; i++) {
        if (c->links[i].from == from && c->links[i].to == to) {
            return i;
        }
    }
    return GW_NONE;
}

/* Returns the index of a backend server by id, or GW_NONE. */
uint32_t
GwConfig_FindBackend(const GwConfig *c, uint64_t id)
{
    for (uint32_t i = 0; i < c->backend_count; i++) {
        if (c->backends[i].id == id) {
            return i;
        }
    }
    return GW_NONE;
}

/* Returns whether a server may resolve the path to another path than the
 * prefix match compares: "/slots/../book" begins like a look-up and ends as a
 * booking. The query is not part of the path. */
static bool
is_ambiguous(const char *path)
{
    static const char *const sequences[] = {"..",  "//",  "\\", "%2e",
                                            "%2f", "%5c", "%25"};
    for (const char *p = path; *p != '\0' && *p != '?'; p++) {
        if (strchr("./\\%", *p) == NULL) {
            continue;
        }
        for (size_t i = 0; i < G_N_ELEMENTS(sequences); i++) {
            if (g_ascii_strncasecmp(p, sequences[i], strlen(sequences[i])) ==
                0) {
                return true;
            }
        }
    }
    return false;
}

/* Returns the length of the match of a pattern with a path, 0 for none. An
 * exact match counts as longer than any prefix match, and ignores the
 * query. */
static size_t
match_len(const char *pattern, const char *path)
{
    size_t len = strlen(pattern);
    if (pattern[len - 1] == '*') {
        return strncmp(pattern, path, len - 1) == 0 ? len : 0;
    }
    size_t path_len = strcspn(path, "?");
    return path_len == len && strncmp(pattern, path, len) == 0
               ? GW_PATH_MAX + len
               : 0;
}

/* Returns whether a call may be repeated; the longest matching operation
 * decides. A call that matches none, or whose path is ambiguous, is
 * non-idempotent, since a repeated booking does more harm than a look-up
 * that is not repeated. */
bool
GwConfig_IsIdempotent(const GwConfig *c, uint32_t service, const char *method,
                      const char *path)
{
    if (service >= c->service_count || is_ambiguous(path)) {
        return false;
    }
    const GwService *s = &c->services[service];
    size_t best = 0;
    bool idempotent = false;
    for (uint32_t i = 0; i < s->operation_count; i++) {
        const GwOperation *op = &s->operations[i];
        size_t len =
            strcmp(op->method, method) == 0 ? match_len(op->path, path) : 0;
        if (len > best) {
            best = len;
            idempotent = op->idempotent;
        }
    }
    return idempotent;
}
