#include "admin/http_internal.h"
#include "common/log_events.h"
#include "config/model.h"
#include "godwitridge_errors.h"

#include <civetweb.h>
#include <stdio.h>
#include <string.h>

#define SERVER_THREADS     "16"
#define REQUEST_TIMEOUT_MS "10000"
#define BEARER             "Bearer "

struct GwAdmin_s {
    GwAdminHost host;
    GwRpc rpc;
    struct mg_context *http;
};

/* Compares in a time that depends only on the header's length: a comparison
 * that stops at the first difference would reveal how many leading bytes of a
 * guessed token are correct. An empty token allows no request. */
bool
GwAdminHttp_IsAllowed(const char *token, const char *header)
{
    if (header == NULL || token == NULL || token[0] == '\0' ||
        !g_str_has_prefix(header, BEARER)) {
        return false;
    }
    const char *presented = header + strlen(BEARER);
    size_t len = strlen(presented);
    size_t token_len = strlen(token);
    unsigned char differs = len != token_len;
    for (size_t i = 0; i < len; i++) {
        differs |= (unsigned char)(presented[i] ^ token[i % token_len]);
    }
    return differs == 0;
}

static int
send_reply(struct mg_connection *conn, int status, const char *type,
           const void *body, size_t len)
{
    mg_printf(conn,
              "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
              "Content-Length: %zu\r\nCache-Control: no-store\r\n\r\n",
              status, mg_get_response_code_text(conn, status), type, len);
    mg_write(conn, body, len);
    return status;
}

static int
send_text(struct mg_connection *conn, int status, const char *text)
{
    return send_reply(conn, status, "text/plain", text, strlen(text));
}

static bool
check_token(GwAdmin *admin, struct mg_connection *conn)
{
    const struct mg_request_info *info = mg_get_request_info(conn);
    if (GwAdminHttp_IsAllowed(admin->rpc.host->token,
                              mg_get_header(conn, "Authorization"))) {
        return true;
    }
    char text[128];
    g_snprintf(text, sizeof(text), "from=%s uri=%.64s", info->remote_addr,
               info->local_uri);
    admin->rpc.log(GW_LOG_ADMIN_DENIED, g_strdelimit(text, "\r\n ", '_'));
    send_text(conn, 401, "denied\n");
    return false;
}

/* Reads the whole body; false when the body is too long, truncated or of
 * unknown length. *body is for g_free in both cases. */
static bool
read_body(struct mg_connection *conn, uint8_t **body, uint32_t *len)
{
    int64_t expected = mg_get_request_info(conn)->content_length;
    *body = NULL;
    *len = 0;
    if (expected < 0 || expected > GW_RPC_BODY_MAX) {
        return false;
    }
    *body = g_malloc((size_t)expected + 1);
    while (*len < expected) {
        int n = mg_read(conn, *body + *len, (size_t)(expected - *len));
        if (n <= 0) {
            return false;
        }
        *len += (uint32_t)n;
    }
    return true;
}

static int
run_rpc(GwAdmin *admin, struct mg_connection *conn, const uint8_t *body,
        uint32_t len)
{
    const char *uri = mg_get_request_info(conn)->local_uri;
    uint8_t *out = NULL;
    uint32_t out_len = 0;
    GwRpcStatus status = GwRpc_Handle(&admin->rpc, uri + strlen("/rpc/"), body,
                                      len, &out, &out_len);
    if (status == GW_RPC_DONE) {
        send_reply(conn, 200, "application/x-protobuf", out, out_len);
    }
    else {
        send_text(conn, (int)status,
                  status == GW_RPC_NO_METHOD ? "no such method\n"
                                             : "malformed request body\n");
    }
    g_free(out);
    return (int)status;
}

static int
on_rpc(struct mg_connection *conn, void *data)
{
    GwAdmin *admin = data;
    uint8_t *body = NULL;
    uint32_t len = 0;
    if (strcmp(mg_get_request_info(conn)->request_method, "POST") != 0) {
        return send_text(conn, 405, "method not allowed: use POST\n");
    }
    if (!check_token(admin, conn)) {
        return 401;
    }
    int status =
        read_body(conn, &body, &len)
            ? run_rpc(admin, conn, body, len)
            : send_text(conn, 413, "request body too large or truncated\n");
    g_free(body);
    return status;
}

static int
on_dump(struct mg_connection *conn, void *data)
{
    GwAdmin *admin = data;
    if (!check_token(admin, conn)) {
        return 401;
    }
    char *text = admin->rpc.host->dump(admin->rpc.host->ctx);
    int status = send_reply(conn, 200, "application/json", text, strlen(text));
    g_free(text);
    return status;
}

/* Metrics contain no secrets, so collectors need no token. */
static int
on_metrics(struct mg_connection *conn, void *data)
{
    GwAdmin *admin = data;
    char *text = admin->rpc.host->metrics(admin->rpc.host->ctx);
    int status =
        send_reply(conn, 200, "text/plain; version=0.0.4", text, strlen(text));
    g_free(text);
    return status;
}

GwAdmin *
GwAdminHttp_Start(const GwRpc *rpc, const char *address, GError **error)
{
    const char *options[] = {"listening_ports",
                             address,
                             "num_threads",
                             SERVER_THREADS,
                             "request_timeout_ms",
                             REQUEST_TIMEOUT_MS,
                             "enable_keep_alive",
                             "yes",
                             "keep_alive_timeout_ms",
                             "500",
                             NULL};
    const struct mg_callbacks callbacks = {0};
    GwAdmin *admin = g_new0(GwAdmin, 1);
    admin->host = *rpc->host;
    admin->rpc = *rpc;
    admin->rpc.host = &admin->host;
    mg_init_library(0);
    admin->http = mg_start(&callbacks, admin, options);
    if (admin->http == NULL) {
        g_set_error(error, GW_ERROR, GW_RESULT_IO,
                    "admin_address: can't listen on %s", address);
        mg_exit_library();
        g_free(admin);
        return NULL;
    }
    mg_set_request_handler(admin->http, "/rpc/", on_rpc, admin);
    mg_set_request_handler(admin->http, "/dump$", on_dump, admin);
    mg_set_request_handler(admin->http, "/metrics$", on_metrics, admin);
    return admin;
}

uint32_t
GwAdminHttp_Port(const GwAdmin *admin)
{
    struct mg_server_port port = {0};
    return mg_get_server_ports(admin->http, 1, &port) == 1
               ? (uint32_t)port.port
               : 0;
}

void
GwAdmin_Stop(GwAdmin *admin)
{
    if (admin == NULL) {
        return;
    }
    mg_stop(admin->http);
    mg_exit_library();
    g_free(admin);
}
