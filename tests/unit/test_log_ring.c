/* The ring of log lines in front of standard output. */
#include "common/log_ring.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

/* When the reader of the log stops reading, the process must not block. The
 * ring keeps the lines that fit and then logs how many were dropped. */
Test(log_ring, a_stalled_reader_does_not_block_the_process)
{
    GwLogRing ring;
    int fds[2];
    char line[1001];
    char buf[4096];
    uint64_t kept = 0;

    memset(line, 'x', 999);
    line[999] = '\n';
    line[1000] = '\0';
    cr_assert_eq(pipe(fds), 0);
    GwLogRing_Init(&ring, 10000);
    for (int i = 0; i < 500; i++) { /* 500 KB: more than pipe and ring */
        GwLogRing_Add(&ring, line);
        GwLogRing_Flush(&ring, fds[1]);
    }
    cr_expect_gt(ring.dropped, 0);
    cr_expect_leq(ring.bytes->len, 10000);
    kept = 500 - ring.dropped;
    (void)fcntl(fds[0], F_SETFL, O_NONBLOCK);
    gsize total = 0;
    for (int i = 0; i < 2000; i++) {
        ssize_t len = read(fds[0], buf, sizeof(buf));
        total += len > 0 ? (gsize)len : 0;
        GwLogRing_Flush(&ring, fds[1]);
    }
    cr_expect_eq(total, kept * 1000);
    uint64_t dropped = ring.dropped;
    char expected[64];
    GwLogRing_Add(&ring, "next\n");
    g_snprintf(expected, sizeof(expected), "log_dropped=%lu\nnext\n",
               (unsigned long)dropped);
    cr_expect_str_eq(ring.bytes->str, expected);
    GwLogRing_Clear(&ring);
    (void)close(fds[0]);
    (void)close(fds[1]);
}
