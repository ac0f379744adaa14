/* What the kernel does with the bytes of an outgoing connection that is
 * closed, or whose process ends. The connection belongs to a child process;
 * the test is its peer. */
#include "http/conn.h"
#include "standins/common/packet_filter.h"

#include <criterion/criterion.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define PEER_MS 5000
/* Longer than some retransmissions of the kernel. */
#define QUIET_MS  1500
#define DELIVERED "GET /delivered HTTP/1.1\r\n\r\n"
#define HELD_UP   "GET /held-up HTTP/1.1\r\n\r\n"

typedef enum { END_BY_CLOSE, END_BY_EXIT, END_BY_KILL } EndKind;

typedef struct {
    GwConn *conn;
    EndKind end;
    bool writes_in_cut;
    int go_on;  /* readable once the test has cut the connection */
    int closed; /* gets a byte after GwConn_Close */
} Child;

static void
finish(Child *child)
{
    switch (child->end) {
    case END_BY_CLOSE:
        GwConn_Close(child->conn);
        if (write(child->closed, "x", 1) != 1) {
            _exit(1);
        }
        break;
    case END_BY_EXIT:
        _exit(0);
    case END_BY_KILL:
        (void)raise(SIGKILL);
    }
}

static void
on_connected(void *owner)
{
    Child *child = owner;
    GString *text = g_string_new(DELIVERED);
    char byte;

    GwConn_Write(child->conn, text);
    if (read(child->go_on, &byte, 1) != 1) {
        _exit(1);
    }
    if (child->writes_in_cut) {
        g_string_assign(text, HELD_UP);
        GwConn_Write(child->conn, text);
    }
    g_string_free(text, TRUE);
    finish(child);
}

static void
on_message(void *owner, GwHttpMessage *msg)
{
    (void)owner;
    GwHttpMessage_Free(msg);
}

static void
on_ended(void *owner, GwConnEnd end)
{
    (void)owner;
    (void)end;
}

/* Returns only in the test's own process. */
static pid_t
start_child(Child *child, const char *address)
{
    static const GwConnOps ops = {
        .connected = on_connected, .message = on_message, .ended = on_ended};
    uv_loop_t loop;
    pid_t pid = fork();

    if (pid != 0) {
        return pid;
    }
    (void)uv_loop_init(&loop);
    GwConnParams params = {.loop = &loop,
                           .ops = &ops,
                           .owner = child,
                           .head_max = 4096,
                           .body_max = 4096};
    child->conn = GwConn_Connect(&params, address);
    (void)uv_run(&loop, UV_RUN_DEFAULT);
    (void)pause(); /* the kernel goes on with the closed connection */
    _exit(0);
}

static int
listen_any(char address[32])
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(at);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    cr_assert_eq(bind(fd, (struct sockaddr *)&at, len), 0);
    cr_assert_eq(listen(fd, 1), 0);
    (void)getsockname(fd, (struct sockaddr *)&at, &len);
    g_snprintf(address, 32, "127.0.0.1:%u", ntohs(at.sin_port));
    return fd;
}

/* Waits for bytes or an end; returns what recv does, and -1 for a reset or
 * silence. */
static ssize_t
receive(int fd, int wait_ms)
{
    struct pollfd fds = {.fd = fd, .events = POLLIN};
    char text[256];

    return poll(&fds, 1, wait_ms) == 1 ? recv(fd, text, sizeof(text), 0) : -1;
}

/* Guards against: the kernel delivers a request after a cut, though its
 * process abandoned it or has ended; and an idle connection is reset. */
Test(http_conn_close, only_acknowledged_bytes_outlive_a_connection)
{
    static const struct {
        const char *name;
        EndKind end;
        bool writes_in_cut;
        ssize_t received; /* after the cut */
    } cases[] = {
        {"closed with a request held up", END_BY_CLOSE, true, -1},
        {"exited with a request held up", END_BY_EXIT, true, -1},
        {"killed with a request held up", END_BY_KILL, true, -1},
        {"closed while idle", END_BY_CLOSE, false, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Child child = {.end = cases[i].end,
                       .writes_in_cut = cases[i].writes_in_cut};
        char address[32];
        int listener = listen_any(address);
        int go_on[2];
        int closed[2];
        char byte;

        cr_assert_eq(pipe(go_on), 0);
        cr_assert_eq(pipe(closed), 0);
        child.go_on = go_on[0];
        child.closed = closed[1];
        pid_t pid = start_child(&child, address);
        int fd = accept(listener, NULL, NULL);
        cr_assert_geq(fd, 0);
        cr_assert_eq(receive(fd, PEER_MS), (ssize_t)strlen(DELIVERED));
        cr_assert(PacketFilter_Drop(fd, cases[i].writes_in_cut));
        cr_assert_eq(write(go_on[1], "x", 1), 1);
        if (cases[i].end == END_BY_CLOSE) {
            cr_assert_eq(read(closed[0], &byte, 1), 1);
        }
        else {
            cr_assert_eq(waitpid(pid, NULL, 0), pid);
        }
        cr_assert(PacketFilter_Drop(fd, false));
        cr_expect_eq(receive(fd, cases[i].received == 0 ? PEER_MS : QUIET_MS),
                     cases[i].received, "%s", cases[i].name);
        if (cases[i].end == END_BY_CLOSE) {
            (void)kill(pid, SIGKILL);
            cr_assert_eq(waitpid(pid, NULL, 0), pid);
        }
        close(go_on[0]);
        close(go_on[1]);
        close(closed[0]);
        close(closed[1]);
        close(fd);
        close(listener);
    }
}
