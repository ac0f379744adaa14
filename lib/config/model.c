/* A built configuration: look-ups by name, and the end of its life. The
 * arrays are small and read-only, so look-ups are scans. */
#include "config/model.h"

#include <string.h>

/* Gives the memory back; NULL is fine. */
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

/* The index of a service, or GW_NONE. */
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

/* The index of a region, or GW_NONE. */
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

/* The index of the place of a service in a region, or GW_NONE. */
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

/* The index of a shift, or GW_NONE: none is allowed. */
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

/* The index of a link's limit, or GW_NONE: it is not limited. */
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

/* The index of a backend server by its id, or GW_NONE. */
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

/* Whether a server may read the path as another one than a prefix match
 * sees: "/slots/../book" begins like a look-up and ends as a booking. The
 * query is no part of the path. */
static bool
is_ambiguous(const char *path)
{
    static const char *const signs[] = {"..",  "//",  "\\", "%2e",
                                        "%2f", "%5c", "%25"};
    for (const char *p = path; *p != '\0' && *p != '?'; p++) {
        if (strchr("./\\%", *p) == NULL) {
            continue;
        }
        for (size_t i = 0; i < G_N_ELEMENTS(signs); i++) {
            if (g_ascii_strncasecmp(p, signs[i], strlen(signs[i])) == 0) {
                return true;
            }
        }
    }
    return false;
}

/* The length of the match of a pattern with a path, 0 for none. An exact
 * match is longer than every prefix. The query is no part of an exact
 * match. */
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

/* Whether a call may be repeated: the longest matching operation says. One
 * that matches none, or whose path is ambiguous, is non-idempotent, since a
 * repeat of a booking harms more than a look-up that is not repeated. */
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
