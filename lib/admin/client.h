/* The operator's side of the calls: HTTP to one entry instance. */
#ifndef GW_ADMIN_CLIENT_H
#define GW_ADMIN_CLIENT_H

#include <glib.h>
#include <protobuf-c/protobuf-c.h>
#include <stdbool.h>
#include <stdint.h>

#define GW_CLIENT_BODY_MAX (4u << 20)

typedef struct GwAdminClient_s GwAdminClient;

/* One HTTP exchange. `headers` are lines, NULL-terminated, or NULL. */
typedef struct {
    const char *method;
    const char *url;
    const char *const *headers;
    const void *body;
    size_t body_len;
} GwFetch;

typedef struct {
    long status;
    GString *body;
    GString *headers; /* lines as they came */
} GwFetched;

/* token: NULL for none. */
GwAdminClient *GwAdminClient_Create(const char *address, const char *token,
                                    uint32_t timeout_ms);
void GwAdminClient_Free(GwAdminClient *client);
/* One remote procedure call. The reply is for
 * protobuf_c_message_free_unpacked; NULL with `error` (IO: unreachable,
 * DENIED, CORRUPT, or INVALID). */
ProtobufCMessage *GwAdminClient_Call(GwAdminClient *client, const char *method,
                                     const ProtobufCMessage *request,
                                     const ProtobufCMessageDescriptor *reply,
                                     GError **error);
/* Reads a page of the admin address, such as "/dump"; NULL with `error`. */
char *GwAdminClient_Page(GwAdminClient *client, const char *path,
                         GError **error);
/* Asks for what a page of the admin address does, such as "/suspects/release";
 * the answer's text, or NULL with `error`. */
char *GwAdminClient_Post(GwAdminClient *client, const char *path,
                         GError **error);
/* Any exchange; false with `error` when no whole answer came. */
bool GwAdminClient_Fetch(GwAdminClient *client, const GwFetch *fetch,
                         GwFetched *out, GError **error);
void GwFetched_Clear(GwFetched *fetched);
/* The value of a header, for g_free, or NULL. */
char *GwFetched_Header(const GwFetched *fetched, const char *name);

#endif
