/* An upstream starts during traffic. Another writer puts its entry into the
 * store first, without all of the fields; the upstream's own follows. */
#include "small.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ENTRIES   5
#define CLIENTS   24 /* of each entry */
#define LEFT_MS   4000
#define WARMUP_MS 3000
/* The site's figures: cold_per_s 4, cold_over 1.5, cold_slack 8. */
#define BOUND_PER_S (4 * 1.5 + 8)
#define BEAT_MS     1500

static char ips[ENTRIES][32];
static char upstream_ip[32];
static volatile bool is_over;
static volatile int64_t cold_until_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
typedef struct {
    int64_t sent_ms; /* by the client */
    int64_t arrived_ms;
} Arrival;

static GArray *arrivals;   /* at the cold upstream */
static GHashTable *sent;   /* id: int64_t, the time at which it was sent */
static int worst;        /* arrivals in one second */
static gint answered;
static gint refused;
static gint failed;
static gint lost; /* run by the upstream that crashed, without its answer */

static int
work_ms(const Upstream *u, const char *target)
{
    (void)target;
    return strcmp(u->id, "i-new") == 0 && NowMs() < cold_until_ms ? 300 : 150;
}

static size_t
answer_bytes(const char *target)
{
    (void)target;
    return 400;
}

static size_t
read_per_ms(const Upstream *u)
{
    (void)u;
    return 0;
}

/* Counts the requests that were sent and arrived in the last second. */
static bool
arrives(const Upstream *u, const char *id)
{
    int64_t now_ms = NowMs();
    int count = 0;
    bool is_borne;

    (void)u;
    if (now_ms >= cold_until_ms) {
        return true;
    }
    pthread_mutex_lock(&lock);
    const int64_t *sent_ms = g_hash_table_lookup(sent, id);
    Arrival a = {.sent_ms = sent_ms != NULL ? *sent_ms : 0,
                 .arrived_ms = now_ms};
    g_array_append_val(arrivals, a);
    for (guint i = 0; i < arrivals->len; i++) {
        const Arrival *one = &g_array_index(arrivals, Arrival, i);
        count += one->sent_ms > now_ms - 1000;
    }
    worst = MAX(worst, count);
    is_borne = count <= BOUND_PER_S;
    pthread_mutex_unlock(&lock);
    return is_borne;
}

static const char config[] =
    "{\"version\":7,\"services\":["
    "{\"name\":\"archive\",\"health_path\":\"/health\",\"conn_limit\":2428,"
    "\"protocol\":\"h1\",\"tls\":false,\"warmup\":\"3s\",\"cold_per_s\":4}],"
    "\"limits\":{\"header_bytes\":16384,\"body_bytes\":67108864,"
    "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},"
    "\"hosts\":[{\"host\":\"" HOST "\",\"paths\":["
    "{\"name\":\"notice-log\",\"prefix\":\"/notice/\",\"kind\":\"unsafe\","
    "\"timeout\":\"2500ms\",\"objective\":\"600ms\",\"priority\":2,"
    "\"service\":\"archive\",\"max_attempts\":2,\"sticky_sessions\":false,"
    "\"home_regions\":[]}]}]}";

static Upstream upstreams[] = {
    {.id = "i-1"}, {.id = "i-2"}, {.id = "i-3"}, {.id = "i-4"},
    {.id = "i-new", .is_silent = true, .arrives = arrives},
};

static void
start_platform(void)
{
    Store_Start(g_strdup(getenv("STORE_IP")), PORT_STORE);
    Store_Put("op", "config", config);
    for (size_t i = 0; i < G_N_ELEMENTS(upstreams); i++) {
        Upstream *u = &upstreams[i];
        u->service = "archive";
        u->slots = 6;
        u->ip = upstream_ip;
        u->port = PORT_UPSTREAMS + (int)i;
        u->zone = i % 2 == 0 ? "z1" : "z2";
        u->work_ms = work_ms;
        u->answer_bytes = answer_bytes;
        u->read_per_ms = read_per_ms;
        Upstream_Start(u);
    }
}

/* A tool that enters upstreams as it starts them: it knows no seq_no, no
 * version and no cold_left. */
static void
write_other_entry(const Upstream *u)
{
    char *text = g_strdup_printf(
        "{\"address\":\"%s:%d\",\"born\":%" PRId64
        ",\"info\":{\"service\":\"%s\",\"zone\":\"%s\",\"slots\":%d},"
        "\"status\":{\"state\":\"ready\"}}",
        u->ip, u->port, g_get_real_time() / 1000, u->service, u->zone,
        u->slots);

    Store_Put("servers", u->id, text);
    Record("another writer puts an entry of %s without version, seq_no and "
           "cold_left into the store",
           u->id);
    g_free(text);
}

static void
note_sent(const char *id)
{
    int64_t now_ms = NowMs();

    pthread_mutex_lock(&lock);
    g_hash_table_insert(sent, g_strdup(id),
                        g_memdup2(&now_ms, sizeof(now_ms)));
    pthread_mutex_unlock(&lock);
}

static void *
run_client(void *argument)
{
    const char *ip = argument;

    while (!is_over) {
        char *id = NewId();
        char *text = WriteRequest("DELETE", "/notice/1", id, LEFT_MS, 0);
        Reader r = {.fd = Connect(ip, PORT_FRONT, 1000)};
        note_sent(id);
        char *head = r.fd >= 0 && SendAll(r.fd, text, strlen(text))
                         ? Reader_TakeHead(&r, LEFT_MS)
                         : NULL;
        int status = head != NULL ? StatusOf(head) : 0;
        Run run = Runs_Find(id);
        g_atomic_int_add(&answered, status == 200);
        g_atomic_int_add(&refused, status == 503 || status == 429);
        g_atomic_int_add(&failed,
                         status != 200 && status != 503 && status != 429);
        if (status == 502 && run.runs > 0) {
            g_atomic_int_inc(&lost);
            Record("notice %s: accepted, run %d times, answer 502", id,
                   run.runs);
        }
        Reader_Clear(&r);
        g_free(head);
        g_free(text);
        g_free(id);
        SleepMs(status == 200 ? 100 : 400);
    }
    return NULL;
}

int
main(void)
{
    const Upstream *u = &upstreams[G_N_ELEMENTS(upstreams) - 1];

    (void)signal(SIGPIPE, SIG_IGN);
    arrivals = g_array_new(FALSE, FALSE, sizeof(Arrival));
    sent = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_strlcpy(upstream_ip, getenv("UPSTREAM_IP"), sizeof(upstream_ip));
    start_platform();
    for (int i = 0; i < ENTRIES; i++) {
        g_snprintf(ips[i], sizeof(ips[i]), "%s.%d", getenv("NET"), i + 1);
        AwaitReady(ips[i]);
    }
    SleepMs(4000);
    for (int i = 0; i < ENTRIES * CLIENTS; i++) {
        StartThread(run_client, ips[i % ENTRIES]);
        SleepMs(10);
    }
    SleepMs(6000);
    Record("so far %d answered, %d refused, %d failed", answered, refused,
           failed);
    if (answered < 50) {
        GiveUp("the machine is too slow");
    }
    Record("%s starts and is cold for %d ms", u->id, WARMUP_MS);
    cold_until_ms = NowMs() + WARMUP_MS;
    if (HasTrouble()) {
        write_other_entry(u);
        SleepMs(BEAT_MS);
    }
    for (int seq_no = 1; seq_no <= 4; seq_no++) {
        Upstream_Register(u, seq_no,
                          (int)MAX(cold_until_ms - NowMs(), 0));
        SleepMs(BEAT_MS);
    }
    is_over = true;
    SleepMs(1000);
    bool is_bad = worst > BOUND_PER_S;
    Record("%d answered, %d refused, %d failed, %d of them run and without "
           "their answer",
           answered, refused, failed, lost);
    Record("%u requests arrived while the upstream was cold, at most %d in one "
           "second (bound: %.0f)",
           arrivals->len, worst, (double)BOUND_PER_S);
    Record("FAILBACK %s", is_bad ? "is broken" : "held");
    return is_bad ? EXIT_BROKEN : EXIT_HELD;
}
