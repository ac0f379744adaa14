/* An entry stops (SIGTERM) while requests for large answers wait until there
 * is room for them. usage: last FOLDER TEMPORARY-FOLDER PROGRAM TROUBLE */
#include "../standin-2/site.h"

#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ENTRIES      3
#define ANSWER_BYTES 540000 /* the largest of the site's downloads */
#define BUDGET_MS    12000
/* Clients that ask in the last 1.2 s before the SIGTERM and read 33 KB a second,
 * and clients that ask in the first 2.4 s after it. */
#define SLOW   70
#define LATE   30
#define ROUNDS 3

static const char config[] =
    "{\"version\":3,\"services\":["
    "{\"name\":\"shelf\",\"health_path\":\"/health\",\"conn_limit\":1770,"
    "\"protocol\":\"h1\",\"tls\":false,\"warmup\":\"1s\",\"cold_per_s\":20}],"
    "\"limits\":{\"header_bytes\":16384,\"body_bytes\":1048576,"
    "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},"
    "\"tenants\":[{\"name\":\"alpha\",\"api_keys\":[\"alpha-key\"],"
    "\"priority\":1,\"rate_per_s\":500,\"burst\":500,\"home_regions\":[]}],"
    "\"hosts\":[{\"host\":\"demo.example\",\"paths\":["
    "{\"name\":\"bundle\",\"prefix\":\"/bundle/\",\"kind\":\"download\","
    "\"timeout\":\"12000ms\",\"objective\":\"1500ms\",\"priority\":1,"
    "\"service\":\"shelf\",\"max_attempts\":2,\"auth_exempt\":false,"
    "\"sticky_sessions\":false,\"home_regions\":[]}]}]}";

static Entry entries[ENTRIES];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int sent, whole, refused, lost, cut, other;

typedef struct {
    const char *kind;
    int round;
    int number;
    int read_ms; /* pause after each read of 2,000 bytes; 0: reads at once */
    int64_t at_ms;
} Client;

/* Asks for one bundle, alone on its connection, and reads the answer. */
static void *
fetch(void *arg)
{
    const Client *c = arg;
    char text[512];
    char id[64];
    char buf[65536];
    char first[2048] = "";
    size_t got = 0;
    size_t head = 0;
    size_t wanted = 0;
    int window = 65536;

    sleep_until(c->at_ms);
    int fd = client_connect(entries[0].call);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
    int64_t began = now_ms();
    snprintf(id, sizeof(id), "%s%d-%d", c->kind, c->round, c->number);
    int n = snprintf(text, sizeof(text),
                     "GET /bundle/%d HTTP/1.1\r\nHost: demo.example\r\n"
                     "X-Attempt-Id: %s\r\nX-Credential: alpha-key\r\n"
                     "X-Time-Remaining: %d\r\n\r\n",
                     c->number, id, BUDGET_MS);
    bool is_sent = fd >= 0 && client_send(fd, text, (size_t)n);
    bool ended = !is_sent;
    while (!ended && now_ms() < began + BUDGET_MS) {
        struct pollfd p = {.fd = fd, .events = POLLIN};
        if (poll(&p, 1, 100) == 0) {
            continue;
        }
        ssize_t len =
            recv(fd, buf, c->read_ms > 0 ? 2000 : sizeof(buf), 0);
        if (len <= 0) {
            ended = true;
            break;
        }
        if (got < sizeof(first) - 1) {
            size_t room = sizeof(first) - 1 - got;
            memcpy(first + got, buf, (size_t)len < room ? (size_t)len : room);
            char *end = strstr(first, "\r\n\r\n");
            char *length = strcasestr(first, "\r\ncontent-length:");
            if (head == 0 && end != NULL && length != NULL) {
                head = (size_t)(end - first) + 4;
                wanted = (size_t)atol(length + 17);
            }
        }
        got += (size_t)len;
        if (head > 0 && got >= head + wanted) {
            break;
        }
        usleep((useconds_t)c->read_ms * 1000);
    }
    int64_t took = now_ms() - began;
    int status = 0;
    sscanf(first, "HTTP/1.1 %d", &status);
    bool is_whole = head > 0 && got >= head + wanted;
    Ran ran = ran_of(id);
    /* `loss_slack` is 200 ms. */
    bool is_lost = is_sent && ended && got == 0 && ran.arrived == 0 &&
                   took > 200;
    pthread_mutex_lock(&lock);
    sent += is_sent;
    whole += is_whole && status == 200;
    refused += is_whole && status == 503;
    lost += is_lost;
    cut += is_sent && ended && got > 0;
    other += is_sent && !is_lost && !(is_whole && status == 200) &&
             !(is_whole && status == 503) && !(ended && got > 0);
    pthread_mutex_unlock(&lock);
    record("%s sent at %lld, ended after %lld ms, status %d, %zu of %zu bytes, "
           "passed on %d times%s",
           id, (long long)began, (long long)took, status, got, head + wanted,
           ran.arrived,
           is_lost ? ": LOST, read, and never answered" : "");
    if (fd >= 0) {
        close(fd);
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    char path[1024];
    bool ready = true;

    if (argc != 5) {
        return 2;
    }
    bool trouble = strcmp(argv[4], "0") != 0;
    snprintf(path, sizeof(path), "%s/record.txt", argv[1]);
    record_open(path);
    more_settings = "    \"quota_window\": \"5s\",\n"
                    "    \"quota_overrun\": 0.1,\n"
                    "    \"quota_slack\": 20,\n"
                    "    \"revocation_bound\": \"5000ms\",\n";
    memory_mb = 160;
    store_start();
    store_put("op", "config", config);
    for (int i = 0; i < 24; i++) {
        char id[32];
        snprintf(id, sizeof(id), "i-shelf-%d", i);
        upstream_set_body(upstream_start("shelf", id, 3, 250), ANSWER_BYTES);
    }
    upstream_beat_all();
    for (int i = 0; i < ENTRIES; i++) {
        entry_prepare(&entries[i], argv[2], i);
    }
    for (int round = 0; round < ROUNDS && ready; round++) {
        static pthread_t threads[SLOW + LATE];
        static Client clients[SLOW + LATE];
        for (int i = 0; i < ENTRIES; i++) {
            if (round == 0 || entries[i].has_ended) {
                snprintf(path, sizeof(path), "%s/%s.log", argv[2],
                         entries[i].name);
                entry_start(&entries[i], argv[3], path);
            }
        }
        for (int i = 0; i < ENTRIES; i++) {
            ready = ready && entry_await_ready(&entries[i], 15000);
        }
        if (!ready) {
            record("an entry is not ready");
            break;
        }
        sleep_until(now_ms() + 3500);
        for (int i = 0; i < 3; i++) {
            Client quick = {"w", round, i, 0, 0};
            (void)fetch(&quick);
        }
        int64_t stop = now_ms() + 1500;
        for (int i = 0; i < SLOW + LATE; i++) {
            bool is_slow = i < SLOW;
            clients[i] = (Client){is_slow ? "s" : "l", round, i,
                                  is_slow ? 60 : 0,
                                  is_slow ? stop - 1200 + 10 * i
                                          : stop + 300 + 70 * (i - SLOW)};
            pthread_create(&threads[i], NULL, fetch, &clients[i]);
        }
        sleep_until(stop);
        if (trouble) {
            kill(entries[0].pid, SIGTERM);
            record("SIGTERM to %s", entries[0].name);
        }
        for (int i = 0; i < SLOW + LATE; i++) {
            pthread_join(threads[i], NULL);
        }
        sleep_until(now_ms() + 500);
        entry_poll(&entries[0]);
    }
    for (int i = 0; i < ENTRIES; i++) {
        entry_end(&entries[i], false);
    }
    record("sent=%d whole=%d refused=%d lost=%d cut-while-read=%d other=%d",
           sent, whole, refused, lost, cut, other);
    if (!ready || sent == 0) {
        return 2;
    }
    record("verdict: LOST is %s", lost > 0 ? "broken" : "held");
    return lost > 0 ? 1 : 0;
}
