/* Latency that an entry adds to a small request: alternates between requests
 * direct to a stand-in backend server and requests through godwitedge, on
 * persistent connections. bench/edge.sh starts the entry. */
#include "platform/platform.h"
#include "standins/site/site.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
    uv_loop_t loop;
    GwConn *conns[2]; /* by side. 0: direct, 1: through the entry */
    const char *addresses[2];
    bool is_open[2];
    int side;
    uint32_t left;
    int64_t sent_us;
    GArray *latencies[2]; /* int64_t us */
    uint32_t errors;
    uv_timer_t retry;
} Bench;

typedef struct {
    Bench *bench;
    int side;
} Link;

static Bench bench;
static Link links[2];
static const GwConnOps ops;

static int64_t
now_us(void)
{
    return (int64_t)(uv_hrtime() / 1000);
}

static void
open_connection(int side)
{
    GwConnParams params = {
        .loop = &bench.loop,
        .ops = &ops,
        .owner = &links[side],
        .head_max = 64 << 10,
        .body_max = 1 << 20,
    };

    links[side] = (Link){&bench, side};
    bench.conns[side] = GwConn_Connect(&params, bench.addresses[side]);
}

static void
send_request(void)
{
    const GwAdapter *a = &Platform_Adapter;
    GString *out = g_string_new(NULL);

    g_string_printf(out,
                    "GET /look-up/x HTTP/1.1\r\nHost: demo.example\r\n"
                    "%s: r%u-%d\r\n%s: 1\r\n%s: 2000\r\n\r\n",
                    a->request_id, bench.left, bench.side, a->object_key,
                    a->time_left);
    bench.sent_us = now_us();
    GwConn_Write(bench.conns[bench.side], out);
    g_string_free(out, TRUE);
}

static void
on_connected(void *owner)
{
    Link *link = owner;

    bench.is_open[link->side] = true;
    if (bench.is_open[0] && bench.is_open[1]) {
        send_request();
    }
}

static void
on_message(void *owner, GwHttpMessage *msg)
{
    Link *link = owner;
    int64_t latency_us = now_us() - bench.sent_us;

    if (msg->status == 200) {
        g_array_append_val(bench.latencies[link->side], latency_us);
    }
    else {
        bench.errors++;
    }
    GwHttpMessage_Free(msg);
    if (--bench.left == 0) {
        uv_stop(&bench.loop);
        return;
    }
    bench.side = 1 - bench.side;
    send_request();
}

static void
on_retry(uv_timer_t *timer)
{
    (void)timer;
    for (int side = 0; side < 2; side++) {
        if (bench.conns[side] == NULL) {
            open_connection(side);
        }
    }
}

static void
on_ended(void *owner, GwConnEnd end)
{
    Link *link = owner;

    (void)end;
    bench.conns[link->side] = NULL;
    bench.is_open[link->side] = false;
    (void)uv_timer_start(&bench.retry, on_retry, 200, 0);
}

static const GwConnOps ops = {
    .connected = on_connected, .message = on_message, .ended = on_ended};

static int
compare(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

static double
quantile_ms(GArray *values, double q)
{
    qsort(values->data, values->len, sizeof(int64_t), compare);
    return (double)g_array_index(values, int64_t,
                                 (guint)(q * (values->len - 1))) /
           1000.0;
}

/* usage: bench_edge_path STORE SERVER ENTRY CONFIG SERVER-ROW REQUESTS
 * The first three are addresses, the next two files. */
int
main(int argc, char **argv)
{
    GwRng rng = GwRng_Make(1);
    char *config;
    char *server;

    if (argc != 7 || !g_file_get_contents(argv[4], &config, NULL, NULL) ||
        !g_file_get_contents(argv[5], &server, NULL, NULL)) {
        (void)fprintf(stderr, "usage: bench_edge_path STORE SERVER ENTRY "
                              "CONFIG SERVER-ROW REQUESTS\n");
        return 2;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    (void)uv_loop_init(&bench.loop);
    (void)uv_timer_init(&bench.loop, &bench.retry);
    bench.addresses[0] = argv[2];
    bench.addresses[1] = argv[3];
    bench.left = (uint32_t)strtoul(argv[6], NULL, 10);
    SiteServerParams params = {
        .loop = &bench.loop,
        .adapter = &Platform_Adapter,
        .slots = 8,
        .rng = &rng,
    };
    g_strlcpy(params.id, "server-0", sizeof(params.id));
    g_strlcpy(params.address, argv[2], sizeof(params.address));
    SiteStore *store =
        SiteStore_Create(&bench.loop, argv[1], &Platform_Adapter);
    if (store == NULL || SiteServer_Create(&params) == NULL) {
        return 1;
    }
    SiteStore_Put(store, Platform_Adapter.operator_table, "config", config);
    SiteStore_Put(store, Platform_Adapter.server_table, "server-0", server);
    for (int side = 0; side < 2; side++) {
        bench.latencies[side] = g_array_new(FALSE, FALSE, sizeof(int64_t));
    }
    (void)uv_timer_start(&bench.retry, on_retry, 2500, 0);
    (void)uv_run(&bench.loop, UV_RUN_DEFAULT);
    double direct = quantile_ms(bench.latencies[0], 0.5);
    double through = quantile_ms(bench.latencies[1], 0.5);
    printf("direct p50 %.3f ms, through the entry %.3f ms: added %.3f ms, "
           "ratio %.2f; p99 %.3f and %.3f; %u + %u requests, %u errors\n",
           direct, through, through - direct, through / direct,
           quantile_ms(bench.latencies[0], 0.99),
           quantile_ms(bench.latencies[1], 0.99), bench.latencies[0]->len,
           bench.latencies[1]->len, bench.errors);
    return bench.errors == 0 ? 0 : 1;
}
