/* Answers that servers make and callers expect. */
#include "standins/site/site.h"

#include <string.h>

bool
Site_IsLarge(const char *target)
{
    return g_str_has_suffix(target, "/large");
}

char *
Site_MakeBody(const char *id, bool is_large)
{
    size_t len = strlen(id);

    if (!is_large) {
        return g_strdup(id);
    }
    char *body = g_strnfill(SITE_LARGE_BYTES, '.');
    memcpy(body, id, MIN(len, SITE_LARGE_BYTES));
    return body;
}
