/* Blocking client of the admin address of one entry, over HTTP. */
#ifndef GW_ADMIN_CLIENT_H
#define GW_ADMIN_CLIENT_H

#include <glib.h>
#include <protobuf-c/protobuf-c.h>
#include <stdbool.h>
#include <stdint.h>

#define GW_CLIENT_BODY_MAX (4u << 20) /* bytes */

typedef struct GwAdminClient_s GwAdminClient;

/* An HTTP request. `headers`: NULL-terminated array of lines, or NULL. */
typedef struct {
    const char *method;
    const char *url;
    const char *const *headers;
    const void *body;
    size_t body_len;
} GwFetchRequest;

typedef struct {
    long status;
    GString *body;
    GString *headers; /* lines as received */
} GwFetchResponse;

/* token: bearer token, or NULL for none. */
GwAdminClient *GwAdminClient_Create(const char *address, const char *token,
                                    uint32_t timeout_ms);
void GwAdminClient_Free(GwAdminClient *client);
/* Runs a remote procedure call. The reply is for
 * protobuf_c_message_free_unpacked; NULL with `error` (IO: unreachable,
 * DENIED: wrong token, CORRUPT: malformed reply, INVALID: other status). */
ProtobufCMessage *GwAdminClient_Call(GwAdminClient *client, const char *method,
                                     const ProtobufCMessage *request,
                                     const ProtobufCMessageDescriptor *reply,
                                     GError **error);
/* Reads a page of the admin address, such as "/dump"; the text is for g_free,
 * NULL with `error`. */
char *GwAdminClient_Page(GwAdminClient *client, const char *path,
                         GError **error);
/* Posts to a path of the admin address, such as "/suspects/release"; the
 * answer's text is for g_free, NULL with `error`. */
char *GwAdminClient_Post(GwAdminClient *client, const char *path,
                         GError **error);
/* Runs one HTTP exchange with any address; false with `error` (IO) when no
 * complete response arrived. `out` must be cleared in both cases. */
bool GwAdminClient_Fetch(GwAdminClient *client, const GwFetchRequest *request,
                         GwFetchResponse *out, GError **error);
void GwFetchResponse_Clear(GwFetchResponse *response);
/* Returns the value of a header, for g_free, or NULL. */
char *GwFetchResponse_Header(const GwFetchResponse *response,
                             const char *name);

#endif
