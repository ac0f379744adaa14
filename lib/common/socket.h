/* Unacknowledged bytes of TCP sockets. */
#ifndef GW_COMMON_SOCKET_H
#define GW_COMMON_SOCKET_H

#include <stdbool.h>
#include <stddef.h>

/* Chooses what a close, or the end of the process, does with bytes that the
 * peer's kernel has not acknowledged: discards them and resets the connection,
 * or lets the kernel deliver them. */
void GwSocket_SetDiscard(int fd, bool discards);
/* Bytes passed to the kernel that are not acknowledged; 0 on failure. */
size_t GwSocket_UnackedBytes(int fd);

#endif
