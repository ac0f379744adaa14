/* One entry in the test process, with its loop run one iteration at a time.
 * Callers and backend servers are plain sockets of the test, so that the test
 * controls which data is pending at the entry. */
#ifndef GW_TESTS_FAKES_EDGE_HOST_H
#define GW_TESTS_FAKES_EDGE_HOST_H

#include "edge/edge_internal.h"

#define EDGE_HOST_SERVERS_MAX 4
#define EDGE_HOST_CONNS_MAX   512
#define EDGE_HOST_BLOCK       4

/* One connection from the entry, with all bytes received. */
typedef struct {
    int fd;
    GString *seen;
} EdgeHostConn;

typedef struct {
    char id[16];
    char address[32];
    int listener; /* -1: none */
    EdgeHostConn conns[EDGE_HOST_CONNS_MAX];
    uint32_t conn_count;
    int blocked[EDGE_HOST_BLOCK]; /* connections that fill the accept queue */
    bool is_blocked;
} EdgeHostServer;

typedef struct {
    GwEdge *edge;
    EdgeHostServer servers[EDGE_HOST_SERVERS_MAX];
    uint32_t server_count;
} EdgeHost;

/* Starts with the routes of FakeSteering_Routing and without servers. */
EdgeHost *EdgeHost_Create(void);
void EdgeHost_Free(EdgeHost *h);
void EdgeHost_AddServer(EdgeHost *h, const char *id, uint32_t slots);
/* Opens the port of another entry for requests that are passed on, with the
 * methods of a server, and makes it a live peer of that name. */
EdgeHostServer *EdgeHost_AddPeer(EdgeHost *h, const char *name,
                                 uint64_t process_id);
/* Connects as another entry does that passes a request on. */
int EdgeHost_ConnectAsPeer(EdgeHost *h);
/* Reports the server to the entry again, with that many slots. */
void EdgeHost_PutServer(EdgeHost *h, const EdgeHostServer *s, uint32_t slots);
/* The server accepts no more connections, and resets none. */
void EdgeHost_Block(EdgeHostServer *s);
/* Runs one iteration of the loop, without waiting. */
void EdgeHost_RunOnce(EdgeHost *h);
/* Runs the loop until the condition holds; false after some seconds. */
bool EdgeHost_RunUntil(EdgeHost *h, bool (*is_so)(void *ctx), void *ctx);

/* Connects a caller; the entry has not accepted yet. Returns the socket. */
int EdgeHost_Connect(EdgeHost *h);
/* As EdgeHost_Connect, from the local address `ip`. */
int EdgeHost_ConnectFrom(EdgeHost *h, const char *ip);
/* Connects to the entry's directory. */
int EdgeHost_ConnectToDirectory(EdgeHost *h);
/* Sends a complete request; its id is also part of the target. */
void EdgeHost_SendRequest(int caller, const char *path, const char *id);
/* As EdgeHost_SendRequest, with the time that the caller waits. */
void EdgeHost_SendRequestFor(int caller, const char *path, const char *id,
                             uint32_t left_ms);
/* Sends bytes as they are. */
void EdgeHost_SendText(int caller, const char *text);
/* Pending bytes of a connection as text; "" if none. */
const char *EdgeHost_Read(int fd);
/* The server exits: connections are closed, new ones refused. */
void EdgeHost_Crash(EdgeHostServer *s);
/* Cuts or restores the open connections to the server. Their packets are
 * dropped, so that the entry's kernel sends them again. */
void EdgeHost_SetCut(EdgeHostServer *s, bool is_cut);
/* How often the server received that request. */
uint32_t EdgeHost_CountRequests(EdgeHostServer *s, const char *id);
/* Answers that request. */
void EdgeHost_Answer(EdgeHostServer *s, const char *id);
/* Refuses that request, with proof that it did not run. */
void EdgeHost_Refuse(EdgeHostServer *s, const char *id);
/* As those two, with further header lines, each with its line end. */
void EdgeHost_AnswerWith(EdgeHostServer *s, const char *id,
                         const char *fields);
void EdgeHost_RefuseWith(EdgeHostServer *s, const char *id,
                         const char *fields);

#endif
