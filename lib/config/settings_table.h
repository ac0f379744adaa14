/* The table of settings, one row per key. The reader, the printed settings,
 * the defaults of GwNodeParams and docs/SETTINGS.md are made from it. */
#ifndef GW_CONFIG_SETTINGS_TABLE_H
#define GW_CONFIG_SETTINGS_TABLE_H

#include "config/settings.h"

typedef enum {
    GW_SETTING_U32 = 1,
    GW_SETTING_U64,
    GW_SETTING_NAME,
    GW_SETTING_ADDRESS,
    GW_SETTING_TEXT,
    GW_SETTING_LEVEL
} GwSettingType;

typedef struct {
    const char *key;
    GwSettingType type;
    const char *unit;
    uint32_t value; /* default of a number */
    uint32_t min;
    uint32_t max;
    size_t offset;    /* in GwSettings */
    size_t size;      /* of a text field */
    const char *text; /* default of a text; NULL: the key is required */
    const char *meaning;
} GwSettingRow;

const GwSettingRow *GwSettings_Rows(uint32_t *count);
/* Builds settings from text; on failure returns NULL, and `error` names
 * key, bound and value. */
GwSettings *GwSettings_Parse(const char *text, size_t len, GError **error);
/* Returns the text of docs/SETTINGS.md; free with g_free. */
char *GwSettings_Doc(void);

#endif
