#include "site.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/* ---- Time and record ----------------------------------------------------- */

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

int64_t
now_ms(void)
{
    static int64_t began;
    struct timespec t;

    clock_gettime(CLOCK_MONOTONIC, &t);
    int64_t ms = (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
    if (began == 0) {
        began = ms - 1;
    }
    return ms - began;
}

void
sleep_until(int64_t at_ms)
{
    int64_t left;

    while ((left = at_ms - now_ms()) > 0) {
        usleep((useconds_t)(left > 500 ? 500 : left) * 1000);
    }
}

void
record_open(const char *path)
{
    record_file = fopen(path, "w");
    if (record_file == NULL) {
        perror(path);
        exit(2);
    }
}

void
record(const char *format, ...)
{
    va_list args;

    pthread_mutex_lock(&record_lock);
    fprintf(record_file, "%7lld ", (long long)now_ms());
    va_start(args, format);
    vfprintf(record_file, format, args);
    va_end(args);
    fputc('\n', record_file);
    fflush(record_file);
    pthread_mutex_unlock(&record_lock);
}

static void
start_thread(void *(*run)(void *), void *arg)
{
    pthread_t thread;
    pthread_attr_t attr;

    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, 512 << 10);
    pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
    if (pthread_create(&thread, &attr, run, arg) != 0) {
        fprintf(stderr, "no thread\n");
        exit(2);
    }
}

/* ---- Sockets ------------------------------------------------------------- */

static int
listen_at(int port, int *out)
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    socklen_t len = sizeof(at);
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons((uint16_t)port);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
        listen(fd, 511) != 0 ||
        getsockname(fd, (struct sockaddr *)&at, &len) != 0) {
        perror("listen");
        exit(2);
    }
    *out = ntohs(at.sin_port);
    return fd;
}

/* Ports below the range that the kernel gives to clients. Scripts that run side
 * by side begin at different ones. */
int
free_port(void)
{
    static int next;

    if (next == 0) {
        uint32_t mix = (uint32_t)getpid() * 2654435761u;
        next = 12000 + (int)(mix >> 8) % 100 * 150;
    }
    for (;; next++) {
        struct sockaddr_in at = {.sin_family = AF_INET};
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        at.sin_port = htons((uint16_t)next);
        int rc = bind(fd, (struct sockaddr *)&at, sizeof(at));
        close(fd);
        if (rc == 0) {
            return next++;
        }
    }
}

static bool
send_all(int fd, const char *text, size_t len)
{
    while (len > 0) {
        ssize_t n = send(fd, text, len, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        text += n;
        len -= (size_t)n;
    }
    return true;
}

/* A request read by a stand-in. */
typedef struct {
    char method[16];
    char target[1024];
    char host[128];
    char id[64];
    char expected[64];
    char object[32];
    long left_ms; /* -1: not stated */
    char *body;
    size_t body_len;
} Request;

typedef struct {
    int fd;
    char *held;
    size_t len, room;
} Reader;

static bool
fill(Reader *r)
{
    if (r->room - r->len < 4096) {
        r->room = r->room * 2 + 16384;
        r->held = realloc(r->held, r->room);
    }
    ssize_t n = recv(r->fd, r->held + r->len, r->room - r->len - 1, 0);
    if (n <= 0) {
        return false;
    }
    r->len += (size_t)n;
    r->held[r->len] = '\0';
    return true;
}

static void
copy_value(char *out, size_t size, const char *value, size_t len)
{
    while (len > 0 && (*value == ' ' || *value == '\t')) {
        value++;
        len--;
    }
    if (len >= size) {
        len = size - 1;
    }
    memcpy(out, value, len);
    out[len] = '\0';
}

static bool
read_request(Reader *r, Request *q)
{
    char *end;
    size_t body = 0;
    char number[32];

    memset(q, 0, sizeof(*q));
    q->left_ms = -1;
    while (r->len == 0 || (end = strstr(r->held, "\r\n\r\n")) == NULL) {
        if (!fill(r)) {
            return false;
        }
    }
    size_t head = (size_t)(end - r->held) + 4;
    if (sscanf(r->held, "%15s %1023s", q->method, q->target) != 2) {
        return false;
    }
    for (char *line = strstr(r->held, "\r\n") + 2; line < end;) {
        char *stop = strstr(line, "\r\n");
        char *colon = memchr(line, ':', (size_t)(stop - line));
        if (colon != NULL) {
            size_t n = (size_t)(colon - line);
            const char *value = colon + 1;
            size_t len = (size_t)(stop - value);
            if (n == 4 && strncasecmp(line, "Host", n) == 0) {
                copy_value(q->host, sizeof(q->host), value, len);
            }
            else if (n == 12 && strncasecmp(line, "X-Attempt-Id", n) == 0) {
                copy_value(q->id, sizeof(q->id), value, len);
            }
            else if (n == 19 &&
                     strncasecmp(line, "X-Expected-Instance", n) == 0) {
                copy_value(q->expected, sizeof(q->expected), value, len);
            }
            else if (n == 14 && strncasecmp(line, "X-Affinity-Key", n) == 0) {
                copy_value(q->object, sizeof(q->object), value, len);
            }
            else if (n == 16 && strncasecmp(line, "X-Time-Remaining", n) == 0) {
                copy_value(number, sizeof(number), value, len);
                q->left_ms = atol(number);
            }
            else if (n == 14 && strncasecmp(line, "Content-Length", n) == 0) {
                copy_value(number, sizeof(number), value, len);
                body = (size_t)atol(number);
            }
        }
        line = stop + 2;
    }
    while (r->len < head + body) {
        if (!fill(r)) {
            return false;
        }
    }
    q->body = malloc(body + 1);
    memcpy(q->body, r->held + head, body);
    q->body[body] = '\0';
    q->body_len = body;
    r->len -= head + body;
    memmove(r->held, r->held + head + body, r->len);
    r->held[r->len] = '\0';
    return true;
}

typedef struct {
    int listener;
    void *ctx;
    void (*serve)(void *ctx, int fd);
} Listener;

typedef struct {
    Listener *l;
    int fd;
} Accepted;

static void *
serve_one(void *arg)
{
    Accepted *a = arg;

    a->l->serve(a->l->ctx, a->fd);
    close(a->fd);
    free(a);
    return NULL;
}

static void *
accept_all(void *arg)
{
    Listener *l = arg;

    for (;;) {
        int one = 1;
        int fd = accept4(l->listener, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            usleep(1000);
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        Accepted *a = malloc(sizeof(*a));
        *a = (Accepted){l, fd};
        start_thread(serve_one, a);
    }
    return NULL;
}

static int
serve_at(void (*serve)(void *ctx, int fd), void *ctx)
{
    Listener *l = malloc(sizeof(*l));
    int port;

    *l = (Listener){.ctx = ctx, .serve = serve};
    l->listener = listen_at(free_port(), &port);
    start_thread(accept_all, l);
    return port;
}

/* ---- Store --------------------------------------------------------------- */

#define ROWS_MAX 4096

typedef struct {
    char table[64];
    char key[200];
    char *value; /* base64; NULL: removed */
    uint64_t ver;
} Row;

static Row rows[ROWS_MAX];
static int row_count;
static uint64_t store_ver = 100;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
int store_port;

static char *
base64(const char *text)
{
    static const char set[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t len = strlen(text);
    char *out = malloc(len * 2 + 8);
    size_t n = 0;

    for (size_t i = 0; i < len; i += 3) {
        uint32_t v = (uint32_t)(unsigned char)text[i] << 16;
        v |= i + 1 < len ? (uint32_t)(unsigned char)text[i + 1] << 8 : 0;
        v |= i + 2 < len ? (uint32_t)(unsigned char)text[i + 2] : 0;
        out[n++] = set[v >> 18];
        out[n++] = set[v >> 12 & 63];
        out[n++] = i + 1 < len ? set[v >> 6 & 63] : '=';
        out[n++] = i + 2 < len ? set[v & 63] : '=';
    }
    out[n] = '\0';
    return out;
}

/* Takes ownership of the value. Needs the lock. */
static void
set_row(const char *table, const char *key, char *value)
{
    Row *row = NULL;

    for (int i = 0; i < row_count && row == NULL; i++) {
        if (strcmp(rows[i].table, table) == 0 &&
            strcmp(rows[i].key, key) == 0) {
            row = &rows[i];
        }
    }
    if (row == NULL) {
        row = &rows[row_count++];
        snprintf(row->table, sizeof(row->table), "%s", table);
        snprintf(row->key, sizeof(row->key), "%s", key);
    }
    free(row->value);
    row->value = value;
    row->ver = ++store_ver;
}

void
store_put(const char *table, const char *key, const char *text)
{
    pthread_mutex_lock(&store_lock);
    set_row(table, key, base64(text));
    pthread_mutex_unlock(&store_lock);
}

void
store_remove(const char *table, const char *key)
{
    pthread_mutex_lock(&store_lock);
    set_row(table, key, NULL);
    pthread_mutex_unlock(&store_lock);
}

static bool
find_text(const char *in, const char *name, char *out, size_t size)
{
    char quoted[64];

    snprintf(quoted, sizeof(quoted), "\"%s\":\"", name);
    const char *at = strstr(in, quoted);
    if (at == NULL) {
        return false;
    }
    at += strlen(quoted);
    size_t len = strcspn(at, "\"");
    if (len >= size) {
        return false;
    }
    memcpy(out, at, len);
    out[len] = '\0';
    return true;
}

static int
by_key(const void *a, const void *b)
{
    return strcmp((*(Row *const *)a)->key, (*(Row *const *)b)->key);
}

static int
by_ver(const void *a, const void *b)
{
    uint64_t va = (*(Row *const *)a)->ver;
    uint64_t vb = (*(Row *const *)b)->ver;

    return (va > vb) - (va < vb);
}

/* All rows of a table, or those after a version with the removed ones. */
static char *
write_rows(const char *table, bool feed, uint64_t after)
{
    char *out = NULL;
    size_t len = 0;
    FILE *f = open_memstream(&out, &len);
    Row *found[ROWS_MAX];
    int n = 0;

    for (int i = 0; i < row_count; i++) {
        if (strcmp(rows[i].table, table) == 0 &&
            (feed ? rows[i].ver > after : rows[i].value != NULL)) {
            found[n++] = &rows[i];
        }
    }
    qsort(found, (size_t)n, sizeof(found[0]), feed ? by_ver : by_key);
    fprintf(f, "{\"rows\":[");
    for (int i = 0; i < n; i++) {
        fprintf(f, "%s{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\",",
                i > 0 ? "," : "", table, found[i]->key);
        if (found[i]->value == NULL) {
            fprintf(f, "\"removed\":true,");
        }
        else {
            fprintf(f, "\"value\":\"%s\",", found[i]->value);
        }
        fprintf(f, "\"ver\":%llu}", (unsigned long long)found[i]->ver);
    }
    fprintf(f, "],\"has_more\":false,\"ver\":%llu,\"now\":\"%lldms\"}",
            (unsigned long long)store_ver, (long long)now_ms());
    fclose(f);
    return out;
}

static void
serve_store(void *ctx, int fd)
{
    Reader r = {.fd = fd};
    Request q;

    (void)ctx;
    while (read_request(&r, &q)) {
        char table[64] = "";
        char head[256];
        char *body = NULL;
        const char *at = strstr(q.target, "table=");
        if (at != NULL) {
            sscanf(at, "table=%63[^&]", table);
        }
        pthread_mutex_lock(&store_lock);
        if (strcmp(q.method, "POST") == 0) {
            char key[200];
            static char value[70000];
            if (find_text(q.body, "table", table, sizeof(table)) &&
                find_text(q.body, "key", key, sizeof(key)) &&
                find_text(q.body, "value", value, sizeof(value))) {
                set_row(table, key, strdup(value));
            }
            body = malloc(64);
            snprintf(body, 64, "{\"ver\":%llu}", (unsigned long long)store_ver);
        }
        else if (strstr(q.target, "rows-feed") != NULL) {
            unsigned long long after = 0;
            at = strstr(q.target, "after=");
            if (at != NULL) {
                sscanf(at, "after=%llu", &after);
            }
            body = write_rows(table, true, after);
        }
        else {
            body = write_rows(table, false, 0);
        }
        pthread_mutex_unlock(&store_lock);
        usleep(4000); /* 4 ms an answer */
        snprintf(head, sizeof(head),
                 "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                 "Content-Length: %zu\r\n\r\n",
                 strlen(body));
        bool ok = send_all(fd, head, strlen(head)) &&
                  send_all(fd, body, strlen(body));
        free(body);
        free(q.body);
        if (!ok) {
            break;
        }
    }
    free(r.held);
}

int
store_start(void)
{
    signal(SIGPIPE, SIG_IGN);
    store_port = serve_at(serve_store, NULL);
    return store_port;
}

/* ---- Upstreams ----------------------------------------------------------- */

#define RUNS_MAX 262144
int queue_max = 12;
int extra_permille;
int extra_upstreams;
int extra_sent;
/* An upstream that has handled an object lately works faster on it. */
#define WARM_MAX   31
#define WARM_SHARE 0.3

struct Upstream_s {
    char service[32];
    char id[64];
    int index;
    int port, slots, work_ms;
    size_t body_bytes; /* 0: a short text */
    int running, waiting;
    uint64_t seq;
    char warm[WARM_MAX][32]; /* objects handled lately, the oldest replaced */
    int warm_next;
    pthread_mutex_t lock;
    pthread_cond_t freed;
};

static Upstream *upstreams[256];
static int upstream_count;

typedef struct {
    char id[64];
    Ran ran;
} Noted;

static Noted noted[RUNS_MAX]; /* by hash of the id */
static int noted_count;
static pthread_mutex_t noted_lock = PTHREAD_MUTEX_INITIALIZER;

static Ran *
note_of(const char *id)
{
    uint32_t at = 2166136261u;

    for (const char *c = id; *c != '\0'; c++) {
        at = (at ^ (unsigned char)*c) * 16777619u;
    }
    for (at %= RUNS_MAX; noted[at].id[0] != '\0'; at = (at + 1) % RUNS_MAX) {
        if (strcmp(noted[at].id, id) == 0) {
            return &noted[at].ran;
        }
    }
    if (++noted_count > RUNS_MAX / 2) {
        fprintf(stderr, "too many requests\n");
        exit(2);
    }
    snprintf(noted[at].id, sizeof(noted[0].id), "%s", id);
    return &noted[at].ran;
}

Ran
ran_of(const char *id)
{
    pthread_mutex_lock(&noted_lock);
    Ran ran = *note_of(id);
    pthread_mutex_unlock(&noted_lock);
    return ran;
}

/* Whether the caller's connection has ended. */
static bool
is_gone(int fd)
{
    char byte;
    ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/* Belongs to no request, and so bears the id of none. */
static bool
send_extra(int fd)
{
    static const char text[] = "HTTP/1.1 503 Service Unavailable\r\n"
                               "X-Not-Executed: 1\r\nContent-Length: 0\r\n"
                               "\r\n";

    __sync_fetch_and_add(&extra_sent, 1);
    return send_all(fd, text, sizeof(text) - 1);
}

static bool
answer(int fd, const Upstream *u, const Request *q, int status,
       const char *fields, const char *body)
{
    char text[2048];
    size_t large = status == 200 ? u->body_bytes : 0;

    if (large > 0) {
        int n = snprintf(text, sizeof(text),
                         "HTTP/1.1 200 X\r\nX-Attempt-Id: %s\r\n"
                         "Keep-Alive: timeout=10\r\n"
                         "Content-Length: %zu\r\n%s\r\n",
                         q->id, large, fields);
        char *bytes = malloc(large);
        memset(bytes, 'x', large);
        bool ok = send_all(fd, text, (size_t)n) && send_all(fd, bytes, large);
        free(bytes);
        return ok;
    }
    int n = snprintf(text, sizeof(text),
                     "HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\n"
                     "X-Server-Load: %d,%d,%d\r\nKeep-Alive: timeout=10\r\n"
                     "Content-Length: %zu\r\n%s\r\n%s",
                     status, q->id, u->running, u->waiting, u->slots,
                     strlen(body), fields, body);
    return send_all(fd, text, (size_t)n);
}

/* Waits for a slot; false if the queue is full or the caller has gone. */
static bool
take_slot(Upstream *u, int fd, int64_t until_ms)
{
    bool taken = true;

    pthread_mutex_lock(&u->lock);
    if (u->running >= u->slots && u->waiting >= queue_max) {
        taken = false;
    }
    else if (u->running >= u->slots) {
        u->waiting++;
        while (u->running >= u->slots && taken) {
            struct timespec t;
            clock_gettime(CLOCK_REALTIME, &t);
            t.tv_nsec += 5000000;
            if (t.tv_nsec >= 1000000000) {
                t.tv_sec++;
                t.tv_nsec -= 1000000000;
            }
            pthread_cond_timedwait(&u->freed, &u->lock, &t);
            taken = !is_gone(fd) && now_ms() < until_ms;
        }
        u->waiting--;
    }
    u->running += taken;
    pthread_mutex_unlock(&u->lock);
    return taken;
}

static void
free_slot(Upstream *u)
{
    pthread_mutex_lock(&u->lock);
    u->running--;
    pthread_cond_signal(&u->freed);
    pthread_mutex_unlock(&u->lock);
}

static int
work_time_ms(Upstream *u, const char *object)
{
    int ms = u->work_ms;

    pthread_mutex_lock(&u->lock);
    for (int i = 0; i < WARM_MAX; i++) {
        if (object[0] != '\0' && strcmp(u->warm[i], object) == 0) {
            ms = (int)(u->work_ms * WARM_SHARE);
        }
    }
    if (object[0] != '\0' && ms == u->work_ms) {
        snprintf(u->warm[u->warm_next++ % WARM_MAX], sizeof(u->warm[0]), "%s",
                 object);
    }
    pthread_mutex_unlock(&u->lock);
    return ms;
}

/* Runs the request; false if its caller left, which ends the work. */
static bool
work(Upstream *u, int fd, const Request *q, int64_t until_ms,
     bool *in_time)
{
    int64_t end = now_ms() + work_time_ms(u, q->object);

    pthread_mutex_lock(&noted_lock);
    Ran *ran = note_of(q->id);
    if (ran->runs++ == 0) {
        ran->first_run_ms = now_ms();
    }
    pthread_mutex_unlock(&noted_lock);
    *in_time = end <= until_ms;
    if (!*in_time) {
        end = until_ms;
    }
    while (now_ms() < end) {
        if (is_gone(fd)) {
            return false;
        }
        usleep(2000);
    }
    return true;
}

static void
serve_upstream(void *ctx, int fd)
{
    Upstream *u = ctx;
    Reader r = {.fd = fd};
    Request q;
    bool ok = true;
    bool has_extra = false;

    while (ok && read_request(&r, &q)) {
        if (has_extra) {
            (void)send_extra(fd);
        }
        int64_t until = q.left_ms >= 0 ? now_ms() + q.left_ms : INT64_MAX;
        bool in_time = true;
        pthread_mutex_lock(&noted_lock);
        note_of(q.id)->arrived++;
        pthread_mutex_unlock(&noted_lock);
        if (q.expected[0] != '\0' && strcmp(q.expected, u->id) != 0) {
            char fields[128];
            snprintf(fields, sizeof(fields), "X-Instance-Id: %s\r\n", u->id);
            ok = answer(fd, u, &q, 421, fields, "");
        }
        else if (!take_slot(u, fd, until)) {
            ok = !is_gone(fd) &&
                 answer(fd, u, &q, 503, "X-Not-Executed: 1\r\n", "");
        }
        else {
            char body[256];
            char fields[256];
            ok = work(u, fd, &q, until, &in_time);
            free_slot(u);
            snprintf(body, sizeof(body), "done by %s for %s", u->id, q.id);
            snprintf(fields, sizeof(fields), "X-Server-Seal: %s.%s\r\n", u->id,
                     q.id);
            ok = ok && answer(fd, u, &q, in_time ? 200 : 504, fields, body);
            if (ok) {
                pthread_mutex_lock(&noted_lock);
                note_of(q.id)->finished++;
                pthread_mutex_unlock(&noted_lock);
            }
        }
        has_extra = ok && u->index < extra_upstreams &&
                    rand() % 1000 < extra_permille;
        free(q.body);
    }
    free(r.held);
}

void
upstream_set_body(Upstream *u, size_t bytes)
{
    u->body_bytes = bytes;
}

static void
beat(Upstream *u)
{
    char text[512];

    snprintf(text, sizeof(text),
             "{\"address\":\"127.0.0.1:%d\",\"info\":{\"service\":\"%s\","
             "\"version\":\"v1\",\"zone\":\"z1\",\"slots\":%d},\"status\":{"
             "\"state\":\"ready\",\"seq_no\":%llu,\"cold_left\":\"0ms\"}}",
             u->port, u->service, u->slots, (unsigned long long)++u->seq);
    store_put("servers", u->id, text);
}

Upstream *
upstream_start(const char *service, const char *id, int slots, int work_ms)
{
    Upstream *u = calloc(1, sizeof(*u));

    snprintf(u->service, sizeof(u->service), "%s", service);
    snprintf(u->id, sizeof(u->id), "%s", id);
    u->slots = slots;
    u->work_ms = work_ms;
    pthread_mutex_init(&u->lock, NULL);
    pthread_cond_init(&u->freed, NULL);
    u->index = upstream_count;
    u->port = serve_at(serve_upstream, u);
    upstreams[upstream_count++] = u;
    beat(u);
    return u;
}

static void *
beat_forever(void *arg)
{
    (void)arg;
    for (;;) {
        usleep(1500000);
        for (int i = 0; i < upstream_count; i++) {
            beat(upstreams[i]);
        }
    }
    return NULL;
}

void
upstream_beat_all(void)
{
    start_thread(beat_forever, NULL);
}

/* ---- Entries ------------------------------------------------------------- */

const char *grace = "6s";
int memory_mb = 260;
const char *more_settings = "";

void
entry_prepare(Entry *e, const char *folder, int index)
{
    memset(e, 0, sizeof(*e));
    snprintf(e->name, sizeof(e->name), "front-z1-%d", index + 1);
    snprintf(e->path, sizeof(e->path), "%s/%s.json", folder, e->name);
    e->call = free_port();
    e->ready = free_port();
    e->directory = free_port();
    e->control = free_port();
    e->metrics = free_port();
    do {
        e->peer = free_port();
    } while (free_port() != e->peer + 1);
    FILE *f = fopen(e->path, "w");
    if (f == NULL) {
        perror(e->path);
        exit(2);
    }
    fprintf(f,
            "{\n"
            "    \"name\": \"%s\",\n"
            "    \"region\": \"r1\",\n"
            "    \"domain\": \"z1\",\n"
            "    \"call_address\": \"127.0.0.1:%d\",\n"
            "    \"ready_address\": \"127.0.0.1:%d\",\n"
            "    \"directory_address\": \"127.0.0.1:%d\",\n"
            "    \"control_address\": \"127.0.0.1:%d\",\n"
            "    \"metrics_address\": \"127.0.0.1:%d\",\n"
            "    \"peer_address\": \"127.0.0.1:%d\",\n"
            "    \"store_address\": \"127.0.0.1:%d\",\n"
            "    \"regions\": {\"z1\": \"r1\"},\n"
            "    \"retry_ratio\": 0.2,\n"
            "    \"retry_extra\": 64,\n"
            "    \"retry_window\": \"10s\",\n"
            "    \"memory_mb\": %d,\n"
            "    \"fd_limit\": 4100,\n"
            "    \"link_mbps\": 1000.0,\n"
            "    \"cpu_share\": 0.2,\n"
            "    \"grace\": \"%s\",\n"
            "    \"config_bound\": \"2500ms\",\n"
            "    \"drain_bound\": \"2500ms\",\n"
            "%s"
            "    \"overload_control\": true,\n"
            "    \"first_start\": true\n"
            "}\n",
            e->name, e->call, e->ready, e->directory, e->control, e->metrics,
            e->peer, store_port, memory_mb, grace, more_settings);
    fclose(f);
}

void
entry_start(Entry *e, const char *program, const char *log)
{
    e->has_ended = false;
    e->pid = fork();
    if (e->pid == 0) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(fd, 1);
        dup2(fd, 2);
        setenv("GODWITRIDGE_NODE_FILE", e->path, 1);
        execl(program, program, (char *)NULL);
        _exit(127);
    }
}

static int
get_status(int port, const char *target, char *out, size_t size)
{
    char text[512];
    int status = 0;
    int fd = client_connect(port);

    if (fd < 0) {
        return 0;
    }
    struct timeval limit = {.tv_sec = 1};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    int n = snprintf(text, sizeof(text),
                     "GET %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
                     target);
    if (client_send(fd, text, (size_t)n)) {
        size_t len = 0;
        ssize_t got;
        while (len < size - 1 &&
               (got = recv(fd, out + len, size - 1 - len, 0)) > 0) {
            len += (size_t)got;
        }
        out[len] = '\0';
        sscanf(out, "HTTP/1.1 %d", &status);
    }
    close(fd);
    return status;
}

int
directory_ask(int port, char *out, size_t size)
{
    return get_status(
        port, "/godwitridge/resolution?name=demo.example&region=r1&zone=z1",
        out, size);
}

bool
entry_await_ready(const Entry *e, int64_t for_ms)
{
    int64_t until = now_ms() + for_ms;
    char out[1024];

    while (now_ms() < until) {
        if (get_status(e->ready, "/godwitridge/readiness", out, sizeof(out)) ==
            200) {
            return true;
        }
        usleep(100000);
    }
    return false;
}

void
entry_poll(Entry *e)
{
    if (!e->has_ended && waitpid(e->pid, &e->status, WNOHANG) == e->pid) {
        e->has_ended = true;
        if (WIFSIGNALED(e->status)) {
            record("entry %s ended by signal %d", e->name,
                   WTERMSIG(e->status));
        }
        else {
            record("entry %s exited with %d", e->name,
                   WEXITSTATUS(e->status));
        }
    }
}

void
entry_end(Entry *e, bool graceful)
{
    entry_poll(e);
    if (e->has_ended) {
        return;
    }
    kill(e->pid, graceful ? SIGTERM : SIGKILL);
    for (int i = 0; i < 100 && !e->has_ended; i++) {
        usleep(100000);
        entry_poll(e);
    }
    if (!e->has_ended) {
        kill(e->pid, SIGKILL);
        waitpid(e->pid, &e->status, 0);
        e->has_ended = true;
    }
}

/* ---- Clients ------------------------------------------------------------- */

int
client_connect(int port)
{
    struct sockaddr_in to = {.sin_family = AF_INET};
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.sin_port = htons((uint16_t)port);
    if (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0) {
        close(fd);
        return -1;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return fd;
}

bool
client_send(int fd, const char *text, size_t len)
{
    return send_all(fd, text, len);
}

int
client_read(int fd, Input *in, int64_t until_ms, bool *seal, char id[64])
{
    for (;;) {
        char *end = NULL;
        in->held[in->len] = '\0';
        if (in->len > 0 && (end = strstr(in->held, "\r\n\r\n")) != NULL) {
            size_t head = (size_t)(end - in->held) + 4;
            char *length = strcasestr(in->held, "\r\ncontent-length:");
            size_t body =
                length != NULL && length < end ? (size_t)atol(length + 17) : 0;
            if (in->len >= head + body) {
                int status = 0;
                sscanf(in->held, "HTTP/1.1 %d", &status);
                char *s = strcasestr(in->held, "\r\nx-server-seal:");
                char *i = strcasestr(in->held, "\r\nx-attempt-id:");
                char *wait = strcasestr(in->held, "\r\nretry-after:");
                in->retry_after_s =
                    wait != NULL && wait < end ? atof(wait + 14) : 0;
                *seal = s != NULL && s < end;
                id[0] = '\0';
                if (i != NULL && i < end) {
                    sscanf(i + 15, " %63[^\r]", id);
                }
                in->len -= head + body;
                memmove(in->held, in->held + head + body, in->len);
                return status;
            }
        }
        struct pollfd p = {.fd = fd, .events = POLLIN};
        int64_t left = until_ms - now_ms();
        if (left <= 0 || poll(&p, 1, (int)left) == 0) {
            return -1;
        }
        ssize_t n =
            recv(fd, in->held + in->len, sizeof(in->held) - 1 - in->len, 0);
        if (n <= 0) {
            return 0;
        }
        in->len += (size_t)n;
    }
}
