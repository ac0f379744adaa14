#include "fakes/edge_entry.h"

#include "edge/quarantine_rows.h"
#include "fakes/free_port.h"
#include "fakes/steering.h"
#include "platform/platform.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define WAIT_US 10000000
#define STEP_US 1000
/* Loop iterations without progress after which sending ends. */
#define IDLE_ITERATIONS_MAX 500
/* Listen backlog of the silent server; more than its slots. */
#define BACKLOG 128
#define SLOTS   64
/* About the smallest receive buffer that the kernel grants. The segment size
 * is smaller, since a segment larger than the window waits for a timer. */
#define NARROW_BYTES         2048
#define NARROW_SEGMENT_BYTES 536

/* ---- The entry --------------------------------------------------------- */

static GwEdgeSettings *
make_settings(const char *name, const char *domain, const char *more)
{
    char at[7][GW_ADDR_MAX]; /* the port after peer_address is in use */
    GError *error = NULL;

    for (size_t i = 0; i < G_N_ELEMENTS(at); i++) {
        FreePort_Address(at[i]);
    }
    char *text = g_strdup_printf(
        "{\"name\":\"%s\",\"region\":\"r1\",\"domain\":\"%s\","
        "\"call_address\":\"%s\",\"ready_address\":\"%s\","
        "\"directory_address\":\"%s\",\"control_address\":\"%s\","
        "\"peer_address\":\"%s\",\"store_address\":\"%s\","
        "\"regions\":{\"d1\":\"r1\",\"d2\":\"r1\"},\"grace\":\"6s\"%s}",
        name, domain, at[0], at[1], at[2], at[3], at[4], at[6], more);
    GwEdgeSettings *settings =
        GwEdgeSettings_Parse(text, strlen(text), &error);
    cr_assert_not_null(settings, "%s", error != NULL ? error->message : "");
    g_free(text);
    return settings;
}

/* Opens a listening socket whose connections are never read. */
static int
open_silent_listener(char address[GW_ADDR_MAX])
{
    struct sockaddr_in at;
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    FreePort_Address(address);
    cr_assert(GwConn_ParseAddress(address, &at));
    cr_assert_eq(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
    cr_assert_eq(listen(fd, BACKLOG), 0);
    return fd;
}

EdgeEntry
EdgeEntry_Start(void)
{
    return EdgeEntry_StartAs("e1", "d1", "");
}

EdgeEntry
EdgeEntry_StartAs(const char *name, const char *domain, const char *more)
{
    GError *error = NULL;
    char address[GW_ADDR_MAX];
    EdgeEntry entry = {.silent = open_silent_listener(address)};

    (void)signal(SIGPIPE, SIG_IGN); /* as the program */
    entry.edge = GwEdge_Create(make_settings(name, domain, more),
                               "no settings file", &Platform_Adapter, &error);
    cr_assert_not_null(entry.edge, "%s", error != NULL ? error->message : "");
    GwQuarantineRows_MarkLoaded(entry.edge->quarantine_rows);
    EdgeEntry_SetIdleLimit(&entry, GW_DEFAULT_IDLE_TIMEOUT_MS);
    GwServerInfo info = FakeSteering_Info("s1", "s", "r1", "d1", SLOTS);
    info.address = address;
    GwRouter_PutServer(entry.edge->router, GwEdge_Now(), &info,
                       entry.edge->actions);
    GwEdge_RunActions(entry.edge);
    return entry;
}

void
EdgeEntry_Stop(EdgeEntry *entry)
{
    GwEdge_Free(entry->edge);
    (void)close(entry->silent);
}

void
EdgeEntry_SetIdleLimit(EdgeEntry *entry, uint32_t idle_ms)
{
    GwRouter *router = entry->edge->router;
    const GwRouting *before = GwRouter_Routing(router);
    GwRouting *routing =
        FakeSteering_Routing(before != NULL ? before->version + 1 : 1, 1);

    routing->limits.idle_timeout_ms = idle_ms;
    cr_assert(GwRouter_SetRouting(router, routing));
    GwRouting_Unref(routing);
}

bool
EdgeEntry_RunUntil(EdgeEntry *entry, EdgeEntryTest test, void *ctx)
{
    int64_t end_us = GwEdge_Now() + WAIT_US;

    while (!test(ctx)) {
        if (GwEdge_Now() > end_us) {
            return false;
        }
        EdgeEntry_RunOnce(entry);
        g_usleep(STEP_US);
    }
    return true;
}

void
EdgeEntry_RunOnce(EdgeEntry *entry)
{
    (void)uv_run(&entry->edge->loop, UV_RUN_NOWAIT);
}

/* ---- A caller ---------------------------------------------------------- */

static bool
is_accepted(void *ctx)
{
    const GwEdge *edge = ((PlainCaller *)ctx)->entry->edge;

    return !g_queue_is_empty((GQueue *)&edge->callers);
}

static void
shrink_buffers(int fd)
{
    int bytes = NARROW_BYTES;
    int segment = NARROW_SEGMENT_BYTES;

    cr_assert_eq(setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes)),
                 0);
    cr_assert_eq(
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment)), 0);
}

static PlainCaller
connect_to(EdgeEntry *entry, bool narrow)
{
    struct sockaddr_in at;
    PlainCaller caller = {.entry = entry,
                          .fd = socket(AF_INET, SOCK_STREAM, 0),
                          .got = g_string_new(NULL)};

    cr_assert(GwConn_ParseAddress(entry->edge->settings->call_address, &at));
    if (narrow) {
        shrink_buffers(caller.fd);
    }
    cr_assert_eq(connect(caller.fd, (struct sockaddr *)&at, sizeof(at)), 0);
    cr_assert(EdgeEntry_RunUntil(entry, is_accepted, &caller));
    return caller;
}

PlainCaller
PlainCaller_Connect(EdgeEntry *entry)
{
    return connect_to(entry, false);
}

PlainCaller
PlainCaller_ConnectNarrow(EdgeEntry *entry)
{
    return connect_to(entry, true);
}

void
PlainCaller_Close(PlainCaller *caller)
{
    (void)close(caller->fd);
    g_string_free(caller->got, TRUE);
}

/* Whether the entry's kernel acknowledged all bytes or closed the
 * connection. */
static bool
has_arrived(const PlainCaller *caller)
{
    struct pollfd state = {.fd = caller->fd};
    int unacked = 0;

    cr_assert_eq(ioctl(caller->fd, SIOCOUTQ, &unacked), 0);
    return unacked == 0 || (poll(&state, 1, 0) > 0 &&
                            (state.revents & (POLLERR | POLLHUP)) != 0);
}

void
PlainCaller_Send(PlainCaller *caller, const char *bytes)
{
    size_t len = strlen(bytes);

    cr_assert_eq(send(caller->fd, bytes, len, MSG_NOSIGNAL), (ssize_t)len);
    while (!has_arrived(caller)) {
        g_usleep(STEP_US);
    }
}

/* Reads all available bytes. A reset after an orderly close is visible only in
 * SO_ERROR. */
static void
read_available(PlainCaller *caller)
{
    char bytes[4096];
    int error = 0;
    int now = 1;
    socklen_t len = sizeof(error);
    ssize_t count;

    while ((count = recv(caller->fd, bytes, sizeof(bytes), MSG_DONTWAIT)) >
           0) {
        g_string_append_len(caller->got, bytes, count);
    }
    bool failed = count < 0 && errno != EAGAIN;
    /* Sends a delayed acknowledgement now. */
    (void)setsockopt(caller->fd, IPPROTO_TCP, TCP_QUICKACK, &now, sizeof(now));
    if (failed) {
        caller->state = CALLER_RESET;
        return;
    }
    if (count == 0 && caller->state == CALLER_OPEN) {
        caller->state = CALLER_CLOSED;
    }
    (void)getsockopt(caller->fd, SOL_SOCKET, SO_ERROR, &error, &len);
    if (error != 0) {
        caller->state = CALLER_RESET;
    }
}

size_t
PlainCaller_Flood(PlainCaller *caller, const char *text, size_t most)
{
    size_t sent = 0;
    size_t len = strlen(text);
    int refused = 0;

    while (sent < most && refused < IDLE_ITERATIONS_MAX) {
        size_t from = sent % len;
        ssize_t count = send(caller->fd, text + from, len - from,
                             MSG_DONTWAIT | MSG_NOSIGNAL);
        refused = count > 0 ? 0 : refused + 1;
        sent += count > 0 ? (size_t)count : 0;
        EdgeEntry_RunOnce(caller->entry);
    }
    return sent;
}

void
PlainCaller_ShutdownSend(PlainCaller *caller)
{
    struct tcp_info info;
    socklen_t len = sizeof(info);

    cr_assert_eq(shutdown(caller->fd, SHUT_WR), 0);
    do {
        cr_assert_eq(
            getsockopt(caller->fd, IPPROTO_TCP, TCP_INFO, &info, &len), 0);
    } while (info.tcpi_state != TCP_FIN_WAIT2);
}

void
PlainCaller_Receive(PlainCaller *caller, size_t bytes)
{
    while (caller->got->len < bytes && caller->state == CALLER_OPEN) {
        read_available(caller);
    }
}

static bool
is_answered(void *ctx)
{
    PlainCaller *caller = ctx;

    read_available(caller);
    return caller->got->len > 0 || caller->state != CALLER_OPEN;
}

CallerState
PlainCaller_AwaitAnswer(PlainCaller *caller)
{
    g_string_truncate(caller->got, 0);
    cr_assert(EdgeEntry_RunUntil(caller->entry, is_answered, caller));
    return caller->state;
}

static bool
is_over(void *ctx)
{
    PlainCaller *caller = ctx;

    read_available(caller);
    return caller->state != CALLER_OPEN;
}

static bool
is_reset_or_dropped(void *ctx)
{
    PlainCaller *caller = ctx;

    read_available(caller);
    return caller->state == CALLER_RESET ||
           caller->entry->edge->counts.dropped > 0;
}

CallerState
PlainCaller_AwaitEnd(PlainCaller *caller)
{
    cr_assert(EdgeEntry_RunUntil(caller->entry, is_over, caller));
    return caller->state;
}

CallerState
PlainCaller_AwaitReset(PlainCaller *caller)
{
    cr_assert(EdgeEntry_RunUntil(caller->entry, is_reset_or_dropped, caller));
    return caller->state;
}
