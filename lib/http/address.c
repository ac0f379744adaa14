/* Addresses as text; apart from conn.c, so that it needs no event loop. */
#include "http/conn.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#define PORT_MAX 65535

bool
GwConn_ParseAddress(const char *text, struct sockaddr_in *out)
{
    const char *colon = strrchr(text, ':');
    char host[INET_ADDRSTRLEN];

    if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
        return false;
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    char *rest;
    long port = strtol(colon + 1, &rest, 10);
    *out = (struct sockaddr_in){.sin_family = AF_INET,
                                .sin_port = htons((uint16_t)port)};
    return rest != colon + 1 && *rest == '\0' && port > 0 &&
           port <= PORT_MAX && inet_pton(AF_INET, host, &out->sin_addr) == 1;
}
