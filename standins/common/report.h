/* Final report of the caller stand-in. */
#ifndef GS_REPORT_H
#define GS_REPORT_H

#include "common/client.h"
#include "common/record.h"

/* `controls` is a comma-separated list of control addresses of backend
 * processes. Both functions return false when a process does not answer. */
bool GsReport_WaitIdle(GsClient *client, const char *controls,
                       int64_t limit_us);
bool GsReport_FetchRuns(GsClient *client, const char *controls,
                        GPtrArray *runs);
struct json_object *GsReport_FetchStats(GsClient *client,
                                        const char *controls);
void GsReport_Print(const GPtrArray *records, struct json_object *stats,
                    const GsVerdict *v, FILE *out);
bool GsReport_Write(const char *file, const GPtrArray *records,
                    struct json_object *stats, const GsVerdict *v);

#endif
