/* The request as a backend server receives it. */
#include "edge/relay.h"

/* TCP_USER_TIMEOUT also counts time in which the receiver's window is closed.
 * While a long body is sent, a server may pause, or an entry be paused. */
#define UPLOAD_TIMEOUT_MS 10000
#define UPLOAD_BYTES      (64u << 10)

/* Header lines that the entry sets itself. */
static char *
write_own_fields(const GwExchange *x, const char *server_id,
                 int64_t time_left_ms)
{
    const GwAdapter *names = x->edge->adapter;
    const char *organisation = GwRequest_Organisation(x->request);
    GString *out = g_string_new(NULL);

    g_string_append_printf(out, "%s: %" G_GINT64_FORMAT "\r\n%s: %s\r\n",
                           names->time_left, time_left_ms,
                           names->expect_server, server_id);
    if (organisation != NULL) {
        g_string_append_printf(out, "%s: %s\r\n", names->organisation,
                               organisation);
    }
    return g_string_free(out, FALSE);
}

/* Whatever the caller sent under the names that the entry sets is dropped, and
 * its key never reaches a server. */
GString *
GwExchange_WriteRequest(const GwExchange *x, const char *server_id,
                        int64_t time_left_ms)
{
    const GwAdapter *names = x->edge->adapter;
    const char *const drop[] = {names->time_left,
                                names->expect_server,
                                "expect",
                                names->credential,
                                names->organisation,
                                GW_RELAY_PROCESS,
                                GW_RELAY_OBJECTIVE,
                                NULL};
    char *extra = write_own_fields(x, server_id, time_left_ms);
    GwHttpWriteOptions how = {.drop = drop, .extra = extra};
    GString *out = g_string_sized_new(x->msg->body->len + 512);

    GwHttpMessage_WriteRequest(x->msg, &how, out);
    g_free(extra);
    return out;
}

void
GwExchange_SetUserTimeout(const GwExchange *x, GwConn *conn, uint32_t ms)
{
#if GW_MUTANT == 158 /* breaks: a server that pauses loses an upload */
    return;
#endif
    GwConn_SetUserTimeout(
        conn, x->msg->body->len > UPLOAD_BYTES ? UPLOAD_TIMEOUT_MS : ms);
}
