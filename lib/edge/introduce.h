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

#endif
