/* What an entry tells one that has just started.
 *
 * When all start at once, each is new to each. If everybody told every newcomer
 * all it knows, 68 entries sent each other 40 MB in the first seconds, and bytes
 * between failure domains are paid for. */
#ifndef GW_EDGE_INTRODUCE_H
#define GW_EDGE_INTRODUCE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Of a region's entries, so many tell a newcomer where objects are warm: one
 * would do, and it may be lost. */
#define GW_INTRODUCERS 2

/* Whether a newcomer is told the others' addresses: one that found them in the
 * store knows about as many as we do; one that came by seeds, while the store
 * was away, knows three. */
bool GwIntroduce_TellsAddresses(uint32_t own, uint32_t newcomers);
/* Whether this entry is one of the introducers of the newcomer, among those of
 * the region that serve: `others` are their names, without either of the two.
 * All decide alike by a hash, without a word. */
bool GwIntroduce_TellsPlaces(const char *own, const char *newcomer,
                             const GPtrArray *others);

/* An entry as its row in the store tells it. */
typedef struct {
    char name[64];
    char address[64]; /* for peers */
    char region[64];  /* "": the row does not say */
    char domain[64];
    uint32_t link_kbps;
    uint32_t cpu_milli;
} GwEntryRow;

/* The row's value; freed by g_free. The row's key is the name. */
char *GwEntryRow_WriteValue(const GwEntryRow *row);
bool GwEntryRow_Read(const char *key, const char *value, GwEntryRow *row);

/* Of the entries of another failure domain of another region, so many hear of
 * a newcomer at once: those that add up its loads, or would next. */
#define GW_GREETED_FAR 2

/* Whom a newcomer tells at once that it is there: all of its region, and few
 * of the others, who have time. Sets `greeted` for each of the rows. */
void GwIntroduce_ChooseGreeted(const char *region, const GArray *rows,
                               bool *greeted);

#endif
