/* Clock of the stand-ins: microseconds since boot. */
#ifndef GS_CLOCK_H
#define GS_CLOCK_H

#include <stdint.h>

int64_t GsClock_Now(void);
void GsClock_Sleep(int64_t us);

#endif
