/* Simulates many entries on virtual time, with the real steering core and the
 * real gossip of quarantine suspects and limits, and backend servers that fail
 * in many ways: crash, lose power, lose answers, drain. Messages between
 * entries are lost, delayed and reordered; entries freeze, are partitioned and
 * restart. Violations are counted from what servers and callers observe. */
#ifndef GW_TESTS_FAKES_OUTAGES_H
#define GW_TESTS_FAKES_OUTAGES_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
    OUTAGE_NONE = 0,
    OUTAGE_DOMAIN_POWER_LOSS, /* a failure domain loses power and recovers */
    OUTAGE_CRASHES,           /* 15 % of the servers crash at once, twice */
    OUTAGE_RESTARTS,          /* each server in turn, with its id unchanged */
    OUTAGE_LOST_ANSWERS,      /* runs that end with a connection reset */
    OUTAGE_RESETS,            /* resets of half of all connections */
    OUTAGE_INVALID_ANSWERS,   /* invalid answers */
    OUTAGE_POWER_LOSSES,      /* a server loses power every 300 ms */
    OUTAGE_DRAINS,            /* drains; some servers do not announce them */
    OUTAGE_SHEDS,             /* servers refuse and ask for rest */
    OUTAGE_LEAVES,        /* servers leave, and say so in their answers only */
    OUTAGE_LINKS_SILENT,  /* entries lose all links: nothing passes */
    OUTAGE_LINKS_RESET,   /* connections are reset, new ones time out */
    OUTAGE_LINKS_REFUSED, /* connections live on, new ones are refused */
    OUTAGE_LINKS_BROKEN,  /* connections are reset, new ones are refused */
    OUTAGE_KIND_COUNT
} OutageKind;

const char *OutageKind_Name(OutageKind kind);

typedef struct {
    uint32_t entries;
    uint32_t servers;
    OutageKind kind;
    uint32_t crashers; /* number of requests that crash any server */
    bool entry_faults; /* entries freeze, are partitioned, restart */
    bool hot;          /* two requests make up more than half of the traffic */
    /* Percentage of servers that state a rate limit from 2 s on. */
    uint32_t limited_percent;
    double limit_per_s; /* the limit, for all entries together */
    double unlimited_s; /* when the limits end; 0: never */
    double seconds;
    uint64_t seed;
} OutageParams;

typedef struct {
    uint32_t asked;
    uint32_t answered;
    /* Harmless requests that were refused as quarantined. */
    uint32_t harmless_refused;
    uint32_t crashes; /* caused by requests */
    /* Most sends of one crashing request by reachable entries, later than
     * OUTAGE_GOSSIP_MS after its third crash. */
    uint32_t sends_after;
    uint32_t crashing_refused;
    uint64_t records_sent; /* suspect records, between entries */
    /* From the third crash until all reachable entries quarantine the request;
     * 0: never. */
    uint32_t quarantined_ms;
    /* Most requests above the allowed number that a limited server received in
     * some 4 s, from entries that knew the limit; 0: limits were kept. */
    uint32_t above_limit;
    double used_share; /* requests to limited servers, as share of the limit */
    /* After the limits ended, as share of an equal part. */
    double used_share_after;
    uint32_t still_idle; /* formerly limited servers that stay idle */
    uint32_t shed;       /* requests that servers refused, asking for rest */
    /* Most requests that reached a server from one entry in a rest that it had
     * asked that entry for, from 0.5 s after the refusal on. */
    uint32_t in_rest;
    /* Requests that callers sent later than 2.5 s after the entry had passed
     * on an answer of a server that leaves, and that reached that server. */
    uint32_t after_leaving;
    /* Requests refused for want of a server or a slot while a server of the
     * region that takes work had been idle for a while. */
    uint32_t refused_beside_idle;
    /* First tries at entries without links to servers, from OUTAGE_GOSSIP_MS
     * after the cut, and at the other entries meanwhile. */
    uint32_t cut_tries;
    uint32_t cut_answered;
    uint32_t linked_tries;
    uint32_t linked_answered;
    uint32_t hops;           /* requests passed on between entries */
    uint32_t hops_of_hops;   /* requests that were passed on twice */
    uint32_t doubled;        /* at-most-once requests that ran twice */
    uint32_t false_refusals; /* refused as not run, though they ran */
    uint32_t convictions;    /* harmless requests in quarantine anywhere */
} OutageReport;

bool OutageKind_CutsLinks(OutageKind kind);

#define OUTAGE_GOSSIP_MS 3000

OutageReport Outages_Run(const OutageParams *params);

#endif
