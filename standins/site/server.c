#include "http/listener.h"
#include "standins/site/site.h"

#include <stdlib.h>
#include <string.h>

typedef struct {
    SiteServer *server;
    GwClient *client;
    GList node;         /* in the server's links */
    GwHttpMessage *msg; /* being run, or queued; NULL */
    uv_timer_t timer;   /* of the run */
    int64_t asked_us;
    int64_t left_ms; /* of a run, and of a wait for a slot; < 0: not said */
    bool running;
} Link;

struct SiteServer_s {
    SiteServerParams params;
    GwHttpListener *serve; /* NULL between a crash and the restart */
    uv_timer_t process;    /* the next crash, or the restart after one */
    GQueue links;          /* Link */
    uint32_t running;
    GQueue queued;          /* Link */
    GHashTable *remembered; /* object keys */
    uint32_t served;
    double limit_per_s; /* that it names; 0: none */
    int64_t limit_us;   /* it counts from then on */
    GArray *arrivals;   /* since then: int64_t us */
    uint32_t above_limit;
    int64_t drained_us; /* 0: not */
    uint32_t late;
};

/* Requests that wait for a slot; above it they are refused. */
#define QUEUE_MAX 9
/* From the report that it leaves to the last request. */
#define DRAIN_US 2500000
/* From the begin of a run to the crash that it causes. */
#define CRASH_MS 15

static bool
chance(SiteServer *s, uint32_t permille)
{
    return GwRng_Below(s->params.rng, 1000) < permille;
}

static void
write_answer(Link *link, uint16_t status, const char *extra, const char *id,
             const char *body)
{
    const GwAdapter *a = link->server->params.adapter;
    GString *text = g_string_new(extra);

    if (link->server->limit_per_s > 0) {
        g_string_append_printf(text, "%s: %.1f\r\n", a->limit,
                               link->server->limit_per_s);
    }
    char *fields = g_strdup_printf(
        "%s: %s\r\n%s: %u,%u,%u\r\n%s", a->request_id, id, a->load,
        link->server->running, link->server->queued.length,
        link->server->params.slots, text->str);
    g_string_free(text, TRUE);
    GwHttpResponse answer = {.status = status,
                             .type = "application/octet-stream",
                             .fields = fields,
                             .body = body};

    GwClient_Respond(link->client, &answer);
    g_free(fields);
}

static const char *
id_of(const Link *link)
{
    const char *id =
        GwHttpMessage_Get(link->msg, link->server->params.adapter->request_id);

    return id != NULL ? id : "";
}

static void run(Link *link);
static void refuse(Link *link, uint16_t status);

/* Gives the slot to the next one whose time has not passed in the queue. */
static void
run_next(SiteServer *s)
{
    int64_t now_us = (int64_t)(uv_hrtime() / 1000);
    Link *next;

    while (s->running < s->params.slots &&
           (next = g_queue_pop_head(&s->queued)) != NULL) {
        int64_t until_us = next->asked_us + next->left_ms * 1000;
        if (next->left_ms >= 0 && now_us > until_us) {
            refuse(next, 503);
        }
        else {
            run(next);
        }
    }
}

static void
finish(Link *link)
{
    SiteServer *s = link->server;

    GwHttpMessage_Free(link->msg);
    link->msg = NULL;
    if (link->running) {
        link->running = false;
        s->running--;
        run_next(s);
    }
}

static void
free_link(uv_handle_t *handle)
{
    g_free(handle->data);
}

/* The connection is gone, and what ran for it goes on nowhere. */
static void
on_gone(void *owner, GwClient *client)
{
    Link *link = *GwClient_UserData(client);

    (void)owner;
    if (link != NULL) {
        (void)g_queue_remove(&link->server->queued, link);
        finish(link);
        g_queue_unlink(&link->server->links, &link->node);
        uv_close((uv_handle_t *)&link->timer, free_link);
    }
}

/* ---- Crashes ------------------------------------------------------------- */

static const GwHttpListenerOps ops;

static void
on_restart(uv_timer_t *timer)
{
    SiteServer *s = timer->data;

    s->serve =
        GwHttpListener_Create(s->params.loop, s->params.address, &ops, s);
    g_assert_nonnull(s->serve);
    s->params.restarted(s->params.owner, s->params.number);
}

/* The process ends, and all that it ran. */
static void
on_crash(uv_timer_t *timer)
{
    SiteServer *s = timer->data;
    GList *at;

    GwHttpListener_Free(s->serve);
    s->serve = NULL;
    while ((at = g_queue_pop_head_link(&s->links)) != NULL) {
        Link *link = at->data;
        GwHttpMessage_Free(link->msg);
        uv_close((uv_handle_t *)&link->timer, free_link);
    }
    g_queue_clear(&s->queued);
    s->running = 0;
    SiteServer_Forget(s);
    (void)uv_timer_start(&s->process, on_restart, s->params.restart_ms, 0);
}

static bool
is_crashing(const Link *link)
{
    return link->server->params.journal != NULL &&
           Site_Crashes(link->msg->target->str);
}

static void
begin_crash(Link *link)
{
    SiteServer *s = link->server;

    SiteJournal_Crashed(s->params.journal, link->msg->target->str);
    if (!uv_is_active((uv_handle_t *)&s->process)) {
        (void)uv_timer_start(&s->process, on_crash, CRASH_MS, 0);
    }
}

/* ---- Runs ---------------------------------------------------------------- */

static void
on_worked(uv_timer_t *timer)
{
    Link *link = timer->data;
    SiteServer *s = link->server;
    char *seal =
        g_strdup_printf("%s: %s\r\n", s->params.adapter->seal, s->params.id);
    char *id = g_strdup(id_of(link));

    s->served++;
    if (chance(s, s->params.lose_answer)) {
        GwClient_Drop(link->client);
    }
    else {
        write_answer(link, 200, seal, id, id);
        if (chance(s, s->params.stray)) {
            write_answer(link, 200, seal, id, id);
        }
        finish(link);
    }
    g_free(id);
    g_free(seal);
}

/* The time that it was given counts from the start of the run. */
static void
on_time_over(uv_timer_t *timer)
{
    Link *link = timer->data;
    SiteServer *s = link->server;
    char *seal =
        g_strdup_printf("%s: %s\r\n", s->params.adapter->seal, s->params.id);

    write_answer(link, 504, seal, id_of(link), "");
    finish(link);
    g_free(seal);
}

static void
run(Link *link)
{
    SiteServer *s = link->server;
    const char *key =
        GwHttpMessage_Get(link->msg, s->params.adapter->object_key);
    bool warm = key != NULL && g_hash_table_contains(s->remembered, key);
    uint32_t cold_ms = s->params.work_ms;
    if (s->params.spread_ms > 0) {
        cold_ms += GwRng_Below(s->params.rng, s->params.spread_ms);
    }
    uint32_t work_ms = warm ? cold_ms * 3 / 10 : cold_ms;

    if (s->params.journal != NULL) {
        SiteJournal_Ran(s->params.journal, id_of(link));
    }
    if (key != NULL) {
        g_hash_table_add(s->remembered, g_strdup(key));
    }
    link->running = true;
    s->running++;
    if (is_crashing(link)) {
        begin_crash(link);
        return;
    }
    if (link->left_ms >= 0 && link->left_ms < work_ms) {
        (void)uv_timer_start(&link->timer, on_time_over,
                             (uint64_t)link->left_ms, 0);
        return;
    }
    (void)uv_timer_start(&link->timer, on_worked, work_ms, 0);
}

static void
refuse(Link *link, uint16_t status)
{
    char *extra =
        g_strdup_printf("%s: 1\r\n", link->server->params.adapter->not_run);

    write_answer(link, status, extra, id_of(link), "");
    g_free(extra);
    finish(link);
}

static Link *
link_of(SiteServer *s, GwClient *client)
{
    Link *link = *GwClient_UserData(client);

    if (link == NULL) {
        link = g_new0(Link, 1);
        link->server = s;
        link->client = client;
        (void)uv_timer_init(s->params.loop, &link->timer);
        link->timer.data = link;
        link->node.data = link;
        g_queue_push_tail_link(&s->links, &link->node);
        *GwClient_UserData(client) = link;
    }
    return link;
}

/* How many came in the span that ends now, against what the limit allows. */
static void
count_arrival(SiteServer *s, int64_t now_us)
{
    double most = s->limit_per_s * SITE_LIMIT_OVER * SITE_LIMIT_SPAN_US / 1e6 +
                  SITE_LIMIT_SLACK;
    guint old = 0;

    if (s->limit_per_s == 0 || now_us < s->limit_us) {
        return;
    }
    g_array_append_val(s->arrivals, now_us);
    while (g_array_index(s->arrivals, int64_t, old) <
           now_us - SITE_LIMIT_SPAN_US) {
        old++;
    }
    g_array_remove_range(s->arrivals, 0, old);
    if (s->arrivals->len > most) {
        s->above_limit =
            MAX(s->above_limit, s->arrivals->len - (uint32_t)most);
    }
}

static void
on_asked(void *owner, GwClient *client, GwHttpMessage *msg)
{
    SiteServer *s = owner;
    Link *link = link_of(s, client);
    const char *expected =
        GwHttpMessage_Get(msg, s->params.adapter->expect_server);
    const char *left = GwHttpMessage_Get(msg, s->params.adapter->time_left);
    int64_t now_us = (int64_t)(uv_hrtime() / 1000);

    count_arrival(s, now_us);
    link->msg = msg;
    link->asked_us = now_us;
    link->left_ms = left != NULL ? strtoll(left, NULL, 10) : -1;
    if (s->drained_us != 0 && now_us > s->drained_us + DRAIN_US) {
        s->late++;
    }
    if (is_crashing(link)) {
        SiteJournal_CrashReached(s->params.journal, msg->target->str);
    }
    if (expected != NULL && strcmp(expected, s->params.id) != 0) {
        refuse(link, 421);
    }
    else if (chance(s, s->params.refuse) || s->queued.length >= QUEUE_MAX) {
        refuse(link, 503);
    }
    else if (s->running < s->params.slots) {
        run(link);
    }
    else {
        g_queue_push_tail(&s->queued, link);
    }
}

static const GwHttpListenerOps ops = {.asked = on_asked, .gone = on_gone};

SiteServer *
SiteServer_Create(const SiteServerParams *params)
{
    SiteServer *s = g_new0(SiteServer, 1);

    s->params = *params;
    s->remembered =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    s->serve = GwHttpListener_Create(params->loop, params->address, &ops, s);
    if (s->serve == NULL) {
        g_hash_table_destroy(s->remembered);
        g_free(s);
        return NULL;
    }
    s->arrivals = g_array_new(FALSE, FALSE, sizeof(int64_t));
    (void)uv_timer_init(params->loop, &s->process);
    s->process.data = s;
    return s;
}

uint32_t
SiteServer_Served(const SiteServer *s)
{
    return s->served;
}

void
SiteServer_SetFaults(SiteServer *s, uint32_t permille)
{
    s->params.lose_answer = permille;
    s->params.stray = permille;
    s->params.refuse = permille;
}

void
SiteServer_Forget(SiteServer *s)
{
    g_hash_table_remove_all(s->remembered);
}

void
SiteServer_MarkDrained(SiteServer *s, int64_t now_us)
{
    s->drained_us = now_us;
}

uint32_t
SiteServer_Late(const SiteServer *s)
{
    return s->late;
}

void
SiteServer_SetLimit(SiteServer *s, double per_s)
{
    s->limit_per_s = per_s;
    s->limit_us = (int64_t)(uv_hrtime() / 1000) + SITE_CONTACT_US;
    g_array_set_size(s->arrivals, 0);
}

uint32_t
SiteServer_AboveLimit(const SiteServer *s)
{
    return s->above_limit;
}
