/* Bootstrap state sent to a new entry: peer addresses and warm placements.
 *
 * When all entries start together, each is new to all others. Sending the
 * whole state to every new entry cost 40 MB in the first seconds with 68
 * entries, and bytes between failure domains are paid for. */
#ifndef GW_EDGE_BOOTSTRAP_H
#define GW_EDGE_BOOTSTRAP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Entries of a region that send warm placements to a new entry: more than one,
 * since a single sender may fail. */
#define GW_BOOTSTRAP_SENDERS 2

/* Whether to send the known addresses to a new entry. An entry that read
 * the addresses from the store knows about as many as this one; an entry
 * that started from seeds, during a store outage, knows about three. */
bool GwBootstrap_SendsAddresses(uint32_t own_known, uint32_t peer_known);
/* Whether this entry is one of those that send warm placements to the new
 * entry. `others` are the names of the region's serving entries, without
 * these two. All entries agree by a hash, without messages. */
bool GwBootstrap_SendsPlacements(const char *own, const char *new_entry,
                                 const GPtrArray *others);

/* An entry as described by its row in the store. */
typedef struct {
    char name[64];
    char address[64]; /* peer address */
    char region[64];  /* "" if absent */
    char domain[64];
    uint32_t link_kbps;
    uint32_t cpu_milli;
} GwEntryRow;

/* Returns the row's value; free with g_free(). The row's key is the name. */
char *GwEntryRow_WriteValue(const GwEntryRow *row);
bool GwEntryRow_Read(const char *key, const char *value, GwEntryRow *row);

/* Entries of a failure domain in another region that are notified of a new
 * entry at once: the aggregator and the next in rank. */
#define GW_NOTIFIED_REMOTE 2

/* Chooses the peers that a new entry notifies at once: all of its region, and
 * GW_NOTIFIED_REMOTE per failure domain of other regions, whose other entries
 * may learn of the new entry later. Sets `notified` for each row. */
void GwBootstrap_ChooseNotified(const char *region, const GArray *rows,
                                bool *notified);

#endif
