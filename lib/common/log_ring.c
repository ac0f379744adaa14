#include "common/log_ring.h"

#include <inttypes.h>
#include <limits.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

void
GwLogRing_Init(GwLogRing *ring, gsize bytes_max)
{
    *ring = (GwLogRing){.bytes = g_string_new(NULL), .bytes_max = bytes_max};
}

void
GwLogRing_Clear(GwLogRing *ring)
{
    g_string_free(ring->bytes, TRUE);
    *ring = (GwLogRing){0};
}

void
GwLogRing_Add(GwLogRing *ring, const char *line)
{
    gsize len = strlen(line);

    if (ring->bytes->len + len > ring->bytes_max) {
        ring->dropped++;
        ring->dropped_total++;
        return;
    }
    if (ring->dropped > 0) {
        g_string_append_printf(ring->bytes, "log_dropped=%" PRIu64 "\n",
                               ring->dropped);
        ring->dropped = 0;
    }
    g_string_append_len(ring->bytes, line, (gssize)len);
}

static bool
is_writable(int fd)
{
    struct pollfd p = {.fd = fd, .events = POLLOUT};

    return poll(&p, 1, 0) == 1 && (p.revents & POLLOUT) != 0;
}

/* Writes at most PIPE_BUF bytes per poll: a writable pipe accepts that many
 * without blocking. */
void
GwLogRing_Flush(GwLogRing *ring, int fd)
{
    gsize done = 0;

    while (done < ring->bytes->len && is_writable(fd)) {
        gsize piece = MIN(ring->bytes->len - done, PIPE_BUF);
        ssize_t len = write(fd, ring->bytes->str + done, piece);
        if (len <= 0) {
            break;
        }
        done += (gsize)len;
    }
    g_string_erase(ring->bytes, 0, (gssize)done);
}
