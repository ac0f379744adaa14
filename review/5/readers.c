/* Callers that keep their connections and request archive bundles, a few at a
 * time, and read the answers steadily but not fast. */
#include "small.h"

#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define CLIENTS     8
#define AHEAD       11   /* requests of a client that wait for answers */
#define LEFT_MS     4000 /* time budget of a client attempt */
#define SLOW_PER_MS 2200 /* bytes that a slow reader takes in a ms */
#define PLAY_MS     80000
#define LOST_MAX    3 /* the rule's number */

static char ip[32];
static char upstream_ip[32];
static bool is_slow;
static int64_t end_ms;
static gint answered;
static gint refused; /* 503: not run, and come back */
static gint failed;  /* other statuses */
static gint late;    /* answered after the client's time */
static gint lost;    /* ran, connection closed without an answer */
static gint closed_connections;

static int
work_ms(const Upstream *u, const char *target)
{
    (void)u;
    (void)target;
    return 60;
}

/* 240 to 539 KB; the site's largest answer is 540 KB. */
static size_t
answer_bytes(const char *target)
{
    return 240000 + strlen(target) * 7919 % 1000 * 299 +
           g_str_hash(target) % 100000;
}

static size_t
read_per_ms(const Upstream *u)
{
    (void)u;
    return 0;
}

static const char config[] =
    "{\"version\":7,\"services\":["
    "{\"name\":\"shelf\",\"health_path\":\"/health\",\"conn_limit\":1770,"
    "\"protocol\":\"h1\",\"tls\":false,\"warmup\":\"3s\",\"cold_per_s\":20}],"
    "\"limits\":{\"header_bytes\":16384,\"body_bytes\":67108864,"
    "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},"
    "\"hosts\":[{\"host\":\"" HOST "\",\"paths\":["
    "{\"name\":\"archive-bundle\",\"prefix\":\"/bundle/\","
    "\"kind\":\"download\",\"timeout\":\"3000ms\",\"objective\":\"600ms\","
    "\"priority\":1,\"service\":\"shelf\",\"max_attempts\":2,"
    "\"sticky_sessions\":false,\"home_regions\":[]}]}]}";

static Upstream upstreams[] = {
    {.id = "i-shelf-1", .slots = 6},
    {.id = "i-shelf-2", .slots = 6},
    {.id = "i-shelf-3", .slots = 6},
    {.id = "i-shelf-4", .slots = 6},
};

static void
start_platform(void)
{
    Store_Start(g_strdup(getenv("STORE_IP")), PORT_STORE);
    Store_Put("op", "config", config);
    for (size_t i = 0; i < G_N_ELEMENTS(upstreams); i++) {
        Upstream *u = &upstreams[i];
        u->service = "shelf";
        u->ip = upstream_ip;
        u->port = PORT_UPSTREAMS + (int)i;
        u->zone = i % 2 == 0 ? "z1" : "z2";
        u->work_ms = work_ms;
        u->answer_bytes = answer_bytes;
        u->read_per_ms = read_per_ms;
        Upstream_Start(u);
    }
}

/* ---- A client ------------------------------------------------------------ */

typedef struct {
    char *id;
    int64_t sent_ms;
} Asked;

typedef struct {
    int number;
    Reader r;
    GQueue asked; /* Asked, in order */
    int64_t began_ms;
    bool is_refused; /* waits before it asks again */
} Client;

static void
ask(Client *c)
{
    static gint pages;
    Asked *a = g_new0(Asked, 1);
    char *target =
        g_strdup_printf("/bundle/%d", g_atomic_int_add(&pages, 1) % 24);

    a->id = NewId();
    a->sent_ms = NowMs();
    char *text = WriteRequest("GET", target, a->id, LEFT_MS, 0);
    (void)SendAll(c->r.fd, text, strlen(text));
    g_queue_push_tail(&c->asked, a);
    g_free(text);
    g_free(target);
}

static void
free_asked(Asked *a)
{
    g_free(a->id);
    g_free(a);
}

/* The connection ended before the answers to these requests. Those that had
 * run count, if the client would still have waited. */
static void
end_connection(Client *c, bool was_in_answer)
{
    int ran = 0;
    int64_t now_ms = NowMs();
    GQueue left = c->asked;
    Asked *a;

    g_queue_init(&c->asked);
    g_atomic_int_inc(&closed_connections);
    SleepMs(300); /* what was on its way to upstreams has arrived */
    int waiting = (int)left.length;
    while ((a = g_queue_pop_head(&left)) != NULL) {
        Run run = Runs_Find(a->id);
        bool counts = run.runs > 0 && run.run_at_ms <= now_ms &&
                      now_ms - a->sent_ms < LEFT_MS;
        ran += counts;
        Record("client %d, bundle %s: no answer, connection closed %" PRId64
               " ms after it was sent; runs %d, whole answers of the "
               "upstream %d",
               c->number, a->id, now_ms - a->sent_ms, run.runs, run.answered);
        free_asked(a);
    }
    g_atomic_int_add(&lost, ran);
    Record("client %d: the entry closed its kept connection after %" PRId64
           " ms %s; %d requests waited, %d of them passed on in time",
           c->number, now_ms - c->began_ms,
           was_in_answer ? "inside an answer" : "between answers", waiting,
           ran);
    Reader_Clear(&c->r);
}

static void
connect_client(Client *c)
{
    c->r = (Reader){.fd = ConnectRemote(ip, PORT_FRONT, 1000)};
    if (c->r.fd < 0) {
        GiveUp("client %d can't connect", c->number);
    }
    c->began_ms = NowMs();
    Record("client %d connects", c->number);
}

/* Reads one answer. False if the connection ended. */
static bool
read_answer(Client *c, size_t per_ms)
{
    char *head = Reader_TakeHead(&c->r, 20000);

    if (head == NULL) {
        end_connection(c, false);
        return false;
    }
    int status = StatusOf(head);
    char *says = FindField(head, "Connection");
    bool closes = says != NULL && strcasecmp(says, "close") == 0;
    size_t len = BodyLength(head);
    g_free(says);
    g_free(head);
    if (!Reader_Drop(&c->r, len, per_ms, 20000)) {
        end_connection(c, true);
        return false;
    }
    Asked *a = g_queue_pop_head(&c->asked);
    bool is_late = NowMs() - a->sent_ms > LEFT_MS;
    g_atomic_int_add(&late, is_late && status == 200);
    g_atomic_int_add(&answered, status == 200);
    g_atomic_int_add(&refused, status == 503);
    g_atomic_int_add(&failed, status != 200 && status != 503);
    c->is_refused = status != 200;
    free_asked(a);
    if (closes) {
        /* What was sent behind it counts as not read. */
        while ((a = g_queue_pop_head(&c->asked)) != NULL) {
            free_asked(a);
        }
        Reader_Clear(&c->r);
        return false;
    }
    return true;
}

static void *
run_client(void *argument)
{
    Client *c = argument;
    size_t per_ms = is_slow ? SLOW_PER_MS : 0;

    while (NowMs() < end_ms) {
        if (c->r.fd <= 0) {
            connect_client(c);
        }
        while (NowMs() < end_ms && c->asked.length < AHEAD && !c->is_refused) {
            ask(c);
        }
        if (c->asked.length == 0) {
            SleepMs(100);
            c->is_refused = false;
            continue;
        }
        (void)read_answer(c, per_ms);
    }
    while (c->r.fd > 0 && c->asked.length > 0 && read_answer(c, 0)) {
    }
    return NULL;
}

int
main(void)
{
    static Client clients[CLIENTS];

    (void)signal(SIGPIPE, SIG_IGN);
    g_strlcpy(ip, getenv("ENTRY_IP"), sizeof(ip));
    g_strlcpy(upstream_ip, getenv("UPSTREAM_IP"), sizeof(upstream_ip));
    is_slow = HasTrouble();
    start_platform();
    AwaitReady(ip);
    SleepMs(3500);
    end_ms = NowMs() + PLAY_MS;
    Record("%d clients read %s", CLIENTS,
           is_slow ? "2.2 MB a second each" : "as fast as they can");
    for (int i = 0; i < CLIENTS; i++) {
        clients[i].number = i;
        StartThread(run_client, &clients[i]);
        SleepMs(50);
    }
    while (NowMs() < end_ms) {
        SleepMs(5000);
        Record("so far: %d answered (%d late), %d refused, %d failed; %d "
               "connections closed by the entry, %d requests lost",
               answered, late, refused, failed, closed_connections, lost);
    }
    SleepMs(6000);
    bool is_bad = lost > LOST_MAX;
    Record("%d answered (%d late), %d refused, %d failed; %d kept "
           "connections closed by the entry, %d requests lost that it had "
           "passed on (at most %d may be)",
           answered, late, refused, failed, closed_connections, lost,
           LOST_MAX);
    Record("LOST %s", is_bad ? "is broken" : "held");
    return is_bad ? EXIT_BROKEN : EXIT_HELD;
}
