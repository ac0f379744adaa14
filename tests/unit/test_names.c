/* Names of result codes and log events. */
#include "common/log_events.h"
#include "godwitridge.h"

#include <criterion/criterion.h>

Test(names, result_codes_have_stable_names)
{
    cr_assert_str_eq(GwResult_Name(GW_RESULT_CONFLICT), "conflict");
    cr_assert(GwResult_IsError(GW_ERR(STALE)));
    cr_assert_eq(GwResult_Code(GW_ERR(STALE)), GW_RESULT_STALE);
    cr_assert_eq(GwResult_Code(7), GW_RESULT_OK);
}

Test(names, events_have_level_and_name)
{
    cr_assert_str_eq(GwLogEvent_Name(GW_LOG_SEAT_FENCED), "SEAT_FENCED");
    cr_assert_eq(GwLogEvent_Level(GW_LOG_SEAT_FENCED), GW_LEVEL_WARN);
}
