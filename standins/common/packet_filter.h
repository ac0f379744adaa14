/* Packet filters of sockets, which cut a connection from one of its ends. */
#ifndef STANDINS_COMMON_PACKET_FILTER_H
#define STANDINS_COMMON_PACKET_FILTER_H

#include <linux/filter.h>
#include <stdbool.h>
#include <stddef.h>

/* Replaces the filter of the packets that arrive at the socket. Returns false
 * if the kernel refuses it. */
bool PacketFilter_Attach(int fd, struct sock_filter *code, size_t len);
/* Drops all packets that arrive at the socket, or none: the other end receives
 * neither an acknowledgement nor a reset, and its kernel sends again. */
bool PacketFilter_Drop(int fd, bool drops);

#endif
