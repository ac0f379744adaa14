/* A loopback address on which nobody listens. */
#ifndef GW_TESTS_FAKES_FREE_PORT_H
#define GW_TESTS_FAKES_FREE_PORT_H

#include "config/model.h"

/* Nobody else who asks here, in any process, gets the same port while this
 * process lives: a port that is only looked at may be taken by another test
 * before it is listened at. The port lies below the range from which the kernel
 * takes the ports of outgoing connections: a connection to a free port in that
 * range can be given the very same port, and then connects to itself. */
void FreePort_Address(char out[GW_ADDR_MAX]);

#endif
