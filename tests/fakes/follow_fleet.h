/* Many entries that follow the store's tables, on virtual time: their calls to
 * the store, their reports to each other and the rows that they fetch from
 * each other, under faults. The checks follow the operators' rules and know
 * nothing about the mechanism. */
#ifndef GW_TESTS_FAKES_FOLLOW_FLEET_H
#define GW_TESTS_FAKES_FOLLOW_FLEET_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
    FOLLOW_CALM = 0,
    FOLLOW_SOME_SILENT,   /* the store never answers half of the entries */
    FOLLOW_SOME_REFUSED,  /* the store refuses half of the entries */
    FOLLOW_STORE_SILENT,  /* the store never answers any entry */
    FOLLOW_STORE_REFUSES, /* the store refuses all entries */
    FOLLOW_STORE_SLOW,
    FOLLOW_SOME_STALE, /* the store answers half from an older state */
    FOLLOW_HISTORY,    /* the store drops its history */
    FOLLOW_CUT,        /* failure domains are cut off */
    FOLLOW_ONE_WAY,    /* messages pass one way between two failure domains */
    FOLLOW_PAUSE,      /* entries are paused */
    FOLLOW_SLOW,       /* entries run slowly */
    FOLLOW_RESTART,    /* entries are killed and start again */
    FOLLOW_RESTORE,    /* the store is away and restored from a copy, at times
                        * twice in a row */
    FOLLOW_FAULT_COUNT
} FollowFault;

const char *FollowFault_Name(FollowFault fault);

typedef struct {
    uint32_t entries;
    uint32_t bound_ms; /* a change must be in force within this time */
    uint32_t
        contact_ms; /* an entry counts as in touch so long after a fault */
    FollowFault fault;
    FollowFault second; /* FOLLOW_CALM: none */
    uint32_t seconds;
    uint64_t seed;
} FollowFleetParams;

typedef struct {
    uint64_t checks;       /* of entries in touch */
    uint64_t late_configs; /* of them, with a configuration that is too old */
    uint64_t late_drains;  /* of them, without a drain that is due */
    uint64_t reverts;      /* an entry went back to an older configuration */
    uint64_t returned;     /* a server that had left was ready again */
    int64_t worst_ms;      /* longest time to the configuration in force, of
                            * entries in touch */
    double calls_per_s;    /* to the store, by all entries */
} FollowFleetReport;

FollowFleetReport FollowFleet_Run(const FollowFleetParams *params);

#endif
