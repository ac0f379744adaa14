#include "standins/site/organisations.h"

#include <stdlib.h>
#include <string.h>

#define LOOKUP_EVERY_US 2000000
#define PAUSE_MS        8
/* Pause of a caller that repeats a crashing request. */
#define REPEAT_PAUSE_MS 150
/* Pause of a caller between large answers. */
#define LARGE_PAUSE_MS 1000
/* A slow caller reads at most 64 KB, the size of one read, each 0.2 s. */
#define SLOW_READ_MS 200
/* A caller that does not read sends so many requests, which is more than the
 * buffers of the kernel hold answers for, and closes after 3 s. */
#define UNREAD_DEPTH 12
#define UNREAD_MS    3000
/* With rest_ms, one in this many pauses is long. */
#define LONG_PAUSE_ONE_IN 8

typedef enum { STEP_LOOKUP = 1, STEP_CONNECT, STEP_ANSWER, STEP_PAUSE } Step;

struct SiteCaller_s {
    SiteCallerParams params;
    GwConn *conn;
    Step step;
    bool to_directory; /* the connection is to a directory */
    bool stopping;
    bool idle;
    GPtrArray *entries; /* addresses */
    int64_t lookup_us;
    char at[32];      /* address of the current or last entry */
    uint32_t process; /* of that entry, see SiteJournal_CurrentProcess */
    uint64_t seq;
    GQueue sent; /* SiteRequest, oldest first */
    uv_timer_t timer;
    SiteReading reading;
    bool is_unread;     /* nothing is read from the connection */
    uv_timer_t read_on; /* of a slow caller: the next read */
};

static const GwConnOps ops;

static int64_t
now_us(void)
{
    return (int64_t)(uv_hrtime() / 1000);
}

static void advance(SiteCaller *c);

static void
on_timer(uv_timer_t *timer)
{
    advance(timer->data);
}

static void
pause_for(SiteCaller *c, uint32_t ms)
{
    c->step = STEP_PAUSE;
    (void)uv_timer_start(&c->timer, on_timer, ms, 0);
}

static void
disconnect(SiteCaller *c)
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

    disconnect(c);
    c->is_unread = false;
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
write_request(SiteCaller *c, GString *out, bool first)
{
    static const char *const paths[] = {"look-up", "look-up", "booking",
                                        "confirm"};
    const GwAdapter *a = c->params.adapter;
    bool crashes = c->params.crashes;
    uint32_t kind = crashes ? c->params.number % G_N_ELEMENTS(paths)
                            : GwRng_Below(c->params.rng, G_N_ELEMENTS(paths));
    bool once = kind >= 2;
    const char *object = c->params.is_large ? "large" : "x";
    SiteOrganisations *organisations = c->params.organisations;
    char id[48];

    g_snprintf(id, sizeof(id), "%c%u-%lu", crashes ? 'x' : 'c',
               c->params.number, (unsigned long)++c->seq);
    g_string_append_printf(
        out,
        "%s /%s/%s HTTP/1.1\r\nHost: demo.example\r\n%s: %s\r\n"
        "%s: %u\r\n%s: %u\r\n%s",
        once ? "POST" : "GET", paths[kind], crashes ? "crash" : object,
        a->request_id, id, a->object_key,
        crashes ? 0 : GwRng_Below(c->params.rng, c->params.objects),
        a->time_left, c->params.left_ms, once ? "Content-Length: 0\r\n" : "");
    if (organisations != NULL) {
        g_string_append_printf(
            out, "%s: %s\r\n", a->credential,
            SiteOrganisations_Send(organisations, c->params.number, id));
    }
    g_string_append(out, "\r\n");
    SiteRequestInfo sending = {.id = id,
                               .once = once,
                               .entry = c->at,
                               .process = c->process,
                               .first = first};
    g_queue_push_tail(&c->sent, SiteJournal_Sent(c->params.journal, &sending));
}

static bool
reads_slowly(const SiteCaller *c)
{
    return c->reading == SITE_READING_SLOW ||
           (c->reading == SITE_READING_MIXED && c->params.number % 2 == 0);
}

static bool
reads_nothing(const SiteCaller *c)
{
    return c->reading == SITE_READING_NONE ||
           (c->reading == SITE_READING_MIXED && c->params.number % 2 == 1);
}

static void
send_requests(SiteCaller *c, bool fresh)
{
    GString *out = g_string_new(NULL);
    uint32_t depth = MAX(c->params.depth, 1);

    if (reads_nothing(c)) {
        depth = UNREAD_DEPTH;
        c->is_unread = true;
        GwConn_Pause(c->conn, true);
        (void)uv_timer_start(&c->timer, on_timer, UNREAD_MS, 0);
    }
    for (uint32_t i = 0; i < depth; i++) {
        write_request(c, out, fresh && i == 0);
    }
    c->step = STEP_ANSWER;
    write_text(c, out);
}

/* Ends all requests that were sent on a closed connection. */
static void
end_pending(SiteCaller *c, SiteOutcome outcome)
{
    SiteResult end = {.outcome = outcome};
    SiteRequest *req;

    while ((req = g_queue_pop_head(&c->sent)) != NULL) {
        SiteJournal_Ended(req, &end);
    }
}

static void
query_directory(SiteCaller *c)
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

static bool
is_stale(const SiteCaller *c)
{
    return now_us() - c->lookup_us > LOOKUP_EVERY_US;
}

static void
advance(SiteCaller *c)
{
    if (c->is_unread) {
        disconnect(c);
        end_pending(c, SITE_REQUEST_ABANDONED);
    }
    if (c->stopping) {
        disconnect(c);
        c->idle = true;
        return;
    }
    if (c->conn != NULL && !c->to_directory &&
        (c->params.keeps_entry || !is_stale(c))) {
        send_requests(c, false);
        return;
    }
    disconnect(c);
    bool stays = c->params.keeps_entry && c->at[0] != '\0';
    if (!stays && (c->entries->len == 0 || is_stale(c))) {
        c->step = STEP_LOOKUP;
        c->to_directory = true;
        if (!connect_to(c, pick(c, c->params.directories))) {
            pause_for(c, 100);
        }
        return;
    }
    c->to_directory = false;
    c->step = STEP_CONNECT;
    if (!stays) {
        g_strlcpy(c->at, pick(c, c->entries), sizeof(c->at));
    }
    if (!connect_to(c, c->at)) {
        pause_for(c, 100);
    }
}

static void
on_connected(void *owner)
{
    SiteCaller *c = owner;

    if (c->to_directory) {
        query_directory(c);
    }
    else {
        c->process = SiteJournal_CurrentProcess(c->params.journal, c->at);
        send_requests(c, true);
    }
}

/* Stores the entries of a directory answer: every quoted string that is an
 * address. */
static void
store_directory(SiteCaller *c, const GwHttpMessage *msg)
{
    char **words = g_strsplit(msg->body->str, "\"", -1);
    struct sockaddr_in at;

    c->lookup_us = now_us();
    g_ptr_array_set_size(c->entries, 0);
    for (char **w = words; *w != NULL; w++) {
        if (GwConn_ParseAddress(*w, &at)) {
            g_ptr_array_add(c->entries, g_strdup(*w));
        }
    }
    g_strfreev(words);
}

/* Records the answer to the oldest pending request. Only the last of several
 * pipelined answers can announce the end of the connection, so the others
 * count as closing. */
static void
record_answer(SiteCaller *c, const GwHttpMessage *msg)
{
    SiteRequest *req = g_queue_pop_head(&c->sent);
    SiteResult end = {
        .has_retry_after = GwHttpMessage_Get(msg, "retry-after") != NULL,
        .is_closing = !msg->keep_alive || !g_queue_is_empty(&c->sent),
        .for_organisation = msg->status == 401 || msg->status == 429,
        .is_broken_off = msg->status == 502,
    };

    if (msg->status == 200) {
        end.outcome = SITE_REQUEST_ANSWERED;
        char *body = Site_MakeBody(SiteRequest_Id(req), c->params.is_large);
        end.wrong = strcmp(msg->body->str, body) != 0;
        g_free(body);
    }
    else if (msg->status == 503 || msg->status == 429) {
        end.outcome = SITE_REQUEST_REFUSED;
    }
    else if (msg->status == 401) {
        end.outcome = SITE_REQUEST_UNAUTHORIZED;
    }
    else {
        end.outcome = SITE_REQUEST_UNKNOWN;
    }
    if (c->params.organisations != NULL) {
        SiteOrganisations_Ended(c->params.organisations, SiteRequest_Id(req),
                                msg->status);
    }
    SiteJournal_Ended(req, &end);
}

static uint32_t
pause_ms(SiteCaller *c)
{
    bool rests = c->params.rest_ms > 0 &&
                 GwRng_Below(c->params.rng, LONG_PAUSE_ONE_IN) == 0;

    if (rests) {
        return GwRng_Below(c->params.rng, c->params.rest_ms);
    }
    return c->params.is_large ? LARGE_PAUSE_MS : PAUSE_MS;
}

static void
on_message(void *owner, GwHttpMessage *msg)
{
    SiteCaller *c = owner;
    uint32_t wait_ms = pause_ms(c);

    if (c->to_directory) {
        if (msg->status == 200) {
            store_directory(c, msg);
        }
        disconnect(c);
        wait_ms = c->entries->len > 0 ? 0 : 100;
    }
    else {
        const char *later = GwHttpMessage_Get(msg, "retry-after");
        if (g_queue_is_empty(&c->sent)) {
            SiteJournal_Stray(c->params.journal);
        }
        else {
            record_answer(c, msg);
        }
        if (later != NULL) {
            wait_ms = (uint32_t)(g_ascii_strtod(later, NULL) * 1000);
        }
        if (!msg->keep_alive) {
            disconnect(c);
            end_pending(c, SITE_REQUEST_PIPELINED);
        }
    }
    GwHttpMessage_Free(msg);
    if (c->params.crashes && !c->to_directory) {
        disconnect(c);
        wait_ms = REPEAT_PAUSE_MS;
    }
    if (g_queue_is_empty(&c->sent)) {
        pause_for(c, wait_ms);
    }
}

static void
on_read_on(uv_timer_t *timer)
{
    SiteCaller *c = timer->data;

    if (c->conn != NULL && !c->is_unread) {
        GwConn_Pause(c->conn, false);
    }
}

static void
on_read(void *owner)
{
    SiteCaller *c = owner;

    if (!c->to_directory && c->conn != NULL && reads_slowly(c)) {
        GwConn_Pause(c->conn, true);
        (void)uv_timer_start(&c->read_on, on_read_on, SLOW_READ_MS, 0);
    }
}

static void
on_ended(void *owner, GwConnEnd end)
{
    SiteCaller *c = owner;

    if (end == GW_CONN_MALFORMED) {
        disconnect(c);
        SiteJournal_Stray(c->params.journal);
    }
    c->conn = NULL;
    end_pending(c,
                c->is_unread ? SITE_REQUEST_ABANDONED : SITE_REQUEST_CLOSED);
    if (c->step == STEP_CONNECT) {
        c->at[0] = '\0'; /* the connection was refused */
    }
    if (c->step != STEP_PAUSE) {
        c->lookup_us = 0;
        pause_for(c, 50);
    }
}

static const GwConnOps ops = {
    .connected = on_connected,
    .message = on_message,
    .read = on_read,
    .ended = on_ended,
};

SiteCaller *
SiteCaller_Create(const SiteCallerParams *params)
{
    SiteCaller *c = g_new0(SiteCaller, 1);

    c->params = *params;
    c->entries = g_ptr_array_new_with_free_func(g_free);
    (void)uv_timer_init(params->loop, &c->timer);
    c->timer.data = c;
    (void)uv_timer_init(params->loop, &c->read_on);
    c->read_on.data = c;
    pause_for(c, GwRng_Below(params->rng, 50));
    return c;
}

void
SiteCaller_SetReading(SiteCaller *c, SiteReading reading)
{
    c->reading = c->params.is_large ? reading : SITE_READING_USUAL;
}

bool
SiteReading_Parse(const char *word, SiteReading *out)
{
    static const char *const names[] = {
        [SITE_READING_USUAL] = "usual",
        [SITE_READING_SLOW] = "slow",
        [SITE_READING_NONE] = "none",
        [SITE_READING_MIXED] = "mixed",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (strcmp(names[i], word) == 0) {
            *out = (SiteReading)i;
            return true;
        }
    }
    return false;
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
