/* In-memory model of the platform's table service: versioned rows. Not
 * thread-safe; the stand-in holds a lock around each call. */
#ifndef GS_TABLE_H
#define GS_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
    char *key;
    char *value;
    uint64_t version; /* increases over the whole table; 0: absent */
} GsRow;

typedef struct GsTable_s GsTable;

GsTable *GsTable_Create(void);
GsTable *GsTable_Copy(const GsTable *t);
void GsTable_Free(GsTable *t);
const GsRow *GsTable_Get(const GsTable *t, const char *key);
GPtrArray *GsTable_List(const GsTable *t, const char *prefix);
/* Writes all rows, sets their new versions and returns -1; or writes nothing
 * and returns the index of the first row whose version is not current. */
int32_t GsTable_Commit(GsTable *t, GsRow *rows, uint32_t count);

#endif
