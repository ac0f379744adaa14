/* CPU time of formatting one log line of a request into the ring buffer, and
 * of writing the buffer, per line. */
#include "common/log.h"

#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#define ROUNDS 20
#define LINES  100 /* per round; below the burst limit of one event */

static int64_t
now_ns(void)
{
    struct timespec t;

    (void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return (int64_t)t.tv_sec * 1000000000 + t.tv_nsec;
}

static void
log_answer(int i)
{
    GwLog_Event(GW_LOG_REQUEST_ANSWERED,
                "request=%016x status=%u route=%s server=%s attempts=%u "
                "waited_ms=%u took_ms=%u warm=%d far=%d config=%" PRIu64,
                i, 200u, "r-i6nkghf", "i-b272a455d1", 1u, 0u, 143u, 1, 0,
                (uint64_t)4);
}

int
main(void)
{
    int report_fd = dup(STDOUT_FILENO);
    int null_fd = open("/dev/null", O_WRONLY);
    int64_t line_ns = 0;
    int64_t flush_ns = 0;

    (void)dup2(null_fd, STDOUT_FILENO);
    (void)GwLog_StartBuffered("info");
    for (int round = 0; round <= ROUNDS; round++) {
        int64_t begin = now_ns();
        for (int i = 0; i < LINES; i++) {
            log_answer(i);
        }
        int64_t formatted = now_ns();
        GwLog_Flush();
        line_ns += formatted - begin;
        flush_ns += now_ns() - formatted;
        (void)usleep(LINES * 1000000 / 200); /* rate limit per event: 200/s */
        if (round == 0) {
            line_ns = flush_ns = 0; /* the first round only warms caches */
        }
    }
    GwLog_Stop();
    (void)dprintf(report_fd,
                  "log: %" PRId64 " ns a line, %" PRId64
                  " ns a line to write out 100\n",
                  line_ns / (ROUNDS * LINES), flush_ns / (ROUNDS * LINES));
    return 0;
}
