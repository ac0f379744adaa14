#include "standins/site/endless.h"

#include <stdlib.h>
#include <string.h>

/* The fast sender writes so much as soon as the last bytes are acknowledged:
 * up to 64 MB/s by connection, without a queue of its own. */
#define FAST_BYTES    (128u << 10)
#define FAST_EVERY_MS 2
#define SLOW_EVERY_MS 200

struct SiteEndless_s {
    GwConn *conn;
    uv_timer_t timer;
    char *unit; /* text that is sent over and over */
    size_t at;  /* next byte of the unit; used by the slow sender */
    bool is_slow;
};

static const char *const kinds[] = {
    [SITE_ENDLESS_CHUNKED] = "chunked", [SITE_ENDLESS_CLOSE] = "close",
    [SITE_ENDLESS_HEAD] = "head",       [SITE_ENDLESS_BEHIND] = "behind",
    [SITE_ENDLESS_SECOND] = "second",   [SITE_ENDLESS_ANY] = "any",
};

bool
SiteEndlessKind_IsBehind(SiteEndlessKind kind)
{
    return kind == SITE_ENDLESS_BEHIND || kind == SITE_ENDLESS_SECOND;
}

static bool
read_kind(const char *word, SiteEndlessKind *out)
{
    for (size_t i = SITE_ENDLESS_CHUNKED; i < G_N_ELEMENTS(kinds); i++) {
        if (strcmp(kinds[i], word) == 0) {
            *out = (SiteEndlessKind)i;
            return true;
        }
    }
    return false;
}

static bool
read_number(const char *word, uint64_t max, uint32_t *out)
{
    guint64 number;

    if (!g_ascii_string_to_unsigned(word, 10, 1, max, &number, NULL)) {
        return false;
    }
    *out = (uint32_t)number;
    return true;
}

static bool
read_words(char **words, SiteEndlessFault *out)
{
    if (g_strv_length(words) != 4 || !read_kind(words[0], &out->kind)) {
        return false;
    }
    out->is_slow = strcmp(words[1], "slow") == 0;
    return (out->is_slow || strcmp(words[1], "fast") == 0) &&
           read_number(words[2], 1000, &out->permille) &&
           read_number(words[3], UINT32_MAX, &out->servers);
}

bool
SiteEndlessFault_Parse(const char *text, SiteEndlessFault *out)
{
    SiteEndlessFault fault = {0};
    char **words = g_strsplit(text, ",", -1);
    bool ok = strcmp(text, "none") == 0 || read_words(words, &fault);

    g_strfreev(words);
    if (ok) {
        *out = fault;
    }
    return ok;
}

/* Returns the first bytes, which are sent once, and sets the unit that
 * follows. */
static GString *
begin(SiteEndless *e, SiteEndlessKind kind, const char *fields)
{
    GString *first = g_string_new(NULL);
    char *filler = g_strnfill(1024, 'x');

    if (kind != SITE_ENDLESS_BEHIND) {
        g_string_printf(first, "HTTP/1.1 200 OK\r\n%s", fields);
    }
    switch (kind) {
    case SITE_ENDLESS_CHUNKED:
    case SITE_ENDLESS_SECOND:
        g_string_append(first, "Transfer-Encoding: chunked\r\n\r\n");
        e->unit = g_strdup_printf("400\r\n%s\r\n", filler);
        break;
    case SITE_ENDLESS_CLOSE:
        g_string_append(first, "\r\n");
        e->unit = g_strdup(filler);
        break;
    case SITE_ENDLESS_HEAD:
        e->unit = g_strdup_printf("X-Filler: %s\r\n", filler);
        break;
    default:
        e->unit = g_strdup(filler);
        break;
    }
    g_free(filler);
    return first;
}

static void
on_timer(uv_timer_t *timer)
{
    SiteEndless *e = timer->data;
    GString *out = g_string_new(NULL);

    if (e->is_slow) {
        g_string_append_c(out, e->unit[e->at++]);
        e->at = e->unit[e->at] == '\0' ? 0 : e->at;
    }
    else if (GwConn_IsAllAcked(e->conn)) {
        while (out->len < FAST_BYTES) {
            g_string_append(out, e->unit);
        }
    }
    GwConn_Write(e->conn, out);
    g_string_free(out, TRUE);
}

SiteEndless *
SiteEndless_Start(uv_loop_t *loop, GwConn *conn, const SiteEndlessFault *fault,
                  const char *fields)
{
    SiteEndless *e = g_new0(SiteEndless, 1);
    GString *first = begin(e, fault->kind, fields);
    uint64_t every_ms = fault->is_slow ? SLOW_EVERY_MS : FAST_EVERY_MS;

    e->conn = conn;
    e->is_slow = fault->is_slow;
    GwConn_Write(conn, first);
    g_string_free(first, TRUE);
    (void)uv_timer_init(loop, &e->timer);
    e->timer.data = e;
    (void)uv_timer_start(&e->timer, on_timer, every_ms, every_ms);
    return e;
}

static void
free_endless(uv_handle_t *timer)
{
    SiteEndless *e = timer->data;

    g_free(e->unit);
    g_free(e);
}

void
SiteEndless_Free(SiteEndless *e)
{
    if (e != NULL) {
        uv_close((uv_handle_t *)&e->timer, free_endless);
    }
}
