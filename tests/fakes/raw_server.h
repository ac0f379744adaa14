/* A backend server that sends scripted bytes: each connection executes a list
 * of steps, one per request. */
#ifndef GW_TESTS_FAKES_RAW_SERVER_H
#define GW_TESTS_FAKES_RAW_SERVER_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum {
    RAW_END = 0, /* no more requests: wait until the client closes */
    RAW_ANSWER,  /* read a request, send the text, continue */
    RAW_CUT,     /* read a request, send the text, close */
    RAW_CLOSE,   /* close without reading */
    RAW_STALL    /* read a request and never answer */
} RawKind;

typedef struct {
    RawKind kind;
    const char *text;
} RawStep;

#define RAW_CONNECTIONS_MAX 4
#define RAW_STEPS_MAX       6

typedef struct RawServer_s RawServer;

RawServer *
RawServer_Start(const RawStep plan[RAW_CONNECTIONS_MAX][RAW_STEPS_MAX]);
/* ip:port */
const char *RawServer_Address(const RawServer *server);
uint32_t RawServer_Requests(RawServer *server);
uint32_t RawServer_Connections(RawServer *server);
/* Cuts or restores the open connections: their packets are dropped, and the
 * client's kernel sends them again. */
void RawServer_SetCut(RawServer *server, bool is_cut);
void RawServer_Stop(RawServer *server);

#endif
