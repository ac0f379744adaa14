#include "fakes/edge_host.h"

#include "edge/peers_internal.h"
#include "edge/quarantine_rows.h"
#include "edge/relay.h"

#include "fakes/free_port.h"
#include "fakes/steering.h"
#include "platform/platform.h"
#include "standins/common/packet_filter.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Pause between loop iterations, for bytes in transit over loopback, and the
 * number of iterations. */
#define PAUSE_US  200
#define TURNS_MAX 25000
/* Long, so that a loaded machine does not make requests late. */
#define OBJECTIVE_MS 10000
#define TIMEOUT_MS   30000

static GwEdgeSettings *
settings(void)
{
    static const char *const places[] = {
        "call", "ready", "directory", "control", "peer", "relay", "store"};
    GString *text = g_string_new("{\"name\":\"e1\",\"region\":\"r1\","
                                 "\"domain\":\"d1\","
                                 "\"regions\":{\"d1\":\"r1\"},"
                                 "\"retry_ratio\":1,"
                                 "\"fd_limit\":120");
    GError *error = NULL;

    for (size_t i = 0; i < G_N_ELEMENTS(places); i++) {
        char address[GW_ADDR_MAX];
        FreePort_Address(address);
        if (strcmp(places[i], "relay") != 0) { /* follows peer_address */
            g_string_append_printf(text, ",\"%s_address\":\"%s\"", places[i],
                                   address);
        }
    }
    g_string_append_c(text, '}');
    GwEdgeSettings *s = GwEdgeSettings_Parse(text->str, text->len, &error);
    g_string_free(text, TRUE);
    g_assert_no_error(error);
    return s;
}

EdgeHost *
EdgeHost_Create(void)
{
    EdgeHost *h = g_new0(EdgeHost, 1);
    GwRouting *routing = FakeSteering_Routing(1, 3);
    GError *error = NULL;

    for (uint32_t i = 0; i < routing->hosts[0].route_count; i++) {
        routing->hosts[0].routes[i].objective_ms = OBJECTIVE_MS;
        routing->hosts[0].routes[i].timeout_ms = TIMEOUT_MS;
    }
    h->edge = GwEdge_Create(settings(), "", &Platform_Adapter, &error);
    g_assert_no_error(error);
    GwQuarantineRows_MarkLoaded(h->edge->quarantine_rows);
    (void)GwRouter_SetRouting(h->edge->router, routing);
    GwRouting_Unref(routing);
    return h;
}

void
EdgeHost_Free(EdgeHost *h)
{
    GwEdge_Free(h->edge);
    for (uint32_t i = 0; i < h->server_count; i++) {
        EdgeHostServer *s = &h->servers[i];
        if (s->listener >= 0) {
            close(s->listener);
        }
        for (int k = 0; s->is_blocked && k < EDGE_HOST_BLOCK; k++) {
            close(s->blocked[k]);
        }
        for (uint32_t k = 0; k < s->conn_count; k++) {
            close(s->conns[k].fd);
            g_string_free(s->conns[k].seen, TRUE);
        }
    }
    g_free(h);
}

void
EdgeHost_PutServer(EdgeHost *h, const EdgeHostServer *s, uint32_t slots)
{
    GwServerInfo info = FakeSteering_Info(s->id, "s", "r1", "d1", slots);

    info.address = s->address;
    GwRouter_PutServer(h->edge->router, GwEdge_Now(), &info, h->edge->actions);
    GwEdge_RunActions(h->edge);
}

/* Opens a port; returns its number. */
static uint16_t
listen_as(EdgeHostServer *s, const char *id)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(at);

    g_strlcpy(s->id, id, sizeof(s->id));
    s->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    g_assert_cmpint(bind(s->listener, (struct sockaddr *)&at, len), ==, 0);
    g_assert_cmpint(listen(s->listener, 128), ==, 0);
    (void)getsockname(s->listener, (struct sockaddr *)&at, &len);
    g_snprintf(s->address, sizeof(s->address), "127.0.0.1:%u",
               ntohs(at.sin_port));
    return ntohs(at.sin_port);
}

void
EdgeHost_AddServer(EdgeHost *h, const char *id, uint32_t slots)
{
    EdgeHostServer *s = &h->servers[h->server_count++];

    (void)listen_as(s, id);
    EdgeHost_PutServer(h, s, slots);
}

EdgeHostServer *
EdgeHost_AddPeer(EdgeHost *h, const char *name, uint64_t process_id)
{
    EdgeHostServer *s = &h->servers[h->server_count++];
    char address[32];
    GwPeerInfo info = {
        .name = name, .region = "r1", .domain = "d1", .serves = true};

    g_snprintf(address, sizeof(address), "127.0.0.1:%u",
               listen_as(s, name) - 1);
    GwPeerEntry *peer = GwPeers_Add(h->edge->peers, address);
    g_free(peer->name);
    peer->name = g_strdup(name);
    peer->process_id = process_id;
    peer->serves = true;
    peer->has_reported = true;
    peer->last_report_us = GwEdge_Now();
    peer->next_ms = UINT16_MAX; /* live for the whole test */
    GwRouter_PutPeer(h->edge->router, GwEdge_Now(), &info);
    return s;
}

int
EdgeHost_ConnectAsPeer(EdgeHost *h)
{
    char address[32];
    struct sockaddr_in at;
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    g_assert_true(
        GwPeers_RelayAddress(h->edge->settings->peer_address, address));
    g_assert_true(GwConn_ParseAddress(address, &at));
    g_assert_cmpint(connect(fd, (struct sockaddr *)&at, sizeof(at)), ==, 0);
    return fd;
}

/* With a full accept queue the kernel drops the SYN of new connections. */
void
EdgeHost_Block(EdgeHostServer *s)
{
    struct sockaddr_in at;

    g_assert_true(GwConn_ParseAddress(s->address, &at));
    g_assert_cmpint(listen(s->listener, 0), ==, 0);
    for (int i = 0; i < EDGE_HOST_BLOCK; i++) {
        s->blocked[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        (void)connect(s->blocked[i], (struct sockaddr *)&at, sizeof(at));
    }
    s->is_blocked = true;
}

void
EdgeHost_RunOnce(EdgeHost *h)
{
    (void)uv_run(&h->edge->loop, UV_RUN_NOWAIT);
}

bool
EdgeHost_RunUntil(EdgeHost *h, bool (*is_so)(void *ctx), void *ctx)
{
    for (int i = 0; i < TURNS_MAX && !is_so(ctx); i++) {
        EdgeHost_RunOnce(h);
        g_usleep(PAUSE_US);
    }
    return is_so(ctx);
}

int
EdgeHost_Connect(EdgeHost *h)
{
    return EdgeHost_ConnectFrom(h, "127.0.0.1");
}

static int
connect_to(const char *address, const char *ip)
{
    struct sockaddr_in at;
    struct sockaddr_in from = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    from.sin_addr.s_addr = inet_addr(ip);
    g_assert_cmpint(bind(fd, (struct sockaddr *)&from, sizeof(from)), ==, 0);
    g_assert_true(GwConn_ParseAddress(address, &at));
    g_assert_cmpint(connect(fd, (struct sockaddr *)&at, sizeof(at)), ==, 0);
    return fd;
}

int
EdgeHost_ConnectFrom(EdgeHost *h, const char *ip)
{
    return connect_to(h->edge->settings->call_address, ip);
}

int
EdgeHost_ConnectToDirectory(EdgeHost *h)
{
    return connect_to(h->edge->settings->directory_address, "127.0.0.1");
}

static void
send_all(int fd, char *text)
{
    size_t len = strlen(text);

    g_assert_cmpint(send(fd, text, len, MSG_NOSIGNAL), ==, (ssize_t)len);
    g_free(text);
}

void
EdgeHost_SendText(int caller, const char *text)
{
    send_all(caller, g_strdup(text));
}

void
EdgeHost_SendRequestFor(int caller, const char *path, const char *id,
                        uint32_t left_ms)
{
    send_all(caller, g_strdup_printf("GET %s%s HTTP/1.1\r\nHost: h\r\n"
                                     "%s: %s\r\n%s: %u\r\n\r\n",
                                     path, id, Platform_Adapter.request_id, id,
                                     Platform_Adapter.time_left, left_ms));
}

void
EdgeHost_SendRequest(int caller, const char *path, const char *id)
{
    EdgeHost_SendRequestFor(caller, path, id, TIMEOUT_MS);
}

const char *
EdgeHost_Read(int fd)
{
    static char text[65536];
    ssize_t len = recv(fd, text, sizeof(text) - 1, MSG_DONTWAIT);

    text[MAX(len, 0)] = '\0';
    return text;
}

void
EdgeHost_Crash(EdgeHostServer *s)
{
    close(s->listener);
    s->listener = -1;
    for (uint32_t k = 0; k < s->conn_count; k++) {
        close(s->conns[k].fd);
        g_string_free(s->conns[k].seen, TRUE);
    }
    s->conn_count = 0;
}

void
EdgeHost_SetCut(EdgeHostServer *s, bool is_cut)
{
    for (uint32_t k = 0; k < s->conn_count; k++) {
        g_assert_true(PacketFilter_Drop(s->conns[k].fd, is_cut));
    }
}

/* Whether the connection received the request with that id. */
static bool
has_request(const EdgeHostConn *conn, const char *id)
{
    char *line = g_strdup_printf("/%s HTTP/1.1\r\n", id);
    bool found = strstr(conn->seen->str, line) != NULL;

    g_free(line);
    return found;
}

uint32_t
EdgeHost_CountRequests(EdgeHostServer *s, const char *id)
{
    uint32_t count = 0;
    int fd;

    while (s->listener >= 0 && (fd = accept(s->listener, NULL, NULL)) >= 0) {
        g_assert_cmpuint(s->conn_count, <, EDGE_HOST_CONNS_MAX);
        s->conns[s->conn_count++] =
            (EdgeHostConn){.fd = fd, .seen = g_string_new(NULL)};
    }
    for (uint32_t i = 0; i < s->conn_count; i++) {
        g_string_append(s->conns[i].seen, EdgeHost_Read(s->conns[i].fd));
        count += has_request(&s->conns[i], id);
    }
    return count;
}

static void
send_response(EdgeHostServer *s, const char *id, const char *status,
              const char *mark, const char *fields)
{
    for (uint32_t i = 0; i < s->conn_count; i++) {
        if (has_request(&s->conns[i], id)) {
            send_all(s->conns[i].fd,
                     g_strdup_printf("HTTP/1.1 %s\r\n%s: %s\r\n%s: 1\r\n%s"
                                     "Content-Length: 0\r\n\r\n",
                                     status, Platform_Adapter.request_id, id,
                                     mark, fields));
        }
    }
}

void
EdgeHost_Answer(EdgeHostServer *s, const char *id)
{
    EdgeHost_AnswerWith(s, id, "");
}

void
EdgeHost_AnswerWith(EdgeHostServer *s, const char *id, const char *fields)
{
    send_response(s, id, "200 OK", Platform_Adapter.seal, fields);
}

void
EdgeHost_Refuse(EdgeHostServer *s, const char *id)
{
    EdgeHost_RefuseWith(s, id, "");
}

void
EdgeHost_RefuseWith(EdgeHostServer *s, const char *id, const char *fields)
{
    send_response(s, id, "503 Busy", Platform_Adapter.not_run, fields);
}
