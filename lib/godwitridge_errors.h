/* Result codes of godwitridge: one numbering for all functions that can fail,
 * for GError codes of the domain GW_ERROR and for the "code" member of admin
 * replies. A test compares this table with docs/RESULTS.md.
 *
 * Numbers are never changed or reused: users store them. */
#ifndef GODWITRIDGE_ERRORS_H
#define GODWITRIDGE_ERRORS_H

#include <stdint.h>

/* X(symbol, number, name) */
#define GW_RESULT_TABLE(X)                                                    \
    X(OK, 0, "ok")                                                            \
    X(INVALID, 1, "invalid")                                                  \
    X(OUT_OF_BOUNDS, 2, "out-of-bounds")                                      \
    X(UNKNOWN_KEY, 3, "unknown-key")                                          \
    X(WRONG_TYPE, 4, "wrong-type")                                            \
    X(NO_MEMORY, 5, "no-memory")                                              \
    X(NOT_FOUND, 6, "not-found")                                              \
    X(CONFLICT, 7, "conflict")                                                \
    X(PENDING, 8, "pending")                                                  \
    X(STORE_AWAY, 9, "store-away")                                            \
    X(IO, 10, "io")                                                           \
    X(TIMEOUT, 11, "timeout")                                                 \
    X(TOO_LARGE, 12, "too-large")                                             \
    X(CORRUPT, 13, "corrupt")                                                 \
    X(DENIED, 14, "denied")                                                   \
    X(FULL, 15, "full")                                                       \
    X(NOT_READY, 16, "not-ready")                                             \
    X(LEAVING, 17, "leaving")                                                 \
    X(STALE, 18, "stale")                                                     \
    X(DUPLICATE, 19, "duplicate")                                             \
    X(PARSE, 20, "parse")

typedef enum {
#define GW_RESULT_ENUM(sym, num, name) GW_RESULT_##sym = (num),
    GW_RESULT_TABLE(GW_RESULT_ENUM)
#undef GW_RESULT_ENUM
} GwResultCode;

/* A size or count (>= 0), or a negated GwResultCode (< 0). */
typedef int64_t GwResult;

#define GW_ERR(sym) (-(GwResult)GW_RESULT_##sym)

int GwResult_IsError(GwResult r);
GwResultCode GwResult_Code(GwResult r);
const char *GwResult_Name(GwResultCode code);

#endif
