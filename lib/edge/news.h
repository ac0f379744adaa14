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
/* The same of an entry that has no rows at all, and takes no callers yet. */
#define GW_NEWS_START_WAIT_US 200000
#define GW_NEWS_OUTSIDE       UINT32_MAX

/* An entry, as far as it matters who does what loads an instance. */
typedef struct {
    const char *name;
    uint32_t link_kbps;
    uint32_t cpu_milli; /* thousandths of a core */
} GwNewsEntry;

/* The order of the tree, and of who reads the store for a region: the larger
 * link first, then the larger processor, then by a hash of the names. Drawn by
 * the hash alone, an instance of 10 Mbit/s served four others beside its own
 * callers while others of 200 served none. */
bool GwNews_IsBefore(const GwNewsEntry *a, const GwNewsEntry *b);

/* A row is read from the store by everybody where a copy of it would keep a
 * peer's link for longer than this: with four that ask the same one, and three
 * steps, 25 ms a copy are 300 ms. The store's link is some hundred times as
 * wide as that of a small instance, but its calls are paid for. */
#define GW_NEWS_COPY_US 25000

typedef struct {
    uint64_t bytes;
    uint32_t link_kbps; /* the narrower one of teller and asker; 0: unknown */
} GwNewsSize;

bool GwNews_IsLarge(const GwNewsSize *size);

typedef struct {
    uint32_t domain_size; /* entries of our domain that serve, with this one */
    uint32_t own;         /* place of this entry among them, from 0 */
    uint32_t teller;   /* of the one that has the rows; OUTSIDE: elsewhere */
    int64_t waited_us; /* since we heard that we lack rows */
    bool starts;       /* we have none yet */
} GwNewsSight;

bool GwNews_AsksNow(const GwNewsSight *sight);

#endif
