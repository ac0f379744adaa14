#include "fakes/free_port.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

enum { PORT_FIRST = 20000, PORT_COUNT = 8000 };

/* Processes that run at once begin at different ports. */
void
FreePort_Address(char out[GW_ADDR_MAX])
{
    static uint32_t tries;
    struct sockaddr_in at = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };

    for (;;) {
        uint32_t offset = (uint32_t)getpid() * 31 + tries++;
        uint16_t port = (uint16_t)(PORT_FIRST + offset % PORT_COUNT);
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        at.sin_port = htons(port);
        int rc = bind(fd, (struct sockaddr *)&at, sizeof(at));
        close(fd);
        if (rc == 0) {
            g_snprintf(out, GW_ADDR_MAX, "127.0.0.1:%u", port);
            return;
        }
    }
}
