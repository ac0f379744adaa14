/* Chooses the entry from which missing rows are fetched.
 *
 * All entries learn of changed rows by reports from the entry that reads the
 * store. If all entries fetched from that entry, it would send the same rows
 * once per entry, mostly to other failure domains, and bytes between failure
 * domains are paid for. So the entries
 * of a failure domain form a tree by rank: the root fetches from any entry
 * that has the rows, every other entry fetches from its parent. */
#ifndef GW_EDGE_FETCH_TREE_H
#define GW_EDGE_FETCH_TREE_H

#include <stdbool.h>
#include <stdint.h>

/* In a smaller failure domain, every entry fetches at once: the tree costs
 * up to two report periods and saves little. */
#define GW_FETCH_TREE_MIN 4
/* Maximum children of an entry. */
#define GW_FETCH_FANOUT 4
/* How long to wait for the parent, which may be unreachable, before
 * fetching from any entry: three steps of a report and an answer. */
#define GW_FETCH_WAIT_US 800000
/* As GW_FETCH_WAIT_US, for an entry that has no rows yet and accepts no
 * callers until it has them. */
#define GW_FETCH_START_WAIT_US 200000
#define GW_FETCH_OUTSIDE       UINT32_MAX

/* Properties by which entries are ranked for duties that load the instance. */
typedef struct {
    const char *name;
    uint32_t link_kbps;
    uint32_t cpu_milli; /* thousandths of a core */
} GwEntryRank;

/* The order of the tree, of the store readers of a region and of
 * aggregators: the larger link first, then the larger processor, then by a
 * hash of the names. With an order by the hash alone, an instance of 10 Mbit/s
 * served four other entries beside its own callers while instances of
 * 200 Mbit/s served none. */
bool GwEntryRank_IsBefore(const GwEntryRank *a, const GwEntryRank *b);

/* Rows are read from the store directly if a copy would occupy a peer's
 * link for longer than this: with four children per entry and three levels,
 * 25 ms per copy add up to 300 ms. The store's link is some hundred times
 * as wide as that of a small instance, but calls to the store are paid for. */
#define GW_FETCH_COPY_US 25000

/* A copy of rows from a provider to a requester. */
typedef struct {
    uint64_t bytes;
    uint32_t link_kbps; /* the narrower of both links; 0: unknown */
} GwFetchCopy;

bool GwFetchCopy_IsLarge(const GwFetchCopy *copy);

/* This entry and the provider of missing rows within the failure domain. */
typedef struct {
    uint32_t domain_size;   /* serving entries in it, with this one */
    uint32_t own_rank;      /* rank of this entry among them, from 0 */
    uint32_t provider_rank; /* rank of the provider, or GW_FETCH_OUTSIDE */
    int64_t waited_us;      /* since this entry learned that it lacks rows */
    bool is_bootstrapping;  /* this entry has no rows yet */
} GwFetchView;

bool GwFetchView_MayFetch(const GwFetchView *view);

#endif
