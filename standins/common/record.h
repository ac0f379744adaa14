/* Compares the outcomes that callers received with the runs in the journals
 * of the backend servers. */
#ifndef GS_RECORD_H
#define GS_RECORD_H

#include "common/backend.h"
#include "common/services.h"

#include <stdio.h>

typedef enum {
    GS_OUTCOME_NONE = 0, /* sent, but no outcome received */
    GS_OUTCOME_NOT_SENT, /* no byte sent: no entry was reachable */
    GS_OUTCOME_ANSWERED,
    GS_OUTCOME_NOT_RUN,
    GS_OUTCOME_UNKNOWN
} GsOutcome;

/* One logical request of a caller, including all attempts. */
typedef struct {
    char key[GS_KEY_MAX];
    const GsOperation *operation;
    uint32_t home;
    uint32_t attempts;
    int64_t due_us;
    int64_t latency_us;    /* measured from due_us */
    int64_t refused_at_us; /* last not-run outcome of any attempt; 0: none */
    uint32_t unstated;     /* complete replies without an outcome */
    bool answer_whole;     /* the answer is complete and for this key */
    GsOutcome outcome;
    char reason[24];
} GsRecord;

typedef struct {
    uint64_t sent;
    uint64_t answered;
    uint64_t not_run;
    uint64_t unknown;
    uint64_t unknown_ran; /* of these, found in a journal */
    uint64_t not_sent;
    uint64_t no_outcome;
    uint64_t doubled;        /* keys executed more than once */
    uint64_t false_refusals; /* executed before or despite a not-run */
    uint64_t wrong_answers;
    uint64_t unstated; /* replies without an outcome */
} GsVerdict;

const char *GsOutcome_Name(GsOutcome outcome);
/* `records` holds GsRecord pointers, `runs` GsRun pointers. */
GsVerdict GsVerdict_Compute(const GPtrArray *records, const GPtrArray *runs);
bool GsVerdict_IsClean(const GsVerdict *v);
void GsVerdict_PrintLine(const GsVerdict *v, FILE *out);
int64_t GsRecord_Percentile(const GPtrArray *records,
                            const GsOperation *operation, uint32_t percent);

#endif
