/* One blocking HTTP exchange with the platform, shared by its clients. */
#ifndef GW_PLATFORM_HTTP_INTERNAL_H
#define GW_PLATFORM_HTTP_INTERNAL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A base address and a stack of idle curl handles, each with its own
 * connection. Thread-safe. */
typedef struct GwHttpClient_s GwHttpClient;

typedef struct {
    const char *method;
    const char *path;   /* with query, already escaped */
    const char *header; /* one extra header line, or NULL */
    const char *body;   /* or NULL */
    size_t body_len;
    bool once; /* a write: must not reach the platform twice */
} GwHttpAsk;

GwHttpClient *GwHttpClient_Create(const char *url, uint32_t timeout_ms);
void GwHttpClient_Free(GwHttpClient *client);
/* The status and the whole body, or 0 when there was no whole answer. */
uint32_t GwHttpClient_Do(GwHttpClient *client, const GwHttpAsk *ask,
                         GString *body);
/* Percent-escaped copy; free with g_free. */
char *GwHttp_Escape(const char *text);

#endif
