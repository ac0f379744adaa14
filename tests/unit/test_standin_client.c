#include "common/client.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A request that an entry has read must not be reported as "nothing sent": a
 * retry with a new ticket would be a second booking. The entry answers up to
 * two bookings on one connection, reads the next one and exits; libcurl
 * resends on a new connection, which is refused. */

typedef struct {
    int listener;
    uint32_t answers; /* answers before the server exits on a request */
} DyingServer;

static void *
serve(void *data)
{
    DyingServer *s = data;
    char buf[4096];
    int fd = accept(s->listener, NULL, NULL);
    ssize_t got = 0;
    for (uint32_t i = 0; i <= s->answers; i++) {
        got = recv(fd, buf, sizeof(buf), 0);
        if (got > 0 && i < s->answers) {
            const char *text = "HTTP/1.1 200 OK\r\nGW-Outcome: answered\r\n"
                               "Content-Length: 2\r\n\r\n{}";
            got = send(fd, text, strlen(text), 0);
        }
    }
    close(s->listener);
    close(fd);
    return NULL;
}

static int
listen_anywhere(char address[GS_ADDRESS_MAX])
{
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(in);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    cr_assert_eq(bind(fd, (struct sockaddr *)&in, len), 0);
    cr_assert_eq(listen(fd, 8), 0);
    cr_assert_eq(getsockname(fd, (struct sockaddr *)&in, &len), 0);
    snprintf(address, GS_ADDRESS_MAX, "127.0.0.1:%u", ntohs(in.sin_port));
    return fd;
}

static GsSendResult
book(GsClient *c, const char *address, GsReply *reply)
{
    GsRequest q = {.method = "POST",
                   .address = address,
                   .path = "/v1/call/lich-hen/bookings",
                   .ticket = "t-1",
                   .body = "{}",
                   .timeout_ms = 20000};
    return GsClient_Send(c, &q, reply);
}

Test(standin_client, sent_request_is_never_reported_as_nothing_sent)
{
    for (uint32_t answers = 0; answers < 3; answers++) {
        char address[GS_ADDRESS_MAX];
        DyingServer s = {.listener = listen_anywhere(address),
                         .answers = answers};
        GsClient c;
        GsReply reply;
        pthread_t thread;
        pthread_create(&thread, NULL, serve, &s);
        GsClient_Init(&c);
        for (uint32_t i = 0; i < answers; i++) {
            cr_assert_eq(book(&c, address, &reply), GS_SEND_COMPLETE);
            cr_assert_str_eq(reply.outcome, "answered");
            GsReply_Clear(&reply);
        }
        cr_assert_eq(book(&c, address, &reply), GS_SEND_INTERRUPTED,
                     "after %u answers", answers);
        GsReply_Clear(&reply);
        pthread_join(thread, NULL);
        cr_assert_eq(book(&c, address, &reply), GS_SEND_NOTHING_SENT);
        GsReply_Clear(&reply);
        GsClient_Clear(&c);
    }
}
