/* Whom an entry asks for rows that it lacks.
 *
 * All entries hear of news from the one that reads the store, and if all asked
 * it, it would send the same rows as often as there are entries, most of them
 * to other failure domains, which is paid for (docs/CAPACITY.md). So the entries
 * of a failure domain stand in a tree, by rank: the first asks whoever has the
 * rows, the others ask the one above them when it has them. */
#ifndef GW_EDGE_NEWS_H
#define GW_EDGE_NEWS_H

#include <stdbool.h>
#include <stdint.h>

/* In a smaller failure domain everybody asks at once: the detour costs up to
 * two reports' time and saves little. */
#define GW_NEWS_DOMAIN_MIN 4
/* Entries that ask the same one. */
#define GW_NEWS_FAN 4
/* The one above may be cut off: so long it is waited for, three steps of a
 * report and an answer. */
#define GW_NEWS_WAIT_US 800000
#define GW_NEWS_OUTSIDE UINT32_MAX

typedef struct {
    uint32_t domain_size; /* entries of our domain that serve, with this one */
    uint32_t own;         /* place of this entry among them, from 0 */
    uint32_t teller;   /* of the one that has the rows; OUTSIDE: elsewhere */
    int64_t waited_us; /* since we heard that we lack rows */
} GwNewsSight;

bool GwNews_AsksNow(const GwNewsSight *sight);

#endif
