/* Writing to connections. */
#include "http/conn_internal.h"

#include <string.h>

typedef struct {
    uv_write_t req;
    GString *text; /* owned */
    GwConn *conn;
    GwHttpHold hold;
} PendingWrite;

static void
free_write(PendingWrite *w)
{
    GwHttpHold_Release(&w->hold);
    g_string_free(w->text, TRUE);
    g_free(w);
}

static void
on_write_done(uv_write_t *req, int status)
{
    PendingWrite *w = (PendingWrite *)req;
    GwConn *c = w->conn;

    c->writes--;
    free_write(w);
    if (!c->is_closing && status != 0) {
        GwConn_End(c, GwConn_EndOfError(status));
    }
    GwConn_UpdateReading(c);
    if (!c->is_closing && !c->is_finishing && c->params.ops->drained != NULL) {
        c->params.ops->drained(c->params.owner);
    }
    GwConn_FreeIfUnused(c);
}

/* Passes the bytes to the kernel at once if possible, which saves a wake-up
 * for nearly all messages. Returns the number of bytes that it took. */
static size_t
write_now(GwConn *c, const GString *text)
{
    c->bytes_out += text->len;
    c->sent_us = GwConn_NowUs();
    if (c->writes > 0 || c->is_connecting) {
        return 0;
    }
    uv_buf_t whole = uv_buf_init(text->str, (unsigned int)text->len);
    int rc = uv_try_write((uv_stream_t *)&c->tcp, &whole, 1);
    return rc > 0 ? (size_t)rc : 0;
}

/* Queues the text from `sent` on; takes ownership. The whole text is counted
 * until it is written, because its memory is freed at once. */
static void
queue_write(GwConn *c, GString *text, size_t sent)
{
    PendingWrite *w = g_new0(PendingWrite, 1);
    uv_buf_t rest =
        uv_buf_init(text->str + sent, (unsigned int)(text->len - sent));

    w->conn = c;
    w->text = text;
#if GW_MUTANT != 142 /* breaks: bytes queued for slow readers are free */
    /* A request is counted as received; the budget allows for its copy. */
    w->hold.budget = c->params.requests ? c->params.budget : NULL;
#endif
    w->hold.is_response = true;
    GwHttpHold_Set(&w->hold, text->len);
    c->writes++;
    if (uv_write(&w->req, (uv_stream_t *)&c->tcp, &rest, 1, on_write_done) !=
        0) {
        c->writes--;
        free_write(w);
    }
    GwConn_UpdateReading(c);
}

void
GwConn_Write(GwConn *c, const GString *text)
{
    if (c->is_closing || text->len == 0) {
        return;
    }
    size_t sent = write_now(c, text);
    if (sent < text->len) {
        queue_write(
            c, g_string_new_len(text->str + sent, (gssize)(text->len - sent)),
            0);
    }
}

void
GwConn_WriteOwned(GwConn *c, GString *text)
{
    size_t sent = 0;

    if (!c->is_closing && text->len > 0) {
        sent = write_now(c, text);
    }
    if (c->is_closing || sent == text->len) {
        g_string_free(text, TRUE);
        return;
    }
    queue_write(c, text, sent);
}

size_t
GwConn_QueuedBytes(const GwConn *c)
{
    return uv_stream_get_write_queue_size((const uv_stream_t *)&c->tcp);
}

void
GwConn_WriteGet(GwConn *c, const char *target, const char *host)
{
    GString *out = g_string_new(NULL);

    g_string_printf(out, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, host);
    GwConn_Write(c, out);
    g_string_free(out, TRUE);
}

void
GwConn_WritePost(GwConn *c, const char *target, const char *host,
                 const char *body)
{
    GString *out = g_string_new(NULL);

    g_string_printf(out,
                    "POST %s HTTP/1.1\r\nHost: %s\r\n"
                    "Content-Type: application/json\r\n"
                    "Content-Length: %zu\r\n\r\n%s",
                    target, host, strlen(body), body);
    GwConn_Write(c, out);
    g_string_free(out, TRUE);
}
