#include "godwitridge_errors.h"

/* Whether the value carries a result code in place of a size. */
int
GwResult_IsError(GwResult r)
{
    return r < 0;
}

/* The code carried by a result; GW_RESULT_OK for a size. */
GwResultCode
GwResult_Code(GwResult r)
{
    return r < 0 ? (GwResultCode)(-r) : GW_RESULT_OK;
}

/* The stable lower-case name of a code, as admin replies spell it. */
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
