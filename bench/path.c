/* Latency that an entry adds to a call. The caller threads alternate between a
 * look-up, a call through the entry and the same call direct to a backend
 * server, so that all three run under the same conditions.
 * usage: bench_path ENTRY PID RATE SECONDS BACKEND...
 * RATE: requests per second of each kind. */
#include "common/client.h"
#include "common/metrics.h"
#include "runtime/net_internal.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum { THREADS = 48, KINDS = 3, BACKENDS_MAX = 64 };

typedef enum { KIND_LOOKUP = 0, KIND_THROUGH, KIND_DIRECT } Kind;

typedef struct {
    const char *entry;
    const char *pid;
    uint64_t rate;
    uint64_t seconds;
    uint32_t backend_count;
    char **backends;
    GsClient client; /* to the entry */
    /* One client per server: a client evicts idle connections by last use,
     * whatever their address. */
    GsClient direct[BACKENDS_MAX];
    int64_t start_us;
    atomic_uint_fast64_t next;
    atomic_uint_fast64_t errors[KINDS];
    GwHistogram times_ns[KINDS];
} Bench;

static int64_t
now_ns(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

static void
send_request(Bench *b, uint64_t sequence)
{
    Kind kind = (Kind)(sequence % KINDS);
    uint64_t round = sequence / KINDS;
    const char *const paths[] = {"/v1/entries/lich-hen?tickets=1",
                                 "/v1/call/lich-hen/slots/k1", "/slots/k1"};
    GsRequest request = {
        .method = "GET",
        .address = kind == KIND_DIRECT ? b->backends[round % b->backend_count]
                                       : b->entry,
        .path = paths[kind],
        .deadline_ms = 5000,
        .timeout_ms = 10000,
    };
    GsClient *client = kind == KIND_DIRECT
                           ? &b->direct[round % b->backend_count]
                           : &b->client;
    GsReply reply;
    int64_t begin_ns = now_ns();
    GsSendResult sent = GsClient_Send(client, &request, &reply);
    GwHistogram_Add(&b->times_ns[kind], (uint64_t)(now_ns() - begin_ns));
    if (sent != GS_SEND_COMPLETE || reply.status != 200) {
        atomic_fetch_add(&b->errors[kind], 1);
    }
    GsReply_Clear(&reply);
}

static void *
run_caller(void *arg)
{
    Bench *b = arg;
    uint64_t total = b->rate * KINDS * b->seconds;
    uint64_t sequence;

    while ((sequence = atomic_fetch_add(&b->next, 1)) < total) {
        int64_t due_us =
            b->start_us + (int64_t)(sequence * 1000000 / (b->rate * KINDS));
        int64_t wait_us = due_us - GwNet_NowUs();
        if (wait_us > 0) {
            g_usleep((gulong)wait_us);
        }
        send_request(b, sequence);
    }
    return NULL;
}

/* Returns the CPU time of a process in clock ticks, user and system mode. */
static uint64_t
cpu_ticks(const char *pid)
{
    char path[64];
    char *text = NULL;
    unsigned long user = 0;
    unsigned long system = 0;

    g_snprintf(path, sizeof(path), "/proc/%s/stat", pid);
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        const char *rest = strrchr(text, ')');
        if (rest == NULL ||
            sscanf(rest,
                   ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u "
                   "%lu %lu",
                   &user, &system) != 2) {
            user = system = 0;
        }
    }
    g_free(text);
    return (uint64_t)user + system;
}

static uint64_t
rss_kib(const char *pid)
{
    char path[64];
    char *text = NULL;
    uint64_t kib = 0;

    g_snprintf(path, sizeof(path), "/proc/%s/status", pid);
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        const char *at = strstr(text, "VmRSS:");
        kib = at != NULL ? strtoull(at + strlen("VmRSS:"), NULL, 10) : 0;
    }
    g_free(text);
    return kib;
}

static void
run_callers(Bench *b)
{
    pthread_t threads[THREADS];

    b->start_us = GwNet_NowUs();
    for (uint32_t i = 0; i < THREADS; i++) {
        pthread_create(&threads[i], NULL, run_caller, b);
    }
    for (uint32_t i = 0; i < THREADS; i++) {
        pthread_join(threads[i], NULL);
    }
}

static double
quantile_ms(const Bench *b, Kind kind, double q)
{
    return (double)GwHistogram_Quantile(&b->times_ns[kind], q) / 1e6;
}

static void
print_kind(const Bench *b, Kind kind, const char *name)
{
    printf("  %-8s p50 %.3f ms  p99 %.3f ms  errors %" PRIu64 " of %" PRIu64
           "\n",
           name, quantile_ms(b, kind, 0.5), quantile_ms(b, kind, 0.99),
           (uint64_t)atomic_load(&b->errors[kind]),
           (uint64_t)atomic_load(&b->times_ns[kind].count));
}

static void
print_report(const Bench *b, uint64_t ticks, double elapsed_s)
{
    double direct = quantile_ms(b, KIND_DIRECT, 0.5);
    double through = quantile_ms(b, KIND_THROUGH, 0.5);
    double cpu_s = (double)ticks / (double)sysconf(_SC_CLK_TCK);

    printf("path: %" PRIu64 " look-ups and %" PRIu64 " calls a second, "
           "%.1f s (requested: %" PRIu64 ")\n",
           b->rate, b->rate, elapsed_s, b->seconds);
    print_kind(b, KIND_DIRECT, "direct");
    print_kind(b, KIND_THROUGH, "through");
    print_kind(b, KIND_LOOKUP, "look-up");
    printf("  added at p50 %.3f ms, ratio %.2f; entry: CPU %.1f%% of a core, "
           "RSS %.1f MiB\n",
           through - direct, through / direct, cpu_s / elapsed_s * 100,
           (double)rss_kib(b->pid) / 1024);
}

int
main(int argc, char **argv)
{
    static Bench b;

    if (argc < 6 || argc - 5 > BACKENDS_MAX) {
        fprintf(stderr,
                "usage: bench_path ENTRY PID RATE SECONDS BACKEND...\n");
        return 2;
    }
    b.entry = argv[1];
    b.pid = argv[2];
    b.rate = strtoull(argv[3], NULL, 10);
    b.seconds = strtoull(argv[4], NULL, 10);
    b.backends = argv + 5;
    b.backend_count = (uint32_t)argc - 5;
    curl_global_init(CURL_GLOBAL_ALL);
    GsClient_Init(&b.client);
    for (uint32_t i = 0; i < b.backend_count; i++) {
        GsClient_Init(&b.direct[i]);
    }
    uint64_t ticks = cpu_ticks(b.pid);
    run_callers(&b);
    print_report(&b, cpu_ticks(b.pid) - ticks,
                 (double)(GwNet_NowUs() - b.start_us) / 1e6);
    GsClient_Clear(&b.client);
    for (uint32_t i = 0; i < b.backend_count; i++) {
        GsClient_Clear(&b.direct[i]);
    }
    curl_global_cleanup();
    return 0;
}
