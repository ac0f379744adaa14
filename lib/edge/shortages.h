/* What operators see of a shortage of slots (lib/shortage): metrics, the status
 * of an entry, and log lines. */
#ifndef GW_EDGE_SHORTAGES_H
#define GW_EDGE_SHORTAGES_H

#include "router/router.h"

struct json_object;

/* The shortages that were logged. */
typedef struct GwShortageLog_s GwShortageLog;

GwShortageLog *GwShortageLog_Create(void);
void GwShortageLog_Free(GwShortageLog *log);
/* Logs the shortages that have begun or ended, with at most one line a second
 * for each service and region. Returns the number of lines. */
uint32_t GwShortageLog_Update(GwShortageLog *log, GwRouter *r, int64_t now_us);

/* Appends metrics in the Prometheus text exposition format; none without
 * overload control. */
void GwShortages_WriteMetrics(GwRouter *r, int64_t now_us, GString *out);
/* A JSON array with one object for each service and region that is short of
 * slots; owned by the calling function. */
struct json_object *GwShortages_Json(const GwRouter *r, int64_t now_us);

#endif
