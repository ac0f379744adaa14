/* An entry on its event loop, in the process of the test, and callers on plain
 * sockets: what the entry reads and when is up to the test. Nobody answers as
 * its store. */
#ifndef GW_TESTS_FAKES_EDGE_ENTRY_H
#define GW_TESTS_FAKES_EDGE_ENTRY_H

#include "edge/edge_internal.h"

typedef struct {
    GwEdge *edge;
    int silent; /* the socket of a backend server that never answers */
} EdgeEntry;

/* Serves the host "h" of FakeSteering_Routing; the server of its routes takes
 * connections and answers nothing. */
EdgeEntry EdgeEntry_Start(void);
void EdgeEntry_Stop(EdgeEntry *entry);
/* A configuration whose idle connections are closed after that time. */
void EdgeEntry_SetIdleLimit(EdgeEntry *entry, uint32_t idle_ms);
/* Runs the loop until the condition holds; false after 10 s. */
typedef bool (*EdgeEntryTest)(void *ctx);
bool EdgeEntry_RunUntil(EdgeEntry *entry, EdgeEntryTest test, void *ctx);
/* Does what is ready now. */
void EdgeEntry_RunOnce(EdgeEntry *entry);

typedef enum {
    CALLER_WAITS = 0,
    CALLER_ENDED, /* the entry closed in order */
    CALLER_RESET  /* it did not read all that was sent */
} CallerState;

typedef struct {
    EdgeEntry *entry;
    int fd;
    CallerState state;
    GString *got; /* bytes of answers */
} PlainCaller;

/* Connects, and returns once the entry has accepted. */
PlainCaller PlainCaller_Connect(EdgeEntry *entry);
/* The same, but takes few bytes of answers before it reads them. */
PlainCaller PlainCaller_ConnectNarrow(EdgeEntry *entry);
void PlainCaller_Close(PlainCaller *caller);
/* Sends bytes, which wait unread at the entry when this returns. */
void PlainCaller_Send(PlainCaller *caller, const char *bytes);
/* Sends the text again and again, and reads nothing, until the entry takes no
 * more or that many bytes have gone; returns how many have. */
size_t PlainCaller_Flood(PlainCaller *caller, const char *text, size_t most);
/* Ends what it sends; returns when the entry's kernel knows. */
void PlainCaller_Shut(PlainCaller *caller);
/* Takes that many bytes of answers from the kernels alone: the entry does not
 * run. It knows by then that they have arrived. */
void PlainCaller_Take(PlainCaller *caller, size_t bytes);
/* Runs the loop until an answer has come and the entry's kernel knows that, or the connection is over. */
CallerState PlainCaller_AwaitAnswer(PlainCaller *caller);
/* The same until the connection is over, with what came before. */
CallerState PlainCaller_AwaitEnd(PlainCaller *caller);
/* The same until it is reset, or the entry has read and dropped a request. */
CallerState PlainCaller_AwaitReset(PlainCaller *caller);

#endif
