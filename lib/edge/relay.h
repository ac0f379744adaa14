/* Requests that entries pass on to each other, over HTTP/1.1 at the port after
 * that of peer_address.
 *
 * The request is the caller's own, with its key, so that the other entry checks
 * the key itself and derives the organisation from it. GW_RELAY_PROCESS names
 * the process that is asked, by the random number that its reports carry: a
 * caller doesn't know it, and a process that has restarted refuses it. The
 * answer states in GW_RELAY_OUTCOME what is known of the attempt; without it,
 * the request may have run. None of these fields goes to servers or callers. */
#ifndef GW_EDGE_RELAY_H
#define GW_EDGE_RELAY_H

#include "edge/edge_internal.h"

#define GW_RELAY_PROCESS "gw-relay-process" /* 16 hexadecimal digits */
/* Time to the latency objective in ms, may be negative. */
#define GW_RELAY_OBJECTIVE "gw-relay-objective"
/* An outcome, then any of `; reached` and `; no-room`. */
#define GW_RELAY_OUTCOME "gw-relay-outcome"
#define GW_RELAY_SERVER  "gw-relay-server" /* id of the server */

/* Length of the fields that are added to a request. */
#define GW_RELAY_HEAD_BYTES 256

/* An entry that requests can be passed on to. */
typedef struct {
    char address[32];
    uint64_t process_id;
} GwRelayTarget;

/* peers.c */
/* Finds where the live peer of that name takes requests. */
bool GwPeers_FindRelay(const GwPeers *peers, const char *name,
                       GwRelayTarget *out);
/* The address at which an entry takes requests of others; false if the port
 * after that of `peer_address` is no port. */
bool GwPeers_RelayAddress(const char *peer_address, char out[32]);

/* ---- The entry that passes a request on ---------------------------------- */

void GwRelay_Send(GwExchange *x, const GwRouterAction *act);
void GwRelay_Cancel(GwExchange *x);
/* Whether the connection of the current attempt is being set up. */
bool GwRelay_IsConnecting(const GwExchange *x);
/* Ends the attempts whose connections are not established yet. */
void GwRelay_AbortConnecting(GwEdge *edge);
void GwRelay_Sweep(GwEdge *edge, int64_t now_us);
void GwRelay_CloseAll(GwEdge *edge);
/* Reads the answer of the other entry, which belongs to a request with the
 * outcome that it states. `server` points into the message. */
GwPassedOnEnd GwRelay_ReadEnd(const GwAdapter *names,
                              const GwHttpMessage *msg);

/* ---- The entry that is asked --------------------------------------------- */

/* Opens the listener for other entries. */
bool GwRelay_Listen(GwEdge *edge, GError **error);
/* Whether a request that arrived there comes from an entry that means this
 * process. */
bool GwRelay_IsAuthorized(const GwEdge *edge, const GwHttpMessage *msg);
/* Time to the latency objective, as the other entry states it. */
int64_t GwRelay_ReadObjectiveUs(const GwHttpMessage *msg);
/* Header lines of the answer to a request that was passed on; owned by the
 * calling function. */
char *GwRelay_WriteEnd(const GwRouterAction *act);

#endif
