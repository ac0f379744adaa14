/* Keys on the wire: what callers may send, and what servers, logs and pages
 * must never show. */
#include "common/log.h"
#include "edge/feed_internal.h"
#include "fakes/edge_host.h"
#include "fakes/steering.h"
#include "platform/platform.h"

#include <criterion/criterion.h>
#include <string.h>
#include <unistd.h>

#define KEY          "key0"
#define LONG_BYTES   16000
#define ANSWER_BYTES 512

typedef struct {
    EdgeHost *h;
    int fd;
    const char *id;
    char answer[ANSWER_BYTES];
} Caller;

static EdgeHost *
start(void)
{
    EdgeHost *h = EdgeHost_Create();
    GwRouting *routing = FakeSteering_Routing(2, 3);

    FakeSteering_AddOrganisations(routing, 2);
    routing->hosts[0].routes[1].allows_anonymous = false;
    cr_assert(GwRouter_SetRouting(h->edge->router, routing));
    GwRouting_Unref(routing);
    EdgeHost_AddServer(h, "s1", 4);
    return h;
}

static bool
is_answered(void *ctx)
{
    Caller *c = ctx;

    if (c->answer[0] == '\0') {
        g_strlcpy(c->answer, EdgeHost_Read(c->fd), sizeof(c->answer));
    }
    return c->answer[0] != '\0';
}

static bool
is_served_or_answered(void *ctx)
{
    Caller *c = ctx;

    return is_answered(c) ||
           EdgeHost_CountRequests(&c->h->servers[0], c->id) > 0;
}

/* Sends a request with these header lines. Returns the status of the entry's
 * answer, or 0 if a server received the request. */
static int
send_request(EdgeHost *h, const char *id, const char *fields)
{
    Caller c = {.h = h, .fd = EdgeHost_Connect(h), .id = id};
    char *text = g_strdup_printf("POST /once/%s HTTP/1.1\r\nHost: h\r\n"
                                 "%s: %s\r\n%s\r\n",
                                 id, Platform_Adapter.request_id, id, fields);
    int status = 0;

    EdgeHost_SendText(c.fd, text);
    g_free(text);
    cr_assert(EdgeHost_RunUntil(h, is_served_or_answered, &c), "%s", id);
    if (c.answer[0] != '\0') {
        cr_assert_eq(sscanf(c.answer, "HTTP/1.1 %d", &status), 1);
    }
    else {
        EdgeHost_Answer(&h->servers[0], id);
    }
    close(c.fd);
    return status;
}

static char *
field(const char *name, const char *value)
{
    return g_strdup_printf("%s: %s\r\n", name, value);
}

/* Guards against: a malformed or repeated key admits a request. */
Test(edge_keys, only_one_whole_key_admits_a_request)
{
    char *longest = g_strnfill(LONG_BYTES, 'k');
    const struct {
        const char *value; /* NULL: no such line */
        const char *again; /* second line; or NULL */
        int status;
    } cases[] = {
        {KEY, NULL, 0},        {NULL, NULL, 401},
        {"", NULL, 401},       {KEY, KEY, 401},
        {KEY, "", 401},        {"other", NULL, 401},
        {KEY " x", NULL, 401}, {"Bearer " KEY, NULL, 401},
        {longest, NULL, 401},  {"\xff\xfe", NULL, 401},
        {"key1", NULL, 0},
    };
    EdgeHost *h = start();

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const char *name = Platform_Adapter.credential;
        GString *fields = g_string_new(NULL);
        char id[16];
        for (int k = 0; k < 2; k++) {
            const char *value = k == 0 ? cases[i].value : cases[i].again;
            if (value != NULL) {
                char *line = field(name, value);
                g_string_append(fields, line);
                g_free(line);
            }
        }
        g_snprintf(id, sizeof(id), "a%zu", i);
        cr_expect_eq(send_request(h, id, fields->str), cases[i].status,
                     "case %zu", i);
        g_string_free(fields, TRUE);
    }
    EdgeHost_Free(h);
    g_free(longest);
}

static uint32_t
count_text(const char *text, const char *part)
{
    uint32_t count = 0;

    for (const char *at = text; (at = strcasestr(at, part)) != NULL; at++) {
        count++;
    }
    return count;
}

/* Guards against: a server sees a key, or an organisation that the caller
 * claims. */
Test(edge_keys, a_server_gets_the_organisation_and_never_the_key)
{
    const char *org = Platform_Adapter.organisation;
    char *upper = g_ascii_strup(org, -1);
    char *key_line = field(Platform_Adapter.credential, KEY);
    char *forms[] = {
        g_strdup_printf("%s", key_line),
        g_strdup_printf("%s%s: o1\r\n", key_line, org),
        g_strdup_printf("%s: o1\r\n%s%s: o0\r\n", org, key_line, org),
        g_strdup_printf("%s%s: o1\r\n", key_line, upper),
        g_strdup_printf("Connection: %s\r\n%s: o1\r\n%s", org, org, key_line),
        g_strdup_printf("%sTransfer-Encoding: chunked\r\nTrailer: %s\r\n\r\n"
                        "0\r\n%s: o1\r\n",
                        key_line, org, org),
    };
    char *wanted = field(org, "o0");
    EdgeHost *h = start();

    for (size_t i = 0; i < G_N_ELEMENTS(forms); i++) {
        char id[16];
        g_snprintf(id, sizeof(id), "b%zu", i);
        cr_expect_eq(send_request(h, id, forms[i]), 0, "form %zu", i);
        g_free(forms[i]);
    }
    GString *seen = g_string_new(NULL);
    for (uint32_t k = 0; k < h->servers[0].conn_count; k++) {
        g_string_append(seen, h->servers[0].conns[k].seen->str);
    }
    cr_expect_eq(count_text(seen->str, wanted), G_N_ELEMENTS(forms), "%s",
                 seen->str);
    cr_expect_eq(count_text(seen->str, org), G_N_ELEMENTS(forms));
    cr_expect_eq(count_text(seen->str, KEY), 0);
    g_string_free(seen, TRUE);
    EdgeHost_Free(h);
    g_free(wanted);
    g_free(key_line);
    g_free(upper);
}

/* Guards against: a blank before the colon hides a header from the names that
 * are dropped, and a server reads it. */
Test(edge_keys, a_name_with_a_blank_is_malformed)
{
    const char *const names[] = {Platform_Adapter.organisation,
                                 Platform_Adapter.credential};
    EdgeHost *h = start();

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        char *fields = g_strdup_printf("%s: " KEY "\r\n%s : o1\r\n",
                                       Platform_Adapter.credential, names[i]);
        cr_expect_eq(send_request(h, "blank", fields), 400, "case %zu", i);
        g_free(fields);
    }
    EdgeHost_Free(h);
}

/* Guards against: a key ends up on a page of the entry, or in a fingerprint
 * that is logged and stored. */
Test(edge_keys, no_page_and_no_fingerprint_depends_on_a_key)
{
    static void (*const pages[])(GwEdge * edge, GString * out) = {
        GwStatus_WriteMetrics, GwStatus_WriteDump, GwStatus_Write,
        GwStatus_WriteSuspects};
    char *key_line = field(Platform_Adapter.credential, KEY);
    EdgeHost *h = start();

    cr_expect_eq(send_request(h, "c1", key_line), 0);
    cr_expect_eq(send_request(h, "c2", ""), 401);
    for (size_t i = 0; i < G_N_ELEMENTS(pages); i++) {
        GString *page = g_string_new(NULL);
        pages[i](h->edge, page);
        cr_expect_null(strstr(page->str, KEY), "%s", page->str);
        g_string_free(page, TRUE);
    }
    EdgeHost_Free(h);
    g_free(key_line);
}

static bool
is_connecting(void *ctx)
{
    const Caller *c = ctx;

    return !g_queue_is_empty(&c->h->edge->connecting);
}

static void
drop_keys(GwEdge *edge)
{
    GwRouting *routing = FakeSteering_Routing(3, 3);

    FakeSteering_AddOrganisations(routing, 0);
    cr_assert(GwRouter_SetRouting(edge->router, routing));
    GwRouting_Unref(routing);
}

/* As if a peer had sent the rows just now. */
static void
prove(GwEdge *edge)
{
    GwPeerProof proof = {.as_of_us = GwEdge_BootNow()};
    GwRowSet *none = GwRowSet_Create();

    GwFollower_OnPeerRows(edge->operator_feed->follower, GwEdge_BootNow(),
                          none, true, &proof);
    GwRowSet_Free(none);
}

/* As if the process had been paused for longer than the bound: the bound is
 * shorter than any proof is old. */
static void
age_proof(GwEdge *edge)
{
    edge->settings->revocation_ms = 1;
}

/* Guards against: a request is sent although its key was revoked, or the proof
 * became too old, while the connection was being set up. */
Test(edge_keys, a_key_is_checked_when_the_first_byte_is_sent)
{
    static const struct {
        void (*change)(GwEdge *edge);
        int status;
    } cases[] = {{drop_keys, 401}, {age_proof, 503}};
    char *key_line = field(Platform_Adapter.credential, KEY);

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        EdgeHost *h = start();
        Caller c = {.h = h, .fd = EdgeHost_Connect(h)};
        char *text = g_strdup_printf("POST /once/d HTTP/1.1\r\nHost: h\r\n"
                                     "%s: d\r\n%s\r\n",
                                     Platform_Adapter.request_id, key_line);
        int status = 0;
        h->edge->settings->revocation_ms = 5000;
        prove(h->edge);
        EdgeHost_SendText(c.fd, text);
        cr_assert(EdgeHost_RunUntil(h, is_connecting, &c));
        cases[i].change(h->edge);
        cr_assert(EdgeHost_RunUntil(h, is_answered, &c));
        cr_assert_eq(sscanf(c.answer, "HTTP/1.1 %d", &status), 1);
        cr_expect_eq(status, cases[i].status, "case %zu: %d", i, status);
        cr_expect_eq(EdgeHost_CountRequests(&h->servers[0], "d"), 0);
        g_free(text);
        close(c.fd);
        EdgeHost_Free(h);
    }
    g_free(key_line);
}
