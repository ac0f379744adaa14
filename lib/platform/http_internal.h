/* Blocking HTTP exchanges with the platform, shared by its clients. */
#ifndef GW_PLATFORM_HTTP_INTERNAL_H
#define GW_PLATFORM_HTTP_INTERNAL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Base address and a stack of idle curl handles, each with its own
 * connection. Thread-safe. */
typedef struct GwHttpClient_s GwHttpClient;

typedef struct {
    const char *method;
    const char *path;   /* with query, escaped */
    const char *header; /* one extra header line, or NULL */
    const char *body;   /* or NULL */
    size_t body_len;
    bool is_write; /* must not reach the platform twice */
} GwHttpClientRequest;

/* url: base address, put before each path. */
GwHttpClient *GwHttpClient_Create(const char *url, uint32_t timeout_ms);
void GwHttpClient_Free(GwHttpClient *client);
/* Appends the response's body to `body` and returns its status; 0 when no
 * complete response arrived in time. */
uint32_t GwHttpClient_Do(GwHttpClient *client,
                         const GwHttpClientRequest *request, GString *body);
/* Returns a percent-escaped copy, for g_free. */
char *GwHttp_Escape(const char *text);

#endif
