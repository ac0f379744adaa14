#include "common/duration.h"

#include <glib.h>
#include <math.h>
#include <string.h>

bool
GwDuration_Parse(const char *text, uint32_t *out_ms)
{
    char *unit;
    double value = g_ascii_strtod(text, &unit);
    double factor = strcmp(unit, "ms") == 0  ? 1.0
                    : strcmp(unit, "s") == 0 ? 1000.0
                                             : 0.0;

    if (unit == text || factor == 0.0 || !isfinite(value) || value < 0 ||
        value * factor > (double)INT32_MAX) {
        return false;
    }
    *out_ms = (uint32_t)lround(value * factor);
    return true;
}
