/* One entry in the test's own process, its loop run a turn at a time. Callers
 * and backend servers are plain sockets of the test, so what has come to the
 * entry and was not read yet is the test's choice. */
#ifndef GW_TESTS_FAKES_EDGE_HOST_H
#define GW_TESTS_FAKES_EDGE_HOST_H

#include "edge/edge_internal.h"

#define EDGE_HOST_SERVERS_MAX 4
#define EDGE_HOST_CONNS_MAX   64
#define EDGE_HOST_BLOCK       4

/* One connection from the entry, and all that came on it. */
typedef struct {
    int fd;
    GString *seen;
} EdgeHostConn;

typedef struct {
    char id[16];
    char address[32];
    int listener;
    EdgeHostConn conns[EDGE_HOST_CONNS_MAX];
    uint32_t conn_count;
    int blocked[EDGE_HOST_BLOCK]; /* connections that fill its queue */
    bool is_blocked;
} EdgeHostServer;

typedef struct {
    GwEdge *edge;
    EdgeHostServer servers[EDGE_HOST_SERVERS_MAX];
    uint32_t server_count;
} EdgeHost;

/* Knows the routes of FakeSteering_Routing, and no server yet. */
EdgeHost *EdgeHost_Create(void);
void EdgeHost_Free(EdgeHost *h);
void EdgeHost_AddServer(EdgeHost *h, const char *id, uint32_t slots);
/* Tells the entry of it once more, with so many slots. */
void EdgeHost_PutServer(EdgeHost *h, const EdgeHostServer *s, uint32_t slots);
/* It takes no connection any more, and resets none. */
void EdgeHost_Block(EdgeHostServer *s);
/* One turn of the loop, which does not wait. */
void EdgeHost_Turn(EdgeHost *h);
/* Turns until it is so; false when it never comes to it, in seconds. */
bool EdgeHost_Until(EdgeHost *h, bool (*is_so)(void *ctx), void *ctx);

/* A caller's connection, made by the kernel before the entry knows of it. */
int EdgeHost_Call(EdgeHost *h);
/* The same, from that address of this machine. */
int EdgeHost_CallFrom(EdgeHost *h, const char *ip);
/* A whole request; its id goes in the line of the target too. */
void EdgeHost_Ask(int caller, const char *path, const char *id);
/* The same, of a caller who waits for so long. */
void EdgeHost_AskFor(int caller, const char *path, const char *id,
                     uint32_t left_ms);
/* What came on a connection and was not read, as text; "" for nothing. */
const char *EdgeHost_Read(int fd);
/* The server's process ends: its connections close, new ones are refused. */
void EdgeHost_Crash(EdgeHostServer *s);
/* Whether that request has come to the server, and how often. */
uint32_t EdgeHost_Got(EdgeHostServer *s, const char *id);
/* Answers where that request came. */
void EdgeHost_Answer(EdgeHostServer *s, const char *id);
/* The same, with a proof that it did not run. */
void EdgeHost_Refuse(EdgeHostServer *s, const char *id);

#endif
