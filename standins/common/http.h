/* HTTP server of the stand-ins, based on CivetWeb. */
#ifndef GS_HTTP_H
#define GS_HTTP_H

#include <civetweb.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define GS_BODY_MAX (1u << 20)

typedef struct {
    const char *ports; /* "127.0.0.1:9001,127.0.0.1:9002" */
    uint32_t threads;
    uint32_t accept_cost_us; /* delay per new connection */
    mg_request_handler handler;
    /* Called when a connection with user data closes; may be NULL. */
    void (*closed)(void *data, void *conn_data);
    void *data;
} GsHttpOptions;

struct mg_context *GsHttp_Start(const GsHttpOptions *options);
char *GsHttp_ReadBody(struct mg_connection *conn);
struct json_object *GsHttp_ReadJson(struct mg_connection *conn);
int GsHttp_Reply(struct mg_connection *conn, int status, const char *headers,
                 const char *body);
int GsHttp_ReplyJson(struct mg_connection *conn, int status,
                     struct json_object *body);
int GsHttp_Drop(struct mg_connection *conn);
bool GsHttp_WaitClosed(struct mg_connection *conn, int64_t us, int *fd);
bool GsHttp_Query(struct mg_connection *conn, const char *name, char *out,
                  size_t cap);
void GsHttp_BlockSignals(void);
void GsHttp_WaitForStop(void);

const char *GsJson_Text(struct json_object *o, const char *name,
                        const char *fallback);
int64_t GsJson_Int(struct json_object *o, const char *name, int64_t fallback);

#endif
