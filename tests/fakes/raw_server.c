#include "fakes/raw_server.h"

#include "standins/common/packet_filter.h"

#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

typedef struct {
    RawServer *server;
    const RawStep *steps;
    pthread_t thread;
    int fd;
} Connection;

struct RawServer_s {
    int fd;
    char address[32];
    pthread_t thread;
    RawStep plan[RAW_CONNECTIONS_MAX][RAW_STEPS_MAX];
    Connection connections[RAW_CONNECTIONS_MAX];
    atomic_uint connected;
    atomic_uint requests;
};

/* Reads one complete request; false when the connection is closed. */
static bool
read_request(int fd)
{
    char bytes[8192];
    size_t len = 0;

    for (;;) {
        ssize_t n = recv(fd, bytes + len, sizeof(bytes) - 1 - len, 0);
        if (n <= 0) {
            return false;
        }
        len += (size_t)n;
        bytes[len] = '\0';
        const char *end = strstr(bytes, "\r\n\r\n");
        if (end == NULL) {
            continue;
        }
        const char *length = strstr(bytes, "Content-Length: ");
        size_t body = 0;
        if (length != NULL) {
            body = g_ascii_strtoull(length + 16, NULL, 10);
        }
        if (len >= (size_t)(end + 4 - bytes) + body) {
            return true;
        }
    }
}

static void
wait_for_end(int fd)
{
    char byte;
    while (recv(fd, &byte, 1, 0) > 0) {
    }
}

static void *
serve_connection(void *arg)
{
    Connection *c = arg;

    for (uint32_t i = 0; i < RAW_STEPS_MAX; i++) {
        const RawStep *step = &c->steps[i];
        if (step->kind == RAW_CLOSE) {
            break;
        }
        if (!read_request(c->fd)) {
            break;
        }
        atomic_fetch_add(&c->server->requests, 1);
        if (step->kind == RAW_STALL || step->kind == RAW_END) {
            wait_for_end(c->fd);
            break;
        }
        if (step->text != NULL) {
            send(c->fd, step->text, strlen(step->text), MSG_NOSIGNAL);
        }
        if (step->kind == RAW_CUT) {
            break;
        }
    }
    shutdown(c->fd, SHUT_RDWR);
    return NULL;
}

static void *
accept_connections(void *arg)
{
    RawServer *server = arg;

    for (;;) {
        int fd = accept(server->fd, NULL, NULL);
        if (fd < 0) {
            return NULL;
        }
        uint32_t i = atomic_load(&server->connected);
        if (i == RAW_CONNECTIONS_MAX) {
            close(fd);
            continue;
        }
        Connection *c = &server->connections[i];
        *c =
            (Connection){.server = server, .steps = server->plan[i], .fd = fd};
        /* Counted before it can answer. */
        atomic_fetch_add(&server->connected, 1);
        pthread_create(&c->thread, NULL, serve_connection, c);
    }
}

RawServer *
RawServer_Start(const RawStep plan[RAW_CONNECTIONS_MAX][RAW_STEPS_MAX])
{
    RawServer *server = g_new0(RawServer, 1);
    struct sockaddr_in at = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    socklen_t len = sizeof(at);

    memcpy(server->plan, plan, sizeof(server->plan));
    server->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind(server->fd, (struct sockaddr *)&at, len) != 0 ||
        listen(server->fd, 16) != 0) {
        g_error("cannot listen on a loopback port");
    }
    getsockname(server->fd, (struct sockaddr *)&at, &len);
    snprintf(server->address, sizeof(server->address), "127.0.0.1:%u",
             ntohs(at.sin_port));
    pthread_create(&server->thread, NULL, accept_connections, server);
    return server;
}

const char *
RawServer_Address(const RawServer *server)
{
    return server->address;
}

uint32_t
RawServer_Requests(RawServer *server)
{
    return atomic_load(&server->requests);
}

uint32_t
RawServer_Connections(RawServer *server)
{
    return atomic_load(&server->connected);
}

void
RawServer_SetCut(RawServer *server, bool is_cut)
{
    for (uint32_t i = 0; i < atomic_load(&server->connected); i++) {
        (void)PacketFilter_Drop(server->connections[i].fd, is_cut);
    }
}

void
RawServer_Stop(RawServer *server)
{
    shutdown(server->fd, SHUT_RDWR);
    pthread_join(server->thread, NULL);
    close(server->fd);
    for (uint32_t i = 0; i < atomic_load(&server->connected); i++) {
        shutdown(server->connections[i].fd, SHUT_RDWR);
        pthread_join(server->connections[i].thread, NULL);
        close(server->connections[i].fd);
    }
    g_free(server);
}
