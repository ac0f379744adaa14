/* Allocates free loopback ports. */
#ifndef GW_TESTS_FAKES_FREE_PORT_H
#define GW_TESTS_FAKES_FREE_PORT_H

#include "config/model.h"

/* Writes the address of a free port, reserved until this process exits. No
 * other user of this function, in any process, gets the same port: a port that
 * is only probed may be bound by another test first. The port lies below the
 * kernel's ephemeral range: a connection to a free port in that range may get
 * the same source port and connect to itself. */
void FreePort_Address(char out[GW_ADDR_MAX]);

#endif
