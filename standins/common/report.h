/* What the caller tool prints and writes at its end. */
#ifndef GS_REPORT_H
#define GS_REPORT_H

#include "common/client.h"
#include "common/record.h"

/* `controls` are control addresses of backend processes, separated by
 * commas. Both give false when one does not answer. */
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
