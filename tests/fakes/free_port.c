#include "fakes/free_port.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>

/* Same port blocks and lock files as standins/lib.sh. */
enum { PORT_FIRST = 20000, PORT_COUNT = 12000, BLOCK = 200 };

/* The lock is held until the process exits. */
static bool
lock_block(uint16_t first)
{
    char *path = g_strdup_printf("%s/godwitridge-ports-%u.lock",
                                 g_get_tmp_dir(), first);
    int fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0666);

    g_free(path);
    if (fd >= 0 && flock(fd, LOCK_EX | LOCK_NB) == 0) {
        return true;
    }
    if (fd >= 0) {
        close(fd);
    }
    return false;
}

static uint16_t
take_block(void)
{
    uint32_t begin = (uint32_t)getpid() * BLOCK;

    for (;;) {
        for (uint32_t at = 0; at < PORT_COUNT; at += BLOCK) {
            uint32_t first = PORT_FIRST + (begin + at) % PORT_COUNT;
            if (lock_block((uint16_t)first)) {
                return (uint16_t)first;
            }
        }
        g_usleep(10000); /* all blocks are locked */
    }
}

void
FreePort_Address(char out[GW_ADDR_MAX])
{
    static uint16_t block;
    static uint32_t tries;
    struct sockaddr_in at = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };

    if (block == 0) {
        block = take_block();
    }
    for (;;) {
        uint16_t port = (uint16_t)(block + tries++ % BLOCK);
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
