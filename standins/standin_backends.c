/* Stand-in of the backend servers of one region: one process, one port per
 * server.
 * usage: standin_backends --config FILE --control IP:PORT
 *
 * FILE: {"servers": [{"name", "service", "address", "slots"}]}; a server may
 * also set "connections", "service_ms", "sigma" and "cold_ms" for itself. */
#include "common/answer.h"
#include "common/backend.h"
#include "common/clock.h"
#include "common/http.h"
#include "common/services.h"

#include <popt.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ANSWER_PAD   256
#define SILENT_MAX_S 120
#define POLL_US      20000

typedef struct {
    pthread_mutex_t lock; /* guards the servers and the journal */
    uint32_t count;
    GsBackend *servers;
    GPtrArray *journal; /* of GsRun */
} Backends;

/* Per-connection data. */
typedef struct {
    GsBackend *server;
    int fd;
} Peer;

static GsBackend *
find_port(Backends *all, int port)
{
    for (uint32_t i = 0; i < all->count; i++) {
        if ((int)all->servers[i].port == port) {
            return &all->servers[i];
        }
    }
    return NULL;
}

/* Extracts the caller's key from the header, the body or the last part of the
 * path. */
static void
request_key(struct mg_connection *conn, const char *body, char *out)
{
    const char *header = mg_get_header(conn, "GW-Key");
    struct json_object *o =
        body != NULL && body[0] == '{' ? json_tokener_parse(body) : NULL;
    const char *uri = mg_get_request_info(conn)->local_uri;
    const char *slash = strrchr(uri, '/');
    const char *last = slash != NULL ? slash + 1 : uri;
    const char *key = header != NULL ? header : GsJson_Text(o, "key", last);
    g_strlcpy(out, key, GS_KEY_MAX);
    json_object_put(o);
}

/* Returns the data of a connection, created with its first request. NULL when
 * the server is at its connection limit. */
static Peer *
peer_of(Backends *all, GsBackend *b, struct mg_connection *conn)
{
    Peer *peer = mg_get_user_connection_data(conn);
    if (peer != NULL) {
        return peer;
    }
    pthread_mutex_lock(&all->lock);
    bool room = GsBackend_Connect(b);
    pthread_mutex_unlock(&all->lock);
    if (!room) {
        return NULL;
    }
    peer = g_new0(Peer, 1);
    peer->server = b;
    mg_set_user_connection_data(conn, peer);
    return peer;
}

static void
on_closed(void *data, void *conn_data)
{
    Backends *all = data;
    Peer *peer = conn_data;
    pthread_mutex_lock(&all->lock);
    GsBackend_Disconnect(peer->server);
    pthread_mutex_unlock(&all->lock);
    g_free(peer);
}

static int
health(Backends *all, GsBackend *b, struct mg_connection *conn)
{
    char body[96];
    pthread_mutex_lock(&all->lock);
    bool down = b->down || b->silent;
    snprintf(body, sizeof(body),
             "{\"load\": %u, \"slots\": %u, \"draining\": %s}",
             GsBackend_ReportedLoad(b), b->slots, b->drain ? "true" : "false");
    pthread_mutex_unlock(&all->lock);
    return down ? GsHttp_Drop(conn) : GsHttp_Reply(conn, 200, "", body);
}

/* Holds the connection without an answer until the fault ends, at most
 * SILENT_MAX_S, then closes it. */
static int
stay_silent(Backends *all, GsBackend *b, struct mg_connection *conn)
{
    int64_t end_us = GsClock_Now() + SILENT_MAX_S * INT64_C(1000000);
    bool silent = true;
    while (silent && GsClock_Now() < end_us) {
        GsClock_Sleep(POLL_US);
        pthread_mutex_lock(&all->lock);
        silent = b->silent;
        pthread_mutex_unlock(&all->lock);
    }
    return GsHttp_Drop(conn);
}

/* Request being served. */
typedef struct {
    GsBackend *server;
    Peer *peer;
    GsRun *run; /* NULL if idempotent; owned by the journal */
    GsAdmit admit;
    bool runs;
    bool reset;
    int64_t service_us;
    char key[GS_KEY_MAX];
} Work;

/* Admits a request. A run enters the journal when it starts, so runs that are
 * cut off later count as well. */
static void
begin(Backends *all, Work *w, struct mg_connection *conn,
      const GsOperation *op)
{
    int64_t now_us = GsClock_Now();
    GsBackend *b = w->server;
    const char *id = mg_get_header(conn, "GW-Request-Id");
    pthread_mutex_lock(&all->lock);
    w->admit = GsBackend_Begin(b, now_us);
    w->runs = w->admit == GS_ADMIT_RUN ||
              (w->admit == GS_ADMIT_SILENT && b->silent_runs);
    w->service_us = w->runs ? GsBackend_ServiceTime(b, now_us) : 0;
    w->reset = GwRng_Below(&b->rng, 100) < b->reset_share_percent;
    if (w->runs && !op->idempotent) {
        GsRun *run = g_new0(GsRun, 1);
        g_strlcpy(run->backend, b->name, GS_NAME_MAX);
        g_strlcpy(run->service, b->service, GS_NAME_MAX);
        g_strlcpy(run->op, op->op, GS_NAME_MAX);
        g_strlcpy(run->key, w->key, GS_KEY_MAX);
        g_strlcpy(run->request_id, id != NULL ? id : "", GS_KEY_MAX);
        run->start_us = now_us;
        g_ptr_array_add(all->journal, run);
        w->run = run;
    }
    pthread_mutex_unlock(&all->lock);
}

/* Simulates the run: waits for the service time, or until the deadline or
 * until the caller cancels. Returns false when the run was cut off. */
static bool
work(Backends *all, Work *w, struct mg_connection *conn)
{
    const char *text = mg_get_header(conn, "GW-Deadline-Ms");
    int64_t left_us = text != NULL ? strtoll(text, NULL, 10) * 1000 : 0;
    bool is_past_deadline = text != NULL && left_us < w->service_us;
    bool is_cancelled = GsHttp_WaitClosed(
        conn, is_past_deadline ? left_us : w->service_us, &w->peer->fd);
    int64_t now_us = GsClock_Now();
    pthread_mutex_lock(&all->lock);
    w->server->stopped += is_past_deadline && !is_cancelled;
    w->server->cancelled += is_cancelled;
    GsBackend_End(w->server, now_us);
    if (w->run != NULL) {
        w->run->end_us = now_us;
    }
    pthread_mutex_unlock(&all->lock);
    return !is_past_deadline && !is_cancelled;
}

static int
answer(Backends *all, Work *w, struct mg_connection *conn)
{
    char headers[96];
    pthread_mutex_lock(&all->lock);
    snprintf(headers, sizeof(headers), "GW-Load: %u\r\n%s%s",
             GsBackend_ReportedLoad(w->server),
             w->server->drain ? "GW-Draining: 1\r\n" : "",
             w->admit == GS_ADMIT_REFUSE ? "GW-Refused: not-run\r\n" : "");
    pthread_mutex_unlock(&all->lock);
    if (w->admit == GS_ADMIT_REFUSE) {
        return GsHttp_Reply(conn, 503, headers, "{\"refused\": true}");
    }
    char *body = GsAnswer_Make(w->server->name, w->key, ANSWER_PAD);
    int status = GsHttp_Reply(conn, 200, headers, body);
    g_free(body);
    return status;
}

static int
serve(Backends *all, Peer *peer, struct mg_connection *conn,
      const GsOperation *op)
{
    GsBackend *b = peer->server;
    Work w = {.server = b, .peer = peer};
    char *body = GsHttp_ReadBody(conn);
    if (body == NULL) {
        return GsHttp_Drop(conn);
    }
    request_key(conn, body, w.key);
    g_free(body);
    begin(all, &w, conn, op);
    bool whole = !w.runs || work(all, &w, conn);
    if (w.admit == GS_ADMIT_SILENT) {
        return stay_silent(all, b, conn);
    }
    if (w.admit == GS_ADMIT_DROP || !whole || w.reset) {
        return GsHttp_Drop(conn);
    }
    return answer(all, &w, conn);
}

static int
handle(struct mg_connection *conn, void *data)
{
    Backends *all = data;
    const struct mg_request_info *ri = mg_get_request_info(conn);
    GsBackend *b = find_port(all, ri->server_port);
    Peer *peer = b != NULL ? peer_of(all, b, conn) : NULL;
    if (peer == NULL) {
        return GsHttp_Drop(conn);
    }
    if (strcmp(ri->local_uri, "/health") == 0) {
        return health(all, b, conn);
    }
    const GsOperation *op =
        GsOperation_Match(b->service, ri->request_method, ri->local_uri);
    if (op == NULL) {
        return GsHttp_Reply(conn, 404, "", "{}");
    }
    return serve(all, peer, conn, op);
}

static int
control_journal(Backends *all, struct mg_connection *conn)
{
    GString *out = g_string_new(NULL);
    pthread_mutex_lock(&all->lock);
    for (uint32_t i = 0; i < all->journal->len; i++) {
        char *line = GsRun_Format(all->journal->pdata[i]);
        g_string_append(out, line);
        g_string_append_c(out, '\n');
        g_free(line);
    }
    pthread_mutex_unlock(&all->lock);
    GsHttp_Reply(conn, 200, "", out->str);
    g_string_free(out, TRUE);
    return 200;
}

static void
add_int(struct json_object *o, const char *name, int64_t value)
{
    json_object_object_add(o, name, json_object_new_int64(value));
}

/* Returns the statistics of a server. Drain times are in ms since the start of
 * the drain; -1: not yet. */
static struct json_object *
stats_json(const GsBackend *b)
{
    struct json_object *o = json_object_new_object();
    json_object_object_add(o, "backend", json_object_new_string(b->name));
    json_object_object_add(o, "service", json_object_new_string(b->service));
    add_int(o, "slots", b->slots);
    add_int(o, "in_flight", b->in_flight);
    add_int(o, "max_in_flight", b->max_in_flight);
    add_int(o, "connections", b->connections);
    add_int(o, "max_connections", b->max_connections);
    add_int(o, "connections_refused", (int64_t)b->connections_refused);
    add_int(o, "runs", (int64_t)b->runs);
    add_int(o, "refused", (int64_t)b->refused);
    add_int(o, "stopped", (int64_t)b->stopped);
    add_int(o, "cancelled", (int64_t)b->cancelled);
    if (b->drain_at_us > 0) {
        int64_t idle = b->drain_idle_at_us - b->drain_at_us;
        int64_t offer = b->drain_last_offer_us - b->drain_at_us;
        add_int(o, "drain_idle_ms",
                b->drain_idle_at_us > 0 ? idle / 1000 : -1);
        add_int(o, "drain_last_offer_ms",
                b->drain_last_offer_us > 0 ? offer / 1000 : -1);
    }
    return o;
}

static int
control_stats(Backends *all, struct mg_connection *conn)
{
    struct json_object *list = json_object_new_array();
    pthread_mutex_lock(&all->lock);
    for (uint32_t i = 0; i < all->count; i++) {
        json_object_array_add(list, stats_json(&all->servers[i]));
    }
    pthread_mutex_unlock(&all->lock);
    return GsHttp_ReplyJson(conn, 200, list);
}

/* Sets the flags that the request contains. The caller holds the lock. */
static void
apply_control(GsBackend *b, struct json_object *o)
{
    GsBackend_Drain(b, GsJson_Int(o, "drain", b->drain) != 0, GsClock_Now());
    b->reports_no_load = GsJson_Int(o, "lie_idle", b->reports_no_load) != 0;
    b->shed = GsJson_Int(o, "shed", b->shed) != 0;
    b->silent = GsJson_Int(o, "silent", b->silent) != 0;
    b->silent_runs = GsJson_Int(o, "runs", b->silent_runs) != 0;
    b->down = GsJson_Int(o, "down", b->down) != 0;
    b->slow_ms = (uint32_t)GsJson_Int(o, "slow_ms", b->slow_ms);
    b->reset_share_percent =
        (uint32_t)GsJson_Int(o, "reset_share_percent", b->reset_share_percent);
}

/* POST /control. The name "*" selects all servers of the process. */
static int
control_set(Backends *all, struct mg_connection *conn)
{
    struct json_object *o = GsHttp_ReadJson(conn);
    const char *name = GsJson_Text(o, "backend", "");
    int found = 0;
    pthread_mutex_lock(&all->lock);
    for (uint32_t i = 0; i < all->count; i++) {
        if (strcmp(name, "*") == 0 ||
            strcmp(name, all->servers[i].name) == 0) {
            apply_control(&all->servers[i], o);
            found++;
        }
    }
    pthread_mutex_unlock(&all->lock);
    json_object_put(o);
    return GsHttp_Reply(conn, found > 0 ? 200 : 404, "", "{}");
}

static int
handle_control(struct mg_connection *conn, void *data)
{
    const char *uri = mg_get_request_info(conn)->local_uri;
    if (strcmp(uri, "/journal") == 0) {
        return control_journal(data, conn);
    }
    if (strcmp(uri, "/stats") == 0) {
        return control_stats(data, conn);
    }
    if (strcmp(uri, "/control") == 0) {
        return control_set(data, conn);
    }
    return GsHttp_Reply(conn, 404, "", "{}");
}

typedef struct {
    char *config;
    char *control;
    int service_ms;
    double sigma;
    int cold_ms;
    int cold_factor;
    int shed_percent;
    int connect_us;
    int connections;
    int threads;
    int seed;
} Options;

static void
read_server(GsBackend *b, struct json_object *s, const Options *o,
            uint32_t index)
{
    const char *address = GsJson_Text(s, "address", "");
    const char *colon = strrchr(address, ':');
    g_strlcpy(b->name, GsJson_Text(s, "name", ""), GS_NAME_MAX);
    g_strlcpy(b->service, GsJson_Text(s, "service", ""), GS_NAME_MAX);
    g_strlcpy(b->address, address, GS_NAME_MAX);
    b->port = colon != NULL ? (uint32_t)strtoul(colon + 1, NULL, 10) : 0;
    b->slots = (uint32_t)GsJson_Int(s, "slots", 3);
    b->connection_limit =
        (uint32_t)GsJson_Int(s, "connections", o->connections);
    b->shed_percent = (uint32_t)o->shed_percent;
    b->service_us = GsJson_Int(s, "service_ms", o->service_ms) * 1000;
    b->sigma = o->sigma;
    b->cold_until_us =
        GsClock_Now() + GsJson_Int(s, "cold_ms", o->cold_ms) * 1000;
    b->cold_factor = (uint32_t)o->cold_factor;
    b->rng = GwRng_Make(((uint64_t)o->seed << 32) + index);
}

/* Returns false when the file cannot be read or lists no server. */
static bool
read_config(Backends *all, const Options *o)
{
    struct json_object *root = json_object_from_file(o->config);
    struct json_object *list = NULL;
    json_object_object_get_ex(root, "servers", &list);
    if (!json_object_is_type(list, json_type_array)) {
        json_object_put(root);
        return false;
    }
    all->count = (uint32_t)json_object_array_length(list);
    all->servers = g_new0(GsBackend, all->count + 1);
    for (uint32_t i = 0; i < all->count; i++) {
        read_server(&all->servers[i], json_object_array_get_idx(list, i), o,
                    i);
    }
    json_object_put(root);
    return all->count > 0;
}

static char *
port_list(const Backends *all)
{
    GString *ports = g_string_new(NULL);
    for (uint32_t i = 0; i < all->count; i++) {
        g_string_append_printf(ports, "%s%s", i > 0 ? "," : "",
                               all->servers[i].address);
    }
    return g_string_free(ports, FALSE);
}

static void
close_backends(Backends *all)
{
    g_ptr_array_free(all->journal, TRUE);
    g_free(all->servers);
}

static int
run(const Options *o)
{
    Backends all = {.lock = PTHREAD_MUTEX_INITIALIZER,
                    .journal = g_ptr_array_new_with_free_func(g_free)};
    if (!read_config(&all, o)) {
        fprintf(stderr, "standin_backends: no servers in %s\n", o->config);
        close_backends(&all);
        return 1;
    }
    GsHttpOptions servers = {.ports = port_list(&all),
                             .threads = (uint32_t)o->threads,
                             .accept_cost_us = (uint32_t)o->connect_us,
                             .handler = handle,
                             .closed = on_closed,
                             .data = &all};
    GsHttpOptions control = {.ports = o->control,
                             .threads = 8,
                             .handler = handle_control,
                             .data = &all};
    struct mg_context *a = GsHttp_Start(&servers);
    struct mg_context *b = GsHttp_Start(&control);
    if (a == NULL || b == NULL) {
        fprintf(stderr, "standin_backends: cannot listen on %s or %s\n",
                servers.ports, control.ports);
        if (a != NULL) {
            mg_stop(a);
        }
        if (b != NULL) {
            mg_stop(b);
        }
        g_free((char *)servers.ports);
        close_backends(&all);
        return 1;
    }
    GsHttp_WaitForStop();
    mg_stop(b);
    mg_stop(a);
    g_free((char *)servers.ports);
    close_backends(&all);
    return 0;
}

int
main(int argc, const char **argv)
{
    Options o = {.service_ms = 20,
                 .sigma = 0.3,
                 .cold_factor = 3,
                 .shed_percent = 200,
                 .connect_us = 1000,
                 .connections = 330,
                 .threads = 1200,
                 .seed = 1};
    struct poptOption options[] = {
        {"config", 0, POPT_ARG_STRING, &o.config, 0, "list of backend servers",
         "FILE"},
        {"control", 0, POPT_ARG_STRING, &o.control, 0, "address", "IP:PORT"},
        {"service-ms", 0, POPT_ARG_INT, &o.service_ms, 0, "median", NULL},
        {"sigma", 0, POPT_ARG_DOUBLE, &o.sigma, 0,
         "sigma of the lognormal service time", NULL},
        {"cold-ms", 0, POPT_ARG_INT, &o.cold_ms, 0,
         "duration of the cold start", NULL},
        {"cold-factor", 0, POPT_ARG_INT, &o.cold_factor, 0,
         "slowdown during the cold start", NULL},
        {"shed-percent", 0, POPT_ARG_INT, &o.shed_percent, 0,
         "refuse requests above this share of the slots", NULL},
        {"connect-us", 0, POPT_ARG_INT, &o.connect_us, 0,
         "setup time of a connection", NULL},
        {"connections", 0, POPT_ARG_INT, &o.connections, 0,
         "connection limit of a server", NULL},
        {"threads", 0, POPT_ARG_INT, &o.threads, 0, "maximum open connections",
         NULL},
        {"seed", 0, POPT_ARG_INT, &o.seed, 0, "seed of the service times",
         NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext pc = poptGetContext(NULL, argc, argv, options, 0);
    if (poptGetNextOpt(pc) < -1 || o.config == NULL || o.control == NULL) {
        poptPrintUsage(pc, stderr, 0);
        return 2;
    }
    GsHttp_BlockSignals();
    int rc = run(&o);
    free(o.config);
    free(o.control);
    poptFreeContext(pc);
    return rc;
}
