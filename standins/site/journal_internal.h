/* Internals shared by the source files of the journal. */
#ifndef STANDINS_SITE_JOURNAL_INTERNAL_H
#define STANDINS_SITE_JOURNAL_INTERNAL_H

#include "standins/site/site.h"

/* Statistics of a request that crashes servers, identified by its target. */
typedef struct {
    uint32_t crashes;
    int64_t last_allowed_us; /* 0: fewer than SITE_CRASHES_MAX crashes */
    uint32_t sends_after; /* arrivals at servers later than last_allowed_us */
} SiteCrasher;

/* The requests sent while servers send bytes without end. */
typedef struct {
    char *fault;
    uint64_t struck; /* a server sent bytes without end */
    /* Requests that got no such bytes instead of their answer. */
    uint64_t sent;
    uint64_t answered;
} SiteEndlessCount;

struct SiteJournal_s {
    SiteClock now_us;
    GHashTable *entries;  /* address -> Entry */
    GHashTable *requests; /* id -> SiteRequest */
    GPtrArray *in_order;  /* SiteRequest, in order of sending */
    GHashTable *crashers; /* target -> SiteCrasher */
    guint recovery_start; /* index of the first request after all faults */
    uint64_t strays;
    int64_t start_us;
    int64_t disturbed_us; /* last fault that affects all entries */
    uint32_t cut_entries; /* entries without links to servers */
    int64_t links_us;     /* last change of the links of any entry */
    bool do_servers_fail; /* many requests, at random */
    GArray *endless;      /* SiteEndlessCount, in order of announcement */
    bool is_endless;      /* the last one of them is in force */
};

/* crashes.c */
void SiteJournal_ConcludeCrashes(const SiteJournal *j, FILE *log,
                                 SiteVerdict *verdict);

#endif
