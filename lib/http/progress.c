#include "http/progress.h"

#include <glib.h>

/* A peer that acknowledges a byte now and then has not made progress. */
#define PROGRESS_BYTES 4096

void
GwSendProgress_Note(GwSendProgress *p, uint64_t acked, uint64_t unacked,
                    int64_t now_us)
{
    if (unacked == 0) {
        *p = (GwSendProgress){0};
    }
    else if (p->since_us == 0 || acked >= p->acked + p->wanted) {
        *p = (GwSendProgress){
            .acked = acked,
            .wanted = MIN(unacked, PROGRESS_BYTES),
            .since_us = now_us,
        };
    }
}

int64_t
GwSendProgress_StalledUs(const GwSendProgress *p, int64_t now_us)
{
    return p->since_us == 0 ? 0 : MAX(now_us - p->since_us, 0);
}
