#include "common/socket.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

void
GwSocket_SetDiscard(int fd, bool discards)
{
    struct linger how = {.l_onoff = discards};

    (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &how, sizeof(how));
}

size_t
GwSocket_UnackedBytes(int fd)
{
    int unacked = 0;

    return ioctl(fd, SIOCOUTQ, &unacked) == 0 && unacked > 0 ? (size_t)unacked
                                                             : 0;
}
