#include "common/clock.h"

#include <errno.h>
#include <time.h>

/* Returns microseconds since boot. All processes of the machine share this
 * clock, so their journals and records are comparable. */
int64_t
GsClock_Now(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

/* Sleeps for `us` microseconds and resumes after signals. */
void
GsClock_Sleep(int64_t us)
{
    struct timespec ts = {.tv_sec = us / 1000000,
                          .tv_nsec = us % 1000000 * 1000};
    while (us > 0 && nanosleep(&ts, &ts) != 0 && errno == EINTR) {
    }
}
