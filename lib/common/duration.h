/* Durations as text: a number followed by its unit, `ms` or `s`. */
#ifndef GW_COMMON_DURATION_H
#define GW_COMMON_DURATION_H

#include <stdbool.h>
#include <stdint.h>

/* Parses text such as "1500ms" or "2.5s", rounding to whole milliseconds.
 * Returns false for other text, a negative or non-finite number, or more than
 * INT32_MAX ms. */
bool GwDuration_Parse(const char *text, uint32_t *out_ms);

#endif
