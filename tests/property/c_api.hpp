// Includes the C headers that the properties use.
#ifndef GW_TESTS_PROPERTY_C_API_HPP
#define GW_TESTS_PROPERTY_C_API_HPP

#include <glib.h>

extern "C" {
#include "common/log_events.h"
#include "common/rng.h"
#include "config/sync.h"
#include "fakes/member_net.h"
#include "fakes/table.h"
#include "member/member.h"
#include "steer/seats.h"
}

#endif
