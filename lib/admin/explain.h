/* What became of one request, from the logs of all entries that it met.
 *
 * Lines of the request are put in order of time. Beside each stands what that
 * entry believed then and may have been wrong about: an old configuration, a
 * store that did not answer, a server that it had given up or that was about
 * to leave. */
#ifndef GW_ADMIN_EXPLAIN_H
#define GW_ADMIN_EXPLAIN_H

#include <glib.h>
#include <stdint.h>

typedef struct GwExplain_s GwExplain;

GwExplain *GwExplain_Create(const char *request_id);
void GwExplain_Free(GwExplain *ex);
/* One line of a log. What stands before `time_ms=` names its entry, by the
 * last word; without it, `source` does. Lines of one entry come in order. */
void GwExplain_Add(GwExplain *ex, const char *source, const char *line);
/* Lines found of the request. */
uint32_t GwExplain_Count(const GwExplain *ex);
/* For people, or as JSON. The conclusion is the last line, or "conclusion". */
void GwExplain_Write(GwExplain *ex, GString *out);
void GwExplain_WriteJson(GwExplain *ex, GString *out);

#endif
