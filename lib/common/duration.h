/* Times as text: a number and its unit, `ms` or `s`. */
#ifndef GW_COMMON_DURATION_H
#define GW_COMMON_DURATION_H

#include <stdbool.h>
#include <stdint.h>

/* "1500ms" or "2.5s"; false for anything else. */
bool GwDuration_Parse(const char *text, uint32_t *out_ms);

#endif
