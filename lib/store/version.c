#include "store/version.h"

#include <string.h>

/* Digits of the greatest era. */
#define ERA_DIGITS_MAX 10

uint32_t
GwStoreEra_Parse(const char *text)
{
    uint64_t era = 0;

    if (text == NULL || strlen(text) > ERA_DIGITS_MAX) {
        return 0;
    }
    for (; *text != '\0'; text++) {
        if (*text < '0' || *text > '9') {
            return 0;
        }
        era = era * 10 + (uint64_t)(*text - '0');
    }
    return era <= UINT32_MAX ? (uint32_t)era : 0;
}
