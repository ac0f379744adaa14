#include "godwitridge_errors.h"

/* Whether the result is an error code rather than a size. */
int
GwResult_IsError(GwResult r)
{
    return r < 0;
}

/* The error code of a result; GW_RESULT_OK for a size. */
GwResultCode
GwResult_Code(GwResult r)
{
    return r < 0 ? (GwResultCode)(-r) : GW_RESULT_OK;
}

/* The stable lower-case name of a code, as used in admin replies; "unnumbered"
 * for a code that is not in the table. */
const char *
GwResult_Name(GwResultCode code)
{
    switch (code) {
#define GW_RESULT_CASE(sym, num, name)                                        \
    case GW_RESULT_##sym:                                                     \
        return name;
        GW_RESULT_TABLE(GW_RESULT_CASE)
#undef GW_RESULT_CASE
    }
    return "unnumbered";
}
