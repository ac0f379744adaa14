#include "standins/common/packet_filter.h"

#include <stdint.h>
#include <sys/socket.h>

bool
PacketFilter_Attach(int fd, struct sock_filter *code, size_t len)
{
    struct sock_fprog program = {.len = (unsigned short)len, .filter = code};

    return setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                      sizeof(program)) == 0;
}

bool
PacketFilter_Drop(int fd, bool drops)
{
    struct sock_filter code[] = {
        BPF_STMT(BPF_RET | BPF_K, drops ? 0 : UINT32_MAX)};

    return PacketFilter_Attach(fd, code, 1);
}
