/* Progress of a peer that reads what it is sent, by the bytes that its kernel
 * has acknowledged. Neither the length of the send queue nor the time since a
 * write tells a slow reader from one that has stopped: the queue stays as long
 * as it is while more is written as fast as the peer reads. Makes no input or
 * output. */
#ifndef GW_HTTP_PROGRESS_H
#define GW_HTTP_PROGRESS_H

#include <stddef.h>
#include <stdint.h>

/* To be initialised with zeros. */
typedef struct {
    uint64_t acked;   /* at since_us */
    uint64_t wanted;  /* further bytes that count as progress */
    int64_t since_us; /* of the last progress; 0: all is acknowledged */
} GwSendProgress;

/* `acked`: of all bytes sent so far; `unacked`: the rest of them. */
void GwSendProgress_Note(GwSendProgress *p, uint64_t acked, uint64_t unacked,
                         int64_t now_us);
/* Time since the last progress; 0 if all is acknowledged. */
int64_t GwSendProgress_StalledUs(const GwSendProgress *p, int64_t now_us);

#endif
