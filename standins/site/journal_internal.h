/* What the parts of the journal share. */
#ifndef STANDINS_SITE_JOURNAL_INTERNAL_H
#define STANDINS_SITE_JOURNAL_INTERNAL_H

#include "standins/site/site.h"

/* A request that crashes servers, by its target. */
typedef struct {
    uint32_t crashes;
    int64_t last_allowed_us; /* 0: it has not crashed too many yet */
    uint32_t sends_after;    /* that time */
} SiteCrasher;

struct SiteJournal_s {
    GHashTable *entries;  /* address -> Entry */
    GHashTable *requests; /* id -> SiteRequest */
    GPtrArray *in_order;  /* SiteRequest, as sent */
    GHashTable *crashers; /* target -> SiteCrasher */
    guint calm_at;        /* index of the first one sent in the calm */
    uint64_t strays;
    int64_t start_us;
};

int64_t SiteJournal_NowUs(void);

/* crashes.c */
void SiteJournal_ConcludeCrashes(const SiteJournal *j, FILE *log,
                                 SiteVerdict *verdict);

#endif
