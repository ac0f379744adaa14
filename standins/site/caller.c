#include "standins/site/site.h"

#include <stdlib.h>
#include <string.h>

#define LOOKUP_EVERY_US 2000000
#define LEFT_MS         3000
#define PAUSE_MS        8
#define OBJECTS         20

typedef enum { STEP_LOOKUP = 1, STEP_CONNECT, STEP_ANSWER, STEP_PAUSE } Step;

struct SiteCaller_s {
    SiteCallerParams params;
    GwConn *conn;
    Step step;
    bool to_directory; /* the connection is to a directory */
    bool stopping;
    bool idle;
    GPtrArray *entries; /* addresses */
    int64_t looked_us;
    uint64_t seq;
    char id[64];
    bool once;
    int64_t sent_us;
    uv_timer_t timer;
};

static const GwConnOps ops;

static int64_t
now_us(void)
{
    return (int64_t)(uv_hrtime() / 1000);
}

static void next(SiteCaller *c);

static void
on_timer(uv_timer_t *timer)
{
    next(timer->data);
}

static void
pause_for(SiteCaller *c, uint32_t ms)
{
    c->step = STEP_PAUSE;
    (void)uv_timer_start(&c->timer, on_timer, ms, 0);
}

static void
hang_up(SiteCaller *c)
{
    if (c->conn != NULL) {
        GwConn_Close(c->conn);
        c->conn = NULL;
    }
}

static bool
connect_to(SiteCaller *c, const char *address)
{
    GwConnParams params = {
        .loop = c->params.loop,
        .ops = &ops,
        .owner = c,
        .head_max = 64 << 10,
        .body_max = 1 << 20,
    };

    hang_up(c);
    c->conn = GwConn_Connect(&params, address);
    return c->conn != NULL;
}

static const char *
pick(SiteCaller *c, const GPtrArray *list)
{
    return list->pdata[GwRng_Below(c->params.rng, list->len)];
}

static void
write_text(SiteCaller *c, GString *out)
{
    GwConn_Write(c->conn, out);
    g_string_free(out, TRUE);
}

static void
send_request(SiteCaller *c)
{
    static const char *const paths[] = {"look-up", "look-up", "booking",
                                        "confirm"};
    const GwAdapter *a = c->params.adapter;
    uint32_t kind = GwRng_Below(c->params.rng, G_N_ELEMENTS(paths));
    GString *out = g_string_new(NULL);

    c->once = kind >= 2;
    g_snprintf(c->id, sizeof(c->id), "c%u-%lu", c->params.number,
               (unsigned long)++c->seq);
    g_string_printf(out,
                    "%s /%s/x HTTP/1.1\r\nHost: demo.example\r\n%s: %s\r\n"
                    "%s: %u\r\n%s: %d\r\n%s\r\n",
                    c->once ? "POST" : "GET", paths[kind], a->request_id,
                    c->id, a->object_key, GwRng_Below(c->params.rng, OBJECTS),
                    a->time_left, LEFT_MS,
                    c->once ? "Content-Length: 0\r\n" : "");
    c->params.report->sent++;
    c->sent_us = now_us();
    c->step = STEP_ANSWER;
    write_text(c, out);
}

static void
ask_directory(SiteCaller *c)
{
    const GwAdapter *a = c->params.adapter;
    GString *out = g_string_new(NULL);

    g_string_printf(out,
                    "GET %s?name=demo.example&%s=%s&%s=%s HTTP/1.1\r\n"
                    "Host: d\r\n\r\n",
                    a->directory_path, a->directory_region, c->params.region,
                    a->directory_domain, c->params.domain);
    write_text(c, out);
}

static void
next(SiteCaller *c)
{
    if (c->stopping) {
        hang_up(c);
        c->idle = true;
        return;
    }
    bool stale = now_us() - c->looked_us > LOOKUP_EVERY_US;
    if (c->entries->len == 0 || stale) {
        c->step = STEP_LOOKUP;
        c->to_directory = true;
        if (!connect_to(c, pick(c, c->params.directories))) {
            pause_for(c, 100);
        }
        return;
    }
    if (c->conn != NULL && !c->to_directory) {
        send_request(c);
        return;
    }
    c->to_directory = false;
    c->step = STEP_CONNECT;
    if (!connect_to(c, pick(c, c->entries))) {
        pause_for(c, 100);
    }
}

static void
on_connected(void *owner)
{
    SiteCaller *c = owner;

    if (c->to_directory) {
        ask_directory(c);
    }
    else {
        send_request(c);
    }
}

/* The quoted strings of the answer that are addresses. */
static void
take_directory(SiteCaller *c, const GwHttpMessage *msg)
{
    char **words = g_strsplit(msg->body->str, "\"", -1);
    struct sockaddr_in at;

    c->looked_us = now_us();
    g_ptr_array_set_size(c->entries, 0);
    for (char **w = words; *w != NULL; w++) {
        if (GwConn_ParseAddress(*w, &at)) {
            g_ptr_array_add(c->entries, g_strdup(*w));
        }
    }
    g_strfreev(words);
}

static uint32_t
runs_of(const SiteCaller *c)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(c->params.runs, c->id));
}

static void
judge(SiteCaller *c, const GwHttpMessage *msg)
{
    SiteReport *r = c->params.report;
    int64_t took_us = now_us() - c->sent_us;

    if (msg->status == 200) {
        r->answered++;
        r->wrong += strcmp(msg->body->str, c->id) != 0;
        g_array_append_val(r->latencies_us, took_us);
    }
    else if (msg->status == 503) {
        r->not_run++;
        r->false_refusals += c->once && runs_of(c) > 0;
    }
    else {
        r->unknown++;
    }
    r->doubled += c->once && runs_of(c) > 1;
}

static void
on_message(void *owner, GwHttpMessage *msg)
{
    SiteCaller *c = owner;
    uint32_t wait_ms = PAUSE_MS;

    if (c->to_directory) {
        if (msg->status == 200) {
            take_directory(c, msg);
        }
        hang_up(c);
        wait_ms = c->entries->len > 0 ? 0 : 100;
    }
    else {
        const char *later = GwHttpMessage_Get(msg, "retry-after");
        judge(c, msg);
        if (later != NULL) {
            wait_ms = (uint32_t)(g_ascii_strtod(later, NULL) * 1000);
        }
        if (!msg->keep_alive) {
            hang_up(c);
        }
    }
    GwHttpMessage_Free(msg);
    pause_for(c, wait_ms);
}

static void
on_ended(void *owner, GwConnEnd end)
{
    SiteCaller *c = owner;

    if (end == GW_CONN_BAD) {
        hang_up(c);
    }
    c->conn = NULL;
    if (c->step == STEP_ANSWER) {
        c->params.report->lost++;
        c->params.report->doubled += c->once && runs_of(c) > 1;
    }
    if (c->step != STEP_PAUSE) {
        c->looked_us = 0;
        pause_for(c, 50);
    }
}

static const GwConnOps ops = {
    .connected = on_connected, .message = on_message, .ended = on_ended};

SiteCaller *
SiteCaller_Create(const SiteCallerParams *params)
{
    SiteCaller *c = g_new0(SiteCaller, 1);

    c->params = *params;
    c->entries = g_ptr_array_new_with_free_func(g_free);
    (void)uv_timer_init(params->loop, &c->timer);
    c->timer.data = c;
    pause_for(c, GwRng_Below(params->rng, 50));
    return c;
}

void
SiteCaller_Stop(SiteCaller *c)
{
    c->stopping = true;
}

bool
SiteCaller_IsIdle(const SiteCaller *c)
{
    return c->idle;
}
