/* An entry with its event loop in the test process, and callers on plain
 * sockets. The test controls when the entry reads. The store is
 * unavailable. */
#ifndef GW_TESTS_FAKES_EDGE_ENTRY_H
#define GW_TESTS_FAKES_EDGE_ENTRY_H

#include "edge/edge_internal.h"

typedef struct {
    GwEdge *edge;
    int silent; /* listening socket of a server that never answers */
} EdgeEntry;

/* Serves the host "h" of FakeSteering_Routing. The backend server of its
 * routes accepts connections and never answers. */
EdgeEntry EdgeEntry_Start(void);
/* As EdgeEntry_Start, as the entry of that name and failure domain (d1 or d2,
 * both in region r1). `more`: further settings, each with a comma in front. */
EdgeEntry EdgeEntry_StartAs(const char *name, const char *domain,
                            const char *more);
void EdgeEntry_Stop(EdgeEntry *entry);
/* Sets the timeout after which idle connections are closed. */
void EdgeEntry_SetIdleLimit(EdgeEntry *entry, uint32_t idle_ms);
/* Runs the loop until the condition holds; false after 10 s. */
typedef bool (*EdgeEntryTest)(void *ctx);
bool EdgeEntry_RunUntil(EdgeEntry *entry, EdgeEntryTest test, void *ctx);
/* Runs one iteration of the loop, without waiting. */
void EdgeEntry_RunOnce(EdgeEntry *entry);

typedef enum {
    CALLER_OPEN = 0,
    CALLER_CLOSED, /* closed by the entry, without reset */
    CALLER_RESET   /* closed with unread data */
} CallerState;

typedef struct {
    EdgeEntry *entry;
    int fd;
    CallerState state;
    GString *got; /* received bytes */
} PlainCaller;

/* Connects; returns after the entry has accepted. */
PlainCaller PlainCaller_Connect(EdgeEntry *entry);
/* As PlainCaller_Connect, with a small receive buffer. */
PlainCaller PlainCaller_ConnectNarrow(EdgeEntry *entry);
void PlainCaller_Close(PlainCaller *caller);
/* Sends bytes; they are in the entry's receive buffer, unread, on return. */
void PlainCaller_Send(PlainCaller *caller, const char *bytes);
/* Sends the text repeatedly without reading, until the entry accepts no more
 * or `most` bytes are sent. Returns the number of bytes sent. */
size_t PlainCaller_Flood(PlainCaller *caller, const char *text, size_t most);
/* Shuts down the sending side; returns after the kernel of the entry
 * acknowledged. */
void PlainCaller_ShutdownSend(PlainCaller *caller);
/* Reads that many bytes without running the entry. On return the entry's
 * kernel has the acknowledgements. */
void PlainCaller_Receive(PlainCaller *caller, size_t bytes);
/* Runs the loop until an answer was received and acknowledged, or the
 * connection is closed. */
CallerState PlainCaller_AwaitAnswer(PlainCaller *caller);
/* Runs the loop until the connection is closed; keeps bytes received
 * before. */
CallerState PlainCaller_AwaitEnd(PlainCaller *caller);
/* Runs the loop until the connection is reset, or the entry has read and
 * dropped a request. */
CallerState PlainCaller_AwaitReset(PlainCaller *caller);

#endif
